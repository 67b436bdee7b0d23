package overload

import "time"

const (
	// excessGain is how strongly a team's excess reduces its limit: at full pressure, a
	// request of a team that started twice its share needs a fifth of the usual expected
	// time. In simulated bursts with a hot team, other teams lost 0.053 of their less urgent
	// requests with a gain of 1, 0.036 with 4 and 0.031 with 10, which leaves more room unused.
	excessGain = 4
	// lateShare is the share of the time that callers wait for the first event up to which
	// a late start is still useful.
	lateShare = 0.5
	// maxLateStarts is the highest share of late starts among the recent ones of a
	// priority. When urgent requests alone exceeded the capacity, 0.23 of them were in time
	// with it, 0.20 without late starts, and 0.14 without a limit.
	maxLateStarts = 0.25
)

// Cause is what decided on a request besides its own objective.
type Cause int

// Causes.
const (
	// CauseNone means that only the request's objective and deadline decided.
	CauseNone Cause = iota
	// CausePressure means that the room is left to more urgent requests.
	CausePressure
	// CauseTeamShare means that the request's team is above its fair share.
	CauseTeamShare
	// CauseLate means that a request starts late instead of being refused.
	CauseLate
)

// Decision is what happens to a request, and the state on which it depends.
type Decision struct {
	Verdict Verdict
	Cause   Cause
	// Pressure is the highest pressure of a more urgent priority, and OwnPressure that of
	// the request's own, from 0 to 1: the fraction of the requests of about the last second
	// for which there was no room. Both are 0 without Config.CostAware.
	Pressure, OwnPressure float64
	// TeamExcess is by how much the work that the team started lately exceeds its fair share, as
	// a multiple of the share, or 0 if it does not.
	TeamExcess float64
}

// Admit returns what happens to the request, whose selected endpoint is expected to answer it
// as estimated. Without Config.CostAware that is the verdict of Decide. Otherwise, while
// requests find no room, less urgent ones and those of teams above their share start only
// with correspondingly more room, and some urgent ones start late instead of being refused.
func (c *Controller) Admit(now time.Duration, r Request, e Estimate) Decision {
	d := Decision{Verdict: c.Decide(r, e)}
	if !c.cfg.CostAware || r.Objective <= 0 {
		return d
	}
	l := c.level(r.Priority)
	d.TeamExcess = l.observe(now, r, c.blocked(r, e), max(0, r.Objective-c.margin(r).value-e.Prefill))
	d.OwnPressure = l.pressure(now)
	var room time.Duration
	d.Pressure, room = c.urgentPressure(now, r.Priority)
	switch {
	case d.Verdict == Start:
		d.Verdict, d.Cause = c.leaveRoom(r, e, d, room)
	case d.Verdict == RefuseOverload && c.mayStartLate(now, r, e, d):
		d.Verdict, d.Cause = Start, CauseLate
	}
	if d.Verdict == Start {
		l.observeStart(now, r, d.Cause == CauseLate)
	}
	return d
}

// blocked reports whether a request has no room because of the endpoint's queue. A prompt
// that cannot be in time anywhere tells nothing about the queues.
func (c *Controller) blocked(r Request, e Estimate) bool {
	margin := c.margin(r).value
	return e.Prefill+margin <= r.Objective && e.FirstEvent()+margin > r.Objective && !c.idle(r, e)
}

// leaveRoom decides on a request that its own objective allows to start. room is the queue
// up to which more urgent requests start. A queue that counts as empty is room enough, so
// that large prompts are not refused for ever, but not for a team above its share, which
// would take most of the endpoints that become idle.
func (c *Controller) leaveRoom(r Request, e Estimate, d Decision, room time.Duration) (Verdict, Cause) {
	idle, limit, cause := c.idle(r, e), r.Objective-c.margin(r).value, CausePressure
	if room < limit {
		limit -= share(limit-room, weight(d.Pressure))
	}
	if idle || e.FirstEvent() <= limit {
		excess := d.TeamExcess * weight(max(d.Pressure, d.OwnPressure))
		if excess == 0 || e.FirstEvent() <= share(limit, 1/(1+excessGain*excess)) {
			return Start, CauseNone
		}
		cause = CauseTeamShare
	}
	switch {
	case r.Held < share(r.Objective, c.cfg.HoldShare):
		return Wait, cause
	case cause == CausePressure:
		return RefusePressure, cause
	}
	return RefuseTeamShare, cause
}

// mayStartLate reports whether a request that would be refused starts although it will
// probably be late: if it is still useful, there are less urgent requests that can yield, and
// few others start late.
func (c *Controller) mayStartLate(now time.Duration, r Request, e Estimate, d Decision) bool {
	if d.Pressure > 0 || d.TeamExcess > 0 || e.FirstEvent()+c.margin(r).value > min(share(r.Patience, lateShare), r.Remaining/2) {
		return false
	}
	for priority, l := range c.levels {
		if priority > r.Priority && now-l.lastSeen < activeTime {
			return c.level(r.Priority).mayStartLate(now)
		}
	}
	return false
}

// returnSpread is the part of the longest Retry-After, at its end, over which callers are
// spread whose turn comes later.
const returnSpread = 0.25

// retryAfterByUrgency is RetryAfter with turns by priority. Those of less urgent requests
// begin after those of more urgent ones and after the end of their pressure.
func (c *Controller) retryAfterByUrgency(now time.Duration, r Request, e Estimate, concurrency float64) time.Duration {
	own := c.level(r.Priority)
	next := max(own.nextReturn, now+max(0, e.FirstEvent()+c.margin(r).value-r.Objective))
	for priority, l := range c.levels {
		if p := l.pressure(now); priority < r.Priority && p > 0 {
			next = max(next, l.nextReturn, pressureEnds(now, p))
		}
	}
	if concurrency > 0 {
		next += time.Duration(float64(e.Prefill) / concurrency)
	}
	own.nextReturn = min(next, now+c.cfg.MaxRetryAfter)
	limit := min(c.cfg.MaxRetryAfter, share(r.Remaining, remainingShareToReturn))
	if next-now > limit {
		return max(minRetryAfter, c.returnAtLimit(limit))
	}
	return max(minRetryAfter, next-now)
}

// returnAtLimit returns times near the end of limit, so that callers whose turn comes later
// do not return together. Consecutive multiples of the golden ratio are spread evenly.
func (c *Controller) returnAtLimit(limit time.Duration) time.Duration {
	const goldenRatio = 0.6180339887498949
	c.spreadReturns++
	turns := float64(c.spreadReturns) * goldenRatio
	return limit - share(limit, returnSpread*(turns-float64(int(turns))))
}
