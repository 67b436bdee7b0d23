package attempt

import "time"

// Input is an event that the machine reacts to.
type Input interface{ input() }

// Inputs.
type (
	// Placed answers Place with the endpoint to try; an empty Endpoint means
	// that none is left.
	EndpointSelected struct {
		Endpoint      string
		Incarnation   uint64
		LastCandidate bool
	}
	// Claimed answers Claim. OK is true when the claim is recorded durably and
	// names the attempt; false means that the ledger could not be asked in
	// time, and that the attempt was not sent.
	ClaimResult struct{ Recorded bool }
	// Held answers Claim or Lookup when the key has a record that is not the
	// claim of the attempt. State HeldNone only answers Lookup.
	KeyRecord struct {
		State KeyState
		// Attempt, Endpoint and Incarnation name the holder.
		Attempt     string
		Endpoint    string
		Incarnation uint64
		// HasAnswer is false when the answer is no longer recorded.
		HasAnswer bool
		Answer    []byte
	}
	// Resolved answers Resolve. ResolvedUnreachable means that the agent did
	// not answer; its incarnation may still be alive.
	Resolved struct {
		Attempt   string
		Outcome   ResolvedOutcome
		HasAnswer bool
		Answer    []byte
	}
	// Admitted says that the agent accepted the attempt.
	Admitted struct {
		Attempt      string
		CachedTokens int
	}
	// Refused says that the agent did not and will not run the attempt. It is
	// only true as the first event of an attempt.
	Refused struct {
		Attempt    string
		Reason     string
		RetryAfter time.Duration
	}
	// Chunk carries output tokens; Offset is the index of the first.
	Chunk struct {
		Attempt string
		Offset  int
		Tokens  []string
	}
	// Done says that the attempt delivered its whole output. End is the offset
	// after the last token, so that a lost last token is noticed; 0 means not
	// stated. Answer is the answer of a plain service and passed to Finish.
	Done struct {
		Attempt   string
		Reason    string
		EndOffset int
		Answer    []byte
	}
	// Failed says that the attempt ended early. Ran is false when the agent
	// is sure that nothing happened. Crashes counts engine deaths under this
	// request.
	Failed struct {
		Attempt    string
		Reason     string
		MayHaveRun bool
		Crashes    int
	}
	// Lost says that the connection to the agent broke. Sent is false when
	// nothing can have reached it.
	ConnectionLost struct {
		Attempt        string
		MayHaveArrived bool
	}
	// RetryAllowed answers AskRetry.
	RetryDecision struct{ Allowed bool }
	// CallerGone says that nobody waits for the answer any more.
	CallerDisconnected struct{}
	// Tick says that time passed.
	Tick struct{}
)

func (EndpointSelected) input()   {}
func (ClaimResult) input()        {}
func (KeyRecord) input()          {}
func (Resolved) input()           {}
func (Admitted) input()           {}
func (Refused) input()            {}
func (Chunk) input()              {}
func (Done) input()               {}
func (Failed) input()             {}
func (ConnectionLost) input()     {}
func (RetryDecision) input()      {}
func (CallerDisconnected) input() {}
func (Tick) input()               {}

// HeldState is the state of a key's record.
type KeyState uint8

// States of a record.
const (
	// HeldNone means that the key has no record, or a released one.
	KeyUnclaimed KeyState = iota
	// HeldClaimed means that the named attempt may run or have run.
	KeyClaimed
	// HeldDone means that the request ran.
	KeyDone
	// HeldNotRun means that the key is closed without having run.
	KeyNotRun
	// HeldUnknown means that the end can't be known any more.
	KeyOutcomeUnknown
	// HeldOtherBody means that the key belongs to a request with another body.
	KeyBodyMismatch
)

// ResolvedOutcome is an agent's answer about an attempt.
type ResolvedOutcome uint8

// Outcomes of Resolve.
const (
	ResolvedUnreachable ResolvedOutcome = iota
	ResolvedDone
	ResolvedRunning
	// ResolvedNotRun means that the agent has fenced the attempt.
	ResolvedNotRun
	// ResolvedUnknown means that the agent's incarnation is gone or has
	// forgotten the attempt.
	ResolvedUnknown
)

// RecordState is an end that the ledger records.
type EndState uint8

// Ends to record.
const (
	EndDone EndState = iota + 1
	// RecordReleased frees the key for another claim.
	EndReleased
	EndUnknown
)

// Action is something that the machine wants done.
type Action interface{ action() }

// Actions.
type (
	// Place asks for an endpoint that is not in Exclude.
	SelectEndpoint struct{ Exclude []string }
	// Claim asks to record durably that Attempt may run at Endpoint. Prev is
	// the attempt that provably did not run and whose claim is replaced.
	Claim struct {
		Attempt         string
		Endpoint        string
		Incarnation     uint64
		PreviousAttempt string
	}
	// Lookup asks for the record of the key, because the request is about to
	// be refused without a claim although an earlier copy may have run.
	Lookup struct{}
	// Resolve asks the agent what became of an attempt.
	Resolve struct {
		Attempt     string
		Endpoint    string
		Incarnation uint64
	}
	// Record asks to record the end of the claimed attempt. Nobody waits for
	// it. HasAnswer is false when the answer is lost.
	RecordEnd struct {
		Attempt   string
		State     EndState
		HasAnswer bool
		Answer    []byte
	}
	// Send starts an attempt at the endpoint. Resume is the number of tokens
	// already delivered, Crashes the engine deaths so far.
	StartAttempt struct {
		Attempt       string
		Endpoint      string
		Incarnation   uint64
		ResumeOffset  int
		Crashes       int
		LastCandidate bool
	}
	// AskRetry asks the retry budget for one more attempt.
	AskRetry struct{ Reason string }
	// Deliver passes tokens to the caller; Offset is the index of the first.
	Deliver struct {
		Offset int
		Tokens []string
	}
	// Cancel ends an attempt whose output nobody wants.
	Cancel struct {
		Attempt     string
		Endpoint    string
		Incarnation uint64
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
func (RecordEnd) action()      {}
func (StartAttempt) action()   {}
func (AskRetry) action()       {}
func (Deliver) action()        {}
func (Cancel) action()         {}
func (Finish) action()         {}
