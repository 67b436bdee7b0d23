// Package relay is the module "relay", which runs callers' requests at endpoints. It
// selects the endpoint, sends the request, forwards the response and decides after a
// failure whether to retry the request.
package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/budget"
	"github.com/arbutusline/arbutusline/decision/costmodel"
	"github.com/arbutusline/arbutusline/decision/overload"
	"github.com/arbutusline/arbutusline/decision/poison"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/decision/strikes"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/streamversions"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "relay"

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Relay{
			PrefillTokensPerMS: 40, RetryRatio: 0.2, RetrySlack: 56,
			RetryWindow: settings.Duration(budget.RetryWindow), OldWeightsLimit: settings.Duration(5 * time.Second),
			WeightsDeadline: settings.Duration(8 * time.Second),
		}
	})
}

// Relay runs requests at endpoints.
type Relay struct {
	// PrefillTokensPerMS is the prefill rate of an engine. It converts prompt tokens
	// to time when endpoints are compared. Default 40.
	PrefillTokensPerMS float64 `json:"prefill_tokens_per_ms"`
	// RetryRatio and RetrySlack bound the retries that all routers together send to a
	// service within RetryWindow: RetryRatio retries per request, plus RetrySlack
	// retries. Defaults 0.2 and 56.
	RetryRatio float64 `json:"retry_ratio"`
	RetrySlack float64 `json:"retry_slack"`
	// RetryWindow must be 10s.
	RetryWindow settings.Duration `json:"retry_window"`
	// OldWeightsLimit is how long after the publication of a new weights version
	// requests may be sent to an engine with an older version although an engine
	// with the new one is available. Default 5s.
	OldWeightsLimit settings.Duration `json:"old_weights_limit"`
	// WeightsDeadline is the time after the publication of a new weights version from
	// which no request begins on an older one, even if no engine has loaded the new
	// one, unless no router reaches the store. Default 8s.
	WeightsDeadline settings.Duration `json:"weights_deadline"`
	// CostAware lets the router learn what requests cost and how fast endpoints are, exchange
	// the speeds with other routers, and use both in endpoint selection and admission control, for
	// services with a stream route whose latency objective exceeds twice its gap objective.
	// Default false.
	CostAware bool `json:"cost_aware"`

	log       *logrus.Entry
	directory *directory.Directory
	// configuration returns the active configuration, or nil if there is none yet.
	configuration func() *fleet.Configuration
	upstream      *upstream.Client
	versions      *streamversions.StreamVersions
	zone          string
	routerID      string
	// clockOrigin is the origin of the times that now returns.
	clockOrigin time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	// goroutines counts the goroutines that end with ctx.
	goroutines sync.WaitGroup
	// kvCacheStoreUnreachable is true while the KV cache store does not accept
	// connections.
	kvCacheStoreUnreachable bool

	// stopAt is when requests are ended because the process stops, or nil. requestsCtx ends
	// then.
	stopAt      atomic.Pointer[time.Time]
	requestsCtx context.Context
	endRequests context.CancelFunc

	mu           sync.Mutex
	durations    durations
	selector     *selection.Selector
	crashReports *strikes.Table
	suspects     *poison.Table
	cacheDomains cacheDomains
	// routerNames are the names of the other routers that suspects and the selector know. It
	// is nil until the registered routers are known.
	routerNames map[string]bool
	// retryBudgets and loggedBudgets are keyed by service.
	retryBudgets  map[string]*budget.RetryBudget
	loggedBudgets map[string]loggedBudget
	// overloadControllers is keyed by service.
	overloadControllers map[string]*overload.Controller
	quotas              quotas
	// remoteLoads is keyed by router.
	remoteLoads map[string]remoteLoad
	// runningAttempts is keyed by endpoint ID.
	runningAttempts map[string]map[*attempt]bool
	// fetchingStatus holds the IDs of the engines whose status is being fetched.
	fetchingStatus map[string]bool
	// costModel is nil unless CostAware is set.
	costModel                    *costmodel.Model
	estimateLines, speedWarnings lineLimit
	// speedsUpdatedAt is when the selector last got the speeds of endpoints.
	speedsUpdatedAt time.Duration

	metrics metrics
}

// ModuleName returns "relay".
func (r *Relay) ModuleName() string { return Name }

