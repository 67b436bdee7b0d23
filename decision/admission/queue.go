package admission

import "time"

// entry is an admitted attempt.
type entry struct {
	attempt *Attempt
	team    *teamState
	// virtualStart is the virtual virtualStart time that orders entries of one priority.
	virtualStart float64
	// prefillMS is the expected time to compute the uncached prompt.
	prefillMS float64
	// latestStart is when prefill must have started, 0 when there is no target.
	latestStart time.Duration
	// startedAt is when Next returned the entry.
	startedAt time.Duration
}

// teamState is a team's position in start-time fair queueing.
type teamState struct {
	// virtualFinish is the virtual virtualFinish time of the team's newest attempt.
	virtualFinish float64
	share         float64
	queued        int
}

// queue orders waiting attempts by priority, then by virtual start time: an
// attempt starts at the later of the queue's virtual time and its team's last
// finish, and finishes after its cost divided by the team's share. A team that
// sends more than its share thus queues behind the others.
type queue struct {
	entries []*entry
	teams   map[string]*teamState
	// virtualTime is the start time of the attempt that was started last.
	virtualTime float64
}

// teamPruneThreshold is the number of teams after which idle ones are forgotten.
const teamPruneThreshold = 1024

func newQueue() queue { return queue{teams: map[string]*teamState{}} }

// nextVirtualStart returns the virtual start time that a new attempt of the team gets.
func (q *queue) nextVirtualStart(team string) float64 {
	if t, ok := q.teams[team]; ok {
		return max(q.virtualTime, t.virtualFinish)
	}
	return q.virtualTime
}

func (q *queue) push(e *entry, team string, share float64) {
	t, ok := q.teams[team]
	if !ok {
		q.pruneIdleTeams()
		t = &teamState{}
		q.teams[team] = t
	}
	t.share = max(share, 0.001)
	t.queued++
	e.team, e.virtualStart = t, max(q.virtualTime, t.virtualFinish)
	t.virtualFinish = e.virtualStart + e.prefillMS/t.share
	q.entries = append(q.entries, e)
}

// pruneIdleTeams forgets teams that would get the current virtual time anyway.
func (q *queue) pruneIdleTeams() {
	if len(q.teams) < teamPruneThreshold {
		return
	}
	for name, t := range q.teams {
		if t.queued == 0 && t.virtualFinish <= q.virtualTime {
			delete(q.teams, name)
		}
	}
}

// runsBefore reports whether an entry runs runsBefore an attempt of the given priority
// and start time that arrives now.
func (e *entry) runsBefore(priority int, start float64) bool {
	if e.attempt.Priority != priority {
		return e.attempt.Priority > priority
	}
	return e.virtualStart <= start
}

// pop removes and returns the first entry in order, or nil.
func (q *queue) pop() *entry {
	best := -1
	for i, e := range q.entries {
		if best < 0 || !q.entries[best].runsBefore(e.attempt.Priority, e.virtualStart) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	e := q.entries[best]
	q.removeAt(best)
	q.virtualTime = max(q.virtualTime, e.virtualStart)
	return e
}

func (q *queue) removeAt(i int) {
	e := q.entries[i]
	e.team.queued--
	copy(q.entries[i:], q.entries[i+1:])
	q.entries[len(q.entries)-1] = nil
	q.entries = q.entries[:len(q.entries)-1]
}

// removeUnserved drops the attempt at position i, which is not served, and gives its
// team the virtual time back.
func (q *queue) removeUnserved(i int) {
	e := q.entries[i]
	e.team.virtualFinish -= e.prefillMS / e.team.share
	q.removeAt(i)
}

// remove drops a waiting attempt and reports whether it was there.
func (q *queue) remove(id string) bool {
	for i, e := range q.entries {
		if e.attempt.ID == id {
			q.removeUnserved(i)
			return true
		}
	}
	return false
}
