package poison

import (
	"slices"
	"time"
)

const (
	// firstTestDelay is the time from the condemnation of a part to its first test, and
	// testDelayFactor the growth of the time to each further one, up to maxTestDelay. It
	// also grows after tests without result, because their crashes may go unnoticed.
	firstTestDelay  = 10 * time.Second
	testDelayFactor = 4
	maxTestDelay    = 160 * time.Second
	// maxTests bounds the failed tests of a part. Each test of a poison pill crashes an
	// engine with all that runs there. A part that fails them all stays condemned until no
	// requests with it come any more.
	maxTests = 2
	// testSlot is how long it is a router's turn to test a part, and testOpen the time
	// within it in which the test may start. In the rest of the slot other routers learn
	// of the test.
	testSlot = 2500 * time.Millisecond
	testOpen = time.Second
	// slotsPerExtraTester is the number of slots after which one more router may test at
	// the same time. Without it, rare parts would hardly arrive at a router in its turn.
	slotsPerExtraTester = 16
	// routersStableTime is how long the list of routers must have been the same before a
	// test. Routers that just started know few others, and all would take their turn at
	// once.
	routersStableTime = 5 * time.Second
)

// ranking orders routers for each part, so that all routers choose the same testers.
type ranking struct {
	self string
	// names are ordered and contain self.
	names []string
	// hashes are the hashes of names.
	hashes []uint64
}

// rankCache is the rank of this router for a test of a part.
type rankCache struct {
	ranking *ranking
	tests   int
	rank    int
}

func newRanking(self string, names []string) *ranking {
	r := &ranking{self: self, names: slices.Clone(names)}
	if !slices.Contains(r.names, self) {
		r.names = append(r.names, self)
	}
	slices.Sort(r.names)
	r.names = slices.Compact(r.names)
	for _, name := range r.names {
		r.hashes = append(r.hashes, hashString(name))
	}
	return r
}

// rank returns the number of routers before this one for the given key.
func (r *ranking) rank(key uint64) int {
	self := mix(hashString(r.self) ^ key)
	rank := 0
	for i, h := range r.hashes {
		if r.names[i] != r.self && mix(h^key) > self {
			rank++
		}
	}
	return rank
}

// SetRouters sets the names of this router and of all known routers. It is called when the
// list of routers was loaded and whenever it may have changed. Routers take turns at testing
// a part; without other routers each test is this router's. A router tests once its list has
// been the same for routersStableTime.
func (t *Table) SetRouters(now time.Duration, self string, names []string) {
	ranks := newRanking(self, names)
	if t.ranks != nil && t.ranks.self == self && slices.Equal(t.ranks.names, ranks.names) {
		return
	}
	t.ranks, t.routersSince = ranks, now
}

// mayTest reports whether it is this router's turn to test all condemned parts among parts.
func (t *Table) mayTest(now time.Duration, parts []uint64, culprit uint64) bool {
	if t.ranks == nil || now-t.routersSince < routersStableTime {
		return false
	}
	dueAt := never
	for _, part := range parts {
		e := t.entries[part]
		if e == nil || !e.refused() {
			continue
		}
		at, ok := e.testDueAt()
		if !ok || now < at {
			return false
		}
		dueAt = max(dueAt, at)
	}
	slot := int((now - dueAt) / testSlot)
	if (now-dueAt)%testSlot >= testOpen {
		return false
	}
	e := t.entries[culprit]
	if e.rank.ranking != t.ranks || e.rank.tests != e.tests {
		e.rank = rankCache{t.ranks, e.tests, t.ranks.rank(mix(culprit + uint64(e.tests)))}
	}
	routers, testers := len(t.ranks.names), 1+slot/slotsPerExtraTester
	turn := slot % routers
	return (e.rank.rank-turn+routers)%routers < testers
}

// testDueAt returns the time from which the next test may start, if there may be one.
func (e *entry) testDueAt() (time.Duration, bool) {
	if e.failedTests() >= maxTests {
		return 0, false
	}
	delay := firstTestDelay
	for range e.tests {
		delay = min(delay*testDelayFactor, maxTestDelay)
	}
	return max(e.condemnedAt, e.testedAt) + delay, true
}

// failedTests returns the number of tests that crashed an engine. Other tests, as of callers
// that left or of engines that refused, show nothing. Crashes before the first test was due
// are those of attempts that ran when the part was condemned. All routers count the same,
// also those that never heard of the start of a test.
func (e *entry) failedTests() int {
	due := e.condemnedAt + firstTestDelay
	return min(e.tests, moments(e.crashes[search(e.crashes, due):]))
}

// hashString is FNV-1a.
func hashString(s string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 0x100000001b3
	}
	return h
}

// mix spreads the bits of h.
func mix(h uint64) uint64 {
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}
