package versionpin

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// Config holds the durations of a Machine.
type Config struct {
	// SpreadTime is the time since the last contact with the store or another router after
	// which a router begins no streams.
	SpreadTime time.Duration
	// OutageSpreadTime is the time since the store was lost after which a router has learned
	// which other routers may have changed a table: all that have run for PromiseTime.
	OutageSpreadTime time.Duration
	// MinChangeInterval is the time between two changes because of shifted capacity, and
	// MinPruneInterval that since the last change before versions are removed whose streams
	// have ended.
	MinChangeInterval, MinPruneInterval time.Duration
	// PromiseTime is how long a router that does not reach the store changes no table after it
	// has told another one its own.
	PromiseTime time.Duration
}

// minShift is the number of slots by which a version's share may differ from its capacity,
// a tenth of all. Endpoints that crash and come back move no slots.
const minShift = Slots / 10

// Machine is a router's knowledge of the table of one service. It is not safe for
// concurrent use. Times are those of a clock that also counts the time for which the host
// was suspended.
type Machine struct {
	cfg Config
	// table is the newest table that this router has seen while it was in force, or nil.
	table *Table
	// stored is the table in the store, or nil, and position that of its object, with
	// revision 0 if the store has none.
	stored   *Table
	position fleet.StorePosition
	// era is the store's latest era.
	era uint64
	// settledSince is since when this router knows each slot with its current version and
	// no further possible one.
	settledSince [Slots]time.Duration
	lastChangeAt time.Duration
	// lastContact is that with the store or another router, and confirmedAt the begin of the
	// last read of the table from the store. storeLost is true since storeLostAt.
	lastContact, confirmedAt, storeLostAt time.Duration
	storeLost                             bool
	// confirmed is true once this router has read the table from the store itself.
	confirmed bool
	// others are the other routers, or nil until they are known, and promises what they have
	// promised.
	others   []string
	promises map[string]receivedPromise
	// promisedUntil is until when this router changes no table.
	promisedUntil time.Duration
	// unsureOf is the position that a write of this router replaces whose result is not known,
	// or nil. The store may still execute it.
	unsureOf *fleet.StorePosition
	// unsureBefore is true if an earlier write was unsure when the last one began.
	unsureBefore bool
	// lifetimes are those of the streams of which this router knows. lifetimesKnownSince is since
	// when it knows the lifetimes of all streams that begin, 0 before it knows a configuration.
	lifetimes           lifetimes
	lifetimesKnownSince time.Duration
}

// Promise is that of a router which does not reach the store, to change no table for
// Config.PromiseTime. Era and Sequence are those of the newest table that it knows.
type Promise struct{ Era, Sequence uint64 }

type receivedPromise struct {
	Promise
	until time.Duration
}

// NewMachine returns a Machine that knows no table.
func NewMachine(cfg Config) *Machine {
	return &Machine{cfg: cfg, promises: map[string]receivedPromise{}, lifetimes: lifetimes{spreadTime: cfg.SpreadTime}}
}

// SetRouters replaces the names of all other routers that may run.
func (m *Machine) SetRouters(others []string) { m.others = append([]string{}, others...) }

// GivePromise promises that this router changes no table for some time. It returns false, and
// promises nothing, if it does not know the table that it or an earlier process of its name has
// written or used last.
func (m *Machine) GivePromise(now time.Duration) (Promise, bool) {
	if m.table == nil || !m.confirmed || m.unsureOf != nil {
		return Promise{}, false
	}
	m.promisedUntil = max(m.promisedUntil, now+m.cfg.PromiseTime)
	return Promise{Era: m.table.Era, Sequence: m.table.Sequence}, true
}

// ObservePromise records the promise of another router to a call that began at a time.
func (m *Machine) ObservePromise(router string, begin time.Duration, p Promise) {
	if until := begin + m.cfg.PromiseTime; until >= m.promises[router].until {
		m.promises[router] = receivedPromise{p, until}
	}
}

// promisedByAll reports whether no router has begun, or begins before now, a stream by a table
// that this one does not know. All routers have promised to change none, so that the newest table
// in the store is that of the router which wrote it, and none of them knows a newer one than
// this router.
func (m *Machine) promisedByAll(now time.Duration) bool {
	if m.table == nil || !m.confirmed || m.unsureOf != nil || m.others == nil {
		return false
	}
	return !slices.ContainsFunc(m.others, func(name string) bool {
		p := m.promises[name]
		return now >= p.until || p.Era > m.table.Era || p.Era == m.table.Era && p.Sequence > m.table.Sequence
	})
}

// ObserveWriteBegun records that this router writes a proposal. Until it knows the result, or
// that another table has replaced the one at that position, it promises nothing.
func (m *Machine) ObserveWriteBegun(p Proposal) {
	position := p.Position
	m.unsureBefore, m.unsureOf = m.unsureOf != nil, &position
}

