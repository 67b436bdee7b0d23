// Package streamversions is the module "stream_versions": it decides at which software
// version of a service a resumable stream may begin, and finds out at which version a stream
// began that a caller takes up. Routers share tables of the versions in the platform's store,
// hold records of each other's streams, and write to the store those that the tables do not tell.
package streamversions

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/versionpin"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/platform"
)

// Name is the name of the module.
const Name = "stream_versions"

const (
	// defaultStreamLifetime applies to routes without a timeout, as for requests that state none.
	defaultStreamLifetime = 30 * time.Second
	// maxCallerLifetime bounds for how long the deadline of a single caller, which exceeds the
	// timeout of its route, can keep the versions of all streams uncertain.
	maxCallerLifetime = time.Minute
	// spreadTime is longer than most outages of the store, in which a router whose peers are
	// dead goes on to begin streams.
	spreadTime = 10 * time.Second
	// outageSpreadTime is the time in which a router that was out of step learns from others
	// which routers have registered: several rounds of exchanges.
	outageSpreadTime = 500 * time.Millisecond
	// promiseTime is the time in which a router without the store asks each of 380 others.
	promiseTime = 2500 * time.Millisecond
	// storeCheckInterval bounds how often a router checks whether it reaches the store, because
	// another one does not, and confirmInterval is the time without contact after which it does.
	storeCheckInterval = time.Second
	confirmInterval    = 3 * time.Second
	// minChangeInterval and minPruneInterval bound the writes of a table while endpoints are
	// replaced and after that.
	minChangeInterval = time.Second
	minPruneInterval  = 3 * time.Second
	// proposeInterval is the time between two checks of the tables.
	proposeInterval = 100 * time.Millisecond
	// rankDelay is the time for which each router of a lower rank has the first chance to write a
	// table, and highRankDelay that of routers from highRank on: what only one of hundreds of
	// routers knows must not wait for the ranks of all.
	rankDelay     = 400 * time.Millisecond
	highRankDelay = 20 * time.Millisecond
	highRank      = 10
	// startTime is the time after the start of a router in which a table can be expected: others
	// write theirs again within .5 s of a restore of the store, and a router that finds no others
	// begins a new one after 2 s. tableWait is how long a request waits for it meanwhile, as long
	// as for the first configuration.
	startTime         = 3 * time.Second
	tableWait         = 300 * time.Millisecond
	tablePollInterval = 5 * time.Millisecond
	// retryDelay is the time after a failed write of a table or of records.
	retryDelay = 500 * time.Millisecond
)

func init() { arbutusline.Register(func() arbutusline.Module { return &StreamVersions{} }) }

// StreamVersions holds a machine for each service with resumable streams. It has no settings.
type StreamVersions struct {
	log        *logrus.Entry
	node       *node.Node
	directory  *directory.Directory
	store      *platform.StoreClient
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	startedAt  time.Duration
	// checkedStoreAt is when this router last checked whether it reaches the store.
	checkedStoreAt atomic.Int64

	mu       sync.Mutex
	services map[string]*service
	// records are those of the streams that this router has begun or taken up.
	records *versionpin.Records
	// held are those of other routers.
	held *versionpin.Held
	// takenOver is true if there are records of a router that died to be written.
	takenOver bool
	// recordsLoaded is true once the records of before a restart were taken over. Only the
	// goroutine that writes records uses it.
	recordsLoaded bool
	// listedRecords are those of all routers when they were last listed.
	listedRecords *versionpin.Records
	recordsRead   sharedRead

	takeUps     *prometheus.CounterVec
	movedSlots  *prometheus.GaugeVec
	tableWrites *prometheus.CounterVec
}

