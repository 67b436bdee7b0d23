package capacity

import "math"

// Target scale of section 1.7 of the design page.
const (
	targetRouters     = 380
	targetEndpoints   = 2100
	targetMembers     = targetRouters + targetEndpoints
	targetRegions     = 2
	targetZones       = 6
	targetRequests    = 19_000
	targetTokens      = 4_300_000
	targetBlocks      = 80_000_000
	targetEvents      = 550_000
	targetTeams       = 550
	targetModels      = 10
	targetChanges     = 5_800
	targetFailedHosts = 24
	targetRestarts    = 140
	secondsPerDay     = 86_400
)

// Budgets of sections 1.7 and 10 of the design page.
const (
	budgetCorePercent  = 2.7
	budgetMegabytes    = 128
	budgetKilobytes    = 5
	budgetStoreCalls   = 200
	budgetRulesSeconds = 4
	budgetDecisionUS   = 20
)

// Parts of the target that one process carries. They are rounded, so that the
// page shows the numbers that are multiplied.
var (
	routerRequests = roughly(targetRequests, targetRouters)
	routerTokens   = roughly(targetTokens, targetRouters)
	agentRequests  = roughly(targetRequests, targetEndpoints)
	agentTokens    = roughly(targetTokens, targetEndpoints)
	// requestTokens is the mean output of a request.
	requestTokens = roughly(targetTokens, targetRequests)
	// streamSeconds is the length of a stream that takes the target's 95th
	// percentile for its first and for every other token: an upper bound.
	streamSeconds = roundFigure(0.65 + (requestTokens-1)*0.067)
	routerOpen    = math.Round(routerRequests * streamSeconds)
	agentOpen     = math.Round(agentRequests * streamSeconds)
	// agentKept is the number of results that an agent keeps for 60 s.
	agentKept        = math.Round(agentRequests * 60)
	changesPerSecond = roughly(targetChanges, secondsPerDay)
)

// Constants of the product that the arithmetic uses. They are defaults of the
// packages named.
const (
	partitions    = 32    // modules/ledger
	watchers      = 12    // modules/rulespread: 2 in each of 6 availability zones
	watchTimeout  = 2     // modules/rulespread, seconds
	traceRequests = 20000 // modules/trace
	fanout        = 4     // decision/membership
	// transmissions is RetransmitMultiplier times one more than the decimal
	// logarithm of the members.
	transmissions = 15 // decision/membership
	// catchUps are the probes per second of a member that looks for what it
	// missed, for 5 s after a probe of its own failed.
	catchUps    = 4    // decision/membership
	updateRate  = 1800 // decision/membership, bytes per second
	ticksPerSec = 20   // modules/runner
	// headerBytes are those of IP and UDP.
	headerBytes = 28
	// callsPerChange are a read, a conditional write, the history's write and
	// its later deletion in ruleadmin.
	callsPerChange = 4
	// updatesPerHost are those of a host that goes away and comes back:
	// suspect or leaving, dead, alive, and one refutation.
	updatesPerHost = 4
	hostEvents     = targetFailedHosts + targetRestarts
)

// Assumptions where the design page is silent.
const (
	// oncePercent is the share of non-idempotent requests.
	oncePercent = 1
	// rackRouters and rackAgents stand on one rack.
	rackRouters, rackAgents = 4, 20
)

func roughly(a, b float64) float64 { return roundFigure(a / b) }
