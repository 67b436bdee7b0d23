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
	ReasonCheaperElsewhere Reason = "busier"
)

// Attempt is what a router asks the agent to run.
type Attempt struct {
	ID               string
	Team             string
	Priority         int
	AgentIncarnation uint64
	// BlockHashes is the block chain of the prompt.
	BlockHashes    []uint64
	PromptTokens   int
	MaxTokens      int
	WeightsVersion string
	// FirstTokenBudget is the time left until the first token must come. 0
	// means that there is no bound; a negative one has passed.
	FirstTokenBudget time.Duration
	Fingerprint      uint64
	SuspicionLevel   int
	PlainService     bool
	// LastCandidate asks the agent to queue rather than refuse for cost.
	LastCandidate bool
	// AlternativeCostMS is the cost in ms that the router expects at the next
	// candidate, 0 when unknown.
	AlternativeCostMS float64
	// PrefillWeight is the weight of prefill in AlternativeMS. 0 means the
	// weight of the rules.
	PrefillWeight float64
}

// Decision is the answer to an offered attempt.
type Decision struct {
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
	Endpoint         string
	AgentIncarnation uint64
	// MaxRunning is the number of attempts the endpoint runs at once. Default 16.
	MaxRunning int
	// QueueLimit bounds waiting attempts. Default 64.
	QueueLimit int
	// MaxPrefills is the number of attempts without a first token that the engine
	// is given at once. Default 2: one that runs and one that follows without
	// a pause; the others wait here, where their order can still change.
	MaxPrefills int
	// InitialPrefillMSPerToken is assumed until the engine's own rate is measured.
	// Default 0.1 ms.
	InitialPrefillMSPerToken float64
	// IsFenced reports whether an attempt was fenced. Default never.
	IsFenced func(attempt string) bool
	// IsQuarantined reports whether a request may not run. Default never.
	IsQuarantined func(fingerprint uint64, suspicion int) bool
}

func (c *Config) defaults() {
	if c.MaxRunning == 0 {
		c.MaxRunning = 16
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = 64
	}
	if c.MaxPrefills == 0 {
		c.MaxPrefills = 2
	}
	if c.InitialPrefillMSPerToken == 0 {
		c.InitialPrefillMSPerToken = 0.1
	}
	if c.IsFenced == nil {
		c.IsFenced = func(string) bool { return false }
	}
	if c.IsQuarantined == nil {
		c.IsQuarantined = func(uint64, int) bool { return false }
	}
}

// Controller is the admission state of one endpoint. It is not safe for
// concurrent use.
type Controller struct {
	cfg               Config
	rules             *rules.View
	costModel         placement.Model
	cache             *CacheView
	queue             queue
	running           map[string]*entry
	prefilling        []*entry
	expired           []*Attempt
	shuttingDown      bool
	engineIncarnation uint64
	weightsVersion    string
	prefillRate       prefillRate
	// lastFirstToken is when the engine produced its last first token.
	lastFirstToken time.Duration
}

// New returns a machine that refuses everything until it has rules and an
// engine.
func New(cfg Config) *Controller {
	cfg.defaults()
	c := &Controller{
		cfg: cfg, cache: NewCacheView(), queue: newQueue(), running: map[string]*entry{},
		prefillRate: prefillRate{msPerToken: cfg.InitialPrefillMSPerToken},
	}
	c.applyRules(rules.Empty())
	return c
}

// SetRules installs a newer version of the rules; older ones are ignored.
func (c *Controller) SetRules(view *rules.View) {
	if view.Version >= c.rules.Version {
		c.applyRules(view)
	}
}

func (c *Controller) applyRules(view *rules.View) {
	c.rules, c.costModel = view, placement.NewModel(view.Weights)
}

// EngineUp records the incarnation of the engine beside the agent. The cache of
// a new incarnation is empty until events or a snapshot say otherwise.
func (c *Controller) EngineUp(incarnation uint64) {
	if incarnation != c.cache.Incarnation() {
		c.cache.Reset(incarnation, 0)
	}
	c.engineIncarnation = incarnation
}

// SetWeightsVersion records the weights version that the engine serves. Attempts
// for another version are refused; "" accepts all.
func (c *Controller) SetWeightsVersion(version string) { c.weightsVersion = version }

// EngineDown records that the engine died and returns the attempts that were
// running, ordered by id. Waiting ones stay queued for the next incarnation.
func (c *Controller) EngineDown(_ time.Duration) []*Attempt {
	c.engineIncarnation = 0
	c.cache.Reset(0, 0)
	c.prefilling = nil
	var lost []*Attempt
	for id, e := range c.running {
		lost = append(lost, e.attempt)
		delete(c.running, id)
	}
	slices.SortFunc(lost, func(a, b *Attempt) int { return cmp.Compare(a.ID, b.ID) })
	return lost
}

// Cache returns the view of the engine's cache, to be fed with its events.
func (c *Controller) Cache() *CacheView { return c.cache }

