// Package upgrade is the module "upgrade": it makes the engines load the weights
// version that is published in the platform's store. The router that holds a lease
// sends the orders, to a few engines at a time, and tells the other routers to send
// no requests to an engine while its weights change.
package upgrade

import (
	"cmp"
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/lease"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/exchange"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/relay"
	"github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "upgrade"

const (
	// leaseKind and leaseObjectName identify the lease in the platform's store.
	leaseKind       = "arbutus-leases"
	leaseObjectName = "orders"

	// planInterval is the time between two checks of the lease and of the engines.
	planInterval = 50 * time.Millisecond
	// leaseValidFor is how long the holder may send orders after its last renewal, and
	// leaseRenewInterval the time between two renewals, so that one renewal may fail.
	leaseValidFor      = 2 * time.Second
	leaseRenewInterval = 800 * time.Millisecond
	// leaseSafetyMargin covers the delivery time of an order and clock drift between
	// hosts.
	leaseSafetyMargin = 500 * time.Millisecond
	// leasePollInterval is the time between two reads while another router holds the
	// lease.
	leasePollInterval = time.Second
	// takeoverDelayStep and takeoverDelaySteps give routers different delays before
	// they take over an expired lease.
	takeoverDelayStep  = 300 * time.Millisecond
	takeoverDelaySteps = 8
	// concurrentChangePercent is the percentage of a service's engines that may change
	// their weights at the same time, but at least minConcurrentChanges may. Loads slow
	// each other down if more than about a fifth of the engines load. As many engines
	// again may wait for their running requests to finish.
	concurrentChangePercent = 22
	minConcurrentChanges    = 2
	// maxActivePercent is the maximum percentage of a service's engines that change
	// their weights or prepare to. The others must be able to run long requests.
	maxActivePercent = 67
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Upgrade{HandoverPause: settings.Duration(3 * time.Second), TimeLimit: settings.Duration(8 * time.Second)}
	})
}

// Upgrade sends weights orders to engines.
type Upgrade struct {
	// Holder identifies this host in the lease and in orders. Required.
	Holder string `json:"holder"`
	// HandoverPause is the minimum time between the last order of one holder and the
	// first order of the next. Default 3s.
	HandoverPause settings.Duration `json:"turn_pause"`
	// TimeLimit is the target time from the publication of a weights version until
	// all engines have loaded it. Default 8s.
	TimeLimit settings.Duration `json:"time_limit"`

	log        *logrus.Entry
	directory  *directory.Directory
	exchange   *exchange.Exchange
	relay      *relay.Relay
	upstream   *upstream.Client
	store      *platform.StoreClient
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu         sync.Mutex
	lease      *lease.StateMachine
	holdsLease bool
	// activeChanges holds the keys of the changes in progress. The value is false while
	// the engine prepares, when it still gets short requests, and true once it changes
	// its weights and gets no requests.
	activeChanges map[string]bool
	// postponedUntil is the time before which a change is not tried again, by key.
	postponedUntil map[string]time.Time

	orderResults *prometheus.CounterVec
	leaseHeld    prometheus.Gauge
}

// ModuleName returns "upgrade".
func (u *Upgrade) ModuleName() string { return Name }

// Provision looks up the modules that Upgrade uses.
func (u *Upgrade) Provision(k *arbutusline.Kernel) error {
	u.log = k.Log.WithField("module", Name)
	u.activeChanges, u.postponedUntil = map[string]bool{}, map[string]time.Time{}
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	if u.directory, err = arbutusline.Lookup[*directory.Directory](k, directory.Name); err != nil {
		return err
	}
	u.store = u.directory.PlatformStore()
	if u.exchange, err = arbutusline.Lookup[*exchange.Exchange](k, exchange.Name); err != nil {
		return err
	}
	if u.relay, err = arbutusline.Lookup[*relay.Relay](k, relay.Name); err != nil {
		return err
	}
	if u.upstream, err = arbutusline.Lookup[*upstream.Client](k, upstream.Name); err != nil {
		return err
	}
	n, err := arbutusline.Lookup[*node.Node](k, node.Name)
	if err != nil {
		return err
	}
	u.orderResults = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_weights_orders_total", Help: "Orders to change weights by result.",
	}, []string{"result"})
	u.leaseHeld = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "arbutus_weights_order_lease_held", Help: "1 while this router may give orders.",
	})
	a.Registry().MustRegister(u.orderResults, u.leaseHeld)
	u.lease = lease.New(lease.Config{
		RouterName: u.Holder, ValidFor: leaseValidFor, RenewInterval: leaseRenewInterval, HandoverPause: u.HandoverPause.AsDuration(), SafetyMargin: leaseSafetyMargin, PollInterval: leasePollInterval,
		TakeoverDelay: takeoverDelayStep * time.Duration(1+xxhash.Sum64String(n.ID)%takeoverDelaySteps),
	})
	return nil
}

