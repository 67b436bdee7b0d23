package routing

import (
	"os"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

func findScenario(t *testing.T, name string) scenario {
	t.Helper()
	for _, sc := range scenarios() {
		if sc.name == name {
			return sc
		}
	}
	t.Fatalf("no scenario %q", name)
	return scenario{}
}

// seeds returns how many seeds to play; the soak sets more.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("ARBUTUS_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return 2
}

// Figures that differ between runs of a seed can't be compared.
func TestSameSeedGivesSameFigures(t *testing.T) {
	d := &deployments()[1]
	sc := findScenario(t, "engine-restarts")
	cfg := simConfig{scenario: sc, policy: placementPolicy, seed: 3, capacityRPS: 1}
	a, b := newSim(d, cfg).run().result(d, cfg), newSim(d, cfg).run().result(d, cfg)
	assert.DeepEqual(t, a, b)
}

// Guards the bounds against the oracle in scenarios that meet them, on the mean
// over seeds as the verdict does.
func TestPlacementMeetsOracleBounds(t *testing.T) {
	d := &deployments()[1]
	for _, name := range []string{"steady"} {
		check := boundsCheck{deployment: d, scenario: findScenario(t, name)}
		for seed := range uint64(seedCount()) {
			cfg := simConfig{scenario: check.scenario, seed: seed + 1, capacityRPS: d.steadyRPS}
			for i, factory := range []policyFactory{placementPolicy, oraclePolicy(oracleCostModels[0])} {
				cfg.policy = factory
				r := newSim(d, cfg).run().result(d, cfg)
				r.OracleModel = i
				check.results = append(check.results, r)
			}
		}
		check.ours, _ = meanResult(check.results, "ours", 0)
		check.checkAgainstOracle()
		assert.Equal(t, len(check.violations), 0, "%v", check.violations)
	}
}

// An endpoint that was handed over must get no new work three seconds after the
// rules were accepted.
func TestTransferredEndpointGetsNoNewAttempts(t *testing.T) {
	d := &deployments()[0]
	s := newSim(d, simConfig{scenario: findScenario(t, "handover"), policy: placementPolicy, seed: 1, capacityRPS: d.steadyRPS})
	lateAdmissions := 0
	s.onAdmitted = func(team, endpoint int) {
		if s.now > faultAt+3e9 && !s.allowed(team, endpoint) {
			lateAdmissions++
		}
	}
	s.run()
	assert.Equal(t, lateAdmissions, 0)
}

// A verdict that passes although a bound is missed, or although a scenario was
// not played, hides a regression.
func TestCheckBoundsReportsViolations(t *testing.T) {
	// play returns results of all cases; change applies to one policy in one
	// scenario of each deployment.
	newResults := func(modifiedPolicy string, modify func(*result)) []result {
		var results []result
		for _, d := range deployments() {
			for _, sc := range scenarios() {
				for _, policyLabel := range []string{"ours", "oracle", "random"} {
					r := result{Deployment: d.name, Scenario: sc.name, Policy: policyLabel, HitRate: 0.8, TTFTP99: 400, GoodputRatio: 1, SmallTeamsTTFTP99: 400}
					switch policyLabel {
					case "oracle":
						r.OracleModel = 1
					case "random":
						r.HitRate, r.TTFTP99 = 0.5, 600
					}
					if policyLabel == modifiedPolicy && sc.name == "overload" && d.name == "kaayal" {
						modify(&r)
					}
					results = append(results, r)
				}
			}
		}
		return results
	}
	results := newResults("", nil)
	assert.Equal(t, len(checkBounds(results)), 0)
	for _, modify := range []func(*result){
		func(r *result) { r.Policy = "lost" },
		func(r *result) { r.HitRate = 0.7 },
		func(r *result) { r.RecomputeRatio = 0.1 },
		func(r *result) { r.TTFTP99 = 501 },
		func(r *result) { r.GoodputRatio = 0.94 },
		func(r *result) { r.SmallTeamsTTFTP99 = 521 },
	} {
		violations := checkBounds(newResults("ours", modify))
		assert.Equal(t, len(violations), 1, "%v", violations)
	}
	violations := checkBounds(newResults("random", func(r *result) { r.HitRate = 0.81 }))
	assert.Equal(t, len(violations), 1, "%v", violations)
	violations = checkBounds(newResults("oracle", func(r *result) { r.Policy = "lost" }))
	assert.Equal(t, len(violations), 1, "%v", violations)
}

// Each request is refused a few times on its way, so the size of a refusal sets
// the control traffic of routing.
func TestRefusalIsSmall(t *testing.T) {
	size := proto.Size(&arbutuspb.RunEvent{
		AttemptId: "k3x9q2m1z8-1a2b3c/4",
		Event: &arbutuspb.RunEvent_Refused{Refused: &arbutuspb.Refused{
			Reason: "busier", CachedTokens: 2176, RetryAfterMs: 230,
		}},
		Load: &arbutuspb.LoadReport{
			Endpoint: "ledger-llm-17", AgentIncarnation: 1 << 60, EngineIncarnation: 1 << 60, WeightsVersion: "v7",
			RulesVersion: 5800, QueueMs: 230.5, Running: 71, Waiting: 9, PrefillMsPerToken: 0.113,
		},
	})
	t.Logf("a refusal takes %d bytes", size)
	assert.Assert(t, size <= 128, "%d bytes", size)
}
