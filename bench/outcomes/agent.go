package outcomes

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	core "github.com/arbutusline/arbutusline/decision/agent"
	"github.com/arbutusline/arbutusline/decision/attempts"
	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/decision/quarantine"
)

// Messages of a run, as in the protocol. Attempt names what the event is about.
type (
	runMsg struct {
		attempt     string
		incarnation uint64
		req         *request
		resume      int
		suspicion   uint32
		budget      time.Duration
		weights     string
		hashes      []uint64
	}
	admittedEv struct{ attempt string }
	refusedEv  struct {
		attempt, reason string
	}
	chunkEv struct {
		attempt string
		offset  int
		tokens  []string
	}
	doneEv struct {
		attempt string
		end     int
		answer  string
	}
	failedEv struct {
		attempt, reason string
		ran             bool
		crashes         uint32
	}
)

const (
	agentSlots   = 8
	agentQueue   = 32
	chunkTokens  = 16
	gossipPeriod = 200 * time.Millisecond
	gossipFanout = 3
)

// agent drives the agent's state machine beside one engine.
type agent struct {
	proc
	w           *world
	engine      *engine
	incarnation uint64
	core        *core.StateMachine
	runs        map[string]*run
}

// run is the agent's connection for an attempt.
type run struct {
	msg    runMsg
	conn   *conn
	reader int
}

func (a *agent) start() {
	a.alive = true
	a.epoch++
	a.incarnation = a.w.nextIncarnation()
	a.core = core.New(core.Config{Admission: admission.Config{
		Endpoint: a.name, AgentIncarnation: a.incarnation, MaxRunning: agentSlots, QueueLimit: agentQueue, MaxPrefills: agentSlots,
	}})
	a.core.SetRules(a.sim.now, a.w.view)
	a.runs = map[string]*run{}
	// A new agent ends what an earlier one started: nobody reads it any more.
	for id, j := range a.engine.jobs {
		if !j.req.once {
			a.engine.cancel(id)
		}
	}
	a.engineSeen()
	a.after(gossipPeriod, a.tick)
}

// engineSeen is what the agent's poll of the engine finds.
func (a *agent) engineSeen() {
	if a.engine.up {
		a.core.EngineUp(a.sim.now, a.engine.incarnation, a.engine.weights)
	}
	a.carryOut()
}

func (a *agent) engineDown() {
	a.core.EngineDown(a.sim.now)
	a.carryOut()
}

func (a *agent) tick() {
	a.engineSeen()
	a.core.Tick(a.sim.now)
	a.w.gossip(&a.proc, a.core.Suspects())
	a.carryOut()
	a.after(gossipPeriod, a.tick)
}

// carryOut performs the actions of the state machine.
func (a *agent) carryOut() {
	for _, action := range a.core.TakeActions() {
		switch act := action.(type) {
		case core.StartAttempt:
			a.startJob(a.runs[act.ID].msg)
		case core.StopAttempt:
			a.engine.cancel(act.ID)
		case core.StreamChanged:
			a.pump(act.ID)
		}
	}
}

// handleRun is the server side of Run.
func (a *agent) handleRun(c *conn, m runMsg) {
	id, router := m.attempt, c.client.name
	reply := a.core.Offer(a.sim.now, core.Offer{
		Attempt: admission.Attempt{
			ID: id, Team: m.req.team, AgentIncarnation: m.incarnation, BlockHashes: m.hashes, WeightsVersion: m.weights,
			PromptTokens: len(m.hashes) * prefix.TokensPerBlock, MaxTokens: m.req.tokens, FirstTokenBudget: m.budget,
			Fingerprint: m.req.fingerprint(), SuspicionLevel: int(m.suspicion), PlainService: m.req.once, MustQueue: true,
		},
		AtMostOnce: m.req.once, ResumeOffset: m.resume, Router: router,
	})
	switch reply.Kind {
	case core.ReplyRefused:
		c.last(refusedEv{id, string(reply.Reason)})
	case core.ReplyOutcomeUnknown:
		c.last(failedEv{id, "forgotten", true, 0})
	case core.ReplyAdmitted:
		a.runs[id] = &run{msg: m, conn: c, reader: reply.ReaderID}
		c.onClosed = func() { a.core.Detach(a.sim.now, id, router, reply.ReaderID) }
		c.toClient(admittedEv{id})
	}
	a.carryOut()
}

