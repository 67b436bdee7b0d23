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
	maxUnreachableEndpoints = 6
	// maxRefused bounds the endpoints that may refuse a job unrun.
	maxRefusals = 3
	// holdShare is the part of the latency objective for which a job waits for
	// an endpoint before it is refused.
	selectWaitDivisor = 8
	// startedHold is how long a job that has run waits for another endpoint: it
	// can no longer be refused. Callers leave streams after two seconds.
	selectWaitAfterRun = time.Second
	// holdStep is the time between two looks for an endpoint.
	selectPollInterval = 10 * time.Millisecond
	// retryAfter tells callers when to come back: weights change and endpoints
	// return within about that time.
	refusalRetryAfter = 400 * time.Millisecond
	// patienceFactor times the latency objective is how long a request that
	// may be repeated waits for its first byte at one endpoint.
	firstByteTimeoutFactor = 2.5
	// maxAnswerBytes bounds the answers that are read whole.
	maxResponseBytes = 8 << 20
	// nonIdempotentIdle is the age up to which an idle connection carries work
	// that may not be repeated: an endpoint may drop an idle connection without
	// notice, and what is sent on it then counts as run.
	maxIdleTimeNonRepeatable = time.Second
	// connectionShare is the part of an endpoint's connections that one router
	// of two may open.
	connectionLimitDivisor = 2
)

type resultKind int

const (
	// done means that the caller has its answer.
	resultDone resultKind = iota
	// unsent means that the endpoint was not reached.
	resultNotSent
	// refused means that the endpoint says that it did not run the request.
	resultRefused
	// failed is a whole answer that reports an error of the endpoint.
	resultErrorResponse
	// broken means that the request may have run and no whole answer came.
	resultBroken
	// hung is broken after no answer came in time.
	resultTimeout
	// moved means that the router ended the try to go on elsewhere.
	resultMoved
	// callerLeft means that the caller closed its connection.
	resultCallerDisconnected
)

var resultNames = map[resultKind]string{
	resultDone: "done", resultNotSent: "unreachable", resultRefused: "refused_by_endpoint", resultErrorResponse: "endpoint_error", resultBroken: "broken",
	resultTimeout: "no_answer", resultMoved: "moved", resultCallerDisconnected: "caller_left",
}

// result is the end of one try.
type result struct {
	kind   resultKind
	status int
	header http.Header
	body   []byte
	err    error
	// gone means that another endpoint has the address.
	wrongEndpoint bool
	// reserved means that the next try is paid for.
	retryReserved bool
}

// execution is one job on its way.
type execution struct {
	relay *Relay
	req   *Request
	w     http.ResponseWriter

	fingerprint     uint64
	excluded        []string
	attempts        int
	mayHaveRunCount int
	notSentCount    int
	refusedCount    int
	lastResult      result
	report          Report
	// started means that the head of the answer has gone to the caller.
	headerSent  bool
	lastEventID string
}

// Run runs the job and answers the caller. It returns when the answer is
// complete or cannot be completed.
func (r *Relay) Run(ctx context.Context, w http.ResponseWriter, req *Request) Report {
	x := &execution{relay: r, req: req, w: w, lastEventID: req.LastEventID, fingerprint: req.fingerprint()}
	r.recordFirstAttempt(req.Service)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x.runAttempts(ctx)
	r.metrics.requests.WithLabelValues(kindName(req.Route), string(x.report.Outcome)).Inc()
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
	return x.relay.log.WithFields(logrus.Fields{"request": x.req.ID, "route": x.req.Route.Name, "service": x.req.Service})
}

func (x *execution) runAttempts(ctx context.Context) {
	if x.crashesEndpoints() {
		x.refuse("crashes_endpoints", 0)
		return
	}
	for {
		choice, ok := x.waitForEndpoint(ctx)
		if !ok {
			x.respondFailure(ctx, "no_endpoint")
			return
		}
		x.attempts++
		x.recordChoice(choice)
		x.lastResult = x.runAttempt(ctx, choice)
		if x.lastResult.kind == resultDone || x.lastResult.kind == resultCallerDisconnected {
			x.setOutcome()
			return
		}
		x.recordFailure(choice)
		if d := x.retryDenial(ctx); d != "" {
			x.report.RetryDenied = d
			x.relay.metrics.retriesDenied.WithLabelValues(string(d)).Inc()
			x.respondFailure(ctx, resultNames[x.lastResult.kind])
			return
		}
		x.relay.metrics.retries.WithLabelValues(resultNames[x.lastResult.kind]).Inc()
		x.excluded = append(x.excluded, choice.Endpoint.ID)
	}
}

