package engine

import (
	"container/list"
	"sync"
)

// FleetCacheIndex records which blocks the engines of a fleet cache, to count
// prompt tokens that one engine computes although another has them cached. It
// is safe for concurrent use.
type FleetCacheIndex struct {
	mu sync.Mutex
	// engineCounts is the number of engines that cache a block, by block hash.
	engineCounts map[uint64]int
}

// NewFleetCacheIndex returns an empty index.
func NewFleetCacheIndex() *FleetCacheIndex { return &FleetCacheIndex{engineCounts: map[uint64]int{}} }

func (x *FleetCacheIndex) adjustCount(hash uint64, delta int) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.engineCounts[hash] += delta; x.engineCounts[hash] <= 0 {
		delete(x.engineCounts, hash)
	}
}

// MatchPrefix returns the number of leading blocks that any engine caches. A nil
// index caches none.
func (x *FleetCacheIndex) MatchPrefix(hashes []uint64) int {
	if x == nil {
		return 0
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, h := range hashes {
		if x.engineCounts[h] == 0 {
			return i
		}
	}
	return len(hashes)
}

// Block is a block of prompt tokens in the KV cache.
type Block struct {
	Hash uint64 `json:"hash"`
	// TextDigest identifies the prompt text up to the end of the block. It is
	// only used to detect cache hits on other text.
	TextDigest uint64 `json:"digest"`
	// Team is the team whose request stored the block, if known.
	Team string `json:"team,omitempty"`
}

type cacheEntry struct {
	Block
	// pinCount is the number of running sequences that use the block.
	pinCount int
	// evictionElement is the block's element in Cache.evictionOrder, nil while pinned.
	evictionElement *list.Element
}

// Cache is a bounded block cache, keyed by block hash, that evicts the least
// recently used block that is not pinned. It is not safe for concurrent use.
type Cache struct {
	capacity int
	// reservedBlocks are set aside for running sequences and not cached yet.
	reservedBlocks int
	entries        map[uint64]*cacheEntry
	// evictionOrder holds the entries that are not pinned, least recently used first.
	evictionOrder *list.List
	fleetIndex    *FleetCacheIndex
	// evicted are the blocks evicted since the last TakeEvicted.
	evicted []uint64
}

// NewCache returns an empty cache of capacity blocks. The index may be nil.
func NewCache(capacity int, fleetIndex *FleetCacheIndex) *Cache {
	return &Cache{capacity: capacity, entries: map[uint64]*cacheEntry{}, evictionOrder: list.New(), fleetIndex: fleetIndex}
}

// MatchPrefix returns the number of leading blocks that are cached.
func (c *Cache) MatchPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if c.entries[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// UnusedBlocks returns the number of blocks that are neither cached nor reserved.
func (c *Cache) UnusedBlocks() int { return c.capacity - len(c.entries) - c.reservedBlocks }

// Reserve pins the given cached blocks and sets newBlocks more aside, evicting
// others as needed. It returns false, with nothing pinned or evicted, when
// running sequences hold too many blocks.
func (c *Cache) Reserve(cached []uint64, newBlocks int) bool {
	for _, h := range cached {
		c.pin(h)
	}
	if c.UnusedBlocks()+c.evictionOrder.Len() < newBlocks {
		c.Unpin(cached)
		return false
	}
	for c.UnusedBlocks() < newBlocks {
		c.evict()
	}
	c.reservedBlocks += newBlocks
	return true
}

func (c *Cache) pin(hash uint64) {
	e := c.entries[hash]
	e.pinCount++
	if e.evictionElement != nil {
		c.evictionOrder.Remove(e.evictionElement)
		e.evictionElement = nil
	}
}

// Unpin removes one pin from each block; blocks without pins can be evicted. The
// last block of a prompt is evicted first, because a block cannot be used without
// those before it.
func (c *Cache) Unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		e := c.entries[hashes[i]]
		if e == nil {
			continue
		}
		if e.pinCount--; e.pinCount == 0 {
			e.evictionElement = c.evictionOrder.PushBack(e)
		}
	}
}

// ReleaseReserved returns reserved blocks that were not stored.
func (c *Cache) ReleaseReserved(blocks int) { c.reservedBlocks -= blocks }

// StoreReserved stores b in place of one reserved block, pins it and reports
// whether it was not cached yet.
func (c *Cache) StoreReserved(b Block) bool {
	c.reservedBlocks--
	if e := c.entries[b.Hash]; e != nil {
		c.pin(b.Hash)
		return false
	}
	c.entries[b.Hash] = &cacheEntry{Block: b, pinCount: 1}
	c.fleetIndex.adjustCount(b.Hash, 1)
	return true
}

// Import adds blocks without pinning them and returns the hashes of the new ones.
// It stops when no more fit.
func (c *Cache) Import(blocks []Block) []uint64 {
	var added []uint64
	for _, b := range blocks {
		if c.entries[b.Hash] != nil {
			continue
		}
		if !c.Reserve(nil, 1) {
			break
		}
		c.StoreReserved(b)
		added = append(added, b.Hash)
	}
	c.Unpin(added)
	return added
}

func (c *Cache) evict() {
	e := c.evictionOrder.Remove(c.evictionOrder.Front()).(*cacheEntry)
	delete(c.entries, e.Hash)
	c.fleetIndex.adjustCount(e.Hash, -1)
	c.evicted = append(c.evicted, e.Hash)
}

// Clear removes all blocks, pinned and reserved ones too.
func (c *Cache) Clear() {
	for h := range c.entries {
		c.fleetIndex.adjustCount(h, -1)
	}
	c.entries = map[uint64]*cacheEntry{}
	c.evictionOrder.Init()
	c.reservedBlocks = 0
	c.evicted = nil
}

// TakeEvicted returns the hashes of the blocks evicted since the last call.
func (c *Cache) TakeEvicted() []uint64 {
	evicted := c.evicted
	c.evicted = nil
	return evicted
}

// Get returns a cached block.
func (c *Cache) Get(hash uint64) (Block, bool) {
	e, ok := c.entries[hash]
	if !ok {
		return Block{}, false
	}
	return e.Block, true
}

// Hashes returns the hashes of all cached blocks in no particular order.
func (c *Cache) Hashes() []uint64 {
	hashes := make([]uint64, 0, len(c.entries))
	for h := range c.entries {
		hashes = append(hashes, h)
	}
	return hashes
}

// Len returns the number of cached blocks.
func (c *Cache) Len() int { return len(c.entries) }
