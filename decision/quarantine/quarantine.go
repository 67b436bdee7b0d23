// Package quarantine tracks requests that are suspected of crashing engines.
// Each agent and router has a Table and exchanges its entries by gossip. Table and
// Gate are pure state machines.
//
// A crash makes every request that was running a suspect. Only the crash of an
// engine that ran a suspect alone proves that the request caused it. A request that
// merely ran during two crashes therefore stays a suspect, and its first completion
// clears it.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Level is the degree of suspicion against a request.
type Level uint8

// Levels.
const (
	// LevelClear means that the request is not suspected.
	LevelClear Level = iota
	// LevelSuspect means that the request was running when an engine crashed. It
	// may only run alone.
	LevelSuspect
	// LevelQuarantined means that an engine crashed while it ran only this request.
	// The request must not run.
	LevelQuarantined
)

// Config holds the parameters of a Table.
type Config struct {
	// EntryTTL is how long an entry is stored after its last event. Default 10 min.
	EntryTTL time.Duration
	// MaxEntries bounds the table. The oldest entry of the lowest level is evicted
	// first. Default 4096.
	MaxEntries int
	// SendsPerChange is the number of times that PendingReports returns an entry
	// after a change of its level. Default 8.
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

// Report is an entry as it is sent by gossip.
type Report struct {
	Fingerprint uint64
	Level       Level
	// Age is the time since the event that set the level.
	Age time.Duration
}

type entry struct {
	level Level
	// eventAt is the time of the last event that set or confirmed the level.
	eventAt   time.Duration
	sendsLeft int
}

// Table holds the suspicions that one process knows. It is not safe for concurrent
// use.
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

// Level returns the level of a fingerprint, which is at least requestLevel, the
// level that the request itself carries.
func (t *Table) Level(now time.Duration, fingerprint uint64, requestLevel uint32) Level {
	level := Level(min(requestLevel, uint32(LevelQuarantined)))
	e := t.entries[fingerprint]
	if e == nil || now-e.eventAt >= t.cfg.EntryTTL {
		return level
	}
	return max(level, e.level)
}

// RecordEngineCrash records that an engine crashed while it ran the requests, and returns
// the level of each. ranAlone is true when the engine was reserved for a single
// suspect.
func (t *Table) RecordEngineCrash(now time.Duration, running []uint64, ranAlone bool) []Report {
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

// RecordCompletion records that a request completed. It clears a suspect, but does not
// release a quarantined request.
func (t *Table) RecordCompletion(now time.Duration, fingerprint uint64) {
	e := t.entries[fingerprint]
	if e == nil || e.level != LevelSuspect {
		return
	}
	e.level, e.eventAt, e.sendsLeft = LevelClear, now, t.cfg.SendsPerChange
}

// Merge adds an entry of another process or of the request itself. It returns true
// when this made the fingerprint a suspect or quarantined. The caller should then stop
// an attempt of the request that runs at the same time as others, so that the request
// can run alone.
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

// evictIfFull removes the oldest entry of the lowest level when the table is full.
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

// PendingReports returns at most limit entries that other processes may not know
// yet, newest first.
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

// Tick removes expired entries.
func (t *Table) Tick(now time.Duration) {
	for f, e := range t.entries {
		if now-e.eventAt >= t.cfg.EntryTTL {
			delete(t.entries, f)
		}
	}
}

// IsolationEndpoint returns the only endpoint that should run a suspect: the one
// with the highest rendezvous hash for the fingerprint. Copies of a suspect that
// arrive at different routers are sent to the same endpoint, so that only one of
// them runs before the suspicion is confirmed or cleared.
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

// rendezvousHash is FNV-1a over the endpoint, seeded with the fingerprint, with a
// final mix of the bits.
func rendezvousHash(fingerprint uint64, endpoint string) uint64 {
	h := fingerprint ^ 0xcbf29ce484222325
	for i := range len(endpoint) {
		h = (h ^ uint64(endpoint[i])) * 0x100000001b3
	}
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
