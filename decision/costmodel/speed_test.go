package costmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testService = "s"

// fleetSim simulates the pauses of streams at engines in virtual time, as each of the
// routers observes them. A step takes 10 ms and 0.3 ms for each stream at speed 1, an event
// has 4 tokens, and a long prompt pauses all streams of an engine for 350 ms at speed 1.
type fleetSim struct {
	rng     *rand.Rand
	now     time.Duration
	routers []*Model
	engines []*engineSim
	// longPrompts is the number of long prompts per second at each engine.
	longPrompts float64
	// report replaces what router i tells the others, if set.
	report func(i int, speed float64, samples int) (float64, int)
}

type engineSim struct {
	id     string
	speed  float64
	paused time.Duration
	// streams has the router of each stream, and nextAt and lastAt are its events.
	streams []int
	nextAt  []time.Duration
	lastAt  []time.Duration
}

// newFleetSim gives each engine 1 to 2*streams streams from sharedBy neighbouring routers.
// Neighbouring engines have the same routers.
func newFleetSim(seed uint64, routers int, speeds []float64, streams, sharedBy int) *fleetSim {
	f := &fleetSim{rng: rand.New(rand.NewPCG(seed, 1))}
	for range routers {
		f.routers = append(f.routers, New(Config{PrefillTokensPerMS: 40, RunningRequestShare: 0.03}))
	}
	for i, speed := range speeds {
		e := &engineSim{id: fmt.Sprintf("e%d", i), speed: speed}
		for range 1 + f.rng.IntN(2*streams) {
			e.streams = append(e.streams, (f.rng.IntN(sharedBy)+i*routers/len(speeds))%routers)
			e.nextAt, e.lastAt = append(e.nextAt, time.Duration(f.rng.Int64N(int64(40*time.Millisecond)))), append(e.lastAt, 0)
		}
		f.engines = append(f.engines, e)
	}
	return f
}

func (f *fleetSim) run(d time.Duration) {
	const tick = time.Millisecond
	for end := f.now + d; f.now < end; f.now += tick {
		for _, e := range f.engines {
			if f.rng.Float64() < f.longPrompts*tick.Seconds() {
				e.paused = max(e.paused, f.now) + time.Duration(350/e.speed)*time.Millisecond
			}
			f.events(e)
		}
		if f.now%(500*time.Millisecond) == 0 {
			f.exchange()
		}
	}
}

func (f *fleetSim) events(e *engineSim) {
	for i, router := range e.streams {
		if f.now < e.nextAt[i] || f.now < e.paused {
			continue
		}
		m := f.routers[router]
		if e.lastAt[i] > 0 {
			m.ObserveEventGap(f.now, testService, e.id, f.now-e.lastAt[i], 4, len(e.streams))
		}
		e.lastAt[i] = f.now
		step := (10 + 0.3*float64(len(e.streams))) * 4 / e.speed * (0.9 + 0.2*f.rng.Float64())
		e.nextAt[i] = f.now + time.Duration(step*float64(time.Millisecond))
	}
}

// exchange sends the estimates of each router to all others, as each pair communicates
// about twice a second.
func (f *fleetSim) exchange() {
	for i, from := range f.routers {
		for _, to := range f.routers {
			for _, e := range f.engines {
				speed, samples := from.OwnSpeed(f.now, e.id)
				if f.report != nil {
					speed, samples = f.report(i, speed, samples)
				}
				if to != from && samples > 0 {
					to.MergeSpeed(f.now, testService, e.id, fmt.Sprint("r", i), speed, samples)
				}
			}
		}
	}
}

// worstError returns the largest ratio between the true and the estimated speed of engines
// at any router, and the number of unknown ones.
func (f *fleetSim) worstError() (worst float64, unknown int) {
	worst = 1
	for _, m := range f.routers {
		for _, e := range f.engines {
			speed, samples := m.Speed(f.now, e.id)
			if samples == 0 {
				unknown++
				continue
			}
			worst = max(worst, speed/e.speed, e.speed/speed)
		}
	}
	return worst, unknown
}

