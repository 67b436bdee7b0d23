package agreement

import (
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
)

// kvStore is an object store with conditional writes.
type kvStore struct {
	r       *orderRun
	objects map[string]kvObject
	version uint64
	outage  bool
	lose    float64
}

type kvObject struct {
	value   []byte
	version uint64
}

// call runs a store call. A write whose request or answer is lost ends as
// unknown; some of those writes take effect late.
func (s *kvStore) call(h *holder, op rollout.StoreOp) {
	sim, run := s.r.sim, h.run
	answer := func(delay time.Duration, o rollout.StoreOutcome, value []byte, version uint64) {
		sim.after(delay, func() {
			h.deliver(func() {
				if h.run == run {
					h.machine.StoreDone(sim.now, op.ID, o, value, version)
				}
			})
		})
	}
	sim.after(storeLatency+sim.jitter(storeLatency), func() {
		if s.outage {
			answer(storeLatency, rollout.Unknown, nil, 0)
			return
		}
		lost := sim.rng.Float64() < s.lose
		if lost && op.Value != nil && sim.rng.IntN(2) == 0 {
			// The write itself is under way for long.
			sim.after(sim.jitter(lateOrderSpan), func() { s.apply(op) })
			answer(callTimeout, rollout.Unknown, nil, 0)
			return
		}
		o, value, version := s.apply(op)
		if lost {
			answer(callTimeout, rollout.Unknown, nil, 0)
			return
		}
		answer(storeLatency, o, value, version)
	})
}

func (s *kvStore) apply(op rollout.StoreOp) (rollout.StoreOutcome, []byte, uint64) {
	held, exists := s.objects[op.Key]
	if op.Value == nil {
		if !exists {
			return rollout.Absent, nil, 0
		}
		return rollout.OK, held.value, held.version
	}
	if held.version != op.Expect && s.r.o.Fault != OrderFaultBlindWrites {
		return rollout.Conflict, nil, held.version
	}
	s.version++
	if s.r.o.Fault == OrderFaultNoRecord && strings.HasPrefix(op.Key, rollout.RecordPrefix) {
		return rollout.OK, nil, held.version
	}
	s.objects[op.Key] = kvObject{op.Value, s.version}
	return rollout.OK, nil, s.version
}
