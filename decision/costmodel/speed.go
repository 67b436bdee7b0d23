package costmodel

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringSize and sampleInterval are the number of pauses of an endpoint that are kept and
	// the shortest time between two of them: together at least 1.3 s, so that an engine
	// that is slow for 0.6 s contributes less than half of them, and all streams
	// that one long prompt delays contribute one.
	ringSize       = 32
	sampleInterval = 40 * time.Millisecond
	// sampleWindow is the time whose pauses count, and sampleLifetime the time for which
	// the last minSamples do if they are older. An endpoint without them counts as one of
	// speed 1, so that it gets requests again.
	sampleWindow, sampleLifetime = 3 * time.Second, 10 * time.Second
	// reportLifetime is how long the report of another router is used. Each pair of routers
	// exchanges reports twice a second or more.
	reportLifetime = 3 * time.Second
	// maxReports is the number of routers whose reports on an endpoint are kept.
	maxReports = 8
	// minSpeed and maxSpeed bound plausible speeds.
	minSpeed, maxSpeed = 0.05, 20
	// refreshInterval is the time between two calculations of the speeds of a service.
	refreshInterval = 250 * time.Millisecond
	// pauseQuantile is the quantile of pauses that stands for the time of a step: at least a
	// quarter of the pauses contain no prompt of another request.
	pauseQuantile = 0.25
)

// endpoint is what is known of an endpoint's speed.
type endpoint struct {
	service *service
	// ring holds the last count pauses, the newest before position next.
	ring        [ringSize]pauseSample
	next, count uint8
	lastSample  time.Duration
	reports     [maxReports]speedReport
	// The fields below are as of the service's last calculation. stepLog is the logarithm of
	// the low quantile of the pauses, from ownSamples of them. ownLog is the logarithm of the
	// speed that this router observed, and speedLog that of all routers, from samples.
	stepLog, ownLog, speedLog float64
	ownSamples, samples       int
}

// pauseSample is the logarithm of a pause, in ms for each token of a step without other
// requests. at is in ms, modulo 2^32.
type pauseSample struct {
	at  uint32
	log float32
}

// speedReport is a report of another router.
type speedReport struct {
	router  uint64
	at      time.Duration
	log     float32
	samples int32
}

// service is what is known of the endpoints of a service.
type service struct {
	endpoints   map[string]*endpoint
	refreshedAt time.Duration
	prefill     prefillRate
}

func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil && len(m.services) < maxServices {
		s = &service{endpoints: map[string]*endpoint{}, refreshedAt: math.MinInt64 / 2}
		m.services[name] = s
	}
	return s
}

// endpoint returns the record of an endpoint, or nil if there are too many.
func (m *Model) endpoint(serviceName, id string) *endpoint {
	if e := m.endpoints[id]; e != nil {
		return e
	}
	s := m.service(serviceName)
	if s == nil || len(m.endpoints) >= maxEndpoints {
		return nil
	}
	e := &endpoint{service: s}
	m.endpoints[id], s.endpoints[id] = e, e
	return e
}

// ObserveEventGap records a pause between two consecutive events of a stream, the second of
// which has the given number of tokens, while about running requests shared the endpoint.
// Events that were read together must not be passed: their pause is not the engine's.
func (m *Model) ObserveEventGap(now time.Duration, service, endpointID string, pause time.Duration, tokens, running int) {
	if pause <= 0 || tokens <= 0 {
		return
	}
	e := m.endpoint(service, endpointID)
	if e == nil || e.count > 0 && now-e.lastSample < sampleInterval {
		return
	}
	if now-e.lastSample > sampleLifetime {
		e.count, e.next = 0, 0
	}
	steps := float64(tokens) * (1 + m.cfg.RunningRequestShare*float64(max(0, running)))
	e.ring[e.next] = pauseSample{uint32(now.Milliseconds()), float32(math.Log(pause.Seconds() * 1000 / steps))}
	e.next = (e.next + 1) % ringSize
	e.count = min(e.count+1, ringSize)
	e.lastSample = now
}

