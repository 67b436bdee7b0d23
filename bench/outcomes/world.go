package outcomes

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/rules"
)

// Bug is a deliberate bug in the code under test. Tests inject it to verify that the
// checks detect it.
type Bug string

// Deliberate bugs.
const (
	NoBug Bug = ""
	// BugRetryWithoutResolve retries after a lost connection as if the attempt
	// certainly had not run.
	BugRetryWithoutResolve Bug = "blind-retry"
	// BugDropOutput loses output between agent and router, and the router does not
	// check offsets.
	BugDropOutput Bug = "drop-event"
	// BugNotRunWithoutFence reports attempts as not run without fencing them.
	BugNotRunWithoutFence Bug = "early-not-run"
	// BugOverwriteAfterAmbiguousWrite repeats a write whose result is unknown, over
	// whatever version the object has.
	BugOverwriteAfterAmbiguousWrite Bug = "ambiguous-blind"
	// BugAcceptMisdelivered accepts events without checking which attempt they belong
	// to.
	BugAcceptMisdelivered Bug = "accept-crossed"
	// BugSharedCacheNamespace leaves the team out of cache namespaces.
	BugSharedCacheNamespace Bug = "shared-namespace"
	// BugSlowRestart makes a restarted router wait before it serves requests.
	BugSlowRestart Bug = "slow-restart"
	// BugAbruptShutdown stops a process without waiting for open work.
	BugAbruptShutdown Bug = "abrupt-shutdown"
)

// Config holds the parameters of a simulation. Zero fields take defaults.
type Config struct {
	Seed    uint64
	Routers int
	Agents  int
	// Partitions is the number of ledger partitions.
	Partitions int
	Ledger     ledger.Config
	// RequestTimeout bounds the time of a request at a router. Default 8 s.
	RequestTimeout time.Duration
	// RandomPlacementShare is the share of requests that a router sends to a random
	// endpoint instead of the one that its prompt hashes to.
	RandomPlacementShare float64
	// NoForwarding makes every router write to the ledger itself instead of
	// forwarding operations to the owner of the partition.
	NoForwarding bool
	Bug          Bug
}

func (c *Config) setDefaults() {
	if c.Routers == 0 {
		c.Routers = 3
	}
	if c.Agents == 0 {
		c.Agents = 4
	}
	if c.Partitions == 0 {
		c.Partitions = 2
	}
	if c.RequestTimeout == 0 {
		c.RequestTimeout = 8 * time.Second
	}
}

// cluster is a simulated deployment.
type cluster struct {
	rulesView       *rules.View
	cfg             Config
	sim             *simulator
	network         *network
	store           *fakeStore
	routers         map[string]*router
	agents          map[string]*agent
	routerNames     []string
	agentNames      []string
	processNames    []string
	callerProcess   *process
	history         *history
	lastIncarnation uint64
	// knownIncarnations holds the agent incarnation that a router knows, by the names
	// of router and agent.
	knownIncarnations map[[2]string]uint64
	// scriptedRequests holds the requests of a scenario by key.
	scriptedRequests map[string]*request
	// requestCount is the number of requests created so far. Request keys contain it.
	requestCount int
}

func newCluster(cfg Config) *cluster {
	cfg.setDefaults()
	s := newSimulator(cfg.Seed)
	n := &network{sim: s, disconnectedPairs: map[[2]string]bool{}}
	cl := &cluster{cfg: cfg, sim: s, network: n, routers: map[string]*router{}, agents: map[string]*agent{},
		callerProcess: &process{sim: s, name: "caller", running: true}, knownIncarnations: map[[2]string]uint64{}, scriptedRequests: map[string]*request{}}
	cl.rulesView = allowAllRules(cfg.Agents)
	cl.history = newHistory(cl)
	cl.store = &fakeStore{sim: s, network: n, objects: map[string]objectstore.Object{}}
	for i := range cfg.Agents {
		cl.addAgent(fmt.Sprintf("a%d", i+1))
	}
	for i := range cfg.Routers {
		r := &router{process: process{sim: s, name: fmt.Sprintf("r%d", i+1)}, cluster: cl}
		cl.routers[r.name] = r
		cl.routerNames = append(cl.routerNames, r.name)
		r.start()
	}
	cl.processNames = slices.Concat(cl.routerNames, cl.agentNames)
	cl.propagateIncarnations()
	n.checkKeepalives()
	return cl
}

