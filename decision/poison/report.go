package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sendsPerChange is the number of messages that carry a changed part. A router sends
	// some fifty messages a second to others that it chooses at random.
	sendsPerChange = 12
	// sendsToStale is the number of messages that carry a part after another router sent
	// an older state of it.
	sendsToStale = 3
	// maxCondemnedPerMessage bounds the condemned parts that every message repeats, so that
	// a restarted router learns them from the first.
	maxCondemnedPerMessage = 16
	// maxCrashesPerReport bounds the crashes in a report.
	maxCrashesPerReport = 16
)

// Crash is a crash as it is sent to other routers.
type Crash struct {
	// Endpoint is a hash of the endpoint's ID.
	Endpoint uint64
	Age      time.Duration
	// Begun means that an attempt with the part had begun its answer and sent no output,
	// AfterOutput that one had sent output, and OnlyAfterOutput that all had.
	Begun, AfterOutput, OnlyAfterOutput bool
}

// Report is what a router knows of a part, as it is sent to other routers. Reports may be
// lost, late, repeated and out of order.
type Report struct {
	Part uint64
	// Generation counts the runs with output that cleared the part. SoundAge is the time since
	// the last of them, or 0 if Generation is 0. ProofGeneration and ProofAge are the same for
	// the runs that proved it sound.
	Generation, ProofGeneration uint32
	SoundAge, ProofAge          time.Duration
	// Crashes are the newest crashes since these runs.
	Crashes []Crash
	// Condemned means that the evidence sufficed to refuse the part, CondemnedAge ago.
	Condemned    bool
	CondemnedAge time.Duration
	// Tests is the number of tests started since then, and TestAge the time since the last one
	// started, or 0 if there was none.
	Tests   int
	TestAge time.Duration
}

// markChanged makes the next messages carry the part.
func (t *Table) markChanged(now time.Duration, part uint64, e *entry) {
	e.changedAt, e.sendsLeft = now, sendsPerChange
	t.unsent[part] = e
}

// Pending returns at most limit reports for the next message: condemned parts, and parts
// that other routers may not know yet, those with most evidence first.
func (t *Table) Pending(now time.Duration, limit int) []Report {
	type candidate struct {
		part    uint64
		moments int
		*entry
	}
	var condemned, changed []candidate
	for part, e := range t.condemned {
		if e.alive(now) {
			condemned = append(condemned, candidate{part, 0, e})
		}
	}
	for part, e := range t.unsent {
		if !e.condemned {
			changed = append(changed, candidate{part, moments(e.crashes), e})
		}
	}
	slices.SortFunc(condemned, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.part, b.part))
	})
	slices.SortFunc(changed, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.moments, a.moments), cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.part, b.part))
	})
	chosen := append(condemned[:min(len(condemned), maxCondemnedPerMessage)], changed...)
	chosen = chosen[:min(limit, len(chosen))]
	reports := make([]Report, 0, len(chosen))
	for _, c := range chosen {
		c.sentAt, c.sendsLeft = now, max(0, c.sendsLeft-1)
		if c.sendsLeft == 0 {
			delete(t.unsent, c.part)
		}
		reports = append(reports, c.report(now, c.part))
	}
	return reports
}

func (e *entry) report(now time.Duration, part uint64) Report {
	r := Report{Part: part, Generation: e.output.generation, ProofGeneration: e.sound.generation, Condemned: e.condemned}
	if r.Generation > 0 {
		r.SoundAge = now - e.output.at
	}
	if r.ProofGeneration > 0 {
		r.ProofAge = now - e.sound.at
	}
	for _, c := range e.crashes[max(0, len(e.crashes)-maxCrashesPerReport):] {
		r.Crashes = append(r.Crashes, Crash{c.endpoint, now - c.at, c.begun, c.after, !c.before})
	}
	if e.condemned {
		r.CondemnedAge = now - e.condemnedAt
		if e.tests > 0 {
			r.Tests, r.TestAge = e.tests, now-e.testedAt
		}
	}
	return r
}

