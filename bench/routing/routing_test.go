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

// seedCount returns the number of seeds to run. Soak tests set
// ARBUTUS_SCHEDULES to run more.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("ARBUTUS_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return 2
}

// Guards against nondeterminism: results that differ between runs of the same seed
// cannot be compared.
func TestSameSeedGivesSameFigures(t *testing.T) {
	d := &deployments()[1]
	sc := findScenario(t, "engine-restarts")
	cfg := simulationConfig{scenario: sc, policy: placementPolicy, seed: 3, capacityRPS: 1}
	a, b := newSimulation(d, cfg).run().result(d, cfg), newSimulation(d, cfg).run().result(d, cfg)
	assert.DeepEqual(t, a, b)
}

// Guards against placement that falls behind the oracle by more than the bounds allow,
// on the mean over seeds as in the verdict. Only scenarios that meet these bounds are
// listed.
func TestPlacementMeetsOracleBounds(t *testing.T) {
	d := &deployments()[1]
	for _, name := range []string{"steady"} {
		check := boundsCheck{deployment: d, scenario: findScenario(t, name)}
		for seed := range uint64(seedCount()) {
			cfg := simulationConfig{scenario: check.scenario, seed: seed + 1, capacityRPS: d.steadyRPS}
			for i, factory := range []policyFactory{placementPolicy, oraclePolicy(oracleCostModels[0])} {
				cfg.policy = factory
				r := newSimulation(d, cfg).run().result(d, cfg)
				r.OracleModel = i
				check.results = append(check.results, r)
			}
		}
		check.placementResult, _ = meanResult(check.results, "ours", 0)
		check.checkAgainstOracle()
		assert.Equal(t, len(check.violations), 0, "%v", check.violations)
	}
}

// Guards against attempts of the former half that are admitted more than 3 s after
// new rules gave an endpoint to the other half.
func TestTransferredEndpointGetsNoNewAttempts(t *testing.T) {
	d := &deployments()[0]
	s := newSimulation(d, simulationConfig{scenario: findScenario(t, "handover"), policy: placementPolicy, seed: 1, capacityRPS: d.steadyRPS})
	lateAdmissions := 0
	s.onAdmitted = func(team, endpoint int) {
		if s.now > faultAt+3e9 && !s.allowed(team, endpoint) {
			lateAdmissions++
		}
	}
	s.run()
	assert.Equal(t, lateAdmissions, 0)
}

// Guards against a verdict that passes although a bound is violated or a scenario was
// not run, which would hide a regression.
func TestCheckBoundsReportsViolations(t *testing.T) {
	// newResults returns results for all scenarios. modify changes the result of one
	// policy in the scenario "overload" of the deployment "kaayal".
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

// Guards against large refusals. A request may be refused several times before it is
// admitted, so the size of a refusal determines the control traffic of routing.
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
