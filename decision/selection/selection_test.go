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

const model = "m"

var wall = time.Unix(1000, 0)

func testConfig() Config {
	return Config{
		PrefillTokensPerMs: 40, FetchTokensPerMs: 120, RereadFactor: 4, RunCost: 300 * time.Microsecond,
		ZoneCost: 3 * time.Millisecond, OldWeightsCost: 80 * time.Millisecond, OldWeightsGrace: time.Second,
		OldWeightsLimit: 5 * time.Second, FailureCost: 500 * time.Millisecond, ServiceTime: 30 * time.Millisecond,
		PartLife: time.Minute, MaxParts: 1000,
	}
}

func view(n int, weights uint64) *fleet.View {
	v := &fleet.View{
		ByService: map[string][]*fleet.Endpoint{}, ByID: map[string]*fleet.Endpoint{},
		Weights: map[string]uint64{model: 1}, Named: map[string][]fleet.NamedWeights{},
	}
	for i := range n {
		e := &fleet.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Slots: 8,
			Weights: map[string]uint64{model: weights},
		}
		v.ByService["llm"] = append(v.ByService["llm"], e)
		v.ByID[e.ID] = e
	}
	return v
}

// changed returns a new view with the content of v: a view is not changed once a
// choice has used it.
func changed(v *fleet.View) *fleet.View {
	c := *v
	return &c
}

func request(first, second uint64) *Request {
	return &Request{Service: "llm", Prompt: &fleet.Prompt{
		Model: model, InputTokens: 9000, MaxOutputTokens: 20,
		Parts: []fleet.Part{{ID: first, Tokens: 2500}, {ID: second, Tokens: 3800}, {ID: 999, Tokens: 2700}},
	}}
}

func choose(t *testing.T, s *Selector, now time.Duration, v *fleet.View, r *Request) Choice {
	t.Helper()
	c, ok := s.Select(now, wall, v, r)
	assert.Assert(t, ok)
	return c
}

// run plays a request to its good end.
func run(t *testing.T, s *Selector, now time.Duration, v *fleet.View, r *Request) Choice {
	t.Helper()
	c := choose(t, s, now, v, r)
	s.Started(now, r, c)
	s.FirstEvent(r, c, true)
	s.Ended(now, r, c, Good)
	return c
}

// Routers that know nothing of each other must start a part at the same endpoint,
// or each would have it read again.
func TestRoutersAgreeOnTheHomeOfAPart(t *testing.T) {
	v := view(18, 1)
	for part := range uint64(50) {
		a, b := New(testConfig(), "a"), New(testConfig(), "a")
		r := request(1, 100+part)
		assert.Equal(t, choose(t, a, 0, v, r).Endpoint.ID, choose(t, b, 0, v, r).Endpoint.ID)
	}
}

// The next request with a part goes where it is cached, and elsewhere only when
// that endpoint has much more to do; the part is then fetched and not read again.
func TestPartIsUsedWhereItIsCachedAndFetchedElsewhere(t *testing.T) {
	v, s := view(6, 1), New(testConfig(), "a")
	r := request(1, 2)
	home := run(t, s, 0, v, r)
	again := choose(t, s, 0, v, r)
	assert.Equal(t, again.Endpoint.ID, home.Endpoint.ID)
	assert.Equal(t, again.CachedTokens, 6300)
	s.RemoteLoads([]Load{{Endpoint: home.Endpoint.ID, Running: 10, Unread: 100000}})
	other := choose(t, s, 0, v, r)
	assert.Assert(t, other.Endpoint.ID != home.Endpoint.ID)
	assert.Equal(t, other.FetchFrom, home.Endpoint.Address)
}

// An endpoint that has the first part fetches the second one from an endpoint that
// lacks the first.
func TestLaterPartsAreFetched(t *testing.T) {
	v, s := view(2, 1), New(testConfig(), "a")
	s.CacheEvent(0, "e0", PartKey("", model, 1), 1, 2500)
	s.CacheEvent(0, "e1", PartKey("", model, 2), 1, 3800)
	s.RemoteLoads([]Load{{Endpoint: "e1", Running: 10, Unread: 100000}})
	c := choose(t, s, 0, v, request(1, 2))
	assert.Equal(t, c.Endpoint.ID, "e0")
	assert.Equal(t, c.CachedTokens, 2500)
	assert.Equal(t, c.FetchFrom, v.ByID["e1"].Address)
	// What is held in part only does not count as held.
	s.CacheEvent(0, "e1", PartKey("", model, 2), 1, 1000)
	c = choose(t, s, 0, v, request(1, 2))
	assert.Equal(t, c.FetchFrom, "")
}

