package capacity

import (
	"fmt"
	"math"
)

// slopeLookup returns slopes as factors and records the names of missing ones.
type slopeLookup struct {
	slopes  Slopes
	missing []string
}

// factor returns a slope as a factor, with value 0 if it is missing.
func (l *slopeLookup) factor(name, label string) factor {
	v, ok := l.slopes.Get(name)
	if !ok {
		l.missing = append(l.missing, name)
	}
	return factor{v, label}
}

// Tables returns the tables of the page. It fails when a slope is missing.
func Tables(s Slopes) ([]*table, error) {
	slopes := &slopeLookup{slopes: s}
	var list []*table
	for _, f := range []func(*slopeLookup) []*table{
		routerTables, agentTables, ledgerTables, storeTables, dataPathTables, failureTables,
	} {
		list = append(list, f(slopes)...)
	}
	if len(slopes.missing) > 0 {
		return nil, fmt.Errorf("missing slopes: %v", slopes.missing)
	}
	return list, nil
}

// sharedMemoryRows are the live heap of routers and agents alike.
func sharedMemoryRows(slopes *slopeLookup) []row {
	return []row{
		{"rules: the active version and one being compiled", []product{{slopes.factor("rules.lines", "lines"), slopes.factor("rules.line", "B"), newFactor(2, "versions")}}, "rules.View, decision/ruleset"},
		{"members", []product{{newFactor(targetMembers, "members"), slopes.factor("members.member", "B")}}, "decision/membership"},
	}
}

// withGarbageHeadroom appends the headroom of the garbage collector, which is as large as
// the live heap with the default GOGC of 100.
func withGarbageHeadroom(rows []row) []row {
	liveBytes := 0.0
	for _, r := range rows {
		liveBytes += r.value()
	}
	return append(rows, row{"garbage collector headroom", []product{{newFactor(math.Round(roundToFourDigits(liveBytes)), "B of live heap above")}}, "GOGC 100"})
}

func idleMemoryRow(slopes *slopeLookup, role string) row {
	return row{"idle process", []product{{slopes.factor("datapath."+role+".resident", "B")}}, "resident memory, program text included"}
}

func sharedCPURows(slopes *slopeLookup, role string) []row {
	return []row{
		{"idle process", []product{{slopes.factor("datapath."+role+".idle", "µs/s")}}, "all modules of the process, 3 members"},
		{"gossip among 2,480 members", []product{{slopes.factor(fmt.Sprintf("members.period.%d", targetMembers), "µs"), newFactor(1, "period/s")}}, "decision/membership, modules/gossip"},
		{"choice of the store watchers", []product{{slopes.factor("members.watchers", "µs"), newFactor(1, "check/s")}}, "modules/rulespread"},
		{"rules: apply a delta and compile the whole file", []product{
			{newFactor(rulesChangesPerSecond, "changes/s"), slopes.factor("rules.apply", "µs")},
			{newFactor(rulesChangesPerSecond, "changes/s"), slopes.factor("rules.lines", "lines"), slopes.factor("rules.compile", "µs")},
		}, "decision/ruleset, rules.Compile"},
	}
}

// gossipRows are the gossip bytes that a process sends and receives.
func gossipRows(slopes *slopeLookup) []row {
	return []row{
		{"probes: one sent, one received", []product{{newFactor(2, "datagrams/s"), slopes.factor("members.probe", "B")}, {newFactor(2, "datagrams/s"), newFactor(udpHeaderBytes, "B of headers")}}, "decision/membership, period 1 s"},
		{"acks: one sent, one received", []product{{newFactor(2, "datagrams/s"), slopes.factor("members.ack", "B")}, {newFactor(2, "datagrams/s"), newFactor(udpHeaderBytes, "B of headers")}}, "decision/membership"},
		{"member updates, mean of an ordinary day", []product{{newFactor(roundedQuotient(hostOutagesPerDay, secondsPerDay), "hosts/s"), newFactor(updatesPerOutage, "updates"), newFactor(2*gossipTransmissions, "times sent or received"), slopes.factor("members.update", "B")}}, "piggybacked on probes and acks"},
		{"rules deltas, mean of a day", []product{{newFactor(rulesChangesPerSecond, "changes/s"), newFactor(2*gossipFanout, "pushes sent or received"), slopes.factor("rules.push", "B")}, {newFactor(rulesChangesPerSecond, "changes/s"), newFactor(2*gossipFanout, "pushes"), newFactor(udpHeaderBytes, "B of headers")}}, "pushed to 4 peers by each first receiver"},
	}
}

