package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/decision/poison"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/httpstatus"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/sse"
)

var (
	errMovedForWeightsChange = errors.New("stream moved because the endpoint changes its weights")
	errWeightsExpired        = errors.New("request withdrawn because it had not begun when the endpoint's weights expired")
	errResponseTimeout       = errors.New("endpoint did not respond in time")
	errNoEvents              = errors.New("connection ended after the head of a stream without length or chunks")
	errTruncatedEvent        = errors.New("stream ended in the middle of an event")
)

// attempt is the execution of a request at one endpoint.
type attempt struct {
	*execution
	choice selection.Choice
	// requestCtx is the context of the request. The attempt's own context also
	// ends when cancel is called.
	requestCtx context.Context
	cancel     context.CancelCauseFunc
	// silenceTimer calls onSilence. It is nil if the attempt has no time limit of
	// its own.
	silenceTimer *time.Timer
	// writing is true while events are written to the caller, who may read slowly. The endpoint is
	// not read meanwhile, so that its silence means nothing.
	writing atomic.Bool
	// silentAt is the time.Duration of Relay.now from which on the endpoint counts as silent, and
	// keptWhileSilent means that its silence was noticed and no other one could take the request.
	// The relay's lock guards the latter.
	silentAt        atomic.Int64
	keptWhileSilent bool
	startedAt       time.Time
	connection      upstream.ConnectionInfo
	headReceived    bool
	eventCount      int
	// prefillEndRecorded is true after recordPrefillEnded was called. Only the attempt's
	// goroutine writes it, with the relay's lock held.
	prefillEndRecorded bool
	// output follows the output for the evidence about prompt parts.
	output poison.Run
	costs  costObservation
}

// formatCacheNamespace returns the KV cache namespace of a weights version and a
// team namespace, so that engines never share cached parts between them.
func formatCacheNamespace(weightsVersion uint64, teamNamespace string) string {
	return strconv.FormatUint(weightsVersion, 10) + "/" + teamNamespace
}

// parseCacheNamespace is the inverse of formatCacheNamespace.
func parseCacheNamespace(namespace string) (weightsVersion uint64, teamNamespace string, ok bool) {
	versionText, teamNamespace, ok := strings.Cut(namespace, "/")
	weightsVersion, err := strconv.ParseUint(versionText, 10, 64)
	return weightsVersion, teamNamespace, ok && err == nil
}

// run sends the request to the endpoint and forwards its response to the caller,
// except for responses after which another endpoint may run the request.
func (a *attempt) run(ctx context.Context) result {
	if timeout := a.firstByteTimeout(); timeout > 0 {
		a.silenceTimer = time.AfterFunc(timeout, a.onSilence)
		defer a.silenceTimer.Stop()
	}
	request := a.upstreamRequest(a.choice)
	response, err := a.relay.upstream.Do(ctx, a.choice.Endpoint.Address, request)
	a.connection = request.Connection
	if !request.SentAt.IsZero() {
		a.report.TimeToSend = request.SentAt.Sub(a.req.ArrivedAt)
	}
	if err != nil {
		return a.resultOfError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }() // returns the connection to its pool or closes it
	a.headReceived = true
	a.observeWeightsVersion(response)
	a.observeStatements(request, response)
	if a.statesNotRun(response) {
		response.Discard()
		return result{kind: resultRefused, status: response.Status, header: response.Header, wrongEndpoint: a.refusedByOtherEndpoint(response)}
	}
	if response.Header.Get(platform.HeaderSignature) == "" || response.Header.Get("Content-Encoding") != "" || response.Header.Get(platform.HeaderNotExecuted) != "" {
		err := errors.New("response has no endpoint signature, has a content encoding, or contradicts itself on whether the request ran")
		return result{kind: resultIncompleteResponse, status: response.Status, err: err}
	}
	if a.headerSent && !a.continuesStream(response) {
		err := errors.Newf("response to a resumed request is no part of the stream: status %d, content type %q", response.Status, response.Header.Get("Content-Type"))
		return result{kind: resultErrorResponse, status: response.Status, err: err}
	}
	if a.req.Route.Kind == fleet.Stream && response.Status < http.StatusMultipleChoices {
		return a.forwardStream(ctx, response)
	}
	return a.forwardBuffered(ctx, response)
}

