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
	callerDelayMS float64
	weights       rules.PlacementWeights
	// first is the deployment's own first measure.
	primary primaryMetric
	teams   []team
	// clients is the number of client or desk prefixes of a team.
	clientsPerTeam int
	// cacheBlocks is the size of an engine's cache.
	cacheBlocks int
	// rate is the steady load in requests per second.
	steadyRPS float64
}

type primaryMetric int

const (
	primaryHitRate primaryMetric = iota
	primaryTTFTP99
)

// team is a team and its part of the traffic.
type team struct {
	name            string
	trafficFraction float64
	share           float64
	// guidance is the length of the common guidance in blocks.
	teamPrefixBlocks int
}

// large reports whether the team is one of the few large ones.
func (t team) large() bool { return t.share > 1 }

// Latencies between a router and an agent, one way, in ms.
const (
	sameZoneDelayMS  = 0.25
	crossZoneDelayMS = 1.5
)

// firstTokenTarget is the target of the time to first token.
const firstTokenTarget = 650 * time.Millisecond

func deployments() []deployment {
	return []deployment{
		{
			name: "kaayal", model: "ledger-llm",
			zones:     []string{"kochi-a", "kochi-b", "tvm-a", "tvm-b"},
			endpoints: 18, routers: 8, callerDelayMS: 1,
			weights: rules.PlacementWeights{HitRate: 3, RecomputedTokens: 3, TailLatency: 1}, primary: primaryHitRate,
			teams:          newTeams("kaayal", 0.30, 0.22, 0.16),
			clientsPerTeam: 120, cacheBlocks: 4000, steadyRPS: 110,
		},
		{
			name: "picha-yetu", model: "editor-models",
			zones:     []string{"nairobi-a", "nairobi-b", "nairobi-c"},
			endpoints: 9, routers: 6, callerDelayMS: 3,
			weights: rules.PlacementWeights{HitRate: 1, RecomputedTokens: 1, TailLatency: 3}, primary: primaryTTFTP99,
			teams:          newTeams("picha", 0.34, 0.26),
			clientsPerTeam: 60, cacheBlocks: 4000, steadyRPS: 52,
		},
	}
}

// teams returns eight teams, the first ones large with the given parts.
func newTeams(namePrefix string, largeFractions ...float64) []team {
	const count = 8
	teams := make([]team, count)
	remaining := 1.0
	for i, fraction := range largeFractions {
		teams[i] = team{trafficFraction: fraction, share: 4}
		remaining -= fraction
	}
	for i := range teams {
		if i >= len(largeFractions) {
			teams[i] = team{trafficFraction: remaining / float64(count-len(largeFractions)), share: 1}
		}
		teams[i].name = fmt.Sprintf("%s-%d", namePrefix, i)
		teams[i].teamPrefixBlocks = 24 + (i*7)%25
	}
	return teams
}

// endpointName returns the name of endpoint i.
func (d *deployment) endpointName(i int) string { return fmt.Sprintf("%s-%02d", d.model, i) }

func (d *deployment) zoneOf(i int) string { return d.zones[i%len(d.zones)] }

