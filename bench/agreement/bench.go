package agreement

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/rules"
)

// Bounds fixed by the target, per node or for the whole fleet.
const (
	boundRuleSeconds   = 4.0
	boundLeaveSeconds  = 3.0
	boundBytes         = 5000.0
	boundCPUPercent    = 2.7
	boundMemoryBytes   = 128e6
	boundStorePerSec   = 200
	benchZones         = 6
	benchWarmup        = 40 * time.Second
	benchQuiet         = 30 * time.Second
	benchChanges       = 12
	benchChangeGap     = 5 * time.Second
	benchLeaves        = 8
	benchLoss          = 0.001
	changesPerSecond   = 5800.0 / 86400
	benchRulesLines    = 5000
	goRuntimeBaseBytes = 40e6
)

// Result is one line of the bench.
type Result struct {
	Bench string `json:"bench"`
	Nodes int    `json:"nodes"`
	// Rule times in seconds from acceptance until a version is in force, over
	// all processes and changes.
	RuleP50 float64 `json:"rule_p50_s"`
	RuleP99 float64 `json:"rule_p99_s"`
	RuleMax float64 `json:"rule_max_s"`
	// LeaveMax is the longest time in seconds until a process knows that
	// another one leaves.
	LeaveP99 float64 `json:"leave_p99_s"`
	LeaveMax float64 `json:"leave_max_s"`
	// Bytes and messages a second and node. Bytes count both directions with
	// IP and UDP headers.
	QuietBytes  float64 `json:"quiet_bytes_per_s"`
	ChangeBytes float64 `json:"change_bytes_per_s"`
	HerdBytes   float64 `json:"herd_bytes_per_s"`
	// JoinBytes is what one restarted router sends and receives in the 30 s
	// after its start, full rules text included.
	JoinBytes     float64 `json:"join_bytes"`
	QuietMessages float64 `json:"quiet_messages_per_s"`
	// CPUPercent is the processor time of the decision code and the encoding
	// while changes are made, harness included, in percent of a core per node.
	CPUPercent float64 `json:"cpu_percent"`
	// HeapBytes is the heap per node in the harness, which shares some
	// strings between nodes.
	HeapBytes float64 `json:"heap_bytes"`
	// Store calls in the busiest second of each phase.
	StoreQuiet  int `json:"store_calls_quiet"`
	StoreChange int `json:"store_calls_change"`
	StoreHerd   int `json:"store_calls_herd"`
	// HerdSeconds is the time after a restart of all routers until the last
	// one has the current rules.
	HerdSeconds float64  `json:"herd_rules_s"`
	Faults      []string `json:"faults,omitempty"`
}

// Full is the measured cost of one process at the target's size of rules and
// member list, without sharing.
type Full struct {
	Bench      string  `json:"bench"`
	Part       string  `json:"part"`
	RulesBytes int     `json:"rules_bytes"`
	CheckMS    float64 `json:"check_ms"`
	// CheckPercent is the processor time of checking at the target's rate of
	// changes, in percent of a core.
	CheckPercent float64 `json:"check_cpu_percent"`
	HeapBytes    float64 `json:"heap_bytes"`
}

// Verdict is the last line.
type Verdict struct {
	Bench   string   `json:"bench"`
	Verdict string   `json:"verdict"`
	Missed  []string `json:"missed,omitempty"`
}

// Sizes are the cluster sizes of the bench: one router for about 5.5 agents.
var Sizes = []int{8, 32, 128, 512, 2480}

// Run measures all sizes and writes JSON lines, a verdict last. It fails when
// the output cannot be written.
func Run(w io.Writer) error { return RunSizes(w, Sizes) }

