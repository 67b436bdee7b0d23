package agreement

import (
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
)

// fakeRolloutStore is an object store with conditional writes for the lease and the
// rollout records.
type fakeRolloutStore struct {
	simulation       *orderSimulation
	objects          map[string]storedObject
	lastVersion      uint64
	outage           bool
	responseLossRate float64
}

type storedObject struct {
	value   []byte
	version uint64
}

// call simulates a store call. The result is unknown if the request or the response
// is lost; some of these writes take effect late.
func (s *fakeRolloutStore) call(router *orderRouter, call rollout.StoreCall) {
	sim, runNumber := s.simulation.sim, router.runNumber
	respond := func(delay time.Duration, result rollout.StoreResult, value []byte, version uint64) {
		sim.scheduleAfter(delay, func() {
			router.deliver(func() {
				if router.runNumber == runNumber {
					router.rollout.HandleStoreResult(sim.now, call.ID, result, value, version)
				}
			})
		})
	}
	sim.scheduleAfter(storeLatency+sim.randomDelay(storeLatency), func() {
		if s.outage {
			respond(storeLatency, rollout.StoreOutcomeUnknown, nil, 0)
			return
		}
		lost := sim.rng.Float64() < s.responseLossRate
		if lost && call.Value != nil && sim.rng.IntN(2) == 0 {
			// The write request itself is delayed.
			sim.scheduleAfter(sim.randomDelay(maxLateOrderDelay), func() { s.execute(call) })
			respond(callTimeout, rollout.StoreOutcomeUnknown, nil, 0)
			return
		}
		result, value, version := s.execute(call)
		if lost {
			respond(callTimeout, rollout.StoreOutcomeUnknown, nil, 0)
			return
		}
		respond(storeLatency, result, value, version)
	})
}

func (s *fakeRolloutStore) execute(call rollout.StoreCall) (rollout.StoreResult, []byte, uint64) {
	stored, exists := s.objects[call.Key]
	if call.Value == nil {
		if !exists {
			return rollout.StoreNotFound, nil, 0
		}
		return rollout.StoreOK, stored.value, stored.version
	}
	if stored.version != call.ExpectedVersion && s.simulation.options.Bug != OrderBugUnconditionalWrites {
		return rollout.StoreConflict, nil, stored.version
	}
	s.lastVersion++
	if s.simulation.options.Bug == OrderBugLoseRecords && strings.HasPrefix(call.Key, rollout.RecordKeyPrefix) {
		return rollout.StoreOK, nil, stored.version
	}
	s.objects[call.Key] = storedObject{call.Value, s.lastVersion}
	return rollout.StoreOK, nil, s.lastVersion
}