// service is the state of a service with resumable streams.
type service struct {
	name    string
	machine *versionpin.Machine
	// configuredLifetime is that of new streams in the configuration, 0 if none may begin.
	configuredLifetime time.Duration
	capacity           versionpin.Capacity
	// needSince is since when the table has to be written, or 0. notBefore is the earliest
	// time of the next try.
	needSince, notBefore time.Duration
	writing              bool
	// readFailedAt is when the last failed read of the table ended, or 0 after a successful
	// one.
	readFailedAt time.Duration
	// loggedSequence and loggedEra are those of the last table that was logged.
	loggedSequence, loggedEra uint64
	tableRead                 sharedRead
}

// ModuleName returns "stream_versions".
func (v *StreamVersions) ModuleName() string { return Name }

// Provision looks up the modules that StreamVersions uses.
func (v *StreamVersions) Provision(k *arbutusline.Kernel) error {
	v.log = k.Log.WithField("module", Name)
	v.services, v.listedRecords, v.held = map[string]*service{}, versionpin.NewRecords(), versionpin.NewHeld()
	v.startedAt = bootclock.Now()
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	if v.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	v.records = versionpin.NewOwnRecords(v.node.Incarnation())
	if v.directory, err = arbutusline.Lookup[*directory.Directory](k, directory.Name); err != nil {
		return err
	}
	v.store = v.directory.PlatformStore()
	v.takeUps = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_stream_take_ups_total", Help: "Streams that callers take up, by what told the software version: table or record, unknown, or contradicted.",
	}, []string{"result"})
	v.movedSlots = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "arbutus_stream_slots_moved", Help: "Slots of a service's streams, of 256, whose software version the table does not tell.",
	}, []string{"service"})
	v.tableWrites = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_stream_version_writes_total", Help: "Writes of tables and records of software versions, by object and result.",
	}, []string{"object", "result"})
	a.Registry().MustRegister(v.takeUps, v.movedSlots, v.tableWrites)
	a.AddReadinessCheck(Name, v.checkReady)
	v.ctx, v.cancel = context.WithCancel(context.Background())
	v.directory.Subscribe(v.onViewChange)
	return nil
}

// Start starts the writes of tables and records.
func (v *StreamVersions) Start(context.Context) error {
	v.goroutines.Go(func() {
		for v.ctx.Err() == nil {
			v.confirm()
			v.propose()
			wait.ForJittered(v.ctx, proposeInterval)
		}
	})
	v.goroutines.Go(v.flushPeriodically)
	return nil
}

// Stop ends all store calls.
func (v *StreamVersions) Stop(context.Context) error {
	v.cancel()
	v.goroutines.Wait()
	return nil
}

