package capacity

import (
	"fmt"
	"math"
)

// book hands out slopes as factors and notes those that are missing.
type book struct {
	slopes  Slopes
	missing []string
}

// of returns a slope as a factor.
func (b *book) of(name, text string) factor {
	v, ok := b.slopes.Get(name)
	if !ok {
		b.missing = append(b.missing, name)
	}
	return factor{v, text}
}

// Tables returns the tables of the page. It fails when a slope is missing.
func Tables(s Slopes) ([]*table, error) {
	b := &book{slopes: s}
	var list []*table
	for _, f := range []func(*book) []*table{
		routerTables, agentTables, ledgerTables, storeTables, dataPathTables, failureTables,
	} {
		list = append(list, f(b)...)
	}
	if len(b.missing) > 0 {
		return nil, fmt.Errorf("slopes are missing: %v", b.missing)
	}
	return list, nil
}

// commonMemory are the heap rows that routers and agents share.
func commonMemory(b *book) []row {
	return []row{
		{"rules, the version in force and one being checked", []product{{b.of("rules.lines", "lines"), b.of("rules.line", "B"), of(2, "versions")}}, "rules.View, decision/ruleset"},
		{"members", []product{{of(targetMembers, "members"), b.of("members.member", "B")}}, "decision/membership"},
	}
}

// withGarbage adds the room that the garbage collector needs: as much as the
// live heap, with the default GOGC of 100.
func withGarbage(rows []row) []row {
	live := 0.0
	for _, r := range rows {
		live += r.value()
	}
	return append(rows, row{"room for garbage", []product{{of(math.Round(roundFigure(live)), "B of live heap above")}}, "GOGC 100"})
}

func base(b *book, role string) row {
	return row{"process with nothing to do", []product{{b.of("datapath."+role+".resident", "B")}}, "resident memory, program text included"}
}

func commonTime(b *book, role string) []row {
	return []row{
		{"process with nothing to do", []product{{b.of("datapath."+role+".idle", "µs/s")}}, "all modules of the process, 3 members"},
		{"gossip among 2,480", []product{{b.of(fmt.Sprintf("members.period.%d", targetMembers), "µs"), of(1, "period/s")}}, "decision/membership, modules/gossip"},
		{"who watches the store", []product{{b.of("members.watchers", "µs"), of(1, "check/s")}}, "modules/rulespread"},
		{"rules: apply a delta and check the whole file", []product{
			{of(changesPerSecond, "changes/s"), b.of("rules.apply", "µs")},
			{of(changesPerSecond, "changes/s"), b.of("rules.lines", "lines"), b.of("rules.compile", "µs")},
		}, "decision/ruleset, rules.Compile"},
	}
}

// gossipRows are the bytes of a process in both directions.
func gossipRows(b *book) []row {
	return []row{
		{"probes: one sent, one received", []product{{of(2, "datagrams/s"), b.of("members.probe", "B")}, {of(2, "datagrams/s"), of(headerBytes, "B of headers")}}, "decision/membership, period 1 s"},
		{"acks: one sent, one received", []product{{of(2, "datagrams/s"), b.of("members.ack", "B")}, {of(2, "datagrams/s"), of(headerBytes, "B of headers")}}, "decision/membership"},
		{"member updates, mean of an ordinary day", []product{{of(roughly(hostEvents, secondsPerDay), "hosts/s"), of(updatesPerHost, "updates"), of(2*transmissions, "times sent or received"), b.of("members.update", "B")}}, "piggybacked on probes and acks"},
		{"rules deltas, mean of a day", []product{{of(changesPerSecond, "changes/s"), of(2*fanout, "pushes sent or received"), b.of("rules.push", "B")}, {of(changesPerSecond, "changes/s"), of(2*fanout, "pushes"), of(headerBytes, "B of headers")}}, "pushed to 4 peers by each first receiver"},
	}
}

