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

// Bounds of the target deployment, per process or for the whole fleet, and parameters of
// the benchmark.
const (
	maxActivationSeconds   = 4.0
	maxLeaveSeconds        = 3.0
	maxBytesPerSecond      = 5000.0
	maxCPUPercent          = 2.7
	maxMemoryBytes         = 128e6
	maxStoreCallsPerSecond = 200
	benchZones             = 6
	benchWarmupDuration    = 40 * time.Second
	benchIdleDuration      = 30 * time.Second
	benchEdits             = 12
	benchEditInterval      = 5 * time.Second
	benchMaxLeaves         = 8
	benchLossRate          = 0.001
	// targetEditsPerSecond is the rate of rules changes in the target deployment.
	targetEditsPerSecond = 5800.0 / 86400
	// fullRulesLines is the number of lines of the rules in the target deployment.
	fullRulesLines = 5000
	// goRuntimeBaseBytes is the memory of a process without rules and members.
	goRuntimeBaseBytes = 40e6
)

// Result holds the measurements of one cluster size.
type Result struct {
	Bench     string `json:"bench"`
	Processes int    `json:"nodes"`
	// ActivationP50, ActivationP99 and ActivationMax are times in seconds from the
	// acceptance of a rules version until it is active, over all processes and changes.
	ActivationP50 float64 `json:"rule_p50_s"`
	ActivationP99 float64 `json:"rule_p99_s"`
	ActivationMax float64 `json:"rule_max_s"`
	// LeaveP99 and LeaveMax are times in seconds until a process knows that another
	// process leaves.
	LeaveP99 float64 `json:"leave_p99_s"`
	LeaveMax float64 `json:"leave_max_s"`
	// IdleBytesPerSecond, EditBytesPerSecond and RestartBytesPerSecond are the traffic
	// per process without changes, while the rules are edited, and after a restart of all
	// routers (agents only). They count both directions with IP and UDP headers.
	IdleBytesPerSecond    float64 `json:"quiet_bytes_per_s"`
	EditBytesPerSecond    float64 `json:"change_bytes_per_s"`
	RestartBytesPerSecond float64 `json:"herd_bytes_per_s"`
	// JoinBytes is the traffic of a restarted router in the 30 s after its start,
	// including the full rules text.
	JoinBytes             float64 `json:"join_bytes"`
	IdleMessagesPerSecond float64 `json:"quiet_messages_per_s"`
	// CPUPercent is the processor time of decision code, encoding and simulation while
	// the rules are edited, in percent of a core per process.
	CPUPercent float64 `json:"cpu_percent"`
	// HeapBytes is the heap per process in the simulation, whose processes share some
	// strings.
	HeapBytes float64 `json:"heap_bytes"`
	// IdleStoreCalls, EditStoreCalls and RestartStoreCalls are the store calls in the
	// busiest second of each phase.
	IdleStoreCalls    int `json:"store_calls_quiet"`
	EditStoreCalls    int `json:"store_calls_change"`
	RestartStoreCalls int `json:"store_calls_herd"`
	// RestartActivationMax is the time in seconds after a restart of all routers until
	// the last one has the current rules active.
	RestartActivationMax float64  `json:"herd_rules_s"`
	Violations           []string `json:"faults,omitempty"`
}

// ProcessCost is the measured cost of one process with the rules and members of the
// target deployment, without strings shared between processes.
type ProcessCost struct {
	Bench      string  `json:"bench"`
	Scope      string  `json:"part"`
	RulesBytes int     `json:"rules_bytes"`
	CompileMS  float64 `json:"check_ms"`
	// CompileCPUPercent is the processor time of compiling the rules at the change rate
	// of the target deployment, in percent of a core.
	CompileCPUPercent float64 `json:"check_cpu_percent"`
	HeapBytes         float64 `json:"heap_bytes"`
}

// Verdict is the last line of the output: whether all bounds were met.
type Verdict struct {
	Bench        string   `json:"bench"`
	Verdict      string   `json:"verdict"`
	MissedBounds []string `json:"missed,omitempty"`
}

// ClusterSizes are the numbers of processes in the measured clusters, with one router
// for about 5.5 agents.
var ClusterSizes = []int{8, 32, 128, 512, 2480}

// Run measures all cluster sizes and writes JSON lines, the verdict last. It fails if
// the output cannot be written.
func Run(w io.Writer) error { return RunSizes(w, ClusterSizes) }

