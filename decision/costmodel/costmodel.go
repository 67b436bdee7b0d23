// Package costmodel learns from what a router observes what requests cost and how fast
// endpoints are: the output length of requests by route and team, the speed of each
// endpoint relative to the median endpoint of its service, and the prefill rate of each
// service. It keeps the errors of its estimates by route. Memory and time are bounded.
// Model is a pure state machine and not safe for concurrent use. Times are since an
// arbitrary origin.
package costmodel

import (
	"math"
	"time"
)

// Config holds the parameters of a Model.
type Config struct {
	// PrefillTokensPerMS is the prefill rate of an engine of speed 1 until another one is
	// known.
	PrefillTokensPerMS float64
	// RunningRequestShare is the time that one more running request adds to each step of
	// an engine, as a share of the step's fixed time. 0 means that it adds none.
	RunningRequestShare float64
	// DefaultOutputTokens is the estimate for requests without a stated maximum and
	// without a hint while nothing is known.
	DefaultOutputTokens int
}

const (
	// minSamples is the number of observations from which an estimate counts as known.
	minSamples = 8
	// maxServices, maxRoutes, maxTeams and maxEndpoints bound the memory, with one record
	// for each. maxTeams counts pairs of a route and a team. The largest deployment has
	// about a hundred routes and teams and a thousand endpoints.
	maxServices, maxRoutes, maxTeams, maxEndpoints = 128, 256, 512, 4096
)

// Model is what one router has learned.
type Model struct {
	cfg       Config
	endpoints map[string]*endpoint
	services  map[string]*service
	outputs   map[outputKey]*outputRecord
	// outputCounts has the number of records of each level in outputs.
	outputCounts [levels]int
	errors       map[string]*routeErrors
	// uses numbers the observations of outputs, to find records that were not used lately.
	uses uint64
	// scratch is reused for medians.
	scratch []float64
}

// New returns a Model that knows nothing.
func New(cfg Config) *Model {
	return &Model{
		cfg: cfg, endpoints: map[string]*endpoint{}, services: map[string]*service{},
		outputs: map[outputKey]*outputRecord{}, errors: map[string]*routeErrors{},
	}
}

// Forget removes the endpoints that are not known any more.
func (m *Model) Forget(known func(endpointID string) bool) {
	for id, e := range m.endpoints {
		if !known(id) {
			delete(m.endpoints, id)
			delete(e.service.endpoints, id)
		}
	}
	for name, s := range m.services {
		if len(s.endpoints) == 0 && s.prefill.samples == 0 {
			delete(m.services, name)
		}
	}
}

// RouteError is how far estimates for a route were off: quantiles of the absolute
// difference between what was estimated and what was observed. They are 0 without samples.
type RouteError struct {
	Route string
	// OutputP50 and OutputP90 are in output tokens, or in events if the number of tokens
	// in an event is unknown.
	OutputP50, OutputP90 float64
	OutputSamples        int
	// FirstEventP50 and FirstEventP90 are errors of the time to the first event.
	FirstEventP50, FirstEventP90 time.Duration
	FirstEventSamples            int
}

// routeErrors tracks the errors of a route, in output tokens and milliseconds.
type routeErrors struct {
	output, firstEvent [2]logQuantile
}

func newRouteErrors() *routeErrors {
	pair := [2]logQuantile{{quantile: 0.5}, {quantile: 0.9}}
	return &routeErrors{pair, pair}
}

// errorsOf returns the errors of a route, or nil if there are too many routes.
func (m *Model) errorsOf(route string) *routeErrors {
	e := m.errors[route]
	if e == nil && len(m.errors) < maxRoutes {
		e = newRouteErrors()
		m.errors[route] = e
	}
	return e
}

// ObserveFirstEvent records the time from the start of a request at an endpoint to its
// first event, and what was estimated.
func (m *Model) ObserveFirstEvent(route string, estimated, took time.Duration) {
	if e := m.errorsOf(route); e != nil {
		ms := float64((took - estimated).Abs()) / float64(time.Millisecond)
		for i := range e.firstEvent {
			e.firstEvent[i].observe(ms)
		}
	}
}

// Errors returns the errors of the estimates of all routes, in no particular order.
func (m *Model) Errors() []RouteError {
	out := make([]RouteError, 0, len(m.errors))
	for route, e := range m.errors {
		// The two quantiles are followed separately, and may cross if they are close.
		output, firstEvent := e.output[0].value(), e.firstEvent[0].value()
		out = append(out, RouteError{
			Route: route, OutputP50: output, OutputP90: max(output, e.output[1].value()), OutputSamples: e.output[0].samples,
			FirstEventP50: milliseconds(firstEvent), FirstEventP90: milliseconds(max(firstEvent, e.firstEvent[1].value())),
			FirstEventSamples: e.firstEvent[0].samples,
		})
	}
	return out
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// logQuantile follows a quantile of positive observations. Each observation moves it by a
// ratio, so that a few wild ones have little effect. The first ones move it further.
type logQuantile struct {
	quantile float64
	log      float64
	samples  int
}

const (
	// minQuantileStep is the logarithm of the ratio by which observations move a quantile
	// in the long run: it follows within some dozens.
	minQuantileStep = 0.06
	// maxQuantileStep bounds the first moves to a factor of about 1.6.
	maxQuantileStep = 0.5
	// minObservation stands for smaller observations, among them 0.
	minObservation = 0.5
)

func (q *logQuantile) observe(v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return
	}
	q.observeLog(math.Log(max(v, minObservation)))
}

func (q *logQuantile) observeLog(v float64) {
	q.samples++
	if q.samples == 1 {
		q.log = v
		return
	}
	step := min(maxQuantileStep, max(minQuantileStep, 2/float64(q.samples)))
	if v > q.log {
		q.log += step * q.quantile
	} else {
		q.log -= step * (1 - q.quantile)
	}
}

// value returns the quantile. It is 0 without observations, and if it is that of
// observations that count as minObservation, of which it stays within a step.
func (q *logQuantile) value() float64 {
	if q.samples == 0 {
		return 0
	}
	if v := math.Exp(q.log); v > minObservation*math.Exp(minQuantileStep) {
		return v
	}
	return 0
}
