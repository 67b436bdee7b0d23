package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/decision/overload"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/decision/strikes"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
)

const (
	// maxUnreachableEndpoints is the number of unreachable endpoints after which a
	// request is no longer retried.
	maxUnreachableEndpoints = 6
	// maxRefusals is the highest number of refusals by endpoints after which a request
	// is still retried.
	maxRefusals = 3
	// holdShare is the share of the latency objective for which a request waits at the
	// router for an endpoint before it is refused.
	holdShare = 0.125
	// idleShare is the share of the latency objective up to which the queue of an
	// engine counts as empty.
	idleShare = 0.02
	// maxRetryAfter is the longest Retry-After of a refusal because of overload. Bursts
	// and the loss of endpoints last some seconds; callers may return several times.
	maxRetryAfter = 2 * time.Second
	// selectWaitAfterRun is how long a request that may have run waits for another
	// endpoint. Such a request can no longer be refused. Callers disconnect from a
	// stream after a pause of two seconds.
	selectWaitAfterRun = time.Second
	// selectPollInterval is the time between two selections while a request waits
	// for an available endpoint.
	selectPollInterval = 10 * time.Millisecond
	// refusalRetryAfter is the Retry-After of refused requests. Weights changes end
	// and endpoints become available again within about that time.
	refusalRetryAfter = 400 * time.Millisecond
	// firstByteTimeoutFactor multiplies the latency objective. The result is how long
	// a repeatable request waits for the first byte of an endpoint's response.
	firstByteTimeoutFactor = 2.5
	// MaxResponseBytes bounds responses that are not streamed.
	MaxResponseBytes = 8 << 20
	// maxIdleTimeNonRepeatable is the longest time that a connection may have been
	// idle before it is used for a request that must not be repeated. An endpoint
	// may drop an idle connection without notice, and a request sent on it then
	// counts as one that may have run.
	maxIdleTimeNonRepeatable = time.Second
	// connectionShareFactor multiplies a router's even share of an endpoint's connection
	// limit, because routers use endpoints unevenly, and maxConnectionShare bounds the
	// result. Few routers use the same endpoint to that extent.
	connectionShareFactor = 2
	maxConnectionShare    = 0.5
)

// execution is the state of one request from its arrival to the end of its response.
type execution struct {
	relay *Relay
	req   *Request
	w     http.ResponseWriter

	fingerprint uint64
	// sharedParts identify the prompt's shared parts.
	sharedParts []uint64
	// teamNamespace is the cache namespace of the request's team in the configuration by which
	// the last endpoint was selected. The relay's lock guards it.
	teamNamespace string
	// condemned is true after an attempt was not allowed for a part of the prompt.
	condemned bool
	// place is held for the next attempt, or nil. The relay's lock guards it.
	place *heldPlace
	// excluded are the IDs of the endpoints of earlier attempts.
	excluded []string
	attempts int
	// mayHaveRunCount, notSentCount and refusedCount count the failed attempts that
	// may have run, did not reach an endpoint, and were refused by one.
	mayHaveRunCount int
	notSentCount    int
	refusedCount    int
	lastResult      result
	report          Report
	// headerSent is true when status and headers of a stream were sent to the caller.
	headerSent bool
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID string
	// gapObjective and outputTokens are those of selection.Request.
	gapObjective time.Duration
	outputTokens int
	// admission is the last decision of overload control, or zero if there was none.
	admission overload.Decision
	// delayedForFairness is true after the request was held because of its team's share.
	delayedForFairness bool
	// noEndpointLeft means that the service has no ready endpoint that was not tried, so
	// that waiting for one is useless.
	noEndpointLeft bool
	// softwareVersions are the versions that may run the request, in order of preference.
	// It is nil if all may.
	softwareVersions []string
	// quotaUnits are the units that the request counts toward its team's quota.
	quotaUnits float64
}

// ReasonCallerStalled is the reason of requests whose callers did not read their responses.
const ReasonCallerStalled = "caller_stalled"

