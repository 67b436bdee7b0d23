package engine

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/prefix"
)

// Errors of Simulator.Submit.
var (
	// ErrQueueFull means that SimulatorConfig.MaxWaiting sequences wait.
	ErrQueueFull = errors.New("engine queue is full")
	// ErrTooLong means that a sequence needs more blocks than the cache can hold.
	ErrTooLong = errors.New("sequence does not fit the cache")
	// ErrDuplicateID means that a sequence with the same id waits or runs.
	ErrDuplicateID = errors.New("a sequence with this id is running")
)

// StepTiming determines how long the batch steps of an engine take.
type StepTiming struct {
	// StepOverhead is the fixed part of the duration of a step. Default 10ms.
	StepOverhead time.Duration
	// PrefillTokenTime is added to a step for each prompt token it computes.
	// Default 50µs, which is 20,000 tokens per second.
	PrefillTokenTime time.Duration
	// DecodeTokenTime is added to a step for each sequence whose prompt was
	// computed before the step. Default 200µs.
	DecodeTokenTime time.Duration
	// MaxPrefillTokensPerStep limits the prompt tokens computed in one step.
	// Default 512.
	MaxPrefillTokensPerStep int
}

// SimulatorConfig configures a Simulator. Zero values mean defaults.
type SimulatorConfig struct {
	Timing StepTiming
	// CacheBlocks is the size of the cache in blocks. Default 4096.
	CacheBlocks int
	// MaxRunning limits the sequences in the batch. Default 16.
	MaxRunning int
	// MaxWaiting limits the sequences in the queue. Default 256.
	MaxWaiting int
	// FleetIndex may be nil; then RecomputedTokens is always 0.
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

// Sequence is a completion to compute.
type Sequence struct {
	ID string
	// Priority orders waiting sequences; the highest is started first.
	Priority     int
	Team         string
	PromptTokens int
	// BlockHashes are the chained hashes of the prompt's blocks; without them
	// nothing is cached.
	BlockHashes []uint64
	// TextDigests identify the prompt text up to the end of each block in
	// BlockHashes, to detect wrong cache hits.
	TextDigests []uint64
	// MaxTokens is the number of output tokens; generation never ends earlier.
	// ResumeTokens is how many of them an earlier attempt delivered.
	MaxTokens    int
	ResumeTokens int
	// CrashesEngine makes the engine crash at the end of the first step that
	// computes prompt tokens of the sequence.
	CrashesEngine bool
}

// EventKind is what an Event reports.
type EventKind int

// Values of Event.Kind.
const (
	// EventStarted means that the sequence joined the batch.
	EventStarted EventKind = iota + 1
	// EventToken means that the output token TokenIndex was produced.
	EventToken
	// EventDone means that the sequence has produced all its tokens.
	EventDone
	// EventEngineCrashed means that the sequence crashed the engine.
	EventEngineCrashed
	// EventBlocksStored and EventBlocksRemoved report changes of the cache.
	EventBlocksStored
	EventBlocksRemoved
)

// Event is a state change of a Simulator.
type Event struct {
	At   time.Duration
	Kind EventKind
	// SequenceID is empty for EventBlocksStored and EventBlocksRemoved.
	SequenceID string
	// TokenIndex is set for EventToken.
	TokenIndex int
	// CacheUsage is set for EventStarted.
	CacheUsage CacheUsage
	// Blocks are the block hashes of EventBlocksStored and EventBlocksRemoved.
	Blocks []uint64
}

// CacheUsage describes the cache hits and misses of a sequence that joins the
// batch.
type CacheUsage struct {
	// CachedTokens are the prompt tokens taken from the cache.
	CachedTokens int
	// RecomputedTokens are the prompt tokens missing from this cache that were
	// cached by another engine of the fleet.
	RecomputedTokens int
	// WrongHits counts cached blocks of another prompt text or another team.
	WrongHits int
}

type scheduledSequence struct {
	Sequence
	arrivalNumber uint64
	// pinnedBlocks is the number of leading BlockHashes pinned in the cache.
	pinnedBlocks   int
	reservedBlocks int
	// prefillTokensLeft are the prompt and resumed tokens still to be computed.
	prefillTokensLeft int
	// stepPrefillTokens are computed in the current step.
	stepPrefillTokens int
	nextOutputToken   int
	removed           bool
}

// Load is the load of an engine.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens are the prompt and resumed tokens still to be computed, of
	// waiting and running sequences.
	QueuedTokens int `json:"queued_tokens"`
	// FreeBlocks are the cache blocks that are unused or can be evicted.
	FreeBlocks int `json:"free_blocks"`
}

// Simulator simulates an engine with continuous batching, without clock or I/O.
// Each step computes up to MaxPrefillTokensPerStep prompt tokens, and one output
// token for each sequence whose prompt is computed. It is not safe for concurrent
// use.
type Simulator struct {
	cfg          SimulatorConfig
	cache        *Cache
	waiting      []*scheduledSequence
	running      []*scheduledSequence
	arrivalCount uint64
	stepRunning  bool
	stepEndsAt   time.Duration
	// events are those that Advance has not returned yet.
	events []Event
}

