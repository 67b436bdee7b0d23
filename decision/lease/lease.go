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
	Holder string
	// Valid is how long after sending a successful write orders may be sent.
	Valid time.Duration
	// Renew is the age at which the holder writes again.
	Renew time.Duration
	// Pause is the least time between the last order of one holder and the
	// first of the next.
	Pause time.Duration
	// Margin covers the difference between clocks and the way of an order.
	Margin time.Duration
	// Look is the time between two reads while another holder works.
	Look time.Duration
	// Stagger is the wait before this router takes over from an idle holder, so
	// that the holder or a router before it in the order does it first.
	Stagger time.Duration
}

// Record is the content of the object.
type Record struct {
	Holder string `json:"holder"`
	// Fence rises with each change of the holder and with each restart of it.
	Fence uint64 `json:"fence"`
	// Renewal makes each write differ from the one before.
	Renewal uint64 `json:"renewal"`
}

// ActionKind says what to do with the store.
type ActionKind int

// Kinds of action.
const (
	None ActionKind = iota
	// Read asks for the object. End it with Observed or Failed.
	Read
	// Create asks for the object to be created, End it with Wrote, Observed or
	// Failed.
	Create
	// Replace asks for the object to be replaced if it has the revision.
	Replace
)

// Action is a call of the store.
type Action struct {
	Kind     ActionKind
	Record   Record
	Revision uint64
}

// Machine is the state of one router. Times are those of a clock that also
// counts the time for which the machine was suspended.
type Machine struct {
	cfg Config

	known    bool
	record   Record
	revision uint64
	// changed is when this router first saw the record as it is.
	changed time.Duration
	// mine means that this incarnation wrote the record.
	mine bool
	// first is when this incarnation may give its first order.
	first time.Duration
	// validUntil is when this router must stop giving orders.
	validUntil time.Duration
	wanted     time.Duration
	wants      bool
	lastCall   time.Duration
	called     bool
	sentAt     time.Duration
	busy       bool
}

// New returns a machine that knows nothing of the record.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// SetPause replaces the pause between two holders. A shorter one applies to the next
// takeover, also if the wait has begun.
func (m *Machine) SetPause(pause time.Duration) { m.cfg.Pause = pause }

// Record returns the record as this router last saw it; the zero Record before.
func (m *Machine) Record() Record { return m.record }

// Next returns the call to make now. Work is true while there are orders to
// give.
func (m *Machine) Next(now time.Duration, work bool) Action {
	if m.busy {
		return Action{}
	}
	if !work {
		m.wants = false
	} else if !m.wants {
		m.wants, m.wanted = true, now
	}
	a := m.decide(now)
	if a.Kind != None {
		m.busy, m.called, m.lastCall = true, true, now
	}
	if a.Kind == Create || a.Kind == Replace {
		m.sentAt = now
	}
	return a
}

func (m *Machine) decide(now time.Duration) Action {
	if !m.known {
		// The record is read once at the start, so that later it is known for
		// how long it has not changed.
		if m.called && now-m.lastCall < m.cfg.Look {
			return Action{}
		}
		return Action{Kind: Read}
	}
	if !m.wants {
		return Action{}
	}
	if m.mine {
		if now-m.sentAt < m.cfg.Renew {
			return Action{}
		}
		return m.write(m.record.Fence)
	}
	if m.record.Holder == "" || m.record.Holder == m.cfg.Holder {
		return m.write(m.record.Fence + 1)
	}
	idle := now-m.changed >= m.takeover()
	if idle && now-m.wanted >= m.cfg.Stagger {
		return m.write(m.record.Fence + 1)
	}
	if !idle && now-m.lastCall >= m.cfg.Look {
		return Action{Kind: Read}
	}
	return Action{}
}

// takeover is how long the record must be unchanged before another router may
// give orders.
func (m *Machine) takeover() time.Duration { return m.cfg.Valid + m.cfg.Pause + m.cfg.Margin }

func (m *Machine) write(fence uint64) Action {
	r := Record{Holder: m.cfg.Holder, Fence: fence, Renewal: m.record.Renewal + 1}
	if m.revision == 0 {
		return Action{Kind: Create, Record: r}
	}
	return Action{Kind: Replace, Record: r, Revision: m.revision}
}

// Observed takes the record as it is in the store; revision 0 means that there
// is none.
func (m *Machine) Observed(now time.Duration, r Record, revision uint64) {
	m.busy = false
	if m.known && revision == m.revision {
		return
	}
	// Seen for the first time, the record may have changed just now.
	m.known, m.record, m.revision, m.changed = true, r, revision, now
	m.mine = false
}

// Wrote takes the success of the last write.
func (m *Machine) Wrote(r Record, revision uint64) {
	m.busy = false
	if !m.mine {
		m.first = m.sentAt
	}
	m.known, m.mine, m.record, m.revision = true, true, r, revision
	m.changed = m.sentAt
	m.validUntil = m.sentAt + m.cfg.Valid
}

// Failed takes the failure of the last call. After a write whose answer was
// lost the record must be read again.
func (m *Machine) Failed(ambiguous bool) {
	m.busy = false
	if ambiguous {
		m.known, m.mine = false, false
	}
}

// MayOrder reports whether orders may be sent at that time, and their fencing
// token.
func (m *Machine) MayOrder(now time.Duration) (uint64, bool) {
	return m.record.Fence, m.mine && now >= m.first && now < m.validUntil
}

// Holder returns the record as last seen.
func (m *Machine) Holder() Record { return m.record }
