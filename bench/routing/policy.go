package routing

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/placement"
)

// choice is the endpoint that a policy picks, -1 for none.
type choice struct {
	endpoint      int
	last          bool
	alternativeMS float64
	prefillWeight float64
}

var none = choice{endpoint: -1}

// policy is the placement of one router.
type policy interface {
	pick(q *request) choice
	answer(endpoint int, q *request, v admission.Decision)
	load(endpoint int, l placement.Load)
	failed(endpoint int)
	// members is called when the live endpoints or the rules changed.
	members()
}

// policyKind names a policy.
type policyKind struct {
	name string
	make func(r *router, rng *rand.Rand) policy
}

// Policies in the order of the report; oracle is the reference.
var (
	randomPolicy = policyKind{"random", func(r *router, rng *rand.Rand) policy {
		return &baseline{r: r, rng: rng, order: orderRandom}
	}}
	roundRobinPolicy = policyKind{"round-robin", func(r *router, rng *rand.Rand) policy {
		return &baseline{r: r, rng: rng, order: orderRoundRobin, next: rng.IntN(r.s.dep.endpoints)}
	}}
	leastLoadedPolicy = policyKind{"least-loaded", func(r *router, rng *rand.Rand) policy {
		return &baseline{r: r, rng: rng, order: orderLeastLoaded}
	}}
	prefixHashPolicy = policyKind{"prefix-hash", func(r *router, rng *rand.Rand) policy {
		return &baseline{r: r, rng: rng, order: orderPrefixHash}
	}}
	oursPolicy = policyKind{"ours", newOurs}
)

// oracleModel is the cost that an oracle minimises.
type oracleModel struct {
	prefill float64
	// limit is the cost in ms above which a request is given up, so that cheaper
	// ones can be served; 0 means none. It also makes prefill dearer when
	// endpoints are busy, as ours does.
	limit float64
}

func oraclePolicy(model oracleModel) policyKind {
	return policyKind{"oracle", func(r *router, _ *rand.Rand) policy { return &oracle{r: r, model: model} }}
}

// baseline is a policy without knowledge of caches. An endpoint that refuses is
// followed by the next one of the same order.
type baseline struct {
	r     *router
	rng   *rand.Rand
	order func(b *baseline, q *request, options []int) int
	next  int
	loads [64]placement.Load
}

func (b *baseline) pick(q *request) choice {
	var options []int
	for i := range b.r.s.dep.endpoints {
		if b.r.usable(q.team, i) && !slices.Contains(q.tried, b.r.s.dep.endpointName(i)) {
			options = append(options, i)
		}
	}
	if len(options) == 0 {
		return none
	}
	return choice{endpoint: b.order(b, q, options), last: true}
}

func (b *baseline) answer(int, *request, admission.Decision) {}
func (b *baseline) load(i int, l placement.Load)             { b.loads[i] = l }
func (b *baseline) failed(int)                               {}
func (b *baseline) members()                                 {}

func orderRandom(b *baseline, _ *request, options []int) int {
	return options[b.rng.IntN(len(options))]
}

func orderRoundRobin(b *baseline, _ *request, options []int) int {
	b.next++
	return options[b.next%len(options)]
}

func orderLeastLoaded(b *baseline, _ *request, options []int) int {
	b.rng.Shuffle(len(options), func(i, j int) { options[i], options[j] = options[j], options[i] })
	return slices.MinFunc(options, func(x, y int) int {
		return b.loads[x].Running + b.loads[x].Waiting - b.loads[y].Running - b.loads[y].Waiting
	})
}

// prefixHashBlocks is the length of the prefix that the plain hash covers. It
// ends within the client layer of most requests.
const prefixHashBlocks = 52

// orderPrefixHash is rendezvous hashing on a fixed length of the prompt.
func orderPrefixHash(_ *baseline, q *request, options []int) int {
	key := q.hashes[min(prefixHashBlocks, len(q.hashes))-1]
	return slices.MaxFunc(options, func(x, y int) int {
		a, b := scramble(key, uint64(x)), scramble(key, uint64(y))
		if a < b {
			return -1
		}
		return 1
	})
}

// oracle knows every cache and queue as they are now and takes the endpoint of
// least cost.
type oracle struct {
	r     *router
	model oracleModel
}

