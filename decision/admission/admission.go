// Package admission decides on an agent which attempts its endpoint runs, and in
// which order. It is a pure state machine without clock or I/O; now is the time
// since an arbitrary origin.
//
// Only the agent knows the exact cache and queue of its endpoint. It admits an
// attempt if the first token can arrive in time. Otherwise it refuses the attempt
// at once, so that the router can try the next candidate.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/rules"
)

// Reason is the stable code of a refusal. A refused attempt has not run.
type Reason string

// Reasons for a refusal.
const (
	// ReasonWrongIncarnation: the attempt is addressed to another start of the agent
	// process.
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	// ReasonFenced: the agent has reported that the attempt did not run and never
	// will.
	ReasonFenced Reason = "fenced"
	// ReasonForbidden: the rules don't allow the team to use the endpoint.
	ReasonForbidden   Reason = "forbidden_endpoint"
	ReasonDraining    Reason = "draining"
	ReasonQuarantined Reason = "quarantined"
	// ReasonDeadline: the first token can't arrive in time.
	ReasonDeadline     Reason = "deadline"
	ReasonQueueFull    Reason = "queue_full"
	ReasonEngineDown   Reason = "engine_down"
	ReasonShuttingDown Reason = "shutting_down"
	ReasonStaleRules   Reason = "stale_rules"
	// ReasonWrongWeights: the engine serves another version of the weights.
	ReasonWrongWeights Reason = "wrong_weights"
	// ReasonCheaperElsewhere: another endpoint is expected to serve the attempt at a
	// lower cost.
	ReasonCheaperElsewhere Reason = "busier"
)

// Attempt is one execution of a request that a router asks the agent to run.
type Attempt struct {
	ID       string
	Team     string
	Priority int
	// AgentIncarnation identifies the start of the agent process that the router
	// addresses.
	AgentIncarnation uint64
	// BlockHashes are the hashes of the prompt's blocks. Each covers the blocks
	// before it.
	BlockHashes    []uint64
	PromptTokens   int
	MaxTokens      int
	WeightsVersion string
	// FirstTokenBudget is the time left until the first token is due. 0 means no
	// deadline; a negative value means that the deadline has passed.
	FirstTokenBudget time.Duration
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// SuspicionLevel is the quarantine.Level of the request as the router knows it.
	SuspicionLevel int
	// PlainService is true for a request to a plain HTTP service, which has no prefill.
	PlainService bool
	// MustQueue tells the agent to queue the attempt even if another endpoint would be
	// cheaper.
	MustQueue bool
	// AlternativeCostMS is the cost in ms that the router expects at the next
	// candidate, or 0 if unknown.
	AlternativeCostMS float64
	// PrefillWeight is the weight of prefill in AlternativeCostMS. 0 means the
	// weight that follows from the rules.
	PrefillWeight float64
}

// Decision is the answer to an offered attempt.
type Decision struct {
	Admitted bool
	// Reason is set when the attempt is refused.
	Reason       Reason
	CachedTokens int
	// ExpectedWait is the time until the endpoint starts the attempt.
	ExpectedWait time.Duration
	// RetryAfter is the time after which this endpoint could admit a refused
	// attempt.
	RetryAfter time.Duration
}

// Config holds the parameters of a Controller.
type Config struct {
	Endpoint         string
	AgentIncarnation uint64
	// MaxRunning is the number of attempts that the endpoint runs at once. Default 16.
	MaxRunning int
	// QueueLimit is the maximum number of waiting attempts. Default 64.
	QueueLimit int
	// MaxPrefills is the maximum number of attempts sent to the engine that have no
	// first token yet. Default 2: the engine computes the prompt of one and can start
	// with the other without a pause. Further attempts wait in the queue, where their
	// order can still change.
	MaxPrefills int
	// InitialPrefillMSPerToken is the assumed time to compute a prompt token until
	// the engine's own rate has been measured. Default 0.1 ms.
	InitialPrefillMSPerToken float64
	// IsFenced reports whether an attempt was reported as not run. Default: no attempt
	// is fenced.
	IsFenced func(attemptID string) bool
	// IsQuarantined reports whether a request must not run. Default: no request is
	// quarantined.
	IsQuarantined func(fingerprint uint64, suspicionLevel int) bool
}

