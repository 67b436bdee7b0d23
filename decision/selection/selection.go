// Package selection selects the endpoint for a request when the router talks to
// endpoints directly; package placement serves routers whose requests go through
// agents. The cost of an endpoint is the time that its queued work takes plus the time
// to compute the prompt parts that it has not cached. The package is a pure state
// machine and not safe for concurrent use.
package selection

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/decision/throttle"
	"github.com/arbutusline/arbutusline/fleet"
)

// Config holds the parameters of a Selector.
type Config struct {
	// PrefillTokensPerMS is the prefill rate of an engine.
	PrefillTokensPerMS float64
	// RecomputeFactor multiplies the prefill time of shared parts that an endpoint
	// has not cached, because that work also delays the requests behind it.
	RecomputeFactor float64
	// RunningRequestCost is the time that one running request adds to another.
	RunningRequestCost time.Duration
	// CrossZoneCost is the cost of an endpoint in another availability zone.
	CrossZoneCost time.Duration
	// OldWeightsCost is the cost of an endpoint whose weights version was
	// superseded.
	OldWeightsCost time.Duration
	// OldWeightsGrace is the time after the publication of a new weights version
	// during which the version before has no additional cost.
	OldWeightsGrace time.Duration
	// OldWeightsLimit is the time after which requests should not start on a
	// superseded weights version.
	OldWeightsLimit time.Duration
	// WeightsDeadline is the time after the publication of a weights version from
	// which no request may begin on an older one, even if no endpoint has loaded the
	// new one.
	WeightsDeadline time.Duration
	// FailureCost is the cost of an endpoint with a failure rate of 1.
	FailureCost time.Duration
	// ServiceTime is the assumed processing time of a request to a plain service.
	ServiceTime time.Duration
	// FetchTokensPerMS is the rate at which an engine fetches cached parts from
	// another engine or the KV cache store.
	FetchTokensPerMS float64
	// HolderLifetime is how long an endpoint counts as holder of a part after the
	// last use of the part there.
	HolderLifetime time.Duration
	// CostAware enables learned costs and the partition of the engines between requests with
	// small and with large prompts, for requests with a GapObjective.
	CostAware bool
	// Seed is the seed of random choices. Routers need different ones.
	Seed uint64
	// MaxParts is the maximum number of parts in the index of cached parts.
	MaxParts int
}

// Request describes the request for which an endpoint is selected.
type Request struct {
	Service string
	// Prompt is nil for plain requests.
	Prompt *fleet.Prompt
	// CacheNamespace identifies a team that does not share cached parts, and is
	// empty for all others.
	CacheNamespace string
	// SoftwareVersion is the only software version that may run the request, empty for any.
	SoftwareVersion string
	// Exclude are endpoints that must not be chosen.
	Exclude []string
	// MovedForWeightsChange is true for a request that left another endpoint because
	// that endpoint changes its weights. The request then runs to its end at its
	// new endpoint.
	MovedForWeightsChange bool
	// FreeSlot requires an endpoint with a free slot, where the request waits for no other one.
	FreeSlot bool
	// AllowExpiredWeights allows an endpoint with weights past OldWeightsLimit and
	// WeightsDeadline. It is set while no router reaches the platform's store, as the
	// change to the new weights may then take long.
	AllowExpiredWeights bool
	// Repeatable requests may run more than once. They may therefore be the first
	// request to an endpoint after its suspension.
	Repeatable bool
	// GapObjective is the longest pause between events with which the stream is on time. It is
	// 0 for requests to which cost-aware selection does not apply.
	GapObjective time.Duration
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
}

// longOutputTokens is the number of output tokens above which a request counts as long:
// about half a second of generation.
const longOutputTokens = 64

// IsLong reports whether a request may take seconds.
func (r *Request) IsLong() bool {
	return r.Prompt != nil && r.Prompt.MaxOutputTokens > longOutputTokens
}

