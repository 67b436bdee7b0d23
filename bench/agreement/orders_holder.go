package agreement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
)

// holder is a router that may hold the lease.
type holder struct {
	r       *orderRun
	index   int
	run     int
	machine *rollout.StateMachine
	frozen  bool
	inbox   []func()
}

func (h *holder) start() {
	h.run++
	h.frozen, h.inbox = false, nil
	h.machine = rollout.New(rollout.Config{RouterName: fmt.Sprintf("router-%d", h.index), RouterIncarnation: uint64(h.run)},
		rand.New(rand.NewPCG(h.r.sim.rng.Uint64(), 3)))
	h.machine.SetRules(h.r.view)
	h.machine.SetCandidate(true)
	run := h.run
	var tick func()
	tick = func() {
		if h.run != run {
			return
		}
		h.deliver(func() { h.machine.Tick(h.r.sim.now) })
		h.r.sim.after(orderTick, tick)
	}
	h.r.sim.after(h.r.sim.jitter(orderTick), tick)
}

func (h *holder) freeze(d time.Duration) {
	if h.frozen {
		return
	}
	h.frozen = true
	run := h.run
	h.r.sim.after(d, func() {
		if h.run != run {
			return
		}
		h.frozen = false
		inbox := h.inbox
		h.inbox = nil
		for _, f := range inbox {
			f()
			h.act()
		}
	})
}

func (h *holder) deliver(f func()) {
	if h.frozen {
		if len(h.inbox) < maxInbox {
			h.inbox = append(h.inbox, f)
		}
		return
	}
	f()
	h.act()
}

func (h *holder) act() {
	for {
		a := h.machine.TakeActions()
		if a.StoreCall == nil && len(a.Orders) == 0 && len(a.ObserveEndpoints) == 0 {
			return
		}
		if a.StoreCall != nil {
			h.r.store.call(h, *a.StoreCall)
		}
		for _, o := range a.Orders {
			h.send(o)
		}
		for _, name := range a.ObserveEndpoints {
			h.observe(h.r.engineOf(name))
		}
	}
}

// observe reads an engine's state; the answer takes a while.
func (h *holder) observe(e *engine) {
	o := rollout.Observation{
		ObservedAt: h.r.sim.now, Serving: e.up && e.loading == "", WeightsVersion: e.version, EngineIncarnation: e.incarnation,
	}
	if h.r.o.Fault == OrderFaultNoHalt {
		o.EngineIncarnation = e.first
	}
	run := h.run
	h.r.sim.after(2*orderDelay+h.r.sim.jitter(20*time.Millisecond), func() {
		h.deliver(func() {
			if h.run == run {
				h.machine.HandleObservation(e.name, o)
			}
		})
	})
}

// send delivers an order. Some arrive late, and some answers are lost.
func (h *holder) send(o rollout.Order) {
	e := h.r.engineOf(o.Endpoint)
	run, answered := h.run, false
	answer := func(result rollout.OrderResult) {
		h.deliver(func() {
			if h.run == run && !answered {
				answered = true
				h.machine.HandleOrderResult(h.r.sim.now, o, result)
			}
		})
	}
	h.r.sim.after(orderTimeout, func() { answer(rollout.OrderOutcomeUnknown) })
	delay := orderDelay
	if h.r.late && h.r.sim.rng.IntN(3) == 0 {
		delay += h.r.sim.jitter(lateOrderSpan)
	}
	arrive := func() {
		h.r.atAgent(e, o, func(result rollout.OrderResult) {
			if h.r.late && h.r.sim.rng.IntN(4) == 0 {
				return
			}
			h.r.sim.after(orderDelay, func() { answer(result) })
		})
	}
	h.r.sim.after(delay, arrive)
	if h.r.late && h.r.sim.rng.IntN(4) == 0 {
		h.r.sim.after(h.r.sim.jitter(lateOrderSpan), arrive)
	}
}
