// Package dispatch is the module "dispatch": it carries a caller's request
// through placement, claims, attempts and retries to its outcome.
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
			RetryWait:         settings.Duration(2 * time.Second),
			Candidates:        3,
		}
	})
}

// Directory is the module "gossip", which knows the agent beside an endpoint.
type Directory interface {
	AgentByEndpoint(endpoint string) (membership.Member, bool)
	// OnCrashSuspicion calls the function with each suspicion that a peer spreads.
	OnCrashSuspicion(func(*arbutuspb.Suspect))
	// LiveRouterCount returns the number of other routers that are not dead.
	LiveRouterCount() int
}

// RulesSource is the module "rules".
type RulesSource interface {
	Current() *rules.View
	Subscribe(func(*rules.View))
	ObserveVersion(version uint64, from string)
}

// Dispatcher runs requests.
type Dispatcher struct {
	// FirstTokenTarget is the time to the first token that agents bound their
	// queues by. Default "650ms".
	FirstTokenTarget settings.Duration `json:"first_token_target"`
	// FirstTokenTimeout is the longest time to the first token. Default "10s".
	FirstTokenTimeout settings.Duration `json:"first_token_timeout"`
	// RequestTimeout is the longest time for a whole answer. Default "10m".
	RequestTimeout settings.Duration `json:"request_timeout"`
	// RetryWait is how long a request may wait for the retry budget. Default
	// "2s".
	RetryWait settings.Duration `json:"retry_wait"`
	// Candidates is the number of endpoints ranked for an attempt. Default 3.
	Candidates int `json:"candidates"`

	log       *logrus.Entry
	node      *node.Node
	client    *agentclient.Client
	directory Directory
	rules     RulesSource
	trace     *trace.Trace
	metrics   *metrics
	started   time.Time
	sequence  atomic.Uint64

	ledger    Ledger
	recording sync.WaitGroup

	mu       sync.Mutex
	placer   *placement.Placer
	retries  *budget.RetryBudget
	teams    *budget.TeamLimits
	suspects *quarantine.Table
	// pools lists the endpoints of each pool that the placer has.
	pools map[string][]placement.Endpoint
}

// ModuleName returns "dispatch".
func (d *Dispatcher) ModuleName() string { return Name }

// Provision looks up the modules that the dispatcher uses.
func (d *Dispatcher) Provision(k *arbutusline.Kernel) error {
	d.log = k.Log.WithField("module", Name)
	d.started = time.Now()
	if err := d.lookup(k); err != nil {
		return err
	}
	d.placer = placement.New(placement.Config{MaxCandidates: d.Candidates},
		rand.New(rand.NewPCG(d.node.Incarnation(), 0)))
	d.retries, d.teams = &budget.RetryBudget{}, budget.NewTeamLimits()
	d.suspects = quarantine.New(quarantine.Config{})
	d.directory.OnCrashSuspicion(d.suspected)
	d.rulesChanged(d.rules.Current())
	d.rules.Subscribe(d.rulesChanged)
	return nil
}

