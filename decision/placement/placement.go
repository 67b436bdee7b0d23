// Package placement chooses the endpoints that a router tries for a request.
// It is a pure state machine: the caller passes the time since an arbitrary
// origin and a random source.
//
// A decision looks at the endpoints that the router's own answers named as
// holders of the prefix, at the first endpoints of a fixed order that all
// routers compute alike, and at a few random ones. Its work does not depend on
// the number of endpoints.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/rules"
)

// Config are the parameters of a Placer.
type Config struct {
	// Candidates bounds the list that Rank returns. Default 3.
	Candidates int
	// Offers is the number of endpoints that may refuse a request for cost
	// before it is queued where it is cheapest. Default 8, one more than the
	// endpoints taken from a rank order.
	Offers int
	// IndexEntries bounds the learned index. Default 32768 (2 MiB).
	IndexEntries int
	// Lifetime is how long an answer counts as evidence that an endpoint
	// holds a prefix. Default 20 s.
	Lifetime time.Duration
	// FarMS is the cost of using another availability zone. Default 3 ms, one
	// round trip.
	FarMS float64
	// Probes is the number of random candidates. Default 2.
	Probes int
}

func (c *Config) defaults() {
	if c.Candidates == 0 {
		c.Candidates = 3
	}
	if c.Offers == 0 {
		c.Offers = 8
	}
	if c.IndexEntries == 0 {
		c.IndexEntries = 1 << 15
	}
	if c.Lifetime == 0 {
		c.Lifetime = 20 * time.Second
	}
	if c.FarMS == 0 {
		c.FarMS = 3
	}
	if c.Probes == 0 {
		c.Probes = 2
	}
}

// Bounds of one decision.
const (
	// maxRanked is the number of distinct endpoints taken from one rank order.
	maxRanked  = 7
	deepRanked = 5
	// maxPoints is the number of points of the ring that a walk looks at.
	maxPoints = 4 * maxRanked
	// maxLearned is the number of candidates taken from the learned index.
	maxLearned = 8
	// maxTouched bounds the endpoints that one decision looks at.
	maxTouched = maxLearned + maxRanked + 8
	// maxMarks bounds the marks of a chain that one decision looks up.
	maxMarks = 128
	// defaultPrefillMS is assumed per token until an endpoint reported.
	defaultPrefillMS = 0.1
	// failureBackoff is the time that an endpoint is avoided after a failure;
	// it doubles with each further failure up to maxFailureBackoff.
	failureBackoff    = 250 * time.Millisecond
	maxFailureBackoff = 4 * time.Second
	// overheadTokens is the fixed cost of a prefill in tokens.
	overheadTokens = 40
)

type endpoint struct {
	name string
	zone string
	load Load
	// at is when load was observed, 0 when never.
	at time.Duration
	// meanWaitMS is the moving average of the reported wait.
	meanWaitMS float64
	failures   uint
	avoidUntil time.Duration
	// cleared is the time in ms before which the learned index is void,
	// because the engine has restarted since.
	cleared uint32
}

// pool is a set of endpoints; ids are sorted.
type pool struct {
	ids    []int32
	order  ring
	byZone map[string][]int32
}

type scored struct {
	id     int32
	depth  int
	cached int
	cost   float64
	source Source
	home   bool
}

// Placer ranks endpoints. It is not safe for concurrent use.
type Placer struct {
	cfg   Config
	model Model
	rng   *rand.Rand
	pools map[string]*pool
	ids   map[string]int32
	ends  []endpoint
	index index
	// seen and ranked hold the round and the pass that last used an endpoint.
	seen, ranked []uint32
	round, pass  uint32
	scratch      []scored
	marks        [maxMarks]mark
	touched      int
	// meanWaitMS is the moving average of all reported waits; congested is the
	// model that follows from it.
	meanWaitMS float64
	congested  Model
	// shared is the depth in blocks of the shared prefix of the current request.
	shared   int
	lifetime uint32
}

type mark struct {
	depth int
	entry *entry
}

