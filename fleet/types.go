// Package fleet defines a router's knowledge of its deployment: the active
// configuration, the endpoints, and the weights version that each model should
// serve. Values are immutable once they are part of a View.
package fleet

import (
	"time"
)

// RouteKind is the type of a route. It determines whether requests may run more
// than once.
type RouteKind int

// Route kinds.
const (
	// NonIdempotent requests may run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with server-sent events. They may run at
	// most once unless the route is resumable.
	Stream
)

// TrafficShare sends a share of a route's traffic to a service, in proportion to its
// weight.
type TrafficShare struct {
	Service string
	Weight  float64
}

// Route maps an HTTP host name and a path prefix to services.
type Route struct {
	Name     string
	Hostname string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum time from the arrival of a request to its final
	// response.
	Timeout time.Duration
	// LatencyObjective is the target time to the response, or to the first
	// event of a stream.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between events with which a stream is on time, or
	// 0 if the configuration does not say.
	GapObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// TrafficSplit lists the services of the route; there is at least one.
	TrafficSplit []TrafficShare
	// MaxAttempts is the maximum number of endpoints that may run a request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request may run at a second endpoint after it
// may have run at a first one.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// slackFactor is how many times the longest pause between events a latency objective must
// exceed to leave slack.
const slackFactor = 2

// HasSlack reports whether the route's latency objective leaves the time to run its requests
// at fewer engines, where they wait longer, in favour of the streams at the others.
func (r *Route) HasSlack() bool {
	return r.Kind == Stream && r.GapObjective > 0 && r.LatencyObjective > slackFactor*r.GapObjective
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts
	// from all callers together, or 0 if the configuration does not say.
	MaxConnections int
	// Engine describes the service's model engines. It is nil for plain
	// services, which serve no model.
	Engine *Engine
	// KVCacheStoreAddress is the address of a service that stores KV cache
	// entries outside the engines, empty for other services.
	KVCacheStoreAddress string
	// KVCacheStoreZone is the availability zone of that store.
	KVCacheStoreZone string
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// KVCapacityTokens is the size of an engine's KV memory, which holds running
	// requests and cached prompt parts.
	KVCapacityTokens int
	// KVBytesPerToken is the size of one token in the KV cache.
	KVBytesPerToken int
	// TokensPerEvent is the number of output tokens in an event of a stream, or 0 if the
	// configuration does not say.
	TokensPerEvent int
	Models         []string
}

// Limits are the limits on requests from callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a tenant of the router. Its API keys authorise requests.
type Team struct {
	Name     string
	Priority int
	// Isolated teams do not share cached prompt parts with other teams.
	Isolated bool
	APIKeys  []string
	// Quota limits the requests of the team at all routers together. It is nil if there is none.
	Quota *Quota
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	Teams    []Team
	// RequiresAPIKey is true when requests on non-public routes need an API
	// key.
	RequiresAPIKey bool

	routesByHostname map[string][]*Route
	teamsByKey       map[string]*Team
	// servicesWithSlack is keyed by service.
	servicesWithSlack map[string]bool
}

// EndpointState is the state that an endpoint reports.
type EndpointState int

// Endpoint states.
const (
	Ready EndpointState = iota
	Draining
)

// Endpoint is one running engine or instance of a plain service.
type Endpoint struct {
	// ID identifies one incarnation of the endpoint.
	ID      string
	Service string
	// Address is the IP address and port of the endpoint.
	Address string
	Zone    string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	State EndpointState
	// SoftwareVersion is the version of the endpoint's software, not of its weights.
	// What two versions of a service generate for one stream does not fit together.
	SoftwareVersion string
	// WarmupRemaining is how much longer the endpoint is slow after its start,
	// as of the time at which it wrote its entry in the store.
	WarmupRemaining time.Duration
	// StartedAtUnixMS is the start time of the endpoint, 0 when unknown.
	StartedAtUnixMS int64
	// Sequence rises with what the endpoint writes about itself: of two entries with the same ID
	// and start time, the one with the higher sequence was written later.
	Sequence uint64
	// WeightsVersions maps each loaded model to the version of its weights.
	WeightsVersions map[string]uint64
}

// StorePosition is a point in the history of the platform's store. Positions of the same
// era are ordered by revision.
type StorePosition struct {
	// Era rises each time that the store comes back from a copy. The copy may lack
	// acknowledged writes, and the store then gives out their revisions again.
	Era uint64
	// Revision is the store's revision within the era.
	Revision uint64
}

// Before reports whether p is an earlier position than o.
func (p StorePosition) Before(o StorePosition) bool {
	return p.Era < o.Era || p.Era == o.Era && p.Revision < o.Revision
}

// View is a consistent, immutable snapshot of the deployment.
type View struct {
	// Config is nil until the router has received a configuration.
	Config *Configuration
	// EndpointsByService lists the endpoints of each service, ordered by ID.
	EndpointsByService map[string][]*Endpoint
	// EndpointsByID holds the same endpoints by their ID.
	EndpointsByID map[string]*Endpoint
	// LatestWeightsVersions is the newest published weights version of each
	// model.
	LatestWeightsVersions map[string]uint64
	// PublishedWeightsVersions lists the recently published weights versions of each
	// model in ascending order.
	PublishedWeightsVersions map[string][]PublishedWeightsVersion
}

// PublishedWeightsVersion is a weights version that operators published for a model.
type PublishedWeightsVersion struct {
	Version uint64
	// PublishedAt is the earliest time at which this router or another one learned
	// of the version.
	PublishedAt time.Time
	// Assumed is true if the version was published before this router started and no
	// other router has told when. PublishedAt is then an assumption.
	Assumed bool
}

// SupersededAt returns when the first version newer than the given one was
// published for the model, or false when the given version is the newest.
func (v *View) SupersededAt(model string, version uint64) (time.Time, bool) {
	for _, n := range v.PublishedWeightsVersions[model] {
		if n.Version > version {
			return n.PublishedAt, true
		}
	}
	return time.Time{}, false
}
