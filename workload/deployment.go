package workload

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrUnknownDeployment means that no deployment has the given name.
var ErrUnknownDeployment = errors.New("unknown deployment")

// Team is a customer with its part of the traffic.
type Team struct {
	Name string
	// Traffic is the team's share of all requests, in percent.
	TrafficPercent int
	// Share and Priority are those of the team's rule.
	Share    int
	Priority int
	// Half is the half that the team joins when the company is split.
	Half string
	// Layers is the number of clients or desks of the team.
	PrefixCount int
}

// Deployment describes one of the organisations that use arbutusline and the
// traffic of its teams.
type Deployment struct {
	// Name is the name on command lines.
	Name   string
	Title  string
	Region string
	Zones  []string
	Model  string
	// EnginePrefix and ServicePrefix begin the names of endpoints.
	EngineNamePrefix, ServiceNamePrefix string
	// Operators are the people that the comments of rules name.
	RuleAuthors []string
	// Workers and ServiceWorkers are the numbers of engines and of instances
	// of the plain service.
	Engines          int
	KVStore          string
	Service          string
	ServiceInstances int
	// Loads is the number of concurrent weight loads at full speed.
	FullSpeedWeightLoads int
	Teams                []Team
	// OncePath is the path of the non-idempotent call, a POST.
	NonIdempotentPath string
	// ReadPath is the path below which other calls read, with a number.
	ReadPath string
	// NotePath is the path of other calls that write, a POST.
	WritePath string
	// Guidance names the documents of the first prompt layer, the most used
	// first.
	Guidance []string
	// Layer names the second prompt layer: "client" or "desk".
	TeamPrefixKind string
	// PeakGuidance is the document that most requests use after the shift of
	// the hot set.
	PeakGuidance string
	// PeakPercent is the part of the requests that use PeakGuidance then.
	PeakGuidancePercent int
	// PeakLayerPercent is the part of the requests that use the first layer
	// of the new hot set then, beyond its share by rank.
	PeakTeamPrefixPercent int
	// PeakRate is the factor on the request rate after the shift.
	PeakRateFactor float64
	// WeightHit, WeightRecompute and WeightTail are those of the weights rule.
	HitWeight, RecomputeWeight, TailWeight int
}

// Kaayal is Kaayal Coldchain Compliance. When audit season opens, the
// quarter-end audit template becomes hot and its traffic peaks.
func Kaayal() Deployment {
	return Deployment{
		Name: "kaayal", Title: "Kaayal Coldchain Compliance",
		Region: "kerala-south", Zones: []string{"kochi-a", "kochi-b", "tvm-a", "tvm-b"},
		Model: "ledger-llm", EngineNamePrefix: "llm", ServiceNamePrefix: "rec", RuleAuthors: []string{"anitha", "jose"},
		Engines: 18, KVStore: "prompt-vault",
		Service: "records-app", ServiceInstances: 4, FullSpeedWeightLoads: 3,
		Teams: []Team{
			{Name: "kaayal-audit", TrafficPercent: 32, Share: 40, Priority: 2, Half: "north", PrefixCount: 120},
			{Name: "kaayal-field", TrafficPercent: 24, Share: 30, Priority: 3, Half: "north", PrefixCount: 90},
			{Name: "kaayal-labs", TrafficPercent: 16, Share: 20, Priority: 1, Half: "south", PrefixCount: 60},
			{Name: "kaayal-dairy", TrafficPercent: 8, Share: 8, Priority: 1, Half: "south", PrefixCount: 20},
			{Name: "kaayal-pharma", TrafficPercent: 7, Share: 8, Priority: 2, Half: "north", PrefixCount: 20},
			{Name: "kaayal-ports", TrafficPercent: 6, Share: 6, Priority: 1, Half: "south", PrefixCount: 12},
			{Name: "kaayal-fisheries", TrafficPercent: 4, Share: 4, Priority: 1, Half: "south", PrefixCount: 8},
			{Name: "kaayal-training", TrafficPercent: 3, Share: 2, Half: "north", PrefixCount: 4},
		},
		NonIdempotentPath: "/recovery", ReadPath: "/records", WritePath: "/notes",
		Guidance:       []string{"safety-guidance", "refrigerant-rules", "quarter-end-audit", "leak-inspection", "transport-log"},
		TeamPrefixKind: "client", PeakGuidance: "quarter-end-audit",
		PeakGuidancePercent: 60, PeakTeamPrefixPercent: 10, PeakRateFactor: 1.25,
		HitWeight: 3, RecomputeWeight: 3, TailWeight: 1,
	}
}

// PichaYetu is Picha Yetu Trust. During a flood one desk and the safety
// guidance dominate.
func PichaYetu() Deployment {
	return Deployment{
		Name: "picha", Title: "Picha Yetu Trust",
		Region: "nairobi", Zones: []string{"nairobi-a", "nairobi-b", "nairobi-c"},
		Model: "editor-models", EngineNamePrefix: "ed", ServiceNamePrefix: "desk", RuleAuthors: []string{"wanjiru", "otieno"},
		Engines: 9, KVStore: "guidance-cache",
		Service: "submit-desk", ServiceInstances: 3, FullSpeedWeightLoads: 2,
		Teams: []Team{
			{Name: "picha-news", TrafficPercent: 30, Share: 40, Priority: 3, Half: "east", PrefixCount: 40},
			{Name: "picha-county", TrafficPercent: 22, Share: 25, Priority: 2, Half: "west", PrefixCount: 47},
			{Name: "picha-archive", TrafficPercent: 18, Share: 15, Priority: 1, Half: "east", PrefixCount: 30},
			{Name: "picha-sport", TrafficPercent: 10, Share: 10, Priority: 1, Half: "east", PrefixCount: 16},
			{Name: "picha-weather", TrafficPercent: 8, Share: 8, Priority: 2, Half: "west", PrefixCount: 8},
			{Name: "picha-schools", TrafficPercent: 6, Share: 6, Priority: 1, Half: "west", PrefixCount: 10},
			{Name: "picha-health", TrafficPercent: 4, Share: 5, Priority: 2, Half: "west", PrefixCount: 6},
			{Name: "picha-youth", TrafficPercent: 2, Share: 2, Half: "east", PrefixCount: 3},
		},
		NonIdempotentPath: "/filings", ReadPath: "/status", WritePath: "/captions",
		Guidance:       []string{"house-style", "consent-guidance", "safety-guidance", "caption-format"},
		TeamPrefixKind: "desk", PeakGuidance: "safety-guidance",
		PeakGuidancePercent: 70, PeakTeamPrefixPercent: 40, PeakRateFactor: 1,
		HitWeight: 1, RecomputeWeight: 1, TailWeight: 3,
	}
}

// Find returns the deployment with the given name, or ErrUnknownDeployment.
func FindDeployment(name string) (Deployment, error) {
	all := []Deployment{Kaayal(), PichaYetu()}
	i := slices.IndexFunc(all, func(d Deployment) bool { return d.Name == name })
	if i < 0 {
		return Deployment{}, errors.Wrapf(ErrUnknownDeployment, "deployment %q, expected \"kaayal\" or \"picha\"", name)
	}
	return all[i], nil
}

// Token returns the bearer token that a team uses in demos and load tests.
func BearerToken(team string) string { return "demo-token-of-" + team }
