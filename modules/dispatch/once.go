package dispatch

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/decision/ledger"
)

// Ledger is the module "ledger", which records claims of requests that may run
// at most once.
type Ledger interface {
	// Submit performs an operation. It ignores op.ID and assigns an ID itself.
	Submit(ctx context.Context, op ledger.Op) ledger.Reply
}

// atMostOnceCallTimeout bounds one ledger operation or one Resolve call, so that
// an outage of the store is reported to the caller in time.
const atMostOnceCallTimeout = 2 * time.Second

func (x *execution) ledgerKey() ledger.Key {
	return ledger.Key{Team: x.req.Team.Name, IdempotencyKey: x.req.IdempotencyKey}
}

func (x *execution) submitToLedger(op ledger.Op) ledger.Reply {
	ctx, cancel := context.WithTimeout(x.ctx, atMostOnceCallTimeout)
	defer cancel()
	op.Key, op.BodyHash = x.ledgerKey(), x.req.Fingerprint
	return x.d.ledger.Submit(ctx, op)
}

func (x *execution) submitClaim(a attempt.Claim) {
	x.sendInput(attempt.LedgerInput(x.submitToLedger(ledger.Op{
		Kind: ledger.OpClaim, Endpoint: a.Endpoint, AgentIncarnation: a.AgentIncarnation, AttemptID: a.AttemptID, PreviousAttemptID: a.PreviousAttemptID,
	})))
}

func (x *execution) lookUpKey() {
	x.sendInput(attempt.LedgerInput(x.submitToLedger(ledger.Op{Kind: ledger.OpLookup})))
}

// finishClaim records the end of a claimed attempt in the ledger in the background.
// Stop waits for it.
func (x *execution) finishClaim(a attempt.FinishClaim) {
	op := ledger.Op{
		Kind: ledger.OpFinish, Key: x.ledgerKey(), BodyHash: x.req.Fingerprint,
		AttemptID: a.AttemptID, State: a.State.LedgerState(), Answer: a.Answer,
	}
	d := x.d
	d.pendingClaimFinishes.Add(1)
	go func() {
		defer d.pendingClaimFinishes.Done()
		ctx, cancel := context.WithTimeout(context.Background(), finishClaimTimeout)
		defer cancel()
		if reply := d.ledger.Submit(ctx, op); reply.Err != nil {
			d.metrics.claimFinishesLost.Inc()
			d.log.WithError(reply.Err).WithField("attempt_id", a.AttemptID).Warn("failed to record end of claimed attempt in ledger")
		}
	}()
}

// finishClaimTimeout bounds the recording of an end. As long as the end is not
// recorded, a repeated request is resolved by asking the agent.
const finishClaimTimeout = 30 * time.Second

// resolveAttempt asks the agent for the outcome of an attempt.
func (x *execution) resolveAttempt(a attempt.Resolve) {
	x.sendInput(x.d.resolveAtAgent(x.ctx, a))
}

func (d *Dispatcher) resolveAtAgent(ctx context.Context, a attempt.Resolve) attempt.ResolveResult {
	unreachable := attempt.ResolveResult{AttemptID: a.AttemptID, Outcome: attempt.ResolvedUnreachable}
	agent, ok := d.gossip.AgentByEndpoint(a.Endpoint)
	if !ok {
		return unreachable
	}
	conn, err := d.connPool.Conn(agent.GRPCAddress)
	if err != nil {
		return unreachable
	}
	ctx, cancel := context.WithTimeout(ctx, atMostOnceCallTimeout)
	defer cancel()
	resp, err := arbutuspb.NewAgentClient(conn).Resolve(ctx, &arbutuspb.ResolveRequest{
		AttemptId: a.AttemptID, AgentIncarnation: a.AgentIncarnation,
	})
	if err != nil {
		return unreachable
	}
	return resolveResultFrom(a, resp)
}

func resolveResultFrom(a attempt.Resolve, resp *arbutuspb.ResolveResponse) attempt.ResolveResult {
	in := attempt.ResolveResult{AttemptID: a.AttemptID, Outcome: attempt.ResolvedUnknown}
	switch resp.Outcome {
	case arbutuspb.Outcome_OUTCOME_NOT_RUN:
		in.Outcome = attempt.ResolvedNotRun
	case arbutuspb.Outcome_OUTCOME_RUNNING:
		in.Outcome = attempt.ResolvedRunning
	case arbutuspb.Outcome_OUTCOME_DONE:
		in.Outcome = attempt.ResolvedDone
		if resp.Done != nil && resp.First == 0 {
			in.HasAnswer, in.Answer = true, encodeAnswer(a.Endpoint, resp.Done, resp.Tokens)
		}
	}
	return in
}

// encodeAnswer returns the answer in the form that the ledger stores.
func encodeAnswer(endpoint string, done *arbutuspb.Done, tokens []string) []byte {
	raw, err := proto.Marshal(&arbutuspb.RecordedAnswer{Endpoint: endpoint, Done: done, Tokens: tokens})
	if err != nil {
		return nil
	}
	return raw
}

// deliverRecordedAnswer delivers the part of a recorded answer that the caller does
// not have yet.
func (x *execution) deliverRecordedAnswer(result *Result) {
	var recorded arbutuspb.RecordedAnswer
	if err := proto.Unmarshal(result.Answer, &recorded); err != nil || recorded.Done == nil {
		result.Outcome, result.Code = attempt.OutcomeUnknown, attempt.CodeAnswerExpired
		result.Reason = "the request ran; its answer could not be read"
		return
	}
	result.Done, result.Endpoint = recorded.Done, recorded.Endpoint
	if delivered := x.stateMachine.Delivered(); delivered < len(recorded.Tokens) {
		_ = x.sink.WriteTokens(recorded.Endpoint, delivered, recorded.Tokens[delivered:])
	}
}
