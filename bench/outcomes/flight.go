package outcomes

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/decision/attempts"
	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/objectstore"
)

// routerRequest is one request at a router.
type routerRequest struct {
	router       *router
	id           string
	submission   *submission
	request      *request
	stateMachine *attempt.StateMachine
	callerConn   *connection
	agentConn    *connection
	arrivedAt    time.Duration
	dispatched   bool
	timeout      time.Duration
	nextTick     time.Duration
}

func (rr *routerRequest) step(in attempt.Input) {
	rr.performActions(rr.stateMachine.Step(rr.router.sim.now, in))
}

func (rr *routerRequest) performActions(actions []attempt.Action) {
	for _, a := range actions {
		rr.performAction(a)
	}
	if rr.stateMachine.Finished() {
		return
	}
	if at := rr.stateMachine.NextTick(); at != rr.nextTick {
		rr.nextTick = at
		rr.router.runAfter(max(0, at-rr.router.sim.now), func() {
			if rr.nextTick == at {
				rr.nextTick = 0
				rr.step(attempt.Tick{})
			}
		})
	}
}

func (rr *routerRequest) performAction(a attempt.Action) {
	r := rr.router
	switch a := a.(type) {
	case attempt.SelectEndpoint:
		name := r.selectEndpoint(rr.request, a.Exclude)
		in := attempt.EndpointSelected{Endpoint: name}
		if name != "" {
			in.AgentIncarnation = r.cluster.knownIncarnation(r.name, name)
		}
		r.runAfter(0, func() { rr.step(in) })
	case attempt.Claim:
		op := ledger.Op{Kind: ledger.OpClaim, Key: rr.ledgerKey(), BodyHash: rr.request.fingerprint(), Endpoint: a.Endpoint,
			AgentIncarnation: a.AgentIncarnation, AttemptID: a.AttemptID, PreviousAttemptID: a.PreviousAttemptID}
		r.submitOp(op, rr.handleLedgerReply)
	case attempt.Lookup:
		r.submitOp(ledger.Op{Kind: ledger.OpLookup, Key: rr.ledgerKey()}, rr.handleLedgerReply)
	case attempt.StartAttempt:
		rr.startAttempt(a)
	case attempt.AskRetry:
		r.runAfter(5*time.Millisecond, func() { rr.step(attempt.RetryDecision{Allowed: true}) })
	case attempt.Deliver:
		rr.callerConn.sendToClient(tokensEvent{a.Offset, a.Tokens})
	case attempt.Cancel:
		agent := r.cluster.agents[a.Endpoint]
		r.cluster.network.sendDatagram(&r.process, &agent.process, func() { agent.handleCancel(a.AttemptID, r.name) })
	case attempt.Resolve:
		rr.resolve(a)
	case attempt.FinishClaim:
		rr.finishClaim(a)
	case attempt.Finish:
		rr.finish(a)
	}
}

func (rr *routerRequest) ledgerKey() ledger.Key {
	return ledger.Key{Team: rr.request.team, IdempotencyKey: rr.request.key}
}

func (rr *routerRequest) finish(a attempt.Finish) {
	delete(rr.router.openRequests, rr.id)
	if rr.agentConn != nil {
		rr.agentConn.close()
	}
	rr.callerConn.sendToClient(finishEvent{a.Outcome, a.Code, string(a.Answer), a.Reason})
}

func (rr *routerRequest) startAttempt(a attempt.StartAttempt) {
	r, agent := rr.router, rr.router.cluster.agents[a.Endpoint]
	if !rr.dispatched {
		rr.dispatched = true
		r.cluster.history.checkFirstDispatch(r, rr)
	}
	conn, ok := r.cluster.network.dial(&r.process, &agent.process)
	if !ok {
		r.runAfter(5*time.Millisecond, func() { rr.step(attempt.ConnectionLost{AttemptID: a.AttemptID, MayHaveArrived: false}) })
		return
	}
	rr.agentConn = conn
	conn.onEvent = func(ev any) { rr.handleAgentEvent(conn, a.AttemptID, ev) }
	conn.onBroken = func() {
		if r.cluster.cfg.Bug == BugRetryWithoutResolve {
			rr.step(attempt.Failed{AttemptID: a.AttemptID, Reason: "connection_lost"})
			return
		}
		rr.step(attempt.ConnectionLost{AttemptID: a.AttemptID, MayHaveArrived: true})
	}
	team := rr.request.team
	if r.cluster.cfg.Bug == BugSharedCacheNamespace {
		team = ""
	}
	namespace := prefix.Namespace{Team: team, WeightsVersion: agent.engine.weightsVersion}
	suspicionLevel := max(uint32(a.SuspicionLevel), uint32(r.suspects.Level(r.sim.now, rr.request.fingerprint(), 0)))
	message := runMessage{attemptID: a.AttemptID, agentIncarnation: a.AgentIncarnation, request: rr.request, resumeOffset: a.ResumeOffset, suspicionLevel: suspicionLevel,
		firstTokenBudget: rr.timeout - (r.sim.now - rr.arrivedAt), weightsVersion: agent.engine.weightsVersion, blockHashes: prefix.AppendBlockHashes(nil, namespace.Hash(), rr.request.prompt)}
	conn.sendToServer(func() { agent.handleRun(conn, message) })
}