// New returns a Placer without endpoints.
func New(cfg Config, rng *rand.Rand) *Placer {
	cfg.defaults()
	return &Placer{
		cfg:      cfg,
		model:    NewModel(rules.PlacementWeights{HitRate: 1, RecomputedTokens: 1, TailLatency: 1}),
		rng:      rng,
		pools:    map[string]*pool{},
		ids:      map[string]int32{},
		index:    newIndex(cfg.IndexEntries),
		scratch:  make([]scored, 0, maxTouched),
		lifetime: uint32(cfg.Lifetime / time.Millisecond),
	}
}

// SetWeights sets the weights of the deployment's measures.
func (p *Placer) SetWeights(w rules.PlacementWeights) { p.model = NewModel(w) }

// SetPool replaces the endpoints of a pool. It costs time in proportion to the
// pool and is meant for changes of rules or membership.
func (p *Placer) SetPool(name string, endpoints []Endpoint) {
	pl := &pool{byZone: map[string][]int32{}}
	for _, e := range endpoints {
		id, ok := p.ids[e.Name]
		if !ok {
			id = int32(len(p.ends))
			p.ids[e.Name] = id
			p.ends = append(p.ends, endpoint{name: e.Name})
			p.seen = append(p.seen, 0)
			p.ranked = append(p.ranked, 0)
		}
		p.ends[id].zone = e.Zone
		pl.ids = append(pl.ids, id)
		pl.byZone[e.Zone] = append(pl.byZone[e.Zone], id)
	}
	slices.Sort(pl.ids)
	pl.order = newRing(pl.ids, func(id int32) string { return p.ends[id].name })
	p.pools[name] = pl
}

// meanReports is the number of reports that the mean wait covers.
const meanReports = 1024

// Touched returns the number of endpoints that the last Rank looked at.
func (p *Placer) Touched() int { return p.touched }

// Rank appends the candidates for a request to dst, best first.
func (p *Placer) Rank(now time.Duration, r *Request, dst []Candidate) []Candidate {
	pl := p.pools[r.Pool]
	p.touched = 0
	if pl == nil || len(pl.ids) == 0 {
		return dst
	}
	p.round++
	p.congested = p.model.Congested(p.meanWaitMS)
	p.scratch = p.scratch[:0]
	known := p.walk(r)
	k := p.keys(r, known)
	p.shared = k.depth
	everywhere := p.addLearned(now, r, known)
	p.addRanked(now, r, pl, k.deep, rankTrust[:deepRanked], k.depth, everywhere)
	p.addRanked(now, r, pl, k.shallow, rankTrust[deepRanked:], k.depth, everywhere)
	p.addProbes(now, r, pl, everywhere)
	if len(p.scratch) == 0 {
		p.addAnyway(now, r, pl)
	}
	return p.emit(r, dst)
}

// walk looks up the marks of the chain and returns how many were found.
func (p *Placer) walk(r *Request) int {
	n, missed := 0, 0
	for d := 1; d <= len(r.Hashes) && n < maxMarks && missed < 2; d = nextMark(d) {
		e := p.index.find(r.Hashes[d-1])
		if e == nil {
			missed++
			continue
		}
		p.marks[n] = mark{d, e}
		n++
	}
	return n
}

// addLearned adds the known holders of the deepest prefixes. It returns the
// depth in blocks down to which so many endpoints hold the prefix that any may.
func (p *Placer) addLearned(now time.Duration, r *Request, known int) int {
	ms, everywhere := millis(now), 0
	pl := p.pools[r.Pool]
	for i := known - 1; i >= 0; i-- {
		m := p.marks[i]
		if m.entry.crowded && ms-m.entry.used < p.lifetime {
			everywhere = max(everywhere, m.depth)
		}
		for _, h := range m.entry.holders {
			if h.at == 0 || ms-h.at >= p.lifetime || len(p.scratch) >= maxLearned {
				continue
			}
			if pl.contains(h.id) && h.at > p.ends[h.id].cleared {
				p.add(now, r, h.id, m.depth, SourceLearned, false)
			}
		}
	}
	return everywhere
}

// contains reports whether the pool has the endpoint.
func (pl *pool) contains(id int32) bool {
	_, ok := slices.BinarySearch(pl.ids, id)
	return ok
}

