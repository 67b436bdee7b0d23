// Package selection chooses the endpoint for a request when the router talks to
// endpoints itself. The choice weighs, in milliseconds, the work that an
// endpoint has queued against the prompt parts that it would have to read again.
// It is a pure state machine and not safe for concurrent use.
package selection

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// Config holds the weights of the choice.
type Config struct {
	// PrefillTokensPerMs is the reading rate of an engine.
	PrefillTokensPerMs float64
	// RereadFactor multiplies the cost of reading shared parts again, because
	// that work also delays the requests behind.
	RecomputeFactor float64
	// RunCost is what one running request adds to the time of another.
	RunningRequestCost time.Duration
	// ZoneCost is the price of leaving the availability zone.
	CrossZoneCost time.Duration
	// OldWeightsCost is the price of an endpoint that lacks the newest weights.
	OldWeightsCost time.Duration
	// OldWeightsGrace is how long after their naming new weights have no
	// preference.
	OldWeightsGrace time.Duration
	// OldWeightsLimit is how long after they were superseded weights should not
	// be used at all.
	OldWeightsLimit time.Duration
	// FailureCost is the price of an endpoint all of whose requests fail.
	FailureCost time.Duration
	// ServiceTime is the assumed time of one request at a plain service.
	ServiceTime time.Duration
	// FetchTokensPerMs is the rate at which an engine fetches parts from
	// another one.
	FetchTokensPerMs float64
	// PartLife is how long a part counts as cached after its last use.
	HolderLifetime time.Duration
	// MaxParts bounds the number of parts that are remembered.
	MaxParts int
}

// Request is what the choice needs to know of a request.
type Request struct {
	Service string
	// Prompt is nil for plain requests.
	Prompt *fleet.Prompt
	// Namespace is the team's share of the cache's namespace, empty for teams
	// that share parts.
	CacheNamespace string
	// Exclude are endpoints that must not be chosen.
	Exclude []string
	// Moved requests left another endpoint for its change of weights. Where they
	// go now they stay.
	MovedForWeightsChange bool
	// AllowExpired lets a request start on weights past their limit although
	// other endpoints have newer ones, because the store is away and the change
	// may take long.
	AllowExpiredWeights bool
	// Repeatable requests may test an endpoint that failed before.
	Repeatable bool
}

// longOutput is the number of output tokens from which a request counts as long:
// about half a second of generation.
const longOutput = 64

// Long reports whether a request may take seconds.
func (r *Request) IsLong() bool { return r.Prompt != nil && r.Prompt.MaxOutputTokens > longOutput }

// Choice is the outcome of Select.
type Choice struct {
	Endpoint *fleet.Endpoint
	// Weights is the version that the endpoint is believed to serve.
	WeightsVersion uint64
	// Cost is the estimate behind the choice.
	Cost time.Duration
	// CachedTokens is the part of the prompt believed to be cached there.
	CachedTokens int
	// FetchFrom is the address of another endpoint that holds more of the
	// prompt's shared parts, empty when there is none.
	FetchFrom string
	// SaveTo is the address of the KV store when the endpoint has to get some of
	// the prompt's shared parts and the store lacks some, empty otherwise. A saved
	// prompt takes the room of others with its last part, too.
	SaveTo string
}

// Selector holds what the router knows of endpoints beyond their entries.
type Selector struct {
	cfg       Config
	zone      string
	endpoints map[string]*endpointState
	partIndex partIndex
	pools     map[poolKey]*pool
	// readTime and rereadTime are the costs of a token of its own and of a shared one.
	prefillPerToken, recomputePerToken time.Duration
	// store is the address of the KV store, empty when there is none.
	kvCacheStore string
	// space is the working space of one choice.
	scratch scratch
}

// space is kept between choices, so that they allocate nothing.
type scratch struct {
	// choice numbers the choices; a coverage of another choice does not count.
	decision uint64
	partKeys []uint64
	// covering holds the endpoints that hold some shared part of the prompt, and
	// stored what the KV store holds by weights.
	holders        []*endpointState
	storeCoverages []coverage
	fetchSources   []sourceList
}

// StoreID stands for the KV store where endpoints are named.
const KVCacheStoreID = "kv-store"

// SetStore sets the address of the KV store. Empty means that there is none or
// that it is down.
func (s *Selector) SetKVCacheStore(address string) { s.kvCacheStore = address }

// New returns a Selector of a router in the availability zone.
func New(cfg Config, zone string) *Selector {
	prefillPerToken := float64(time.Millisecond) / cfg.PrefillTokensPerMs
	return &Selector{
		cfg: cfg, zone: zone, endpoints: map[string]*endpointState{}, partIndex: newPartIndex(cfg.MaxParts), pools: map[poolKey]*pool{},
		prefillPerToken: time.Duration(prefillPerToken), recomputePerToken: time.Duration(prefillPerToken * cfg.RecomputeFactor),
	}
}

