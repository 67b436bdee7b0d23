// Package lease elects the router that may send orders to engines. The lease is
// an object in the platform's store that is only written conditionally. The
// holder renews the lease while it has orders to send, and stops sending when the
// lease expires by the holder's own clock. A successor takes the lease over once
// the object has been unchanged for so long that the holder must have stopped and
// the required pause between two holders has passed.
//
// The store may come back from a copy that lacks writes of the lease. A new era of the
// store then begins, in which a record proves nothing unless it was written in it: the
// holder that was lost may still send orders. Fencing tokens of a later era are higher
// than all of earlier ones.
package lease

import (
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// Config holds the router's name and the durations of the lease.
type Config struct {
	// RouterName identifies this router as the holder.
	RouterName string
	// ValidFor is how long orders may be sent after the start of a successful
	// write of the lease.
	ValidFor time.Duration
	// RenewInterval is the time between two writes of the holder.
	RenewInterval time.Duration
	// HandoverPause is the minimum time between the last order of one holder
	// and the first order of the next.
	HandoverPause time.Duration
	// SafetyMargin covers clock drift between hosts and the delivery time of an
	// order.
	SafetyMargin time.Duration
	// PollInterval is the time between two reads while another router holds
	// the lease.
	PollInterval time.Duration
	// TakeoverDelay is how long this router waits with pending orders before it
	// takes over an expired lease. The delays of routers differ, so that the
	// previous holder or a router with a shorter delay writes first.
	TakeoverDelay time.Duration
}

// Record is the content of the lease object.
type Record struct {
	Holder string `json:"holder"`
	// FencingToken is increased when the holder changes or restarts.
	FencingToken uint64 `json:"fence"`
	// WriteCount makes the content of each write differ from the one before.
	WriteCount uint64 `json:"renewal"`
	// Era is the era of the store in which the record was written, as far as its writer
	// knew.
	Era uint64 `json:"era"`
}

// tokensPerEra is the distance of the fencing tokens of two eras at the same revision. It
// exceeds the number of revisions that a copy of the store may lack: several minutes at the
// store's highest rate of writes.
const tokensPerEra = 1 << 20

// ActionKind is the kind of a store call.
type ActionKind int

// Kinds of store call.
const (
	NoAction ActionKind = iota
	// ReadRecord reads the object. Report the result with HandleRecord or
	// HandleFailure.
	ReadRecord
	// CreateRecord creates the object. Report the result with HandleWrite,
	// HandleRecord or HandleFailure.
	CreateRecord
	// ReplaceRecord replaces the object if its revision is Action.Revision.
	// Report the result as for CreateRecord.
	ReplaceRecord
)

// Action is a store call to be made.
type Action struct {
	Kind     ActionKind
	Record   Record
	Revision uint64
}

// StateMachine is the lease state of one router. It does no I/O and is not safe
// for concurrent use. Times come from a clock that also counts the time for
// which the host was suspended.
type StateMachine struct {
	cfg Config

	recordKnown bool
	record      Record
	// position is that of the record's last change, with revision 0 if there is no record.
	position fleet.StorePosition
	// era is the latest era of the store.
	era uint64
	// highestToken is the highest fencing token of all records.
	highestToken uint64
	// unchangedSince is when this router first saw the current record.
	unchangedSince time.Duration
	// ownRecord means that this process wrote the current record.
	ownRecord bool
	// firstOrderAt is the time from which this process may send orders.
	firstOrderAt time.Duration
	// validUntil is when this router must stop sending orders.
	validUntil         time.Duration
	ordersPendingSince time.Duration
	ordersPending      bool
	lastCallAt         time.Duration
	everCalled         bool
	lastWriteAt        time.Duration
	callPending        bool
}

// New returns a state machine that has not read the record yet.
func New(cfg Config) *StateMachine { return &StateMachine{cfg: cfg} }

// SetHandoverPause replaces the pause between two holders. It applies to the
// next takeover, even if the wait for it has begun.
func (m *StateMachine) SetHandoverPause(pause time.Duration) { m.cfg.HandoverPause = pause }

// Record returns the record as this router last saw it, or the zero Record
// before the first read.
func (m *StateMachine) Record() Record { return m.record }

// NextAction returns the store call to make now. ordersPending is true
// while there are orders to send.
func (m *StateMachine) NextAction(now time.Duration, ordersPending bool) Action {
	if m.callPending {
		return Action{}
	}
	if !ordersPending {
		m.ordersPending = false
	} else if !m.ordersPending {
		m.ordersPending, m.ordersPendingSince = true, now
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

// ObserveEra records the era of the store. In a new era the record has to be read again.
func (m *StateMachine) ObserveEra(era uint64) {
	if era > m.era {
		m.era, m.recordKnown, m.ownRecord = era, false, false
	}
}

func (m *StateMachine) chooseAction(now time.Duration) Action {
	if !m.recordKnown {
		// Read the record at the start, even without pending orders, to learn how
		// long it has been unchanged.
		if m.everCalled && now-m.lastCallAt < m.cfg.PollInterval {
			return Action{}
		}
		return Action{Kind: ReadRecord}
	}
	if !m.ordersPending {
		return Action{}
	}
	if m.ownRecord {
		if now-m.lastWriteAt < m.cfg.RenewInterval {
			return Action{}
		}
		return m.writeAction(m.record.FencingToken)
	}
	// Until its own lease expires, no other router has taken over in any era.
	if now < m.validUntil || m.record.Holder == m.cfg.RouterName && m.record.Era == m.era {
		return m.writeAction(m.nextToken())
	}
	expired := now-m.unchangedSince >= m.takeoverTimeout()
	if expired && now-m.ordersPendingSince >= m.cfg.TakeoverDelay {
		return m.writeAction(m.nextToken())
	}
	if !expired && now-m.lastCallAt >= m.cfg.PollInterval {
		return Action{Kind: ReadRecord}
	}
	return Action{}
}

// takeoverTimeout is how long the record must be unchanged before another router
// may take over the lease.
func (m *StateMachine) takeoverTimeout() time.Duration {
	return m.cfg.ValidFor + m.cfg.HandoverPause + m.cfg.SafetyMargin
}

// nextToken returns the fencing token of a new holder. It exceeds the tokens of earlier eras
// and those of all records that were written before in this one, whether this router has
// seen them or not.
func (m *StateMachine) nextToken() uint64 {
	token := max(m.record.FencingToken, m.highestToken) + 1
	if m.era > 0 {
		token = max(token, m.era*tokensPerEra+m.position.Revision+1)
	}
	return token
}

func (m *StateMachine) writeAction(fencingToken uint64) Action {
	r := Record{Holder: m.cfg.RouterName, FencingToken: fencingToken, WriteCount: m.record.WriteCount + 1, Era: m.era}
	if m.position.Revision == 0 {
		return Action{Kind: CreateRecord, Record: r}
	}
	return Action{Kind: ReplaceRecord, Record: r, Revision: m.position.Revision}
}

// HandleRecord processes the record as it is in the store. Revision 0 means
// that the object does not exist.
func (m *StateMachine) HandleRecord(now time.Duration, r Record, position fleet.StorePosition) {
	m.callPending = false
	m.ObserveEra(position.Era)
	if position.Era < m.era || m.recordKnown && position == m.position {
		return
	}
	// A record seen for the first time may have been written just now, and a record that
	// is missing may have been lost just now.
	m.recordKnown, m.record, m.position, m.unchangedSince = true, r, position, now
	m.highestToken = max(m.highestToken, r.FencingToken)
	m.ownRecord = false
}

// HandleWrite processes the success of the last write.
func (m *StateMachine) HandleWrite(r Record, position fleet.StorePosition) {
	m.callPending = false
	m.ObserveEra(position.Era)
	if r.Era != m.era {
		// The condition of the write was about a revision of an earlier era. It may have
		// replaced the record of another holder.
		m.recordKnown, m.ownRecord, m.validUntil = false, false, 0
		return
	}
	if !m.ownRecord {
		m.firstOrderAt = m.lastWriteAt
	}
	m.recordKnown, m.ownRecord, m.record, m.position = true, true, r, position
	m.highestToken = max(m.highestToken, r.FencingToken)
	m.unchangedSince = m.lastWriteAt
	m.validUntil = m.lastWriteAt + m.cfg.ValidFor
}

// HandleFailure processes the failure of the last call. recordUnknown means
// that the stored record may have changed, as after a write whose response was
// lost. The record is then read again.
func (m *StateMachine) HandleFailure(recordUnknown bool) {
	m.callPending = false
	if recordUnknown {
		m.recordKnown, m.ownRecord = false, false
	}
}

// HoldsLease returns the fencing token for orders and reports whether this
// router may send orders now.
func (m *StateMachine) HoldsLease(now time.Duration) (uint64, bool) {
	return m.record.FencingToken, m.ownRecord && now >= m.firstOrderAt && now < m.validUntil
}

// LastRecord returns the same as Record.
func (m *StateMachine) LastRecord() Record { return m.record }
