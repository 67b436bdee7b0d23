package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/sse"
)

// streamGap is the longest pause between events of a resumable stream before it
// goes on elsewhere. Callers leave after two seconds.
const maxEventGap = 1200 * time.Millisecond

var (
	errMovedForWeightsChange = errors.New("endpoint changes its weights")
	errResponseTimeout       = errors.New("no answer in time")
	errTruncatedEvent        = errors.New("stream ended inside an event")
)

// try is one job at one endpoint.
type attempt struct {
	*execution
	choice selection.Choice
	// parent is the job's context; the try's own also ends with its timer.
	requestCtx   context.Context
	cancel       context.CancelCauseFunc
	silenceTimer *time.Timer
	// settled means that the selector knows whether the prompt was read.
	prefillEnded bool
}

// cacheNamespace separates the prompt parts of weights versions and of teams
// that share nothing.
func formatCacheNamespace(weightsVersion uint64, teamNamespace string) string {
	return strconv.FormatUint(weightsVersion, 10) + "/" + teamNamespace
}

// splitNamespace is the inverse of cacheNamespace.
func parseCacheNamespace(namespace string) (weightsVersion uint64, teamNamespace string, ok bool) {
	versionText, teamNamespace, ok := strings.Cut(namespace, "/")
	weightsVersion, err := strconv.ParseUint(versionText, 10, 64)
	return weightsVersion, teamNamespace, ok && err == nil
}

func contentLength(b []byte) string { return strconv.Itoa(len(b)) }

func (a *attempt) run(ctx context.Context) result {
	if timeout := a.firstByteTimeout(); timeout > 0 {
		a.silenceTimer = time.AfterFunc(timeout, a.onSilence)
		defer a.silenceTimer.Stop()
	}
	response, err := a.relay.upstream.Do(ctx, a.choice.Endpoint.Address, a.upstreamRequest(a.choice))
	if err != nil {
		return a.resultOfError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }() // Closing gives the connection back or drops it.
	a.observeWeightsVersion(response)
	if response.Status == http.StatusMisdirectedRequest || response.Header.Get(platform.HeaderNotExecuted) != "" {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
		return result{kind: resultRefused, status: response.Status, header: response.Header, err: err, wrongEndpoint: a.fromOtherEndpoint(response)}
	}
	if response.Header.Get(platform.HeaderSignature) == "" || response.Header.Get("Content-Encoding") != "" {
		return result{kind: resultBroken, status: response.Status, err: errors.New("answer is not the endpoint's")}
	}
	if a.req.Route.Kind == fleet.Stream && response.Status < http.StatusMultipleChoices {
		return a.forwardStream(ctx, response)
	}
	return a.forwardWhole(ctx, response)
}

// patience is how long the try may wait for its first byte, 0 for no limit of
// its own.
func (a *attempt) firstByteTimeout() time.Duration {
	if !a.req.Route.Repeatable() || a.mayHaveRunCount+1 >= a.req.Route.MaxAttempts {
		return 0
	}
	return time.Duration(firstByteTimeoutFactor * float64(a.req.Route.LatencyObjective))
}

// silent ends the try after a silence if the job may be tried elsewhere.
func (a *attempt) onSilence() {
	if a.relay.allowRetry(a.req.Service) {
		a.cancel(errResponseTimeout)
	}
}

// fault tells what an exchange that failed means for the job.
func (a *attempt) resultOfError(ctx context.Context, err error) result {
	switch {
	case errors.Is(a.requestCtx.Err(), context.Canceled):
		return result{kind: resultCallerDisconnected, err: err}
	case errors.Is(err, upstream.ErrNotSent):
		return result{kind: resultNotSent, err: err}
	case errors.Is(context.Cause(ctx), errMovedForWeightsChange):
		return result{kind: resultMoved, err: errMovedForWeightsChange, retryReserved: true}
	case errors.Is(context.Cause(ctx), errResponseTimeout):
		return result{kind: resultTimeout, err: errResponseTimeout, retryReserved: true}
	case ctx.Err() != nil:
		return result{kind: resultTimeout, err: err}
	}
	return result{kind: resultBroken, err: err}
}

// learn takes the weights version that an answer shows. An engine that refuses a
// request for its weights is asked for its version.
func (a *attempt) observeWeightsVersion(response *upstream.Response) {
	if a.req.Prompt == nil {
		return
	}
	endpoint, model := a.choice.Endpoint, a.req.Prompt.Model
	if version := platform.ResponseWeightsVersion(response.Header); version > a.choice.WeightsVersion {
		a.relay.directory.LearnWeights(endpoint.ID, model, version)
		return
	}
	if response.Status == http.StatusMisdirectedRequest && !a.fromOtherEndpoint(response) {
		a.relay.refreshWeightsVersion(endpoint, model)
	}
}

// replaced reports whether another endpoint than the chosen one answered.
func (a *attempt) fromOtherEndpoint(response *upstream.Response) bool {
	endpointID := response.Header.Get(platform.HeaderEndpointID)
	return response.Status == http.StatusMisdirectedRequest && endpointID != "" && endpointID != a.choice.Endpoint.ID
}

