package selection

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

const testModel = "m"

var wall = time.Unix(1000, 0)

func testConfig() Config {
	return Config{
		PrefillTokensPerMs: 40, FetchTokensPerMs: 120, RecomputeFactor: 4, RunningRequestCost: 300 * time.Microsecond,
		CrossZoneCost: 3 * time.Millisecond, OldWeightsCost: 80 * time.Millisecond, OldWeightsGrace: time.Second,
		OldWeightsLimit: 5 * time.Second, FailureCost: 500 * time.Millisecond, ServiceTime: 30 * time.Millisecond,
		HolderLifetime: time.Minute, MaxParts: 1000,
	}
}

func newView(n int, weights uint64) *fleet.View {
	v := &fleet.View{
		ByService: map[string][]*fleet.Endpoint{}, ByID: map[string]*fleet.Endpoint{},
		LatestWeightsVersions: map[string]uint64{testModel: 1}, PublishedVersions: map[string][]fleet.PublishedVersion{},
	}
	for i := range n {
		e := &fleet.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Slots: 8,
			WeightsVersions: map[string]uint64{testModel: weights},
		}
		v.ByService["llm"] = append(v.ByService["llm"], e)
		v.ByID[e.ID] = e
	}
	return v
}

// changed returns a new view with the content of v: a view is not changed once a
// choice has used it.
func copyOf(v *fleet.View) *fleet.View {
	c := *v
	return &c
}

func newRequest(first, second uint64) *Request {
	return &Request{Service: "llm", Prompt: &fleet.Prompt{
		Model: testModel, InputTokens: 9000, MaxOutputTokens: 20,
		Parts: []fleet.PromptPart{{ID: first, Tokens: 2500}, {ID: second, Tokens: 3800}, {ID: 999, Tokens: 2700}},
	}}
}

func mustSelect(t *testing.T, s *Selector, now time.Duration, v *fleet.View, r *Request) Choice {
	t.Helper()
	c, ok := s.Select(now, wall, v, r)
	assert.Assert(t, ok)
	return c
}

// run plays a request to its good end.
func runRequest(t *testing.T, s *Selector, now time.Duration, v *fleet.View, r *Request) Choice {
	t.Helper()
	c := mustSelect(t, s, now, v, r)
	s.ObserveStarted(now, r, c)
	s.ObservePrefillEnded(r, c, true)
	s.ObserveEnded(now, r, c, OutcomeGood)
	return c
}

// Routers that know nothing of each other must start a part at the same endpoint,
// or each would have it read again.
func TestRoutersPreferSameEndpointForPart(t *testing.T) {
	v := newView(18, 1)
	for part := range uint64(50) {
		a, b := New(testConfig(), "a"), New(testConfig(), "a")
		r := newRequest(1, 100+part)
		assert.Equal(t, mustSelect(t, a, 0, v, r).Endpoint.ID, mustSelect(t, b, 0, v, r).Endpoint.ID)
	}
}

// The next request with a part goes where it is cached, and elsewhere only when
// that endpoint has much more to do; the part is then fetched and not read again.
func TestCachedPartIsUsedOrFetched(t *testing.T) {
	v, s := newView(6, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	home := runRequest(t, s, 0, v, r)
	again := mustSelect(t, s, 0, v, r)
	assert.Equal(t, again.Endpoint.ID, home.Endpoint.ID)
	assert.Equal(t, again.CachedTokens, 6300)
	s.SetRemoteLoads([]EndpointLoad{{Endpoint: home.Endpoint.ID, Running: 10, PendingPrefillTokens: 100000}})
	other := mustSelect(t, s, 0, v, r)
	assert.Assert(t, other.Endpoint.ID != home.Endpoint.ID)
	assert.Equal(t, other.FetchFrom, home.Endpoint.Address)
}

// An endpoint that has the first part fetches the second one from an endpoint that
// lacks the first.
func TestLaterPartsAreFetched(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	s.ObserveCacheEvent(0, "e0", PartKey("", testModel, 1), 1, 2500)
	s.ObserveCacheEvent(0, "e1", PartKey("", testModel, 2), 1, 3800)
	s.SetRemoteLoads([]EndpointLoad{{Endpoint: "e1", Running: 10, PendingPrefillTokens: 100000}})
	c := mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, c.Endpoint.ID, "e0")
	assert.Equal(t, c.CachedTokens, 2500)
	assert.Equal(t, c.FetchFrom, v.ByID["e1"].Address)
	// What is held in part only does not count as held.
	s.ObserveCacheEvent(0, "e1", PartKey("", testModel, 2), 1, 1000)
	c = mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, c.FetchFrom, "")
}

