package throttle

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTable(self string, others ...string) *Table {
	t := New()
	t.SetRouters(self, others)
	return t
}

// Guards against a limit that ends, or grows, with the response to a request that the
// endpoint got before it stated the limit, and against one that never ends.
func TestOnlyLaterRequestsLoosenALimit(t *testing.T) {
	table := newTable("a")
	change, changed := table.ObserveResponse(10*time.Second, 9*time.Second, "e", 2)
	assert.Assert(t, changed)
	assert.Equal(t, change, Change{0, 2})
	for _, rate := range []float64{0, 5} {
		_, changed = table.ObserveResponse(11*time.Second, 9500*time.Millisecond, "e", rate)
		assert.Assert(t, !changed, "rate %v", rate)
	}
	_, changed = table.ObserveResponse(12*time.Second, 9500*time.Millisecond, "e", 1)
	assert.Assert(t, changed)
	_, changed = table.ObserveResponse(13*time.Second, 12500*time.Millisecond, "e", 0)
	assert.Assert(t, changed)
	assert.Equal(t, table.ReadyIn(13*time.Second, "e"), time.Duration(0))
}

// Guards against stated values that are no rates.
func TestOddRatesLimitNothingForEver(t *testing.T) {
	for _, rate := range []float64{-1, math.Inf(1), math.NaN(), 1e300, 1e-300} {
		table := newTable("a", "b")
		table.ObserveResponse(0, 0, "e", rate)
		ready := false
		for now := time.Duration(0); now < time.Minute && !ready; now += 100 * time.Millisecond {
			ready = table.ReadyIn(now, "e") == 0
		}
		assert.Check(t, ready, "rate %v", rate)
		table.Merge(0, []Report{{Endpoint: "f", Version: 1, Rate: rate}})
		assert.Check(t, table.ReadyIn(0, "f") >= 0, "rate %v", rate)
	}
}

// Guards against requests to an endpoint that asked this router to pause, and against a
// later, shorter pause that shortens the first.
func TestPauseHoldsToItsEnd(t *testing.T) {
	table := newTable("a")
	table.ObservePause(time.Second, "e", 4*time.Second)
	table.ObservePause(2*time.Second, "e", time.Second)
	assert.Equal(t, table.ReadyIn(2*time.Second, "e"), 3*time.Second)
	assert.Equal(t, table.Paused(2*time.Second, "e"), 3*time.Second)
	assert.Equal(t, table.ReadyIn(2*time.Second, "f"), time.Duration(0))
	assert.Equal(t, table.ReadyIn(5*time.Second, "e"), time.Duration(0))
	assert.Equal(t, len(table.Pending(2*time.Second, 10)), 0)
}

// Guards against an endpoint that no router uses any more because its members have ended or
// have no callers.
func TestMembershipMovesOnFromSilentRouters(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	ready := map[string]bool{}
	for i, name := range names {
		table := newTable(name, append(append([]string{}, names[:i]...), names[i+1:]...)...)
		table.Merge(0, []Report{{Endpoint: "x", Version: 1, Rate: 1}})
		for now := time.Duration(0); now < 3*staleAfter; now += 100 * time.Millisecond {
			ready[name] = ready[name] || table.ReadyIn(now, "x") == 0
		}
	}
	assert.Equal(t, len(ready), len(names))
	for name, ok := range ready {
		assert.Check(t, ok, name)
	}
}

// Guards against limits that some routers do not hear of, or that live on in messages
// after they have ended.
func TestLimitsSpreadAndEnd(t *testing.T) {
	const routers = 68
	s := &simulation{T: t, random: rand.New(rand.NewPCG(1, 2)), simScenario: simScenario{
		duration: 12 * time.Second, wantsAt: eager, limitAt: func(now time.Duration) float64 {
			if now < 6*time.Second {
				return 2
			}
			return 0
		},
	}}
	s.run(routers)
	for _, r := range s.routers {
		assert.Check(t, r.table.entry("endpoint").version > 0, "%s never knew of the limit", r.name)
		assert.Check(t, r.table.entry("endpoint").rate == 0, "%s still applies the limit", r.name)
	}
	for _, r := range s.routers {
		assert.Equal(t, len(r.table.Pending(s.duration+reportEnded+6*time.Second, 10)), 0)
	}
}

// Guards against refused callers who all return for the same token, or later than their
// time allows.
func TestRefusedCallersTakeTurns(t *testing.T) {
	table := newTable("a")
	var last time.Duration
	for i := range 5 {
		got := table.RetryAfter(0, 300*time.Millisecond, 2, 2*time.Second)
		assert.Check(t, got > last || got == 2*time.Second, "caller %d: %v after %v", i, got, last)
		last = got
	}
	assert.Equal(t, last, 2*time.Second)
}
