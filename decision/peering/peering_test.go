package peering

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deployment has the routers of n availability zones with the same number of routers.
func deployment(zones, routersPerZone int) []int {
	var out []int
	for i := range zones * routersPerZone {
		out = append(out, i/routersPerZone)
	}
	return out
}

// candidatesOf appends the other routers to list. Their addresses are their positions.
func candidatesOf(list []Candidate, self int, zones []int, addresses []string) []Candidate {
	for i, zone := range zones {
		if i != self {
			list = append(list, Candidate{addresses[i], zone == zones[self]})
		}
	}
	return list
}

func addressesOf(zones []int) []string {
	var out []string
	for i := range zones {
		out = append(out, strconv.Itoa(i))
	}
	return out
}

// Guards against calls that all leave the zone, that never leave it, and that name a
// router twice.
func TestMostCallsStayInTheZone(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct{ zones, perZone, fanout, local int }{{6, 11, 3, 2}, {4, 1, 3, 0}, {1, 5, 3, 3}, {2, 2, 3, 1}, {1, 2, 3, 1}} {
		for range 100 {
			zones := deployment(c.zones, c.perZone)
			chosen := Choose(candidatesOf(nil, 0, zones, addressesOf(zones)), c.fanout, rng.Shuffle)
			assert.Equal(t, len(chosen), min(c.fanout, len(zones)-1))
			local, seen := 0, map[string]bool{}
			for _, p := range chosen {
				assert.Assert(t, !seen[p.Address])
				seen[p.Address] = true
				if p.SameZone {
					local++
				}
			}
			assert.Equal(t, local, c.local, "%+v", c)
		}
	}
}

// Guards against a change that reaches routers late because most calls stay in the zone:
// the routers that watch the store know it, each round every other router asks in one of
// its calls, and all must know it within the two seconds after which a configuration must
// be in force.
func TestChangeReachesAllRouters(t *testing.T) {
	const interval, fanout, limit = 120 * time.Millisecond, 3, 2 * time.Second
	for _, size := range []struct{ zones, perZone int }{{6, 11}, {10, 100}} {
		for seed := range uint64(2) {
			rng := rand.New(rand.NewPCG(seed, 2))
			zones := deployment(size.zones, size.perZone)
			// Several routers watch the store.
			const watchers = 6
			known := make([]bool, len(zones))
			for i := range watchers {
				known[i*len(zones)/watchers] = true
			}
			rounds, missing := 0, len(zones)-watchers
			addresses, candidates := addressesOf(zones), []Candidate(nil)
			for ; missing > 0; rounds++ {
				next := append([]bool(nil), known...)
				for i := range zones {
					if known[i] {
						continue
					}
					candidates = candidatesOf(candidates[:0], i, zones, addresses)
					chosen := Choose(candidates, fanout, rng.Shuffle)
					from, err := strconv.Atoi(chosen[rng.IntN(len(chosen))].Address)
					assert.NilError(t, err)
					if known[from] {
						next[i] = true
						missing--
					}
				}
				known = next
			}
			took := time.Duration(rounds) * interval
			t.Logf("%d routers, seed %d: %s", len(zones), seed, took)
			assert.Assert(t, took <= limit, "%d routers, seed %d: %s", len(zones), seed, took)
		}
	}
}

// Guards against several copies of a large replica on their way to one router, and
// against a lost call that stops all others.
func TestOneCallAsksForAKind(t *testing.T) {
	p := NewPulls()
	assert.Assert(t, p.Begin(0, "config"))
	assert.Assert(t, !p.Begin(pullTimeout/2, "config"))
	assert.Assert(t, p.Begin(pullTimeout/2, "servers"))
	p.End("config", 0)
	assert.Assert(t, p.Begin(pullTimeout/2, "config"))
	assert.Assert(t, p.Begin(2*pullTimeout, "config"), "the call did not end")
	p.End("config", pullTimeout/2)
	assert.Assert(t, !p.Begin(2*pullTimeout+1, "config"), "the end of the earlier call must not free the later one")
}

// Guards against routers whose records nobody holds, or all do.
func TestFewRoutersHoldWhatOneWouldLose(t *testing.T) {
	const count = 3
	for _, routers := range []int{2, 4, 68, 380} {
		addresses := make([]string, routers)
		for i := range addresses {
			addresses[i] = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		}
		held := map[string]int{}
		for i := 0; i < routers; i += 1 + routers/50 {
			owner, holders := addresses[i], 0
			for _, router := range addresses {
				if router != owner && IsHolder(router, owner, addresses, count) {
					holders++
					held[router]++
				}
			}
			assert.Equal(t, holders, min(count, routers-1), "%d routers", routers)
		}
		for router, owners := range held {
			assert.Assert(t, owners <= 5*count, "%s holds for %d of %d", router, owners, routers)
		}
	}
}
