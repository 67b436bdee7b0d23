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
	// Submit carries out an operation. The ID of the operation is ignored.
	Submit(ctx context.Context, op ledger.Op) ledger.Reply
}

// ledgerTimeout bounds one operation, so that an outage of the store is told
// to the caller in time.
const ledgerTimeout = 2 * time.Second

func (x *execution) key() ledger.Key {
	return ledger.Key{Team: x.req.Team.Name, IdempotencyKey: x.req.Key}
}

func (x *execution) submit(op ledger.Op) ledger.Reply {
	ctx, cancel := context.WithTimeout(x.ctx, ledgerTimeout)
	defer cancel()
	op.Key, op.BodyHash = x.key(), x.req.Fingerprint
	return x.d.ledger.Submit(ctx, op)
}

func (x *execution) claim(a attempt.Claim) {
	x.input(attempt.LedgerInput(x.submit(ledger.Op{
		Kind: ledger.OpClaim, Endpoint: a.Endpoint, AgentIncarnation: a.AgentIncarnation, AttemptID: a.AttemptID, PreviousAttemptID: a.PreviousAttemptID,
	})))
}

func (x *execution) lookup() {
	x.input(attempt.LedgerInput(x.submit(ledger.Op{Kind: ledger.OpLookup})))
}

// recordEnd records the end of a claimed attempt in the background. Shutdown
// waits for it.
func (x *execution) recordEnd(a attempt.RecordEnd) {
	op := ledger.Op{
		Kind: ledger.OpFinish, Key: x.key(), BodyHash: x.req.Fingerprint,
		AttemptID: a.AttemptID, State: a.State.LedgerState(), Answer: a.Answer,
	}
	d := x.d
	d.recording.Add(1)
	go func() {
		defer d.recording.Done()
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if reply := d.ledger.Submit(ctx, op); reply.Err != nil {
			d.metrics.recordsLost.Inc()
			d.log.WithError(reply.Err).WithField("attempt_id", a.AttemptID).Warn("the end of a claimed attempt was not recorded")
		}
	}()
}

// recordTimeout bounds recording an end. While it is not recorded, a resend
// asks the agent instead.
const recordTimeout = 30 * time.Second

// resolve asks an agent what became of an attempt.
func (x *execution) resolve(a attempt.Resolve) {
	x.input(x.d.askAgent(x.ctx, a))
}

func (d *Dispatcher) askAgent(ctx context.Context, a attempt.Resolve) attempt.ResolveResult {
	unreachable := attempt.ResolveResult{AttemptID: a.AttemptID, Outcome: attempt.ResolvedUnreachable}
	instance, ok := d.directory.AgentByEndpoint(a.Endpoint)
	if !ok {
		return unreachable
	}
	conn, err := d.client.Conn(instance.GRPCAddress)
	if err != nil {
		return unreachable
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	resp, err := arbutuspb.NewAgentClient(conn).Resolve(ctx, &arbutuspb.ResolveRequest{
		AttemptId: a.AttemptID, AgentIncarnation: a.AgentIncarnation,
	})
	if err != nil {
		return unreachable
	}
	return resolvedOf(a, resp)
}

func resolvedOf(a attempt.Resolve, resp *arbutuspb.ResolveResponse) attempt.ResolveResult {
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

// encodeAnswer returns the answer as the ledger keeps it.
func encodeAnswer(endpoint string, done *arbutuspb.Done, tokens []string) []byte {
	raw, err := proto.Marshal(&arbutuspb.RecordedAnswer{Endpoint: endpoint, Done: done, Tokens: tokens})
	if err != nil {
		return nil
	}
	return raw
}

// replay delivers a recorded answer to the caller.
func (x *execution) replay(result *Result) {
	var recorded arbutuspb.RecordedAnswer
	if err := proto.Unmarshal(result.Answer, &recorded); err != nil || recorded.Done == nil {
		result.Outcome, result.Code = attempt.OutcomeUnknown, attempt.CodeAnswerExpired
		result.Reason = "the request ran; its answer could not be read"
		return
	}
	result.Done, result.Endpoint = recorded.Done, recorded.Endpoint
	if from := x.machine.Delivered(); from < len(recorded.Tokens) {
		_ = x.sink.Tokens(recorded.Endpoint, from, recorded.Tokens[from:])
	}
}
