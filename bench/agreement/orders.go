package agreement

import (
	"fmt"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
	"github.com/arbutusline/arbutusline/rules"
)

// OrderFault is a deliberate fault in the handling of orders.
type OrderBug string

// Deliberate faults of orders.
const (
	NoOrderBug OrderBug = ""
	// OrderFaultNoGuard lets agents and engines take orders with old tokens.
	OrderBugNoFencing OrderBug = "no-guard"
	// OrderFaultNoRecord loses the progress records while the holder believes
	// that they were written.
	OrderBugLoseRecords OrderBug = "no-record"
	// OrderFaultBlindWrites ignores the expected version of writes.
	OrderBugUnconditionalWrites OrderBug = "blind-writes"
	// OrderFaultNoKeep plans as if no capacity were to be kept.
	OrderBugIgnoreMinServing OrderBug = "no-keep"
	// OrderFaultNoLimit plans as if the weight store bore any number of loads.
	OrderBugIgnoreLoadLimit OrderBug = "no-limit"
	// OrderFaultNoHalt hides failures of engines from the holder.
	OrderBugHideEngineFailures OrderBug = "no-halt"
)

// OrderOptions describe a run of orders under faults.
type OrderOptions struct {
	Seed                                  uint64
	Routers, Engines                      int
	MaxConcurrentLoads, MinServingPercent int
	// LoadTime is the shortest time of a load; up to as much is added.
	MinLoadTime time.Duration
	// Steps are the faults and changes of the run.
	Steps []OrderStep
	// Crash makes the engines fail on the first new version.
	CrashOnNewVersion bool
	Bug               OrderBug
}

// OrderStep is one fault or change in a run of orders.
type OrderStep struct {
	Kind             OrderStepKind
	Target           int
	DurationFraction float64
	DelayToNext      time.Duration
}

// OrderStepKind names a fault or change.
type OrderStepKind string

// Kinds of steps.
const (
	OrderStepPauseLeaseHolder   OrderStepKind = "pause-holder"
	OrderStepPauseRouter        OrderStepKind = "freeze"
	OrderStepRestartRouter      OrderStepKind = "restart"
	OrderStepRestartAllRouters  OrderStepKind = "restart-all"
	OrderStepStoreOutage        OrderStepKind = "outage"
	OrderStepLoseStoreResponses OrderStepKind = "lose-answers"
	OrderStepCrashEngine        OrderStepKind = "crash-engine"
	OrderStepRestartAgent       OrderStepKind = "restart-agent"
	OrderStepChangeRule         OrderStepKind = "change-rule"
	OrderStepDelayOrders        OrderStepKind = "late-orders"
)

// OrderStepKinds are all kinds.
var OrderStepKinds = []OrderStepKind{
	OrderStepPauseLeaseHolder, OrderStepPauseLeaseHolder, OrderStepPauseRouter, OrderStepRestartRouter, OrderStepRestartAllRouters, OrderStepStoreOutage,
	OrderStepLoseStoreResponses, OrderStepCrashEngine, OrderStepRestartAgent, OrderStepChangeRule, OrderStepDelayOrders,
}

type orderSimulation struct {
	options     OrderOptions
	sim         *sim
	store       *fakeObjectStore
	routers     []*orderRouter
	engines     []*engine
	rulesView   *rules.View
	ruleChanges int
	delayOrders bool
	violations  []string
	lastCrashAt time.Duration
	// failedAt is when the first engine failed on the new version.
	firstFailureAt time.Duration
	ruleChangedAt  time.Duration
	rulesVersion   uint64
	loadCount      int
}

const (
	engineRestartTime     = 2 * time.Second
	orderLatency          = 2 * time.Millisecond
	maxLateOrderDelay     = 15 * time.Second
	orderTimeout          = time.Second
	orderTickInterval     = 100 * time.Millisecond
	maxOrderFaultDuration = 25 * time.Second
)

func (r *orderSimulation) addViolation(format string, args ...any) {
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf("%v: ", r.sim.now)+fmt.Sprintf(format, args...))
	}
}

