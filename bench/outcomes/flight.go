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

// flight is one request at a router.
type flight struct {
	r       *router
	id      string
	sub     *submission
	req     *request
	m       *attempt.StateMachine
	caller  *conn
	conn    *conn
	arrived time.Duration
	sent    bool
	budget  time.Duration
	wake    time.Duration
}

func (f *flight) step(in attempt.Input) { f.do(f.m.Step(f.r.sim.now, in)) }

func (f *flight) do(actions []attempt.Action) {
	for _, a := range actions {
		f.act(a)
	}
	if f.m.Finished() {
		return
	}
	if at := f.m.NextTick(); at != f.wake {
		f.wake = at
		f.r.after(max(0, at-f.r.sim.now), func() {
			if f.wake == at {
				f.wake = 0
				f.step(attempt.Tick{})
			}
		})
	}
}

func (f *flight) act(a attempt.Action) {
	r := f.r
	switch a := a.(type) {
	case attempt.SelectEndpoint:
		name := r.place(f.req, a.Exclude)
		in := attempt.EndpointSelected{Endpoint: name}
		if name != "" {
			in.AgentIncarnation = r.w.seenIncarnation(r.name, name)
		}
		r.after(0, func() { f.step(in) })
	case attempt.Claim:
		op := ledger.Op{Kind: ledger.OpClaim, Key: f.key(), BodyHash: f.req.fingerprint(), Endpoint: a.Endpoint,
			AgentIncarnation: a.AgentIncarnation, AttemptID: a.AttemptID, PreviousAttemptID: a.PreviousAttemptID}
		r.submit(op, f.ledgerReply)
	case attempt.Lookup:
		r.submit(ledger.Op{Kind: ledger.OpLookup, Key: f.key()}, f.ledgerReply)
	case attempt.StartAttempt:
		f.send(a)
	case attempt.AskRetry:
		r.after(5*time.Millisecond, func() { f.step(attempt.RetryDecision{Allowed: true}) })
	case attempt.Deliver:
		f.caller.toClient(tokensEv{a.Offset, a.Tokens})
	case attempt.Cancel:
		to := r.w.agents[a.Endpoint]
		r.w.net.send(&r.proc, &to.proc, func() { to.handleCancel(a.AttemptID, r.name) })
	case attempt.Resolve:
		f.resolve(a)
	case attempt.RecordEnd:
		f.record(a)
	case attempt.Finish:
		f.finish(a)
	}
}

func (f *flight) key() ledger.Key { return ledger.Key{Team: f.req.team, IdempotencyKey: f.req.key} }

func (f *flight) finish(a attempt.Finish) {
	delete(f.r.open, f.id)
	if f.conn != nil {
		f.conn.close()
	}
	f.caller.toClient(finishEv{a.Outcome, a.Code, string(a.Answer), a.Reason})
}

func (f *flight) send(a attempt.StartAttempt) {
	r, to := f.r, f.r.w.agents[a.Endpoint]
	if !f.sent {
		f.sent = true
		r.w.hist.dispatched(r, f)
	}
	c, ok := r.w.net.dial(&r.proc, &to.proc)
	if !ok {
		r.after(5*time.Millisecond, func() { f.step(attempt.ConnectionLost{AttemptID: a.AttemptID, MayHaveArrived: false}) })
		return
	}
	f.conn = c
	c.onEvent = func(ev any) { f.event(c, a.AttemptID, ev) }
	c.onBreak = func() {
		if r.w.cfg.Fault == FaultBlindRetry {
			f.step(attempt.Failed{AttemptID: a.AttemptID, Reason: "connection_lost"})
			return
		}
		f.step(attempt.ConnectionLost{AttemptID: a.AttemptID, MayHaveArrived: true})
	}
	team := f.req.team
	if r.w.cfg.Fault == FaultSharedNamespace {
		team = ""
	}
	ns := prefix.Namespace{Team: team, WeightsVersion: to.engine.weights}
	level := max(uint32(a.SuspicionLevel), uint32(r.suspects.Level(r.sim.now, f.req.fingerprint(), 0)))
	m := runMsg{attempt: a.AttemptID, incarnation: a.AgentIncarnation, req: f.req, resume: a.ResumeOffset, suspicion: level,
		budget: f.budget - (r.sim.now - f.arrived), weights: to.engine.weights, hashes: prefix.AppendBlockHashes(nil, ns.Hash(), f.req.prompt)}
	c.toServer(func() { to.handleRun(c, m) })
}