// rankKeys are the hashes whose rank orders are used.
type rankKeys struct {
	// deep names the deepest shared prefix, which ends at depth blocks.
	deep  uint64
	depth int
	// shallow names the namespace.
	shallow uint64
}

func (p *Placer) keys(r *Request, known int) rankKeys {
	k := rankKeys{deep: r.Seed, shallow: r.Seed}
	if len(r.Hashes) == 0 {
		return k
	}
	k.depth = p.sharedDepth(r, known)
	if k.depth > 0 {
		k.deep = r.Hashes[k.depth-1]
	}
	return k
}

// sharedDepth returns the depth in blocks of the deepest prefix that other
// requests are expected to share.
func (p *Placer) sharedDepth(r *Request, known int) int {
	if n := len(r.Levels); n > 0 {
		return min(max(r.Levels[n-1], 0), len(r.Hashes))
	}
	for i := known - 1; i >= 0; i-- {
		if p.marks[i].entry.requests > 1 {
			return p.marks[i].depth
		}
	}
	// Nothing known: half the prompt, rounded down to a power of two so that
	// requests with tails of different lengths agree.
	d := 1
	for d*2 <= len(r.Hashes)/2 {
		d *= 2
	}
	return d
}

// addRanked adds the first endpoints of the rank order of key, which are taken
// to hold the given parts of the shared prefix. Zones play no part in the order:
// preferring another zone for the second place made the places depend on each
// other, so that endpoints which joined or left moved prefixes out of reach.
func (p *Placer) addRanked(now time.Duration, r *Request, pl *pool, key uint64, trust []float64, depth, cached int) {
	p.pass++
	found := 0
	start := pl.order.start(key)
	for i := 0; i < maxPoints && found < len(trust); i++ {
		id := pl.order.at(start + i)
		e := &p.ends[id]
		if p.ranked[id] == p.pass {
			continue
		}
		p.ranked[id] = p.pass
		// An endpoint that was asked said what it holds; the index knows it.
		expected := 0
		if !slices.Contains(r.Exclude, e.name) {
			expected = cached
			if len(r.Exclude)+1 < p.cfg.Offers {
				expected = max(cached, int(trust[found]*float64(depth)))
			}
		}
		found++
		p.add(now, r, id, expected, SourceRank, true)
	}
}

// rankTrust is the part of the shared prefix that an endpoint of its rank order
// is taken to hold while it was not asked. It is deliberately optimistic: an
// endpoint that holds less refuses at once with what it holds, which costs one
// round trip, and a recomputed prefix costs a hundred times that. With 0.3 at
// the second position, 3.5% of prompt tokens were recomputed needlessly.
var rankTrust = [maxRanked]float64{0.95, 0.94, 0.93, 0.92, 0.91, 0.9, 0.89}

// addProbes adds random endpoints, the first one from the near zone.
func (p *Placer) addProbes(now time.Duration, r *Request, pl *pool, cached int) {
	for i := range p.cfg.Probes {
		ids := pl.ids
		if near := pl.byZone[r.Zone]; i == 0 && len(near) > 0 {
			ids = near
		}
		a, b := ids[p.rng.IntN(len(ids))], ids[p.rng.IntN(len(ids))]
		if p.waitMS(now, &p.ends[b]) < p.waitMS(now, &p.ends[a]) {
			a = b
		}
		if p.seen[a] != p.round && !slices.Contains(r.Exclude, p.ends[a].name) {
			p.add(now, r, a, cached, SourceProbe, false)
		}
	}
}

// addAnyway adds avoided endpoints when nothing else is left.
func (p *Placer) addAnyway(now time.Duration, r *Request, pl *pool) {
	start := p.rng.IntN(len(pl.ids))
	for i := range min(len(pl.ids), 4*maxRanked) {
		id := pl.ids[(start+i)%len(pl.ids)]
		e := &p.ends[id]
		if e.load.Draining || slices.Contains(r.Exclude, e.name) {
			continue
		}
		p.scratch = append(p.scratch, scored{id: id, cost: p.costMS(now, r, e, 0), source: SourceProbe})
		return
	}
}

