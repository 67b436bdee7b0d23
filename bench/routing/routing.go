// Package routing benchmarks routing policies by simulation in virtual time. The
// decision code of routers and agents runs unchanged with simulated engines and fixed
// network delays. The same seed always gives identical results.
package routing

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// Command is the subcommand "routing" of arbutus-bench.
type Command struct {
	Seeds      int      `help:"Number of seeds." default:"3"`
	FirstSeed  uint64   `help:"First seed." default:"1"`
	Deployment []string `help:"Deployments to run; all when empty."`
	Scenario   []string `help:"Scenarios to run; all when empty."`
	Policy     []string `help:"Policies to run; all when empty. The verdict needs all of them."`
	Parallel   int      `help:"Maximum number of cases to run in parallel." default:"4"`
	Capacity   float64  `help:"Maximum goodput in requests per second; 0 to measure it."`
	Plain      bool     `help:"Do not tell routers the message boundaries of prompts."`
	Reasons    bool     `help:"Print the bounds that are violated."`
}

// Run runs the selected cases and writes one JSON line for each of them and one for
// the verdict.
func (c *Command) Run(out io.Writer) error {
	cases := c.cases()
	results := runAll(cases, max(1, min(c.Parallel, runtime.NumCPU())))
	enc := json.NewEncoder(out)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return fmt.Errorf("write results: %w", err)
		}
	}
	violations := checkBounds(results)
	if c.Reasons {
		for _, violation := range violations {
			fmt.Fprintln(out, violation)
		}
	}
	verdict := "pass"
	if len(violations) > 0 {
		verdict = "fail"
	}
	_, err := fmt.Fprintf(out, "{\"bench\":\"routing\",\"verdict\":%q}\n", verdict)
	return err
}

// selected reports whether a filter, which is empty to select all, selects a name.
func selected(want []string, name string) bool { return len(want) == 0 || slices.Contains(want, name) }

// benchmarkCase is a simulation whose result is reported.
type benchmarkCase struct {
	deployment *deployment
	config     simulationConfig
	// policyLabel replaces the policy's name in the report.
	policyLabel string
	// oracleModel is the position of the oracle's cost model in oracleCostModels,
	// from 1, and 0 for other policies.
	oracleModel int
}

// oracleCostModels lists the cost models of the oracle. Results are compared with
// the model that is best by the deployment's primary metric.
var oracleCostModels = []oracleCostModel{
	{prefillWeight: 1}, {prefillWeight: 1.5}, {prefillWeight: 2.5}, {prefillWeight: 4},
	{prefillWeight: 1.5, maxCostMS: 1500}, {prefillWeight: 2.5, maxCostMS: 1500}, {prefillWeight: 2.5, maxCostMS: 3000},
}

// otherWeightsLabel is the label of placementPolicy with the weights of the other
// deployment.
const otherWeightsLabel = "ours-other-weights"

func (c *Command) cases() []benchmarkCase {
	all := deployments()
	var list []benchmarkCase
	for i := range all {
		d, otherPlacementWeights := &all[i], all[1-i].placementWeights
		if !selected(c.Deployment, d.name) {
			continue
		}
		capacity := c.Capacity
		if capacity == 0 {
			capacity = measureCapacity(d)
		}
		for _, sc := range scenarios() {
			if !selected(c.Scenario, sc.name) {
				continue
			}
			for n := range c.Seeds {
				cfg := simulationConfig{scenario: sc, seed: c.FirstSeed + uint64(n), capacityRPS: capacity, omitBoundaries: c.Plain}
				add := func(factory policyFactory, label string, modify func(*benchmarkCase)) {
					if !selected(c.Policy, label) {
						return
					}
					bc := benchmarkCase{deployment: d, config: cfg, policyLabel: label}
					bc.config.policy = factory
					if modify != nil {
						modify(&bc)
					}
					list = append(list, bc)
				}
				for _, factory := range []policyFactory{randomPolicy, roundRobinPolicy, leastLoadedPolicy, prefixHashPolicy, placementPolicy} {
					add(factory, factory.name, nil)
				}
				add(placementPolicy, otherWeightsLabel, func(bc *benchmarkCase) { bc.config.placementWeightsOverride = &otherPlacementWeights })
				for i, m := range oracleCostModels {
					add(oraclePolicy(m), "oracle", func(bc *benchmarkCase) { bc.oracleModel = i + 1 })
				}
			}
		}
	}
	return list
}

