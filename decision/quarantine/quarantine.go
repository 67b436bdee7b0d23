// Package quarantine tracks requests that are suspected of crashing engines.
// Agents and routers each keep a Table and exchange its entries by gossip. It
// is a pure state machine.
//
// A crash raises every request that was running to a suspect. Only the crash of
// an engine that ran a suspect alone proves anything, so that a neighbour of
// two crashes stays a suspect and is cleared by its first completion.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Level is how much is held against a request.
type Level uint8

// Levels.
const (
	// LevelClear means that nothing is held against the request.
	LevelClear Level = iota
	// LevelSuspect means that the request was running when an engine died. It
	// may only run alone.
	LevelSuspect
	// LevelQuarantined means that an engine died while it ran the request
	// alone. It may not run.
	LevelQuarantined
)

// Config are the parameters of a Table.
type Config struct {
	// Expiry is how long an entry lasts after its last change. Default 10 min.
	EntryTTL time.Duration
	// MaxEntries bounds the table; the oldest suspects are forgotten first.
	// Default 4096.
	MaxEntries int
	// Repeat is the number of times that an entry is handed to gossip after a
	// change. Default 8.
	SendsPerChange int
}

func (c *Config) setDefaults() {
	if c.EntryTTL == 0 {
		c.EntryTTL = 10 * time.Minute
	}
	if c.MaxEntries == 0 {
		c.MaxEntries = 4096
	}
	if c.SendsPerChange == 0 {
		c.SendsPerChange = 8
	}
}

// Report is an entry as it travels by gossip.
type Report struct {
	Fingerprint uint64
	Level       Level
	// Age is the time since the event that the report tells of.
	Age time.Duration
}

type entry struct {
	level Level
	// at is the time of the event that set the level.
	eventAt   time.Duration
	sendsLeft int
}

// Table is the state of one process. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	entries map[uint64]*entry
}

// New returns an empty table.
func New(cfg Config) *Table {
	cfg.setDefaults()
	return &Table{cfg: cfg, entries: map[uint64]*entry{}}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Level returns what is held against a fingerprint. Known is the suspicion
// that the request itself carries.
func (t *Table) Level(now time.Duration, fingerprint uint64, requestLevel uint32) Level {
	level := Level(min(requestLevel, uint32(LevelQuarantined)))
	e := t.entries[fingerprint]
	if e == nil || now-e.eventAt >= t.cfg.EntryTTL {
		return level
	}
	return max(level, e.level)
}

// EngineDied records that an engine died while it ran the requests, and returns
// the level of each. Alone is true when the engine ran a single suspect by
// design.
func (t *Table) EngineCrashed(now time.Duration, running []uint64, ranAlone bool) []Report {
	var reports []Report
	for _, f := range running {
		level := LevelSuspect
		if ranAlone && len(running) == 1 {
			level = LevelQuarantined
		}
		t.Merge(now, Report{Fingerprint: f, Level: level})
		reports = append(reports, Report{Fingerprint: f, Level: t.Level(now, f, 0)})
	}
	return reports
}

// Completed records that a request ran to its end and clears it.
func (t *Table) Completed(now time.Duration, fingerprint uint64) {
	e := t.entries[fingerprint]
	if e == nil || e.level != LevelSuspect {
		return
	}
	e.level, e.eventAt, e.sendsLeft = LevelClear, now, t.cfg.SendsPerChange
}

// Merge takes an entry of another process or of the request itself. It returns
// true when the fingerprint has become a suspect or quarantined here; a copy
// that still runs beside others should be stopped and run alone.
func (t *Table) Merge(now time.Duration, r Report) bool {
	eventAt := now - r.Age
	if r.Age < 0 || r.Age >= t.cfg.EntryTTL {
		return false
	}
	e := t.entries[r.Fingerprint]
	if e == nil || now-e.eventAt >= t.cfg.EntryTTL {
		if r.Level == LevelClear {
			return false
		}
		t.evictIfFull()
		t.entries[r.Fingerprint] = &entry{r.Level, eventAt, t.cfg.SendsPerChange}
		return true
	}
	switch {
	case r.Level > e.level && (e.level != LevelClear || eventAt > e.eventAt):
		raised := e.level != LevelQuarantined
		e.level, e.eventAt, e.sendsLeft = r.Level, max(eventAt, e.eventAt), t.cfg.SendsPerChange
		return raised
	case r.Level == LevelClear && e.level == LevelSuspect && eventAt > e.eventAt:
		e.level, e.eventAt, e.sendsLeft = LevelClear, eventAt, t.cfg.SendsPerChange
	case r.Level == e.level && eventAt > e.eventAt:
		e.eventAt = eventAt
	}
	return false
}

// makeRoom forgets the oldest entry of the lowest level when the table is full.
func (t *Table) evictIfFull() {
	if len(t.entries) < t.cfg.MaxEntries {
		return
	}
	var evicted uint64
	var candidate *entry
	for f, e := range t.entries {
		if candidate == nil || e.level < candidate.level || e.level == candidate.level && e.eventAt < candidate.eventAt {
			evicted, candidate = f, e
		}
	}
	delete(t.entries, evicted)
}

// Gossip returns at most limit entries that others may not know yet, newest
// first.
func (t *Table) PendingReports(now time.Duration, limit int) []Report {
	var fingerprints []uint64
	for f, e := range t.entries {
		if e.sendsLeft > 0 {
			fingerprints = append(fingerprints, f)
		}
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(t.entries[b].eventAt, t.entries[a].eventAt), cmp.Compare(a, b))
	})
	var reports []Report
	for _, f := range fingerprints[:min(limit, len(fingerprints))] {
		e := t.entries[f]
		e.sendsLeft--
		reports = append(reports, Report{f, e.level, now - e.eventAt})
	}
	return reports
}

// Tick forgets entries past their expiry.
func (t *Table) Tick(now time.Duration) {
	for f, e := range t.entries {
		if now-e.eventAt >= t.cfg.EntryTTL {
			delete(t.entries, f)
		}
	}
}

// Home returns the endpoint that alone should run a suspect: the first in the
// rendezvous order of the fingerprint. Copies of a suspect that arrive at
// different routers meet there, so that only one of them runs before the
// verdict.
func IsolationEndpoint(fingerprint uint64, endpoints []string) string {
	best, bestHash := "", uint64(0)
	for _, name := range endpoints {
		h := rendezvousHash(fingerprint, name)
		if best == "" || h > bestHash || h == bestHash && name < best {
			best, bestHash = name, h
		}
	}
	return best
}

func rendezvousHash(fingerprint uint64, endpoint string) uint64 {
	h := fingerprint ^ 0xcbf29ce484222325
	for i := range len(endpoint) {
		h = (h ^ uint64(endpoint[i])) * 0x100000001b3
	}
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
