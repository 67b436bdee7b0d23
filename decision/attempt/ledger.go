package attempt

import (
	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/ledger"
)

// LedgerInput converts the ledger's reply to a claim or lookup into an input.
func LedgerInput(reply ledger.Reply) Input {
	switch {
	case errors.Is(reply.Err, ledger.ErrKeyReused):
		return KeyRecord{State: KeyReused}
	case reply.Err != nil:
		return ClaimResult{}
	case reply.Accepted:
		return ClaimResult{Recorded: true}
	}
	return keyRecordOf(reply.Record)
}

func keyRecordOf(r ledger.Record) KeyRecord {
	record := KeyRecord{
		AttemptID: r.AttemptID, Endpoint: r.Endpoint, AgentIncarnation: r.AgentIncarnation,
		Answer: r.Answer, HasAnswer: !r.AnswerDropped,
	}
	switch r.State {
	case ledger.StateClaimed:
		record.State = KeyClaimed
	case ledger.StateDone:
		record.State = KeyDone
	case ledger.StateNotRun:
		record.State = KeyNotRun
	case ledger.StateUnknown:
		record.State = KeyOutcomeUnknown
	}
	return record
}

// LedgerState returns the state that the ledger stores for s.
func (s FinalState) LedgerState() ledger.State {
	switch s {
	case FinalDone:
		return ledger.StateDone
	case FinalReleased:
		return ledger.StateReleased
	}
	return ledger.StateUnknown
}