func (c *Config) setDefaults() {
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

// Controller is the admission controller of one endpoint. It is not safe for
// concurrent use.
type Controller struct {
	cfg       Config
	rulesView *rules.View
	costModel placement.CostModel
	cache     *CacheView
	queue     queue
	// running holds the attempts that were sent to the engine, by ID.
	running map[string]*entry
	// prefilling lists the running attempts without a first token, in start order.
	prefilling   []*entry
	expired      []*Attempt
	shuttingDown bool
	// engineIncarnation is 0 while the engine is down.
	engineIncarnation uint64
	weightsVersion    string
	prefillRate       prefillRate
	// lastFirstToken is when the engine last produced the first token of an attempt.
	lastFirstToken time.Duration
}

// New returns a controller that refuses all attempts until it has rules and an
// engine.
func New(cfg Config) *Controller {
	cfg.setDefaults()
	c := &Controller{
		cfg: cfg, cache: NewCacheView(), queue: newQueue(), running: map[string]*entry{},
		prefillRate: prefillRate{msPerToken: cfg.InitialPrefillMSPerToken},
	}
	c.applyRules(rules.Empty())
	return c
}

// SetRules installs a newer version of the rules; older ones are ignored.
func (c *Controller) SetRules(view *rules.View) {
	if view.Version >= c.rulesView.Version {
		c.applyRules(view)
	}
}

func (c *Controller) applyRules(view *rules.View) {
	c.rulesView, c.costModel = view, placement.NewCostModel(view.PlacementWeights)
}

// EngineUp records the incarnation of the agent's engine. The cache of a new
// incarnation counts as empty until its events or a snapshot arrive.
func (c *Controller) EngineUp(engineIncarnation uint64) {
	if engineIncarnation != c.cache.EngineIncarnation() {
		c.cache.Reset(engineIncarnation, 0)
	}
	c.engineIncarnation = engineIncarnation
}

// SetWeightsVersion records the version of the weights that the engine serves.
// Attempts for another version are refused; "" accepts all.
func (c *Controller) SetWeightsVersion(version string) { c.weightsVersion = version }

// EngineDown records that the engine crashed and returns the attempts that were
// running, sorted by ID. Waiting attempts stay queued for the next incarnation.
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

// Cache returns the view of the engine's cache. The caller applies the engine's
// cache events to it.
func (c *Controller) Cache() *CacheView { return c.cache }

// Shutdown makes the controller refuse all new attempts.
func (c *Controller) Shutdown() { c.shuttingDown = true }

// Offer decides whether to admit a new attempt. An admitted attempt waits until
// Next or TakeExpired returns it.
func (c *Controller) Offer(now time.Duration, a *Attempt) Decision {
	team, reason := c.checkEligibility(a)
	if reason != "" {
		return Decision{Reason: reason}
	}
	est := c.Estimate(now, a)
	d := Decision{CachedTokens: est.CachedTokens, ExpectedWait: est.Wait}
	d.Reason, d.RetryAfter = c.checkLoad(a, est)
	if d.Reason != "" {
		return d
	}
	d.Admitted = true
	e := &entry{attempt: a, prefillMS: est.PrefillMS}
	if a.FirstTokenBudget > 0 {
		e.latestStart = now + a.FirstTokenBudget - msToDuration(est.PrefillMS)
	}
	c.queue.push(e, a.Team, team.Share)
	return d
}

// checkEligibility applies the checks that don't depend on load, in the order of the
// design page. It returns the attempt's team, or the reason for a refusal.
func (c *Controller) checkEligibility(a *Attempt) (*rules.Team, Reason) {
	endpoint, endpointKnown := c.rulesView.Endpoint(c.cfg.Endpoint)
	team, teamKnown := c.rulesView.Team(a.Team)
	switch {
	case c.shuttingDown:
		return nil, ReasonShuttingDown
	case a.AgentIncarnation != c.cfg.AgentIncarnation:
		return nil, ReasonWrongIncarnation
	case c.cfg.IsFenced(a.ID):
		return nil, ReasonFenced
	case !endpointKnown || !teamKnown || !c.rulesView.MayUse(team, endpoint):
		return nil, ReasonForbidden
	case endpoint.Draining:
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

// checkLoad applies the checks that depend on load: deadline, queue length and
// expected cost. It returns the reason for a refusal and when to retry.
func (c *Controller) checkLoad(a *Attempt, est Estimate) (Reason, time.Duration) {
	firstTokenIn := est.Wait + msToDuration(est.PrefillMS)
	switch {
	case a.FirstTokenBudget != 0 && firstTokenIn > a.FirstTokenBudget:
		return ReasonDeadline, firstTokenIn - a.FirstTokenBudget
	case len(c.queue.entries) >= c.cfg.QueueLimit:
		return ReasonQueueFull, est.Wait
	case !a.MustQueue && c.cheaperElsewhere(a, est):
		return ReasonCheaperElsewhere, est.Wait
	}
	return "", 0
}

// cheaperElsewhere reports whether another endpoint is expected to serve the
// attempt at a lower cost. If the router named no alternative, the comparison is
// with an idle endpoint without cached blocks: waiting here must not cost more than
// computing the cached part again.
func (c *Controller) cheaperElsewhere(a *Attempt, est Estimate) bool {
	wait := float64(est.Wait) / float64(time.Millisecond)
	model := c.costModel
	if a.PrefillWeight > 0 {
		model.PrefillWeight = a.PrefillWeight
	}
	costHere := model.Cost(wait, est.PrefillMS, 0)
	costElsewhere := a.AlternativeCostMS
	if costElsewhere <= 0 {
		costElsewhere = model.Cost(0, c.prefillRate.prefillMS(a.PromptTokens), 0)
	}
	return costHere > costElsewhere+reofferCostMS
}

// reofferCostMS is the cost of offering an attempt to one more endpoint: a round
// trip between availability zones.
const reofferCostMS = 3

// Next returns the next attempt to start, or nil if the queue is empty, the engine is
// down or the engine has enough work.
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

// maxRemainingPrefillMS is the expected remaining prefill time of the engine up to
// which Next returns another attempt. With more work the attempt stays in the queue,
// where an attempt of higher priority can still start before it.
const maxRemainingPrefillMS = 20

// expire moves attempts whose first token would be late from the queue to expired.
func (c *Controller) expire(now time.Duration) {
	earliestStart := now + msToDuration(c.remainingPrefillMS(now))
	for i := 0; i < len(c.queue.entries); {
		e := c.queue.entries[i]
		if e.latestStart == 0 || earliestStart <= e.latestStart {
			i++
			continue
		}
		c.expired = append(c.expired, e.attempt)
		c.queue.removeUnserved(i)
	}
}

// TakeExpired returns the admitted attempts that have expired since the last call:
// they were not started because their first token would have been late. They have
// not run and never will, and the agent reports that to their routers.
func (c *Controller) TakeExpired() []*Attempt {
	expired := c.expired
	c.expired = nil
	return expired
}

// RecordFirstToken records that an attempt produced its first token, and how many
// prompt tokens the engine read from its cache.
func (c *Controller) RecordFirstToken(now time.Duration, id string, cachedTokens int) {
	for i, e := range c.prefilling {
		if e.attempt.ID != id {
			continue
		}
		prefillTime := now - max(e.startedAt, c.lastFirstToken)
		c.prefillRate.observe(float64(prefillTime)/float64(time.Millisecond), e.attempt.PromptTokens-cachedTokens)
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

// Load returns the load that is reported to routers: the expected wait at the end of
// the queue, in ms, and the numbers of running and waiting attempts.
func (c *Controller) Load(now time.Duration) (queueWaitMS float64, running, waiting int) {
	wait := c.waitMS(now, func(*entry) bool { return true })
	return wait, len(c.running), len(c.queue.entries)
}

// PrefillMSPerToken returns the measured time to compute one prompt token, in ms.
func (c *Controller) PrefillMSPerToken() float64 { return c.prefillRate.msPerToken }

// Estimate is what an attempt can expect at this endpoint.
type Estimate struct {
	CachedTokens int
	Wait         time.Duration
	// PrefillMS is the time to compute the uncached part of the prompt, in ms.
	PrefillMS float64
}

// Estimate returns what the attempt can expect if it is admitted now.
func (c *Controller) Estimate(now time.Duration, a *Attempt) Estimate {
	cached := min(c.expectedCachedBlocks(a.BlockHashes)*prefix.TokensPerBlock, max(a.PromptTokens-1, 0))
	start := c.queue.nextVirtualStart(a.Team)
	wait := c.waitMS(now, func(e *entry) bool { return e.runsBefore(a.Priority, start) })
	return Estimate{cached, msToDuration(wait), c.prefillRate.prefillMS(a.PromptTokens - cached)}
}

// expectedCachedBlocks returns the number of leading blocks that will be cached when
// the attempt starts: those in the cache, and those that other waiting or prefilling
// attempts compute.
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

// commonPrefixLen returns the number of leading hashes that two chains share. Each
// hash covers the blocks before it, so that hashes which are equal at one depth are
// equal at all smaller depths.
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

// waitMS returns the time in ms until an attempt starts, given which queued entries
// are ahead of it.
func (c *Controller) waitMS(now time.Duration, ahead func(*entry) bool) float64 {
	wait := c.remainingPrefillMS(now)
	for _, e := range c.queue.entries {
		if ahead(e) {
			wait += e.prefillMS
		}
	}
	return wait
}

// remainingPrefillMS returns the time in ms until the engine has produced the first
// token of every attempt sent to it.
func (c *Controller) remainingPrefillMS(now time.Duration) float64 {
	remaining := 0.0
	for i, e := range c.prefilling {
		ms := e.prefillMS
		if i == 0 {
			elapsed := now - max(e.startedAt, c.lastFirstToken)
			ms = max(0, ms-float64(elapsed)/float64(time.Millisecond))
		}
		remaining += ms
	}
	return remaining
}

func msToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// prefillRate is the measured time that the engine needs per prompt token.
type prefillRate struct {
	msPerToken float64
}

// prefillOverheadTokens is the fixed cost of each prefill, expressed in tokens.
const prefillOverheadTokens = 40

// rateEWMAWeight is the weight of a new measurement in the moving average.
const rateEWMAWeight = 0.1

func (r *prefillRate) observe(ms float64, tokens int) {
	r.msPerToken += rateEWMAWeight * (ms/float64(max(tokens, 0)+prefillOverheadTokens) - r.msPerToken)
}

func (r *prefillRate) prefillMS(tokens int) float64 {
	return r.msPerToken * float64(max(tokens, 0)+prefillOverheadTokens)
}
