// Package runner is the module "runner": the agent's gRPC service. It performs the
// actions of the state machine of package agent: it calls the endpoint and relays
// streams.
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

// RulesSource provides the rules. The module "rules" implements it.
type RulesSource interface {
	// Current returns the rules in force.
	Current() *rules.View
	// Subscribe registers a function that is called with each new version.
	Subscribe(func(*rules.View))
	// ObserveVersion records that the process named from has a version of the rules.
	// If the version is newer than the current one, it is fetched.
	ObserveVersion(version uint64, from string)
}

// Gossip is the part of the module "gossip" that the runner uses.
type Gossip interface {
	// Leave announces that this process takes no new work.
	Leave()
	// OnCrashSuspicion registers a function that is called with each suspicion that
	// another process reports.
	OnCrashSuspicion(func(*arbutuspb.Suspect))
	// BroadcastCrashSuspicion sends a crash suspicion to all processes.
	BroadcastCrashSuspicion(*arbutuspb.Suspect)
}

// Runner serves the agent's gRPC service and runs admitted attempts at the endpoint.
type Runner struct {
	// DetachGrace is how long an attempt without a reader continues. Default "30s".
	DetachGrace settings.Duration `json:"detach_grace"`
	// ResultTTL is how long the result of an ended attempt is kept. Default
	// "60s".
	ResultTTL settings.Duration `json:"keep_results"`
	// MaxResultBytes bounds the memory of the results of ended attempts, in bytes.
	// Default 33554432.
	MaxResultBytes int `json:"result_bytes"`
	// QueueLimit is the maximum number of waiting attempts. Default 64.
	QueueLimit int `json:"queue_limit"`

	arbutuspb.UnimplementedAgentServer

	log          *logrus.Entry
	node         *node.Node
	engine       *engine.Engine
	rules        RulesSource
	gossip       Gossip
	metrics      *metrics
	startTime    time.Time
	stop         chan struct{}
	tickLoopDone sync.WaitGroup
	// suspicionSerial is the serial number of the last suspicion that this process
	// reported.
	suspicionSerial uint64

	// mu guards the fields below.
	mu           sync.Mutex
	stateMachine *agent.StateMachine
	attempts     map[string]*attemptState
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
	r.stateMachine = agent.New(agent.Config{
		Admission: admission.Config{
			Endpoint:         r.node.Endpoint,
			AgentIncarnation: r.node.Incarnation(),
			MaxRunning:       r.engine.MaxRunning,
			QueueLimit:       r.QueueLimit,
		},
		Attempts: attempts.Config{
			ResultTTL: r.ResultTTL.AsDuration(), DetachGrace: r.DetachGrace.AsDuration(), MaxResultBytes: r.MaxResultBytes,
		},
		PlainService: r.engine.PlainService,
	})
	r.engine.Observe((*engineObserver)(r))
	r.gossip.OnCrashSuspicion(r.mergePeerSuspicion)
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

// now returns the time since the start of the module, which the state machine uses.
func (r *Runner) now() time.Duration { return time.Since(r.startTime) }

// withStateMachine calls f with the lock held and performs the actions of the state
// machine.
func (r *Runner) withStateMachine(f func(now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.now())
	r.performActions()
}

// performActions performs the actions of the state machine. The caller holds
// Runner.mu.
func (r *Runner) performActions() {
	for _, action := range r.stateMachine.TakeActions() {
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
	r.withStateMachine(func(now time.Duration) { r.stateMachine.SetRules(now, view) })
}

// Start starts the ticker of the state machine.
func (r *Runner) Start(context.Context) error {
	r.tickLoopDone.Add(1)
	go r.tickLoop()
	return nil
}

// tickPeriod bounds the delay with which the state machine notices a deadline.
const tickPeriod = 50 * time.Millisecond

func (r *Runner) tickLoop() {
	defer r.tickLoopDone.Done()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.withStateMachine(func(now time.Duration) {
				r.stateMachine.Tick(now)
				r.deleteExpiredAttempts()
			})
			r.broadcastSuspicions()
		}
	}
}

// deleteExpiredAttempts deletes the attempts whose results have expired.
func (r *Runner) deleteExpiredAttempts() {
	for id := range r.attempts {
		if !r.stateMachine.HasAttempt(id) {
			delete(r.attempts, id)
		}
	}
}

// Stop announces that the process leaves, refuses new attempts and waits until all
// attempts have ended and all readers have detached.
func (r *Runner) Stop(ctx context.Context) error {
	r.gossip.Leave()
	r.withStateMachine(func(time.Duration) { r.stateMachine.Shutdown() })
	err := r.waitIdle(ctx)
	close(r.stop)
	r.tickLoopDone.Wait()
	return err
}

// waitIdle returns when no attempt and no reader is left, or an error when ctx ends.
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
			return errors.Wrapf(ctx.Err(), "%d attempts and readers were still active at shutdown", active)
		case <-ticker.C:
		}
	}
}

// activeCount returns the number of attempts that wait or run, plus the number of
// attached readers.
func (r *Runner) activeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.stateMachine.ActiveCount()
	for _, attempt := range r.attempts {
		count += attempt.readerCount
	}
	return count
}

// LoadReport returns the load of the endpoint for routers.
func (r *Runner) LoadReport() *arbutuspb.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loadReportLocked()
}

// loadReportLocked is LoadReport for callers that hold Runner.mu.
func (r *Runner) loadReportLocked() *arbutuspb.LoadReport {
	queueMS, running, waiting := r.stateMachine.Admission().Load(r.now())
	view := r.rules.Current()
	report := &arbutuspb.LoadReport{
		Endpoint:         r.node.Endpoint,
		AgentIncarnation: r.node.Incarnation(),
		RulesVersion:     view.Version,
		QueueMs:          queueMS,
		Running:          int32(running),
		Waiting:          int32(waiting),

		PrefillMsPerToken: r.stateMachine.Admission().PrefillMSPerToken(),
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
