package gossip

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/admin"
)

type metrics struct {
	datagramsSent, bytesSent, bytesReceived prometheus.Counter
	datagramsDropped                        *prometheus.CounterVec
}

func newMetrics(k *arbutusline.Kernel) metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := metrics{
		datagramsSent: counter("arbutus_gossip_datagrams_sent_total", "Datagrams sent."),
		bytesSent:     counter("arbutus_gossip_sent_bytes_total", "Bytes sent in datagrams."),
		bytesReceived: counter("arbutus_gossip_received_bytes_total", "Bytes received in datagrams."),
		datagramsDropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_gossip_dropped_total", Help: "Datagrams dropped, by reason.",
		}, []string{"reason"}),
	}
	if k == nil {
		return m
	}
	if a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name); err == nil {
		a.Registry().MustRegister(m.datagramsSent, m.bytesSent, m.bytesReceived, m.datagramsDropped)
	}
	return m
}