// event translates an event of a run. The attempt that it names is kept, so
// that the machine can tell an event of another attempt.
func (f *flight) event(c *conn, expect string, ev any) {
	name := func(id string) string {
		if f.r.w.cfg.Fault == FaultAcceptCrossed {
			return expect
		}
		return id
	}
	agentName := c.server.name
	switch ev := ev.(type) {
	case admittedEv:
		if name(ev.attempt) == expect {
			f.caller.toClient(startedEv{f.id, agentName})
		}
		f.step(attempt.Admitted{AttemptID: name(ev.attempt)})
	case refusedEv:
		if ev.reason == "wrong_incarnation" {
			f.r.w.learnIncarnation(f.r.name, agentName)
		}
		f.step(attempt.Refused{AttemptID: name(ev.attempt), Reason: ev.reason})
	case chunkEv:
		if f.r.w.cfg.Fault == FaultDropEvent || f.r.w.cfg.Fault == FaultAcceptCrossed {
			ev.offset = f.m.Delivered()
		}
		f.step(attempt.Chunk{AttemptID: name(ev.attempt), Offset: ev.offset, Tokens: ev.tokens})
	case doneEv:
		if f.r.w.cfg.Fault == FaultDropEvent || f.r.w.cfg.Fault == FaultAcceptCrossed {
			ev.end = 0
		}
		f.step(attempt.Completed{AttemptID: name(ev.attempt), EndOffset: ev.end, Answer: []byte(ev.answer)})
	case failedEv:
		if name(ev.attempt) == expect && ev.crashes > 0 {
			f.r.suspects.Merge(f.r.sim.now, quarantine.Report{Fingerprint: f.req.fingerprint(), Level: quarantine.Level(ev.crashes)})
		}
		f.step(attempt.Failed{AttemptID: name(ev.attempt), Reason: ev.reason, MayHaveRun: ev.ran, SuspicionLevel: int(ev.crashes)})
	}
}

func (f *flight) resolve(a attempt.Resolve) {
	r, to := f.r, f.r.w.agents[a.Endpoint]
	call(r.w.net, &r.proc, &to.proc, func(reply func(resolveResp)) {
		reply(to.handleResolve(a.AttemptID, a.AgentIncarnation))
	}, func(resp resolveResp, ok bool) {
		in := attempt.ResolveResult{AttemptID: a.AttemptID}
		if ok {
			in.Outcome = resolvedOutcome(resp.outcome)
			in.HasAnswer, in.Answer = true, []byte(resp.answer)
		}
		f.step(in)
	})
}

func resolvedOutcome(o attempts.Outcome) attempt.ResolvedOutcome {
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

func (f *flight) record(a attempt.RecordEnd) {
	f.r.submit(ledger.Op{Kind: ledger.OpFinish, Key: f.key(), BodyHash: f.req.fingerprint(), AttemptID: a.AttemptID,
		State: a.State.LedgerState(), Answer: a.Answer}, func(ledger.Reply) {})
}

func (f *flight) ledgerReply(reply ledger.Reply) {
	if reply.Err == nil && !reply.Accepted && reply.Record.AnswerObjectKey != "" {
		f.readAnswer(reply.Record)
		return
	}
	f.step(attempt.LedgerInput(reply))
}

// readAnswer reads a larger recorded answer from its own object.
func (f *flight) readAnswer(rec ledger.Record) {
	f.r.w.store.get(&f.r.proc, rec.AnswerObjectKey, func(o objectstore.Object, err error) {
		switch {
		case errors.Is(err, objectstore.ErrNotFound):
			rec.AnswerDropped = true
		case err != nil:
			f.step(attempt.ClaimResult{})
			return
		}
		rec.Answer = o.Value
		f.step(attempt.LedgerInput(ledger.Reply{Record: rec}))
	})
}
