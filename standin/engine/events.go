package engine

import (
	"slices"
	"time"
)

// CacheEvent tells a reader what changed in the cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is stored, removed or cleared.
	Op     string   `json:"op"`
	Blocks []uint64 `json:"blocks,omitempty"`
}

// Operations of cache events.
const (
	OpStored  = "stored"
	OpRemoved = "removed"
	OpCleared = "cleared"
)

// eventLimit is the number of cache events that an engine keeps.
const maxLoggedEvents = 8192

type loggedEvent struct {
	CacheEvent
	appendedAt time.Duration
}

// EventLog keeps the newest cache events and shows them late. It has no clock
// and is not safe for concurrent use.
type CacheEventLog struct {
	// Delay is the age at which an event becomes visible.
	VisibilityDelay time.Duration
	// Drop is the number of coming events that are lost.
	DropNext int
	lastSeq  uint64
	events   []loggedEvent
}

// Append numbers and keeps an event.
func (l *CacheEventLog) Append(now time.Duration, op string, blocks []uint64) {
	l.lastSeq++
	if l.DropNext > 0 {
		l.DropNext--
		return
	}
	if len(l.events) == maxLoggedEvents {
		l.events = l.events[1:]
	}
	l.events = append(l.events, loggedEvent{CacheEvent{l.lastSeq, op, slices.Clone(blocks)}, now})
}

// Last returns the number of the newest event, counted from 1.
func (l *CacheEventLog) LastSeq() uint64 { return l.lastSeq }

// Since returns the visible events after number seq, and the time at which the next
// one becomes visible, or 0.
func (l *CacheEventLog) Since(now time.Duration, seq uint64) (events []CacheEvent, nextVisibleAt time.Duration) {
	for _, e := range l.events {
		if e.Seq <= seq {
			continue
		}
		if e.appendedAt+l.VisibilityDelay > now {
			return events, e.appendedAt + l.VisibilityDelay
		}
		events = append(events, e.CacheEvent)
	}
	return events, 0
}