// RunSizes is Run with the given cluster sizes.
func RunSizes(w io.Writer, sizes []int) error {
	out := json.NewEncoder(w)
	verdict := Verdict{Bench: "agreement", Verdict: "met"}
	processCost := measureProcess()
	if err := out.Encode(processCost); err != nil {
		return errors.Wrap(err, "write result")
	}
	for _, n := range sizes {
		r := measureCluster(n)
		verdict.MissedBounds = append(verdict.MissedBounds, r.missedBounds(processCost)...)
		if err := out.Encode(r); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	if len(verdict.MissedBounds) > 0 {
		verdict.Verdict = "missed"
	}
	return errors.Wrap(out.Encode(verdict), "write verdict")
}

// missedBounds describes the exceeded bounds and the violations.
func (r Result) missedBounds(processCost ProcessCost) []string {
	var missed []string
	check := func(what string, value, bound float64) {
		if value > bound {
			missed = append(missed, fmt.Sprintf("%d processes: %s %.3g, bound %.3g", r.Processes, what, value, bound))
		}
	}
	check("rule_max_s", r.ActivationMax, maxActivationSeconds)
	check("leave_max_s", r.LeaveMax, maxLeaveSeconds)
	check("quiet_bytes_per_s", r.IdleBytesPerSecond, maxBytesPerSecond)
	check("change_bytes_per_s", r.EditBytesPerSecond, maxBytesPerSecond)
	check("herd_bytes_per_s", r.RestartBytesPerSecond, maxBytesPerSecond)
	check("cpu_percent", r.CPUPercent+processCost.CompileCPUPercent, maxCPUPercent)
	check("memory", goRuntimeBaseBytes+processCost.HeapBytes, maxMemoryBytes)
	check("store_calls", float64(max(r.IdleStoreCalls, r.EditStoreCalls, r.RestartStoreCalls)), maxStoreCallsPerSecond)
	for _, violation := range r.Violations {
		missed = append(missed, fmt.Sprintf("%d processes: %s", r.Processes, violation))
	}
	return missed
}

// benchCluster returns a running cluster of n processes.
func benchCluster(n int) *Cluster {
	routers := max(2, n*380/2480)
	c := NewCluster(Options{Seed: uint64(n), Routers: routers, Agents: n - routers, Zones: benchZones, LossRate: benchLossRate, CheckLeavingOnly: true})
	c.AddLine("limit north-team requests 1/s # anitha: start")
	c.StartWithKnownMembers()
	c.Run(benchWarmupDuration)
	return c
}

func measureCluster(n int) Result {
	runtime.GC()
	heapBefore := heapBytes()
	c := benchCluster(n)
	r := Result{Bench: "agreement", Processes: n}

	load := c.measurePhase(benchIdleDuration, nil)
	r.IdleBytesPerSecond, r.IdleMessagesPerSecond, r.IdleStoreCalls = load.bytesPerSecond, load.messagesPerSecond, load.peakStoreCalls

	started := cpuTime()
	firstEdit := uint64(len(c.checker.acceptedAt))
	load = c.measurePhase(benchEdits*benchEditInterval, func() {
		for i := range benchEdits {
			c.sim.scheduleAfter(time.Duration(i)*benchEditInterval+c.sim.randomDelay(time.Second), func() {
				c.ReplaceLine("limit north-team", fmt.Sprintf("limit north-team requests %d/s # anitha: change", 10+i))
			})
		}
	})
	r.CPUPercent = 100 * (cpuTime() - started).Seconds() / (benchEdits * benchEditInterval).Seconds() / float64(n)
	r.EditBytesPerSecond, r.EditStoreCalls = load.bytesPerSecond, load.peakStoreCalls
	r.ActivationP50, r.ActivationP99, r.ActivationMax = c.activationTimes(firstEdit, &r)

	r.LeaveP99, r.LeaveMax = c.measureLeaves(&r)
	runtime.GC()
	r.HeapBytes = (heapBytes() - heapBefore) / float64(n)
	r.measureRouterRestart(c)
	r.Violations = append(r.Violations, c.checker.violations...)
	return r
}

// phaseLoad is the mean traffic per process and the busiest second of the store.
type phaseLoad struct {
	bytesPerSecond, messagesPerSecond float64
	peakStoreCalls                    int
}

// measurePhase runs the cluster for a duration and returns its load.
func (c *Cluster) measurePhase(d time.Duration, begin func()) phaseLoad {
	bytesBefore, messagesBefore := c.traffic()
	from := c.sim.now
	if begin != nil {
		begin()
	}
	c.Run(d)
	bytesAfter, messagesAfter := c.traffic()
	processSeconds := d.Seconds() * float64(len(c.processes))
	load := phaseLoad{bytesPerSecond: float64(bytesAfter-bytesBefore) / processSeconds, messagesPerSecond: float64(messagesAfter-messagesBefore) / processSeconds}
	for second := int(from / time.Second); second <= int(c.sim.now/time.Second); second++ {
		load.peakStoreCalls = max(load.peakStoreCalls, c.store.callsPerSecond[second])
	}
	return load
}

func (c *Cluster) traffic() (bytes, messages int) {
	for _, p := range c.processes {
		bytes += p.sentBytes + p.receivedBytes
		messages += p.messages
	}
	return bytes, messages
}

// activationTimes returns percentiles of the times in seconds until the versions from
// first on were active.
func (c *Cluster) activationTimes(first uint64, r *Result) (p50, p99, longest float64) {
	var times []float64
	for v := first; v < uint64(len(c.checker.acceptedAt)); v++ {
		accepted := c.checker.acceptedAt[v]
		for _, p := range c.processes {
			at, ok := p.activatedAt(v)
			if !ok {
				r.Violations = append(r.Violations, fmt.Sprintf("version %d never became active in %s", v, p.self.Name))
				continue
			}
			times = append(times, (at - accepted).Seconds())
		}
	}
	return percentiles(times)
}

// activatedAt returns when the version or a later version became active in this run.
func (p *Process) activatedAt(version uint64) (time.Duration, bool) {
	for _, a := range p.activations {
		if a.version >= version {
			return a.at, true
		}
	}
	return 0, false
}

func percentiles(values []float64) (p50, p99, longest float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)*99/100], values[len(values)-1]
}