// checkReady fails while the streams of a service with endpoints cannot begin. It goes by the
// directory's view, which the directory's own check has found complete and of which this
// module may not have been told yet.
func (v *StreamVersions) checkReady() error {
	view := v.directory.View()
	if view.Config == nil {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for name := range streamLifetimes(view.Config) {
		if s := v.services[name]; (s == nil || s.machine.Table() == nil) && len(readyCapacity(view, name)) > 0 {
			return errors.Newf("no software versions are assigned to the streams of %s", name)
		}
	}
	return nil
}

// onViewChange takes over the routes, endpoints and tables that the directory knows.
func (v *StreamVersions) onViewChange(view *fleet.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Config == nil {
		return
	}
	lifetimes := streamLifetimes(view.Config)
	for name := range lifetimes {
		if v.services[name] == nil {
			v.services[name] = &service{name: name, machine: versionpin.NewMachine(versionpin.Config{
				SpreadTime: spreadTime, OutageSpreadTime: outageSpreadTime,
				MinChangeInterval: minChangeInterval, MinPruneInterval: minPruneInterval, PromiseTime: promiseTime,
			})}
		}
	}
	// Streams of a service live on when no route lets new ones begin.
	for name, s := range v.services {
		if v.directory.RoutersKnownLocked() {
			s.machine.SetRouters(slices.Collect(maps.Keys(v.directory.OtherRouterNamesLocked())))
		}
		v.setStreamLifetimeLocked(s, lifetimes[name])
		s.capacity = readyCapacity(view, name)
		spec, position := v.directory.EntryLocked(directory.KindSoftwareVersions, name)
		if position.Era > 0 || position.Revision > 0 || v.directory.RoutersKnownLocked() {
			s.machine.ObserveStored(bootclock.Now(), v.decodeTable(name, spec), position)
		}
		v.onTableChangeLocked(s)
	}
}

// setStreamLifetimeLocked replaces the lifetime of streams that begin at a service, and logs it if
// it changes. The caller holds mu.
func (v *StreamVersions) setStreamLifetimeLocked(s *service, lifetime time.Duration) {
	now := bootclock.Now()
	s.machine.SetStreamLifetime(now, lifetime)
	if lifetime == s.configuredLifetime {
		return
	}
	s.configuredLifetime = lifetime
	v.log.WithFields(logrus.Fields{
		"service": s.name, "configured_ms": lifetime.Milliseconds(), "longest_ms": s.machine.StreamLifetime(now).Milliseconds(),
	}).Info("stream lifetime changed")
}

// recordLifetimeLocked returns how long a record is kept: a record does not tell its service. The
// caller holds mu.
func (v *StreamVersions) recordLifetimeLocked() time.Duration {
	now, longest := bootclock.Now(), time.Duration(0)
	for _, s := range v.services {
		longest = max(longest, s.machine.StreamLifetime(now))
		if s.machine.Table() == nil {
			longest = max(longest, defaultStreamLifetime) // The table may tell of streams that live longer.
		}
	}
	return longest + spreadTime
}

// readyCapacity returns the slots of a service's ready endpoints by software version.
func readyCapacity(view *fleet.View, service string) versionpin.Capacity {
	out := versionpin.Capacity{}
	for _, e := range view.EndpointsByService[service] {
		if e.State == fleet.Ready {
			out[e.SoftwareVersion] += e.Slots
		}
	}
	return out
}

// streamLifetimes returns the longest lifetime of a stream for each service with resumable
// streams.
func streamLifetimes(c *fleet.Configuration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != fleet.Stream || !r.Resumable {
			continue
		}
		lifetime := r.Timeout
		if lifetime <= 0 {
			lifetime = defaultStreamLifetime
		}
		for _, share := range r.TrafficSplit {
			out[share.Service] = max(out[share.Service], lifetime)
		}
	}
	return out
}

// decodeTable returns the table in an object, or nil if there is none or it is invalid.
func (v *StreamVersions) decodeTable(name string, spec []byte) *versionpin.Table {
	if len(spec) == 0 {
		return nil
	}
	t := &versionpin.Table{}
	if err := json.Unmarshal(spec, t); err != nil {
		v.log.WithError(err).WithField("service", name).Error("ignored invalid table of software versions")
		return nil
	}
	return t
}

// onTableChangeLocked logs a table that is newly in force, and lets the records of slots that
// it has moved be written. The caller holds mu.
func (v *StreamVersions) onTableChangeLocked(s *service) {
	t := s.machine.Table()
	if t == nil || t.Sequence == s.loggedSequence && t.Era == s.loggedEra {
		return
	}
	s.loggedSequence, s.loggedEra = t.Sequence, t.Era
	v.movedSlots.WithLabelValues(s.name).Set(float64(t.MovedSlots()))
	v.log.WithFields(logrus.Fields{
		"service": s.name, "sequence": t.Sequence, "era": t.Era, "slots": t.Shares(), "moved": t.MovedSlots(),
		"lifetime_ms": t.StreamLifetime.Milliseconds(),
	}).Info("software versions assigned to streams")
	v.records.SetMoved(v.movedSlotsLocked())
}

// movedSlotsLocked returns the slots that have moved in the table of any service: a record does
// not tell its service. The caller holds mu.
func (v *StreamVersions) movedSlotsLocked() versionpin.SlotSet {
	var out versionpin.SlotSet
	for _, s := range v.services {
		if t := s.machine.Table(); t != nil {
			for slot, moved := range t.Moved() {
				out[slot] = out[slot] || moved
			}
		}
	}
	return out
}

