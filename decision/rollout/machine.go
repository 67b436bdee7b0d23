package rollout

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/rules"
)

// leasePhase is the phase of a router between watching the lease and planning as its
// holder.
type leasePhase int

const (
	idle leasePhase = iota
	watchingLease
	takingLease
	readingRecords
	planning
)

// StateMachine is the rollout state of one router. It is not safe for concurrent
// use.
type StateMachine struct {
	cfg       Config
	rng       *rand.Rand
	rulesView *rules.View
	candidate bool
	phase     leasePhase

	// lease is the lease as last read or written.
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

// storedRecord is a record with its version in the store.
type storedRecord struct {
	Record
	storeVersion uint64
}

// sentOrder is an order that this holder sent.
type sentOrder struct {
	order       Order
	lastSentAt  time.Duration
	firstSentAt time.Duration
	confirmed   bool
	// servingSince is when the engine was first observed to serve the version.
	servingSince time.Duration
	// engineRestarted means that the engine restarted before it accepted the
	// order.
	engineRestarted bool
}

// pendingStoreCall is the store call in flight.
type pendingStoreCall struct {
	id              uint64
	key             string
	writeID         string
	value           []byte
	expectedVersion uint64
	startedAt       time.Duration
	// verifyWrite means that the response of a write was lost and the object is
	// read to find out whether the write took effect.
	verifyWrite bool
	onResult    func(now time.Duration, result StoreResult, value []byte, version uint64)
}

// New returns a state machine that does not hold the lease.
func New(cfg Config, rng *rand.Rand) *StateMachine {
	return &StateMachine{
		cfg: cfg.withDefaults(), rng: rng, rulesView: rules.Empty(),
		records: map[string]*storedRecord{}, observations: map[string]Observation{}, sentOrders: map[string]*sentOrder{},
	}
}

// SetRules sets the current rules.
func (m *StateMachine) SetRules(v *rules.View) { m.rulesView = v }

// SetCandidate sets whether the router may take the lease. A holder that stops being
// a candidate continues until it loses the lease.
func (m *StateMachine) SetCandidate(on bool) { m.candidate = on }

// HandleObservation records the state of an endpoint's engine.
func (m *StateMachine) HandleObservation(endpoint string, o Observation) {
	m.observations[endpoint] = o
}

// TakeActions returns and clears the actions requested since the last call.
func (m *StateMachine) TakeActions() Actions {
	a := m.actions
	m.actions = Actions{}
	return a
}

// NextTick returns when Tick is due.
func (m *StateMachine) NextTick() time.Duration { return m.nextTickAt }

// HoldsLease returns the fencing token of the lease and reports whether the
// router holds the lease now and has read all records.
func (m *StateMachine) HoldsLease(now time.Duration) (uint64, bool) {
	return m.lease.FencingToken, m.phase == planning && now < m.leaseValidUntil
}

// Records returns the records of the rollouts in the rules, as the holder has
// them.
func (m *StateMachine) Records() []Record {
	var list []Record
	for _, r := range m.rulesView.Rollouts() {
		if stored := m.records[r.Model]; stored != nil {
			list = append(list, stored.Record)
		}
	}
	return list
}

// Tick polls or renews the lease when that is due, or plans the rollouts.
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

// pollLease reads the lease and takes it over when it has been unchanged for
// LeaseDuration.
func (m *StateMachine) pollLease(now time.Duration) {
	if !m.candidate || len(m.rulesView.Rollouts()) == 0 {
		m.phase = idle
		return
	}
	if now < m.nextLeaseCallAt {
		return
	}
	m.nextLeaseCallAt = now + m.cfg.RenewInterval/2 + time.Duration(m.rng.Int64N(int64(m.cfg.RenewInterval)))
	m.readObject(now, LeaseKey, func(now time.Duration, result StoreResult, value []byte, version uint64) {
		var l Lease
		switch {
		case result == StoreOutcomeUnknown || result == StoreOK && json.Unmarshal(value, &l) != nil:
			return
		case result == StoreNotFound:
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

// writeLease writes the lease. Its validity is counted from the start of the write,
// because from then on another router may see the new lease and wait for its expiry.
func (m *StateMachine) writeLease(now time.Duration, l Lease, onWritten func(now time.Duration)) {
	l.WriteID = m.newWriteID()
	value, _ := json.Marshal(l)
	started := now
	m.writeObject(now, LeaseKey, value, l.WriteID, m.leaseStoreVersion, func(now time.Duration, version uint64) {
		m.lease, m.leaseStoreVersion = l, version
		m.leaseUnchangedSince = now
		m.leaseValidUntil = started + m.cfg.LeaseDuration*9/10
		m.nextLeaseCallAt = started + m.cfg.RenewInterval
		onWritten(now)
	})
}

func (m *StateMachine) renewLease(now time.Duration) {
	m.writeLease(now, m.lease, func(time.Duration) {})
}

// readNextRecord reads the records one after the other and then starts the
// planning phase.
func (m *StateMachine) readNextRecord(now time.Duration) {
	if len(m.modelsToRead) == 0 {
		m.phase = planning
		return
	}
	model := m.modelsToRead[0]
	m.readObject(now, RecordKeyPrefix+model, func(now time.Duration, result StoreResult, value []byte, version uint64) {
		stored := &storedRecord{storeVersion: version}
		switch {
		case result == StoreNotFound:
			stored.storeVersion = 0
		case result == StoreOutcomeUnknown || json.Unmarshal(value, &stored.Record) != nil:
			// Without the record the orders in flight are unknown.
			m.stepDown(now)
			return
		}
		m.records[model] = stored
		m.modelsToRead = m.modelsToRead[1:]
		m.readNextRecord(now)
	})
}

// stepDown gives up the lease and discards all state that only a holder may use.
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

func (m *StateMachine) startCall(now time.Duration, call *pendingStoreCall) {
	m.lastCallID++
	call.id, call.startedAt = m.lastCallID, now
	m.pendingCall = call
	m.actions.StoreCall = &StoreCall{ID: call.id, Key: call.key, Value: call.value, ExpectedVersion: call.expectedVersion}
}

func (m *StateMachine) readObject(now time.Duration, key string, onResult func(time.Duration, StoreResult, []byte, uint64)) {
	m.startCall(now, &pendingStoreCall{key: key, onResult: onResult})
}

// writeObject makes a conditional write. The router steps down when the write
// failed or its outcome cannot be determined.
func (m *StateMachine) writeObject(now time.Duration, key string, value []byte, writeID string, expectedVersion uint64, onWritten func(time.Duration, uint64)) {
	m.startCall(now, &pendingStoreCall{key: key, value: value, writeID: writeID, expectedVersion: expectedVersion,
		onResult: func(now time.Duration, result StoreResult, _ []byte, version uint64) {
			if result != StoreOK {
				m.stepDown(now)
				return
			}
			onWritten(now, version)
		}})
}

// HandleStoreResult processes the result of a StoreCall. Late results of earlier
// calls are ignored.
func (m *StateMachine) HandleStoreResult(now time.Duration, id uint64, result StoreResult, value []byte, version uint64) {
	call := m.pendingCall
	if call == nil || call.id != id {
		return
	}
	m.pendingCall = nil
	switch {
	case call.verifyWrite:
		var written struct {
			WriteID string `json:"write_id"`
		}
		if result != StoreOK || json.Unmarshal(value, &written) != nil || written.WriteID != call.writeID {
			result = StoreConflict
		}
	case call.writeID != "" && result == StoreOutcomeUnknown:
		m.startCall(now, &pendingStoreCall{key: call.key, writeID: call.writeID, onResult: call.onResult, verifyWrite: true})
		return
	}
	call.onResult(now, result, value, version)
}
