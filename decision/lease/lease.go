// Package lease decides which router may give orders to engines. The right is
// an object in the platform's store that is only written conditionally. A
// holder renews it while there is work and stops by its own clock; a successor
// waits until the object was unchanged for so long that the holder has stopped
// and the required pause between two holders has passed. It is a pure state
// machine and not safe for concurrent use.
package lease

import "time"

// Config holds the times of a lease.
type Config struct {
	// Holder is the name of this machine.
	RouterName string
	// Valid is how long after sending a successful write orders may be sent.
	ValidFor time.Duration
	// Renew is the age at which the holder writes again.
	RenewInterval time.Duration
	// Pause is the least time between the last order of one holder and the
	// first of the next.
	HandoverPause time.Duration
	// Margin covers the difference between clocks and the way of an order.
	SafetyMargin time.Duration
	// Look is the time between two reads while another holder works.
	PollInterval time.Duration
	// Stagger is the wait before this router takes over from an idle holder, so
	// that the holder or a router before it in the order does it first.
	TakeoverDelay time.Duration
}

// Record is the content of the object.
type Record struct {
	Holder string `json:"holder"`
	// Fence rises with each change of the holder and with each restart of it.
	FencingToken uint64 `json:"fence"`
	// Renewal makes each write differ from the one before.
	WriteCount uint64 `json:"renewal"`
}

// ActionKind says what to do with the store.
type ActionKind int

// Kinds of action.
const (
	NoAction ActionKind = iota
	// Read asks for the object. End it with Observed or Failed.
	ReadRecord
	// Create asks for the object to be created, End it with Wrote, Observed or
	// Failed.
	CreateRecord
	// Replace asks for the object to be replaced if it has the revision.
	ReplaceRecord
)

// Action is a call of the store.
type Action struct {
	Kind     ActionKind
	Record   Record
	Revision uint64
}

// Machine is the state of one router. Times are those of a clock that also
// counts the time for which the machine was suspended.
type StateMachine struct {
	cfg Config

	recordKnown bool
	record      Record
	revision    uint64
	// changed is when this router first saw the record as it is.
	unchangedSince time.Duration
	// mine means that this incarnation wrote the record.
	ownRecord bool
	// first is when this incarnation may give its first order.
	firstOrderAt time.Duration
	// validUntil is when this router must stop giving orders.
	validUntil  time.Duration
	workSince   time.Duration
	hasWork     bool
	lastCallAt  time.Duration
	everCalled  bool
	lastWriteAt time.Duration
	callPending bool
}

// New returns a machine that knows nothing of the record.
func New(cfg Config) *StateMachine { return &StateMachine{cfg: cfg} }

// SetPause replaces the pause between two holders. A shorter one applies to the next
// takeover, also if the wait has begun.
func (m *StateMachine) SetHandoverPause(pause time.Duration) { m.cfg.HandoverPause = pause }

// Record returns the record as this router last saw it; the zero Record before.
func (m *StateMachine) Record() Record { return m.record }

// Next returns the call to make now. Work is true while there are orders to
// give.
func (m *StateMachine) NextAction(now time.Duration, work bool) Action {
	if m.callPending {
		return Action{}
	}
	if !work {
		m.hasWork = false
	} else if !m.hasWork {
		m.hasWork, m.workSince = true, now
	}
	a := m.chooseAction(now)
	if a.Kind != NoAction {
		m.callPending, m.everCalled, m.lastCallAt = true, true, now
	}
	if a.Kind == CreateRecord || a.Kind == ReplaceRecord {
		m.lastWriteAt = now
	}
	return a
}

func (m *StateMachine) chooseAction(now time.Duration) Action {
	if !m.recordKnown {
		// The record is read once at the start, so that later it is known for
		// how long it has not changed.
		if m.everCalled && now-m.lastCallAt < m.cfg.PollInterval {
			return Action{}
		}
		return Action{Kind: ReadRecord}
	}
	if !m.hasWork {
		return Action{}
	}
	if m.ownRecord {
		if now-m.lastWriteAt < m.cfg.RenewInterval {
			return Action{}
		}
		return m.writeAction(m.record.FencingToken)
	}
	if m.record.Holder == "" || m.record.Holder == m.cfg.RouterName {
		return m.writeAction(m.record.FencingToken + 1)
	}
	expired := now-m.unchangedSince >= m.takeoverTimeout()
	if expired && now-m.workSince >= m.cfg.TakeoverDelay {
		return m.writeAction(m.record.FencingToken + 1)
	}
	if !expired && now-m.lastCallAt >= m.cfg.PollInterval {
		return Action{Kind: ReadRecord}
	}
	return Action{}
}

// takeover is how long the record must be unchanged before another router may
// give orders.
func (m *StateMachine) takeoverTimeout() time.Duration {
	return m.cfg.ValidFor + m.cfg.HandoverPause + m.cfg.SafetyMargin
}

func (m *StateMachine) writeAction(fencingToken uint64) Action {
	r := Record{Holder: m.cfg.RouterName, FencingToken: fencingToken, WriteCount: m.record.WriteCount + 1}
	if m.revision == 0 {
		return Action{Kind: CreateRecord, Record: r}
	}
	return Action{Kind: ReplaceRecord, Record: r, Revision: m.revision}
}

// Observed takes the record as it is in the store; revision 0 means that there
// is none.
func (m *StateMachine) HandleRecord(now time.Duration, r Record, revision uint64) {
	m.callPending = false
	if m.recordKnown && revision == m.revision {
		return
	}
	// Seen for the first time, the record may have changed just now.
	m.recordKnown, m.record, m.revision, m.unchangedSince = true, r, revision, now
	m.ownRecord = false
}

// Wrote takes the success of the last write.
func (m *StateMachine) HandleWrite(r Record, revision uint64) {
	m.callPending = false
	if !m.ownRecord {
		m.firstOrderAt = m.lastWriteAt
	}
	m.recordKnown, m.ownRecord, m.record, m.revision = true, true, r, revision
	m.unchangedSince = m.lastWriteAt
	m.validUntil = m.lastWriteAt + m.cfg.ValidFor
}

// Failed takes the failure of the last call. After a write whose answer was
// lost the record must be read again.
func (m *StateMachine) HandleFailure(ambiguous bool) {
	m.callPending = false
	if ambiguous {
		m.recordKnown, m.ownRecord = false, false
	}
}

// MayOrder reports whether orders may be sent at that time, and their fencing
// token.
func (m *StateMachine) HoldsLease(now time.Duration) (uint64, bool) {
	return m.record.FencingToken, m.ownRecord && now >= m.firstOrderAt && now < m.validUntil
}

// Holder returns the record as last seen.
func (m *StateMachine) LastRecord() Record { return m.record }
