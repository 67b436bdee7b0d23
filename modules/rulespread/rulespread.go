// Package rulespread is the module "rules": it holds the rules in force and obtains
// newer versions by gossip, from peers and, in a few routers per availability zone,
// from the store.
package rulespread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/ruleset"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/rules"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "rules"

// CurrentKey is the key of the object that holds the current rules.
const CurrentKey = "rules/current"

// Defaults of the settings.
const (
	defaultWatchersPerZone = 2
	defaultWatchTimeout    = 2 * time.Second
	defaultCallTimeout     = 2 * time.Second
	// routerFirstReadJitter and agentFirstReadJitter spread the first store reads
	// of processes that start together: 380 routers make about 95 reads per
	// second, 2,100 agents about 70.
	routerFirstReadJitter = 4 * time.Second
	agentFirstReadJitter  = 30 * time.Second
	// watcherCheckInterval is the time between two checks whether this process
	// must watch the store.
	watcherCheckInterval = time.Second
)

func init() { arbutusline.Register(func() arbutusline.Module { return NewModule() }) }

// Gossip is the part of the module "gossip" that this module uses.
type Gossip interface {
	Self() membership.Member
	Member(name string) (membership.Member, bool)
	LiveMembers() []membership.Member
	JoinComplete() bool
	MemberChangeCount() uint64
	SetRulesVersion(v uint64, push bool)
	PushRulesDelta(d *ruleset.Delta)
	OnRulesDelta(f func(d *ruleset.Delta, from string))
	OnRulesVersion(f func(version uint64, from string))
	SetCatchUpDeltas(f func(version uint64) []*ruleset.Delta)
}

// PeerFetcher fetches rules from other processes.
type PeerFetcher interface {
	// Fetch asks the process at a gRPC address for rules newer than haveVersion,
	// whose text has the hash haveHash.
	Fetch(ctx context.Context, address string, haveVersion, haveHash uint64) (*ruleset.FetchResponse, error)
}

// Module holds the current rules. Current, ObserveVersion and Subscribe are safe
// for concurrent use.
type Module struct {
	// WatchersPerZone is the number of routers per availability zone that watch the
	// store. Default 2.
	WatchersPerZone int `json:"watchers"`
	// WatchTimeout is the duration of one watch call. It bounds how long a change
	// goes unnoticed on a connection that broke without an error. Default 2s.
	WatchTimeout settings.Duration `json:"watch_timeout"`
	// CallTimeout bounds one read from the store or from a peer. Default 2s.
	CallTimeout settings.Duration `json:"call_timeout"`

	log     *logrus.Entry
	clock   gossip.Clock
	gossip  Gossip
	store   objectstore.Store
	fetcher PeerFetcher

	current atomic.Pointer[rules.View]

	mu               sync.Mutex
	stateMachine     *ruleset.StateMachine
	nextWatcherCheck time.Duration
	// lastMemberChanges and lastJoinComplete are the inputs of the last decision
	// whether this process watches the store.
	lastMemberChanges uint64
	lastJoinComplete  bool
	// wake makes tickLoop compute the next tick again.
	wake chan struct{}

	// activateMu keeps the calls of subscribers in the order of versions.
	activateMu       sync.Mutex
	activatedVersion uint64
	subscribers      []func(*rules.View)

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	metrics    metrics
}

// NewModule returns a module with default settings.
func NewModule() *Module {
	m := &Module{
		WatchersPerZone: defaultWatchersPerZone, WatchTimeout: settings.Duration(defaultWatchTimeout),
		CallTimeout: settings.Duration(defaultCallTimeout),
		wake:        make(chan struct{}, 1), metrics: newMetrics(nil, nil),
	}
	m.current.Store(rules.Empty())
	return m
}

// ModuleName returns "rules".
func (m *Module) ModuleName() string { return Name }

// Provision looks up "gossip" and, if the process runs it, "objectstore".
func (m *Module) Provision(k *arbutusline.Kernel) error {
	g, err := arbutusline.Lookup[*gossip.Module](k, gossip.Name)
	if err != nil {
		return err
	}
	store, err := arbutusline.Lookup[objectstore.Store](k, "objectstore")
	if err != nil && !errors.Is(err, arbutusline.ErrNotLoaded) {
		return err
	}
	m.Configure(g, store, grpcFetcher{}, g.Clock(), k.Log)
	m.metrics = newMetrics(k, m)
	return nil
}

// Configure sets the dependencies of the module. Tests call it instead of
// Provision. The store may be nil.
func (m *Module) Configure(g Gossip, store objectstore.Store, fetcher PeerFetcher, clock gossip.Clock, log *logrus.Entry) {
	m.gossip, m.store, m.fetcher, m.clock = g, store, fetcher, clock
	m.log = log.WithField("module", Name)
	self := g.Self()
	jitter := routerFirstReadJitter
	if self.Role == membership.RoleAgent {
		jitter = agentFirstReadJitter
	}
	m.stateMachine = ruleset.New(ruleset.Config{FirstReadJitter: jitter}, rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Zone)))))
	m.ctx, m.cancel = context.WithCancel(context.Background())
	g.OnRulesDelta(func(d *ruleset.Delta, from string) {
		m.withStateMachine(func(sm *ruleset.StateMachine, now time.Duration) { sm.HandleDelta(now, d, from) })
	})
	g.OnRulesVersion(m.ObserveVersion)
	g.SetCatchUpDeltas(func(version uint64) []*ruleset.Delta {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.stateMachine.GossipDeltasFrom(version)
	})
}

// Validate checks the settings.
func (m *Module) Validate() error {
	if m.WatchersPerZone <= 0 || m.WatchTimeout <= 0 || m.CallTimeout <= 0 {
		return errors.Wrap(settings.ErrInvalid, "watchers, watch_timeout and call_timeout: expected more than 0")
	}
	return nil
}

