package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/modules/engine"
)

// engineObserver passes what the engine reports to the admission controller.
type engineObserver Runner

func (o *engineObserver) EngineUp(info engine.Info) {
	r := (*Runner)(o)
	r.with(func(now time.Duration) { r.core.EngineUp(now, info.Incarnation, info.WeightsVersion) })
}

func (o *engineObserver) EngineAlive() {
	r := (*Runner)(o)
	r.with(func(now time.Duration) { r.core.EngineAlive(now) })
}

func (o *engineObserver) EngineDown() {
	r := (*Runner)(o)
	r.metrics.engineDown.Inc()
	r.with(func(now time.Duration) { r.core.EngineDown(now) })
}

func (o *engineObserver) EngineLoad(engine.LoadReport) {}

// eventOps maps the words of the event stream.
var eventOps = map[string]admission.CacheEventOp{
	"stored": admission.EventStored, "removed": admission.EventRemoved, "cleared": admission.EventCleared,
}

func (o *engineObserver) EngineCacheEvents(batch engine.CacheEventBatch) {
	r := (*Runner)(o)
	events := make([]admission.CacheEvent, 0, len(batch.Events))
	for _, e := range batch.Events {
		events = append(events, admission.CacheEvent{Seq: e.Seq, Op: eventOps[e.Op], Blocks: e.Blocks})
	}
	r.with(func(now time.Duration) { r.core.Admission().Cache().ApplyEvents(now, batch.Incarnation, events) })
}

func (o *engineObserver) EngineCacheSnapshot(incarnation, lastSeq uint64, blocks []uint64) {
	r := (*Runner)(o)
	r.with(func(now time.Duration) {
		r.core.Admission().Cache().ApplySnapshot(now, incarnation, lastSeq+1, blocks)
	})
}

// suspected takes a suspicion that a peer spreads.
func (r *Runner) suspected(s *arbutuspb.Suspect) {
	r.with(func(now time.Duration) { r.core.MergeSuspicion(now, suspicionOf(s)) })
}

func suspicionOf(s *arbutuspb.Suspect) quarantine.Report {
	return quarantine.Report{
		Fingerprint: s.Fingerprint,
		Level:       min(quarantine.Level(min(s.Crashes, uint32(quarantine.LevelQuarantined))), quarantine.LevelQuarantined),
		Age:         time.Duration(s.AgeMs) * time.Millisecond,
	}
}

// maxSuspects bounds the suspicions spread at one tick.
const maxSuspects = 8

// spreadSuspects hands new suspicions to gossip.
func (r *Runner) spreadSuspects() {
	r.mu.Lock()
	reports := r.core.Suspects().PendingReports(r.now(), maxSuspects)
	r.mu.Unlock()
	for _, report := range reports {
		r.serial++
		r.gossip.SpreadSuspect(&arbutuspb.Suspect{
			Fingerprint: report.Fingerprint, Crashes: uint32(report.Level),
			AgeMs: report.Age.Milliseconds(), Reporter: r.node.ID, Serial: r.serial,
		})
	}
}

type metrics struct {
	admitted   prometheus.Counter
	started    prometheus.Counter
	engineDown prometheus.Counter
	refusals   *prometheus.CounterVec
	ended      *prometheus.CounterVec
	firstToken prometheus.Histogram
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
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "arbutus_agent_first_token_seconds", Help: "Time from sending to the engine to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}),
	}
	registry.MustRegister(m.admitted, m.started, m.engineDown, m.refusals, m.ended, m.firstToken)
	return m
}

func (m *metrics) refused(reason admission.Reason) {
	m.refusals.WithLabelValues(string(reason)).Inc()
}
