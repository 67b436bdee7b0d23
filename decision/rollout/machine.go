package rollout

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/rules"
)

type leasePhase int

const (
	idle leasePhase = iota
	watchingLease
	takingLease
	readingRecords
	planning
)

// Machine is the order state of one router. It is not safe for concurrent use.
type StateMachine struct {
	cfg       Config
	rng       *rand.Rand
	rulesView *rules.View
	candidate bool
	phase     leasePhase

	// The lease as last read, and when it was first seen unchanged.
	lease               Lease
	leaseStoreVersion   uint64
	leaseUnchangedSince time.Duration
	leaseValidUntil     time.Duration
	nextLeaseCallAt     time.Duration

	records      map[string]*storedRecord
	modelsToRead []string

	pendingCall *pendingStoreCall
	lastCallID  uint64
	writeCount  uint64

	observations map[string]Observation
	sentOrders   map[string]*sentOrder
	nextTickAt   time.Duration
	actions      Actions
	stepDowns    int
}

// held is a record with its store version.
type storedRecord struct {
	Record
	storeVersion uint64
}

// sent is an order of this holder.
type sentOrder struct {
	order       Order
	lastSentAt  time.Duration
	firstSentAt time.Duration
	confirmed   bool
	// servedSince is when the engine was first seen to serve the version.
	servingSince time.Duration
	// gone is set when the engine restarted before it took the order.
	engineRestarted bool
}

// operation is the store call under way.
type pendingStoreCall struct {
	id              uint64
	key             string
	writeID         string
	value           []byte
	expectedVersion uint64
	started         time.Duration
	// verify is set when the write's answer was lost and the object is read.
	verifyWrite bool
	done        func(now time.Duration, o StoreResult, value []byte, version uint64)
}

// New returns a machine that holds nothing.
func New(cfg Config, rng *rand.Rand) *StateMachine {
	return &StateMachine{
		cfg: cfg.withDefaults(), rng: rng, rulesView: rules.Empty(),
		records: map[string]*storedRecord{}, observations: map[string]Observation{}, sentOrders: map[string]*sentOrder{},
	}
}

// SetRules installs the rules in force.
func (m *StateMachine) SetRules(v *rules.View) { m.rulesView = v }

// SetCandidate tells whether the router may become the holder. A holder that
// is no candidate any more goes on until it loses the lease.
func (m *StateMachine) SetCandidate(on bool) { m.candidate = on }

// Observed takes what an agent reports.
func (m *StateMachine) HandleObservation(endpoint string, o Observation) {
	m.observations[endpoint] = o
}

// Take returns what is to be done since the last call.
func (m *StateMachine) TakeActions() Actions {
	a := m.actions
	m.actions = Actions{}
	return a
}

// Next returns when Tick is due.
func (m *StateMachine) NextTick() time.Duration { return m.nextTickAt }

// Holding reports whether the router holds the lease at a time, and its token.
func (m *StateMachine) HoldsLease(now time.Duration) (uint64, bool) {
	return m.lease.FencingToken, m.phase == planning && now < m.leaseValidUntil
}

// Records returns the records that the holder works on.
func (m *StateMachine) Records() []Record {
	var list []Record
	for _, r := range m.rulesView.Rollouts() {
		if h := m.records[r.Model]; h != nil {
			list = append(list, h.Record)
		}
	}
	return list
}

// Tick looks at lease and plan.
func (m *StateMachine) Tick(now time.Duration) {
	if now < m.nextTickAt {
		return
	}
	m.nextTickAt = now + m.cfg.PlanInterval
	if m.phase >= readingRecords && now >= m.leaseValidUntil {
		m.stepDown(now)
	}
	if m.pendingCall != nil {
		return
	}
	switch m.phase {
	case idle:
		if m.candidate && len(m.rulesView.Rollouts()) > 0 {
			m.phase = watchingLease
			m.nextLeaseCallAt = now
		}
	case watchingLease:
		m.pollLease(now)
	case planning:
		if now >= m.nextLeaseCallAt {
			m.renewLease(now)
			return
		}
		m.planRollouts(now)
	}
}

// look reads the lease and takes it when it did not change for LeaseTime.
func (m *StateMachine) pollLease(now time.Duration) {
	if !m.candidate || len(m.rulesView.Rollouts()) == 0 {
		m.phase = idle
		return
	}
	if now < m.nextLeaseCallAt {
		return
	}
	m.nextLeaseCallAt = now + m.cfg.RenewInterval/2 + time.Duration(m.rng.Int64N(int64(m.cfg.RenewInterval)))
	m.readObject(now, LeaseKey, func(now time.Duration, o StoreResult, value []byte, version uint64) {
		var l Lease
		switch {
		case o == StoreOutcomeUnknown || o == StoreOK && json.Unmarshal(value, &l) != nil:
			return
		case o == StoreNotFound:
			m.lease, m.leaseStoreVersion = Lease{}, 0
			m.takeLease(now)
			return
		case version != m.leaseStoreVersion:
			m.lease, m.leaseStoreVersion, m.leaseUnchangedSince = l, version, now
			return
		}
		if now-m.leaseUnchangedSince >= m.cfg.LeaseDuration {
			m.takeLease(now)
		}
	})
}

