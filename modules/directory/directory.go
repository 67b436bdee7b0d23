// Package directory is the module "directory": it maintains a router's view of the
// deployment. It watches the platform's store, merges the changes that other routers
// send, and publishes a fleet.View.
package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/freshness"
	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "directory"

// KindRouters is the kind of the store objects in which routers register their
// addresses.
const KindRouters = "arbutus-routers"

// KindSoftwareVersions is the kind of the store objects that assign the streams of a service
// to software versions, named after the service.
const KindSoftwareVersions = "arbutus-software-versions"

const (
	// minRetryDelay and maxRetryDelay bound the exponential delay after a failed store
	// call. The platform charges for each call, and other routers send changes
	// meanwhile.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// removedEndpointGrace is how long after an outage or a restore of the store objects
	// stay in use that the store has removed or lost. Live endpoints write them again
	// within about 2 s.
	removedEndpointGrace = 2300 * time.Millisecond
	// maxPublishedWeightsVersions is the number of weights versions kept for each model.
	maxPublishedWeightsVersions = 16
	// tombstoneRevisions is the number of store revisions for which removed objects
	// are kept as tombstones.
	tombstoneRevisions = 20000
)

// The ways in which a replica changes, as in logs and metrics.
const (
	sourceList   = "list"
	sourceWatch  = "watch"
	sourceRead   = "read"
	sourceRouter = "router"
)

var replicatedKinds = []string{platform.KindConfiguration, platform.KindEndpoints, platform.KindPublishedWeightsVersions, KindRouters, KindSoftwareVersions}

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Directory{
			WatchTimeout: settings.Duration(10 * time.Second), Watchers: 6, EraWait: settings.Duration(time.Second),
			ConfigurationDeadline: settings.Duration(4 * time.Second), EndpointDeadline: settings.Duration(3 * time.Second),
		}
	})
}

// Directory keeps replicas of the store's objects and the view made from them.
type Directory struct {
	// Store is the address of the platform's store. Required.
	Store string `json:"store"`
	// Advertise is the address under which other routers reach this one. Required.
	Advertise string `json:"advertise"`
	// WatchTimeout is how long a watch waits for a change. Default 10s: changes that a
	// watch misses are found by the reads that confirm the replicas.
	WatchTimeout settings.Duration `json:"watch_wait"`
	// Watchers is the number of routers that watch the store; the others receive
	// changes from them. A router that reaches no other router always watches.
	// Default 6.
	Watchers int `json:"watchers"`
	// EraWait is how long a router that starts waits for the configuration of another
	// router while the store may just have come back from a copy. Default 1s: routers that
	// the copy lacks register again within a third of it.
	EraWait settings.Duration `json:"era_wait"`
	// ConfigurationDeadline is how long after its acknowledgement a configuration is in
	// force at every router that reaches the store or another router that does. Default 4s.
	ConfigurationDeadline settings.Duration `json:"configuration_deadline"`
	// EndpointDeadline is how long after the store has accepted that an endpoint leaves it
	// gets no more requests. Published weights versions and software versions are known after
	// the shorter of the two. Default 3s.
	EndpointDeadline settings.Duration `json:"endpoint_deadline"`

	log        *logrus.Entry
	node       *node.Node
	store      *platform.StoreClient
	view       atomic.Pointer[fleet.View]
	standing   atomic.Pointer[ConfigurationStanding]
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	replicas map[string]*replica.Replica
	// confirmations has the kinds with a deadline.
	confirmations            map[string]*freshness.Copy
	active                   activeConfiguration
	publishedWeightsVersions map[string][]fleet.PublishedWeightsVersion
	// versionsLoaded is true once the weights versions that were published before this
	// router started are known.
	versionsLoaded bool
	// publishedBy is the source of the last change of the published weights versions.
	publishedBy string
	// observedWeightsVersions maps endpoints and models to the weights versions that
	// the endpoints themselves reported.
	observedWeightsVersions map[string]map[string]uint64
	retainedEndpoints       map[string]retainedEndpoint
	// leavingEndpoints are the endpoints that said themselves that they shut down.
	leavingEndpoints map[string]leavingEndpoint
	// departedEndpoints are the endpoints whose objects were removed and that are not back.
	departedEndpoints map[string]departedEndpoint
	decodedEndpoints  map[string]decodedEndpoint
	// loggedInvalidRevisions maps the name of each logged invalid object to its
	// revision.
	loggedInvalidRevisions map[string]uint64
	// storeUnreachable is true from the first failed list or watch until the next
	// successful list.
	storeUnreachable atomic.Bool
	// othersReachStore is true while another router responds and reaches the store.
	othersReachStore atomic.Bool
	// routerCount is the number of registered routers, or 0 before the first list.
	routerCount atomic.Int64
	// storeEra is the highest era of the store that this router knows. It is meaningless
	// until eraKnown is true.
	storeEra uint64
	eraKnown bool
	// eraKnownSince is when this router learned of the era.
	eraKnownSince time.Time
	// restoredAt is when this router learned that the store came back from a copy, or zero.
	restoredAt time.Time
	// settledEra is the last era that this router found settled, if anyEraSettled is true. An era
	// stays settled.
	settledEra    uint64
	anyEraSettled bool
	// storeTrusted is true once this router takes configurations of the store.
	storeTrusted bool
	// statedVersion is the newest configuration that another router has stated to have.
	statedVersion uint64
	// decodedVersion is the version of the configuration that the replica holds at a position.
	decodedVersion struct {
		at      fleet.StorePosition
		version uint64
	}
	startedAt time.Time
	// unconfirmedUntil is when the objects that a restored copy of the store lacks are
	// dropped, by kind.
	unconfirmedUntil map[string]time.Time
	// watchCancels end the pending watches, by kind.
	watchCancels map[string]context.CancelCauseFunc
	// storeReachableSince is when the last outage of the store ended.
	storeReachableSince time.Time
	subscribers         []func(*fleet.View)
	// registered is true once this router has written its object. registeredAt is the
	// position of the last write.
	registered   bool
	registeredAt fleet.StorePosition
	// ranBefore is true if the store had this router's object when it started.
	ranBefore bool
	// lastContact is when the store or another router last responded, in nanoseconds of
	// bootclock.
	lastContact atomic.Int64
	// watchRank is this router's rank, from 0, among the routers that reach each other and
	// the store, reachableRouters their number.
	watchRank        int
	reachableRouters int

	storeCalls       *prometheus.CounterVec
	storeCallSeconds *prometheus.HistogramVec
	replicaChanges   *prometheus.CounterVec
	storeEraGauge    prometheus.Gauge

	replicaConfirmations *prometheus.CounterVec
}