// Shutdown makes the machine refuse all new work.
func (c *Controller) Shutdown() { c.shuttingDown = true }

// Offer decides on a new attempt. An admitted one waits until Next or Expired
// returns it.
func (c *Controller) Offer(now time.Duration, a *Attempt) Decision {
	team, reason := c.checkEligibility(a)
	if reason != "" {
		return Decision{Reason: reason}
	}
	est := c.Estimate(now, a)
	v := Decision{CachedTokens: est.CachedTokens, ExpectedWait: est.Wait}
	v.Reason, v.RetryAfter = c.checkLoad(a, est)
	if v.Reason != "" {
		return v
	}
	v.Admitted = true
	e := &entry{attempt: a, prefillMS: est.PrefillMS}
	if a.FirstTokenBudget > 0 {
		e.latestStart = now + a.FirstTokenBudget - msToDuration(est.PrefillMS)
	}
	c.queue.push(e, a.Team, team.Share)
	return v
}

// checkEligibility applies the checks that don't depend on load, in the order of the
// design page.
func (c *Controller) checkEligibility(a *Attempt) (*rules.Team, Reason) {
	e, ok := c.rules.Endpoint(c.cfg.Endpoint)
	team, known := c.rules.Team(a.Team)
	switch {
	case c.shuttingDown:
		return nil, ReasonShuttingDown
	case a.AgentIncarnation != c.cfg.AgentIncarnation:
		return nil, ReasonWrongIncarnation
	case c.cfg.IsFenced(a.ID):
		return nil, ReasonFenced
	case !ok || !known || !c.rules.MayReach(team, e):
		return nil, ReasonForbidden
	case e.Draining:
		return nil, ReasonDraining
	case c.engineIncarnation == 0:
		return nil, ReasonEngineDown
	case c.weightsVersion != "" && a.WeightsVersion != "" && a.WeightsVersion != c.weightsVersion:
		return nil, ReasonWrongWeights
	case c.cfg.IsQuarantined(a.Fingerprint, a.SuspicionLevel):
		return nil, ReasonQuarantined
	}
	return team, ""
}

// checkLoad refuses what can't meet its target here or is expected to do
// better elsewhere.
func (c *Controller) checkLoad(a *Attempt, est Estimate) (Reason, time.Duration) {
	first := est.Wait + msToDuration(est.PrefillMS)
	switch {
	case a.FirstTokenBudget != 0 && first > a.FirstTokenBudget:
		return ReasonDeadline, first - a.FirstTokenBudget
	case len(c.queue.entries) >= c.cfg.QueueLimit:
		return ReasonQueueFull, est.Wait
	case !a.LastCandidate && c.cheaperElsewhere(a, est):
		return ReasonCheaperElsewhere, est.Wait
	}
	return "", 0
}

// cheaperElsewhere reports whether the attempt should go elsewhere. Without knowledge of
// an alternative, it is compared with an idle endpoint that holds nothing: the
// wait must not cost more than computing the cached part again.
func (c *Controller) cheaperElsewhere(a *Attempt, est Estimate) bool {
	wait := float64(est.Wait) / float64(time.Millisecond)
	model := c.costModel
	if a.PrefillWeight > 0 {
		model.Prefill = a.PrefillWeight
	}
	own := model.Cost(wait, est.PrefillMS, 0)
	other := a.AlternativeCostMS
	if other <= 0 {
		other = model.Cost(0, c.prefillRate.prefillMS(a.PromptTokens), 0)
	}
	return own > other+reofferCostMS
}

// reofferCostMS is the cost of one more offer: a round trip between availability
// zones.
const reofferCostMS = 3

// Next returns the next attempt to start, or nil while the engine has enough.
func (c *Controller) Next(now time.Duration) *Attempt {
	c.expire(now)
	if c.engineIncarnation == 0 || len(c.running) >= c.cfg.MaxRunning || len(c.prefilling) >= c.cfg.MaxPrefills {
		return nil
	}
	if len(c.prefilling) > 0 && c.remainingPrefillMS(now) > maxRemainingPrefillMS {
		return nil
	}
	e := c.queue.pop()
	if e == nil {
		return nil
	}
	e.startedAt = now
	c.running[e.attempt.ID] = e
	if !e.attempt.PlainService {
		c.prefilling = append(c.prefilling, e)
	}
	return e.attempt
}

// maxRemainingPrefillMS is the expected rest of the engine's current prefill, in ms,
// below which it is given the next attempt. A longer one keeps the next attempt
// in the queue, where an attempt of higher rank can still pass it.
const maxRemainingPrefillMS = 20

// expire moves attempts whose first token would come too late out of the queue.
func (c *Controller) expire(now time.Duration) {
	latest := now + msToDuration(c.remainingPrefillMS(now))
	for i := 0; i < len(c.queue.entries); {
		e := c.queue.entries[i]
		if e.latestStart == 0 || latest <= e.latestStart {
			i++
			continue
		}
		c.expired = append(c.expired, e.attempt)
		c.queue.removeUnserved(i)
	}
}

