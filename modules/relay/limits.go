package relay

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/decision/throttle"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
)

// reasonThrottled is the reason of refusals because the limits of all endpoints are used up.
const reasonThrottled = "endpoint_limits"

// lowestStatedLimit stands for a stated limit of 0, in requests a second.
const lowestStatedLimit = 1e-3

// PendingLimits returns at most limit reports about limits that endpoints stated.
func (r *Relay) PendingLimits(limit int) []throttle.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.Throttle().Pending(r.now(), limit)
}

// MergeLimits adds the reports of another router about limits that endpoints stated.
func (r *Relay) MergeLimits(reports []throttle.Report) {
	if len(reports) == 0 {
		return
	}
	v := r.directory.View()
	known := slices.DeleteFunc(reports, func(l throttle.Report) bool { return v.EndpointsByID[l.Endpoint] == nil })
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint, change := range r.selector.Throttle().Merge(r.now(), known) {
		r.logLimitChange(endpoint, change, "router")
	}
}

func (r *Relay) logLimitChange(endpoint string, c throttle.Change, source string) {
	r.log.WithFields(logrus.Fields{
		"endpoint": endpoint, "limit": c.Now, "before": c.Before, "routers": r.directory.RouterCount(), "source": source,
	}).Info("endpoint request limit changed")
}

// observeLimit records the limit that an endpoint states in a response, or no longer states.
func (a *attempt) observeLimit(request *upstream.Request, response *upstream.Response) {
	perSecond, stated, err := platform.RequestLimit(response.Header)
	if err != nil {
		a.log().WithError(err).WithField("endpoint", a.choice.Endpoint.ID).Warn("ignored malformed request limit")
		return
	}
	if stated {
		perSecond = max(perSecond, lowestStatedLimit)
	}
	r := a.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	sentAt := request.SentAt.Sub(r.clockOrigin)
	if change, changed := r.selector.Throttle().ObserveResponse(r.now(), sentAt, a.choice.Endpoint.ID, perSecond); changed {
		r.logLimitChange(a.choice.Endpoint.ID, change, "own")
	}
}

// observePause records how long an endpoint that refused a request wants no other one from
// this router.
func (a *attempt) observePause(response *upstream.Response) {
	d, err := platform.RetryAfter(response.Header)
	log := a.log().WithField("endpoint", a.choice.Endpoint.ID)
	if err != nil {
		log.WithError(err).Warn("ignored malformed time to return to an endpoint")
		return
	}
	if d == 0 {
		return
	}
	log.WithFields(logrus.Fields{"for_ms": d.Milliseconds(), "status": response.Status}).Info("endpoint asked for a pause")
	r := a.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.Throttle().ObservePause(r.now(), a.choice.Endpoint.ID, d)
}

// EndpointPause returns how much longer an endpoint wants nothing from this router.
func (r *Relay) EndpointPause(endpoint string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.Throttle().Paused(r.now(), endpoint)
}

// refuseThrottled refuses a request because the limits of all endpoints are used up.
func (x *execution) refuseThrottled(c selection.Choice) {
	r := x.relay
	longest := min(maxRetryAfter, time.Until(x.req.Deadline)/remainingPartToReturn)
	r.mu.Lock()
	retryAfter := r.selector.Throttle().RetryAfter(r.now(), c.ThrottledFor, c.ThrottledRate, longest)
	r.mu.Unlock()
	x.log().WithFields(logrus.Fields{
		"ready_ms": c.ThrottledFor.Milliseconds(), "rate": c.ThrottledRate, "retry_after_ms": retryAfter.Milliseconds(),
	}).Warn("request refused because of endpoint limits")
	x.refuse(reasonThrottled, retryAfter)
}

// remainingPartToReturn divides the time that a caller has left: callers honour a
// Retry-After up to a third of it.
const remainingPartToReturn = 3
