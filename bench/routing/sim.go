package routing

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/budget"
	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/rules"
)

// Phases of a run. Requests that are sent during the warm-up are not measured. Most
// faults occur at faultAt.
const (
	warmUp          = 15 * time.Second
	faultAt         = 20 * time.Second
	measurementTime = 30 * time.Second
	measurementEnd  = warmUp + measurementTime
)

// Parameters of routers, agents and hosts.
const (
	// deadHostTimeout is the time after which a router gives up on a host that does
	// not respond.
	deadHostTimeout = 200 * time.Millisecond
	// maxAdmissionAttempts is the maximum number of attempts of a request.
	maxAdmissionAttempts = 8
	// snapshotDelay is the time to read the list of cached blocks from an engine.
	snapshotDelay = 50 * time.Millisecond
	// weightsLoadTime is the time to load model weights after a restart.
	weightsLoadTime = 900 * time.Millisecond
)

// scheduledCall is a function call at a virtual time. Calls at the same time run in
// the order of sequence.
type scheduledCall struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type callQueue []scheduledCall

func (h callQueue) Len() int { return len(h) }
func (h callQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h callQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *callQueue) Push(x any)   { *h = append(*h, x.(scheduledCall)) }
func (h *callQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = scheduledCall{}
	*h = old[:len(old)-1]
	return last
}

// simulation is a discrete-event simulation of one case.
type simulation struct {
	deployment       *deployment
	cfg              simulationConfig
	rng              *rand.Rand
	generator        *generator
	now              time.Duration
	lastCallSequence uint64
	calls            callQueue
	engines          []*engine
	agents           []*agent
	routers          []*router
	// cachingEngines maps a block hash to the bit set of the engines that have cached it.
	cachingEngines map[uint64]uint64
	// deadEndpoints is the bit set of the endpoints whose hosts have failed.
	deadEndpoints uint64
	// view holds the newest rules; routers and agents may still have older versions.
	view    *rules.View
	teamRPS []float64
	metrics metrics
	// onAdmitted, if set, is called for each admitted attempt.
	onAdmitted func(team, endpoint int)
}

func (s *simulation) scheduleAfter(d time.Duration, run func()) {
	s.lastCallSequence++
	heap.Push(&s.calls, scheduledCall{s.now + d, s.lastCallSequence, run})
}

func (s *simulation) scheduleAt(t time.Duration, run func()) { s.scheduleAfter(t-s.now, run) }

func (s *simulation) removeCachingEngine(block uint64, engine int) {
	if left := s.cachingEngines[block] &^ (1 << engine); left != 0 {
		s.cachingEngines[block] = left
	} else {
		delete(s.cachingEngines, block)
	}
}

// newSimulation returns a simulation that is ready to run.
func newSimulation(d *deployment, cfg simulationConfig) *simulation {
	s := &simulation{
		deployment: d, cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 1)),
		generator:      newGenerator(d, rand.New(rand.NewPCG(cfg.seed, 2))),
		cachingEngines: map[uint64]uint64{},
	}
	s.generator.omitBoundaries = cfg.omitBoundaries
	s.view = s.compileRules(nil, 1)
	s.metrics.init(d)
	for i := range d.endpoints {
		e := &engine{sim: s, id: i, prefillTimeFactor: 1, cache: newLRU(cfg.cacheBlocks(d))}
		s.engines = append(s.engines, e)
		s.agents = append(s.agents, newAgent(s, i))
		s.startEngine(i)
	}
	for i := range d.routers {
		s.routers = append(s.routers, s.newRouter(i))
	}
	for i := range d.teams {
		s.teamRPS = append(s.teamRPS, d.steadyRPS*d.teams[i].trafficFraction)
		s.scheduleNextArrival(i)
	}
	return s
}

func (s *simulation) compileRules(hostOwners map[int]string, version uint64) *rules.View {
	view, err := rules.Compile("bench", version, s.deployment.rulesText(s.cfg.placementWeights(s.deployment), hostOwners))
	if err != nil {
		panic(err)
	}
	return view
}

// startEngine starts a new incarnation of engine i, whose cache must be empty.
func (s *simulation) startEngine(i int) {
	e := s.engines[i]
	e.incarnation++
	e.nextEventSeq, e.up = 0, true
	s.agents[i].controller.EngineUp(e.incarnation)
	s.agents[i].processQueue()
}

