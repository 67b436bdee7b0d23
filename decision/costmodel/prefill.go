package costmodel

import (
	"math"
	"time"
)

const (
	// smallPromptTokens and largePromptTokens separate prompts that tell the time to a first
	// event besides prefill from prompts that tell the rate: a step takes about as long
	// as 400 prompt tokens.
	smallPromptTokens, largePromptTokens = 256, 1000
	// maxRateRatio bounds the ratio of the learned to the configured prefill rate.
	maxRateRatio = 8
	// overheadQuantile and prefillQuantile are below the median because unknown work of
	// other routers only lengthens what is observed.
	overheadQuantile, prefillQuantile = 0.3, 0.4
	// initialOverhead is about two steps of an engine.
	initialOverhead = 20 * time.Millisecond
)

// prefillRate is what is known of the prefill rate of a service.
type prefillRate struct {
	// perToken follows the time for each token at speed 1, in µs, and overhead the time to
	// a first event besides prefill, in ms.
	perToken, overhead logQuantile
	samples            int
}

// ObservePrefill records the time from the start of a request to its first event. tokens is
// the number of prompt tokens that the endpoint had to compute, while no other prompt
// waited there.
func (m *Model) ObservePrefill(now time.Duration, service, endpointID string, tokens int, took time.Duration) {
	s := m.service(service)
	if s == nil || tokens <= 0 || took <= 0 {
		return
	}
	speed, _ := m.Speed(now, endpointID)
	took = time.Duration(float64(took) * speed)
	p := &s.prefill
	overhead := initialOverhead
	if p.overhead.samples >= minSamples {
		overhead = milliseconds(p.overhead.value())
	}
	switch {
	case tokens < smallPromptTokens:
		rest := took - time.Duration(float64(tokens)/m.PrefillRate(service)*float64(time.Millisecond))
		p.overhead.quantile = overheadQuantile
		p.overhead.observe(max(0, rest).Seconds() * 1000)
	case tokens >= largePromptTokens:
		perToken := max(took-overhead, took/2).Seconds() * 1e6 / float64(tokens)
		configured := 1e3 / m.cfg.PrefillTokensPerMS
		p.perToken.quantile = prefillQuantile
		p.perToken.observeLog(math.Log(min(max(perToken, configured/maxRateRatio), configured*maxRateRatio)))
		p.samples++
	}
}

// PrefillRate returns the prefill rate of an engine of speed 1, in tokens a millisecond. It
// is the configured rate while too little is known.
func (m *Model) PrefillRate(service string) float64 {
	if s := m.services[service]; s != nil && s.prefill.samples >= minSamples {
		return 1e3 / math.Exp(s.prefill.perToken.log)
	}
	return m.cfg.PrefillTokensPerMS
}

// PrefillRateSamples returns the number of observations of a service's prefill rate, or 0
// while the configured rate is used.
func (m *Model) PrefillRateSamples(service string) int {
	if s := m.services[service]; s != nil && s.prefill.samples >= minSamples {
		return s.prefill.samples
	}
	return 0
}
