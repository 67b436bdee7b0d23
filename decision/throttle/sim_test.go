package throttle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulation has routers that send requests to one endpoint as soon as their tables
// allow it, exchange reports with random others, and learn of other routers with a delay.
// The endpoint states its limit in each response. The oracle is the endpoint's own count.
const (
	simStep          = 20 * time.Millisecond
	simGossip        = 120 * time.Millisecond
	simFanout        = 3
	simMaxLatency    = 60 * time.Millisecond
	simResponseTime  = 100 * time.Millisecond
	simMembershipLag = 1500 * time.Millisecond
	simGrace         = 3 * time.Second
	simToldAfter     = 500 * time.Millisecond
	simWindow        = 4 * time.Second
)

// simScenario is a history of a limit and of the routers.
type simScenario struct {
	name     string
	duration time.Duration
	// limitAt returns the stated limit.
	limitAt func(time.Duration) float64
	// wantsAt returns the number of requests a second that callers bring to a router.
	wantsAt func(router int, now time.Duration) float64
	// restartAt are the times at which a router loses its state, and leaveAt those at which
	// it ends, by router.
	restartAt, leaveAt map[int]time.Duration
	lossShare          float64
	// minUse is the least share of the limit that the endpoint must get after simGrace.
	minUse float64
}

type simRouter struct {
	name  string
	table *Table
	// toldAt is when it had the first response with a limit since its start, or -1.
	toldAt time.Duration
	gone   bool
}

type simResponse struct {
	sentAt     time.Duration
	rate       float64
	router     int
	generation int
}

type simMessage struct {
	to      int
	reports []Report
}

// simArrival is a request that counts: its router had been told.
type simArrival struct{ at time.Duration }

type simulation struct {
	*testing.T
	simScenario
	random  *rand.Rand
	routers []*simRouter
	started []int
	// responses and messages are keyed by the step of their arrival.
	responses map[time.Duration][]simResponse
	messages  map[time.Duration][]simMessage
	arrivals  []simArrival
	all       int
}

func (s *simulation) run(n int) {
	s.responses, s.messages = map[time.Duration][]simResponse{}, map[time.Duration][]simMessage{}
	for i := range n {
		s.routers = append(s.routers, &simRouter{name: fmt.Sprintf("router-%d", i), table: New(), toldAt: -1})
		s.started = append(s.started, 0)
	}
	for i := range s.routers {
		s.setRouters(i)
	}
	pendingLists := map[int]time.Duration{}
	for now := time.Duration(0); now < s.duration; now += simStep {
		s.deliver(now)
		for i, r := range s.routers {
			if at, ok := s.restartAt[i]; ok && at == now {
				r.table, r.toldAt = New(), -1
				s.started[i]++
				s.setRouters(i)
			}
			if at, ok := s.leaveAt[i]; ok && at == now {
				r.gone = true
				for j := range s.routers {
					pendingLists[j] = now + time.Duration(s.random.Int64N(int64(simMembershipLag)))
				}
			}
			if at, ok := pendingLists[i]; ok && now >= at {
				delete(pendingLists, i)
				s.setRouters(i)
			}
			if r.gone {
				continue
			}
			s.send(now, i)
			if s.random.Float64() < float64(simStep)/float64(simGossip) {
				s.gossip(now, i)
			}
		}
	}
}

func (s *simulation) setRouters(i int) {
	var others []string
	for j, r := range s.routers {
		if j != i && !r.gone {
			others = append(others, r.name)
		}
	}
	s.routers[i].table.SetRouters(s.routers[i].name, others)
}

// arrivalStep returns the step in which something arrives that takes up to a time from now.
func (s *simulation) arrivalStep(now, longest time.Duration) time.Duration {
	return now + simStep*time.Duration(1+s.random.Int64N(int64(longest/simStep)))
}

func (s *simulation) deliver(now time.Duration) {
	for _, r := range s.responses[now] {
		router := s.routers[r.router]
		if router.gone || s.started[r.router] != r.generation {
			continue
		}
		router.table.ObserveResponse(now, r.sentAt, "endpoint", r.rate)
		switch {
		case r.rate == 0:
			router.toldAt = -1
		case router.toldAt < 0:
			router.toldAt = now
		}
	}
	for _, m := range s.messages[now] {
		s.routers[m.to].table.Merge(now, m.reports)
	}
	delete(s.responses, now)
	delete(s.messages, now)
}

