package agreement

import (
	"bytes"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// seeds returns the number of seeds of a property, more when
// ARBUTUS_SCHEDULES is set.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("ARBUTUS_SCHEDULES")); err == nil && n > defaultCount {
		return n
	}
	return defaultCount
}

// drawSchedule draws a schedule; one seed always gives the same. The numbers
// come from a uniform source, because rapid prefers small ones, which make
// short faults.
func drawSchedule(seed int) Schedule {
	rng := rand.New(rand.NewPCG(uint64(seed), 1))
	return rapid.Custom(func(t *rapid.T) Schedule {
		s := Schedule{Options: Options{
			Seed: uint64(seed), Routers: 3 + rng.IntN(4), Agents: 3 + rng.IntN(6), Zones: 2 + rng.IntN(3),
			LossRate: 0.01, LateRate: 0.01,
		}}
		kinds := rapid.SliceOfN(rapid.SampledFrom(StepKinds), 6, 16).Draw(t, "kinds")
		for _, kind := range kinds {
			s.Steps = append(s.Steps, Step{
				Kind: kind, Node: rng.IntN(100), Zone: rng.IntN(100), OtherZone: rng.IntN(100),
				DurationFraction: rng.Float64(), DelayToNext: time.Duration(rng.IntN(4000)) * time.Millisecond,
			})
		}
		return s
	}).Example(seed)
}

// Guards against lost or reverted rules (I9), against work at endpoints that
// leave or were given away (I7) and against members that come back, under
// random faults.
func TestRandomFaults(t *testing.T) {
	eachSeed(t, seedCount(48), func(t *testing.T, seed int) {
		s := drawSchedule(seed)
		v := s.Run()
		assert.Equal(t, len(v), 0, "seed %d: %+v\n%s", seed, s, strings.Join(v, "\n"))
	})
}

// Guards against a restart that falls back to older rules because stale peers
// answer first while the store is out, and against a dead host that late
// messages bring back.
func TestStaleMessages(t *testing.T) {
	eachSeed(t, seedCount(20), func(t *testing.T, seed int) {
		o := Options{Seed: uint64(seed), Routers: 4, Agents: 8, Zones: 3, LateRate: 0.02}
		v := append(RestartAmongStalePeers(o), LateMessagesFromDeadHost(o)...)
		assert.Equal(t, len(v), 0, "seed %d:\n%s", seed, strings.Join(v, "\n"))
	})
}

// eachSeed runs f with the seeds below n, a few at a time.
func eachSeed(t *testing.T, n int, f func(t *testing.T, seed int)) {
	t.Helper()
	const workers = 4
	for w := range workers {
		t.Run(strconv.Itoa(w), func(t *testing.T) {
			t.Parallel()
			for seed := w; seed < n; seed += workers {
				f(t, seed)
			}
		})
	}
}

// Guards against a checker that finds nothing: each deliberate fault must be
// caught within a few seeds.
func TestBugsAreDetected(t *testing.T) {
	for _, bug := range []Bug{BugRevertRules, BugNoForwarding, BugForgetDeadMembers, BugUnannouncedLeave, BugNoFirstVersionDelay} {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := range 60 {
				s := drawSchedule(seed)
				s.Bug = bug
				v := s.Run()
				o := Options{Seed: uint64(seed), Routers: 4, Agents: 8, Zones: 3, LateRate: 0.02, Bug: bug}
				v = append(v, RestartAmongStalePeers(o)...)
				v = append(v, LateMessagesFromDeadHost(o)...)
				if len(v) > 0 {
					t.Logf("caught with seed %d: %s", seed, v[0])
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}

// Guards against a bench that fails or misses a bound at small sizes, where
// the time of the harness itself is negligible.
func TestBenchSmallSizes(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, RunSizes(&out, []int{8, 32}))
	assert.Assert(t, strings.Contains(out.String(), `"nodes":32`))
	assert.Assert(t, strings.Contains(out.String(), `"verdict":`))
}

// Runs all sizes when ARBUTUS_BENCH is set.
func TestBenchAllSizes(t *testing.T) {
	if os.Getenv("ARBUTUS_BENCH") == "" {
		t.Skip("ARBUTUS_BENCH is not set")
	}
	assert.NilError(t, Run(os.Stdout))
}
