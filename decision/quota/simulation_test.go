package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/peering"
)

// The simulation has routers in three zones that call three others every 120 ms, as the module
// exchange does, with delays and losses, and callers who bring requests of one team. The oracle is
// one bucket that knows all at once, with the same rule for requests larger than the level.
const (
	simStep     = 10 * time.Millisecond
	simGossip   = 120 * time.Millisecond
	simFanout   = 3
	simZones    = 3
	simMaxDelay = 30 * time.Millisecond
	// simConfigDelay is the time within which routers have a configuration.
	simConfigDelay  = 3 * time.Second
	simMaxForwarded = 24
	// simStart is the time after which routers and oracle are compared: all routers start with empty
	// buckets at time 0, and the oracle with a full one.
	simStart = 3 * time.Second
	// The figures of the hard bound.
	boundWindow  = 8 * time.Second
	boundOverage = 0.1
	boundSlack   = 110_000
)

// scenario is a load and a history of the routers.
type scenario struct {
	name     string
	routers  int
	duration time.Duration
	limit    func(time.Duration) Limit
	// load is the demand in units per second.
	load func(time.Duration) float64
	// weight is a router's part of the load, relative to the others'.
	weight func(router int, now time.Duration) float64
	size   func(*rand.Rand) float64
	// down tells whether a router is not running, and apart whether two cannot exchange messages.
	down  func(router int, now time.Duration) bool
	apart func(a, b int, now time.Duration) bool
	loss  float64
}

type simRouter struct {
	limiter  *Limiter
	starts   uint64
	limit    Limit
	configAt time.Duration
	wasDown  bool
}

type simMessage struct {
	from, to int
	uses     []Use
	levels   []Level
	call     bool
}

// outcome is in units, except for counts of requests.
type outcome struct {
	asked, admitted, refused, oracle float64
	// lost is what was refused although the oracle admitted it.
	lost float64
	// worst is the highest ratio of what a window admitted to the bound, oracleWorst that of the oracle.
	worst, oracleWorst float64
	// largeAdmitted counts the admitted requests that are larger than the burst.
	largeAdmitted int
}

func (o outcome) String() string {
	return fmt.Sprintf("asked %.0f, admitted %.3f of the oracle's, lost %.4f of it, worst window %.3f of the bound (oracle %.3f), large requests admitted %d",
		o.asked, o.admitted/o.oracle, o.lost/o.oracle, o.worst, o.oracleWorst, o.largeAdmitted)
}

type admission struct {
	at    time.Duration
	units float64
}

type simulation struct {
	scenario
	random     *rand.Rand
	routers    []*simRouter
	candidates [][]peering.Candidate
	index      map[string]int
	messages   map[time.Duration][]simMessage
}

func routerName(i int) string { return fmt.Sprintf("router-%03d", i) }

func (s scenario) run(seed uint64) outcome {
	m := &simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), index: map[string]int{}, messages: map[time.Duration][]simMessage{}}
	for i := range s.routers {
		m.index[routerName(i)] = i
		m.routers = append(m.routers, &simRouter{configAt: -1, wasDown: true})
		var list []peering.Candidate
		for j := range s.routers {
			if j != i {
				list = append(list, peering.Candidate{Address: routerName(j), SameZone: i%simZones == j%simZones})
			}
		}
		m.candidates = append(m.candidates, list)
	}
	var out outcome
	var taken, oracleTaken []admission
	oracle, limit := s.limit(0).Burst, s.limit(0)
	mean := 0.0
	for range 20000 {
		mean += s.size(m.random) / 20000
	}
	for now := time.Duration(0); now < s.duration; now += simStep {
		m.deliver(now)
		for i := range m.routers {
			m.stepRouter(now, i)
		}
		if l := s.limit(now); l != limit {
			oracle, limit = min(oracle+max(0, l.Burst-limit.Burst), l.Burst), l
		}
		oracle = min(oracle+limit.Rate*simStep.Seconds(), limit.Burst)
		for expected := s.load(now) * simStep.Seconds(); ; {
			// Requests arrive as a Poisson process.
			if expected -= m.random.ExpFloat64() * mean; expected < 0 {
				break
			}
			i := m.pick(now)
			if m.routers[i].wasDown {
				continue
			}
			units := s.size(m.random)
			counted := units
			if now < simStart {
				counted = 0
			}
			out.asked += counted
			oracleAllows := oracle > 0
			if oracleAllows {
				oracle -= units
				out.oracle += counted
				oracleTaken = append(oracleTaken, admission{now, units})
			}
			if m.routers[i].limiter.Admit(now, "t", units).Allowed {
				out.admitted += counted
				taken = append(taken, admission{now, units})
				if units > limit.Burst {
					out.largeAdmitted++
				}
			} else if out.refused += counted; oracleAllows {
				out.lost += counted
			}
		}
	}
	out.worst, out.oracleWorst = s.worst(taken), s.worst(oracleTaken)
	return out
}

