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
	// Half is the half of a split that the team belongs to, or "".
	Half string
	// RequestsPerSecond and TokensPerSecond bound the team over all routers.
	// 0 means no limit.
	RequestsPerSecond, TokensPerSecond float64
}

// Kind tells model endpoints from plain service endpoints.
type Kind int

// Kinds of endpoint.
const (
	KindModel Kind = iota + 1
	KindService
)

// String returns the word that the rule language uses.
func (k Kind) String() string {
	if k == KindService {
		return "service"
	}
	return "model"
}

// Endpoint is a back end: one engine or one instance of a plain service.
type Endpoint struct {
	Name string
	Kind Kind
	// Target is the model or service name.
	Target string
	Host   string
	Zone   string
	// OwnerHalf is the half that owns the host, or "".
	OwnerHalf string
	// Draining is true when a rule tells the endpoint to take no new work.
	Draining bool
	// IgnoresFencing is true for engines that accept orders with old numbers.
	IgnoresFencing bool
}

// AtMostOnceRule names work that may not be repeated. An empty Method or PathPrefix
// matches everything.
type AtMostOnceRule struct {
	Kind       Kind
	Target     string
	Method     string
	PathPrefix string
}

// PlacementWeights are the relative weights of a deployment's measures. Default 1 each.
type PlacementWeights struct {
	HitRate, RecomputedTokens, TailLatency float64
}

// Rollout is the wanted weights version of a model.
type Rollout struct {
	Model          string
	WeightsVersion string
	// MaxConcurrentLoads bounds concurrent loads. Default 1.
	MaxConcurrentLoads int
	// MinServingPercent is the share of endpoints that stays in service. Default 50.
	MinServingPercent int
}

// View is a compiled, immutable version of the rules.
type View struct {
	// WeightsVersion is the store's number of this version; 0 means no rules.
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
// caller must not change the slice.
func (v *View) EndpointsOf(kind Kind, target string) []*Endpoint {
	return v.endpointsByTarget[targetKey{kind, target}]
}

// Models returns the names of the models that the team may use, in order.
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

// Allowed reports whether the team may use the model or service at all.
func (v *View) Allowed(team string, kind Kind, target string) bool {
	return v.allowed[allowKey{team, targetKey{kind, target}}]
}

// MayUse reports whether the team may send work to the endpoint: an allow
// rule covers it, and no split puts the team and the host in different halves.
// It does not consider Draining.
func (v *View) MayUse(team *Team, e *Endpoint) bool {
	if !v.Allowed(team.Name, e.Kind, e.Target) {
		return false
	}
	return team.Half == "" || e.OwnerHalf == "" || team.Half == e.OwnerHalf
}

// AtMostOnce reports whether a request may not be repeated. For models, method and
// path are ignored. A path also matches in its canonical form, because the
// service may read "/x/../recovery" or "/%72ecovery" as "/recovery".
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

// canonicalPath removes the query, percent encoding, doubled slashes and dot
// segments from a request path. It keeps a slash at the end.
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

func (r AtMostOnceRule) coversPath(path string) bool {
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	// "/recovery" covers "/recovery/7" but not "/recovery-report".
	rest := path[len(r.PathPrefix):]
	return rest == "" || strings.HasSuffix(r.PathPrefix, "/") || rest[0] == '/' || rest[0] == '?'
}

// Rollouts returns the wanted weights versions.
func (v *View) Rollouts() []Rollout { return v.rollouts }

// RetryAfterRules is the time after which a caller that was refused for a
// rule should look again.
const RetryAfterRules = 4 * time.Second
