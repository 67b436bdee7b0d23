package capacity

import "math"

// failure is a simultaneous loss of routers and agents.
type failure struct {
	name                    string
	lostRouters, lostAgents float64
}

// retryBudgetPerSecond is the number of retries per second that each remaining router is
// allowed: a tenth of its requests, including its share of those of the lost routers.
func (f failure) retryBudgetPerSecond() float64 {
	return roundToFourDigits(targetRequestsPerSecond / (targetRouters - f.lostRouters) / 10)
}

// movedStreamsPerRouter is the number of interrupted streams that each router continues at
// other endpoints.
func (f failure) movedStreamsPerRouter() float64 {
	return roundToFourDigits(f.lostAgents * openStreamsPerAgent / targetRouters)
}

var failures = []failure{
	{"an agent's host", 0, 1},
	{"a router's host", 1, 0},
	{"a rack", routersPerRack, agentsPerRack},
	{"an availability zone", math.Round(targetRouters / targetZones), targetEndpoints / targetZones},
}

func failureTables(slopes *slopeLookup) []*table {
	var movedStreams, agentLoad, retryWaits, resumed, lostCache []row
	for _, f := range failures {
		agentsLeft := targetEndpoints - f.lostAgents
		agentLoad = append(agentLoad, row{f.name, []product{{newFactor(targetRequestsPerSecond, "requests/s"), newFactor(roundToFourDigits(1/agentsLeft), "per remaining agent")}}, "decision/placement; " + formatNumber(agentRequestsPerSecond) + " before the failure"})
		if f.lostRouters > 0 {
			resumed = append(resumed, row{f.name, []product{{newFactor(f.lostRouters, "routers"), newFactor(openStreamsPerRouter, "streams")}}, "callers resume with Last-Event-ID at any router, without the retry budget"})
		}
		if f.lostAgents == 0 {
			continue
		}
		movedStreams = append(movedStreams, row{f.name, []product{{newFactor(f.lostAgents, "agents"), newFactor(openStreamsPerAgent, "streams")}}, "decision/attempt: continued at another endpoint from the last token"})
		retryWaits = append(retryWaits, row{f.name, []product{{newFactor(f.movedStreamsPerRouter(), "streams per router"), newFactor(roundToFourDigits(1/f.retryBudgetPerSecond()), "s per retry")}}, "decision/budget: retries up to a tenth of the first attempts"})
		lostCache = append(lostCache, row{f.name, []product{{newFactor(f.lostAgents, "agents"), newFactor(cachedBlocksPerAgent, "blocks"), newFactor(64e-6, "million tokens")}}, "recomputed on request; hot prefixes have copies in other availability zones"})
	}
	zone := failures[len(failures)-1]
	lostMembers := zone.lostRouters + zone.lostAgents
	firstChoiceRequestsPerSecond := roundToFourDigits(targetRequestsPerSecond / (targetRouters - zone.lostRouters) / targetZones)
	gossip := []row{
		{"an availability zone", []product{{newFactor(lostMembers, "members"), newFactor(gossipTransmissions, "times"), slopes.factor("members.update", "B"), newFactor(roundToFourDigits(1.0/gossipUpdateBytesPerSecond), "s/B")}}, "piggybacked updates within the byte rate limit"},
		{"the other region", []product{{newFactor(targetMembers/targetRegions, "members"), newFactor(gossipTransmissions, "times"), slopes.factor("members.update", "B"), newFactor(roundToFourDigits(1.0/gossipUpdateBytesPerSecond), "s/B")}}, "the same"},
	}
	return []*table{
		{blockName: "failure-load", title: "Load of each remaining agent.", unit: unit{"requests/s", 1}, rows: agentLoad, alternatives: true},
		{blockName: "failure-streams", title: "Streams that break at agents and continue at other endpoints.", unit: unit{"streams", 1}, rows: movedStreams, alternatives: true},
		{blockName: "failure-resumed", title: "Streams that break at routers; their agents continue them for 30 s.", unit: unit{"streams", 1}, rows: resumed, alternatives: true},
		{blockName: "failure-waits", title: "Time until the retry budget allows the last broken stream to continue.", unit: seconds, rows: retryWaits, alternatives: true},
		{blockName: "failure-cache", title: "Prompt tokens that are no longer cached.", unit: unit{"million tokens", 1}, rows: lostCache, alternatives: true},
		{blockName: "failure-gossip", title: "Time until each member has forwarded all suspicions.", unit: seconds, rows: gossip, alternatives: true},
		{blockName: "failure-retries", title: "Retries per second and router while an availability zone is unreachable but not declared dead; the budget allows " + formatNumber(zone.retryBudgetPerSecond()) + ".", unit: unit{"retries/s", 1}, budget: zone.retryBudgetPerSecond(), alternatives: true, rows: []row{
			{"first attempts placed in that availability zone, at most", []product{{newFactor(firstChoiceRequestsPerSecond, "requests/s whose first choice is there"), newFactor(1, "retry")}}, "upper bound: prefixes that another endpoint holds go there"},
		}},
	}
}
