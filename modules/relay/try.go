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
const streamGap = 1200 * time.Millisecond

var (
	errMoved      = errors.New("endpoint changes its weights")
	errNoAnswer   = errors.New("no answer in time")
	errIncomplete = errors.New("stream ended inside an event")
)

// try is one job at one endpoint.
type try struct {
	*execution
	choice selection.Choice
	// parent is the job's context; the try's own also ends with its timer.
	parent context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// settled means that the selector knows whether the prompt was read.
	settled bool
}

// cacheNamespace separates the prompt parts of weights versions and of teams
// that share nothing.
func cacheNamespace(weights uint64, team string) string {
	return strconv.FormatUint(weights, 10) + "/" + team
}

// splitNamespace is the inverse of cacheNamespace.
func splitNamespace(namespace string) (weights uint64, team string, ok bool) {
	number, team, ok := strings.Cut(namespace, "/")
	weights, err := strconv.ParseUint(number, 10, 64)
	return weights, team, ok && err == nil
}

func lengthOf(b []byte) string { return strconv.Itoa(len(b)) }

func (t *try) run(ctx context.Context) result {
	if p := t.patience(); p > 0 {
		t.timer = time.AfterFunc(p, t.silent)
		defer t.timer.Stop()
	}
	answer, err := t.relay.upstream.Do(ctx, t.choice.Endpoint.Address, t.upstreamRequest(t.choice))
	if err != nil {
		return t.fault(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }() // Closing gives the connection back or drops it.
	t.learn(answer)
	if answer.Status == http.StatusMisdirectedRequest || answer.Header.Get(platform.HeaderNotExecuted) != "" {
		_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerBytes))
		return result{kind: refused, status: answer.Status, header: answer.Header, err: err, gone: t.replaced(answer)}
	}
	if answer.Header.Get(platform.HeaderSignature) == "" || answer.Header.Get("Content-Encoding") != "" {
		return result{kind: broken, status: answer.Status, err: errors.New("answer is not the endpoint's")}
	}
	if t.job.Route.Kind == fleet.Stream && answer.Status < http.StatusMultipleChoices {
		return t.stream(ctx, answer)
	}
	return t.whole(ctx, answer)
}

// patience is how long the try may wait for its first byte, 0 for no limit of
// its own.
func (t *try) patience() time.Duration {
	if !t.job.Route.Repeatable() || t.ran+1 >= t.job.Route.MaxAttempts {
		return 0
	}
	return time.Duration(patienceFactor * float64(t.job.Route.LatencyObjective))
}

// silent ends the try after a silence if the job may be tried elsewhere.
func (t *try) silent() {
	if t.relay.allowRetry(t.job.Service) {
		t.cancel(errNoAnswer)
	}
}

// fault tells what an exchange that failed means for the job.
func (t *try) fault(ctx context.Context, err error) result {
	switch {
	case errors.Is(t.parent.Err(), context.Canceled):
		return result{kind: callerLeft, err: err}
	case errors.Is(err, upstream.ErrNotSent):
		return result{kind: unsent, err: err}
	case errors.Is(context.Cause(ctx), errMoved):
		return result{kind: moved, err: errMoved, reserved: true}
	case errors.Is(context.Cause(ctx), errNoAnswer):
		return result{kind: hung, err: errNoAnswer, reserved: true}
	case ctx.Err() != nil:
		return result{kind: hung, err: err}
	}
	return result{kind: broken, err: err}
}

// learn takes the weights version that an answer shows. An engine that refuses a
// request for its weights is asked for its version.
func (t *try) learn(answer *upstream.Answer) {
	if t.job.Prompt == nil {
		return
	}
	endpoint, model := t.choice.Endpoint, t.job.Prompt.Model
	if version := platform.ResponseWeightsVersion(answer.Header); version > t.choice.WeightsVersion {
		t.relay.directory.ObserveWeightsVersion(endpoint.ID, model, version)
		return
	}
	if answer.Status == http.StatusMisdirectedRequest && !t.replaced(answer) {
		t.relay.askWeights(endpoint, model)
	}
}

// replaced reports whether another endpoint than the chosen one answered.
func (t *try) replaced(answer *upstream.Answer) bool {
	id := answer.Header.Get(platform.HeaderEndpointID)
	return answer.Status == http.StatusMisdirectedRequest && id != "" && id != t.choice.Endpoint.ID
}

