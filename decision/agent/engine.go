package agent

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/quarantine"
)

// EngineAlive answers Probe: the engine still has its incarnation, so that only
// the broken attempts have failed.
func (c *Core) EngineAlive(now time.Duration) {
	for _, id := range c.jobIDs() {
		if c.jobs[id].broke {
			c.end(now, id, "endpoint_broke", true)
		}
	}
	c.pump(now)
}

// EngineUp records a new incarnation of the engine or new weights. A new
// incarnation must be preceded by EngineDown.
func (c *Core) EngineUp(now time.Duration, incarnation uint64, weights string) {
	c.weights = weights
	c.machine.EngineUp(incarnation)
	c.machine.EngineWeights(weights)
	c.unpark(now)
	c.pump(now)
}

// EngineDown records that the engine died. What ran has failed and is
// suspected; what waits goes on waiting until its deadline.
func (c *Core) EngineDown(now time.Duration) {
	fingerprints, alone := c.gate.EngineCrashed()
	levels := map[uint64]quarantine.Level{}
	for _, r := range c.suspects.EngineCrashed(now, fingerprints, alone) {
		levels[r.Fingerprint] = r.Level
	}
	c.machine.EngineDown(now)
	for _, id := range c.jobIDs() {
		j := c.jobs[id]
		if !j.started {
			continue
		}
		c.crashes[id] = int(levels[j.attempt.Fingerprint])
		c.end(now, id, ReasonEngineDied, true)
	}
}

// mayPark reports whether an attempt may wait for an engine that is down. A
// suspect may, because this endpoint is its home: no other one runs it, and the
// engine is often down because of it.
func (c *Core) mayPark(now time.Duration, a *admission.Attempt) bool {
	parked := 0
	for _, j := range c.jobs {
		if j.parkedUntil > 0 {
			parked++
		}
	}
	return c.level(now, a) == quarantine.LevelSuspect && parked < maxParked
}

func (c *Core) parkUntil(now time.Duration, a *admission.Attempt, v admission.Verdict) time.Duration {
	if v.Reason != admission.ReasonEngineDown {
		return 0
	}
	return now + max(a.FirstTokenBudget, time.Millisecond)
}

// unpark offers the suspects that waited for the engine.
func (c *Core) unpark(now time.Duration) {
	for _, id := range c.jobIDs() {
		j := c.jobs[id]
		if j.parkedUntil == 0 {
			continue
		}
		j.attempt.FirstTokenBudget = max(j.parkedUntil-now, time.Millisecond)
		j.parkedUntil = 0
		if v := c.machine.Offer(now, j.attempt); !v.Admitted {
			c.end(now, id, string(v.Reason), false)
		}
	}
}

// expireParked ends the suspects that waited for the engine in vain.
func (c *Core) expireParked(now time.Duration) {
	for _, id := range c.jobIDs() {
		if until := c.jobs[id].parkedUntil; until > 0 && now >= until {
			c.end(now, id, ReasonDeadline, false)
		}
	}
}