// While weights change, an endpoint with the old ones fetches from others that have
// them, although some have read the parts under the new ones.
func TestPartsAreFetchedUnderTheSameWeights(t *testing.T) {
	v, s := view(3, 1), New(testConfig(), "a")
	v.ByID["e2"].Weights[model] = 2
	s.SetStore("10.0.0.9:80")
	s.CacheEvent(0, "e1", PartKey("", model, 1), 1, 2500)
	s.CacheEvent(0, "e2", PartKey("", model, 1), 2, 2500)
	s.CacheEvent(0, StoreID, PartKey("", model, 2), 1, 3800)
	s.CacheEvent(0, StoreID, PartKey("", model, 2), 2, 3800)
	s.RemoteLoads([]Load{{Endpoint: "e1", Running: 10, Unread: 100000}, {Endpoint: "e2", Running: 10, Unread: 100000}})
	c := choose(t, s, 0, v, request(1, 2))
	assert.Equal(t, c.Endpoint.ID, "e0")
	assert.Equal(t, c.FetchFrom, v.ByID["e1"].Address)
	s.CacheEvent(0, "e0", PartKey("", model, 1), 1, 2500)
	c = choose(t, s, 0, v, request(1, 2))
	assert.Equal(t, c.FetchFrom, "10.0.0.9:80")
}

// Parts of the most frequent short prompts are fetched, too.
func TestSmallPartsAreFetched(t *testing.T) {
	v, s := view(2, 1), New(testConfig(), "a")
	s.CacheEvent(0, "e1", PartKey("", model, 1), 1, 120)
	s.RemoteLoads([]Load{{Endpoint: "e1", Running: 10, Unread: 100000}})
	c := choose(t, s, 0, v, &Request{Service: "llm", Prompt: &fleet.Prompt{
		Model: model, InputTokens: 800, MaxOutputTokens: 20, Parts: []fleet.Part{{ID: 1, Tokens: 120}, {ID: 999, Tokens: 680}},
	}})
	assert.Equal(t, c.Endpoint.ID, "e0")
	assert.Equal(t, c.FetchFrom, v.ByID["e1"].Address)
}

// The KV store gets what an engine reads. A copy of what engines hold anyway would
// push out parts that nobody holds.
func TestOnlyWhatIsReadIsSaved(t *testing.T) {
	v, s := view(2, 1), New(testConfig(), "a")
	s.SetStore("10.0.0.9:80")
	first := run(t, s, 0, v, request(1, 2))
	assert.Equal(t, first.SaveTo, "10.0.0.9:80")
	again := choose(t, s, 0, v, request(1, 2))
	assert.Equal(t, again.CachedTokens, 6300)
	assert.Equal(t, again.SaveTo, "")
}

// A part that the engine evicted must not count as cached, and one that another
// engine holds is found by its event.
func TestCacheEventsPrevailOverBelief(t *testing.T) {
	v, s := view(6, 1), New(testConfig(), "a")
	r := request(1, 2)
	home := run(t, s, 0, v, r)
	for _, id := range []uint64{1, 2} {
		s.CacheEvent(0, home.Endpoint.ID, PartKey("", model, id), 1, 0)
	}
	assert.Equal(t, choose(t, s, 0, v, r).CachedTokens, 0)
	s.CacheEvent(0, "e5", PartKey("", model, 1), 1, 2500)
	s.CacheEvent(0, "e5", PartKey("", model, 2), 1, 3800)
	c := choose(t, s, 0, v, r)
	assert.Equal(t, c.Endpoint.ID, "e5")
	assert.Equal(t, c.CachedTokens, 6300)
}

// Parts of other weights or of an isolated team must never count as cached.
func TestCacheOfOtherWeightsOrTeamsIsNotUsed(t *testing.T) {
	v, s := view(3, 1), New(testConfig(), "a")
	r := request(1, 2)
	run(t, s, 0, v, r)
	walled := request(1, 2)
	walled.Namespace = "team"
	c := choose(t, s, 0, v, walled)
	assert.Equal(t, c.CachedTokens, 0)
	assert.Equal(t, c.FetchFrom, "")
	c = choose(t, s, 0, view(3, 2), r)
	assert.Equal(t, c.CachedTokens, 0)
	assert.Equal(t, c.FetchFrom, "")
}