func (d *Dispatcher) lookup(k *arbutusline.Kernel) error {
	var err error
	if d.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	if d.client, err = arbutusline.Lookup[*agentclient.Client](k, agentclient.Name); err != nil {
		return err
	}
	if d.directory, err = arbutusline.Lookup[Directory](k, gossip.Name); err != nil {
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
	adm.AddReadinessCheck("rules", d.rulesReady)
	return nil
}

func (d *Dispatcher) rulesReady() error {
	if d.rules.Current().Version == 0 {
		return errors.New("no rules have been read yet")
	}
	return nil
}

// Validate checks the settings.
func (d *Dispatcher) Validate() error {
	if d.FirstTokenTarget <= 0 || d.FirstTokenTimeout < d.FirstTokenTarget || d.RequestTimeout < d.FirstTokenTimeout {
		return errors.New("first_token_target, first_token_timeout and request_timeout must be positive and rise in this order")
	}
	if d.Candidates <= 0 || d.RetryWait < 0 {
		return errors.New("candidates must be positive and retry_wait not negative")
	}
	return nil
}

func (d *Dispatcher) now() time.Duration { return time.Since(d.started) }

// rulesChanged gives the placer the endpoints of each pool that changed. Most
// changes concern few endpoints, and building the order of a pool again holds
// up the decisions of this router.
func (d *Dispatcher) rulesChanged(view *rules.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.SetGoalWeights(view.PlacementWeights)
	old := d.pools
	d.pools = make(map[string][]placement.Endpoint, len(old))
	for _, pool := range view.Pools() {
		endpoints := make([]placement.Endpoint, 0, len(pool.Endpoints))
		for _, e := range pool.Endpoints {
			endpoints = append(endpoints, placement.Endpoint{Name: e.Name, Zone: e.Zone})
		}
		d.pools[pool.Name] = endpoints
		if had, ok := old[pool.Name]; !ok || !slices.Equal(had, endpoints) {
			d.placer.SetPool(pool.Name, endpoints)
		}
	}
}

// attemptConfig lets as many endpoints refuse a request for cost as placement
// asks (8), and leaves room for the offer after that and for refusals of other
// kinds.
var attemptConfig = attempt.Config{MaxRefusals: 16}

// NewRequestID returns an identifier that no other router run gives out.
func (d *Dispatcher) NewRequestID() string {
	return strconv.FormatUint(d.node.Incarnation(), 36) + "-" + strconv.FormatUint(d.sequence.Add(1), 36)
}

// Request is a caller's request after authentication.
type Request struct {
	ID   string
	Team *rules.Team
	Kind rules.Kind
	// Target is the model or service.
	Target string
	// Completion is set for models, Service for plain services.
	Completion *arbutuspb.Completion
	Service    *arbutuspb.ServiceCall
	// Once is true when the request may not be repeated; Key is then the
	// caller's Idempotency-Key.
	Once bool
	Key  string
	// Levels lists, ascending and in blocks, the depths at which a part of the
	// prompt ends that other requests may share.
	Levels []int
	// Fingerprint is a hash of team and body.
	Fingerprint uint64
}

// Sink receives the answer of a request. Its methods are called from one
// goroutine.
type Sink interface {
	// Tokens passes output tokens; offset is the index of the first and
	// endpoint the one that made them. It may block while the caller reads
	// slowly. After an error the request is cancelled.
	Tokens(endpoint string, offset int, tokens []string) error
}

// Result is the end of a request.
type Result struct {
	attempt.Finish
	// Done is set when the outcome is done.
	Done *arbutuspb.Done
	// Endpoint is the last one that was tried.
	Endpoint string
}

// Do runs a request to its end. Ending ctx means that the caller went away.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) Result {
	if refused := d.checkLimit(req); refused != nil {
		return Result{Finish: *refused}
	}
	x := d.newExecution(ctx, req, sink)
	defer x.cancel()
	machine, actions := attempt.New(attemptConfig, d.limits(req), d.now())
	x.machine = machine
	return x.run(actions)
}

// checkLimit refuses a request over its team's limit.
func (d *Dispatcher) checkLimit(req *Request) *attempt.Finish {
	tokens := 0
	if c := req.Completion; c != nil {
		tokens = prefix.EstimateTokens(c.Prompt) + int(c.MaxTokens)
	}
	routers := 1 + d.directory.LiveRouterCount()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.teams.SetRouters(routers)
	ok, wait := d.teams.Allow(d.now(), req.Team.Name, req.Team.RequestsPerSecond, req.Team.TokensPerSecond, tokens)
	if ok {
		d.retries.RecordFirstAttempt(d.now())
		return nil
	}
	return &attempt.Finish{
		Outcome: attempt.OutcomeNotRun, Code: CodeTeamLimit, RetryAfter: wait,
		Reason: "team " + req.Team.Name + " is over its limit",
	}
}

// CodeTeamLimit refuses requests over their team's limit.
const CodeTeamLimit attempt.Code = "team_limit"

// Stop waits until the ends of claimed attempts are recorded.
func (d *Dispatcher) Stop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.recording.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "ends of claimed attempts were not recorded")
	}
}

func (d *Dispatcher) limits(req *Request) attempt.Request {
	return attempt.Request{
		ID:                req.ID,
		AtMostOnce:        req.Once,
		FirstTokenTimeout: d.FirstTokenTimeout.AsDuration(),
		Timeout:           d.RequestTimeout.AsDuration(),
	}
}

func (d *Dispatcher) placementOf(req *Request) *placement.Request {
	p := &placement.Request{
		Pool: rules.PoolName(req.Kind, req.Target, req.Team.Half),
		Zone: d.node.Zone, SharedPrefixBlocks: req.Levels,
	}
	if c := req.Completion; c != nil {
		p.NamespaceHash = prefix.Namespace{Team: req.Team.Name, Model: c.Model, Adapter: c.Adapter}.Hash()
		p.BlockHashes = prefix.AppendBlockHashes(nil, p.NamespaceHash, c.Prompt)
		p.PromptTokens = prefix.EstimateTokens(c.Prompt)
	}
	return p
}