// continuesStream reports whether a response can continue the stream that the caller is
// receiving: a success of the same media type.
func (a *attempt) continuesStream(response *upstream.Response) bool {
	mediaType := func(h http.Header) string {
		t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
		return strings.ToLower(strings.TrimSpace(t))
	}
	return response.Status < http.StatusMultipleChoices && mediaType(response.Header) == mediaType(a.w.Header())
}

// observeStatements records what the endpoint states about itself, unless another endpoint
// or something else responded.
func (a *attempt) observeStatements(request *upstream.Request, response *upstream.Response) {
	signed := response.Header.Get(platform.HeaderSignature) != "" || response.Header.Get(platform.HeaderNotExecuted) != ""
	if !signed || a.refusedByOtherEndpoint(response) {
		return
	}
	if platform.Leaving(response.Header) {
		a.relay.directory.ObserveLeaving(a.choice.Endpoint)
	}
	a.observeLimit(request, response)
	if response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests {
		a.observePause(response)
	}
}

// resultOfError returns the result of an attempt whose HTTP request failed with err.
func (a *attempt) resultOfError(ctx context.Context, err error) result {
	switch {
	case endedByStop(a.requestCtx) && !errors.Is(err, upstream.ErrNotSent):
		return result{kind: resultTimeout, err: errStopping}
	case !endedByStop(a.requestCtx) && errors.Is(a.requestCtx.Err(), context.Canceled), errors.Is(err, upstream.ErrAbandoned) && a.req.CallerLeft != nil && a.req.CallerLeft():
		return result{kind: resultCallerDisconnected, err: err}
	case errors.Is(err, upstream.ErrNotSent) && a.req.deadlinePassed():
		return result{kind: resultExpired, err: err}
	case errors.Is(err, upstream.ErrNotSent):
		ended := errors.IsAny(context.Cause(ctx), errMovedForWeightsChange, errWeightsExpired)
		return result{kind: resultNotSent, err: err, endedByRouter: ended}
	case errors.Is(context.Cause(ctx), errMovedForWeightsChange):
		return result{kind: resultMoved, err: errMovedForWeightsChange, retryReserved: true}
	case errors.Is(context.Cause(ctx), errWeightsExpired):
		return result{kind: resultWithdrawn, err: errWeightsExpired}
	case errors.Is(context.Cause(ctx), errResponseTimeout):
		return result{kind: resultTimeout, err: errResponseTimeout, retryReserved: true}
	case ctx.Err() != nil:
		return result{kind: resultTimeout, err: err}
	}
	return result{kind: resultIncompleteResponse, err: err}
}

// observeWeightsVersion records the weights version that a response states. If an
// engine refuses the request because of its weights version, it fetches the version
// from the engine's status.
func (a *attempt) observeWeightsVersion(response *upstream.Response) {
	if a.req.Prompt == nil || a.refusedByOtherEndpoint(response) {
		return
	}
	endpoint, model := a.choice.Endpoint, a.req.Prompt.Model
	if version := platform.ResponseWeightsVersion(response.Header); version > a.choice.WeightsVersion {
		a.relay.directory.ObserveWeightsVersion(endpoint.ID, model, version)
		return
	}
	if response.Status == http.StatusMisdirectedRequest {
		a.relay.refreshWeightsVersion(endpoint, model)
	}
}

// statesNotRun reports whether a response states that the endpoint did not run the request. Its
// status alone does not: a faulty endpoint may run a request and answer 421, 429 or 503.
// Nor does the header beside a success or a redirect, which contradicts it.
func (a *attempt) statesNotRun(response *upstream.Response) bool {
	if response.Header.Get(platform.HeaderNotExecuted) != "" {
		return response.Status >= http.StatusBadRequest
	}
	return a.refusedByOtherEndpoint(response) && response.Header.Get(platform.HeaderSignature) == ""
}

