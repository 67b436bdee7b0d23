// Package admission decides at an agent which attempts its endpoint runs and
// in which order. It is a pure state machine without clock or I/O.
//
// The agent alone knows its endpoint's cache and queue exactly. It admits an
// attempt when the first token can come in time, and refuses it at once
// otherwise, so that the router can try the next candidate.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/rules"
)

// Reason is the stable code of a refusal. Every refusal means not run.
type Reason string

// Reasons for refusal.
const (
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	ReasonFenced           Reason = "fenced"
	ReasonForbidden        Reason = "forbidden_endpoint"
	ReasonDraining         Reason = "draining"
	ReasonQuarantined      Reason = "quarantined"
	ReasonDeadline         Reason = "deadline"
	ReasonQueueFull        Reason = "queue_full"
	ReasonEngineDown       Reason = "engine_down"
	ReasonShuttingDown     Reason = "shutting_down"
	ReasonStaleRules       Reason = "stale_rules"
	ReasonWrongWeights     Reason = "wrong_weights"
	ReasonBusier           Reason = "busier"
)

// Attempt is what a router asks the agent to run.
type Attempt struct {
	ID          string
	Team        string
	Priority    int
	Incarnation uint64
	// Hashes is the block chain of the prompt.
	Hashes         []uint64
	PromptTokens   int
	MaxTokens      int
	WeightsVersion string
	// FirstTokenBudget is the time left until the first token must come. 0
	// means that there is no bound; a negative one has passed.
	FirstTokenBudget time.Duration
	Fingerprint      uint64
	Suspicion        int
	Service          bool
	// LastCandidate asks the agent to queue rather than refuse for cost.
	LastCandidate bool
	// AlternativeMS is the cost in ms that the router expects at the next
	// candidate, 0 when unknown.
	AlternativeMS float64
	// PrefillWeight is the weight of prefill in AlternativeMS. 0 means the
	// weight of the rules.
	PrefillWeight float64
}

// Verdict is the answer to an offered attempt.
type Verdict struct {
	// Admitted is false when the attempt is refused for Reason.
	Admitted     bool
	Reason       Reason
	CachedTokens int
	// ExpectedWait is the time until the endpoint starts on the attempt.
	ExpectedWait time.Duration
	// RetryAfter is when a refused attempt could be admitted here.
	RetryAfter time.Duration
}

// Config are the parameters of a Machine.
type Config struct {
	Endpoint    string
	Incarnation uint64
	// Slots is the number of attempts the endpoint runs at once. Default 16.
	Slots int
	// QueueLimit bounds waiting attempts. Default 64.
	QueueLimit int
	// Prefills is the number of attempts without a first token that the engine
	// is given at once. Default 2: one that runs and one that follows without
	// a pause; the others wait here, where their order can still change.
	Prefills int
	// PrefillMSPerToken is assumed until the engine's own rate is measured.
	// Default 0.1 ms.
	PrefillMSPerToken float64
	// Fenced reports whether an attempt was fenced. Default never.
	Fenced func(attempt string) bool
	// Quarantined reports whether a request may not run. Default never.
	Quarantined func(fingerprint uint64, suspicion int) bool
}

func (c *Config) defaults() {
	if c.Slots == 0 {
		c.Slots = 16
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = 64
	}
	if c.Prefills == 0 {
		c.Prefills = 2
	}
	if c.PrefillMSPerToken == 0 {
		c.PrefillMSPerToken = 0.1
	}
	if c.Fenced == nil {
		c.Fenced = func(string) bool { return false }
	}
	if c.Quarantined == nil {
		c.Quarantined = func(uint64, int) bool { return false }
	}
}

// Machine is the admission state of one endpoint. It is not safe for
// concurrent use.
type Machine struct {
	cfg      Config
	view     *rules.View
	model    placement.Model
	cache    *CacheView
	queue    queue
	running  map[string]*entry
	prefills []*entry
	expired  []*Attempt
	stopping bool
	engine   uint64
	weights  string
	rate     rate
	// lastFirst is when the engine produced its last first token.
	lastFirst time.Duration
}

// New returns a machine that refuses everything until it has rules and an
// engine.
func New(cfg Config) *Machine {
	cfg.defaults()
	m := &Machine{
		cfg: cfg, cache: NewCacheView(), queue: newQueue(), running: map[string]*entry{},
		rate: rate{msPerToken: cfg.PrefillMSPerToken},
	}
	m.setView(rules.Empty())
	return m
}

// SetRules installs a newer version of the rules; older ones are ignored.
func (m *Machine) SetRules(view *rules.View) {
	if view.Version >= m.view.Version {
		m.setView(view)
	}
}

func (m *Machine) setView(view *rules.View) {
	m.view, m.model = view, placement.NewModel(view.PlacementWeights)
}

// EngineUp records the incarnation of the engine beside the agent. The cache of
// a new incarnation is empty until events or a snapshot say otherwise.
func (m *Machine) EngineUp(incarnation uint64) {
	if incarnation != m.cache.Incarnation() {
		m.cache.Reset(incarnation, 0)
	}
	m.engine = incarnation
}

