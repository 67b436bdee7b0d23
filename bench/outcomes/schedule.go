package outcomes

import (
	"fmt"
	"time"
)

// FaultKind is a kind of failure that a schedule injects.
type FaultKind string

// Kinds of faults.
const (
	KillRouter            FaultKind = "kill-router"
	KillAgent             FaultKind = "kill-agent"
	CrashEngine           FaultKind = "kill-engine"
	PauseRouter           FaultKind = "freeze-router"
	PauseAgent            FaultKind = "freeze-agent"
	DisconnectRouterAgent FaultKind = "cut-router-agent"
	DisconnectRouters     FaultKind = "cut-routers"
	DisconnectRouterStore FaultKind = "cut-store"
	StoreOutage           FaultKind = "store-outage"
	SlowStore             FaultKind = "store-slow"
	LoseStoreResponses    FaultKind = "store-lost-answers"
	DelayedMessages       FaultKind = "late-messages"
	// MisdeliveredEvents delivers events on the connections of other attempts.
	MisdeliveredEvents FaultKind = "crossed-answers"
	ClockJump          FaultKind = "clock-jump"
	// RestartTogether kills all routers at once, in half of the cases the agents too,
	// and restarts them 1 ms apart.
	RestartTogether FaultKind = "restart-herd"
	StopRouter      FaultKind = "stop-router"
	StopAgent       FaultKind = "stop-agent"
	// EngineCrashingRequest submits copies of a request that crashes its engine.
	EngineCrashingRequest FaultKind = "bad-request"
	ChangeWeights         FaultKind = "new-weights"
)

// AllFaultKinds lists every kind.
var AllFaultKinds = []FaultKind{KillRouter, KillAgent, CrashEngine, PauseRouter, PauseAgent, DisconnectRouterAgent, DisconnectRouters,
	DisconnectRouterStore, StoreOutage, SlowStore, LoseStoreResponses, DelayedMessages, MisdeliveredEvents, ClockJump, RestartTogether, StopRouter,
	StopAgent, EngineCrashingRequest, ChangeWeights}

// FaultEvent is one fault of a schedule.
type FaultEvent struct {
	Kind FaultKind
	At   time.Duration
	// Duration is how long the fault lasts, or how long the process stays down.
	Duration time.Duration
	// ChoiceA and ChoiceB are random numbers that select the affected processes and
	// variants of the fault.
	ChoiceA, ChoiceB int
}

func (e FaultEvent) String() string {
	return fmt.Sprintf("%v %s %d %d for %v", e.At, e.Kind, e.ChoiceA, e.ChoiceB, e.Duration)
}

// Schedule describes a simulation: its seed and the faults that it injects.
type Schedule struct {
	Seed   uint64
	Faults []FaultEvent
}

// Phases of a scheduled simulation. Faults and load both begin at the start.
const (
	faultPhaseDuration = 10 * time.Second
	loadPhaseDuration  = 12 * time.Second
	// settlePhaseDuration is long enough for every wait and retry to end.
	settlePhaseDuration = 40 * time.Second
	// callerRetryWindow is how long a caller sends a request again.
	callerRetryWindow   = 25 * time.Second
	meanRequestInterval = 50 * time.Millisecond
)

// RandomIntN returns a random number in [0, n).
type RandomIntN func(n int) int

// RandomSchedule returns a schedule with 1 to maxFaults faults of the given kinds.
func RandomSchedule(seed uint64, intN RandomIntN, kinds []FaultKind, maxFaults int) Schedule {
	s := Schedule{Seed: seed}
	at := time.Duration(0)
	for range 1 + intN(maxFaults) {
		if intN(2) == 0 {
			at = time.Duration(intN(int(faultPhaseDuration/time.Millisecond))) * time.Millisecond
		} else {
			// Half of the faults start within 500 ms of the previous one.
			at += time.Duration(intN(500)) * time.Millisecond
		}
		s.Faults = append(s.Faults, FaultEvent{
			Kind:     kinds[intN(len(kinds))],
			At:       at,
			Duration: time.Duration(50+intN(6000)) * time.Millisecond,
			ChoiceA:  intN(12),
			ChoiceB:  intN(12),
		})
	}
	return s
}