// While weights change, an endpoint with the old ones fetches from others that have
// them, although some have read the parts under the new ones.
func TestPartsAreFetchedUnderSameWeightsVersion(t *testing.T) {
	v, s := newView(3, 1), New(testConfig(), "a")
	v.ByID["e2"].WeightsVersions[testModel] = 2
	s.SetKVCacheStore("10.0.0.9:80")
	s.ObserveCacheEvent(0, "e1", PartKey("", testModel, 1), 1, 2500)
	s.ObserveCacheEvent(0, "e2", PartKey("", testModel, 1), 2, 2500)
	s.ObserveCacheEvent(0, KVCacheStoreID, PartKey("", testModel, 2), 1, 3800)
	s.ObserveCacheEvent(0, KVCacheStoreID, PartKey("", testModel, 2), 2, 3800)
	s.SetRemoteLoads([]EndpointLoad{{Endpoint: "e1", Running: 10, PendingPrefillTokens: 100000}, {Endpoint: "e2", Running: 10, PendingPrefillTokens: 100000}})
	c := mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, c.Endpoint.ID, "e0")
	assert.Equal(t, c.FetchFrom, v.ByID["e1"].Address)
	s.ObserveCacheEvent(0, "e0", PartKey("", testModel, 1), 1, 2500)
	c = mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, c.FetchFrom, "10.0.0.9:80")
}

// Parts of the most frequent short prompts are fetched, too.
func TestSmallPartsAreFetched(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	s.ObserveCacheEvent(0, "e1", PartKey("", testModel, 1), 1, 120)
	s.SetRemoteLoads([]EndpointLoad{{Endpoint: "e1", Running: 10, PendingPrefillTokens: 100000}})
	c := mustSelect(t, s, 0, v, &Request{Service: "llm", Prompt: &fleet.Prompt{
		Model: testModel, InputTokens: 800, MaxOutputTokens: 20, Parts: []fleet.PromptPart{{ID: 1, Tokens: 120}, {ID: 999, Tokens: 680}},
	}})
	assert.Equal(t, c.Endpoint.ID, "e0")
	assert.Equal(t, c.FetchFrom, v.ByID["e1"].Address)
}

// The KV store gets what an engine reads. A copy of what engines hold anyway would
// push out parts that nobody holds.
func TestOnlyComputedPartsAreSaved(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	s.SetKVCacheStore("10.0.0.9:80")
	first := runRequest(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, first.SaveTo, "10.0.0.9:80")
	again := mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, again.CachedTokens, 6300)
	assert.Equal(t, again.SaveTo, "")
}

