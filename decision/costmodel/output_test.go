package costmodel

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outputLoad generates requests whose output length is a log-normal share of the stated
// maximum.
type outputLoad struct {
	rng         *rand.Rand
	route, team string
	// share is the median share of the maximum and spread the standard deviation of its
	// logarithm.
	share, spread float64
	// hintSpread is the standard deviation of the logarithm of the hint over the length, or
	// 0 for no hints.
	hintSpread float64
}

func (l *outputLoad) next() (RequestInfo, int) {
	r := RequestInfo{Route: l.route, Team: l.team, Service: testService, MaxOutputTokens: 100 << l.rng.IntN(5), TokensPerEvent: 4}
	length := float64(r.MaxOutputTokens) * l.share * math.Exp(l.spread*l.rng.NormFloat64())
	tokens := int(min(max(1, length), float64(r.MaxOutputTokens)))
	if l.hintSpread > 0 {
		r.OutputTokensHint = int(max(1, float64(tokens)*math.Exp(l.hintSpread*l.rng.NormFloat64())))
	}
	return r, tokens
}

// outputScore compares estimates with lengths: sums, absolute errors, those of the hint
// alone and of the maximum alone, and the share of lengths within the P90.
type outputScore struct {
	n, within                                        int
	estimated, observed, err, hintErr, maxErr, share float64
}

func play(m *Model, l *outputLoad, n int) outputScore {
	var s outputScore
	for range n {
		r, tokens := l.next()
		if e := m.EstimateOutput(r); e.Known {
			s.n++
			s.estimated += float64(e.Tokens)
			s.observed += float64(tokens)
			s.err += math.Abs(float64(e.Tokens - tokens))
			s.hintErr += math.Abs(float64(min(r.OutputTokensHint, r.MaxOutputTokens) - tokens))
			s.maxErr += math.Abs(float64(r.MaxOutputTokens - tokens))
			if tokens <= e.P90 {
				s.within++
			}
		}
		m.ObserveOutput(r, tokens, true)
	}
	s.share = float64(s.within) / float64(max(1, s.n))
	return s
}

// Load: 400 requests of one team; the maximum states four times the usual length. There are
// no hints, or half of them are off by a factor of more than 1.03, 1.2 or 8. Guards against
// trusting hints that are far off, and against ignoring ones that are right.
func TestOutputsByHintAndMaximum(t *testing.T) {
	for seed := range uint64(5) {
		for _, hintSpread := range []float64{0, 0.05, 0.3, 3} {
			l := &outputLoad{rand.New(rand.NewPCG(seed, 2)), "r", "t", 0.25, 0.5, hintSpread}
			m := New(Config{PrefillTokensPerMS: 40})
			play(m, l, 100)
			s := play(m, l, 300)
			t.Logf("seed %d, hints %.2f: error %.0f, hint %.0f, maximum %.0f, mean %.2f, P90 %.2f", seed, hintSpread,
				s.err/300, s.hintErr/300, s.maxErr/300, s.estimated/s.observed, s.share)
			assert.Assert(t, s.err < s.maxErr/2)
			assert.Assert(t, hintSpread == 0 || s.err < 1.25*s.hintErr)
			assert.Assert(t, hintSpread < 1 || s.err < s.hintErr/2)
			assert.Assert(t, s.estimated/s.observed > 0.8 && s.estimated/s.observed < 1.25)
			assert.Assert(t, s.share > 0.8 && s.share < 0.98)
		}
	}
}

// Load: a route of one team with long outputs and one with short ones that sends a tenth
// as much. Guards against estimates of the route for a team that differs from it, and of
// nothing at all for a team that has just begun.
func TestTeamThatDiffersFromItsRoute(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 3))
		long, short := &outputLoad{rng, "r", "long", 0.5, 0.3, 0}, &outputLoad{rng, "r", "short", 0.02, 0.3, 0}
		m := New(Config{PrefillTokensPerMS: 40})
		play(m, long, 200)
		r, _ := short.next()
		first := m.EstimateOutput(r)
		assert.Assert(t, first.Known && float64(first.Tokens) > 0.3*float64(r.MaxOutputTokens))
		play(m, short, 20)
		s := play(m, short, 100)
		assert.Assert(t, s.err/float64(s.n) < 0.1*s.maxErr/float64(s.n), "%v", s)
		assert.Assert(t, math.Abs(s.estimated/s.observed-1) < 0.35, "%v", s)
	}
}

