package routing

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/placement"
)

// choice is the endpoint that a policy picked for a request. The other fields are
// sent with the attempt; see placement.Candidate.
type choice struct {
	// endpoint is -1 when there is no endpoint to try.
	endpoint          int
	mustQueue         bool
	alternativeCostMS float64
	prefillWeight     float64
}

var noEndpoint = choice{endpoint: -1}

// policy selects endpoints for the requests of one router.
type policy interface {
	pick(req *request) choice
	observeDecision(endpoint int, req *request, decision admission.Decision)
	observeLoad(endpoint int, l placement.Load)
	observeFailure(endpoint int)
	// refresh is called after the router's live endpoints or rules have changed.
	refresh()
}

// policyFactory creates a policy for each router.
type policyFactory struct {
	name      string
	newPolicy func(r *router, rng *rand.Rand) policy
}

// Policies in the order of the report. placementPolicy is under test; oraclePolicy is
// the reference.
var (
	randomPolicy = policyFactory{"random", func(r *router, rng *rand.Rand) policy {
		return &baseline{router: r, rng: rng, selectEndpoint: selectRandom}
	}}
	roundRobinPolicy = policyFactory{"round-robin", func(r *router, rng *rand.Rand) policy {
		return &baseline{router: r, rng: rng, selectEndpoint: selectRoundRobin, roundRobinIndex: rng.IntN(r.sim.deployment.endpoints)}
	}}
	leastLoadedPolicy = policyFactory{"least-loaded", func(r *router, rng *rand.Rand) policy {
		return &baseline{router: r, rng: rng, selectEndpoint: selectLeastLoaded}
	}}
	prefixHashPolicy = policyFactory{"prefix-hash", func(r *router, rng *rand.Rand) policy {
		return &baseline{router: r, rng: rng, selectEndpoint: selectByPrefixHash}
	}}
	placementPolicy = policyFactory{"ours", newPlacerPolicy}
)

// oracleCostModel is the cost function that an oracle minimizes.
type oracleCostModel struct {
	prefillWeight float64
	// maxCostMS is the cost above which a request is refused, so that cheaper requests
	// can be served; 0 means no limit. With a limit, the weight of prefill also
	// grows with the mean wait, as in package placement.
	maxCostMS float64
}

func oraclePolicy(model oracleCostModel) policyFactory {
	return policyFactory{"oracle", func(r *router, _ *rand.Rand) policy { return &oracle{router: r, costModel: model} }}
}

// baseline is a policy that does not know the contents of caches. After a refusal it
// selects among the endpoints that were not tried yet.
type baseline struct {
	router          *router
	rng             *rand.Rand
	selectEndpoint  func(b *baseline, req *request, candidates []int) int
	roundRobinIndex int
	loads           [64]placement.Load
}

func (b *baseline) pick(req *request) choice {
	var candidates []int
	for i := range b.router.sim.deployment.endpoints {
		if b.router.usable(req.team, i) && !slices.Contains(req.triedEndpoints, b.router.sim.deployment.endpointName(i)) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return noEndpoint
	}
	return choice{endpoint: b.selectEndpoint(b, req, candidates), mustQueue: true}
}

func (b *baseline) observeDecision(int, *request, admission.Decision) {}
func (b *baseline) observeLoad(i int, l placement.Load)               { b.loads[i] = l }
func (b *baseline) observeFailure(int)                                {}
func (b *baseline) refresh()                                          {}

func selectRandom(b *baseline, _ *request, candidates []int) int {
	return candidates[b.rng.IntN(len(candidates))]
}

func selectRoundRobin(b *baseline, _ *request, candidates []int) int {
	b.roundRobinIndex++
	return candidates[b.roundRobinIndex%len(candidates)]
}

func selectLeastLoaded(b *baseline, _ *request, candidates []int) int {
	b.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.MinFunc(candidates, func(x, y int) int {
		return b.loads[x].Running + b.loads[x].Waiting - b.loads[y].Running - b.loads[y].Waiting
	})
}

// prefixHashBlocks is the number of blocks that the prefix-hash policy hashes. In most
// requests the last of them belongs to the client's prefix.
const prefixHashBlocks = 52

// selectByPrefixHash applies rendezvous hashing to a prefix of fixed length.
func selectByPrefixHash(_ *baseline, req *request, candidates []int) int {
	prefixHash := req.blockHashes[min(prefixHashBlocks, len(req.blockHashes))-1]
	return slices.MaxFunc(candidates, func(x, y int) int {
		a, b := mixHash(prefixHash, uint64(x)), mixHash(prefixHash, uint64(y))
		if a < b {
			return -1
		}
		return 1
	})
}

// oracle picks the endpoint of least cost. Unlike a router, it knows the current state
// of every agent.
type oracle struct {
	router    *router
	costModel oracleCostModel
}