// handleAgentEvent converts an event from the agent into an input of the state machine.
// It keeps the attempt ID of the event, so that the state machine can ignore an event
// of another attempt.
func (rr *routerRequest) handleAgentEvent(conn *connection, expectedAttemptID string, ev any) {
	// BugAcceptMisdelivered replaces the attempt ID of the event.
	effectiveAttemptID := func(id string) string {
		if rr.router.cluster.cfg.Bug == BugAcceptMisdelivered {
			return expectedAttemptID
		}
		return id
	}
	agentName := conn.server.name
	switch ev := ev.(type) {
	case admittedEvent:
		if effectiveAttemptID(ev.attemptID) == expectedAttemptID {
			rr.callerConn.sendToClient(startedEvent{rr.id, agentName})
		}
		rr.step(attempt.Admitted{AttemptID: effectiveAttemptID(ev.attemptID)})
	case refusedEvent:
		if ev.reason == "wrong_incarnation" {
			rr.router.cluster.propagateIncarnation(rr.router.name, agentName)
		}
		rr.step(attempt.Refused{AttemptID: effectiveAttemptID(ev.attemptID), Reason: ev.reason})
	case chunkEvent:
		if rr.router.cluster.cfg.Bug == BugDropOutput || rr.router.cluster.cfg.Bug == BugAcceptMisdelivered {
			ev.offset = rr.stateMachine.Delivered()
		}
		rr.step(attempt.Chunk{AttemptID: effectiveAttemptID(ev.attemptID), Offset: ev.offset, Tokens: ev.tokens})
	case completedEvent:
		if rr.router.cluster.cfg.Bug == BugDropOutput || rr.router.cluster.cfg.Bug == BugAcceptMisdelivered {
			ev.endOffset = 0
		}
		rr.step(attempt.Completed{AttemptID: effectiveAttemptID(ev.attemptID), EndOffset: ev.endOffset, Answer: []byte(ev.answer)})
	case failedEvent:
		if effectiveAttemptID(ev.attemptID) == expectedAttemptID && ev.suspicionLevel > 0 {
			rr.router.suspects.Merge(rr.router.sim.now, quarantine.Report{Fingerprint: rr.request.fingerprint(), Level: quarantine.Level(ev.suspicionLevel)})
		}
		rr.step(attempt.Failed{AttemptID: effectiveAttemptID(ev.attemptID), Reason: ev.reason, MayHaveRun: ev.mayHaveRun, SuspicionLevel: int(ev.suspicionLevel)})
	}
}

func (rr *routerRequest) resolve(a attempt.Resolve) {
	r, agent := rr.router, rr.router.cluster.agents[a.Endpoint]
	unaryCall(r.cluster.network, &r.process, &agent.process, func(reply func(resolveResponse)) {
		reply(agent.handleResolve(a.AttemptID, a.AgentIncarnation))
	}, func(response resolveResponse, ok bool) {
		in := attempt.ResolveResult{AttemptID: a.AttemptID}
		if ok {
			in.Outcome = toResolvedOutcome(response.outcome)
			in.HasAnswer, in.Answer = true, []byte(response.answer)
		}
		rr.step(in)
	})
}

func toResolvedOutcome(o attempts.Outcome) attempt.ResolvedOutcome {
	switch o {
	case attempts.OutcomeDone:
		return attempt.ResolvedDone
	case attempts.OutcomeRunning:
		return attempt.ResolvedRunning
	case attempts.OutcomeNotRun:
		return attempt.ResolvedNotRun
	}
	return attempt.ResolvedUnknown
}

func (rr *routerRequest) finishClaim(a attempt.FinishClaim) {
	rr.router.submitOp(ledger.Op{Kind: ledger.OpFinish, Key: rr.ledgerKey(), BodyHash: rr.request.fingerprint(), AttemptID: a.AttemptID,
		State: a.State.LedgerState(), Answer: a.Answer}, func(ledger.Reply) {})
}

func (rr *routerRequest) handleLedgerReply(reply ledger.Reply) {
	if reply.Err == nil && !reply.Accepted && reply.Record.AnswerObjectKey != "" {
		rr.readAnswer(reply.Record)
		return
	}
	rr.step(attempt.LedgerInput(reply))
}

// readAnswer reads a recorded answer that is too large for its segment from its own
// object.
func (rr *routerRequest) readAnswer(record ledger.Record) {
	rr.router.cluster.store.get(&rr.router.process, record.AnswerObjectKey, func(o objectstore.Object, err error) {
		switch {
		case errors.Is(err, objectstore.ErrNotFound):
			record.AnswerDropped = true
		case err != nil:
			rr.step(attempt.ClaimResult{})
			return
		}
		record.Answer = o.Value
		rr.step(attempt.LedgerInput(ledger.Reply{Record: record}))
	})
}
