package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/prefix"
)

var fleetSizes = []int{18, 200, 2100}

func testEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{Name: fmt.Sprintf("e-%04d", i), Zone: fmt.Sprintf("z-%d", i%6)}
	}
	return list
}

func testRequest(client int) *Request {
	namespaceHash := prefix.Namespace{Team: "t", Model: "m"}.Hash()
	r := &Request{Pool: "all", NamespaceHash: namespaceHash, Zone: "z-0", SharedPrefixBlocks: []int{32, 64}, PromptTokens: 80 * prefix.TokensPerBlock}
	hash := namespaceHash
	for i := range 80 {
		id := uint64(i)
		if i >= 32 {
			id += uint64(client+1) << 20
		}
		hash = mix(hash, id)
		r.BlockHashes = append(r.BlockHashes, hash)
	}
	return r
}

// newWarmPlacer returns a placer with load reports of all n endpoints and some placed
// requests.
func newWarmPlacer(n int) *Placer {
	p := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	p.SetPool("all", testEndpoints(n))
	for i, e := range testEndpoints(n) {
		p.ObserveLoad(time.Second, e.Name, Load{ExpectedWaitMS: float64(i % 97), PrefillMSPerToken: 0.1, EngineIncarnation: 1})
	}
	for i := range 300 {
		r := testRequest(i % 50)
		c := p.Rank(time.Second, r, nil)
		p.ObserveAdmitted(time.Second, c[0].Endpoint, r, c[0].CachedTokens)
	}
	return p
}

// Guards against a decision whose work grows with the number of endpoints, which would
// exceed a router's CPU budget at the target scale.
func TestRankExaminesFewEndpointsAtAnySize(t *testing.T) {
	for _, n := range fleetSizes {
		p, most := newWarmPlacer(n), 0
		for i := range 200 {
			p.Rank(time.Second, testRequest(i), nil)
			most = max(most, p.EndpointsExamined())
		}
		assert.Assert(t, most > 0 && most <= maxExamined, "%d endpoints: examined %d", n, most)
	}
}

// Guards against allocations in decisions, which cause garbage collection pauses at
// peak load.
func TestRankAndObserveDoNotAllocate(t *testing.T) {
	p := newWarmPlacer(2100)
	buf := make([]Candidate, 0, 8)
	reqs := []*Request{testRequest(1), testRequest(7), testRequest(1000)}
	reqs[1].Exclude = []string{"e-0001", "e-0002"}
	i := 0
	got := testing.AllocsPerRun(300, func() {
		r := reqs[i%len(reqs)]
		i++
		buf = p.Rank(2*time.Second, r, buf[:0])
		p.ObserveLoad(2*time.Second, buf[0].Endpoint, Load{ExpectedWaitMS: 3, EngineIncarnation: 1})
		p.ObserveAdmitted(2*time.Second, buf[0].Endpoint, r, 0)
		p.ObserveRefused(2*time.Second, buf[0].Endpoint, r, 640, 5)
	})
	assert.Equal(t, got, 0.0)
}

// Guards against routers that prefer different endpoints for a prefix, so that the
// prefix is computed and cached at several of them.
func TestRoutersWithEmptyIndexAgree(t *testing.T) {
	a := New(Config{}, rand.New(rand.NewPCG(1, 1)))
	b := New(Config{}, rand.New(rand.NewPCG(9, 9)))
	list := testEndpoints(200)
	a.SetPool("all", list)
	slices.Reverse(list)
	b.SetPool("all", list)
	for i := range 100 {
		r := testRequest(i)
		// The cost of crossing zones can favour a later endpoint of the ring's order
		// in the router's zone; both routers are in the same zone.
		assert.Equal(t, a.Rank(0, r, nil)[0].Endpoint, b.Rank(0, r, nil)[0].Endpoint)
	}
}

// Guards against a router that expects cached prefixes at an endpoint whose engine has
// restarted and lost its cache.
func TestHolderIsUsedUntilItsEngineRestarts(t *testing.T) {
	p := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	p.SetPool("all", testEndpoints(200))
	r := testRequest(1)
	p.ObserveLoad(time.Second, "e-0150", Load{EngineIncarnation: 1})
	p.ObserveAdmitted(time.Second, "e-0150", r, 0)
	first := p.Rank(2*time.Second, r, nil)[0]
	assert.Equal(t, first.Endpoint, "e-0150")
	assert.Equal(t, first.Source, SourcePrefixIndex)
	p.ObserveLoad(3*time.Second, "e-0150", Load{EngineIncarnation: 2})
	for _, c := range p.Rank(3*time.Second, r, nil) {
		assert.Assert(t, c.Source != SourcePrefixIndex)
	}
}