func (o *oracle) pick(req *request) choice {
	s := o.router.sim
	remaining := firstTokenTarget - (s.now - req.sentAt) - msToDuration(s.deployment.callerDelayMS)
	model := placement.CostModel{PrefillWeight: o.costModel.prefillWeight}
	if o.costModel.maxCostMS > 0 {
		model = model.WithCongestion(s.meanQueueWaitMS())
	}
	best, bestCost := -1, 0.0
	for i, e := range s.engines {
		if !e.up || s.deadEndpoints&(1<<i) != 0 || !s.allowed(req.team, i) || slices.Contains(req.triedEndpoints, s.deployment.endpointName(i)) {
			continue
		}
		delay := o.router.networkDelay(i)
		attempt := admission.Attempt{Team: s.deployment.teams[req.team].name, BlockHashes: req.blockHashes, PromptTokens: req.promptTokens}
		estimate := s.agents[i].controller.Estimate(s.now+delay, &attempt)
		waitMS := float64(estimate.Wait) / float64(time.Millisecond)
		cost := model.Cost(waitMS, estimate.PrefillMS, 2*float64(delay)/float64(time.Millisecond))
		if estimate.Wait+msToDuration(estimate.PrefillMS)+2*delay > remaining {
			// The endpoint misses the first-token target, so it is picked only if all
			// others miss the target too.
			cost += 1e6
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if o.costModel.maxCostMS > 0 && bestCost > o.costModel.maxCostMS {
		return noEndpoint
	}
	return choice{endpoint: best, mustQueue: true}
}

// meanQueueWaitMS returns the current mean queue wait of the live endpoints.
func (s *simulation) meanQueueWaitMS() float64 {
	sum, n := 0.0, 0.0
	for i, e := range s.engines {
		if e.up && s.deadEndpoints&(1<<i) == 0 {
			waitMS, _, _ := s.agents[i].controller.Load(s.now)
			sum += waitMS
			n++
		}
	}
	return sum / max(n, 1)
}

func (o *oracle) observeDecision(int, *request, admission.Decision) {}
func (o *oracle) observeLoad(int, placement.Load)                   {}
func (o *oracle) observeFailure(int)                                {}
func (o *oracle) refresh()                                          {}

// placerPolicy is the policy under test: the router's placement.Placer.
type placerPolicy struct {
	router *router
	placer *placement.Placer
	// candidates is the reused result buffer of Rank.
	candidates []placement.Candidate
	// teamPools holds the pool name of each team.
	teamPools []string
}

func newPlacerPolicy(r *router, rng *rand.Rand) policy {
	p := &placerPolicy{router: r, placer: placement.New(r.sim.cfg.placement, rng)}
	return p
}

func (p *placerPolicy) refresh() {
	d := p.router.sim.deployment
	p.placer.SetPlacementWeights(p.router.view.PlacementWeights)
	p.teamPools = p.teamPools[:0]
	for team := range d.teams {
		var endpoints []placement.Endpoint
		endpointSet := uint64(0)
		for e := range d.endpoints {
			if p.router.usable(team, e) {
				endpoints = append(endpoints, placement.Endpoint{Name: d.endpointName(e), Zone: d.zoneOf(e)})
				endpointSet |= 1 << e
			}
		}
		// Teams that may use the same endpoints share a pool, named after the set.
		poolName := strconv.FormatUint(endpointSet, 16)
		if !slices.Contains(p.teamPools, poolName) {
			p.placer.SetPool(poolName, endpoints)
		}
		p.teamPools = append(p.teamPools, poolName)
	}
}

func (p *placerPolicy) placementRequest(req *request) placement.Request {
	return placement.Request{
		Pool: p.teamPools[req.team], NamespaceHash: req.namespaceHash, BlockHashes: req.blockHashes, PromptTokens: req.promptTokens,
		SharedPrefixBlocks: req.sharedPrefixBlocks, Zone: p.router.zone, Exclude: req.triedEndpoints, RefusedForCost: req.refusedForCost,
	}
}

func (p *placerPolicy) pick(req *request) choice {
	r := p.placementRequest(req)
	p.candidates = p.placer.Rank(p.router.sim.now, &r, p.candidates[:0])
	if len(p.candidates) == 0 {
		return noEndpoint
	}
	c := p.candidates[0]
	// Removes the endpoint from refusedForCost, so that Rank does not return it a third
	// time.
	req.refusedForCost = slices.DeleteFunc(req.refusedForCost, func(name string) bool { return name == c.Endpoint })
	for i := range p.router.sim.deployment.endpoints {
		if p.router.sim.deployment.endpointName(i) == c.Endpoint {
			return choice{i, c.MustQueue, c.AlternativeCostMS, c.PrefillWeight}
		}
	}
	return noEndpoint
}

func (p *placerPolicy) observeDecision(endpoint int, req *request, decision admission.Decision) {
	r := p.placementRequest(req)
	name := p.router.sim.deployment.endpointName(endpoint)
	switch {
	case decision.Admitted:
		p.placer.ObserveAdmitted(p.router.sim.now, name, &r, decision.CachedTokens)
	case decision.Reason == admission.ReasonCheaperElsewhere || decision.Reason == admission.ReasonDeadline || decision.Reason == admission.ReasonQueueFull:
		p.placer.ObserveRefused(p.router.sim.now, name, &r, decision.CachedTokens, float64(decision.ExpectedWait)/float64(time.Millisecond))
	default:
		p.placer.ObserveFailure(p.router.sim.now, name)
	}
}

func (p *placerPolicy) observeLoad(endpoint int, l placement.Load) {
	p.placer.ObserveLoad(p.router.sim.now, p.router.sim.deployment.endpointName(endpoint), l)
}

func (p *placerPolicy) observeFailure(endpoint int) {
	p.placer.ObserveFailure(p.router.sim.now, p.router.sim.deployment.endpointName(endpoint))
}