func (a *agent) startJob(m runMsg) {
	id, epoch := m.attempt, a.epoch
	ours := func(fn func()) {
		// Output of an engine reaches only the agent that asked for it.
		if a.alive && a.epoch == epoch {
			a.after(0, func() {
				fn()
				a.carryOut()
			})
		}
	}
	j := &job{id: id, req: m.req, next: m.resume}
	j.paused = func() bool { return a.alive && a.epoch == epoch && (a.frozen() || a.core.Paused(id)) }
	j.emit = func(offset int, tokens []string) {
		ours(func() {
			for i, token := range tokens {
				if _, err := a.core.AppendToken(a.sim.now, id, offset+i, token); err != nil {
					return
				}
			}
			if offset == m.resume {
				a.core.RecordFirstToken(a.sim.now, id)
			}
		})
	}
	j.done = func(answer string) {
		ours(func() { a.core.RecordCompletion(a.sim.now, id, "stop", []byte(answer)) })
	}
	if !m.req.once && m.weights != a.engine.weights {
		// The request names its weights and the engine refuses others; the agent
		// learns of new weights only with its next poll.
		ours(func() { a.core.RecordFailure(a.sim.now, id, core.ReasonWrongWeights, false) })
		return
	}
	a.engine.start(j, m.hashes)
}

// pump sends what the reader has not been given.
func (a *agent) pump(id string) {
	r := a.runs[id]
	if r == nil || r.conn == nil || r.conn.broken {
		return
	}
	for {
		offset, tokens, ended, err := a.core.Read(id, r.reader, chunkTokens)
		if err != nil {
			return
		}
		if len(tokens) > 0 {
			if a.w.cfg.Fault == FaultDropEvent && a.sim.chance(0.02) {
				continue
			}
			r.conn.toClient(chunkEv{id, offset, append([]string(nil), tokens...)})
			continue
		}
		if ended {
			a.sendEnd(id, r)
		}
		return
	}
}

func (a *agent) sendEnd(id string, r *run) {
	res, ok := a.core.Result(id)
	if !ok {
		return
	}
	switch res.Outcome {
	case attempts.OutcomeDone:
		r.conn.toClient(doneEv{id, res.EndOffset, string(res.Answer)})
	default:
		r.conn.toClient(failedEv{id, res.Reason, res.Outcome != attempts.OutcomeNotRun, uint32(a.core.SuspicionLevel(id))})
	}
	r.conn.eof()
	r.conn = nil
}

func (a *agent) handleCancel(id, router string) {
	a.core.Cancel(a.sim.now, id, router)
	a.carryOut()
}

// merge takes a gossiped suspicion.
func (a *agent) merge(r quarantine.Report) {
	a.core.MergeSuspicion(a.sim.now, r)
	a.carryOut()
}

type resolveResp struct {
	outcome attempts.Outcome
	answer  string
}

func (a *agent) handleResolve(id string, incarnation uint64) resolveResp {
	if a.w.cfg.Fault == FaultEarlyNotRun {
		if r, ok := a.core.Result(id); !ok || r.Outcome != attempts.OutcomeDone {
			return resolveResp{attempts.OutcomeNotRun, ""}
		}
	}
	r := a.core.Resolve(a.sim.now, id, incarnation)
	return resolveResp{r.Outcome, string(r.Answer)}
}

// handleAttach is the server side of Attach.
func (a *agent) handleAttach(c *conn, requestID, team string, offset int) {
	router := c.client.name
	id, reader, err := a.core.Attach(a.sim.now, requestID, team, router, offset)
	if err != nil {
		c.last(refusedEv{requestID, "stream_gone"})
		return
	}
	c.onClosed = func() { a.core.Detach(a.sim.now, id, router, reader) }
	a.runs[id].conn, a.runs[id].reader = c, reader
	a.pump(id)
	a.carryOut()
}

// shutdown refuses new work and stops once nothing runs.
func (a *agent) shutdown() {
	a.core.Shutdown()
	a.drainThenStop()
}

func (a *agent) drainThenStop() {
	if a.busy() && a.w.cfg.Fault != FaultAbruptShutdown {
		a.after(50*time.Millisecond, a.drainThenStop)
		return
	}
	a.after(0, func() {
		a.w.hist.stopped(a.name, a.core.ActiveIDs())
		a.w.kill(a.name)
	})
}

// busy reports whether an attempt runs or a router still reads one.
func (a *agent) busy() bool {
	for _, c := range a.w.net.conns {
		if c.server == &a.proc && !c.broken && !c.gone() {
			return true
		}
	}
	return a.core.ActiveCount() > 0
}

// gossip sends the entries of a table to a few random processes.
func (w *world) gossip(p *proc, t *quarantine.Table) {
	reports := t.PendingReports(w.sim.now, 8)
	if len(reports) == 0 {
		return
	}
	peers := w.order
	for range gossipFanout {
		name := peers[w.sim.rng.IntN(len(peers))]
		if name == p.name {
			continue
		}
		to := w.procOf(name)
		w.net.send(p, to, func() {
			for _, r := range reports {
				w.mergeAt(name, r)
			}
		})
	}
}
