package agreement

import (
	"fmt"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
	"github.com/arbutusline/arbutusline/rules"
)

// OrderBug is a bug injected into the handling of orders, which the checks must
// detect.
type OrderBug string

// Injected bugs in the handling of orders.
const (
	NoOrderBug OrderBug = ""
	// OrderBugNoFencing lets agents and engines accept orders with old fencing
	// tokens.
	OrderBugNoFencing OrderBug = "no-guard"
	// OrderBugLoseRecords loses rollout records although their writes succeed.
	OrderBugLoseRecords OrderBug = "no-record"
	// OrderBugUnconditionalWrites ignores the expected version of writes.
	OrderBugUnconditionalWrites OrderBug = "blind-writes"
	// OrderBugIgnoreMinServing plans without a minimum of serving engines.
	OrderBugIgnoreMinServing OrderBug = "no-keep"
	// OrderBugIgnoreLoadLimit plans without a limit of concurrent loads.
	OrderBugIgnoreLoadLimit OrderBug = "no-limit"
	// OrderBugHideEngineFailures hides engine restarts from the lease holder.
	OrderBugHideEngineFailures OrderBug = "no-halt"
)

// OrderOptions are the parameters of a simulated rollout under faults.
type OrderOptions struct {
	Seed                                  uint64
	Routers, Engines                      int
	MaxConcurrentLoads, MinServingPercent int
	// MinLoadTime is the shortest time of a weights load. A random time of up to the
	// same length is added.
	MinLoadTime time.Duration
	// Steps are the faults and changes of the run.
	Steps []OrderStep
	// CrashOnNewVersion makes engines crash on the first new version.
	CrashOnNewVersion bool
	Bug               OrderBug
}

// OrderStep is one fault or change during a rollout.
type OrderStep struct {
	Kind OrderStepKind
	// Target is the index of the router or engine, taken modulo their number.
	Target int
	// DurationFraction is the duration of the fault as a share of its maximum, from
	// 0 to 1.
	DurationFraction float64
	// DelayToNext is the time until the next step.
	DelayToNext time.Duration
}

// OrderStepKind is the kind of a fault or change.
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

// OrderStepKinds are the kinds to draw from. OrderStepPauseLeaseHolder occurs twice,
// so that it is drawn more often.
var OrderStepKinds = []OrderStepKind{
	OrderStepPauseLeaseHolder, OrderStepPauseLeaseHolder, OrderStepPauseRouter, OrderStepRestartRouter, OrderStepRestartAllRouters, OrderStepStoreOutage,
	OrderStepLoseStoreResponses, OrderStepCrashEngine, OrderStepRestartAgent, OrderStepChangeRule, OrderStepDelayOrders,
}

// orderSimulation simulates the routers, engines and store of a rollout.
type orderSimulation struct {
	options     OrderOptions
	sim         *simulator
	store       *fakeRolloutStore
	routers     []*orderRouter
	engines     []*engine
	rulesView   *rules.View
	ruleChanges int
	delayOrders bool
	violations  []string
	lastCrashAt time.Duration
	// firstFailureAt is when the first engine crashed on the new version.
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

func (s *orderSimulation) addViolation(format string, args ...any) {
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, fmt.Sprintf("%v: ", s.sim.now)+fmt.Sprintf(format, args...))
	}
}

// RunOrders simulates a rollout under faults and returns the violations.
func RunOrders(o OrderOptions) []string {
	s := &orderSimulation{options: o, sim: newSimulator(o.Seed)}
	s.store = &fakeRolloutStore{simulation: s, objects: map[string]storedObject{}}
	for i := range o.Engines {
		s.engines = append(s.engines, &engine{
			name: fmt.Sprintf("llm-%02d", i), checksFencingTokens: i%3 != 0, fencingTokenGuard: &rollout.FencingTokenGuard{},
			incarnation: uint64(i + 1), firstIncarnation: uint64(i + 1), weightsVersion: "v1", up: true,
		})
	}
	s.changeRolloutRule()
	for i := range o.Routers {
		router := &orderRouter{simulation: s, index: i}
		s.routers = append(s.routers, router)
		router.start()
	}
	s.sim.scheduleAfter(orderTickInterval, s.checkLeaseTokens)
	for _, step := range o.Steps {
		s.applyStep(step)
		s.sim.runUntil(s.sim.now + step.DelayToNext)
	}
	s.sim.runUntil(s.sim.now + 2*maxOrderFaultDuration)
	s.store.outage, s.store.responseLossRate, s.delayOrders = false, 0, false
	if !o.CrashOnNewVersion {
		s.options.CrashOnNewVersion = false
		s.changeRolloutRule()
	}
	s.sim.runUntil(s.sim.now + 2*time.Minute + time.Duration(o.Engines)*(10*time.Second+2*o.MinLoadTime))
	s.checkFinalState()
	return s.violations
}