// Validate checks the settings.
func (u *Upgrade) Validate() error {
	if u.Holder == "" {
		return errors.New("holder is required")
	}
	if u.HandoverPause <= 0 || u.TimeLimit <= 0 {
		return errors.New("turn_pause and time_limit must be positive")
	}
	return nil
}

// Reload applies the new handover pause and time limit.
func (u *Upgrade) Reload(next arbutusline.Module) {
	n := next.(*Upgrade)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.HandoverPause, u.TimeLimit = n.HandoverPause, n.TimeLimit
	u.lease.SetHandoverPause(u.HandoverPause.AsDuration())
}

// Start starts to check the lease and the engines periodically.
func (u *Upgrade) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.goroutines.Go(func() { u.run(ctx) })
	return nil
}

// Stop ends all changes in progress and sends no more orders.
func (u *Upgrade) Stop(context.Context) error {
	if u.cancel != nil {
		u.cancel()
	}
	u.goroutines.Wait()
	return nil
}

// run makes the store calls for the lease and starts weights changes until ctx is done.
func (u *Upgrade) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changes := u.planChanges(u.directory.View())
		u.mu.Lock()
		u.lease.ObserveEra(u.directory.StoreEra())
		action := u.lease.NextAction(bootclock.Now(), len(changes) > 0 || len(u.activeChanges) > 0)
		u.mu.Unlock()
		if action.Kind != lease.NoAction {
			u.goroutines.Go(func() { u.callStore(ctx, action) })
		}
		u.updateLeaseHeld()
		for _, c := range changes {
			u.startChange(ctx, c)
		}
	}
}

// Lease returns the lease as this router last saw it and whether this router holds it.
func (u *Upgrade) Lease() *arbutuspb.OrderLease {
	u.mu.Lock()
	defer u.mu.Unlock()
	record := u.lease.Record()
	_, holdsLease := u.lease.HoldsLease(bootclock.Now())
	return &arbutuspb.OrderLease{Holder: record.Holder, Fence: record.FencingToken, Held: holdsLease}
}

// updateLeaseHeld logs and exports when this router acquires or loses the lease.
func (u *Upgrade) updateLeaseHeld() {
	u.mu.Lock()
	defer u.mu.Unlock()
	fencingToken, holdsLease := u.lease.HoldsLease(bootclock.Now())
	if holdsLease == u.holdsLease {
		return
	}
	u.holdsLease = holdsLease
	u.log.WithFields(logrus.Fields{"fence": fencingToken, "held": holdsLease}).Info("order lease acquired or lost")
	if holdsLease {
		u.leaseHeld.Set(1)
	} else {
		u.leaseHeld.Set(0)
	}
}

// callStore makes the store call of a lease action and reports the result to the lease.
func (u *Upgrade) callStore(ctx context.Context, action lease.Action) {
	var object platform.Object
	var err error
	switch action.Kind {
	case lease.ReadRecord:
		object, err = u.store.Get(ctx, leaseKind, leaseObjectName)
	case lease.CreateRecord:
		object, err = u.store.Create(ctx, leaseKind, leaseObjectName, action.Record)
	case lease.ReplaceRecord:
		object, err = u.store.Replace(ctx, leaseKind, leaseObjectName, action.Revision, action.Record)
	}
	var record lease.Record
	if err == nil {
		err = errors.Mark(json.Unmarshal(object.Spec, &record), platform.ErrProtocol)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case err == nil && action.Kind == lease.ReadRecord:
		if previous := u.lease.Record(); record.FencingToken != previous.FencingToken || record.Holder != previous.Holder {
			u.log.WithFields(logrus.Fields{"holder": record.Holder, "fence": record.FencingToken, "revision": object.Metadata.Revision}).Info("order lease has a new holder or fencing token")
		}
		u.lease.HandleRecord(bootclock.Now(), record, object.Position())
	case err == nil:
		u.lease.HandleWrite(action.Record, object.Position())
	case errors.Is(err, platform.ErrNotFound):
		u.lease.HandleRecord(bootclock.Now(), lease.Record{}, fleet.StorePosition{Era: object.Era})
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited):
		u.lease.HandleFailure(false)
	default:
		// The record must also be read again after a conflict.
		u.lease.HandleFailure(true)
		u.log.WithError(err).WithField("fence", action.Record.FencingToken).Info("store call for order lease failed; reading the lease again")
	}
}

