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
		PrefillTokensPerMS: 40, FetchTokensPerMS: 120, RecomputeFactor: 4, RunningRequestCost: 300 * time.Microsecond,
		CrossZoneCost: 3 * time.Millisecond, OldWeightsCost: 80 * time.Millisecond, OldWeightsGrace: time.Second,
		OldWeightsLimit: 5 * time.Second, WeightsDeadline: 8 * time.Second, FailureCost: 500 * time.Millisecond,
		ServiceTime: 30 * time.Millisecond, HolderLifetime: time.Minute, MaxParts: 1000,
	}
}

func newView(n int, weightsVersion uint64) *fleet.View {
	v := &fleet.View{
		EndpointsByService: map[string][]*fleet.Endpoint{}, EndpointsByID: map[string]*fleet.Endpoint{},
		LatestWeightsVersions: map[string]uint64{testModel: 1}, PublishedWeightsVersions: map[string][]fleet.PublishedWeightsVersion{},
	}
	for i := range n {
		e := &fleet.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Slots: 8,
			WeightsVersions: map[string]uint64{testModel: weightsVersion},
		}
		v.EndpointsByService["llm"] = append(v.EndpointsByService["llm"], e)
		v.EndpointsByID[e.ID] = e
	}
	return v
}

// copyOf returns a new view with the content of v. A test that has changed the content
// must copy the view, because the selector caches what it has collected from a view.
func copyOf(v *fleet.View) *fleet.View {
	c := *v
	return &c
}

func newRequest(firstPart, secondPart uint64) *Request {
	return &Request{Service: "llm", Prompt: &fleet.Prompt{
		Model: testModel, Tokens: 9000, MaxOutputTokens: 20,
		Parts: []fleet.PromptPart{{ID: firstPart, Tokens: 2500}, {ID: secondPart, Tokens: 3800}, {ID: 999, Tokens: 2700}},
	}}
}

func mustSelect(t *testing.T, s *Selector, now time.Duration, v *fleet.View, r *Request) Choice {
	t.Helper()
	c, ok := s.Select(now, wall, v, r)
	assert.Assert(t, ok)
	return c
}

// runRequest runs a request to a good end.
func runRequest(t *testing.T, s *Selector, now time.Duration, v *fleet.View, r *Request) Choice {
	t.Helper()
	c := mustSelect(t, s, now, v, r)
	s.ObserveStarted(now, r, c)
	s.ObservePrefillEnded(r, c, true)
	s.ObserveEnded(now, r, c, OutcomeGood)
	return c
}

// Guards against routers without shared state that prefer different endpoints for a
// part, so that it is computed once for each router.
func TestRoutersPreferSameEndpointForPart(t *testing.T) {
	v := newView(18, 1)
	for part := range uint64(50) {
		a, b := New(testConfig(), "a"), New(testConfig(), "a")
		r := newRequest(1, 100+part)
		assert.Equal(t, mustSelect(t, a, 0, v, r).Endpoint.ID, mustSelect(t, b, 0, v, r).Endpoint.ID)
	}
}

// Guards against computing a cached part again. The next request with the part goes to
// the endpoint that holds it. If that endpoint is busy, another one fetches the part
// from there.
func TestCachedPartIsUsedOrFetched(t *testing.T) {
	v, s := newView(6, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	first := runRequest(t, s, 0, v, r)
	again := mustSelect(t, s, 0, v, r)
	assert.Equal(t, again.Endpoint.ID, first.Endpoint.ID)
	assert.Equal(t, again.CachedTokens, 6300)
	s.ReplaceRemoteLoads(nil, []EndpointLoad{{EndpointID: first.Endpoint.ID, Running: 10, PendingPrefillTokens: 100000}})
	other := mustSelect(t, s, 0, v, r)
	assert.Assert(t, other.Endpoint.ID != first.Endpoint.ID)
	assert.Equal(t, other.FetchFrom, first.Endpoint.Address)
}

// Guards against a part that is computed again because the endpoint that holds it lacks
// the part before.
func TestLaterPartsAreFetched(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	s.ObserveCacheEvent(0, "e0", PartKey("", testModel, 1), 1, 2500)
	s.ObserveCacheEvent(0, "e1", PartKey("", testModel, 2), 1, 3800)
	s.ReplaceRemoteLoads(nil, []EndpointLoad{{EndpointID: "e1", Running: 10, PendingPrefillTokens: 100000}})
	c := mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, c.Endpoint.ID, "e0")
	assert.Equal(t, c.CachedTokens, 2500)
	assert.Equal(t, c.FetchFrom, v.EndpointsByID["e1"].Address)
	// A part must not be fetched from an endpoint that holds only some of its tokens.
	s.ObserveCacheEvent(0, "e1", PartKey("", testModel, 2), 1, 1000)
	c = mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, c.FetchFrom, "")
}