// Begin returns the software versions at which a new stream may begin, in order of
// preference. It returns none if no table is known, for which it waits shortly after the start of
// this router. callerTimeout is how long the caller says that it waits, 0 if it does not say so.
func (v *StreamVersions) Begin(ctx context.Context, serviceName, requestID string, callerTimeout time.Duration) []string {
	v.awaitTable(ctx, serviceName)
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[serviceName]
	if s == nil {
		return nil
	}
	v.observeContactLocked(s, spreadTime)
	// Whole seconds, so that few lifetimes differ.
	s.machine.ObserveStreamLifetime(bootclock.Now(), min((callerTimeout+time.Second-1).Truncate(time.Second), maxCallerLifetime))
	return s.machine.Begin(bootclock.Now(), versionpin.StreamHash(serviceName, requestID))
}

// awaitTable waits for the first table of a service, which arrives sooner than a refused caller
// would come back.
func (v *StreamVersions) awaitTable(ctx context.Context, serviceName string) {
	ctx, cancel := context.WithTimeout(ctx, tableWait)
	defer cancel()
	for ctx.Err() == nil && bootclock.Now()-v.startedAt < startTime && !v.hasTable(serviceName) {
		wait.For(ctx, tablePollInterval)
	}
}

func (v *StreamVersions) hasTable(serviceName string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[serviceName]
	return s != nil && s.machine.Table() != nil
}

// propose writes the tables that have to change, if it is this router's turn.
func (v *StreamVersions) propose() {
	rank, trusted, restarted := v.directory.WatchRank(), v.directory.StoreTrusted(), v.directory.RanBefore()
	unreachable := v.directory.StoreUnreachable()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.services {
		t := bootclock.Now()
		if unreachable {
			s.machine.ObserveStoreLost(t)
		}
		if s.writing || t < s.notBefore {
			continue
		}
		p, need := s.machine.Propose(t, versionpin.Circumstances{
			Capacity: s.capacity, Alone: trusted && t-v.startedAt > 2*v.directory.EraWait.AsDuration(), Restarted: restarted,
			RunningFor: t - v.startedAt,
		})
		if !need {
			s.needSince = 0
			continue
		}
		if s.needSince == 0 {
			s.needSince = t
		}
		if t-s.needSince >= turnDelay(rank) {
			s.writing = true
			s.machine.ObserveWriteBegun(p)
			v.goroutines.Go(func() { v.writeTable(s, p) })
		}
	}
}

// turnDelay is how long a router of a rank waits before it writes a table.
func turnDelay(rank int) time.Duration {
	return time.Duration(min(rank, highRank))*rankDelay + time.Duration(max(0, rank-highRank))*highRankDelay
}

// writeTable writes a proposed table. After a conflict another router has written one.
func (v *StreamVersions) writeTable(s *service, p versionpin.Proposal) {
	var o platform.Object
	var err error
	if p.Position.Revision == 0 {
		o, err = v.store.Create(v.ctx, directory.KindSoftwareVersions, s.name, p.Table)
	} else {
		o, err = v.store.Replace(v.ctx, directory.KindSoftwareVersions, s.name, p.Position.Revision, p.Table)
	}
	v.tableWrites.WithLabelValues("table", writeResult(err)).Inc()
	v.mu.Lock()
	defer v.mu.Unlock()
	s.writing = false
	if err != nil {
		switch {
		case errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound):
			s.machine.ObserveWriteRefused(true)
		case errors.IsAny(err, platform.ErrUnavailable, platform.ErrRateLimited):
			s.machine.ObserveWriteRefused(false)
		}
		s.notBefore = bootclock.Now() + retryDelay
		v.log.WithError(err).WithFields(logrus.Fields{"service": s.name, "sequence": p.Table.Sequence}).Info("failed to write software versions")
		return
	}
	s.machine.ObserveWritten(bootclock.Now(), p.Table, o.Position())
	v.onTableChangeLocked(s)
}

func writeResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	}
	return "failed"
}
