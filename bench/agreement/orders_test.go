package agreement

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawOrderOptions returns random options, always the same for a seed.
func drawOrderOptions(seed int) OrderOptions {
	rng := rand.New(rand.NewPCG(uint64(seed), 2))
	return rapid.Custom(func(t *rapid.T) OrderOptions {
		o := OrderOptions{
			Seed: uint64(seed), Routers: 2 + rng.IntN(3), Engines: 4 + rng.IntN(8),
			MaxConcurrentLoads: 1 + rng.IntN(3), MinServingPercent: []int{50, 60, 75}[rng.IntN(3)],
			MinLoadTime: []time.Duration{900 * time.Millisecond, 15 * time.Second}[rng.IntN(2)],
		}
		for _, kind := range rapid.SliceOfN(rapid.SampledFrom(OrderStepKinds), 4, 16).Draw(t, "kinds") {
			o.Steps = append(o.Steps, OrderStep{
				Kind: kind, Target: rng.IntN(100), DurationFraction: rng.Float64(), DelayToNext: time.Duration(rng.IntN(8000)) * time.Millisecond,
			})
		}
		return o
	}).Example(seed)
}

// Guards against an engine that accepts orders of two lease holders alternately,
// against more concurrent loads than the weight store can serve, and against fewer
// serving engines than the minimum, while holders pause past the end of their lease
// and responses are lost.
func TestOrdersUnderFaults(t *testing.T) {
	eachSeed(t, seedCount(200), func(t *testing.T, seed int) {
		o := drawOrderOptions(seed)
		v := RunOrders(o)
		assert.Equal(t, len(v), 0, "seed %d: %+v\n%s", seed, o, strings.Join(v, "\n"))
	})
}

// Guards against a rollout that continues after an engine crashed on the new
// version.
func TestRolloutHaltsOnFailure(t *testing.T) {
	eachSeed(t, seedCount(40), func(t *testing.T, seed int) {
		v := RunOrders(crashOptions(seed))
		assert.Equal(t, len(v), 0, "seed %d:\n%s", seed, strings.Join(v, "\n"))
	})
}

func crashOptions(seed int) OrderOptions {
	return OrderOptions{Seed: uint64(seed), Routers: 2, Engines: 8, MaxConcurrentLoads: 2, MinServingPercent: 50, CrashOnNewVersion: true, MinLoadTime: time.Second}
}

// Guards against checks that detect nothing: each injected bug must be detected
// within 400 seeds.
func TestOrderBugsAreDetected(t *testing.T) {
	for _, bug := range []OrderBug{
		OrderBugNoFencing, OrderBugLoseRecords, OrderBugUnconditionalWrites, OrderBugIgnoreMinServing, OrderBugIgnoreLoadLimit, OrderBugHideEngineFailures,
	} {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := range 400 {
				o := drawOrderOptions(seed)
				if bug == OrderBugHideEngineFailures {
					o = crashOptions(seed)
				}
				if bug == OrderBugNoFencing {
					for range 3 {
						o.Steps = append(o.Steps, OrderStep{Kind: OrderStepDelayOrders, DurationFraction: 1, DelayToNext: time.Second},
							OrderStep{Kind: OrderStepChangeRule, DelayToNext: time.Second}, OrderStep{Kind: OrderStepPauseLeaseHolder, DurationFraction: 0.8, DelayToNext: 14 * time.Second})
					}
				}
				o.Bug = bug
				if v := RunOrders(o); len(v) > 0 {
					t.Logf("detected with seed %d: %s", seed, v[0])
					return
				}
			}
			t.Fatal("not detected")
		})
	}
}
