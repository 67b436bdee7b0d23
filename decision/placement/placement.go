// Package placement ranks the endpoints for a request by expected cost. It is used
// when requests go through agents, which admit or refuse them; package selection
// serves routers that talk to endpoints directly. It is a pure state machine: the
// caller passes the time since an arbitrary origin and a random source.
//
// A decision considers the endpoints that hold the prompt's prefix according to the
// replies of their agents to this router, the first endpoints in the order of a
// consistent-hash ring that is the same for all routers, and a few random endpoints.
// Its work does not depend on the number of endpoints.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/rules"
)

// Config holds the parameters of a Placer.
type Config struct {
	// MaxCandidates is the maximum number of candidates that Rank returns.
	// Default 3.
	MaxCandidates int
	// MaxAdmissionAttempts is the number of endpoints that are asked to admit a
	// request. The last one has to queue it. Default 8, one more than the
	// endpoints taken from the hash ring.
	MaxAdmissionAttempts int
	// IndexEntries is the size of the prefix index, rounded up to a power of
	// two. Default 32768 (2 MiB).
	IndexEntries int
	// HolderLifetime is how long an endpoint counts as holder of a prefix after
	// its agent confirmed it. Default 20 s.
	HolderLifetime time.Duration
	// CrossZoneCostMS is the cost of an endpoint in another availability zone.
	// Default 3 ms, one round trip.
	CrossZoneCostMS float64
	// RandomCandidates is the number of random candidates. Default 2.
	RandomCandidates int
}

