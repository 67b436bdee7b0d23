package agreement

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/ruleset"
)

// fakeStore holds the rules object. Calls take storeLatency each way.
type fakeStore struct {
	c       *Cluster
	version uint64
	text    *ruleset.Text
	outage  bool
	// loseAnswers is the share of calls whose answer never arrives.
	loseAnswers float64
	watches     []*watch
	calls       int
	// perSecond counts calls by second of virtual time.
	perSecond map[int]int
}

type watch struct {
	n       *Node
	run     int
	done    bool
	respond func(outcome ruleset.StoreResult, changed bool, next uint64)
}

const (
	storeLatency = 2 * time.Millisecond
	callTimeout  = 2 * time.Second
	watchTimeout = 2 * time.Second
)

func (s *fakeStore) count() {
	s.calls++
	s.perSecond[int(s.c.sim.now/time.Second)]++
}

// call runs one call: it reaches the store unless the caller is cut off, and
// the answer reaches the caller unless it is lost.
func (s *fakeStore) call(n *Node, atStore func() (answer func()), failed func()) {
	s.count()
	run := n.run
	answered := false
	finish := func(f func()) func() {
		return func() {
			if !answered && n.run == run {
				answered = true
				f()
			}
		}
	}
	sim := s.c.sim
	if s.c.cutFromStore(n) {
		sim.after(callTimeout, func() { n.deliver(finish(failed)) })
		return
	}
	sim.after(storeLatency, func() {
		if s.outage {
			sim.after(storeLatency, func() { n.deliver(finish(failed)) })
			return
		}
		answer := atStore()
		if sim.rng.Float64() < s.loseAnswers {
			sim.after(callTimeout, func() { n.deliver(finish(failed)) })
			return
		}
		sim.after(storeLatency+sim.jitter(storeLatency), func() { n.deliver(finish(answer)) })
	})
}

// get reads the rules object.
func (s *fakeStore) get(n *Node, done func(o ruleset.StoreResult, t *ruleset.Text, version uint64)) {
	s.call(n, func() func() {
		text, version := s.text, s.version
		if text == nil {
			return func() { done(ruleset.StoreNotFound, nil, 0) }
		}
		copied := *text
		return func() { done(ruleset.StoreFound, &copied, version) }
	}, func() { done(ruleset.StoreFailed, nil, 0) })
}

// watch waits for a change of the rules object after a version.
func (s *fakeStore) watch(n *Node, since uint64, done func(o ruleset.StoreResult, changed bool, next uint64)) {
	s.count()
	w := &watch{n: n, run: n.run}
	w.respond = func(o ruleset.StoreResult, changed bool, next uint64) {
		if w.done {
			return
		}
		w.done = true
		if s.c.cutFromStore(n) {
			o = ruleset.StoreFailed
		}
		s.c.sim.after(storeLatency, func() {
			n.deliver(func() {
				if n.run == w.run {
					done(o, changed, next)
				}
			})
		})
	}
	s.c.sim.after(watchTimeout, func() {
		if s.outage || s.c.cutFromStore(n) {
			w.respond(ruleset.StoreFailed, false, 0)
			return
		}
		w.respond(ruleset.StoreFound, false, max(since, s.version))
	})
	switch {
	case s.outage:
		w.respond(ruleset.StoreFailed, false, 0)
	case s.c.cutFromStore(n):
	case s.version > since:
		w.respond(ruleset.StoreFound, true, s.version)
	default:
		s.watches = append(s.watches, w)
	}
}

// setOutage ends pending watches with an error.
func (s *fakeStore) setOutage(on bool) {
	s.outage = on
	if on {
		s.finishWatches(func(w *watch) { w.respond(ruleset.StoreFailed, false, 0) })
	}
}

func (s *fakeStore) finishWatches(f func(w *watch)) {
	pending := s.watches
	s.watches = nil
	for _, w := range pending {
		f(w)
	}
}

// write accepts a text as the next version of the rules. It fails in an
// outage.
func (s *fakeStore) write(body string) (uint64, bool) {
	if s.outage {
		return 0, false
	}
	s.version++
	next := uint64(1)
	if s.text != nil {
		next = s.text.Version + 1
	}
	s.text = &ruleset.Text{Version: next, Author: "jose", Body: body}
	s.finishWatches(func(w *watch) { w.respond(ruleset.StoreFound, true, s.version) })
	return next, true
}
