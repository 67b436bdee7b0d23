package engine

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/prefix"
)

// Errors of Machine.Submit.
var (
	// ErrQueueFull means that too many sequences wait.
	ErrQueueFull = errors.New("engine queue is full")
	// ErrTooLong means that a sequence needs more blocks than the cache has.
	ErrTooLong = errors.New("sequence does not fit the cache")
	// ErrRunning means that a sequence with the same id waits or runs.
	ErrRunning = errors.New("a sequence with this id is running")
)

// Timing are the rates of an engine.
type Timing struct {
	// Step is the fixed duration of one batch step. Default 10ms.
	Step time.Duration
	// PerPrefillToken is added to a step for each prompt token it computes.
	// Default 50µs, which is 20,000 tokens per second.
	PerPrefillToken time.Duration
	// PerDecode is added to a step for each sequence that gets a token.
	// Default 200µs.
	PerDecode time.Duration
	// ChunkTokens bounds the prompt tokens computed in one step. Default 512.
	ChunkTokens int
}

// MachineConfig are the parameters of a Machine. Zero values mean defaults.
type MachineConfig struct {
	Timing Timing
	// CacheBlocks is the size of the cache in blocks. Default 4096.
	CacheBlocks int
	// MaxRunning bounds the batch. Default 16.
	MaxRunning int
	// MaxWaiting bounds the queue. Default 256.
	MaxWaiting int
	// Directory may be nil.
	Directory *Directory
}

func (c *MachineConfig) setDefaults() {
	setDefault(&c.Timing.Step, 10*time.Millisecond)
	setDefault(&c.Timing.PerPrefillToken, 50*time.Microsecond)
	setDefault(&c.Timing.PerDecode, 200*time.Microsecond)
	setDefault(&c.Timing.ChunkTokens, 512)
	setDefault(&c.CacheBlocks, 4096)
	setDefault(&c.MaxRunning, 16)
	setDefault(&c.MaxWaiting, 256)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Sequence is one completion.
type Sequence struct {
	ID string
	// Priority orders waiting sequences; higher goes first.
	Priority     int
	Team         string
	PromptTokens int
	// Hashes is the block chain of the prompt; without it nothing is cached.
	Hashes []uint64
	// Digests identify the text of each block in Hashes, to detect wrong hits.
	Digests []uint64
	// MaxTokens is the number of output tokens, ResumeTokens those of them
	// that an earlier attempt delivered.
	MaxTokens    int
	ResumeTokens int
	// Crashes makes the engine crash when the sequence is first computed.
	Crashes bool
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// EventStarted means that the sequence joined the batch.
	EventStarted EventKind = iota + 1
	// EventToken carries the output token Index.
	EventToken
	// EventDone means that the sequence has produced all its tokens.
	EventDone
	// EventCrash means that a sequence crashed the engine.
	EventCrash
	// EventStored and EventRemoved carry cache blocks.
	EventStored
	EventRemoved
)

// Event is one thing that a Machine did.
type Event struct {
	At   time.Duration
	Kind EventKind
	// ID names the sequence.
	ID    string
	Index int
	// Start is set for EventStarted.
	Start Start
	// Blocks is set for EventStored and EventRemoved.
	Blocks []uint64
}

// Start tells what the cache held when a sequence joined the batch.
type Start struct {
	CachedTokens     int
	RecomputedTokens int
	WrongHits        int
}

type sequence struct {
	Sequence
	arrival uint64
	// pinned is the part of Hashes that the sequence holds in the cache.
	pinned  int
	private int
	left    int
	planned int
	next    int
	gone    bool
}

// Load is the state that an engine reports.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens are the prompt tokens yet to be computed.
	QueuedTokens int `json:"queued_tokens"`
	FreeBlocks   int `json:"free_blocks"`
}