// Choice is the result of Select.
type Choice struct {
	Endpoint *fleet.Endpoint
	// WeightsVersion is the version that the endpoint is expected to serve.
	WeightsVersion uint64
	// SupersededFor is how long ago a newer weights version was published, or 0 if
	// there is none. NewestLoadedVersion is the newest version that a ready endpoint of
	// the service has loaded. Both are 0 for plain requests.
	SupersededFor       time.Duration
	NewestLoadedVersion uint64
	// Cost is the estimated cost of the request at the endpoint.
	Cost time.Duration
	// Wait is the expected time until the endpoint begins with the prompt, and Prefill
	// the expected time to fetch and compute the prompt. Both are 0 for plain requests.
	Wait, Prefill time.Duration
	// SelectedAt is the time of the selection.
	SelectedAt time.Duration
	// CachedTokens is the expected number of cached prompt tokens.
	CachedTokens int
	// FetchedTokens is the number of tokens that the endpoint should fetch, and KVTokens the
	// KV memory that the request is counted with, 0 without cost-aware selection.
	FetchedTokens, KVTokens int
	// FetchFrom is the address of another endpoint or the KV cache store from which
	// the endpoint should fetch shared parts that it lacks, empty when there is none.
	FetchFrom string
	// SaveTo is the address of the KV cache store when both the endpoint and the
	// store lack some of the prompt's shared parts, empty otherwise. Prompts
	// without missing parts are not saved: a save also stores the prompt's last part,
	// which evicts parts that other prompts use.
	SaveTo string
	// ThrottledFor is how long no endpoint may be selected because of what all of them
	// stated, and ThrottledRate the rate at which this router may send requests to them
	// then, in requests a second. Endpoints of earlier attempts count only for their own
	// statements. Both are 0 if an endpoint was selected or may become free before.
	ThrottledFor  time.Duration
	ThrottledRate float64
	// WeightsExpired means that no endpoint was selected although some could run the
	// request, because their weights were superseded too long ago.
	WeightsExpired bool
}

// Selector selects endpoints by what the router has observed of them.
type Selector struct {
	cfg  Config
	zone string
	// zonePosition is the router's position among the zoneRouters routers of its
	// availability zone.
	zonePosition, zoneRouters int
	endpoints                 map[string]*endpointState
	partIndex                 partIndex
	pools                     map[poolKey]*pool
	// prefillPerToken and recomputePerToken are the costs of computing a token of the
	// prompt's last part and of a shared part.
	prefillPerToken, recomputePerToken time.Duration
	// kvCacheStore is the address of the KV cache store, empty when there is none.
	kvCacheStore string
	throttle     *throttle.Table
	// slotTimes are the times for which requests occupy a slot, by service.
	slotTimes map[string]*slotTime
	// work is the prompt work by service.
	work map[string]*work
	// fastest is the highest speed of an endpoint, at least 1.
	fastest float64
	// choices counts random choices.
	choices uint64
	scratch scratch
}

// scratch is memory of one decision that is reused for the next, to avoid allocations.
type scratch struct {
	// decisionNumber is the number of the current decision. Coverages with another number
	// are out of date.
	decisionNumber uint64
	partKeys       []uint64
	// holders are the endpoints that hold some shared part of the prompt.
	// storeCoverages has what the KV cache store holds for each weights version.
	holders        []*endpointState
	storeCoverages []coverage
	sourceLists    []sourceList
}

// KVCacheStoreID identifies the KV cache store where otherwise an endpoint ID is used.
const KVCacheStoreID = "kv-store"

// SetKVCacheStore sets the address of the KV cache store. An empty address means that
// there is none or that it is down.
func (s *Selector) SetKVCacheStore(address string) { s.kvCacheStore = address }

// New returns a Selector for a router in the given availability zone.
func New(cfg Config, zone string) *Selector {
	prefillPerToken := float64(time.Millisecond) / cfg.PrefillTokensPerMS
	return &Selector{
		cfg: cfg, zone: zone, endpoints: map[string]*endpointState{}, partIndex: newPartIndex(cfg.MaxParts), pools: map[poolKey]*pool{},
		throttle: throttle.New(), slotTimes: map[string]*slotTime{}, work: map[string]*work{}, fastest: 1,
		prefillPerToken: time.Duration(prefillPerToken), recomputePerToken: time.Duration(prefillPerToken * cfg.RecomputeFactor),
	}
}

// Throttle returns the table of the endpoints' limits, which the Selector follows.
func (s *Selector) Throttle() *throttle.Table { return s.throttle }

// SetWeightsLimits replaces Config.OldWeightsLimit and Config.WeightsDeadline.
func (s *Selector) SetWeightsLimits(oldWeightsLimit, weightsDeadline time.Duration) {
	s.cfg.OldWeightsLimit, s.cfg.WeightsDeadline = oldWeightsLimit, weightsDeadline
}

