package routing

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/rules"
)

// scenario is a load or a fault that a case plays.
type scenario struct {
	name string
	// lateReports delays every load report by 2 s.
	delayLoadReports bool
	// smallCache divides the cache by this number.
	cacheDivisor int
	// overload is true when more than the capacity is offered.
	overloaded bool
	setup      func(s *sim)
}

func (c scenario) install(s *sim) {
	if c.setup != nil {
		c.setup(s)
	}
}

// caseConfig is one run.
type simConfig struct {
	scenario  scenario
	policy    policyFactory
	seed      uint64
	placement placement.Config
	// plain leaves out the message boundaries of prompts.
	omitBoundaries bool
	// otherWeights gives the deployment the other deployment's weights.
	weightsOverride *rules.PlacementWeights
	// capacity is the goodput in requests per second that the deployment can
	// reach.
	capacityRPS float64
}

func (c simConfig) weights(d *deployment) rules.PlacementWeights {
	if c.weightsOverride != nil {
		return *c.weightsOverride
	}
	return d.weights
}

func (c simConfig) cacheBlocks(d *deployment) int {
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

// hotShift makes other clients popular and sends a fifth of all requests to one
// client of each team.
func shiftPopularity(s *sim) {
	s.at(faultAt, func() {
		s.generator.rankOffset = s.deployment.clientsPerTeam / 2
		s.generator.hotClientFraction = 0.2
	})
}

// engineRestarts crashes every fourth engine, one each 2 s.
func restartEngines(s *sim) {
	for n, i := 0, 0; i < s.deployment.endpoints; n, i = n+1, i+4 {
		s.at(faultAt+time.Duration(n)*2*time.Second, func() {
			s.agents[i].crash()
			s.after(weightsLoadTime, func() { s.startEngine(i) })
		})
	}
}

// routerHerd restarts all routers at once with empty memory.
func restartRouters(s *sim) {
	s.at(faultAt, func() {
		for i := range s.routers {
			s.routers[i] = s.newRouter(i)
		}
	})
}

// eventGaps loses all cache events of an engine for 1 s, on every engine in
// turn, again and again.
func dropCacheEvents(s *sim) {
	for i := range s.engines {
		for t := warmUp + time.Duration(i)*300*time.Millisecond; t < measurementEnd; t += 5 * time.Second {
			s.at(t, func() { s.engines[i].dropEventsUntil = s.now + time.Second })
		}
	}
}

// teamFlood makes the largest team send eight times its traffic.
func floodFromLargestTeam(s *sim) {
	s.at(faultAt-5*time.Second, func() { s.teamRPS[0] *= 8 })
}

// overload offers twice the capacity from the start of the measurement.
func offerTwiceCapacity(s *sim) {
	s.at(warmUp-5*time.Second, func() {
		for i := range s.teamRPS {
			s.teamRPS[i] *= 2 * s.cfg.capacityRPS / s.deployment.steadyRPS
		}
	})
}

// Detection times of the membership and of the rules.
const (
	minFailureDetection = 1 * time.Second
	maxFailureDetection = 3 * time.Second
	minRulesPropagation = 200 * time.Millisecond
	maxRulesPropagation = 2 * time.Second
)

func (s *sim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// zoneLoss ends all routers and endpoints of the first zone.
func failFirstZone(s *sim) {
	s.at(faultAt, func() {
		failed := uint64(0)
		for i := range s.engines {
			if s.deployment.zoneOf(i) == s.deployment.zones[0] {
				failed |= 1 << i
			}
		}
		s.deadEndpoints = failed
		for _, r := range s.routers {
			r.down = r.zone == s.deployment.zones[0]
			s.after(s.randomDuration(minFailureDetection, maxFailureDetection), func() {
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

// handover gives two endpoints of the north to the south. The split itself is
// in force from the start.
func transferEndpoints(s *sim) {
	hostOwners := map[int]string{}
	for i := range s.deployment.endpoints {
		hostOwners[i] = "north"
		if 5*(i+1)/9 != 5*i/9 {
			continue
		}
		hostOwners[i] = "south"
	}
	s.publishRules(s.compileRules(hostOwners, 2), 0, 1)
	s.at(faultAt, func() {
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

// publish spreads new rules to all agents and routers.
func (s *sim) publishRules(view *rules.View, low, high time.Duration) {
	s.view = view
	for _, a := range s.agents {
		s.after(s.randomDuration(low, high), func() { a.controller.SetRules(view) })
	}
	for _, r := range s.routers {
		s.after(s.randomDuration(low, high), func() {
			r.view = view
			r.policy.refresh()
		})
	}
}
