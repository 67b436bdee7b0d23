package agreement

import (
	"encoding/json"
	"time"

	"github.com/arbutusline/arbutusline/decision/rollout"
)

// engine is an engine with its agent.
type engine struct {
	name        string
	honours     bool
	guard       *rollout.TokenGuard
	token       uint64
	incarnation uint64
	// first is the first incarnation.
	first   uint64
	version string
	loading string
	up      bool
	loadRun int
}

// crash stops an engine; it comes back with the version that it had.
func (r *orderRun) crash(e *engine) {
	if !e.up && e.loading == "" {
		return
	}
	e.up, e.loading = false, ""
	e.loadRun++
	e.incarnation += 1000
	e.token = 0
	r.crashedAt = r.sim.now
	r.sim.after(restartTime, func() { e.up = true })
}

// atAgent is the agent's part: the guard, then the engine.
func (r *orderRun) atAgent(e *engine, o rollout.Order, answer func(rollout.OrderResult)) {
	if r.o.Fault != OrderFaultNoGuard {
		switch e.guard.CheckToken(o.FencingToken) {
		case rollout.RefuseOrder:
			answer(rollout.OrderTokenStale)
			return
		case rollout.ReadLeaseFirst:
			if r.store.outage {
				answer(rollout.OrderOutcomeUnknown)
				return
			}
			var l rollout.Lease
			_ = json.Unmarshal(r.store.objects[rollout.LeaseKey].value, &l)
			e.guard.LearnToken(l.FencingToken)
			if e.guard.CheckToken(o.FencingToken) != rollout.PassOrder {
				answer(rollout.OrderTokenStale)
				return
			}
		}
	}
	r.atEngine(e, o, answer)
}

// atEngine checks every order that reaches an engine against the limits.
func (r *orderRun) atEngine(e *engine, o rollout.Order, answer func(rollout.OrderResult)) {
	switch {
	case o.EngineIncarnation != e.incarnation:
		answer(rollout.OrderEngineRestarted)
		return
	case e.honours && o.FencingToken < e.token && r.o.Fault != OrderFaultNoGuard:
		answer(rollout.OrderTokenStale)
		return
	case !e.up || e.loading != "":
		answer(rollout.OrderOutcomeUnknown)
		return
	}
	if o.FencingToken < e.token {
		r.fail("%s took an order of token %d after one of %d", e.name, o.FencingToken, e.token)
	}
	e.token = max(e.token, o.FencingToken)
	if e.version == o.WeightsVersion {
		answer(rollout.OrderAccepted)
		return
	}
	r.beginLoad(e, o.WeightsVersion)
	answer(rollout.OrderAccepted)
}

func (r *orderRun) beginLoad(e *engine, version string) {
	serving, loading := 0, 1
	for _, other := range r.engines {
		if other.loading != "" {
			loading++
		} else if other.up && other != e {
			serving++
		}
	}
	r.loads++
	if loading > r.o.Loads {
		r.fail("%d engines load at the same time, the limit is %d", loading, r.o.Loads)
	}
	// A crash takes capacity away that no plan could foresee.
	recent := r.crashedAt > 0 && r.sim.now-r.crashedAt < restartTime+4*time.Second
	if keep := (r.o.Engines*r.o.Keep + 99) / 100; serving < keep && !recent {
		r.fail("%d engines serve, %d are to be kept", serving, keep)
	}
	if r.failedAt > 0 && r.sim.now-r.failedAt > 10*time.Second && r.failedAt > r.ruleAt {
		r.fail("%s loads although an engine failed at %v", e.name, r.failedAt)
	}
	e.loading = version
	e.loadRun++
	run := e.loadRun
	r.sim.after(r.o.LoadTime+r.sim.jitter(r.o.LoadTime), func() {
		if e.loadRun != run {
			return
		}
		e.loading = ""
		e.version = version
		if r.o.Crash && version == "v2" {
			r.sim.after(time.Second, func() {
				if e.loadRun == run {
					r.crash(e)
					if r.failedAt == 0 {
						r.failedAt = r.sim.now
					}
				}
			})
		}
	})
}
