// Package overload decides whether a request starts at the endpoint that was selected
// for it, waits at the router, or is refused, and when a refused caller should return.
// A queue in an engine only grows under overload: each request in it makes all later
// ones late, and the engine still computes the prompts of those whose callers have left.
// Requests therefore wait at the router, for a short time, and only work that is expected
// to be in time is sent. Controller is a pure state machine and not safe for concurrent
// use.
package overload

import "time"

// Config holds the parameters of a Controller.
type Config struct {
	// HoldShare is the share of the latency objective for which a request waits at the
	// router for an endpoint.
	HoldShare float64
	// IdleShare is the share of the latency objective up to which an endpoint's queue
	// counts as empty. A request whose prompt alone takes longer than the objective
	// starts only there: it cannot be in time, but must not be refused for ever.
	IdleShare float64
	// MaxRetryAfter is the longest time after which a refused caller should return.
	MaxRetryAfter time.Duration
	// CostAware makes Admit and RetryAfter regard the priorities and the teams of
	// requests.
	CostAware bool
}

const (
	// minRetryAfter is the shortest Retry-After: several steps of an engine.
	minRetryAfter = 200 * time.Millisecond
	// remainingShareToReturn is the share of the remaining time up to which callers
	// honour a Retry-After.
	remainingShareToReturn = 1.0 / 3
)

// Estimate is what is expected of a request at the endpoint that was selected for it.
type Estimate struct {
	// Wait is the time until the endpoint begins with the prompt.
	Wait time.Duration
	// Prefill is the time that the endpoint takes to fetch and compute the prompt.
	Prefill time.Duration
}

// FirstEvent returns the expected time until the first event.
func (e Estimate) FirstEvent() time.Duration { return e.Wait + e.Prefill }

// Request describes the request to decide on.
type Request struct {
	// Route identifies requests whose estimates have similar errors.
	Route string
	// Objective is the route's latency objective, from the arrival to the first event.
	Objective time.Duration
	// Held is how long the request has waited at the router for an endpoint.
	Held time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Priority is the priority that the endpoint is told; 0 is the most urgent.
	Priority int
	// Team is the name of the team. It is empty for requests without a team, which count
	// as those of one team.
	Team string
	// QuotaRate is the rate of the team's quota in tokens per second, or 0 if it has none.
	QuotaRate float64
	// Tokens is the number of prompt tokens to compute.
	Tokens int
	// Patience is how long the caller waits for the first event.
	Patience time.Duration
	// Repeated is true for all decisions on a request after the first.
	Repeated bool
}

// Verdict is what happens to a request.
type Verdict int

// Verdicts.
const (
	// Start sends the request to the endpoint.
	Start Verdict = iota + 1
	// Wait keeps the request at the router until another decision.
	Wait
	// RefuseOverload refuses the request because no endpoint is expected to answer it
	// in time.
	RefuseOverload
	// RefuseDeadline refuses the request because no endpoint is expected to answer it
	// before its deadline.
	RefuseDeadline
	// RefusePressure refuses the request because the room that is left is needed by more
	// urgent requests.
	RefusePressure
	// RefuseTeamShare refuses the request because its team is above its fair share while
	// requests find no room.
	RefuseTeamShare
)

// String returns the reason of a refusal for logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Start:
		return "start"
	case Wait:
		return "wait"
	case RefuseOverload:
		return "overload"
	case RefuseDeadline:
		return "deadline"
	case RefusePressure:
		return "pressure"
	case RefuseTeamShare:
		return "team_share"
	}
	return "unknown"
}

// Controller decides on requests to the engines of one service.
type Controller struct {
	cfg     Config
	margins map[string]*margin
	// nextReturn is when the next refused caller should return.
	nextReturn time.Duration
	// levels is keyed by priority. It is empty without Config.CostAware.
	levels map[int]*level
	// spreadReturns counts the callers that returnAtLimit has spread.
	spreadReturns int
}

// New returns a Controller.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, margins: map[string]*margin{}, levels: map[int]*level{}}
}

