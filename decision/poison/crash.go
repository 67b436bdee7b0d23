package poison

import (
	"cmp"
	"slices"
	"time"
)

// crash is a crash of an engine.
type crash struct {
	// endpoint is the hash of the endpoint's ID.
	endpoint uint64
	at       time.Duration
	evidence
}

// evidence tells how far the attempts with a part or, in Table.recent, with any part had got when
// the engine crashed.
type evidence struct {
	// before means that one had sent no output, and begun that such a one had begun its answer.
	before, begun bool
	// after means that one had sent output and proved nothing yet.
	after bool
}

func (e evidence) union(other evidence) evidence {
	return evidence{e.before || other.before, e.begun || other.begun, e.after || other.after}
}

// since returns what remains of the evidence of a crash after the runs that cleared the part.
func (e evidence) since(at time.Duration, output, sound clearance) evidence {
	if at <= output.last() {
		e.before, e.begun = false, false
	}
	if at <= sound.last() {
		e.after = false
	}
	return e
}

// insertCrash adds a crash to a list ordered by time and reports whether it is new or adds
// evidence. Of several reports of one crash the earliest time counts, because ages are too small
// by the transit time of a message.
func insertCrash(list []crash, c crash) (result []crash, added bool) {
	added = true
	if i := findCrash(list, c); i >= 0 {
		old := list[i]
		c.evidence = old.union(c.evidence)
		added = c.evidence != old.evidence
		list[i].evidence = c.evidence
		if old.at <= c.at {
			return list, added
		}
		list = slices.Delete(list, i, i+1)
	}
	return slices.Insert(list, search(list, c.at), c), added
}

// search returns the position of the first crash that is not before a time.
func search(list []crash, at time.Duration) int {
	i, _ := slices.BinarySearchFunc(list, at, func(c crash, at time.Duration) int { return cmp.Compare(c.at, at) })
	return i
}

// findCrash returns the position of a report of the same crash, or -1.
func findCrash(list []crash, c crash) int {
	for i := search(list, c.at-crashMergeWindow); i < len(list) && list[i].at < c.at+crashMergeWindow; i++ {
		if sameCrash(list[i], c) {
			return i
		}
	}
	return -1
}

func sameCrash(a, b crash) bool {
	return a.endpoint == b.endpoint && (a.at-b.at).Abs() < crashMergeWindow
}

// moments returns the number of moments at which the crashes happened.
func moments(crashes []crash) int {
	n, startedAt := 0, never
	for _, c := range crashes {
		if c.at-startedAt >= crashMoment {
			n, startedAt = n+1, c.at
		}
	}
	return n
}