// run runs the simulation until 2 s after measurementEnd, so that late first tokens
// are measured too, and returns the measurements.
func (s *simulation) run() *metrics {
	s.cfg.scenario.install(s)
	for len(s.calls) > 0 {
		call := heap.Pop(&s.calls).(scheduledCall)
		if call.at > measurementEnd+2*time.Second {
			break
		}
		s.now = call.at
		call.run()
	}
	return &s.metrics
}

// scheduleNextArrival schedules the next request of a team.
func (s *simulation) scheduleNextArrival(team int) {
	gap := time.Duration(s.generator.rng.ExpFloat64() / s.teamRPS[team] * float64(time.Second))
	s.scheduleAfter(gap, func() {
		if s.now > measurementEnd {
			return
		}
		req := s.generator.drawRequest(team, s.now)
		req.measured = s.now >= warmUp
		live := s.liveRouters()
		req.routerID = live[s.generator.rng.IntN(len(live))]
		s.metrics.recordRequest(req)
		s.scheduleAfter(msToDuration(s.deployment.callerDelayMS), func() { s.routers[req.routerID].route(req) })
		s.scheduleNextArrival(team)
	})
}

func (s *simulation) liveRouters() []int {
	var live []int
	for i, r := range s.routers {
		if !r.down {
			live = append(live, i)
		}
	}
	return live
}

// allowed reports whether the team may use the endpoint under the newest rules.
func (s *simulation) allowed(team, endpoint int) bool {
	t, _ := s.view.Team(s.deployment.teams[team].name)
	e, _ := s.view.Endpoint(s.deployment.endpointName(endpoint))
	return s.view.MayUse(t, e)
}

// availableEndpoints returns the bit set of the live endpoints that the team may use.
func (s *simulation) availableEndpoints(team int) uint64 {
	set := uint64(0)
	for i, e := range s.engines {
		if e.up && s.deadEndpoints&(1<<i) == 0 && s.allowed(team, i) {
			set |= 1 << i
		}
	}
	return set
}

// longestCachedPrefix returns the length in tokens of the longest prefix that a
// single endpoint in the bit set has cached.
func (s *simulation) longestCachedPrefix(req *request, set uint64) int {
	for i, h := range req.blockHashes {
		if set &= s.cachingEngines[h]; set == 0 {
			return i * prefix.TokensPerBlock
		}
	}
	return len(req.blockHashes) * prefix.TokensPerBlock
}

// router is a simulated router.
type router struct {
	sim         *simulation
	id          int
	zone        string
	down        bool
	policy      policy
	retryBudget budget.RetryBudget
	// liveEndpoints is the bit set of the endpoints that the router considers live.
	liveEndpoints uint64
	view          *rules.View
}

func (s *simulation) newRouter(i int) *router {
	r := &router{sim: s, id: i, zone: s.deployment.zoneOf(i), liveEndpoints: 1<<s.deployment.endpoints - 1, view: s.view}
	r.policy = s.cfg.policy.newPolicy(r, rand.New(rand.NewPCG(s.cfg.seed, uint64(100+i)+uint64(s.now))))
	r.policy.refresh()
	return r
}

// usable reports whether, according to the router's own membership and rules, it may
// send requests of the team to the endpoint.
func (r *router) usable(team, endpoint int) bool {
	t, _ := r.view.Team(r.sim.deployment.teams[team].name)
	e, _ := r.view.Endpoint(r.sim.deployment.endpointName(endpoint))
	return r.liveEndpoints&(1<<endpoint) != 0 && r.view.MayUse(t, e)
}

func (r *router) networkDelay(endpoint int) time.Duration {
	if r.sim.deployment.zoneOf(endpoint) == r.zone {
		return msToDuration(sameZoneDelayMS)
	}
	return msToDuration(crossZoneDelayMS)
}

