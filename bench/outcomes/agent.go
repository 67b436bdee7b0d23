package outcomes

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	decisionagent "github.com/arbutusline/arbutusline/decision/agent"
	"github.com/arbutusline/arbutusline/decision/attempts"
	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/decision/quarantine"
)

// Messages between router and agent, as in the protocol. Every event names the attempt
// that it belongs to.
type (
	runMessage struct {
		attemptID        string
		agentIncarnation uint64
		request          *request
		resumeOffset     int
		suspicionLevel   uint32
		firstTokenBudget time.Duration
		weightsVersion   string
		blockHashes      []uint64
	}
	admittedEvent struct{ attemptID string }
	refusedEvent  struct {
		attemptID, reason string
	}
	chunkEvent struct {
		attemptID string
		offset    int
		tokens    []string
	}
	completedEvent struct {
		attemptID string
		endOffset int
		answer    string
	}
	failedEvent struct {
		attemptID, reason string
		mayHaveRun        bool
		suspicionLevel    uint32
	}
)

const (
	agentMaxRunning = 8
	agentQueueLimit = 32
	maxChunkTokens  = 16
	gossipInterval  = 200 * time.Millisecond
	gossipFanout    = 3
)

// agent is the agent process of one engine.
type agent struct {
	process
	cluster      *cluster
	engine       *engine
	incarnation  uint64
	stateMachine *decisionagent.StateMachine
	streams      map[string]*attemptStream // by attempt ID
}

// attemptStream is the connection on which the agent sends the output of an attempt.
type attemptStream struct {
	message  runMessage
	conn     *connection
	readerID int
}

func (a *agent) start() {
	a.running = true
	a.runNumber++
	a.incarnation = a.cluster.nextIncarnation()
	a.stateMachine = decisionagent.New(decisionagent.Config{Admission: admission.Config{
		Endpoint: a.name, AgentIncarnation: a.incarnation, MaxRunning: agentMaxRunning, QueueLimit: agentQueueLimit, MaxPrefills: agentMaxRunning,
	}})
	a.stateMachine.SetRules(a.sim.now, a.cluster.rulesView)
	a.streams = map[string]*attemptStream{}
	// Cancels the attempts that earlier runs of the agent started, because nothing reads
	// their output. Plain service calls continue.
	for id, att := range a.engine.attempts {
		if !att.request.atMostOnce {
			a.engine.cancel(id)
		}
	}
	a.pollEngine()
	a.runAfter(gossipInterval, a.tick)
}

// pollEngine reports the engine to the state machine if it is up.
func (a *agent) pollEngine() {
	if a.engine.up {
		a.stateMachine.EngineUp(a.sim.now, a.engine.incarnation, a.engine.weightsVersion)
	}
	a.performActions()
}

func (a *agent) handleEngineDown() {
	a.stateMachine.EngineDown(a.sim.now)
	a.performActions()
}

func (a *agent) tick() {
	a.pollEngine()
	a.stateMachine.Tick(a.sim.now)
	a.cluster.sendSuspicions(&a.process, a.stateMachine.Suspects())
	a.performActions()
	a.runAfter(gossipInterval, a.tick)
}

// performActions performs the pending actions of the state machine.
func (a *agent) performActions() {
	for _, action := range a.stateMachine.TakeActions() {
		switch act := action.(type) {
		case decisionagent.StartAttempt:
			a.startEngineAttempt(a.streams[act.ID].message)
		case decisionagent.StopAttempt:
			a.engine.cancel(act.ID)
		case decisionagent.StreamChanged:
			a.sendOutput(act.ID)
		}
	}
}

// handleRun serves the call Run.
func (a *agent) handleRun(conn *connection, message runMessage) {
	id, router := message.attemptID, conn.client.name
	reply := a.stateMachine.Offer(a.sim.now, decisionagent.Offer{
		Attempt: admission.Attempt{
			ID: id, Team: message.request.team, AgentIncarnation: message.agentIncarnation, BlockHashes: message.blockHashes, WeightsVersion: message.weightsVersion,
			PromptTokens: len(message.blockHashes) * prefix.TokensPerBlock, MaxTokens: message.request.outputTokens, FirstTokenBudget: message.firstTokenBudget,
			Fingerprint: message.request.fingerprint(), SuspicionLevel: int(message.suspicionLevel), PlainService: message.request.atMostOnce, MustQueue: true,
		},
		AtMostOnce: message.request.atMostOnce, ResumeOffset: message.resumeOffset, Router: router,
	})
	switch reply.Kind {
	case decisionagent.ReplyRefused:
		conn.sendLastEvent(refusedEvent{id, string(reply.Reason)})
	case decisionagent.ReplyOutcomeUnknown:
		conn.sendLastEvent(failedEvent{id, "forgotten", true, 0})
	case decisionagent.ReplyAdmitted:
		a.streams[id] = &attemptStream{message: message, conn: conn, readerID: reply.ReaderID}
		conn.onClosed = func() { a.stateMachine.Detach(a.sim.now, id, router, reply.ReaderID) }
		conn.sendToClient(admittedEvent{id})
	}
	a.performActions()
}

