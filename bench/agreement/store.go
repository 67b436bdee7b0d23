package agreement

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/ruleset"
)

// fakeRulesStore is the object store with the rules object. Messages to and from it
// take storeLatency.
type fakeRulesStore struct {
	cluster       *Cluster
	objectVersion uint64
	text          *ruleset.Text
	outage        bool
	// responseLossRate is the share of calls whose response is lost.
	responseLossRate float64
	pendingWatches   []*pendingWatch
	calls            int
	// callsPerSecond is the number of calls by second of virtual time.
	callsPerSecond map[int]int
}

// pendingWatch is a watch call without a response yet.
type pendingWatch struct {
	process   *Process
	runNumber int
	done      bool
	respond   func(result ruleset.StoreResult, changed bool, next uint64)
}

const (
	storeLatency = 2 * time.Millisecond
	callTimeout  = 2 * time.Second
	watchTimeout = 2 * time.Second
)

func (s *fakeRulesStore) countCall() {
	s.calls++
	s.callsPerSecond[int(s.cluster.sim.now/time.Second)]++
}

// call simulates a call. execute runs at the store, and the response that it returns
// runs at the caller. onFailure runs instead of the response if the store is
// unreachable or has an outage, or if the response is lost.
func (s *fakeRulesStore) call(p *Process, execute func() (response func()), onFailure func()) {
	s.countCall()
	runNumber := p.runNumber
	answered := false
	once := func(f func()) func() {
		return func() {
			if !answered && p.runNumber == runNumber {
				answered = true
				f()
			}
		}
	}
	sim := s.cluster.sim
	if s.cluster.storeUnreachable(p) {
		sim.scheduleAfter(callTimeout, func() { p.deliver(once(onFailure)) })
		return
	}
	sim.scheduleAfter(storeLatency, func() {
		if s.outage {
			sim.scheduleAfter(storeLatency, func() { p.deliver(once(onFailure)) })
			return
		}
		response := execute()
		if sim.rng.Float64() < s.responseLossRate {
			sim.scheduleAfter(callTimeout, func() { p.deliver(once(onFailure)) })
			return
		}
		sim.scheduleAfter(storeLatency+sim.randomDelay(storeLatency), func() { p.deliver(once(response)) })
	})
}

// read reads the rules object.
func (s *fakeRulesStore) read(p *Process, handle func(result ruleset.StoreResult, t *ruleset.Text, version uint64)) {
	s.call(p, func() func() {
		text, version := s.text, s.objectVersion
		if text == nil {
			return func() { handle(ruleset.StoreNotFound, nil, 0) }
		}
		copied := *text
		return func() { handle(ruleset.StoreFound, &copied, version) }
	}, func() { handle(ruleset.StoreFailed, nil, 0) })
}

// watch waits for a change of the rules object after the object version since.
func (s *fakeRulesStore) watch(p *Process, since uint64, handle func(result ruleset.StoreResult, changed bool, next uint64)) {
	s.countCall()
	w := &pendingWatch{process: p, runNumber: p.runNumber}
	w.respond = func(result ruleset.StoreResult, changed bool, next uint64) {
		if w.done {
			return
		}
		w.done = true
		if s.cluster.storeUnreachable(p) {
			result = ruleset.StoreFailed
		}
		s.cluster.sim.scheduleAfter(storeLatency, func() {
			p.deliver(func() {
				if p.runNumber == w.runNumber {
					handle(result, changed, next)
				}
			})
		})
	}
	s.cluster.sim.scheduleAfter(watchTimeout, func() {
		if s.outage || s.cluster.storeUnreachable(p) {
			w.respond(ruleset.StoreFailed, false, 0)
			return
		}
		w.respond(ruleset.StoreFound, false, max(since, s.objectVersion))
	})
	switch {
	case s.outage:
		w.respond(ruleset.StoreFailed, false, 0)
	case s.cluster.storeUnreachable(p):
	case s.objectVersion > since:
		w.respond(ruleset.StoreFound, true, s.objectVersion)
	default:
		s.pendingWatches = append(s.pendingWatches, w)
	}
}

// setOutage starts or ends an outage. The start fails pending watches.
func (s *fakeRulesStore) setOutage(on bool) {
	s.outage = on
	if on {
		s.endWatches(func(w *pendingWatch) { w.respond(ruleset.StoreFailed, false, 0) })
	}
}

func (s *fakeRulesStore) endWatches(respond func(w *pendingWatch)) {
	pending := s.pendingWatches
	s.pendingWatches = nil
	for _, w := range pending {
		respond(w)
	}
}

// write stores a text as the next version of the rules and returns the version. It
// fails during an outage.
func (s *fakeRulesStore) write(body string) (uint64, bool) {
	if s.outage {
		return 0, false
	}
	s.objectVersion++
	version := uint64(1)
	if s.text != nil {
		version = s.text.Version + 1
	}
	s.text = &ruleset.Text{Version: version, Author: "jose", Body: body}
	s.endWatches(func(w *pendingWatch) { w.respond(ruleset.StoreFound, true, s.objectVersion) })
	return version, true
}
