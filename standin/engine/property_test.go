package engine

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed gives CI the same cases on every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// eventChecker compares the events of a simulator with its state.
type eventChecker struct {
	sim        *Simulator
	fleetIndex *FleetCacheIndex
	now        time.Duration
	// nextToken, maxTokens and ended are keyed by sequence ID.
	nextToken map[string]int
	maxTokens map[string]int
	ended     map[string]bool
	// reportedBlocks is true for blocks that are cached according to the events.
	reportedBlocks map[uint64]bool
	submitted      int
}

func (c *eventChecker) applyEvents(t *rapid.T, events []Event) {
	for _, e := range events {
		switch e.Kind {
		case EventToken:
			if e.TokenIndex != c.nextToken[e.SequenceID] {
				t.Fatalf("%s: token %d, expected %d", e.SequenceID, e.TokenIndex, c.nextToken[e.SequenceID])
			}
			c.nextToken[e.SequenceID]++
		case EventDone:
			if c.ended[e.SequenceID] || c.nextToken[e.SequenceID] != c.maxTokens[e.SequenceID] {
				t.Fatalf("%s ended after %d of %d tokens", e.SequenceID, c.nextToken[e.SequenceID], c.maxTokens[e.SequenceID])
			}
			c.ended[e.SequenceID] = true
		case EventBlocksStored, EventBlocksRemoved:
			for _, b := range e.Blocks {
				c.reportedBlocks[b] = e.Kind == EventBlocksStored
			}
		}
	}
}

func (c *eventChecker) checkInvariants(t *rapid.T) {
	cache := c.sim.Cache()
	if cache.UnusedBlocks() < 0 || cache.reservedBlocks < 0 {
		t.Fatalf("%d unused and %d reserved blocks", cache.UnusedBlocks(), cache.reservedBlocks)
	}
	for h := range cache.entries {
		if !c.reportedBlocks[h] {
			t.Fatalf("block %x is cached but was not reported", h)
		}
		if c.fleetIndex.MatchPrefix([]uint64{h}) != 1 {
			t.Fatalf("block %x is not in the fleet index", h)
		}
	}
	for h, in := range c.reportedBlocks {
		if in && cache.entries[h] == nil {
			t.Fatalf("block %x was reported but is not cached", h)
		}
	}
}

// Guards against leaked or overcommitted blocks, cache events that do not match the
// cache content, and lost, repeated or reordered tokens, for any mix of submitted and
// cancelled sequences.
func TestSimulatorProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleetIndex := NewFleetCacheIndex()
		checker := &eventChecker{
			fleetIndex: fleetIndex, sim: NewSimulator(SimulatorConfig{CacheBlocks: 24, MaxRunning: 3, MaxWaiting: 8, FleetIndex: fleetIndex}),
			nextToken: map[string]int{}, maxTokens: map[string]int{}, ended: map[string]bool{}, reportedBlocks: map[uint64]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				checker.submitted++
				s := Sequence{
					ID: fmt.Sprint(checker.submitted), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					PromptTokens: rapid.IntRange(1, 1000).Draw(t, "prompt"),
					MaxTokens:    rapid.IntRange(1, 200).Draw(t, "output"),
				}
				s.ResumeTokens = rapid.IntRange(0, s.MaxTokens).Draw(t, "resume")
				s.BlockHashes = blockHashChain(uint64(rapid.IntRange(1, 3).Draw(t, "chain")), 16)
				if checker.sim.Submit(checker.now, s) == nil {
					checker.nextToken[s.ID], checker.maxTokens[s.ID] = s.ResumeTokens, s.MaxTokens
				}
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, max(checker.submitted, 1)).Draw(t, "id"))
				if checker.sim.Cancel(id) {
					checker.ended[id] = true
				}
			},
			"advance": func(t *rapid.T) {
				checker.now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
				checker.applyEvents(t, checker.sim.Advance(checker.now, nil))
			},
			"": func(t *rapid.T) {
				// The events up to now must be applied before the cache is compared.
				checker.applyEvents(t, checker.sim.Advance(checker.now, nil))
				checker.checkInvariants(t)
			},
		})
		checker.applyEvents(t, runUntilIdle(checker.sim))
		checker.checkInvariants(t)
		for id := range checker.maxTokens {
			if !checker.ended[id] {
				t.Fatalf("%s never ended", id)
			}
		}
		if cache := checker.sim.Cache(); cache.reservedBlocks != 0 || cache.UnusedBlocks()+cache.evictionOrder.Len() != 24 {
			t.Fatalf("%d blocks leaked", cache.reservedBlocks)
		}
	})
}
