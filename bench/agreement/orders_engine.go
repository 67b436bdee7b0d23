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
func (r *orderSimulation) crashEngine(e *engine) {
	if !e.running && e.loadingVersion == "" {
		return
	}
	e.running, e.loadingVersion = false, ""
	e.loadSequence++
	e.incarnation += 1000
	e.lastToken = 0
	r.lastCrashAt = r.sim.now
	r.sim.scheduleAfter(engineRestartTime, func() { e.running = true })
}

// atAgent is the agent's part: the guard, then the engine.
func (r *orderSimulation) handleOrderAtAgent(e *engine, order rollout.Order, respond func(rollout.OrderResult)) {
	if r.options.Bug != OrderBugNoFencing {
		switch e.tokenGuard.CheckToken(order.FencingToken) {
		case rollout.RefuseOrder:
			respond(rollout.OrderTokenStale)
			return
		case rollout.ReadLeaseFirst:
			if r.store.outage {
				respond(rollout.OrderOutcomeUnknown)
				return
			}
			var lease rollout.Lease
			_ = json.Unmarshal(r.store.objects[rollout.LeaseKey].value, &lease)
			e.tokenGuard.LearnToken(lease.FencingToken)
			if e.tokenGuard.CheckToken(order.FencingToken) != rollout.PassOrder {
				respond(rollout.OrderTokenStale)
				return
			}
		}
	}
	r.handleOrderAtEngine(e, order, respond)
}

// atEngine checks every order that reaches an engine against the limits.
func (r *orderSimulation) handleOrderAtEngine(e *engine, order rollout.Order, respond func(rollout.OrderResult)) {
	switch {
	case order.EngineIncarnation != e.incarnation:
		respond(rollout.OrderEngineRestarted)
		return
	case e.checksTokens && order.FencingToken < e.lastToken && r.options.Bug != OrderBugNoFencing:
		respond(rollout.OrderTokenStale)
		return
	case !e.running || e.loadingVersion != "":
		respond(rollout.OrderOutcomeUnknown)
		return
	}
	if order.FencingToken < e.lastToken {
		r.addViolation("%s took an order of token %d after one of %d", e.name, order.FencingToken, e.lastToken)
	}
	e.lastToken = max(e.lastToken, order.FencingToken)
	if e.weightsVersion == order.WeightsVersion {
		respond(rollout.OrderAccepted)
		return
	}
	r.startLoad(e, order.WeightsVersion)
	respond(rollout.OrderAccepted)
}

func (r *orderSimulation) startLoad(e *engine, version string) {
	serving, loading := 0, 1
	for _, other := range r.engines {
		if other.loadingVersion != "" {
			loading++
		} else if other.running && other != e {
			serving++
		}
	}
	r.loadCount++
	if loading > r.options.MaxConcurrentLoads {
		r.addViolation("%d engines load at the same time, the limit is %d", loading, r.options.MaxConcurrentLoads)
	}
	// A crash takes capacity away that no plan could foresee.
	recentCrash := r.lastCrashAt > 0 && r.sim.now-r.lastCrashAt < engineRestartTime+4*time.Second
	if minServing := (r.options.Engines*r.options.MinServingPercent + 99) / 100; serving < minServing && !recentCrash {
		r.addViolation("%d engines serve, %d are to be kept", serving, minServing)
	}
	if r.firstFailureAt > 0 && r.sim.now-r.firstFailureAt > 10*time.Second && r.firstFailureAt > r.ruleChangedAt {
		r.addViolation("%s loads although an engine failed at %v", e.name, r.firstFailureAt)
	}
	e.loadingVersion = version
	e.loadSequence++
	loadSequence := e.loadSequence
	r.sim.scheduleAfter(r.options.MinLoadTime+r.sim.randomDelay(r.options.MinLoadTime), func() {
		if e.loadSequence != loadSequence {
			return
		}
		e.loadingVersion = ""
		e.weightsVersion = version
		if r.options.CrashOnNewVersion && version == "v2" {
			r.sim.scheduleAfter(time.Second, func() {
				if e.loadSequence == loadSequence {
					r.crashEngine(e)
					if r.firstFailureAt == 0 {
						r.firstFailureAt = r.sim.now
					}
				}
			})
		}
	})
}