func mixedSpeeds(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = []float64{1, 0.6, 1, 1.6, 1}[i%5]
	}
	return out
}

// maxSpeedError is the required accuracy as a ratio: it separates neighbours of the
// speeds 0.6, 1 and 1.6.
const maxSpeedError = 1.25

// Load: 20 engines of speeds 0.6, 1 and 1.6 with 1 to 40 streams each, at one router and at
// 10 of which most see engines of one or two of the speeds, while long prompts take 22 to
// 58 % of the engines' time. Guards against prompts that are taken for slowness, and against
// routers whose median is that of the engines they see.
func TestSpeedsWhileLongPromptsRun(t *testing.T) {
	for seed := range uint64(5) {
		for _, routers := range []int{1, 10} {
			speeds := mixedSpeeds(20)
			slices.Sort(speeds)
			f := newFleetSim(seed, routers, speeds, 20, min(4, routers))
			f.longPrompts = 1
			f.run(12 * time.Second)
			worst, unknown := f.worstError()
			t.Logf("seed %d, %d routers: worst ratio %.2f, %d unknown", seed, routers, worst, unknown)
			assert.Assert(t, worst < maxSpeedError && unknown == 0, "seed %d, %d routers: ratio %.2f, %d unknown", seed, routers, worst, unknown)
		}
	}
}

// Load: as above with few long prompts. One engine becomes 2.5 times slower, for 0.6 s and
// then for good, and recovers. Guards against estimates that swing with short slowdowns
// and ones that miss lasting ones.
func TestEngineThatBecomesSlowAndRecovers(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleetSim(seed, 4, mixedSpeeds(10), 8, 3)
		f.longPrompts = 0.2
		f.run(5 * time.Second)
		e := f.engines[2]
		speedAt := func() float64 { s, _ := f.routers[2].Speed(f.now, e.id); return s }
		e.speed = 0.4
		f.run(600 * time.Millisecond)
		e.speed = 1
		low := 1.0
		for range 20 {
			f.run(100 * time.Millisecond)
			low = min(low, speedAt())
		}
		assert.Assert(t, low > 1/maxSpeedError, "seed %d: %.2f after 0.6 s of slowness", seed, low)
		e.speed = 0.4
		slowAfter := timeUntil(f, func() bool { return speedAt() < 0.4*maxSpeedError })
		e.speed = 1
		recoveredAfter := timeUntil(f, func() bool { return speedAt() > 1/maxSpeedError })
		t.Logf("seed %d: lowest %.2f, slow after %s, recovered after %s", seed, low, slowAfter, recoveredAfter)
		assert.Assert(t, slowAfter <= 5*time.Second && recoveredAfter <= 3*time.Second, "seed %d: %s, %s", seed, slowAfter, recoveredAfter)
	}
}

func timeUntil(f *fleetSim, done func() bool) time.Duration {
	begin := f.now
	for !done() && f.now-begin < 20*time.Second {
		f.run(100 * time.Millisecond)
	}
	return f.now - begin
}

// Load: the number of streams of every other engine doubles in the middle, from 6 on
// average. Guards against engines that count as slow because they run more requests.
func TestSpeedsAfterTheLoadChanges(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleetSim(seed, 4, mixedSpeeds(10), 6, 3)
		f.run(4 * time.Second)
		for i, e := range f.engines {
			if i%2 == 0 {
				e.streams, e.nextAt, e.lastAt = append(e.streams, e.streams...), append(e.nextAt, e.nextAt...), append(e.lastAt, e.lastAt...)
			}
		}
		f.run(4 * time.Second)
		worst, unknown := f.worstError()
		assert.Assert(t, worst < maxSpeedError && unknown == 0, "seed %d: ratio %.2f, %d unknown", seed, worst, unknown)
	}
}