// Merge adds the reports of a message of another router and returns what changed by them.
func (t *Table) Merge(now time.Duration, reports ...Report) []Change {
	var changes []Change
	var touched []uint64
	for _, r := range reports {
		var changed bool
		if changes, changed = t.mergeReport(now, r, changes); changed {
			touched = append(touched, r.Part)
		}
	}
	return t.judge(now, touched, changes)
}

// mergeReport adds a report and returns whether the part must be judged anew.
func (t *Table) mergeReport(now time.Duration, r Report, changes []Change) ([]Change, bool) {
	if r.SoundAge < 0 || r.ProofAge < 0 || r.CondemnedAge < 0 || r.TestAge < 0 || r.Tests < 0 {
		return changes, false
	}
	e := t.entries[r.Part]
	if e == nil {
		if len(r.Crashes) == 0 && !r.Condemned && r.SoundAge >= evidenceTTL {
			return changes, false
		}
		e = t.entry(now, r.Part)
	}
	changes, touched := t.mergeGeneration(now, e, r, changes)
	if contradicted, sound := e.contradicts(now, r); contradicted {
		e.output.raise(e.output.ownAt)
		if sound {
			e.sound.raise(e.sound.ownAt)
		}
		t.markChanged(now, r.Part, e)
		changes, touched = t.clear(r.Part, e, sound, changes), true
	}
	if r.Condemned && e.sameClearances(r) && t.mergeCondemned(now, e, r) {
		touched = true
	}
	for _, c := range r.Crashes {
		if c.Age < 0 {
			continue
		}
		own := crash{c.Endpoint, now - c.Age, evidence{!c.OnlyAfterOutput, c.Begun, c.AfterOutput}}
		t.addRecent(now, own)
		if e.addCrash(now, own) {
			t.markChanged(now, r.Part, e)
			touched = true
		}
	}
	return changes, touched
}

// mergeGeneration clears a part that was found sound. Crashes after the sound run still
// count, whatever the generation that their reporter knew.
func (t *Table) mergeGeneration(now time.Duration, e *entry, r Report, changes []Change) ([]Change, bool) {
	output, staleOutput := e.output.merge(r.Generation, now-r.SoundAge)
	sound, staleSound := e.sound.merge(r.ProofGeneration, now-r.ProofAge)
	if staleOutput || staleSound {
		e.sendsLeft = max(e.sendsLeft, sendsToStale)
		t.unsent[r.Part] = e
	}
	if !output && !sound {
		return changes, false
	}
	t.markChanged(now, r.Part, e)
	return t.clear(r.Part, e, sound, changes), true
}

// sameClearances reports whether another router knows the same runs that cleared the part.
func (e *entry) sameClearances(r Report) bool {
	return r.Generation == e.output.generation && r.ProofGeneration == e.sound.generation
}

// contradicts reports whether a run of this router, after all the crashes for which another
// condemned the part, got further than those that crashed, and whether it was sound. The other
// router did not know that run.
func (e *entry) contradicts(now time.Duration, r Report) (contradicted, sound bool) {
	if !r.Condemned || !e.sameClearances(r) {
		return false, false
	}
	lastAt := never
	for _, c := range r.Crashes {
		lastAt = max(lastAt, now-c.Age)
		sound = sound || c.AfterOutput
	}
	if len(r.Crashes) == 0 {
		lastAt = now - r.CondemnedAge
	}
	if sound {
		return e.sound.ownAt > lastAt, true
	}
	return e.output.ownAt > lastAt, false
}

// mergeCondemned reports whether the part was condemned by it.
func (t *Table) mergeCondemned(now time.Duration, e *entry, r Report) bool {
	at, added := now-r.CondemnedAge, !e.condemned
	if added {
		t.condemn(now, r.Part, e, at)
	}
	e.condemnedAt = min(e.condemnedAt, at)
	if r.Tests == 0 {
		return added
	}
	testedAt := now - r.TestAge
	switch {
	case r.Tests > e.tests:
		e.tests, e.testedAt = r.Tests, testedAt
		t.markChanged(now, r.Part, e)
	case r.Tests == e.tests:
		e.testedAt = min(e.testedAt, testedAt)
	}
	return added
}
