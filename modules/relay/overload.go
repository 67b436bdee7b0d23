package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/overload"
	"github.com/arbutusline/arbutusline/decision/selection"
)

// overloadControllerLocked returns the service's overload controller. The caller holds
// mu.
func (r *Relay) overloadControllerLocked(service string) *overload.Controller {
	c := r.overloadControllers[service]
	if c == nil {
		c = overload.New(overload.Config{HoldShare: holdShare, IdleShare: idleShare, MaxRetryAfter: maxRetryAfter})
		r.overloadControllers[service] = c
	}
	return c
}

// overloadControlled reports whether the request may still be refused. A request that
// may have run, and a stream that its caller takes up, is continued as soon as an endpoint is
// available.
func (x *execution) overloadControlled() bool {
	return x.req.Prompt != nil && x.mayHaveRunCount == 0 && x.req.LastEventID == ""
}

func (x *execution) overloadRequest(held time.Duration) overload.Request {
	return overload.Request{
		Route: x.req.Route.Name, Objective: x.req.Route.LatencyObjective, Held: held, Remaining: time.Until(x.req.Deadline),
	}
}

func estimateOf(c selection.Choice) overload.Estimate {
	return overload.Estimate{Wait: c.Wait, Prefill: c.Prefill}
}

// refuseOverload refuses a request that no endpoint can answer in time. choice is the
// best of them.
func (x *execution) refuseOverload(choice selection.Choice, verdict overload.Verdict) {
	r := x.relay
	request, estimate := x.overloadRequest(0), estimateOf(choice)
	routers := r.directory.RouterCount()
	r.mu.Lock()
	c := r.overloadControllerLocked(x.req.Service)
	concurrency := float64(len(r.directory.View().EndpointsByService[x.req.Service])) / float64(routers)
	retryAfter, margin := c.RetryAfter(r.now(), request, estimate, concurrency), c.Margin(request)
	r.mu.Unlock()
	x.log().WithFields(logrus.Fields{
		"reason": verdict.String(), "endpoint": choice.Endpoint.ID, "wait_ms": estimate.Wait.Milliseconds(),
		"prefill_ms": estimate.Prefill.Milliseconds(), "margin_ms": margin.Milliseconds(),
		"objective_ms": request.Objective.Milliseconds(), "left_ms": request.Remaining.Milliseconds(),
		"retry_after_ms": retryAfter.Milliseconds(),
	}).Warn("request refused because of overload")
	x.refuse(verdict.String(), retryAfter)
}

// observeFirstEventLocked passes the time to the first event of the attempt to overload
// control or, if none came, the time that it has taken if that exceeds the estimate. The
// caller holds mu.
func (a *attempt) observeFirstEventLocked(arrived bool) {
	estimate, took := estimateOf(a.choice), time.Since(a.startedAt)
	if a.req.Prompt != nil && (arrived || took > estimate.FirstEvent()) {
		a.relay.overloadControllerLocked(a.req.Service).ObserveFirstEvent(a.overloadRequest(0), estimate, took)
	}
}
