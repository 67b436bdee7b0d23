package routing

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/rules"
)

// scenario is a load pattern or a fault that is simulated.
type scenario struct {
	name string
	// delayLoadReports delays every load report by 2 s.
	delayLoadReports bool
	// cacheDivisor divides the cache size of all engines; 0 leaves it unchanged.
	cacheDivisor int
	// overloaded enables the bounds that apply under overload.
	overloaded bool
	// setup schedules the events of the scenario; it may be nil.
	setup func(s *simulation)
}

func (c scenario) install(s *simulation) {
	if c.setup != nil {
		c.setup(s)
	}
}

// simulationConfig holds the parameters of one run.
type simulationConfig struct {
	scenario  scenario
	policy    policyFactory
	seed      uint64
	placement placement.Config
	// omitBoundaries leaves out the message boundaries of prompts.
	omitBoundaries bool
	// placementWeightsOverride replaces the deployment's placement weights unless it is
	// nil.
	placementWeightsOverride *rules.PlacementWeights
	// capacityRPS is the goodput in requests per second that the deployment can
	// reach.
	capacityRPS float64
}

func (c simulationConfig) placementWeights(d *deployment) rules.PlacementWeights {
	if c.placementWeightsOverride != nil {
		return *c.placementWeightsOverride
	}
	return d.placementWeights
}

func (c simulationConfig) cacheBlocks(d *deployment) int {
	return d.cacheBlocks / max(c.scenario.cacheDivisor, 1)
}

// scenarios returns all scenarios in the order of the report.
func scenarios() []scenario {
	return []scenario{
		{name: "steady"},
		{name: "hot-shift", setup: shiftPopularity},
		{name: "small-cache", cacheDivisor: 4},
		{name: "engine-restarts", setup: restartEngines},
		{name: "router-herd", setup: restartRouters},
		{name: "event-gaps", setup: dropCacheEvents},
		{name: "late-load", delayLoadReports: true},
		{name: "team-flood", overloaded: true, setup: floodFromLargestTeam},
		{name: "overload", overloaded: true, setup: offerTwiceCapacity},
		{name: "zone-loss", setup: failFirstZone},
		{name: "handover", setup: transferEndpoints},
	}
}

// shiftPopularity makes other clients popular and makes one client of each team send
// a fifth of the team's requests.
func shiftPopularity(s *simulation) {
	s.scheduleAt(faultAt, func() {
		s.generator.rankOffset = s.deployment.clientsPerTeam / 2
		s.generator.hotClientFraction = 0.2
	})
}

// restartEngines crashes every fourth engine, one every 2 s, and restarts it.
func restartEngines(s *simulation) {
	for n, i := 0, 0; i < s.deployment.endpoints; n, i = n+1, i+4 {
		s.scheduleAt(faultAt+time.Duration(n)*2*time.Second, func() {
			s.agents[i].crash()
			s.scheduleAfter(weightsLoadTime, func() { s.startEngine(i) })
		})
	}
}

// restartRouters restarts all routers at once, without their state.
func restartRouters(s *simulation) {
	s.scheduleAt(faultAt, func() {
		for i := range s.routers {
			s.routers[i] = s.newRouter(i)
		}
	})
}

// dropCacheEvents drops all cache events of each engine for 1 s in every 5 s, at
// times that are staggered by engine.
func dropCacheEvents(s *simulation) {
	for i := range s.engines {
		for t := warmUp + time.Duration(i)*300*time.Millisecond; t < measurementEnd; t += 5 * time.Second {
			s.scheduleAt(t, func() { s.engines[i].dropCacheEventsUntil = s.now + time.Second })
		}
	}
}

// floodFromLargestTeam makes the largest team send eight times its usual traffic.
func floodFromLargestTeam(s *simulation) {
	s.scheduleAt(faultAt-5*time.Second, func() { s.teamRPS[0] *= 8 })
}

// offerTwiceCapacity raises the load to twice the capacity 5 s before the measurement
// starts.
func offerTwiceCapacity(s *simulation) {
	s.scheduleAt(warmUp-5*time.Second, func() {
		for i := range s.teamRPS {
			s.teamRPS[i] *= 2 * s.cfg.capacityRPS / s.deployment.steadyRPS
		}
	})
}

// Ranges of the time that each router takes to detect a failed host, and that each
// router and agent takes to receive new rules.
const (
	minFailureDetection = 1 * time.Second
	maxFailureDetection = 3 * time.Second
	minRulesPropagation = 200 * time.Millisecond
	maxRulesPropagation = 2 * time.Second
)

func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// failFirstZone stops all routers and endpoints in the first availability zone.
func failFirstZone(s *simulation) {
	s.scheduleAt(faultAt, func() {
		failed := uint64(0)
		for i := range s.engines {
			if s.deployment.zoneOf(i) == s.deployment.zones[0] {
				failed |= 1 << i
			}
		}
		s.deadEndpoints = failed
		for _, r := range s.routers {
			r.down = r.zone == s.deployment.zones[0]
			s.scheduleAfter(s.randomDuration(minFailureDetection, maxFailureDetection), func() {
				r.liveEndpoints &^= failed
				r.policy.refresh()
			})
		}
		for i := range s.engines {
			if failed&(1<<i) != 0 {
				s.agents[i].crash()
			}
		}
	})
}

// transferEndpoints transfers two endpoints from the half "north" to the half
// "south". The two halves exist from the start.
func transferEndpoints(s *simulation) {
	hostOwners := map[int]string{}
	for i := range s.deployment.endpoints {
		hostOwners[i] = "north"
		if 5*(i+1)/9 != 5*i/9 {
			continue
		}
		hostOwners[i] = "south"
	}
	s.publishRules(s.compileRules(hostOwners, 2), 0, 1)
	s.scheduleAt(faultAt, func() {
		transferred := 0
		for i := range s.deployment.endpoints {
			if hostOwners[i] == "north" && transferred < 2 {
				hostOwners[i] = "south"
				transferred++
			}
		}
		s.publishRules(s.compileRules(hostOwners, 3), minRulesPropagation, maxRulesPropagation)
	})
}

// publishRules distributes new rules to all agents and routers. Each process receives
// them after a random time between low and high.
func (s *simulation) publishRules(view *rules.View, low, high time.Duration) {
	s.view = view
	for _, a := range s.agents {
		s.scheduleAfter(s.randomDuration(low, high), func() { a.controller.SetRules(view) })
	}
	for _, r := range s.routers {
		s.scheduleAfter(s.randomDuration(low, high), func() {
			r.view = view
			r.policy.refresh()
		})
	}
}