func routerTables(b *book) []*table {
	memory := append(commonMemory(b),
		row{"pools of endpoints", []product{{b.of("rules.memberships", "endpoints in pools"), b.of("rules.pool_bytes", "B")}}, "decision/placement, lookup tables of 64 slots an endpoint"},
		row{"trace of the last requests", []product{{of(traceRequests, "requests"), b.of("trace.request", "B")}}, "modules/trace"},
	)
	memory = append([]row{base(b, "router")}, withGarbage(memory)...)
	time := append(commonTime(b, "router"),
		row{"rules: rebuild all pools", []product{{of(changesPerSecond, "changes/s"), b.of("rules.memberships", "endpoints in pools"), b.of("rules.pool_time", "µs")}}, "modules/dispatch; worst case, because unchanged pools are left alone"},
	)
	bound := []row{
		{"probes, acks and their headers", []product{{of(2, "datagrams/s"), b.of("members.probe", "B")}, {of(2, "datagrams/s"), b.of("members.ack", "B")}, {of(4, "datagrams/s"), of(headerBytes, "B")}}, "always sent"},
		{"probes and acks of members that catch up, all at once", []product{{of(2*catchUps, "datagrams/s"), b.of("members.probe", "B")}, {of(2*catchUps, "datagrams/s"), b.of("members.ack", "B")}, {of(4*catchUps, "datagrams/s"), of(headerBytes, "B")}}, "for 5 s after a failed probe"},
		{"updates, pushes and sync answers", []product{{of(2, "directions"), of(updateRate, "B/s")}}, "token bucket of decision/membership"},
	}
	watch := []row{
		{"rules text, read after each change", []product{{of(changesPerSecond, "changes/s"), b.of("rules.lines", "lines"), b.of("rules.text", "B")}}, "modules/rulespread reads the whole object"},
	}
	return []*table{
		{name: "router-memory", title: "Memory of a router, control plane.", unit: megabytes, rows: memory, budget: budgetMegabytes},
		{name: "router-time", title: "Processor time of a router, control plane.", unit: corePercent, rows: time, budget: budgetCorePercent},
		{name: "messages", title: "Messages of a router or an agent, mean of an ordinary day.", unit: kilobytes, rows: gossipRows(b), budget: budgetKilobytes},
		{name: "messages-bound", title: "The most that gossip sends and receives while thousands of members change.", unit: kilobytes, rows: bound, budget: budgetKilobytes},
		{name: "watcher-messages", title: "Messages of one of the 12 routers that watch the store, beside gossip.", unit: kilobytes, rows: watch, budget: budgetKilobytes},
		{name: "decision", title: "One placement decision.", unit: unit{"µs", 1}, budget: budgetDecisionUS, noTotal: true, rows: []row{
			{"18 endpoints", []product{{b.of("placement.decision.18", "µs")}}, "decision/placement"},
			{"200 endpoints", []product{{b.of("placement.decision.200", "µs")}}, "decision/placement"},
			{"2,100 endpoints", []product{{b.of("placement.decision.2100", "µs")}}, "decision/placement"},
		}},
	}
}

func agentTables(b *book) []*table {
	memory := append(commonMemory(b),
		row{"cache view", []product{{of(agentBlocks, "blocks"), b.of("cache.block", "B")}}, "decision/admission"},
		row{"attempt table, beside the output", []product{{of(agentKept, "kept results"), b.of("attempts.result", "B")}, {of(agentOpen, "open streams"), b.of("attempts.stream", "B")}}, "decision/attempts"},
	)
	memory = append([]row{base(b, "agent")}, withGarbage(memory)...)
	time := append(commonTime(b, "agent"),
		row{"cache events", []product{{of(agentEvents, "events/s"), b.of("cache.event_decode", "µs")}, {of(agentEvents, "events/s"), b.of("cache.event", "µs")}}, "modules/engine, decision/admission"},
		row{"ticks over the attempts", []product{{of(ticksPerSec, "ticks/s"), of(agentKept+agentOpen, "attempts"), b.of("attempts.tick", "µs")}}, "decision/attempts"},
	)
	return []*table{
		{name: "agent-memory", title: "Memory of an agent, control plane.", unit: megabytes, rows: memory, budget: budgetMegabytes},
		{name: "agent-time", title: "Processor time of an agent, control plane.", unit: corePercent, rows: time, budget: budgetCorePercent},
	}
}

