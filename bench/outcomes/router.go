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
	// startedEvent names the request and the agent that runs it, so that the caller can
	// resume the stream.
	startedEvent struct{ requestID, endpoint string }
	tokensEvent  struct {
		offset int
		tokens []string
	}
	finishEvent struct {
		outcome attempt.Outcome
		code    attempt.Code
		answer  string
		reason  string
	}
)

// router is the process that runs the decision packages of a router.
type router struct {
	process
	cluster        *cluster
	incarnation    uint64
	requestCount   uint64
	openRequests   map[string]*routerRequest
	partitions     map[int]*ledger.Partition
	partitionTicks map[int]time.Duration // the time of the scheduled tick
	lastOpID       uint64
	replyHandlers  map[uint64]func(ledger.Reply)
	suspects       *quarantine.Table
	stopping       bool
	readyAt        time.Duration // requests wait until then
}

func (r *router) start() {
	r.running, r.stopping = true, false
	r.runNumber++
	r.incarnation = r.cluster.nextIncarnation()
	r.requestCount = 0
	r.openRequests = map[string]*routerRequest{}
	r.partitions = map[int]*ledger.Partition{}
	r.partitionTicks = map[int]time.Duration{}
	r.replyHandlers = map[uint64]func(ledger.Reply){}
	r.suspects = quarantine.New(quarantine.Config{})
	r.readyAt = r.sim.now
	if r.cluster.cfg.Bug == BugSlowRestart && r.runNumber > 1 {
		r.readyAt += 3 * time.Second
	}
	r.runAfter(gossipInterval, r.tick)
}

func (r *router) tick() {
	r.suspects.Tick(r.sim.now)
	r.cluster.sendSuspicions(&r.process, r.suspects)
	r.runAfter(gossipInterval, r.tick)
}

// handleRequest serves a caller's request.
func (r *router) handleRequest(callerConn *connection, sub *submission) {
	if r.stopping {
		outcome := attempt.OutcomeNotRun
		if sub.request.atMostOnce {
			// An earlier copy may have run.
			outcome = attempt.OutcomeUnknown
		}
		callerConn.sendToClient(finishEvent{outcome, codeShuttingDown, "", ""})
		return
	}
	if r.sim.now < r.readyAt {
		r.runAfter(r.readyAt-r.sim.now, func() { r.handleRequest(callerConn, sub) })
		return
	}
	r.requestCount++
	id := strconv.FormatUint(r.incarnation, 36) + "-" + strconv.FormatUint(r.requestCount, 36)
	rr := &routerRequest{router: r, id: id, submission: sub, request: sub.request, callerConn: callerConn, arrivedAt: r.sim.now, timeout: r.cluster.cfg.RequestTimeout}
	r.cluster.history.recordRequestID(id, sub)
	callerConn.onClosed = func() { rr.step(attempt.CallerDisconnected{}) }
	stateMachine, actions := attempt.New(attempt.Config{}, attempt.Request{ID: id, AtMostOnce: rr.request.atMostOnce,
		FirstTokenTimeout: rr.timeout, Timeout: rr.timeout}, r.sim.now)
	rr.stateMachine = stateMachine
	r.openRequests[id] = rr
	rr.performActions(actions)
}

// selectEndpoint ranks endpoints by rendezvous hashing of the prompt, as the product
// does. A suspect only runs at its isolation endpoint.
func (r *router) selectEndpoint(req *request, exclude []string) string {
	if r.suspects.Level(r.sim.now, req.fingerprint(), 0) != quarantine.LevelClear {
		return quarantine.IsolationEndpoint(req.fingerprint(), r.cluster.agentNames)
	}
	names := slices.Clone(r.cluster.agentNames)
	promptHash := prefix.Namespace{Team: req.prompt}.Hash()
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(prefix.Namespace{Team: a}.Hash()^promptHash, prefix.Namespace{Team: b}.Hash()^promptHash)
	})
	if r.cluster.cfg.RandomPlacementShare > 0 && r.sim.randomBool(r.cluster.cfg.RandomPlacementShare) {
		rand.New(r.sim.rng).Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	for _, n := range names {
		if !slices.Contains(exclude, n) && !r.cluster.reportedDead(n) {
			return n
		}
	}
	return ""
}

// handleResume serves a caller that resumes a stream at offset.
func (r *router) handleResume(callerConn *connection, requestID, endpoint, team string, offset int) {
	refuse := func() { callerConn.sendToClient(finishEvent{attempt.OutcomeUnknown, "stream_gone", "", ""}) }
	agent := r.cluster.agents[endpoint]
	agentConn, ok := r.cluster.network.dial(&r.process, &agent.process)
	if r.stopping || !ok {
		refuse()
		return
	}
	r.cluster.history.addOpenResumes(r, 1)
	ended := false
	finish := func(ev finishEvent) {
		if !ended {
			ended = true
			r.cluster.history.addOpenResumes(r, -1)
			callerConn.sendToClient(ev)
			agentConn.close()
		}
	}
	nextOffset := offset
	agentConn.onBroken = func() { finish(finishEvent{attempt.OutcomeUnknown, "upstream_failed", "", ""}) }
	callerConn.onClosed = func() {
		if !ended {
			ended = true
			r.cluster.history.addOpenResumes(r, -1)
			agentConn.close()
		}
	}
	agentConn.onEvent = func(ev any) {
		switch ev := ev.(type) {
		case chunkEvent:
			if p, ok := attempts.ParseID(ev.attemptID); !ok || p.RequestID != requestID {
				return
			}
			if ev.offset != nextOffset {
				finish(finishEvent{attempt.OutcomeUnknown, "upstream_failed", "", ""})
				return
			}
			nextOffset += len(ev.tokens)
			callerConn.sendToClient(tokensEvent{ev.offset, ev.tokens})
		case completedEvent:
			if p, ok := attempts.ParseID(ev.attemptID); !ok || p.RequestID != requestID {
				return
			}
			if ev.endOffset != nextOffset {
				finish(finishEvent{attempt.OutcomeUnknown, "upstream_failed", "", ""})
				return
			}
			finish(finishEvent{attempt.OutcomeDone, "", ev.answer, ""})
		case failedEvent:
			finish(finishEvent{attempt.OutcomeUnknown, "upstream_failed", "", ""})
		case refusedEvent:
			finish(finishEvent{attempt.OutcomeUnknown, "stream_gone", "", ""})
		}
	}
	agentConn.sendToServer(func() { agent.handleAttach(agentConn, requestID, team, offset) })
}

// shutdown refuses new requests and stops the process once it has no open work.
func (r *router) shutdown() {
	r.stopping = true
	r.stopWhenIdle()
}

func (r *router) stopWhenIdle() {
	if r.hasOpenWork() && r.cluster.cfg.Bug != BugAbruptShutdown {
		r.runAfter(50*time.Millisecond, r.stopWhenIdle)
		return
	}
	wait := time.Second
	if r.cluster.cfg.Bug == BugAbruptShutdown {
		wait = 0
	}
	r.runAfter(wait, func() {
		r.cluster.history.checkGracefulStop(r.name, sortedKeys(r.openRequests))
		r.cluster.kill(r.name)
	})
}

// hasOpenWork reports whether a request, a resumed stream or a ledger operation is not
// finished.
func (r *router) hasOpenWork() bool {
	waiting := 0
	for _, p := range r.partitions {
		waiting += p.PendingOps()
	}
	return len(r.openRequests) > 0 || r.cluster.history.openResumes[r.name] > 0 || waiting > 0
}
