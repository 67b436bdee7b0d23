package agreement

import (
	"fmt"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
	"github.com/arbutusline/arbutusline/rules"
)

// OrderFault is a deliberate fault in the handling of orders.
type OrderFault string

// Deliberate faults of orders.
const (
	NoOrderFault OrderFault = ""
	// OrderFaultNoGuard lets agents and engines take orders with old tokens.
	OrderFaultNoGuard OrderFault = "no-guard"
	// OrderFaultNoRecord loses the progress records while the holder believes
	// that they were written.
	OrderFaultNoRecord OrderFault = "no-record"
	// OrderFaultBlindWrites ignores the expected version of writes.
	OrderFaultBlindWrites OrderFault = "blind-writes"
	// OrderFaultNoKeep plans as if no capacity were to be kept.
	OrderFaultNoKeep OrderFault = "no-keep"
	// OrderFaultNoLimit plans as if the weight store bore any number of loads.
	OrderFaultNoLimit OrderFault = "no-limit"
	// OrderFaultNoHalt hides failures of engines from the holder.
	OrderFaultNoHalt OrderFault = "no-halt"
)

// OrderOptions describe a run of orders under faults.
type OrderOptions struct {
	Seed             uint64
	Holders, Engines int
	Loads, Keep      int
	// LoadTime is the shortest time of a load; up to as much is added.
	LoadTime time.Duration
	// Steps are the faults and changes of the run.
	Steps []OrderStep
	// Crash makes the engines fail on the first new version.
	Crash bool
	Fault OrderFault
}

// OrderStep is one fault or change in a run of orders.
type OrderStep struct {
	Kind OrderStepKind
	Node int
	Span float64
	Gap  time.Duration
}

// OrderStepKind names a fault or change.
type OrderStepKind string

// Kinds of steps.
const (
	OrderStepPause       OrderStepKind = "pause-holder"
	OrderStepFreeze      OrderStepKind = "freeze"
	OrderStepRestart     OrderStepKind = "restart"
	OrderStepAllRestart  OrderStepKind = "restart-all"
	OrderStepOutage      OrderStepKind = "outage"
	OrderStepLoseAnswers OrderStepKind = "lose-answers"
	OrderStepCrashEngine OrderStepKind = "crash-engine"
	OrderStepAgent       OrderStepKind = "restart-agent"
	OrderStepRule        OrderStepKind = "change-rule"
	OrderStepLateOrders  OrderStepKind = "late-orders"
)

// OrderStepKinds are all kinds.
var OrderStepKinds = []OrderStepKind{
	OrderStepPause, OrderStepPause, OrderStepFreeze, OrderStepRestart, OrderStepAllRestart, OrderStepOutage,
	OrderStepLoseAnswers, OrderStepCrashEngine, OrderStepAgent, OrderStepRule, OrderStepLateOrders,
}

type orderRun struct {
	o          OrderOptions
	sim        *sim
	store      *kvStore
	holders    []*holder
	engines    []*engine
	view       *rules.View
	version    int
	late       bool
	violations []string
	crashedAt  time.Duration
	// failedAt is when the first engine failed on the new version.
	failedAt time.Duration
	ruleAt   time.Duration
	rulesNo  uint64
	loads    int
}

const (
	restartTime   = 2 * time.Second
	orderDelay    = 2 * time.Millisecond
	lateOrderSpan = 15 * time.Second
	orderTimeout  = time.Second
	orderTick     = 100 * time.Millisecond
	pauseSpan     = 25 * time.Second
)

func (r *orderRun) fail(format string, args ...any) {
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf("%v: ", r.sim.now)+fmt.Sprintf(format, args...))
	}
}