// RunSizes measures some sizes.
func RunSizes(w io.Writer, sizes []int) error {
	out := json.NewEncoder(w)
	verdict := Verdict{Bench: "agreement", Verdict: "met"}
	full := measureFull()
	if err := out.Encode(full); err != nil {
		return errors.Wrap(err, "write result")
	}
	for _, n := range sizes {
		r := measure(n)
		verdict.Missed = append(verdict.Missed, r.missed(full)...)
		if err := out.Encode(r); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	if len(verdict.Missed) > 0 {
		verdict.Verdict = "missed"
	}
	return errors.Wrap(out.Encode(verdict), "write verdict")
}

func (r Result) missed(full Full) []string {
	var list []string
	check := func(what string, value, bound float64) {
		if value > bound {
			list = append(list, fmt.Sprintf("%d nodes: %s %.3g, bound %.3g", r.Nodes, what, value, bound))
		}
	}
	check("rule_max_s", r.RuleMax, boundRuleSeconds)
	check("leave_max_s", r.LeaveMax, boundLeaveSeconds)
	check("quiet_bytes_per_s", r.QuietBytes, boundBytes)
	check("change_bytes_per_s", r.ChangeBytes, boundBytes)
	check("herd_bytes_per_s", r.HerdBytes, boundBytes)
	check("cpu_percent", r.CPUPercent+full.CheckPercent, boundCPUPercent)
	check("memory", goRuntimeBaseBytes+full.HeapBytes, boundMemoryBytes)
	check("store_calls", float64(max(r.StoreQuiet, r.StoreChange, r.StoreHerd)), boundStorePerSec)
	for _, f := range r.Faults {
		list = append(list, fmt.Sprintf("%d nodes: %s", r.Nodes, f))
	}
	return list
}

// benchCluster returns a running cluster of n processes.
func benchCluster(n int) *Cluster {
	routers := max(2, n*380/2480)
	c := NewCluster(Options{Seed: uint64(n), Routers: routers, Agents: n - routers, Zones: benchZones, Loss: benchLoss, Quiet: true})
	c.AddLine("limit north-team requests 1/s # anitha: start")
	c.StartWarm()
	c.Run(benchWarmup)
	return c
}

func measure(n int) Result {
	runtime.GC()
	before := heapBytes()
	c := benchCluster(n)
	r := Result{Bench: "agreement", Nodes: n}

	p := c.phase(benchQuiet, nil)
	r.QuietBytes, r.QuietMessages, r.StoreQuiet = p.bytes, p.messages, p.storePeak

	started := cpuTime()
	first := uint64(len(c.checker.acceptedAt))
	p = c.phase(benchChanges*benchChangeGap, func() {
		for i := range benchChanges {
			c.sim.after(time.Duration(i)*benchChangeGap+c.sim.jitter(time.Second), func() {
				c.ReplaceLine("limit north-team", fmt.Sprintf("limit north-team requests %d/s # anitha: change", 10+i))
			})
		}
	})
	r.CPUPercent = 100 * (cpuTime() - started).Seconds() / (benchChanges * benchChangeGap).Seconds() / float64(n)
	r.ChangeBytes, r.StoreChange = p.bytes, p.storePeak
	r.RuleP50, r.RuleP99, r.RuleMax = c.ruleTimes(first, &r)

	r.LeaveP99, r.LeaveMax = c.leaveTimes(&r)
	runtime.GC()
	r.HeapBytes = (heapBytes() - before) / float64(n)
	r.herd(c)
	r.Faults = append(r.Faults, c.checker.violations...)
	return r
}

type phase struct {
	bytes, messages float64
	storePeak       int
}

// phase runs for a while and returns the mean traffic and the busiest second
// of the store.
func (c *Cluster) phase(d time.Duration, begin func()) phase {
	bytes, messages := c.traffic()
	from := c.sim.now
	if begin != nil {
		begin()
	}
	c.Run(d)
	b, m := c.traffic()
	per := d.Seconds() * float64(len(c.nodes))
	p := phase{bytes: float64(b-bytes) / per, messages: float64(m-messages) / per}
	for s := int(from / time.Second); s <= int(c.sim.now/time.Second); s++ {
		p.storePeak = max(p.storePeak, c.store.perSecond[s])
	}
	return p
}

func (c *Cluster) traffic() (bytes, messages int) {
	for _, n := range c.nodes {
		bytes += n.sentBytes + n.receivedBytes
		messages += n.messages
	}
	return bytes, messages
}

// ruleTimes returns percentiles of the times until versions from first on were
// in force.
func (c *Cluster) ruleTimes(first uint64, r *Result) (p50, p99, longest float64) {
	var times []float64
	for v := first; v < uint64(len(c.checker.acceptedAt)); v++ {
		accepted := c.checker.acceptedAt[v]
		for _, n := range c.nodes {
			at, ok := n.inForceSince(v)
			if !ok {
				r.Faults = append(r.Faults, fmt.Sprintf("version %d never reached %s", v, n.self.Name))
				continue
			}
			times = append(times, (at - accepted).Seconds())
		}
	}
	return percentiles(times)
}

// inForceSince returns when the version or a later one came in force.
func (n *Node) inForceSince(version uint64) (time.Duration, bool) {
	for _, a := range n.adoptions {
		if a.version >= version {
			return a.at, true
		}
	}
	return 0, false
}

func percentiles(list []float64) (p50, p99, longest float64) {
	if len(list) == 0 {
		return 0, 0, 0
	}
	slices.Sort(list)
	return list[len(list)/2], list[len(list)*99/100], list[len(list)-1]
}

// leaveTimes makes some agents leave and returns how long the others take to
// know it.
func (c *Cluster) leaveTimes(r *Result) (p99, longest float64) {
	var times []float64
	count := min(benchLeaves, len(c.nodes)/4)
	for i := range count {
		leaver := c.nodes[len(c.nodes)-1-i]
		at := c.sim.now
		c.Leave(leaver)
		c.Run(benchChangeGap)
		for _, n := range c.nodes {
			if n == leaver {
				continue
			}
			seen, ok := c.checker.leaveSeen[seenKey{n.self.Name, n.run, leaver.self.Name}]
			if !ok {
				r.Faults = append(r.Faults, fmt.Sprintf("%s never heard that %s leaves", n.self.Name, leaver.self.Name))
				continue
			}
			times = append(times, (seen - at).Seconds())
		}
	}
	_, p99, longest = percentiles(times)
	return p99, longest
}

// herd restarts all routers at once.
func (r *Result) herd(c *Cluster) {
	const span = 30 * time.Second
	routers := c.nodes[:c.opt.Routers]
	for _, n := range c.nodes {
		n.sentBytes, n.receivedBytes = 0, 0
	}
	var agents, joined int
	at := c.sim.now
	p := c.phase(span, func() {
		for _, n := range routers {
			c.Restart(n, time.Millisecond)
		}
	})
	r.StoreHerd = p.storePeak
	for i, n := range c.nodes {
		if i < len(routers) {
			joined += n.sentBytes + n.receivedBytes
		} else {
			agents += n.sentBytes + n.receivedBytes
		}
	}
	r.HerdBytes = float64(agents) / span.Seconds() / float64(len(c.nodes)-len(routers))
	r.JoinBytes = float64(joined) / float64(len(routers))
	want := uint64(len(c.checker.acceptedAt) - 1)
	for _, n := range routers {
		since, ok := n.inForceSince(want)
		if !ok {
			r.Faults = append(r.Faults, n.self.Name+" has no rules after the restart of all routers")
			continue
		}
		r.HerdSeconds = max(r.HerdSeconds, (since - at).Seconds())
	}
}

// measureFull builds the state of one process at the target's size.
func measureFull() Full {
	lines := make([]string, 0, benchRulesLines)
	for i := range 550 {
		lines = append(lines,
			fmt.Sprintf("team team-%d token-sha256 %064x share 40 priority 2 # anitha: audit desk", i, i+1),
			fmt.Sprintf("limit team-%d requests 200/s tokens 50000/s # anitha: quarter end", i),
			fmt.Sprintf("allow team-%d model model-%d # anitha: audit", i, i%10))
	}
	for i := range 2100 {
		lines = append(lines,
			fmt.Sprintf("endpoint llm-%d model model-%d host h-%d zone zone-%d # anitha: first rack", i, i%10, i, i%6))
	}
	for i := range benchRulesLines - len(lines) {
		lines = append(lines, fmt.Sprintf("host h-%d owner north # jose: split", i))
	}
	lines = append(lines, "half north teams team-1 # jose: split")
	text := strings.Join(lines, "\n")
	f := Full{Bench: "agreement", Part: "one process", RulesBytes: len(text)}
	runtime.GC()
	before := heapBytes()
	const rounds = 5
	started := cpuTime()
	var view *rules.View
	for range rounds {
		var err error
		if view, err = rules.Compile("rules", 1, text); err != nil {
			panic(err)
		}
	}
	f.CheckMS = float64((cpuTime() - started).Microseconds()) / 1000 / rounds
	f.CheckPercent = f.CheckMS / 10 * changesPerSecond
	m := fullMachine(2480)
	runtime.GC()
	f.HeapBytes = heapBytes() - before
	runtime.KeepAlive(m)
	runtime.KeepAlive(view)
	return f
}

// fullMachine returns a membership machine that knows n members, none of whose
// strings are shared.
func fullMachine(n int) *membership.StateMachine {
	c := NewCluster(Options{Seed: 1, Routers: 1, Agents: 1, Zones: 1})
	c.nodes[0].start()
	g := c.nodes[0].gossip
	for i := range n {
		g.HandleDatagram(0, "10.0.0.1:7401", &membership.Datagram{From: "x", Members: []*membership.Member{{
			Name: fmt.Sprintf("agent-host-%d", i), Role: membership.RoleAgent, Zone: fmt.Sprintf("zone-%d", i%6),
			GRPCAddress: fmt.Sprintf("10.0.%d.%d:7400", i/256, i%256), GossipAddress: fmt.Sprintf("10.0.%d.%d:7401", i/256, i%256),
			Endpoint: fmt.Sprintf("llm-%d", i), Incarnation: 1, State: membership.Alive,
		}}})
	}
	return g
}

func heapBytes() float64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