// SetOldWeightsLimit replaces the limit of the configuration.
func (s *Selector) SetOldWeightsLimit(limit time.Duration) { s.cfg.OldWeightsLimit = limit }

// Select chooses an endpoint of the request's service, or returns false when
// none may take it. Now is a time since an arbitrary origin, wall the time that
// View.Named refers to.
func (s *Selector) Select(now time.Duration, wall time.Time, v *fleet.View, r *Request) (Choice, bool) {
	d := decision{Selector: s, now: now, wall: wall, request: r, isLong: r.IsLong(), pool: s.pool(v, r), bestIndex: -1}
	d.fetchPlan.firstPreferred, d.fetchPlan.secondPreferred = -1, -1
	if r.Prompt != nil {
		d.findHolders(v)
	}
	d.consider(d.fetchPlan.firstPreferred)
	d.consider(d.fetchPlan.secondPreferred)
	for i := range d.pool.candidates {
		d.consider(i)
	}
	if d.bestIndex < 0 {
		return Choice{}, false
	}
	choice := d.result()
	if r.Prompt != nil && s.kvCacheStore != "" && choice.CachedTokens < d.sharedTokens && s.storeCoverage(choice.WeightsVersion).tokens < d.sharedTokens {
		choice.SaveTo = s.kvCacheStore
	}
	return choice, true
}

// choosing is one choice.
type decision struct {
	*Selector
	now       time.Duration
	wall      time.Time
	request   *Request
	isLong    bool
	pool      *pool
	fetchPlan fetchPlan
	// shared and own count the tokens in shared parts and in the last one.
	sharedTokens, unsharedTokens int
	// bare is the least cost of the prompt at an endpoint that holds nothing of it
	// and is no home of it.
	uncachedPromptCost time.Duration
	// best is the position of the candidate with the least cost so far, or -1.
	bestIndex int
	bestCost  time.Duration
}

// prepare finds who holds parts of the prompt.
func (d *decision) findHolders(v *fleet.View) {
	r := d.request
	d.sharedTokens = r.Prompt.SharedTokens()
	d.unsharedTokens = r.Prompt.InputTokens - d.sharedTokens
	keys := appendPartKeys(d.scratch.partKeys[:0], r.CacheNamespace, r.Prompt)
	d.scratch.partKeys = keys
	d.findCoverage(d.now, keys, r.Prompt)
	d.fetchPlan = d.Selector.planFetches(d.now, v, r, len(keys))
	d.fetchPlan.firstPreferred, d.fetchPlan.secondPreferred = d.pool.preferred(keys)
	d.uncachedPromptCost = d.prefillTime(d.unsharedTokens)
	if len(d.fetchPlan.sourceLists) == 0 && d.sharedTokens > 0 {
		d.uncachedPromptCost += d.recomputeCost(d.sharedTokens) + notPreferredCost
	}
}

// consider takes the candidate at position i if it may run the request at less cost.
func (d *decision) consider(i int) {
	if i < 0 {
		return
	}
	c := &d.pool.candidates[i]
	cost := d.loadCost(c)
	if d.bestIndex >= 0 && cost+d.minPromptCost(i, c) >= d.bestCost || !d.usable(c) {
		return
	}
	cost += d.planPrefill(i, c).cost
	if !c.state.healthAllows(d.now, d.request.Repeatable) {
		if !c.state.usableAsLastResort() {
			return
		}
		cost += lastResortCost
	}
	if d.bestIndex < 0 || cost < d.bestCost {
		d.bestIndex, d.bestCost = i, cost
	}
}

// atLeast returns a bound for what the prompt costs at the candidate at position i.
func (d *decision) minPromptCost(i int, c *candidate) time.Duration {
	if c.state.coverageDecision == d.scratch.decision || i == d.fetchPlan.firstPreferred || i == d.fetchPlan.secondPreferred {
		return 0
	}
	return d.uncachedPromptCost
}

// choice describes the choice of the best candidate.
func (d *decision) result() Choice {
	c := &d.pool.candidates[d.bestIndex]
	out := Choice{Endpoint: c.endpoint, Cost: d.bestCost}
	if d.request.Prompt == nil {
		return out
	}
	plan := d.planPrefill(d.bestIndex, c)
	out.WeightsVersion, out.CachedTokens = c.weightsVersion, plan.cachedTokens
	if plan.fetchedTokens > 0 {
		from, _ := d.fetchPlan.sourceFor(c.weightsVersion, plan.cachedParts)
		out.FetchFrom = from.address
	}
	return out
}

// lastResortCost puts suspended endpoints behind all others.
const lastResortCost = time.Minute