func (a *agent) startEngineAttempt(message runMessage) {
	id, runNumber := message.attemptID, a.runNumber
	ifSameRun := func(fn func()) {
		// An engine sends output only to the agent process that started the attempt.
		if a.running && a.runNumber == runNumber {
			a.runAfter(0, func() {
				fn()
				a.performActions()
			})
		}
	}
	att := &engineAttempt{id: id, request: message.request, nextToken: message.resumeOffset}
	att.isPaused = func() bool { return a.running && a.runNumber == runNumber && (a.paused() || a.stateMachine.Paused(id)) }
	att.onTokens = func(offset int, tokens []string) {
		ifSameRun(func() {
			for i, token := range tokens {
				if _, err := a.stateMachine.AppendToken(a.sim.now, id, offset+i, token); err != nil {
					return
				}
			}
			if offset == message.resumeOffset {
				a.stateMachine.RecordFirstToken(a.sim.now, id)
			}
		})
	}
	att.onDone = func(answer string) {
		ifSameRun(func() { a.stateMachine.RecordCompletion(a.sim.now, id, "stop", []byte(answer)) })
	}
	if !message.request.atMostOnce && message.weightsVersion != a.engine.weightsVersion {
		// The engine refuses a request that names other weights than its own. The
		// agent learns of new weights only at its next poll.
		ifSameRun(func() { a.stateMachine.RecordFailure(a.sim.now, id, decisionagent.ReasonWrongWeights, false) })
		return
	}
	a.engine.start(att, message.blockHashes)
}

// sendOutput sends the output that the reader has not received yet.
func (a *agent) sendOutput(id string) {
	stream := a.streams[id]
	if stream == nil || stream.conn == nil || stream.conn.broken {
		return
	}
	for {
		offset, tokens, ended, err := a.stateMachine.Read(id, stream.readerID, maxChunkTokens)
		if err != nil {
			return
		}
		if len(tokens) > 0 {
			if a.cluster.cfg.Bug == BugDropOutput && a.sim.randomBool(0.02) {
				continue
			}
			stream.conn.sendToClient(chunkEvent{id, offset, append([]string(nil), tokens...)})
			continue
		}
		if ended {
			a.sendEnd(id, stream)
		}
		return
	}
}

func (a *agent) sendEnd(id string, stream *attemptStream) {
	result, ok := a.stateMachine.Result(id)
	if !ok {
		return
	}
	switch result.Outcome {
	case attempts.OutcomeDone:
		stream.conn.sendToClient(completedEvent{id, result.EndOffset, string(result.Answer)})
	default:
		stream.conn.sendToClient(failedEvent{id, result.Reason, result.Outcome != attempts.OutcomeNotRun, uint32(a.stateMachine.SuspicionLevel(id))})
	}
	stream.conn.endStream()
	stream.conn = nil
}

func (a *agent) handleCancel(id, router string) {
	a.stateMachine.Cancel(a.sim.now, id, router)
	a.performActions()
}

// mergeSuspicion applies a suspicion received by gossip.
func (a *agent) mergeSuspicion(r quarantine.Report) {
	a.stateMachine.MergeSuspicion(a.sim.now, r)
	a.performActions()
}

type resolveResponse struct {
	outcome attempts.Outcome
	answer  string
}

func (a *agent) handleResolve(id string, incarnation uint64) resolveResponse {
	if a.cluster.cfg.Bug == BugNotRunWithoutFence {
		if r, ok := a.stateMachine.Result(id); !ok || r.Outcome != attempts.OutcomeDone {
			return resolveResponse{attempts.OutcomeNotRun, ""}
		}
	}
	r := a.stateMachine.Resolve(a.sim.now, id, incarnation)
	return resolveResponse{r.Outcome, string(r.Answer)}
}

// handleAttach serves the call Attach.
func (a *agent) handleAttach(conn *connection, requestID, team string, offset int) {
	router := conn.client.name
	id, readerID, err := a.stateMachine.Attach(a.sim.now, requestID, team, router, offset)
	if err != nil {
		conn.sendLastEvent(refusedEvent{requestID, "stream_gone"})
		return
	}
	conn.onClosed = func() { a.stateMachine.Detach(a.sim.now, id, router, readerID) }
	a.streams[id].conn, a.streams[id].readerID = conn, readerID
	a.sendOutput(id)
	a.performActions()
}

// shutdown refuses new attempts and stops the process once it has no open work.
func (a *agent) shutdown() {
	a.stateMachine.Shutdown()
	a.stopWhenIdle()
}

func (a *agent) stopWhenIdle() {
	if a.hasOpenWork() && a.cluster.cfg.Bug != BugAbruptShutdown {
		a.runAfter(50*time.Millisecond, a.stopWhenIdle)
		return
	}
	a.runAfter(0, func() {
		a.cluster.history.checkGracefulStop(a.name, a.stateMachine.ActiveIDs())
		a.cluster.kill(a.name)
	})
}

// hasOpenWork reports whether an attempt waits or runs, or a router is connected.
func (a *agent) hasOpenWork() bool {
	for _, c := range a.cluster.network.connections {
		if c.server == &a.process && !c.broken && !c.processEnded() {
			return true
		}
	}
	return a.stateMachine.ActiveCount() > 0
}

// sendSuspicions sends the pending reports of a table of suspects to a few random
// processes.
func (cl *cluster) sendSuspicions(from *process, suspects *quarantine.Table) {
	reports := suspects.PendingReports(cl.sim.now, 8)
	if len(reports) == 0 {
		return
	}
	peers := cl.processNames
	for range gossipFanout {
		name := peers[cl.sim.rng.IntN(len(peers))]
		if name == from.name {
			continue
		}
		to := cl.processByName(name)
		cl.network.sendDatagram(from, to, func() {
			for _, r := range reports {
				cl.mergeSuspicionAt(name, r)
			}
		})
	}
}
