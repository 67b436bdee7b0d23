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
			DetachGrace: settings.Duration(30 * time.Second),
			KeepResults: settings.Duration(60 * time.Second),
			ResultBytes: 32 << 20,
			QueueLimit:  64,
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
	KeepResults settings.Duration `json:"keep_results"`
	// ResultBytes bounds the results kept. Default 33554432.
	ResultBytes int `json:"result_bytes"`
	// QueueLimit bounds the attempts that wait. Default 64.
	QueueLimit int `json:"queue_limit"`

	arbutuspb.UnimplementedAgentServer

	log     *logrus.Entry
	node    *node.Node
	engine  *engine.Engine
	rules   RulesSource
	gossip  Gossip
	metrics *metrics
	started time.Time
	stop    chan struct{}
	stopped sync.WaitGroup
	serial  uint64

	mu   sync.Mutex
	core *agent.StateMachine
	runs map[string]*run
}

// ModuleName returns "runner".
func (r *Runner) ModuleName() string { return Name }

// Provision looks up the modules that the runner uses and registers the gRPC
// service.
func (r *Runner) Provision(k *arbutusline.Kernel) error {
	r.log = k.Log.WithField("module", Name)
	r.started = time.Now()
	r.runs = map[string]*run{}
	r.stop = make(chan struct{})
	if err := r.lookup(k); err != nil {
		return err
	}
	r.core = agent.New(agent.Config{
		Admission: admission.Config{
			Endpoint:         r.node.Endpoint,
			AgentIncarnation: r.node.Incarnation(),
			MaxRunning:       r.engine.MaxRunning,
			QueueLimit:       r.QueueLimit,
		},
		Attempts: attempts.Config{
			ResultTTL: r.KeepResults.AsDuration(), DetachGrace: r.DetachGrace.AsDuration(), MaxResultBytes: r.ResultBytes,
		},
		PlainService: r.engine.PlainService,
	})
	r.engine.Observe((*engineObserver)(r))
	r.gossip.OnSuspect(r.suspected)
	r.rulesChanged(r.rules.Current())
	r.rules.Subscribe(r.rulesChanged)
	return nil
}

func (r *Runner) lookup(k *arbutusline.Kernel) error {
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
	adm.AddReadinessCheck("endpoint", r.endpointReady)
	arbutuspb.RegisterAgentServer(server.Registrar(), r)
	return nil
}

func (r *Runner) endpointReady() error {
	if r.engine.Info() == nil {
		return errors.New("the endpoint does not answer")
	}
	return nil
}

// now is the time on the axis of the core.
func (r *Runner) now() time.Duration { return time.Since(r.started) }

// with runs f on the core and carries out what it decides.
func (r *Runner) with(f func(now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.now())
	r.carryOut()
}

// carryOut performs the core's actions. The caller holds the lock.
func (r *Runner) carryOut() {
	for _, action := range r.core.TakeActions() {
		switch a := action.(type) {
		case agent.StartAttempt:
			r.start(a.ID)
		case agent.StopAttempt:
			r.halt(a.ID)
		case agent.StreamChanged:
			if active := r.runs[a.ID]; active != nil {
				active.notify()
			}
		case agent.ProbeEngine:
			go r.engine.Probe()
		}
	}
}

func (r *Runner) rulesChanged(view *rules.View) {
	r.with(func(now time.Duration) { r.core.SetRules(now, view) })
}

// Start begins to expire detached and ended runs.
func (r *Runner) Start(context.Context) error {
	r.stopped.Add(1)
	go r.tick()
	return nil
}

// tickPeriod bounds how late a deadline in the queue is noticed.
const tickPeriod = 50 * time.Millisecond

func (r *Runner) tick() {
	defer r.stopped.Done()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.with(func(now time.Duration) {
				r.core.Tick(now)
				r.forget()
			})
			r.spreadSuspects()
		}
	}
}

// forget drops runs whose results are not kept any more.
func (r *Runner) forget() {
	for id := range r.runs {
		if !r.core.Kept(id) {
			delete(r.runs, id)
		}
	}
}

// Stop announces that the process leaves, refuses new work and waits until all
// runs have ended and were read.
func (r *Runner) Stop(ctx context.Context) error {
	r.gossip.Leave()
	r.with(func(time.Duration) { r.core.Shutdown() })
	err := r.waitIdle(ctx)
	close(r.stop)
	r.stopped.Wait()
	return err
}

func (r *Runner) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		active := r.active()
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

func (r *Runner) active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := r.core.ActiveCount()
	for _, run := range r.runs {
		active += run.readers
	}
	return active
}

// LoadReport returns what routers are told about the endpoint.
func (r *Runner) LoadReport() *arbutuspb.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loadLocked()
}

func (r *Runner) loadLocked() *arbutuspb.LoadReport {
	queueMS, running, waiting := r.core.Admission().Load(r.now())
	view := r.rules.Current()
	report := &arbutuspb.LoadReport{
		Endpoint:         r.node.Endpoint,
		AgentIncarnation: r.node.Incarnation(),
		RulesVersion:     view.Version,
		QueueMs:          queueMS,
		Running:          int32(running),
		Waiting:          int32(waiting),

		PrefillMsPerToken: r.core.Admission().PrefillMSPerToken(),
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
