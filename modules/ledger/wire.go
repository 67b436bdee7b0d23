package ledger

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/ledger"
)

func encodeOp(op ledger.Op) *arbutuspb.ClaimRequest {
	return &arbutuspb.ClaimRequest{
		Kind: int32(op.Kind), Team: op.Key.Team, Key: op.Key.IdempotencyKey, BodyHash: op.BodyHash,
		Agent: op.Endpoint, AgentIncarnation: op.AgentIncarnation, AttemptId: op.AttemptID,
		PreviousAttemptId: op.PreviousAttemptID, State: string(op.State), Answer: op.Answer,
	}
}

func decodeOp(req *arbutuspb.ClaimRequest) ledger.Op {
	return ledger.Op{
		Kind: ledger.OpKind(req.Kind), Key: ledger.Key{Team: req.Team, IdempotencyKey: req.Key}, BodyHash: req.BodyHash,
		Endpoint: req.Agent, AgentIncarnation: req.AgentIncarnation, AttemptID: req.AttemptId,
		PreviousAttemptID: req.PreviousAttemptId, State: ledger.State(req.State), Answer: req.Answer,
	}
}

// errorsByCode maps the error codes of the protocol to the errors of the ledger.
var errorsByCode = map[arbutuspb.ClaimResponse_Error]error{
	arbutuspb.ClaimResponse_ERROR_KEY_REUSED:   ledger.ErrKeyReused,
	arbutuspb.ClaimResponse_ERROR_UNAVAILABLE:  ledger.ErrUnavailable,
	arbutuspb.ClaimResponse_ERROR_KEY_TOO_LONG: ledger.ErrKeyTooLong,
	arbutuspb.ClaimResponse_ERROR_OVERLOADED:   ledger.ErrOverloaded,
	arbutuspb.ClaimResponse_ERROR_CORRUPT:      ledger.ErrCorrupt,
}

func encodeReply(r ledger.Reply) *arbutuspb.ClaimResponse {
	resp := &arbutuspb.ClaimResponse{
		Fresh: r.Accepted, State: string(r.Record.State), BodyHash: r.Record.BodyHash,
		Agent: r.Record.Endpoint, AgentIncarnation: r.Record.AgentIncarnation, AttemptId: r.Record.AttemptID,
		Answer: r.Record.Answer, AnswerObject: r.Record.AnswerObjectKey, AnswerDropped: r.Record.AnswerDropped,
	}
	if r.Err == nil {
		return resp
	}
	resp.Error = arbutuspb.ClaimResponse_ERROR_UNAVAILABLE
	for code, err := range errorsByCode {
		if errors.Is(r.Err, err) {
			resp.Error = code
		}
	}
	return resp
}

func decodeReply(op ledger.Op, resp *arbutuspb.ClaimResponse) ledger.Reply {
	return ledger.Reply{
		Accepted: resp.Fresh,
		Err:      errorsByCode[resp.Error],
		Record: ledger.Record{
			Key: op.Key, BodyHash: resp.BodyHash, State: ledger.State(resp.State),
			Endpoint: resp.Agent, AgentIncarnation: resp.AgentIncarnation, AttemptID: resp.AttemptId,
			Answer: resp.Answer, AnswerObjectKey: resp.AnswerObject, AnswerDropped: resp.AnswerDropped,
		},
	}
}

// HandleForwarded runs an operation that another router forwarded.
func (l *Ledger) HandleForwarded(ctx context.Context, req *arbutuspb.ClaimRequest) *arbutuspb.ClaimResponse {
	op := decodeOp(req)
	if op.Kind < ledger.OpClaim || op.Kind > ledger.OpLookup {
		return &arbutuspb.ClaimResponse{Error: arbutuspb.ClaimResponse_ERROR_UNAVAILABLE}
	}
	return encodeReply(l.SubmitLocal(ctx, op))
}
