package relay

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/costmodel"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// runningRequestShare is the time that one more running request adds to each step of an
	// engine, as a share of the step's fixed time: runningRequestCost of about 10 ms.
	runningRequestShare = 0.03
	// defaultOutputTokens is assumed for requests that state no maximum: a short generation.
	defaultOutputTokens = 64
	// shortQueueTime and shortQueueShare bound the expected wait, as a time and as a share of
	// the prefill time, up to which the time to a first event tells the prefill rate.
	shortQueueTime, shortQueueShare = 5 * time.Millisecond, 0.05
	// maxEstimateLines and maxSpeedWarnings bound the log lines in a second about
	// estimates, and about reports of other routers that are ignored.
	maxEstimateLines, maxSpeedWarnings = 20, 1
)

// setCostAwareLocked switches learning on or off. What was learned is dropped when it is
// switched off. The caller holds mu.
func (r *Relay) setCostAwareLocked(on bool) {
	r.CostAware = on
	switch {
	case !on:
		r.costModel = nil
	case r.costModel == nil:
		r.costModel = costmodel.New(costmodel.Config{
			PrefillTokensPerMS: r.PrefillTokensPerMS, RunningRequestShare: runningRequestShare, DefaultOutputTokens: defaultOutputTokens,
		})
	}
}

// costAwareLocked reports whether learned costs apply to a service: if they are enabled, and
// the configuration has a route to the service whose objective leaves room for them. The
// caller holds mu.
func (r *Relay) costAwareLocked(service string) bool {
	config := r.configuration()
	return r.CostAware && config != nil && config.HasSlack(service)
}

// observeArrival prepares the request for cost-aware selection, if it applies, and records the
// work that it brings.
func (x *execution) observeArrival() {
	if x.req.Prompt == nil || x.req.Route.Kind != fleet.Stream {
		return
	}
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.costAwareLocked(x.req.Service) {
		return
	}
	x.gapObjective = x.req.Route.GapObjective
	x.outputTokens = r.costModel.EstimateOutput(x.costRequestLocked()).Tokens
	r.selector.ObserveArrival(r.now(), x.selectionRequest())
}

// forgetCostsLocked drops the speeds of endpoints that are not in the view. The caller holds
// mu.
func (r *Relay) forgetCostsLocked(view *fleet.View) {
	if r.costModel != nil {
		r.costModel.Forget(func(id string) bool { return view.EndpointsByID[id] != nil })
	}
}

// addSpeedsLocked adds the speeds that this router has observed to its loads. The caller
// holds mu.
func (r *Relay) addSpeedsLocked(loads []selection.EndpointLoad) []selection.EndpointLoad {
	if r.costModel != nil {
		r.updateSpeedsLocked()
		for i := range loads {
			loads[i].Speed, loads[i].SpeedSamples = r.costModel.OwnSpeed(r.now(), loads[i].EndpointID)
		}
	}
	return loads
}

// speedUpdateInterval is the time between two updates of the speeds that endpoint selection
// uses. An engine may become slow for half a second.
const speedUpdateInterval = 250 * time.Millisecond

// updateSpeedsLocked passes the speeds of endpoints to endpoint selection. The caller holds
// mu.
func (r *Relay) updateSpeedsLocked() {
	now := r.now()
	if now-r.speedsUpdatedAt < speedUpdateInterval {
		return
	}
	r.speedsUpdatedAt = now
	r.selector.UpdateSpeeds(func(endpointID string) float64 {
		speed, samples := r.costModel.Speed(now, endpointID)
		if samples == 0 {
			return 0
		}
		return speed
	})
}

// mergeSpeedsLocked adds the speeds that another router has observed. The caller holds mu.
func (r *Relay) mergeSpeedsLocked(router string, loads []selection.EndpointLoad) {
	if r.costModel == nil {
		return
	}
	v, now := r.directory.View(), r.now()
	for _, l := range loads {
		e := v.EndpointsByID[l.EndpointID]
		if e == nil || l.SpeedSamples == 0 || r.costModel.MergeSpeed(now, e.Service, e.ID, router, l.Speed, l.SpeedSamples) {
			continue
		}
		if r.speedWarnings.allow(now, maxSpeedWarnings) {
			// JSON has no form for a speed that is not a number.
			r.log.WithFields(logrus.Fields{
				"router": router, "endpoint": e.ID, "speed": strconv.FormatFloat(l.Speed, 'g', -1, 64), "samples": l.SpeedSamples,
			}).Warn("ignored implausible endpoint speed")
		}
	}
}