// Select returns the cheapest endpoint of the request's service, or false when none
// may run the request; the choice then has only WeightsExpired and ThrottledFor. Now is the
// time since an arbitrary origin. Wall is the current time on the clock of
// View.PublishedWeightsVersions.
func (s *Selector) Select(now time.Duration, wall time.Time, v *fleet.View, r *Request) (Choice, bool) {
	d := decision{Selector: s, now: now, wall: wall, request: r, isLong: r.IsLong(), pool: s.pool(v, r), bestIndex: -1}
	d.fetchPlan.firstPreferred, d.fetchPlan.secondPreferred = -1, -1
	if s.costAware(r) {
		s.updatePartition(now, d.pool, r)
		d.partitioned, d.heavy, d.kvTokens = d.pool.partition.lightShare > 0, s.isHeavy(r), s.kvTokensOf(r)
	}
	if r.Prompt != nil {
		d.findHolders(v)
	}
	if !d.considerAperture() {
		d.consider(d.fetchPlan.firstPreferred)
		d.consider(d.fetchPlan.secondPreferred)
		for i := range d.pool.candidates {
			d.consider(i)
		}
	}
	if d.bestIndex < 0 {
		choice := Choice{WeightsExpired: d.weightsExpiredSeen}
		choice.ThrottledFor, choice.ThrottledRate = d.allThrottled()
		return choice, false
	}
	choice := d.result()
	if r.Prompt != nil && s.kvCacheStore != "" && choice.CachedTokens < d.sharedTokens && s.storeCoverage(choice.WeightsVersion).tokens < d.sharedTokens {
		choice.SaveTo = s.kvCacheStore
	}
	return choice, true
}

// decision is the state of one call of Select.
type decision struct {
	*Selector
	now       time.Duration
	wall      time.Time
	request   *Request
	isLong    bool
	pool      *pool
	fetchPlan fetchPlan
	// sharedTokens and unsharedTokens are the numbers of tokens in the shared parts
	// and in the last part.
	sharedTokens, unsharedTokens int
	// uncachedPromptCost is the minimum cost of the prompt at an endpoint that holds
	// none of it and that rendezvous hashing does not prefer.
	uncachedPromptCost time.Duration
	// bestIndex is the position of the cheapest candidate so far, or -1.
	bestIndex int
	bestCost  time.Duration
	// weightsExpiredSeen is true if a candidate was left out only for its weights.
	weightsExpiredSeen bool
	// partitioned is true if the pool has a light partition, and heavy if the request's prompt
	// is large. kvTokens is the KV memory that the request needs, 0 if that does not matter.
	partitioned, heavy bool
	kvTokens           int
}

// findHolders finds the endpoints that hold parts of the prompt.
func (d *decision) findHolders(v *fleet.View) {
	r := d.request
	d.sharedTokens = r.Prompt.SharedTokens()
	d.unsharedTokens = r.Prompt.Tokens - d.sharedTokens
	keys := appendPartKeys(d.scratch.partKeys[:0], r.CacheNamespace, r.Prompt)
	d.scratch.partKeys = keys
	d.findCoverage(d.now, keys, r.Prompt)
	d.fetchPlan = d.Selector.planFetches(d.now, v, r, len(keys))
	d.fetchPlan.firstPreferred, d.fetchPlan.secondPreferred = d.pool.preferred(keys, d.partitioned && d.heavy)
	d.uncachedPromptCost = d.prefillTime(d.unsharedTokens)
	if len(d.fetchPlan.sourceLists) == 0 && d.sharedTokens > 0 {
		recompute := d.recomputeCost(d.sharedTokens)
		d.uncachedPromptCost += recompute + min(notPreferredCost, recompute)
	}
	d.uncachedPromptCost = time.Duration(float64(d.uncachedPromptCost) / d.fastest)
}

// consider makes the candidate at position i the best one if it may run the request
// and is cheaper than the best one so far.
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

// minPromptCost returns a lower bound of the prompt's cost at the candidate at
// position i.
func (d *decision) minPromptCost(i int, c *candidate) time.Duration {
	if c.state.coverageDecision == d.scratch.decisionNumber || i == d.fetchPlan.firstPreferred || i == d.fetchPlan.secondPreferred {
		return 0
	}
	return d.uncachedPromptCost
}

// result returns the choice of the best candidate.
func (d *decision) result() Choice {
	c := &d.pool.candidates[d.bestIndex]
	out := Choice{Endpoint: c.endpoint, Cost: d.bestCost, SelectedAt: d.now}
	if d.request.Prompt == nil {
		return out
	}
	plan := d.planPrefill(d.bestIndex, c)
	out.WeightsVersion, out.CachedTokens = c.weightsVersion, plan.cachedTokens
	out.NewestLoadedVersion = d.pool.newestLoadedVersion
	if c.superseded {
		out.SupersededFor = d.wall.Sub(c.supersededAt)
	}
	out.Wait = d.expectedWait(c)
	out.Prefill = c.state.atSpeed(d.prefillTime(d.request.Prompt.Tokens-plan.cachedTokens-plan.fetchedTokens)) + d.fetchTime(plan.fetchedTokens)
	out.KVTokens = d.kvTokens
	if out.FetchedTokens = plan.fetchedTokens; plan.fetchedTokens > 0 {
		from, _ := d.fetchPlan.sourceFor(c.weightsVersion, plan.cachedParts)
		out.FetchFrom = from.address
	}
	return out
}

// lastResortCost makes suspended endpoints more expensive than all others.
const lastResortCost = time.Minute