// Guards against fetches from a source with another weights version while the endpoints
// change their weights.
func TestPartsAreFetchedUnderSameWeightsVersion(t *testing.T) {
	v, s := newView(3, 1), New(testConfig(), "a")
	v.EndpointsByID["e2"].WeightsVersions[testModel] = 2
	s.SetKVCacheStore("10.0.0.9:80")
	s.ObserveCacheEvent(0, "e1", PartKey("", testModel, 1), 1, 2500)
	s.ObserveCacheEvent(0, "e2", PartKey("", testModel, 1), 2, 2500)
	s.ObserveCacheEvent(0, KVCacheStoreID, PartKey("", testModel, 2), 1, 3800)
	s.ObserveCacheEvent(0, KVCacheStoreID, PartKey("", testModel, 2), 2, 3800)
	s.ReplaceRemoteLoads(nil, []EndpointLoad{{EndpointID: "e1", Running: 10, PendingPrefillTokens: 100000}, {EndpointID: "e2", Running: 10, PendingPrefillTokens: 100000}})
	c := mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, c.Endpoint.ID, "e0")
	assert.Equal(t, c.FetchFrom, v.EndpointsByID["e1"].Address)
	s.ObserveCacheEvent(0, "e0", PartKey("", testModel, 1), 1, 2500)
	c = mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, c.FetchFrom, "10.0.0.9:80")
}

// Guards against a fetch threshold that excludes the parts of the most frequent short
// prompts.
func TestSmallPartsAreFetched(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	s.ObserveCacheEvent(0, "e1", PartKey("", testModel, 1), 1, 120)
	s.ReplaceRemoteLoads(nil, []EndpointLoad{{EndpointID: "e1", Running: 10, PendingPrefillTokens: 100000}})
	c := mustSelect(t, s, 0, v, &Request{Service: "llm", Prompt: &fleet.Prompt{
		Model: testModel, Tokens: 800, MaxOutputTokens: 20, Parts: []fleet.PromptPart{{ID: 1, Tokens: 120}, {ID: 999, Tokens: 680}},
	}})
	assert.Equal(t, c.Endpoint.ID, "e0")
	assert.Equal(t, c.FetchFrom, v.EndpointsByID["e1"].Address)
}

// Guards against saving parts that an engine has cached: in the KV cache store they
// would evict parts that no engine holds.
func TestOnlyComputedPartsAreSaved(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	s.SetKVCacheStore("10.0.0.9:80")
	first := runRequest(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, first.SaveTo, "10.0.0.9:80")
	again := mustSelect(t, s, 0, v, newRequest(1, 2))
	assert.Equal(t, again.CachedTokens, 6300)
	assert.Equal(t, again.SaveTo, "")
}

