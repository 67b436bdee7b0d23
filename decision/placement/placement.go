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
	MaxCandidates int
	// Offers is the number of endpoints that may refuse a request for cost
	// before it is queued where it is cheapest. Default 8, one more than the
	// endpoints taken from a rank order.
	MaxOffers int
	// IndexEntries bounds the learned index. Default 32768 (2 MiB).
	IndexEntries int
	// Lifetime is how long an answer counts as evidence that an endpoint
	// holds a prefix. Default 20 s.
	HolderLifetime time.Duration
	// FarMS is the cost of using another availability zone. Default 3 ms, one
	// round trip.
	CrossZoneCostMS float64
	// Probes is the number of random candidates. Default 2.
	RandomCandidates int
}

func (c *Config) setDefaults() {
	if c.MaxCandidates == 0 {
		c.MaxCandidates = 3
	}
	if c.MaxOffers == 0 {
		c.MaxOffers = 8
	}
	if c.IndexEntries == 0 {
		c.IndexEntries = 1 << 15
	}
	if c.HolderLifetime == 0 {
		c.HolderLifetime = 20 * time.Second
	}
	if c.CrossZoneCostMS == 0 {
		c.CrossZoneCostMS = 3
	}
	if c.RandomCandidates == 0 {
		c.RandomCandidates = 2
	}
}

// Bounds of one decision.
const (
	// maxRanked is the number of distinct endpoints taken from one rank order.
	maxRingCandidates       = 7
	maxPrefixRingCandidates = 5
	// maxPoints is the number of points of the ring that a walk looks at.
	maxRingPoints = 4 * maxRingCandidates
	// maxLearned is the number of candidates taken from the learned index.
	maxIndexCandidates = 8
	// maxTouched bounds the endpoints that one decision looks at.
	maxExamined = maxIndexCandidates + maxRingCandidates + 8
	// maxMarks bounds the marks of a chain that one decision looks up.
	maxIndexedPrefixes = 128
	// defaultPrefillMS is assumed per token until an endpoint reported.
	defaultPrefillMSPerToken = 0.1
	// failureBackoff is the time that an endpoint is avoided after a failure;
	// it doubles with each further failure up to maxFailureBackoff.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 4 * time.Second
	// overheadTokens is the fixed cost of a prefill in tokens.
	prefillOverheadTokens = 40
)

type endpoint struct {
	name string
	zone string
	load Load
	// at is when load was observed, 0 when never.
	loadAt time.Duration
	// meanWaitMS is the moving average of the reported wait.
	meanWaitMS          float64
	consecutiveFailures uint
	suspendedUntil      time.Duration
	// cleared is the time in ms before which the learned index is void,
	// because the engine has restarted since.
	cacheClearedAt uint32
}

// pool is a set of endpoints; ids are sorted.
type pool struct {
	ids    []int32
	ring   ring
	byZone map[string][]int32
}

type scoredEndpoint struct {
	id           int32
	cachedBlocks int
	cachedTokens int
	costMS       float64
	source       CandidateSource
	preferred    bool
}

// Placer ranks endpoints. It is not safe for concurrent use.
type Placer struct {
	cfg         Config
	costModel   CostModel
	rng         *rand.Rand
	pools       map[string]*pool
	endpointIDs map[string]int32
	endpoints   []endpoint
	index       prefixIndex
	// seen and ranked hold the round and the pass that last used an endpoint.
	examinedIn, walkedIn []uint32
	decision, ringWalk   uint32
	candidates           []scoredEndpoint
	indexed              [maxIndexedPrefixes]indexedPrefix
	examined             int
	// meanWaitMS is the moving average of all reported waits; congested is the
	// model that follows from it.
	meanWaitMS     float64
	congestedModel CostModel
	// shared is the depth in blocks of the shared prefix of the current request.
	sharedBlocks     int
	holderLifetimeMS uint32
}

type indexedPrefix struct {
	depth int
	entry *prefixEntry
}

// New returns a Placer without endpoints.
func New(cfg Config, rng *rand.Rand) *Placer {
	cfg.setDefaults()
	return &Placer{
		cfg:              cfg,
		costModel:        NewCostModel(rules.Weights{Hit: 1, Recompute: 1, Tail: 1}),
		rng:              rng,
		pools:            map[string]*pool{},
		endpointIDs:      map[string]int32{},
		index:            newPrefixIndex(cfg.IndexEntries),
		candidates:       make([]scoredEndpoint, 0, maxExamined),
		holderLifetimeMS: uint32(cfg.HolderLifetime / time.Millisecond),
	}
}