// usable reports whether the candidate may run the request, regardless of its past
// failures.
func (d *decision) usable(c *candidate) bool {
	st := c.state
	return !st.full(c.endpoint) && (!d.request.FreeSlot || st.hasFreeSlot(c.endpoint)) && !d.throttled(c) && d.now >= st.refusalBackoffUntil && (st.weightsChange.version == 0 || !st.changingWeights(d.now, c.endpoint) && !(d.isLong && st.changingWeightsSoon(d.now, c.endpoint))) &&
		(len(d.request.Exclude) == 0 || !slices.Contains(d.request.Exclude, c.endpoint.ID)) && !d.expired(c)
}

// throttled reports whether the candidate's limit allows no request now.
func (d *decision) throttled(c *candidate) bool {
	return d.throttle.ReadyIn(d.now, c.endpoint.ID) > 0
}

// allThrottled returns ThrottledFor and ThrottledRate of Choice.
func (d *decision) allThrottled() (readyIn time.Duration, rate float64) {
	for i := range d.pool.candidates {
		id := d.pool.candidates[i].endpoint.ID
		wait := d.throttle.ReadyIn(d.now, id)
		switch {
		case wait > 0 && (readyIn == 0 || wait < readyIn):
			readyIn = wait
		case wait == 0 && !slices.Contains(d.request.Exclude, id):
			return 0, 0
		}
		rate += d.throttle.Rate(d.now, id)
	}
	return readyIn, rate
}

// loadCost is the part of the cost that does not depend on the prompt.
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
	return cost + d.crossingCost(c) + d.preemptionCost(c) + d.expectedWait(c) + c.state.atSpeed(d.cfg.RunningRequestCost*running)
}

// prefillPlan describes how an endpoint gets the shared parts of the prompt; what it
// neither has cached nor fetches, it computes.
type prefillPlan struct {
	// cachedParts is the number of parts that are cached as a whole.
	cachedTokens, cachedParts, fetchedTokens int
	cost                                     time.Duration
}

// planPrefill returns how the candidate at position i gets the prompt, and the part of
// the cost that depends on the prompt and the weights version.
func (d *decision) planPrefill(i int, c *candidate) prefillPlan {
	if d.request.Prompt == nil {
		return prefillPlan{}
	}
	var plan prefillPlan
	if c.state.coverageDecision == d.scratch.decisionNumber && c.state.coverage.weightsVersion == c.weightsVersion {
		plan.cachedTokens, plan.cachedParts = c.state.coverage.tokens, c.state.coverage.parts
	}
	missingTokens := d.sharedTokens - plan.cachedTokens
	if c.superseded {
		wait := d.expectedWait(c)
		plan.cost += d.oldWeightsCost(d.wall.Sub(c.supersededAt), wait, d.request.MovedForWeightsChange)
	}
	if missingTokens >= minFetchTokens && len(d.fetchPlan.sourceLists) > 0 {
		if from, ok := d.fetchPlan.sourceFor(c.weightsVersion, plan.cachedParts); ok && from.prefixTokens-plan.cachedTokens >= minFetchTokens {
			plan.fetchedTokens = from.prefixTokens - plan.cachedTokens
			missingTokens -= plan.fetchedTokens
			plan.cost += d.fetchTime(plan.fetchedTokens)
		}
	}
	plan.cost += c.state.atSpeed(d.prefillTime(d.unsharedTokens) + d.recomputeCost(missingTokens))
	if plan.cachedTokens < d.sharedTokens {
		plan.cost += min(d.fetchPlan.newCopyCost(i), d.recomputeCost(d.sharedTokens-plan.cachedTokens))
	}
	return plan
}

// prefillTime is the time in which an engine computes tokens of a prompt.
func (s *Selector) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * s.prefillPerToken
}

// queueTime is the time in which an endpoint computes the prompts that wait there.
func (s *Selector) queueTime(st *endpointState) time.Duration {
	return st.atSpeed(s.prefillTime(st.pendingPrefillTokens + st.remotePendingPrefillTokens))
}

// expectedWait is the time until the candidate begins with another prompt: until it has computed
// those that wait there and, if all of its slots are taken, one is free.
func (d *decision) expectedWait(c *candidate) time.Duration {
	return d.queueTime(c.state) + max(d.waitForSlot(c.state, c.endpoint), d.waitForMemory(c))
}

// fetchTime is the time in which an engine fetches cached tokens.
func (s *Selector) fetchTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.cfg.FetchTokensPerMS * float64(time.Millisecond))
}

// recomputeCost is the cost of computing shared tokens that an endpoint lacks.
func (s *Selector) recomputeCost(tokens int) time.Duration {
	return time.Duration(tokens) * s.recomputePerToken
}