func (o *oracle) pick(q *request) choice {
	s := o.r.s
	left := firstTokenTarget - (s.now - q.at) - millis(s.dep.callerMS)
	model := placement.CostModel{PrefillWeight: o.model.prefill}
	if o.model.limit > 0 {
		model = model.WithCongestion(s.meanWaitMS())
	}
	best, bestCost := -1, 0.0
	for i, e := range s.engines {
		if !e.up || s.dead&(1<<i) != 0 || !s.allowed(q.team, i) || slices.Contains(q.tried, s.dep.endpointName(i)) {
			continue
		}
		net := o.r.delay(i)
		a := admission.Attempt{Team: s.dep.teams[q.team].name, BlockHashes: q.hashes, PromptTokens: q.prompt}
		est := s.agents[i].m.Estimate(s.now+net, &a)
		wait := float64(est.Wait) / float64(time.Millisecond)
		cost := model.Cost(wait, est.PrefillMS, 2*float64(net)/float64(time.Millisecond))
		if est.Wait+millis(est.PrefillMS)+2*net > left {
			// Can't be in time: only when nothing else can.
			cost += 1e6
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if o.model.limit > 0 && bestCost > o.model.limit {
		return none
	}
	return choice{endpoint: best, last: true}
}

// meanWaitMS is the mean wait of all live endpoints now.
func (s *sim) meanWaitMS() float64 {
	sum, n := 0.0, 0.0
	for i, e := range s.engines {
		if e.up && s.dead&(1<<i) == 0 {
			wait, _, _ := s.agents[i].m.Load(s.now)
			sum += wait
			n++
		}
	}
	return sum / max(n, 1)
}

func (o *oracle) answer(int, *request, admission.Decision) {}
func (o *oracle) load(int, placement.Load)                 {}
func (o *oracle) failed(int)                               {}
func (o *oracle) members()                                 {}

// ours is the product's placement.
type ours struct {
	r    *router
	p    *placement.Placer
	buf  []placement.Candidate
	pool []string
}

func newOurs(r *router, rng *rand.Rand) policy {
	o := &ours{r: r, p: placement.New(r.s.c.placement, rng)}
	return o
}

func (o *ours) members() {
	d := o.r.s.dep
	o.p.SetGoalWeights(o.r.view.PlacementWeights)
	o.pool = o.pool[:0]
	for i := range d.teams {
		var list []placement.Endpoint
		set := uint64(0)
		for e := range d.endpoints {
			if o.r.usable(i, e) {
				list = append(list, placement.Endpoint{Name: d.endpointName(e), Zone: d.zoneOf(e)})
				set |= 1 << e
			}
		}
		// Teams that may use the same endpoints share a pool.
		name := strconv.FormatUint(set, 16)
		if !slices.Contains(o.pool, name) {
			o.p.SetPool(name, list)
		}
		o.pool = append(o.pool, name)
	}
}

func (o *ours) describe(q *request) placement.Request {
	return placement.Request{
		Pool: o.pool[q.team], NamespaceHash: q.seed, BlockHashes: q.hashes, PromptTokens: q.prompt,
		SharedPrefixBlocks: q.levels, Zone: o.r.zone, Exclude: q.tried, RefusedForCost: q.reoffer,
	}
}

func (o *ours) pick(q *request) choice {
	r := o.describe(q)
	o.buf = o.p.Rank(o.r.s.now, &r, o.buf[:0])
	if len(o.buf) == 0 {
		return none
	}
	c := o.buf[0]
	// A second offer to an endpoint leaves its name in reoffer no longer.
	q.reoffer = slices.DeleteFunc(q.reoffer, func(name string) bool { return name == c.Endpoint })
	for i := range o.r.s.dep.endpoints {
		if o.r.s.dep.endpointName(i) == c.Endpoint {
			return choice{i, c.MustQueue, c.AlternativeCostMS, c.PrefillWeight}
		}
	}
	return none
}

func (o *ours) answer(endpoint int, q *request, v admission.Decision) {
	r := o.describe(q)
	name := o.r.s.dep.endpointName(endpoint)
	switch {
	case v.Admitted:
		o.p.ObserveAdmitted(o.r.s.now, name, &r, v.CachedTokens)
	case v.Reason == admission.ReasonCheaperElsewhere || v.Reason == admission.ReasonDeadline || v.Reason == admission.ReasonQueueFull:
		o.p.ObserveRefused(o.r.s.now, name, &r, v.CachedTokens, float64(v.ExpectedWait)/float64(time.Millisecond))
	default:
		o.p.ObserveFailure(o.r.s.now, name)
	}
}

func (o *ours) load(endpoint int, l placement.Load) {
	o.p.ObserveLoad(o.r.s.now, o.r.s.dep.endpointName(endpoint), l)
}

func (o *ours) failed(endpoint int) {
	o.p.ObserveFailure(o.r.s.now, o.r.s.dep.endpointName(endpoint))
}