// Draining, changing and refusing endpoints get no request; one that changes soon
// gets short requests only.
func TestWhoTakesNoRequests(t *testing.T) {
	v, s := view(1, 1), New(testConfig(), "a")
	r := request(1, 2)
	long := request(1, 2)
	long.Prompt.MaxOutputTokens = 200
	taken := func(now time.Duration, r *Request) bool {
		_, ok := s.Select(now, wall, v, r)
		return ok
	}
	assert.Assert(t, s.SwappingSoon(0, "e0", model, 2))
	assert.Assert(t, taken(0, r) && !taken(0, long))
	assert.Assert(t, s.Swapping(0, "e0", model, 2))
	assert.Assert(t, !s.Swapping(0, "e0", model, 2), "repeated news is no news")
	assert.Assert(t, !taken(0, r))
	s.Swapped("e0")
	assert.Assert(t, taken(0, long))
	c := choose(t, s, 0, v, r)
	s.Started(0, r, c)
	s.Ended(0, r, c, Refused)
	assert.Assert(t, !taken(0, r) && taken(refusedPause, r))
	v.ByID["e0"].State = fleet.Draining
	v = changed(v)
	assert.Assert(t, !taken(time.Hour, r))
}

// An endpoint that does not answer is left alone for a growing time and then
// tried by one request at a time, first by one that may be repeated.
func TestDeadEndpointIsTriedByOneRequest(t *testing.T) {
	v, s := view(1, 1), New(testConfig(), "a")
	r := request(1, 2)
	c := choose(t, s, 0, v, r)
	s.Started(0, r, c)
	s.Ended(0, r, c, Dead)
	_, ok := s.Select(suspendFirst/2, wall, v, r)
	assert.Assert(t, !ok)
	_, ok = s.Select(suspendFirst, wall, v, r)
	assert.Assert(t, !ok, "a request that may not be repeated must not test it")
	r.Repeatable = true
	c = choose(t, s, suspendFirst, v, r)
	s.Started(suspendFirst, r, c)
	_, ok = s.Select(suspendFirst, wall, v, r)
	assert.Assert(t, !ok, "one trial at a time")
	s.Ended(suspendFirst, r, c, Good)
	r.Repeatable = false
	choose(t, s, suspendFirst, v, r)
}

// Error answers alone must not take an endpoint away: all endpoints of a service
// may answer some requests so. Where all are suspended, one that answers badly is
// better than a refusal.
func TestErrorsAndBrokenAnswersLeaveAnEndpoint(t *testing.T) {
	v, s := view(2, 1), New(testConfig(), "a")
	r := request(1, 2)
	fail := func(o Outcome) {
		for range 20 {
			if c, ok := s.Select(0, wall, v, r); ok {
				s.Started(0, r, c)
				s.Ended(0, r, c, o)
			}
		}
	}
	fail(Error)
	choose(t, s, 0, v, r)
	fail(Failed)
	choose(t, s, 0, v, r)
	fail(Dead)
	_, ok := s.Select(0, wall, v, r)
	assert.Assert(t, !ok, "endpoints that do not answer get nothing")
}

// Requests must not start on weights that were superseded for too long while
// another endpoint has the new ones, even if that one is busy.
func TestExpiredWeightsAreAvoided(t *testing.T) {
	v, s := view(2, 1), New(testConfig(), "a")
	v.ByID["e1"].Weights = map[string]uint64{model: 2}
	v.Named[model] = []fleet.NamedWeights{{Version: 2, At: wall.Add(-5500 * time.Millisecond)}}
	s.RemoteLoads([]Load{{Endpoint: "e1", Running: 12, Unread: 40000}})
	for part := range uint64(20) {
		assert.Equal(t, choose(t, s, 0, v, request(1, part)).Endpoint.ID, "e1")
	}
}

