package relay

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	requests               *prometheus.CounterVec
	retries                *prometheus.CounterVec
	retriesDenied          *prometheus.CounterVec
	refusals               *prometheus.CounterVec
	firstResponseSeconds   *prometheus.HistogramVec
	expectedCachedTokens   prometheus.Counter
	expectedComputedTokens prometheus.Counter
	partChanges            *prometheus.CounterVec
	overloadRefusals       *prometheus.CounterVec
	fairnessDelays         *prometheus.CounterVec
	silentAttemptsKept     *prometheus.CounterVec
}

func (m *metrics) register(r prometheus.Registerer) {
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_requests_total", Help: "Requests by route kind and outcome.",
	}, []string{"kind", "outcome"})
	m.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_retries_total", Help: "Further attempts by the reason for which the one before failed.",
	}, []string{"reason"})
	m.retriesDenied = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_retries_denied_total", Help: "Failed attempts after which there was no further one, by reason.",
	}, []string{"reason"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_refusals_total", Help: "Requests that were refused and have not run, by reason.",
	}, []string{"reason"})
	m.firstResponseSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "arbutus_first_answer_seconds", Help: "Time from arrival to the answer or first event.",
		Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
	}, []string{"kind"})
	m.expectedCachedTokens = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "arbutus_prompt_tokens_expected_cached_total", Help: "Prompt tokens believed to be cached where they were sent.",
	})
	m.expectedComputedTokens = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "arbutus_prompt_tokens_expected_read_total", Help: "Prompt tokens believed to be read by the engine.",
	})
	m.partChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_prompt_part_changes_total", Help: "Prompt parts that were condemned for crashes of engines or cleared, by kind of change.",
	}, []string{"change"})
	m.overloadRefusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_overload_refusals_total", Help: "Requests that overload control refused, by reason and priority; 0 is the most urgent.",
	}, []string{"reason", "priority"})
	m.fairnessDelays = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_overload_fairness_delays_total", Help: "Requests that were held because their team is above its fair share, by priority.",
	}, []string{"priority"})
	m.silentAttemptsKept = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_silent_attempts_kept_total", Help: "Attempts that went on although their endpoint was silent, by what prevented another one.",
	}, []string{"reason"})
	r.MustRegister(m.overloadRefusals, m.fairnessDelays, m.silentAttemptsKept)
	r.MustRegister(m.partChanges, m.requests, m.retries, m.retriesDenied, m.refusals, m.firstResponseSeconds, m.expectedCachedTokens, m.expectedComputedTokens)
}