func routerTables(slopes *slopeLookup) []*table {
	memory := append(sharedMemoryRows(slopes),
		row{"pools of endpoints", []product{{slopes.factor("rules.memberships", "endpoints in pools"), slopes.factor("rules.pool_bytes", "B")}}, "decision/placement, lookup tables with 64 slots per endpoint"},
		row{"trace of the last requests", []product{{newFactor(tracedRequests, "requests"), slopes.factor("trace.request", "B")}}, "modules/trace"},
	)
	memory = append([]row{idleMemoryRow(slopes, "router")}, withGarbageHeadroom(memory)...)
	cpu := append(sharedCPURows(slopes, "router"),
		row{"rules: rebuild all pools", []product{{newFactor(rulesChangesPerSecond, "changes/s"), slopes.factor("rules.memberships", "endpoints in pools"), slopes.factor("rules.pool_time", "µs")}}, "modules/dispatch; upper bound, because unchanged pools are not rebuilt"},
	)
	gossipBound := []row{
		{"probes, acks and their headers", []product{{newFactor(2, "datagrams/s"), slopes.factor("members.probe", "B")}, {newFactor(2, "datagrams/s"), slopes.factor("members.ack", "B")}, {newFactor(4, "datagrams/s"), newFactor(udpHeaderBytes, "B")}}, "always sent"},
		{"catch-up probes and their acks, all members at once", []product{{newFactor(2*catchUpProbesPerSecond, "datagrams/s"), slopes.factor("members.probe", "B")}, {newFactor(2*catchUpProbesPerSecond, "datagrams/s"), slopes.factor("members.ack", "B")}, {newFactor(4*catchUpProbesPerSecond, "datagrams/s"), newFactor(udpHeaderBytes, "B")}}, "for 5 s after a failed probe"},
		{"updates, pushes and sync answers", []product{{newFactor(2, "directions"), newFactor(gossipUpdateBytesPerSecond, "B/s")}}, "token bucket of decision/membership"},
	}
	watcherReads := []row{
		{"rules text, read after each change", []product{{newFactor(rulesChangesPerSecond, "changes/s"), slopes.factor("rules.lines", "lines"), slopes.factor("rules.text", "B")}}, "modules/rulespread reads the whole object"},
	}
	return []*table{
		{blockName: "router-memory", title: "Memory of a router, control plane.", unit: megabytes, rows: memory, budget: budgetMegabytes},
		{blockName: "router-time", title: "Processor time of a router, control plane.", unit: percentOfCore, rows: cpu, budget: budgetPercentOfCore},
		{blockName: "messages", title: "Messages of a router or an agent, mean of an ordinary day.", unit: kilobytesPerSecond, rows: gossipRows(slopes), budget: budgetKilobytesPerSecond},
		{blockName: "messages-bound", title: "Upper bound of gossip traffic while thousands of members change.", unit: kilobytesPerSecond, rows: gossipBound, budget: budgetKilobytesPerSecond},
		{blockName: "watcher-messages", title: "Messages of one of the 12 routers that watch the store, in addition to gossip.", unit: kilobytesPerSecond, rows: watcherReads, budget: budgetKilobytesPerSecond},
		{blockName: "decision", title: "One placement decision.", unit: unit{"µs", 1}, budget: budgetDecisionMicros, alternatives: true, rows: []row{
			{"18 endpoints", []product{{slopes.factor("placement.decision.18", "µs")}}, "decision/placement"},
			{"200 endpoints", []product{{slopes.factor("placement.decision.200", "µs")}}, "decision/placement"},
			{"2,100 endpoints", []product{{slopes.factor("placement.decision.2100", "µs")}}, "decision/placement"},
		}},
	}
}

func agentTables(slopes *slopeLookup) []*table {
	memory := append(sharedMemoryRows(slopes),
		row{"cache view", []product{{newFactor(cachedBlocksPerAgent, "blocks"), slopes.factor("cache.block", "B")}}, "decision/admission"},
		row{"attempt table, without the output", []product{{newFactor(keptResultsPerAgent, "kept results"), slopes.factor("attempts.result", "B")}, {newFactor(openStreamsPerAgent, "open streams"), slopes.factor("attempts.stream", "B")}}, "decision/attempts"},
	)
	memory = append([]row{idleMemoryRow(slopes, "agent")}, withGarbageHeadroom(memory)...)
	cpu := append(sharedCPURows(slopes, "agent"),
		row{"cache events", []product{{newFactor(agentCacheEventsPerSecond, "events/s"), slopes.factor("cache.event_decode", "µs")}, {newFactor(agentCacheEventsPerSecond, "events/s"), slopes.factor("cache.event", "µs")}}, "modules/engine, decision/admission"},
		row{"ticks of the attempt table", []product{{newFactor(attemptTicksPerSecond, "ticks/s"), newFactor(keptResultsPerAgent+openStreamsPerAgent, "attempts"), slopes.factor("attempts.tick", "µs")}}, "decision/attempts"},
	)
	return []*table{
		{blockName: "agent-memory", title: "Memory of an agent, control plane.", unit: megabytes, rows: memory, budget: budgetMegabytes},
		{blockName: "agent-time", title: "Processor time of an agent, control plane.", unit: percentOfCore, rows: cpu, budget: budgetPercentOfCore},
	}
}