// SetWeights sets the weights of the deployment's measures.
func (p *Placer) SetWeights(w rules.Weights) { p.costModel = NewCostModel(w) }

// SetPool replaces the endpoints of a pool. It costs time in proportion to the
// pool and is meant for changes of rules or membership.
func (p *Placer) SetPool(name string, endpoints []Endpoint) {
	pl := &pool{byZone: map[string][]int32{}}
	for _, e := range endpoints {
		id, ok := p.endpointIDs[e.Name]
		if !ok {
			id = int32(len(p.endpoints))
			p.endpointIDs[e.Name] = id
			p.endpoints = append(p.endpoints, endpoint{name: e.Name})
			p.examinedIn = append(p.examinedIn, 0)
			p.walkedIn = append(p.walkedIn, 0)
		}
		p.endpoints[id].zone = e.Zone
		pl.ids = append(pl.ids, id)
		pl.byZone[e.Zone] = append(pl.byZone[e.Zone], id)
	}
	slices.Sort(pl.ids)
	pl.ring = newRing(pl.ids, func(id int32) string { return p.endpoints[id].name })
	p.pools[name] = pl
}

// meanReports is the number of reports that the mean wait covers.
const meanWaitReports = 1024

// Touched returns the number of endpoints that the last Rank looked at.
func (p *Placer) EndpointsExamined() int { return p.examined }

// Rank appends the candidates for a request to dst, best first.
func (p *Placer) Rank(now time.Duration, r *Request, dst []Candidate) []Candidate {
	pl := p.pools[r.Pool]
	p.examined = 0
	if pl == nil || len(pl.ids) == 0 {
		return dst
	}
	p.decision++
	p.congestedModel = p.costModel.WithCongestion(p.meanWaitMS)
	p.candidates = p.candidates[:0]
	numIndexed := p.findIndexedPrefixes(r)
	k := p.ringKeys(r, numIndexed)
	p.sharedBlocks = k.prefixBlocks
	widelyHeldBlocks := p.addHolders(now, r, numIndexed)
	p.addFromRing(now, r, pl, k.prefix, expectedCachedShare[:maxPrefixRingCandidates], k.prefixBlocks, widelyHeldBlocks)
	p.addFromRing(now, r, pl, k.namespace, expectedCachedShare[maxPrefixRingCandidates:], k.prefixBlocks, widelyHeldBlocks)
	p.addRandom(now, r, pl, widelyHeldBlocks)
	if len(p.candidates) == 0 {
		p.addSuspended(now, r, pl)
	}
	return p.appendCheapest(r, dst)
}

// walk looks up the marks of the chain and returns how many were found.
func (p *Placer) findIndexedPrefixes(r *Request) int {
	n, missed := 0, 0
	for d := 1; d <= len(r.BlockHashes) && n < maxIndexedPrefixes && missed < 2; d = nextIndexedDepth(d) {
		e := p.index.find(r.BlockHashes[d-1])
		if e == nil {
			missed++
			continue
		}
		p.indexed[n] = indexedPrefix{d, e}
		n++
	}
	return n
}

// addLearned adds the known holders of the deepest prefixes. It returns the
// depth in blocks down to which so many endpoints hold the prefix that any may.
func (p *Placer) addHolders(now time.Duration, r *Request, numIndexed int) int {
	ms, widelyHeldBlocks := indexTime(now), 0
	pl := p.pools[r.Pool]
	for i := numIndexed - 1; i >= 0; i-- {
		m := p.indexed[i]
		if m.entry.holdersOverflowed && ms-m.entry.lastUsed < p.holderLifetimeMS {
			widelyHeldBlocks = max(widelyHeldBlocks, m.depth)
		}
		for _, h := range m.entry.holders {
			if h.confirmedAt == 0 || ms-h.confirmedAt >= p.holderLifetimeMS || len(p.candidates) >= maxIndexCandidates {
				continue
			}
			if pl.contains(h.endpoint) && h.confirmedAt > p.endpoints[h.endpoint].cacheClearedAt {
				p.add(now, r, h.endpoint, m.depth, SourcePrefixIndex, false)
			}
		}
	}
	return widelyHeldBlocks
}

// contains reports whether the pool has the endpoint.
func (pl *pool) contains(id int32) bool {
	_, ok := slices.BinarySearch(pl.ids, id)
	return ok
}

// rankKeys are the hashes whose rank orders are used.
type ringKeys struct {
	// deep names the deepest shared prefix, which ends at depth blocks.
	prefix       uint64
	prefixBlocks int
	// shallow names the namespace.
	namespace uint64
}

