package poison

import (
	"slices"
	"time"
)

// clearance is what is known of the runs that proved something about a part.
type clearance struct {
	// generation counts the runs that cleared the part, and at is the time of the last of
	// them. Routers order clearances by generation, because times that are passed on as ages
	// grow by the transit time of each message.
	generation uint32
	at         time.Duration
	// ownAt is the time of the last such run at this router while the part was in the table.
	ownAt time.Duration
}

// clearanceOf returns the clearance by a run of this router at a time, or never.
func clearanceOf(at time.Duration) clearance {
	c := clearance{at: at, ownAt: at}
	if at > never {
		c.generation = 1
	}
	return c
}

// last returns the time up to which crashes do not count.
func (c *clearance) last() time.Duration { return max(c.at, c.ownAt) }

// raise records a run that clears the part.
func (c *clearance) raise(at time.Duration) { c.generation, c.at = c.generation+1, at }

// merge adds what another router knows. It reports whether that is newer or older.
func (c *clearance) merge(generation uint32, at time.Duration) (newer, older bool) {
	switch {
	case generation > c.generation:
		c.generation, c.at = generation, at
		return true, false
	case generation < c.generation:
		return false, true
	case generation > 0:
		c.at = min(c.at, at)
	}
	return false, false
}

// ownRuns are the times of the last run with output and of the last sound run of a part, or
// never.
type ownRuns struct{ output, sound time.Duration }

// ObserveOutput records that an attempt with the parts has proved ProvesOutput. It is called once
// for each attempt.
func (t *Table) ObserveOutput(now time.Duration, parts []uint64) []Change {
	return t.observeRun(now, parts, false)
}

// ObserveSound records that an attempt has proved its parts sound. It is called once for each
// attempt, when Run reports it: a run that lasts long says nothing about the time after its
// beginning.
func (t *Table) ObserveSound(now time.Duration, parts []uint64) []Change {
	return t.observeRun(now, parts, true)
}

func (t *Table) observeRun(now time.Duration, parts []uint64, sound bool) []Change {
	var changes []Change
	var touched []uint64
	for _, part := range parts {
		t.recordRun(now, part, sound)
		e := t.entries[part]
		if e == nil {
			continue
		}
		e.output.ownAt = now
		if sound {
			e.sound.ownAt = now
		}
		if !sound && e.staysCondemned() || !e.condemned && !e.crashedBeforeOutput() && !(sound && e.crashedAfterOutput()) {
			continue
		}
		e.output.raise(now)
		if sound {
			e.sound.raise(now)
		}
		changes = t.clear(part, e, sound, changes)
		t.markChanged(now, part, e)
		touched = append(touched, part)
	}
	return t.judge(now, touched, changes)
}

// staysCondemned reports whether output alone does not clear the part: engines have crashed on it
// after output.
func (e *entry) staysCondemned() bool { return e.condemned && e.crashedAfterOutput() }

// recordRun remembers a run of a part that may become a suspect later.
func (t *Table) recordRun(now time.Duration, part uint64, sound bool) {
	runs := t.lastRuns(part)
	runs.output = now
	if sound {
		runs.sound = now
	}
	if len(t.sound) >= t.cfg.MaxParts {
		t.sound, t.olderSound = map[uint64]ownRuns{}, t.sound
	}
	t.sound[part] = runs
}

// lastRuns returns the last runs of a part at this router.
func (t *Table) lastRuns(part uint64) ownRuns {
	if runs, ok := t.sound[part]; ok {
		return runs
	}
	if runs, ok := t.olderSound[part]; ok {
		return runs
	}
	return ownRuns{never, never}
}

// clear removes what is known against a part from the time before its last run with output or, if
// sound is true, its last sound run.
func (t *Table) clear(part uint64, e *entry, sound bool, changes []Change) []Change {
	if !sound && e.staysCondemned() {
		return changes
	}
	for i, c := range e.crashes {
		e.crashes[i].evidence = c.since(c.at, e.output, e.sound)
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return c.evidence == evidence{} })
	if !e.condemned {
		return changes
	}
	if e.refused() {
		changes = append(changes, t.change(part, e, Cleared))
	}
	e.condemned, e.explained, e.companions, e.tests, e.testedAt = false, false, nil, 0, never
	delete(t.condemned, part)
	t.unexplained = true
	return changes
}
