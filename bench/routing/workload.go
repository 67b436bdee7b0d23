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

// deployment describes the size and the traffic of a deployment.
type deployment struct {
	name      string
	model     string
	zones     []string
	endpoints int
	routers   int
	// callerDelayMS is the one-way latency between callers and routers.
	callerDelayMS    float64
	placementWeights rules.PlacementWeights
	// primary is the metric that matters most to the deployment.
	primary primaryMetric
	teams   []team
	// clientsPerTeam is the number of clients of a team. Each client has its own prompt
	// prefix, which follows the prefix of the team.
	clientsPerTeam int
	// cacheBlocks is the cache size of an engine in blocks.
	cacheBlocks int
	// steadyRPS is the normal load in requests per second.
	steadyRPS float64
}

// primaryMetric is the metric by which the results of a deployment are ranked.
type primaryMetric int

const (
	primaryHitRate primaryMetric = iota
	primaryTTFTP99
)

// team describes a team and its traffic.
type team struct {
	name            string
	trafficFraction float64
	// share is the team's weight in fair sharing.
	share float64
	// teamPrefixBlocks is the length of the prefix that all prompts of the team share.
	teamPrefixBlocks int
}

// large reports whether the team is one of the large teams of newTeams.
func (t team) large() bool { return t.share > 1 }

// One-way latencies between a router and an agent.
const (
	sameZoneDelayMS  = 0.25
	crossZoneDelayMS = 1.5
)

// firstTokenTarget is the target for the time to first token.
const firstTokenTarget = 650 * time.Millisecond

func deployments() []deployment {
	return []deployment{
		{
			name: "kaayal", model: "ledger-llm",
			zones:     []string{"kochi-a", "kochi-b", "tvm-a", "tvm-b"},
			endpoints: 18, routers: 8, callerDelayMS: 1,
			placementWeights: rules.PlacementWeights{HitRate: 3, RecomputedTokens: 3, TailLatency: 1}, primary: primaryHitRate,
			teams:          newTeams("kaayal", 0.30, 0.22, 0.16),
			clientsPerTeam: 120, cacheBlocks: 4000, steadyRPS: 110,
		},
		{
			name: "picha-yetu", model: "editor-models",
			zones:     []string{"nairobi-a", "nairobi-b", "nairobi-c"},
			endpoints: 9, routers: 6, callerDelayMS: 3,
			placementWeights: rules.PlacementWeights{HitRate: 1, RecomputedTokens: 1, TailLatency: 3}, primary: primaryTTFTP99,
			teams:          newTeams("picha", 0.34, 0.26),
			clientsPerTeam: 60, cacheBlocks: 4000, steadyRPS: 52,
		},
	}
}

// newTeams returns eight teams: large teams with the given fractions of the traffic,
// and small teams that divide the rest equally.
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

func (d *deployment) endpointName(i int) string { return fmt.Sprintf("%s-%02d", d.model, i) }

func (d *deployment) zoneOf(i int) string { return d.zones[i%len(d.zones)] }

// rulesText returns the text of the rules. hostOwners maps the number of a host, which
// is also the number of its endpoint, to the half that owns the host. It is empty if the
// deployment is not split.
func (d *deployment) rulesText(placementWeights rules.PlacementWeights, hostOwners map[int]string) string {
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
	fmt.Fprintf(&b, "weights hit %g recompute %g tail %g # bench: measures\n", placementWeights.HitRate, placementWeights.RecomputedTokens, placementWeights.TailLatency)
	return b.String()
}

// halfOf returns the half that a team belongs to.
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
	// sharedPrefixBlocks, triedEndpoints and refusedForCost become the fields
	// SharedPrefixBlocks, Exclude and RefusedForCost of placement.Request.
	sharedPrefixBlocks []int
	namespaceHash      uint64
	promptTokens       int
	outputTokens       int
	// sentAt is the time at which the caller sent the request or, after resume, at
	// which it was resumed.
	sentAt time.Duration

	routerID int
	// measured is true for requests that arrive after the warm-up.
	measured       bool
	attempts       int
	triedEndpoints []string
	refusedForCost []string
	// bestCachedTokens is the length of the longest prefix that an available
	// endpoint had cached when the latest attempt was sent.
	bestCachedTokens int
	// resumed is true if the engine crashed after the first token, so that the
	// attempt continues a stream.
	resumed bool
	// answered is true after the first token or, if measured, a refusal.
	answered bool
}

// resume prepares a request to continue its stream at another endpoint, with a new
// first-token target.
func (req *request) resume(now time.Duration) {
	req.resumed, req.sentAt, req.attempts = true, now, 0
	req.triedEndpoints, req.refusedForCost = nil, nil
}

// generator generates random requests. The arrivals of each team are a Poisson
// process.
type generator struct {
	deployment *deployment
	rng        *rand.Rand
	// clientCDF is the cumulative distribution of requests over the popularity ranks
	// of clients.
	clientCDF []float64
	// namespaceHashes holds the hash of each team's cache namespace.
	namespaceHashes []uint64
	// rankOffset is added to a popularity rank to get the client's number.
	rankOffset int
	// hotClientFraction is the fraction of requests that come from the hot client of
	// their team, the one with number rankOffset. The rest follow clientCDF.
	hotClientFraction float64
	// omitBoundaries leaves out the message boundaries of prompts.
	omitBoundaries bool
	nextID         int
}

// zipfExponent is the exponent of the Zipf distribution of requests over clients.
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

// drawRequest returns a new request of a team. Its prompt consists of the team's
// prefix, the client's prefix and a unique part.
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

// mixHash combines two numbers into a hash. It chains block hashes like
// prefix.AppendBlockHashes, but without text.
func mixHash(a, b uint64) uint64 {
	x := a ^ (b+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
