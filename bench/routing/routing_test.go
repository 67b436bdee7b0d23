package routing

import (
	"os"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

func find(t *testing.T, name string) scenario {
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
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("ARBUTUS_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return 2
}

// Figures that differ between runs of a seed can't be compared.
func TestSameSeedGivesSameFigures(t *testing.T) {
	d := &deployments()[1]
	sc := find(t, "engine-restarts")
	c := caseConfig{scenario: sc, policy: oursPolicy, seed: 3, capacity: 1}
	a, b := newSim(d, c).run().result(d, c), newSim(d, c).run().result(d, c)
	assert.DeepEqual(t, a, b)
}

// Guards the bounds against the oracle in scenarios that meet them, on the mean
// over seeds as the verdict does.
func TestOursIsNearTheOracle(t *testing.T) {
	d := &deployments()[1]
	for _, name := range []string{"steady"} {
		j := judgement{d: d, sc: find(t, name)}
		for seed := range uint64(seeds()) {
			c := caseConfig{scenario: j.sc, seed: seed + 1, capacity: d.rate}
			for i, p := range []policyKind{oursPolicy, oraclePolicy(oracleModels[0])} {
				c.policy = p
				r := newSim(d, c).run().result(d, c)
				r.Model = i
				j.list = append(j.list, r)
			}
		}
		j.own, _ = mean(j.list, "ours", 0)
		j.againstOracle()
		assert.Equal(t, len(j.missed), 0, "%v", j.missed)
	}
}

// An endpoint that was handed over must get no new work three seconds after the
// rules were accepted.
func TestHandoverStopsTraffic(t *testing.T) {
	d := &deployments()[0]
	s := newSim(d, caseConfig{scenario: find(t, "handover"), policy: oursPolicy, seed: 1, capacity: d.rate})
	late := 0
	s.admitted = func(team, endpoint int) {
		if s.now > faultAt+3e9 && !s.allowed(team, endpoint) {
			late++
		}
	}
	s.run()
	assert.Equal(t, late, 0)
}

// A verdict that passes although a bound is missed, or although a scenario was
// not played, hides a regression.
func TestJudgeReportsMissedBounds(t *testing.T) {
	// play returns results of all cases; change applies to one policy in one
	// scenario of each deployment.
	play := func(policy string, change func(*result)) []result {
		var list []result
		for _, d := range deployments() {
			for _, sc := range scenarios() {
				for _, p := range []string{"ours", "oracle", "random"} {
					r := result{Deployment: d.name, Scenario: sc.name, Policy: p, HitRate: 0.8, TTFTP99: 400, GoodputRatio: 1, SmallP99: 400}
					switch p {
					case "oracle":
						r.Model = 1
					case "random":
						r.HitRate, r.TTFTP99 = 0.5, 600
					}
					if p == policy && sc.name == "overload" && d.name == "kaayal" {
						change(&r)
					}
					list = append(list, r)
				}
			}
		}
		return list
	}
	all := play("", nil)
	assert.Equal(t, len(judge(all)), 0)
	for _, change := range []func(*result){
		func(r *result) { r.Policy = "lost" },
		func(r *result) { r.HitRate = 0.7 },
		func(r *result) { r.RecomputeRatio = 0.1 },
		func(r *result) { r.TTFTP99 = 501 },
		func(r *result) { r.GoodputRatio = 0.94 },
		func(r *result) { r.SmallP99 = 521 },
	} {
		missed := judge(play("ours", change))
		assert.Equal(t, len(missed), 1, "%v", missed)
	}
	missed := judge(play("random", func(r *result) { r.HitRate = 0.81 }))
	assert.Equal(t, len(missed), 1, "%v", missed)
	missed = judge(play("oracle", func(r *result) { r.Policy = "lost" }))
	assert.Equal(t, len(missed), 1, "%v", missed)
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
