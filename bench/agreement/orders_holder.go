package agreement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
)

// holder is a router that may hold the lease.
type orderRouter struct {
	simulation    *orderSimulation
	index         int
	runNumber     int
	rollout       *rollout.StateMachine
	paused        bool
	pendingInputs []func()
}

func (h *orderRouter) start() {
	h.runNumber++
	h.paused, h.pendingInputs = false, nil
	h.rollout = rollout.New(rollout.Config{RouterName: fmt.Sprintf("router-%d", h.index), RouterIncarnation: uint64(h.runNumber)},
		rand.New(rand.NewPCG(h.simulation.sim.rng.Uint64(), 3)))
	h.rollout.SetRules(h.simulation.rulesView)
	h.rollout.SetCandidate(true)
	runNumber := h.runNumber
	var tick func()
	tick = func() {
		if h.runNumber != runNumber {
			return
		}
		h.deliver(func() { h.rollout.Tick(h.simulation.sim.now) })
		h.simulation.sim.scheduleAfter(orderTickInterval, tick)
	}
	h.simulation.sim.scheduleAfter(h.simulation.sim.randomDelay(orderTickInterval), tick)
}

func (h *orderRouter) pause(d time.Duration) {
	if h.paused {
		return
	}
	h.paused = true
	runNumber := h.runNumber
	h.simulation.sim.scheduleAfter(d, func() {
		if h.runNumber != runNumber {
			return
		}
		h.paused = false
		inputs := h.pendingInputs
		h.pendingInputs = nil
		for _, input := range inputs {
			input()
			h.runActions()
		}
	})
}

func (h *orderRouter) deliver(input func()) {
	if h.paused {
		if len(h.pendingInputs) < maxPendingInputs {
			h.pendingInputs = append(h.pendingInputs, input)
		}
		return
	}
	input()
	h.runActions()
}

func (h *orderRouter) runActions() {
	for {
		a := h.rollout.TakeActions()
		if a.StoreCall == nil && len(a.Orders) == 0 && len(a.ObserveEndpoints) == 0 {
			return
		}
		if a.StoreCall != nil {
			h.simulation.store.call(h, *a.StoreCall)
		}
		for _, o := range a.Orders {
			h.sendOrder(o)
		}
		for _, name := range a.ObserveEndpoints {
			h.observeEngine(h.simulation.engineByName(name))
		}
	}
}

// observe reads an engine's state; the answer takes a while.
func (h *orderRouter) observeEngine(e *engine) {
	observation := rollout.Observation{
		ObservedAt: h.simulation.sim.now, Serving: e.running && e.loadingVersion == "", WeightsVersion: e.weightsVersion, EngineIncarnation: e.incarnation,
	}
	if h.simulation.options.Bug == OrderBugHideEngineFailures {
		observation.EngineIncarnation = e.firstIncarnation
	}
	runNumber := h.runNumber
	h.simulation.sim.scheduleAfter(2*orderLatency+h.simulation.sim.randomDelay(20*time.Millisecond), func() {
		h.deliver(func() {
			if h.runNumber == runNumber {
				h.rollout.HandleObservation(e.name, observation)
			}
		})
	})
}

// send delivers an order. Some arrive late, and some answers are lost.
func (h *orderRouter) sendOrder(order rollout.Order) {
	e := h.simulation.engineByName(order.Endpoint)
	runNumber, answered := h.runNumber, false
	respond := func(result rollout.OrderResult) {
		h.deliver(func() {
			if h.runNumber == runNumber && !answered {
				answered = true
				h.rollout.HandleOrderResult(h.simulation.sim.now, order, result)
			}
		})
	}
	h.simulation.sim.scheduleAfter(orderTimeout, func() { respond(rollout.OrderOutcomeUnknown) })
	delay := orderLatency
	if h.simulation.delayOrders && h.simulation.sim.rng.IntN(3) == 0 {
		delay += h.simulation.sim.randomDelay(maxLateOrderDelay)
	}
	arrive := func() {
		h.simulation.handleOrderAtAgent(e, order, func(result rollout.OrderResult) {
			if h.simulation.delayOrders && h.simulation.sim.rng.IntN(4) == 0 {
				return
			}
			h.simulation.sim.scheduleAfter(orderLatency, func() { respond(result) })
		})
	}
	h.simulation.sim.scheduleAfter(delay, arrive)
	if h.simulation.delayOrders && h.simulation.sim.rng.IntN(4) == 0 {
		h.simulation.sim.scheduleAfter(h.simulation.sim.randomDelay(maxLateOrderDelay), arrive)
	}
}