func (m *StateMachine) takeLease(now time.Duration) {
	m.phase = takingLease
	next := Lease{Holder: m.cfg.RouterName, FencingToken: m.lease.FencingToken + 1}
	m.writeLease(now, next, func(now time.Duration) {
		m.phase = readingRecords
		m.records, m.sentOrders = map[string]*storedRecord{}, map[string]*sentOrder{}
		m.modelsToRead = nil
		for _, r := range m.rulesView.Rollouts() {
			m.modelsToRead = append(m.modelsToRead, r.Model)
		}
		m.readNextRecord(now)
	})
}

// writeLease writes the lease. The time until which it holds counts from
// before the write, so that no other process can count from earlier.
func (m *StateMachine) writeLease(now time.Duration, l Lease, then func(now time.Duration)) {
	l.WriteID = m.newWriteID()
	value, _ := json.Marshal(l)
	started := now
	m.writeObject(now, LeaseKey, value, l.WriteID, m.leaseStoreVersion, func(now time.Duration, version uint64) {
		m.lease, m.leaseStoreVersion = l, version
		m.leaseUnchangedSince = now
		m.leaseValidUntil = started + m.cfg.LeaseDuration*9/10
		m.nextLeaseCallAt = started + m.cfg.RenewInterval
		then(now)
	})
}

func (m *StateMachine) renewLease(now time.Duration) {
	m.writeLease(now, m.lease, func(time.Duration) {})
}

// readNext reads the records one after the other and then begins to plan.
func (m *StateMachine) readNextRecord(now time.Duration) {
	if len(m.modelsToRead) == 0 {
		m.phase = planning
		return
	}
	model := m.modelsToRead[0]
	m.readObject(now, RecordKeyPrefix+model, func(now time.Duration, o StoreResult, value []byte, version uint64) {
		h := &storedRecord{storeVersion: version}
		switch {
		case o == StoreNotFound:
			h.storeVersion = 0
		case o == StoreOutcomeUnknown || json.Unmarshal(value, &h.Record) != nil:
			// Without the record nothing is known about running orders.
			m.stepDown(now)
			return
		}
		m.records[model] = h
		m.modelsToRead = m.modelsToRead[1:]
		m.readNextRecord(now)
	})
}

// stepDown forgets everything that only a holder may rely on.
func (m *StateMachine) stepDown(now time.Duration) {
	m.stepDowns++
	m.phase = watchingLease
	m.pendingCall = nil
	m.leaseStoreVersion, m.leaseUnchangedSince, m.leaseValidUntil = 0, 0, 0
	m.nextLeaseCallAt = now + m.cfg.RenewInterval
	m.records, m.sentOrders = map[string]*storedRecord{}, map[string]*sentOrder{}
	m.actions.Orders = nil
}

func (m *StateMachine) newWriteID() string {
	m.writeCount++
	return fmt.Sprintf("%s/%d/%d", m.cfg.RouterName, m.cfg.RouterIncarnation, m.writeCount)
}

func (m *StateMachine) startCall(now time.Duration, op *pendingStoreCall) {
	m.lastCallID++
	op.id, op.started = m.lastCallID, now
	m.pendingCall = op
	m.actions.StoreCall = &StoreCall{ID: op.id, Key: op.key, Value: op.value, ExpectedVersion: op.expectedVersion}
}

func (m *StateMachine) readObject(now time.Duration, key string, done func(time.Duration, StoreResult, []byte, uint64)) {
	m.startCall(now, &pendingStoreCall{key: key, done: done})
}

// write makes a conditional write. When it did not take effect, or when that
// cannot be found out, the process steps down.
func (m *StateMachine) writeObject(now time.Duration, key string, value []byte, id string, expect uint64, done func(time.Duration, uint64)) {
	m.startCall(now, &pendingStoreCall{key: key, value: value, writeID: id, expectedVersion: expect,
		done: func(now time.Duration, o StoreResult, _ []byte, version uint64) {
			if o != StoreOK {
				m.stepDown(now)
				return
			}
			done(now, version)
		}})
}

// StoreDone ends a StoreOp. Late results of earlier operations are ignored.
func (m *StateMachine) HandleStoreResult(now time.Duration, id uint64, o StoreResult, value []byte, version uint64) {
	op := m.pendingCall
	if op == nil || op.id != id {
		return
	}
	m.pendingCall = nil
	switch {
	case op.verifyWrite:
		var written struct {
			WriteID string `json:"write_id"`
		}
		if o != StoreOK || json.Unmarshal(value, &written) != nil || written.WriteID != op.writeID {
			o = StoreConflict
		}
	case op.writeID != "" && o == StoreOutcomeUnknown:
		m.startCall(now, &pendingStoreCall{key: op.key, writeID: op.writeID, done: op.done, verifyWrite: true})
		return
	}
	op.done(now, o, value, version)
}
