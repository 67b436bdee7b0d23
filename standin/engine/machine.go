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
	ErrDuplicateID = errors.New("a sequence with this id is running")
)

// Timing are the rates of an engine.
type StepTiming struct {
	// Step is the fixed duration of one batch step. Default 10ms.
	StepOverhead time.Duration
	// PerPrefillToken is added to a step for each prompt token it computes.
	// Default 50µs, which is 20,000 tokens per second.
	PrefillTokenTime time.Duration
	// PerDecode is added to a step for each sequence that gets a token.
	// Default 200µs.
	DecodeTokenTime time.Duration
	// ChunkTokens bounds the prompt tokens computed in one step. Default 512.
	MaxPrefillTokensPerStep int
}

// MachineConfig are the parameters of a Machine. Zero values mean defaults.
type SimulatorConfig struct {
	Timing StepTiming
	// CacheBlocks is the size of the cache in blocks. Default 4096.
	CacheBlocks int
	// MaxRunning bounds the batch. Default 16.
	MaxRunning int
	// MaxWaiting bounds the queue. Default 256.
	MaxWaiting int
	// Directory may be nil.
	FleetIndex *FleetCacheIndex
}

func (c *SimulatorConfig) setDefaults() {
	setDefault(&c.Timing.StepOverhead, 10*time.Millisecond)
	setDefault(&c.Timing.PrefillTokenTime, 50*time.Microsecond)
	setDefault(&c.Timing.DecodeTokenTime, 200*time.Microsecond)
	setDefault(&c.Timing.MaxPrefillTokensPerStep, 512)
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
	BlockHashes []uint64
	// Digests identify the text of each block in Hashes, to detect wrong hits.
	TextDigests []uint64
	// MaxTokens is the number of output tokens, ResumeTokens those of them
	// that an earlier attempt delivered.
	MaxTokens    int
	ResumeTokens int
	// Crashes makes the engine crash when the sequence is first computed.
	CrashesEngine bool
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
	EventEngineCrashed
	// EventStored and EventRemoved carry cache blocks.
	EventBlocksStored
	EventBlocksRemoved
)

// Event is one thing that a Machine did.
type Event struct {
	At   time.Duration
	Kind EventKind
	// ID names the sequence.
	SequenceID string
	TokenIndex int
	// Start is set for EventStarted.
	CacheUsage CacheUsage
	// Blocks is set for EventStored and EventRemoved.
	Blocks []uint64
}

// Start tells what the cache held when a sequence joined the batch.
type CacheUsage struct {
	CachedTokens     int
	RecomputedTokens int
	WrongHits        int
}

type scheduledSequence struct {
	Sequence
	arrivalNumber uint64
	// pinned is the part of Hashes that the sequence holds in the cache.
	pinnedBlocks      int
	reservedBlocks    int
	prefillTokensLeft int
	stepPrefillTokens int
	nextOutputToken   int
	removed           bool
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
type Simulator struct {
	cfg          SimulatorConfig
	cache        *Cache
	waiting      []*scheduledSequence
	running      []*scheduledSequence
	arrivalCount uint64
	stepRunning  bool
	stepEndsAt   time.Duration
	events       []Event
}

// NewMachine returns an idle engine with an empty cache.
func NewSimulator(cfg SimulatorConfig) *Simulator {
	cfg.setDefaults()
	return &Simulator{cfg: cfg, cache: NewCache(cfg.CacheBlocks, cfg.FleetIndex)}
}

// Cache returns the block cache of the engine.
func (sim *Simulator) Cache() *Cache { return sim.cache }

func blocksForTokens(tokens int) int { return (tokens + prefix.BlockTokens - 1) / prefix.BlockTokens }

// Submit queues a sequence. It fails with ErrQueueFull, ErrTooLong or
// ErrRunning.
func (sim *Simulator) Submit(now time.Duration, s Sequence) error {
	switch {
	case sim.find(s.ID) != nil:
		return ErrDuplicateID
	case len(sim.waiting) >= sim.cfg.MaxWaiting:
		return ErrQueueFull
	case blocksForTokens(s.PromptTokens+s.MaxTokens) > sim.cfg.CacheBlocks:
		return ErrTooLong
	}
	s.BlockHashes = s.BlockHashes[:min(len(s.BlockHashes), s.PromptTokens/prefix.BlockTokens)]
	sim.arrivalCount++
	queued := &scheduledSequence{Sequence: s, arrivalNumber: sim.arrivalCount, prefillTokensLeft: s.PromptTokens + s.ResumeTokens, nextOutputToken: s.ResumeTokens}
	index, _ := slices.BinarySearchFunc(sim.waiting, queued, compareSchedulingOrder)
	sim.waiting = slices.Insert(sim.waiting, index, queued)
	if !sim.stepRunning {
		sim.beginStep(now)
	}
	return nil
}

func compareSchedulingOrder(a, b *scheduledSequence) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	if a.arrivalNumber < b.arrivalNumber {
		return -1
	}
	return 1
}