// runAll runs the cases, up to parallel at once, and returns the results in the order
// of cases.
func runAll(cases []benchmarkCase, parallel int) []result {
	results := make([]result, len(cases))
	var wg sync.WaitGroup
	indexes := make(chan int)
	for range parallel {
		wg.Go(func() {
			for i := range indexes {
				bc := cases[i]
				r := newSimulation(bc.deployment, bc.config).run().result(bc.deployment, bc.config)
				r.Policy, r.OracleModel = bc.policyLabel, bc.oracleModel
				results[i] = r
			}
		})
	}
	for i := range cases {
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	return results
}

// measureCapacity returns the highest goodput in requests per second that the oracle
// reaches over a range of loads.
func measureCapacity(d *deployment) float64 {
	best := 0.0
	var cases []benchmarkCase
	for _, factor := range []float64{1.25, 1.5, 1.75, 2, 2.5} {
		scaled := *d
		scaled.steadyRPS *= factor
		for _, m := range oracleCostModels {
			cases = append(cases, benchmarkCase{deployment: &scaled, config: simulationConfig{scenario: scenario{name: "capacity"}, policy: oraclePolicy(m), seed: 1, capacityRPS: 1}})
		}
	}
	// GoodputRatio is the goodput itself, because capacityRPS is 1.
	for _, r := range runAll(cases, 4) {
		best = max(best, r.GoodputRatio)
	}
	return best
}

// groupKey identifies the results that are compared with each other.
type groupKey struct{ deployment, scenario string }

// Bounds that the project's target sets for placementPolicy.
const (
	// Bounds relative to the oracle.
	minHitRateFactor   = 0.95
	maxRecomputeFactor = 1.10
	recomputeTolerance = 0.005
	maxTTFTP99Factor   = 1.25
	// Bounds under overload. maxSmallTeamsP99Factor is relative to the scenario
	// "steady".
	minGoodputRatio        = 0.95
	maxSmallTeamsP99Factor = 1.3
)

// meanResult returns the mean of a policy's results over the seeds.
func meanResult(results []result, policy string, oracleModel int) (result, bool) {
	sum, n := result{}, 0.0
	for _, r := range results {
		if r.Policy != policy || r.OracleModel != oracleModel {
			continue
		}
		n++
		sum.HitRate += r.HitRate
		sum.RecomputeRatio += r.RecomputeRatio
		sum.TTFTP99 += r.TTFTP99
		sum.GoodputRatio += r.GoodputRatio
		sum.SmallTeamsTTFTP99 += r.SmallTeamsTTFTP99
	}
	if n == 0 {
		return result{}, false
	}
	sum.HitRate /= n
	sum.RecomputeRatio /= n
	sum.TTFTP99 /= n
	sum.GoodputRatio /= n
	sum.SmallTeamsTTFTP99 /= n
	sum.OracleModel = oracleModel
	return sum, true
}

// bestOracleResult returns the mean result of the oracle's cost model that is best by
// the deployment's primary metric.
func bestOracleResult(results []result, d *deployment) (result, bool) {
	var best result
	found := false
	for i := range oracleCostModels {
		r, ok := meanResult(results, "oracle", i+1)
		if !ok {
			continue
		}
		// If more than 1 % of the requests are refused, the p99 may equal the target
		// for several models. The hit rate then decides.
		tie := found && !betterByPrimaryMetric(d, best, r) && !betterByPrimaryMetric(d, r, best) && r.HitRate > best.HitRate
		if !found || tie || betterByPrimaryMetric(d, r, best) {
			best, found = r, true
		}
	}
	return best, found
}

// betterByPrimaryMetric reports whether a is better than b by the deployment's
// primary metric.
func betterByPrimaryMetric(d *deployment, a, b result) bool {
	if d.primary == primaryHitRate {
		return a.HitRate > b.HitRate
	}
	return a.TTFTP99 < b.TTFTP99
}

// checkBounds returns the bounds that the results violate. A scenario without results
// counts as a violation, so that a partial run never passes.
func checkBounds(results []result) []string {
	groups := map[groupKey][]result{}
	for _, r := range results {
		key := groupKey{r.Deployment, r.Scenario}
		groups[key] = append(groups[key], r)
	}
	var violations []string
	all := deployments()
	for i := range all {
		d := &all[i]
		steady, _ := meanResult(groups[groupKey{d.name, "steady"}], "ours", 0)
		for _, sc := range scenarios() {
			group := groups[groupKey{d.name, sc.name}]
			placementResult, ok := meanResult(group, "ours", 0)
			if !ok {
				violations = append(violations, d.name+" "+sc.name+" was not run")
				continue
			}
			check := boundsCheck{deployment: d, scenario: sc, placementResult: placementResult, results: group}
			check.checkAgainstOracle()
			check.checkAgainstOtherPolicies()
			if sc.overloaded {
				check.checkOverload(steady)
			}
			violations = append(violations, check.violations...)
		}
	}
	return violations
}

// boundsCheck checks the bounds in one scenario of one deployment.
type boundsCheck struct {
	deployment *deployment
	scenario   scenario
	// placementResult is the mean result of placementPolicy.
	placementResult result
	results         []result
	violations      []string
}

func (c *boundsCheck) require(ok bool, format string, args ...any) {
	if !ok {
		c.violations = append(c.violations, strings.Join([]string{c.deployment.name, c.scenario.name, fmt.Sprintf(format, args...)}, " "))
	}
}

func (c *boundsCheck) checkAgainstOracle() {
	best, ok := bestOracleResult(c.results, c.deployment)
	if !ok {
		c.require(false, "the oracle was not run")
		return
	}
	placementResult := c.placementResult
	c.require(placementResult.HitRate >= minHitRateFactor*best.HitRate, "hit rate %.4f, oracle %.4f", placementResult.HitRate, best.HitRate)
	c.require(placementResult.RecomputeRatio <= maxRecomputeFactor*best.RecomputeRatio+recomputeTolerance,
		"recompute ratio %.4f, oracle %.4f", placementResult.RecomputeRatio, best.RecomputeRatio)
	c.require(placementResult.TTFTP99 <= maxTTFTP99Factor*best.TTFTP99, "p99 %.1f ms, oracle %.1f ms", placementResult.TTFTP99, best.TTFTP99)
}

func (c *boundsCheck) checkAgainstOtherPolicies() {
	for _, policyName := range []string{"random", "round-robin", "least-loaded", "prefix-hash"} {
		if r, ok := meanResult(c.results, policyName, 0); ok {
			c.require(!betterByPrimaryMetric(c.deployment, r, c.placementResult), "%s has hit rate %.4f and p99 %.1f ms, ours %.4f and %.1f ms",
				policyName, r.HitRate, r.TTFTP99, c.placementResult.HitRate, c.placementResult.TTFTP99)
		}
	}
	if otherWeightsResult, ok := meanResult(c.results, otherWeightsLabel, 0); ok {
		tunedForHitRate, tunedForLatency := c.placementResult, otherWeightsResult
		if c.deployment.primary == primaryTTFTP99 {
			tunedForHitRate, tunedForLatency = otherWeightsResult, c.placementResult
		}
		c.require(tunedForHitRate.HitRate >= tunedForLatency.HitRate, "hit rate %.4f with the weights that favor it, %.4f with the others", tunedForHitRate.HitRate, tunedForLatency.HitRate)
		c.require(tunedForLatency.TTFTP99 <= tunedForHitRate.TTFTP99, "p99 %.1f ms with the weights that favor it, %.1f ms with the others", tunedForLatency.TTFTP99, tunedForHitRate.TTFTP99)
	}
}

func (c *boundsCheck) checkOverload(steady result) {
	c.require(c.placementResult.GoodputRatio >= minGoodputRatio, "goodput ratio %.3f", c.placementResult.GoodputRatio)
	if steady.SmallTeamsTTFTP99 > 0 {
		c.require(c.placementResult.SmallTeamsTTFTP99 <= maxSmallTeamsP99Factor*steady.SmallTeamsTTFTP99, "small teams' p99 %.1f ms, steady %.1f ms", c.placementResult.SmallTeamsTTFTP99, steady.SmallTeamsTTFTP99)
	}
}
