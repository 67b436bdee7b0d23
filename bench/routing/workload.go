package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/rules"
)

// deployment is the size and the traffic of one deployment.
type deployment struct {
	name      string
	model     string
	zones     []string
	endpoints int
	routers   int
	// callerMS is the one-way latency to callers in ms.
	callerMS float64
	weights  rules.PlacementWeights
	// first is the deployment's own first measure.
	first measure
	teams []team
	// clients is the number of client or desk prefixes of a team.
	clients int
	// cacheBlocks is the size of an engine's cache.
	cacheBlocks int
	// rate is the steady load in requests per second.
	rate float64
}

type measure int

const (
	measureHit measure = iota
	measureTail
)

// team is a team and its part of the traffic.
type team struct {
	name  string
	part  float64
	share float64
	// guidance is the length of the common guidance in blocks.
	guidance int
}

// large reports whether the team is one of the few large ones.
func (t team) large() bool { return t.share > 1 }

// Latencies between a router and an agent, one way, in ms.
const (
	nearMS = 0.25
	farMS  = 1.5
)

// firstTokenTarget is the target of the time to first token.
const firstTokenTarget = 650 * time.Millisecond

func deployments() []deployment {
	return []deployment{
		{
			name: "kaayal", model: "ledger-llm",
			zones:     []string{"kochi-a", "kochi-b", "tvm-a", "tvm-b"},
			endpoints: 18, routers: 8, callerMS: 1,
			weights: rules.PlacementWeights{HitRate: 3, RecomputedTokens: 3, TailLatency: 1}, first: measureHit,
			teams:   teams("kaayal", 0.30, 0.22, 0.16),
			clients: 120, cacheBlocks: 4000, rate: 110,
		},
		{
			name: "picha-yetu", model: "editor-models",
			zones:     []string{"nairobi-a", "nairobi-b", "nairobi-c"},
			endpoints: 9, routers: 6, callerMS: 3,
			weights: rules.PlacementWeights{HitRate: 1, RecomputedTokens: 1, TailLatency: 3}, first: measureTail,
			teams:   teams("picha", 0.34, 0.26),
			clients: 60, cacheBlocks: 4000, rate: 52,
		},
	}
}

// teams returns eight teams, the first ones large with the given parts.
func teams(prefix string, large ...float64) []team {
	const count = 8
	list := make([]team, count)
	rest := 1.0
	for i, part := range large {
		list[i] = team{part: part, share: 4}
		rest -= part
	}
	for i := range list {
		if i >= len(large) {
			list[i] = team{part: rest / float64(count-len(large)), share: 1}
		}
		list[i].name = fmt.Sprintf("%s-%d", prefix, i)
		list[i].guidance = 24 + (i*7)%25
	}
	return list
}

// endpointName returns the name of endpoint i.
func (d *deployment) endpointName(i int) string { return fmt.Sprintf("%s-%02d", d.model, i) }

func (d *deployment) zoneOf(i int) string { return d.zones[i%len(d.zones)] }

// rulesText writes the rules; owners maps endpoints to halves and is empty
// without a split.
func (d *deployment) rulesText(weights rules.PlacementWeights, owners map[int]string) string {
	var b strings.Builder
	for i, t := range d.teams {
		fmt.Fprintf(&b, "team %s token-sha256 %064x share %g # bench: team\n", t.name, i+1, t.share)
		fmt.Fprintf(&b, "allow %s model %s # bench: use\n", t.name, d.model)
	}
	for i := range d.endpoints {
		fmt.Fprintf(&b, "endpoint %s model %s host h-%02d zone %s # bench: rack\n", d.endpointName(i), d.model, i, d.zoneOf(i))
	}
	if len(owners) > 0 {
		fmt.Fprintf(&b, "half north teams")
		for i, t := range d.teams {
			if halfOf(i) == "north" {
				fmt.Fprintf(&b, " %s", t.name)
			}
		}
		fmt.Fprintf(&b, " # bench: split\nhalf south teams")
		for i, t := range d.teams {
			if halfOf(i) == "south" {
				fmt.Fprintf(&b, " %s", t.name)
			}
		}
		fmt.Fprintf(&b, " # bench: split\n")
		for i := range d.endpoints {
			fmt.Fprintf(&b, "host h-%02d owner %s # bench: split\n", i, owners[i])
		}
	}
	fmt.Fprintf(&b, "weights hit %g recompute %g tail %g # bench: measures\n", weights.HitRate, weights.RecomputedTokens, weights.TailLatency)
	return b.String()
}

