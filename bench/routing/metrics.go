package routing

import (
	"slices"
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
)

// metrics accumulates the measurements of one run. Hit rate and recompute ratio
// are relative to the prompt tokens of all requests, and a refused request counts
// with a time to first token (TTFT) of firstTokenTarget, so that no policy gains by
// refusing requests.
type metrics struct {
	deployment *deployment

	// withinTarget counts the requests with a TTFT of at most firstTokenTarget.
	requests, refused, withinTarget int
	promptTokens                    int
	cachedTokens                    int
	// recomputedTokens counts the prompt tokens that were prefilled although an
	// available endpoint had cached them.
	recomputedTokens int
	// ttftMS and smallTeamsTTFTMS include refused requests, servedTTFTMS does not.
	ttftMS, smallTeamsTTFTMS []float64
	servedTTFTMS             []float64

	attemptsSent, retries, expiredAttempts, cacheEvents, snapshots int
	refusalReasons                                                 map[admission.Reason]int
}

func (m *metrics) init(d *deployment) {
	m.deployment, m.refusalReasons = d, map[admission.Reason]int{}
}

func (m *metrics) recordRequest(req *request) {
	if req.measured {
		m.requests++
		m.promptTokens += req.promptTokens
	}
}

func (m *metrics) recordRefusal(req *request) {
	if !req.measured || req.answered || req.resumed {
		return
	}
	req.answered = true
	m.refused++
	m.recordTTFT(req, firstTokenTarget)
}

// recordFirstToken records that the caller receives the first token of an attempt at
// the given time.
func (m *metrics) recordFirstToken(att *engineAttempt, at time.Duration) {
	req := att.req
	if !req.measured || req.answered {
		req.answered = true
		return
	}
	req.answered = true
	cacheable := min(req.bestCachedTokens, req.promptTokens-1)
	m.cachedTokens += att.cachedTokens
	m.recomputedTokens += max(0, cacheable-att.cachedTokens)
	ttft := at - req.sentAt
	if ttft <= firstTokenTarget {
		m.withinTarget++
	}
	m.servedTTFTMS = append(m.servedTTFTMS, float64(ttft)/float64(time.Millisecond))
	m.recordTTFT(req, ttft)
}

func (m *metrics) recordTTFT(req *request, ttft time.Duration) {
	ms := float64(ttft) / float64(time.Millisecond)
	m.ttftMS = append(m.ttftMS, ms)
	if !m.deployment.teams[req.team].large() {
		m.smallTeamsTTFTMS = append(m.smallTeamsTTFTMS, ms)
	}
}

// percentile returns the value below which the given fraction of the values lies.
func percentile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// result is the JSON output of one case.
type result struct {
	Bench          string  `json:"bench"`
	Deployment     string  `json:"deployment"`
	Scenario       string  `json:"scenario"`
	Policy         string  `json:"policy"`
	Seed           uint64  `json:"seed"`
	HitRate        float64 `json:"hit_rate"`
	RecomputeRatio float64 `json:"recompute_ratio"`
	TTFTP50        float64 `json:"ttft_p50_ms"`
	TTFTP99        float64 `json:"ttft_p99_ms"`
	Refused        int     `json:"refused"`
	GoodputRatio   float64 `json:"goodput_ratio"`
	// ServedTTFTP99 leaves out refused requests.
	ServedTTFTP99 float64 `json:"served_ttft_p99_ms"`
	// SmallTeamsTTFTP99 covers the teams that are not large; see team.large.
	SmallTeamsTTFTP99 float64 `json:"small_teams_ttft_p99_ms"`
	Requests          int     `json:"requests"`
	// CapacityRPS is the goodput in requests per second that the deployment can
	// reach.
	CapacityRPS float64 `json:"capacity_rps"`
	// AttemptsPerRequest is the mean number of admission attempts per request.
	AttemptsPerRequest float64 `json:"offers_per_request"`
	// OracleModel is the position of the oracle's cost model in oracleCostModels,
	// from 1, and 0 for other policies.
	OracleModel int `json:"oracle_model,omitempty"`
}

func (m *metrics) result(d *deployment, cfg simulationConfig) result {
	promptTokens := float64(max(m.promptTokens, 1))
	offeredRPS := float64(m.requests) / measurementTime.Seconds()
	return result{
		Bench: "routing", Deployment: d.name, Scenario: cfg.scenario.name, Policy: cfg.policy.name, Seed: cfg.seed,
		HitRate:            float64(m.cachedTokens) / promptTokens,
		RecomputeRatio:     float64(m.recomputedTokens) / promptTokens,
		TTFTP50:            percentile(m.ttftMS, 0.5),
		TTFTP99:            percentile(m.ttftMS, 0.99),
		Refused:            m.refused,
		GoodputRatio:       float64(m.withinTarget) / measurementTime.Seconds() / min(offeredRPS, cfg.capacityRPS),
		ServedTTFTP99:      percentile(m.servedTTFTMS, 0.99),
		SmallTeamsTTFTP99:  percentile(m.smallTeamsTTFTMS, 0.99),
		Requests:           m.requests,
		CapacityRPS:        cfg.capacityRPS,
		AttemptsPerRequest: float64(m.attemptsSent) / float64(max(m.requests, 1)) * measurementTime.Seconds() / measurementEnd.Seconds(),
	}
}