// refusedByOtherEndpoint reports whether the request was refused by another endpoint
// than the selected one.
func (a *attempt) refusedByOtherEndpoint(response *upstream.Response) bool {
	endpointID := response.Header.Get(platform.HeaderEndpointID)
	return response.Status == http.StatusMisdirectedRequest && endpointID != "" && endpointID != a.choice.Endpoint.ID
}

// forwardBuffered reads a response completely, so that the request can still be retried if
// the response is incomplete. The caller gets it after the attempt has ended.
func (a *attempt) forwardBuffered(ctx context.Context, response *upstream.Response) result {
	if httpstatus.PromisesNotRun(response.Status) {
		a.recordPrefillEnded(false)
		response.Discard()
		return result{kind: resultErrorResponse, status: response.Status}
	}
	body, err := response.ReadAll(MaxResponseBytes)
	if err != nil {
		if stated, ok := response.Length(); ok && errors.Is(err, bytebudget.ErrExhausted) {
			a.req.observeResponse(int(min(stated, MaxResponseBytes)))
		}
		return a.resultOfError(ctx, err)
	}
	a.req.observeResponse(body.Len())
	res := result{status: response.Status, header: response.Header, body: body}
	a.recordPrefillEnded(response.Status < http.StatusBadRequest)
	if response.Status >= http.StatusInternalServerError {
		res.kind = resultErrorResponse
		return res
	}
	a.report.TimeToFirstResponse = time.Since(a.req.ArrivedAt)
	a.relay.metrics.firstResponseSeconds.WithLabelValues(routeKindLabel(a.req.Route)).Observe(a.report.TimeToFirstResponse.Seconds())
	return res
}

// forwardStream forwards events as they arrive.
func (a *attempt) forwardStream(ctx context.Context, response *upstream.Response) result {
	scanner := sse.NewScanner(response.Body, response.Memory.Grow)
	for {
		buffered := a.costs.on && scanner.HasBufferedEvent()
		event, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			return a.finishStream(scanner, response)
		}
		if err != nil {
			return a.resultOfError(ctx, err)
		}
		if !event.Comment {
			a.onEvent()
			a.observeEvent(buffered)
		}
		if a.alreadySent(event.ID) {
			continue
		}
		a.fixSoftwareVersion()
		a.sendHeader(response)
		if err := a.writeEvent(event, scanner); err != nil {
			return result{kind: resultCallerDisconnected, err: err}
		}
	}
}

// writeEvent writes an event to the caller and flushes it unless another one follows at once. The
// silence timer starts again afterwards, because the endpoint was not read meanwhile, but not after
// comments, which an endpoint may send without progress.
func (a *attempt) writeEvent(event sse.Event, scanner *sse.Scanner) error {
	a.writing.Store(true)
	defer func() {
		a.writing.Store(false)
		if !event.Comment {
			a.observeProgress()
		}
	}()
	if _, err := a.w.Write(event.Raw); err != nil {
		return err
	}
	if event.ID != "" {
		a.lastEventID = event.ID
	}
	if !scanner.HasBufferedEvent() {
		a.flush()
	}
	return nil
}

func (a *attempt) finishStream(scanner *sse.Scanner, response *upstream.Response) result {
	switch {
	case scanner.IncompleteBytes() > 0:
		return result{kind: resultIncompleteResponse, status: response.Status, err: errTruncatedEvent}
	case !response.SelfDelimited && a.eventCount == 0 && a.lastEventID == "":
		// An engine that crashes when it begins to answer may close the connection.
		return result{kind: resultIncompleteResponse, status: response.Status, err: errNoEvents}
	}
	a.sendHeader(response)
	if _, err := a.w.Write(scanner.Rest()); err != nil {
		return result{kind: resultCallerDisconnected, err: err}
	}
	a.flush()
	if response.SelfDelimited && a.eventCount > 0 {
		a.observeProof(a.output.ObserveComplete())
		a.costs.complete = true
	}
	return result{kind: resultDone, status: response.Status, header: response.Header}
}

