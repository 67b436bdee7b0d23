// Package upgrade is the module "upgrade": it brings the engines to the weights
// version that is named in the platform's store. One router at a time holds the
// lease and gives the orders, a few engines at once; it tells the others to keep
// requests away from an engine while its weights change.
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
	"golang.org/x/sys/unix"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/lease"
	"github.com/arbutusline/arbutusline/fleet"
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
	kindLeases = "arbutus-leases"
	leaseName  = "orders"

	// tick is the period of the lease and the plan.
	tick = 50 * time.Millisecond
	// valid is how long a holder gives orders after its last renewal, and renew
	// the age at which it renews; two renewals may fail.
	valid = 2 * time.Second
	renew = 800 * time.Millisecond
	// margin covers the way of an order and the drift of clocks.
	margin = 500 * time.Millisecond
	// look is the time between two reads of another holder's lease.
	look = time.Second
	// staggerStep and staggerRanks spread the takeover from an idle holder.
	staggerStep  = 300 * time.Millisecond
	staggerRanks = 8
	// concurrentShare is the part of a service's engines, in percent, that change
	// their weights at once. Loads slow each other down beyond about a fifth, and
	// as many engines wait for their running requests to end.
	concurrentShare = 22
	minConcurrent   = 2
	// activeShare is the part of the engines, in percent, that may change or
	// prepare for it; the others must be able to take long requests.
	activeShare = 67
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Upgrade{TurnPause: settings.Duration(3 * time.Second), TimeLimit: settings.Duration(8 * time.Second)}
	})
}

// Upgrade orders weights changes.
type Upgrade struct {
	// Holder names this machine in the lease and in orders. Required.
	Holder string `json:"holder"`
	// TurnPause is the least time between orders of two holders. Default 3s.
	TurnPause settings.Duration `json:"turn_pause"`
	// TimeLimit is the time in which all engines should have new weights.
	// Default 8s.
	TimeLimit settings.Duration `json:"time_limit"`

	log       *logrus.Entry
	directory *directory.Directory
	exchange  *exchange.Exchange
	relay     *relay.Relay
	upstream  *upstream.Client
	store     *platform.StoreClient
	cancel    context.CancelFunc
	done      sync.WaitGroup

	mu     sync.Mutex
	lease  *lease.StateMachine
	leader bool
	// active holds the engines that are being changed; true once they take no
	// requests.
	active map[string]bool
	// postponed holds the engines that do not answer, until when.
	postponed map[string]time.Time

	orders *prometheus.CounterVec
	leads  prometheus.Gauge
}

// ModuleName returns "upgrade".
func (u *Upgrade) ModuleName() string { return Name }

// Provision looks up the modules that it uses.
func (u *Upgrade) Provision(k *arbutusline.Kernel) error {
	u.log = k.Log.WithField("module", Name)
	u.active, u.postponed = map[string]bool{}, map[string]time.Time{}
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
	u.orders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_weights_orders_total", Help: "Orders to change weights by result.",
	}, []string{"result"})
	u.leads = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "arbutus_weights_order_lease_held", Help: "1 while this router may give orders.",
	})
	a.Registry().MustRegister(u.orders, u.leads)
	u.lease = lease.New(lease.Config{
		RouterName: u.Holder, ValidFor: valid, RenewInterval: renew, HandoverPause: u.TurnPause.AsDuration(), SafetyMargin: margin, PollInterval: look,
		TakeoverDelay: staggerStep * time.Duration(1+xxhash.Sum64String(n.ID)%staggerRanks),
	})
	return nil
}

// Validate checks the settings.
func (u *Upgrade) Validate() error {
	if u.Holder == "" {
		return errors.New("holder is required")
	}
	if u.TurnPause <= 0 || u.TimeLimit <= 0 {
		return errors.New("turn_pause and time_limit must be positive")
	}
	return nil
}

// Reload takes the pause between holders and the time limit.
func (u *Upgrade) Reload(next arbutusline.Module) {
	n := next.(*Upgrade)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.TurnPause, u.TimeLimit = n.TurnPause, n.TimeLimit
	u.lease.SetHandoverPause(u.TurnPause.AsDuration())
}

// Start begins to look for work.
func (u *Upgrade) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.done.Go(func() { u.loop(ctx) })
	return nil
}

// Stop gives no more orders.
func (u *Upgrade) Stop(context.Context) error {
	if u.cancel != nil {
		u.cancel()
	}
	u.done.Wait()
	return nil
}

// clock counts the time for which the machine was suspended, too.
func clock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "CLOCK_BOOTTIME")) // Every Linux has this clock.
	}
	return time.Duration(ts.Nano())
}

func (u *Upgrade) loop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		steps := u.plan(u.directory.View())
		u.mu.Lock()
		a := u.lease.NextAction(clock(), len(steps) > 0 || len(u.active) > 0)
		u.mu.Unlock()
		if a.Kind != lease.NoAction {
			u.done.Go(func() { u.call(ctx, a) })
		}
		u.noteLeader()
		for _, s := range steps {
			u.begin(ctx, s)
		}
	}
}

// Lease returns the right to give orders as this router last saw it.
func (u *Upgrade) Lease() *arbutuspb.OrderLease {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.lease.Record()
	_, held := u.lease.HoldsLease(clock())
	return &arbutuspb.OrderLease{Holder: r.Holder, Fence: r.FencingToken, Held: held}
}