// Machine is an engine with continuous batching, without clock or I/O. Each
// step computes up to ChunkTokens prompt tokens and one output token for each
// sequence whose prompt is computed. It is not safe for concurrent use.
type Machine struct {
	cfg      MachineConfig
	cache    *Cache
	waiting  []*sequence
	running  []*sequence
	arrivals uint64
	stepping bool
	stepEnds time.Duration
	events   []Event
}

// NewMachine returns an idle engine with an empty cache.
func NewMachine(cfg MachineConfig) *Machine {
	cfg.setDefaults()
	return &Machine{cfg: cfg, cache: NewCache(cfg.CacheBlocks, cfg.Directory)}
}

// Cache returns the block cache of the engine.
func (m *Machine) Cache() *Cache { return m.cache }

func blocksOf(tokens int) int { return (tokens + prefix.TokensPerBlock - 1) / prefix.TokensPerBlock }

// Submit queues a sequence. It fails with ErrQueueFull, ErrTooLong or
// ErrRunning.
func (m *Machine) Submit(now time.Duration, s Sequence) error {
	switch {
	case m.find(s.ID) != nil:
		return ErrRunning
	case len(m.waiting) >= m.cfg.MaxWaiting:
		return ErrQueueFull
	case blocksOf(s.PromptTokens+s.MaxTokens) > m.cfg.CacheBlocks:
		return ErrTooLong
	}
	s.Hashes = s.Hashes[:min(len(s.Hashes), s.PromptTokens/prefix.TokensPerBlock)]
	m.arrivals++
	q := &sequence{Sequence: s, arrival: m.arrivals, left: s.PromptTokens + s.ResumeTokens, next: s.ResumeTokens}
	at, _ := slices.BinarySearchFunc(m.waiting, q, compare)
	m.waiting = slices.Insert(m.waiting, at, q)
	if !m.stepping {
		m.beginStep(now)
	}
	return nil
}

func compare(a, b *sequence) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	if a.arrival < b.arrival {
		return -1
	}
	return 1
}

func (m *Machine) find(id string) *sequence {
	for _, list := range [...][]*sequence{m.running, m.waiting} {
		for _, s := range list {
			if s.ID == id {
				return s
			}
		}
	}
	return nil
}

// Cancel removes a sequence and reports whether it was there. It gives no
// further event for it.
func (m *Machine) Cancel(id string) bool {
	s := m.find(id)
	if s == nil {
		return false
	}
	m.finish(s)
	m.events = slices.DeleteFunc(m.events, func(e Event) bool { return e.ID == id })
	return true
}

func (m *Machine) finish(s *sequence) {
	s.gone = true
	same := func(o *sequence) bool { return o == s }
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.running = slices.DeleteFunc(m.running, same)
	m.cache.Unpin(s.Hashes[:s.pinned])
	m.cache.Release(s.private)
	s.pinned, s.private = 0, 0
}

// NextAt returns the time of the next change, if the engine is busy.
func (m *Machine) NextAt() (time.Duration, bool) { return m.stepEnds, m.stepping }

// Advance runs the steps that end by now and appends what happened to dst.
func (m *Machine) Advance(now time.Duration, dst []Event) []Event {
	for m.stepping && m.stepEnds <= now {
		at := m.stepEnds
		m.endStep(at)
		m.beginStep(at)
	}
	dst = append(dst, m.events...)
	clear(m.events)
	m.events = m.events[:0]
	return dst
}

func (m *Machine) beginStep(at time.Duration) {
	m.fillBatch(at)
	if m.stepping = len(m.running) > 0; !m.stepping {
		return
	}
	budget := m.cfg.Timing.ChunkTokens
	length := m.cfg.Timing.Step
	for _, s := range m.running {
		s.planned = min(s.left, budget)
		budget -= s.planned
		length += time.Duration(s.planned) * m.cfg.Timing.PerPrefillToken
		if s.left == 0 {
			length += m.cfg.Timing.PerDecode
		}
	}
	m.stepEnds = at + length
}

