package poison

import (
	"cmp"
	"slices"
	"time"
)

// counted returns the crashes that count against the part: those in which its attempt had
// begun or none is known to have begun, and, for a part that was seen sound, in which its
// attempt had begun and no condemned part took part that never was sound. Connections that
// break before an answer begins also show lost links, at all engines one after the other. An
// attempt with output had begun.
func (t *Table) counted(e *entry) []crash {
	list := make([]crash, 0, len(e.crashes))
	for _, c := range e.crashes {
		c.before = c.before && t.countsBeforeOutput(e, c)
		c.after = c.after && (!e.seenSound(true) || !t.causedByPill(c, true))
		if c.before || c.after {
			list = append(list, c)
		}
	}
	return list
}

// countsBeforeOutput reports whether a crash in which an attempt with the part had no output
// counts against it.
func (t *Table) countsBeforeOutput(e *entry, c crash) bool {
	if i := findCrash(t.recent, c); !c.begun && i >= 0 && t.recent[i].begun {
		return false
	}
	return !e.seenSound(false) || c.begun && !t.causedByPill(c, false)
}

// beforeOutput returns those of some crashes in which an attempt with the part had no output.
func beforeOutput(crashes []crash) []crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool { return !c.before })
}

// causedByPill reports whether a condemned part that was never seen sound took part in a
// crash.
func (t *Table) causedByPill(c crash, afterOutput bool) bool {
	for _, e := range t.condemned {
		if !e.seenSound(afterOutput) && findCrash(e.crashes, c) >= 0 {
			return true
		}
	}
	return false
}

// otherCrashes returns the number of known crashes without the part since the first with it.
func (t *Table) otherCrashes(own []crash) int {
	if len(own) == 0 {
		return 0
	}
	other := 0
	for _, c := range t.recent[search(t.recent, own[0].at):] {
		if findCrash(own, c) < 0 {
			other++
		}
	}
	return other
}

// requiredMoments returns the number of moments after which a part with the given counted
// crashes is condemned. The more crashes happen without the part, the likelier it was
// present by chance at the others.
func (t *Table) requiredMoments(e *entry, counted []crash) int {
	own, other := len(counted), t.otherCrashes(counted)
	switch {
	case e.seenSound(false) || other > own:
		return maxCrashMoments
	case 2*other > own:
		return minCrashMoments + 1
	}
	return minCrashMoments
}

// requiredMomentsAfterOutput is requiredMoments for crashes that may have come after output.
// Any stream in its beginning may be a victim of another request, so that less than five crashes
// never suffice. Five after output, at less moments, do if the part took part in at least half of
// all crashes.
func (t *Table) requiredMomentsAfterOutput(e *entry, counted []crash) int {
	after := 0
	for _, c := range counted {
		if c.after {
			after++
		}
	}
	if e.seenSound(true) || after < maxCrashMoments || t.otherCrashes(counted) > len(counted) {
		return maxCrashMoments
	}
	return minCrashMoments
}

// judge condemns those of the parts against which the evidence suffices, and explains the
// crashes of condemned parts anew. It is called after all changes of an observation or a
// message, so that parts are compared on the same evidence.
func (t *Table) judge(now time.Duration, parts []uint64, changes []Change) []Change {
	for _, part := range parts {
		e := t.entries[part]
		switch {
		case e == nil:
			continue
		case e.condemned:
			t.unexplained = true
			continue
		case moments(e.crashes) < minCrashMoments:
			continue
		}
		counted := t.counted(e)
		before := beforeOutput(counted)
		if moments(counted) >= t.requiredMomentsAfterOutput(e, counted) || moments(before) >= t.requiredMoments(e, before) {
			t.condemn(now, part, e, now)
		}
	}
	return t.explain(changes)
}

// condemn condemns a part, which is not refused before explain has seen it.
func (t *Table) condemn(now time.Duration, part uint64, e *entry, at time.Duration) {
	e.condemned, e.condemnedAt, e.explained, e.tests, e.testedAt = true, at, true, 0, never
	t.condemned[part] = e
	t.unexplained = true
	t.markChanged(now, part, e)
}

// explain decides for each condemned part whether its crashes are attributed to another, if
// anything changed about condemned parts.
func (t *Table) explain(changes []Change) []Change {
	if !t.unexplained {
		return changes
	}
	t.unexplained = false
	for part, e := range t.condemned {
		explained := t.explained(part, e)
		if explained == e.explained {
			continue
		}
		e.explained = explained
		kind := Condemned
		if explained {
			kind = Explained
		}
		changes = append(changes, t.change(part, e, kind))
	}
	for part, e := range t.condemned {
		e.companions = e.companions[:0]
		for otherPart, other := range t.condemned {
			if otherPart != part && other.refused() && alwaysTogether(e, other) {
				e.companions = append(e.companions, otherPart)
			}
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Part, b.Part) })
	return changes
}

func (t *Table) explained(part uint64, e *entry) bool {
	if moments(e.crashes) >= minCrashMoments && moments(t.counted(e)) < minCrashMoments {
		return true
	}
	for _, c := range e.crashes {
		if !t.explainedByOther(part, e, c) {
			return false
		}
	}
	return len(e.crashes) > 0
}

// explainedByOther reports whether a crash of a condemned part is attributed to another that
// takes part in more crashes. A part that crashes engines before output explains no others by the
// streams with it that broke off.
func (t *Table) explainedByOther(part uint64, e *entry, c crash) bool {
	afterOutput := e.crashedAfterOutput()
	for otherPart, other := range t.condemned {
		if otherPart == part || other.seenSound(afterOutput) && !e.seenSound(afterOutput) {
			continue
		}
		own, others := e.crashes, other.crashes
		if !afterOutput {
			others = beforeOutput(others)
		}
		if len(others) > len(own) && findCrash(others, c) >= 0 {
			return true
		}
	}
	return false
}

// alwaysTogether reports whether two parts took part in the same crashes, as far as there is
// evidence of the same kind against both.
func alwaysTogether(a, b *entry) bool {
	crashesA, crashesB := a.crashes, b.crashes
	if a.crashedAfterOutput() != b.crashedAfterOutput() {
		crashesA, crashesB = beforeOutput(crashesA), beforeOutput(crashesB)
	}
	return len(crashesA) == len(crashesB) && containsAll(crashesB, crashesA)
}

func containsAll(list, crashes []crash) bool {
	for _, c := range crashes {
		if findCrash(list, c) < 0 {
			return false
		}
	}
	return true
}
