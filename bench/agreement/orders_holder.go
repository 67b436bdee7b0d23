package agreement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
)

// orderRouter is a router, which may hold the lease and send orders.
type orderRouter struct {
	simulation    *orderSimulation
	index         int
	runNumber     int
	rollout       *rollout.StateMachine
	paused        bool
	pendingInputs []func()
}

func (r *orderRouter) start() {
	r.runNumber++
	r.paused, r.pendingInputs = false, nil
	r.rollout = rollout.New(rollout.Config{RouterName: fmt.Sprintf("router-%d", r.index), RouterIncarnation: uint64(r.runNumber)},
		rand.New(rand.NewPCG(r.simulation.sim.rng.Uint64(), 3)))
	r.rollout.SetRules(r.simulation.rulesView)
	r.rollout.SetCandidate(true)
	runNumber := r.runNumber
	var tick func()
	tick = func() {
		if r.runNumber != runNumber {
			return
		}
		r.deliver(func() { r.rollout.Tick(r.simulation.sim.now) })
		r.simulation.sim.scheduleAfter(orderTickInterval, tick)
	}
	r.simulation.sim.scheduleAfter(r.simulation.sim.randomDelay(orderTickInterval), tick)
}

func (r *orderRouter) pause(d time.Duration) {
	if r.paused {
		return
	}
	r.paused = true
	runNumber := r.runNumber
	r.simulation.sim.scheduleAfter(d, func() {
		if r.runNumber != runNumber {
			return
		}
		r.paused = false
		inputs := r.pendingInputs
		r.pendingInputs = nil
		for _, input := range inputs {
			input()
			r.runActions()
		}
	})
}

func (r *orderRouter) deliver(input func()) {
	if r.paused {
		if len(r.pendingInputs) < maxPendingInputs {
			r.pendingInputs = append(r.pendingInputs, input)
		}
		return
	}
	input()
	r.runActions()
}

func (r *orderRouter) runActions() {
	for {
		a := r.rollout.TakeActions()
		if a.StoreCall == nil && len(a.Orders) == 0 && len(a.ObserveEndpoints) == 0 {
			return
		}
		if a.StoreCall != nil {
			r.simulation.store.call(r, *a.StoreCall)
		}
		for _, o := range a.Orders {
			r.sendOrder(o)
		}
		for _, name := range a.ObserveEndpoints {
			r.observeEngine(r.simulation.engineByName(name))
		}
	}
}

// observeEngine reads an engine's state and delivers it after a delay.
func (r *orderRouter) observeEngine(e *engine) {
	observation := rollout.Observation{
		ObservedAt: r.simulation.sim.now, Serving: e.up && e.loadingVersion == "", WeightsVersion: e.weightsVersion, EngineIncarnation: e.incarnation,
	}
	if r.simulation.options.Bug == OrderBugHideEngineFailures {
		observation.EngineIncarnation = e.firstIncarnation
	}
	runNumber := r.runNumber
	r.simulation.sim.scheduleAfter(2*orderLatency+r.simulation.sim.randomDelay(20*time.Millisecond), func() {
		r.deliver(func() {
			if r.runNumber == runNumber {
				r.rollout.HandleObservation(e.name, observation)
			}
		})
	})
}

// sendOrder sends an order to an agent. While orders are delayed, some arrive late or
// twice and some responses are lost.
func (r *orderRouter) sendOrder(order rollout.Order) {
	e := r.simulation.engineByName(order.Endpoint)
	runNumber, answered := r.runNumber, false
	respond := func(result rollout.OrderResult) {
		r.deliver(func() {
			if r.runNumber == runNumber && !answered {
				answered = true
				r.rollout.HandleOrderResult(r.simulation.sim.now, order, result)
			}
		})
	}
	r.simulation.sim.scheduleAfter(orderTimeout, func() { respond(rollout.OrderOutcomeUnknown) })
	delay := orderLatency
	if r.simulation.delayOrders && r.simulation.sim.rng.IntN(3) == 0 {
		delay += r.simulation.sim.randomDelay(maxLateOrderDelay)
	}
	arrive := func() {
		r.simulation.handleOrderAtAgent(e, order, func(result rollout.OrderResult) {
			if r.simulation.delayOrders && r.simulation.sim.rng.IntN(4) == 0 {
				return
			}
			r.simulation.sim.scheduleAfter(orderLatency, func() { respond(result) })
		})
	}
	r.simulation.sim.scheduleAfter(delay, arrive)
	if r.simulation.delayOrders && r.simulation.sim.rng.IntN(4) == 0 {
		r.simulation.sim.scheduleAfter(r.simulation.sim.randomDelay(maxLateOrderDelay), arrive)
	}
}
