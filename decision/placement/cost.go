package placement

import "github.com/arbutusline/arbutusline/rules"

// Model turns the expectations of a candidate into a cost in milliseconds.
type Model struct {
	// Prefill is how many milliseconds of waiting one millisecond of prefill is
	// worth. It is above 1 even when only latency counts, because recomputed
	// tokens delay the requests behind them.
	Prefill float64
}

// Coefficients of the model, chosen by the figures in docs/routing.md.
const (
	// prefillBase and prefillSlope give the weight of prefill: base plus slope
	// times the ratio of the hit and recompute weights to the tail weight.
	prefillBase  = 1.2
	prefillSlope = 0.7
	// maxRatio bounds the ratio of the weights.
	maxRatio = 4
	// congestionFreeMS is the mean wait up to which endpoints count as not
	// congested. At 100 ms, bursts at the steady load raised the weight and cost
	// 1.5 points of hit rate.
	congestionFreeMS = 200
	// congestionMS is the mean wait above congestionFreeMS that doubles the
	// weight of prefill. Without it, twice the capacity halves the goodput,
	// because requests that are refused where they are cached are recomputed
	// elsewhere.
	congestionMS = 30
	// maxCostMS is the cost above which a request that was refused once is not
	// offered to endpoints that would have to compute it. At 1,800 ms, bursts at
	// the steady load were refused and p99 rose by 100 ms; at 4,000 ms, the hit
	// rate at twice the capacity fell below 0.95 of the oracle's.
	maxCostMS = 2800
	// strayWeight is the cost of a copy outside the rank order, in parts of its
	// weighted prefill time.
	strayWeight = 2
)

// NewModel returns the model of a deployment's weights.
func NewModel(w rules.PlacementWeights) Model {
	ratio := float64(maxRatio)
	if w.TailLatency > 0 {
		ratio = min(maxRatio, (w.HitRate+w.RecomputedTokens)/(2*w.TailLatency))
	}
	return Model{Prefill: prefillBase + prefillSlope*ratio}
}

// Congested returns the model when endpoints have the given mean wait. The
// busier the endpoints are, the more requests a recomputed token delays.
func (m Model) Congested(meanWaitMS float64) Model {
	m.Prefill *= 1 + max(0, meanWaitMS-congestionFreeMS)/congestionMS
	return m
}

// Cost returns the weighted cost in milliseconds.
func (m Model) Cost(waitMS, prefillMS, transferMS float64) float64 {
	return waitMS + m.Prefill*prefillMS + transferMS
}
