package selection

import (
	"math"
	"time"
)

// WorkRate is the prompt work that a router starts at the engines of a service, in
// milliseconds of the median engine a second.
type WorkRate struct {
	Service string
	// Light is the work of requests with small prompts, and Heavy that of all others.
	Light, Heavy float64
}

const (
	// workRateTime is the time constant of work rates. It covers some hundred prompts of a
	// deployment and follows bursts, which last some seconds.
	workRateTime = 4 * time.Second
	// lightUtilization is the share of its time that an engine should spend on the prompts of
	// light requests. The rest is for output steps: with more, the prompts of others lengthen
	// the pauses of a stream, most at slow engines.
	lightUtilization = 0.4
	// lightWorkFactor multiplies the light part of the work. Heavy requests also need memory for
	// the shared parts of their prompts at their engines.
	lightWorkFactor = 0.9
	// minLightShare and maxLightShare bound the share of the engines for light requests.
	// Below the minimum there is no partition.
	minLightShare, maxLightShare = 0.04, 0.5
)

// work is the prompt work at the engines of a service.
type work struct {
	// light and heavy are the rates of this router, as of updatedAt, and remoteLight and
	// remoteHeavy the sums of the rates that other routers reported.
	light, heavy             float64
	updatedAt                time.Duration
	remoteLight, remoteHeavy float64
}

func (s *Selector) workOf(service string) *work {
	w := s.work[service]
	if w == nil {
		w = &work{}
		s.work[service] = w
	}
	return w
}

func (w *work) decay(now time.Duration) {
	if now <= w.updatedAt {
		return
	}
	f := math.Exp(-float64(now-w.updatedAt) / float64(workRateTime))
	w.light, w.heavy, w.updatedAt = w.light*f, w.heavy*f, now
}

// rateOf is what an amount of work adds to a rate.
func rateOf(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond) / workRateTime.Seconds()
}

// lightShare returns the share of the engines, by speed, that light requests should have: as
// much as their part of the work, and enough for lightUtilization.
func (w *work) lightShare(totalSpeed float64) float64 {
	light, heavy := w.light+w.remoteLight, w.heavy+w.remoteHeavy
	if light <= 0 || heavy <= 0 || totalSpeed <= 0 {
		return 0
	}
	share := max(lightWorkFactor*light/(light+heavy), light/1000/lightUtilization/totalSpeed)
	if share < minLightShare {
		return 0
	}
	return min(share, maxLightShare)
}

// ObserveArrival records the work of a light request that has arrived, whether or not it will
// start: engines for light requests must not become fewer because such requests are refused.
// The work of heavy requests depends on what is cached, and is recorded when they start.
func (s *Selector) ObserveArrival(now time.Duration, r *Request) {
	if !s.costAware(r) || s.isHeavy(r) {
		return
	}
	w := s.workOf(r.Service)
	w.decay(now)
	w.light += rateOf(s.prefillTime(r.Prompt.Tokens))
}

// observeHeavyWork records the work of a heavy request that starts.
func (s *Selector) observeHeavyWork(now time.Duration, r *Request, c Choice) {
	w := s.workOf(r.Service)
	w.decay(now)
	w.heavy += rateOf(s.prefillTime(r.Prompt.Tokens - c.CachedTokens - c.FetchedTokens))
}

// WorkRates returns the work that this router starts. It is empty while cost-aware selection
// is off.
func (s *Selector) WorkRates(now time.Duration) []WorkRate {
	var out []WorkRate
	for service, w := range s.work {
		w.decay(now)
		if w.light > 0 || w.heavy > 0 {
			out = append(out, WorkRate{service, w.light, w.heavy})
		}
	}
	return out
}

// maxReportedWork bounds the rates that other routers report, far above those of an engine
// service.
const maxReportedWork = 1e9

// ReplaceRemoteWork replaces the work that another router reported before by what it
// reports now, and returns what was recorded, to be passed as before the next time.
// Implausible rates are ignored.
func (s *Selector) ReplaceRemoteWork(before, now []WorkRate) []WorkRate {
	for _, r := range before {
		if w := s.work[r.Service]; w != nil {
			w.remoteLight, w.remoteHeavy = max(0, w.remoteLight-r.Light), max(0, w.remoteHeavy-r.Heavy)
		}
	}
	if !s.cfg.CostAware {
		return nil
	}
	recorded := make([]WorkRate, 0, len(now))
	for _, r := range now {
		if !(r.Light >= 0 && r.Light < maxReportedWork && r.Heavy >= 0 && r.Heavy < maxReportedWork) {
			continue
		}
		w := s.workOf(r.Service)
		w.remoteLight, w.remoteHeavy = w.remoteLight+r.Light, w.remoteHeavy+r.Heavy
		recorded = append(recorded, r)
	}
	return recorded
}
