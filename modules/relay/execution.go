package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/decision/strikes"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
)

const (
	// maxUnsent bounds the endpoints that a job tries to reach in vain.
	maxUnsent = 6
	// maxRefused bounds the endpoints that may refuse a job unrun.
	maxRefused = 3
	// holdShare is the part of the latency objective for which a job waits for
	// an endpoint before it is refused.
	holdShare = 8
	// startedHold is how long a job that has run waits for another endpoint: it
	// can no longer be refused. Callers leave streams after two seconds.
	startedHold = time.Second
	// holdStep is the time between two looks for an endpoint.
	holdStep = 10 * time.Millisecond
	// retryAfter tells callers when to come back: weights change and endpoints
	// return within about that time.
	retryAfter = 400 * time.Millisecond
	// patienceFactor times the latency objective is how long a request that
	// may be repeated waits for its first byte at one endpoint.
	patienceFactor = 2.5
	// maxAnswerBytes bounds the answers that are read whole.
	maxAnswerBytes = 8 << 20
	// nonIdempotentIdle is the age up to which an idle connection carries work
	// that may not be repeated: an endpoint may drop an idle connection without
	// notice, and what is sent on it then counts as run.
	nonIdempotentIdle = time.Second
	// connectionShare is the part of an endpoint's connections that one router
	// of two may open.
	connectionShare = 2
)

type resultKind int

const (
	// done means that the caller has its answer.
	done resultKind = iota
	// unsent means that the endpoint was not reached.
	unsent
	// refused means that the endpoint says that it did not run the request.
	refused
	// failed is a whole answer that reports an error of the endpoint.
	failed
	// broken means that the request may have run and no whole answer came.
	broken
	// hung is broken after no answer came in time.
	hung
	// moved means that the router ended the try to go on elsewhere.
	moved
	// callerLeft means that the caller closed its connection.
	callerLeft
)

var resultNames = map[resultKind]string{
	done: "done", unsent: "unreachable", refused: "refused_by_endpoint", failed: "endpoint_error", broken: "broken",
	hung: "no_answer", moved: "moved", callerLeft: "caller_left",
}

// result is the end of one try.
type result struct {
	kind   resultKind
	status int
	header http.Header
	body   []byte
	err    error
	// gone means that another endpoint has the address.
	gone bool
	// reserved means that the next try is paid for.
	reserved bool
}

// execution is one job on its way.
type execution struct {
	relay *Relay
	job   *Job
	w     http.ResponseWriter

	fingerprint uint64
	exclude     []string
	tries       int
	ran         int
	unsent      int
	refused     int
	last        result
	report      Report
	// started means that the head of the answer has gone to the caller.
	started bool
	lastID  string
}

// Run runs the job and answers the caller. It returns when the answer is
// complete or cannot be completed.
func (r *Relay) Run(ctx context.Context, w http.ResponseWriter, job *Job) Report {
	x := &execution{relay: r, job: job, w: w, lastID: job.LastEventID, fingerprint: job.fingerprint()}
	r.countFirst(job.Service)
	ctx, cancel := context.WithDeadline(ctx, job.Expires)
	defer cancel()
	x.run(ctx)
	r.metrics.requests.WithLabelValues(kindName(job.Route), string(x.report.Outcome)).Inc()
	return x.report
}

func kindName(r *fleet.Route) string {
	switch r.Kind {
	case fleet.Idempotent:
		return "idempotent"
	case fleet.Stream:
		return "stream"
	}
	return "non_idempotent"
}

// log returns a log entry about the job.
func (x *execution) log() *logrus.Entry {
	return x.relay.log.WithFields(logrus.Fields{"request": x.job.ID, "route": x.job.Route.Name, "service": x.job.Service})
}

func (x *execution) run(ctx context.Context) {
	if x.crashes() {
		x.refuse("crashes_endpoints", 0)
		return
	}
	for {
		choice, ok := x.place(ctx)
		if !ok {
			x.giveUp(ctx, "no_endpoint")
			return
		}
		x.tries++
		x.chosen(choice)
		x.last = x.try(ctx, choice)
		if x.last.kind == done || x.last.kind == callerLeft {
			x.finish()
			return
		}
		x.note(choice)
		if d := x.denied(ctx); d != "" {
			x.report.Denied = d
			x.relay.metrics.denied.WithLabelValues(string(d)).Inc()
			x.giveUp(ctx, resultNames[x.last.kind])
			return
		}
		x.relay.metrics.retries.WithLabelValues(resultNames[x.last.kind]).Inc()
		x.exclude = append(x.exclude, choice.Endpoint.ID)
	}
}

