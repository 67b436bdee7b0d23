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

// seedCount returns the number of seeds of a test: the default, or
// ARBUTUS_SCHEDULES if that is more.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("ARBUTUS_SCHEDULES")); err == nil && n > defaultCount {
		return n
	}
	return defaultCount
}

// drawSchedule returns a random schedule, always the same for a seed. The numbers
// come from a uniform source, because rapid prefers small ones, which make faults
// short.
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
				Kind: kind, Process: rng.IntN(100), Zone: rng.IntN(100), OtherZone: rng.IntN(100),
				DurationFraction: rng.Float64(), DelayToNext: time.Duration(rng.IntN(4000)) * time.Millisecond,
			})
		}
		return s
	}).Example(seed)
}

// Guards against lost or reverted rules (I9), against new requests at endpoints that
// leave or were assigned to another half, and against dead members that are listed
// as live again (I7), under random faults.
func TestRandomFaults(t *testing.T) {
	eachSeed(t, seedCount(48), func(t *testing.T, seed int) {
		s := drawSchedule(seed)
		v := s.Run()
		assert.Equal(t, len(v), 0, "seed %d: %+v\n%s", seed, s, strings.Join(v, "\n"))
	})
}

// Guards against a router that restarts with older rules because stale peers answer
// first during a store outage, and against a dead host that late messages make a
// live member again.
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

// Guards against a checker that detects nothing: each injected bug must be detected
// within 60 seeds.
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
					t.Logf("detected with seed %d: %s", seed, v[0])
					return
				}
			}
			t.Fatal("not detected")
		})
	}
}

// Guards against a benchmark that fails or writes no result or verdict at small
// cluster sizes.
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
