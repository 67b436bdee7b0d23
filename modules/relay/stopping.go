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
// its caller waits, others that which few requests of their route exceed.
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
	return min(time.Until(x.req.Deadline), x.relay.durations.bound(x.req.Route.Name)) > left
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
	r.durations.observe(req.Route.Name, time.Since(req.ArrivedAt))
}

// durations estimates how long requests take, by route.
type durations map[string]*durationEstimate

// durationEstimate has the moving average of a duration and of its deviation, with the
// weights of RFC 6298.
type durationEstimate struct{ mean, deviation time.Duration }

func (d durations) observe(route string, took time.Duration) {
	e := d[route]
	if e == nil {
		d[route] = &durationEstimate{took, took / 2}
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / 4
	e.mean += (took - e.mean) / 8
}

// bound returns a duration that few requests of a route exceed, or 0 if none is known.
func (d durations) bound(route string) time.Duration {
	e := d[route]
	if e == nil {
		return 0
	}
	return e.mean + 4*e.deviation
}
