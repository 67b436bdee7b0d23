package costmodel

import "math"

// RequestInfo is what is known of a request before it runs.
type RequestInfo struct {
	Route, Team, Service string
	// MaxOutputTokens is the stated maximum and OutputTokensHint the caller's estimate, in
	// tokens; 0 if the request states none.
	MaxOutputTokens, OutputTokensHint int
	// TokensPerEvent is the number of output tokens in an event, or 0 if unknown; outputs
	// are then counted in events.
	TokensPerEvent int
}

// Output is the estimated output length of a request, in tokens or, if the number of
// tokens in an event is unknown, in events.
type Output struct {
	// Tokens is the expected length and P90 the length that nine of ten requests do not
	// exceed. Neither exceeds the stated maximum.
	Tokens, P90 int
	// Known is false if too few requests were observed. Tokens is then the hint, the
	// stated maximum or Config.DefaultOutputTokens, the first that is there.
	Known bool
}

// outputKey identifies requests whose outputs are learned together: those of a route and
// team, of a route, or of a service.
type outputKey struct {
	level      outputLevel
	name, team string
}

type outputLevel uint8

const (
	levelTeam outputLevel = iota
	levelRoute
	levelService
	levels
)

func (r RequestInfo) key(l outputLevel) outputKey {
	switch l {
	case levelTeam:
		return outputKey{l, r.Route, r.Team}
	case levelRoute:
		return outputKey{l, r.Route, ""}
	}
	return outputKey{l, r.Service, ""}
}

// outputRecord is what is known of the outputs of similar requests. Logarithms of lengths
// are estimated by linear regression on the logarithms of the stated maximum and of the
// hint: a predictor that tells nothing gets a slope near 0, and the estimate is then the
// average of earlier requests. Requests with and without a hint are learned separately,
// and those with a hint also count as requests without.
type outputRecord struct {
	tokensPerEvent   int
	lastUse          uint64
	byMax, byMaxHint outputFit
}

// outputFit is a regression with the error of its estimates.
type outputFit struct {
	regression regression
	// observed and estimated are averages of lengths. Their ratio turns the typical length,
	// which the regression estimates, into the expected one.
	observed, estimated float64
	// excess is the P90 of the logarithm of the observed over the estimated length.
	excess logQuantile
}

const (
	// newestOutputWeight is the weight of the newest of many requests in averages.
	newestOutputWeight = 1.0 / 100
	// maxMeanRatio bounds the ratio of the expected to the typical length.
	maxMeanRatio = 4
	// maxOutputTokens bounds lengths and predictors against overflows.
	maxOutputTokens = 1 << 24
)

// EstimateOutput estimates the output length of a request.
func (m *Model) EstimateOutput(r RequestInfo) Output {
	for l := range levels {
		if rec := m.outputs[r.key(l)]; rec != nil && rec.tokensPerEvent == r.TokensPerEvent {
			if fit, x := rec.fit(r); fit.regression.samples >= minSamples {
				typical := fit.regression.estimate(x)
				expected := typical + math.Log(fit.meanRatio())
				// Skewed lengths may have an expected value above their P90.
				return Output{r.limit(expected), r.limit(max(expected, typical+fit.excess.log)), true}
			}
		}
	}
	tokens := m.cfg.DefaultOutputTokens
	if r.MaxOutputTokens > 0 {
		tokens = r.MaxOutputTokens
	}
	out := Output{Tokens: tokens, P90: tokens}
	if r.OutputTokensHint > 0 {
		out.Tokens = r.limit(math.Log(float64(r.OutputTokensHint)))
		out.P90 = max(out.P90, out.Tokens)
	}
	return out
}

// limit returns the length with the given logarithm, at least 1 and at most the stated
// maximum.
func (r RequestInfo) limit(log float64) int {
	longest := maxOutputTokens
	if r.MaxOutputTokens > 0 {
		longest = min(longest, r.MaxOutputTokens)
	}
	return int(min(max(1, math.Round(math.Exp(log))), float64(longest)))
}

// ObserveOutput records the output length of a request. If the run was cut off, its length
// is a lower bound, which is only recorded if it exceeds the estimate.
func (m *Model) ObserveOutput(r RequestInfo, tokens int, complete bool) {
	if tokens <= 0 {
		return
	}
	estimate := m.EstimateOutput(r)
	if !complete && (!estimate.Known || tokens <= estimate.Tokens) {
		return
	}
	if complete && estimate.Known {
		if e := m.errorsOf(r.Route); e != nil {
			for i := range e.output {
				e.output[i].observe(math.Abs(float64(tokens - estimate.Tokens)))
			}
		}
	}
	log := logLength(tokens)
	for l := range levels {
		rec := m.outputRecord(r.key(l), r.TokensPerEvent)
		x := r.predictors()
		rec.byMax.observe([2]float64{x[0], 0}, log)
		if r.OutputTokensHint > 0 {
			rec.byMaxHint.observe(x, log)
		}
	}
}

