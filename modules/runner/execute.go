package runner

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/modules/engine"
)

// start sends an attempt to the endpoint. The caller holds the lock.
func (r *Runner) start(id string) {
	active := r.runs[id]
	if active == nil {
		// The offer that admits an attempt may also start it.
		return
	}
	r.metrics.started.Inc()
	if active.request.Kind == arbutuspb.RunKind_RUN_KIND_SERVICE {
		go r.callService(active)
	} else {
		go r.complete(active)
	}
}

// halt ends an attempt at the endpoint. The caller holds the lock.
func (r *Runner) halt(id string) {
	if active := r.runs[id]; active != nil {
		active.cancel()
	}
	if !r.engine.PlainService {
		go r.engine.Cancel(id)
	}
}

func (r *Runner) complete(active *run) {
	req, c := active.request, active.request.Completion
	defer active.cancel()
	began := time.Now()
	result, err := r.engine.Complete(active.ctx, engine.CompletionRequest{
		RequestID:      req.AttemptId,
		Model:          c.Model,
		Adapter:        c.Adapter,
		Prompt:         c.Prompt,
		MaxTokens:      int(c.MaxTokens),
		Priority:       int(req.Priority),
		ResumeTokens:   int(c.ResumeTokens),
		ResumeText:     c.ResumeText,
		BlockHashes:    active.hashes,
		WeightsVersion: active.weights,
		Team:           req.Team,
		IdempotencyKey: req.ClaimKey,
	}, func(index int, text string) error { return r.token(active, index, text, began) })
	if err != nil {
		r.failed(active, err)
		return
	}
	r.done(active, &arbutuspb.Done{
		FinishReason: result.FinishReason,
		Usage: &arbutuspb.Usage{
			PromptTokens:     int32(result.Usage.PromptTokens),
			CachedTokens:     int32(result.Usage.CachedTokens),
			CompletionTokens: int32(result.Usage.CompletionTokens),
		},
	})
}

// token stores one token and waits while the reader is too far behind.
func (r *Runner) token(active *run, index int, text string, began time.Time) error {
	id := active.request.AttemptId
	r.mu.Lock()
	defer r.mu.Unlock()
	paused, err := r.core.AppendToken(r.now(), id, index, text)
	if err != nil {
		return err
	}
	if index == active.resume() {
		r.core.RecordFirstToken(r.now(), id)
		r.metrics.firstToken.Observe(time.Since(began).Seconds())
	}
	r.carryOut()
	for paused {
		changed := active.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-active.ctx.Done():
		}
		r.mu.Lock()
		paused = active.ctx.Err() == nil && r.core.Paused(id)
	}
	return active.ctx.Err()
}

func (r *Runner) callService(active *run) {
	defer active.cancel()
	call := active.request.ServiceCall
	answer, err := r.engine.CallService(active.ctx, engine.ServiceCall{
		Method:     call.Method,
		Path:       call.Path,
		Headers:    call.Headers,
		Body:       call.Body,
		AtMostOnce: active.once(),
	})
	if err != nil {
		r.failed(active, err)
		return
	}
	r.done(active, &arbutuspb.Done{
		FinishReason: "stop",
		ServiceAnswer: &arbutuspb.ServiceAnswer{
			Status: int32(answer.Status), Headers: answer.Headers, Body: answer.Body,
		},
	})
}

func (r *Runner) done(active *run, done *arbutuspb.Done) {
	id := active.request.AttemptId
	r.metrics.ended.WithLabelValues("done").Inc()
	r.with(func(now time.Duration) {
		result, _ := r.core.Result(id)
		done.End = int32(result.EndOffset)
		active.done = done
		// The answer is counted against the memory bound of kept results.
		answer, err := proto.Marshal(done.GetServiceAnswer())
		if err != nil {
			r.log.WithError(err).Error("encode answer")
		}
		r.core.RecordCompletion(now, id, done.FinishReason, answer)
	})
}

func (r *Runner) failed(active *run, err error) {
	id := active.request.AttemptId
	reason, ran, broke := failureOf(err)
	r.metrics.ended.WithLabelValues(reason).Inc()
	r.log.WithError(err).WithField("attempt_id", id).WithField("reason", reason).Info("attempt did not complete")
	r.with(func(now time.Duration) {
		active.message = err.Error()
		if broke {
			r.core.RecordBrokenConnection(now, id, reason)
			return
		}
		r.core.RecordFailure(now, id, reason, ran)
	})
}

// failureOf classifies an error of the engine client. Broke is true when the
// engine may have died.
func failureOf(err error) (reason string, ran, broke bool) {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return "endpoint_unreachable", false, false
	case errors.Is(err, engine.ErrRejected):
		return "endpoint_rejected", false, false
	case errors.Is(err, engine.ErrAnswerTooLarge):
		return "answer_too_large", true, false
	case errors.Is(err, engine.ErrConnectionBroken):
		return "endpoint_broke", true, true
	}
	return "output_refused", true, false
}
