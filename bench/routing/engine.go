package routing

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
)

// Speeds of the fake engine. A worker at the target scale runs nine requests
// and 2,000 output tokens per second.
const (
	prefillMSPerToken = 0.1
	// prefillOverhead is the fixed cost of a prefill in tokens.
	prefillOverhead = 40
	// decodeSlowsPrefill is by how much a full batch slows prefill.
	decodeSlowsPrefill = 0.3
	// decodeBaseMS and decodeSlopeMS give the time per output token: base plus
	// slope times the running requests.
	decodeBaseMS  = 15
	decodeSlopeMS = 0.2
	slots         = 128
)

// job is an attempt inside an engine.
type job struct {
	id     string
	q      *request
	hashes []uint64
	cached int
}

// engine is a fake engine: it prefills one prompt at a time, decodes the rest
// as a batch and keeps blocks in a least-recently-used cache.
type engine struct {
	s           *sim
	id          int
	incarnation uint64
	up          bool
	// slow multiplies the prefill time.
	slow    float64
	cache   lru
	waiting []*job
	current *job
	running int
	seq     uint64
	// lossUntil is the end of a stretch whose events are lost.
	lossUntil time.Duration
}

func (e *engine) start(j *job) {
	e.waiting = append(e.waiting, j)
	if e.current == nil {
		e.next()
	}
}

// next begins the prefill of the first waiting job.
func (e *engine) next() {
	if len(e.waiting) == 0 {
		e.current = nil
		return
	}
	j := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.current = j
	blocks := e.cache.touch(j.hashes)
	j.cached = min(blocks*prefix.TokensPerBlock, j.q.prompt-1)
	batch := 1 + decodeSlowsPrefill*float64(e.running)/slots
	ms := float64(j.q.prompt-j.cached+prefillOverhead) * prefillMSPerToken * e.slow * batch
	incarnation := e.incarnation
	e.s.after(millis(ms), func() {
		if e.up && e.incarnation == incarnation {
			e.prefilled(j)
		}
	})
}

func (e *engine) prefilled(j *job) {
	e.store(j.hashes)
	e.running++
	perToken := decodeBaseMS + decodeSlopeMS*float64(e.running)
	incarnation := e.incarnation
	e.s.after(millis(perToken*float64(j.q.output)), func() {
		if e.up && e.incarnation == incarnation {
			e.finished(j)
		}
	})
	e.s.agents[e.id].firstToken(j)
	e.next()
}

func (e *engine) finished(j *job) {
	e.running--
	// The generated tokens are cached too and push other blocks out.
	own := make([]uint64, j.q.output/prefix.TokensPerBlock)
	last := j.hashes[len(j.hashes)-1]
	for i := range own {
		last = scramble(last, uint64(j.q.id)<<8+uint64(i))
		own[i] = last
	}
	e.store(own)
	e.s.agents[e.id].finish(j)
}

// store puts blocks into the cache and emits the events.
func (e *engine) store(blocks []uint64) {
	stored, removed := e.cache.insert(blocks)
	for _, b := range stored {
		e.s.holders[b] |= 1 << e.id
	}
	for _, b := range removed {
		e.s.drop(b, e.id)
	}
	if len(stored) > 0 {
		e.s.agents[e.id].emit(eventStored, stored)
	}
	if len(removed) > 0 {
		e.s.agents[e.id].emit(eventRemoved, removed)
	}
}

// crash empties the engine.
func (e *engine) crash() {
	e.up = false
	for b := range e.cache.at {
		e.s.drop(b, e.id)
	}
	e.cache = newLRU(e.cache.size)
	e.waiting, e.current, e.running = nil, nil, 0
}

// lru is a least-recently-used set of blocks. The blocks of a chain are touched
// from the last to the first, so that the end of a chain is evicted first.
type lru struct {
	size  int
	at    map[uint64]int32
	nodes []lruNode
	free  []int32
}

// lruNode links blocks; node 0 is the sentinel.
type lruNode struct {
	hash       uint64
	prev, next int32
}

func newLRU(size int) lru {
	return lru{size: size, at: make(map[uint64]int32, size), nodes: make([]lruNode, 1, size+1)}
}

func (l *lru) unlink(i int32) {
	n := l.nodes[i]
	l.nodes[n.prev].next = n.next
	l.nodes[n.next].prev = n.prev
}

// front links node i as the most recently used.
func (l *lru) front(i int32) {
	head := l.nodes[0].next
	l.nodes[i].prev, l.nodes[i].next = 0, head
	l.nodes[head].prev = i
	l.nodes[0].next = i
}

// match returns how many leading blocks are held.
func (l *lru) match(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := l.at[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// touch marks the held leading blocks as used and returns their number.
func (l *lru) touch(hashes []uint64) int {
	n := l.match(hashes)
	for i := n - 1; i >= 0; i-- {
		at := l.at[hashes[i]]
		l.unlink(at)
		l.front(at)
	}
	return n
}

// insert adds blocks and returns what was stored and what was evicted.
func (l *lru) insert(hashes []uint64) (stored, removed []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if at, ok := l.at[h]; ok {
			l.unlink(at)
			l.front(at)
			continue
		}
		if len(l.at) >= l.size {
			last := l.nodes[0].prev
			l.unlink(last)
			delete(l.at, l.nodes[last].hash)
			removed = append(removed, l.nodes[last].hash)
			l.free = append(l.free, last)
		}
		var at int32
		if n := len(l.free); n > 0 {
			at, l.free = l.free[n-1], l.free[:n-1]
		} else {
			at = int32(len(l.nodes))
			l.nodes = append(l.nodes, lruNode{})
		}
		l.nodes[at].hash = h
		l.at[h] = at
		l.front(at)
		stored = append(stored, h)
	}
	return stored, removed
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
