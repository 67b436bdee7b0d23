package overload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulation has engines that compute one prompt after the other, more slowly than
// estimated, and routers that know each other's requests with a delay. A tenth of the
// requests has a prompt of 17,000 tokens. Refused callers return once.
const (
	simEngines        = 12
	simTokensPerMS    = 40
	simSlowdown       = 1.3
	simSeconds        = 20
	simDuration       = simSeconds * time.Second
	simExchangeDelay  = 200 * time.Millisecond
	simRetryPoll      = 10 * time.Millisecond
	simLongShare      = 0.1
	simLong, simShort = 17000, 300
)

type simRequest struct {
	at, arrivedAt, heldSince time.Duration
	router                   int
	tokens                   int
	returned                 bool
	sequence                 int
}

func (r *simRequest) request(now time.Duration) Request {
	out := Request{Route: "short", Objective: 500 * time.Millisecond, Remaining: r.arrivedAt + 5*time.Second - now, Held: now - r.heldSince}
	if r.tokens == simLong {
		out.Route, out.Objective, out.Remaining = "long", 800*time.Millisecond, r.arrivedAt+12*time.Second-now
	}
	return out
}

type simQueue []*simRequest

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(*simRequest)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simResult counts requests by their outcome. Goodput is in prompt tokens of requests
// that were in time.
type simResult struct {
	inTime, late, refused, failed int
	goodput                       float64
	// secondsInTime and secondsTotal count the requests by the second of their arrival.
	secondsInTime, secondsTotal [simSeconds]int
}

// inTimeShare returns the share of the requests of a second that were in time.
func (r simResult) inTimeShare(second int) float64 {
	return float64(r.secondsInTime[second]) / float64(r.secondsTotal[second])
}

// simMode is how requests are sent.
type simMode int

const (
	// simUncontrolled sends every request at once.
	simUncontrolled simMode = iota
	simControlled
	// simOracle is one router with exact knowledge that sends only what will be in time.
	simOracle
)

// pick returns the engine that looks idle soonest. A router prefers its own share of the
// engines, as package selection does.
func pick(view []time.Duration, router, routers int, mode simMode) int {
	first, size := 0, simEngines
	if mode != simOracle {
		first, size = router*simEngines/routers, max(2, (simEngines+routers-1)/routers)
	}
	best := first
	for i := range size {
		if e := (first + i) % simEngines; view[e] < view[best] {
			best = e
		}
	}
	return best
}