// RunOrders runs orders under faults and returns the violations.
func RunOrders(o OrderOptions) []string {
	r := &orderSimulation{options: o, sim: newSim(o.Seed)}
	r.store = &fakeObjectStore{simulation: r, objects: map[string]storedObject{}}
	for i := range o.Engines {
		r.engines = append(r.engines, &engine{
			name: fmt.Sprintf("llm-%02d", i), checksTokens: i%3 != 0, tokenGuard: &rollout.TokenGuard{},
			incarnation: uint64(i + 1), firstIncarnation: uint64(i + 1), weightsVersion: "v1", running: true,
		})
	}
	r.changeRolloutRule()
	for i := range o.Routers {
		h := &orderRouter{simulation: r, index: i}
		r.routers = append(r.routers, h)
		h.start()
	}
	r.sim.scheduleAfter(orderTickInterval, r.checkLeaseTokens)
	for _, s := range o.Steps {
		r.applyStep(s)
		r.sim.runUntil(r.sim.now + s.DelayToNext)
	}
	r.sim.runUntil(r.sim.now + 2*maxOrderFaultDuration)
	r.store.outage, r.store.responseLossRate, r.delayOrders = false, 0, false
	if !o.CrashOnNewVersion {
		r.options.CrashOnNewVersion = false
		r.changeRolloutRule()
	}
	r.sim.runUntil(r.sim.now + 2*time.Minute + time.Duration(o.Engines)*(10*time.Second+2*o.MinLoadTime))
	r.checkFinalState()
	return r.violations
}

func (r *orderSimulation) changeRolloutRule() {
	r.ruleChanges++
	r.rulesVersion++
	r.ruleChangedAt = r.sim.now
	minServingPercent, maxConcurrentLoads := r.options.MinServingPercent, r.options.MaxConcurrentLoads
	if r.options.Bug == OrderBugIgnoreLoadLimit {
		maxConcurrentLoads = r.options.Engines
	}
	if r.options.Bug == OrderBugIgnoreMinServing {
		minServingPercent = 0
	}
	var lines []string
	for _, e := range r.engines {
		lines = append(lines, fmt.Sprintf("endpoint %s model ledger-llm host h-%s zone a # jose: rack", e.name, e.name))
	}
	lines = append(lines, fmt.Sprintf("rollout ledger-llm version v%d loads %d keep %d%% # anitha: weights", r.ruleChanges+1, maxConcurrentLoads, minServingPercent))
	view, err := rules.Compile("rules", r.rulesVersion, strings.Join(lines, "\n"))
	if err != nil {
		panic(err)
	}
	r.rulesView = view
	for _, h := range r.routers {
		h.deliver(func() { h.rollout.SetRules(view) })
	}
}

func (r *orderSimulation) applyStep(s OrderStep) {
	duration := time.Duration(s.DurationFraction * float64(maxOrderFaultDuration))
	h := r.routers[s.Target%len(r.routers)]
	e := r.engines[s.Target%len(r.engines)]
	switch s.Kind {
	case OrderStepPauseLeaseHolder:
		for _, h := range r.routers {
			if _, holds := h.rollout.HoldsLease(r.sim.now); holds {
				h.pause(duration)
			}
		}
	case OrderStepPauseRouter:
		h.pause(duration)
	case OrderStepRestartRouter:
		h.start()
	case OrderStepRestartAllRouters:
		for _, h := range r.routers {
			h.start()
		}
	case OrderStepStoreOutage:
		r.store.outage = true
		r.sim.scheduleAfter(duration, func() { r.store.outage = false })
	case OrderStepLoseStoreResponses:
		r.store.responseLossRate = responseLossRate
		r.sim.scheduleAfter(duration, func() { r.store.responseLossRate = 0 })
	case OrderStepCrashEngine:
		r.crashEngine(e)
	case OrderStepRestartAgent:
		e.tokenGuard = &rollout.TokenGuard{}
	case OrderStepChangeRule:
		r.changeRolloutRule()
	case OrderStepDelayOrders:
		r.delayOrders = true
		r.sim.scheduleAfter(duration, func() { r.delayOrders = false })
	}
}

func (r *orderSimulation) engineByName(name string) *engine {
	for _, e := range r.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// check looks for two holders with the same token.
func (r *orderSimulation) checkLeaseTokens() {
	tokens := map[uint64]int{}
	for _, h := range r.routers {
		if token, holds := h.rollout.HoldsLease(r.sim.now); holds {
			if other, duplicate := tokens[token]; duplicate {
				r.addViolation("router-%d and router-%d hold token %d", other, h.index, token)
			}
			tokens[token] = h.index
		}
	}
	r.sim.scheduleAfter(orderTickInterval, r.checkLeaseTokens)
}

// final checks that the rollout came to its end.
func (r *orderSimulation) checkFinalState() {
	if r.loadCount == 0 {
		r.addViolation("no engine was ordered to load, so nothing was checked")
	}
	if r.options.CrashOnNewVersion {
		return
	}
	wantVersion := fmt.Sprintf("v%d", r.ruleChanges+1)
	for _, e := range r.engines {
		if e.weightsVersion != wantVersion {
			r.addViolation("%s ends with %s, wanted is %s", e.name, e.weightsVersion, wantVersion)
		}
	}
}
