package ledger

import "github.com/arbutusline/arbutusline/objectstore"

// Kind is the kind of an operation.
type OpKind uint8

// Kinds of operations.
const (
	// OpClaim asks to hold the key for an attempt.
	OpClaim OpKind = iota + 1
	// OpFinish records the end of a claimed attempt.
	OpFinish
	// OpLookup reads the newest record.
	OpLookup
)

// Op is one operation on a key.
type Op struct {
	// ID is returned in the Reply. It is chosen by the caller.
	ID       uint64
	Kind     OpKind
	Key      Key
	BodyHash uint64
	// Agent, Incarnation and Attempt name the holder.
	Agent            string
	AgentIncarnation uint64
	AttemptID        string
	// Prev is the attempt that provably did not run and whose claim OpClaim
	// replaces.
	PreviousAttemptID string
	// State is the end that OpFinish records: StateDone, StateReleased,
	// StateNotRun or StateUnknown.
	State  State
	Answer []byte
}

// Reply answers an Op.
type Reply struct {
	ID     uint64
	Record Record
	// Fresh is true when OpClaim holds the key, or OpFinish was recorded.
	Accepted bool
	Err      error
}

// Input is an event that a Partition reacts to.
type Input interface{ input() }

// Inputs.
type (
	// Submitted adds an operation.
	Submitted struct{ Op Op }
	// Listed answers List.
	ListResult struct {
		ObjectKeys []string
		Err        error
	}
	// Read answers Get.
	GetResult struct {
		ObjectKey string
		Object    objectstore.Object
		Err       error
	}
	// Written answers Put.
	PutResult struct {
		Version uint64
		Err     error
	}
	// AnswerStored answers PutAnswer.
	PutAnswerResult struct {
		OpID uint64
		Err  error
	}
	// Tick says that time passed.
	Tick struct{}
)

func (Submitted) input()       {}
func (ListResult) input()      {}
func (GetResult) input()       {}
func (PutResult) input()       {}
func (PutAnswerResult) input() {}
func (Tick) input()            {}

// Action is something that a Partition wants done.
type Action interface{ action() }

// Actions.
type (
	// List asks for the object keys below Prefix.
	ListSegments struct{ Prefix string }
	// Get asks for an object.
	GetSegment struct{ ObjectKey string }
	// Put asks for a conditional write of a segment.
	PutSegment struct {
		ObjectKey       string
		Value           []byte
		ExpectedVersion uint64
	}
	// PutAnswer asks to store an answer under a key that nobody else writes.
	PutAnswer struct {
		OpID      uint64
		ObjectKey string
		Value     []byte
	}
	// Drop asks to delete a segment; Answers is the prefix of the answer
	// objects to delete with it. A failure needs no report.
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
