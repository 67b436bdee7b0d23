// Package agreement simulates clusters of routers and agents in virtual time, with
// one goroutine, a seeded event queue, and fakes for the network and the store. It
// runs the decision packages for membership, rules and rollouts under injected
// faults, checks that their invariants hold, and measures how fast changes reach
// all processes and what that costs.
package agreement

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulator is a discrete-event simulation: a virtual clock, a seeded source of random
// numbers and the pending events.
type simulator struct {
	now          time.Duration
	rng          *rand.Rand
	queue        eventQueue
	lastSequence uint64
}

// event is a callback at a point of virtual time. Events of the same time run in
// the order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

func newSimulator(seed uint64) *simulator {
	return &simulator{rng: rand.New(rand.NewPCG(seed, 0x61677265))}
}

func (s *simulator) scheduleAt(at time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{at: max(at, s.now), sequence: s.lastSequence, run: run})
}

func (s *simulator) scheduleAfter(d time.Duration, run func()) { s.scheduleAt(s.now+d, run) }

// runUntil runs all events up to the end and sets the clock to it.
func (s *simulator) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// randomDelay returns a random duration from 0 to below the limit.
func (s *simulator) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}
