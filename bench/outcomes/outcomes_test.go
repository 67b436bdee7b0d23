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
const ciSchedules = 20

// schedules returns ARBUTUS_SCHEDULES, or the default.
func schedules(t *testing.T, fallback int) int {
	text := os.Getenv("ARBUTUS_SCHEDULES")
	if text == "" {
		return fallback
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
				v := arg.Vals[0]
				var err error
				switch arg.Key {
				case "until":
					until, err = time.ParseDuration(v)
				case "retention":
					cfg.Ledger.Retention, err = time.ParseDuration(v)
				case "segment":
					cfg.Ledger.SegmentBytes, err = strconv.Atoi(v)
				case "seed":
					cfg.Seed, err = strconv.ParseUint(v, 10, 64)
				case "spill":
					cfg.Spill, err = strconv.ParseFloat(v, 64)
				case "forwarding":
					cfg.NoForwarding = v == "off"
				default:
					t.Fatalf("argument %s is not known", arg.Key)
				}
				assert.NilError(t, err)
			}
			out, err := RunScript(cfg, d.Input, until)
			assert.NilError(t, err)
			return out
		})
	})
}

// TestRandomSchedules guards all invariants against random failures, together
// and twice. A failure is shrunk by rapid.
func TestRandomSchedules(t *testing.T) {
	checks := schedules(t, ciSchedules)
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		assert.NilError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		s := RandomSchedule(seed, draw, AllKinds, 10)
		cfg := Config{NoForwarding: draw(4) == 0, Ledger: ledger.Config{SegmentBytes: 2000 << draw(7)}}
		if v, _ := s.Run(cfg); len(v) > 0 {
			t.Fatalf("seed %d, faults %v: %v", seed, s.Faults, v[:min(4, len(v))])
		}
	})
}

// TestCheckerCatchesFaults guards the checker: each deliberate fault of the
// program must be reported as the invariant that it breaks.
func TestCheckerCatchesFaults(t *testing.T) {
	for _, c := range []struct {
		fault     Fault
		invariant string
		kinds     []FaultKind
	}{
		{FaultBlindRetry, "I6", []FaultKind{KillAgent, FreezeAgent}},
		{FaultDropEvent, "I2", []FaultKind{KillEngine}},
		{FaultEarlyNotRun, "I6", []FaultKind{KillRouter}},
		{FaultAmbiguousBlind, "I6", []FaultKind{StoreLost, FreezeRouter}},
		{FaultAcceptCrossed, "I4", []FaultKind{CrossedAnswers}},
		{FaultSharedNamespace, "I1", []FaultKind{KillEngine}},
		{FaultSlowRestart, "I3", []FaultKind{KillRouter}},
		{FaultAbruptShutdown, "I8", []FaultKind{StopRouter, StopAgent}},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			assert.Assert(t, caught(c.fault, c.invariant, c.kinds), "no schedule showed a breach of %s", c.invariant)
		})
	}
}

func caught(fault Fault, invariant string, kinds []FaultKind) bool {
	const tries = 40
	for seed := range uint64(tries) {
		s := RandomSchedule(seed, rand.New(rand.NewPCG(seed, 1)).IntN, kinds, 8)
		v, _ := s.Run(Config{Fault: fault})
		for _, x := range v {
			if x.Invariant == invariant {
				return true
			}
		}
	}
	return false
}