func (s *orderSimulation) changeRolloutRule() {
	s.ruleChanges++
	s.rulesVersion++
	s.ruleChangedAt = s.sim.now
	minServingPercent, maxConcurrentLoads := s.options.MinServingPercent, s.options.MaxConcurrentLoads
	if s.options.Bug == OrderBugIgnoreLoadLimit {
		maxConcurrentLoads = s.options.Engines
	}
	if s.options.Bug == OrderBugIgnoreMinServing {
		minServingPercent = 0
	}
	var lines []string
	for _, e := range s.engines {
		lines = append(lines, fmt.Sprintf("endpoint %s model ledger-llm host h-%s zone a # jose: rack", e.name, e.name))
	}
	lines = append(lines, fmt.Sprintf("rollout ledger-llm version v%d loads %d keep %d%% # anitha: weights", s.ruleChanges+1, maxConcurrentLoads, minServingPercent))
	view, err := rules.Compile("rules", s.rulesVersion, strings.Join(lines, "\n"))
	if err != nil {
		panic(err)
	}
	s.rulesView = view
	for _, router := range s.routers {
		router.deliver(func() { router.rollout.SetRules(view) })
	}
}

func (s *orderSimulation) applyStep(step OrderStep) {
	duration := time.Duration(step.DurationFraction * float64(maxOrderFaultDuration))
	router := s.routers[step.Target%len(s.routers)]
	engine := s.engines[step.Target%len(s.engines)]
	switch step.Kind {
	case OrderStepPauseLeaseHolder:
		for _, router := range s.routers {
			if _, holds := router.rollout.HoldsLease(s.sim.now); holds {
				router.pause(duration)
			}
		}
	case OrderStepPauseRouter:
		router.pause(duration)
	case OrderStepRestartRouter:
		router.start()
	case OrderStepRestartAllRouters:
		for _, router := range s.routers {
			router.start()
		}
	case OrderStepStoreOutage:
		s.store.outage = true
		s.sim.scheduleAfter(duration, func() { s.store.outage = false })
	case OrderStepLoseStoreResponses:
		s.store.responseLossRate = storeResponseLossRate
		s.sim.scheduleAfter(duration, func() { s.store.responseLossRate = 0 })
	case OrderStepCrashEngine:
		s.crashEngine(engine)
	case OrderStepRestartAgent:
		engine.fencingTokenGuard = &rollout.FencingTokenGuard{}
	case OrderStepChangeRule:
		s.changeRolloutRule()
	case OrderStepDelayOrders:
		s.delayOrders = true
		s.sim.scheduleAfter(duration, func() { s.delayOrders = false })
	}
}

func (s *orderSimulation) engineByName(name string) *engine {
	for _, e := range s.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// checkLeaseTokens checks that no two routers hold the lease with the same token.
func (s *orderSimulation) checkLeaseTokens() {
	tokens := map[uint64]int{}
	for _, router := range s.routers {
		if token, holds := router.rollout.HoldsLease(s.sim.now); holds {
			if other, duplicate := tokens[token]; duplicate {
				s.addViolation("router-%d and router-%d both hold the lease with token %d", other, router.index, token)
			}
			tokens[token] = router.index
		}
	}
	s.sim.scheduleAfter(orderTickInterval, s.checkLeaseTokens)
}

// checkFinalState checks that orders were sent and the rollout is complete.
func (s *orderSimulation) checkFinalState() {
	if s.loadCount == 0 {
		s.addViolation("no engine was ordered to load, so nothing was checked")
	}
	if s.options.CrashOnNewVersion {
		return
	}
	wantVersion := fmt.Sprintf("v%d", s.ruleChanges+1)
	for _, e := range s.engines {
		if e.weightsVersion != wantVersion {
			s.addViolation("%s ends with weights %s, the rules name %s", e.name, e.weightsVersion, wantVersion)
		}
	}
}
