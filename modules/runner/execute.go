package runner

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/modules/engine"
)

// startAttempt sends an attempt to the endpoint. The caller holds Runner.mu.
func (r *Runner) startAttempt(id string) {
	attempt := r.attempts[id]
	if attempt == nil {
		// The offer that admits an attempt may also start it.
		return
	}
	r.metrics.started.Inc()
	if attempt.request.Kind == arbutuspb.RunKind_RUN_KIND_SERVICE {
		go r.runServiceCall(attempt)
	} else {
		go r.runCompletion(attempt)
	}
}

// stopAttempt cancels an attempt at the endpoint. The caller holds Runner.mu.
func (r *Runner) stopAttempt(id string) {
	if attempt := r.attempts[id]; attempt != nil {
		attempt.cancel()
	}
	if !r.engine.PlainService {
		go r.engine.Cancel(id)
	}
}

// runCompletion runs a completion at the engine and records its result.
func (r *Runner) runCompletion(attempt *attemptState) {
	req, c := attempt.request, attempt.request.Completion
	defer attempt.cancel()
	startTime := time.Now()
	result, err := r.engine.Complete(attempt.ctx, engine.CompletionRequest{
		RequestID:      req.AttemptId,
		Model:          c.Model,
		Adapter:        c.Adapter,
		Prompt:         c.Prompt,
		MaxTokens:      int(c.MaxTokens),
		Priority:       int(req.Priority),
		ResumeTokens:   int(c.ResumeTokens),
		ResumeText:     c.ResumeText,
		BlockHashes:    attempt.blockHashes,
		WeightsVersion: attempt.weightsVersion,
		Team:           req.Team,
		IdempotencyKey: req.ClaimKey,
	}, func(index int, text string) error { return r.appendToken(attempt, index, text, startTime) })
	if err != nil {
		r.recordFailure(attempt, err)
		return
	}
	r.recordCompletion(attempt, &arbutuspb.Done{
		FinishReason: result.FinishReason,
		Usage: &arbutuspb.Usage{
			PromptTokens:     int32(result.Usage.PromptTokens),
			CachedTokens:     int32(result.Usage.CachedTokens),
			CompletionTokens: int32(result.Usage.CompletionTokens),
		},
	})
}

// appendToken stores one output token. It blocks while the reader is too far behind.
func (r *Runner) appendToken(attempt *attemptState, index int, text string, startTime time.Time) error {
	id := attempt.request.AttemptId
	r.mu.Lock()
	defer r.mu.Unlock()
	paused, err := r.stateMachine.AppendToken(r.now(), id, index, text)
	if err != nil {
		return err
	}
	if index == attempt.resumeOffset() {
		r.stateMachine.RecordFirstToken(r.now(), id)
		r.metrics.firstTokenSeconds.Observe(time.Since(startTime).Seconds())
	}
	r.performActions()
	for paused {
		changed := attempt.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-attempt.ctx.Done():
		}
		r.mu.Lock()
		paused = attempt.ctx.Err() == nil && r.stateMachine.Paused(id)
	}
	return attempt.ctx.Err()
}

// runServiceCall calls a plain service and records its result.
func (r *Runner) runServiceCall(attempt *attemptState) {
	defer attempt.cancel()
	call := attempt.request.ServiceCall
	answer, err := r.engine.CallService(attempt.ctx, engine.ServiceCall{
		Method:  call.Method,
		Path:    call.Path,
		Headers: call.Headers,
		Body:    call.Body,
	})
	if err != nil {
		r.recordFailure(attempt, err)
		return
	}
	r.recordCompletion(attempt, &arbutuspb.Done{
		FinishReason: "stop",
		ServiceAnswer: &arbutuspb.ServiceAnswer{
			Status: int32(answer.Status), Headers: answer.Headers, Body: answer.Body,
		},
	})
}

func (r *Runner) recordCompletion(attempt *attemptState, done *arbutuspb.Done) {
	id := attempt.request.AttemptId
	r.metrics.ended.WithLabelValues("done").Inc()
	r.withStateMachine(func(now time.Duration) {
		result, _ := r.stateMachine.Result(id)
		done.End = int32(result.EndOffset)
		attempt.doneEvent = done
		// The encoded answer counts towards MaxResultBytes.
		answer, err := proto.Marshal(done.GetServiceAnswer())
		if err != nil {
			r.log.WithError(err).Error("failed to encode service answer")
		}
		r.stateMachine.RecordCompletion(now, id, done.FinishReason, answer)
	})
}

func (r *Runner) recordFailure(attempt *attemptState, err error) {
	id := attempt.request.AttemptId
	reason, mayHaveRun, connectionLost := failureOf(err)
	r.metrics.ended.WithLabelValues(reason).Inc()
	r.log.WithError(err).WithField("attempt_id", id).WithField("reason", reason).Info("attempt did not complete")
	r.withStateMachine(func(now time.Duration) {
		attempt.failureMessage = err.Error()
		if connectionLost {
			r.stateMachine.RecordConnectionLoss(now, id, reason)
			return
		}
		r.stateMachine.RecordFailure(now, id, reason, mayHaveRun)
	})
}

// failureOf classifies an error of the engine client. connectionLost is true when
// the engine may have crashed.
func failureOf(err error) (reason string, mayHaveRun, connectionLost bool) {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return "endpoint_unreachable", false, false
	case errors.Is(err, engine.ErrRejected):
		return "endpoint_rejected", false, false
	case errors.Is(err, engine.ErrFailed):
		return "endpoint_failed", true, false
	case errors.Is(err, engine.ErrAnswerTooLarge):
		return "answer_too_large", true, false
	case errors.Is(err, engine.ErrConnectionBroken):
		return "endpoint_broke", true, true
	}
	return "output_refused", true, false
}
