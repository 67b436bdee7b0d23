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
	lateReports bool
	// smallCache divides the cache by this number.
	smallCache int
	// overload is true when more than the capacity is offered.
	overload bool
	setup    func(s *sim)
}

func (c scenario) install(s *sim) {
	if c.setup != nil {
		c.setup(s)
	}
}

// caseConfig is one run.
type caseConfig struct {
	scenario  scenario
	policy    policyKind
	seed      uint64
	placement placement.Config
	// plain leaves out the message boundaries of prompts.
	plain bool
	// otherWeights gives the deployment the other deployment's weights.
	otherWeights *rules.PlacementWeights
	// capacity is the goodput in requests per second that the deployment can
	// reach.
	capacity float64
}

func (c caseConfig) weights(d *deployment) rules.PlacementWeights {
	if c.otherWeights != nil {
		return *c.otherWeights
	}
	return d.weights
}

func (c caseConfig) cacheBlocks(d *deployment) int {
	return d.cacheBlocks / max(c.scenario.smallCache, 1)
}

// scenarios returns all scenarios in the order of the report.
func scenarios() []scenario {
	return []scenario{
		{name: "steady"},
		{name: "hot-shift", setup: hotShift},
		{name: "small-cache", smallCache: 4},
		{name: "engine-restarts", setup: engineRestarts},
		{name: "router-herd", setup: routerHerd},
		{name: "event-gaps", setup: eventGaps},
		{name: "late-load", lateReports: true},
		{name: "team-flood", overload: true, setup: teamFlood},
		{name: "overload", overload: true, setup: overload},
		{name: "zone-loss", setup: zoneLoss},
		{name: "handover", setup: handover},
	}
}

// hotShift makes other clients popular and sends a fifth of all requests to one
// client of each team.
func hotShift(s *sim) {
	s.at(faultAt, func() {
		s.gen.shift = s.dep.clients / 2
		s.gen.hot = 0.2
	})
}

// engineRestarts crashes every fourth engine, one each 2 s.
func engineRestarts(s *sim) {
	for n, i := 0, 0; i < s.dep.endpoints; n, i = n+1, i+4 {
		s.at(faultAt+time.Duration(n)*2*time.Second, func() {
			s.agents[i].crash()
			s.after(loadTime, func() { s.boot(i) })
		})
	}
}

// routerHerd restarts all routers at once with empty memory.
func routerHerd(s *sim) {
	s.at(faultAt, func() {
		for i := range s.routers {
			s.routers[i] = s.newRouter(i)
		}
	})
}

// eventGaps loses all cache events of an engine for 1 s, on every engine in
// turn, again and again.
func eventGaps(s *sim) {
	for i := range s.engines {
		for t := warmUp + time.Duration(i)*300*time.Millisecond; t < endAt; t += 5 * time.Second {
			s.at(t, func() { s.engines[i].lossUntil = s.now + time.Second })
		}
	}
}

// teamFlood makes the largest team send eight times its traffic.
func teamFlood(s *sim) {
	s.at(faultAt-5*time.Second, func() { s.rates[0] *= 8 })
}

// overload offers twice the capacity from the start of the measurement.
func overload(s *sim) {
	s.at(warmUp-5*time.Second, func() {
		for i := range s.rates {
			s.rates[i] *= 2 * s.c.capacity / s.dep.rate
		}
	})
}

// Detection times of the membership and of the rules.
const (
	detectMin = 1 * time.Second
	detectMax = 3 * time.Second
	rulesMin  = 200 * time.Millisecond
	rulesMax  = 2 * time.Second
)

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// zoneLoss ends all routers and endpoints of the first zone.
func zoneLoss(s *sim) {
	s.at(faultAt, func() {
		lost := uint64(0)
		for i := range s.engines {
			if s.dep.zoneOf(i) == s.dep.zones[0] {
				lost |= 1 << i
			}
		}
		s.dead = lost
		for _, r := range s.routers {
			r.down = r.zone == s.dep.zones[0]
			s.after(s.between(detectMin, detectMax), func() {
				r.live &^= lost
				r.policy.members()
			})
		}
		for i := range s.engines {
			if lost&(1<<i) != 0 {
				s.agents[i].crash()
			}
		}
	})
}

// handover gives two endpoints of the north to the south. The split itself is
// in force from the start.
func handover(s *sim) {
	owners := map[int]string{}
	for i := range s.dep.endpoints {
		owners[i] = "north"
		if 5*(i+1)/9 != 5*i/9 {
			continue
		}
		owners[i] = "south"
	}
	s.publish(s.compile(owners, 2), 0, 1)
	s.at(faultAt, func() {
		moved := 0
		for i := range s.dep.endpoints {
			if owners[i] == "north" && moved < 2 {
				owners[i] = "south"
				moved++
			}
		}
		s.publish(s.compile(owners, 3), rulesMin, rulesMax)
	})
}

// publish spreads new rules to all agents and routers.
func (s *sim) publish(view *rules.View, low, high time.Duration) {
	s.view = view
	for _, a := range s.agents {
		s.after(s.between(low, high), func() { a.m.SetRules(view) })
	}
	for _, r := range s.routers {
		s.after(s.between(low, high), func() {
			r.view = view
			r.policy.members()
		})
	}
}
