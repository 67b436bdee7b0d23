package relay

import (
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/overload"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// minPatience, patienceObjectives and patienceGapObjectives give the time after which
	// callers give up a stream without an event: the longest of the three.
	minPatience           = 2 * time.Second
	patienceObjectives    = 4
	patienceGapObjectives = 8
)

// overloadControllerLocked returns the service's overload controller. The caller holds
// mu.
func (r *Relay) overloadControllerLocked(service string) *overload.Controller {
	c := r.overloadControllers[service]
	if c == nil {
		c = overload.New(overload.Config{HoldShare: holdShare, IdleShare: idleShare, MaxRetryAfter: maxRetryAfter})
		r.overloadControllers[service] = c
	}
	c.SetCostAware(r.costAwareLocked(service))
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
		Priority: x.req.priority(), Team: x.req.teamName(), QuotaRate: x.req.quotaRate(), Patience: x.patience(),
	}
}

// patience returns how long the caller waits for the first event.
func (x *execution) patience() time.Duration {
	route, left := x.req.Route, time.Until(x.req.Deadline)
	if route.Kind != fleet.Stream {
		return left
	}
	return min(left, max(minPatience, patienceObjectives*route.LatencyObjective, patienceGapObjectives*route.GapObjective))
}

// admitLocked returns what overload control decides on a request that was held for the given
// time, and records it. The caller holds mu.
func (x *execution) admitLocked(held time.Duration, choice selection.Choice) overload.Verdict {
	r, request := x.relay, x.overloadRequest(held)
	request.Tokens, request.Repeated = x.req.Prompt.Tokens-choice.CachedTokens, x.admission.Verdict != 0
	x.admission = r.overloadControllerLocked(x.req.Service).Admit(r.now(), request, estimateOf(choice))
	if x.admission.Cause == overload.CauseTeamShare && !x.delayedForFairness {
		x.delayedForFairness = true
		r.metrics.fairnessDelays.WithLabelValues(strconv.Itoa(request.Priority)).Inc()
	}
	return x.admission.Verdict
}

// anyEndpointLeft reports whether the service has a ready endpoint that is not excluded.
func anyEndpointLeft(v *fleet.View, service string, excluded []string) bool {
	return slices.ContainsFunc(v.EndpointsByService[service], func(e *fleet.Endpoint) bool {
		return e.State == fleet.Ready && !slices.Contains(excluded, e.ID)
	})
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
		"retry_after_ms": retryAfter.Milliseconds(), "team": request.Team, "priority": request.Priority,
		"pressure": x.admission.Pressure, "own_pressure": x.admission.OwnPressure, "team_excess": x.admission.TeamExcess,
	}).Warn("request refused because of overload")
	r.metrics.overloadRefusals.WithLabelValues(verdict.String(), strconv.Itoa(request.Priority)).Inc()
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

// pressureCollector exports the pressure of all priorities when metrics are read, because it
// changes with time.
type pressureCollector struct{ relay *Relay }

var pressureDesc = prometheus.NewDesc("arbutus_overload_pressure",
	"Share of the requests of about the last second for which there was no room, by service and priority; 0 is the most urgent.",
	[]string{"service", "priority"}, nil)

// Describe implements prometheus.Collector.
func (c pressureCollector) Describe(ch chan<- *prometheus.Desc) { ch <- pressureDesc }

// Collect implements prometheus.Collector.
func (c pressureCollector) Collect(ch chan<- prometheus.Metric) {
	for service, byPriority := range c.relay.overloadPressures() {
		for priority, pressure := range byPriority {
			ch <- prometheus.MustNewConstMetric(pressureDesc, prometheus.GaugeValue, pressure, service, strconv.Itoa(priority))
		}
	}
}

// overloadPressures returns the pressures by service and priority.
func (r *Relay) overloadPressures() map[string]map[int]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]map[int]float64{}
	for service, c := range r.overloadControllers {
		out[service] = c.Pressure(r.now())
	}
	return out
}
