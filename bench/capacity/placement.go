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
	// promptBlocks is the length of a prompt: 1,400 tokens, about the mean of
	// the seeded workload (guidance 900, layer 400, request 80).
	promptBlocks = 22
	// sharedBlocks is the part of it that other requests share.
	sharedBlocks = 20
	// indexEntries is the default size of the learned index.
	indexEntries = 1 << 15
)

// fleetSizes are the endpoint counts of the two deployments and of the target.
var fleetSizes = []int{18, 200, targetEndpoints}

func endpoints(n int) []placement.Endpoint {
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
	p.SetPool(poolName, endpoints(n))
	return p
}

// requests returns placement requests with shared prefixes.
func requests(n int) []*placement.Request {
	rng := rand.New(rand.NewPCG(3, 4))
	shared := make([][]uint64, 200)
	for i := range shared {
		for range sharedBlocks {
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
	reqs := requests(4096)
	var dst []placement.Candidate
	for _, n := range fleetSizes {
		p := newPlacer(n)
		touched := 0
		decide := func(i int) {
			now := time.Duration(i) * time.Millisecond
			r := reqs[i%len(reqs)]
			dst = p.Rank(now, r, dst[:0])
			touched = max(touched, p.EndpointsExamined())
			p.ObserveLoad(now, dst[0].Endpoint, placement.Load{QueueWaitMS: float64(i % 50), PrefillMSPerToken: 0.1, EngineIncarnation: 1})
			p.ObserveAdmitted(now, dst[0].Endpoint, r, 0)
		}
		for i := range 20000 {
			decide(i)
		}
		at := fmt.Sprintf("%d endpoints, %d blocks", n, promptBlocks)
		s.measured(fmt.Sprintf("placement.decision.%d", n), microsOf(20000, decide), "µs", at)
		if n == targetEndpoints {
			s.count("placement.touched", float64(touched), "endpoints", at+", the most of one decision")
			s.count("placement.allocs", float64(int(allocsOf(20000, decide))), "objects", at+", per decision")
		}
	}
	small, large := fleetSizes[0], targetEndpoints
	sizes := map[int]float64{}
	for _, n := range fleetSizes {
		sizes[n] = heapOf(func() any { return newPlacer(n) })
	}
	between := fmt.Sprintf("slope from %d to %d endpoints", small, large)
	s.measured("placement.endpoint", (sizes[large]-sizes[small])/float64(large-small), "B", between+", one pool")
	empty := heapOf(func() any { return placement.New(placement.Config{IndexEntries: 4}, nil) })
	full := heapOf(func() any { return placement.New(placement.Config{}, nil) })
	s.measured("placement.prefix", (full-empty)/(indexEntries-4), "B", "slope from 4 to 32768 learned prefixes")
	list := endpoints(large)
	p := newPlacer(large)
	s.measured("placement.pool", microsOf(5, func(int) { p.SetPool(poolName, list) })/float64(large), "µs", "per endpoint of a pool of 2100 that is replaced")
	return nil
}