// simulate plays load, a factor of the engines' capacity, until loadEnd and a load of
// 0.5 after that.
func simulate(seed uint64, routers int, load float64, loadEnd time.Duration, mode simMode) simResult {
	var out simResult
	rng := rand.New(rand.NewPCG(seed, 1))
	busyUntil := make([]time.Duration, simEngines)
	views := make([][]time.Duration, routers)
	controllers := make([]*Controller, routers)
	for i := range routers {
		views[i], controllers[i] = make([]time.Duration, simEngines), New(testConfig)
	}
	var queue simQueue
	sequence := 0
	push := func(r *simRequest) {
		sequence++
		r.sequence = sequence
		heap.Push(&queue, r)
	}
	meanTokens := simLongShare*simLong + (1-simLongShare)*simShort
	capacity := simEngines * simTokensPerMS * 1000 / simSlowdown / meanTokens // requests a second
	for at := time.Duration(0); at < simDuration; {
		rate := capacity * load
		if at >= loadEnd {
			rate = capacity * 0.5
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		tokens := simShort
		if rng.Float64() < simLongShare {
			tokens = simLong
		}
		out.secondsTotal[min(int(at/time.Second), simSeconds-1)]++
		push(&simRequest{at: at, arrivedAt: at, heldSince: at, router: rng.IntN(routers), tokens: tokens})
	}
	nextExchange := time.Duration(0)
	for queue.Len() > 0 {
		r := heap.Pop(&queue).(*simRequest)
		now := r.at
		for ; nextExchange <= now; nextExchange += simExchangeDelay {
			for _, v := range views {
				copy(v, busyUntil)
			}
		}
		view, c := views[r.router], controllers[r.router]
		best := pick(view, r.router, routers, mode)
		prefill := time.Duration(r.tokens) * time.Millisecond / simTokensPerMS
		work := time.Duration(float64(prefill) * simSlowdown)
		if mode == simOracle {
			prefill = work
			copy(view, busyUntil)
			best = pick(view, 0, 1, mode)
		}
		estimate := Estimate{Wait: max(0, view[best]-now), Prefill: prefill}
		request := r.request(now)
		verdict := Start
		switch {
		case mode == simControlled:
			verdict = c.Decide(request, estimate)
		case mode == simOracle && now-r.arrivedAt+estimate.FirstEvent() > request.Objective:
			out.refused++
			continue
		}
		switch verdict {
		case Wait:
			r.at = now + simRetryPoll
			push(r)
			continue
		case RefuseOverload, RefuseDeadline:
			if !r.returned {
				r.at = now + c.RetryAfter(now, request, estimate, float64(simEngines)/float64(routers))
				r.heldSince, r.returned = r.at, true
				push(r)
				continue
			}
			out.refused++
			continue
		}
		busyUntil[best] = max(busyUntil[best], now) + work
		view[best] = max(view[best], now) + prefill
		firstEvent := busyUntil[best]
		c.ObserveFirstEvent(request, estimate, firstEvent-now)
		switch {
		case firstEvent-r.arrivedAt <= request.Objective:
			out.inTime++
			out.secondsInTime[min(int(r.arrivedAt/time.Second), simSeconds-1)]++
			out.goodput += float64(r.tokens)
		case firstEvent-now <= request.Remaining:
			out.late++
		default:
			out.failed++
		}
	}
	out.goodput /= simEngines * simTokensPerMS / simSlowdown * float64(simDuration/time.Millisecond)
	return out
}

// loads are the loads of the tests, as factors of the engines' capacity.
var loads = []float64{1.2, 1.5, 3}

// Guards against the collapse under sustained overload, in which every request is sent,
// waits in an engine, and is late or is computed after its caller has left.
func TestControlPreventsCollapse(t *testing.T) {
	for _, routers := range []int{2, 68} {
		for _, load := range loads {
			for seed := range uint64(3) {
				without := simulate(seed, routers, load, simDuration, simUncontrolled)
				with := simulate(seed, routers, load, simDuration, simControlled)
				name := fmt.Sprintf("%d routers, load %.1f, seed %d: without %+v, with %+v", routers, load, seed, without, with)
				assert.Assert(t, without.failed+without.late > without.inTime, "the load is no overload: %s", name)
				assert.Assert(t, with.inTime > without.inTime && with.goodput > without.goodput, name)
				assert.Assert(t, with.failed <= without.failed, name)
			}
		}
	}
}

// Guards against requests that could be served in time and are refused or late. The
// target is 0.9 of what an oracle with exact knowledge serves in time.
func TestGoodputReachesTheOracle(t *testing.T) {
	for _, routers := range []int{2, 68} {
		for _, load := range loads {
			for seed := range uint64(3) {
				oracle := simulate(seed, routers, load, simDuration, simOracle)
				with := simulate(seed, routers, load, simDuration, simControlled)
				assert.Check(t, float64(with.inTime) >= 0.9*float64(oracle.inTime),
					"%d routers, load %.1f, seed %d: in time %d, oracle %d", routers, load, seed, with.inTime, oracle.inTime)
			}
		}
	}
}

// Guards against a backlog that outlasts the burst that caused it. The target is to
// recover within two seconds.
func TestRecoveryAfterABurst(t *testing.T) {
	const burstEnd = 5 * time.Second
	for _, routers := range []int{2, 68} {
		for seed := range uint64(3) {
			without := simulate(seed, routers, 3, burstEnd, simUncontrolled)
			with := simulate(seed, routers, 3, burstEnd, simControlled)
			third := int((burstEnd + 2*time.Second) / time.Second)
			assert.Assert(t, without.inTimeShare(third) < 0.5, "the burst leaves no backlog: %.2f", without.inTimeShare(third))
			before := simulate(seed, routers, 0.5, 0, simControlled).inTimeShare(third)
			assert.Check(t, with.inTimeShare(third) >= 0.9*before, "%d routers, seed %d: %.2f in time, without a burst %.2f", routers, seed, with.inTimeShare(third), before)
		}
	}
}
