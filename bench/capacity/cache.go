package capacity

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/modules/engine"
)

const (
	// agentBlocks and agentEvents are an agent's part of the fleet's cached
	// blocks and cache events per second.
	agentBlocks = targetBlocks / targetEndpoints
	agentEvents = targetEvents / targetEndpoints
	// pollsPerSecond is how often an agent reads events with the default
	// setting.
	pollsPerSecond = 10
	batchEvents    = agentEvents / pollsPerSecond
)

func blockHashes(n int) []uint64 {
	rng := rand.New(rand.NewPCG(5, 6))
	list := make([]uint64, n)
	for i := range list {
		list[i] = rng.Uint64()
	}
	return list
}

func measureCache(s *Slopes) error {
	hashes := blockHashes(agentBlocks + 1<<16)
	small := heapOf(func() any { return viewOf(hashes[:agentBlocks/10]) })
	large := heapOf(func() any { return viewOf(hashes[:agentBlocks]) })
	s.measured("cache.block", (large-small)/(agentBlocks-agentBlocks/10), "B", "slope from 3809 to 38095 blocks")

	view := viewOf(hashes[:agentBlocks])
	seq := uint64(1)
	apply := func(int) {
		// One half of the events stores a block, the other one removes it.
		events := make([]admission.CacheEvent, batchEvents)
		for i := range events {
			op := admission.EventStored
			if i%2 == 1 {
				op = admission.EventRemoved
			}
			events[i] = admission.CacheEvent{Seq: seq, Op: op, Blocks: hashes[agentBlocks+int(seq/2)%(1<<16):][:1]}
			seq++
		}
		view.ApplyEvents(time.Duration(seq)*time.Millisecond, 1, events)
	}
	s.measured("cache.event", microsOf(2000, apply)/batchEvents, "µs", "38095 blocks, batches of 26 events of one block")
	return measureCacheJSON(s, hashes)
}

func viewOf(hashes []uint64) *admission.CacheView {
	v := admission.NewCacheView()
	v.ApplySnapshot(0, 1, 1, hashes)
	return v
}

// measureCacheJSON measures the reading of the engine's answers.
func measureCacheJSON(s *Slopes, hashes []uint64) error {
	batch := engine.CacheEventBatch{Incarnation: 1, LastSeq: 1e9}
	for i := range batchEvents {
		batch.Events = append(batch.Events, engine.CacheEvent{Seq: 1e9 + uint64(i), Op: "stored", Blocks: hashes[i : i+1]})
	}
	text, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	s.count("cache.event_json", float64(len(text))/batchEvents, "B", "batches of 26 events of one block")
	var failed error
	decode := func(int) {
		var in engine.CacheEventBatch
		if err := json.Unmarshal(text, &in); err != nil {
			failed = err
		}
	}
	s.measured("cache.event_decode", microsOf(2000, decode)/batchEvents, "µs", "batches of 26 events of one block")
	snapshot, err := json.Marshal(hashes[:agentBlocks])
	if err != nil {
		return err
	}
	s.measured("cache.snapshot", microsOf(3, func(int) {
		var blocks []uint64
		if err := json.Unmarshal(snapshot, &blocks); err != nil {
			failed = err
		}
		viewOf(blocks)
	})/agentBlocks, "µs", "per block of a snapshot of 38095, JSON included")
	return failed
}