// ObserveWriteRefused records that the proposal was not written and never will be. Conflict
// means that another object had replaced the one of the proposal, so that no earlier write of
// it can succeed either.
func (m *Machine) ObserveWriteRefused(conflict bool) {
	if conflict || !m.unsureBefore {
		m.unsureOf = nil
	}
}

// Confirmed reports whether this router has read the table from the store itself.
func (m *Machine) Confirmed() bool { return m.confirmed }

// Table returns the table in force, or nil if this router knows none.
func (m *Machine) Table() *Table { return m.table }

// ObserveContact records that the store or another router has told what it knows.
func (m *Machine) ObserveContact(now time.Duration) { m.lastContact = now }

// ObserveStoreLost records that the store does not answer.
func (m *Machine) ObserveStoreLost(now time.Duration) {
	if !m.storeLost {
		m.storeLost, m.storeLostAt = true, now
	}
}

// ObserveRead records the table as it was in the store at some time since begin, as
// ObserveStored does.
func (m *Machine) ObserveRead(begin, now time.Duration, t *Table, position fleet.StorePosition) {
	m.ObserveStored(now, t, position)
	if position.Era == m.era {
		m.confirmedAt, m.lastContact, m.storeLost, m.confirmed = max(m.confirmedAt, begin), now, false, true
	}
}

// ObserveStored records the table as it is in the store, nil if there is none, and its
// position. Its revision is 0 if there is none; its era is the store's latest one. A table
// that was written in an earlier era may be that of a copy, and lack changes: it is not in
// force for a router that has not seen it before that era, and replaces no other table.
func (m *Machine) ObserveStored(now time.Duration, t *Table, position fleet.StorePosition) {
	if position.Era < m.era || position.Revision > 0 && position.Before(m.position) {
		return
	}
	m.era, m.stored, m.position = position.Era, t, position
	if m.unsureOf != nil && m.unsureOf.Before(position) {
		m.unsureOf = nil
	}
	if t == nil || t.Era < m.era || m.table != nil && m.table.Era == t.Era && m.table.Sequence >= t.Sequence {
		return
	}
	m.adopt(now, t)
}

// adopt puts a table in force.
func (m *Machine) adopt(now time.Duration, t *Table) {
	old := m.table
	if old != nil && old.Era < t.Era {
		t = t.withUnknownOf(old)
	}
	if m.lifetimesKnownSince > 0 && (old == nil || t.StreamLifetime > old.StreamLifetime) {
		m.lifetimesKnownSince = now
	}
	m.table = t
	for slot := range Slots {
		switch is := t.Versions[t.current[slot]]; {
		case old == nil, old.Versions[old.current[slot]] != is, t.gained(old, slot):
			m.settledSince[slot] = now
		}
	}
}

// withUnknownOf returns the table, in which slots lack no version of an older table: what
// the writer of this table did not know is unknown.
func (t *Table) withUnknownOf(old *Table) *Table {
	out := *t
	out.StreamLifetime = max(out.StreamLifetime, old.StreamLifetime)
	for slot := range Slots {
		for _, v := range old.possibleVersions(slot) {
			if !slices.Contains(t.possibleVersions(slot), v) {
				out.possible[slot] |= unknownBit
			}
		}
		out.possible[slot] |= old.possible[slot] & unknownBit
	}
	return &out
}

// gained reports whether a slot has a possible version that it had not in another table.
func (t *Table) gained(old *Table, slot int) bool {
	if t.possible[slot]&^old.possible[slot]&unknownBit != 0 {
		return true
	}
	before := old.possibleVersions(slot)
	return slices.ContainsFunc(t.possibleVersions(slot), func(v string) bool { return !slices.Contains(before, v) })
}

// possibleVersions returns the named versions at which streams of a slot may have begun.
func (t *Table) possibleVersions(slot int) []string {
	var out []string
	for i, v := range t.Versions {
		if t.possible[slot]&(1<<i) != 0 {
			out = append(out, v)
		}
	}
	return out
}

// Begin returns the versions at which a new stream may begin, in order of preference. It
// returns none while no table is in force, or without contact.
func (m *Machine) Begin(now time.Duration, stream uint64) []string {
	if m.table == nil || now-m.lastContact > m.cfg.SpreadTime {
		return nil
	}
	versions, _ := m.table.Possible(stream)
	return versions
}

// Knowledge is what the table tells about the version of a stream.
type Knowledge int

// Knowledge about a stream.
const (
	// Certain means that the stream began at the version.
	Certain Knowledge = iota
	// NeedsRecord means that only a record can tell.
	NeedsRecord
	// NeedsRead means that the table has to be read from the store first. While the store
	// is lost, the version is not known.
	NeedsRead
)