// Run runs the request and responds to the caller. It returns when the response is
// complete or cannot be completed.
func (r *Relay) Run(ctx context.Context, w http.ResponseWriter, req *Request) Report {
	x := &execution{relay: r, req: req, w: w, lastEventID: req.LastEventID, fingerprint: req.fingerprint(), sharedParts: sharedPartKeys(req.Prompt)}
	r.recordFirstAttempt(req.Service)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer r.endAtStop(end)()
	x.runAttempts(ctx)
	x.lastResult.body.Release()
	if req.CallerStalled != nil && req.CallerStalled() {
		x.report.Outcome, x.report.Reason, x.report.Incomplete = OutcomeCallerDisconnected, ReasonCallerStalled, true
	}
	r.metrics.requests.WithLabelValues(routeKindLabel(req.Route), string(x.report.Outcome)).Inc()
	return x.report
}

// routeKindLabel returns the label of a route's kind in metrics.
func routeKindLabel(r *fleet.Route) string {
	switch r.Kind {
	case fleet.Idempotent:
		return "idempotent"
	case fleet.Stream:
		return "stream"
	}
	return "non_idempotent"
}

// log returns a log entry with the fields of the request.
func (x *execution) log() *logrus.Entry {
	return x.relay.log.WithFields(logrus.Fields{"request": x.req.ID, "route": x.req.Route.Name, "service": x.req.Service})
}

