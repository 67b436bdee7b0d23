package admission

import "time"

// CacheEventOp is the operation of a cache event.
type CacheEventOp uint8

// Operations of cache events.
const (
	EventStored CacheEventOp = iota + 1
	EventRemoved
	EventCleared
)

// CacheEvent is one event of the engine's stream of cache events.
type CacheEvent struct {
	Seq uint64
	Op  CacheEventOp
	// Blocks are the hashes of the stored or removed blocks.
	Blocks []uint64
}

// Limits of the buffer that reorders events.
const (
	// maxBufferedEvents is the maximum number of events that wait for a missing event.
	maxBufferedEvents = 1024
	// gapTimeout is how long an event may be missing before a snapshot is needed.
	gapTimeout = 300 * time.Millisecond
)

// CacheView is the set of blocks in the engine's cache, maintained from its cache
// events. It is valid for one engine incarnation and one version of the weights: the
// chain of block hashes starts from the namespace (team, model, weights and adapter),
// and a new engine incarnation starts empty.
type CacheView struct {
	engineIncarnation uint64
	// nextSeq is the sequence number of the next event to apply.
	nextSeq uint64
	blocks  map[uint64]struct{}
	// buffered holds events that wait for a missing earlier event, by sequence number.
	buffered map[uint64]CacheEvent
	// gapSince is when the event nextSeq was found missing. It is valid while
	// buffered is not empty.
	gapSince time.Duration
	// overflowed is true after an event was dropped because the buffer was full.
	overflowed bool
}

// NewCacheView returns an empty view that belongs to no engine incarnation yet.
func NewCacheView() *CacheView {
	return &CacheView{blocks: map[uint64]struct{}{}, buffered: map[uint64]CacheEvent{}}
}

// Reset empties the view for a new engine incarnation, whose first event has the
// sequence number nextSeq.
func (c *CacheView) Reset(engineIncarnation, nextSeq uint64) {
	c.engineIncarnation, c.nextSeq, c.overflowed = engineIncarnation, nextSeq, false
	clear(c.blocks)
	clear(c.buffered)
}

// ApplyEvents applies events that may arrive in any order. Repeated events and events
// of another engine incarnation are ignored. Events after a missing event are buffered
// until the missing event arrives or a snapshot includes it.
func (c *CacheView) ApplyEvents(now time.Duration, engineIncarnation uint64, events []CacheEvent) {
	if engineIncarnation != c.engineIncarnation {
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

// applyBuffered applies buffered events up to the next missing event.
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

// NeedsSnapshot reports whether events were lost, so that the view is correct again
// only after ApplySnapshot.
func (c *CacheView) NeedsSnapshot(now time.Duration) bool {
	return c.overflowed || (len(c.buffered) > 0 && now-c.gapSince > gapTimeout)
}

// ApplySnapshot replaces the blocks with those of a snapshot. nextSeq is the sequence
// number of the first event that the snapshot doesn't include; buffered events from
// there on are applied to it.
func (c *CacheView) ApplySnapshot(now time.Duration, engineIncarnation, nextSeq uint64, blocks []uint64) {
	if engineIncarnation != c.engineIncarnation {
		clear(c.buffered)
	}
	c.engineIncarnation, c.nextSeq, c.overflowed = engineIncarnation, nextSeq, false
	clear(c.blocks)
	for _, b := range blocks {
		c.blocks[b] = struct{}{}
	}
	for seq := range c.buffered {
		if seq < nextSeq {
			delete(c.buffered, seq)
		}
	}
	c.gapSince = now
	c.applyBuffered(now)
}

// MatchPrefix returns how many leading blocks of the chain are in the cache.
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

// EngineIncarnation returns the engine incarnation that the view describes.
func (c *CacheView) EngineIncarnation() uint64 { return c.engineIncarnation }