func (c *Config) setDefaults() {
	if c.MaxCandidates == 0 {
		c.MaxCandidates = 3
	}
	if c.MaxAdmissionAttempts == 0 {
		c.MaxAdmissionAttempts = 8
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

const (
	// maxRingCandidates is the number of endpoints that a decision takes from the
	// hash ring. maxPrefixRingCandidates of them are in the order of the shared
	// prefix's hash, the others in that of the namespace's hash.
	maxRingCandidates       = 7
	maxPrefixRingCandidates = 5
	// maxRingPoints is the maximum number of ring points visited for one hash.
	maxRingPoints = 4 * maxRingCandidates
	// maxIndexCandidates is the maximum number of candidates from the prefix index.
	maxIndexCandidates = 8
	// maxExamined is the maximum number of endpoints that a decision examines. It
	// leaves room for 8 random ones.
	maxExamined = maxIndexCandidates + maxRingCandidates + 8
	// maxIndexedPrefixes is the maximum number of a prompt's prefixes that a
	// decision finds in the prefix index.
	maxIndexedPrefixes = 128
	// defaultPrefillMSPerToken is assumed until an endpoint reports its own.
	defaultPrefillMSPerToken = 0.1
	// minSuspension is how long an endpoint is avoided after a failure. It doubles
	// with each consecutive failure up to maxSuspension.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 4 * time.Second
	// prefillOverheadTokens is the fixed cost of a prefill, in tokens.
	prefillOverheadTokens = 40
)

// endpointState is what the router has observed of an endpoint.
type endpointState struct {
	name string
	zone string
	load Load
	// loadAt is when load was observed, 0 when never.
	loadAt time.Duration
	// meanWaitMS is the moving average of the reported waits.
	meanWaitMS          float64
	consecutiveFailures uint
	suspendedUntil      time.Duration
	// cacheClearedAt is the index time of the engine's last restart. What the
	// prefix index learned of the endpoint until then is no longer valid.
	cacheClearedAt uint32
}

// pool is a set of endpoints. The ids are sorted.
type pool struct {
	ids    []int32
	ring   ring
	byZone map[string][]int32
}

// scoredEndpoint is a candidate with the expected length of its cached prefix and the
// cost that follows from it.
type scoredEndpoint struct {
	id           int32
	cachedBlocks int
	cachedTokens int
	costMS       float64
	source       CandidateSource
	// preferred is true for the first endpoints in the hash ring's order.
	preferred bool
}

// Placer ranks endpoints. It is not safe for concurrent use.
type Placer struct {
	cfg       Config
	costModel CostModel
	rng       *rand.Rand
	pools     map[string]*pool
	// endpointIDs maps the name of an endpoint to its position in endpoints.
	endpointIDs map[string]int32
	endpoints   []endpointState
	prefixIndex prefixIndex
	// lastExaminedBy and lastVisitedBy hold, for each endpoint, the number of the
	// last decision that examined the endpoint and of the last ring walk that
	// visited it. numExamined counts the endpoints examined by the last decision.
	lastExaminedBy, lastVisitedBy  []uint32
	decisionNumber, ringWalkNumber uint32
	candidates                     []scoredEndpoint
	indexedPrefixes                [maxIndexedPrefixes]indexedPrefix
	numExamined                    int
	// meanWaitMS is the moving average of the waits that all endpoints
	// reported, and congestedModel the cost model adjusted to it.
	meanWaitMS     float64
	congestedModel CostModel
	// sharedBlocks is the length of the current request's shared prefix.
	sharedBlocks     int
	holderLifetimeMS uint32
}

// indexedPrefix is a prefix of the current prompt that the prefix index has.
type indexedPrefix struct {
	blocks int
	entry  *prefixEntry
}

// New returns a Placer without endpoints.
func New(cfg Config, rng *rand.Rand) *Placer {
	cfg.setDefaults()
	return &Placer{
		cfg:              cfg,
		costModel:        NewCostModel(rules.PlacementWeights{HitRate: 1, RecomputedTokens: 1, TailLatency: 1}),
		rng:              rng,
		pools:            map[string]*pool{},
		endpointIDs:      map[string]int32{},
		prefixIndex:      newPrefixIndex(cfg.IndexEntries),
		candidates:       make([]scoredEndpoint, 0, maxExamined),
		holderLifetimeMS: uint32(cfg.HolderLifetime / time.Millisecond),
	}
}

// SetPlacementWeights sets the relative weights of the goals of placement.
func (p *Placer) SetPlacementWeights(w rules.PlacementWeights) { p.costModel = NewCostModel(w) }

// SetPool replaces the endpoints of a pool. Its running time grows with the
// number of endpoints, so call it only after changes of rules or membership.
func (p *Placer) SetPool(name string, endpoints []Endpoint) {
	pl := &pool{byZone: map[string][]int32{}}
	for _, e := range endpoints {
		id, ok := p.endpointIDs[e.Name]
		if !ok {
			id = int32(len(p.endpoints))
			p.endpointIDs[e.Name] = id
			p.endpoints = append(p.endpoints, endpointState{name: e.Name})
			p.lastExaminedBy = append(p.lastExaminedBy, 0)
			p.lastVisitedBy = append(p.lastVisitedBy, 0)
		}
		p.endpoints[id].zone = e.Zone
		pl.ids = append(pl.ids, id)
		pl.byZone[e.Zone] = append(pl.byZone[e.Zone], id)
	}
	slices.Sort(pl.ids)
	pl.ring = newRing(pl.ids, func(id int32) string { return p.endpoints[id].name })
	p.pools[name] = pl
}

// meanWaitReports is the number of load reports over which the waits of all endpoints
// are averaged.
const meanWaitReports = 1024

// EndpointsExamined returns the number of endpoints that the last Rank examined.
func (p *Placer) EndpointsExamined() int { return p.numExamined }

// Rank appends the candidates for a request to dst, cheapest first.
func (p *Placer) Rank(now time.Duration, r *Request, dst []Candidate) []Candidate {
	pl := p.pools[r.Pool]
	p.numExamined = 0
	if pl == nil || len(pl.ids) == 0 {
		return dst
	}
	p.decisionNumber++
	p.congestedModel = p.costModel.WithCongestion(p.meanWaitMS)
	p.candidates = p.candidates[:0]
	numIndexed := p.findIndexedPrefixes(r)
	keys := p.ringKeys(r, numIndexed)
	p.sharedBlocks = keys.prefixBlocks
	widelyHeldBlocks := p.addHolders(now, r, numIndexed)
	p.addFromRing(now, r, pl, keys.prefix, expectedCachedShare[:maxPrefixRingCandidates], keys.prefixBlocks, widelyHeldBlocks)
	p.addFromRing(now, r, pl, keys.namespace, expectedCachedShare[maxPrefixRingCandidates:], keys.prefixBlocks, widelyHeldBlocks)
	p.addRandom(now, r, pl, widelyHeldBlocks)
	if len(p.candidates) == 0 {
		p.addSuspended(now, r, pl)
	}
	return p.appendCheapest(r, dst)
}

// findIndexedPrefixes looks up the prompt's prefixes in the index, shortest first, and
// returns how many it has found. It stops after the second one that is missing.
func (p *Placer) findIndexedPrefixes(r *Request) int {
	n, misses := 0, 0
	for blocks := 1; blocks <= len(r.BlockHashes) && n < maxIndexedPrefixes && misses < 2; blocks = nextIndexedLength(blocks) {
		e := p.prefixIndex.find(r.BlockHashes[blocks-1])
		if e == nil {
			misses++
			continue
		}
		p.indexedPrefixes[n] = indexedPrefix{blocks, e}
		n++
	}
	return n
}

// addHolders adds the known holders of the prompt's longest prefixes. It returns the
// length in blocks of the longest prefix that has more holders than the index can
// store, so that any endpoint may hold it.
func (p *Placer) addHolders(now time.Duration, r *Request, numIndexed int) int {
	indexNow, widelyHeldBlocks := indexTime(now), 0
	pl := p.pools[r.Pool]
	for i := numIndexed - 1; i >= 0; i-- {
		known := p.indexedPrefixes[i]
		if known.entry.holdersOverflowed && indexNow-known.entry.lastUsed < p.holderLifetimeMS {
			widelyHeldBlocks = max(widelyHeldBlocks, known.blocks)
		}
		for _, h := range known.entry.holders {
			if h.confirmedAt == 0 || indexNow-h.confirmedAt >= p.holderLifetimeMS || len(p.candidates) >= maxIndexCandidates {
				continue
			}
			if pl.contains(h.endpointID) && h.confirmedAt > p.endpoints[h.endpointID].cacheClearedAt {
				p.add(now, r, h.endpointID, known.blocks, SourcePrefixIndex, false)
			}
		}
	}
	return widelyHeldBlocks
}

// contains reports whether the endpoint is in the pool.
func (pl *pool) contains(id int32) bool {
	_, ok := slices.BinarySearch(pl.ids, id)
	return ok
}

// ringKeys are the hashes that are looked up in the hash ring for a request.
type ringKeys struct {
	// prefix is the hash of the longest shared prefix, which has prefixBlocks
	// blocks.
	prefix       uint64
	prefixBlocks int
	namespace    uint64
}

func (p *Placer) ringKeys(r *Request, numIndexed int) ringKeys {
	keys := ringKeys{prefix: r.NamespaceHash, namespace: r.NamespaceHash}
	if len(r.BlockHashes) == 0 {
		return keys
	}
	keys.prefixBlocks = p.sharedPrefixBlocks(r, numIndexed)
	if keys.prefixBlocks > 0 {
		keys.prefix = r.BlockHashes[keys.prefixBlocks-1]
	}
	return keys
}

// sharedPrefixBlocks returns the length in blocks of the longest prefix that other
// requests are expected to share.
func (p *Placer) sharedPrefixBlocks(r *Request, numIndexed int) int {
	if n := len(r.SharedPrefixBlocks); n > 0 {
		return min(max(r.SharedPrefixBlocks[n-1], 0), len(r.BlockHashes))
	}
	for i := numIndexed - 1; i >= 0; i-- {
		if p.indexedPrefixes[i].entry.requestCount > 1 {
			return p.indexedPrefixes[i].blocks
		}
	}
	// Assume half of an unknown prompt, rounded down to a power of two, so that
	// requests with the same prefix and ends of different lengths agree.
	blocks := 1
	for blocks*2 <= len(r.BlockHashes)/2 {
		blocks *= 2
	}
	return blocks
}

// addFromRing adds the first endpoints in the hash ring's order for a hash. Each is
// expected to hold its share of the shared prefix, and at least minCachedBlocks. The
// order ignores zones. If the second endpoint were taken from another zone than the
// first, their positions would depend on each other, and a join or leave would move
// prefixes to endpoints where they are not found.
func (p *Placer) addFromRing(now time.Duration, r *Request, pl *pool, hash uint64, expectedShare []float64, sharedBlocks, minCachedBlocks int) {
	p.ringWalkNumber++
	distinct := 0
	first := pl.ring.positionOf(hash)
	for i := 0; i < maxRingPoints && distinct < len(expectedShare); i++ {
		id := pl.ring.endpointAt(first + i)
		e := &p.endpoints[id]
		if p.lastVisitedBy[id] == p.ringWalkNumber {
			continue
		}
		p.lastVisitedBy[id] = p.ringWalkNumber
		// An endpoint that was already tried has reported what it holds, and the
		// index has recorded that.
		cachedBlocks := 0
		if !slices.Contains(r.Exclude, e.name) {
			cachedBlocks = minCachedBlocks
			if len(r.Exclude)+1 < p.cfg.MaxAdmissionAttempts {
				cachedBlocks = max(minCachedBlocks, int(expectedShare[distinct]*float64(sharedBlocks)))
			}
		}
		distinct++
		p.add(now, r, id, cachedBlocks, SourceHashRing, true)
	}
}

// expectedCachedShare is the share of the shared prefix that the endpoints in the hash
// ring's order are expected to hold until they report it. It is deliberately
// optimistic: an endpoint that holds less refuses at once and reports what it holds,
// which costs one round trip, whereas recomputing a prefix costs a hundred times as
// much. With 0.3 at the second position, 3.5% of prompt tokens were recomputed
// needlessly.
var expectedCachedShare = [maxRingCandidates]float64{0.95, 0.94, 0.93, 0.92, 0.91, 0.9, 0.89}

// addRandom adds random endpoints, the first one from the router's zone. Of two random
// endpoints it takes the one with the shorter wait.
func (p *Placer) addRandom(now time.Duration, r *Request, pl *pool, cachedBlocks int) {
	for i := range p.cfg.RandomCandidates {
		ids := pl.ids
		if local := pl.byZone[r.Zone]; i == 0 && len(local) > 0 {
			ids = local
		}
		a, b := ids[p.rng.IntN(len(ids))], ids[p.rng.IntN(len(ids))]
		if p.waitMS(now, &p.endpoints[b]) < p.waitMS(now, &p.endpoints[a]) {
			a = b
		}
		if p.lastExaminedBy[a] != p.decisionNumber && !slices.Contains(r.Exclude, p.endpoints[a].name) {
			p.add(now, r, a, cachedBlocks, SourceRandom, false)
		}
	}
}

// addSuspended adds one endpoint, even if it is suspended after failures. It is used
// when no other candidate is left.
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

// add scores an endpoint and reports whether it is a candidate. An endpoint that was
// added before keeps the longer of the two expected prefixes. Preferred is true for
// endpoints from the hash ring.
func (p *Placer) add(now time.Duration, r *Request, id int32, cachedBlocks int, source CandidateSource, preferred bool) bool {
	e := &p.endpoints[id]
	if p.lastExaminedBy[id] == p.decisionNumber {
		return p.raiseCachedBlocks(now, r, id, cachedBlocks, preferred)
	}
	p.lastExaminedBy[id] = p.decisionNumber
	p.numExamined++
	if e.load.Draining || now < e.suspendedUntil || len(p.candidates) == cap(p.candidates) {
		return false
	}
	if slices.Contains(r.Exclude, e.name) && !slices.Contains(r.RefusedForCost, e.name) {
		return false
	}
	p.candidates = append(p.candidates, p.score(now, r, id, cachedBlocks, source, preferred))
	return true
}

// raiseCachedBlocks raises the expected cached prefix of an endpoint that was added
// before, and reports whether the endpoint is a candidate.
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

func (p *Placer) costMS(now time.Duration, r *Request, e *endpointState, cachedTokens int) float64 {
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

// newCopyCostMS is the cost of a new copy of the shared prefix at an endpoint that the
// hash ring does not prefer: other routers will not find it there, and it evicts other
// prefixes.
func (p *Placer) newCopyCostMS(e *endpointState, cachedBlocks int) float64 {
	perToken := e.load.PrefillMSPerToken
	if perToken == 0 {
		perToken = defaultPrefillMSPerToken
	}
	return newCopyWeight * p.congestedModel.PrefillWeight * perToken * float64(max(p.sharedBlocks-cachedBlocks, 0)*prefix.TokensPerBlock)
}

// waitMS estimates the wait at an endpoint. As the last report ages, its queue drains,
// and the estimate approaches the endpoint's mean wait.
func (p *Placer) waitMS(now time.Duration, e *endpointState) float64 {
	if e.loadAt == 0 {
		return 0
	}
	age := float64(now-e.loadAt) / float64(time.Millisecond)
	reportShare := reportHalfWeightAgeMS / (reportHalfWeightAgeMS + age)
	return e.meanWaitMS + (e.load.ExpectedWaitMS-e.meanWaitMS)*reportShare
}

// reportHalfWeightAgeMS is the age at which a load report and the endpoint's mean wait
// have the same weight in the estimated wait.
const reportHalfWeightAgeMS = 300

// appendCheapest sorts the candidates by cost and appends the cheapest ones to dst.
func (p *Placer) appendCheapest(r *Request, dst []Candidate) []Candidate {
	// Candidates of equal cost keep the order of the hash ring, which is the same
	// for all routers.
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
		c.MustQueue = len(p.candidates) == 1 || len(r.Exclude)+1 >= p.cfg.MaxAdmissionAttempts || slices.Contains(r.RefusedForCost, c.Endpoint)
		dst = append(dst, c)
	}
	return dst
}
