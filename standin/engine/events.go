package engine

import (
	"slices"
	"time"
)

// CacheEvent reports a change of the cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is OpStored, OpRemoved or OpCleared.
	Op string `json:"op"`
	// Blocks are the hashes of the blocks, nil for OpCleared.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// Values of CacheEvent.Op.
const (
	OpStored  = "stored"
	OpRemoved = "removed"
	OpCleared = "cleared"
)

// maxLoggedEvents is the number of cache events that an engine keeps.
const maxLoggedEvents = 8192

type loggedEvent struct {
	CacheEvent
	appendedAt time.Duration
}

// CacheEventLog keeps the newest cache events and returns each only after a delay.
// It has no clock and is not safe for concurrent use.
type CacheEventLog struct {
	// VisibilityDelay is the age at which an event becomes visible.
	VisibilityDelay time.Duration
	// DropNext is the number of future events to drop. A dropped event still takes
	// a sequence number.
	DropNext int
	lastSeq  uint64
	events   []loggedEvent
}

// Append adds an event with the next sequence number.
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

// LastSeq returns the sequence number of the newest event. The first is 1.
func (l *CacheEventLog) LastSeq() uint64 { return l.lastSeq }

// Since returns the visible events after seq, and the time at which the next one
// becomes visible, or 0 if there is none.
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
