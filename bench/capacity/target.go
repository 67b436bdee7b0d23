package capacity

import "math"

// Target scale of section 1.7 of the design page.
const (
	targetRouters              = 380
	targetEndpoints            = 2100
	targetMembers              = targetRouters + targetEndpoints
	targetRegions              = 2
	targetZones                = 6
	targetRequestsPerSecond    = 19_000
	targetTokensPerSecond      = 4_300_000
	targetCachedBlocks         = 80_000_000
	targetCacheEventsPerSecond = 550_000
	targetTeams                = 550
	targetModels               = 10
	targetRulesChangesPerDay   = 5_800
	targetHostFailuresPerDay   = 24
	targetRestartsPerDay       = 140
	secondsPerDay              = 86_400
)

// Budgets of sections 1.7 and 10 of the design page.
const (
	budgetPercentOfCore       = 2.7
	budgetMegabytes           = 128
	budgetKilobytesPerSecond  = 5
	budgetStoreCallsPerSecond = 200
	budgetRulesChangeSeconds  = 4
	budgetDecisionMicros      = 20
)

// Parts of the target that one process carries. They are rounded, so that the
// page shows the numbers that are multiplied.
var (
	requestsPerRouter = roundedQuotient(targetRequestsPerSecond, targetRouters)
	tokensPerRouter   = roundedQuotient(targetTokensPerSecond, targetRouters)
	requestsPerAgent  = roundedQuotient(targetRequestsPerSecond, targetEndpoints)
	tokensPerAgent    = roundedQuotient(targetTokensPerSecond, targetEndpoints)
	// requestTokens is the mean output of a request.
	tokensPerRequest = roundedQuotient(targetTokensPerSecond, targetRequestsPerSecond)
	// streamSeconds is the length of a stream that takes the target's 95th
	// percentile for its first and for every other token: an upper bound.
	streamSeconds        = roundToFourDigits(0.65 + (tokensPerRequest-1)*0.067)
	openStreamsPerRouter = math.Round(requestsPerRouter * streamSeconds)
	openStreamsPerAgent  = math.Round(requestsPerAgent * streamSeconds)
	// agentKept is the number of results that an agent keeps for 60 s.
	keptResultsPerAgent   = math.Round(requestsPerAgent * 60)
	rulesChangesPerSecond = roundedQuotient(targetRulesChangesPerDay, secondsPerDay)
)

// Constants of the product that the arithmetic uses. They are defaults of the
// packages named.
const (
	ledgerPartitions    = 32    // modules/ledger
	storeWatchers       = 12    // modules/rulespread: 2 in each of 6 availability zones
	watchTimeoutSeconds = 2     // modules/rulespread, seconds
	tracedRequests      = 20000 // modules/trace
	gossipFanout        = 4     // decision/membership
	// transmissions is RetransmitMultiplier times one more than the decimal
	// logarithm of the members.
	gossipTransmissions = 15 // decision/membership
	// catchUps are the probes per second of a member that looks for what it
	// missed, for 5 s after a probe of its own failed.
	catchUpProbesPerSecond     = 4    // decision/membership
	gossipUpdateBytesPerSecond = 1800 // decision/membership, bytes per second
	attemptTicksPerSecond      = 20   // modules/runner
	// headerBytes are those of IP and UDP.
	udpHeaderBytes = 28
	// callsPerChange are a read, a conditional write, the history's write and
	// its later deletion in ruleadmin.
	storeCallsPerChange = 4
	// updatesPerHost are those of a host that goes away and comes back:
	// suspect or leaving, dead, alive, and one refutation.
	updatesPerOutage  = 4
	hostOutagesPerDay = targetHostFailuresPerDay + targetRestartsPerDay
)

// Assumptions where the design page is silent.
const (
	// oncePercent is the share of non-idempotent requests.
	nonIdempotentPercent = 1
	// rackRouters and rackAgents stand on one rack.
	routersPerRack, agentsPerRack = 4, 20
)

func roundedQuotient(a, b float64) float64 { return roundToFourDigits(a / b) }
