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

// chunkTokens bounds the tokens of one event, and with it the memory of a
// message.
const chunkTokens = 256

// Run admits or refuses an attempt and relays its output.
func (r *Runner) Run(req *arbutuspb.RunRequest, out grpc.ServerStreamingServer[arbutuspb.RunEvent]) error {
	r.rules.ObserveVersion(req.RulesVersion, req.Router)
	reader, first := r.offer(req)
	if reader == 0 {
		return out.Send(first)
	}
	defer r.detach(req.AttemptId, req.Router, reader)
	if err := out.Send(first); err != nil {
		return err
	}
	return r.relay(req.AttemptId, reader, out)
}

// offer decides on an attempt. The reader is 0 unless it was admitted.
func (r *Runner) offer(req *arbutuspb.RunRequest) (reader int, first *arbutuspb.RunEvent) {
	active, a := r.newRun(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.decide(req, active, a)
	event := &arbutuspb.RunEvent{AttemptId: req.AttemptId, Load: r.loadLocked()}
	switch reply.Kind {
	case agent.ReplyAdmitted:
		r.metrics.admitted.Inc()
		event.Event = &arbutuspb.RunEvent_Admitted{Admitted: &arbutuspb.Admitted{
			CachedTokens:   int32(reply.CachedTokens),
			ExpectedWaitMs: float64(reply.ExpectedWait) / float64(time.Millisecond),
		}}
	case agent.ReplyOutcomeUnknown, agent.ReplyDuplicate:
		// The attempt came a second time. The first copy answers for it.
		event.Event = &arbutuspb.RunEvent_Failed{Failed: &arbutuspb.Failed{
			Reason: "duplicate_attempt", Outcome: arbutuspb.Outcome_OUTCOME_UNKNOWN,
		}}
	default:
		r.metrics.refused(reply.Reason)
		event.Event = &arbutuspb.RunEvent_Refused{Refused: &arbutuspb.Refused{
			Reason:       string(reply.Reason),
			CachedTokens: int32(reply.CachedTokens),
			RetryAfterMs: reply.RetryAfter.Milliseconds(),

			ExpectedWaitMs: float64(reply.ExpectedWait) / float64(time.Millisecond),
		}}
	}
	return reply.ReaderID, event
}

// decide offers the attempt to the core. The run must be known before the core
// starts it.
func (r *Runner) decide(req *arbutuspb.RunRequest, active *run, a admission.Attempt) agent.Reply {
	if req.Endpoint != r.node.Endpoint {
		return agent.Reply{Kind: agent.ReplyRefused, Reason: admission.ReasonWrongIncarnation}
	}
	reply := r.core.Offer(r.now(), agent.Offer{Attempt: a, AtMostOnce: active.once(), ResumeOffset: active.resume(), Router: req.Router})
	if reply.Kind == agent.ReplyAdmitted {
		active.readers = 1
		r.runs[req.AttemptId] = active
	}
	r.carryOut()
	return reply
}

func (r *Runner) newRun(req *arbutuspb.RunRequest) (*run, admission.Attempt) {
	a := admission.Attempt{
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
		a.WeightsVersion = info.WeightsVersion
	}
	if c := req.Completion; c != nil {
		ns := prefix.Namespace{Team: req.Team, Model: c.Model, Adapter: c.Adapter, WeightsVersion: a.WeightsVersion}
		a.BlockHashes = prefix.AppendBlockHashes(nil, ns.Hash(), c.Prompt)
		a.PromptTokens = prefix.EstimateTokens(c.Prompt)
		a.MaxTokens = int(c.MaxTokens)
	}
	return newRun(req, a.BlockHashes, a.WeightsVersion), a
}

// relay passes the output of a run to a reader until the run ends, the reader
// goes away, or another one takes over.
func (r *Runner) relay(id string, reader int, out grpc.ServerStreamingServer[arbutuspb.RunEvent]) error {
	for {
		event, changed, err := r.read(id, reader)
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

// read returns the next event for a reader, or a channel that is closed when
// there may be one.
func (r *Runner) read(id string, reader int) (*arbutuspb.RunEvent, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.carryOut()
	active := r.runs[id]
	if active == nil {
		return nil, nil, status.Error(codes.NotFound, "the result is not kept any more")
	}
	offset, tokens, ended, err := r.core.Read(id, reader, chunkTokens)
	if err != nil {
		return nil, nil, status.Error(codes.Aborted, err.Error())
	}
	if len(tokens) > 0 {
		return &arbutuspb.RunEvent{AttemptId: id, Event: &arbutuspb.RunEvent_Chunk{
			Chunk: &arbutuspb.Chunk{Offset: int32(offset), Tokens: append([]string(nil), tokens...)},
		}}, nil, nil
	}
	if !ended {
		return nil, active.changed, nil
	}
	event := r.endOf(id, active)
	event.Load = r.loadLocked()
	return event, nil, nil
}

func (r *Runner) endOf(id string, active *run) *arbutuspb.RunEvent {
	result, _ := r.core.Result(id)
	if result.Outcome == attempts.OutcomeDone {
		return &arbutuspb.RunEvent{AttemptId: id, Event: &arbutuspb.RunEvent_Done{Done: active.done}}
	}
	return &arbutuspb.RunEvent{AttemptId: id, Event: &arbutuspb.RunEvent_Failed{Failed: &arbutuspb.Failed{
		Reason: result.Reason, Message: active.message, Outcome: outcomeOf(result.Outcome),
		Suspicion: uint32(r.core.SuspicionLevel(id)),
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

func (r *Runner) detach(id, router string, reader int) {
	r.with(func(now time.Duration) {
		r.core.Detach(now, id, router, reader)
		if active := r.runs[id]; active != nil {
			active.readers--
		}
	})
}

// Attach continues the stream of a request at an offset.
func (r *Runner) Attach(req *arbutuspb.AttachRequest, out grpc.ServerStreamingServer[arbutuspb.RunEvent]) error {
	id, reader, original, err := r.attach(req)
	if err != nil {
		return err
	}
	defer r.detach(id, req.Router, reader)
	event := &arbutuspb.RunEvent{
		AttemptId: id,
		Load:      r.LoadReport(),
		Event:     &arbutuspb.RunEvent_Admitted{Admitted: &arbutuspb.Admitted{Request: original}},
	}
	if err := out.Send(event); err != nil {
		return err
	}
	return r.relay(id, reader, out)
}

func (r *Runner) attach(req *arbutuspb.AttachRequest) (id string, reader int, original *arbutuspb.RunRequest, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.carryOut()
	if req.AgentIncarnation != 0 && req.AgentIncarnation != r.node.Incarnation() {
		return "", 0, nil, status.Error(codes.FailedPrecondition, "the agent has restarted")
	}
	id, reader, err = r.core.Attach(r.now(), req.RequestId, req.Team, req.Router, int(req.Offset))
	switch {
	case errors.Is(err, attempts.ErrNotFound), errors.Is(err, attempts.ErrOtherTeam):
		return "", 0, nil, status.Error(codes.NotFound, "the agent keeps no such request of this team")
	case err != nil:
		return "", 0, nil, status.Error(codes.OutOfRange, err.Error())
	}
	active := r.runs[id]
	active.readers++
	return id, reader, active.request, nil
}

// Cancel ends a run whose caller went away.
func (r *Runner) Cancel(_ context.Context, req *arbutuspb.CancelRequest) (*arbutuspb.CancelResponse, error) {
	var found bool
	r.with(func(now time.Duration) { found = r.core.Cancel(now, req.AttemptId, req.Router) })
	return &arbutuspb.CancelResponse{Found: found}, nil
}

// Resolve reports what became of an attempt and fences it if it is unseen.
func (r *Runner) Resolve(_ context.Context, req *arbutuspb.ResolveRequest) (*arbutuspb.ResolveResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.core.Resolve(r.now(), req.AttemptId, req.AgentIncarnation)
	resp := &arbutuspb.ResolveResponse{
		AgentIncarnation: r.node.Incarnation(),
		Outcome:          outcomeOf(result.Outcome),
		Tokens:           result.Tokens,
		First:            int32(result.FirstOffset),
	}
	if active := r.runs[req.AttemptId]; active != nil && result.Outcome == attempts.OutcomeDone {
		resp.Done = active.done
	}
	return resp, nil
}
