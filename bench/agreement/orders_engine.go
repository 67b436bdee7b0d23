package agreement

import (
	"encoding/json"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
)

// engine is a simulated engine and its agent.
type engine struct {
	name string
	// checksFencingTokens means that the engine itself rejects old fencing tokens.
	checksFencingTokens bool
	fencingTokenGuard   *rollout.FencingTokenGuard
	highestFencingToken uint64
	incarnation         uint64
	firstIncarnation    uint64
	weightsVersion      string
	loadingVersion      string
	up                  bool
	// loadSequence changes with each load and crash, so that the end of an earlier
	// load is ignored.
	loadSequence int
}

// crashEngine stops an engine. The engine restarts after engineRestartTime with the
// weights that it had.
func (s *orderSimulation) crashEngine(e *engine) {
	if !e.up && e.loadingVersion == "" {
		return
	}
	e.up, e.loadingVersion = false, ""
	e.loadSequence++
	e.incarnation += 1000
	e.highestFencingToken = 0
	s.lastCrashAt = s.sim.now
	s.sim.scheduleAfter(engineRestartTime, func() { e.up = true })
}

// handleOrderAtAgent checks the fencing token of an order and passes the order to the
// engine.
func (s *orderSimulation) handleOrderAtAgent(e *engine, order rollout.Order, respond func(rollout.OrderResult)) {
	if s.options.Bug != OrderBugNoFencing {
		switch e.fencingTokenGuard.CheckToken(order.FencingToken) {
		case rollout.RefuseOrder:
			respond(rollout.OrderFencingTokenStale)
			return
		case rollout.ReadLeaseFirst:
			if s.store.outage {
				respond(rollout.OrderOutcomeUnknown)
				return
			}
			var lease rollout.Lease
			_ = json.Unmarshal(s.store.objects[rollout.LeaseKey].value, &lease)
			e.fencingTokenGuard.LearnToken(lease.FencingToken)
			if e.fencingTokenGuard.CheckToken(order.FencingToken) != rollout.PassOrder {
				respond(rollout.OrderFencingTokenStale)
				return
			}
		}
	}
	s.handleOrderAtEngine(e, order, respond)
}

// handleOrderAtEngine executes an order and checks that its token is not older than
// the last one.
func (s *orderSimulation) handleOrderAtEngine(e *engine, order rollout.Order, respond func(rollout.OrderResult)) {
	switch {
	case order.EngineIncarnation != e.incarnation:
		respond(rollout.OrderEngineRestarted)
		return
	case e.checksFencingTokens && order.FencingToken < e.highestFencingToken && s.options.Bug != OrderBugNoFencing:
		respond(rollout.OrderFencingTokenStale)
		return
	case !e.up || e.loadingVersion != "":
		respond(rollout.OrderOutcomeUnknown)
		return
	}
	if order.FencingToken < e.highestFencingToken {
		s.addViolation("%s accepted an order with token %d after one with token %d", e.name, order.FencingToken, e.highestFencingToken)
	}
	e.highestFencingToken = max(e.highestFencingToken, order.FencingToken)
	if e.weightsVersion == order.WeightsVersion {
		respond(rollout.OrderAccepted)
		return
	}
	s.startLoad(e, order.WeightsVersion)
	respond(rollout.OrderAccepted)
}

// startLoad loads weights and checks the limits of the rollout.
func (s *orderSimulation) startLoad(e *engine, version string) {
	serving, loading := 0, 1
	for _, other := range s.engines {
		if other.loadingVersion != "" {
			loading++
		} else if other.up && other != e {
			serving++
		}
	}
	s.loadCount++
	if loading > s.options.MaxConcurrentLoads {
		s.addViolation("%d engines load weights at the same time, the limit is %d", loading, s.options.MaxConcurrentLoads)
	}
	// The plan cannot foresee the loss of capacity by a crash.
	recentCrash := s.lastCrashAt > 0 && s.sim.now-s.lastCrashAt < engineRestartTime+4*time.Second
	if minServing := (s.options.Engines*s.options.MinServingPercent + 99) / 100; serving < minServing && !recentCrash {
		s.addViolation("%d engines serve, the minimum is %d", serving, minServing)
	}
	if s.firstFailureAt > 0 && s.sim.now-s.firstFailureAt > 10*time.Second && s.firstFailureAt > s.ruleChangedAt {
		s.addViolation("%s loads weights although an engine failed at %v", e.name, s.firstFailureAt)
	}
	e.loadingVersion = version
	e.loadSequence++
	loadSequence := e.loadSequence
	s.sim.scheduleAfter(s.options.MinLoadTime+s.sim.randomDelay(s.options.MinLoadTime), func() {
		if e.loadSequence != loadSequence {
			return
		}
		e.loadingVersion = ""
		e.weightsVersion = version
		if s.options.CrashOnNewVersion && version == "v2" {
			s.sim.scheduleAfter(time.Second, func() {
				if e.loadSequence == loadSequence {
					s.crashEngine(e)
					if s.firstFailureAt == 0 {
						s.firstFailureAt = s.sim.now
					}
				}
			})
		}
	})
}
