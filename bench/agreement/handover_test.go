package agreement

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func handoverOptions(seed int, bug Bug) Options {
	return Options{Seed: uint64(seed), Routers: 6, Agents: 6, Zones: 3, LossRate: 0.01, LateRate: 0.02, Bug: bug}
}

// Guards against an endpoint that still admits requests of its former half after a
// drain or a change of owner, because a router that was paused or isolated, or a
// late message, names an older version (I7).
func TestHandover(t *testing.T) {
	for _, change := range HandoverChanges {
		for _, fault := range HandoverFaults {
			t.Run(string(change)+"/"+string(fault), func(t *testing.T) {
				t.Parallel()
				for seed := range seedCount(6) {
					v := RunHandover(handoverOptions(seed, NoBug), change, fault)
					assert.Equal(t, len(v), 0, "seed %d:\n%s", seed, strings.Join(v, "\n"))
				}
			})
		}
	}
}

// Guards against scenarios that detect nothing: each injected bug must be detected in
// every scenario with the first seed.
func TestHandoverBugsAreDetected(t *testing.T) {
	for _, bug := range []Bug{BugTrustRequestVersion, BugAcceptOlderVersion} {
		for _, change := range HandoverChanges {
			for _, fault := range HandoverFaults {
				t.Run(string(bug)+"/"+string(change)+"/"+string(fault), func(t *testing.T) {
					t.Parallel()
					v := RunHandover(handoverOptions(0, bug), change, fault)
					// Violations without an invariant mean that the scenario
					// did not run as intended.
					caught := slices.ContainsFunc(v, func(m string) bool {
						return strings.Contains(m, "I7: agent-0 admitted a request of") || strings.Contains(m, "I9: agent-0 has version 2 active")
					})
					assert.Assert(t, caught, "not detected: %q", v)
				})
			}
		}
	}
}