// MergeSpeed records another router's estimate of an endpoint's speed and the number of its
// observations. Implausible ones are ignored; it then returns false.
func (m *Model) MergeSpeed(now time.Duration, service, endpointID, router string, speed float64, samples int) bool {
	if !(speed >= minSpeed && speed <= maxSpeed) || samples <= 0 {
		return false
	}
	e := m.endpoint(service, endpointID)
	if e == nil {
		return true
	}
	report := speedReport{xxhash.Sum64String(router), now, float32(math.Log(speed)), int32(min(samples, ringSize))}
	slot, fewest := -1, report.samples
	for i := range e.reports {
		old := &e.reports[i]
		if old.samples > 0 && old.router == report.router {
			*old = report
			return true
		}
		left := old.samples
		if old.samples > 0 && now-old.at > reportLifetime {
			left = 0
		}
		if left < fewest {
			slot, fewest = i, left
		}
	}
	if slot >= 0 {
		e.reports[slot] = report
	}
	return true
}

// Speed returns the speed of an endpoint relative to the median endpoint of its service, as
// all routers observe it, and the number of observations. Speed is 1 and samples 0 while
// there are too few.
func (m *Model) Speed(now time.Duration, endpointID string) (speed float64, samples int) {
	e := m.refreshed(now, endpointID)
	if e == nil || e.samples < minSamples {
		return 1, 0
	}
	return clampSpeed(e.speedLog), e.samples
}

// OwnSpeed returns the speed of an endpoint as this router observes it, to be reported to
// others, and the number of observations; both are 0 while there are too few.
func (m *Model) OwnSpeed(now time.Duration, endpointID string) (speed float64, samples int) {
	e := m.refreshed(now, endpointID)
	if e == nil || e.ownSamples < minSamples {
		return 0, 0
	}
	return clampSpeed(e.ownLog), e.ownSamples
}

func clampSpeed(log float64) float64 { return min(max(math.Exp(log), minSpeed), maxSpeed) }

func (m *Model) refreshed(now time.Duration, endpointID string) *endpoint {
	e := m.endpoints[endpointID]
	if e != nil && now-e.service.refreshedAt >= refreshInterval {
		m.refresh(now, e.service)
	}
	return e
}

// refresh calculates the speeds of a service's endpoints. A router may observe only some
// endpoints, whose median is not the service's. It therefore scales its observations so
// that they agree in the median with what all routers observed before, and all
// speeds so that their median is 1.
func (m *Model) refresh(now time.Duration, s *service) {
	s.refreshedAt = now
	scales := m.scratch[:0]
	agreed := 0
	for _, e := range s.endpoints {
		e.refreshStep(now)
		if e.ownSamples >= minSamples && e.samples >= minSamples {
			scales = append(scales, e.stepLog+e.speedLog)
			agreed++
		}
	}
	if agreed == 0 {
		for _, e := range s.endpoints {
			if e.ownSamples >= minSamples {
				scales = append(scales, e.stepLog)
			}
		}
	}
	scale := median(scales)
	speeds := scales[:0]
	for _, e := range s.endpoints {
		e.mergeReports(now, scale)
		if e.samples >= minSamples {
			speeds = append(speeds, e.speedLog)
		}
	}
	center := median(speeds)
	for _, e := range s.endpoints {
		e.ownLog -= center
		e.speedLog -= center
	}
	m.scratch = speeds[:0]
}

// refreshStep calculates the low quantile of the recent pauses.
func (e *endpoint) refreshStep(now time.Duration) {
	var logs [ringSize]float32
	n := 0
	for i := range e.count {
		p := e.ring[(e.next+ringSize-1-i)%ringSize]
		age := time.Duration(uint32(now.Milliseconds())-p.at) * time.Millisecond
		if age > sampleLifetime || age > sampleWindow && n >= minSamples {
			break
		}
		logs[n] = p.log
		n++
	}
	e.ownSamples = n
	if n > 0 {
		slices.Sort(logs[:n])
		e.stepLog = float64(logs[int(pauseQuantile*float64(n))])
	}
}

// mergeReports calculates the speed that this router and the others observe. scale is the
// logarithm of the step time of an endpoint of speed 1.
func (e *endpoint) mergeReports(now time.Duration, scale float64) {
	var sum float64
	e.samples, e.ownLog = 0, 0
	if e.ownSamples >= minSamples {
		e.ownLog, e.samples = scale-e.stepLog, e.ownSamples
		sum = e.ownLog * float64(e.ownSamples)
	}
	for _, r := range e.reports {
		if r.samples > 0 && now-r.at <= reportLifetime {
			sum += float64(r.log) * float64(r.samples)
			e.samples += int(r.samples)
		}
	}
	e.speedLog = 0
	if e.samples > 0 {
		e.speedLog = sum / float64(e.samples)
	}
}

// median returns the median, or 0 without values. It sorts the values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
