package placement

// Endpoint identifies an endpoint that may receive requests.
type Endpoint struct {
	Name string
	Zone string
}

// Load is the load report of the agent of an endpoint.
type Load struct {
	// ExpectedWaitMS is the expected wait before a new attempt starts.
	ExpectedWaitMS float64
	// PrefillMSPerToken is the prefill time of one prompt token.
	PrefillMSPerToken float64
	Running           int
	Waiting           int
	EngineIncarnation uint64
	Draining          bool
}

// Request describes the request to be placed.
type Request struct {
	// Pool is the name of the set of endpoints that the team may use.
	Pool string
	// NamespaceHash is the hash of the prompt's cache namespace, and BlockHashes
	// are the hashes of the prompt's blocks; see package prefix.
	NamespaceHash uint64
	BlockHashes   []uint64
	PromptTokens  int
	// SharedPrefixBlocks lists, in ascending order, the lengths in blocks of the
	// prefixes that other requests may share, such as the prompt up to the end
	// of a message before the last one. When empty, Rank uses the longest
	// prefix that the router has seen in more than one request.
	SharedPrefixBlocks []int
	// Zone is the availability zone of the router.
	Zone string
	// Exclude lists endpoints that were already tried for this request.
	Exclude []string
	// RefusedForCost lists the endpoints in Exclude that refused only because
	// another one looked cheaper. Rank may return them again, with MustQueue set.
	RefusedForCost []string
}

// CandidateSource is the reason why an endpoint became a candidate.
type CandidateSource uint8

// Candidate sources.
const (
	// SourceHashRing is the hash ring's order of endpoints for the prefix.
	SourceHashRing CandidateSource = iota + 1
	// SourcePrefixIndex is the index of endpoints known to hold the prefix.
	SourcePrefixIndex
	// SourceRandom is a random choice.
	SourceRandom
	// SourceRunningCopy is the endpoint at which a copy of the request runs.
	SourceRunningCopy
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
	case SourceRunningCopy:
		return "running copy"
	}
	return "unknown"
}

// Candidate is an endpoint with its expected cost.
type Candidate struct {
	Endpoint string
	// CostMS is the weighted cost by which the candidates are ordered.
	CostMS float64
	// AlternativeCostMS is the cost of the next candidate, 0 when there is none.
	// It is sent with the attempt, so that the agent can refuse the attempt when
	// it knows that its own cost is higher.
	AlternativeCostMS float64
	// PrefillWeight is the weight of prefill time in these costs. It is sent
	// with the attempt, so that the agent computes its own cost alike.
	PrefillWeight float64
	// CachedTokens is the expected number of cached prompt tokens.
	CachedTokens int
	Source       CandidateSource
	// MustQueue tells the agent to queue the attempt even if its cost is higher
	// than AlternativeCostMS.
	MustQueue bool
}