// Provision looks up the modules that the relay uses and creates its state.
func (r *Relay) Provision(k *arbutusline.Kernel) error {
	r.log = k.Log.WithField("module", Name)
	r.clockOrigin = time.Now()
	r.crashReports, r.retryBudgets, r.remoteLoads = strikes.New(), map[string]*budget.RetryBudget{}, map[string]remoteLoad{}
	r.loggedBudgets, r.overloadControllers = map[string]loggedBudget{}, map[string]*overload.Controller{}
	r.runningAttempts, r.fetchingStatus = map[string]map[*attempt]bool{}, map[string]bool{}
	r.suspects, r.durations = poison.New(poison.Config{}), durations{}
	r.requestsCtx, r.endRequests = context.WithCancel(context.Background())
	r.initContext()
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
	if r.versions, err = arbutusline.Lookup[*streamversions.StreamVersions](k, streamversions.Name); err != nil {
		return err
	}
	n, err := arbutusline.Lookup[*node.Node](k, node.Name)
	if err != nil {
		return err
	}
	r.setCostAwareLocked(r.CostAware)
	r.metrics.register(a.Registry())
	a.Registry().MustRegister(newCostCollector(r))
	a.Registry().MustRegister(pressureCollector{r})
	r.zone, r.routerID = n.Zone, n.ID
	r.initQuotas(n, a.Registry())
	r.selector = selection.New(selection.Config{
		PrefillTokensPerMS: r.PrefillTokensPerMS, FetchTokensPerMS: fetchTokensPerMS, RecomputeFactor: recomputeFactor,
		RunningRequestCost: runningRequestCost, CrossZoneCost: crossZoneCost,
		OldWeightsCost: oldWeightsCost, OldWeightsGrace: oldWeightsGrace, OldWeightsLimit: r.OldWeightsLimit.AsDuration(),
		WeightsDeadline: r.WeightsDeadline.AsDuration(), FailureCost: failureCost,
		ServiceTime: serviceTime, HolderLifetime: holderLifetime, MaxParts: maxParts,
		CostAware: r.CostAware, Seed: xxhash.Sum64String(r.routerID),
	}, r.zone)
	r.configuration = func() *fleet.Configuration { return r.directory.View().Config }
	r.directory.Subscribe(r.onViewChange)
	return nil
}

const (
	// recomputeFactor multiplies the cost of computing shared parts that an endpoint
	// has not cached, because that also delays the requests queued at the endpoint.
	recomputeFactor = 12
	// fetchTokensPerMS is half the transfer rate of an engine's link, because
	// transfers may queue behind others or cross availability zones.
	fetchTokensPerMS = 120
	// runningRequestCost is the time that one more running request adds to each step
	// of an engine.
	runningRequestCost = 300 * time.Microsecond
	// crossZoneCost is a round trip between availability zones.
	crossZoneCost = 3 * time.Millisecond
	// oldWeightsCost exceeds the prefill time of the longest shared prompts.
	oldWeightsCost = 80 * time.Millisecond
	// oldWeightsGrace is the time after a publication during which new weights have
	// no advantage for callers.
	oldWeightsGrace = time.Second
	// failureCost exceeds the cost of a full queue at a plain service.
	failureCost = 500 * time.Millisecond
	// serviceTime is the usual processing time of a request to a plain service.
	serviceTime = 30 * time.Millisecond
	// holderLifetime is the time after which engines have usually evicted a part.
	holderLifetime = 60 * time.Second
	// maxParts bounds the memory of the index of cached parts to about 4 MB.
	maxParts = 20000
)

// Validate checks the ranges of the settings.
func (r *Relay) Validate() error {
	if r.PrefillTokensPerMS <= 0 || r.RetryRatio < 0 || r.RetrySlack < 0 {
		return errors.New("prefill_tokens_per_ms must be positive, retry_ratio and retry_slack not negative")
	}
	if r.OldWeightsLimit <= 0 || r.WeightsDeadline <= 0 {
		return errors.New("old_weights_limit and weights_deadline must be positive")
	}
	if r.RetryWindow.AsDuration() != budget.RetryWindow {
		return errors.Newf("retry_window must be %s", budget.RetryWindow)
	}
	return nil
}

