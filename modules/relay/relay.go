// Package relay is the module "relay": it runs a caller's request at an
// endpoint. It chooses the endpoint, sends the request, passes the answer on and
// decides after a failure whether the request may be tried again.
package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/budget"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/decision/strikes"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "relay"

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Relay{
			PrefillTokensPerMs: 40, RetryRatio: 0.2, RetrySlack: 56,
			RetryWindow: settings.Duration(budget.RetryWindow), OldWeightsLimit: settings.Duration(5 * time.Second),
		}
	})
}

// Relay runs requests at endpoints.
type Relay struct {
	// PrefillTokensPerMs is the rate at which an engine reads a prompt. It
	// converts prompt tokens to time when endpoints are compared. Default 40.
	PrefillTokensPerMs float64 `json:"prefill_tokens_per_ms"`
	// RetryRatio and RetrySlack bound the retries that all routers together
	// send to a service within RetryWindow: RetryRatio for each request and
	// RetrySlack beside. Defaults 0.2 and 56.
	RetryRatio float64 `json:"retry_ratio"`
	RetrySlack float64 `json:"retry_slack"`
	// RetryWindow must be 10s.
	RetryWindow settings.Duration `json:"retry_window"`
	// OldWeightsLimit is how long after newer weights were named requests may be
	// sent to an engine with old ones if another one has room. Default 5s.
	OldWeightsLimit settings.Duration `json:"old_weights_limit"`

	log       *logrus.Entry
	directory *directory.Directory
	upstream  *upstream.Client
	zone      string
	origin    time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup
	// cacheStoreDown is true while the KV store does not take connections.
	cacheStoreDown bool

	mu       sync.Mutex
	selector *selection.Selector
	strikes  *strikes.Table
	budgets  map[string]*budget.RetryBudget
	// budgetSeen is the last logged state of each budget.
	budgetSeen map[string]budgetSeen
	loads      map[string]remoteLoad
	// live holds the tries under way by endpoint.
	live map[string]map[*try]bool
	// asking holds the engines that are being asked for their weights.
	asking map[string]bool

	metrics metrics
}

// remoteLoad is the work of another router at all endpoints.
type remoteLoad struct {
	at    time.Duration
	loads []selection.EndpointLoad
}

// loadLife is how long the load reported by another router counts. Routers
// exchange loads several times a second.
const loadLife = 1500 * time.Millisecond

// ModuleName returns "relay".
func (r *Relay) ModuleName() string { return Name }

// Provision looks up the modules that the relay uses.
func (r *Relay) Provision(k *arbutusline.Kernel) error {
	r.log = k.Log.WithField("module", Name)
	r.origin = time.Now()
	r.strikes, r.budgets, r.loads = strikes.New(), map[string]*budget.RetryBudget{}, map[string]remoteLoad{}
	r.budgetSeen = map[string]budgetSeen{}
	r.live, r.asking = map[string]map[*try]bool{}, map[string]bool{}
	r.begin()
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	if r.directory, err = arbutusline.Lookup[*directory.Directory](k, directory.Name); err != nil {
		return err
	}
	if r.upstream, err = arbutusline.Lookup[*upstream.Client](k, upstream.Name); err != nil {
		return err
	}
	n, err := arbutusline.Lookup[*node.Node](k, node.Name)
	if err != nil {
		return err
	}
	r.metrics.register(a.Registry())
	r.zone = n.Zone
	r.selector = selection.New(selection.Config{
		PrefillTokensPerMS: r.PrefillTokensPerMs, FetchTokensPerMS: fetchTokensPerMs, RecomputeFactor: rereadFactor, RunningRequestCost: runCost, CrossZoneCost: zoneCost,
		OldWeightsCost: oldWeightsCost, OldWeightsGrace: oldWeightsGrace, OldWeightsLimit: r.OldWeightsLimit.AsDuration(),
		FailureCost: failureCost,
		ServiceTime: serviceTime, HolderLifetime: partLife, MaxParts: maxParts,
	}, r.zone)
	r.directory.Subscribe(r.onView)
	return nil
}

const (
	// rereadFactor weighs the reading of shared parts against other work:
	// reading them again also delays every request behind.
	rereadFactor = 4
	// fetchTokensPerMs is half the rate of an engine's link, for transfers that
	// wait for others or cross an availability zone.
	fetchTokensPerMs = 120
	// runCost is the growth of an engine's step with one more request.
	runCost = 300 * time.Microsecond
	// zoneCost is a round trip between availability zones.
	zoneCost = 3 * time.Millisecond
	// oldWeightsCost outweighs the reading of the longest shared prompts.
	oldWeightsCost = 80 * time.Millisecond
	// oldWeightsGrace is the time within which new weights have no advantage
	// for callers.
	oldWeightsGrace = time.Second
	// failureCost outweighs a full queue of a plain service.
	failureCost = 500 * time.Millisecond
	// serviceTime is the usual time of a call to a plain service.
	serviceTime = 30 * time.Millisecond
	// partLife is the time after which engines have mostly evicted a part.
	partLife = 60 * time.Second
	// maxParts takes about 4 MB.
	maxParts = 20000
)