// send sends the requests that callers bring in one step, as far as the table allows.
func (s *simulation) send(now time.Duration, i int) {
	r := s.routers[i]
	wanted := s.wantsAt(i, now) * simStep.Seconds()
	for wanted > 0 && (wanted >= 1 || s.random.Float64() < wanted) {
		wanted--
		if r.table.ReadyIn(now, "endpoint") > 0 {
			return
		}
		r.table.Take(now, "endpoint")
		s.all++
		if r.toldAt >= 0 && now-r.toldAt >= simToldAfter {
			s.arrivals = append(s.arrivals, simArrival{now})
		}
		at := s.arrivalStep(now, simResponseTime)
		s.responses[at] = append(s.responses[at], simResponse{now, s.limitAt((now + at) / 2), i, s.started[i]})
	}
}

func (s *simulation) gossip(now time.Duration, i int) {
	for range simFanout {
		j := s.random.IntN(len(s.routers))
		if j == i || s.routers[j].gone || s.random.Float64() < s.lossShare {
			continue
		}
		for _, m := range []simMessage{{j, s.routers[i].table.Pending(now, 64)}, {i, s.routers[j].table.Pending(now, 64)}} {
			at := s.arrivalStep(now, simMaxLatency)
			s.messages[at] = append(s.messages[at], m)
		}
	}
}

// check compares the arrivals in all windows with what the limit allows in them.
func (s *simulation) check() {
	first := 0
	for last, a := range s.arrivals {
		for s.arrivals[first].at <= a.at-simWindow {
			first++
		}
		allowed := 5.0
		limited := true
		for t := a.at - simWindow; t < a.at; t += simStep {
			limit := s.limitAt(max(0, t))
			limited = limited && limit > 0 && t >= simGrace
			allowed += 1.5 * limit * simStep.Seconds()
		}
		if count := last - first + 1; limited && float64(count) > allowed {
			s.Errorf("%d requests in the window that ends at %v, allowed %.1f", count, a.at, allowed)
			return
		}
	}
	var stated float64
	for t := simGrace; t < s.duration; t += simStep {
		stated += s.limitAt(t) * simStep.Seconds()
	}
	used := 0
	for _, a := range s.arrivals {
		if a.at >= simGrace {
			used++
		}
	}
	assert.Check(s, float64(used) >= s.minUse*stated, "the endpoint got %d requests, its limit allowed %.0f", used, stated)
}

func constant(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

func eager(int, time.Duration) float64 { return 20 }

func scenarios(routers int) []simScenario {
	const duration = 40 * time.Second
	var out []simScenario
	for _, limit := range []float64{0.3, 1, 1.6, 8, 40} {
		out = append(out, simScenario{name: fmt.Sprintf("limit %v", limit), duration: duration, limitAt: constant(limit), wantsAt: eager, minUse: 0.7})
	}
	out = append(out,
		simScenario{name: "limit moves", duration: duration, wantsAt: eager, minUse: 0.6, limitAt: func(now time.Duration) float64 {
			return []float64{6, 1.5, 12, 3}[int(now/(10*time.Second))%4]
		}},
		simScenario{name: "bursts after quiet spells", duration: duration, limitAt: constant(2), wantsAt: func(_ int, now time.Duration) float64 {
			if now%(12*time.Second) < 8*time.Second {
				return 0
			}
			return 50
		}},
		simScenario{name: "lost messages", duration: duration, limitAt: constant(2), wantsAt: eager, lossShare: 0.7, minUse: 0.7},
		simScenario{name: "few callers", duration: duration, limitAt: constant(3), wantsAt: func(router int, _ time.Duration) float64 {
			if router%2 == 0 {
				return 0
			}
			return 5
		}},
	)
	restarts, leaves := simScenario{name: "restarts", duration: duration, limitAt: constant(2), wantsAt: eager, minUse: 0.5, restartAt: map[int]time.Duration{}},
		simScenario{name: "routers leave", duration: duration, limitAt: constant(4), wantsAt: eager, minUse: 0.4, leaveAt: map[int]time.Duration{}}
	for i := range routers {
		if i%3 == 0 {
			restarts.restartAt[i] = 10*time.Second + time.Duration(i%50)*400*time.Millisecond
		}
		if i%4 == 1 {
			leaves.leaveAt[i] = 8*time.Second + time.Duration(i%40)*500*time.Millisecond
		}
	}
	return append(out, restarts, leaves)
}

// Guards against an endpoint that gets more requests than its limit allows from routers
// that it has told, and against limits that leave most of what an endpoint takes unused.
func TestEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	for routers, seeds := range map[int]uint64{4: 10, 68: 3, 380: 1} {
		for _, scenario := range scenarios(routers) {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%d routers/%s/seed %d", routers, scenario.name, seed), func(t *testing.T) {
					t.Parallel()
					s := &simulation{T: t, simScenario: scenario, random: rand.New(rand.NewPCG(seed, uint64(routers)))}
					s.run(routers)
					s.check()
				})
			}
		}
	}
}