func ledgerTables(slopes *slopeLookup) []*table {
	nonIdempotentRequestsPerSecond := float64(targetRequestsPerSecond) * nonIdempotentPercent / 100
	partitionClaimsPerSecond := roundedQuotient(nonIdempotentRequestsPerSecond, ledgerPartitions)
	keys := roundToFourDigits(nonIdempotentRequestsPerSecond * secondsPerDay / ledgerPartitions)
	memory := []row{
		{"keys of the last 24 h", []product{{newFactor(keys, "keys"), slopes.factor("ledger.key", "B")}}, "index of decision/ledger"},
		{"garbage collector headroom", []product{{newFactor(keys, "keys"), slopes.factor("ledger.key", "B")}}, "GOGC 100"},
	}
	storeWrites := []row{
		{"segment writes", []product{{newFactor(partitionClaimsPerSecond, "claims/s"), slopes.factor("ledger.writes.6", "writes per claim"), slopes.factor("ledger.bytes.6", "B")}}, "each write sends the whole segment"},
	}
	cpu := []row{
		{"claims and finishes", []product{{newFactor(partitionClaimsPerSecond, "claims/s"), slopes.factor("ledger.time", "µs")}}, "decision/ledger, without the store's client"},
	}
	return []*table{
		{blockName: "ledger-memory", title: "Memory of a router that owns one of the 32 partitions, in addition to the above, with 1% of all requests non-idempotent.", unit: megabytes, rows: memory, budget: budgetMegabytes},
		{blockName: "ledger-time", title: "Processor time of that router, in addition to the above.", unit: percentOfCore, rows: cpu, budget: budgetPercentOfCore},
		{blockName: "ledger-messages", title: "Messages of that router to the store.", unit: kilobytesPerSecond, rows: storeWrites, budget: budgetKilobytesPerSecond},
	}
}

func storeTables(slopes *slopeLookup) []*table {
	requestShare := func(percent float64) float64 { return targetRequestsPerSecond * percent / 100 }
	ordinaryDay := []row{
		{"watches", []product{{newFactor(storeWatchers, "watchers"), newFactor(1.0/watchTimeoutSeconds, "calls/s")}}, "modules/rulespread, one call takes 2 s"},
		{"reads and new watches after a change", []product{{newFactor(rulesChangesPerSecond, "changes/s"), newFactor(storeWatchers, "watchers"), newFactor(2, "calls")}}, "modules/rulespread"},
		{"accepted changes", []product{{newFactor(rulesChangesPerSecond, "changes/s"), newFactor(storeCallsPerChange, "calls")}}, "ruleadmin"},
		{"claims, 1% of all requests", []product{{newFactor(requestShare(1), "claims/s"), slopes.factor("ledger.writes.6", "writes per claim")}}, "decision/ledger, group commit"},
		{"first reads of restarted processes", []product{{newFactor(roundedQuotient(hostOutagesPerDay, secondsPerDay), "starts/s"), newFactor(1, "call")}}, "modules/rulespread"},
	}
	ledgerWrites := []row{
		{"0.17% of all requests, 1 claim/s per partition", []product{{newFactor(ledgerPartitions, "claims/s"), slopes.factor("ledger.writes.1", "writes per claim")}}, "group commit of few claims"},
		{"1%", []product{{newFactor(requestShare(1), "claims/s"), slopes.factor("ledger.writes.6", "writes per claim")}}, "group commit"},
		{"5%", []product{{newFactor(requestShare(5), "claims/s"), slopes.factor("ledger.writes.30", "writes per claim")}}, "group commit, limited by the minimum write interval of 150 ms"},
	}
	simultaneousStart := []row{
		{"380 routers", []product{{newFactor(targetRouters, "routers"), newFactor(1.0/4, "first reads/s each")}}, "first reads are spread over 4 s"},
		{"2,100 agents", []product{{newFactor(targetEndpoints, "agents"), newFactor(roundedQuotient(1, 30), "first reads/s each")}}, "first reads are spread over 30 s"},
	}
	rulesChange := []row{
		{"pause between two reads of a watcher", []product{{newFactor(0.25, "s")}}, "ruleset.Config.MinReadInterval"},
		{"store: watch response and read", []product{{newFactor(2, "calls"), newFactor(0.01, "s")}}, "responds in milliseconds"},
		{"gossip", []product{{newFactor(6, "hops to 2,480 members with fanout 4"), newFactor(0.0015, "s")}}, "pushes; latency between availability zones"},
		{"lost push", []product{{newFactor(1, "probe period"), newFactor(1, "s")}}, "probes and acks carry the version"},
		{"fetch from a peer", []product{{newFactor(0.25, "s")}}, "ruleset.Config.MaxFetchDelay"},
		{"pause between two compilations", []product{{newFactor(0.5, "s")}}, "ruleset.Config.MinCompileInterval"},
		{"compilation and rebuild of the pools", []product{
			{slopes.factor("rules.lines", "lines"), slopes.factor("rules.compile", "µs"), newFactor(1e-6, "s/µs")},
			{slopes.factor("rules.memberships", "endpoints in pools"), slopes.factor("rules.pool_time", "µs"), newFactor(1e-6, "s/µs")},
		}, "rules.Compile, modules/dispatch"},
	}
	return []*table{
		{blockName: "store", title: "Calls of the platform's store on an ordinary day.", unit: callsPerSecond, rows: ordinaryDay, budget: budgetStoreCallsPerSecond},
		{blockName: "store-shares", title: "Ledger writes only, by share of non-idempotent requests.", unit: callsPerSecond, rows: ledgerWrites, budget: budgetStoreCallsPerSecond, alternatives: true},
		{blockName: "store-herd", title: "All processes start at once: calls per second in addition to those of the ledger.", unit: callsPerSecond, rows: simultaneousStart, budget: budgetStoreCallsPerSecond},
		{blockName: "rules-time", title: "Delay of a rules change, sum of the longest waits.", unit: seconds, rows: rulesChange, budget: budgetRulesChangeSeconds},
	}
}

