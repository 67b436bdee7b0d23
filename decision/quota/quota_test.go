package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const s = time.Second

// usualRates are those of a usual and of a large team, in tokens per second.
var usualRates = []float64{79_000, 250_000}

// seeds returns the number of seeds of each scenario. ARBUTUS_QUOTA_SEEDS sets it.
func seeds(t *testing.T) uint64 {
	text := os.Getenv("ARBUTUS_QUOTA_SEEDS")
	if text == "" {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 16)
	assert.NilError(t, err)
	return n
}

// check runs a scenario with some seeds and checks the hard bound.
func check(t *testing.T, c scenario, each func(t *testing.T, o outcome)) {
	t.Helper()
	if c.routers, c.duration = 25, max(c.duration, 35*s); c.size == nil {
		c.size = mixedSize
	}
	t.Run(c.name, func(t *testing.T) {
		t.Parallel()
		for seed := range seeds(t) {
			o := c.run(seed)
			t.Logf("seed %d: %v", seed, o)
			assert.Check(t, o.worst <= 1, "seed %d: the bound does not hold", seed)
			each(t, o)
		}
	})
}

// oneRouter gives all load to one router, a new one every five seconds.
func oneRouter(i int, now time.Duration) float64 {
	if i == int(now/(5*s))%25 {
		return 1
	}
	return 0
}

// third is true for routers on two sides of a partition of 12 s.
func third(a, b int, now time.Duration) bool { return now > 12*s && now < 24*s && (a < 8) != (b < 8) }

// Guards against refusals of teams that stay below their quota, because a router takes the rest of
// the traffic for more than it is or its own share for its limit.
func TestTrafficBelowTheQuotaIsAdmitted(t *testing.T) {
	for _, usual := range usualRates {
		l := limitFor(usual)
		for name, weight := range map[string]func(int, time.Duration) float64{"even": even, "skewed": skewed, "one router": oneRouter} {
			for _, loss := range []float64{0, 0.3} {
				c := scenario{name: fmt.Sprintf("%s, usual %.0f, loss %.1f", name, usual, loss), limit: fixed(l), load: constant(usual), weight: weight, loss: loss}
				check(t, c, func(t *testing.T, o outcome) {
					assert.Equal(t, o.oracle, o.asked, "the load is not below the quota")
					assert.Equal(t, o.refused, 0.0)
				})
			}
		}
	}
}

// Guards against routers that together admit more than the bound allows, and against routers that
// refuse much of what the quota allows while demand exceeds it: when a team rises to seven times its
// usual rate, alone or while routers cannot reach each other, restart, or get a lower quota.
func TestBoundHolds(t *testing.T) {
	for _, usual := range usualRates {
		l := limitFor(usual)
		rises, late := hot(usual, 7, 12*s, 30*s), hot(usual, 7, 12500*time.Millisecond, 30*s)
		down := func(routers int) func(int, time.Duration) bool {
			return func(i int, now time.Duration) bool { return i < routers && now > 14*s && now < 15*s }
		}
		for _, c := range []scenario{
			{name: "even", load: rises, weight: even},
			{name: "skewed", load: rises, weight: skewed},
			{name: "one router", load: rises, weight: func(i int, now time.Duration) float64 {
				if now < 12*s || i == 3 {
					return 1
				}
				return .01
			}},
			{name: "lost messages", load: rises, weight: even, loss: 0.3},
			{name: "partition at the same time", load: rises, weight: even, apart: third},
			{name: "partition before", load: hot(usual, 7, 15*s, 30*s), weight: skewed, apart: third},
			{name: "third of the routers isolated", load: late, weight: even, apart: func(a, b int, now time.Duration) bool {
				return now > 12*s && now < 24*s && (a < 8 || b < 8)
			}},
			{name: "all restart", load: rises, weight: even, down: down(25)},
			{name: "a fifth restarts", load: rises, weight: even, down: down(5)},
			{name: "halved during a partition", load: rises, weight: even, apart: third, limit: func(now time.Duration) Limit {
				if now > 16*s {
					return Limit{l.Rate / 2, l.Burst / 2}
				}
				return l
			}},
		} {
			if c.name = fmt.Sprintf("%s, usual %.0f", c.name, usual); c.limit == nil {
				c.limit = fixed(l)
			}
			check(t, c, func(t *testing.T, o outcome) { assert.Check(t, o.admitted >= 0.9*o.oracle) })
		}
	}
}

