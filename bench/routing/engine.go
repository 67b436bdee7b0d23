package routing

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
)

// Speeds of the simulated engine. At the target scale an endpoint serves nine
// requests and 2,000 output tokens per second.
const (
	prefillMSPerToken = 0.1
	// prefillOverheadTokens is the fixed cost of a prefill, in prompt tokens.
	prefillOverheadTokens = 40
	// fullBatchPrefillSlowdown is the fraction by which prefill takes longer when
	// maxRunningRequests are decoding. Smaller batches slow it down in proportion.
	fullBatchPrefillSlowdown = 0.3
	// The time per output token is decodeBaseMSPerToken plus
	// decodeMSPerTokenPerRequest for each decoding request.
	decodeBaseMSPerToken       = 15
	decodeMSPerTokenPerRequest = 0.2
	maxRunningRequests         = 128
)

// engineAttempt is an attempt that runs on an engine.
type engineAttempt struct {
	id           string
	req          *request
	blockHashes  []uint64
	cachedTokens int
}

// engine simulates an inference engine. It prefills one prompt at a time, decodes
// the other requests in a batch and keeps blocks in an LRU cache.
type engine struct {
	sim         *simulation
	id          int
	incarnation uint64
	up          bool
	// prefillTimeFactor multiplies the prefill time.
	prefillTimeFactor float64
	cache             lru
	prefillQueue      []*engineAttempt
	prefilling        *engineAttempt
	decoding          int
	nextEventSeq      uint64
	// dropCacheEventsUntil is the time until which all cache events are lost.
	dropCacheEventsUntil time.Duration
}

func (e *engine) enqueue(att *engineAttempt) {
	e.prefillQueue = append(e.prefillQueue, att)
	if e.prefilling == nil {
		e.startNextPrefill()
	}
}

// startNextPrefill starts the prefill of the first attempt in the queue.
func (e *engine) startNextPrefill() {
	if len(e.prefillQueue) == 0 {
		e.prefilling = nil
		return
	}
	att := e.prefillQueue[0]
	e.prefillQueue = e.prefillQueue[1:]
	e.prefilling = att
	blocks := e.cache.touchPrefix(att.blockHashes)
	att.cachedTokens = min(blocks*prefix.TokensPerBlock, att.req.promptTokens-1)
	slowdown := 1 + fullBatchPrefillSlowdown*float64(e.decoding)/maxRunningRequests
	ms := float64(att.req.promptTokens-att.cachedTokens+prefillOverheadTokens) * prefillMSPerToken * e.prefillTimeFactor * slowdown
	incarnation := e.incarnation
	e.sim.scheduleAfter(msToDuration(ms), func() {
		if e.up && e.incarnation == incarnation {
			e.finishPrefill(att)
		}
	})
}

func (e *engine) finishPrefill(att *engineAttempt) {
	e.storeBlocks(att.blockHashes)
	e.decoding++
	perToken := decodeBaseMSPerToken + decodeMSPerTokenPerRequest*float64(e.decoding)
	incarnation := e.incarnation
	e.sim.scheduleAfter(msToDuration(perToken*float64(att.req.outputTokens)), func() {
		if e.up && e.incarnation == incarnation {
			e.finishDecode(att)
		}
	})
	e.sim.agents[e.id].handleFirstToken(att)
	e.startNextPrefill()
}

func (e *engine) finishDecode(att *engineAttempt) {
	e.decoding--
	// Blocks of generated tokens are cached too and evict other blocks.
	generated := make([]uint64, att.req.outputTokens/prefix.TokensPerBlock)
	hash := att.blockHashes[len(att.blockHashes)-1]
	for i := range generated {
		hash = mixHash(hash, uint64(att.req.id)<<8+uint64(i))
		generated[i] = hash
	}
	e.storeBlocks(generated)
	e.sim.agents[e.id].handleFinish(att)
}

// storeBlocks caches blocks and emits cache events for stored and evicted blocks.
func (e *engine) storeBlocks(blocks []uint64) {
	stored, removed := e.cache.insert(blocks)
	for _, b := range stored {
		e.sim.cachingEngines[b] |= 1 << e.id
	}
	for _, b := range removed {
		e.sim.removeCachingEngine(b, e.id)
	}
	if len(stored) > 0 {
		e.sim.agents[e.id].emitCacheEvent(eventStored, stored)
	}
	if len(removed) > 0 {
		e.sim.agents[e.id].emitCacheEvent(eventRemoved, removed)
	}
}

// crash stops the engine and discards its cache and its attempts.
func (e *engine) crash() {
	e.up = false
	for b := range e.cache.nodeOf {
		e.sim.removeCachingEngine(b, e.id)
	}
	e.cache = newLRU(e.cache.capacity)
	e.prefillQueue, e.prefilling, e.decoding = nil, nil, 0
}

// lru is a cache of block hashes with least-recently-used eviction. The blocks of a
// prompt are touched from last to first, so that a prefix outlives the blocks
// behind it.
type lru struct {
	capacity int
	// nodeOf maps a block hash to its index in nodes.
	nodeOf map[uint64]int32
	nodes  []lruNode
	// freeNodes holds the indexes of unused nodes.
	freeNodes []int32
}

// lruNode is an element of a circular doubly linked list, ordered from most to
// least recently used. Node 0 is the sentinel.
type lruNode struct {
	hash       uint64
	prev, next int32
}

func newLRU(capacity int) lru {
	return lru{capacity: capacity, nodeOf: make(map[uint64]int32, capacity), nodes: make([]lruNode, 1, capacity+1)}
}

func (l *lru) unlink(i int32) {
	n := l.nodes[i]
	l.nodes[n.prev].next = n.next
	l.nodes[n.next].prev = n.prev
}

// pushFront links node i as the most recently used one.
func (l *lru) pushFront(i int32) {
	head := l.nodes[0].next
	l.nodes[i].prev, l.nodes[i].next = 0, head
	l.nodes[head].prev = i
	l.nodes[0].next = i
}

// matchPrefix returns the number of leading blocks that are cached.
func (l *lru) matchPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := l.nodeOf[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// touchPrefix marks the cached leading blocks as used and returns their number.
func (l *lru) touchPrefix(hashes []uint64) int {
	n := l.matchPrefix(hashes)
	for i := n - 1; i >= 0; i-- {
		node := l.nodeOf[hashes[i]]
		l.unlink(node)
		l.pushFront(node)
	}
	return n
}

// insert adds blocks, or marks them as used if they are cached. It returns the blocks
// that were added and those that were evicted.
func (l *lru) insert(hashes []uint64) (stored, removed []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if node, ok := l.nodeOf[h]; ok {
			l.unlink(node)
			l.pushFront(node)
			continue
		}
		if len(l.nodeOf) >= l.capacity {
			oldest := l.nodes[0].prev
			l.unlink(oldest)
			delete(l.nodeOf, l.nodes[oldest].hash)
			removed = append(removed, l.nodes[oldest].hash)
			l.freeNodes = append(l.freeNodes, oldest)
		}
		var node int32
		if n := len(l.freeNodes); n > 0 {
			node, l.freeNodes = l.freeNodes[n-1], l.freeNodes[:n-1]
		} else {
			node = int32(len(l.nodes))
			l.nodes = append(l.nodes, lruNode{})
		}
		l.nodes[node].hash = h
		l.nodeOf[h] = node
		l.pushFront(node)
		stored = append(stored, h)
	}
	return stored, removed
}

func msToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
