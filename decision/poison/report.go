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
	// Begun means that an attempt with the part had begun its answer.
	Begun bool
}

// Report is what a router knows of a part, as it is sent to other routers. Reports may be
// lost, late, repeated and out of order.
type Report struct {
	Part uint64
	// Generation counts the sound runs that cleared the part. SoundAge is the time since
	// the last of them, or 0 if Generation is 0.
	Generation uint32
	SoundAge   time.Duration
	// Crashes are the newest crashes since that sound run.
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
	r := Report{Part: part, Generation: e.generation, Condemned: e.condemned}
	if e.generation > 0 {
		r.SoundAge = now - e.soundAt
	}
	for _, c := range e.crashes[max(0, len(e.crashes)-maxCrashesPerReport):] {
		r.Crashes = append(r.Crashes, Crash{c.endpoint, now - c.at, c.begun})
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
	if r.SoundAge < 0 || r.CondemnedAge < 0 || r.TestAge < 0 || r.Tests < 0 {
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
	if e.contradicts(now, r) {
		e.generation, e.soundAt = e.generation+1, e.ownSoundAt
		t.markChanged(now, r.Part, e)
		changes, touched = t.clear(r.Part, e, changes), true
	}
	if r.Condemned && r.Generation == e.generation && t.mergeCondemned(now, e, r) {
		touched = true
	}
	for _, c := range r.Crashes {
		if c.Age < 0 {
			continue
		}
		own := crash{c.Endpoint, now - c.Age, c.Begun}
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
	soundAt := now - r.SoundAge
	switch {
	case r.Generation > e.generation:
		e.generation, e.soundAt = r.Generation, soundAt
		t.markChanged(now, r.Part, e)
		return t.clear(r.Part, e, changes), true
	case r.Generation < e.generation:
		e.sendsLeft = max(e.sendsLeft, sendsToStale)
		t.unsent[r.Part] = e
	case r.Generation > 0:
		e.soundAt = min(e.soundAt, soundAt)
	}
	return changes, false
}

// contradicts reports whether this router saw the part sound after all the crashes for which
// another condemned it. That router did not know the sound run.
func (e *entry) contradicts(now time.Duration, r Report) bool {
	if !r.Condemned || r.Generation != e.generation {
		return false
	}
	lastAt := never
	for _, c := range r.Crashes {
		lastAt = max(lastAt, now-c.Age)
	}
	if len(r.Crashes) == 0 {
		lastAt = now - r.CondemnedAge
	}
	return e.ownSoundAt > lastAt
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
