package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ownReportLifetime is how long a team's figures are sent after its last request. It exceeds
	// reserveLifetime, so that a message without them tells that the sender used nothing of what
	// was reserved for it.
	ownReportLifetime = 20 * time.Second
	// forwardAge is the age up to which reports of other routers are forwarded. Later ones reach
	// others sooner on shorter ways.
	forwardAge = 600 * time.Millisecond
	// unknownUse bounds, with the burst, what a router that was not known or silent is believed to
	// have used beyond its reserve, as a time of the rate.
	unknownUse = 1500 * time.Millisecond
	// settlePeriod is the longest time between the returns of two routers of a partition.
	settlePeriod = 2 * time.Second
)

// Use is what a router has admitted for a team. Reports may be lost, late, repeated and out of
// order.
type Use struct {
	Team, Router string
	// Incarnation identifies the count of the router's process for the team; a later one is
	// higher. Sequence rises with each report.
	Incarnation, Sequence uint64
	// Admitted is the number of units that were admitted and not refunded since the count began.
	Admitted float64
	// AdmittedRate and DemandRate are in units per second.
	AdmittedRate, DemandRate float64
	// Age is the age of these figures.
	Age time.Duration
}

// Level is a router's estimate of the units left in the bucket of a team.
type Level struct {
	Team      string
	Available float64
}

// Reports returns what to send with a message to another router: this router's own figures, at most
// maxForwarded reports of others about teams under pressure, newest first, and the levels while some
// router starts.
func (l *Limiter) Reports(now time.Duration, maxForwarded int) ([]Use, []Level) {
	if len(l.teams) == 0 {
		return nil, nil
	}
	l.sequence++
	var own, forwarded []Use
	var levels []Level
	announces := now-l.startedAt < announcePeriod
	starterKnown := l.newRouterAt >= 0 && now-l.newRouterAt < announcePeriod
	for name, t := range l.teams {
		l.advance(now, t)
		if announces || now-t.changedAt < ownReportLifetime {
			own = append(own, Use{
				Team: name, Router: l.self, Incarnation: t.incarnation, Sequence: l.sequence, Admitted: t.admitted,
				AdmittedRate: t.admittedRate(l), DemandRate: t.own.current,
			})
		}
		if starterKnown && !t.starting {
			levels = append(levels, Level{name, t.available()})
		}
		if !t.underPressure() {
			continue
		}
		for id, o := range t.others {
			if age := now - o.asOf; o.known && age < forwardAge {
				forwarded = append(forwarded, Use{
					Team: name, Router: id, Incarnation: o.incarnation, Sequence: o.sequence, Admitted: o.admitted,
					AdmittedRate: o.admittedRate, DemandRate: o.demand.current, Age: age,
				})
			}
		}
	}
	slices.SortFunc(forwarded, func(a, b Use) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Router, b.Router)) })
	return append(own, forwarded[:min(len(forwarded), maxForwarded)]...), levels
}

func (t *team) admittedRate(l *Limiter) float64 {
	if t.empty {
		return min(t.own.current, l.share(t)*t.limit.Rate)
	}
	return t.own.current
}

// underPressure reports whether the other routers need to know soon what each has admitted.
func (t *team) underPressure() bool {
	return t.empty || t.available() < t.limit.Burst/2 || t.sums.demand > t.limit.Rate
}

// Merge adds what a message of another router told. It returns the number of reports with invalid
// figures, which it ignores, as it does reports about teams and routers that it does not know.
func (l *Limiter) Merge(now time.Duration, from string, uses []Use, levels []Level) (invalid int) {
	l.hear(from, now)
	l.heardAt = now
	for _, u := range uses {
		if !valid(u.Admitted) || !valid(u.AdmittedRate) || !valid(u.DemandRate) {
			invalid++
			continue
		}
		t, age := l.teams[u.Team], max(0, u.Age)
		if t == nil || u.Router == l.self {
			continue
		}
		if o := t.others[u.Router]; o != nil && (!o.known || u.Incarnation > o.incarnation || u.Incarnation == o.incarnation && u.Sequence > o.sequence) {
			l.advance(now, t)
			l.merge(now, t, o, u, now-age)
		}
	}
	for _, t := range l.teams {
		if o := t.others[from]; o != nil && (o.silent || o.expired || o.reservedUnits > 0) {
			l.advance(now, t)
			t.settleReserve(now, o, 0)
		}
	}
	for _, level := range levels {
		if t := l.teams[level.Team]; t != nil && t.starting && !math.IsNaN(level.Available) {
			t.lowestLevel = min(t.lowestLevel, level.Available)
		}
	}
	return invalid
}