// lineLimit bounds log lines to a number in a second.
type lineLimit struct {
	since time.Duration
	lines int
}

func (l *lineLimit) allow(now time.Duration, most int) bool {
	if now-l.since >= time.Second {
		l.since, l.lines = now, 0
	}
	l.lines++
	return l.lines <= most
}

// costObservation is what an attempt observes for the cost model.
type costObservation struct {
	// on is true if the cost model learns from the attempt: from streams of engines.
	on      bool
	request costmodel.RequestInfo
	// The fields up to prefillRate are the estimates at the start of the attempt.
	output       costmodel.Output
	speed        float64
	speedSamples int
	prefillRate  float64
	// first is the time from the start to the first event.
	first time.Duration
	// lastEventAt is when the last event was read, and lastBuffered whether it was read
	// together with the one before. pause is the pause before it, or 0 if that is not the
	// engine's.
	lastEventAt  time.Time
	lastBuffered bool
	pause        time.Duration
	// complete is true after the end of a stream that states its end.
	complete bool
}

// costRequestLocked describes the request to the cost model. The caller holds mu.
func (x *execution) costRequestLocked() costmodel.RequestInfo {
	info := costmodel.RequestInfo{
		Route: x.req.Route.Name, Team: x.req.teamName(), Service: x.req.Service,
		MaxOutputTokens: x.req.Prompt.MaxOutputTokens, OutputTokensHint: x.req.Prompt.OutputTokensHint,
	}
	if config := x.relay.directory.View().Config; config != nil {
		if s := config.Services[x.req.Service]; s != nil && s.Engine != nil {
			info.TokensPerEvent = s.Engine.TokensPerEvent
		}
	}
	return info
}

// beginCosts records the estimates for an attempt. An attempt that continues a stream tells
// nothing: the engine may repeat events that it has computed before.
func (a *attempt) beginCosts() {
	if a.req.Prompt == nil || a.req.Route.Kind != fleet.Stream || a.lastEventID != "" {
		return
	}
	r := a.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.costAwareLocked(a.req.Service) {
		return
	}
	c := &a.costs
	c.on, c.request = true, a.costRequestLocked()
	c.output = r.costModel.EstimateOutput(c.request)
	c.speed, c.speedSamples = r.costModel.Speed(r.now(), a.choice.Endpoint.ID)
	c.prefillRate = r.costModel.PrefillRate(a.req.Service)
}

// nextPause records that an event was read at a time; buffered means that it was read together
// with the one before. It returns the pause before the previous event if that is the
// engine's, or 0, and whether the event is the first one. Pauses are late by an
// event because the last event of a stream may have fewer tokens than others.
func (c *costObservation) nextPause(now time.Time, buffered bool) (pause time.Duration, first bool) {
	first, pause = c.lastEventAt.IsZero(), c.pause
	c.pause = 0
	if !first && !buffered && !c.lastBuffered {
		c.pause = now.Sub(c.lastEventAt)
	}
	c.lastEventAt, c.lastBuffered = now, buffered
	return pause, first
}

// observeEvent records that an event was read; buffered means that it was read together with
// the one before.
func (a *attempt) observeEvent(buffered bool) {
	if !a.costs.on {
		return
	}
	now := time.Now()
	pause, first := a.costs.nextPause(now, buffered)
	if !first && pause == 0 {
		return
	}
	r := a.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.costModel == nil {
		return
	}
	if first {
		a.observePrefillLocked(now)
		return
	}
	if r.selector.PendingPrefillTokens(a.choice.Endpoint.ID) > 0 {
		return // The pause tells how much work the engine has, not how fast it is.
	}
	running := r.selector.RunningRequests(a.choice.Endpoint.ID)
	r.costModel.ObserveEventGap(r.now(), a.req.Service, a.choice.Endpoint.ID, pause, max(1, a.costs.request.TokensPerEvent), running)
}

// observePrefillLocked records the time to the first event. The caller holds mu.
func (a *attempt) observePrefillLocked(now time.Time) {
	r, c := a.relay, &a.costs
	c.first = now.Sub(a.startedAt)
	r.costModel.ObserveFirstEvent(a.req.Route.Name, a.choice.Wait+a.choice.Prefill, c.first)
	shortQueue := a.choice.Wait <= max(shortQueueTime, time.Duration(shortQueueShare*float64(a.choice.Prefill)))
	if shortQueue && a.choice.FetchFrom == "" {
		r.costModel.ObservePrefill(r.now(), a.req.Service, a.choice.Endpoint.ID, a.computedTokens(), c.first)
	}
}