// Resume returns the version at which a stream began, if the table tells. The router got the
// request at arrivedAt: a stream may begin as soon as its router knows of a change of the
// table, so that this router must have read the table since. If the store was lost long enough
// to have learned of all other routers, it is enough that all of them promise not to change it.
func (m *Machine) Resume(now, arrivedAt time.Duration, stream uint64) (string, Knowledge) {
	unchanged := m.storeLost && now-m.storeLostAt >= m.cfg.OutageSpreadTime && m.promisedByAll(now)
	switch {
	case m.confirmedAt < arrivedAt && !unchanged:
		return "", NeedsRead
	case m.table == nil:
		return "", NeedsRecord
	}
	versions, unknown := m.table.Possible(stream)
	if unknown || len(versions) > 1 {
		return "", NeedsRecord
	}
	return versions[0], Certain
}

// ResumeUnnamed returns the version of all live streams, for a stream whose caller does not
// name the request that began it.
func (m *Machine) ResumeUnnamed(now, arrivedAt time.Duration) (string, Knowledge) {
	version, knowledge := m.Resume(now, arrivedAt, 0)
	for slot := uint64(1); slot < Slots && knowledge == Certain; slot++ {
		if v, k := m.Resume(now, arrivedAt, slot); k != Certain || v != version {
			return "", NeedsRecord
		}
	}
	return version, knowledge
}

// Proposal is a table to write.
type Proposal struct {
	Table *Table
	// Position is that of the object to replace. Revision 0 means to create it.
	Position fleet.StorePosition
}

// Circumstances are what a router knows when it may change the table.
type Circumstances struct {
	Capacity Capacity
	// Alone means that no other router has a table in force, as far as this one can tell.
	Alone bool
	// Restarted means that the deployment has run before, so that streams may have begun
	// before the first table.
	Restarted bool
	// RunningFor is the time since this process started. One before it may have promised to
	// change no table.
	RunningFor time.Duration
}

// Propose returns the table that should be written now, if any.
func (m *Machine) Propose(now time.Duration, c Circumstances) (Proposal, bool) {
	if c.Capacity.total() == 0 {
		return Proposal{}, false
	}
	if m.table == nil {
		t := newTable(c.Capacity, m.era, c.Restarted || m.stored != nil)
		if m.stored != nil {
			t.Sequence = m.stored.Sequence + 1
		}
		t.StreamLifetime = m.StreamLifetime(now)
		return Proposal{t, m.position}, c.Alone
	}
	next := m.table.clone()
	next.Era = m.era
	changed := m.stored == nil || m.stored.Era < m.era
	if now < m.promisedUntil || c.RunningFor < m.cfg.PromiseTime {
		// The same table may be written again in a new era of the store.
		return Proposal{next, m.position}, changed
	}
	unchangedFor := now - m.lastChangeAt
	next.StreamLifetime = m.StreamLifetime(now)
	if m.stored != nil {
		// A longer lifetime is written at once: this router may die.
		rises, falls := next.StreamLifetime > m.stored.StreamLifetime, next.StreamLifetime < m.stored.StreamLifetime
		changed = changed || rises || falls && unchangedFor >= m.cfg.MinPruneInterval
	}
	// Only the table in force tells which slots may be pruned, so that this comes first.
	if unchangedFor >= m.cfg.MinPruneInterval && m.prune(now, next) {
		changed = true
	}
	if must, atOnce := m.mustShift(c.Capacity); must && (unchangedFor >= m.cfg.MinChangeInterval || atOnce) {
		next.assign(c.Capacity)
		changed = true
	}
	return Proposal{next, m.position}, changed
}

// ObserveWritten records that a proposal was written.
func (m *Machine) ObserveWritten(now time.Duration, t *Table, position fleet.StorePosition) {
	m.lastChangeAt, m.unsureOf = now, nil
	m.ObserveStored(now, t, position)
}

// mustShift reports whether the shares of the versions differ from their capacity, and
// whether a version with slots has lost all of it.
func (m *Machine) mustShift(c Capacity) (must, atOnce bool) {
	next := m.table.clone()
	next.nameVersions(c)
	targets, counts := next.targets(c), next.counts()
	for i, v := range next.Versions {
		difference := targets[i] - counts[i]
		must = must || difference >= minShift || -difference >= minShift || (targets[i] == 0) != (counts[i] == 0)
		atOnce = atOnce || counts[i] > 0 && c[v] == 0
	}
	return must, atOnce
}

// prune removes from the slots of a copy of the table in force the versions whose streams
// have all ended. It reports whether there are any.
func (m *Machine) prune(now time.Duration, t *Table) bool {
	pruned := false
	for slot := range Slots {
		if !m.table.certain(slot) && now-m.settledSince[slot] >= t.StreamLifetime+m.cfg.SpreadTime {
			t.possible[slot] = 1 << t.current[slot]
			pruned = true
		}
	}
	return pruned
}