func (p *Placer) ringKeys(r *Request, numIndexed int) ringKeys {
	k := ringKeys{prefix: r.NamespaceHash, namespace: r.NamespaceHash}
	if len(r.BlockHashes) == 0 {
		return k
	}
	k.prefixBlocks = p.sharedDepth(r, numIndexed)
	if k.prefixBlocks > 0 {
		k.prefix = r.BlockHashes[k.prefixBlocks-1]
	}
	return k
}

// sharedDepth returns the depth in blocks of the deepest prefix that other
// requests are expected to share.
func (p *Placer) sharedDepth(r *Request, numIndexed int) int {
	if n := len(r.SharedPrefixBlocks); n > 0 {
		return min(max(r.SharedPrefixBlocks[n-1], 0), len(r.BlockHashes))
	}
	for i := numIndexed - 1; i >= 0; i-- {
		if p.indexed[i].entry.requestCount > 1 {
			return p.indexed[i].depth
		}
	}
	// Nothing known: half the prompt, rounded down to a power of two so that
	// requests with tails of different lengths agree.
	d := 1
	for d*2 <= len(r.BlockHashes)/2 {
		d *= 2
	}
	return d
}

// addRanked adds the first endpoints of the rank order of key, which are taken
// to hold the given parts of the shared prefix. Zones play no part in the order:
// preferring another zone for the second place made the places depend on each
// other, so that endpoints which joined or left moved prefixes out of reach.
func (p *Placer) addFromRing(now time.Duration, r *Request, pl *pool, key uint64, expectedShare []float64, sharedBlocks, widelyHeldBlocks int) {
	p.ringWalk++
	walked := 0
	start := pl.ring.positionOf(key)
	for i := 0; i < maxRingPoints && walked < len(expectedShare); i++ {
		id := pl.ring.endpointAt(start + i)
		e := &p.endpoints[id]
		if p.walkedIn[id] == p.ringWalk {
			continue
		}
		p.walkedIn[id] = p.ringWalk
		// An endpoint that was asked said what it holds; the index knows it.
		cachedBlocks := 0
		if !slices.Contains(r.Exclude, e.name) {
			cachedBlocks = widelyHeldBlocks
			if len(r.Exclude)+1 < p.cfg.MaxOffers {
				cachedBlocks = max(widelyHeldBlocks, int(expectedShare[walked]*float64(sharedBlocks)))
			}
		}
		walked++
		p.add(now, r, id, cachedBlocks, SourceHashRing, true)
	}
}

// rankTrust is the part of the shared prefix that an endpoint of its rank order
// is taken to hold while it was not asked. It is deliberately optimistic: an
// endpoint that holds less refuses at once with what it holds, which costs one
// round trip, and a recomputed prefix costs a hundred times that. With 0.3 at
// the second position, 3.5% of prompt tokens were recomputed needlessly.
var expectedCachedShare = [maxRingCandidates]float64{0.95, 0.94, 0.93, 0.92, 0.91, 0.9, 0.89}

// addProbes adds random endpoints, the first one from the near zone.
func (p *Placer) addRandom(now time.Duration, r *Request, pl *pool, widelyHeldBlocks int) {
	for i := range p.cfg.RandomCandidates {
		ids := pl.ids
		if near := pl.byZone[r.Zone]; i == 0 && len(near) > 0 {
			ids = near
		}
		a, b := ids[p.rng.IntN(len(ids))], ids[p.rng.IntN(len(ids))]
		if p.waitMS(now, &p.endpoints[b]) < p.waitMS(now, &p.endpoints[a]) {
			a = b
		}
		if p.examinedIn[a] != p.decision && !slices.Contains(r.Exclude, p.endpoints[a].name) {
			p.add(now, r, a, widelyHeldBlocks, SourceRandom, false)
		}
	}
}

// addAnyway adds avoided endpoints when nothing else is left.
func (p *Placer) addSuspended(now time.Duration, r *Request, pl *pool) {
	start := p.rng.IntN(len(pl.ids))
	for i := range min(len(pl.ids), 4*maxRingCandidates) {
		id := pl.ids[(start+i)%len(pl.ids)]
		e := &p.endpoints[id]
		if e.load.Draining || slices.Contains(r.Exclude, e.name) {
			continue
		}
		p.candidates = append(p.candidates, scoredEndpoint{id: id, costMS: p.costMS(now, r, e, 0), source: SourceRandom})
		return
	}
}

