package placement

import "github.com/arbutusline/arbutusline/rules"

// CostModel computes the cost of running a request at an endpoint, in milliseconds.
type CostModel struct {
	// PrefillWeight is the number of milliseconds of waiting that cost as much as
	// one millisecond of prefill. It is above 1 even when only latency counts,
	// because recomputed tokens delay the requests behind them.
	PrefillWeight float64
}

// Coefficients of the cost model. docs/routing.md has the figures behind them.
const (
	// basePrefillWeight and prefillWeightSlope determine the weight of prefill:
	// the base plus the slope times the ratio of the mean of the hit and recompute
	// weights to the tail weight.
	basePrefillWeight  = 1.2
	prefillWeightSlope = 0.7
	// maxWeightRatio bounds that ratio.
	maxWeightRatio = 4
	// congestionThresholdMS is the mean wait above which endpoints count as
	// congested. With 100 ms, bursts at the steady load raised the weight and cost
	// 1.5 points of hit rate.
	congestionThresholdMS = 200
	// congestionDoublingMS is the mean wait in excess of congestionThresholdMS
	// that doubles the weight of prefill. Without this increase, a load of twice
	// the capacity halves the goodput, because requests that the endpoint with
	// their cached prefix refuses are recomputed elsewhere.
	congestionDoublingMS = 30
	// maxRetryCostMS is the cost above which an endpoint is no candidate for a
	// request that was refused before, as it would have to recompute the prompt.
	// With 1,800 ms, bursts at the steady load were refused and p99 rose by
	// 100 ms; with 4,000 ms, the hit rate at twice the capacity fell below 0.95 of
	// that of a policy that knows the state of all caches and queues.
	maxRetryCostMS = 2800
	// newCopyWeight is the cost of caching a prefix at an endpoint that the hash
	// ring does not prefer, as a multiple of the weighted prefill time.
	newCopyWeight = 2
)

// NewCostModel returns the cost model for the weights of a deployment's goals.
func NewCostModel(w rules.PlacementWeights) CostModel {
	ratio := float64(maxWeightRatio)
	if w.TailLatency > 0 {
		ratio = min(maxWeightRatio, (w.HitRate+w.RecomputedTokens)/(2*w.TailLatency))
	}
	return CostModel{PrefillWeight: basePrefillWeight + prefillWeightSlope*ratio}
}

// WithCongestion returns the cost model adjusted to the endpoints' mean wait. The
// busier the endpoints are, the more requests a recomputed token delays.
func (m CostModel) WithCongestion(meanWaitMS float64) CostModel {
	m.PrefillWeight *= 1 + max(0, meanWaitMS-congestionThresholdMS)/congestionDoublingMS
	return m
}

// Cost returns the weighted cost of a request in milliseconds. crossZoneMS is the cost
// of sending it to another availability zone.
func (m CostModel) Cost(waitMS, prefillMS, crossZoneMS float64) float64 {
	return waitMS + m.PrefillWeight*prefillMS + crossZoneMS
}