// route sends the next attempt of a request, or refuses the request.
func (r *router) route(req *request) {
	s := r.sim
	if req.attempts == 0 && !req.resumed {
		r.retryBudget.RecordFirstAttempt(s.now)
	}
	remaining := firstTokenTarget - (s.now - req.sentAt) - msToDuration(s.deployment.callerDelayMS)
	choice := r.policy.pick(req)
	if choice.endpoint < 0 || req.attempts >= maxAdmissionAttempts || remaining <= 2*r.networkDelay(choice.endpoint) {
		s.metrics.recordRefusal(req)
		return
	}
	req.attempts++
	req.triedEndpoints = append(req.triedEndpoints, s.deployment.endpointName(choice.endpoint))
	req.bestCachedTokens = s.longestCachedPrefix(req, s.availableEndpoints(req.team))
	attempt := &admission.Attempt{
		ID:                strconv.Itoa(req.id) + "/" + strconv.Itoa(req.attempts),
		Team:              s.deployment.teams[req.team].name,
		AgentIncarnation:  1,
		BlockHashes:       req.blockHashes,
		PromptTokens:      req.promptTokens,
		MaxTokens:         req.outputTokens,
		FirstTokenBudget:  remaining - 2*r.networkDelay(choice.endpoint),
		MustQueue:         choice.mustQueue,
		AlternativeCostMS: choice.alternativeCostMS,
		PrefillWeight:     choice.prefillWeight,
	}
	s.metrics.attemptsSent++
	if s.deadEndpoints&(1<<choice.endpoint) != 0 {
		s.scheduleAfter(deadHostTimeout, func() { r.handleFailure(req, choice.endpoint) })
		return
	}
	s.scheduleAfter(r.networkDelay(choice.endpoint), func() { s.agents[choice.endpoint].offer(r, req, attempt) })
}

// handleFailure retries a request after an attempt failed, if the retry budget
// permits it. If the router itself is down, another live router takes over.
func (r *router) handleFailure(req *request, endpoint int) {
	r.policy.observeFailure(endpoint)
	if r.down {
		r = r.sim.routers[r.sim.liveRouters()[0]]
	}
	if !r.retryBudget.Allow(r.sim.now) {
		r.sim.metrics.recordRefusal(req)
		return
	}
	r.sim.metrics.retries++
	r.route(req)
}

// agent is the simulated agent of one engine.
type agent struct {
	sim        *simulation
	id         int
	controller *admission.Controller
	// pending holds the admitted attempts that have not finished, by attempt ID.
	pending         map[string]*pendingAttempt
	readingSnapshot bool
}

// pendingAttempt is the origin of an admitted attempt.
type pendingAttempt struct {
	req    *request
	router *router
}

const (
	eventStored  = admission.EventStored
	eventRemoved = admission.EventRemoved
)

func newAgent(s *simulation, i int) *agent {
	a := &agent{sim: s, id: i, pending: map[string]*pendingAttempt{}}
	a.controller = admission.New(admission.Config{Endpoint: s.deployment.endpointName(i), AgentIncarnation: 1, MaxRunning: maxRunningRequests})
	a.controller.SetRules(s.view)
	return a
}

func (a *agent) offer(r *router, req *request, attempt *admission.Attempt) {
	decision := a.controller.Offer(a.sim.now, attempt)
	if decision.Admitted {
		a.pending[attempt.ID] = &pendingAttempt{req, r}
		if a.sim.onAdmitted != nil {
			a.sim.onAdmitted(req.team, a.id)
		}
		a.processQueue()
	}
	a.sendWithLoadReport(r, func() { r.policy.observeDecision(a.id, req, decision) })
	if !decision.Admitted {
		a.sim.metrics.refusalReasons[decision.Reason]++
		a.sim.scheduleAfter(r.networkDelay(a.id), func() {
			if decision.Reason == admission.ReasonCheaperElsewhere {
				req.refusedForCost = append(req.refusedForCost, a.sim.deployment.endpointName(a.id))
			}
			r.route(req)
		})
	}
}

// sendWithLoadReport sends a message with a load report to a router. It calls deliver
// when the message arrives.
func (a *agent) sendWithLoadReport(r *router, deliver func()) {
	load := a.loadReport()
	if a.sim.cfg.scenario.delayLoadReports {
		a.sim.scheduleAfter(r.networkDelay(a.id), deliver)
		a.sim.scheduleAfter(r.networkDelay(a.id)+2*time.Second, func() { r.policy.observeLoad(a.id, load) })
		return
	}
	a.sim.scheduleAfter(r.networkDelay(a.id), func() {
		r.policy.observeLoad(a.id, load)
		deliver()
	})
}