// whole passes on an answer that is read to its end first, so that a broken one
// can be replaced.
func (t *try) whole(ctx context.Context, answer *upstream.Answer) result {
	body, err := readWhole(answer.Body)
	if err != nil {
		return t.fault(ctx, err)
	}
	res := result{status: answer.Status, header: answer.Header, body: body}
	t.prompted(answer.Status < http.StatusBadRequest)
	if answer.Status >= http.StatusInternalServerError {
		res.kind = failed
		return res
	}
	t.report.First = time.Since(t.job.Arrived)
	t.relay.metrics.latency.WithLabelValues(kindName(t.job.Route)).Observe(t.report.First.Seconds())
	t.passOn(res)
	return res
}

// stream passes on events as they arrive.
func (t *try) stream(ctx context.Context, answer *upstream.Answer) result {
	scanner := sse.NewScanner(answer.Body)
	for {
		event, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			return t.streamEnd(scanner, answer)
		}
		if err != nil {
			return t.fault(ctx, err)
		}
		t.progress()
		if t.repeated(event.ID) {
			continue
		}
		t.begin(answer)
		if _, err := t.w.Write(event.Raw); err != nil {
			return result{kind: callerLeft, err: err}
		}
		if event.ID != "" {
			t.lastID = event.ID
		}
		if !scanner.HasBufferedEvent() {
			t.flush()
		}
	}
}

func (t *try) streamEnd(scanner *sse.Scanner, answer *upstream.Answer) result {
	if scanner.IncompleteBytes() > 0 {
		return result{kind: broken, status: answer.Status, err: errIncomplete}
	}
	t.begin(answer)
	t.flush()
	return result{kind: done, status: answer.Status, header: answer.Header}
}

// repeated reports whether the caller has an event already.
func (t *try) repeated(id string) bool {
	if id == "" || t.lastID == "" {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(t.lastID, 10, 64)
	return err == nil && n <= last
}

// progress notes that an event arrived and restarts the limit on pauses.
func (t *try) progress() {
	t.prompted(true)
	if t.timer != nil {
		t.timer.Reset(streamGap)
	}
}

// prompted notes that the endpoint has read the prompt or, when read is false,
// that it will not.
func (t *try) prompted(read bool) {
	if t.settled {
		return
	}
	t.settled = true
	t.relay.mu.Lock()
	defer t.relay.mu.Unlock()
	t.relay.selector.ObservePrefillEnded(t.request(), t.choice, read)
}

// begin sends the head of a stream's answer. A stream that goes on at another
// endpoint keeps the head of the first one.
func (t *try) begin(answer *upstream.Answer) {
	if t.started {
		return
	}
	t.started = true
	t.report.First = time.Since(t.job.Arrived)
	t.relay.metrics.latency.WithLabelValues(kindName(t.job.Route)).Observe(t.report.First.Seconds())
	t.copyHeader(answer.Header)
	t.w.WriteHeader(answer.Status)
}

func (t *try) flush() {
	if err := http.NewResponseController(t.w).Flush(); err != nil {
		t.log().WithError(err).Debug("caller did not take the events")
	}
}

// ended tells the selector how the try ended.
func (t *try) ended(res result) {
	t.prompted(false)
	outcome := selection.OutcomeGood
	switch res.kind {
	case unsent, hung:
		outcome = selection.OutcomeNoAnswer
	case failed:
		outcome = selection.OutcomeErrorAnswer
	case broken:
		outcome = selection.OutcomeBrokenAnswer
	case refused:
		outcome = selection.OutcomeRefused
		if res.gone {
			outcome = selection.OutcomeNoAnswer
		}
	case callerLeft, moved:
		outcome = selection.OutcomeNeutral
	}
	change, health := t.settle(outcome, res.kind == done)
	switch change {
	case selection.SuspensionStarted:
		t.healthLog(res, health).WithField("for_ms", health.SuspendedFor.Milliseconds()).Warn("endpoint suspended")
	case selection.SuspensionEnded:
		t.healthLog(res, health).Info("endpoint restored")
	}
}

func (t *try) healthLog(res result, h selection.Health) *logrus.Entry {
	return t.log().WithFields(logrus.Fields{
		"endpoint": t.choice.Endpoint.ID, "address": t.choice.Endpoint.Address, "result": resultNames[res.kind],
		"failure_share": h.FailureRate, "suspensions": h.Suspensions,
	})
}

func (t *try) settle(o selection.Outcome, completed bool) (selection.SuspensionChange, selection.Health) {
	r := t.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if completed {
		r.strikes.RecordCompletion(t.fingerprint)
	}
	change := r.selector.ObserveEnded(r.now(), t.request(), t.choice, o)
	return change, r.selector.Health(r.now(), t.choice.Endpoint.ID)
}