func valid(units float64) bool { return units >= 0 && units <= maxUnits }

// hear records that a router ran at a time.
func (l *Limiter) hear(id string, asOf time.Duration) {
	if r := l.routers[id]; r != nil {
		r.heard = true
		r.heardAt = max(r.heardAt, asOf)
	}
}

// merge applies a new report about a router.
func (l *Limiter) merge(now time.Duration, t *team, o *other, u Use, asOf time.Duration) {
	before := o.admitted
	if u.Incarnation != o.incarnation {
		if l.newRouterAt = now; o.known {
			// What the process before admitted since its last report will never be known.
			t.level -= o.predicted
		}
		before = 0
		if !o.known && u.Incarnation < t.incarnation {
			before = u.Admitted // The levels of others tell what it admitted until this router started.
		}
	}
	used := u.Admitted - before
	switch {
	case !o.known:
		t.level -= min(used, t.limit.Burst+t.limit.Rate*unknownUse.Seconds())
	case o.expired || o.silent || o.reservedUnits > 0:
		t.settleReserve(now, o, used)
	default:
		t.level -= used
	}
	l.hear(u.Router, asOf)
	o.observeDemand(u, u.Admitted-before, asOf, t.createdAt)
	o.known, o.grown = true, 1
	o.incarnation, o.sequence, o.admitted, o.asOf = u.Incarnation, u.Sequence, u.Admitted, asOf
	l.updateSums(now, t)
	if total, ok := t.longHistory.at(asOf); ok || o.share == 0 {
		o.share = t.reservedShare(o.demand.long, total)
	}
	flow := t.expectedDemand(o)
	if t.empty {
		flow = min(flow, l.shareOf(t, flow)*t.limit.Rate)
	}
	t.sums.predicted -= o.predicted
	o.predicted = flow * (now - asOf).Seconds()
	t.sums.predicted += o.predicted
}

// settleReserve compares what a router used while it was silent with what was reserved. Routers that
// return together share what was reserved for them, and the level pays for the rest.
func (t *team) settleReserve(now time.Duration, o *other, used float64) {
	t.endSilence(now, o)
	if now-t.settledAt > settlePeriod {
		t.unreserved = 0
	}
	before := max(0, t.unreserved)
	t.unreserved += min(used-o.reservedUnits, t.limit.Burst+t.limit.Rate*unknownUse.Seconds())
	t.level -= max(0, t.unreserved) - before
	t.settledAt, o.reservedUnits = now, 0
}

// observeDemand updates the means of a router's demand since a time, after it has admitted used units
// since its last report. A single request must not pass for the usual: a router that refuses nothing has had
// the demand that it admitted, and none before its first report. As long as little is known, the means are
// those of all reports.
func (o *other) observeDemand(u Use, used float64, asOf, since time.Duration) {
	elapsed, mean := demandTime.Seconds(), u.DemandRate
	if o.known {
		elapsed = max(0, (asOf - o.asOf).Seconds())
		if elapsed > 0 && u.AdmittedRate >= u.DemandRate {
			mean = max(0, used) / elapsed
		}
	}
	part := elapsed / max(elapsed, (asOf-since).Seconds(), demandTime.Seconds())
	o.demand.current, o.admittedRate = u.DemandRate, u.AdmittedRate
	o.demand.usual += (mean - o.demand.usual) * max(part, 1-math.Exp(-elapsed/usualTime.Seconds()))
	o.demand.long += (mean - o.demand.long) * max(part, 1-math.Exp(-elapsed/shareTime.Seconds()))
}