// SetCostAware replaces Config.CostAware. What was observed of priorities and teams is dropped
// when it is switched off.
func (c *Controller) SetCostAware(on bool) {
	if c.cfg.CostAware && !on {
		clear(c.levels)
	}
	c.cfg.CostAware = on
}

// Decide returns what happens to the request by its objective and deadline alone, whose selected endpoint is expected to
// answer it as estimated.
func (c *Controller) Decide(r Request, e Estimate) Verdict {
	if r.Objective <= 0 {
		return Start
	}
	// The queue of the endpoint shrinks no faster than the time that remains.
	if e.FirstEvent() > r.Remaining {
		return RefuseDeadline
	}
	if e.FirstEvent()+c.margin(r).value <= r.Objective || c.idle(r, e) {
		return Start
	}
	if r.Held < share(r.Objective, c.cfg.HoldShare) {
		return Wait
	}
	return RefuseOverload
}

// idle reports whether the queue of the endpoint counts as empty.
func (c *Controller) idle(r Request, e Estimate) bool {
	return e.Wait <= share(r.Objective, c.cfg.IdleShare)
}

// RetryAfter returns when the caller of a refused request should return, from now. Each
// refused request takes a turn after the one before: concurrency is the number of
// endpoints that this router can count as its own, and a turn is the time in which they
// compute one prompt.
func (c *Controller) RetryAfter(now time.Duration, r Request, e Estimate, concurrency float64) time.Duration {
	if c.cfg.CostAware {
		return c.retryAfterByUrgency(now, r, e, concurrency)
	}
	room := max(0, e.FirstEvent()+c.margin(r).value-r.Objective)
	c.nextReturn = max(c.nextReturn, now+room)
	if concurrency > 0 {
		c.nextReturn += time.Duration(float64(e.Prefill) / concurrency)
	}
	limit := min(c.cfg.MaxRetryAfter, share(r.Remaining, remainingShareToReturn))
	c.nextReturn = min(c.nextReturn, now+c.cfg.MaxRetryAfter)
	return max(minRetryAfter, min(c.nextReturn-now, limit))
}

// ObserveFirstEvent records how long the first event of a started request took, or how
// long it had not come when the request ended without one.
func (c *Controller) ObserveFirstEvent(r Request, e Estimate, took time.Duration) {
	if r.Objective > 0 {
		c.margin(r).observe(took-e.FirstEvent(), r.Objective)
	}
}

// Margin returns the current margin of the route, by which estimates are raised.
func (c *Controller) Margin(r Request) time.Duration { return c.margin(r).value }

func share(d time.Duration, s float64) time.Duration { return time.Duration(float64(d) * s) }

// maxMargins bounds the number of routes with a margin of their own.
const maxMargins = 1024

func (c *Controller) margin(r Request) *margin {
	m := c.margins[r.Route]
	if m == nil {
		if len(c.margins) >= maxMargins {
			clear(c.margins)
		}
		m = &margin{value: share(r.Objective, initialMarginShare)}
		c.margins[r.Route] = m
	}
	return m
}

// margin follows a quantile of the errors of estimates: most requests that start are
// in time, although the estimates leave out what an engine does besides prefill.
type margin struct{ value time.Duration }

const (
	// marginQuantile is the share of requests whose error the margin covers.
	marginQuantile = 0.8
	// marginStep is the largest change by one observation, as a share of the objective.
	marginStep = 0.01
	// minMarginShare, initialMarginShare and maxMarginShare are shares of the
	// objective. With a higher maximum, a few slow endpoints would stop all requests.
	minMarginShare, initialMarginShare, maxMarginShare = 0.1, 0.3, 0.6
)

// observe moves the margin towards the quantile.
func (m *margin) observe(excess, objective time.Duration) {
	step := share(objective, marginStep)
	if excess > m.value {
		m.value += share(step, marginQuantile)
	} else {
		m.value -= share(step, 1-marginQuantile)
	}
	m.value = min(max(m.value, share(objective, minMarginShare)), share(objective, maxMarginShare))
}
