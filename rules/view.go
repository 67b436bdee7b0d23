package rules

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/url"
	"path"
	"sort"
	"strings"
	"time"
)

// Team is a customer whose callers share a bearer token.
type Team struct {
	Name string
	// TokenHash is the SHA-256 of the bearer token.
	TokenHash [sha256.Size]byte
	// Share is the team's weight in fair sharing. Default 1.
	Share float64
	// Priority orders queued work; higher goes first. Default 0.
	Priority int
	// Half names the part of a split deployment that the team belongs to, or is
	// "". A team with a half may use only hosts that its half owns and hosts
	// without an owner.
	Half string
	// RequestsPerSecond and TokensPerSecond limit the team across all routers.
	// 0 means no limit.
	RequestsPerSecond, TokensPerSecond float64
}

// Kind distinguishes model endpoints from plain service endpoints.
type Kind int

// Kinds of endpoint.
const (
	KindModel Kind = iota + 1
	KindService
)

// String returns the keyword of the rule language.
func (k Kind) String() string {
	if k == KindService {
		return "service"
	}
	return "model"
}

// Endpoint is one engine or one instance of a plain service.
type Endpoint struct {
	Name string
	Kind Kind
	// Target is the model or service name.
	Target string
	Host   string
	Zone   string
	// OwnerHalf is the half that owns the host, or "".
	OwnerHalf string
	// Draining is true when a drain rule stops new work for the endpoint.
	Draining bool
	// IgnoresFencing is true for engines that accept orders with an outdated
	// fencing token.
	IgnoresFencing bool
}

// AtMostOnceRule selects requests that may not be executed twice. An empty Method
// or PathPrefix matches everything.
type AtMostOnceRule struct {
	Kind       Kind
	Target     string
	Method     string
	PathPrefix string
}

// PlacementWeights are the relative weights of the goals of placement: a high cache
// hit rate, few recomputed prompt tokens and a low tail latency. Default 1 each.
type PlacementWeights struct {
	HitRate, RecomputedTokens, TailLatency float64
}

// Rollout is the target version of a model's weights.
type Rollout struct {
	Model          string
	WeightsVersion string
	// MaxConcurrentLoads limits how many endpoints load weights at the same time.
	// Default 1.
	MaxConcurrentLoads int
	// MinServingPercent is the percentage of endpoints that must stay in service.
	// Default 50.
	MinServingPercent int
}

// View is a compiled version of the rules. It is immutable.
type View struct {
	// Version is the version number of the rules in the store; 0 means no rules.
	Version           uint64
	Text              string
	PlacementWeights  PlacementWeights
	teams             map[string]*Team
	endpoints         map[string]*Endpoint
	endpointsByTarget map[targetKey][]*Endpoint
	allowed           map[allowKey]bool
	atMostOnce        []AtMostOnceRule
	rollouts          []Rollout
	teamsByTokenHash  map[[sha256.Size]byte]*Team
}

type targetKey struct {
	kind Kind
	name string
}

type allowKey struct {
	team   string
	target targetKey
}

// Empty returns the view that allows nothing.
func Empty() *View {
	v, err := Compile("", 0, "")
	if err != nil {
		panic(err)
	}
	return v
}

// Authenticate returns the team that a bearer token belongs to.
func (v *View) Authenticate(token string) (*Team, bool) {
	hash := sha256.Sum256([]byte(token))
	team, ok := v.teamsByTokenHash[hash]
	if !ok || subtle.ConstantTimeCompare(hash[:], team.TokenHash[:]) != 1 {
		return nil, false
	}
	return team, true
}

// Team returns the named team.
func (v *View) Team(name string) (*Team, bool) {
	t, ok := v.teams[name]
	return t, ok
}

// TeamCount returns the number of teams.
func (v *View) TeamCount() int { return len(v.teams) }

// Endpoint returns the named endpoint.
func (v *View) Endpoint(name string) (*Endpoint, bool) {
	e, ok := v.endpoints[name]
	return e, ok
}

// EndpointsOf returns all endpoints of a model or service in name order. The
// caller must not modify the slice.
func (v *View) EndpointsOf(kind Kind, target string) []*Endpoint {
	return v.endpointsByTarget[targetKey{kind, target}]
}

// Models returns the names of the models that the team may use, sorted.
func (v *View) Models(team string) []string {
	var names []string
	for key := range v.endpointsByTarget {
		if key.kind == KindModel && v.allowed[allowKey{team, key}] {
			names = append(names, key.name)
		}
	}
	sort.Strings(names)
	return names
}

// Allowed reports whether an allow rule covers the team and the model or service.
func (v *View) Allowed(team string, kind Kind, target string) bool {
	return v.allowed[allowKey{team, targetKey{kind, target}}]
}

// MayUse reports whether the team may send work to the endpoint: an allow rule
// covers it, and the team and the host do not belong to different halves. It
// ignores Draining.
func (v *View) MayUse(team *Team, e *Endpoint) bool {
	if !v.Allowed(team.Name, e.Kind, e.Target) {
		return false
	}
	return team.Half == "" || e.OwnerHalf == "" || team.Half == e.OwnerHalf
}

// AtMostOnce reports whether a request may not be executed twice. For models,
// method and path are ignored. A path also matches in its canonical form, because
// the service may treat "/x/../recovery" or "/%72ecovery" as "/recovery".
func (v *View) AtMostOnce(kind Kind, target, method, path string) bool {
	for _, r := range v.atMostOnce {
		if r.Kind == kind && r.Target == target && r.matches(method, path) {
			return true
		}
	}
	return false
}

func (r AtMostOnceRule) matches(method, path string) bool {
	if r.Kind == KindModel {
		return true
	}
	if r.Method != "" && !strings.EqualFold(r.Method, method) {
		return false
	}
	return r.coversPath(path) || r.coversPath(canonicalPath(path))
}

// canonicalPath removes the query, percent encoding, repeated slashes and dot
// segments from a request path. It keeps a trailing slash.
func canonicalPath(p string) string {
	p, _, _ = strings.Cut(p, "?")
	if !strings.Contains(p, "%") && !strings.Contains(p, "//") && !strings.Contains(p, "/.") {
		return p
	}
	if unescaped, err := url.PathUnescape(p); err == nil {
		p = unescaped
	}
	clean := path.Clean("/" + p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	return clean
}

// coversPath reports whether the path is PathPrefix or below it.
func (r AtMostOnceRule) coversPath(path string) bool {
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	// "/recovery" covers "/recovery/7" but not "/recovery-report".
	rest := path[len(r.PathPrefix):]
	return rest == "" || strings.HasSuffix(r.PathPrefix, "/") || rest[0] == '/' || rest[0] == '?'
}

// Rollouts returns the rollout rules in file order.
func (v *View) Rollouts() []Rollout { return v.rollouts }

// RetryAfterRuleRefusal is the delay after which a caller that was refused because of a
// rule should retry.
const RetryAfterRuleRefusal = 4 * time.Second