func ledgerTables(b *book) []*table {
	once := float64(targetRequests) * oncePercent / 100
	perPartition := roughly(once, partitions)
	keys := roundFigure(once * secondsPerDay / partitions)
	memory := []row{
		{"keys of 24 h", []product{{of(keys, "keys"), b.of("ledger.key", "B")}}, "index of decision/ledger"},
		{"room for garbage", []product{{of(keys, "keys"), b.of("ledger.key", "B")}}, "GOGC 100"},
	}
	bytes := []row{
		{"segment writes", []product{{of(perPartition, "claims/s"), b.of("ledger.writes.6", "writes per claim"), b.of("ledger.bytes.6", "B")}}, "each write sends the whole segment"},
	}
	time := []row{
		{"claims and ends", []product{{of(perPartition, "claims/s"), b.of("ledger.time", "µs")}}, "decision/ledger, without the store's client"},
	}
	return []*table{
		{name: "ledger-memory", title: "Memory of a router that owns one of the 32 partitions, beside the above, with 1% of all requests non-idempotent.", unit: megabytes, rows: memory, budget: budgetMegabytes},
		{name: "ledger-time", title: "Processor time of that router, beside the above.", unit: corePercent, rows: time, budget: budgetCorePercent},
		{name: "ledger-messages", title: "Messages of that router to the store.", unit: kilobytes, rows: bytes, budget: budgetKilobytes},
	}
}

func storeTables(b *book) []*table {
	once := func(percent float64) float64 { return targetRequests * percent / 100 }
	day := []row{
		{"watches", []product{{of(watchers, "watchers"), of(1.0/watchTimeout, "calls/s")}}, "modules/rulespread, one call takes 2 s"},
		{"reads and new watches after a change", []product{{of(changesPerSecond, "changes/s"), of(watchers, "watchers"), of(2, "calls")}}, "modules/rulespread"},
		{"accepted changes", []product{{of(changesPerSecond, "changes/s"), of(callsPerChange, "calls")}}, "ruleadmin"},
		{"claims, 1% of all requests", []product{{of(once(1), "claims/s"), b.of("ledger.writes.6", "writes per claim")}}, "decision/ledger, group commit"},
		{"first reads of restarted processes", []product{{of(roughly(hostEvents, secondsPerDay), "starts/s"), of(1, "call")}}, "modules/rulespread"},
	}
	shares := []row{
		{"0.17% of all requests, 1 claim/s and partition", []product{{of(partitions, "claims/s"), b.of("ledger.writes.1", "writes per claim")}}, "group commit with few to share"},
		{"1%", []product{{of(once(1), "claims/s"), b.of("ledger.writes.6", "writes per claim")}}, "group commit"},
		{"5%", []product{{of(once(5), "claims/s"), b.of("ledger.writes.30", "writes per claim")}}, "the least interval of 150 ms bounds it"},
	}
	herd := []row{
		{"380 routers", []product{{of(targetRouters, "routers"), of(1.0/4, "of them per s")}}, "first reads spread over 4 s"},
		{"2,100 agents", []product{{of(targetEndpoints, "agents"), of(roughly(1, 30), "of them per s")}}, "first reads spread over 30 s"},
	}
	rules := []row{
		{"pause between two reads of a watcher", []product{{of(0.25, "s")}}, "ruleset.Config.MinReadInterval"},
		{"store: end of the watch, read", []product{{of(2, "calls"), of(0.01, "s")}}, "responds in milliseconds"},
		{"gossip", []product{{of(6, "hops to 2,480 by 4"), of(0.0015, "s")}}, "pushes; one availability zone to another"},
		{"a push that was lost", []product{{of(1, "probe period"), of(1, "s")}}, "probes and acks name the version"},
		{"fetch from a peer", []product{{of(0.25, "s")}}, "ruleset.Config.MaxFetchDelay"},
		{"pause between two checks", []product{{of(0.5, "s")}}, "ruleset.Config.MinCompileInterval"},
		{"check and pools", []product{
			{b.of("rules.lines", "lines"), b.of("rules.compile", "µs"), of(1e-6, "s/µs")},
			{b.of("rules.memberships", "endpoints in pools"), b.of("rules.pool_time", "µs"), of(1e-6, "s/µs")},
		}, "rules.Compile, modules/dispatch"},
	}
	return []*table{
		{name: "store", title: "Calls of the platform's store on an ordinary day.", unit: calls, rows: day, budget: budgetStoreCalls},
		{name: "store-shares", title: "Ledger writes alone, by share of non-idempotent requests.", unit: calls, rows: shares, budget: budgetStoreCalls, noTotal: true},
		{name: "store-herd", title: "All processes start at once: calls per second beside the ledger's.", unit: calls, rows: herd, budget: budgetStoreCalls},
		{name: "rules-time", title: "A rules change, sum of the longest waits.", unit: seconds, rows: rules, budget: budgetRulesSeconds},
	}
}

