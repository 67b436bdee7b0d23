package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func runUntilIdle(sim *Simulator) []Event {
	var events []Event
	for {
		at, busy := sim.NextStepEnd()
		if !busy {
			return events
		}
		events = sim.Advance(at, events)
	}
}

func blockHashChain(seed uint64, n int) []uint64 {
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = seed<<32 + uint64(i) + 1
	}
	return hashes
}

func tokenIndexes(events []Event, id string) (indexes []int) {
	for _, e := range events {
		if e.Kind == EventToken && e.SequenceID == id {
			indexes = append(indexes, e.TokenIndex)
		}
	}
	return indexes
}

func cacheUsageOf(t *testing.T, events []Event, id string) CacheUsage {
	t.Helper()
	for _, e := range events {
		if e.Kind == EventStarted && e.SequenceID == id {
			return e.CacheUsage
		}
	}
	t.Fatalf("sequence %s did not start", id)
	return CacheUsage{}
}

// Guards against a cache that exceeds its capacity or does not evict the least recently
// used blocks first, and against blocks that stay pinned or reserved.
func TestCacheIsBoundedAndLeastRecentlyUsed(t *testing.T) {
	sim := NewSimulator(SimulatorConfig{CacheBlocks: 10})
	run := func(id string, seed uint64) CacheUsage {
		assert.NilError(t, sim.Submit(0, Sequence{ID: id, PromptTokens: 4 * 64, BlockHashes: blockHashChain(seed, 4), MaxTokens: 1}))
		return cacheUsageOf(t, runUntilIdle(sim), id)
	}
	assert.Equal(t, run("a", 1).CachedTokens, 0)
	assert.Equal(t, run("b", 2).CachedTokens, 0)
	// The last block is computed again to obtain the first output token.
	assert.Equal(t, run("a2", 1).CachedTokens, 3*64)
	assert.Equal(t, run("c", 3).CachedTokens, 0)
	assert.Equal(t, run("a3", 1).CachedTokens, 3*64)
	assert.Equal(t, run("b2", 2).CachedTokens, 0)
	assert.Equal(t, sim.Cache().UnusedBlocks()+sim.Cache().evictionOrder.Len(), 10)
	assert.Equal(t, sim.Cache().reservedBlocks, 0)
}

// Guards against evicting the first blocks of a prompt before the last ones: the
// remaining blocks could not be used without them.
func TestDeepestBlockIsEvictedFirst(t *testing.T) {
	sim := NewSimulator(SimulatorConfig{CacheBlocks: 10})
	assert.NilError(t, sim.Submit(0, Sequence{ID: "a", PromptTokens: 4 * 64, BlockHashes: blockHashChain(1, 4), MaxTokens: 1}))
	runUntilIdle(sim)
	assert.NilError(t, sim.Submit(0, Sequence{ID: "b", PromptTokens: 7*64 + 1, BlockHashes: blockHashChain(2, 7), MaxTokens: 1}))
	runUntilIdle(sim)
	assert.Equal(t, sim.Cache().MatchPrefix(blockHashChain(1, 4)), 2)
}

// Guards against a long prefill that stalls the output of other sequences, and
// against lost or repeated output tokens.
func TestStepsMixPrefillAndDecode(t *testing.T) {
	sim := NewSimulator(SimulatorConfig{Timing: StepTiming{MaxPrefillTokensPerStep: 128}})
	assert.NilError(t, sim.Submit(0, Sequence{ID: "short", PromptTokens: 64, MaxTokens: 8}))
	assert.NilError(t, sim.Submit(0, Sequence{ID: "long", PromptTokens: 1024, MaxTokens: 2}))
	events := runUntilIdle(sim)
	assert.DeepEqual(t, tokenIndexes(events, "short"), []int{0, 1, 2, 3, 4, 5, 6, 7})
	assert.DeepEqual(t, tokenIndexes(events, "long"), []int{0, 1})
	var order []string
	for _, e := range events {
		if e.Kind == EventDone {
			order = append(order, e.SequenceID)
		}
	}
	assert.DeepEqual(t, order, []string{"short", "long"})
	assert.Assert(t, sim.Idle())
}

// Guards against a queue that ignores priorities, and against resumed output that
// does not continue after the delivered tokens.
func TestPrioritiesAndResume(t *testing.T) {
	sim := NewSimulator(SimulatorConfig{MaxRunning: 1})
	for _, s := range []Sequence{
		{ID: "first", PromptTokens: 10, MaxTokens: 2},
		{ID: "low", PromptTokens: 10, MaxTokens: 2},
		{ID: "high", Priority: 5, PromptTokens: 10, MaxTokens: 4, ResumeTokens: 2},
	} {
		assert.NilError(t, sim.Submit(0, s))
	}
	events := runUntilIdle(sim)
	assert.DeepEqual(t, tokenIndexes(events, "high"), []int{2, 3})
	var order []string
	for _, e := range events {
		if e.Kind == EventStarted {
			order = append(order, e.SequenceID)
		}
	}
	assert.DeepEqual(t, order, []string{"first", "high", "low"})
}