// Validate checks the ranges of the settings.
func (r *Relay) Validate() error {
	if r.PrefillTokensPerMs <= 0 || r.RetryRatio < 0 || r.RetrySlack < 0 {
		return errors.New("prefill_tokens_per_ms must be positive, retry_ratio and retry_slack not negative")
	}
	if r.RetryWindow.AsDuration() != budget.RetryWindow {
		return errors.Newf("retry_window must be %s", budget.RetryWindow)
	}
	return nil
}

// Reload takes the retry budget and the limit for old weights.
func (r *Relay) Reload(next arbutusline.Module) {
	n := next.(*Relay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.RetryRatio, r.RetrySlack, r.OldWeightsLimit = n.RetryRatio, n.RetrySlack, n.OldWeightsLimit
	r.selector.SetOldWeightsLimit(r.OldWeightsLimit.AsDuration())
}

func (r *Relay) now() time.Duration { return time.Since(r.origin) }

func (r *Relay) onView(v *fleet.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.ForgetRemovedEndpoints(v)
}

// Loads returns this router's work at endpoints.
func (r *Relay) Loads() []selection.EndpointLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.Loads()
}

// RemoteLoads takes the work of another router at endpoints.
func (r *Relay) RemoteLoads(router string, loads []selection.EndpointLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.loads[router] = remoteLoad{now, loads}
	var all []selection.EndpointLoad
	for name, l := range r.loads {
		if now-l.at > loadLife {
			delete(r.loads, name)
			continue
		}
		all = append(all, l.loads...)
	}
	r.selector.SetRemoteLoads(all)
}

// NewParts returns the prompt parts that endpoints have read for this router
// since the last call.
func (r *Relay) NewParts() []selection.CachedParts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.TakeNewParts()
}

// RemoteParts takes the prompt parts that endpoints have read for another
// router.
func (r *Relay) RemoteParts(held []selection.CachedParts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.ObserveRemoteParts(r.now(), held)
}

// CacheEvents takes an engine's own word for what it holds. Restarted means that
// its cache was empty before the events.
func (r *Relay) CacheEvents(endpoint string, events []platform.CacheEvent, restarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if restarted {
		r.selector.ObserveCacheCleared(endpoint)
	}
	for _, e := range events {
		weights, team, ok := splitNamespace(e.CacheNamespace)
		if !ok {
			continue // The part was not read for this system.
		}
		r.selector.ObserveCacheEvent(r.now(), endpoint, selection.PartKey(team, e.Model, e.PartID), weights, e.CachedTokens)
	}
}

// Strikes returns strikes that other routers may not know.
func (r *Relay) Strikes(most int) []strikes.CrashReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.strikes.PendingReports(r.now(), most)
}

// Struck takes a strike of another router.
func (r *Relay) Struck(s strikes.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.struck(s, "router")
}

// struck records a strike and logs the one from which on the request is refused. The
// caller holds mu.
func (r *Relay) struck(s strikes.CrashReport, source string) {
	if r.strikes.Add(r.now(), s) && r.strikes.MustRefuse(r.now(), s.Fingerprint) {
		r.log.WithFields(logrus.Fields{
			"fingerprint": s.Fingerprint, "endpoint": s.Endpoint, "age_ms": s.Age.Milliseconds(), "source": source,
		}).Warn("request refused from now on: it crashes endpoints")
	}
}

// SwappingSoon keeps long requests away from an endpoint that changes its weights
// next, and moves the streams there that may go on elsewhere.
func (r *Relay) SwappingSoon(endpoint, model string, version uint64) {
	routers := len(r.directory.OtherRouters()) + 1
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selector.ObserveWeightsChangeSoon(r.now(), endpoint, model, version) {
		r.moveStreams(endpoint, routers)
	}
}

// Swapping keeps requests away from an endpoint that is about to change its
// weights, and moves the streams there that may go on elsewhere.
func (r *Relay) Swapping(endpoint, model string, version uint64) {
	routers := len(r.directory.OtherRouters()) + 1
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selector.ObserveWeightsChangeStarted(r.now(), endpoint, model, version) {
		r.moveStreams(endpoint, routers)
	}
}

