package rulespread

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/admin"
)

type metrics struct {
	fetches, storeCalls *prometheus.CounterVec
	fetchesServed       prometheus.Counter
}

func newMetrics(k *arbutusline.Kernel, m *Module) metrics {
	out := metrics{
		fetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_rules_fetches_total", Help: "Rules fetches from peers, by result.",
		}, []string{"result"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_rules_store_calls_total", Help: "Calls of the object API for rules, by call.",
		}, []string{"call"}),
		fetchesServed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "arbutus_rules_served_total", Help: "Rules fetches answered.",
		}),
	}
	if k == nil {
		return out
	}
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return out
	}
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutus_rules_version", Help: "Version of the rules in force.",
	}, func() float64 { return float64(m.Current().Version) })
	behind := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutus_rules_behind", Help: "Newest rules version named by a peer minus the version in force.",
	}, func() float64 { s := m.Status(); return float64(s.AnnouncedVersion) - float64(s.ActiveVersion) })
	a.Registry().MustRegister(out.fetches, out.storeCalls, out.fetchesServed, version, behind)
	return out
}
