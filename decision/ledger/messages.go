package ledger

import "github.com/arbutusline/arbutusline/objectstore"

// OpKind is the kind of an operation.
type OpKind uint8

// Kinds of operations.
const (
	// OpClaim claims the key for an attempt.
	OpClaim OpKind = iota + 1
	// OpFinish records the end of a claimed attempt.
	OpFinish
	// OpLookup reads the newest record of the key.
	OpLookup
)

// Op is one operation on a key.
type Op struct {
	// ID is chosen by the caller and returned in the Reply.
	ID       uint64
	Kind     OpKind
	Key      Key
	BodyHash uint64
	// Endpoint, AgentIncarnation and AttemptID identify the attempt that claims the
	// key or holds the claim.
	Endpoint         string
	AgentIncarnation uint64
	AttemptID        string
	// PreviousAttemptID is the attempt whose claim OpClaim replaces, because it
	// is known not to have run.
	PreviousAttemptID string
	// State is the final state that OpFinish records: StateDone, StateReleased,
	// StateNotRun or StateUnknown.
	State  State
	Answer []byte
}

// Reply answers an Op.
type Reply struct {
	ID     uint64
	Record Record
	// Accepted is true if the attempt of OpClaim holds the claim or the state of
	// OpFinish is recorded, now or by an earlier copy of the operation.
	Accepted bool
	Err      error
}

// Input is an event that Partition.Step applies.
type Input interface{ input() }

// Inputs of Partition.Step.
type (
	// Submitted adds an operation to the queue.
	Submitted struct{ Op Op }
	// ListResult is the result of ListSegments.
	ListResult struct {
		ObjectKeys []string
		Err        error
	}
	// GetResult is the result of GetSegment.
	GetResult struct {
		ObjectKey string
		Object    objectstore.Object
		Err       error
	}
	// PutResult is the result of PutSegment.
	PutResult struct {
		Version uint64
		Err     error
	}
	// PutAnswerResult is the result of PutAnswer.
	PutAnswerResult struct {
		OpID uint64
		Err  error
	}
	// Tick reports that time has passed. It is due at Partition.NextTick.
	Tick struct{}
)

func (Submitted) input()       {}
func (ListResult) input()      {}
func (GetResult) input()       {}
func (PutResult) input()       {}
func (PutAnswerResult) input() {}
func (Tick) input()            {}

// Action is a store call or a reply that the caller of Step carries out.
type Action interface{ action() }

// Actions returned by Partition.Step.
type (
	// ListSegments lists the object keys that start with Prefix.
	ListSegments struct{ Prefix string }
	// GetSegment reads a segment.
	GetSegment struct{ ObjectKey string }
	// PutSegment writes a segment if the object has ExpectedVersion; 0 means that
	// it must not exist.
	PutSegment struct {
		ObjectKey       string
		Value           []byte
		ExpectedVersion uint64
	}
	// PutAnswer stores an answer under an object key that no other attempt
	// writes.
	PutAnswer struct {
		OpID      uint64
		ObjectKey string
		Value     []byte
	}
	// DeleteSegment deletes a segment if it has ExpectedVersion, and the answer
	// objects whose keys start with AnswerPrefix. An empty AnswerPrefix keeps all
	// answer objects. Its result is not reported.
	DeleteSegment struct {
		ObjectKey       string
		ExpectedVersion uint64
		AnswerPrefix    string
	}
)

func (ListSegments) action()  {}
func (GetSegment) action()    {}
func (PutSegment) action()    {}
func (PutAnswer) action()     {}
func (DeleteSegment) action() {}
func (Reply) action()         {}