// NewSimulator returns an idle engine with an empty cache.
func NewSimulator(cfg SimulatorConfig) *Simulator {
	cfg.setDefaults()
	return &Simulator{cfg: cfg, cache: NewCache(cfg.CacheBlocks, cfg.FleetIndex)}
}

// Cache returns the block cache of the engine.
func (sim *Simulator) Cache() *Cache { return sim.cache }

func blocksForTokens(tokens int) int {
	return (tokens + prefix.TokensPerBlock - 1) / prefix.TokensPerBlock
}

// Submit queues a sequence. It fails with ErrQueueFull, ErrTooLong or
// ErrDuplicateID.
func (sim *Simulator) Submit(now time.Duration, s Sequence) error {
	switch {
	case sim.find(s.ID) != nil:
		return ErrDuplicateID
	case len(sim.waiting) >= sim.cfg.MaxWaiting:
		return ErrQueueFull
	case blocksForTokens(s.PromptTokens+s.MaxTokens) > sim.cfg.CacheBlocks:
		return ErrTooLong
	}
	s.BlockHashes = s.BlockHashes[:min(len(s.BlockHashes), s.PromptTokens/prefix.TokensPerBlock)]
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

// Cancel removes a sequence and reports whether it was waiting or running. Advance
// returns no more events of the sequence.
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

// NextStepEnd returns the end of the current step and whether a step is running.
func (sim *Simulator) NextStepEnd() (time.Duration, bool) { return sim.stepEndsAt, sim.stepRunning }

// Advance runs the steps that end by now and appends their events to dst.
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

// fillBatch moves waiting sequences into the batch while it has room and the cache
// has blocks. A sequence that does not fit blocks those behind it, so that long
// prompts are not starved.
func (sim *Simulator) fillBatch(at time.Duration) {
	for len(sim.waiting) > 0 && len(sim.running) < sim.cfg.MaxRunning {
		s := sim.waiting[0]
		matchedBlocks := sim.cache.MatchPrefix(s.BlockHashes)
		reusedBlocks := matchedBlocks
		// The last prompt token is always computed, because the first output
		// token is derived from it.
		if reusedBlocks*prefix.TokensPerBlock >= s.PromptTokens {
			reusedBlocks--
		}
		newBlocks := blocksForTokens(s.PromptTokens+s.MaxTokens) - reusedBlocks
		if !sim.cache.Reserve(s.BlockHashes[:reusedBlocks], newBlocks) {
			break
		}
		sim.waiting = sim.waiting[1:]
		sim.running = append(sim.running, s)
		s.pinnedBlocks, s.reservedBlocks = reusedBlocks, newBlocks
		s.prefillTokensLeft -= reusedBlocks * prefix.TokensPerBlock
		sim.emit(Event{At: at, Kind: EventStarted, SequenceID: s.ID, CacheUsage: sim.cacheUsage(s, matchedBlocks)})
	}
	if evicted := sim.cache.TakeEvicted(); len(evicted) > 0 {
		sim.emit(Event{At: at, Kind: EventBlocksRemoved, Blocks: evicted})
	}
}

func (sim *Simulator) cacheUsage(s *scheduledSequence, matchedBlocks int) CacheUsage {
	usage := CacheUsage{CachedTokens: s.pinnedBlocks * prefix.TokensPerBlock}
	if fleetMatchedBlocks := sim.cfg.FleetIndex.MatchPrefix(s.BlockHashes); fleetMatchedBlocks > matchedBlocks {
		usage.RecomputedTokens = (fleetMatchedBlocks - matchedBlocks) * prefix.TokensPerBlock
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

// finishPrefillChunk completes the prompt tokens of a sequence in this step, stores
// the blocks that are now complete and appends the hashes of new ones to
// storedBlocks.
func (sim *Simulator) finishPrefillChunk(s *scheduledSequence, storedBlocks []uint64) []uint64 {
	s.prefillTokensLeft -= s.stepPrefillTokens
	s.stepPrefillTokens = 0
	computedBlocks := min(s.PromptTokens, s.PromptTokens+s.ResumeTokens-s.prefillTokensLeft) / prefix.TokensPerBlock
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

// Load returns the current load.
func (sim *Simulator) Load() Load {
	l := Load{Running: len(sim.running), Waiting: len(sim.waiting), FreeBlocks: sim.cache.UnusedBlocks() + sim.cache.evictionOrder.Len()}
	for _, sequences := range [...][]*scheduledSequence{sim.running, sim.waiting} {
		for _, s := range sequences {
			l.QueuedTokens += s.prefillTokensLeft
		}
	}
	return l
}

// Idle reports whether no sequence is waiting or running.
func (sim *Simulator) Idle() bool { return len(sim.running)+len(sim.waiting) == 0 }