// RunOrders runs orders under faults and returns the violations.
func RunOrders(o OrderOptions) []string {
	r := &orderRun{o: o, sim: newSim(o.Seed)}
	r.store = &kvStore{r: r, objects: map[string]kvObject{}}
	for i := range o.Engines {
		r.engines = append(r.engines, &engine{
			name: fmt.Sprintf("llm-%02d", i), honours: i%3 != 0, guard: &rollout.TokenGuard{},
			incarnation: uint64(i + 1), first: uint64(i + 1), version: "v1", up: true,
		})
	}
	r.changeRule()
	for i := range o.Holders {
		h := &holder{r: r, index: i}
		r.holders = append(r.holders, h)
		h.start()
	}
	r.sim.after(orderTick, r.check)
	for _, s := range o.Steps {
		r.step(s)
		r.sim.runUntil(r.sim.now + s.Gap)
	}
	r.sim.runUntil(r.sim.now + 2*pauseSpan)
	r.store.outage, r.store.lose, r.late = false, 0, false
	if !o.Crash {
		r.o.Crash = false
		r.changeRule()
	}
	r.sim.runUntil(r.sim.now + 2*time.Minute + time.Duration(o.Engines)*(10*time.Second+2*o.LoadTime))
	r.final()
	return r.violations
}

func (r *orderRun) changeRule() {
	r.version++
	r.rulesNo++
	r.ruleAt = r.sim.now
	keep, loads := r.o.Keep, r.o.Loads
	if r.o.Fault == OrderFaultNoLimit {
		loads = r.o.Engines
	}
	if r.o.Fault == OrderFaultNoKeep {
		keep = 0
	}
	var lines []string
	for _, e := range r.engines {
		lines = append(lines, fmt.Sprintf("endpoint %s model ledger-llm host h-%s zone a # jose: rack", e.name, e.name))
	}
	lines = append(lines, fmt.Sprintf("rollout ledger-llm version v%d loads %d keep %d%% # anitha: weights", r.version+1, loads, keep))
	view, err := rules.Compile("rules", r.rulesNo, strings.Join(lines, "\n"))
	if err != nil {
		panic(err)
	}
	r.view = view
	for _, h := range r.holders {
		h.deliver(func() { h.machine.SetRules(view) })
	}
}

func (r *orderRun) step(s OrderStep) {
	span := time.Duration(s.Span * float64(pauseSpan))
	h := r.holders[s.Node%len(r.holders)]
	e := r.engines[s.Node%len(r.engines)]
	switch s.Kind {
	case OrderStepPause:
		for _, h := range r.holders {
			if _, holds := h.machine.HoldsLease(r.sim.now); holds {
				h.freeze(span)
			}
		}
	case OrderStepFreeze:
		h.freeze(span)
	case OrderStepRestart:
		h.start()
	case OrderStepAllRestart:
		for _, h := range r.holders {
			h.start()
		}
	case OrderStepOutage:
		r.store.outage = true
		r.sim.after(span, func() { r.store.outage = false })
	case OrderStepLoseAnswers:
		r.store.lose = lossyAnswer
		r.sim.after(span, func() { r.store.lose = 0 })
	case OrderStepCrashEngine:
		r.crash(e)
	case OrderStepAgent:
		e.guard = &rollout.TokenGuard{}
	case OrderStepRule:
		r.changeRule()
	case OrderStepLateOrders:
		r.late = true
		r.sim.after(span, func() { r.late = false })
	}
}

func (r *orderRun) engineOf(name string) *engine {
	for _, e := range r.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// check looks for two holders with the same token.
func (r *orderRun) check() {
	tokens := map[uint64]int{}
	for _, h := range r.holders {
		if token, holds := h.machine.HoldsLease(r.sim.now); holds {
			if other, taken := tokens[token]; taken {
				r.fail("router-%d and router-%d hold token %d", other, h.index, token)
			}
			tokens[token] = h.index
		}
	}
	r.sim.after(orderTick, r.check)
}

// final checks that the rollout came to its end.
func (r *orderRun) final() {
	if r.loads == 0 {
		r.fail("no engine was ordered to load, so nothing was checked")
	}
	if r.o.Crash {
		return
	}
	want := fmt.Sprintf("v%d", r.version+1)
	for _, e := range r.engines {
		if e.version != want {
			r.fail("%s ends with %s, wanted is %s", e.name, e.version, want)
		}
	}
}
