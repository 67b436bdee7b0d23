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
func (s *kvStore) call(h *holder, op rollout.StoreCall) {
	sim, run := s.r.sim, h.run
	answer := func(delay time.Duration, o rollout.StoreResult, value []byte, version uint64) {
		sim.after(delay, func() {
			h.deliver(func() {
				if h.run == run {
					h.machine.HandleStoreResult(sim.now, op.ID, o, value, version)
				}
			})
		})
	}
	sim.after(storeLatency+sim.jitter(storeLatency), func() {
		if s.outage {
			answer(storeLatency, rollout.StoreOutcomeUnknown, nil, 0)
			return
		}
		lost := sim.rng.Float64() < s.lose
		if lost && op.Value != nil && sim.rng.IntN(2) == 0 {
			// The write itself is under way for long.
			sim.after(sim.jitter(lateOrderSpan), func() { s.apply(op) })
			answer(callTimeout, rollout.StoreOutcomeUnknown, nil, 0)
			return
		}
		o, value, version := s.apply(op)
		if lost {
			answer(callTimeout, rollout.StoreOutcomeUnknown, nil, 0)
			return
		}
		answer(storeLatency, o, value, version)
	})
}

func (s *kvStore) apply(op rollout.StoreCall) (rollout.StoreResult, []byte, uint64) {
	held, exists := s.objects[op.Key]
	if op.Value == nil {
		if !exists {
			return rollout.StoreNotFound, nil, 0
		}
		return rollout.StoreOK, held.value, held.version
	}
	if held.version != op.ExpectedVersion && s.r.o.Fault != OrderFaultBlindWrites {
		return rollout.StoreConflict, nil, held.version
	}
	s.version++
	if s.r.o.Fault == OrderFaultNoRecord && strings.HasPrefix(op.Key, rollout.RecordKeyPrefix) {
		return rollout.StoreOK, nil, held.version
	}
	s.objects[op.Key] = kvObject{op.Value, s.version}
	return rollout.StoreOK, nil, s.version
}