// EngineWeights records the weights version that the engine serves. Attempts
// for another version are refused; "" accepts all.
func (m *Machine) EngineWeights(version string) { m.weights = version }

// EngineDown records that the engine died and returns the attempts that were
// running, ordered by id. Waiting ones stay queued for the next incarnation.
func (m *Machine) EngineDown(_ time.Duration) []*Attempt {
	m.engine = 0
	m.cache.Reset(0, 0)
	m.prefills = nil
	var lost []*Attempt
	for id, e := range m.running {
		lost = append(lost, e.a)
		delete(m.running, id)
	}
	slices.SortFunc(lost, func(a, b *Attempt) int { return cmp.Compare(a.ID, b.ID) })
	return lost
}

// Cache returns the view of the engine's cache, to be fed with its events.
func (m *Machine) Cache() *CacheView { return m.cache }

// Shutdown makes the machine refuse all new work.
func (m *Machine) Shutdown() { m.stopping = true }

// Offer decides on a new attempt. An admitted one waits until Next or Expired
// returns it.
func (m *Machine) Offer(now time.Duration, a *Attempt) Verdict {
	team, reason := m.refuse(a)
	if reason != "" {
		return Verdict{Reason: reason}
	}
	est := m.Estimate(now, a)
	v := Verdict{CachedTokens: est.CachedTokens, ExpectedWait: est.Wait}
	v.Reason, v.RetryAfter = m.refuseForTime(a, est)
	if v.Reason != "" {
		return v
	}
	v.Admitted = true
	e := &entry{a: a, prefillMS: est.PrefillMS}
	if a.FirstTokenBudget > 0 {
		e.dueBy = now + a.FirstTokenBudget - millis(est.PrefillMS)
	}
	m.queue.push(e, a.Team, team.Share)
	return v
}

// refuse applies the checks that don't depend on load, in the order of the
// design page.
func (m *Machine) refuse(a *Attempt) (*rules.Team, Reason) {
	e, ok := m.view.Endpoint(m.cfg.Endpoint)
	team, known := m.view.Team(a.Team)
	switch {
	case m.stopping:
		return nil, ReasonShuttingDown
	case a.Incarnation != m.cfg.Incarnation:
		return nil, ReasonWrongIncarnation
	case m.cfg.Fenced(a.ID):
		return nil, ReasonFenced
	case !ok || !known || !m.view.MayUse(team, e):
		return nil, ReasonForbidden
	case e.Draining:
		return nil, ReasonDraining
	case m.engine == 0:
		return nil, ReasonEngineDown
	case m.weights != "" && a.WeightsVersion != "" && a.WeightsVersion != m.weights:
		return nil, ReasonWrongWeights
	case m.cfg.Quarantined(a.Fingerprint, a.Suspicion):
		return nil, ReasonQuarantined
	}
	return team, ""
}

// refuseForTime refuses what can't meet its target here or is expected to do
// better elsewhere.
func (m *Machine) refuseForTime(a *Attempt, est Estimate) (Reason, time.Duration) {
	first := est.Wait + millis(est.PrefillMS)
	switch {
	case a.FirstTokenBudget != 0 && first > a.FirstTokenBudget:
		return ReasonDeadline, first - a.FirstTokenBudget
	case len(m.queue.entries) >= m.cfg.QueueLimit:
		return ReasonQueueFull, est.Wait
	case !a.LastCandidate && m.better(a, est):
		return ReasonBusier, est.Wait
	}
	return "", 0
}

// better reports whether the attempt should go elsewhere. Without knowledge of
// an alternative, it is compared with an idle endpoint that holds nothing: the
// wait must not cost more than computing the cached part again.
func (m *Machine) better(a *Attempt, est Estimate) bool {
	wait := float64(est.Wait) / float64(time.Millisecond)
	model := m.model
	if a.PrefillWeight > 0 {
		model.Prefill = a.PrefillWeight
	}
	own := model.Cost(wait, est.PrefillMS, 0)
	other := a.AlternativeMS
	if other <= 0 {
		other = model.Cost(0, m.rate.prefillMS(a.PromptTokens), 0)
	}
	return own > other+offerMS
}

// offerMS is the cost of one more offer: a round trip between availability
// zones.
const offerMS = 3

// Next returns the next attempt to start, or nil while the engine has enough.
func (m *Machine) Next(now time.Duration) *Attempt {
	m.expire(now)
	if m.engine == 0 || len(m.running) >= m.cfg.Slots || len(m.prefills) >= m.cfg.Prefills {
		return nil
	}
	if len(m.prefills) > 0 && m.busyMS(now) > prefillAheadMS {
		return nil
	}
	e := m.queue.pop()
	if e == nil {
		return nil
	}
	e.startedAt = now
	m.running[e.a.ID] = e
	if !e.a.Service {
		m.prefills = append(m.prefills, e)
	}
	return e.a
}