// Guards against cancelled sequences, waiting or running, that keep their place in
// the batch or their blocks.
func TestCancelFreesSlotAndBlocks(t *testing.T) {
	sim := NewSimulator(SimulatorConfig{MaxRunning: 1, CacheBlocks: 20})
	for _, id := range []string{"a", "b", "c"} {
		assert.NilError(t, sim.Submit(0, Sequence{ID: id, PromptTokens: 640, BlockHashes: blockHashChain(1, 10), MaxTokens: 64}))
	}
	assert.Assert(t, sim.Cancel("b"))
	assert.Assert(t, !sim.Cancel("b"))
	sim.Advance(50*time.Millisecond, nil)
	assert.Assert(t, sim.Cancel("a"))
	events := runUntilIdle(sim)
	assert.Equal(t, len(tokenIndexes(events, "a"))+len(tokenIndexes(events, "b")), 0)
	assert.Equal(t, len(tokenIndexes(events, "c")), 64)
	assert.Equal(t, sim.Load(), Load{FreeBlocks: 20})
}

// Guards against recomputation of blocks that another engine caches not being
// counted, and against counting the last block of a complete hit, which is always
// computed.
func TestFleetCacheIndexCountsRecomputation(t *testing.T) {
	fleetIndex := NewFleetCacheIndex()
	a, b := NewSimulator(SimulatorConfig{FleetIndex: fleetIndex}), NewSimulator(SimulatorConfig{FleetIndex: fleetIndex})
	s := Sequence{ID: "x", PromptTokens: 4*64 + 10, BlockHashes: blockHashChain(1, 4), MaxTokens: 1}
	assert.NilError(t, a.Submit(0, s))
	assert.Equal(t, cacheUsageOf(t, runUntilIdle(a), "x").RecomputedTokens, 0)
	assert.NilError(t, b.Submit(0, s))
	assert.Equal(t, cacheUsageOf(t, runUntilIdle(b), "x").RecomputedTokens, 4*64)
	s.PromptTokens = 4 * 64
	assert.NilError(t, a.Submit(0, s))
	assert.Equal(t, cacheUsageOf(t, runUntilIdle(a), "x"), CacheUsage{CachedTokens: 3 * 64})
	a.Cache().Clear()
	b.Cache().Clear()
	assert.Equal(t, fleetIndex.MatchPrefix(s.BlockHashes), 0)
}

// Guards against cache hits on blocks of another team, or of another text with the
// same hash, not being counted.
func TestWrongHitsAreCounted(t *testing.T) {
	sim := NewSimulator(SimulatorConfig{})
	s := Sequence{ID: "x", Team: "a", PromptTokens: 200, BlockHashes: blockHashChain(1, 3), TextDigests: []uint64{7, 8, 9}, MaxTokens: 1}
	assert.NilError(t, sim.Submit(0, s))
	assert.Equal(t, cacheUsageOf(t, runUntilIdle(sim), "x").WrongHits, 0)
	s.TextDigests = []uint64{7, 1, 2}
	assert.NilError(t, sim.Submit(0, s))
	assert.Equal(t, cacheUsageOf(t, runUntilIdle(sim), "x").WrongHits, 2)
	s.Team = "b"
	assert.NilError(t, sim.Submit(0, s))
	assert.Equal(t, cacheUsageOf(t, runUntilIdle(sim), "x").WrongHits, 3)
}

// Guards against events that become visible before the delay, and against dropped
// events that leave no gap in the sequence numbers.
func TestEventLogDelaysAndDrops(t *testing.T) {
	l := CacheEventLog{VisibilityDelay: 10 * time.Millisecond}
	l.Append(0, OpStored, []uint64{1})
	l.DropNext = 1
	l.Append(0, OpStored, []uint64{2})
	l.Append(5*time.Millisecond, OpRemoved, []uint64{1})
	events, next := l.Since(9*time.Millisecond, 0)
	assert.Equal(t, len(events), 0)
	assert.Equal(t, next, 10*time.Millisecond)
	events, next = l.Since(10*time.Millisecond, 0)
	assert.DeepEqual(t, events, []CacheEvent{{Seq: 1, Op: OpStored, Blocks: []uint64{1}}})
	assert.Equal(t, next, 15*time.Millisecond)
	events, _ = l.Since(time.Second, 1)
	assert.DeepEqual(t, events, []CacheEvent{{Seq: 3, Op: OpRemoved, Blocks: []uint64{1}}})
}
