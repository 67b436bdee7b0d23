package placement

import "time"

// Sizes of the learned index.
const (
	indexWays        = 4
	holdersPerPrefix = 6
	// marksDense is the number of leading blocks that are all marks; beyond
	// it the distance between marks grows by 1/marksDense of the depth.
	denselyIndexedBlocks = 16
)

// holder is an endpoint that is known to hold a prefix.
type holder struct {
	endpoint int32
	// at is the time of the last confirmation in ms, 0 when unused.
	confirmedAt uint32
}

// entry is what a router knows about one prefix. It fills a cache line.
type prefixEntry struct {
	hash uint64
	// used is the time of the last use in ms.
	lastUsed uint32
	// requests counts requests with this prefix, saturating.
	requestCount uint16
	// crowded is true when more endpoints hold the prefix than holders has room for.
	holdersOverflowed bool
	holders           [holdersPerPrefix]holder
}

// index remembers which endpoints hold which prefixes. It is a set-associative
// table of fixed size that replaces the least recently used entry of a set.
type prefixIndex struct {
	entries []prefixEntry
	setMask uint64
}

func newPrefixIndex(entries int) prefixIndex {
	size := indexWays
	for size < entries {
		size *= 2
	}
	return prefixIndex{entries: make([]prefixEntry, size), setMask: uint64(size/indexWays - 1)}
}

func (x *prefixIndex) set(hash uint64) []prefixEntry {
	at := (mix(hash, 0) & x.setMask) * indexWays
	return x.entries[at : at+indexWays : at+indexWays]
}

// find returns the entry of a prefix or nil.
func (x *prefixIndex) find(hash uint64) *prefixEntry {
	set := x.set(hash)
	for i := range set {
		if set[i].hash == hash {
			return &set[i]
		}
	}
	return nil
}

// touch returns the entry of a prefix, creating it if needed.
func (x *prefixIndex) findOrCreate(hash uint64, now uint32) *prefixEntry {
	set := x.set(hash)
	leastRecent := &set[0]
	for i := range set {
		if set[i].hash == hash {
			set[i].lastUsed = now
			return &set[i]
		}
		if set[i].lastUsed < leastRecent.lastUsed {
			leastRecent = &set[i]
		}
	}
	*leastRecent = prefixEntry{hash: hash, lastUsed: now}
	return leastRecent
}

// confirm records that the endpoint holds the prefix.
func (e *prefixEntry) addHolder(id int32, now, lifetime uint32) {
	oldest := &e.holders[0]
	for i := range e.holders {
		h := &e.holders[i]
		if h.confirmedAt != 0 && h.endpoint == id {
			h.confirmedAt = now
			return
		}
		if h.confirmedAt < oldest.confirmedAt {
			oldest = h
		}
	}
	e.holdersOverflowed = oldest.confirmedAt != 0 && now-oldest.confirmedAt < lifetime
	*oldest = holder{endpoint: id, confirmedAt: now}
}

// drop records that the endpoint doesn't hold the prefix.
func (e *prefixEntry) removeHolder(id int32) {
	for i := range e.holders {
		if e.holders[i].endpoint == id {
			e.holders[i].confirmedAt = 0
		}
	}
}

// millis converts a time to the index's clock, which starts at 1.
func indexTime(now time.Duration) uint32 { return uint32(now/time.Millisecond) + 1 }

// nextMark returns the first mark after depth, in blocks. Marks are the depths
// at which the index tracks a chain.
func nextIndexedDepth(depth int) int { return depth + 1 + depth/denselyIndexedBlocks }
