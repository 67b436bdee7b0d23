// Package runner is the module "runner": the agent's gRPC service. It carries
// out what the state machine of package agent decides: it calls the endpoint
// and relays streams.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/agent"
	"github.com/arbutusline/arbutusline/decision/attempts"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/engine"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/rules"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "runner"

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Runner{
			DetachGrace:    settings.Duration(30 * time.Second),
			ResultTTL:      settings.Duration(60 * time.Second),
			MaxResultBytes: 32 << 20,
			QueueLimit:     64,
		}
	})
}

// RulesSource is the module "rules".
type RulesSource interface {
	Current() *rules.View
	Subscribe(func(*rules.View))
	Heard(version uint64, from string)
}

// Gossip is the module "gossip".
type Gossip interface {
	// Leave announces that this process takes no new work.
	Leave()
	// OnSuspect calls the function with each suspicion that a peer spreads.
	OnSuspect(func(*arbutuspb.Suspect))
	// SpreadSuspect tells all processes of a suspicion.
	SpreadSuspect(*arbutuspb.Suspect)
}

// Runner is the agent's side of the data path.
type Runner struct {
	// DetachGrace is how long a run goes on without a reader. Default "30s".
	DetachGrace settings.Duration `json:"detach_grace"`
	// KeepResults is how long the result of an ended run is kept. Default
	// "60s".
	ResultTTL settings.Duration `json:"keep_results"`
	// ResultBytes bounds the results kept. Default 33554432.
	MaxResultBytes int `json:"result_bytes"`
	// QueueLimit bounds the attempts that wait. Default 64.
	QueueLimit int `json:"queue_limit"`

	arbutuspb.UnimplementedAgentServer

	log           *logrus.Entry
	node          *node.Node
	engine        *engine.Engine
	rules         RulesSource
	gossip        Gossip
	metrics       *metrics
	startTime     time.Time
	stop          chan struct{}
	tickerDone    sync.WaitGroup
	suspectSerial uint64

	mu       sync.Mutex
	machine  *agent.StateMachine
	attempts map[string]*attemptState
}

// ModuleName returns "runner".
func (r *Runner) ModuleName() string { return Name }

// Provision looks up the modules that the runner uses and registers the gRPC
// service.
func (r *Runner) Provision(k *arbutusline.Kernel) error {
	r.log = k.Log.WithField("module", Name)
	r.startTime = time.Now()
	r.attempts = map[string]*attemptState{}
	r.stop = make(chan struct{})
	if err := r.lookUpModules(k); err != nil {
		return err
	}
	r.machine = agent.New(agent.Config{
		Admission: admission.Config{
			Endpoint:         r.node.Endpoint,
			AgentIncarnation: r.node.Incarnation(),
			MaxRunning:       r.engine.MaxRunning,
			QueueLimit:       r.QueueLimit,
		},
		Attempts: attempts.Config{
			ResultTTL: r.ResultTTL.AsDuration(), DetachGrace: r.DetachGrace.AsDuration(), MaxResultBytes: r.MaxResultBytes,
		},
		PlainService: r.engine.Service,
	})
	r.engine.Observe((*engineObserver)(r))
	r.gossip.OnSuspect(r.mergePeerSuspicion)
	r.applyRules(r.rules.Current())
	r.rules.Subscribe(r.applyRules)
	return nil
}

func (r *Runner) lookUpModules(k *arbutusline.Kernel) error {
	server, err := arbutusline.Lookup[*grpcserver.Server](k, grpcserver.Name)
	if err != nil {
		return err
	}
	adm, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	if r.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	if r.engine, err = arbutusline.Lookup[*engine.Engine](k, engine.Name); err != nil {
		return err
	}
	if r.rules, err = arbutusline.Lookup[RulesSource](k, "rules"); err != nil {
		return err
	}
	if r.gossip, err = arbutusline.Lookup[Gossip](k, "gossip"); err != nil {
		return err
	}
	r.metrics = newMetrics(adm.Registry())
	adm.AddReadinessCheck("endpoint", r.checkEndpointReady)
	arbutuspb.RegisterAgentServer(server.Registrar(), r)
	return nil
}

func (r *Runner) checkEndpointReady() error {
	if r.engine.Info() == nil {
		return errors.New("the endpoint does not answer")
	}
	return nil
}

// now is the time on the axis of the core.
func (r *Runner) now() time.Duration { return time.Since(r.startTime) }

// with runs f on the core and carries out what it decides.
func (r *Runner) withMachine(f func(now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.now())
	r.performActions()
}

// carryOut performs the core's actions. The caller holds the lock.
func (r *Runner) performActions() {
	for _, action := range r.machine.TakeActions() {
		switch a := action.(type) {
		case agent.StartAttempt:
			r.startAttempt(a.ID)
		case agent.StopAttempt:
			r.stopAttempt(a.ID)
		case agent.StreamChanged:
			if attempt := r.attempts[a.ID]; attempt != nil {
				attempt.notifyChanged()
			}
		case agent.ProbeEngine:
			go r.engine.Probe()
		}
	}
}

func (r *Runner) applyRules(view *rules.View) {
	r.withMachine(func(now time.Duration) { r.machine.SetRules(now, view) })
}

// Start begins to expire detached and ended runs.
func (r *Runner) Start(context.Context) error {
	r.tickerDone.Add(1)
	go r.runTicker()
	return nil
}

// tickPeriod bounds how late a deadline in the queue is noticed.
const tickPeriod = 50 * time.Millisecond

func (r *Runner) runTicker() {
	defer r.tickerDone.Done()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.withMachine(func(now time.Duration) {
				r.machine.Tick(now)
				r.dropExpiredAttempts()
			})
			r.spreadSuspects()
		}
	}
}

// forget drops runs whose results are not kept any more.
func (r *Runner) dropExpiredAttempts() {
	for id := range r.attempts {
		if !r.machine.Kept(id) {
			delete(r.attempts, id)
		}
	}
}

// Stop announces that the process leaves, refuses new work and waits until all
// runs have ended and were read.
func (r *Runner) Stop(ctx context.Context) error {
	r.gossip.Leave()
	r.withMachine(func(time.Duration) { r.machine.Shutdown() })
	err := r.waitIdle(ctx)
	close(r.stop)
	r.tickerDone.Wait()
	return err
}

func (r *Runner) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		active := r.activeCount()
		if active == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d runs were still active", active)
		case <-ticker.C:
		}
	}
}

func (r *Runner) activeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.machine.ActiveCount()
	for _, attempt := range r.attempts {
		count += attempt.readerCount
	}
	return count
}

// LoadReport returns what routers are told about the endpoint.
func (r *Runner) LoadReport() *arbutuspb.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loadReportLocked()
}

func (r *Runner) loadReportLocked() *arbutuspb.LoadReport {
	queueMS, running, waiting := r.machine.Admission().Load(r.now())
	view := r.rules.Current()
	report := &arbutuspb.LoadReport{
		Endpoint:         r.node.Endpoint,
		AgentIncarnation: r.node.Incarnation(),
		RulesVersion:     view.Version,
		QueueMs:          queueMS,
		Running:          int32(running),
		Waiting:          int32(waiting),

		PrefillMsPerToken: r.machine.Admission().PrefillMSPerToken(),
	}
	if e, ok := view.Endpoint(r.node.Endpoint); ok {
		report.Draining = e.Draining
	}
	if info := r.engine.Info(); info != nil {
		report.EngineIncarnation = info.Incarnation
		report.WeightsVersion = info.WeightsVersion
	}
	return report
}