// Guards against an expected cached prefix that overrides the cached prefix that an
// endpoint reported with its refusal. The request would go to an endpoint that has to
// recompute the whole prompt.
func TestRefusalCorrectsExpectedCachedTokens(t *testing.T) {
	p := New(Config{MaxCandidates: 30}, rand.New(rand.NewPCG(1, 2)))
	p.SetPool("all", testEndpoints(18))
	r := testRequest(1)
	for _, e := range testEndpoints(18) {
		p.ObserveAdmitted(time.Second, e.Name, r, 0)
	}
	first := p.Rank(time.Second, r, nil)[0].Endpoint
	p.ObserveRefused(time.Second, first, r, 16*prefix.TokensPerBlock, 400)
	r.Exclude, r.RefusedForCost = []string{first}, []string{first}
	offeredAgain := false
	for _, c := range p.Rank(time.Second, r, nil) {
		if c.Endpoint == first {
			offeredAgain = true
			assert.Equal(t, c.CachedTokens, 16*prefix.TokensPerBlock)
			assert.Assert(t, c.MustQueue)
		}
	}
	assert.Assert(t, offeredAgain)
}

// Guards against candidates that were tried before, that drain, or whose last attempt
// failed a moment ago.
func TestRankSkipsExcludedDrainingAndFailedEndpoints(t *testing.T) {
	p := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	p.SetPool("all", testEndpoints(5))
	p.ObserveLoad(0, "e-0001", Load{Draining: true})
	p.ObserveFailure(0, "e-0002")
	r := testRequest(1)
	r.Exclude = []string{"e-0000", "e-0003"}
	got := p.Rank(time.Millisecond, r, nil)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Endpoint, "e-0004")
	assert.Assert(t, got[0].MustQueue)
}

// Guards against uneven shares of the hash ring, which overload some endpoints, and
// against a removed endpoint that changes the order of the others, so that their
// cached prefixes are no longer found.
func TestRingIsEvenAndStable(t *testing.T) {
	ids := make([]int32, 200)
	for i := range ids {
		ids[i] = int32(i)
	}
	name := func(id int32) string { return fmt.Sprintf("e-%04d", id) }
	full, reduced := newRing(ids, name), newRing(ids[50:], name)
	counts := make([]int, 200)
	walk := func(r *ring, key uint64, n int) (order []int32) {
		for i := r.positionOf(key); len(order) < n; i++ {
			if id := r.endpointAt(i); !slices.Contains(order, id) {
				order = append(order, id)
			}
		}
		return order
	}
	for k := range uint64(20_000) {
		before := walk(&full, k, 24)
		counts[before[0]]++
		before = slices.DeleteFunc(before, func(id int32) bool { return id < 50 })
		assert.DeepEqual(t, walk(&reduced, k, 3), before[:3])
	}
	assert.Assert(t, slices.Max(counts) < 175 && slices.Min(counts) > 45, "%d to %d", slices.Min(counts), slices.Max(counts))
}

func BenchmarkRank(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("endpoints-%d", n), func(b *testing.B) {
			p := newWarmPlacer(n)
			reqs := make([]*Request, 64)
			for i := range reqs {
				reqs[i] = testRequest(i)
			}
			buf := make([]Candidate, 0, 8)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				buf = p.Rank(2*time.Second, reqs[i%len(reqs)], buf[:0])
			}
			b.ReportMetric(float64(p.EndpointsExamined()), "touched/op")
			b.ReportMetric(float64(unsafe.Sizeof(prefixEntry{})), "B/prefix")
			perEndpoint := unsafe.Sizeof(endpointState{}) + 2*unsafe.Sizeof(uint32(0))
			b.ReportMetric(float64(perEndpoint)+float64(unsafe.Sizeof(ringPoint{}))*pointsPerEndpoint, "B/endpoint")
		})
	}
}

func BenchmarkSetPool(b *testing.B) {
	p, list := newWarmPlacer(2100), testEndpoints(2100)
	b.ResetTimer()
	for range b.N {
		p.SetPool("all", list)
	}
}
