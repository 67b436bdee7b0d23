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
	RereadFactor float64
	// RunCost is what one running request adds to the time of another.
	RunCost time.Duration
	// ZoneCost is the price of leaving the availability zone.
	ZoneCost time.Duration
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
	PartLife time.Duration
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
	Namespace string
	// Exclude are endpoints that must not be chosen.
	Exclude []string
	// Moved requests left another endpoint for its change of weights. Where they
	// go now they stay.
	Moved bool
	// AllowExpired lets a request start on weights past their limit although
	// other endpoints have newer ones, because the store is away and the change
	// may take long.
	AllowExpired bool
	// Repeatable requests may test an endpoint that failed before.
	Repeatable bool
}

// longOutput is the number of output tokens from which a request counts as long:
// about half a second of generation.
const longOutput = 64

// Long reports whether a request may take seconds.
func (r *Request) Long() bool { return r.Prompt != nil && r.Prompt.MaxOutputTokens > longOutput }

// Choice is the outcome of Select.
type Choice struct {
	Endpoint *fleet.Endpoint
	// Weights is the version that the endpoint is believed to serve.
	Weights uint64
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
	cfg   Config
	zone  string
	state map[string]*endpointState
	parts partTable
	pools map[poolKey]*pool
	// readTime and rereadTime are the costs of a token of its own and of a shared one.
	readTime, rereadTime time.Duration
	// store is the address of the KV store, empty when there is none.
	store string
	// space is the working space of one choice.
	space space
}

// space is kept between choices, so that they allocate nothing.
type space struct {
	// choice numbers the choices; a coverage of another choice does not count.
	choice uint64
	chain  []uint64
	// covering holds the endpoints that hold some shared part of the prompt, and
	// stored what the KV store holds by weights.
	covering []*endpointState
	stored   []coverage
	offers   []offer
}

// StoreID stands for the KV store where endpoints are named.
const StoreID = "kv-store"

// SetStore sets the address of the KV store. Empty means that there is none or
// that it is down.
func (s *Selector) SetStore(address string) { s.store = address }

// New returns a Selector of a router in the availability zone.
func New(cfg Config, zone string) *Selector {
	readTime := float64(time.Millisecond) / cfg.PrefillTokensPerMs
	return &Selector{
		cfg: cfg, zone: zone, state: map[string]*endpointState{}, parts: newPartTable(cfg.MaxParts), pools: map[poolKey]*pool{},
		readTime: time.Duration(readTime), rereadTime: time.Duration(readTime * cfg.RereadFactor),
	}
}

// SetOldWeightsLimit replaces the limit of the configuration.
func (s *Selector) SetOldWeightsLimit(limit time.Duration) { s.cfg.OldWeightsLimit = limit }

// Select chooses an endpoint of the request's service, or returns false when
// none may take it. Now is a time since an arbitrary origin, wall the time that
// View.Named refers to.
func (s *Selector) Select(now time.Duration, wall time.Time, v *fleet.View, r *Request) (Choice, bool) {
	c := choosing{Selector: s, now: now, wall: wall, request: r, long: r.Long(), pool: s.pool(v, r), best: -1}
	c.source.first, c.source.second = -1, -1
	if r.Prompt != nil {
		c.prepare(v)
	}
	c.consider(c.source.first)
	c.consider(c.source.second)
	for i := range c.pool.list {
		c.consider(i)
	}
	if c.best < 0 {
		return Choice{}, false
	}
	out := c.choice()
	if r.Prompt != nil && s.store != "" && out.CachedTokens < c.shared && s.stored(out.Weights).tokens < c.shared {
		out.SaveTo = s.store
	}
	return out, true
}

// choosing is one choice.
type choosing struct {
	*Selector
	now     time.Duration
	wall    time.Time
	request *Request
	long    bool
	pool    *pool
	source  source
	// shared and own count the tokens in shared parts and in the last one.
	shared, own int
	// bare is the least cost of the prompt at an endpoint that holds nothing of it
	// and is no home of it.
	bare time.Duration
	// best is the position of the candidate with the least cost so far, or -1.
	best  int
	least time.Duration
}

// prepare finds who holds parts of the prompt.
func (c *choosing) prepare(v *fleet.View) {
	r := c.request
	c.shared = r.Prompt.SharedTokens()
	c.own = r.Prompt.InputTokens - c.shared
	chain := appendPartKeys(c.space.chain[:0], r.Namespace, r.Prompt)
	c.space.chain = chain
	c.cover(c.now, chain, r.Prompt)
	c.source = c.Selector.source(c.now, v, r, len(chain))
	c.source.first, c.source.second = c.pool.homes(chain)
	c.bare = c.reading(c.own)
	if len(c.source.offers) == 0 && c.shared > 0 {
		c.bare += c.rereading(c.shared) + homeOther
	}
}

// consider takes the candidate at position i if it may run the request at less cost.
func (c *choosing) consider(i int) {
	if i < 0 {
		return
	}
	x := &c.pool.list[i]
	cost := c.load(x)
	if c.best >= 0 && cost+c.atLeast(i, x) >= c.least || !c.usable(x) {
		return
	}
	cost += c.reuse(i, x).cost
	if !x.st.admits(c.now, c.request.Repeatable) {
		if !x.st.lastResort() {
			return
		}
		cost += lastResortCost
	}
	if c.best < 0 || cost < c.least {
		c.best, c.least = i, cost
	}
}

