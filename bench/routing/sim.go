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

// Phases of a run.
const (
	warmUp   = 15 * time.Second
	faultAt  = 20 * time.Second
	measured = 30 * time.Second
	endAt    = warmUp + measured
)

// Delays of the platform.
const (
	// deadTimeout is when a router gives up on a host that doesn't answer.
	deadTimeout = 200 * time.Millisecond
	// maxTries bounds the endpoints that may refuse a request.
	maxTries = 8
	// snapshotDelay is the time to read the blocks of an engine.
	snapshotDelay = 50 * time.Millisecond
	// loadTime is the time to load weights after a restart.
	loadTime = 900 * time.Millisecond
)

// event is a call at a virtual time; seq keeps equal times in order.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// sim is one run.
type sim struct {
	dep     *deployment
	c       caseConfig
	rng     *rand.Rand
	gen     *generator
	now     time.Duration
	seq     uint64
	events  eventHeap
	engines []*engine
	agents  []*agent
	routers []*router
	// holders maps a block to the set of engines that hold it.
	holders map[uint64]uint64
	// dead is the set of endpoint hosts that are gone.
	dead  uint64
	view  *rules.View
	rates []float64
	got   metrics
	// admitted, when set, is told of each admitted attempt.
	admitted func(team, endpoint int)
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, run})
}

func (s *sim) at(t time.Duration, run func()) { s.after(t-s.now, run) }

func (s *sim) drop(block uint64, engine int) {
	if left := s.holders[block] &^ (1 << engine); left != 0 {
		s.holders[block] = left
	} else {
		delete(s.holders, block)
	}
}

// newSim builds a run of one case.
func newSim(d *deployment, c caseConfig) *sim {
	s := &sim{
		dep: d, c: c, rng: rand.New(rand.NewPCG(c.seed, 1)),
		gen:     newGenerator(d, rand.New(rand.NewPCG(c.seed, 2))),
		holders: map[uint64]uint64{},
	}
	s.gen.plain = c.plain
	s.view = s.compile(nil, 1)
	s.got.init(d)
	for i := range d.endpoints {
		e := &engine{s: s, id: i, slow: 1, cache: newLRU(c.cacheBlocks(d))}
		s.engines = append(s.engines, e)
		s.agents = append(s.agents, newAgent(s, i))
		s.boot(i)
	}
	for i := range d.routers {
		s.routers = append(s.routers, s.newRouter(i))
	}
	for i := range d.teams {
		s.rates = append(s.rates, d.rate*d.teams[i].part)
		s.arrive(i)
	}
	return s
}

func (s *sim) compile(owners map[int]string, version uint64) *rules.View {
	view, err := rules.Compile("bench", version, s.dep.rulesText(s.c.weights(s.dep), owners))
	if err != nil {
		panic(err)
	}
	return view
}

// boot starts an engine with an empty cache.
func (s *sim) boot(i int) {
	e := s.engines[i]
	e.incarnation++
	e.seq, e.up = 0, true
	s.agents[i].m.EngineUp(e.incarnation)
	s.agents[i].pump()
}

// run plays the case and returns what was measured.
func (s *sim) run() *metrics {
	s.c.scenario.install(s)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > endAt+2*time.Second {
			break
		}
		s.now = e.at
		e.run()
	}
	return &s.got
}

// arrive schedules the next request of a team.
func (s *sim) arrive(team int) {
	gap := time.Duration(s.gen.rng.ExpFloat64() / s.rates[team] * float64(time.Second))
	s.after(gap, func() {
		if s.now > endAt {
			return
		}
		q := s.gen.draw(team, s.now)
		q.measured = s.now >= warmUp
		live := s.liveRouters()
		q.router = live[s.gen.rng.IntN(len(live))]
		s.got.offered(q)
		s.after(millis(s.dep.callerMS), func() { s.routers[q.router].route(q) })
		s.arrive(team)
	})
}

func (s *sim) liveRouters() []int {
	var live []int
	for i, r := range s.routers {
		if !r.down {
			live = append(live, i)
		}
	}
	return live
}

// allowed reports whether the team may use the endpoint under the newest rules.
func (s *sim) allowed(team, endpoint int) bool {
	t, _ := s.view.Team(s.dep.teams[team].name)
	e, _ := s.view.Endpoint(s.dep.endpointName(endpoint))
	return s.view.MayUse(t, e)
}

