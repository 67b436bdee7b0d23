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

// ciSchedules keeps the package under a minute with the race detector.
const defaultScheduleCount = 20

// schedules returns ARBUTUS_SCHEDULES, or the default.
func scheduleCount(t *testing.T, defaultCount int) int {
	text := os.Getenv("ARBUTUS_SCHEDULES")
	if text == "" {
		return defaultCount
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// TestScenarios guards each kind of failure with one script.
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
					t.Fatalf("argument %s is not known", arg.Key)
				}
				assert.NilError(t, err)
			}
			out, err := RunScenario(cfg, d.Input, until)
			assert.NilError(t, err)
			return out
		})
	})
}

// TestRandomSchedules guards all invariants against random failures, together
// and twice. A failure is shrunk by rapid.
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

// TestCheckerCatchesFaults guards the checker: each deliberate fault of the
// program must be reported as the invariant that it breaks.
func TestCheckerDetectsBugs(t *testing.T) {
	for _, c := range []struct {
		bug       Bug
		invariant string
		kinds     []FaultKind
	}{
		{BugRetryWithoutResolve, "I6", []FaultKind{KillAgent, FreezeAgent}},
		{BugDropOutput, "I2", []FaultKind{CrashEngine}},
		{BugNotRunWithoutFence, "I6", []FaultKind{KillRouter}},
		{BugOverwriteAfterAmbiguousWrite, "I6", []FaultKind{StoreLostAnswers, FreezeRouter}},
		{BugAcceptMisdelivered, "I4", []FaultKind{MisdeliveredEvents}},
		{BugSharedCacheNamespace, "I1", []FaultKind{CrashEngine}},
		{BugSlowRestart, "I3", []FaultKind{KillRouter}},
		{BugAbruptShutdown, "I8", []FaultKind{StopRouter, StopAgent}},
	} {
		t.Run(string(c.bug), func(t *testing.T) {
			assert.Assert(t, findsViolation(c.bug, c.invariant, c.kinds), "no schedule showed a breach of %s", c.invariant)
		})
	}
}

func findsViolation(bug Bug, invariant string, kinds []FaultKind) bool {
	const tries = 40
	for seed := range uint64(tries) {
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
