package overload

import (
	"math"
	"time"
)

const (
	// pressureWindow is the time constant with which pressure decays. Bursts last 3 to 8 s.
	pressureWindow = time.Second
	// pressurePrior is a number of requests with room that is added to the observed ones,
	// so that a single request in a quiet second is not full pressure.
	pressurePrior = 1
	// minPressure is the pressure below which nothing changes.
	minPressure = 0.02
	// fullPressure is the pressure from which on less urgent requests leave all the room
	// that more urgent ones need: less than one of the seven urgent requests that a router
	// decides on in a second. With 0.15, urgent requests were refused more often than less
	// urgent ones in two of 40 simulated bursts, with 0.1 in none of these.
	fullPressure = 0.1
	// shareWindow is the time constant with which the work of teams decays. A router starts
	// less than one request a second of most teams.
	shareWindow = 4 * time.Second
	// activeTime is how long after its last request a team counts as active and a priority
	// as in use.
	activeTime = 8 * time.Second
	// shareNoise is the number of standard deviations by which a team's number of requests
	// exceeds the average team's before it may be above its share, because the number that
	// one router receives of a team at its usual rate is small and random.
	shareNoise = 2
	// maxLevels and maxTeams bound the memory of a Controller.
	maxLevels, maxTeams = 64, 1024
)

// counter is a sum whose parts lose their weight exponentially with their age.
type counter struct {
	value float64
	at    time.Duration
}

func (c *counter) get(now, window time.Duration) float64 {
	if now > c.at {
		c.value *= math.Exp(-float64(now-c.at) / float64(window))
		c.at = now
	}
	return c.value
}

func (c *counter) add(now, window time.Duration, n float64) { c.value = c.get(now, window) + n }

// use is a number of requests and the prompt tokens to compute of those that started.
type use struct{ requests, work counter }

// teamUse is the use of one team.
type teamUse struct {
	use
	lastSeen time.Duration
	// quotaRate is the rate of the team's quota, or 0 if it has none.
	quotaRate float64
}

// level is what the router observed of the requests of one priority.
type level struct {
	// offered and blocked count the requests and those without room. Requests of a team
	// above its share count less, so that it does not displace less urgent ones.
	offered, blocked   counter
	starts, lateStarts counter
	lastSeen           time.Duration
	// room is the queue up to which the last request without room would have started.
	room time.Duration
	// nextReturn is when the next refused caller should return.
	nextReturn time.Duration
	all        use
	teams      map[string]*teamUse
	// sweptAt is when inactive teams were last removed.
	sweptAt time.Duration
}

func (c *Controller) level(priority int) *level {
	l := c.levels[priority]
	if l == nil {
		if len(c.levels) >= maxLevels {
			clear(c.levels)
		}
		l = &level{teams: map[string]*teamUse{}}
		c.levels[priority] = l
	}
	return l
}

// observe records a decision on a request that starts with a queue of up to room, and returns
// the excess of its team. blocked means that there is no room for it.
func (l *level) observe(now time.Duration, r Request, blocked bool, room time.Duration) (excess float64) {
	l.lastSeen = now
	t := l.team(now, r.Team)
	t.quotaRate = r.QuotaRate
	if !r.Repeated {
		t.requests.add(now, shareWindow, 1)
		l.all.requests.add(now, shareWindow, 1)
	}
	excess = l.excess(now, t)
	if blocked {
		l.room = room
	}
	if !r.Repeated {
		n := 1 / (1 + excess)
		l.offered.add(now, pressureWindow, n)
		if blocked {
			l.blocked.add(now, pressureWindow, n)
		}
	}
	return excess
}

// observeStart records that a request starts.
func (l *level) observeStart(now time.Duration, r Request, late bool) {
	l.team(now, r.Team).work.add(now, shareWindow, float64(r.Tokens))
	l.all.work.add(now, shareWindow, float64(r.Tokens))
	l.starts.add(now, pressureWindow, 1)
	if late {
		l.lateStarts.add(now, pressureWindow, 1)
	}
}

// mayStartLate reports whether few enough of the recent starts were late.
func (l *level) mayStartLate(now time.Duration) bool {
	return l.lateStarts.get(now, pressureWindow) <= maxLateStarts*l.starts.get(now, pressureWindow)
}

// Pressure returns the pressure of each priority that is in use, from 0 to 1.
func (c *Controller) Pressure(now time.Duration) map[int]float64 {
	out := map[int]float64{}
	for priority, l := range c.levels {
		if now-l.lastSeen < activeTime {
			out[priority] = l.pressure(now)
		}
	}
	return out
}

func (l *level) pressure(now time.Duration) float64 {
	p := l.blocked.get(now, pressureWindow) / (l.offered.get(now, pressureWindow) + pressurePrior)
	if p < minPressure {
		return 0
	}
	return p
}

// pressureEnds returns when a pressure ends if all further requests find room.
func pressureEnds(now time.Duration, pressure float64) time.Duration {
	return now + share(pressureWindow, math.Log(pressure/minPressure))
}

// weight returns the strength of the reaction to a pressure, from 0 to 1.
func weight(pressure float64) float64 { return min(1, pressure/fullPressure) }

// urgentPressure returns the highest pressure of the priorities that are more urgent, and the
// queue up to which requests of that priority start.
func (c *Controller) urgentPressure(now time.Duration, priority int) (pressure float64, room time.Duration) {
	for other, l := range c.levels {
		if other >= priority {
			continue
		}
		if p := l.pressure(now); p > pressure || p == pressure && p > 0 && l.room < room {
			pressure, room = p, l.room
		}
	}
	return pressure, room
}

// team returns the use of a team, which has just sent a request.
func (l *level) team(now time.Duration, name string) *teamUse {
	if now-l.sweptAt >= activeTime {
		l.sweptAt = now
		for other, t := range l.teams {
			if now-t.lastSeen >= activeTime {
				delete(l.teams, other)
			}
		}
	}
	t := l.teams[name]
	if t == nil {
		if len(l.teams) >= maxTeams {
			clear(l.teams)
		}
		t = &teamUse{}
		l.teams[name] = t
	}
	t.lastSeen = now
	return t
}

// fairShare returns the share of the work that a team may start under pressure: in proportion
// to the quotas, by which operators tell how much each team needs, or even without them.
// Teams without a quota count as the average team with one.
func (l *level) fairShare(t *teamUse) float64 {
	var sum, limited float64
	for _, other := range l.teams {
		if other.quotaRate > 0 {
			sum += other.quotaRate
			limited++
		}
	}
	teams := float64(len(l.teams))
	if limited == 0 || t.quotaRate <= 0 {
		return 1 / teams
	}
	return t.quotaRate / (sum * teams / limited)
}

// excess returns by how much the work that a team started lately exceeds its fair share, as a
// multiple of it. It is 0 unless the team also sends more requests than it may by chance with
// that share of them.
func (l *level) excess(now time.Duration, t *teamUse) float64 {
	share := l.fairShare(t)
	usual, work := l.all.requests.get(now, shareWindow)*share, l.all.work.get(now, shareWindow)*share
	if work <= 0 || t.requests.get(now, shareWindow) <= usual+shareNoise*math.Sqrt(usual) {
		return 0
	}
	return max(0, t.work.get(now, shareWindow)/work-1)
}
