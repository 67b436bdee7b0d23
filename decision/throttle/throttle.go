// Package throttle keeps requests to an endpoint within what the endpoint states in its
// responses: a rate for all routers together, and pauses that it asks of one router.
//
// Routers share no counter and do not hear of a limit at the same time. An endpoint with a
// limit is therefore left to a few routers, its members, that each router determines
// alike by rendezvous hashing. Each member may send an even share of the rate. The number
// of members follows the rate, so that a share is rarely below one request a second
// and one request of each member in advance stays small against the rate. If no router has
// had a response of the endpoint for some time, the membership moves on to the next
// routers in the order.
//
// Table is a pure state machine and not safe for concurrent use. Times are since an
// arbitrary origin.
package throttle

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minMembers is the least number of members, so that one may be lost. Below
	// singleMemberRate, in requests a second, there is only one: a smaller share would give
	// a member no request before the membership moves on.
	minMembers       = 2
	singleMemberRate = 0.5
	// burstTime is the time whose requests a member may send at once.
	burstTime = 500 * time.Millisecond
	// minRate is the lowest rate that is applied, in requests a second: without a request
	// now and then no router would learn that a limit has ended.
	minRate = 0.2
	// staleAfter is the time without a response of the endpoint after which the membership
	// moves on. It exceeds the time between two requests of a member at a rate of one a
	// second several times.
	staleAfter = 10 * time.Second
	// confirmInterval is several rounds of messages between routers.
	confirmInterval = 2 * time.Second
	// maxRate bounds stated limits; a higher one limits nothing.
	maxRate = 1e6
	// maxPause bounds a pause that an endpoint asks for.
	maxPause = time.Hour
)

// Table holds what endpoints have stated.
type Table struct {
	self    string
	routers []string
	// generation changes with the routers.
	generation int
	endpoints  map[string]*entry
	// nextReturn is when the next refused caller should return.
	nextReturn time.Duration
}

// entry is what is known of an endpoint.
type entry struct {
	// rate is the limit in requests a second, or 0 if there is none. Version counts its
	// changes, and changedAt is when this router learned of the last one.
	rate      float64
	version   uint32
	changedAt time.Duration
	// confirmations counts the responses with the current limit at all routers, at most
	// one in confirmInterval, and confirmedAt is when this router learned of the last one.
	confirmations uint32
	confirmedAt   time.Duration
	// rank is this router's position in the endpoint's order of routers, as of generation.
	rank, generation int
	// tokens is the number of requests that may start, as of refilledAt, while this router
	// is a member.
	tokens     float64
	refilledAt time.Duration
	member     bool
	// pausedUntil is the end of the pause that the endpoint asked of this router.
	pausedUntil time.Duration
}

// never is a time long before all others.
const never = math.MinInt64 / 2

// New returns a Table of a router. It sends no request to an endpoint with a limit until
// SetRouters tells it of the other routers.
func New() *Table { return &Table{endpoints: map[string]*entry{}} }

// SetRouters sets the names of this router and of the other ones.
func (t *Table) SetRouters(self string, others []string) {
	t.self, t.routers = self, others
	t.generation++
}

func (t *Table) entry(endpoint string) *entry {
	e := t.endpoints[endpoint]
	if e == nil {
		e = &entry{changedAt: never, pausedUntil: never, generation: -1}
		t.endpoints[endpoint] = e
	}
	return e
}

// Change is a change of an endpoint's limit, in requests a second. 0 means no limit.
type Change struct{ Before, Now float64 }

// ObserveResponse records the limit that a response states, in requests a second, or 0 if
// it states none. The request was sent at sentAt. It returns the change of the limit, if
// any. Responses on different connections overtake each other: a stricter limit applies at
// once, a looser one or none only if the request was sent after the current limit was known.
func (t *Table) ObserveResponse(now, sentAt time.Duration, endpoint string, rate float64) (Change, bool) {
	e := t.endpoints[endpoint]
	if e == nil && rate <= 0 {
		return Change{}, false
	}
	if e == nil {
		e = t.entry(endpoint)
	}
	rate = min(max(0, rate), maxRate)
	if rate == e.rate {
		e.confirm(now)
		return Change{}, false
	}
	if looser(rate, e.rate) && sentAt < e.changedAt {
		return Change{}, false
	}
	change := Change{e.rate, rate}
	e.set(now, rate, e.version+1)
	return change, true
}

// looser reports whether a limit allows more than another one.
func looser(rate, than float64) bool { return than > 0 && (rate == 0 || rate > than) }

// confirm records a response with the current limit. Other routers are told of it at most
// once in confirmInterval.
func (e *entry) confirm(now time.Duration) {
	if now-e.confirmedAt >= confirmInterval {
		e.confirmations++
		e.confirmedAt = now
	}
}

