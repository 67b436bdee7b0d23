// Package selection chooses the endpoint for a request when the router talks to
// endpoints itself. The choice weighs, in milliseconds, the work that an
// endpoint has queued against the prompt parts that it would have to read again.
// It is a pure state machine and not safe for concurrent use.
package selection

import (
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
	// covers is the working space of one choice.
	covers map[string]coverage
	stored map[uint64]coverage
	offers []offer
	// store is the address of the KV store, empty when there is none.
	store string
}

// StoreID stands for the KV store where endpoints are named.
const StoreID = "kv-store"

// SetStore sets the address of the KV store. Empty means that there is none or
// that it is down.
func (s *Selector) SetStore(address string) { s.store = address }

// New returns a Selector of a router in the availability zone.
func New(cfg Config, zone string) *Selector {
	return &Selector{cfg: cfg, zone: zone, state: map[string]*endpointState{}, parts: newPartTable(cfg.MaxParts), covers: map[string]coverage{}, stored: map[uint64]coverage{}}
}

// SetOldWeightsLimit replaces the limit of the configuration.
func (s *Selector) SetOldWeightsLimit(limit time.Duration) { s.cfg.OldWeightsLimit = limit }

// Select chooses an endpoint of the request's service, or returns false when
// none may take it. Now is a time since an arbitrary origin, wall the time that
// View.Named refers to.
func (s *Selector) Select(now time.Duration, wall time.Time, v *fleet.View, r *Request) (Choice, bool) {
	var best Choice
	found := false
	var chain []uint64
	var src source
	var newest uint64
	var model string
	if r.Prompt != nil {
		model = r.Prompt.Model
		chain = partKeys(r.Namespace, r.Prompt)
		s.cover(now, chain, r.Prompt)
		src = s.source(now, v, r, len(chain))
		src.first, src.second = homes(chain, v.ByService[r.Service])
		if !r.AllowExpired {
			newest = newestWeights(v, r)
		}
	}
	for _, e := range v.ByService[r.Service] {
		st := s.endpoint(e.ID)
		if !s.usable(now, e, st, r) || e.Weights[model] < newest && s.expired(wall, v, r, e, st) {
			continue
		}
		c := s.cost(now, wall, v, r, chain, &src, e, st)
		if !st.admits(now, r.Repeatable) {
			if !st.lastResort() {
				continue
			}
			c.Cost += lastResortCost
		}
		if !found || c.Cost < best.Cost {
			best, found = c, true
		}
	}
	if found && r.Prompt != nil && s.store != "" && best.CachedTokens < r.Prompt.SharedTokens() {
		if s.stored[best.Weights].tokens < r.Prompt.SharedTokens() {
			best.SaveTo = s.store
		}
	}
	return best, found
}

// lastResortCost puts suspended endpoints behind all others.
const lastResortCost = time.Minute

// newestWeights returns the newest version that an endpoint of the service has.
func newestWeights(v *fleet.View, r *Request) uint64 {
	var newest uint64
	for _, e := range v.ByService[r.Service] {
		if e.State == fleet.Ready {
			newest = max(newest, e.Weights[r.Prompt.Model])
		}
	}
	return newest
}

// expired reports whether a request would start on weights that were superseded
// too long ago.
func (s *Selector) expired(wall time.Time, v *fleet.View, r *Request, e *fleet.Endpoint, st *endpointState) bool {
	at, old := v.Superseded(r.Prompt.Model, e.Weights[r.Prompt.Model])
	return old && wall.Sub(at)+s.reading(float64(st.unread+st.remoteUnread)) > s.cfg.OldWeightsLimit+expiredSlack
}

// expiredSlack is how long after their limit weights may still be used where all
// other endpoints are busy.
const expiredSlack = 1500 * time.Millisecond

// usable reports whether an endpoint takes requests at all.
func (s *Selector) usable(now time.Duration, e *fleet.Endpoint, st *endpointState, r *Request) bool {
	return e.State == fleet.Ready && !contains(r.Exclude, e.ID) && !st.swapping(now, e) && !st.full(e) &&
		now >= st.busyUntil && (!r.Long() || !st.swapsSoon(now, e))
}

func (s *Selector) cost(now time.Duration, wall time.Time, v *fleet.View, r *Request, chain []uint64, src *source, e *fleet.Endpoint, st *endpointState) Choice {
	c := Choice{Endpoint: e}
	cost := time.Duration(st.failure * float64(s.cfg.FailureCost))
	if e.Zone != s.zone {
		cost += s.cfg.ZoneCost
	}
	if r.Prompt == nil {
		c.Cost = cost + s.cfg.ServiceTime*time.Duration(st.running+st.remoteRunning)/time.Duration(e.Slots)
		return c
	}
	model := r.Prompt.Model
	c.Weights = e.Weights[model]
	held := s.covers[e.ID]
	if held.weights == c.Weights {
		c.CachedTokens = held.tokens
	} else {
		held = coverage{}
	}
	own := r.Prompt.InputTokens - r.Prompt.SharedTokens()
	missing := r.Prompt.SharedTokens() - c.CachedTokens
	wait := s.reading(float64(st.unread + st.remoteUnread))
	cost += wait + s.cfg.RunCost*time.Duration(st.running+st.remoteRunning)
	if at, old := v.Superseded(model, c.Weights); old {
		cost += s.oldWeights(wall.Sub(at), wait, r.Moved)
	}
	if from, ok := src.fetch(c.Weights, held.parts); ok && from.tokens-c.CachedTokens >= minFetchTokens {
		fetched := from.tokens - c.CachedTokens
		missing -= fetched
		cost += time.Duration(float64(fetched) / s.cfg.FetchTokensPerMs * float64(time.Millisecond))
		c.FetchFrom = from.address
	}
	cost += s.reading(float64(own) + float64(missing)*s.cfg.RereadFactor)
	if c.CachedTokens < r.Prompt.SharedTokens() {
		cost += src.homeCost(e.ID)
	}
	c.Cost = cost
	return c
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

func (s *Selector) reading(tokens float64) time.Duration {
	return time.Duration(tokens / s.cfg.PrefillTokensPerMs * float64(time.Millisecond))
}

func contains(list []string, id string) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}
