package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/rules"
)

// inputFromEvent converts an event of an agent to an input of the state machine.
// The attempt ID of the event takes precedence, so that an event of another
// attempt is recognised.
func inputFromEvent(attemptID string, event *arbutuspb.RunEvent) attempt.Input {
	if event.AttemptId != "" {
		attemptID = event.AttemptId
	}
	switch e := event.Event.(type) {
	case *arbutuspb.RunEvent_Admitted:
		return attempt.Admitted{AttemptID: attemptID, CachedTokens: int(e.Admitted.CachedTokens)}
	case *arbutuspb.RunEvent_Refused:
		return attempt.Refused{
			AttemptID:  attemptID,
			Reason:     e.Refused.Reason,
			RetryAfter: time.Duration(e.Refused.RetryAfterMs) * time.Millisecond,
		}
	case *arbutuspb.RunEvent_Chunk:
		return attempt.Chunk{AttemptID: attemptID, Offset: int(e.Chunk.Offset), Tokens: e.Chunk.Tokens}
	case *arbutuspb.RunEvent_Done:
		return completedInput{attempt.Completed{AttemptID: attemptID, Reason: e.Done.FinishReason, EndOffset: int(e.Done.End)}, e.Done}
	case *arbutuspb.RunEvent_Failed:
		return attempt.Failed{
			AttemptID:      attemptID,
			Reason:         e.Failed.Reason,
			MayHaveRun:     e.Failed.Outcome != arbutuspb.Outcome_OUTCOME_NOT_RUN,
			SuspicionLevel: int(e.Failed.Suspicion),
		}
	}
	return attempt.Tick{}
}

// retryBudgetInput makes a waiting request ask the retry budget again.
type retryBudgetInput struct {
	attempt.Tick
	askRetry     attempt.AskRetry
	waitingSince time.Time
}

// completedInput is a Completed input with the agent's Done event.
type completedInput struct {
	attempt.Completed
	doneEvent *arbutuspb.Done
}

// recordInput records an input in the trace of the request, the metrics, placement
// and the table of suspects.
func (x *execution) recordInput(in attempt.Input) {
	switch in := in.(type) {
	case attempt.Admitted:
		x.recordAdmitted(in)
	case attempt.Refused:
		x.recordRefused(in)
		x.untrackCopy()
		x.trace.AddStep(&arbutuspb.ExplainStep{What: "refused", Endpoint: x.currentAttempt.Endpoint, Reason: in.Reason})
	case attempt.Failed:
		x.mergeAttemptSuspicion(in)
		x.untrackCopy()
		x.trace.AddStep(&arbutuspb.ExplainStep{What: "failed", Endpoint: x.currentAttempt.Endpoint, Reason: in.Reason})
		x.observeAttemptFailure()
	case attempt.ConnectionLost:
		x.untrackCopy()
		x.trace.AddStep(&arbutuspb.ExplainStep{What: "connection lost", Endpoint: x.currentAttempt.Endpoint})
		x.observeAttemptFailure()
	case attempt.Chunk:
		x.untrackCopy()
		x.restoreResumedText(in)
	case attempt.CallerDisconnected:
		x.trace.AddStep(&arbutuspb.ExplainStep{What: "caller went away"})
	}
}

// restoreResumedText adds the tokens before the offset of a resumed stream to the
// output text, because a continuation at another endpoint needs the whole text.
func (x *execution) restoreResumedText(in attempt.Chunk) {
	for i, token := range in.Tokens {
		if in.Offset+i < x.resumeOffset {
			x.outputText.WriteString(token)
		}
	}
}

// recordAdmitted records an admission in the trace and tells placement that the
// endpoint now caches the prompt.
func (x *execution) recordAdmitted(in attempt.Admitted) {
	x.trace.AddStep(&arbutuspb.ExplainStep{
		What: "admitted", Endpoint: x.currentAttempt.Endpoint, CachedTokens: int32(in.CachedTokens),
	})
	if x.req.Kind != rules.KindModel || in.AttemptID != x.currentAttempt.AttemptID {
		return
	}
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.placer.ObserveAdmitted(x.d.now(), x.currentAttempt.Endpoint, x.placementRequest, in.CachedTokens)
}

// recordRefused counts a refusal and remembers the endpoint if it refused because
// another endpoint looked cheaper.
func (x *execution) recordRefused(in attempt.Refused) {
	x.d.metrics.agentRefusals.WithLabelValues(in.Reason).Inc()
	x.refusalCount++
	if in.Reason == string(admission.ReasonCheaperElsewhere) {
		x.refusedForCost = append(x.refusedForCost, x.currentAttempt.Endpoint)
	}
}

// observeAttemptFailure reports a failure of the current endpoint to placement.
func (x *execution) observeAttemptFailure() {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.placer.ObserveFailure(x.d.now(), x.currentAttempt.Endpoint)
}

// recordOutcome records the result in the trace, the metrics and the log.
func (x *execution) recordOutcome() {
	r := x.result
	x.trace.SetOutcome(string(r.Outcome))
	x.d.metrics.requests.WithLabelValues(x.req.Kind.String(), string(r.Outcome)).Inc()
	if u := r.Done.GetUsage(); u != nil {
		x.d.metrics.promptTokens.Add(float64(u.PromptTokens))
		x.d.metrics.cachedTokens.Add(float64(u.CachedTokens))
	}
	x.d.log.WithField("request_id", x.req.ID).WithField("team", x.req.Team.Name).
		WithField("outcome", r.Outcome).WithField("code", r.Code).WithField("endpoint", r.Endpoint).
		WithField("reason", r.Reason).WithField("ms", time.Since(x.startTime).Milliseconds()).Info("request ended")
}

type metrics struct {
	requests          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	retriesDenied     prometheus.Counter
	agentRefusals     *prometheus.CounterVec
	claimFinishesLost prometheus.Counter
	firstTokenSeconds prometheus.Histogram
	promptTokens      prometheus.Counter
	cachedTokens      prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_router_requests_total", Help: "Requests that ended, by kind and outcome."}, []string{"kind", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_router_retries_total", Help: "Retries that were asked for, by reason."}, []string{"reason"}),
		retriesDenied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutus_router_retries_denied_total", Help: "Retries that the retry budget did not allow in time."}),
		agentRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_router_agent_refusals_total", Help: "Attempts that agents refused, by reason."}, []string{"reason"}),
		claimFinishesLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutus_router_records_lost_total", Help: "Ends of claimed attempts that could not be recorded."}),
		firstTokenSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "arbutus_router_first_token_seconds", Help: "Time from the request to the first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.5, 18)}),
		promptTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutus_router_prompt_tokens_total", Help: "Prompt tokens of requests that ended with an answer."}),
		cachedTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutus_router_cached_tokens_total", Help: "Prompt tokens that were served from a cache."}),
	}
	registry.MustRegister(m.requests, m.retries, m.retriesDenied, m.agentRefusals, m.claimFinishesLost, m.firstTokenSeconds, m.promptTokens, m.cachedTokens)
	return m
}
