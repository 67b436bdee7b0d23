// Package catchup decides when a router that has just started reads the events that it
// missed. Reading them takes processor time from callers' requests, and a small router
// follows as many sources as a large one. The package is a pure state machine and not
// safe for concurrent use.
package catchup

import "time"

// Turns decides when the first read of each source begins.
type Turns struct {
	// spread is the time over which reads begin, and random returns a time below it.
	spread  time.Duration
	random  func(time.Duration) time.Duration
	beginAt map[string]time.Duration
}

// New returns a Turns that spreads the reads over a time.
func New(spread time.Duration, random func(time.Duration) time.Duration) *Turns {
	return &Turns{spread: spread, random: random, beginAt: map[string]time.Duration{}}
}

// TryBegin reports whether the first read of a source may begin now, and otherwise after
// which time to ask again. Now is the time since the start.
func (t *Turns) TryBegin(now time.Duration, source string) (ok bool, retryIn time.Duration) {
	if _, known := t.beginAt[source]; !known {
		t.beginAt[source] = now
		if now < t.spread {
			t.beginAt[source] += t.random(t.spread)
		}
	}
	return now >= t.beginAt[source], t.beginAt[source] - now
}

// Responded records that the source has begun to send its response.
func (t *Turns) Responded(string) {}

// End records that a source's first read has ended, and for how long the router was busy
// with its response.
func (t *Turns) End(now time.Duration, source string, busy time.Duration) { delete(t.beginAt, source) }