// chosen notes a choice for the report.
func (x *execution) recordChoice(c selection.Choice) {
	x.report.Attempts, x.report.EndpointID = x.attempts, c.Endpoint.ID
	x.report.CachedTokens, x.report.FetchFrom = c.CachedTokens, c.FetchFrom
	if x.req.Prompt != nil {
		x.report.SharedTokens = x.req.Prompt.SharedTokens()
	}
}

func (x *execution) setOutcome() {
	x.report.Outcome = OutcomeServed
	if x.lastResult.kind == resultCallerDisconnected {
		x.report.Outcome, x.report.Incomplete = OutcomeCallerDisconnected, true
	} else if x.lastResult.status >= http.StatusInternalServerError {
		x.report.Outcome = OutcomeEndpointError
	}
}

func (x *execution) crashesEndpoints() bool {
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	return x.relay.strikes.MustRefuse(x.relay.now(), x.fingerprint)
}

// note counts and logs a try that failed.
func (x *execution) recordFailure(c selection.Choice) {
	switch x.lastResult.kind {
	case resultNotSent:
		x.notSentCount++
	case resultRefused:
		x.refusedCount++
	default:
		x.mayHaveRunCount++
	}
	x.report.Reason = resultNames[x.lastResult.kind]
	x.log().WithFields(logrus.Fields{
		"endpoint": c.Endpoint.ID, "address": c.Endpoint.Address, "try": x.attempts, "result": resultNames[x.lastResult.kind],
		"status": x.lastResult.status, "weights": c.WeightsVersion, "cost_ms": c.Cost.Milliseconds(),
		"age_ms": time.Since(x.req.ArrivedAt).Milliseconds(), "left_ms": time.Until(x.req.Deadline).Milliseconds(),
		"last_event": x.lastEventID, "configuration": x.req.ConfigurationVersion,
	}).WithError(x.lastResult.err).Warn("try failed")
	if x.lastResult.kind == resultBroken {
		x.reportCrash(c.Endpoint.ID)
	}
}

func (x *execution) reportCrash(endpoint string) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addCrashReportLocked(strikes.CrashReport{Fingerprint: x.fingerprint, Endpoint: endpoint}, "own")
}

// denied returns why a job may not be tried once more after a failed try, or "".
func (x *execution) retryDenial(ctx context.Context) RetryDenial {
	if ctx.Err() != nil {
		return DeniedDeadline
	}
	switch x.lastResult.kind {
	case resultNotSent:
		return deniedUnless(x.notSentCount < maxUnreachableEndpoints, DeniedAttempts)
	case resultMoved, resultTimeout:
		// The retry was taken from the budget before the try was ended.
		return deniedUnless(x.lastResult.retryReserved, DeniedDeadline)
	case resultRefused:
		if x.refusedCount > maxRefusals {
			return DeniedAttempts
		}
		return deniedUnless(x.relay.allowRetry(x.req.Service), DeniedBudget)
	}
	switch {
	case !x.req.Route.Repeatable():
		return DeniedNotRepeatable
	case x.mayHaveRunCount >= x.req.Route.MaxAttempts:
		return DeniedAttempts
	case x.crashesEndpoints():
		return DeniedCrashesEndpoints
	}
	return deniedUnless(x.relay.allowRetry(x.req.Service), DeniedBudget)
}

func deniedUnless(allowed bool, d RetryDenial) RetryDenial {
	if allowed {
		return ""
	}
	return d
}

// place chooses an endpoint. It waits for a part of the latency objective when
// none may take the job.
func (x *execution) waitForEndpoint(ctx context.Context) (selection.Choice, bool) {
	limit := time.Now().Add(x.req.Route.LatencyObjective / selectWaitDivisor)
	if x.mayHaveRunCount > 0 {
		limit = time.Now().Add(selectWaitAfterRun)
	}
	for ctx.Err() == nil {
		if c, ok := x.selectEndpoint(); ok {
			return c, true
		}
		if time.Now().After(limit) {
			return selection.Choice{}, false
		}
		wait.For(ctx, selectPollInterval)
	}
	return selection.Choice{}, false
}

func (x *execution) selectionRequest() *selection.Request {
	return &selection.Request{
		Service: x.req.Service, Prompt: x.req.Prompt, CacheNamespace: x.req.teamNamespace(), Exclude: x.excluded,
		Repeatable: x.req.Route.Repeatable(), MovedForWeightsChange: x.lastResult.kind == resultMoved,
		AllowExpiredWeights: x.relay.directory.StoreLost(),
	}
}

