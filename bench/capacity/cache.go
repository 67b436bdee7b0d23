package capacity

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/modules/engine"
)

const (
	// cachedBlocksPerAgent and agentCacheEventsPerSecond are the fleet's totals divided
	// by the number of endpoints.
	cachedBlocksPerAgent      = targetCachedBlocks / targetEndpoints
	agentCacheEventsPerSecond = targetCacheEventsPerSecond / targetEndpoints
	// cacheEventPollsPerSecond is how often an agent polls the engine for cache
	// events by default.
	cacheEventPollsPerSecond = 10
	cacheEventsPerPoll       = agentCacheEventsPerSecond / cacheEventPollsPerSecond
)

func randomBlockHashes(n int) []uint64 {
	rng := rand.New(rand.NewPCG(5, 6))
	list := make([]uint64, n)
	for i := range list {
		list[i] = rng.Uint64()
	}
	return list
}

func measureCache(s *Slopes) error {
	hashes := randomBlockHashes(cachedBlocksPerAgent + 1<<16)
	small := addedHeapBytes(func() any { return newCacheView(hashes[:cachedBlocksPerAgent/10]) })
	large := addedHeapBytes(func() any { return newCacheView(hashes[:cachedBlocksPerAgent]) })
	s.addMeasured("cache.block", (large-small)/(cachedBlocksPerAgent-cachedBlocksPerAgent/10), "B", "slope from 3809 to 38095 blocks")

	view := newCacheView(hashes[:cachedBlocksPerAgent])
	seq := uint64(1)
	apply := func(int) {
		// Alternates between events that store a block and events that remove one.
		events := make([]admission.CacheEvent, cacheEventsPerPoll)
		for i := range events {
			op := admission.EventStored
			if i%2 == 1 {
				op = admission.EventRemoved
			}
			events[i] = admission.CacheEvent{Seq: seq, Op: op, Blocks: hashes[cachedBlocksPerAgent+int(seq/2)%(1<<16):][:1]}
			seq++
		}
		view.ApplyEvents(time.Duration(seq)*time.Millisecond, 1, events)
	}
	s.addMeasured("cache.event", cpuMicrosPerCall(2000, apply)/cacheEventsPerPoll, "µs", "38095 blocks, batches of 26 events of one block")
	return measureCacheDecoding(s, hashes)
}

func newCacheView(hashes []uint64) *admission.CacheView {
	v := admission.NewCacheView()
	v.ApplySnapshot(0, 1, 1, hashes)
	return v
}

// measureCacheDecoding measures the decoding of the engine's JSON responses.
func measureCacheDecoding(s *Slopes, hashes []uint64) error {
	batch := engine.CacheEventBatch{Incarnation: 1, LastSeq: 1e9}
	for i := range cacheEventsPerPoll {
		batch.Events = append(batch.Events, engine.CacheEvent{Seq: 1e9 + uint64(i), Op: "stored", Blocks: hashes[i : i+1]})
	}
	encoded, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	s.addCount("cache.event_json", float64(len(encoded))/cacheEventsPerPoll, "B", "batches of 26 events of one block")
	var decodeErr error
	decode := func(int) {
		var in engine.CacheEventBatch
		if err := json.Unmarshal(encoded, &in); err != nil {
			decodeErr = err
		}
	}
	s.addMeasured("cache.event_decode", cpuMicrosPerCall(2000, decode)/cacheEventsPerPoll, "µs", "batches of 26 events of one block")
	snapshot, err := json.Marshal(hashes[:cachedBlocksPerAgent])
	if err != nil {
		return err
	}
	s.addMeasured("cache.snapshot", cpuMicrosPerCall(3, func(int) {
		var blocks []uint64
		if err := json.Unmarshal(snapshot, &blocks); err != nil {
			decodeErr = err
		}
		newCacheView(blocks)
	})/cachedBlocksPerAgent, "µs", "per block of a snapshot of 38095, JSON included")
	return decodeErr
}