// weightsChange is the change of a model's weights at an engine to a newer version.
type weightsChange struct {
	endpoint *fleet.Endpoint
	model    string
	version  uint64
}

func (c weightsChange) key() string { return c.endpoint.ID + "/" + c.model }

// planChanges returns the weights changes that may start now.
func (u *Upgrade) planChanges(v *fleet.View) []weightsChange {
	if v.Config == nil || len(v.LatestWeightsVersions) == 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []weightsChange
	for name, service := range v.Config.Services {
		if service.Engine == nil {
			continue
		}
		endpoints := v.EndpointsByService[name]
		preparing, active := 0, 0
		var candidates []weightsChange
		for _, e := range endpoints {
			for model, version := range e.WeightsVersions {
				c := weightsChange{e, model, v.LatestWeightsVersions[model]}
				if version >= c.version || e.State != fleet.Ready {
					continue
				}
				if changing, ok := u.activeChanges[c.key()]; ok {
					active++
					if !changing {
						preparing++
					}
					continue
				}
				if time.Now().After(u.postponedUntil[c.key()]) {
					candidates = append(candidates, c)
				}
			}
		}
		sortChanges(candidates, u.relay)
		capacity := min(u.maxConcurrentChangesLocked(v, endpoints)-preparing, max(1, len(endpoints)*maxActivePercent/100)-active)
		out = append(out, candidates[:min(len(candidates), max(0, capacity))]...)
	}
	return out
}

// maxConcurrentChangesLocked returns how many of a service's engines may change at the same
// time. It is also the limit for the engines that prepare for a change. The limit is
// 50% higher if an engine has had old weights for more than half of the time limit. The
// caller holds mu.
func (u *Upgrade) maxConcurrentChangesLocked(v *fleet.View, endpoints []*fleet.Endpoint) int {
	n := max(minConcurrentChanges, len(endpoints)*concurrentChangePercent/100)
	for _, e := range endpoints {
		for model, version := range e.WeightsVersions {
			if supersededAt, superseded := v.SupersededAt(model, version); superseded && time.Since(supersededAt) > u.TimeLimit.AsDuration()/2 {
				return n + (n+1)/2
			}
		}
	}
	return n
}

// admitChange reports whether a prepared engine may change now. If so, it counts the
// engine as changing.
func (u *Upgrade) admitChange(c weightsChange) bool {
	v := u.directory.View()
	engines := v.EndpointsByService[c.endpoint.Service]
	u.mu.Lock()
	defer u.mu.Unlock()
	changing := 0
	for _, e := range engines {
		if u.activeChanges[weightsChange{endpoint: e, model: c.model}.key()] {
			changing++
		}
	}
	if changing >= u.maxConcurrentChangesLocked(v, engines) {
		return false
	}
	u.activeChanges[c.key()] = true
	return true
}

// sortChanges sorts the engines with the oldest weights first, because each version
// has its own time limit. Engines with the same weights are sorted by their load,
// because the least loaded ones are idle soonest.
func sortChanges(changes []weightsChange, r *relay.Relay) {
	sort.Slice(changes, func(i, j int) bool {
		a, b := changes[i], changes[j]
		if av, bv := a.endpoint.WeightsVersions[a.model], b.endpoint.WeightsVersions[b.model]; av != bv {
			return av < bv
		}
		aRunning, aLong := r.RunningRequests(a.endpoint.ID)
		bRunning, bLong := r.RunningRequests(b.endpoint.ID)
		return cmp.Or(cmp.Compare(aLong, bLong), cmp.Compare(aRunning, bRunning)) < 0
	})
}

// startChange starts a change in the background if this router holds the lease and the
// change is not in progress.
func (u *Upgrade) startChange(ctx context.Context, c weightsChange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, active := u.activeChanges[c.key()]
	if _, holds := u.lease.HoldsLease(bootclock.Now()); !holds || active {
		return
	}
	u.activeChanges[c.key()] = false
	u.goroutines.Go(func() {
		u.changeWeights(ctx, c)
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.activeChanges, c.key())
	})
}