func dataPathTables(slopes *slopeLookup) []*table {
	cpuRows := func(role string, requests, tokens float64) []row {
		return []row{
			{"requests", []product{{newFactor(requests, "requests/s"), slopes.factor("datapath."+role+".request", "µs")}}, "HTTP, placement or admission, gRPC, log"},
			{"tokens", []product{{newFactor(tokens, "tokens/s"), slopes.factor("datapath."+role+".token", "µs")}}, "one event per token, relayed immediately"},
		}
	}
	fleet := []row{
		{"380 routers", []product{
			{newFactor(targetRequestsPerSecond, "requests/s"), slopes.factor("datapath.router.request", "µs")},
			{newFactor(targetTokensPerSecond, "tokens/s"), slopes.factor("datapath.router.token", "µs")},
		}, "arbutus-router"},
		{"2,100 agents", []product{
			{newFactor(targetRequestsPerSecond, "requests/s"), slopes.factor("datapath.agent.request", "µs")},
			{newFactor(targetTokensPerSecond, "tokens/s"), slopes.factor("datapath.agent.token", "µs")},
		}, "arbutus-agent"},
	}
	return []*table{
		{blockName: "datapath-router", title: "Processor time of a router for 50 requests and 11,320 tokens a second.", unit: percentOfCore, rows: cpuRows("router", routerRequestsPerSecond, routerTokensPerSecond)},
		{blockName: "datapath-agent", title: "Processor time of an agent.", unit: percentOfCore, rows: cpuRows("agent", agentRequestsPerSecond, agentTokensPerSecond)},
		{blockName: "datapath-fleet", title: "Processor time of the fleet.", unit: unit{"cores", 1e6}, rows: fleet},
		{blockName: "datapath-memory", title: "Memory for requests and streams, garbage collector headroom included.", unit: megabytes, alternatives: true, rows: []row{
			{"router: open streams", []product{{newFactor(openStreamsPerRouter, "streams"), slopes.factor("datapath.router.open", "B")}}, "callerapi, dispatch, gRPC"},
			{"agent: open streams", []product{{newFactor(openStreamsPerAgent, "streams"), slopes.factor("datapath.agent.open", "B")}}, "runner, engine client"},
			{"agent: results kept for 60 s", []product{{newFactor(keptResultsPerAgent, "results"), slopes.factor("datapath.agent.done", "B")}}, "attempts, and the prompt kept by runner"},
		}},
		{blockName: "datapath-bytes", title: "Bytes to callers of one router.", unit: kilobytesPerSecond, rows: []row{
			{"events", []product{{newFactor(routerTokensPerSecond, "tokens/s"), slopes.factor("datapath.caller_bytes", "B")}}, "server-sent events in the OpenAI format"},
		}},
	}
}
