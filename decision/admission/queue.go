package admission

import "time"

// entry is an admitted attempt that waits or runs.
type entry struct {
	attempt *Attempt
	team    *teamState
	// virtualStart is the virtual start time. It orders entries of one priority.
	virtualStart float64
	// prefillMS is the expected time to compute the uncached part of the prompt.
	prefillMS float64
	// latestStart is the latest start of prefill with which the first token is in
	// time. 0 means no deadline.
	latestStart time.Duration
	// startedAt is when Next returned the entry.
	startedAt time.Duration
}

// teamState is the state of a team in start-time fair queueing.
type teamState struct {
	// virtualFinish is the virtual finish time of the team's newest attempt.
	virtualFinish float64
	share         float64
	queued        int
}

// queue orders waiting attempts by priority, then by virtual start time (start-time
// fair queueing). The virtual start of an attempt is the later of the queue's virtual
// time and the virtual finish of its team's newest attempt. Its virtual finish is its
// start plus its prefill time divided by the team's share. A team that sends more
// than its share therefore queues behind the others.
type queue struct {
	entries []*entry
	teams   map[string]*teamState
	// virtualTime is the highest virtual start of the attempts started so far.
	virtualTime float64
}

// teamPruneThreshold is the number of teams at which idle teams are removed.
const teamPruneThreshold = 1024

func newQueue() queue { return queue{teams: map[string]*teamState{}} }

// nextVirtualStart returns the virtual start time of a new attempt of the team.
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

// pruneIdleTeams removes teams without waiting attempts whose next attempt would
// start at the current virtual time in any case.
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

// runsBefore reports whether the entry runs before a new attempt of the given
// priority and virtual start time.
func (e *entry) runsBefore(priority int, virtualStart float64) bool {
	if e.attempt.Priority != priority {
		return e.attempt.Priority > priority
	}
	return e.virtualStart <= virtualStart
}

// pop removes and returns the first entry in order, or nil if the queue is empty.
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

// removeUnserved removes the entry at index i, which was not started, and subtracts its
// cost from the team's virtual finish time.
func (q *queue) removeUnserved(i int) {
	e := q.entries[i]
	e.team.virtualFinish -= e.prefillMS / e.team.share
	q.removeAt(i)
}

// remove removes a waiting attempt and reports whether it was in the queue.
func (q *queue) remove(id string) bool {
	for i, e := range q.entries {
		if e.attempt.ID == id {
			q.removeUnserved(i)
			return true
		}
	}
	return false
}