// Guards against a team whose burst is smaller than its requests and that gets nothing, or much more
// than its rate, because each router admits one beyond the level.
func TestRequestsLargerThanTheBurst(t *testing.T) {
	c := scenario{name: "burst 15,000", limit: fixed(Limit{15_000, 15_000}), load: hot(8_300, 7, 12*s, 30*s), weight: even, duration: 60 * s, size: func(r *rand.Rand) float64 {
		if r.Float64() < 0.1 {
			return 57_000
		}
		return mixedSize(r)
	}}
	check(t, c, func(t *testing.T, o outcome) { assert.Check(t, o.largeAdmitted > 0) })
	l := New("a", 1)
	l.SetLimits(0, limitsOf(Limit{1, 1}))
	l.SetRouters(0, nil)
	l.Merge(2*s, "a", nil, nil)
	assert.Assert(t, l.Admit(2*s, "t", 57_000).Allowed)
	assert.Assert(t, !l.Admit(3*s, "t", 1).Allowed)
}

// started returns a limiter with another router, after its start.
func started(limit Limit) *Limiter {
	l := New("a", 1)
	l.SetLimits(0, limitsOf(limit))
	l.SetRouters(0, []string{"b"})
	l.Merge(2*s, "b", nil, nil)
	l.States(2 * s)
	return l
}

// Guards against callers that wait for a quota that was raised, removed or given back, and against
// units of a former quota that count for the one that follows.
func TestChangedQuotaTakesEffectAtOnce(t *testing.T) {
	l := started(Limit{10, 10})
	for l.Admit(2*s, "t", 10).Allowed {
	}
	l.SetLimits(2*s, limitsOf(Limit{20, 20}))
	assert.Assert(t, l.Admit(2*s, "t", 15).Allowed, "raised")
	l.SetLimits(2*s, limitsOf(Limit{2, 2}))
	assert.Assert(t, !l.Admit(3*s, "t", 1).Allowed, "lowered")
	l.SetLimits(3*s, nil)
	d := l.Admit(3*s, "t", 1000)
	assert.Assert(t, d.Allowed && !d.Limited, "removed")
	uses, _ := l.Reports(3*s, 24)
	assert.Equal(t, len(uses), 0)
	l.SetLimits(4*s, limitsOf(Limit{2, 2}))
	assert.Assert(t, l.Admit(4*s, "t", 1).Allowed, "back")
}

// Guards against units that were refunded and stay counted, here and at other routers.
func TestRefundedUnitsAreFree(t *testing.T) {
	l := started(Limit{10, 10})
	assert.Assert(t, l.Admit(2*s, "t", 100).Allowed)
	assert.Assert(t, !l.Admit(3*s, "t", 1).Allowed)
	l.Refund(3*s, "t", 100)
	d := l.Admit(3*s, "t", 1)
	assert.Assert(t, d.Allowed, "level %v", d.Level)
	uses, _ := l.Reports(3*s, 24)
	assert.Equal(t, uses[0].Admitted, 1.0)
}

// Guards against a report that makes sums infinite, blocks a team or grows the state: odd figures,
// routers and teams that are not known, and the router's own name.
func TestOddReportsAreIgnored(t *testing.T) {
	l := started(Limit{10, 10})
	for i, u := range []Use{
		{Team: "t", Router: "b", Admitted: math.NaN()}, {Team: "t", Router: "b", Admitted: math.Inf(1)},
		{Team: "t", Router: "b", Admitted: -1}, {Team: "t", Router: "b", DemandRate: math.NaN()}, {Team: "t", Router: "b", DemandRate: 1e300},
		{Team: "x", Router: "b", Admitted: 100}, {Team: "t", Router: "x", Admitted: 100}, {Team: "t", Router: "a", Admitted: 100},
	} {
		u.Incarnation, u.Sequence, u.Age = 5, uint64(i), -time.Hour
		l.Merge(3*s, "b", []Use{u}, []Level{{"t", math.NaN()}, {"x", -100}})
	}
	assert.Equal(t, l.States(3 * s)["t"].Level, 10.0)
	assert.Equal(t, len(l.teams)+len(l.routers), 2)
}

// BenchmarkAdmit measures a request and a message of each team at one of 25 routers.
func BenchmarkAdmit(b *testing.B) {
	l, limits, others := New("a", 1), map[string]Limit{}, []string{}
	for i := range 16 {
		limits[fmt.Sprint(i)] = Limit{1000, 1000}
		others = append(others, routerName(i), routerName(i+16))
	}
	l.SetLimits(0, limits)
	l.SetRouters(0, others[:24])
	now := time.Duration(0)
	b.Run("admit", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			now += time.Millisecond
			l.Admit(now, fmt.Sprint(i%16), 5)
		}
	})
	b.Run("message", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			now += 10 * time.Millisecond
			uses, levels := l.Reports(now, 24)
			from := others[i%24]
			for j := range uses {
				uses[j].Router = from
			}
			l.Merge(now, from, uses, levels)
		}
	})
}