// retainedEndpoint is an endpoint that stays in use although the store removed its
// object after an outage.
type retainedEndpoint struct {
	endpoint *fleet.Endpoint
	until    time.Time
}

// decodedEndpoint caches the decoded endpoint of an object revision.
type decodedEndpoint struct {
	revision uint64
	endpoint *fleet.Endpoint
}

// ModuleName returns "directory".
func (d *Directory) ModuleName() string { return Name }

// Provision creates the replicas and the client of the store.
func (d *Directory) Provision(k *arbutusline.Kernel) error {
	d.log = k.Log.WithField("module", Name)
	var err error
	if d.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	d.replicas = map[string]*replica.Replica{}
	for _, kind := range replicatedKinds {
		d.replicas[kind] = replica.New()
	}
	d.confirmations = map[string]*freshness.Copy{}
	for kind := range d.deadlines() {
		d.confirmations[kind] = &freshness.Copy{}
	}
	d.publishedWeightsVersions, d.observedWeightsVersions = map[string][]fleet.PublishedWeightsVersion{}, map[string]map[string]uint64{}
	d.unconfirmedUntil, d.watchCancels = map[string]time.Time{}, map[string]context.CancelCauseFunc{}
	d.leavingEndpoints, d.departedEndpoints = map[string]leavingEndpoint{}, map[string]departedEndpoint{}
	d.retainedEndpoints, d.decodedEndpoints, d.loggedInvalidRevisions = map[string]retainedEndpoint{}, map[string]decodedEndpoint{}, map[string]uint64{}
	d.view.Store(&fleet.View{})
	d.standing.Store(&ConfigurationStanding{})
	d.store = platform.NewStoreClient(d.Store)
	m, err := arbutusline.Lookup[*memory.Memory](k, memory.Name)
	if err != nil {
		return err
	}
	d.store.Memory = m.Control()
	d.store.OnCall = d.observeStoreCall
	d.store.OnEra = d.observeEra
	d.store.OnInvalidEntry = func(kind string) {
		d.log.WithField("kind", kind).Warn("ignored store entry that is not a valid object")
	}
	d.registerMetrics(a)
	a.AddReadinessCheck(Name, d.checkReady)
	return nil
}

func (d *Directory) registerMetrics(a *admin.Admin) {
	d.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_store_calls_total", Help: "Calls to the platform's store by call and result.",
	}, []string{"call", "result"})
	d.storeCallSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "arbutus_store_call_seconds", Help: "Time of calls to the platform's store, without watches.",
		Buckets: prometheus.ExponentialBuckets(0.002, 3, 7),
	}, []string{"call"})
	d.replicaChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_directory_changes_total", Help: "Changes taken by kind and source.",
	}, []string{"kind", "source"})
	d.storeEraGauge = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "arbutus_store_era", Help: "Era of the platform's store, which rises when the store comes back from a copy.",
	})
	a.Registry().MustRegister(d.storeCalls, d.storeCallSeconds, d.replicaChanges, d.storeEraGauge)
	d.registerConfirmationMetrics(a.Registry())
}

