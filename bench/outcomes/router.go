package outcomes

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/decision/attempts"
	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/decision/quarantine"
)

// Events from a router to its caller.
type (
	// startedEv names the request and the agent that runs it.
	startedEv struct{ requestID, endpoint string }
	tokensEv  struct {
		offset int
		tokens []string
	}
	finishEv struct {
		outcome attempt.Outcome
		code    attempt.Code
		answer  string
		why     string
	}
)

// router drives the router's packages.
type router struct {
	proc
	w           *world
	incarnation uint64
	counter     uint64
	open        map[string]*flight
	partitions  map[int]*ledger.Partition
	wakes       map[int]time.Duration
	ops         uint64
	replies     map[uint64]func(ledger.Reply)
	suspects    *quarantine.Table
	stopping    bool
	ready       time.Duration
}

func (r *router) start() {
	r.alive, r.stopping = true, false
	r.epoch++
	r.incarnation = r.w.nextIncarnation()
	r.counter = 0
	r.open = map[string]*flight{}
	r.partitions = map[int]*ledger.Partition{}
	r.wakes = map[int]time.Duration{}
	r.replies = map[uint64]func(ledger.Reply){}
	r.suspects = quarantine.New(quarantine.Config{})
	r.ready = r.sim.now
	if r.w.cfg.Fault == FaultSlowRestart && r.epoch > 1 {
		r.ready += 3 * time.Second
	}
	r.after(gossipPeriod, r.tick)
}

func (r *router) tick() {
	r.suspects.Tick(r.sim.now)
	r.w.gossip(&r.proc, r.suspects)
	r.after(gossipPeriod, r.tick)
}

// handle is the server side of a caller's request.
func (r *router) handle(c *conn, sub *submission) {
	if r.stopping {
		outcome := attempt.OutcomeNotRun
		if sub.req.once {
			// An earlier copy may have run.
			outcome = attempt.OutcomeUnknown
		}
		c.toClient(finishEv{outcome, codeShuttingDown, "", ""})
		return
	}
	if r.sim.now < r.ready {
		r.after(r.ready-r.sim.now, func() { r.handle(c, sub) })
		return
	}
	r.counter++
	id := strconv.FormatUint(r.incarnation, 36) + "-" + strconv.FormatUint(r.counter, 36)
	f := &flight{r: r, id: id, sub: sub, req: sub.req, caller: c, arrived: r.sim.now, budget: r.w.cfg.Budget}
	r.w.hist.named(id, sub)
	c.onClosed = func() { f.step(attempt.CallerDisconnected{}) }
	m, actions := attempt.New(attempt.Config{}, attempt.Request{ID: id, AtMostOnce: f.req.once,
		FirstTokenTimeout: f.budget, Timeout: f.budget}, r.sim.now)
	f.m = m
	r.open[id] = f
	f.do(actions)
}

// place ranks endpoints as the product does: by rendezvous hashing of the
// prompt, and a suspect only at its home.
func (r *router) place(req *request, exclude []string) string {
	if r.suspects.Level(r.sim.now, req.fingerprint(), 0) != quarantine.LevelClear {
		return quarantine.IsolationEndpoint(req.fingerprint(), r.w.agentNames)
	}
	names := slices.Clone(r.w.agentNames)
	seed := prefix.Namespace{Team: req.prompt}.Hash()
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(prefix.Namespace{Team: a}.Hash()^seed, prefix.Namespace{Team: b}.Hash()^seed)
	})
	if r.w.cfg.Spill > 0 && r.sim.chance(r.w.cfg.Spill) {
		rand.New(r.sim.rng).Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	for _, n := range names {
		if !slices.Contains(exclude, n) && !r.w.longDead(n) {
			return n
		}
	}
	return ""
}

// handleResume is the server side of a caller's resumption.
func (r *router) handleResume(c *conn, requestID, endpoint, team string, offset int) {
	gone := func() { c.toClient(finishEv{attempt.OutcomeUnknown, "stream_gone", "", ""}) }
	to := r.w.agents[endpoint]
	ac, ok := r.w.net.dial(&r.proc, &to.proc)
	if r.stopping || !ok {
		gone()
		return
	}
	r.w.hist.openResume(r, 1)
	ended := false
	end := func(ev finishEv) {
		if !ended {
			ended = true
			r.w.hist.openResume(r, -1)
			c.toClient(ev)
			ac.close()
		}
	}
	next := offset
	ac.onBreak = func() { end(finishEv{attempt.OutcomeUnknown, "upstream_failed", "", ""}) }
	c.onClosed = func() {
		if !ended {
			ended = true
			r.w.hist.openResume(r, -1)
			ac.close()
		}
	}
	ac.onEvent = func(ev any) {
		switch ev := ev.(type) {
		case chunkEv:
			if p, ok := attempts.ParseID(ev.attempt); !ok || p.RequestID != requestID {
				return
			}
			if ev.offset != next {
				end(finishEv{attempt.OutcomeUnknown, "upstream_failed", "", ""})
				return
			}
			next += len(ev.tokens)
			c.toClient(tokensEv{ev.offset, ev.tokens})
		case doneEv:
			if p, ok := attempts.ParseID(ev.attempt); !ok || p.RequestID != requestID {
				return
			}
			if ev.end != next {
				end(finishEv{attempt.OutcomeUnknown, "upstream_failed", "", ""})
				return
			}
			end(finishEv{attempt.OutcomeDone, "", ev.answer, ""})
		case failedEv:
			end(finishEv{attempt.OutcomeUnknown, "upstream_failed", "", ""})
		case refusedEv:
			end(finishEv{attempt.OutcomeUnknown, "stream_gone", "", ""})
		}
	}
	ac.toServer(func() { to.handleAttach(ac, requestID, team, offset) })
}

// shutdown refuses new work and stops once nothing is open.
func (r *router) shutdown() {
	r.stopping = true
	r.drainThenStop()
}

func (r *router) drainThenStop() {
	if r.busy() && r.w.cfg.Fault != FaultAbruptShutdown {
		r.after(50*time.Millisecond, r.drainThenStop)
		return
	}
	wait := time.Second
	if r.w.cfg.Fault == FaultAbruptShutdown {
		wait = 0
	}
	r.after(wait, func() {
		r.w.hist.stopped(r.name, sortedKeys(r.open))
		r.w.kill(r.name)
	})
}

func (r *router) busy() bool {
	waiting := 0
	for _, p := range r.partitions {
		waiting += p.PendingOps()
	}
	return len(r.open) > 0 || r.w.hist.resumes[r.name] > 0 || waiting > 0
}