func (a *agent) loadReport() placement.Load {
	queueWaitMS, running, waiting := a.controller.Load(a.sim.now)
	return placement.Load{
		ExpectedWaitMS: queueWaitMS, PrefillMSPerToken: a.controller.PrefillMSPerToken(),
		Running: running, Waiting: waiting, EngineIncarnation: a.sim.engines[a.id].incarnation,
	}
}

// processQueue starts the queued attempts that the engine has room for and returns
// expired ones to their routers.
func (a *agent) processQueue() {
	for {
		attempt := a.controller.Next(a.sim.now)
		if attempt == nil {
			break
		}
		a.sim.engines[a.id].enqueue(&engineAttempt{id: attempt.ID, req: a.pending[attempt.ID].req, blockHashes: attempt.BlockHashes})
	}
	for _, attempt := range a.controller.TakeExpired() {
		p := a.pending[attempt.ID]
		delete(a.pending, attempt.ID)
		a.sim.metrics.expiredAttempts++
		a.sim.scheduleAfter(p.router.networkDelay(a.id), func() { p.router.route(p.req) })
	}
	a.readSnapshotIfNeeded()
}

func (a *agent) handleFirstToken(att *engineAttempt) {
	a.controller.RecordFirstToken(a.sim.now, att.id, att.cachedTokens)
	p := a.pending[att.id]
	a.sim.metrics.recordFirstToken(att, a.sim.now+p.router.networkDelay(a.id)+msToDuration(a.sim.deployment.callerDelayMS))
	a.sendWithLoadReport(p.router, func() {})
	a.processQueue()
}

func (a *agent) handleFinish(att *engineAttempt) {
	a.controller.Finish(a.sim.now, att.id)
	p := a.pending[att.id]
	delete(a.pending, att.id)
	a.sendWithLoadReport(p.router, func() {})
	a.processQueue()
}

// emitCacheEvent delivers a cache event of the engine to the agent after a random
// delay. Some events are lost.
func (a *agent) emitCacheEvent(op admission.CacheEventOp, blocks []uint64) {
	s, e := a.sim, a.sim.engines[a.id]
	ev := admission.CacheEvent{Seq: e.nextEventSeq, Op: op, Blocks: blocks}
	e.nextEventSeq++
	s.metrics.cacheEvents++
	if s.now < e.dropCacheEventsUntil || s.rng.Float64() < eventLossProbability {
		return
	}
	incarnation := e.incarnation
	delay := minEventDelay + time.Duration(s.rng.Int64N(int64(maxEventDelay-minEventDelay)))
	s.scheduleAfter(delay, func() {
		a.controller.Cache().ApplyEvents(s.now, incarnation, []admission.CacheEvent{ev})
		a.readSnapshotIfNeeded()
	})
}

// Delay and loss of cache events, which occur in every scenario.
const (
	minEventDelay        = 20 * time.Millisecond
	maxEventDelay        = 150 * time.Millisecond
	eventLossProbability = 0.001
)

// readSnapshotIfNeeded reads a snapshot of the engine's cache if the agent's view of
// the cache has missed events.
func (a *agent) readSnapshotIfNeeded() {
	if a.readingSnapshot || !a.controller.Cache().NeedsSnapshot(a.sim.now) {
		return
	}
	a.readingSnapshot = true
	a.sim.metrics.snapshots++
	e := a.sim.engines[a.id]
	incarnation, next := e.incarnation, e.nextEventSeq
	blocks := make([]uint64, 0, len(e.cache.nodeOf))
	for b := range e.cache.nodeOf {
		blocks = append(blocks, b)
	}
	a.sim.scheduleAfter(snapshotDelay, func() {
		a.readingSnapshot = false
		if a.sim.engines[a.id].incarnation == incarnation && e.up {
			a.controller.Cache().ApplySnapshot(a.sim.now, incarnation, next, blocks)
		}
	})
}

// crash crashes the engine and returns its attempts to their routers.
func (a *agent) crash() {
	a.sim.engines[a.id].crash()
	for _, attempt := range a.controller.EngineDown(a.sim.now) {
		p := a.pending[attempt.ID]
		delete(a.pending, attempt.ID)
		a.sim.scheduleAfter(p.router.networkDelay(a.id), func() {
			if p.req.answered {
				p.req.resume(a.sim.now)
			}
			p.router.handleFailure(p.req, a.id)
		})
	}
}