// predictors returns the logarithms of the stated maximum and of the hint.
func (r RequestInfo) predictors() [2]float64 {
	return [2]float64{logLength(r.MaxOutputTokens), logLength(r.OutputTokensHint)}
}

func logLength(tokens int) float64 {
	return math.Log(float64(min(max(tokens, 1), maxOutputTokens)))
}

// outputRecord returns the record of a key and creates it if there is none.
func (m *Model) outputRecord(k outputKey, tokensPerEvent int) *outputRecord {
	m.uses++
	rec := m.outputs[k]
	if rec == nil {
		m.makeRoom(k.level)
		rec = &outputRecord{}
		m.outputs[k] = rec
	}
	if rec.byMax.regression.samples == 0 || rec.tokensPerEvent != tokensPerEvent {
		*rec = outputRecord{tokensPerEvent: tokensPerEvent}
		rec.byMax.excess.quantile, rec.byMaxHint.excess.quantile = 0.9, 0.9
	}
	rec.lastUse = m.uses
	return rec
}

// makeRoom counts another record of a level and, if there are too many, removes the one that
// was not used for longest.
func (m *Model) makeRoom(l outputLevel) {
	if m.outputCounts[l] < [levels]int{maxTeams, maxRoutes, maxServices}[l] {
		m.outputCounts[l]++
		return
	}
	var oldest outputKey
	var oldestUse uint64 = math.MaxUint64
	for k, rec := range m.outputs {
		if k.level == l && rec.lastUse < oldestUse {
			oldest, oldestUse = k, rec.lastUse
		}
	}
	delete(m.outputs, oldest)
}

// fit returns the fit for a request and its predictors.
func (rec *outputRecord) fit(r RequestInfo) (*outputFit, [2]float64) {
	x := r.predictors()
	if r.OutputTokensHint > 0 && rec.byMaxHint.regression.samples >= minSamples {
		return &rec.byMaxHint, x
	}
	return &rec.byMax, [2]float64{x[0], 0}
}

func (f *outputFit) observe(x [2]float64, log float64) {
	if f.regression.samples >= minSamples/2 {
		estimate := f.regression.estimate(x)
		f.excess.observeLog(log - estimate)
		w := max(newestOutputWeight, 1/float64(f.excess.samples))
		f.observed += w * (math.Exp(log) - f.observed)
		f.estimated += w * (math.Exp(estimate) - f.estimated)
	}
	f.regression.observe(x, log)
}

func (f *outputFit) meanRatio() float64 {
	if f.estimated <= 0 {
		return 1
	}
	return min(max(f.observed/f.estimated, 1.0/maxMeanRatio), maxMeanRatio)
}

// regression is a linear regression on two predictors with exponentially decreasing
// weights of older observations.
type regression struct {
	samples int
	meanX   [2]float64
	meanY   float64
	xx      [2]float64 // variances of the predictors
	x01     float64    // covariance of the predictors
	xy      [2]float64 // covariances with the result
}

func (g *regression) observe(x [2]float64, y float64) {
	g.samples++
	w := max(newestOutputWeight, 1/float64(g.samples))
	d, dy := [2]float64{x[0] - g.meanX[0], x[1] - g.meanX[1]}, y-g.meanY
	for i := range d {
		g.meanX[i] += w * d[i]
		g.xx[i] = (1 - w) * (g.xx[i] + w*d[i]*d[i])
		g.xy[i] = (1 - w) * (g.xy[i] + w*d[i]*dy)
	}
	g.x01 = (1 - w) * (g.x01 + w*d[0]*d[1])
	g.meanY += w * dy
}

// estimate returns the estimate for predictors x. A term that decreases with the number of
// observations keeps slopes small while few are known, and makes the system solvable
// if a predictor is constant.
func (g *regression) estimate(x [2]float64) float64 {
	shrink := 0.01 + 0.5/float64(max(1, g.samples))
	a, b, c := g.xx[0]+shrink, g.x01, g.xx[1]+shrink
	det := a*c - b*b
	s0 := (c*g.xy[0] - b*g.xy[1]) / det
	s1 := (a*g.xy[1] - b*g.xy[0]) / det
	return g.meanY + s0*(x[0]-g.meanX[0]) + s1*(x[1]-g.meanX[1])
}
