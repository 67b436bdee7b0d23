package orders

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/rollout"
)

// metrics holds the metrics of routers and agents. A process updates only those of its
// role.
type metrics struct {
	sentOrders, answeredOrders *prometheus.CounterVec
	holdsLease, haltedRollouts prometheus.Gauge
}

func newMetrics() metrics {
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{"result"})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	return metrics{
		sentOrders:     counter("arbutus_orders_sent_total", "Orders that a router sent to agents, repetitions included, by result."),
		answeredOrders: counter("arbutus_orders_answered_total", "Orders that an agent answered, by result."),
		holdsLease:     gauge("arbutus_orders_holding", "1 while the router holds the order lease, otherwise 0."),
		haltedRollouts: gauge("arbutus_orders_halted_rollouts", "Rollouts that stopped by themselves, known to the holder of the lease only."),
	}
}

// sentOrderLabels maps each result that a router can get to its metric label.
var sentOrderLabels = map[rollout.OrderResult]string{
	rollout.OrderAccepted: "accepted", rollout.OrderFencingTokenStale: "stale", rollout.OrderRejected: "rejected",
	rollout.OrderEngineRestarted: "gone", rollout.OrderOutcomeUnknown: "unreachable",
}

// answeredOrderLabel returns the metric label of a result, such as "stale" for
// ORDER_RESULT_STALE.
func answeredOrderLabel(r pb.OrderResult) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "ORDER_RESULT_"))
}
