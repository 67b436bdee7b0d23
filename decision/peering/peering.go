// Package peering decides which other routers a router calls and which replicas it asks
// them for, so that the cost for a router does not grow with the deployment. It has no
// clock and no network.
package peering

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// zoneShare is the share of the calls that stay within the availability zone. Routers of
// a zone send most requests to the same endpoints, so they need each other's newest loads;
// bytes between zones are dear.
const zoneShare = 2.0 / 3

// Candidate is another router that may be called.
type Candidate struct {
	Address string
	// SameZone is true if the router is in the caller's availability zone.
	SameZone bool
}

// Choose returns up to fanout candidates at random, about zoneShare of them from the
// caller's zone. shuffle permutes n elements by swap, as rand.Shuffle does.
func Choose(candidates []Candidate, fanout int, shuffle func(n int, swap func(i, j int))) []Candidate {
	shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	local := int(float64(fanout)*zoneShare + 0.5)
	var chosen, rest []Candidate
	for _, c := range candidates {
		switch {
		case c.SameZone && local > 0:
			chosen = append(chosen, c)
			local--
		default:
			rest = append(rest, c)
		}
	}
	// Candidates of other zones come first, so that changes leave the zone.
	for _, sameZone := range []bool{false, true} {
		for _, c := range rest {
			if c.SameZone == sameZone && len(chosen) < fanout {
				chosen = append(chosen, c)
			}
		}
	}
	return chosen
}

// IsHolder reports whether a router is one of the few, count or all if there are fewer, that hold
// what another one would lose if it died. Routers are named by their addresses; others are those
// that the router reaches. Routers that reach the same others agree.
func IsHolder(router, owner string, others []string, count int) bool {
	own, before := holderWeight(router, owner), 0
	for _, other := range others {
		if other != owner && other != router && holderWeight(other, owner) > own {
			before++
		}
	}
	return before < count
}

func holderWeight(holder, owner string) uint64 { return xxhash.Sum64String(holder + "\x00" + owner) }

// Pulls decides which calls ask for changes of a replica. A copy of a large replica takes
// a slow router longer than a round: copies asked for by several calls at once would
// delay each other until all time out. It is not safe for concurrent use.
type Pulls struct {
	// startedAt maps the kinds that a call is asking for to the time of that call.
	startedAt map[string]time.Duration
}

// pullTimeout is how long a call that has not ended keeps others from asking. The router
// that was called may be silent.
const pullTimeout = 500 * time.Millisecond

// NewPulls returns a Pulls without running calls.
func NewPulls() *Pulls { return &Pulls{startedAt: map[string]time.Duration{}} }

// Begin reports whether a call may ask for the kind. If so, End must be called when the
// call has ended.
func (p *Pulls) Begin(now time.Duration, kind string) bool {
	if at, running := p.startedAt[kind]; running && now-at < pullTimeout {
		return false
	}
	p.startedAt[kind] = now
	return true
}

// End records the end of a call that began at the given time.
func (p *Pulls) End(kind string, startedAt time.Duration) {
	if p.startedAt[kind] == startedAt {
		delete(p.startedAt, kind)
	}
}
