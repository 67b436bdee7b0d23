package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/decision/prefix"
)

const (
	poolName = "model/m/"
	// promptBlocks is the prompt length in blocks: 1,400 tokens, about the mean of the
	// generated workload (guidance 900, layer 400, request 80).
	promptBlocks = 22
	// sharedPromptBlocks is the length of the prefix that other requests share.
	sharedPromptBlocks = 20
	// learnedIndexEntries is the default capacity of the learned index.
	learnedIndexEntries = 1 << 15
)

// endpointCounts are the numbers of endpoints of the two deployments and of the target.
var endpointCounts = []int{18, 200, targetEndpoints}

func newEndpoints(n int) []placement.Endpoint {
	list := make([]placement.Endpoint, n)
	for i := range list {
		list[i] = placement.Endpoint{Name: endpointName(i), Zone: zoneName(i)}
	}
	return list
}

func endpointName(i int) string { return fmt.Sprintf("llm-%04d", i) }

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%targetZones) }

func newPlacer(n int) *placement.Placer {
	p := placement.New(placement.Config{}, rand.New(rand.NewPCG(1, 2)))
	p.SetPool(poolName, newEndpoints(n))
	return p
}

// newRequests returns placement requests that share 200 prefixes.
func newRequests(n int) []*placement.Request {
	rng := rand.New(rand.NewPCG(3, 4))
	shared := make([][]uint64, 200)
	for i := range shared {
		for range sharedPromptBlocks {
			shared[i] = append(shared[i], rng.Uint64())
		}
	}
	list := make([]*placement.Request, n)
	for i := range list {
		r := &placement.Request{Pool: poolName, NamespaceHash: uint64(i % 40), Zone: zoneName(i), PromptTokens: promptBlocks * prefix.TokensPerBlock}
		r.BlockHashes = append(r.BlockHashes, shared[rng.IntN(len(shared))]...)
		for len(r.BlockHashes) < promptBlocks {
			r.BlockHashes = append(r.BlockHashes, rng.Uint64())
		}
		list[i] = r
	}
	return list
}

func measurePlacement(s *Slopes) error {
	reqs := newRequests(4096)
	var dst []placement.Candidate
	for _, n := range endpointCounts {
		p := newPlacer(n)
		maxExamined := 0
		placeRequest := func(i int) {
			now := time.Duration(i) * time.Millisecond
			r := reqs[i%len(reqs)]
			dst = p.Rank(now, r, dst[:0])
			maxExamined = max(maxExamined, p.EndpointsExamined())
			p.ObserveLoad(now, dst[0].Endpoint, placement.Load{ExpectedWaitMS: float64(i % 50), PrefillMSPerToken: 0.1, EngineIncarnation: 1})
			p.ObserveAdmitted(now, dst[0].Endpoint, r, 0)
		}
		for i := range 20000 {
			placeRequest(i)
		}
		conditions := fmt.Sprintf("%d endpoints, %d blocks", n, promptBlocks)
		s.addMeasured(fmt.Sprintf("placement.decision.%d", n), cpuMicrosPerCall(20000, placeRequest), "µs", conditions)
		if n == targetEndpoints {
			s.addCount("placement.touched", float64(maxExamined), "endpoints", conditions+", the most of one decision")
			s.addCount("placement.allocs", float64(int(allocsPerCall(20000, placeRequest))), "objects", conditions+", per decision")
		}
	}
	small, large := endpointCounts[0], targetEndpoints
	heapBytes := map[int]float64{}
	for _, n := range endpointCounts {
		heapBytes[n] = addedHeapBytes(func() any { return newPlacer(n) })
	}
	sizeRange := fmt.Sprintf("slope from %d to %d endpoints", small, large)
	s.addMeasured("placement.endpoint", (heapBytes[large]-heapBytes[small])/float64(large-small), "B", sizeRange+", one pool")
	empty := addedHeapBytes(func() any { return placement.New(placement.Config{IndexEntries: 4}, nil) })
	full := addedHeapBytes(func() any { return placement.New(placement.Config{}, nil) })
	s.addMeasured("placement.prefix", (full-empty)/(learnedIndexEntries-4), "B", "slope from 4 to 32768 learned prefixes")
	list := newEndpoints(large)
	p := newPlacer(large)
	s.addMeasured("placement.pool", cpuMicrosPerCall(5, func(int) { p.SetPool(poolName, list) })/float64(large), "µs", "per endpoint of a pool of 2100 that is replaced")
	return nil
}
