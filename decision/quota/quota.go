// Package quota decides which requests of a team with a quota one router of many may admit.
// Each router keeps its own estimate of one token bucket per team that all routers share. It
// learns from reports of the others what they admitted, predicts what they have admitted since,
// and divides the rate by demand once the bucket is empty. The package has no clock and no
// network; a Limiter is not safe for concurrent use.
package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silentAfter is the time without a report after which a router counts as silent, in
	// deployments of up to silentAfterRouters routers. Pairs of these exchange reports about
	// every half second, and every second between zones: after half of it, some routers would
	// always count as silent. In larger deployments it grows with the number of routers, as the
	// interval between the reports of a pair does, up to maxSilentAfter.
	//
	// A router that admits from its share counts others as silent sooner, silentWhileEmpty: reports
	// are forwarded then and arrive several times as often.
	silentAfter      = 3 * time.Second
	silentWhileEmpty = 750 * time.Millisecond
	// isolatedAfter is the time without any message after which all others count as silent: a
	// router with 25 others receives about 50 messages in a second.
	isolatedAfter = 400 * time.Millisecond
	// shortSilence is the length of a silence up to which the reserved part of the burst is given
	// back after it. A router without processor time seems isolated to itself.
	shortSilence       = time.Second
	silentAfterRouters = 25
	maxSilentAfter     = 6 * time.Second
	// reserveLifetime is the time after the last report until which a silent router's share is
	// reserved. Partitions last up to 12 s.
	reserveLifetime = 15 * time.Second
	// startPeriod is how long at most a router that starts admits from its share alone. In half
	// of it, a router exchanges reports with most of 25 others.
	startPeriod = time.Second
	// announcePeriod is how long a router that has started sends reports for all teams, and
	// others send their levels after they learned of it.
	announcePeriod = 2 * time.Second
	// demandTime and usualTime are the time constants of the current and of the usual demand.
	// Demand rises to several times the usual within a moment and stays for 5 s to 8 s.
	demandTime = 300 * time.Millisecond
	usualTime  = 3 * time.Second
	// shareTime is the time constant of the demand by which shares are reserved. A router sees few
	// requests of a team in a second, so that a shorter mean would deviate by a fifth.
	shareTime = 10 * time.Second
	// freshAge is the age up to which a report tells whether demand is growing.
	freshAge = 400 * time.Millisecond
	// maxGrowth bounds the predicted growth of demand. Teams send up to 7 times their usual rate.
	maxGrowth = 8
	// reportDelay is about the time until most routers know what one has admitted.
	reportDelay = 300 * time.Millisecond
	// demandWeight is the part of the rate that is divided by demand. The rest is divided
	// evenly, for routers whose demand the others do not know yet.
	demandWeight = 0.9
	// levelTime is the time within which a deviation of the level from its target is corrected
	// while the bucket is empty. It is several times reportDelay, because routers that correct
	// by old levels overshoot.
	levelTime = time.Second
	// tolerance is the debt, as a time of the rate, up to which requests are admitted as long as
	// the bucket has not been empty. It keeps errors of the estimates from refusing requests
	// below the quota, and takes a ninth of what the bound allows beyond the quota.
	tolerance = 100 * time.Millisecond
	// targetDebt is the debt that is held, as a time of the rate, while demand exceeds the rate.
	// It exceeds tolerance, so that errors of the estimates do not make all routers at once
	// believe that the bucket has room.
	targetDebt = 200 * time.Millisecond
	// maxSpeedUp bounds the correction when routers use less than their shares.
	maxSpeedUp = 2
	// debtWindow bounds the debt, as a time of the rate: what was admitted longer ago than the
	// window of the bound no longer counts.
	debtWindow = 8 * time.Second
	// silentMargin, times the reserved part, is the part of its rate that a router does not use,
	// because routers that cannot reach each other estimate the reserved shares from few requests
	// and may exceed the rate together.
	silentMargin = 0.15
	// assumedRouters is the number of routers that one assumes before it knows them.
	assumedRouters = 32
	// minRetryAfter is the shortest time after which a refused caller is asked to return.
	minRetryAfter = 200 * time.Millisecond
	// maxBacklog bounds the time of a router's share that refused requests are told to wait for.
	// Callers wait up to a third of their time, and no route has a timeout over 30 s.
	maxBacklog = 10 * time.Second
	// maxUnits bounds the figures of reports, so that sums stay finite.
	maxUnits = 1e15
)

// Limit is the quota of a team.
type Limit struct {
	// Rate is in units per second and positive; Burst is in units.
	Rate, Burst float64
}

// Decision is the answer to a request.
type Decision struct {
	Allowed bool
	// Limited is false if the team has no quota.
	Limited bool
	// RetryAfter is the time until this router's share has room for a refused request, after
	// those that it refused before.
	RetryAfter time.Duration
	// Level is the estimate of the units left in the shared bucket, before the request. It is
	// negative if routers have admitted more.
	Level float64
	// Share is this router's part of the rate while the bucket is empty, in units per second.
	Share float64
}

