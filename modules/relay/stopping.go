package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// reasonShuttingDown is the reason of refusals because a request would not end before
	// the process does.
	reasonShuttingDown = "shutting_down"
	// stoppingRetryAfter is the Retry-After of these refusals. Other routers serve the
	// request at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// durationWindow is the time after which the longest duration of a route's requests is
	// forgotten, at the latest after twice that.
	durationWindow = 20 * time.Second
)

var errStopping = errors.New("process stops")

// BeginStop tells the relay that the process stops. Requests that are not expected to end
// before the given time are refused before they are sent, and what still runs then is ended
// with an answer.
func (r *Relay) BeginStop(at time.Time) {
	r.stopAt.Store(&at)
	time.AfterFunc(time.Until(at), r.endRequests)
}

// untilStop returns the time until requests are ended, if the process stops.
func (r *Relay) untilStop() (time.Duration, bool) {
	at := r.stopAt.Load()
	if at == nil {
		return 0, false
	}
	return time.Until(*at), true
}

// endAtStop cancels a request when the process stops. The result must be called at the end of
// the request.
func (r *Relay) endAtStop(cancel context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(r.requestsCtx, func() { cancel(errStopping) })
}

// endedByStop reports whether a request was ended because the process stops.
func endedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// cannotEndInTime reports whether the request must be refused because the process stops
// before the request is expected to end. One that may not be repeated gets all the time that
// its caller waits, others that which requests of their route took lately.
func (x *execution) cannotEndInTime() bool {
	left, stopping := x.relay.untilStop()
	if !stopping || x.mayHaveRunCount > 0 || x.headerSent {
		return false
	}
	if x.req.Route.Kind == fleet.NonIdempotent {
		return time.Until(x.req.Deadline) > left
	}
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	return min(time.Until(x.req.Deadline), x.relay.durations.longest(x.relay.now(), x.req.Route.Name)) > left
}

// remainingTime is the time that an endpoint gets for the request.
func (x *execution) remainingTime() time.Duration {
	remaining := time.Until(x.req.Deadline)
	if left, stopping := x.relay.untilStop(); stopping {
		remaining = min(remaining, left)
	}
	return remaining
}

func (r *Relay) observeDuration(req *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.durations.observe(r.now(), req.Route.Name, time.Since(req.ArrivedAt))
}

// durations has the longest recent duration of complete requests by route.
type durations map[string]*longestDuration

type longestDuration struct {
	since             time.Duration
	current, previous time.Duration
}

func (d durations) observe(now time.Duration, route string, took time.Duration) {
	l := d[route]
	if l == nil {
		l = &longestDuration{since: now}
		d[route] = l
	}
	l.rotate(now)
	l.current = max(l.current, took)
}

func (d durations) longest(now time.Duration, route string) time.Duration {
	l := d[route]
	if l == nil {
		return 0
	}
	l.rotate(now)
	return max(l.current, l.previous)
}

func (l *longestDuration) rotate(now time.Duration) {
	switch age := now - l.since; {
	case age >= 2*durationWindow:
		l.since, l.current, l.previous = now, 0, 0
	case age >= durationWindow:
		l.since, l.current, l.previous = l.since+durationWindow, 0, l.current
	}
}