// Load: 10 engines and 6 routers, one of which sends wrong reports. Guards against reports
// that are no speed, and against sample counts that outweigh all others.
func TestWrongReportsAreIgnored(t *testing.T) {
	for _, wrong := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-300, 1e300} {
		f := newFleetSim(1, 6, mixedSpeeds(10), 6, 3)
		f.report = func(i int, speed float64, samples int) (float64, int) {
			if i == 0 {
				return wrong, math.MaxInt
			}
			return speed, samples
		}
		f.run(5 * time.Second)
		worst, _ := f.worstError()
		assert.Assert(t, worst < maxSpeedError, "%v: ratio %.2f", wrong, worst)
		assert.Assert(t, !f.routers[1].MergeSpeed(f.now, testService, "e0", "r0", wrong, 5))
	}
	m := New(Config{PrefillTokensPerMS: 40})
	assert.Assert(t, !m.MergeSpeed(0, testService, "e0", "r0", 1, -1))
	for i := range 4 {
		m.MergeSpeed(0, testService, fmt.Sprint("e", i), "r1", 1, ringSize)
	}
	m.MergeSpeed(0, testService, "e0", "r2", 1, ringSize)
	m.MergeSpeed(0, testService, "e0", "r0", 0.1, math.MaxInt)
	speed, _ := m.Speed(0, "e0")
	assert.Assert(t, speed > 0.4, "one of three routers outweighs the others: %.2f", speed)
}

// Guards against estimates that stay after their source has gone, and against memory that
// grows with endpoints, routers, routes and teams.
func TestEstimatesExpireAndMemoryIsBounded(t *testing.T) {
	m := New(Config{PrefillTokensPerMS: 40})
	for i := range 5 {
		m.MergeSpeed(0, testService, fmt.Sprint("e", i), "r", []float64{0.5, 1, 1, 1, 1}[i], 20)
	}
	speed, samples := m.Speed(0, "e0")
	assert.Assert(t, math.Abs(speed-0.5) < 0.01 && samples == 20, "%v, %d", speed, samples)
	speed, samples = m.Speed(reportLifetime+time.Millisecond, "e0")
	assert.Equal(t, speed, 1.0)
	assert.Equal(t, samples, 0)
	now := 2 * reportLifetime
	for range 20 {
		now += sampleInterval
		m.ObserveEventGap(now, testService, "e0", 40*time.Millisecond, 4, 1)
	}
	_, samples = m.OwnSpeed(now, "e0")
	assert.Equal(t, samples, 20)
	_, samples = m.OwnSpeed(now+sampleLifetime+time.Millisecond, "e0")
	assert.Equal(t, samples, 0)
	for i := range 2 * maxEndpoints {
		id := fmt.Sprint("x", i)
		m.MergeSpeed(0, fmt.Sprint("s", i), id, "r", 1, 1)
		m.ObserveFirstEvent(id, 0, 1)
		if i < 2*maxTeams {
			m.ObserveOutput(RequestInfo{Route: id, Team: id, Service: id}, 10, true)
		}
	}
	assert.Assert(t, len(m.endpoints) <= maxEndpoints && len(m.services) <= maxServices && len(m.errors) <= maxRoutes)
	assert.Equal(t, len(m.outputs), maxTeams+maxRoutes+maxServices)
	m.Forget(func(id string) bool { return id == "e1" })
	assert.Equal(t, len(m.endpoints), 1)
	assert.Equal(t, len(m.services), 1)
}

// An event may cost well under a microsecond: the smallest routers have 0.144 processors for
// some thousand events a second.
func BenchmarkObserveEventGap(b *testing.B) {
	m := New(Config{PrefillTokensPerMS: 40, RunningRequestShare: 0.03})
	ids := make([]string, 100)
	for i := range ids {
		ids[i] = fmt.Sprint("endpoint-", i)
	}
	for i := range b.N {
		now := time.Duration(i) * 300 * time.Microsecond
		m.ObserveEventGap(now, testService, ids[i%len(ids)], 40*time.Millisecond, 4, 6)
		m.Speed(now, ids[i%len(ids)])
	}
}
