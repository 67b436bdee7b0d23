package placement

import "time"

const (
	// indexWays is the number of entries in a set of the prefix index.
	indexWays = 4
	// maxHoldersPerPrefix is the number of endpoints that the index stores for a prefix.
	maxHoldersPerPrefix = 6
	// denselyIndexedBlocks is the length in blocks up to which the index has a prefix
	// of every length. Beyond it, the distance between indexed lengths grows by
	// 1/denselyIndexedBlocks of the length.
	denselyIndexedBlocks = 16
)

// holder is an endpoint that is known to hold a prefix.
type holder struct {
	endpointID int32
	// confirmedAt is the index time at which the endpoint last confirmed that it
	// holds the prefix, 0 when the slot is unused.
	confirmedAt uint32
}

// prefixEntry is the index entry of one prefix. It fills a CPU cache line.
type prefixEntry struct {
	hash uint64
	// lastUsed is the index time of the last use.
	lastUsed uint32
	// requestCount is the number of requests with this prefix, up to a maximum.
	requestCount uint16
	// holdersOverflowed is true when more endpoints hold the prefix than fit into
	// holders.
	holdersOverflowed bool
	holders           [maxHoldersPerPrefix]holder
}

// prefixIndex records which endpoints hold which prefixes. It is a set-associative
// table of fixed size that replaces the least recently used entry of a set. Times are
// index times, see indexTime.
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
	start := (mix(hash, 0) & x.setMask) * indexWays
	return x.entries[start : start+indexWays : start+indexWays]
}

// find returns the entry of a prefix, or nil.
func (x *prefixIndex) find(hash uint64) *prefixEntry {
	set := x.set(hash)
	for i := range set {
		if set[i].hash == hash {
			return &set[i]
		}
	}
	return nil
}

// findOrCreate returns the entry of a prefix and marks it as used.
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

// addHolder records that the endpoint holds the prefix.
func (e *prefixEntry) addHolder(endpointID int32, now, lifetimeMS uint32) {
	oldest := &e.holders[0]
	for i := range e.holders {
		h := &e.holders[i]
		if h.confirmedAt != 0 && h.endpointID == endpointID {
			h.confirmedAt = now
			return
		}
		if h.confirmedAt < oldest.confirmedAt {
			oldest = h
		}
	}
	e.holdersOverflowed = oldest.confirmedAt != 0 && now-oldest.confirmedAt < lifetimeMS
	*oldest = holder{endpointID: endpointID, confirmedAt: now}
}

// removeHolder records that the endpoint does not hold the prefix.
func (e *prefixEntry) removeHolder(endpointID int32) {
	for i := range e.holders {
		if e.holders[i].endpointID == endpointID {
			e.holders[i].confirmedAt = 0
		}
	}
}

// indexTime converts a time to milliseconds, counted from 1 because 0 means unused.
func indexTime(now time.Duration) uint32 { return uint32(now/time.Millisecond) + 1 }

// nextIndexedLength returns the shortest prefix length above the given one, in blocks,
// for which the index has entries.
func nextIndexedLength(blocks int) int { return blocks + 1 + blocks/denselyIndexedBlocks }