func (x *execution) selectEndpoint() (selection.Choice, bool) {
	r := x.relay
	v := r.directory.View()
	request := x.selectionRequest()
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.selector.Select(r.now(), time.Now(), v, request)
	if ok {
		r.selector.ObserveStarted(r.now(), request, c)
	}
	return c, ok
}

// try sends the job to the chosen endpoint.
func (x *execution) runAttempt(ctx context.Context, c selection.Choice) result {
	a := &attempt{execution: x, choice: c, requestCtx: ctx}
	ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	x.relay.trackAttempt(a, true)
	defer x.relay.trackAttempt(a, false)
	res := a.run(ctx)
	a.recordEnd(res)
	return res
}

func (x *execution) platformAttempt(c selection.Choice) *platform.Attempt {
	values := &platform.Attempt{
		EndpointID: c.Endpoint.ID, Team: x.req.teamName(), RemainingTime: time.Until(x.req.Deadline), LastEventID: x.lastEventID,
		Priority: x.req.priority(), HasPriority: x.req.Prompt != nil,
	}
	if x.req.Prompt != nil {
		values.CacheNamespace, values.WeightsVersion = formatCacheNamespace(c.WeightsVersion, x.req.teamNamespace()), c.WeightsVersion
		values.FetchFrom, values.SaveTo = c.FetchFrom, c.SaveTo
	}
	return values
}

// movable reports whether the job may leave its endpoint for another one.
func (x *execution) canMove() bool {
	return x.req.Route.Kind == fleet.Stream && x.req.Route.Repeatable() && x.attempts < x.req.Route.MaxAttempts
}

func (x *execution) upstreamRequest(c selection.Choice) *upstream.Request {
	r := &upstream.Request{
		Method: x.req.Method, URI: x.req.URI, Host: x.req.Host, Body: x.req.Body,
		Header: platform.ForwardedRequestHeader(x.req.Header, x.platformAttempt(c)), ID: x.req.ID, IDHeader: platform.HeaderRequestID,
	}
	if !x.req.Route.Repeatable() {
		r.MaxIdleTime = maxIdleTimeNonRepeatable
	}
	if s := x.relay.directory.View().Config.Services[x.req.Service]; s != nil {
		r.MaxConnections = s.MaxConnections / connectionLimitDivisor
	}
	return r
}

// giveUp answers a job that cannot be served.
func (x *execution) respondFailure(ctx context.Context, reason string) {
	x.report.Reason = reason
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		x.report.Outcome, x.report.Incomplete = OutcomeCallerDisconnected, true
	case x.headerSent:
		x.report.Outcome, x.report.Incomplete = OutcomeInterrupted, true
	case x.lastResult.kind == resultErrorResponse:
		x.forwardResponse(x.lastResult)
		x.report.Outcome = OutcomeEndpointError
	case x.mayHaveRunCount > 0 && ctx.Err() != nil, x.lastResult.kind == resultTimeout:
		x.respondEmpty(http.StatusGatewayTimeout, 0)
		x.report.Outcome = OutcomeTimeout
	case x.mayHaveRunCount > 0:
		x.respondEmpty(http.StatusBadGateway, 0)
		x.report.Outcome = OutcomeFailed
	default:
		x.refuse(reason, refusalRetryAfter)
	}
}

// refuse tells the caller that the job has not run and never will.
func (x *execution) refuse(reason string, retryAfter time.Duration) {
	x.report.Outcome, x.report.Reason = OutcomeRefused, reason
	x.relay.metrics.refusals.WithLabelValues(reason).Inc()
	x.respondEmpty(http.StatusServiceUnavailable, retryAfter)
}

func (x *execution) respondEmpty(status int, retryAfter time.Duration) {
	h := x.w.Header()
	h.Set(platform.HeaderRequestID, x.req.ID)
	if retryAfter > 0 {
		h.Set(platform.HeaderRetryAfter, platform.FormatRetryAfter(retryAfter))
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// passOn gives the caller an endpoint's whole answer unchanged.
func (x *execution) forwardResponse(res result) {
	x.copyResponseHeader(res.header)
	x.w.Header().Set("Content-Length", contentLength(res.body))
	x.w.WriteHeader(res.status)
	if _, err := x.w.Write(res.body); err != nil {
		x.log().WithError(err).Info("caller did not take the answer")
	}
}

func (x *execution) copyResponseHeader(from http.Header) {
	platform.StripConnectionHeaders(from)
	h := x.w.Header()
	for name, values := range from {
		h[name] = values
	}
}

// readWhole reads an answer's body.
func readResponseBody(body io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err == nil && len(b) > maxResponseBytes {
		err = errors.New("answer is too long")
	}
	return b, err
}