// measureLeaves makes some agents leave and returns the times in seconds until the
// others know it.
func (c *Cluster) measureLeaves(r *Result) (p99, longest float64) {
	var times []float64
	count := min(benchMaxLeaves, len(c.processes)/4)
	for i := range count {
		leaver := c.processes[len(c.processes)-1-i]
		leftAt := c.sim.now
		c.Leave(leaver)
		c.Run(benchEditInterval)
		for _, p := range c.processes {
			if p == leaver {
				continue
			}
			learnedAt, ok := c.checker.leaveLearnedAt[observationKey{p.self.Name, p.runNumber, leaver.self.Name}]
			if !ok {
				r.Violations = append(r.Violations, fmt.Sprintf("%s never learned that %s leaves", p.self.Name, leaver.self.Name))
				continue
			}
			times = append(times, (learnedAt - leftAt).Seconds())
		}
	}
	_, p99, longest = percentiles(times)
	return p99, longest
}

// measureRouterRestart restarts all routers at once and measures the traffic and the
// time until they have the current rules active.
func (r *Result) measureRouterRestart(c *Cluster) {
	const phaseDuration = 30 * time.Second
	routers := c.processes[:c.options.Routers]
	for _, p := range c.processes {
		p.sentBytes, p.receivedBytes = 0, 0
	}
	var agentBytes, routerBytes int
	restartedAt := c.sim.now
	load := c.measurePhase(phaseDuration, func() {
		for _, p := range routers {
			c.Restart(p, time.Millisecond)
		}
	})
	r.RestartStoreCalls = load.peakStoreCalls
	for i, p := range c.processes {
		if i < len(routers) {
			routerBytes += p.sentBytes + p.receivedBytes
		} else {
			agentBytes += p.sentBytes + p.receivedBytes
		}
	}
	r.RestartBytesPerSecond = float64(agentBytes) / phaseDuration.Seconds() / float64(len(c.processes)-len(routers))
	r.JoinBytes = float64(routerBytes) / float64(len(routers))
	wantVersion := uint64(len(c.checker.acceptedAt) - 1)
	for _, p := range routers {
		activatedAt, ok := p.activatedAt(wantVersion)
		if !ok {
			r.Violations = append(r.Violations, p.self.Name+" does not have the current rules active after the restart of all routers")
			continue
		}
		r.RestartActivationMax = max(r.RestartActivationMax, (activatedAt - restartedAt).Seconds())
	}
}

// measureProcess measures the state of one process at the size of the target
// deployment.
func measureProcess() ProcessCost {
	lines := make([]string, 0, fullRulesLines)
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
	for i := range fullRulesLines - len(lines) {
		lines = append(lines, fmt.Sprintf("host h-%d owner north # jose: split", i))
	}
	lines = append(lines, "half north teams team-1 # jose: split")
	text := strings.Join(lines, "\n")
	cost := ProcessCost{Bench: "agreement", Scope: "one process", RulesBytes: len(text)}
	runtime.GC()
	heapBefore := heapBytes()
	const rounds = 5
	started := cpuTime()
	var view *rules.View
	for range rounds {
		var err error
		if view, err = rules.Compile("rules", 1, text); err != nil {
			panic(err)
		}
	}
	cost.CompileMS = float64((cpuTime() - started).Microseconds()) / 1000 / rounds
	cost.CompileCPUPercent = cost.CompileMS / 10 * targetEditsPerSecond
	members := fullMembership(2480)
	runtime.GC()
	cost.HeapBytes = heapBytes() - heapBefore
	runtime.KeepAlive(members)
	runtime.KeepAlive(view)
	return cost
}

// fullMembership returns a membership state machine with n members, which share no
// strings.
func fullMembership(n int) *membership.StateMachine {
	c := NewCluster(Options{Seed: 1, Routers: 1, Agents: 1, Zones: 1})
	c.processes[0].start()
	members := c.processes[0].membership
	for i := range n {
		members.HandleDatagram(0, "10.0.0.1:7401", &membership.Datagram{From: "x", Members: []*membership.Member{{
			Name: fmt.Sprintf("agent-host-%d", i), Role: membership.RoleAgent, Zone: fmt.Sprintf("zone-%d", i%6),
			GRPCAddress: fmt.Sprintf("10.0.%d.%d:7400", i/256, i%256), GossipAddress: fmt.Sprintf("10.0.%d.%d:7401", i/256, i%256),
			Endpoint: fmt.Sprintf("llm-%d", i), Incarnation: 1, State: membership.Alive,
		}}})
	}
	return members
}

func heapBytes() float64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