// rulesText writes the rules; owners maps endpoints to halves and is empty
// without a split.
func (d *deployment) rulesText(weights rules.PlacementWeights, hostOwners map[int]string) string {
	var b strings.Builder
	for i, t := range d.teams {
		fmt.Fprintf(&b, "team %s token-sha256 %064x share %g # bench: team\n", t.name, i+1, t.share)
		fmt.Fprintf(&b, "allow %s model %s # bench: use\n", t.name, d.model)
	}
	for i := range d.endpoints {
		fmt.Fprintf(&b, "endpoint %s model %s host h-%02d zone %s # bench: rack\n", d.endpointName(i), d.model, i, d.zoneOf(i))
	}
	if len(hostOwners) > 0 {
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
			fmt.Fprintf(&b, "host h-%02d owner %s # bench: split\n", i, hostOwners[i])
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
	id          int
	team        int
	blockHashes []uint64
	// levels are the depths in blocks at which shared parts end.
	sharedPrefixBlocks []int
	namespaceHash      uint64
	promptTokens       int
	outputTokens       int
	// at is when the caller sent it.
	sentAt time.Duration

	routerID       int
	measured       bool
	attempts       int
	triedEndpoints []string
	refusedForCost []string
	// held is the number of tokens that an allowed endpoint held when the
	// current attempt was sent.
	bestCachedTokens int
	// resumed is true for the rest of a stream whose engine died.
	resumed  bool
	answered bool
}

// resume turns the request into the rest of its stream, which must start again
// elsewhere with a first-token target of its own.
func (req *request) resume(now time.Duration) {
	req.resumed, req.sentAt, req.attempts = true, now, 0
	req.triedEndpoints, req.refusedForCost = nil, nil
}

// generator draws requests. Arrivals are a Poisson process per team.
type generator struct {
	deployment *deployment
	rng        *rand.Rand
	// zipf is the cumulative popularity of client ranks.
	clientCDF       []float64
	namespaceHashes []uint64
	// shift rotates the popularity ranks of the clients.
	rankOffset int
	// hot is the part of all requests that use client 0 of their team.
	hotClientFraction float64
	// plain is true when requests carry no message boundaries.
	omitBoundaries bool
	nextID         int
}

// zipfExponent sets how unequal the popularity of clients is.
const zipfExponent = 0.9

func newGenerator(d *deployment, rng *rand.Rand) *generator {
	g := &generator{deployment: d, rng: rng}
	sum := 0.0
	for i := range d.clientsPerTeam {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		g.clientCDF = append(g.clientCDF, sum)
	}
	for i := range g.clientCDF {
		g.clientCDF[i] /= sum
	}
	for _, t := range d.teams {
		n := prefix.Namespace{Team: t.name, Model: d.model, WeightsVersion: "v1"}
		g.namespaceHashes = append(g.namespaceHashes, n.Hash())
	}
	return g
}

func (g *generator) drawClient() int {
	if g.hotClientFraction > 0 && g.rng.Float64() < g.hotClientFraction {
		return g.rankOffset % g.deployment.clientsPerTeam
	}
	rank := sort.SearchFloat64s(g.clientCDF, g.rng.Float64())
	return (rank + g.rankOffset) % g.deployment.clientsPerTeam
}

// draw returns the next request of a team.
func (g *generator) drawRequest(team int, sentAt time.Duration) *request {
	t := g.deployment.teams[team]
	client := g.drawClient()
	clientBlocks := 16 + int(mixHash(g.namespaceHashes[team], uint64(client))%41)
	uniqueBlocks := 3 + g.rng.IntN(10)
	req := &request{id: g.nextID, team: team, sentAt: sentAt, namespaceHash: g.namespaceHashes[team], outputTokens: 60 + g.rng.IntN(281)}
	g.nextID++
	req.blockHashes = make([]uint64, 0, t.teamPrefixBlocks+clientBlocks+uniqueBlocks)
	appendBlocks := func(segmentID uint64, blocks int) {
		hash := g.namespaceHashes[team]
		if n := len(req.blockHashes); n > 0 {
			hash = req.blockHashes[n-1]
		}
		for i := range blocks {
			hash = mixHash(hash, segmentID*1024+uint64(i))
			req.blockHashes = append(req.blockHashes, hash)
		}
	}
	appendBlocks(1, t.teamPrefixBlocks)
	appendBlocks(uint64(client)+2, clientBlocks)
	appendBlocks(uint64(req.id)+1<<32, uniqueBlocks)
	if !g.omitBoundaries {
		req.sharedPrefixBlocks = []int{t.teamPrefixBlocks, t.teamPrefixBlocks + clientBlocks}
	}
	req.promptTokens = len(req.blockHashes)*prefix.TokensPerBlock + g.rng.IntN(prefix.TokensPerBlock)
	return req
}

// scramble chains hashes the way prefix.AppendBlockHashes does for text.
func mixHash(a, b uint64) uint64 {
	x := a ^ (b+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
