// Package fleet holds what a router knows about its deployment: the
// configuration in force, the endpoints, and the weights version that each
// model should serve. Values are immutable once published in a View.
package fleet

import (
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind int

// Kinds of route.
const (
	// NonIdempotent requests may run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with server-sent events. They may run at
	// most once unless the route is resumable.
	Stream
)

// Share is a part of a route's traffic that goes to one service.
type TrafficShare struct {
	Service string
	Weight  float64
}

// Route maps a host and path prefix to services.
type Route struct {
	Name     string
	Hostname string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a request may be kept waiting, from its
	// arrival to its final answer.
	Timeout time.Duration
	// LatencyObjective is the time to the answer or to the first event of a
	// stream.
	LatencyObjective time.Duration
	// Priority is the urgency of the route, 0 is the highest.
	Priority int
	// Shares are the services of the route; there is at least one.
	TrafficSplit []TrafficShare
	// MaxAttempts is the most endpoints that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request may run at a second endpoint after it
// may have run at a first one.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of equal endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts
	// from all callers together, 0 when it is not stated.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// CacheStore is the address of a KV store, empty for other services.
	KVCacheStoreAddress string
	// Zone is the availability zone of a KV store.
	KVCacheStoreZone string
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// CacheTokens is the memory of an engine for running requests and cached
	// prompt parts.
	KVCapacityTokens int
	// TokenBytes is the size of the KV cache of one token.
	KVBytesPerToken int
	Models          []string
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a customer whose keys authorise requests.
type Team struct {
	Name     string
	Priority int
	// Isolated teams share no cached prompt part with other teams.
	Isolated bool
	APIKeys  []string
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	Teams    []Team
	// HasTeams is true when requests on routes that are not public need a key.
	RequiresAPIKey bool

	routesByHostname map[string][]*Route
	teamsByKey       map[string]*Team
}

// EndpointState is the state that an endpoint announces.
type EndpointState int

// States of an endpoint.
const (
	Ready EndpointState = iota
	Draining
)

// Endpoint is one running engine or instance of a plain service.
type Endpoint struct {
	// ID names one incarnation of the endpoint.
	ID      string
	Service string
	// Address is the IP address and port of the endpoint.
	Address string
	Zone    string
	Slots   int
	State   EndpointState
	// Cold is how much longer the endpoint stays slow after its start, as of
	// the time at which it wrote its entry.
	WarmupRemaining time.Duration
	// Born is the start of the endpoint in Unix milliseconds; 0 when unknown.
	StartedAtUnixMS int64
	// Weights maps each loaded model to its weights version.
	WeightsVersions map[string]uint64
}

// View is a consistent copy of what a router knows.
type View struct {
	// Config is nil until a configuration is known.
	Config *Configuration
	// ByService lists the endpoints of each service, ordered by id.
	ByService map[string][]*Endpoint
	// ByID holds the same endpoints.
	ByID map[string]*Endpoint
	// Weights is the newest named weights version of each model.
	LatestWeightsVersions map[string]uint64
	// Named lists the versions of each model in the order in which this process
	// learned of them.
	PublishedVersions map[string][]PublishedVersion
}

// NamedWeights is a weights version and when this process learned of it.
type PublishedVersion struct {
	Version     uint64
	PublishedAt time.Time
}

// Superseded returns when a newer version of the model than the given one was
// named, and false when it is the newest.
func (v *View) SupersededAt(model string, version uint64) (time.Time, bool) {
	for _, n := range v.PublishedVersions[model] {
		if n.Version > version {
			return n.PublishedAt, true
		}
	}
	return time.Time{}, false
}