// injectFault starts a fault and ends it after its duration.
func (cl *cluster) injectFault(e FaultEvent) {
	router1 := cl.routerNames[e.ChoiceA%len(cl.routerNames)]
	router2 := cl.routerNames[e.ChoiceB%len(cl.routerNames)]
	agentName := cl.agentNames[e.ChoiceB%len(cl.agentNames)]
	afterDuration := func(fn func()) { cl.sim.scheduleAfter(e.Duration, fn) }
	switch e.Kind {
	case KillRouter:
		cl.kill(router1)
		afterDuration(func() { cl.restart(router1) })
	case KillAgent:
		cl.kill(agentName)
		afterDuration(func() { cl.restart(agentName) })
	case CrashEngine:
		cl.agents[agentName].engine.crash()
	case PauseRouter:
		cl.pause(router1, e.Duration)
	case PauseAgent:
		cl.pause(agentName, e.Duration)
	case DisconnectRouterAgent:
		cl.disconnectFor(router1, agentName, e.Duration)
	case DisconnectRouters:
		if router1 != router2 {
			cl.disconnectFor(router1, router2, e.Duration)
		}
	case DisconnectRouterStore:
		cl.disconnectFor(router1, storeName, e.Duration)
	case StoreOutage:
		cl.store.outage = true
		afterDuration(func() { cl.store.outage = false })
	case SlowStore:
		cl.store.maxExtraLatency = 1500 * time.Millisecond
		afterDuration(func() { cl.store.maxExtraLatency = 0 })
	case LoseStoreResponses:
		cl.store.responseLossRate = 0.4
		afterDuration(func() { cl.store.responseLossRate = 0 })
	case DelayedMessages:
		cl.network.delayProbability, cl.network.maxDelay = 0.1, 3*time.Second
		afterDuration(func() { cl.network.delayProbability = 0 })
	case MisdeliveredEvents:
		cl.network.misdeliveryProbability = 0.05
		afterDuration(func() { cl.network.misdeliveryProbability = 0 })
	case ClockJump:
		// 30 h exceed the default retention of the ledger. The clock jumps in either
		// direction.
		cl.routers[router1].clockSkew += time.Duration(e.ChoiceB%2*2-1) * 30 * time.Hour
	case RestartTogether:
		for i, name := range cl.processNames {
			if e.ChoiceB%2 == 0 && cl.agents[name] != nil {
				continue
			}
			cl.kill(name)
			cl.sim.scheduleAfter(e.Duration/8+time.Duration(i)*time.Millisecond, func() { cl.restart(name) })
		}
	case StopRouter:
		cl.shutdown(router1)
		cl.restartAfterStop(router1, e.Duration)
	case StopAgent:
		cl.shutdown(agentName)
		cl.restartAfterStop(agentName, e.Duration)
	case EngineCrashingRequest:
		cl.submitCrashingRequest(1 + e.ChoiceA%3)
	case ChangeWeights:
		cl.agents[agentName].engine.weightsVersion += "+"
	}
}

// restartAfterStop restarts a process once it has stopped. It checks every d.
func (cl *cluster) restartAfterStop(name string, d time.Duration) {
	cl.sim.scheduleAfter(d, func() {
		if cl.processByName(name).running {
			cl.restartAfterStop(name, d)
			return
		}
		cl.restart(name)
	})
}

func (cl *cluster) pause(name string, d time.Duration) {
	p := cl.processByName(name)
	p.pausedUntil = max(p.pausedUntil, cl.sim.now+d)
}

func (cl *cluster) disconnectFor(a, b string, d time.Duration) {
	cl.network.disconnectedPairs[unorderedPair(a, b)] = true
	cl.sim.scheduleAfter(d, func() { delete(cl.network.disconnectedPairs, unorderedPair(a, b)) })
}

// submitCrashingRequest submits copies of a request that crashes its engine. Each caller
// sends it again up to six times, even after it is quarantined.
func (cl *cluster) submitCrashingRequest(copies int) {
	cl.requestCount++
	req := &request{key: fmt.Sprintf("bad%d", cl.requestCount), team: "t1", outputTokens: 40, crashAtToken: 3, prompt: promptWithSharedPrefix(cl.requestCount)}
	for range copies {
		cl.submitRequest(req, callerRetryWindow).remainingResends = 6
	}
}

// promptWithSharedPrefix returns a prompt that starts with one of three prefixes. Each
// prefix is shared by a third of all prompts.
func promptWithSharedPrefix(n int) string {
	shared := fmt.Sprintf("%0512d", n%3)
	return shared + fmt.Sprintf("%0256d", n)
}

// submitLoad submits requests until end, about one per interval, without waiting for
// their outcomes.
func (cl *cluster) submitLoad(end time.Duration, interval time.Duration) {
	if cl.sim.now >= end {
		return
	}
	cl.requestCount++
	n := cl.requestCount
	req := &request{key: fmt.Sprintf("q%d", n), team: fmt.Sprintf("t%d", 1+n/2%2), atMostOnce: n%2 == 0, outputTokens: 5 + n%40,
		crashAtToken: -1, prompt: promptWithSharedPrefix(n)}
	if n%10 == 0 {
		req.serviceDuration = time.Duration(n%7) * 400 * time.Millisecond
	}
	cl.submitRequest(req, callerRetryWindow)
	if req.atMostOnce && n%4 == 0 {
		// A caller may send a second copy without waiting for the first.
		cl.sim.scheduleAfter(cl.sim.randomDuration(0, 300*time.Millisecond), func() { cl.submitRequest(req, callerRetryWindow) })
	}
	cl.sim.scheduleAfter(cl.sim.randomDuration(interval/2, interval*3/2), func() { cl.submitLoad(end, interval) })
}

// Run simulates a schedule and returns the violations of invariants.
func (s Schedule) Run(cfg Config) ([]Violation, Summary) {
	cl := s.simulate(cfg)
	return cl.history.check()
}

func (s Schedule) simulate(cfg Config) *cluster {
	cfg.Seed = s.Seed
	cl := newCluster(cfg)
	for _, e := range s.Faults {
		cl.sim.scheduleAt(e.At, func() { cl.injectFault(e) })
	}
	cl.submitLoad(loadPhaseDuration, meanRequestInterval)
	cl.sim.runUntil(loadPhaseDuration + settlePhaseDuration)
	return cl
}
