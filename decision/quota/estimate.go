package quota

import (
	"math"
	"time"
)

// advance brings the state of a team to the given time.
func (l *Limiter) advance(now time.Duration, t *team) {
	dt := (now - t.at).Seconds()
	if dt < 0 {
		return
	}
	t.at = now
	decay(&t.own, dt)
	l.updateSilence(now, t)
	l.updateSums(now, t)
	t.longHistory.record(now, t.sums.long)
	rate, correction := t.limit.Rate, l.correction(t)
	t.sums.predicted = 0
	for _, o := range t.others {
		if o.silent {
			o.reservedUnits += o.share * rate * dt
			continue
		}
		if o.expired {
			continue
		}
		if now-o.asOf > freshAge {
			o.grown *= 1 + min(1, (t.sums.growth-1)*dt/usualTime.Seconds())
		}
		flow := t.expectedDemand(o)
		if t.empty {
			flow = min(flow, l.shareOf(t, flow)*rate*correction)
		}
		o.predicted += flow * dt
		t.sums.predicted += o.predicted
	}
	t.level += t.sums.rate * dt
	full := t.sums.free*t.limit.Burst + t.sums.predicted
	t.level = min(full, max(t.level, -debtWindow.Seconds()*rate-t.limit.Burst))
	share := l.share(t) * rate
	if t.empty {
		t.credit = min(t.credit+share*correction*dt, max(share*reportDelay.Seconds(), t.largestRefused))
	}
	t.backlog = max(0, t.backlog-share*dt)
	l.endStart(now, t)
}

// decay lets time pass for demand.
func decay(d *demand, dt float64) {
	d.current *= math.Exp(-dt / demandTime.Seconds())
	d.usual *= math.Exp(-dt / usualTime.Seconds())
	d.long *= math.Exp(-dt / shareTime.Seconds())
}

// correction is the factor of the rate that holds the level at its target while the bucket is
// empty.
func (l *Limiter) correction(t *team) float64 {
	if t.sums.rate == 0 {
		return 0
	}
	return min(maxSpeedUp, max(0, 1+(t.available()/t.sums.rate+targetDebt.Seconds())/levelTime.Seconds()))
}

// expectedDemand returns the demand that a router probably has now.
func (t *team) expectedDemand(o *other) float64 {
	if !o.known {
		return t.sums.unknown
	}
	return t.sums.expect(o.demand.current, o.demand.usual*o.grown)
}

// expect returns the expected demand for the current and usual demand of a router. Single requests
// are no sign of more to come.
func (s *sums) expect(current, usual float64) float64 {
	return max(current-2*s.noise, usual*s.growth)
}

// updateSums computes what depends on all routers.
func (l *Limiter) updateSums(now time.Duration, t *team) {
	s := sums{growth: 1, live: 1, predicted: t.sums.predicted}
	if t.meanUnits > 0 {
		s.noise = t.meanSquare / t.meanUnits / demandTime.Seconds()
	}
	s.ownUsual = sinceCreation(t.own.usual, now-t.createdAt, usualTime)
	ownLong := sinceCreation(t.own.long, now-t.createdAt, shareTime)
	s.long = ownLong
	current, usual := t.own.current, s.ownUsual
	known := 1
	for _, o := range t.others {
		if !o.known {
			continue
		}
		known++
		s.shares += o.share
		s.long += o.demand.long
		if now-o.asOf < freshAge {
			current += o.demand.current
			usual += o.demand.usual
		}
	}
	if usual > 0 {
		s.growth = min(maxGrowth, max(1, (current+s.noise)/(usual+s.noise)))
	}
	if t.createdAt == l.startedAt && now-l.startedAt < announcePeriod {
		s.unknown = s.long / float64(known) * s.growth
		s.long += s.unknown * float64(len(t.others)+1-known)
	}
	s.shares += t.reservedShare(ownLong, s.long) + float64(len(t.others)+1-known)*t.reservedShare(s.unknown, s.long)
	s.demand = s.expect(t.own.current, s.ownUsual)
	t.sums = s
	s.free = 1
	for _, o := range t.others {
		switch {
		case o.silent:
			s.free -= o.share
		case !o.expired:
			s.live++
			s.demand += t.expectedDemand(o)
		}
	}
	s.free = max(0, s.free)
	s.rate = s.free * (1 - silentMargin*(1-s.free)) * t.limit.Rate
	t.sums = s
}

