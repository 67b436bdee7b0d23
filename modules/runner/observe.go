package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/modules/engine"
)

// engineObserver passes the reports of the engine to the state machine.
type engineObserver Runner

func (o *engineObserver) EngineUp(info engine.Info) {
	r := (*Runner)(o)
	r.withStateMachine(func(now time.Duration) { r.stateMachine.EngineUp(now, info.Incarnation, info.WeightsVersion) })
}

func (o *engineObserver) EngineAlive() {
	r := (*Runner)(o)
	r.withStateMachine(func(now time.Duration) { r.stateMachine.EngineAlive(now) })
}

func (o *engineObserver) EngineDown() {
	r := (*Runner)(o)
	r.metrics.engineDown.Inc()
	r.withStateMachine(func(now time.Duration) { r.stateMachine.EngineDown(now) })
}

func (o *engineObserver) EngineLoad(engine.LoadReport) {}

// cacheEventOps maps the operation names of the engine's cache event stream.
var cacheEventOps = map[string]admission.CacheEventOp{
	"stored": admission.EventStored, "removed": admission.EventRemoved, "cleared": admission.EventCleared,
}

func (o *engineObserver) EngineCacheEvents(batch engine.CacheEventBatch) {
	r := (*Runner)(o)
	events := make([]admission.CacheEvent, 0, len(batch.Events))
	for _, e := range batch.Events {
		events = append(events, admission.CacheEvent{Seq: e.Seq, Op: cacheEventOps[e.Op], Blocks: e.Blocks})
	}
	r.withStateMachine(func(now time.Duration) {
		r.stateMachine.Admission().Cache().ApplyEvents(now, batch.Incarnation, events)
	})
}

func (o *engineObserver) EngineCacheSnapshot(incarnation, lastSeq uint64, blocks []uint64) {
	r := (*Runner)(o)
	r.withStateMachine(func(now time.Duration) {
		r.stateMachine.Admission().Cache().ApplySnapshot(now, incarnation, lastSeq+1, blocks)
	})
}

// mergePeerSuspicion merges a suspicion that another process reported.
func (r *Runner) mergePeerSuspicion(s *arbutuspb.Suspect) {
	r.withStateMachine(func(now time.Duration) { r.stateMachine.MergeSuspicion(now, suspicionReportOf(s)) })
}

// suspicionReportOf converts a gossip message to an entry of the table of suspects.
func suspicionReportOf(s *arbutuspb.Suspect) quarantine.Report {
	return quarantine.Report{
		Fingerprint: s.Fingerprint,
		Level:       min(quarantine.Level(min(s.Crashes, uint32(quarantine.LevelQuarantined))), quarantine.LevelQuarantined),
		Age:         time.Duration(s.AgeMs) * time.Millisecond,
	}
}

// maxSuspicionsPerTick bounds the suspicions that one tick broadcasts.
const maxSuspicionsPerTick = 8

// broadcastSuspicions sends new suspicions to all processes by gossip.
func (r *Runner) broadcastSuspicions() {
	r.mu.Lock()
	reports := r.stateMachine.Suspects().PendingReports(r.now(), maxSuspicionsPerTick)
	r.mu.Unlock()
	for _, report := range reports {
		r.suspicionSerial++
		r.gossip.BroadcastCrashSuspicion(&arbutuspb.Suspect{
			Fingerprint: report.Fingerprint, Crashes: uint32(report.Level),
			AgeMs: report.Age.Milliseconds(), Reporter: r.node.ID, Serial: r.suspicionSerial,
		})
	}
}

type metrics struct {
	admitted          prometheus.Counter
	started           prometheus.Counter
	engineDown        prometheus.Counter
	refusals          *prometheus.CounterVec
	ended             *prometheus.CounterVec
	firstTokenSeconds prometheus.Histogram
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		admitted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutus_agent_admitted_total", Help: "Attempts that the agent admitted."}),
		started: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutus_agent_started_total", Help: "Attempts that were sent to the endpoint."}),
		engineDown: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutus_agent_engine_down_total", Help: "Times that the endpoint stopped answering or restarted."}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_agent_refusals_total", Help: "Attempts that the agent refused, by reason."}, []string{"reason"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_agent_ended_total", Help: "Runs that ended, by result."}, []string{"result"}),
		firstTokenSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "arbutus_agent_first_token_seconds", Help: "Time from sending to the engine to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}),
	}
	registry.MustRegister(m.admitted, m.started, m.engineDown, m.refusals, m.ended, m.firstTokenSeconds)
	return m
}

func (m *metrics) countRefusal(reason admission.Reason) {
	m.refusals.WithLabelValues(string(reason)).Inc()
}