// set replaces the limit. A member continues with the tokens that it has.
func (e *entry) set(now time.Duration, rate float64, version uint32) {
	if e.rate == 0 {
		e.member = false
	}
	e.rate, e.version, e.changedAt = rate, version, now
	e.confirmations, e.confirmedAt = 0, now
}

// ObservePause records that the endpoint asked this router to send nothing for d.
func (t *Table) ObservePause(now time.Duration, endpoint string, d time.Duration) {
	if d > 0 {
		e := t.entry(endpoint)
		e.pausedUntil = max(e.pausedUntil, now+min(d, maxPause))
	}
}

// Paused returns how much longer this router must send nothing to the endpoint, which also
// holds for calls that do not count against a limit.
func (t *Table) Paused(now time.Duration, endpoint string) time.Duration {
	e := t.endpoints[endpoint]
	if e == nil {
		return 0
	}
	return max(0, e.pausedUntil-now)
}

// ReadyIn returns after which time a request to the endpoint may start, 0 meaning now.
func (t *Table) ReadyIn(now time.Duration, endpoint string) time.Duration {
	if len(t.endpoints) == 0 {
		return 0
	}
	e := t.endpoints[endpoint]
	if e == nil {
		return 0
	}
	wait := max(0, e.pausedUntil-now)
	if e.rate > 0 {
		wait = max(wait, t.limitWait(now, endpoint, e))
	}
	return wait
}

// Take records that a request to the endpoint starts.
func (t *Table) Take(now time.Duration, endpoint string) {
	if e := t.endpoints[endpoint]; e != nil && e.rate > 0 {
		t.limitWait(now, endpoint, e)
		e.tokens--
	}
}

// Members returns how many of the routers send requests to an endpoint with a limit.
func Members(rate float64, routers int) int {
	if rate < singleMemberRate {
		return 1
	}
	return min(routers, max(minMembers, int(min(math.Ceil(rate), float64(routers)))))
}

// limitWait refills the tokens and returns after which time there is one.
func (t *Table) limitWait(now time.Duration, endpoint string, e *entry) time.Duration {
	if t.self == "" {
		return staleAfter
	}
	n := len(t.routers) + 1
	members := Members(e.rate, n)
	if e.generation != t.generation {
		e.rank, e.generation = t.rank(endpoint), t.generation
	}
	window := int(max(0, now-e.confirmedAt) / staleAfter)
	if (e.rank-window*members%n+n)%n >= members {
		e.member = false
		return e.confirmedAt + time.Duration(window+1)*staleAfter - now
	}
	share := max(minRate, e.rate) / float64(members)
	if !e.member {
		// Members start without tokens: each change of the members would otherwise allow
		// more requests.
		e.member, e.tokens, e.refilledAt = true, 0, now
	}
	burst := max(1, share*burstTime.Seconds())
	e.tokens = min(burst, e.tokens+share*(now-e.refilledAt).Seconds())
	e.refilledAt = now
	if e.tokens >= 1 {
		return 0
	}
	return max(1, time.Duration((1-e.tokens)/share*float64(time.Second)))
}

// rank returns this router's position in the endpoint's order of routers.
func (t *Table) rank(endpoint string) int {
	own, rank := hash(endpoint, t.self), 0
	for _, r := range t.routers {
		if h := hash(endpoint, r); h > own || h == own && r < t.self {
			rank++
		}
	}
	return rank
}

func hash(endpoint, router string) uint64 { return xxhash.Sum64String(endpoint + "\x00" + router) }

// Rate returns the rate at which this router may send requests to the endpoint at present,
// in requests a second, or 0 if the endpoint has no limit or this router is no member.
func (t *Table) Rate(now time.Duration, endpoint string) float64 {
	e := t.endpoints[endpoint]
	if e == nil || e.rate == 0 {
		return 0
	}
	if t.limitWait(now, endpoint, e); !e.member {
		return 0
	}
	return max(minRate, e.rate) / float64(Members(e.rate, len(t.routers)+1))
}

// RetryAfter returns when a caller should return that was refused because all endpoints
// are throttled, from now. The first of them is ready in readyIn, and rate is the rate of
// all of them together in requests a second. Callers take turns, so that those who return
// find a token. Limit is the longest time.
func (t *Table) RetryAfter(now, readyIn time.Duration, rate float64, limit time.Duration) time.Duration {
	t.nextReturn = max(t.nextReturn, now+readyIn)
	out := min(limit, t.nextReturn-now)
	if rate > 0 {
		t.nextReturn += time.Duration(float64(time.Second) / rate)
	}
	t.nextReturn = min(t.nextReturn, now+limit)
	return out
}

// Forget removes the endpoints for which keep returns false.
func (t *Table) Forget(keep func(endpoint string) bool) {
	for id := range t.endpoints {
		if !keep(id) {
			delete(t.endpoints, id)
		}
	}
}
