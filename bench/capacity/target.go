package capacity

import "math"

// Target scale, from section 1.7 of the design page.
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

// Budgets, from sections 1.7 and 10 of the design page.
const (
	budgetPercentOfCore       = 2.7
	budgetMegabytes           = 128
	budgetKilobytesPerSecond  = 5
	budgetStoreCallsPerSecond = 200
	budgetRulesChangeSeconds  = 4
	budgetDecisionMicros      = 20
)

// Load of one process at the target scale. Values are rounded, so that the page shows
// exactly the numbers that are multiplied.
var (
	routerRequestsPerSecond = roundedQuotient(targetRequestsPerSecond, targetRouters)
	routerTokensPerSecond   = roundedQuotient(targetTokensPerSecond, targetRouters)
	agentRequestsPerSecond  = roundedQuotient(targetRequestsPerSecond, targetEndpoints)
	agentTokensPerSecond    = roundedQuotient(targetTokensPerSecond, targetEndpoints)
	// tokensPerRequest is the mean output of a request.
	tokensPerRequest = roundedQuotient(targetTokensPerSecond, targetRequestsPerSecond)
	// streamSeconds is an upper bound for the duration of a mean stream: its first
	// token takes 0.65 s and every other token 0.067 s, the target's 95th percentiles.
	streamSeconds        = roundToFourDigits(0.65 + (tokensPerRequest-1)*0.067)
	openStreamsPerRouter = math.Round(routerRequestsPerSecond * streamSeconds)
	openStreamsPerAgent  = math.Round(agentRequestsPerSecond * streamSeconds)
	// keptResultsPerAgent is the number of results that an agent keeps, each for 60 s.
	keptResultsPerAgent   = math.Round(agentRequestsPerSecond * 60)
	rulesChangesPerSecond = roundedQuotient(targetRulesChangesPerDay, secondsPerDay)
)

// Defaults of the packages that the comments name, copied for the arithmetic.
const (
	ledgerPartitions    = 32    // modules/ledger
	storeWatchers       = 12    // modules/rulespread: 2 in each of 6 availability zones
	watchTimeoutSeconds = 2     // modules/rulespread, seconds
	tracedRequests      = 20000 // modules/trace
	gossipFanout        = 4     // decision/membership
	// gossipTransmissions is how often a member sends each update:
	// RetransmitMultiplier times one more than the decimal logarithm of the number of
	// members.
	gossipTransmissions = 15 // decision/membership
	// catchUpProbesPerSecond is the probe rate of a member for 5 s after one of its
	// probes failed, when it looks for updates that it missed.
	catchUpProbesPerSecond     = 4    // decision/membership
	gossipUpdateBytesPerSecond = 1800 // decision/membership, bytes per second
	attemptTicksPerSecond      = 20   // modules/runner
	// udpHeaderBytes is the size of the IPv4 and UDP headers.
	udpHeaderBytes = 28
	// storeCallsPerChange are a read, a conditional write, the write of the history
	// entry and its later deletion, all in ruleadmin.
	storeCallsPerChange = 4
	// updatesPerOutage are the member updates of a host that goes down and comes back:
	// suspect or leaving, dead, alive, and one refutation.
	updatesPerOutage  = 4
	hostOutagesPerDay = targetHostFailuresPerDay + targetRestartsPerDay
)

// Assumptions that the design page does not state.
const (
	// nonIdempotentPercent is the share of non-idempotent requests.
	nonIdempotentPercent = 1
	// routersPerRack and agentsPerRack are the processes on the hosts of one rack.
	routersPerRack, agentsPerRack = 4, 20
)

func roundedQuotient(a, b float64) float64 { return roundToFourDigits(a / b) }