// whole passes on an answer that is read to its end first, so that a broken one
// can be replaced.
func (a *attempt) forwardWhole(ctx context.Context, response *upstream.Response) result {
	body, err := readResponseBody(response.Body)
	if err != nil {
		return a.resultOfError(ctx, err)
	}
	res := result{status: response.Status, header: response.Header, body: body}
	a.recordPrefillEnded(response.Status < http.StatusBadRequest)
	if response.Status >= http.StatusInternalServerError {
		res.kind = resultErrorResponse
		return res
	}
	a.report.TimeToFirstResponse = time.Since(a.req.ArrivedAt)
	a.relay.metrics.firstResponseSeconds.WithLabelValues(kindName(a.req.Route)).Observe(a.report.TimeToFirstResponse.Seconds())
	a.forwardResponse(res)
	return res
}

// stream passes on events as they arrive.
func (a *attempt) forwardStream(ctx context.Context, response *upstream.Response) result {
	scanner := sse.NewScanner(response.Body)
	for {
		event, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			return a.finishStream(scanner, response)
		}
		if err != nil {
			return a.resultOfError(ctx, err)
		}
		a.onEvent()
		if a.alreadySent(event.ID) {
			continue
		}
		a.sendHeader(response)
		if _, err := a.w.Write(event.Raw); err != nil {
			return result{kind: resultCallerDisconnected, err: err}
		}
		if event.ID != "" {
			a.lastEventID = event.ID
		}
		if !scanner.HasBufferedEvent() {
			a.flush()
		}
	}
}

func (a *attempt) finishStream(scanner *sse.Scanner, response *upstream.Response) result {
	if scanner.IncompleteBytes() > 0 {
		return result{kind: resultBroken, status: response.Status, err: errTruncatedEvent}
	}
	a.sendHeader(response)
	a.flush()
	return result{kind: resultDone, status: response.Status, header: response.Header}
}

// repeated reports whether the caller has an event already.
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

// progress notes that an event arrived and restarts the limit on pauses.
func (a *attempt) onEvent() {
	a.recordPrefillEnded(true)
	if a.silenceTimer != nil {
		a.silenceTimer.Reset(maxEventGap)
	}
}

// prompted notes that the endpoint has read the prompt or, when read is false,
// that it will not.
func (a *attempt) recordPrefillEnded(computed bool) {
	if a.prefillEnded {
		return
	}
	a.prefillEnded = true
	a.relay.mu.Lock()
	defer a.relay.mu.Unlock()
	a.relay.selector.ObservePrefillEnded(a.selectionRequest(), a.choice, computed)
}

// begin sends the head of a stream's answer. A stream that goes on at another
// endpoint keeps the head of the first one.
func (a *attempt) sendHeader(response *upstream.Response) {
	if a.headerSent {
		return
	}
	a.headerSent = true
	a.report.TimeToFirstResponse = time.Since(a.req.ArrivedAt)
	a.relay.metrics.firstResponseSeconds.WithLabelValues(kindName(a.req.Route)).Observe(a.report.TimeToFirstResponse.Seconds())
	a.copyResponseHeader(response.Header)
	a.w.WriteHeader(response.Status)
}

func (a *attempt) flush() {
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		a.log().WithError(err).Debug("caller did not take the events")
	}
}

// ended tells the selector how the try ended.
func (a *attempt) recordEnd(res result) {
	a.recordPrefillEnded(false)
	outcome := selection.OutcomeGood
	switch res.kind {
	case resultNotSent, resultTimeout:
		outcome = selection.OutcomeNoAnswer
	case resultErrorResponse:
		outcome = selection.OutcomeErrorAnswer
	case resultBroken:
		outcome = selection.OutcomeBrokenAnswer
	case resultRefused:
		outcome = selection.OutcomeRefused
		if res.wrongEndpoint {
			outcome = selection.OutcomeNoAnswer
		}
	case resultCallerDisconnected, resultMoved:
		outcome = selection.OutcomeNeutral
	}
	change, health := a.recordOutcome(outcome, res.kind == resultDone)
	switch change {
	case selection.SuspensionStarted:
		a.healthLogEntry(res, health).WithField("for_ms", health.SuspendedFor.Milliseconds()).Warn("endpoint suspended")
	case selection.SuspensionEnded:
		a.healthLogEntry(res, health).Info("endpoint restored")
	}
}

func (a *attempt) healthLogEntry(res result, h selection.Health) *logrus.Entry {
	return a.log().WithFields(logrus.Fields{
		"endpoint": a.choice.Endpoint.ID, "address": a.choice.Endpoint.Address, "result": resultNames[res.kind],
		"failure_share": h.FailureRate, "suspensions": h.Suspensions,
	})
}

func (a *attempt) recordOutcome(o selection.Outcome, completed bool) (selection.SuspensionChange, selection.Health) {
	r := a.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if completed {
		r.strikes.RecordCompletion(a.fingerprint)
	}
	change := r.selector.ObserveEnded(r.now(), a.selectionRequest(), a.choice, o)
	return change, r.selector.Health(r.now(), a.choice.Endpoint.ID)
}