// computedTokens is the number of prompt tokens that the endpoint was expected to compute.
func (a *attempt) computedTokens() int { return max(0, a.req.Prompt.Tokens-a.choice.CachedTokens) }

// endCosts records the output length of the attempt and logs the estimates of some.
func (a *attempt) endCosts() {
	c := &a.costs
	if !c.on {
		return
	}
	tokens := a.eventCount * max(1, c.request.TokensPerEvent)
	if c.request.MaxOutputTokens > 0 {
		tokens = min(tokens, c.request.MaxOutputTokens)
	}
	r := a.relay
	debug := r.log.Logger.IsLevelEnabled(logrus.DebugLevel)
	r.mu.Lock()
	if r.costModel != nil {
		r.costModel.ObserveOutput(c.request, tokens, c.complete)
	}
	debug = debug && r.estimateLines.allow(r.now(), maxEstimateLines)
	r.mu.Unlock()
	if debug {
		a.log().WithFields(logrus.Fields{
			"team": c.request.Team, "endpoint": a.choice.Endpoint.ID, "try": a.attempts, "known": c.output.Known, "output_tokens": c.output.Tokens,
			"output_p90": c.output.P90, "observed_tokens": tokens, "complete": c.complete, "hint": c.request.OutputTokensHint,
			"computed_tokens": a.computedTokens(), "prefill_tokens_per_ms": c.prefillRate, "speed": c.speed, "speed_samples": c.speedSamples,
			"wait_ms": a.choice.Wait.Milliseconds(), "prefill_ms": a.choice.Prefill.Milliseconds(), "first_ms": c.first.Milliseconds(),
		}).Debug("estimated the cost of a request")
	}
}

// costCollector exports the estimates of the cost model and their errors.
type costCollector struct {
	relay                                                    *Relay
	outputError, firstEventError, endpointSpeed, prefillRate *prometheus.Desc
}

func newCostCollector(r *Relay) *costCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &costCollector{
		r, desc("arbutus_output_estimate_error_tokens", "Percentile of the absolute error of estimated output lengths by route; in events if the configuration does not state the tokens of an event.", "route", "percentile"),
		desc("arbutus_first_event_estimate_error_seconds", "Percentile of the absolute error of the estimated time to the first event by route.", "route", "percentile"),
		desc("arbutus_endpoint_speed_ratio", "Speed of an endpoint relative to the median endpoint of its service, if known.", "service", "endpoint"),
		desc("arbutus_prefill_tokens_per_second", "Learned prefill rate of an engine of speed 1 by service, if known.", "service"),
	}
}

// Describe implements prometheus.Collector.
func (c *costCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.outputError, c.firstEventError, c.endpointSpeed, c.prefillRate} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *costCollector) Collect(out chan<- prometheus.Metric) {
	var list []prometheus.Metric
	add := func(d *prometheus.Desc, value float64, labels ...string) {
		list = append(list, prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...))
	}
	c.collectLocked(add)
	for _, m := range list {
		out <- m
	}
}

// collectLocked passes each value to add while it holds the relay's lock.
func (c *costCollector) collectLocked(add func(d *prometheus.Desc, value float64, labels ...string)) {
	r := c.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.costModel == nil {
		return
	}
	for _, e := range r.costModel.Errors() {
		if e.OutputSamples > 0 {
			add(c.outputError, e.OutputP50, e.Route, "50")
			add(c.outputError, e.OutputP90, e.Route, "90")
		}
		if e.FirstEventSamples > 0 {
			add(c.firstEventError, e.FirstEventP50.Seconds(), e.Route, "50")
			add(c.firstEventError, e.FirstEventP90.Seconds(), e.Route, "90")
		}
	}
	v, now := r.directory.View(), r.now()
	for service, endpoints := range v.EndpointsByService {
		for _, e := range endpoints {
			if speed, samples := r.costModel.Speed(now, e.ID); samples > 0 {
				add(c.endpointSpeed, speed, service, e.ID)
			}
		}
		if r.costModel.PrefillRateSamples(service) > 0 {
			add(c.prefillRate, r.costModel.PrefillRate(service)*1000, service)
		}
	}
}