// sinceCreation returns the mean of a demand that has been measured for a time, if that is shorter than
// the time constant.
func sinceCreation(demand float64, age, timeConstant time.Duration) float64 {
	return demand / (1 - math.Exp(-max(age, demandTime).Seconds()/timeConstant.Seconds()))
}

// share returns this router's part of the rate.
func (l *Limiter) share(t *team) float64 {
	return l.shareOf(t, t.sums.expect(t.own.current, t.sums.ownUsual))
}

// shareOf returns the part of the rate of a router that is not silent and has the given demand.
func (l *Limiter) shareOf(t *team, demand float64) float64 {
	routers := t.sums.live
	if !l.routersKnown {
		routers = max(routers, assumedRouters)
	}
	even := 1 / float64(routers)
	byDemand := even
	if t.sums.demand > 0 && l.routersKnown {
		byDemand = demand / t.sums.demand
	}
	return t.sums.free * (demandWeight*byDemand + (1-demandWeight)*even)
}

// silenceTimeout returns the time without a report after which a router counts as silent.
func (l *Limiter) silenceTimeout(t *team) time.Duration {
	timeout := silentAfter
	if t.empty {
		timeout = silentWhileEmpty
	}
	return min(maxSilentAfter, max(timeout, timeout*time.Duration(len(l.routers)+1)/silentAfterRouters))
}

// updateSilence reserves the shares of routers that have become silent, and frees those of routers
// that were silent for too long.
func (l *Limiter) updateSilence(now time.Duration, t *team) {
	timeout := l.silenceTimeout(t)
	isolated := now-l.heardAt > isolatedAfter
	for _, o := range t.others {
		switch age := now - o.router.heardAt; {
		case age > reserveLifetime:
			o.silent, o.expired = false, true
		case age <= timeout && !isolated:
			t.endSilence(now, o)
		case !o.silent:
			o.silent, o.silentSince = true, now
			if !o.known {
				o.share = t.reservedShare(t.sums.unknown, t.sums.long)
			}
			if now-t.createdAt < shareTime {
				o.share /= max(1, t.sums.shares)
			}
			// From now on its use is taken from the level at once.
			o.cut = min(max(0, t.level), o.share*t.limit.Burst)
			t.level -= o.predicted
			o.reservedUnits, o.predicted = o.predicted+o.cut, 0
		}
	}
}

// endSilence ends the reservation for a router that runs. What remains in reservedUnits will not be
// counted again.
func (t *team) endSilence(now time.Duration, o *other) {
	if o.silent && now-o.silentSince < shortSilence {
		t.level += o.cut
		o.reservedUnits -= o.cut
	}
	o.silent, o.expired, o.cut = false, false, 0
}

// reservedShare returns the part of the rate of a router with a long-term demand, given that of all. What
// it was as of the last report is reserved while a router is silent: routers on both sides of a partition
// agree on it, also when demand changes at the same time.
func (t *team) reservedShare(demand, total float64) float64 {
	even := 1 / float64(len(t.others)+1)
	if total <= 0 {
		return even
	}
	return demandWeight*min(1, demand/total) + (1-demandWeight)*even
}

// history holds the recent long-term demand at all routers, at intervals of historyStep.
type history struct {
	values [historyLength]float64
	last   int64
}

const (
	historyStep = 100 * time.Millisecond
	// historyLength reaches beyond forwardAge.
	historyLength = 10
)

func (h *history) record(now time.Duration, value float64) {
	step := int64(now / historyStep)
	if h.last = max(h.last, step-historyLength); h.last < 0 {
		h.last = 0
	}
	for h.last < step {
		h.last++
		h.values[h.last%historyLength] = value
	}
}

// at returns the value at a time, if that is recent enough.
func (h *history) at(asOf time.Duration) (float64, bool) {
	step := int64(asOf / historyStep)
	// A report may be older than this process.
	if step < 0 || step <= h.last-historyLength {
		return 0, false
	}
	return h.values[min(step, h.last)%historyLength], true
}

// endStart ends the start of this router for a team once it has heard from half of the others, or
// after startPeriod.
func (l *Limiter) endStart(now time.Duration, t *team) {
	if !t.starting {
		return
	}
	heard := 0
	for _, o := range t.others {
		if o.router.heard {
			heard++
		}
	}
	if now-l.startedAt < startPeriod && (!l.routersKnown || 2*heard < len(t.others)) {
		return
	}
	t.starting = false
	if !math.IsInf(t.lowestLevel, 1) {
		t.level = min(t.lowestLevel, t.limit.Burst) + t.sums.predicted
	}
}