// atLeast returns a bound for what the prompt costs at the candidate at position i.
func (c *choosing) atLeast(i int, x *candidate) time.Duration {
	if x.st.coverChoice == c.space.choice || i == c.source.first || i == c.source.second {
		return 0
	}
	return c.bare
}

// choice describes the choice of the best candidate.
func (c *choosing) choice() Choice {
	x := &c.pool.list[c.best]
	out := Choice{Endpoint: x.e, Cost: c.least}
	if c.request.Prompt == nil {
		return out
	}
	u := c.reuse(c.best, x)
	out.Weights, out.CachedTokens = x.weights, u.cached
	if u.fetched > 0 {
		from, _ := c.source.fetch(x.weights, u.parts)
		out.FetchFrom = from.address
	}
	return out
}

// lastResortCost puts suspended endpoints behind all others.
const lastResortCost = time.Minute

// expired reports whether the request would start on weights that were superseded
// too long ago.
func (c *choosing) expired(x *candidate) bool {
	return x.weights < c.pool.newest && x.old && !c.request.AllowExpired &&
		c.wall.Sub(x.superseded)+c.reading(x.st.unread+x.st.remoteUnread) > c.cfg.OldWeightsLimit+expiredSlack
}

// expiredSlack is how long after their limit weights may still be used where all
// other endpoints are busy.
const expiredSlack = 1500 * time.Millisecond

// usable reports whether an endpoint takes requests at all.
func (c *choosing) usable(x *candidate) bool {
	st := x.st
	return !st.full(x.e) && c.now >= st.busyUntil && (st.swap.version == 0 || !st.swapping(c.now, x.e) && !(c.long && st.swapsSoon(c.now, x.e))) &&
		!c.expired(x) && (len(c.request.Exclude) == 0 || !slices.Contains(c.request.Exclude, x.e.ID))
}

// load is the part of the cost that does not depend on the prompt.
func (c *choosing) load(x *candidate) time.Duration {
	st := x.st
	cost := x.zoneCost
	if st.failure > 0 {
		cost += time.Duration(st.failure * float64(c.cfg.FailureCost))
	}
	running := time.Duration(st.running + st.remoteRunning)
	if c.request.Prompt == nil {
		return cost + c.cfg.ServiceTime*running/time.Duration(x.e.Slots)
	}
	return cost + c.reading(st.unread+st.remoteUnread) + c.cfg.RunCost*running
}

// reuse is how an endpoint gets the parts of the prompt.
type reuse struct {
	// cached counts the tokens that it holds, parts the whole parts among them, and
	// fetched the tokens that it fetches.
	cached, parts, fetched int
	cost                   time.Duration
}

// reuse returns how the candidate at position i gets the prompt, and what of the cost
// depends on it.
func (c *choosing) reuse(i int, x *candidate) reuse {
	if c.request.Prompt == nil {
		return reuse{}
	}
	var u reuse
	if x.st.coverChoice == c.space.choice && x.st.cover.weights == x.weights {
		u.cached, u.parts = x.st.cover.tokens, x.st.cover.parts
	}
	missing := c.shared - u.cached
	if x.old {
		wait := c.reading(x.st.unread + x.st.remoteUnread)
		u.cost += c.oldWeights(c.wall.Sub(x.superseded), wait, c.request.Moved)
	}
	if missing >= minFetchTokens && len(c.source.offers) > 0 {
		if from, ok := c.source.fetch(x.weights, u.parts); ok && from.tokens-u.cached >= minFetchTokens {
			u.fetched = from.tokens - u.cached
			missing -= u.fetched
			u.cost += time.Duration(float64(u.fetched) / c.cfg.FetchTokensPerMs * float64(time.Millisecond))
		}
	}
	u.cost += c.reading(c.own) + c.rereading(missing)
	if u.cached < c.shared {
		u.cost += c.source.homeCost(i)
	}
	return u
}

// oldWeights is the cost of running on weights that were superseded some time
// ago for a request that starts after about the wait. A stream that has moved
// would hold up the change of another endpoint.
func (s *Selector) oldWeights(age, wait time.Duration, moved bool) time.Duration {
	switch {
	case age+2*wait > s.cfg.OldWeightsLimit:
		return s.cfg.OldWeightsCost * expiredFactor
	case moved:
		return s.cfg.OldWeightsCost * movedFactor
	case age > s.cfg.OldWeightsGrace:
		return s.cfg.OldWeightsCost
	}
	return 0
}

const (
	// movedFactor multiplies the cost of old weights for streams that have moved.
	movedFactor = 4
	// expiredFactor multiplies the cost of weights past their limit.
	expiredFactor = 25
)

// reading is the time in which an engine reads tokens.
func (s *Selector) reading(tokens int) time.Duration { return time.Duration(tokens) * s.readTime }

// rereading is the cost of reading shared tokens that an endpoint lacks.
func (s *Selector) rereading(tokens int) time.Duration {
	return time.Duration(tokens) * s.rereadTime
}
