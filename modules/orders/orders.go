// Package orders is the module "orders". In routers it plans engine orders
// while the router holds the lease; in agents it passes them to the engine and
// keeps the highest fencing token seen.
package orders

import (
	"context"
	"math/rand/v2"
	"net/http"
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
	defaultCandidates  = 3
	defaultCallTimeout = 2 * time.Second
)

func init() { arbutusline.Register(func() arbutusline.Module { return NewModule() }) }

// Rules is the module "rules".
type Rules interface {
	Current() *rules.View
}

// Directory is what the module needs of the module "gossip".
type Directory interface {
	Self() membership.Member
	LiveMembers() []membership.Member
	AgentByEndpoint(endpoint string) (membership.Member, bool)
}

// Agents reaches the agents of endpoints.
type Agents interface {
	// Give sends an order to the agent at a gRPC address.
	Give(ctx context.Context, address string, o rollout.Order) rollout.OrderResult
	// State reads the state of the engine beside an agent.
	State(ctx context.Context, address string) (*pb.EngineStateResponse, error)
	// Close ends all connections.
	Close()
}

// Module is the order module of a router or an agent.
type Module struct {
	// Candidates is the number of routers that look at the lease, the first
	// ones by rendezvous hashing. Default 3.
	Candidates int `json:"candidates"`
	// CallTimeout bounds one call of the store, an agent or the engine.
	// Default 2s.
	CallTimeout settings.Duration `json:"call_timeout"`

	log    *logrus.Entry
	clock  gossip.Clock
	dir    Directory
	rules  Rules
	store  objectstore.Store
	agents Agents

	metrics metrics

	mu      sync.Mutex
	machine *rollout.StateMachine
	// halted is the reason last logged per model.
	halted  map[string]string
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewModule returns a module with default settings.
func NewModule() *Module {
	return &Module{
		Candidates: defaultCandidates, CallTimeout: settings.Duration(defaultCallTimeout),
		metrics: newMetrics(), halted: map[string]string{},
	}
}

// ModuleName returns "orders".
func (m *Module) ModuleName() string { return Name }

// Provision sets the module up for the role of the process.
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
		a.Registry().MustRegister(m.metrics.sent, m.metrics.answered, m.metrics.holding, m.metrics.halted)
	}
	return nil
}

func (m *Module) provisionRouter(k *arbutusline.Kernel, _ *node.Node) error {
	g, err := arbutusline.Lookup[*gossip.Module](k, gossip.Name)
	if err != nil {
		return err
	}
	view, err := arbutusline.Lookup[Rules](k, "rules")
	if err != nil {
		return err
	}
	m.Configure(g, view, m.store, newGRPCAgents(), g.Clock(), k.Log)
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
	if e.Service {
		return nil
	}
	pb.RegisterOrdersServer(server.Registrar(), &agent{
		endpoint: self.Endpoint, url: e.URL, client: &http.Client{}, store: m.store, timeout: m.CallTimeout.AsDuration(),
		answered: m.metrics.answered,
	})
	return nil
}

// Configure sets a router's module up; tests call it in place of Provision.
func (m *Module) Configure(dir Directory, view Rules, store objectstore.Store, agents Agents, clock gossip.Clock, log *logrus.Entry) {
	m.dir, m.rules, m.store, m.agents, m.clock = dir, view, store, agents, clock
	m.log = log.WithField("module", Name)
	self := dir.Self()
	m.machine = rollout.New(rollout.Config{RouterName: self.Name, RouterIncarnation: self.Incarnation},
		rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Name)))))
}

// Validate checks the bounds.
func (m *Module) Validate() error {
	if m.Candidates <= 0 || m.CallTimeout <= 0 {
		return errors.Wrap(settings.ErrInvalid, "candidates and call_timeout: expected more than 0")
	}
	return nil
}

