// Package orders is the module "orders". In the router that holds the lease it runs the
// rollouts of weights and sends the orders to the agents. In agents it passes orders to
// the engine, except those whose fencing token is lower than the highest one seen.
package orders

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/rollout"
	"github.com/arbutusline/arbutusline/decision/ruleset"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/engine"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/rules"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "orders"

// Defaults of the settings.
const (
	defaultLeaseCandidates = 3
	defaultCallTimeout     = 2 * time.Second
)

func init() { arbutusline.Register(func() arbutusline.Module { return NewModule() }) }

// RulesSource provides the rules. The module "rules" implements it.
type RulesSource interface {
	Current() *rules.View
}

// Gossip is the part of the module "gossip" that this module uses.
type Gossip interface {
	Self() membership.Member
	LiveMembers() []membership.Member
	AgentByEndpoint(endpoint string) (membership.Member, bool)
}

// AgentClient calls the agents of endpoints.
type AgentClient interface {
	// SendOrder sends an order to the agent at a gRPC address.
	SendOrder(ctx context.Context, address string, o rollout.Order) rollout.OrderResult
	// EngineState reads the state of the engine beside an agent.
	EngineState(ctx context.Context, address string) (*pb.EngineStateResponse, error)
	// Close closes all connections.
	Close()
}

// Module is the module "orders" of a router or an agent.
type Module struct {
	// LeaseCandidates is the number of routers that may take the lease. They are the
	// first ones in the rendezvous hashing order. Default 3.
	LeaseCandidates int `json:"candidates"`
	// CallTimeout bounds each call to the store, an agent or the engine.
	// Default 2s.
	CallTimeout settings.Duration `json:"call_timeout"`

	log         *logrus.Entry
	clock       gossip.Clock
	gossip      Gossip
	rules       RulesSource
	store       objectstore.Store
	agentClient AgentClient

	metrics metrics

	mu           sync.Mutex
	stateMachine *rollout.StateMachine
	// loggedHaltReasons has the halt reason that was last logged, by model.
	loggedHaltReasons map[string]string
	ctx               context.Context
	cancel            context.CancelFunc
	goroutines        sync.WaitGroup
}

// NewModule returns a module with default settings.
func NewModule() *Module {
	return &Module{
		LeaseCandidates: defaultLeaseCandidates, CallTimeout: settings.Duration(defaultCallTimeout),
		metrics: newMetrics(), loggedHaltReasons: map[string]string{},
	}
}

// ModuleName returns "orders".
func (m *Module) ModuleName() string { return Name }

// Provision configures the module for the role of the process.
func (m *Module) Provision(k *arbutusline.Kernel) error {
	m.log = k.Log.WithField("module", Name)
	self, err := arbutusline.Lookup[*node.Node](k, node.Name)
	if err != nil {
		return err
	}
	m.store, err = arbutusline.Lookup[objectstore.Store](k, "objectstore")
	if err != nil {
		return err
	}
	provision := m.provisionRouter
	if self.Role == node.RoleAgent {
		provision = m.provisionAgent
	}
	if err := provision(k, self); err != nil {
		return err
	}
	if a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name); err == nil {
		a.Registry().MustRegister(m.metrics.sentOrders, m.metrics.answeredOrders, m.metrics.holdsLease, m.metrics.haltedRollouts)
	}
	return nil
}

func (m *Module) provisionRouter(k *arbutusline.Kernel, _ *node.Node) error {
	g, err := arbutusline.Lookup[*gossip.Module](k, gossip.Name)
	if err != nil {
		return err
	}
	rulesSource, err := arbutusline.Lookup[RulesSource](k, "rules")
	if err != nil {
		return err
	}
	m.Configure(g, rulesSource, m.store, newGRPCAgentClient(), g.Clock(), k.Log)
	return nil
}