// halfOf puts every other team into the south.
func halfOf(team int) string {
	if team%2 == 1 {
		return "south"
	}
	return "north"
}

// request is one request of the workload.
type request struct {
	id     int
	team   int
	hashes []uint64
	// levels are the depths in blocks at which shared parts end.
	levels []int
	seed   uint64
	prompt int
	output int
	// at is when the caller sent it.
	at time.Duration

	router   int
	measured bool
	tries    int
	tried    []string
	reoffer  []string
	// held is the number of tokens that an allowed endpoint held when the
	// current attempt was sent.
	held int
	// resumed is true for the rest of a stream whose engine died.
	resumed bool
	done    bool
}

// resume turns the request into the rest of its stream, which must start again
// elsewhere with a first-token target of its own.
func (q *request) resume(now time.Duration) {
	q.resumed, q.at, q.tries = true, now, 0
	q.tried, q.reoffer = nil, nil
}

// generator draws requests. Arrivals are a Poisson process per team.
type generator struct {
	dep *deployment
	rng *rand.Rand
	// zipf is the cumulative popularity of client ranks.
	zipf  []float64
	seeds []uint64
	// shift rotates the popularity ranks of the clients.
	shift int
	// hot is the part of all requests that use client 0 of their team.
	hot float64
	// plain is true when requests carry no message boundaries.
	plain bool
	next  int
}

// zipfExponent sets how unequal the popularity of clients is.
const zipfExponent = 0.9

func newGenerator(d *deployment, rng *rand.Rand) *generator {
	g := &generator{dep: d, rng: rng}
	sum := 0.0
	for i := range d.clients {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		g.zipf = append(g.zipf, sum)
	}
	for i := range g.zipf {
		g.zipf[i] /= sum
	}
	for _, t := range d.teams {
		n := prefix.Namespace{Team: t.name, Model: d.model, WeightsVersion: "v1"}
		g.seeds = append(g.seeds, n.Hash())
	}
	return g
}

func (g *generator) client() int {
	if g.hot > 0 && g.rng.Float64() < g.hot {
		return g.shift % g.dep.clients
	}
	rank := sort.SearchFloat64s(g.zipf, g.rng.Float64())
	return (rank + g.shift) % g.dep.clients
}

// draw returns the next request of a team.
func (g *generator) draw(team int, at time.Duration) *request {
	t := g.dep.teams[team]
	client := g.client()
	layer := 16 + int(scramble(g.seeds[team], uint64(client))%41)
	own := 3 + g.rng.IntN(10)
	q := &request{id: g.next, team: team, at: at, seed: g.seeds[team], output: 60 + g.rng.IntN(281)}
	g.next++
	q.hashes = make([]uint64, 0, t.guidance+layer+own)
	chain := func(id uint64, blocks int) {
		last := g.seeds[team]
		if n := len(q.hashes); n > 0 {
			last = q.hashes[n-1]
		}
		for i := range blocks {
			last = scramble(last, id*1024+uint64(i))
			q.hashes = append(q.hashes, last)
		}
	}
	chain(1, t.guidance)
	chain(uint64(client)+2, layer)
	chain(uint64(q.id)+1<<32, own)
	if !g.plain {
		q.levels = []int{t.guidance, t.guidance + layer}
	}
	q.prompt = len(q.hashes)*prefix.TokensPerBlock + g.rng.IntN(prefix.TokensPerBlock)
	return q
}

// scramble chains hashes the way prefix.AppendBlockHashes does for text.
func scramble(a, b uint64) uint64 {
	x := a ^ (b+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