// moveStreams ends the tries of streams that another endpoint takes now. The retry
// is paid for first: a stream that was cut off without one could not go on. The
// caller holds mu.
func (r *Relay) moveStreams(endpoint string, routers int) {
	v := r.directory.View()
	for t := range r.live[endpoint] {
		if !t.movable() {
			continue
		}
		request := t.request()
		request.Exclude, request.MovedForWeightsChange = append(slices.Clone(request.Exclude), endpoint), true
		if _, elsewhere := r.selector.Select(r.now(), time.Now(), v, request); !elsewhere {
			continue
		}
		if r.budget(t.job.Service, routers).AllowShare(r.now(), movesShare) {
			t.cancel(errMoved)
		}
	}
}

// Running returns the requests that all routers have at an endpoint, and how many
// of them may take seconds.
func (r *Relay) Running(endpoint string) (all, long int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.RunningRequests(endpoint), r.selector.LongRunningRequests(endpoint)
}

// Use returns whether this router sends requests to an endpoint, or why not, with
// the requests and unread prompt tokens that all routers have there.
func (r *Relay) Use(e *fleet.Endpoint) (use selection.Availability, running, unread int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.Availability(r.now(), e), r.selector.RunningRequests(e.ID), r.selector.PendingPrefillTokens(e.ID)
}

// track notes a try under way, or its end.
func (r *Relay) track(t *try, live bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := t.choice.Endpoint.ID
	if live {
		if r.live[id] == nil {
			r.live[id] = map[*try]bool{}
		}
		r.live[id][t] = true
		return
	}
	delete(r.live[id], t)
	if len(r.live[id]) == 0 {
		delete(r.live, id)
	}
}

// Swapped lets requests through to an endpoint that has changed its weights.
func (r *Relay) Swapped(endpoint, model string, version uint64) {
	r.directory.ObserveWeightsVersion(endpoint, model, version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.ObserveWeightsChangeDone(endpoint)
}

// allowRetry takes one retry from the service's budget.
func (r *Relay) allowRetry(service string) bool {
	routers := len(r.directory.OtherRouters()) + 1
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(service, routers)
	allowed := b.Allow(r.now())
	r.noteBudget(service, b, allowed)
	return allowed
}

// noteBudget logs when a service's retry budget is used up or has room again, at
// most once in budgetLogPause. The caller holds mu.
func (r *Relay) noteBudget(service string, b *budget.RetryBudget, allowed bool) {
	seen := r.budgetSeen[service]
	if seen.used == !allowed || seen.used && r.now()-seen.at < budgetLogPause {
		return
	}
	r.budgetSeen[service] = budgetSeen{used: !allowed, at: r.now()}
	firsts, retries := b.Counts(r.now())
	log := r.log.WithFields(logrus.Fields{"service": service, "first": firsts, "retries": retries, "slack": b.Slack})
	if allowed {
		log.Info("retry budget has room")
	} else {
		log.Warn("retry budget used up")
	}
}

// budgetLogPause bounds the lines about a budget that is used up again and again.
const budgetLogPause = time.Second

// budgetSeen is what was logged of a retry budget, and when.
type budgetSeen struct {
	used bool
	at   time.Duration
}

func (r *Relay) countFirst(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service, 0).RecordFirstAttempt(r.now())
}

// budget returns the service's budget, with the slack divided by the number of
// routers when that is given.
func (r *Relay) budget(service string, routers int) *budget.RetryBudget {
	b := r.budgets[service]
	if b == nil {
		b = &budget.RetryBudget{}
		r.budgets[service] = b
	}
	b.Ratio = r.RetryRatio * budgetUse
	if routers > 0 {
		b.Slack = r.RetrySlack * budgetUse / float64(routers)
	}
	return b
}

// movesShare is the part of the retry budget that moving streams may use; the rest
// is for failures.
const movesShare = 0.75

// budgetUse leaves room for routers that do not know of each other yet.
const budgetUse = 0.8

type metrics struct {
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
	denied   *prometheus.CounterVec
	refusals *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	cached   prometheus.Counter
	read     prometheus.Counter
}

func (m *metrics) register(r prometheus.Registerer) {
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_requests_total", Help: "Requests by route kind and outcome.",
	}, []string{"kind", "outcome"})
	m.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_retries_total", Help: "Further attempts by the reason for which the one before failed.",
	}, []string{"reason"})
	m.denied = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_retries_denied_total", Help: "Failed attempts after which there was no further one, by reason.",
	}, []string{"reason"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_refusals_total", Help: "Requests that were refused and have not run, by reason.",
	}, []string{"reason"})
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "arbutus_first_answer_seconds", Help: "Time from arrival to the answer or first event.",
		Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
	}, []string{"kind"})
	m.cached = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "arbutus_prompt_tokens_expected_cached_total", Help: "Prompt tokens believed to be cached where they were sent.",
	})
	m.read = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "arbutus_prompt_tokens_expected_read_total", Help: "Prompt tokens believed to be read by the engine.",
	})
	r.MustRegister(m.requests, m.retries, m.denied, m.refusals, m.latency, m.cached, m.read)
}
