// Package dispatch is the module "dispatch": it runs each caller's request from
// the choice of an endpoint through attempts and retries to its outcome. The state
// machine of package attempt decides each step; this package performs its actions.
package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/decision/budget"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/agentclient"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/trace"
	"github.com/arbutusline/arbutusline/rules"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "dispatch"

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Dispatcher{
			FirstTokenTarget:  settings.Duration(650 * time.Millisecond),
			FirstTokenTimeout: settings.Duration(10 * time.Second),
			RequestTimeout:    settings.Duration(10 * time.Minute),
			MaxRetryWait:      settings.Duration(2 * time.Second),
			MaxCandidates:     3,
		}
	})
}

// Gossip is the part of the module "gossip" that the dispatcher uses.
type Gossip interface {
	// AgentByEndpoint returns the agent that serves the endpoint.
	AgentByEndpoint(endpoint string) (membership.Member, bool)
	// OnCrashSuspicion registers a function that is called with each suspicion that
	// another process reports.
	OnCrashSuspicion(func(*arbutuspb.Suspect))
	// LiveRouterCount returns the number of other routers that are not dead.
	LiveRouterCount() int
}

// RulesSource provides the rules. The module "rules" implements it.
type RulesSource interface {
	// Current returns the rules in force.
	Current() *rules.View
	// Subscribe registers a function that is called with each new version.
	Subscribe(func(*rules.View))
	// ObserveVersion records that the process named from has a version of the rules.
	// If the version is newer than the current one, it is fetched.
	ObserveVersion(version uint64, from string)
}

// Dispatcher runs the requests of callers.
type Dispatcher struct {
	// FirstTokenTarget is the target for the time to the first token. Agents
	// refuse attempts that would miss it. Default "650ms".
	FirstTokenTarget settings.Duration `json:"first_token_target"`
	// FirstTokenTimeout bounds the time to the first token. Default "10s".
	FirstTokenTimeout settings.Duration `json:"first_token_timeout"`
	// RequestTimeout bounds the time to the end of the answer. Default "10m".
	RequestTimeout settings.Duration `json:"request_timeout"`
	// MaxRetryWait bounds the time that a request waits for the retry budget.
	// Default "2s".
	MaxRetryWait settings.Duration `json:"retry_wait"`
	// MaxCandidates is the maximum number of endpoints ranked for an attempt.
	// Default 3.
	MaxCandidates int `json:"candidates"`

	log             *logrus.Entry
	node            *node.Node
	connPool        *agentclient.ConnPool
	gossip          Gossip
	rules           RulesSource
	trace           *trace.Trace
	metrics         *metrics
	startTime       time.Time
	requestSequence atomic.Uint64

	ledger Ledger
	// pendingClaimFinishes counts the ends of claimed attempts that are being recorded.
	pendingClaimFinishes sync.WaitGroup

	// mu guards the fields below.
	mu          sync.Mutex
	placer      *placement.Placer
	retryBudget *budget.RetryBudget
	teamLimits  *budget.TeamLimits
	suspects    *quarantine.Table
	copies      *quarantine.Copies
	// pools holds the endpoints of each pool as they were last passed to the placer.
	pools map[string][]placement.Endpoint
}

// ModuleName returns "dispatch".
func (d *Dispatcher) ModuleName() string { return Name }

// Provision looks up the modules that the dispatcher uses and subscribes to the
// rules.
func (d *Dispatcher) Provision(k *arbutusline.Kernel) error {
	d.log = k.Log.WithField("module", Name)
	d.startTime = time.Now()
	if err := d.lookUpModules(k); err != nil {
		return err
	}
	d.placer = placement.New(placement.Config{MaxCandidates: d.MaxCandidates},
		rand.New(rand.NewPCG(d.node.Incarnation(), 0)))
	d.retryBudget, d.teamLimits = &budget.RetryBudget{}, budget.NewTeamLimits()
	d.suspects, d.copies = quarantine.New(quarantine.Config{}), quarantine.NewCopies()
	d.gossip.OnCrashSuspicion(d.mergePeerSuspicion)
	d.applyRules(d.rules.Current())
	d.rules.Subscribe(d.applyRules)
	return nil
}

func (d *Dispatcher) lookUpModules(k *arbutusline.Kernel) error {
	var err error
	if d.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	if d.connPool, err = arbutusline.Lookup[*agentclient.ConnPool](k, agentclient.Name); err != nil {
		return err
	}
	if d.gossip, err = arbutusline.Lookup[Gossip](k, gossip.Name); err != nil {
		return err
	}
	if d.rules, err = arbutusline.Lookup[RulesSource](k, "rules"); err != nil {
		return err
	}
	if d.ledger, err = arbutusline.Lookup[Ledger](k, "ledger"); err != nil {
		return err
	}
	if d.trace, err = arbutusline.Lookup[*trace.Trace](k, trace.Name); err != nil {
		return err
	}
	adm, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	d.metrics = newMetrics(adm.Registry())
	adm.AddReadinessCheck("rules", d.checkRulesLoaded)
	return nil
}

func (d *Dispatcher) checkRulesLoaded() error {
	if d.rules.Current().Version == 0 {
		return errors.New("no rules have been read yet")
	}
	return nil
}

// Validate checks the settings.
func (d *Dispatcher) Validate() error {
	if d.FirstTokenTarget <= 0 || d.FirstTokenTimeout < d.FirstTokenTarget || d.RequestTimeout < d.FirstTokenTimeout {
		return errors.New("first_token_target, first_token_timeout and request_timeout must be positive and in increasing order")
	}
	if d.MaxCandidates <= 0 || d.MaxRetryWait < 0 {
		return errors.New("candidates must be positive and retry_wait must not be negative")
	}
	return nil
}