// runAttempts runs the request at one endpoint after the other until it completes or may
// not be retried.
func (x *execution) runAttempts(ctx context.Context) {
	if x.crashesEndpoints() {
		x.refuse("crashes_endpoints", 0)
		return
	}
	if x.partCondemned() {
		x.refuse(reasonPartCrashesEngines, 0)
		return
	}
	if !x.admitByQuota() {
		return
	}
	defer x.refundQuota()
	x.observeArrival()
	if reason := x.pinSoftwareVersion(ctx); reason != "" {
		x.refuse(reason, refusalRetryAfter)
		return
	}
	defer x.releasePlace()
	for {
		choice, verdict := x.waitForEndpoint(ctx)
		if x.condemned {
			x.respondCondemned(ctx)
			return
		}
		if x.cannotEndInTime() && verdict != overload.Start {
			x.refuse(reasonShuttingDown, stoppingRetryAfter)
			return
		}
		switch verdict {
		case overload.Start:
		case overload.Wait:
			x.respondUnavailable(ctx, choice)
			return
		default:
			x.refuseOverload(choice, verdict)
			return
		}
		x.attempts++
		x.recordChoice(choice)
		x.lastResult.body.Release()
		x.lastResult = x.runAttempt(ctx, choice)
		if x.lastResult.kind == resultDone || x.lastResult.kind == resultCallerDisconnected {
			if x.lastResult.body != nil {
				// Only now, so that a caller that reads slowly takes up no capacity of the endpoint.
				x.forwardResponse(x.lastResult)
			}
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

// reasonPartCrashesEngines is the reason of refusals because of a part of the prompt.
const reasonPartCrashesEngines = "part_crashes_engines"

// recordChoice copies a choice into the report.
func (x *execution) recordChoice(c selection.Choice) {
	x.report.Attempts, x.report.EndpointID, x.report.SoftwareVersion = x.attempts, c.Endpoint.ID, c.Endpoint.SoftwareVersion
	x.report.CachedTokens, x.report.FetchFrom = c.CachedTokens, c.FetchFrom
	if x.req.Prompt != nil {
		x.report.SharedTokens = x.req.Prompt.SharedTokens()
	}
}

// setOutcome sets the outcome of a request that completed or whose caller disconnected.
func (x *execution) setOutcome() {
	x.report.Outcome = OutcomeServed
	if x.lastResult.kind == resultDone {
		x.relay.observeDuration(x.req)
	}
	if x.lastResult.kind == resultCallerDisconnected {
		x.report.Outcome, x.report.Incomplete = OutcomeCallerDisconnected, true
	} else if x.lastResult.status >= http.StatusInternalServerError {
		x.report.Outcome = OutcomeEndpointError
	}
}

// crashesEndpoints reports whether the request must be refused because it crashed
// endpoints.
func (x *execution) crashesEndpoints() bool {
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	return x.relay.crashReports.MustRefuse(x.relay.now(), x.fingerprint)
}

// recordFailure counts and logs a failed attempt.
func (x *execution) recordFailure(c selection.Choice) {
	switch x.lastResult.kind {
	case resultNotSent, resultExpired:
		x.notSentCount++
	case resultRefused:
		x.refusedCount++
	default:
		x.mayHaveRunCount++
	}
	x.report.Reason = resultNames[x.lastResult.kind]
	x.log().WithFields(logrus.Fields{
		"endpoint": c.Endpoint.ID, "address": c.Endpoint.Address, "software": c.Endpoint.SoftwareVersion, "try": x.attempts, "result": resultNames[x.lastResult.kind],
		"status": x.lastResult.status, "weights": c.WeightsVersion, "cost_ms": c.Cost.Milliseconds(),
		"age_ms": time.Since(x.req.ArrivedAt).Milliseconds(), "left_ms": time.Until(x.req.Deadline).Milliseconds(),
		"last_event": x.lastEventID, "configuration": x.req.ConfigurationVersion, "shared_parts": x.formatSharedParts(),
		"head": x.lastResult.headReceived, "events": x.lastResult.eventCount, "try_ms": x.lastResult.duration.Milliseconds(),
		"connection": x.lastResult.connection.LocalAddress, "carried": x.lastResult.connection.Carried, "skipped": x.lastResult.connection.Skipped,
	}).WithError(x.lastResult.err).Warn("attempt failed")
	if x.lastResult.kind != resultIncompleteResponse || errors.Is(x.lastResult.err, bytebudget.ErrExhausted) {
		return
	}
	lost := upstream.ConnectionLost(x.lastResult.err) || errors.IsAny(x.lastResult.err, errTruncatedEvent, errNoEvents)
	if x.lastResult.eventCount == 0 || lost && x.lastResult.incriminates {
		x.reportCrash(c.Endpoint.ID)
	}
	if lost && x.lastResult.incriminates {
		x.observeCrash(c.Endpoint.ID)
	}
}

// formatSharedParts returns the IDs of the prompt's shared parts in order, in
// hexadecimal and separated by commas. It is empty for requests without a prompt.
func (x *execution) formatSharedParts() string {
	if x.req.Prompt == nil {
		return ""
	}
	var ids []string
	for _, part := range x.req.Prompt.SharedParts() {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return strings.Join(ids, ",")
}

// reportCrash adds a crash report about the request and the endpoint, because an incomplete
// response, without output or soon after the first, may mean that the request crashed the endpoint.
func (x *execution) reportCrash(endpoint string) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addCrashReportLocked(strikes.CrashReport{Fingerprint: x.fingerprint, Endpoint: endpoint, AfterOutput: x.lastResult.eventCount > 0}, "own")
}

// retryDenial returns why the request may not be retried after a failed attempt, or
// "" if it may. Retries after an unreachable endpoint are not charged to the retry
// budget.
func (x *execution) retryDenial(ctx context.Context) RetryDenial {
	if ctx.Err() != nil {
		return DeniedDeadline
	}
	switch x.lastResult.kind {
	case resultExpired:
		return DeniedDeadline
	case resultNotSent:
		return deniedUnless(x.notSentCount < maxUnreachableEndpoints, DeniedAttempts)
	case resultMoved, resultTimeout:
		// The budget was charged for the retry before the attempt was ended.
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
	case x.partCondemned():
		return DeniedPartCrashesEngines
	}
	return deniedUnless(x.relay.allowRetry(x.req.Service), DeniedBudget)
}

func deniedUnless(allowed bool, d RetryDenial) RetryDenial {
	if allowed {
		return ""
	}
	return d
}

// waitForEndpoint selects an endpoint: that at which a place is held, if there is one. If none is
// available, or if overload control holds the request back, it tries again until the wait limit of
// the request. It returns overload.Wait if no endpoint is available or ctx has ended.
func (x *execution) waitForEndpoint(ctx context.Context) (selection.Choice, overload.Verdict) {
	switch choice, held := x.takePlace(); {
	case held:
		return choice, overload.Start
	case x.condemned:
		return choice, overload.Wait
	}
	waitingSince := time.Now()
	limit := time.Duration(holdShare * float64(x.req.Route.LatencyObjective))
	if x.mayHaveRunCount > 0 {
		limit = selectWaitAfterRun
	}
	for ctx.Err() == nil && !x.cannotEndInTime() {
		held := time.Since(waitingSince)
		c, verdict := x.selectEndpoint(held)
		if verdict != overload.Wait || held+c.ThrottledFor > limit || x.condemned || x.noEndpointLeft {
			return c, verdict
		}
		wait.For(ctx, selectPollInterval)
	}
	return selection.Choice{}, overload.Wait
}

func (x *execution) selectionRequest() *selection.Request {
	softwareVersion := ""
	if len(x.softwareVersions) > 0 {
		softwareVersion = x.softwareVersions[0]
	}
	return &selection.Request{
		SoftwareVersion: softwareVersion, Service: x.req.Service, Prompt: x.req.Prompt, CacheNamespace: x.teamNamespace, Exclude: x.excluded,
		Repeatable: x.req.Route.Repeatable(), GapObjective: x.gapObjective, OutputTokens: x.outputTokens, MovedForWeightsChange: x.lastResult.kind == resultMoved,
		AllowExpiredWeights: x.relay.directory.StoreUnreachableForAll(),
	}
}

// selectEndpoint selects an endpoint for a request that was held for the given time. If
// overload control lets the request start, it records that the request starts there. It
// returns overload.Wait if no endpoint is available, or if condemned is set.
func (x *execution) selectEndpoint(held time.Duration) (selection.Choice, overload.Verdict) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.directory.View()
	x.teamNamespace = r.teamNamespaceLocked(v.Config, x.req.Team)
	request := x.selectionRequest()
	c, ok := x.selectLocked(v, request)
	if !ok {
		x.noEndpointLeft = r.costAwareLocked(x.req.Service) && x.mayHaveRunCount == 0 && x.req.LastEventID == "" && !anyEndpointLeft(v, x.req.Service, x.excluded)
		return c, overload.Wait
	}
	verdict := overload.Start
	if x.overloadControlled() {
		verdict = x.admitLocked(held, c)
	}
	if verdict == overload.Start {
		if x.condemned = !x.beginLocked(); x.condemned {
			return c, overload.Wait
		}
		r.selector.ObserveStarted(r.now(), request, c)
	}
	return c, verdict
}

// runAttempt runs the request at the selected endpoint.
func (x *execution) runAttempt(ctx context.Context, c selection.Choice) result {
	a := &attempt{execution: x, choice: c, requestCtx: ctx, startedAt: time.Now()}
	ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	x.relay.trackAttempt(a, true)
	defer x.relay.trackAttempt(a, false)
	a.logSentToOldWeights()
	a.beginCosts()
	res := a.run(ctx)
	res.headReceived, res.eventCount, res.duration = a.headReceived, a.eventCount, time.Since(a.startedAt)
	res.connection, res.incriminates = a.connection, a.output.Incriminates(a.relay.now())
	a.recordEnd(res)
	return res
}

func (x *execution) routerHeaderValues(c selection.Choice) *platform.RouterHeaderValues {
	values := &platform.RouterHeaderValues{
		EndpointID: c.Endpoint.ID, Team: x.req.teamName(), RemainingTime: x.remainingTime(), LastEventID: x.lastEventID,
		Priority: x.req.priority(), HasPriority: x.req.Prompt != nil,
	}
	if x.req.Prompt != nil {
		values.CacheNamespace, values.WeightsVersion = formatCacheNamespace(c.WeightsVersion, x.teamNamespace), c.WeightsVersion
		values.FetchFrom, values.SaveTo = c.FetchFrom, c.SaveTo
	}
	return values
}

// canMove reports whether the request may move to another endpoint.
func (x *execution) canMove() bool {
	return x.req.Route.Kind == fleet.Stream && x.req.Route.Repeatable() && x.attempts < x.req.Route.MaxAttempts
}

func (x *execution) upstreamRequest(c selection.Choice) *upstream.Request {
	r := &upstream.Request{
		Method: x.req.Method, URI: x.req.URI, Host: x.req.Host, Body: x.req.Body,
		Header: platform.ForwardedRequestHeader(x.req.Header, x.routerHeaderValues(c)), ID: x.req.ID,
		Abandoned: x.req.CallerLeft, Team: memory.TeamAccount(x.req.teamName()),
	}
	if !x.req.Route.Repeatable() {
		r.MaxIdleTime = maxIdleTimeNonRepeatable
	}
	if s := x.relay.directory.View().Config.Services[x.req.Service]; s != nil {
		r.MaxConnections = connectionLimit(s.MaxConnections, x.relay.directory.RouterCount())
	}
	return r
}

// connectionLimit returns how many connections one of the routers may open to an
// endpoint, or 0 if the endpoint states no limit.
func connectionLimit(endpointLimit, routers int) int {
	if endpointLimit <= 0 {
		return 0
	}
	share := min(connectionShareFactor/float64(routers), maxConnectionShare) * float64(endpointLimit)
	return max(minConnections, int(share))
}

// minConnections lets a router use an endpoint in any deployment.
const minConnections = 2
