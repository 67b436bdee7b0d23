package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/agent"
	"github.com/arbutusline/arbutusline/decision/attempts"
	"github.com/arbutusline/arbutusline/decision/prefix"
)

// maxChunkTokens bounds the tokens of one event, and thus the size of a message.
const maxChunkTokens = 256

// Run admits or refuses an attempt, and relays the output of an admitted one.
func (r *Runner) Run(req *arbutuspb.RunRequest, out grpc.ServerStreamingServer[arbutuspb.RunEvent]) error {
	r.rules.ObserveVersion(req.RulesVersion, req.Router)
	readerID, firstEvent := r.offer(req)
	if readerID == 0 {
		return out.Send(firstEvent)
	}
	defer r.detach(req.AttemptId, req.Router, readerID)
	if err := out.Send(firstEvent); err != nil {
		return err
	}
	return r.relayOutput(req.AttemptId, readerID, out)
}

// offer offers an attempt to the state machine and returns the first event of the
// stream. readerID is 0 unless the attempt was admitted.
func (r *Runner) offer(req *arbutuspb.RunRequest) (readerID int, firstEvent *arbutuspb.RunEvent) {
	attempt, offered := r.prepareAttempt(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.offerLocked(req, attempt, offered)
	event := &arbutuspb.RunEvent{AttemptId: req.AttemptId, Load: r.loadReportLocked()}
	switch reply.Kind {
	case agent.ReplyAdmitted:
		r.metrics.admitted.Inc()
		event.Event = &arbutuspb.RunEvent_Admitted{Admitted: &arbutuspb.Admitted{
			CachedTokens:   int32(reply.CachedTokens),
			ExpectedWaitMs: float64(reply.ExpectedWait) / float64(time.Millisecond),
		}}
	case agent.ReplyOutcomeUnknown, agent.ReplyDuplicate:
		// The agent received this attempt before, and the earlier copy may have run.
		event.Event = &arbutuspb.RunEvent_Failed{Failed: &arbutuspb.Failed{
			Reason: "duplicate_attempt", Outcome: arbutuspb.Outcome_OUTCOME_UNKNOWN,
		}}
	default:
		r.metrics.countRefusal(reply.Reason)
		event.Event = &arbutuspb.RunEvent_Refused{Refused: &arbutuspb.Refused{
			Reason:       string(reply.Reason),
			CachedTokens: int32(reply.CachedTokens),
			RetryAfterMs: reply.RetryAfter.Milliseconds(),

			ExpectedWaitMs: float64(reply.ExpectedWait) / float64(time.Millisecond),
		}}
	}
	return reply.ReaderID, event
}

// offerLocked offers the attempt to the state machine. It adds an admitted attempt
// to the table before it performs the actions, one of which may start the attempt.
// The caller holds Runner.mu.
func (r *Runner) offerLocked(req *arbutuspb.RunRequest, attempt *attemptState, offered admission.Attempt) agent.Reply {
	if req.Endpoint != r.node.Endpoint {
		return agent.Reply{Kind: agent.ReplyRefused, Reason: admission.ReasonWrongIncarnation}
	}
	reply := r.stateMachine.Offer(r.now(), agent.Offer{Attempt: offered, AtMostOnce: attempt.atMostOnce(), ResumeOffset: attempt.resumeOffset(), Router: req.Router})
	if reply.Kind == agent.ReplyAdmitted {
		attempt.readerCount = 1
		r.attempts[req.AttemptId] = attempt
	}
	r.performActions()
	return reply
}

// prepareAttempt returns the state of a new attempt and its description for
// admission.
func (r *Runner) prepareAttempt(req *arbutuspb.RunRequest) (*attemptState, admission.Attempt) {
	offered := admission.Attempt{
		ID:                req.AttemptId,
		Team:              req.Team,
		Priority:          int(req.Priority),
		AgentIncarnation:  req.AgentIncarnation,
		FirstTokenBudget:  time.Duration(req.FirstTokenBudgetMs) * time.Millisecond,
		Fingerprint:       req.Fingerprint,
		SuspicionLevel:    int(req.Suspicion),
		PlainService:      req.Kind == arbutuspb.RunKind_RUN_KIND_SERVICE,
		MustQueue:         req.LastCandidate,
		AlternativeCostMS: req.AlternativeMs,
		PrefillWeight:     req.PrefillWeight,
	}
	if info := r.engine.Info(); info != nil {
		offered.WeightsVersion = info.WeightsVersion
	}
	if c := req.Completion; c != nil {
		ns := prefix.Namespace{Team: req.Team, Model: c.Model, Adapter: c.Adapter, WeightsVersion: offered.WeightsVersion}
		offered.BlockHashes = prefix.AppendBlockHashes(nil, ns.Hash(), c.Prompt)
		offered.PromptTokens = prefix.EstimateTokens(c.Prompt)
		offered.MaxTokens = int(c.MaxTokens)
	}
	return newAttemptState(req, offered.BlockHashes, offered.WeightsVersion), offered
}

// relayOutput sends the output of an attempt to a reader until the attempt ends, the
// reader disconnects or another reader attaches.
func (r *Runner) relayOutput(id string, readerID int, out grpc.ServerStreamingServer[arbutuspb.RunEvent]) error {
	for {
		event, changed, err := r.nextEvent(id, readerID)
		if err != nil {
			return err
		}
		if event == nil {
			select {
			case <-changed:
				continue
			case <-out.Context().Done():
				return status.FromContextError(out.Context().Err()).Err()
			}
		}
		if err := out.Send(event); err != nil {
			return err
		}
		if event.GetChunk() == nil {
			return nil
		}
	}
}

// nextEvent returns the next event for a reader. If there is none yet, it returns a
// channel that is closed when there may be one.
func (r *Runner) nextEvent(id string, readerID int) (*arbutuspb.RunEvent, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.performActions()
	attempt := r.attempts[id]
	if attempt == nil {
		return nil, nil, status.Error(codes.NotFound, "the result is not kept any more")
	}
	offset, tokens, ended, err := r.stateMachine.Read(id, readerID, maxChunkTokens)
	if err != nil {
		return nil, nil, status.Error(codes.Aborted, err.Error())
	}
	if len(tokens) > 0 {
		return &arbutuspb.RunEvent{AttemptId: id, Event: &arbutuspb.RunEvent_Chunk{
			Chunk: &arbutuspb.Chunk{Offset: int32(offset), Tokens: append([]string(nil), tokens...)},
		}}, nil, nil
	}
	if !ended {
		return nil, attempt.changed, nil
	}
	event := r.finalEvent(id, attempt)
	event.Load = r.loadReportLocked()
	return event, nil, nil
}

// finalEvent returns the last event of an attempt that has ended.
func (r *Runner) finalEvent(id string, attempt *attemptState) *arbutuspb.RunEvent {
	result, _ := r.stateMachine.Result(id)
	if result.Outcome == attempts.OutcomeDone {
		return &arbutuspb.RunEvent{AttemptId: id, Event: &arbutuspb.RunEvent_Done{Done: attempt.doneEvent}}
	}
	return &arbutuspb.RunEvent{AttemptId: id, Event: &arbutuspb.RunEvent_Failed{Failed: &arbutuspb.Failed{
		Reason: result.Reason, Message: attempt.failureMessage, Outcome: outcomeOf(result.Outcome),
		Suspicion: uint32(r.stateMachine.SuspicionLevel(id)),
	}}}
}

func outcomeOf(o attempts.Outcome) arbutuspb.Outcome {
	switch o {
	case attempts.OutcomeNotRun:
		return arbutuspb.Outcome_OUTCOME_NOT_RUN
	case attempts.OutcomeRunning:
		return arbutuspb.Outcome_OUTCOME_RUNNING
	case attempts.OutcomeDone:
		return arbutuspb.Outcome_OUTCOME_DONE
	case attempts.OutcomePartial:
		return arbutuspb.Outcome_OUTCOME_PARTIAL
	}
	return arbutuspb.Outcome_OUTCOME_UNKNOWN
}

func (r *Runner) detach(id, router string, readerID int) {
	r.withStateMachine(func(now time.Duration) {
		r.stateMachine.Detach(now, id, router, readerID)
		if attempt := r.attempts[id]; attempt != nil {
			attempt.readerCount--
		}
	})
}

// Attach continues the output stream of a request at an offset.
func (r *Runner) Attach(req *arbutuspb.AttachRequest, out grpc.ServerStreamingServer[arbutuspb.RunEvent]) error {
	id, readerID, original, err := r.attach(req)
	if err != nil {
		return err
	}
	defer r.detach(id, req.Router, readerID)
	event := &arbutuspb.RunEvent{
		AttemptId: id,
		Load:      r.LoadReport(),
		Event:     &arbutuspb.RunEvent_Admitted{Admitted: &arbutuspb.Admitted{Request: original}},
	}
	if err := out.Send(event); err != nil {
		return err
	}
	return r.relayOutput(id, readerID, out)
}

// attach makes the caller the reader of an attempt that the state machine keeps, and
// returns the original request.
func (r *Runner) attach(req *arbutuspb.AttachRequest) (id string, readerID int, original *arbutuspb.RunRequest, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.performActions()
	if req.AgentIncarnation != 0 && req.AgentIncarnation != r.node.Incarnation() {
		return "", 0, nil, status.Error(codes.FailedPrecondition, "the agent has restarted")
	}
	id, readerID, err = r.stateMachine.Attach(r.now(), req.RequestId, req.Team, req.Router, int(req.Offset))
	switch {
	case errors.Is(err, attempts.ErrNotFound), errors.Is(err, attempts.ErrOtherTeam):
		return "", 0, nil, status.Error(codes.NotFound, "the agent keeps no such request of this team")
	case err != nil:
		return "", 0, nil, status.Error(codes.OutOfRange, err.Error())
	}
	attempt := r.attempts[id]
	attempt.readerCount++
	return id, readerID, attempt.request, nil
}

// Cancel ends an attempt whose caller disconnected.
func (r *Runner) Cancel(_ context.Context, req *arbutuspb.CancelRequest) (*arbutuspb.CancelResponse, error) {
	var found bool
	r.withStateMachine(func(now time.Duration) { found = r.stateMachine.Cancel(now, req.AttemptId, req.Router) })
	return &arbutuspb.CancelResponse{Found: found}, nil
}

// Resolve returns the outcome of an attempt. An attempt that has not arrived is
// fenced, so that it is refused if it arrives later.
func (r *Runner) Resolve(_ context.Context, req *arbutuspb.ResolveRequest) (*arbutuspb.ResolveResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.stateMachine.Resolve(r.now(), req.AttemptId, req.AgentIncarnation)
	resp := &arbutuspb.ResolveResponse{
		AgentIncarnation: r.node.Incarnation(),
		Outcome:          outcomeOf(result.Outcome),
		Tokens:           result.Tokens,
		First:            int32(result.FirstOffset),
	}
	if attempt := r.attempts[req.AttemptId]; attempt != nil && result.Outcome == attempts.OutcomeDone {
		resp.Done = attempt.doneEvent
	}
	return resp, nil
}