// now returns the time since the start of the module, which the state machines use.
func (d *Dispatcher) now() time.Duration { return time.Since(d.startTime) }

// applyRules passes new rules to the placer. It only sets the pools that changed:
// rebuilding a pool blocks the placement of requests, and most changes of rules
// affect few pools.
func (d *Dispatcher) applyRules(view *rules.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.SetPlacementWeights(view.PlacementWeights)
	oldPools := d.pools
	d.pools = make(map[string][]placement.Endpoint, len(oldPools))
	for _, pool := range view.Pools() {
		endpoints := make([]placement.Endpoint, 0, len(pool.Endpoints))
		for _, e := range pool.Endpoints {
			endpoints = append(endpoints, placement.Endpoint{Name: e.Name, Zone: e.Zone})
		}
		d.pools[pool.Name] = endpoints
		if oldEndpoints, ok := oldPools[pool.Name]; !ok || !slices.Equal(oldEndpoints, endpoints) {
			d.placer.SetPool(pool.Name, endpoints)
		}
	}
}

// attemptConfig allows 16 refusals: placement asks up to 8 endpoints that may refuse
// a request because another endpoint looks cheaper. The other 8 allow for the attempt
// that follows and for refusals for other reasons.
var attemptConfig = attempt.Config{MaxRefusals: 16}

// NewRequestID returns an identifier that is unique among all router processes
// and their restarts.
func (d *Dispatcher) NewRequestID() string {
	return strconv.FormatUint(d.node.Incarnation(), 36) + "-" + strconv.FormatUint(d.requestSequence.Add(1), 36)
}

// Request is an authenticated request of a caller.
type Request struct {
	ID   string
	Team *rules.Team
	Kind rules.Kind
	// Target is the name of the model or service.
	Target string
	// Completion is set for models, ServiceCall for plain services.
	Completion  *arbutuspb.Completion
	ServiceCall *arbutuspb.ServiceCall
	// AtMostOnce is true when the request must not run more than once.
	// IdempotencyKey is then the value of its Idempotency-Key header.
	AtMostOnce     bool
	IdempotencyKey string
	// SharedPrefixBlocks lists, in ascending order, the lengths in blocks of the
	// prompt prefixes that other requests may share.
	SharedPrefixBlocks []int
	// Fingerprint is a hash of the team and the body.
	Fingerprint uint64
}

// TokenSink receives the output of a request. Its methods are called from one
// goroutine.
type TokenSink interface {
	// WriteTokens passes output tokens that the endpoint produced; offset is the
	// index of the first. It may block while the caller reads slowly. An error
	// cancels the request.
	WriteTokens(endpoint string, offset int, tokens []string) error
}

// Result is the outcome of a request and the end of its answer.
type Result struct {
	attempt.Finish
	// Done is set when the outcome is OutcomeDone.
	Done *arbutuspb.Done
	// Endpoint is the endpoint of the last attempt.
	Endpoint string
}

// Do runs a request until it ends. The end of ctx means that the caller
// disconnected.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink TokenSink) Result {
	if refusal := d.checkTeamLimit(req); refusal != nil {
		return Result{Finish: *refusal}
	}
	x := d.newExecution(ctx, req, sink)
	defer x.cancel()
	stateMachine, actions := attempt.New(attemptConfig, d.newAttemptRequest(req), d.now())
	x.stateMachine = stateMachine
	return x.run(actions)
}

// checkTeamLimit returns the refusal of a request that exceeds the limit of its
// team, or nil.
func (d *Dispatcher) checkTeamLimit(req *Request) *attempt.Finish {
	tokens := 0
	if c := req.Completion; c != nil {
		tokens = prefix.EstimateTokens(c.Prompt) + int(c.MaxTokens)
	}
	routers := 1 + d.gossip.LiveRouterCount()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.teamLimits.SetRouterCount(routers)
	ok, wait := d.teamLimits.Allow(d.now(), req.Team.Name, req.Team.RequestsPerSecond, req.Team.TokensPerSecond, tokens)
	if ok {
		d.retryBudget.RecordFirstAttempt(d.now())
		return nil
	}
	return &attempt.Finish{
		Outcome: attempt.OutcomeNotRun, Code: CodeTeamLimit, RetryAfter: wait,
		Reason: "team " + req.Team.Name + " is over its limit",
	}
}

// CodeTeamLimit is the code of requests that exceed the limit of their team.
const CodeTeamLimit attempt.Code = "team_limit"

// Stop waits until the ends of all claimed attempts are recorded.
func (d *Dispatcher) Stop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.pendingClaimFinishes.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "ends of claimed attempts were not recorded before shutdown")
	}
}

func (d *Dispatcher) newAttemptRequest(req *Request) attempt.Request {
	return attempt.Request{
		ID:                req.ID,
		AtMostOnce:        req.AtMostOnce,
		FirstTokenTimeout: d.FirstTokenTimeout.AsDuration(),
		Timeout:           d.RequestTimeout.AsDuration(),
	}
}

func (d *Dispatcher) newPlacementRequest(req *Request) *placement.Request {
	p := &placement.Request{
		Pool: rules.PoolName(req.Kind, req.Target, req.Team.Half),
		Zone: d.node.Zone, SharedPrefixBlocks: req.SharedPrefixBlocks,
	}
	if c := req.Completion; c != nil {
		p.NamespaceHash = prefix.Namespace{Team: req.Team.Name, Model: c.Model, Adapter: c.Adapter}.Hash()
		p.BlockHashes = prefix.AppendBlockHashes(nil, p.NamespaceHash, c.Prompt)
		p.PromptTokens = prefix.EstimateTokens(c.Prompt)
	}
	return p
}