func dataPathTables(b *book) []*table {
	time := func(role string, requests, tokens float64) []row {
		return []row{
			{"requests", []product{{of(requests, "requests/s"), b.of("datapath."+role+".request", "µs")}}, "HTTP, placement or admission, gRPC, log"},
			{"tokens", []product{{of(tokens, "tokens/s"), b.of("datapath."+role+".token", "µs")}}, "one event per token, relayed at once"},
		}
	}
	fleet := []row{
		{"380 routers", []product{
			{of(targetRequests, "requests/s"), b.of("datapath.router.request", "µs")},
			{of(targetTokens, "tokens/s"), b.of("datapath.router.token", "µs")},
		}, "arbutus-router"},
		{"2,100 agents", []product{
			{of(targetRequests, "requests/s"), b.of("datapath.agent.request", "µs")},
			{of(targetTokens, "tokens/s"), b.of("datapath.agent.token", "µs")},
		}, "arbutus-agent"},
	}
	return []*table{
		{name: "datapath-router", title: "Processor time of a router for 50 requests and 11,320 tokens a second.", unit: corePercent, rows: time("router", routerRequests, routerTokens)},
		{name: "datapath-agent", title: "Processor time of an agent.", unit: corePercent, rows: time("agent", agentRequests, agentTokens)},
		{name: "datapath-fleet", title: "Processor time of the fleet.", unit: unit{"cores", 1e6}, rows: fleet},
		{name: "datapath-memory", title: "Memory for requests and streams, room for garbage included.", unit: megabytes, noTotal: true, rows: []row{
			{"router: open streams", []product{{of(routerOpen, "streams"), b.of("datapath.router.open", "B")}}, "callerapi, dispatch, gRPC"},
			{"agent: open streams", []product{{of(agentOpen, "streams"), b.of("datapath.agent.open", "B")}}, "runner, engine client"},
			{"agent: results kept for 60 s", []product{{of(agentKept, "results"), b.of("datapath.agent.done", "B")}}, "attempts, and the prompt kept by runner"},
		}},
		{name: "datapath-bytes", title: "Bytes to callers of one router.", unit: kilobytes, rows: []row{
			{"events", []product{{of(routerTokens, "tokens/s"), b.of("datapath.caller_bytes", "B")}}, "server-sent events in the OpenAI style"},
		}},
	}
}