func (m *Module) provisionAgent(k *arbutusline.Kernel, self *node.Node) error {
	server, err := arbutusline.Lookup[*grpcserver.Server](k, grpcserver.Name)
	if err != nil {
		return err
	}
	e, err := arbutusline.Lookup[*engine.Engine](k, engine.Name)
	if err != nil {
		return err
	}
	if e.PlainService {
		return nil
	}
	pb.RegisterOrdersServer(server.Registrar(), &orderServer{
		endpoint: self.Endpoint, engineURL: e.URL, httpClient: newEngineClient(), store: m.store, callTimeout: m.CallTimeout.AsDuration(),
		answeredOrders: m.metrics.answeredOrders,
	})
	return nil
}

// Configure configures the module of a router. Tests call it instead of Provision.
func (m *Module) Configure(gossipModule Gossip, rulesSource RulesSource, store objectstore.Store, agents AgentClient, clock gossip.Clock, log *logrus.Entry) {
	m.gossip, m.rules, m.store, m.agentClient, m.clock = gossipModule, rulesSource, store, agents, clock
	m.log = log.WithField("module", Name)
	self := gossipModule.Self()
	m.stateMachine = rollout.New(rollout.Config{RouterName: self.Name, RouterIncarnation: self.Incarnation},
		rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Name)))))
}

// Validate checks the settings.
func (m *Module) Validate() error {
	if m.LeaseCandidates <= 0 || m.CallTimeout <= 0 {
		return errors.Wrap(settings.ErrInvalid, "candidates and call_timeout: expected more than 0")
	}
	return nil
}