// TakeExpired returns admitted attempts that were not started because their first
// token would come too late. They have not run and never will; the agent tells
// their routers so.
func (c *Controller) TakeExpired() []*Attempt {
	expired := c.expired
	c.expired = nil
	return expired
}

// RecordFirstToken records that an attempt produced its first token and how many
// prompt tokens the engine took from its cache.
func (c *Controller) RecordFirstToken(now time.Duration, id string, cachedTokens int) {
	for i, e := range c.prefilling {
		if e.attempt.ID != id {
			continue
		}
		busy := now - max(e.startedAt, c.lastFirstToken)
		c.prefillRate.observe(float64(busy)/float64(time.Millisecond), e.attempt.PromptTokens-cachedTokens)
		c.lastFirstToken = now
		c.prefilling = append(c.prefilling[:i], c.prefilling[i+1:]...)
		return
	}
}

// Finish removes an attempt that ended or was cancelled.
func (c *Controller) Finish(_ time.Duration, id string) {
	if c.queue.remove(id) {
		return
	}
	delete(c.running, id)
	for i, e := range c.prefilling {
		if e.attempt.ID == id {
			c.prefilling = append(c.prefilling[:i], c.prefilling[i+1:]...)
			return
		}
	}
}

// Load returns the state that routers are told: the wait of an attempt at the
// end of the queue, in ms, and the numbers of running and waiting attempts.
func (c *Controller) Load(now time.Duration) (queueMS float64, running, waiting int) {
	wait := c.waitMS(now, func(*entry) bool { return true })
	return wait, len(c.running), len(c.queue.entries)
}

// PrefillMSPerToken returns the measured time to compute one prompt token.
func (c *Controller) PrefillMSPerToken() float64 { return c.prefillRate.msPerToken }

// Estimate is what an attempt would meet at this endpoint now.
type Estimate struct {
	CachedTokens int
	Wait         time.Duration
	// PrefillMS is the time to compute the uncached part, in ms.
	PrefillMS float64
}

// Estimate returns what the attempt would meet if it was admitted now.
func (c *Controller) Estimate(now time.Duration, a *Attempt) Estimate {
	cached := min(c.expectedCachedBlocks(a.BlockHashes)*prefix.BlockTokens, max(a.PromptTokens-1, 0))
	start := c.queue.nextVirtualStart(a.Team)
	wait := c.waitMS(now, func(e *entry) bool { return e.runsBefore(a.Priority, start) })
	return Estimate{cached, msToDuration(wait), c.prefillRate.prefillMS(a.PromptTokens - cached)}
}

// expectedCachedBlocks returns the leading blocks that will be cached when the attempt starts:
// those in the cache and those of attempts that are ahead of it.
func (c *Controller) expectedCachedBlocks(hashes []uint64) int {
	best := c.cache.MatchPrefix(hashes)
	for _, e := range c.prefilling {
		best = max(best, commonPrefixLen(e.attempt.BlockHashes, hashes))
	}
	for _, e := range c.queue.entries {
		best = max(best, commonPrefixLen(e.attempt.BlockHashes, hashes))
	}
	return best
}

// commonPrefixLen returns the length of the commonPrefixLen prefix of two chains. Chained hashes
// that are equal at one depth are equal at all smaller ones.
func commonPrefixLen(a, b []uint64) int {
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
func (c *Controller) waitMS(now time.Duration, ahead func(*entry) bool) float64 {
	wait := c.remainingPrefillMS(now)
	for _, e := range c.queue.entries {
		if ahead(e) {
			wait += e.prefillMS
		}
	}
	return wait
}

// remainingPrefillMS returns the time until the engine has produced the first tokens of
// what it was given.
func (c *Controller) remainingPrefillMS(now time.Duration) float64 {
	busy := 0.0
	for i, e := range c.prefilling {
		ms := e.prefillMS
		if i == 0 {
			done := now - max(e.startedAt, c.lastFirstToken)
			ms = max(0, ms-float64(done)/float64(time.Millisecond))
		}
		busy += ms
	}
	return busy
}

func msToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// prefillRate is the measured speed of prefill.
type prefillRate struct {
	msPerToken float64
}

// prefillOverheadTokens is the fixed cost of a prefill, in tokens.
const prefillOverheadTokens = 40

// rateEWMAWeight is the weight of a new measurement.
const rateEWMAWeight = 0.1

func (r *prefillRate) observe(ms float64, tokens int) {
	r.msPerToken += rateEWMAWeight * (ms/float64(max(tokens, 0)+prefillOverheadTokens) - r.msPerToken)
}

func (r *prefillRate) prefillMS(tokens int) float64 {
	return r.msPerToken * float64(max(tokens, 0)+prefillOverheadTokens)
}