// chosen notes a choice for the report.
func (x *execution) chosen(c selection.Choice) {
	x.report.Tries, x.report.Endpoint = x.tries, c.Endpoint.ID
	x.report.CachedTokens, x.report.FetchFrom = c.CachedTokens, c.FetchFrom
	if x.job.Prompt != nil {
		x.report.SharedTokens = x.job.Prompt.SharedTokens()
	}
}

func (x *execution) finish() {
	x.report.Outcome = OutcomeServed
	if x.last.kind == callerLeft {
		x.report.Outcome, x.report.Incomplete = OutcomeCallerLeft, true
	} else if x.last.status >= http.StatusInternalServerError {
		x.report.Outcome = OutcomeError
	}
}

func (x *execution) crashes() bool {
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	return x.relay.strikes.MustRefuse(x.relay.now(), x.fingerprint)
}

// note counts and logs a try that failed.
func (x *execution) note(c selection.Choice) {
	switch x.last.kind {
	case unsent:
		x.unsent++
	case refused:
		x.refused++
	default:
		x.ran++
	}
	x.report.Reason = resultNames[x.last.kind]
	x.log().WithFields(logrus.Fields{
		"endpoint": c.Endpoint.ID, "address": c.Endpoint.Address, "try": x.tries, "result": resultNames[x.last.kind],
		"status": x.last.status, "weights": c.WeightsVersion, "cost_ms": c.Cost.Milliseconds(),
		"age_ms": time.Since(x.job.Arrived).Milliseconds(), "left_ms": time.Until(x.job.Expires).Milliseconds(),
		"last_event": x.lastID, "configuration": x.job.Configuration,
	}).WithError(x.last.err).Warn("try failed")
	if x.last.kind == broken {
		x.strike(c.Endpoint.ID)
	}
}

func (x *execution) strike(endpoint string) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.struck(strikes.CrashReport{Fingerprint: x.fingerprint, Endpoint: endpoint}, "own")
}

// denied returns why a job may not be tried once more after a failed try, or "".
func (x *execution) denied(ctx context.Context) Denial {
	if ctx.Err() != nil {
		return DeniedTime
	}
	switch x.last.kind {
	case unsent:
		return deniedUnless(x.unsent < maxUnsent, DeniedAttempts)
	case moved, hung:
		// The retry was taken from the budget before the try was ended.
		return deniedUnless(x.last.reserved, DeniedTime)
	case refused:
		if x.refused > maxRefused {
			return DeniedAttempts
		}
		return deniedUnless(x.relay.allowRetry(x.job.Service), DeniedBudget)
	}
	switch {
	case !x.job.Route.Repeatable():
		return DeniedUnsafe
	case x.ran >= x.job.Route.MaxAttempts:
		return DeniedAttempts
	case x.crashes():
		return DeniedCrashes
	}
	return deniedUnless(x.relay.allowRetry(x.job.Service), DeniedBudget)
}

func deniedUnless(allowed bool, d Denial) Denial {
	if allowed {
		return ""
	}
	return d
}

// place chooses an endpoint. It waits for a part of the latency objective when
// none may take the job.
func (x *execution) place(ctx context.Context) (selection.Choice, bool) {
	limit := time.Now().Add(x.job.Route.LatencyObjective / holdShare)
	if x.ran > 0 {
		limit = time.Now().Add(startedHold)
	}
	for ctx.Err() == nil {
		if c, ok := x.choose(); ok {
			return c, true
		}
		if time.Now().After(limit) {
			return selection.Choice{}, false
		}
		wait.For(ctx, holdStep)
	}
	return selection.Choice{}, false
}

func (x *execution) request() *selection.Request {
	return &selection.Request{
		Service: x.job.Service, Prompt: x.job.Prompt, CacheNamespace: x.job.namespace(), Exclude: x.exclude,
		Repeatable: x.job.Route.Repeatable(), MovedForWeightsChange: x.last.kind == moved,
		AllowExpiredWeights: x.relay.directory.StoreUnreachable(),
	}
}