// expired reports whether the request would start on weights that were superseded
// too long ago.
func (d *decision) weightsExpired(c *candidate) bool {
	return c.weightsVersion < d.pool.newestWeightsVersion && c.superseded && !d.request.AllowExpiredWeights &&
		d.wall.Sub(c.supersededAt)+d.prefillTime(c.state.pendingPrefill+c.state.remotePendingPrefill) > d.cfg.OldWeightsLimit+expiredWeightsTolerance
}

// expiredSlack is how long after their limit weights may still be used where all
// other endpoints are busy.
const expiredWeightsTolerance = 1500 * time.Millisecond

// usable reports whether an endpoint takes requests at all.
func (d *decision) usable(c *candidate) bool {
	st := c.state
	return !st.full(c.endpoint) && d.now >= st.refusalBackoffUntil && (st.weightsChange.version == 0 || !st.changingWeights(d.now, c.endpoint) && !(d.isLong && st.changingWeightsSoon(d.now, c.endpoint))) &&
		!d.weightsExpired(c) && (len(d.request.Exclude) == 0 || !slices.Contains(d.request.Exclude, c.endpoint.ID))
}

// load is the part of the cost that does not depend on the prompt.
func (d *decision) loadCost(c *candidate) time.Duration {
	st := c.state
	cost := c.crossZoneCost
	if st.failureRate > 0 {
		cost += time.Duration(st.failureRate * float64(d.cfg.FailureCost))
	}
	running := time.Duration(st.running + st.remoteRunning)
	if d.request.Prompt == nil {
		return cost + d.cfg.ServiceTime*running/time.Duration(c.endpoint.Slots)
	}
	return cost + d.prefillTime(st.pendingPrefill+st.remotePendingPrefill) + d.cfg.RunningRequestCost*running
}

// reuse is how an endpoint gets the parts of the prompt.
type prefillPlan struct {
	// cached counts the tokens that it holds, parts the whole parts among them, and
	// fetched the tokens that it fetches.
	cachedTokens, cachedParts, fetchedTokens int
	cost                                     time.Duration
}

// reuse returns how the candidate at position i gets the prompt, and what of the cost
// depends on it.
func (d *decision) planPrefill(i int, c *candidate) prefillPlan {
	if d.request.Prompt == nil {
		return prefillPlan{}
	}
	var plan prefillPlan
	if c.state.coverageDecision == d.scratch.decision && c.state.coverage.weightsVersion == c.weightsVersion {
		plan.cachedTokens, plan.cachedParts = c.state.coverage.tokens, c.state.coverage.parts
	}
	missingTokens := d.sharedTokens - plan.cachedTokens
	if c.superseded {
		wait := d.prefillTime(c.state.pendingPrefill + c.state.remotePendingPrefill)
		plan.cost += d.oldWeightsCost(d.wall.Sub(c.supersededAt), wait, d.request.MovedForWeightsChange)
	}
	if missingTokens >= minFetchTokens && len(d.fetchPlan.sourceLists) > 0 {
		if from, ok := d.fetchPlan.sourceFor(c.weightsVersion, plan.cachedParts); ok && from.prefixTokens-plan.cachedTokens >= minFetchTokens {
			plan.fetchedTokens = from.prefixTokens - plan.cachedTokens
			missingTokens -= plan.fetchedTokens
			plan.cost += time.Duration(float64(plan.fetchedTokens) / d.cfg.FetchTokensPerMs * float64(time.Millisecond))
		}
	}
	plan.cost += d.prefillTime(d.unsharedTokens) + d.recomputeCost(missingTokens)
	if plan.cachedTokens < d.sharedTokens {
		plan.cost += d.fetchPlan.newCopyCost(i)
	}
	return plan
}

// oldWeights is the cost of running on weights that were superseded some time
// ago for a request that starts after about the wait. A stream that has moved
// would hold up the change of another endpoint.
func (s *Selector) oldWeightsCost(age, wait time.Duration, movedForWeightsChange bool) time.Duration {
	switch {
	case age+2*wait > s.cfg.OldWeightsLimit:
		return s.cfg.OldWeightsCost * expiredWeightsFactor
	case movedForWeightsChange:
		return s.cfg.OldWeightsCost * movedOldWeightsFactor
	case age > s.cfg.OldWeightsGrace:
		return s.cfg.OldWeightsCost
	}
	return 0
}

const (
	// movedFactor multiplies the cost of old weights for streams that have moved.
	movedOldWeightsFactor = 4
	// expiredFactor multiplies the cost of weights past their limit.
	expiredWeightsFactor = 25
)

// reading is the time in which an engine reads tokens.
func (s *Selector) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * s.prefillPerToken
}

// rereading is the cost of reading shared tokens that an endpoint lacks.
func (s *Selector) recomputeCost(tokens int) time.Duration {
	return time.Duration(tokens) * s.recomputePerToken
}