// fillBatch starts waiting sequences while there are slots and blocks. A
// sequence that does not fit holds back those behind it, so that long prompts
// are not starved.
func (m *Machine) fillBatch(at time.Duration) {
	for len(m.waiting) > 0 && len(m.running) < m.cfg.MaxRunning {
		s := m.waiting[0]
		matched := m.cache.Match(s.Hashes)
		cached := matched
		// The last prompt token is always computed, because its result gives
		// the first output token.
		if cached*prefix.TokensPerBlock >= s.PromptTokens {
			cached--
		}
		fresh := blocksOf(s.PromptTokens+s.MaxTokens) - cached
		if !m.cache.Reserve(s.Hashes[:cached], fresh) {
			break
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, s)
		s.pinned, s.private = cached, fresh
		s.left -= cached * prefix.TokensPerBlock
		m.emit(Event{At: at, Kind: EventStarted, ID: s.ID, Start: m.start(s, matched)})
	}
	if removed := m.cache.TakeRemoved(); len(removed) > 0 {
		m.emit(Event{At: at, Kind: EventRemoved, Blocks: removed})
	}
}

func (m *Machine) start(s *sequence, matched int) Start {
	st := Start{CachedTokens: s.pinned * prefix.TokensPerBlock}
	if elsewhere := m.cfg.Directory.Depth(s.Hashes); elsewhere > matched {
		st.RecomputedTokens = (elsewhere - matched) * prefix.TokensPerBlock
	}
	for i, h := range s.Hashes[:s.pinned] {
		b, _ := m.cache.Get(h)
		if (i < len(s.Digests) && b.Digest != s.Digests[i]) || b.Team != s.Team {
			st.WrongHits++
		}
	}
	return st
}

func (m *Machine) emit(e Event) { m.events = append(m.events, e) }

func (m *Machine) endStep(at time.Duration) {
	var stored []uint64
	for _, s := range slices.Clone(m.running) {
		if s.planned > 0 {
			if s.Crashes {
				m.emit(Event{At: at, Kind: EventCrash, ID: s.ID})
				return
			}
			stored = m.computed(s, stored)
		} else if s.left > 0 {
			continue
		}
		if s.left > 0 {
			continue
		}
		if s.next < s.MaxTokens {
			m.emit(Event{At: at, Kind: EventToken, ID: s.ID, Index: s.next})
			s.next++
		}
		if s.next >= s.MaxTokens {
			m.finish(s)
			m.emit(Event{At: at, Kind: EventDone, ID: s.ID})
		}
	}
	if len(stored) > 0 {
		m.emit(Event{At: at, Kind: EventStored, Blocks: stored})
	}
}

// computed takes over the planned prompt tokens of a sequence and stores the
// blocks that are now complete.
func (m *Machine) computed(s *sequence, stored []uint64) []uint64 {
	s.left -= s.planned
	s.planned = 0
	done := min(s.PromptTokens, s.PromptTokens+s.ResumeTokens-s.left) / prefix.TokensPerBlock
	for s.pinned < min(done, len(s.Hashes)) {
		b := Block{Hash: s.Hashes[s.pinned], Team: s.Team}
		if s.pinned < len(s.Digests) {
			b.Digest = s.Digests[s.pinned]
		}
		if m.cache.Store(b) {
			stored = append(stored, b.Hash)
		}
		s.pinned++
		s.private--
	}
	return stored
}

// Load returns the present load.
func (m *Machine) Load() Load {
	l := Load{Running: len(m.running), Waiting: len(m.waiting), FreeBlocks: m.cache.Free() + m.cache.order.Len()}
	for _, list := range [...][]*sequence{m.running, m.waiting} {
		for _, s := range list {
			l.QueuedTokens += s.left
		}
	}
	return l
}

// Idle reports whether no sequence waits or runs.
func (m *Machine) Idle() bool { return len(m.running)+len(m.waiting) == 0 }