func (x *execution) choose() (selection.Choice, bool) {
	r := x.relay
	v := r.directory.View()
	request := x.request()
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.selector.Select(r.now(), time.Now(), v, request)
	if ok {
		r.selector.ObserveStarted(r.now(), request, c)
	}
	return c, ok
}

// try sends the job to the chosen endpoint.
func (x *execution) try(ctx context.Context, c selection.Choice) result {
	t := &try{execution: x, choice: c, parent: ctx}
	ctx, t.cancel = context.WithCancelCause(ctx)
	defer t.cancel(nil)
	x.relay.track(t, true)
	defer x.relay.track(t, false)
	res := t.run(ctx)
	t.ended(res)
	return res
}

func (x *execution) attempt(c selection.Choice) *platform.Attempt {
	a := &platform.Attempt{
		EndpointID: c.Endpoint.ID, Team: x.job.teamName(), RemainingTime: time.Until(x.job.Expires), LastEventID: x.lastID,
		Priority: x.job.priority(), HasPriority: x.job.Prompt != nil,
	}
	if x.job.Prompt != nil {
		a.CacheNamespace, a.WeightsVersion = cacheNamespace(c.WeightsVersion, x.job.namespace()), c.WeightsVersion
		a.FetchFrom, a.SaveTo = c.FetchFrom, c.SaveTo
	}
	return a
}

// movable reports whether the job may leave its endpoint for another one.
func (x *execution) movable() bool {
	return x.job.Route.Kind == fleet.Stream && x.job.Route.Repeatable() && x.tries < x.job.Route.MaxAttempts
}

func (x *execution) upstreamRequest(c selection.Choice) *upstream.Request {
	r := &upstream.Request{
		Method: x.job.Method, URI: x.job.URI, Host: x.job.Host, Body: x.job.Body,
		Header: platform.ForwardedRequestHeader(x.job.Header, x.attempt(c)), ID: x.job.ID, IDHeader: platform.HeaderRequestID,
	}
	if !x.job.Route.Repeatable() {
		r.MaxIdle = nonIdempotentIdle
	}
	if s := x.relay.directory.View().Config.Services[x.job.Service]; s != nil {
		r.MaxConnections = s.MaxConnections / connectionShare
	}
	return r
}

// giveUp answers a job that cannot be served.
func (x *execution) giveUp(ctx context.Context, reason string) {
	x.report.Reason = reason
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		x.report.Outcome, x.report.Incomplete = OutcomeCallerLeft, true
	case x.started:
		x.report.Outcome, x.report.Incomplete = OutcomeBrokenOff, true
	case x.last.kind == failed:
		x.passOn(x.last)
		x.report.Outcome = OutcomeError
	case x.ran > 0 && ctx.Err() != nil, x.last.kind == hung:
		x.answer(http.StatusGatewayTimeout, 0)
		x.report.Outcome = OutcomeTimeout
	case x.ran > 0:
		x.answer(http.StatusBadGateway, 0)
		x.report.Outcome = OutcomeFailed
	default:
		x.refuse(reason, retryAfter)
	}
}

// refuse tells the caller that the job has not run and never will.
func (x *execution) refuse(reason string, after time.Duration) {
	x.report.Outcome, x.report.Reason = OutcomeRefused, reason
	x.relay.metrics.refusals.WithLabelValues(reason).Inc()
	x.answer(http.StatusServiceUnavailable, after)
}

func (x *execution) answer(status int, after time.Duration) {
	h := x.w.Header()
	h.Set(platform.HeaderRequestID, x.job.ID)
	if after > 0 {
		h.Set(platform.HeaderRetryAfter, platform.FormatRetryAfter(after))
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// passOn gives the caller an endpoint's whole answer unchanged.
func (x *execution) passOn(res result) {
	x.copyHeader(res.header)
	x.w.Header().Set("Content-Length", lengthOf(res.body))
	x.w.WriteHeader(res.status)
	if _, err := x.w.Write(res.body); err != nil {
		x.log().WithError(err).Info("caller did not take the answer")
	}
}

func (x *execution) copyHeader(from http.Header) {
	platform.StripConnectionHeaders(from)
	h := x.w.Header()
	for name, values := range from {
		h[name] = values
	}
}

// readWhole reads an answer's body.
func readWhole(body io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err == nil && len(b) > maxAnswerBytes {
		err = errors.New("answer is too long")
	}
	return b, err
}
