package workload

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrUnknownDeployment is returned when no deployment has the given name.
var ErrUnknownDeployment = errors.New("unknown deployment")

// Team is a team of a deployment and its traffic.
type Team struct {
	Name string
	// TrafficPercent is the percentage of all requests that the team sends.
	TrafficPercent int
	// Share and Priority are the arguments of the team's rule.
	Share    int
	Priority int
	// Half is the half of the organisation that the team belongs to once the split
	// rules apply.
	Half string
	// PrefixCount is the number of the team's prompt prefixes, one for each of its
	// clients or desks.
	PrefixCount int
}

// Deployment describes one of the organisations that use arbutusline and the
// traffic of its teams.
type Deployment struct {
	// Name is the value of the --deployment flag.
	Name   string
	Title  string
	Region string
	Zones  []string
	Model  string
	// EngineNamePrefix and ServiceNamePrefix start the names of endpoints.
	EngineNamePrefix, ServiceNamePrefix string
	// RuleAuthors are the operators named in the comments of the rules.
	RuleAuthors []string
	// Engines and ServiceInstances are the numbers of engines and of instances of
	// the HTTP service.
	Engines          int
	KVStore          string
	Service          string
	ServiceInstances int
	// FullSpeedWeightsLoads is the number of concurrent loads of model weights above
	// which each load gets slower.
	FullSpeedWeightsLoads int
	Teams                 []Team
	// NonIdempotentPath is the path that KindNonIdempotentCall posts to.
	NonIdempotentPath string
	// ReadPath is the path below which KindOtherCall reads numbered objects with GET.
	ReadPath string
	// WritePath is the path that KindOtherCall posts to.
	WritePath string
	// Guidance names the guidance documents, the most frequently used first.
	Guidance []string
	// TeamPrefixKind says what a team prefix belongs to: "client" or "desk".
	TeamPrefixKind string
	// PeakGuidance is the guidance document that most prompts begin with after the
	// hot set has shifted.
	PeakGuidance string
	// PeakGuidancePercent is the percentage of completions that use PeakGuidance after
	// the shift, regardless of the Zipf distribution.
	PeakGuidancePercent int
	// PeakTeamPrefixPercent is the percentage of completions that use the most frequent
	// team prefix after the shift, regardless of the Zipf distribution.
	PeakTeamPrefixPercent int
	// PeakRateFactor multiplies the request rate after the shift.
	PeakRateFactor float64
	// HitWeight, RecomputeWeight and TailWeight are the arguments of the rule that
	// weights cache hits, recomputation and tail latency.
	HitWeight, RecomputeWeight, TailWeight int
}

// Kaayal returns the deployment of Kaayal Coldchain Compliance. At the start of the
// audit season, most prompts use the quarter-end audit template and the request rate
// rises.
func Kaayal() Deployment {
	return Deployment{
		Name: "kaayal", Title: "Kaayal Coldchain Compliance",
		Region: "kerala-south", Zones: []string{"kochi-a", "kochi-b", "tvm-a", "tvm-b"},
		Model: "ledger-llm", EngineNamePrefix: "llm", ServiceNamePrefix: "rec", RuleAuthors: []string{"anitha", "jose"},
		Engines: 18, KVStore: "prompt-vault",
		Service: "records-app", ServiceInstances: 4, FullSpeedWeightsLoads: 3,
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

// PichaYetu returns the deployment of Picha Yetu Trust. During a flood, most prompts
// use the safety guidance, and one desk of each team sends many of them.
func PichaYetu() Deployment {
	return Deployment{
		Name: "picha", Title: "Picha Yetu Trust",
		Region: "nairobi", Zones: []string{"nairobi-a", "nairobi-b", "nairobi-c"},
		Model: "editor-models", EngineNamePrefix: "ed", ServiceNamePrefix: "desk", RuleAuthors: []string{"wanjiru", "otieno"},
		Engines: 9, KVStore: "guidance-cache",
		Service: "submit-desk", ServiceInstances: 3, FullSpeedWeightsLoads: 2,
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

// FindDeployment returns the deployment with the given name, or
// ErrUnknownDeployment.
func FindDeployment(name string) (Deployment, error) {
	all := []Deployment{Kaayal(), PichaYetu()}
	i := slices.IndexFunc(all, func(d Deployment) bool { return d.Name == name })
	if i < 0 {
		return Deployment{}, errors.Wrapf(ErrUnknownDeployment, "deployment %q, expected \"kaayal\" or \"picha\"", name)
	}
	return all[i], nil
}

// BearerToken returns the bearer token of a team in demos and load tests.
func BearerToken(team string) string { return "demo-token-of-" + team }