// Limiter has the state of all teams at one router. Its size is bounded by the number of teams with
// a quota times the number of routers.
type Limiter struct {
	self        string
	incarnation uint64
	// epoch counts the times that the state of teams was created, so that a team whose quota
	// was removed and comes back starts a new count.
	epoch    uint64
	sequence uint64
	random   *rand.Rand
	teams    map[string]*team
	// routers are the other registered routers.
	routers      map[string]*router
	routersKnown bool
	// startedAt is the time of the first limits, or -1.
	startedAt time.Duration
	// heardAt is when the last message arrived.
	heardAt time.Duration
	// newRouterAt is when another router last reported a new incarnation, or -1.
	newRouterAt time.Duration
}

// router is another registered router.
type router struct {
	// heardAt is as of when the router was last known to run.
	heardAt time.Duration
	heard   bool
}

// team is the state of one team.
type team struct {
	limit       Limit
	incarnation uint64
	at          time.Duration
	// level is what is left in the bucket after all that is known to be admitted.
	level float64
	// starting is true while this process has not learned the level from other routers.
	starting bool
	// lowestLevel is the lowest level that others reported while starting, or +Inf.
	lowestLevel float64
	// empty is true while requests are admitted from this router's share. credit is what the
	// share allows now, and threshold the part of a request that credit must cover.
	empty     bool
	credit    float64
	threshold float64
	// largestRefused is the size of the largest request refused while empty.
	largestRefused float64
	// backlog is the size of the requests that were refused and told to return.
	backlog float64
	own     demand
	// meanUnits and meanSquare are the recent means of the size of a request and of its square.
	meanUnits, meanSquare float64
	// createdAt is when the state was created.
	createdAt time.Duration
	admitted  float64
	// changedAt is the time of the last request or refund.
	changedAt time.Duration
	others    map[string]*other
	// unreserved is what routers that returned lately, until settledAt, used beyond their reserves.
	unreserved float64
	settledAt  time.Duration
	// sums are valid as of at.
	sums        sums
	longHistory history
}

// demand is what callers ask for, in units per second, as means over demandTime, usualTime and
// shareTime.
type demand struct{ current, usual, long float64 }

// sums are derived from the state of all routers.
type sums struct {
	growth    float64
	predicted float64
	// demand is the expected demand at routers that are not silent, with this one's. long is the
	// mean of all routers over shareTime.
	demand, long float64
	// noise is the demand that one large request seems to be.
	noise float64
	// ownUsual is this router's usual demand.
	ownUsual float64
	// shares is the sum of this router's share and those of the others as of their last reports. It may exceed 1 while
	// demand has not been measured for long.
	shares float64
	// unknown is the demand assumed of routers that are not known yet.
	unknown float64
	// free is the part of rate and burst that is not reserved for silent routers, and rate that
	// part of the rate.
	free, rate float64
	// live is the number of routers that are not silent, with this one.
	live int
}

// other is what is known of a team at another router.
type other struct {
	router *router
	// known is true after a report.
	known       bool
	incarnation uint64
	sequence    uint64
	admitted    float64
	demand      demand
	// admittedRate is below the current demand if the router refused requests.
	admittedRate float64
	// grown is how much the usual demand has probably grown since the last report.
	grown float64
	// asOf is when the last report was made.
	asOf time.Duration
	// predicted is what the router has probably admitted since.
	predicted float64
	// silent is true while share, a part of the rate, is reserved, and expired is true after
	// reserveLifetime. reservedUnits is what was taken from the level meanwhile.
	silent, expired bool
	share           float64
	reservedUnits   float64
	silentSince     time.Duration
	// cut is the part of reservedUnits that was taken from the burst.
	cut float64
}

// New returns a Limiter without limits. Incarnation identifies the process and must exceed that of
// earlier processes of the router.
func New(self string, incarnation uint64) *Limiter {
	return &Limiter{
		self: self, incarnation: incarnation, random: rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(self))),
		teams: map[string]*team{}, routers: map[string]*router{}, startedAt: -1, newRouterAt: -1,
	}
}

// SetLimits replaces the limits, by team. The state of teams without one is dropped. The first call
// begins the start of the router.
func (l *Limiter) SetLimits(now time.Duration, limits map[string]Limit) {
	maps.DeleteFunc(l.teams, func(name string, _ *team) bool { _, ok := limits[name]; return !ok })
	starts := l.startedAt < 0
	if starts {
		l.startedAt, l.heardAt = now, now
	}
	l.epoch++
	for name, limit := range limits {
		if t := l.teams[name]; t != nil {
			l.changeLimit(now, t, limit)
			continue
		}
		t := &team{
			limit: limit, incarnation: l.incarnation + l.epoch, at: now, createdAt: now, level: limit.Burst, changedAt: now,
			starting: starts, empty: starts, lowestLevel: math.Inf(1), others: map[string]*other{},
		}
		if starts {
			t.level = 0
		}
		t.threshold = l.random.Float64()
		for id, r := range l.routers {
			t.others[id] = newOther(r, now)
		}
		l.teams[name] = t
	}
}