// add scores an endpoint and reports whether it is a candidate. An endpoint
// that is one already keeps the deeper expectation. home is true for the
// endpoints of the shared prefix's own rank order.
func (p *Placer) add(now time.Duration, r *Request, id int32, depth int, source Source, home bool) bool {
	e := &p.ends[id]
	if p.seen[id] == p.round {
		return p.raise(now, r, id, depth, home)
	}
	p.seen[id] = p.round
	p.touched++
	if e.load.Draining || now < e.avoidUntil || len(p.scratch) == cap(p.scratch) {
		return false
	}
	if slices.Contains(r.Exclude, e.name) && !slices.Contains(r.Reoffer, e.name) {
		return false
	}
	p.scratch = append(p.scratch, p.score(now, r, id, depth, source, home))
	return true
}

// raise improves the expectation of an endpoint that was added before.
func (p *Placer) raise(now time.Duration, r *Request, id int32, depth int, home bool) bool {
	for i := range p.scratch {
		if s := &p.scratch[i]; s.id == id {
			if depth > s.depth || home && !s.home {
				*s = p.score(now, r, id, max(depth, s.depth), s.source, home || s.home)
			}
			return true
		}
	}
	return false
}

func (p *Placer) score(now time.Duration, r *Request, id int32, depth int, source Source, home bool) scored {
	e := &p.ends[id]
	cached := min(depth*prefix.BlockTokens, r.PromptTokens)
	cost := p.costMS(now, r, e, cached)
	if !home {
		cost += p.strayMS(e, depth)
	}
	return scored{id: id, depth: depth, cached: cached, cost: cost, source: source, home: home}
}

func (p *Placer) costMS(now time.Duration, r *Request, e *endpoint, cached int) float64 {
	perToken := e.load.PrefillMSPerToken
	if perToken == 0 {
		perToken = defaultPrefillMS
	}
	far := 0.0
	if e.zone != r.Zone {
		far = p.cfg.FarMS
	}
	return p.congested.Cost(p.waitMS(now, e), perToken*float64(r.PromptTokens-cached+overheadTokens), far)
}

// strayMS is the cost of a new copy of the shared prefix outside its rank
// order: other routers won't find it, and it pushes other prefixes out.
func (p *Placer) strayMS(e *endpoint, depth int) float64 {
	perToken := e.load.PrefillMSPerToken
	if perToken == 0 {
		perToken = defaultPrefillMS
	}
	return strayWeight * p.congested.Prefill * perToken * float64(max(p.shared-depth, 0)*prefix.BlockTokens)
}

// waitMS estimates the wait at an endpoint. A report loses value as it ages:
// the queue it described drains, and the average takes its place.
func (p *Placer) waitMS(now time.Duration, e *endpoint) float64 {
	if e.at == 0 {
		return 0
	}
	age := float64(now-e.at) / float64(time.Millisecond)
	fresh := reportHalfMS / (reportHalfMS + age)
	return e.meanWaitMS + (e.load.QueueMS-e.meanWaitMS)*fresh
}

// reportHalfMS is the age in ms at which a load report counts half and the
// endpoint's mean wait the other half.
const reportHalfMS = 300

// emit sorts the candidates by cost and appends the best ones.
func (p *Placer) emit(r *Request, dst []Candidate) []Candidate {
	// Equal costs keep the rank order, which all routers share.
	slices.SortStableFunc(p.scratch, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	n := min(len(p.scratch), p.cfg.Candidates)
	for i, s := range p.scratch[:n] {
		if len(r.Exclude) > 0 && s.cost > maxCostMS {
			break
		}
		c := Candidate{Endpoint: p.ends[s.id].name, CostMS: s.cost, CachedTokens: s.cached, Source: s.source, PrefillWeight: p.congested.Prefill}
		if i+1 < len(p.scratch) {
			c.AlternativeMS = p.scratch[i+1].cost
		}
		c.Last = len(p.scratch) == 1 || len(r.Exclude)+1 >= p.cfg.Offers || slices.Contains(r.Reoffer, c.Endpoint)
		dst = append(dst, c)
	}
	return dst
}
