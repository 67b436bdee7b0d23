package outcomes

import (
	"flag"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutusline/arbutusline/decision/ledger"
)

// defaultScheduleCount keeps the package's tests under a minute with the race detector.
const defaultScheduleCount = 20

// scheduleCount returns the value of ARBUTUS_SCHEDULES, or defaultCount.
func scheduleCount(t *testing.T, defaultCount int) int {
	text := os.Getenv("ARBUTUS_SCHEDULES")
	if text == "" {
		return defaultCount
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// Guards against wrong outcomes after single failures, and after the
// combinations of failures that the scenarios in testdata describe.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			cfg := Config{Seed: 1, Partitions: 1}
			until := 30 * time.Second
			for _, arg := range d.CmdArgs {
				value := arg.Vals[0]
				var err error
				switch arg.Key {
				case "until":
					until, err = time.ParseDuration(value)
				case "retention":
					cfg.Ledger.Retention, err = time.ParseDuration(value)
				case "segment":
					cfg.Ledger.SegmentBytes, err = strconv.Atoi(value)
				case "seed":
					cfg.Seed, err = strconv.ParseUint(value, 10, 64)
				case "spill":
					cfg.RandomPlacementShare, err = strconv.ParseFloat(value, 64)
				case "forwarding":
					cfg.NoForwarding = value == "off"
				default:
					t.Fatalf("unknown argument %s", arg.Key)
				}
				assert.NilError(t, err)
			}
			out, err := RunScenario(cfg, d.Input, until)
			assert.NilError(t, err)
			return out
		})
	})
}

// Guards against violations of the invariants when random faults overlap and repeat.
// rapid shrinks a failing schedule.
func TestRandomSchedules(t *testing.T) {
	checks := scheduleCount(t, defaultScheduleCount)
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		assert.NilError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		intN := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		s := RandomSchedule(seed, intN, AllFaultKinds, 10)
		cfg := Config{NoForwarding: intN(4) == 0, Ledger: ledger.Config{SegmentBytes: 2000 << intN(7)}}
		if v, _ := s.Run(cfg); len(v) > 0 {
			t.Fatalf("seed %d, faults %v: %v", seed, s.Faults, v[:min(4, len(v))])
		}
	})
}

// Guards against checks that pass although the code is wrong: each deliberate bug must
// be reported as a violation of its invariant.
func TestCheckerDetectsBugs(t *testing.T) {
	for _, c := range []struct {
		bug       Bug
		invariant string
		kinds     []FaultKind
	}{
		{BugRetryWithoutResolve, invariantAtMostOnce, []FaultKind{KillAgent, PauseAgent}},
		{BugDropOutput, invariantCompleteOutput, []FaultKind{CrashEngine}},
		{BugNotRunWithoutFence, invariantAtMostOnce, []FaultKind{KillRouter}},
		{BugOverwriteAfterAmbiguousWrite, invariantAtMostOnce, []FaultKind{LoseStoreResponses, PauseRouter}},
		{BugAcceptMisdelivered, invariantOwnOutput, []FaultKind{MisdeliveredEvents}},
		{BugSharedCacheNamespace, invariantCacheIsolation, []FaultKind{CrashEngine}},
		{BugSlowRestart, invariantFastRestart, []FaultKind{KillRouter}},
		{BugAbruptShutdown, invariantGracefulStop, []FaultKind{StopRouter, StopAgent}},
	} {
		t.Run(string(c.bug), func(t *testing.T) {
			assert.Assert(t, findsViolation(c.bug, c.invariant, c.kinds), "no schedule showed a violation of %s", c.invariant)
		})
	}
}

// findsViolation reports whether a random schedule shows a violation of the invariant in
// code that has the bug.
func findsViolation(bug Bug, invariant string, kinds []FaultKind) bool {
	const seedCount = 40
	for seed := range uint64(seedCount) {
		s := RandomSchedule(seed, rand.New(rand.NewPCG(seed, 1)).IntN, kinds, 8)
		violations, _ := s.Run(Config{Bug: bug})
		for _, violation := range violations {
			if violation.Invariant == invariant {
				return true
			}
		}
	}
	return false
}
