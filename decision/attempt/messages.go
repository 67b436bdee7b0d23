package attempt

import "time"

// Input is an event that StateMachine.Step applies.
type Input interface{ input() }

// Inputs.
type (
	// EndpointSelected answers SelectEndpoint. An empty Endpoint means that no endpoint
	// is left. MustQueue tells the agent to queue the attempt even if another endpoint
	// would be cheaper.
	EndpointSelected struct {
		Endpoint         string
		AgentIncarnation uint64
		MustQueue        bool
	}
	// ClaimResult answers Claim, and Lookup when the ledger could not be read.
	// Recorded is true when the ledger durably recorded the claim for the attempt.
	// If false, the ledger failed or timed out and the attempt was not sent.
	ClaimResult struct{ Recorded bool }
	// KeyRecord answers Lookup. It also answers Claim when the ledger has a record of
	// the key that is not the claim of the attempt. KeyUnclaimed only answers Lookup.
	KeyRecord struct {
		State KeyState
		// AttemptID, Endpoint and AgentIncarnation identify the attempt that holds
		// the key.
		AttemptID        string
		Endpoint         string
		AgentIncarnation uint64
		// HasAnswer is false when the ledger no longer stores the answer.
		HasAnswer bool
		Answer    []byte
	}
	// ResolveResult answers Resolve with the outcome of the attempt.
	ResolveResult struct {
		AttemptID string
		Outcome   ResolvedOutcome
		HasAnswer bool
		Answer    []byte
	}
	// Admitted reports that the agent accepted the attempt.
	Admitted struct {
		AttemptID    string
		CachedTokens int
	}
	// Refused reports that the agent did not and will not run the attempt. It is
	// only valid as the first event of an attempt.
	Refused struct {
		AttemptID  string
		Reason     string
		RetryAfter time.Duration
	}
	// Chunk carries output tokens; Offset is the offset of the first token.
	Chunk struct {
		AttemptID string
		Offset    int
		Tokens    []string
	}
	// Completed reports that the attempt produced its complete output. EndOffset is the
	// offset after the last token, by which lost tokens at the end are detected; 0
	// means that the agent did not report the offset. Answer is the answer of a plain
	// service and is passed to Finish.
	Completed struct {
		AttemptID string
		Reason    string
		EndOffset int
		Answer    []byte
	}
	// Failed reports that the attempt ended early. MayHaveRun is false when the agent
	// guarantees that it had no effect. SuspicionLevel is the quarantine.Level of the
	// request as the agent knows it.
	Failed struct {
		AttemptID      string
		Reason         string
		MayHaveRun     bool
		SuspicionLevel int
	}
	// ConnectionLost reports that the connection to the agent was lost. MayHaveArrived
	// is false when the attempt can't have reached the agent.
	ConnectionLost struct {
		AttemptID      string
		MayHaveArrived bool
	}
	// RetryDecision answers AskRetry.
	RetryDecision struct{ Allowed bool }
	// CallerDisconnected reports that the caller no longer waits for the answer.
	CallerDisconnected struct{}
	// Tick reports that time has passed. It is due at StateMachine.NextTick.
	Tick struct{}
)

func (EndpointSelected) input()   {}
func (ClaimResult) input()        {}
func (KeyRecord) input()          {}
func (ResolveResult) input()      {}
func (Admitted) input()           {}
func (Refused) input()            {}
func (Chunk) input()              {}
func (Completed) input()          {}
func (Failed) input()             {}
func (ConnectionLost) input()     {}
func (RetryDecision) input()      {}
func (CallerDisconnected) input() {}
func (Tick) input()               {}

// KeyState is the state of a key in the ledger.
type KeyState uint8

// States of a key.
const (
	// KeyUnclaimed means that the key has no record or that its claim was released.
	KeyUnclaimed KeyState = iota
	// KeyClaimed means that the attempt in KeyRecord may run or have run.
	KeyClaimed
	// KeyDone means that the request ran.
	KeyDone
	// KeyNotRun means that the key is closed and its request did not run.
	KeyNotRun
	// KeyOutcomeUnknown means that the outcome can no longer be determined.
	KeyOutcomeUnknown
	// KeyReused means that the key belongs to a request with another body.
	KeyReused
)

// ResolvedOutcome is the outcome of an attempt as its agent reports it.
type ResolvedOutcome uint8

// Outcomes of Resolve.
const (
	// ResolvedUnreachable means that the agent did not answer. Its incarnation may
	// still be alive.
	ResolvedUnreachable ResolvedOutcome = iota
	ResolvedDone
	ResolvedRunning
	// ResolvedNotRun means that the attempt did not run and that the agent has fenced
	// it.
	ResolvedNotRun
	// ResolvedUnknown means that the agent restarted after the attempt was claimed,
	// or has dropped its record of the attempt.
	ResolvedUnknown
)

// FinalState is the state in which an attempt's claim ends.
type FinalState uint8

// End states of a claim.
const (
	FinalDone FinalState = iota + 1
	// FinalReleased makes the key available to another claim.
	FinalReleased
	FinalUnknown
)

// Action is a step that StateMachine asks its caller to perform.
type Action interface{ action() }

// Actions.
type (
	// SelectEndpoint asks for an endpoint that is not in Exclude.
	SelectEndpoint struct{ Exclude []string }
	// Claim asks the ledger to record durably that the attempt may run at Endpoint.
	// It replaces the claim of PreviousAttemptID, which certainly did not run.
	Claim struct {
		AttemptID         string
		Endpoint          string
		AgentIncarnation  uint64
		PreviousAttemptID string
	}
	// Lookup asks the ledger for the record of the key. Without it, a request that
	// is refused before its claim would be reported as not run although an earlier
	// copy may have run.
	Lookup struct{}
	// Resolve asks the agent for the outcome of an attempt.
	Resolve struct {
		AttemptID        string
		Endpoint         string
		AgentIncarnation uint64
	}
	// FinishClaim asks the ledger to record the end of a claimed attempt. Step gets
	// no input with the result. HasAnswer is false when the answer is lost.
	FinishClaim struct {
		AttemptID string
		State     FinalState
		HasAnswer bool
		Answer    []byte
	}
	// StartAttempt sends an attempt to the endpoint. ResumeOffset is the number of
	// tokens already delivered. SuspicionLevel is the highest level that an earlier
	// attempt reported. MustQueue is copied from EndpointSelected.
	StartAttempt struct {
		AttemptID        string
		Endpoint         string
		AgentIncarnation uint64
		ResumeOffset     int
		SuspicionLevel   int
		MustQueue        bool
	}
	// AskRetry asks the retry budget for one more attempt.
	AskRetry struct{ Reason string }
	// Deliver passes tokens to the caller; Offset is the offset of the first token.
	Deliver struct {
		Offset int
		Tokens []string
	}
	// Cancel ends an attempt whose output is no longer needed.
	Cancel struct {
		AttemptID        string
		Endpoint         string
		AgentIncarnation uint64
	}
	// Finish ends the request. Code is empty for OutcomeDone.
	Finish struct {
		Outcome    Outcome
		Code       Code
		Reason     string
		RetryAfter time.Duration
		// Answer is the answer of a plain service.
		Answer []byte
	}
)

func (SelectEndpoint) action() {}
func (Claim) action()          {}
func (Lookup) action()         {}
func (Resolve) action()        {}
func (FinishClaim) action()    {}
func (StartAttempt) action()   {}
func (AskRetry) action()       {}
func (Deliver) action()        {}
func (Cancel) action()         {}
func (Finish) action()         {}
