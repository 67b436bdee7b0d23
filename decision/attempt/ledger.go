package attempt

import (
	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/ledger"
)

// LedgerInput turns the ledger's reply to a claim or lookup into an input.
func LedgerInput(reply ledger.Reply) Input {
	switch {
	case errors.Is(reply.Err, ledger.ErrKeyReused):
		return Held{State: HeldOtherBody}
	case reply.Err != nil:
		return Claimed{}
	case reply.Accepted:
		return Claimed{OK: true}
	}
	return heldOf(reply.Record)
}

func heldOf(r ledger.Record) Held {
	h := Held{
		Attempt: r.AttemptID, Endpoint: r.Agent, Incarnation: r.AgentIncarnation,
		Answer: r.Answer, HasAnswer: !r.AnswerDropped,
	}
	switch r.State {
	case ledger.StateClaimed:
		h.State = HeldClaimed
	case ledger.StateDone:
		h.State = HeldDone
	case ledger.StateNotRun:
		h.State = HeldNotRun
	case ledger.StateUnknown:
		h.State = HeldUnknown
	}
	return h
}

// LedgerState returns the ledger's state for an end that the machine records.
func (s RecordState) LedgerState() ledger.State {
	switch s {
	case RecordDone:
		return ledger.StateDone
	case RecordReleased:
		return ledger.StateReleased
	}
	return ledger.StateUnknown
}