// Load: the outputs of a team become six times as long in the middle. Guards against
// estimates that do not follow a change within some hundred requests.
func TestOutputsThatChange(t *testing.T) {
	for seed := range uint64(5) {
		l := &outputLoad{rand.New(rand.NewPCG(seed, 4)), "r", "t", 0.1, 0.3, 0}
		m := New(Config{PrefillTokensPerMS: 40})
		play(m, l, 2000)
		l.share = 0.6
		play(m, l, 300)
		s := play(m, l, 200)
		assert.Assert(t, math.Abs(s.estimated/s.observed-1) < 0.2 && s.share > 0.8, "seed %d: %v", seed, s)
	}
}

// Guards against runs that were cut off and teach short outputs, against estimates in
// tokens from observations in events, and against estimates beyond the maximum.
func TestOutputsThatAreUnknownOrCutOff(t *testing.T) {
	m := New(Config{PrefillTokensPerMS: 40, DefaultOutputTokens: 50})
	r := RequestInfo{Route: "r", Team: "t", Service: testService, MaxOutputTokens: 1000, TokensPerEvent: 4}
	assert.Equal(t, m.EstimateOutput(r), Output{Tokens: 1000, P90: 1000})
	hinted := r
	hinted.OutputTokensHint = 200
	assert.Equal(t, m.EstimateOutput(hinted), Output{Tokens: 200, P90: 1000})
	assert.Equal(t, m.EstimateOutput(RequestInfo{}), Output{Tokens: 50, P90: 50})
	for range 50 {
		m.ObserveOutput(r, 4, false)
	}
	assert.Assert(t, !m.EstimateOutput(r).Known)
	for range 50 {
		m.ObserveOutput(r, 400, true)
	}
	for range 500 {
		m.ObserveOutput(r, 4, false)
	}
	e := m.EstimateOutput(r)
	assert.Assert(t, e.Known && e.Tokens > 390 && e.Tokens < 410, "%v", e)
	for range 500 {
		m.ObserveOutput(r, 800, false)
	}
	e = m.EstimateOutput(r)
	assert.Assert(t, e.Tokens > 700 && e.Tokens <= 1000, "%v", e)
	r.TokensPerEvent = 0
	assert.Assert(t, !m.EstimateOutput(r).Known)
	r.TokensPerEvent, r.MaxOutputTokens, r.OutputTokensHint = 4, 10, 1<<40
	assert.Assert(t, m.EstimateOutput(r).Tokens <= 10)
}

// Load: prompts of 100 to 9,000 tokens at engines of speeds 0.6, 1 and 1.6 whose service
// computes 24 tokens a millisecond; the router expects 40. Half of the first events wait
// for unknown work of up to 100 ms. Guards against a wrong configured rate.
func TestPrefillRate(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleetSim(seed, 1, mixedSpeeds(10), 6, 1)
		f.run(4 * time.Second)
		m := f.routers[0]
		assert.Equal(t, m.PrefillRateSamples(testService), 0)
		assert.Equal(t, m.PrefillRate(testService), 40.0)
		for range 400 {
			e := f.engines[f.rng.IntN(len(f.engines))]
			tokens := 100 + f.rng.IntN(300)
			if f.rng.IntN(3) == 0 {
				tokens = 1000 + f.rng.IntN(8000)
			}
			took := (float64(tokens)/24 + 12) / e.speed
			if f.rng.IntN(2) == 0 {
				took += 100 * f.rng.Float64()
			}
			f.run(5 * time.Millisecond)
			m.ObservePrefill(f.now, testService, e.id, tokens, milliseconds(took))
		}
		rate := m.PrefillRate(testService)
		assert.Assert(t, rate > 24/1.2 && rate < 24*1.2, "seed %d: %.1f", seed, rate)
	}
}

// Guards against errors in metrics that are no quantiles of what was observed.
func TestErrorsAreQuantiles(t *testing.T) {
	m, rng := New(Config{PrefillTokensPerMS: 40}), rand.New(rand.NewPCG(1, 5))
	for range 2000 {
		m.ObserveFirstEvent("r", 200*time.Millisecond, 200*time.Millisecond+time.Duration(rng.Int64N(int64(100*time.Millisecond))))
	}
	e := m.Errors()[0]
	p50, p90 := e.FirstEventP50.Seconds()*1000, e.FirstEventP90.Seconds()*1000
	assert.Assert(t, p50 > 40 && p50 < 60 && p90 > 80 && p90 < 100, "%.0f, %.0f", p50, p90)
	assert.Equal(t, e.FirstEventSamples, 2000)
	for range 100 {
		m.ObserveOutput(RequestInfo{Route: "r"}, 20, true)
	}
	assert.Equal(t, m.Errors()[0].OutputP90, 0.0, "estimates that are right have an error")
}