// Start starts competing for the lease and running rollouts. In agents it does nothing.
func (m *Module) Start(context.Context) error {
	if m.stateMachine == nil {
		return nil
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.goroutines.Add(1)
	go m.tickLoop()
	return nil
}

// Stop stops running rollouts. The lease is not released: another router takes it over
// when it expires.
func (m *Module) Stop(context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.cancel()
	m.goroutines.Wait()
	m.agentClient.Close()
	return nil
}

// Status returns the state of the lease and the records of the rollouts, which only the
// holder of the lease knows.
func (m *Module) Status() (fencingToken uint64, holdsLease bool, records []rollout.Record) {
	if m.stateMachine == nil {
		return 0, false, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	fencingToken, holdsLease = m.stateMachine.HoldsLease(m.clock.Now())
	return fencingToken, holdsLease, m.stateMachine.Records()
}

func (m *Module) tickLoop() {
	defer m.goroutines.Done()
	for {
		view := m.rules.Current()
		isCandidate := len(view.Rollouts()) > 0 && m.isCandidate()
		m.withStateMachine(func(sm *rollout.StateMachine, now time.Duration) {
			sm.SetRules(view)
			sm.SetCandidate(isCandidate)
			sm.Tick(now)
		})
		m.reportStatus()
		m.mu.Lock()
		wait := m.stateMachine.NextTick() - m.clock.Now()
		m.mu.Unlock()
		select {
		case <-m.ctx.Done():
			return
		case <-m.clock.After(max(wait, time.Millisecond)):
		}
	}
}

// reportStatus updates the gauges and logs each new halt of a rollout.
func (m *Module) reportStatus() {
	_, holdsLease, records := m.Status()
	holdsLeaseValue, haltedRollouts := 0.0, 0
	if holdsLease {
		holdsLeaseValue = 1
	}
	for _, r := range records {
		if r.HaltReason != "" {
			haltedRollouts++
		}
		if r.HaltReason != "" && r.HaltReason != m.loggedHaltReasons[r.Model] {
			m.log.WithFields(logrus.Fields{"model": r.Model, "version": r.WeightsVersion, "reason": r.HaltReason}).Warn("rollout halted")
		}
		m.loggedHaltReasons[r.Model] = r.HaltReason
	}
	m.metrics.holdsLease.Set(holdsLeaseValue)
	m.metrics.haltedRollouts.Set(float64(haltedRollouts))
}

// isCandidate reports whether this router may take the lease.
func (m *Module) isCandidate() bool {
	self := m.gossip.Self()
	if self.Leaving {
		return false
	}
	var routers []string
	for _, o := range m.gossip.LiveMembers() {
		if o.Role == membership.RoleRouter && o.State == membership.Alive && !o.Leaving {
			routers = append(routers, o.Name)
		}
	}
	return ruleset.IsTopRanked(self.Name, rollout.LeaseKey, routers, m.LeaseCandidates)
}

// withStateMachine runs f on the state machine and then performs the actions that the
// state machine returns, each in its own goroutine.
func (m *Module) withStateMachine(f func(sm *rollout.StateMachine, now time.Duration)) {
	m.mu.Lock()
	f(m.stateMachine, m.clock.Now())
	actions := m.stateMachine.TakeActions()
	m.mu.Unlock()
	if actions.StoreCall != nil {
		m.runInBackground(func() { m.callStore(*actions.StoreCall) })
	}
	for _, o := range actions.Orders {
		m.runInBackground(func() { m.sendOrder(o) })
	}
	for _, endpoint := range actions.ObserveEndpoints {
		m.runInBackground(func() { m.observeEngine(endpoint) })
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

func (m *Module) callStore(call rollout.StoreCall) {
	ctx, cancel := context.WithTimeout(m.ctx, m.CallTimeout.AsDuration())
	defer cancel()
	var (
		value   []byte
		version uint64
		err     error
	)
	if call.Value == nil {
		var o objectstore.Object
		o, err = m.store.Get(ctx, call.Key)
		value, version = o.Value, o.Version
	} else {
		version, err = m.store.Put(ctx, call.Key, call.Value, call.ExpectedVersion)
	}
	outcome := rollout.StoreOK
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		outcome = rollout.StoreNotFound
	case errors.Is(err, objectstore.ErrConflict):
		outcome = rollout.StoreConflict
	case err != nil:
		outcome = rollout.StoreOutcomeUnknown
	}
	m.withStateMachine(func(sm *rollout.StateMachine, now time.Duration) {
		sm.HandleStoreResult(now, call.ID, outcome, value, version)
	})
}

func (m *Module) sendOrder(o rollout.Order) {
	result := rollout.OrderOutcomeUnknown
	if agent, ok := m.gossip.AgentByEndpoint(o.Endpoint); ok {
		ctx, cancel := context.WithTimeout(m.ctx, m.CallTimeout.AsDuration())
		defer cancel()
		result = m.agentClient.SendOrder(ctx, agent.GRPCAddress, o)
	}
	label := sentOrderLabels[result]
	m.metrics.sentOrders.WithLabelValues(label).Inc()
	m.log.WithFields(logrus.Fields{"endpoint": o.Endpoint, "version": o.WeightsVersion, "token": o.FencingToken, "result": label}).Info("weights order sent")
	m.withStateMachine(func(sm *rollout.StateMachine, now time.Duration) { sm.HandleOrderResult(now, o, result) })
}

// observeEngine reads the state of an endpoint's engine. ObservedAt is the time before
// the call, so that the observation never counts as newer than it is.
func (m *Module) observeEngine(endpoint string) {
	observedAt := m.clock.Now()
	agent, ok := m.gossip.AgentByEndpoint(endpoint)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, m.CallTimeout.AsDuration())
	defer cancel()
	s, err := m.agentClient.EngineState(ctx, agent.GRPCAddress)
	if err != nil {
		return
	}
	m.withStateMachine(func(sm *rollout.StateMachine, _ time.Duration) {
		sm.HandleObservation(endpoint, rollout.Observation{
			ObservedAt: observedAt, Serving: s.GetUp(), FailedFencingToken: s.GetFailedToken(), WeightsVersion: s.GetWeightsVersion(), EngineIncarnation: s.GetIncarnation(),
		})
	})
}