func (sim *Simulator) find(id string) *scheduledSequence {
	for _, sequences := range [...][]*scheduledSequence{sim.running, sim.waiting} {
		for _, s := range sequences {
			if s.ID == id {
				return s
			}
		}
	}
	return nil
}

// Cancel removes a sequence and reports whether it was there. It gives no
// further event for it.
func (sim *Simulator) Cancel(id string) bool {
	s := sim.find(id)
	if s == nil {
		return false
	}
	sim.removeSequence(s)
	sim.events = slices.DeleteFunc(sim.events, func(e Event) bool { return e.SequenceID == id })
	return true
}

func (sim *Simulator) removeSequence(s *scheduledSequence) {
	s.removed = true
	isRemoved := func(other *scheduledSequence) bool { return other == s }
	sim.waiting = slices.DeleteFunc(sim.waiting, isRemoved)
	sim.running = slices.DeleteFunc(sim.running, isRemoved)
	sim.cache.Unpin(s.BlockHashes[:s.pinnedBlocks])
	sim.cache.ReleaseReserved(s.reservedBlocks)
	s.pinnedBlocks, s.reservedBlocks = 0, 0
}

// NextAt returns the time of the next change, if the engine is busy.
func (sim *Simulator) NextStepEnd() (time.Duration, bool) { return sim.stepEndsAt, sim.stepRunning }

// Advance runs the steps that end by now and appends what happened to dst.
func (sim *Simulator) Advance(now time.Duration, dst []Event) []Event {
	for sim.stepRunning && sim.stepEndsAt <= now {
		at := sim.stepEndsAt
		sim.endStep(at)
		sim.beginStep(at)
	}
	dst = append(dst, sim.events...)
	clear(sim.events)
	sim.events = sim.events[:0]
	return dst
}

func (sim *Simulator) beginStep(at time.Duration) {
	sim.fillBatch(at)
	if sim.stepRunning = len(sim.running) > 0; !sim.stepRunning {
		return
	}
	prefillBudget := sim.cfg.Timing.MaxPrefillTokensPerStep
	duration := sim.cfg.Timing.StepOverhead
	for _, s := range sim.running {
		s.stepPrefillTokens = min(s.prefillTokensLeft, prefillBudget)
		prefillBudget -= s.stepPrefillTokens
		duration += time.Duration(s.stepPrefillTokens) * sim.cfg.Timing.PrefillTokenTime
		if s.prefillTokensLeft == 0 {
			duration += sim.cfg.Timing.DecodeTokenTime
		}
	}
	sim.stepEndsAt = at + duration
}

// fillBatch starts waiting sequences while there are slots and blocks. A
// sequence that does not fit holds back those behind it, so that long prompts
// are not starved.
func (sim *Simulator) fillBatch(at time.Duration) {
	for len(sim.waiting) > 0 && len(sim.running) < sim.cfg.MaxRunning {
		s := sim.waiting[0]
		matchedBlocks := sim.cache.MatchPrefix(s.BlockHashes)
		reusedBlocks := matchedBlocks
		// The last prompt token is always computed, because its result gives
		// the first output token.
		if reusedBlocks*prefix.BlockTokens >= s.PromptTokens {
			reusedBlocks--
		}
		newBlocks := blocksForTokens(s.PromptTokens+s.MaxTokens) - reusedBlocks
		if !sim.cache.Reserve(s.BlockHashes[:reusedBlocks], newBlocks) {
			break
		}
		sim.waiting = sim.waiting[1:]
		sim.running = append(sim.running, s)
		s.pinnedBlocks, s.reservedBlocks = reusedBlocks, newBlocks
		s.prefillTokensLeft -= reusedBlocks * prefix.BlockTokens
		sim.emit(Event{At: at, Kind: EventStarted, SequenceID: s.ID, CacheUsage: sim.cacheUsage(s, matchedBlocks)})
	}
	if evicted := sim.cache.TakeEvicted(); len(evicted) > 0 {
		sim.emit(Event{At: at, Kind: EventBlocksRemoved, Blocks: evicted})
	}
}

