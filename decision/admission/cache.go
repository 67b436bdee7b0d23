package admission

import "time"

// CacheEventOp is the kind of a cache event.
type CacheEventOp uint8

// Kinds of cache events.
const (
	EventStored CacheEventOp = iota + 1
	EventRemoved
	EventCleared
)

// CacheEvent is one entry of the engine's event stream.
type CacheEvent struct {
	Seq    uint64
	Op     CacheEventOp
	Blocks []uint64
}

// Bounds of the event reordering buffer.
const (
	// maxBufferedEvents is the number of events that may wait for an earlier one.
	maxBufferedEvents = 1024
	// gapTimeout is how long a missing event may be late before the view
	// asks for a snapshot.
	gapTimeout = 300 * time.Millisecond
)

// CacheView is the set of blocks that the engine holds, kept from its event
// stream. It is valid for one engine incarnation and one weights version: the
// block hashes chain over the namespace, which names team, model, weights and
// adapter, and a new incarnation starts empty.
type CacheView struct {
	incarnation uint64
	// nextSeq is the sequence number of the first event that is not applied.
	nextSeq  uint64
	blocks   map[uint64]struct{}
	buffered map[uint64]CacheEvent
	// gapSince is when the oldest missing event was first missed; valid while
	// held is not empty.
	gapSince   time.Duration
	overflowed bool
}

// NewCacheView returns a view that needs a snapshot.
func NewCacheView() *CacheView {
	return &CacheView{blocks: map[uint64]struct{}{}, buffered: map[uint64]CacheEvent{}}
}

// Reset empties the view for a new engine incarnation, whose first event has
// the sequence number next.
func (c *CacheView) Reset(incarnation, next uint64) {
	c.incarnation, c.nextSeq, c.overflowed = incarnation, next, false
	clear(c.blocks)
	clear(c.buffered)
}

// ApplyEvents adds events in any order. Events of another incarnation and repeated
// events are ignored. After a gap, later events are held until the missing one
// arrives or NeedsSnapshot reports true.
func (c *CacheView) ApplyEvents(now time.Duration, incarnation uint64, events []CacheEvent) {
	if incarnation != c.incarnation {
		return
	}
	for _, e := range events {
		if e.Seq < c.nextSeq {
			continue
		}
		if len(c.buffered) == 0 {
			c.gapSince = now
		}
		if len(c.buffered) >= maxBufferedEvents {
			c.overflowed = true
			continue
		}
		c.buffered[e.Seq] = e
	}
	c.applyBuffered(now)
}

func (c *CacheView) applyBuffered(now time.Duration) {
	for {
		e, ok := c.buffered[c.nextSeq]
		if !ok {
			return
		}
		delete(c.buffered, c.nextSeq)
		c.nextSeq++
		c.gapSince = now
		c.apply(e)
	}
}

func (c *CacheView) apply(e CacheEvent) {
	switch e.Op {
	case EventStored:
		for _, b := range e.Blocks {
			c.blocks[b] = struct{}{}
		}
	case EventRemoved:
		for _, b := range e.Blocks {
			delete(c.blocks, b)
		}
	case EventCleared:
		clear(c.blocks)
	}
}

// NeedsSnapshot reports whether events were lost, so that only a snapshot makes
// the view exact again.
func (c *CacheView) NeedsSnapshot(now time.Duration) bool {
	return c.overflowed || (len(c.buffered) > 0 && now-c.gapSince > gapTimeout)
}

// ApplySnapshot replaces the content. next is the sequence number of the first event
// that the snapshot doesn't include; held events from there on still apply.
func (c *CacheView) ApplySnapshot(now time.Duration, incarnation, next uint64, blocks []uint64) {
	if incarnation != c.incarnation {
		clear(c.buffered)
	}
	c.incarnation, c.nextSeq, c.overflowed = incarnation, next, false
	clear(c.blocks)
	for _, b := range blocks {
		c.blocks[b] = struct{}{}
	}
	for seq := range c.buffered {
		if seq < next {
			delete(c.buffered, seq)
		}
	}
	c.gapSince = now
	c.applyBuffered(now)
}

// MatchPrefix returns the number of leading blocks of the chain that the engine
// holds.
func (c *CacheView) MatchPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// Len returns the number of blocks.
func (c *CacheView) Len() int { return len(c.blocks) }

// Incarnation returns the engine incarnation that the view describes.
func (c *CacheView) Incarnation() uint64 { return c.incarnation }