func newOther(r *router, now time.Duration) *other { return &other{router: r, asOf: now, grown: 1} }

// changeLimit changes the limit of a team. What a raised quota adds is available at once.
func (l *Limiter) changeLimit(now time.Duration, t *team, limit Limit) {
	if limit == t.limit {
		return
	}
	l.advance(now, t)
	if t.level += max(0, limit.Burst-t.limit.Burst); limit.Rate > t.limit.Rate && !t.starting {
		t.empty = false
		t.level = max(t.level, 0)
	}
	t.level, t.limit, t.backlog = min(t.level, limit.Burst), limit, 0
	t.credit = min(t.credit, 0)
}

// SetRouters sets the other registered routers.
func (l *Limiter) SetRouters(now time.Duration, others []string) {
	for _, t := range l.teams {
		l.advance(now, t)
	}
	l.routersKnown = true
	for _, id := range others {
		if l.routers[id] == nil && id != l.self {
			r := &router{heardAt: now}
			l.routers[id] = r
			for _, t := range l.teams {
				t.others[id] = newOther(r, now)
			}
		}
	}
	for id := range l.routers {
		if slices.Contains(others, id) {
			continue
		}
		delete(l.routers, id)
		for _, t := range l.teams {
			t.level -= t.others[id].predicted
			delete(t.others, id)
		}
	}
}

// Admit decides whether a request is admitted, and counts it if so. Units must not be negative.
func (l *Limiter) Admit(now time.Duration, name string, units float64) Decision {
	t := l.teams[name]
	if t == nil {
		return Decision{Allowed: true}
	}
	l.advance(now, t)
	t.own.current += units / demandTime.Seconds()
	t.own.usual += units / usualTime.Seconds()
	t.own.long += units / shareTime.Seconds()
	t.meanUnits += (units - t.meanUnits) * meanUnitsWeight
	t.meanSquare += (units*units - t.meanSquare) * meanUnitsWeight
	t.changedAt = now
	d := Decision{Limited: true, Level: t.available(), Share: l.share(t) * t.limit.Rate}
	if d.Allowed = l.allow(t, units, d.Level); d.Allowed {
		t.level -= units
		t.admitted += units
		return d
	}
	t.largestRefused = max(t.largestRefused, units)
	missing := max(0, t.threshold*units-t.credit)
	d.RetryAfter = max(minRetryAfter, seconds((missing+t.backlog)/d.Share))
	t.backlog = min(t.backlog+units, d.Share*maxBacklog.Seconds())
	return d
}

// meanUnitsWeight is the weight of one request in the mean size.
const meanUnitsWeight = 0.1

// allow decides by the level or, while the bucket is empty, by this router's share.
func (l *Limiter) allow(t *team, units, level float64) bool {
	if !t.starting {
		if !t.empty && level > -tolerance.Seconds()*t.sums.rate {
			return true
		}
		if !t.empty {
			t.empty, t.credit, t.largestRefused = true, 0, 0
		} else if level > t.refilledLevel() {
			t.empty, t.backlog = false, 0
			return true
		}
	}
	if t.credit < t.threshold*units || t.credit <= 0 {
		return false
	}
	t.credit -= units
	// A request of which a random part must be covered makes the routers together admit as much
	// as their shares allow, whatever its size.
	t.threshold = l.random.Float64()
	return true
}

// refilledLevel is the level above which a bucket that was empty no longer is. If demand exceeds
// the rate, the routers together would take more than is there before they learn of each other's.
func (t *team) refilledLevel() float64 {
	// An excess of less than one large request is no reason to wait.
	request := t.sums.noise * demandTime.Seconds()
	excess := max(0, (t.sums.demand-t.sums.rate)*reportDelay.Seconds()-request)
	return min(excess, t.sums.free*t.limit.Burst/2) - tolerance.Seconds()*t.sums.rate
}

// Refund takes back units that were admitted and not sent to an endpoint.
func (l *Limiter) Refund(now time.Duration, name string, units float64) {
	t := l.teams[name]
	if t == nil || units > t.admitted {
		return // The quota was removed since, and its count began anew.
	}
	l.advance(now, t)
	t.admitted -= units
	t.level = min(t.level+units, t.limit.Burst+t.sums.predicted)
	if t.changedAt = now; t.empty {
		t.credit += units
	}
}

// available returns the estimate of the units left in the bucket.
func (t *team) available() float64 { return t.level - t.sums.predicted }

// State is the state of a team for metrics.
type State struct {
	Limit Limit
	// Level is as in Decision.
	Level float64
}

// States returns the state of each team with a quota.
func (l *Limiter) States(now time.Duration) map[string]State {
	out := make(map[string]State, len(l.teams))
	for name, t := range l.teams {
		l.advance(now, t)
		out[name] = State{t.limit, t.available()}
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
