package objectstore

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/objectstore"
)

// metrics holds the call metrics of one client.
type metrics struct {
	calls     *prometheus.CounterVec
	durations *prometheus.HistogramVec
}

// Histogram buckets of call durations: 1 ms to 4 s, because call_timeout is 2 s.
const (
	firstBucketSeconds = 0.001
	bucketFactor       = 2
	bucketCount        = 13
)

func newMetrics() metrics {
	return metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_objectstore_calls_total",
			Help: "Calls to the object API by call and result; a pending watch is one call.",
		}, []string{"call", "result"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "arbutus_objectstore_call_seconds",
			Help:    "Duration of calls to the object API, without watches.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
		}, []string{"call"}),
	}
}

// register registers the metrics with the module "admin". It does nothing in a process
// without that module.
func (m metrics) register(k *arbutusline.Kernel) error {
	if k == nil {
		return nil
	}
	admin, err := arbutusline.Lookup[interface{ Registry() *prometheus.Registry }](k, "admin")
	if errors.Is(err, arbutusline.ErrNotLoaded) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := admin.Registry().Register(m.calls); err != nil {
		return err
	}
	return admin.Registry().Register(m.durations)
}

// resultLabels maps errors to values of the label "result", most specific first: the
// error of an ambiguous write may match other errors too.
var resultLabels = []struct {
	err   error
	label string
}{
	{objectstore.ErrAmbiguous, "ambiguous"},
	{objectstore.ErrConflict, "conflict"},
	{objectstore.ErrNotFound, "not_found"},
	{objectstore.ErrRateLimited, "rate_limited"},
	{objectstore.ErrTooLarge, "too_large"},
	{objectstore.ErrCompacted, "compacted"},
	{objectstore.ErrUnavailable, "unavailable"},
}

func (m metrics) observe(call string, err error, duration time.Duration) {
	m.calls.WithLabelValues(call, resultLabel(err)).Inc()
	if call != "watch" {
		m.durations.WithLabelValues(call).Observe(duration.Seconds())
	}
}

func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	for _, r := range resultLabels {
		if errors.Is(err, r.err) {
			return r.label
		}
	}
	return "refused"
}