func (sim *Simulator) cacheUsage(s *scheduledSequence, matchedBlocks int) CacheUsage {
	usage := CacheUsage{CachedTokens: s.pinnedBlocks * prefix.BlockTokens}
	if fleetMatchedBlocks := sim.cfg.FleetIndex.MatchPrefix(s.BlockHashes); fleetMatchedBlocks > matchedBlocks {
		usage.RecomputedTokens = (fleetMatchedBlocks - matchedBlocks) * prefix.BlockTokens
	}
	for i, h := range s.BlockHashes[:s.pinnedBlocks] {
		b, _ := sim.cache.Get(h)
		if (i < len(s.TextDigests) && b.TextDigest != s.TextDigests[i]) || b.Team != s.Team {
			usage.WrongHits++
		}
	}
	return usage
}

func (sim *Simulator) emit(e Event) { sim.events = append(sim.events, e) }

func (sim *Simulator) endStep(at time.Duration) {
	var storedBlocks []uint64
	for _, s := range slices.Clone(sim.running) {
		if s.stepPrefillTokens > 0 {
			if s.CrashesEngine {
				sim.emit(Event{At: at, Kind: EventEngineCrashed, SequenceID: s.ID})
				return
			}
			storedBlocks = sim.finishPrefillChunk(s, storedBlocks)
		} else if s.prefillTokensLeft > 0 {
			continue
		}
		if s.prefillTokensLeft > 0 {
			continue
		}
		if s.nextOutputToken < s.MaxTokens {
			sim.emit(Event{At: at, Kind: EventToken, SequenceID: s.ID, TokenIndex: s.nextOutputToken})
			s.nextOutputToken++
		}
		if s.nextOutputToken >= s.MaxTokens {
			sim.removeSequence(s)
			sim.emit(Event{At: at, Kind: EventDone, SequenceID: s.ID})
		}
	}
	if len(storedBlocks) > 0 {
		sim.emit(Event{At: at, Kind: EventBlocksStored, Blocks: storedBlocks})
	}
}

// computed takes over the planned prompt tokens of a sequence and stores the
// blocks that are now complete.
func (sim *Simulator) finishPrefillChunk(s *scheduledSequence, storedBlocks []uint64) []uint64 {
	s.prefillTokensLeft -= s.stepPrefillTokens
	s.stepPrefillTokens = 0
	computedBlocks := min(s.PromptTokens, s.PromptTokens+s.ResumeTokens-s.prefillTokensLeft) / prefix.BlockTokens
	for s.pinnedBlocks < min(computedBlocks, len(s.BlockHashes)) {
		b := Block{Hash: s.BlockHashes[s.pinnedBlocks], Team: s.Team}
		if s.pinnedBlocks < len(s.TextDigests) {
			b.TextDigest = s.TextDigests[s.pinnedBlocks]
		}
		if sim.cache.StoreReserved(b) {
			storedBlocks = append(storedBlocks, b.Hash)
		}
		s.pinnedBlocks++
		s.reservedBlocks--
	}
	return storedBlocks
}

// Load returns the present load.
func (sim *Simulator) Load() Load {
	l := Load{Running: len(sim.running), Waiting: len(sim.waiting), FreeBlocks: sim.cache.UnusedBlocks() + sim.cache.evictionOrder.Len()}
	for _, sequences := range [...][]*scheduledSequence{sim.running, sim.waiting} {
		for _, s := range sequences {
			l.QueuedTokens += s.prefillTokensLeft
		}
	}
	return l
}

// Idle reports whether no sequence waits or runs.
func (sim *Simulator) Idle() bool { return len(sim.running)+len(sim.waiting) == 0 }