// alreadySent reports whether the caller already has an event.
func (a *attempt) alreadySent(eventID string) bool {
	if eventID == "" || a.lastEventID == "" {
		return false
	}
	n, err := strconv.ParseUint(eventID, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(a.lastEventID, 10, 64)
	return err == nil && n <= last
}

// onEvent records that an event of the engine's output arrived and restarts the silence
// timer.
func (a *attempt) onEvent() {
	a.eventCount++
	a.recordPrefillEnded(true)
	a.observeProof(a.output.ObserveOutput(a.relay.now()))
	a.observeProgress()
}

// recordPrefillEnded records that the endpoint has computed the prompt or, if
// computed is false, that it will not.
func (a *attempt) recordPrefillEnded(computed bool) {
	if a.prefillEndRecorded {
		return
	}
	if computed {
		a.logStartedOnOldWeights()
	}
	a.relay.mu.Lock()
	defer a.relay.mu.Unlock()
	a.prefillEndRecorded = true
	a.observeFirstEventLocked(computed)
	a.relay.selector.ObservePrefillEnded(a.selectionRequest(), a.choice, computed)
}

// sendHeader sends the status and headers of a stream. A stream that continues at
// another endpoint keeps the status and headers of the first endpoint.
func (a *attempt) sendHeader(response *upstream.Response) {
	if a.headerSent {
		return
	}
	a.headerSent = true
	a.report.TimeToFirstResponse = time.Since(a.req.ArrivedAt)
	a.relay.metrics.firstResponseSeconds.WithLabelValues(routeKindLabel(a.req.Route)).Observe(a.report.TimeToFirstResponse.Seconds())
	a.copyResponseHeader(response.Header)
	a.w.WriteHeader(response.Status)
}

func (a *attempt) flush() {
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		a.log().WithError(err).Debug("failed to flush events to caller")
	}
}

// recordEnd reports the end of the attempt to the selector.
func (a *attempt) recordEnd(res result) {
	a.recordPrefillEnded(false)
	a.endCosts()
	change, health := a.recordOutcome(res.endpointOutcome(), res.kind == resultDone)
	switch change {
	case selection.SuspensionStarted:
		a.healthLogEntry(res, health).WithField("for_ms", health.SuspendedFor.Milliseconds()).Warn("endpoint suspended")
	case selection.SuspensionEnded:
		a.healthLogEntry(res, health).Info("endpoint restored")
	}
}

// endpointOutcome returns what the result tells about the endpoint's health.
func (res result) endpointOutcome() selection.Outcome {
	switch {
	case res.endedByRouter:
		return selection.OutcomeNeutral
	case res.wrongEndpoint:
		return selection.OutcomeNoResponse
	}
	switch res.kind {
	case resultNotSent, resultTimeout:
		return selection.OutcomeNoResponse
	case resultErrorResponse:
		return selection.OutcomeErrorResponse
	case resultIncompleteResponse:
		return selection.OutcomeIncompleteResponse
	case resultRefused:
		return selection.OutcomeRefused
	case resultCallerDisconnected, resultExpired, resultMoved, resultWithdrawn:
		return selection.OutcomeNeutral
	}
	return selection.OutcomeGood
}

func (a *attempt) healthLogEntry(res result, h selection.Health) *logrus.Entry {
	return a.log().WithFields(logrus.Fields{
		"endpoint": a.choice.Endpoint.ID, "address": a.choice.Endpoint.Address, "result": resultNames[res.kind],
		"failure_share": h.FailureRate, "suspensions": h.Suspensions,
	})
}

func (a *attempt) recordOutcome(outcome selection.Outcome, completed bool) (selection.SuspensionChange, selection.Health) {
	r := a.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if completed {
		r.crashReports.RecordCompletion(a.fingerprint)
	}
	change := r.selector.ObserveEnded(r.now(), a.selectionRequest(), a.choice, outcome)
	return change, r.selector.Health(r.now(), a.choice.Endpoint.ID)
}