// allowedSet is the set of live endpoints that the team may use.
func (s *sim) allowedSet(team int) uint64 {
	set := uint64(0)
	for i, e := range s.engines {
		if e.up && s.dead&(1<<i) == 0 && s.allowed(team, i) {
			set |= 1 << i
		}
	}
	return set
}

// heldTokens returns the longest prefix in tokens that one endpoint of the set
// holds.
func (s *sim) heldTokens(q *request, set uint64) int {
	for i, h := range q.hashes {
		if set &= s.holders[h]; set == 0 {
			return i * prefix.TokensPerBlock
		}
	}
	return len(q.hashes) * prefix.TokensPerBlock
}

// router is an entry host: a policy, a view of the membership and the retry
// budget.
type router struct {
	s       *sim
	id      int
	zone    string
	down    bool
	policy  policy
	retries budget.RetryBudget
	// live is the set of endpoints that the router believes to be members.
	live uint64
	view *rules.View
}

func (s *sim) newRouter(i int) *router {
	r := &router{s: s, id: i, zone: s.dep.zoneOf(i), live: 1<<s.dep.endpoints - 1, view: s.view}
	r.policy = s.c.policy.make(r, rand.New(rand.NewPCG(s.c.seed, uint64(100+i)+uint64(s.now))))
	r.policy.members()
	return r
}

// usable reports whether the router may send the team's requests there, as far
// as it knows.
func (r *router) usable(team, endpoint int) bool {
	t, _ := r.view.Team(r.s.dep.teams[team].name)
	e, _ := r.view.Endpoint(r.s.dep.endpointName(endpoint))
	return r.live&(1<<endpoint) != 0 && r.view.MayUse(t, e)
}

func (r *router) delay(endpoint int) time.Duration {
	if r.s.dep.zoneOf(endpoint) == r.zone {
		return millis(nearMS)
	}
	return millis(farMS)
}

// route offers a request to the next endpoint.
func (r *router) route(q *request) {
	s := r.s
	if q.tries == 0 && !q.resumed {
		r.retries.RecordFirstAttempt(s.now)
	}
	left := firstTokenTarget - (s.now - q.at) - millis(s.dep.callerMS)
	choice := r.policy.pick(q)
	if choice.endpoint < 0 || q.tries >= maxTries || left <= 2*r.delay(choice.endpoint) {
		s.got.refuse(q)
		return
	}
	q.tries++
	q.tried = append(q.tried, s.dep.endpointName(choice.endpoint))
	q.held = s.heldTokens(q, s.allowedSet(q.team))
	a := &admission.Attempt{
		ID:                strconv.Itoa(q.id) + "/" + strconv.Itoa(q.tries),
		Team:              s.dep.teams[q.team].name,
		AgentIncarnation:  1,
		BlockHashes:       q.hashes,
		PromptTokens:      q.prompt,
		MaxTokens:         q.output,
		FirstTokenBudget:  left - 2*r.delay(choice.endpoint),
		MustQueue:         choice.last,
		AlternativeCostMS: choice.alternativeMS,
		PrefillWeight:     choice.prefillWeight,
	}
	s.got.sent++
	if s.dead&(1<<choice.endpoint) != 0 {
		s.after(deadTimeout, func() { r.lost(q, choice.endpoint) })
		return
	}
	s.after(r.delay(choice.endpoint), func() { s.agents[choice.endpoint].offer(r, q, a) })
}

// lost handles an attempt that failed after it was sent.
func (r *router) lost(q *request, endpoint int) {
	r.policy.failed(endpoint)
	if r.down {
		r = r.s.routers[r.s.liveRouters()[0]]
	}
	if !r.retries.Allow(r.s.now) {
		r.s.got.refuse(q)
		return
	}
	r.s.got.retries++
	r.route(q)
}

// agent is the process beside an engine.
type agent struct {
	s       *sim
	id      int
	m       *admission.Controller
	flights map[string]*flight
	reading bool
}

// flight is an attempt at an agent.
type flight struct {
	q *request
	r *router
}

const (
	eventStored  = admission.EventStored
	eventRemoved = admission.EventRemoved
)

func newAgent(s *sim, i int) *agent {
	a := &agent{s: s, id: i, flights: map[string]*flight{}}
	a.m = admission.New(admission.Config{Endpoint: s.dep.endpointName(i), AgentIncarnation: 1, MaxRunning: slots})
	a.m.SetRules(s.view)
	return a
}

