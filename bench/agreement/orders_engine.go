package agreement

import (
	"encoding/json"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
)

// engine is an engine with its agent.
type engine struct {
	name         string
	checksTokens bool
	tokenGuard   *rollout.TokenGuard
	lastToken    uint64
	incarnation  uint64
	// first is the first incarnation.
	firstIncarnation uint64
	weightsVersion   string
	loadingVersion   string
	running          bool
	loadSequence     int
}

// crash stops an engine; it comes back with the version that it had.
func (s *orderSimulation) crashEngine(e *engine) {
	if !e.running && e.loadingVersion == "" {
		return
	}
	e.running, e.loadingVersion = false, ""
	e.loadSequence++
	e.incarnation += 1000
	e.lastToken = 0
	s.lastCrashAt = s.sim.now
	s.sim.scheduleAfter(engineRestartTime, func() { e.running = true })
}

// atAgent is the agent's part: the guard, then the engine.
func (s *orderSimulation) handleOrderAtAgent(e *engine, order rollout.Order, respond func(rollout.OrderResult)) {
	if s.options.Bug != OrderBugNoFencing {
		switch e.tokenGuard.CheckToken(order.FencingToken) {
		case rollout.RefuseOrder:
			respond(rollout.OrderTokenStale)
			return
		case rollout.ReadLeaseFirst:
			if s.store.outage {
				respond(rollout.OrderOutcomeUnknown)
				return
			}
			var lease rollout.Lease
			_ = json.Unmarshal(s.store.objects[rollout.LeaseKey].value, &lease)
			e.tokenGuard.LearnToken(lease.FencingToken)
			if e.tokenGuard.CheckToken(order.FencingToken) != rollout.PassOrder {
				respond(rollout.OrderTokenStale)
				return
			}
		}
	}
	s.handleOrderAtEngine(e, order, respond)
}

// atEngine checks every order that reaches an engine against the limits.
func (s *orderSimulation) handleOrderAtEngine(e *engine, order rollout.Order, respond func(rollout.OrderResult)) {
	switch {
	case order.EngineIncarnation != e.incarnation:
		respond(rollout.OrderEngineRestarted)
		return
	case e.checksTokens && order.FencingToken < e.lastToken && s.options.Bug != OrderBugNoFencing:
		respond(rollout.OrderTokenStale)
		return
	case !e.running || e.loadingVersion != "":
		respond(rollout.OrderOutcomeUnknown)
		return
	}
	if order.FencingToken < e.lastToken {
		s.addViolation("%s took an order of token %d after one of %d", e.name, order.FencingToken, e.lastToken)
	}
	e.lastToken = max(e.lastToken, order.FencingToken)
	if e.weightsVersion == order.WeightsVersion {
		respond(rollout.OrderAccepted)
		return
	}
	s.startLoad(e, order.WeightsVersion)
	respond(rollout.OrderAccepted)
}

func (s *orderSimulation) startLoad(e *engine, version string) {
	serving, loading := 0, 1
	for _, other := range s.engines {
		if other.loadingVersion != "" {
			loading++
		} else if other.running && other != e {
			serving++
		}
	}
	s.loadCount++
	if loading > s.options.MaxConcurrentLoads {
		s.addViolation("%d engines load at the same time, the limit is %d", loading, s.options.MaxConcurrentLoads)
	}
	// A crash takes capacity away that no plan could foresee.
	recentCrash := s.lastCrashAt > 0 && s.sim.now-s.lastCrashAt < engineRestartTime+4*time.Second
	if minServing := (s.options.Engines*s.options.MinServingPercent + 99) / 100; serving < minServing && !recentCrash {
		s.addViolation("%d engines serve, %d are to be kept", serving, minServing)
	}
	if s.firstFailureAt > 0 && s.sim.now-s.firstFailureAt > 10*time.Second && s.firstFailureAt > s.ruleChangedAt {
		s.addViolation("%s loads although an engine failed at %v", e.name, s.firstFailureAt)
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