// Reload applies the retry budget, the limits for old weights and cost awareness.
func (r *Relay) Reload(next arbutusline.Module) {
	n := next.(*Relay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.RetryRatio, r.RetrySlack, r.OldWeightsLimit, r.WeightsDeadline = n.RetryRatio, n.RetrySlack, n.OldWeightsLimit, n.WeightsDeadline
	r.selector.SetWeightsLimits(r.OldWeightsLimit.AsDuration(), r.WeightsDeadline.AsDuration())
	r.setCostAwareLocked(n.CostAware)
	r.selector.SetCostAware(n.CostAware)
}

// now returns the time since clockOrigin.
func (r *Relay) now() time.Duration { return time.Since(r.clockOrigin) }

func (r *Relay) onViewChange(view *fleet.View) {
	position, routers := r.directory.ZonePositionLocked()
	names := r.directory.OtherRouterNamesLocked()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directory.RoutersKnownLocked() && (r.routerNames == nil || !maps.Equal(names, r.routerNames)) {
		r.routerNames = names
		others := slices.Collect(maps.Keys(names))
		r.suspects.SetRouters(r.now(), r.routerID, others)
		r.selector.Throttle().SetRouters(r.routerID, others)
		r.quotas.limiter.SetRouters(r.now(), others)
	}
	r.setQuotasLocked(view.Config)
	r.selector.SetRouters(position, routers)
	r.selector.ForgetRemovedEndpoints(view)
	r.forgetCostsLocked(view)
}

// TakeNewParts returns the prompt parts that endpoints have computed or begun to
// compute for this router since the last call.
func (r *Relay) TakeNewParts() []selection.CachedParts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.TakeNewParts()
}

// ObserveRemoteParts records the prompt parts that endpoints have computed or begun to
// compute for another router.
func (r *Relay) ObserveRemoteParts(parts []selection.CachedParts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.ObserveRemoteParts(r.now(), parts)
}

// ObserveCacheEvents records changes of an engine's KV cache as the engine reports
// them. Restarted means that the cache was empty before the events.
func (r *Relay) ObserveCacheEvents(endpoint string, events []platform.CacheEvent, restarted bool) {
	if restarted {
		r.mu.Lock()
		r.selector.ObserveCacheCleared(endpoint)
		r.mu.Unlock()
	}
	for batch := range slices.Chunk(events, cacheEventBatch) {
		r.observeCacheEventBatch(endpoint, batch)
	}
}

// cacheEventBatch is the number of cache events that are recorded while requests wait for
// the relay's lock.
const cacheEventBatch = 256

func (r *Relay) observeCacheEventBatch(endpoint string, events []platform.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		weightsVersion, team, ok := parseCacheNamespace(e.CacheNamespace)
		if !ok {
			continue // The part was not cached for a request of this system.
		}
		r.selector.ObserveCacheEvent(r.now(), endpoint, selection.PartKey(team, e.Model, e.PartID), weightsVersion, e.CachedTokens)
	}
}

// PendingCrashReports returns at most limit crash reports that other routers may not
// know yet.
func (r *Relay) PendingCrashReports(limit int) []strikes.CrashReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashReports.PendingReports(r.now(), limit)
}

// AddCrashReport records a crash report of another router.
func (r *Relay) AddCrashReport(report strikes.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addCrashReportLocked(report, "router")
}

// addCrashReportLocked records a crash report and logs if the request is refused from
// now on. The caller holds mu.
func (r *Relay) addCrashReportLocked(report strikes.CrashReport, source string) {
	if r.crashReports.Add(r.now(), report) && r.crashReports.MustRefuse(r.now(), report.Fingerprint) {
		r.log.WithFields(logrus.Fields{
			"fingerprint": report.Fingerprint, "endpoint": report.Endpoint, "age_ms": report.Age.Milliseconds(), "source": source,
		}).Warn("refusing request because it crashes endpoints")
	}
}

// ObserveWeightsChangeSoon stops sending long requests to an endpoint that changes its
// weights next, and moves its streams to other endpoints if possible.
func (r *Relay) ObserveWeightsChangeSoon(endpoint, model string, version uint64) {
	routers := r.directory.RouterCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selector.ObserveWeightsChangeSoon(r.now(), endpoint, model, version) {
		r.moveStreamsLocked(endpoint, routers)
	}
}

// ObserveWeightsChangeStarted stops sending requests to an endpoint that is about to
// change its weights, and moves its streams to other endpoints if possible.
func (r *Relay) ObserveWeightsChangeStarted(endpoint, model string, version uint64) {
	routers := r.directory.RouterCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selector.ObserveWeightsChangeStarted(r.now(), endpoint, model, version) {
		r.moveStreamsLocked(endpoint, routers)
	}
}

