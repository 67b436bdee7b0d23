package placement

// Endpoint is a placement target.
type Endpoint struct {
	Name string
	Zone string
}

// Load is what an agent reports about its endpoint.
type Load struct {
	// QueueMS is the expected delay before a new attempt starts, in ms.
	QueueWaitMS float64
	// PrefillMSPerToken is the time to compute one prompt token, in ms.
	PrefillMSPerToken float64
	Running           int
	Waiting           int
	Incarnation       uint64
	Draining          bool
}

// Request describes what is to be placed.
type Request struct {
	// Pool is the name of the set of endpoints that the team may use.
	Pool string
	// Seed is the namespace hash, Hashes the chain of prompt blocks.
	NamespaceHash uint64
	BlockHashes   []uint64
	PromptTokens  int
	// Levels lists, ascending and in blocks, the depths at which a part of the
	// prompt ends that other requests may share, such as the end of a message
	// before the last one. When empty, the router uses the deepest prefix that
	// it has seen in more than one request.
	SharedPrefixBlocks []int
	// Zone is the availability zone of the router.
	Zone string
	// Exclude lists endpoints already tried for this request.
	Exclude []string
	// Reoffer lists endpoints of Exclude that refused only because another
	// one looked cheaper; Rank may return them again, marked Last.
	RefusedForCost []string
}

// Source says why an endpoint became a candidate.
type CandidateSource uint8

// Sources of candidates.
const (
	SourceHashRing CandidateSource = iota + 1
	SourcePrefixIndex
	SourceRandom
)

// String returns the name of the source for logs and traces.
func (s CandidateSource) String() string {
	switch s {
	case SourceHashRing:
		return "rank"
	case SourcePrefixIndex:
		return "learned"
	case SourceRandom:
		return "probe"
	}
	return "unknown"
}

// Candidate is an endpoint with its expected cost.
type Candidate struct {
	Endpoint string
	// CostMS is the weighted cost in milliseconds that ordered the list.
	CostMS float64
	// AlternativeMS is the cost of the next candidate, 0 when there is none.
	// It travels with the attempt, so that the agent can refuse when it knows
	// that its own cost is higher.
	AlternativeCostMS float64
	// PrefillWeight is the weight of prefill in these costs, for the agent.
	PrefillWeight float64
	// CachedTokens is the expected number of cached prompt tokens.
	CachedTokens int
	Source       CandidateSource
	// Last tells the agent to queue the attempt rather than refuse it for cost.
	MustQueue bool
}