// add scores an endpoint and reports whether it is a candidate. An endpoint
// that is one already keeps the deeper expectation. home is true for the
// endpoints of the shared prefix's own rank order.
func (p *Placer) add(now time.Duration, r *Request, id int32, cachedBlocks int, source CandidateSource, preferred bool) bool {
	e := &p.endpoints[id]
	if p.examinedIn[id] == p.decision {
		return p.raiseCachedBlocks(now, r, id, cachedBlocks, preferred)
	}
	p.examinedIn[id] = p.decision
	p.examined++
	if e.load.Draining || now < e.suspendedUntil || len(p.candidates) == cap(p.candidates) {
		return false
	}
	if slices.Contains(r.Exclude, e.name) && !slices.Contains(r.RefusedForCost, e.name) {
		return false
	}
	p.candidates = append(p.candidates, p.score(now, r, id, cachedBlocks, source, preferred))
	return true
}

// raise improves the expectation of an endpoint that was added before.
func (p *Placer) raiseCachedBlocks(now time.Duration, r *Request, id int32, cachedBlocks int, preferred bool) bool {
	for i := range p.candidates {
		if s := &p.candidates[i]; s.id == id {
			if cachedBlocks > s.cachedBlocks || preferred && !s.preferred {
				*s = p.score(now, r, id, max(cachedBlocks, s.cachedBlocks), s.source, preferred || s.preferred)
			}
			return true
		}
	}
	return false
}

func (p *Placer) score(now time.Duration, r *Request, id int32, cachedBlocks int, source CandidateSource, preferred bool) scoredEndpoint {
	e := &p.endpoints[id]
	cachedTokens := min(cachedBlocks*prefix.TokensPerBlock, r.PromptTokens)
	cost := p.costMS(now, r, e, cachedTokens)
	if !preferred {
		cost += p.newCopyCostMS(e, cachedBlocks)
	}
	return scoredEndpoint{id: id, cachedBlocks: cachedBlocks, cachedTokens: cachedTokens, costMS: cost, source: source, preferred: preferred}
}

func (p *Placer) costMS(now time.Duration, r *Request, e *endpoint, cachedTokens int) float64 {
	perToken := e.load.PrefillMSPerToken
	if perToken == 0 {
		perToken = defaultPrefillMSPerToken
	}
	crossZoneMS := 0.0
	if e.zone != r.Zone {
		crossZoneMS = p.cfg.CrossZoneCostMS
	}
	return p.congestedModel.Cost(p.waitMS(now, e), perToken*float64(r.PromptTokens-cachedTokens+prefillOverheadTokens), crossZoneMS)
}

// strayMS is the cost of a new copy of the shared prefix outside its rank
// order: other routers won't find it, and it pushes other prefixes out.
func (p *Placer) newCopyCostMS(e *endpoint, cachedBlocks int) float64 {
	perToken := e.load.PrefillMSPerToken
	if perToken == 0 {
		perToken = defaultPrefillMSPerToken
	}
	return newCopyWeight * p.congestedModel.PrefillWeight * perToken * float64(max(p.sharedBlocks-cachedBlocks, 0)*prefix.TokensPerBlock)
}

// waitMS estimates the wait at an endpoint. A report loses value as it ages:
// the queue it described drains, and the average takes its place.
func (p *Placer) waitMS(now time.Duration, e *endpoint) float64 {
	if e.loadAt == 0 {
		return 0
	}
	age := float64(now-e.loadAt) / float64(time.Millisecond)
	reportShare := reportHalfWeightAgeMS / (reportHalfWeightAgeMS + age)
	return e.meanWaitMS + (e.load.QueueWaitMS-e.meanWaitMS)*reportShare
}

// reportHalfMS is the age in ms at which a load report counts half and the
// endpoint's mean wait the other half.
const reportHalfWeightAgeMS = 300

// emit sorts the candidates by cost and appends the best ones.
func (p *Placer) appendCheapest(r *Request, dst []Candidate) []Candidate {
	// Equal costs keep the rank order, which all routers share.
	slices.SortStableFunc(p.candidates, func(a, b scoredEndpoint) int { return cmp.Compare(a.costMS, b.costMS) })
	n := min(len(p.candidates), p.cfg.MaxCandidates)
	for i, s := range p.candidates[:n] {
		if len(r.Exclude) > 0 && s.costMS > maxRetryCostMS {
			break
		}
		c := Candidate{Endpoint: p.endpoints[s.id].name, CostMS: s.costMS, CachedTokens: s.cachedTokens, Source: s.source, PrefillWeight: p.congestedModel.PrefillWeight}
		if i+1 < len(p.candidates) {
			c.AlternativeCostMS = p.candidates[i+1].costMS
		}
		c.MustQueue = len(p.candidates) == 1 || len(r.Exclude)+1 >= p.cfg.MaxOffers || slices.Contains(r.RefusedForCost, c.Endpoint)
		dst = append(dst, c)
	}
	return dst
}
