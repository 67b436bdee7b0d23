// Package rulespread is the module "rules": it holds the rules in force and
// keeps them current from gossip, from peers and, in a few routers per
// availability zone, from the store.
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

// Key is the object that holds the current rules.
const CurrentKey = "rules/current"

// Defaults of the settings.
const (
	defaultWatchers     = 2
	defaultWatchTimeout = 2 * time.Second
	defaultCallTimeout  = 2 * time.Second
	// routerSpread and agentSpread are the spans over which a herd of 380
	// routers or 2,100 agents spreads its first reads of the store: about 95
	// and 70 calls a second.
	routerFirstReadJitter = 4 * time.Second
	agentFirstReadJitter  = 30 * time.Second
	// watcherCheck is the time between two looks at who watches.
	watcherCheckInterval = time.Second
)

func init() { arbutusline.Register(func() arbutusline.Module { return NewModule() }) }

// Gossip is what the module needs of the module "gossip".
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

// Peers fetches rules from other processes.
type PeerFetcher interface {
	// Fetch asks the process at a gRPC address for rules newer than have.
	Fetch(ctx context.Context, address string, have, hash uint64) (*ruleset.FetchResponse, error)
}

// Module holds the current rules. Current, ObserveVersion and Subscribe are safe for
// concurrent use.
type Module struct {
	// Watchers is the number of routers per availability zone that watch the
	// store. Default 2.
	Watchers int `json:"watchers"`
	// WatchTimeout is the length of one watch call. It bounds how long a
	// connection that broke silently hides a change. Default 2s.
	WatchTimeout settings.Duration `json:"watch_timeout"`
	// CallTimeout bounds one read of the store or of a peer. Default 2s.
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
	// seenChanges and seenSettled are what the last choice was based on.
	lastMemberChanges uint64
	lastJoinComplete  bool
	wake              chan struct{}

	// deliverMu keeps deliveries to subscribers in the order of versions.
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
		Watchers: defaultWatchers, WatchTimeout: settings.Duration(defaultWatchTimeout),
		CallTimeout: settings.Duration(defaultCallTimeout),
		wake:        make(chan struct{}, 1), metrics: newMetrics(nil, nil),
	}
	m.current.Store(rules.Empty())
	return m
}

// ModuleName returns "rules".
func (m *Module) ModuleName() string { return Name }

// Provision looks up "gossip" and, when the process runs it, "objectstore".
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

// Configure sets what the module needs from outside; tests call it in place of
// Provision. The store may be nil.
func (m *Module) Configure(g Gossip, store objectstore.Store, peers PeerFetcher, clock gossip.Clock, log *logrus.Entry) {
	m.gossip, m.store, m.fetcher, m.clock = g, store, peers, clock
	m.log = log.WithField("module", Name)
	self := g.Self()
	spread := routerFirstReadJitter
	if self.Role == membership.RoleAgent {
		spread = agentFirstReadJitter
	}
	m.stateMachine = ruleset.New(ruleset.Config{FirstReadJitter: spread}, rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Zone)))))
	m.ctx, m.cancel = context.WithCancel(context.Background())
	g.OnRulesDelta(func(d *ruleset.Delta, from string) {
		m.withStateMachine(func(r *ruleset.StateMachine, now time.Duration) { r.HandleDelta(now, d, from) })
	})
	g.OnRulesVersion(m.ObserveVersion)
	g.SetCatchUpDeltas(func(version uint64) []*ruleset.Delta {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.stateMachine.GossipDeltasFrom(version)
	})
}

// Validate checks the bounds.
func (m *Module) Validate() error {
	if m.Watchers <= 0 || m.WatchTimeout <= 0 || m.CallTimeout <= 0 {
		return errors.Wrap(settings.ErrInvalid, "watchers, watch_timeout and call_timeout: expected more than 0")
	}
	return nil
}

// Start begins to look for rules and returns at once, so that a process starts
// during an outage of the store.
func (m *Module) Start(context.Context) error {
	m.withStateMachine(func(r *ruleset.StateMachine, now time.Duration) { r.Start(now) })
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

// Current returns the rules in force. It is never nil; before the first
// version arrives it allows nothing and has version 0.
func (m *Module) Current() *rules.View { return m.current.Load() }

// Subscribe calls f with the current rules, if there are any, and with each
// later version in rising order. f must not block and must not call Subscribe.
func (m *Module) Subscribe(f func(*rules.View)) {
	m.activateMu.Lock()
	defer m.activateMu.Unlock()
	m.subscribers = append(m.subscribers, f)
	if v := m.current.Load(); v.Version > 0 {
		f(v)
	}
}

// ObserveVersion notes a rules version that a request or an answer carried. From is the
// name of the member that sent it. It is cheap when the version is not newer.
func (m *Module) ObserveVersion(version uint64, from string) {
	if version <= m.current.Load().Version {
		return
	}
	m.withStateMachine(func(r *ruleset.StateMachine, now time.Duration) { r.HandleVersion(now, version, from) })
}

// Status returns the state for operators.
func (m *Module) Status() ruleset.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateMachine.Status()
}

// with runs f on the machine and then does what the machine asks for.
func (m *Module) withStateMachine(f func(r *ruleset.StateMachine, now time.Duration)) {
	m.mu.Lock()
	f(m.stateMachine, m.clock.Now())
	a := m.stateMachine.TakeActions()
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
	m.runActions(a)
}

func (m *Module) runActions(a ruleset.Actions) {
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

// deliver puts a view in force. Views may arrive here out of order from
// different goroutines; an older one is dropped.
func (m *Module) activate(v *rules.View) {
	m.activateMu.Lock()
	defer m.activateMu.Unlock()
	if v.Version <= m.activatedVersion {
		return
	}
	m.activatedVersion = v.Version
	m.current.Store(v)
	m.log.WithField("version", v.Version).Info("rules in force")
	for _, f := range m.subscribers {
		f(v)
	}
}

func (m *Module) tickLoop() {
	defer m.goroutines.Done()
	for {
		m.updateWatcher()
		m.withStateMachine(func(r *ruleset.StateMachine, now time.Duration) { r.Tick(now) })
		m.mu.Lock()
		wait := min(m.stateMachine.NextTick()-m.clock.Now(), watcherCheckInterval)
		m.mu.Unlock()
		// The wake-up that this round caused itself is not a reason for
		// another one.
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

// chooseWatcher decides whether this process watches the store: the first
// routers of the zone by rendezvous hashing, or the first processes of any
// role when the zone has no live router.
func (m *Module) updateWatcher() {
	now := m.clock.Now()
	if m.store == nil || now < m.nextWatcherCheck {
		return
	}
	m.nextWatcherCheck = now + watcherCheckInterval
	changes, settled := m.gossip.MemberChangeCount(), m.gossip.JoinComplete()
	if changes == m.lastMemberChanges && settled == m.lastJoinComplete {
		return
	}
	m.lastMemberChanges, m.lastJoinComplete = changes, settled
	on := settled && IsWatcher(m.gossip.Self(), m.gossip.LiveMembers(), m.Watchers)
	m.withStateMachine(func(r *ruleset.StateMachine, now time.Duration) { r.SetWatcher(now, on) })
}

// Watches reports whether self is one of the n watchers of its zone.
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