// Start begins to look at the lease. In agents it does nothing.
func (m *Module) Start(context.Context) error {
	if m.machine == nil {
		return nil
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.running.Add(1)
	go m.loop()
	return nil
}

// Stop ends planning. Another router takes the lease when it is no longer
// renewed.
func (m *Module) Stop(context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.cancel()
	m.running.Wait()
	m.agents.Close()
	return nil
}

// Status describes the rollouts at the router that holds the lease.
func (m *Module) Status() (token uint64, holds bool, records []rollout.Record) {
	if m.machine == nil {
		return 0, false, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	token, holds = m.machine.HoldsLease(m.clock.Now())
	return token, holds, m.machine.Records()
}

func (m *Module) loop() {
	defer m.running.Done()
	for {
		view := m.rules.Current()
		on := len(view.Rollouts()) > 0 && m.candidate()
		m.with(func(r *rollout.StateMachine, now time.Duration) {
			r.SetRules(view)
			r.SetCandidate(on)
			r.Tick(now)
		})
		m.report()
		m.mu.Lock()
		wait := m.machine.NextTick() - m.clock.Now()
		m.mu.Unlock()
		select {
		case <-m.ctx.Done():
			return
		case <-m.clock.After(max(wait, time.Millisecond)):
		}
	}
}

// report updates the gauges and logs each rollout that stopped by itself.
func (m *Module) report() {
	_, holds, records := m.Status()
	holding, stopped := 0.0, 0
	if holds {
		holding = 1
	}
	for _, r := range records {
		if r.HaltReason != "" {
			stopped++
		}
		if r.HaltReason != "" && r.HaltReason != m.halted[r.Model] {
			m.log.WithFields(logrus.Fields{"model": r.Model, "version": r.WeightsVersion, "reason": r.HaltReason}).Warn("rollout halted")
		}
		m.halted[r.Model] = r.HaltReason
	}
	m.metrics.holding.Set(holding)
	m.metrics.halted.Set(float64(stopped))
}

// candidate reports whether this router is one of those that may take the
// lease.
func (m *Module) candidate() bool {
	self := m.dir.Self()
	if self.Leaving {
		return false
	}
	var routers []string
	for _, o := range m.dir.LiveMembers() {
		if o.Role == membership.RoleRouter && o.State == membership.Alive && !o.Leaving {
			routers = append(routers, o.Name)
		}
	}
	return ruleset.IsTopRanked(self.Name, rollout.LeaseKey, routers, m.Candidates)
}

// with runs f on the machine and does what the machine asks for.
func (m *Module) with(f func(r *rollout.StateMachine, now time.Duration)) {
	m.mu.Lock()
	f(m.machine, m.clock.Now())
	a := m.machine.TakeActions()
	m.mu.Unlock()
	if a.StoreCall != nil {
		m.background(func() { m.callStore(*a.StoreCall) })
	}
	for _, o := range a.Orders {
		m.background(func() { m.give(o) })
	}
	for _, endpoint := range a.ObserveEndpoints {
		m.background(func() { m.observe(endpoint) })
	}
}

func (m *Module) background(f func()) {
	if m.ctx.Err() != nil {
		return
	}
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		f()
	}()
}

func (m *Module) callStore(op rollout.StoreCall) {
	ctx, cancel := context.WithTimeout(m.ctx, m.CallTimeout.AsDuration())
	defer cancel()
	var (
		value   []byte
		version uint64
		err     error
	)
	if op.Value == nil {
		var o objectstore.Object
		o, err = m.store.Get(ctx, op.Key)
		value, version = o.Value, o.Version
	} else {
		version, err = m.store.Put(ctx, op.Key, op.Value, op.ExpectedVersion)
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
	m.with(func(r *rollout.StateMachine, now time.Duration) {
		r.HandleStoreResult(now, op.ID, outcome, value, version)
	})
}

func (m *Module) give(o rollout.Order) {
	result := rollout.OrderOutcomeUnknown
	if agent, ok := m.dir.AgentByEndpoint(o.Endpoint); ok {
		ctx, cancel := context.WithTimeout(m.ctx, m.CallTimeout.AsDuration())
		defer cancel()
		result = m.agents.Give(ctx, agent.GRPCAddress, o)
	}
	label := sentLabels[result]
	m.metrics.sent.WithLabelValues(label).Inc()
	m.log.WithFields(logrus.Fields{"endpoint": o.Endpoint, "version": o.WeightsVersion, "token": o.FencingToken, "result": label}).Info("order sent")
	m.with(func(r *rollout.StateMachine, now time.Duration) { r.HandleOrderResult(now, o, result) })
}

// observe reads one engine's state. The time of the observation is that
// before the call, so that nothing is taken for newer than it is.
func (m *Module) observe(endpoint string) {
	at := m.clock.Now()
	agent, ok := m.dir.AgentByEndpoint(endpoint)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, m.CallTimeout.AsDuration())
	defer cancel()
	s, err := m.agents.State(ctx, agent.GRPCAddress)
	if err != nil {
		return
	}
	m.with(func(r *rollout.StateMachine, _ time.Duration) {
		r.HandleObservation(endpoint, rollout.Observation{
			ObservedAt: at, Serving: s.GetUp(), FailedFencingToken: s.GetFailedToken(), WeightsVersion: s.GetWeightsVersion(), EngineIncarnation: s.GetIncarnation(),
		})
	})
}