// worst returns the highest ratio of a window to the bound. A lower limit binds one window after
// the routers have it.
func (s scenario) worst(list []admission) float64 {
	var limits []Limit // by step of a tenth of a second
	for at := time.Duration(0); at < s.duration; at += 100 * time.Millisecond {
		limits = append(limits, s.limit(at))
	}
	worst, sum, first := 0.0, 0.0, 0
	for _, a := range list {
		for sum += a.units; list[first].at <= a.at-boundWindow; first++ {
			sum -= list[first].units
		}
		var limit Limit
		to := int(a.at / (100 * time.Millisecond))
		for _, l := range limits[max(0, to-int((boundWindow+simConfigDelay)/(100*time.Millisecond))) : to+1] {
			limit = Limit{max(limit.Rate, l.Rate), max(limit.Burst, l.Burst)}
		}
		worst = max(worst, sum/((limit.Rate*boundWindow.Seconds()+limit.Burst)*(1+boundOverage)+boundSlack))
	}
	return worst
}

func (m *simulation) pick(now time.Duration) int {
	total := 0.0
	for i := range m.routers {
		total += m.weight(i, now)
	}
	x := m.random.Float64() * total
	for i := range m.routers {
		if x -= m.weight(i, now); x < 0 {
			return i
		}
	}
	return len(m.routers) - 1
}

func (m *simulation) stepRouter(now time.Duration, i int) {
	r := m.routers[i]
	if m.down != nil && m.down(i, now) {
		r.wasDown = true
		return
	}
	if r.wasDown {
		r.wasDown = false
		r.starts++
		r.limiter, r.limit = New(routerName(i), uint64(now)+uint64(i)<<4+r.starts), m.limit(now)
		r.limiter.SetLimits(now, limitsOf(r.limit))
		var others []string
		for _, c := range m.candidates[i] {
			others = append(others, c.Address)
		}
		r.limiter.SetRouters(now, others)
	}
	if l := m.limit(now); l == r.limit {
		r.configAt = -1
	} else if r.configAt < 0 {
		r.configAt = now + time.Duration(m.random.Int64N(int64(simConfigDelay)))
	} else if now >= r.configAt {
		r.limit = l
		r.limiter.SetLimits(now, limitsOf(l))
	}
	if m.random.Float64() < float64(simStep)/float64(simGossip) {
		for _, c := range peering.Choose(append([]peering.Candidate(nil), m.candidates[i]...), simFanout, m.random.Shuffle) {
			m.send(now, i, m.index[c.Address], true)
		}
	}
}

func limitsOf(l Limit) map[string]Limit {
	if l.Rate == 0 {
		return nil
	}
	return map[string]Limit{"t": l}
}

func (m *simulation) send(now time.Duration, from, to int, call bool) {
	if m.random.Float64() < m.loss || m.apart != nil && m.apart(from, to, now) {
		return
	}
	uses, levels := m.routers[from].limiter.Reports(now, simMaxForwarded)
	at := now + simStep*time.Duration(1+m.random.Int64N(int64(simMaxDelay/simStep)))
	m.messages[at] = append(m.messages[at], simMessage{from, to, uses, levels, call})
}

func (m *simulation) deliver(now time.Duration) {
	for _, g := range m.messages[now] {
		if r := m.routers[g.to]; !r.wasDown {
			r.limiter.Merge(now, routerName(g.from), g.uses, g.levels)
			if g.call {
				m.send(now, g.to, g.from, false)
			}
		}
	}
	delete(m.messages, now)
}

// Loads and histories.

func constant(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

func fixed(l Limit) func(time.Duration) Limit { return func(time.Duration) Limit { return l } }

// mixedSize is that of the deployments: a third of the requests are long, a few very long.
func mixedSize(r *rand.Rand) float64 {
	switch x := r.Float64(); {
	case x < 0.66:
		return 884 * (0.5 + r.Float64())
	case x < 0.99:
		return 9200 * (0.5 + r.Float64())
	}
	return 57_000 * (0.5 + r.Float64()/2)
}

func even(int, time.Duration) float64 { return 1 }

// skewed gives the first routers most of the load.
func skewed(i int, _ time.Duration) float64 { return math.Pow(0.8, float64(i)) }

func hot(usual, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return usual * factor
		}
		return usual
	}
}

func limitFor(usual float64) Limit { return Limit{Rate: 1.8 * usual, Burst: 1.8 * usual} }