// teamNames lists the teams that send requests.
var teamNames = []string{"t1", "t2"}

// allowAllRules returns rules that let all teams use all agents.
func allowAllRules(agents int) *rules.View {
	var text strings.Builder
	for i := range agents {
		fmt.Fprintf(&text, "endpoint a%d model m host h%d zone z # bench: harness\n", i+1, i+1)
	}
	for _, team := range teamNames {
		hash := sha256.Sum256([]byte(team))
		fmt.Fprintf(&text, "team %s token-sha256 %x # bench: harness\nallow %s model m # bench: harness\n", team, hash, team)
	}
	view, err := rules.Compile("bench", 1, text.String())
	if err != nil {
		panic(err)
	}
	return view
}

func (cl *cluster) addAgent(name string) {
	a := &agent{process: process{sim: cl.sim, name: name}, cluster: cl}
	a.engine = &engine{cluster: cl, name: name, up: true, incarnation: cl.nextIncarnation(), weightsVersion: "v1",
		attempts: map[string]*engineAttempt{}, cache: map[uint64]cachedBlock{}}
	cl.agents[name] = a
	cl.agentNames = append(cl.agentNames, name)
	a.start()
}

func (cl *cluster) nextIncarnation() uint64 {
	cl.lastIncarnation++
	return cl.lastIncarnation
}

// propagateIncarnations tells each router the incarnations of the live agents that it
// can reach. It runs every 500 ms.
func (cl *cluster) propagateIncarnations() {
	for _, r := range cl.routerNames {
		for _, a := range cl.agentNames {
			cl.propagateIncarnation(r, a)
		}
	}
	cl.sim.scheduleAfter(500*time.Millisecond, cl.propagateIncarnations)
}

func (cl *cluster) propagateIncarnation(routerName, agentName string) {
	if cl.agents[agentName].running && !cl.network.disconnected(routerName, agentName) {
		cl.knownIncarnations[[2]string{routerName, agentName}] = cl.agents[agentName].incarnation
	}
}

func (cl *cluster) knownIncarnation(routerName, agentName string) uint64 {
	return cl.knownIncarnations[[2]string{routerName, agentName}]
}

func (cl *cluster) runningRouters() []string {
	var names []string
	for _, n := range cl.routerNames {
		if cl.routers[n].running {
			names = append(names, n)
		}
	}
	return names
}

func (cl *cluster) processByName(name string) *process {
	if r := cl.routers[name]; r != nil {
		return &r.process
	}
	return &cl.agents[name].process
}

// deathDetectionDelay is the time that membership takes to report a dead process.
const deathDetectionDelay = time.Second

// reportedDead reports whether membership has reported the process as dead.
func (cl *cluster) reportedDead(name string) bool {
	p := cl.processByName(name)
	return !p.running && cl.sim.now-p.stoppedAt > deathDetectionDelay
}

func (cl *cluster) mergeSuspicionAt(name string, r quarantine.Report) {
	if rt := cl.routers[name]; rt != nil {
		rt.suspects.Merge(cl.sim.now, r)
		return
	}
	cl.agents[name].mergeSuspicion(r)
}

func (cl *cluster) kill(name string) {
	p := cl.processByName(name)
	p.stoppedAt = cl.sim.now
	p.running, p.pausedUntil, p.clockSkew = false, 0, 0
}

// restart starts the process unless it runs.
func (cl *cluster) restart(name string) {
	if cl.processByName(name).running {
		return
	}
	if r := cl.routers[name]; r != nil {
		r.start()
		return
	}
	cl.agents[name].start()
}

// shutdown starts the graceful shutdown of a process.
func (cl *cluster) shutdown(name string) {
	if !cl.processByName(name).running {
		return
	}
	if r := cl.routers[name]; r != nil {
		r.runAfter(0, r.shutdown)
		return
	}
	a := cl.agents[name]
	a.runAfter(0, a.shutdown)
}