// prefillAheadMS is the expected rest of the engine's current prefill, in ms,
// below which it is given the next attempt. A longer one keeps the next attempt
// in the queue, where an attempt of higher rank can still pass it.
const prefillAheadMS = 20

// expire moves attempts whose first token would come too late out of the queue.
func (m *Machine) expire(now time.Duration) {
	latest := now + millis(m.busyMS(now))
	for i := 0; i < len(m.queue.entries); {
		e := m.queue.entries[i]
		if e.dueBy == 0 || latest <= e.dueBy {
			i++
			continue
		}
		m.expired = append(m.expired, e.a)
		m.queue.refund(i)
	}
}

// Expired returns admitted attempts that were not started because their first
// token would come too late. They have not run and never will; the agent tells
// their routers so.
func (m *Machine) Expired() []*Attempt {
	expired := m.expired
	m.expired = nil
	return expired
}

// FirstToken records that an attempt produced its first token and how many
// prompt tokens the engine took from its cache.
func (m *Machine) FirstToken(now time.Duration, id string, cachedTokens int) {
	for i, e := range m.prefills {
		if e.a.ID != id {
			continue
		}
		busy := now - max(e.startedAt, m.lastFirst)
		m.rate.observe(float64(busy)/float64(time.Millisecond), e.a.PromptTokens-cachedTokens)
		m.lastFirst = now
		m.prefills = append(m.prefills[:i], m.prefills[i+1:]...)
		return
	}
}

// Finish removes an attempt that ended or was cancelled.
func (m *Machine) Finish(_ time.Duration, id string) {
	if m.queue.remove(id) {
		return
	}
	delete(m.running, id)
	for i, e := range m.prefills {
		if e.a.ID == id {
			m.prefills = append(m.prefills[:i], m.prefills[i+1:]...)
			return
		}
	}
}

// Load returns the state that routers are told: the wait of an attempt at the
// end of the queue, in ms, and the numbers of running and waiting attempts.
func (m *Machine) Load(now time.Duration) (queueMS float64, running, waiting int) {
	wait := m.waitMS(now, func(*entry) bool { return true })
	return wait, len(m.running), len(m.queue.entries)
}

// PrefillMSPerToken returns the measured time to compute one prompt token.
func (m *Machine) PrefillMSPerToken() float64 { return m.rate.msPerToken }

// Estimate is what an attempt would meet at this endpoint now.
type Estimate struct {
	CachedTokens int
	Wait         time.Duration
	// PrefillMS is the time to compute the uncached part, in ms.
	PrefillMS float64
}

// Estimate returns what the attempt would meet if it was admitted now.
func (m *Machine) Estimate(now time.Duration, a *Attempt) Estimate {
	cached := min(m.match(a.Hashes)*prefix.BlockTokens, max(a.PromptTokens-1, 0))
	start := m.queue.peek(a.Team)
	wait := m.waitMS(now, func(e *entry) bool { return e.before(a.Priority, start) })
	return Estimate{cached, millis(wait), m.rate.prefillMS(a.PromptTokens - cached)}
}

// match returns the leading blocks that will be cached when the attempt starts:
// those in the cache and those of attempts that are ahead of it.
func (m *Machine) match(hashes []uint64) int {
	best := m.cache.Match(hashes)
	for _, e := range m.prefills {
		best = max(best, common(e.a.Hashes, hashes))
	}
	for _, e := range m.queue.entries {
		best = max(best, common(e.a.Hashes, hashes))
	}
	return best
}

// common returns the length of the common prefix of two chains. Chained hashes
// that are equal at one depth are equal at all smaller ones.
func common(a, b []uint64) int {
	low, high := 0, min(len(a), len(b))
	for low < high {
		mid := (low + high + 1) / 2
		if a[mid-1] == b[mid-1] {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

// waitMS returns the time until an attempt starts that has the given entries
// ahead of it.
func (m *Machine) waitMS(now time.Duration, ahead func(*entry) bool) float64 {
	wait := m.busyMS(now)
	for _, e := range m.queue.entries {
		if ahead(e) {
			wait += e.prefillMS
		}
	}
	return wait
}

// busyMS returns the time until the engine has produced the first tokens of
// what it was given.
func (m *Machine) busyMS(now time.Duration) float64 {
	busy := 0.0
	for i, e := range m.prefills {
		ms := e.prefillMS
		if i == 0 {
			done := now - max(e.startedAt, m.lastFirst)
			ms = max(0, ms-float64(done)/float64(time.Millisecond))
		}
		busy += ms
	}
	return busy
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// rate is the measured speed of prefill.
type rate struct {
	msPerToken float64
}

// overheadTokens is the fixed cost of a prefill, in tokens.
const overheadTokens = 40

// rateGain is the weight of a new measurement.
const rateGain = 0.1

func (r *rate) observe(ms float64, tokens int) {
	r.msPerToken += rateGain * (ms/float64(max(tokens, 0)+overheadTokens) - r.msPerToken)
}

func (r *rate) prefillMS(tokens int) float64 {
	return r.msPerToken * float64(max(tokens, 0)+overheadTokens)
}
