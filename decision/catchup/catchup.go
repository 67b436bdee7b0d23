// Package catchup decides when a router reads the events that it missed, because it has
// just started or did not reach their sources. Reading them takes processor time from
// callers' requests, and a small router follows as many sources as a large one. The package
// is a pure state machine and not safe for concurrent use.
package catchup

import "time"

const (
	// busyShare is the share of the time in which the router may be busy with missed
	// events. How long a response keeps it busy depends on its processor, so a small
	// router reads more slowly.
	busyShare = 0.25
	// responseTimeout is how long a source that has not begun to respond keeps others
	// from their turn: several round trips. An engine without events responds late.
	responseTimeout = 200 * time.Millisecond
	// pollInterval is the time after which a source asks again while another one has its
	// turn.
	pollInterval = 50 * time.Millisecond
)

// Turns decides when the read of each source's missed events begins: one after the other, with
// pauses that depend on how long the reads before kept the router busy.
type Turns struct {
	// current is the source that has its turn, or "". It began at begunAt.
	current   string
	begunAt   time.Duration
	responded bool
	// pauseUntil is when the next turn may begin.
	pauseUntil time.Duration
}

// New returns a Turns.
func New() *Turns { return &Turns{} }

// TryBegin reports whether the read of a source may begin now, and otherwise after
// which time to ask again. Now is the time since an arbitrary origin.
func (t *Turns) TryBegin(now time.Duration, source string) (ok bool, retryIn time.Duration) {
	if now < t.pauseUntil {
		return false, t.pauseUntil - now
	}
	if t.current != "" && (t.responded || now-t.begunAt < responseTimeout) {
		return false, pollInterval
	}
	t.current, t.begunAt, t.responded = source, now, false
	return true, 0
}

// Responded records that the source has begun to send its response.
func (t *Turns) Responded(source string) {
	if source == t.current {
		t.responded = true
	}
}

// End records that a source's read has ended, also if it failed, and for how long
// the router was busy with its response.
func (t *Turns) End(now time.Duration, source string, busy time.Duration) {
	t.pauseUntil = max(t.pauseUntil, now) + time.Duration(float64(busy)*(1/busyShare-1))
	if source == t.current {
		t.current = ""
	}
}