// moveStreamsLocked moves the streams of an endpoint to free slots of other endpoints. Those for
// which there is none go on: the endpoint changes its weights after them. The caller holds mu.
func (r *Relay) moveStreamsLocked(endpoint string, routers int) {
	if r.stopAt.Load() != nil {
		return // What ends in time ends at its endpoint, too.
	}
	for a := range r.runningAttempts[endpoint] {
		if a.canMove() && !a.writing.Load() {
			a.moveLocked(movedForWeights, routers)
		}
	}
}

// RunningRequests returns the number of requests of all routers at an endpoint, and
// how many of them may take seconds.
func (r *Relay) RunningRequests(endpoint string) (total, long int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.RunningRequests(endpoint), r.selector.LongRunningRequests(endpoint)
}

// EndpointStatus returns whether this router sends requests to an endpoint, or why
// not, with the number of running requests and of prompt tokens still to compute there
// for all routers.
func (r *Relay) EndpointStatus(e *fleet.Endpoint) (availability selection.Availability, running, pendingPrefillTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.Availability(r.now(), e), r.selector.RunningRequests(e.ID), r.selector.PendingPrefillTokens(e.ID)
}

// trackAttempt records that an attempt runs or has ended.
func (r *Relay) trackAttempt(a *attempt, running bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := a.choice.Endpoint.ID
	if running {
		if r.runningAttempts[id] == nil {
			r.runningAttempts[id] = map[*attempt]bool{}
		}
		r.runningAttempts[id][a] = true
		return
	}
	delete(r.runningAttempts[id], a)
	if len(r.runningAttempts[id]) == 0 {
		delete(r.runningAttempts, id)
	}
}

// ObserveWeightsChangeDone resumes sending requests to an endpoint that has changed its
// weights.
func (r *Relay) ObserveWeightsChangeDone(endpoint, model string, version uint64) {
	r.directory.ObserveWeightsVersion(endpoint, model, version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.ObserveWeightsChangeDone(endpoint)
}

// allowRetry charges the service's retry budget for one retry and reports whether the
// budget allows it.
func (r *Relay) allowRetry(service string) bool {
	routers := r.directory.RouterCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.retryBudgetLocked(service, routers)
	allowed := b.Allow(r.now())
	r.logBudgetChangeLocked(service, b, allowed)
	return allowed
}

// logBudgetChangeLocked logs when a service's retry budget becomes exhausted or
// available again. For budgetLogInterval after a line about an exhausted budget it logs
// nothing more about this budget. The caller holds mu.
func (r *Relay) logBudgetChangeLocked(service string, b *budget.RetryBudget, allowed bool) {
	logged := r.loggedBudgets[service]
	if logged.exhausted == !allowed || logged.exhausted && r.now()-logged.loggedAt < budgetLogInterval {
		return
	}
	r.loggedBudgets[service] = loggedBudget{exhausted: !allowed, loggedAt: r.now()}
	firstAttempts, retries := b.Counts(r.now())
	log := r.log.WithFields(logrus.Fields{"service": service, "first": firstAttempts, "retries": retries, "slack": b.Slack})
	if allowed {
		log.Info("retry budget available again")
	} else {
		log.Warn("retry budget exhausted")
	}
}

// budgetLogInterval limits the log lines about a budget that alternates between
// exhausted and available.
const budgetLogInterval = time.Second

// loggedBudget is the last logged state of a retry budget.
type loggedBudget struct {
	exhausted bool
	loggedAt  time.Duration
}

func (r *Relay) recordFirstAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudgetLocked(service, 0).RecordFirstAttempt(r.now())
}

// retryBudgetLocked returns the service's retry budget. If routers is not 0, it sets
// the budget's slack to this router's share. The caller holds mu.
func (r *Relay) retryBudgetLocked(service string, routers int) *budget.RetryBudget {
	b := r.retryBudgets[service]
	if b == nil {
		b = &budget.RetryBudget{}
		r.retryBudgets[service] = b
	}
	b.Ratio = r.RetryRatio * budgetSafetyFactor
	if routers > 0 {
		b.Slack = r.RetrySlack * budgetSafetyFactor / float64(routers)
	}
	return b
}

// streamMoveBudgetShare is the share of the retry budget available for moving streams.
// The rest is reserved for failures.
const streamMoveBudgetShare = 0.75

// budgetSafetyFactor reduces each router's budget, so that routers that do not know of
// each other yet do not exceed the budget together.
const budgetSafetyFactor = 0.8