// Guards against counting a part as cached after the engine evicted it, and against
// ignoring the event that another engine holds it.
func TestCacheEventsOverrideEstimates(t *testing.T) {
	v, s := newView(6, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	first := runRequest(t, s, 0, v, r)
	for _, id := range []uint64{1, 2} {
		s.ObserveCacheEvent(0, first.Endpoint.ID, PartKey("", testModel, id), 1, 0)
	}
	assert.Equal(t, mustSelect(t, s, 0, v, r).CachedTokens, 0)
	s.ObserveCacheEvent(0, "e5", PartKey("", testModel, 1), 1, 2500)
	s.ObserveCacheEvent(0, "e5", PartKey("", testModel, 2), 1, 3800)
	c := mustSelect(t, s, 0, v, r)
	assert.Equal(t, c.Endpoint.ID, "e5")
	assert.Equal(t, c.CachedTokens, 6300)
}

// Guards against using parts that were computed under another weights version or belong
// to another team's cache namespace.
func TestCacheOfOtherWeightsOrTeamIsNotUsed(t *testing.T) {
	v, s := newView(3, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	runRequest(t, s, 0, v, r)
	isolated := newRequest(1, 2)
	isolated.CacheNamespace = "team"
	c := mustSelect(t, s, 0, v, isolated)
	assert.Equal(t, c.CachedTokens, 0)
	assert.Equal(t, c.FetchFrom, "")
	c = mustSelect(t, s, 0, newView(3, 2), r)
	assert.Equal(t, c.CachedTokens, 0)
	assert.Equal(t, c.FetchFrom, "")
}

// Guards against requests to an endpoint that is draining, changes its weights or
// refused a request a moment ago, and against long requests to one that changes its
// weights soon.
func TestUnavailableEndpointsGetNoRequests(t *testing.T) {
	v, s := newView(1, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	long := newRequest(1, 2)
	long.Prompt.MaxOutputTokens = 200
	accepted := func(now time.Duration, r *Request) bool {
		_, ok := s.Select(now, wall, v, r)
		return ok
	}
	assert.Assert(t, s.ObserveWeightsChangeSoon(0, "e0", testModel, 2))
	assert.Assert(t, accepted(0, r) && !accepted(0, long))
	assert.Assert(t, s.ObserveWeightsChangeStarted(0, "e0", testModel, 2))
	assert.Assert(t, !s.ObserveWeightsChangeStarted(0, "e0", testModel, 2), "the change is known already")
	assert.Assert(t, !accepted(0, r))
	s.ObserveWeightsChangeDone("e0")
	assert.Assert(t, accepted(0, long))
	c := mustSelect(t, s, 0, v, r)
	s.ObserveStarted(0, r, c)
	s.ObserveEnded(0, r, c, OutcomeRefused)
	assert.Assert(t, !accepted(0, r) && accepted(refusalBackoff, r))
	v.EndpointsByID["e0"].State = fleet.Draining
	v = copyOf(v)
	assert.Assert(t, !accepted(time.Hour, r))
}

// Guards against several requests at once to an endpoint that did not respond. After
// its suspension it gets one trial request at a time, at first only repeatable ones.
func TestUnresponsiveEndpointGetsOneTrialRequest(t *testing.T) {
	v, s := newView(1, 1), New(testConfig(), "a")
	r := newRequest(1, 2)
	c := mustSelect(t, s, 0, v, r)
	s.ObserveStarted(0, r, c)
	s.ObserveEnded(0, r, c, OutcomeNoResponse)
	_, ok := s.Select(minSuspension/2, wall, v, r)
	assert.Assert(t, !ok)
	_, ok = s.Select(minSuspension, wall, v, r)
	assert.Assert(t, !ok, "a request that may run only once must not be the trial request")
	r.Repeatable = true
	c = mustSelect(t, s, minSuspension, v, r)
	s.ObserveStarted(minSuspension, r, c)
	_, ok = s.Select(minSuspension, wall, v, r)
	assert.Assert(t, !ok, "the endpoint must get only one trial request at a time")
	s.ObserveEnded(minSuspension, r, c, OutcomeGood)
	r.Repeatable = false
	mustSelect(t, s, minSuspension, v, r)
}

// Guards against suspending endpoints for error responses, which all endpoints of a
// service may give to some requests, and against refusing a request when all endpoints
// are suspended but still respond.
func TestErrorResponsesLeaveEndpointUsable(t *testing.T) {
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
	fail(OutcomeErrorResponse)
	mustSelect(t, s, 0, v, r)
	fail(OutcomeIncompleteResponse)
	mustSelect(t, s, 0, v, r)
	fail(OutcomeNoResponse)
	_, ok := s.Select(0, wall, v, r)
	assert.Assert(t, !ok, "endpoints that do not respond must get no requests")
}

// Guards against requests that start on expired weights while another endpoint has the
// new ones but is busy.
func TestExpiredWeightsAreAvoided(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	v.EndpointsByID["e1"].WeightsVersions = map[string]uint64{testModel: 2}
	v.PublishedWeightsVersions[testModel] = []fleet.PublishedWeightsVersion{{Version: 2, PublishedAt: wall.Add(-5500 * time.Millisecond)}}
	s.ReplaceRemoteLoads(nil, []EndpointLoad{{EndpointID: "e1", Running: 12, PendingPrefillTokens: 40000}})
	for part := range uint64(20) {
		assert.Equal(t, mustSelect(t, s, 0, v, newRequest(1, part)).Endpoint.ID, "e1")
	}
}

// Guards against requests that start on expired weights because the endpoint with the
// new ones is unavailable. Requests may start on them while the platform's store is
// unavailable.
func TestExpiredWeightsAreRefused(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	v.PublishedWeightsVersions[testModel] = []fleet.PublishedWeightsVersion{{Version: 2, PublishedAt: wall.Add(-6600 * time.Millisecond)}}
	r := newRequest(1, 2)
	mustSelect(t, s, 0, v, r)
	v.EndpointsByID["e1"].WeightsVersions = map[string]uint64{testModel: 2}
	v = copyOf(v)
	s.ObserveWeightsChangeStarted(0, "e1", testModel, 3)
	_, ok := s.Select(0, wall, v, r)
	assert.Assert(t, !ok)
	r.AllowExpiredWeights = true
	assert.Equal(t, mustSelect(t, s, 0, v, r).Endpoint.ID, "e0")
}

// Guards against requests that begin on superseded weights after the deadline because
// no endpoint has loaded newer ones: the router that orders them was frozen for 4 s, and
// requests of 9,000 tokens were sent 7.3 s after the publication and began after 8.1 s.
func TestNoRequestBeginsOnSupersededWeightsAfterTheDeadline(t *testing.T) {
	for _, c := range []struct {
		age     time.Duration
		pending int
		allowed bool
	}{
		{6500 * time.Millisecond, 0, true},
		{6500 * time.Millisecond, 20000, false}, // 0.5 s of prompts are queued.
		{7300 * time.Millisecond, 0, false},
		{9 * time.Second, 0, false},
	} {
		v, s := newView(1, 1), New(testConfig(), "a")
		v.PublishedWeightsVersions[testModel] = []fleet.PublishedWeightsVersion{{Version: 2, PublishedAt: wall.Add(-c.age)}}
		s.ReplaceRemoteLoads(nil, []EndpointLoad{{EndpointID: "e0", Running: 1, PendingPrefillTokens: c.pending}})
		r := newRequest(1, 2)
		choice, ok := s.Select(0, wall, v, r)
		assert.Equal(t, ok, c.allowed, "%+v", c)
		assert.Equal(t, choice.WeightsExpired, !c.allowed, "%+v", c)
		r.AllowExpiredWeights = true
		mustSelect(t, s, 0, v, r)
	}
}

// Guards against requests that wait in an engine's queue for longer than expected and
// begin on superseded weights after the deadline.
func TestWaitingRequestsAreWithdrawnBeforeTheWeightsDeadline(t *testing.T) {
	s, v := New(testConfig(), "a"), newView(1, 1)
	publish := func(version uint64, age time.Duration) {
		v.PublishedWeightsVersions[testModel] = append(v.PublishedWeightsVersions[testModel],
			fleet.PublishedWeightsVersion{Version: version, PublishedAt: wall.Add(-age)})
	}
	assert.Assert(t, !s.MustWithdraw(wall, v, testModel, 1), "version 1 is current")
	publish(2, 7900*time.Millisecond)
	publish(3, 5*time.Second)
	assert.Assert(t, s.MustWithdraw(wall, v, testModel, 1))
	assert.Assert(t, !s.MustWithdraw(wall, v, testModel, 2), "version 3 is younger than the deadline")
	assert.Assert(t, !s.MustWithdraw(wall, v, testModel, 3))
	assert.Assert(t, !s.MustWithdraw(wall.Add(-time.Second), v, testModel, 1))
}

// Select runs for each request. Its time must stay within a few microseconds for a
// large number of endpoints.
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

// Guards against ignoring cache events of parts that no request has named yet. A router
// that has just started would have these parts computed again elsewhere.
func TestCacheEventsOfUnknownPartsAreKept(t *testing.T) {
	s, v := New(testConfig(), "a"), newView(6, 1)
	s.ObserveCacheEvent(0, "e5", PartKey("", testModel, 1), 1, 2500)
	s.ObserveCacheEvent(0, "e5", PartKey("", testModel, 2), 1, 3800)
	c := mustSelect(t, s, time.Second, v, newRequest(1, 2))
	assert.Equal(t, c.Endpoint.ID, "e5")
	assert.Equal(t, c.CachedTokens, 6300)
}

// Guards against an index that grows without bound: most cache events are for parts
// that only one request uses.
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

// Guards against forgetting parts that were computed under the new weights. The report
// of the finished weights change can arrive after the first request under them.
func TestWeightsChangeKeepsPartsOfNewVersion(t *testing.T) {
	s, v := New(testConfig(), "a"), newView(2, 1)
	runRequest(t, s, 0, v, newRequest(1, 2))
	for _, e := range v.EndpointsByService["llm"] {
		assert.Assert(t, s.ObserveWeightsChangeStarted(0, e.ID, testModel, 2))
		e.WeightsVersions[testModel] = 2
	}
	v = copyOf(v)
	later := runRequest(t, s, time.Second, v, newRequest(1, 2))
	for _, e := range v.EndpointsByService["llm"] {
		s.ObserveWeightsChangeDone(e.ID)
	}
	c := mustSelect(t, s, 2*time.Second, v, newRequest(1, 2))
	assert.Equal(t, c.Endpoint.ID, later.Endpoint.ID)
	assert.Equal(t, c.CachedTokens, 6300)
	assert.Assert(t, s.partIndex.findHolder(PartKey("", testModel, 1), later.Endpoint.ID, 1) == nil, "the index still has a part under the old weights version")
}

// Guards against a lower bound of the cost that is too high, so that Select skips the
// cheapest candidate. The test finds the least cost by selecting with one candidate at
// a time.
func TestSelectFindsLeastCost(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		v, s := newView(12, 1), New(testConfig(), "a")
		v.PublishedWeightsVersions[testModel] = []fleet.PublishedWeightsVersion{{Version: 2, PublishedAt: wall.Add(-2 * time.Second)}}
		var loads []EndpointLoad
		for i, e := range v.EndpointsByService["llm"] {
			e.Zone = []string{"a", "b"}[rng.IntN(2)]
			e.WeightsVersions[testModel] = uint64(1 + rng.IntN(2))
			loads = append(loads, EndpointLoad{EndpointID: e.ID, Running: rng.IntN(12), PendingPrefillTokens: rng.IntN(20000)})
			for part := range 3 {
				if seed%2 == 0 && rng.IntN(3) == 0 {
					s.ObserveCacheEvent(0, e.ID, PartKey("", testModel, uint64(part)), e.WeightsVersions[testModel], 2000*(part+1))
				}
			}
			if i%5 == int(seed%5) {
				s.ObserveEnded(0, &Request{}, Choice{Endpoint: e}, Outcome(rng.IntN(int(OutcomeNoResponse)+1)))
			}
		}
		s.ReplaceRemoteLoads(nil, loads)
		r := &Request{Service: "llm", Prompt: &fleet.Prompt{
			Model: testModel, Tokens: 13000, Parts: []fleet.PromptPart{{ID: 0, Tokens: 2000}, {ID: 1, Tokens: 4000}, {ID: 2, Tokens: 6000}, {ID: 99, Tokens: 1000}},
		}}
		got, found := s.Select(0, wall, v, r)
		least := time.Duration(math.MaxInt64)
		for _, remaining := range v.EndpointsByService["llm"] {
			restricted := *r
			for _, e := range v.EndpointsByService["llm"] {
				if e != remaining {
					restricted.Exclude = append(restricted.Exclude, e.ID)
				}
			}
			if c, ok := s.Select(0, wall, v, &restricted); ok {
				least = min(least, c.Cost)
			}
		}
		assert.Equal(t, found, least < math.MaxInt64, "seed %d", seed)
		assert.Assert(t, !found || got.Cost == least, "seed %d: %s, least %s", seed, got.Cost, least)
	}
}

// Guards against work of other routers that is counted twice or kept for ever, also while
// the endpoint is out of the view.
func TestRemoteLoadsAreReplacedByRouter(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	load := func(n int) []EndpointLoad {
		return []EndpointLoad{{EndpointID: "e0", Running: n, PendingPrefillTokens: 10 * n}}
	}
	s.ReplaceRemoteLoads(nil, load(5))
	s.ReplaceRemoteLoads(nil, load(3))
	assert.Equal(t, s.RunningRequests("e0"), 8)
	s.ForgetRemovedEndpoints(newView(0, 1))
	s.ForgetRemovedEndpoints(v)
	s.ReplaceRemoteLoads(load(5), load(1))
	assert.Equal(t, s.RunningRequests("e0"), 4)
	assert.Equal(t, s.PendingPrefillTokens("e0"), 40)
	s.ReplaceRemoteLoads(load(1), nil)
	s.ReplaceRemoteLoads(load(3), nil)
	assert.Equal(t, s.PendingPrefillTokens("e0"), 0)
	s.ForgetRemovedEndpoints(newView(0, 1))
	assert.Equal(t, len(s.endpoints), 0)
}