// Past the limit a request is refused rather than started on old weights while
// another endpoint has new ones; but not while the store is away, and not when no
// endpoint has them yet.
func TestExpiredWeightsAreRefused(t *testing.T) {
	v, s := view(2, 1), New(testConfig(), "a")
	v.Named[model] = []fleet.NamedWeights{{Version: 2, At: wall.Add(-7 * time.Second)}}
	r := request(1, 2)
	choose(t, s, 0, v, r)
	v.ByID["e1"].Weights = map[string]uint64{model: 2}
	v = changed(v)
	s.Swapping(0, "e1", model, 3)
	_, ok := s.Select(0, wall, v, r)
	assert.Assert(t, !ok)
	r.AllowExpired = true
	assert.Equal(t, choose(t, s, 0, v, r).Endpoint.ID, "e0")
}

// The choice runs for each request; it must not depend on the size of the fleet
// for more than some microseconds.
func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{18, 200, 2100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, s := view(n, 1), New(testConfig(), "a")
			r := request(1, 2)
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
func TestEventsOfUnnamedPartsAreKept(t *testing.T) {
	s, v := New(testConfig(), "a"), view(6, 1)
	s.CacheEvent(0, "e5", PartKey("", model, 1), 1, 2500)
	s.CacheEvent(0, "e5", PartKey("", model, 2), 1, 3800)
	c := choose(t, s, time.Second, v, request(1, 2))
	assert.Equal(t, c.Endpoint.ID, "e5")
	assert.Equal(t, c.CachedTokens, 6300)
}

// Most events name parts of a single request; the table must not grow with them.
func TestEvictedPartsLeaveTheTable(t *testing.T) {
	cfg := testConfig()
	s := New(cfg, "a")
	for id := range uint64(3 * cfg.MaxParts) {
		s.CacheEvent(0, "e1", PartKey("", model, id), 1, 100)
		assert.Assert(t, len(s.parts.holders) <= cfg.MaxParts)
	}
	for id := range uint64(3 * cfg.MaxParts) {
		s.CacheEvent(0, "e1", PartKey("", model, id), 1, 0)
	}
	assert.Equal(t, len(s.parts.holders), 0)
}

// The news that an engine has its new weights can arrive after the first request under
// them; what that one read is still there.
func TestNewWeightsKeepWhatWasReadUnderThem(t *testing.T) {
	s, v := New(testConfig(), "a"), view(2, 1)
	run(t, s, 0, v, request(1, 2))
	for _, e := range v.ByService["llm"] {
		assert.Assert(t, s.Swapping(0, e.ID, model, 2))
		e.Weights[model] = 2
	}
	v = changed(v)
	later := run(t, s, time.Second, v, request(1, 2))
	for _, e := range v.ByService["llm"] {
		s.Swapped(e.ID)
	}
	c := choose(t, s, 2*time.Second, v, request(1, 2))
	assert.Equal(t, c.Endpoint.ID, later.Endpoint.ID)
	assert.Equal(t, c.CachedTokens, 6300)
	assert.Assert(t, s.parts.find(PartKey("", model, 1), later.Endpoint.ID, 1) == nil, "a part of the old weights is left")
}

// The choice passes over candidates whose load alone costs more than the best one; it
// must find the same least cost as when each candidate is the only one left.
func TestChoiceIsTheLeastCost(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		v, s := view(12, 1), New(testConfig(), "a")
		v.Named[model] = []fleet.NamedWeights{{Version: 2, At: wall.Add(-2 * time.Second)}}
		var loads []Load
		for i, e := range v.ByService["llm"] {
			e.Zone = []string{"a", "b"}[random.IntN(2)]
			e.Weights[model] = uint64(1 + random.IntN(2))
			loads = append(loads, Load{Endpoint: e.ID, Running: random.IntN(12), Unread: random.IntN(20000)})
			for part := range 3 {
				if seed%2 == 0 && random.IntN(3) == 0 {
					s.CacheEvent(0, e.ID, PartKey("", model, uint64(part)), e.Weights[model], 2000*(part+1))
				}
			}
			if i%5 == int(seed%5) {
				s.Ended(0, &Request{}, Choice{Endpoint: e}, Outcome(random.IntN(int(Dead)+1)))
			}
		}
		s.RemoteLoads(loads)
		r := &Request{Service: "llm", Prompt: &fleet.Prompt{
			Model: model, InputTokens: 13000, Parts: []fleet.Part{{ID: 0, Tokens: 2000}, {ID: 1, Tokens: 4000}, {ID: 2, Tokens: 6000}, {ID: 99, Tokens: 1000}},
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