func (a *agent) offer(r *router, q *request, at *admission.Attempt) {
	v := a.m.Offer(a.s.now, at)
	if v.Admitted {
		a.flights[at.ID] = &flight{q, r}
		if a.s.admitted != nil {
			a.s.admitted(q.team, a.id)
		}
		a.pump()
	}
	a.tell(r, func() { r.policy.answer(a.id, q, v) })
	if !v.Admitted {
		a.s.got.reasons[v.Reason]++
		a.s.after(r.delay(a.id), func() {
			if v.Reason == admission.ReasonCheaperElsewhere {
				q.reoffer = append(q.reoffer, a.s.dep.endpointName(a.id))
			}
			r.route(q)
		})
	}
}

// tell sends an answer with a load report to a router.
func (a *agent) tell(r *router, answer func()) {
	load := a.load()
	if a.s.c.scenario.lateReports {
		a.s.after(r.delay(a.id), answer)
		a.s.after(r.delay(a.id)+2*time.Second, func() { r.policy.load(a.id, load) })
		return
	}
	a.s.after(r.delay(a.id), func() {
		r.policy.load(a.id, load)
		answer()
	})
}

func (a *agent) load() placement.Load {
	wait, running, waiting := a.m.Load(a.s.now)
	return placement.Load{
		QueueWaitMS: wait, PrefillMSPerToken: a.m.PrefillMSPerToken(),
		Running: running, Waiting: waiting, EngineIncarnation: a.s.engines[a.id].incarnation,
	}
}

// pump gives the engine as much work as it wants.
func (a *agent) pump() {
	for {
		at := a.m.Next(a.s.now)
		if at == nil {
			break
		}
		a.s.engines[a.id].start(&job{id: at.ID, q: a.flights[at.ID].q, hashes: at.BlockHashes})
	}
	for _, at := range a.m.TakeExpired() {
		f := a.flights[at.ID]
		delete(a.flights, at.ID)
		a.s.got.expired++
		a.s.after(f.r.delay(a.id), func() { f.r.route(f.q) })
	}
	a.repair()
}

func (a *agent) firstToken(j *job) {
	a.m.RecordFirstToken(a.s.now, j.id, j.cached)
	f := a.flights[j.id]
	a.s.got.first(j, a.s.now+f.r.delay(a.id)+millis(a.s.dep.callerMS))
	a.tell(f.r, func() {})
	a.pump()
}

func (a *agent) finish(j *job) {
	a.m.Finish(a.s.now, j.id)
	f := a.flights[j.id]
	delete(a.flights, j.id)
	a.tell(f.r, func() {})
	a.pump()
}

// emit sends a cache event of the engine to the agent, late and perhaps lost.
func (a *agent) emit(op admission.CacheEventOp, blocks []uint64) {
	s, e := a.s, a.s.engines[a.id]
	ev := admission.CacheEvent{Seq: e.seq, Op: op, Blocks: blocks}
	e.seq++
	s.got.events++
	if s.now < e.lossUntil || s.rng.Float64() < eventLoss {
		return
	}
	incarnation := e.incarnation
	late := eventDelayMin + time.Duration(s.rng.Int64N(int64(eventDelayMax-eventDelayMin)))
	s.after(late, func() {
		a.m.Cache().ApplyEvents(s.now, incarnation, []admission.CacheEvent{ev})
		a.repair()
	})
}

// Faults of the event stream that are present in every scenario.
const (
	eventDelayMin = 20 * time.Millisecond
	eventDelayMax = 150 * time.Millisecond
	eventLoss     = 0.001
)

// repair reads a snapshot when events were lost.
func (a *agent) repair() {
	if a.reading || !a.m.Cache().NeedsSnapshot(a.s.now) {
		return
	}
	a.reading = true
	a.s.got.snapshots++
	e := a.s.engines[a.id]
	incarnation, next := e.incarnation, e.seq
	blocks := make([]uint64, 0, len(e.cache.at))
	for b := range e.cache.at {
		blocks = append(blocks, b)
	}
	a.s.after(snapshotDelay, func() {
		a.reading = false
		if a.s.engines[a.id].incarnation == incarnation && e.up {
			a.m.Cache().ApplySnapshot(a.s.now, incarnation, next, blocks)
		}
	})
}

// crash ends the engine; its attempts move elsewhere.
func (a *agent) crash() {
	a.s.engines[a.id].crash()
	for _, at := range a.m.EngineDown(a.s.now) {
		f := a.flights[at.ID]
		delete(a.flights, at.ID)
		a.s.after(f.r.delay(a.id), func() {
			if f.q.done {
				f.q.resume(a.s.now)
			}
			f.r.lost(f.q, a.id)
		})
	}
}