func (u *Upgrade) noteLeader() {
	u.mu.Lock()
	defer u.mu.Unlock()
	fence, leads := u.lease.HoldsLease(clock())
	if leads == u.leader {
		return
	}
	u.leader = leads
	u.log.WithFields(logrus.Fields{"fence": fence, "held": leads}).Info("order lease changed")
	if leads {
		u.leads.Set(1)
	} else {
		u.leads.Set(0)
	}
}

// call makes the lease's call to the store.
func (u *Upgrade) call(ctx context.Context, a lease.Action) {
	var o platform.Object
	var err error
	switch a.Kind {
	case lease.ReadRecord:
		o, err = u.store.Get(ctx, kindLeases, leaseName)
	case lease.CreateRecord:
		o, err = u.store.Create(ctx, kindLeases, leaseName, a.Record)
	case lease.ReplaceRecord:
		o, err = u.store.Replace(ctx, kindLeases, leaseName, a.Revision, a.Record)
	}
	var r lease.Record
	if err == nil {
		err = errors.Mark(json.Unmarshal(o.Spec, &r), platform.ErrProtocol)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case err == nil && a.Kind == lease.ReadRecord:
		if was := u.lease.Record(); r.FencingToken != was.FencingToken || r.Holder != was.Holder {
			u.log.WithFields(logrus.Fields{"holder": r.Holder, "fence": r.FencingToken, "revision": o.Metadata.Revision}).Info("order lease seen")
		}
		u.lease.HandleRecord(clock(), r, o.Metadata.Revision)
	case err == nil:
		u.lease.HandleWrite(a.Record, o.Metadata.Revision)
	case errors.Is(err, platform.ErrNotFound):
		u.lease.HandleRecord(clock(), lease.Record{}, 0)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited):
		u.lease.HandleFailure(false)
	default:
		// After a conflict, too, the record has to be read again.
		u.lease.HandleFailure(true)
		u.log.WithError(err).WithField("fence", a.Record.FencingToken).Info("order lease not written")
	}
}

// step is an engine that needs other weights.
type step struct {
	endpoint *fleet.Endpoint
	model    string
	version  uint64
}

func (s step) key() string { return s.endpoint.ID + "/" + s.model }

// plan returns the engines that need other weights and may be changed now.
func (u *Upgrade) plan(v *fleet.View) []step {
	if v.Config == nil || len(v.LatestWeightsVersions) == 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []step
	for name, service := range v.Config.Services {
		if service.Engine == nil {
			continue
		}
		endpoints := v.ByService[name]
		soon, active := 0, 0
		var need []step
		for _, e := range endpoints {
			for model, version := range e.WeightsVersions {
				s := step{e, model, v.LatestWeightsVersions[model]}
				if version >= s.version || e.State != fleet.Ready {
					continue
				}
				if now, ok := u.active[s.key()]; ok {
					active++
					if !now {
						soon++
					}
					continue
				}
				if time.Now().After(u.postponed[s.key()]) {
					need = append(need, s)
				}
			}
		}
		sortSteps(need, u.relay)
		room := min(u.concurrent(v, endpoints)-soon, max(1, len(endpoints)*activeShare/100)-active)
		out = append(out, need[:min(len(need), max(0, room))]...)
	}
	return out
}

// concurrent returns how many of a service's engines change at once, and how many
// prepare for it. Half as many more do when an engine has had old weights for more
// than half of the time limit.
func (u *Upgrade) concurrent(v *fleet.View, endpoints []*fleet.Endpoint) int {
	n := max(minConcurrent, len(endpoints)*concurrentShare/100)
	for _, e := range endpoints {
		for model, version := range e.WeightsVersions {
			if at, old := v.SupersededAt(model, version); old && time.Since(at) > u.TimeLimit.AsDuration()/2 {
				return n + (n+1)/2
			}
		}
	}
	return n
}

// enter reports whether an engine that is prepared may change now, and counts it.
func (u *Upgrade) enter(s step) bool {
	v := u.directory.View()
	engines := v.ByService[s.endpoint.Service]
	u.mu.Lock()
	defer u.mu.Unlock()
	changing := 0
	for _, e := range engines {
		if u.active[step{endpoint: e, model: s.model}.key()] {
			changing++
		}
	}
	if changing >= u.concurrent(v, engines) {
		return false
	}
	u.active[s.key()] = true
	return true
}

// sortSteps puts the engines with the oldest weights first, because each version
// has its own time limit, and then those with the least work, which are empty
// first.
func sortSteps(steps []step, r *relay.Relay) {
	sort.Slice(steps, func(i, j int) bool {
		a, b := steps[i], steps[j]
		if av, bv := a.endpoint.WeightsVersions[a.model], b.endpoint.WeightsVersions[b.model]; av != bv {
			return av < bv
		}
		aRunning, aLong := r.RunningRequests(a.endpoint.ID)
		bRunning, bLong := r.RunningRequests(b.endpoint.ID)
		return cmp.Or(cmp.Compare(aLong, bLong), cmp.Compare(aRunning, bRunning)) < 0
	})
}

func (u *Upgrade) begin(ctx context.Context, s step) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, known := u.active[s.key()]
	if _, leads := u.lease.HoldsLease(clock()); !leads || known {
		return
	}
	u.active[s.key()] = false
	u.done.Go(func() {
		u.change(ctx, s)
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.active, s.key())
	})
}