// Validate checks that the required settings are present.
func (d *Directory) Validate() error {
	if d.Store == "" || d.Advertise == "" {
		return errors.New("store and advertise are required")
	}
	if d.WatchTimeout <= 0 || d.Watchers < 1 {
		return errors.New("watch_wait and watchers must be positive")
	}
	if d.EraWait < 0 {
		return errors.New("era_wait must not be negative")
	}
	if d.ConfigurationDeadline <= 0 || d.EndpointDeadline <= 0 {
		return errors.New("configuration_deadline and endpoint_deadline must be positive")
	}
	return nil
}

// PlatformStore returns the client of the store.
func (d *Directory) PlatformStore() *platform.StoreClient { return d.store }

// View returns the current view. It is never nil and immutable.
func (d *Directory) View() *fleet.View { return d.view.Load() }

// Subscribe registers f, which is called with each new view, one call at a time and
// with the directory's lock held. Call Subscribe before Start.
func (d *Directory) Subscribe(f func(*fleet.View)) { d.subscribers = append(d.subscribers, f) }

func (d *Directory) checkReady() error {
	v := d.View()
	if v.Config == nil {
		return errors.New("no configuration is known")
	}
	if len(v.EndpointsByID) == 0 {
		return errors.New("no endpoint is known")
	}
	return nil
}

// Start registers this router in the store and begins to watch the store.
func (d *Directory) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel, d.startedAt = cancel, time.Now()
	for _, kind := range replicatedKinds {
		d.goroutines.Go(func() { d.syncKind(ctx, kind) })
	}
	for kind, deadline := range d.deadlines() {
		d.goroutines.Go(func() { d.confirmKind(ctx, kind, deadline) })
	}
	d.goroutines.Go(func() { d.maintainRegistration(ctx) })
	d.goroutines.Go(func() { d.expireRetained(ctx) })
	return nil
}

// Stop ends the watches and waits for them.
func (d *Directory) Stop(context.Context) error {
	if d.cancel != nil {
		d.cancel()
	}
	d.goroutines.Wait()
	return nil
}

func (d *Directory) markStoreUnreachable(kind string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.storeUnreachable.Load() {
		d.log.WithError(err).WithField("kind", kind).Warn("store unreachable")
	}
	d.storeUnreachable.Store(true)
	for kind, cancel := range d.watchCancels {
		cancel(errStoreSilent)
		delete(d.watchCancels, kind)
	}
}

// StoreUnreachable reports whether a list or watch failed since the last successful
// list. It takes no lock, because callers may hold locks that subscribed functions
// take.
func (d *Directory) StoreUnreachable() bool { return d.storeUnreachable.Load() }

// StoreUnreachableForAll reports whether neither this router nor one that it reaches can
// reach the store. Weights changes go on while a router can, and this router then learns
// of them from the others. It takes no lock.
func (d *Directory) StoreUnreachableForAll() bool {
	return d.storeUnreachable.Load() && !d.othersReachStore.Load()
}

func (d *Directory) markStoreReachable(kind string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeUnreachable.Load() {
		d.storeUnreachable.Store(false)
		d.storeReachableSince = time.Now()
		d.log.WithField("kind", kind).Info("store reachable again")
	}
}

// ObserveContact records that the store has told the software versions of streams, or another
// router all that it knows, and that this router has taken it over.
func (d *Directory) ObserveContact() { d.lastContact.Store(int64(bootclock.Now())) }

// InTouch reports whether there was contact within a duration, or whether this router is the
// only one. It takes no lock.
func (d *Directory) InTouch(within time.Duration) bool {
	return d.RouterCount() == 1 || bootclock.Now()-time.Duration(d.lastContact.Load()) < within
}

// WatchRank returns this router's rank, from 0, among the routers that reach the store.
func (d *Directory) WatchRank() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watchRank
}

// RanBefore reports whether the store had this router's object when it started.
func (d *Directory) RanBefore() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ranBefore
}

func (d *Directory) observeStoreCall(operation string, took time.Duration, err error) {
	d.storeCalls.WithLabelValues(operation, storeCallResult(err)).Inc()
	if operation != "watch" {
		d.storeCallSeconds.WithLabelValues(operation).Observe(took.Seconds())
	}
}

func storeCallResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrRateLimited):
		return "rate_limited"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrNotFound):
		return "not_found"
	case errors.Is(err, platform.ErrCompacted):
		return "compacted"
	case errors.Is(err, platform.ErrEraChanged):
		return "era_changed"
	case errors.Is(err, platform.ErrAmbiguous):
		return "no_answer"
	}
	return "error"
}