// A part that the engine evicted must not count as cached, and one that another
// engine holds is found by its event.
func TestCacheEventsOverrideEstimates(t *testing.T) {
	v, s := newView(6, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	home := runRequest(t, s, 0, v, r)
	for _, id := range []uint64{1, 2} {
		s.ObserveCacheEvent(0, home.Endpoint.ID, PartKey("", testModel, id), 1, 0)
	}
	assert.Equal(t, mustSelect(t, s, 0, v, r).CachedTokens, 0)
	s.ObserveCacheEvent(0, "e5", PartKey("", testModel, 1), 1, 2500)
	s.ObserveCacheEvent(0, "e5", PartKey("", testModel, 2), 1, 3800)
	c := mustSelect(t, s, 0, v, r)
	assert.Equal(t, c.Endpoint.ID, "e5")
	assert.Equal(t, c.CachedTokens, 6300)
}

// Parts of other weights or of an isolated team must never count as cached.
func TestCacheOfOtherWeightsOrTeamIsNotUsed(t *testing.T) {
	v, s := newView(3, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	runRequest(t, s, 0, v, r)
	walled := newRequest(1, 2)
	walled.CacheNamespace = "team"
	c := mustSelect(t, s, 0, v, walled)
	assert.Equal(t, c.CachedTokens, 0)
	assert.Equal(t, c.FetchFrom, "")
	c = mustSelect(t, s, 0, newView(3, 2), r)
	assert.Equal(t, c.CachedTokens, 0)
	assert.Equal(t, c.FetchFrom, "")
}

// Draining, changing and refusing endpoints get no request; one that changes soon
// gets short requests only.
func TestUnavailableEndpointsGetNoRequests(t *testing.T) {
	v, s := newView(1, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	long := newRequest(1, 2)
	long.Prompt.MaxOutputTokens = 200
	taken := func(now time.Duration, r *Request) bool {
		_, ok := s.Select(now, wall, v, r)
		return ok
	}
	assert.Assert(t, s.ObserveWeightsChangeSoon(0, "e0", testModel, 2))
	assert.Assert(t, taken(0, r) && !taken(0, long))
	assert.Assert(t, s.ObserveWeightsChangeStarted(0, "e0", testModel, 2))
	assert.Assert(t, !s.ObserveWeightsChangeStarted(0, "e0", testModel, 2), "repeated news is no news")
	assert.Assert(t, !taken(0, r))
	s.ObserveWeightsChangeDone("e0")
	assert.Assert(t, taken(0, long))
	c := mustSelect(t, s, 0, v, r)
	s.ObserveStarted(0, r, c)
	s.ObserveEnded(0, r, c, OutcomeRefused)
	assert.Assert(t, !taken(0, r) && taken(refusalBackoff, r))
	v.ByID["e0"].State = fleet.Draining
	v = copyOf(v)
	assert.Assert(t, !taken(time.Hour, r))
}

// An endpoint that does not answer is left alone for a growing time and then
// tried by one request at a time, first by one that may be repeated.
func TestUnresponsiveEndpointGetsOneTrialRequest(t *testing.T) {
	v, s := newView(1, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	c := mustSelect(t, s, 0, v, r)
	s.ObserveStarted(0, r, c)
	s.ObserveEnded(0, r, c, OutcomeNoAnswer)
	_, ok := s.Select(minSuspension/2, wall, v, r)
	assert.Assert(t, !ok)
	_, ok = s.Select(minSuspension, wall, v, r)
	assert.Assert(t, !ok, "a request that may not be repeated must not test it")
	r.Repeatable = true
	c = mustSelect(t, s, minSuspension, v, r)
	s.ObserveStarted(minSuspension, r, c)
	_, ok = s.Select(minSuspension, wall, v, r)
	assert.Assert(t, !ok, "one trial at a time")
	s.ObserveEnded(minSuspension, r, c, OutcomeGood)
	r.Repeatable = false
	mustSelect(t, s, minSuspension, v, r)
}

// Error answers alone must not take an endpoint away: all endpoints of a service
// may answer some requests so. Where all are suspended, one that answers badly is
// better than a refusal.
func TestErrorAnswersLeaveEndpointUsable(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	fail := func(o Outcome) {
		for range 20 {
			if c, ok := s.Select(0, wall, v, r); ok {
				s.ObserveStarted(0, r, c)
				s.ObserveEnded(0, r, c, o)
			}
		}
	}
	fail(OutcomeErrorAnswer)
	mustSelect(t, s, 0, v, r)
	fail(OutcomeBrokenAnswer)
	mustSelect(t, s, 0, v, r)
	fail(OutcomeNoAnswer)
	_, ok := s.Select(0, wall, v, r)
	assert.Assert(t, !ok, "endpoints that do not answer get nothing")
}

// Requests must not start on weights that were superseded for too long while
// another endpoint has the new ones, even if that one is busy.
func TestExpiredWeightsAreAvoided(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	v.ByID["e1"].WeightsVersions = map[string]uint64{testModel: 2}
	v.PublishedVersions[testModel] = []fleet.PublishedVersion{{Version: 2, PublishedAt: wall.Add(-5500 * time.Millisecond)}}
	s.SetRemoteLoads([]EndpointLoad{{Endpoint: "e1", Running: 12, PendingPrefillTokens: 40000}})
	for part := range uint64(20) {
		assert.Equal(t, mustSelect(t, s, 0, v, newRequest(1, part)).Endpoint.ID, "e1")
	}
}

// Past the limit a request is refused rather than started on old weights while
// another endpoint has new ones; but not while the store is away, and not when no
// endpoint has them yet.
func TestExpiredWeightsAreRefused(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	v.PublishedVersions[testModel] = []fleet.PublishedVersion{{Version: 2, PublishedAt: wall.Add(-7 * time.Second)}}
	r := newRequest(1, 2)
	mustSelect(t, s, 0, v, r)
	v.ByID["e1"].WeightsVersions = map[string]uint64{testModel: 2}
	v = copyOf(v)
	s.ObserveWeightsChangeStarted(0, "e1", testModel, 3)
	_, ok := s.Select(0, wall, v, r)
	assert.Assert(t, !ok)
	r.AllowExpiredWeights = true
	assert.Equal(t, mustSelect(t, s, 0, v, r).Endpoint.ID, "e0")
}

// The choice runs for each request; it must not depend on the size of the fleet
// for more than some microseconds.
func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{18, 200, 2100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, s := newView(n, 1), New(testConfig(), "a")
			r := newRequest(1, 2)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.Select(0, wall, v, r); !ok {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}

// A router that has just started reads the engines' events before callers name the
// parts; what it has heard must not be read again elsewhere.
func TestCacheEventsOfUnknownPartsAreKept(t *testing.T) {
	s, v := New(testConfig(), "a"), newView(6, 1)
	s.ObserveCacheEvent(0, "e5", PartKey("", testModel, 1), 1, 2500)
	s.ObserveCacheEvent(0, "e5", PartKey("", testModel, 2), 1, 3800)
	c := mustSelect(t, s, time.Second, v, newRequest(1, 2))
	assert.Equal(t, c.Endpoint.ID, "e5")
	assert.Equal(t, c.CachedTokens, 6300)
}

// Most events name parts of a single request; the table must not grow with them.
func TestEvictedPartsLeaveIndex(t *testing.T) {
	cfg := testConfig()
	s := New(cfg, "a")
	for id := range uint64(3 * cfg.MaxParts) {
		s.ObserveCacheEvent(0, "e1", PartKey("", testModel, id), 1, 100)
		assert.Assert(t, len(s.partIndex.holders) <= cfg.MaxParts)
	}
	for id := range uint64(3 * cfg.MaxParts) {
		s.ObserveCacheEvent(0, "e1", PartKey("", testModel, id), 1, 0)
	}
	assert.Equal(t, len(s.partIndex.holders), 0)
}

// The news that an engine has its new weights can arrive after the first request under
// them; what that one read is still there.
func TestWeightsChangeKeepsPartsOfNewVersion(t *testing.T) {
	s, v := New(testConfig(), "a"), newView(2, 1)
	runRequest(t, s, 0, v, newRequest(1, 2))
	for _, e := range v.ByService["llm"] {
		assert.Assert(t, s.ObserveWeightsChangeStarted(0, e.ID, testModel, 2))
		e.WeightsVersions[testModel] = 2
	}
	v = copyOf(v)
	later := runRequest(t, s, time.Second, v, newRequest(1, 2))
	for _, e := range v.ByService["llm"] {
		s.ObserveWeightsChangeDone(e.ID)
	}
	c := mustSelect(t, s, 2*time.Second, v, newRequest(1, 2))
	assert.Equal(t, c.Endpoint.ID, later.Endpoint.ID)
	assert.Equal(t, c.CachedTokens, 6300)
	assert.Assert(t, s.partIndex.findHolder(PartKey("", testModel, 1), later.Endpoint.ID, 1) == nil, "a part of the old weights is left")
}

// The choice passes over candidates whose load alone costs more than the best one; it
// must find the same least cost as when each candidate is the only one left.
func TestSelectFindsLeastCost(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		v, s := newView(12, 1), New(testConfig(), "a")
		v.PublishedVersions[testModel] = []fleet.PublishedVersion{{Version: 2, PublishedAt: wall.Add(-2 * time.Second)}}
		var loads []EndpointLoad
		for i, e := range v.ByService["llm"] {
			e.Zone = []string{"a", "b"}[random.IntN(2)]
			e.WeightsVersions[testModel] = uint64(1 + random.IntN(2))
			loads = append(loads, EndpointLoad{Endpoint: e.ID, Running: random.IntN(12), PendingPrefillTokens: random.IntN(20000)})
			for part := range 3 {
				if seed%2 == 0 && random.IntN(3) == 0 {
					s.ObserveCacheEvent(0, e.ID, PartKey("", testModel, uint64(part)), e.WeightsVersions[testModel], 2000*(part+1))
				}
			}
			if i%5 == int(seed%5) {
				s.ObserveEnded(0, &Request{}, Choice{Endpoint: e}, Outcome(random.IntN(int(OutcomeNoAnswer)+1)))
			}
		}
		s.SetRemoteLoads(loads)
		r := &Request{Service: "llm", Prompt: &fleet.Prompt{
			Model: testModel, InputTokens: 13000, Parts: []fleet.PromptPart{{ID: 0, Tokens: 2000}, {ID: 1, Tokens: 4000}, {ID: 2, Tokens: 6000}, {ID: 99, Tokens: 1000}},
		}}
		got, found := s.Select(0, wall, v, r)
		least := time.Duration(math.MaxInt64)
		for _, only := range v.ByService["llm"] {
			alone := *r
			for _, e := range v.ByService["llm"] {
				if e != only {
					alone.Exclude = append(alone.Exclude, e.ID)
				}
			}
			if c, ok := s.Select(0, wall, v, &alone); ok {
				least = min(least, c.Cost)
			}
		}
		assert.Equal(t, found, least < math.MaxInt64, "seed %d", seed)
		assert.Assert(t, !found || got.Cost == least, "seed %d: %s, least %s", seed, got.Cost, least)
	}
}