// Start obtains rules in the background and returns immediately, so that a process
// can start during an outage of the store.
func (m *Module) Start(context.Context) error {
	m.withStateMachine(func(sm *ruleset.StateMachine, now time.Duration) { sm.Start(now) })
	m.goroutines.Add(1)
	go m.tickLoop()
	return nil
}

// Stop ends the background work.
func (m *Module) Stop(context.Context) error {
	m.cancel()
	m.goroutines.Wait()
	return nil
}

// Current returns the rules in force. It never returns nil: until the first version
// is in force, it returns rules of version 0, which allow nothing.
func (m *Module) Current() *rules.View { return m.current.Load() }

// Subscribe calls f with the current rules, if there are any, and with each later
// version in ascending order. f must not block and must not call Subscribe.
func (m *Module) Subscribe(f func(*rules.View)) {
	m.activateMu.Lock()
	defer m.activateMu.Unlock()
	m.subscribers = append(m.subscribers, f)
	if v := m.current.Load(); v.Version > 0 {
		f(v)
	}
}

// ObserveVersion records a rules version that a peer announced in gossip, a request
// or a response. From is the name of that peer. The call is cheap if the version is
// not newer than the current one.
func (m *Module) ObserveVersion(version uint64, from string) {
	if version <= m.current.Load().Version {
		return
	}
	m.withStateMachine(func(sm *ruleset.StateMachine, now time.Duration) { sm.HandleAnnouncedVersion(now, version, from) })
}

// Status returns the state that is reported to operators.
func (m *Module) Status() ruleset.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateMachine.Status()
}

// withStateMachine runs f on the state machine and then performs the actions that the
// state machine returns.
func (m *Module) withStateMachine(f func(sm *ruleset.StateMachine, now time.Duration)) {
	m.mu.Lock()
	f(m.stateMachine, m.clock.Now())
	actions := m.stateMachine.TakeActions()
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
	m.performActions(actions)
}

func (m *Module) performActions(a ruleset.Actions) {
	if a.AnnounceVersion > 0 {
		m.gossip.SetRulesVersion(a.AnnounceVersion, a.PushVersion && len(a.PushDeltas) == 0)
	}
	for _, d := range a.PushDeltas {
		m.gossip.PushRulesDelta(d)
	}
	if a.Activate != nil {
		m.activate(a.Activate)
	}
	for _, f := range a.Fetches {
		m.runInBackground(func() { m.fetchFromPeer(f) })
	}
	if a.ReadStore {
		m.runInBackground(m.readStore)
	}
	if a.Watch {
		m.runInBackground(func() { m.watchStore(a.WatchSince) })
	}
}

// runInBackground runs f in a goroutine that Stop waits for. After Stop it does
// nothing.
func (m *Module) runInBackground(f func()) {
	if m.ctx.Err() != nil {
		return
	}
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		f()
	}()
}

// activate puts a view in force and passes it to the subscribers. Goroutines may
// call it out of order; a view that is not newer is dropped.
func (m *Module) activate(v *rules.View) {
	m.activateMu.Lock()
	defer m.activateMu.Unlock()
	if v.Version <= m.activatedVersion {
		return
	}
	m.activatedVersion = v.Version
	m.current.Store(v)
	m.log.WithField("version", v.Version).Info("new rules version in force")
	for _, f := range m.subscribers {
		f(v)
	}
}

func (m *Module) tickLoop() {
	defer m.goroutines.Done()
	for {
		m.updateWatcher()
		m.withStateMachine(func(sm *ruleset.StateMachine, now time.Duration) { sm.Tick(now) })
		m.mu.Lock()
		wait := min(m.stateMachine.NextTick()-m.clock.Now(), watcherCheckInterval)
		m.mu.Unlock()
		// Discard the wake-up that this iteration itself sent.
		select {
		case <-m.wake:
		default:
		}
		select {
		case <-m.ctx.Done():
			return
		case <-m.wake:
		case <-m.clock.After(max(wait, time.Millisecond)):
		}
	}
}

// updateWatcher decides whether this process watches the store. The watchers of an
// availability zone are its top-ranked routers by rendezvous hashing, or its
// top-ranked processes of any role if it has no live router.
func (m *Module) updateWatcher() {
	now := m.clock.Now()
	if m.store == nil || now < m.nextWatcherCheck {
		return
	}
	m.nextWatcherCheck = now + watcherCheckInterval
	memberChanges, joinComplete := m.gossip.MemberChangeCount(), m.gossip.JoinComplete()
	if memberChanges == m.lastMemberChanges && joinComplete == m.lastJoinComplete {
		return
	}
	m.lastMemberChanges, m.lastJoinComplete = memberChanges, joinComplete
	isWatcher := joinComplete && IsWatcher(m.gossip.Self(), m.gossip.LiveMembers(), m.WatchersPerZone)
	m.withStateMachine(func(sm *ruleset.StateMachine, now time.Duration) { sm.SetWatcher(now, isWatcher) })
}

// IsWatcher reports whether self is one of the n processes of its availability zone
// that watch the store.
func IsWatcher(self membership.Member, others []membership.Member, n int) bool {
	var routers, all []string
	for i := range others {
		o := &others[i]
		if o.Zone != self.Zone || o.State != membership.Alive || o.Leaving {
			continue
		}
		all = append(all, o.Name)
		if o.Role == membership.RoleRouter {
			routers = append(routers, o.Name)
		}
	}
	if self.Leaving {
		return false
	}
	if self.Role == membership.RoleRouter {
		return ruleset.IsTopRanked(self.Name, self.Zone, routers, n)
	}
	return len(routers) == 0 && ruleset.IsTopRanked(self.Name, self.Zone, all, n)
}
