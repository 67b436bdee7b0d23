package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/modules/trace"
	"github.com/arbutusline/arbutusline/rules"
)

// inputBuffer bounds the events that wait for the caller of one request.
const inputBuffer = 16

// execution carries one request. All fields belong to the goroutine of Do; the
// goroutines that read attempts only send to inputs.
type execution struct {
	d         *Dispatcher
	req       *Request
	sink      TokenSink
	trace     *trace.RequestTrace
	machine   *attempt.StateMachine
	ctx       context.Context
	cancel    context.CancelFunc
	callerCtx context.Context
	inputs    chan attempt.Input

	currentAttempt attempt.StartAttempt
	// candidate is what placement expected of the current endpoint.
	candidate placement.Candidate
	// placing is the request as placement sees it. It does not change, because
	// the goroutines that read attempts use it too.
	placementRequest *placement.Request
	refusalCount     int
	// reoffer lists the endpoints that refused only because another one looked
	// cheaper.
	refusedForCost []string
	outputText     strings.Builder
	// tokens is the output so far of a request that may not be repeated, which
	// the ledger records.
	outputTokens []string
	// resumed is the offset at which the caller of a resumed stream continues.
	resumeOffset int
	done         *arbutuspb.Done
	result       *Result
	startTime    time.Time
}

func (d *Dispatcher) newExecution(ctx context.Context, req *Request, sink TokenSink) *execution {
	// Attempts outlive the caller's context, so that going away is an input
	// like others and the agent is told.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &execution{
		d: d, req: req, sink: sink, trace: d.trace.Begin(req.ID, req.Team.Name),
		ctx: runCtx, cancel: cancel, callerCtx: ctx,
		inputs:           make(chan attempt.Input, inputBuffer),
		startTime:        time.Now(),
		placementRequest: d.newPlacementRequest(req),
	}
}

// run performs actions and feeds inputs until the request ends.
func (x *execution) run(actions []attempt.Action) Result {
	tickTimer := time.NewTimer(0)
	defer tickTimer.Stop()
	for {
		x.performActions(actions)
		if x.result != nil {
			x.recordOutcome()
			return *x.result
		}
		tickTimer.Reset(max(0, x.machine.NextTick()-x.d.now()))
		var in attempt.Input
		select {
		case in = <-x.inputs:
		case <-x.callerCtx.Done():
			in = attempt.CallerDisconnected{}
		case <-tickTimer.C:
			in = attempt.Tick{}
		}
		actions = x.step(in)
	}
}

func (x *execution) step(in attempt.Input) []attempt.Action {
	switch event := in.(type) {
	case completedInput:
		in = x.storeDone(event)
	case retryBudgetInput:
		if in = x.askRetryBudget(event.askRetry, event.waitingSince); in == nil {
			return nil
		}
	}
	x.recordInput(in)
	return x.machine.Step(x.d.now(), in)
}

// ending keeps the end of the current attempt, and adds the answer that the
// ledger records.
func (x *execution) storeDone(completed completedInput) attempt.Completed {
	if completed.AttemptID != x.currentAttempt.AttemptID {
		return completed.Completed
	}
	x.done = completed.done
	if x.req.AtMostOnce {
		completed.Answer = encodeAnswer(x.currentAttempt.Endpoint, completed.done, x.outputTokens)
	}
	return completed.Completed
}

// perform carries out actions, and at once those that an immediate answer
// leads to.
func (x *execution) performActions(actions []attempt.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		if in := x.performAction(action); in != nil {
			actions = append(actions, x.step(in)...)
		}
	}
}

// do carries out one action and returns the input that answers it at once, if
// any.
func (x *execution) performAction(action attempt.Action) attempt.Input {
	switch a := action.(type) {
	case attempt.SelectEndpoint:
		return x.selectEndpoint(a)
	case attempt.Claim:
		go x.submitClaim(a)
	case attempt.Lookup:
		go x.lookUpKey()
	case attempt.Resolve:
		go x.resolveAttempt(a)
	case attempt.RecordEnd:
		x.recordEnd(a)
	case attempt.StartAttempt:
		x.startAttempt(a)
	case attempt.AskRetry:
		return x.askRetryBudget(a, time.Now())
	case attempt.Deliver:
		return x.deliver(a)
	case attempt.Cancel:
		go x.d.cancelAttempt(a, x.req.ID)
	case attempt.Finish:
		x.finish(a)
	}
	return nil
}

// askRetry asks the retry budget. While it has nothing left, the request waits:
// a stream that broke off is worth a short delay.
func (x *execution) askRetryBudget(a attempt.AskRetry, waitingSince time.Time) attempt.Input {
	x.d.mu.Lock()
	allowed := x.d.retryBudget.Allow(x.d.now())
	x.d.mu.Unlock()
	if !allowed {
		if time.Since(waitingSince) > x.d.MaxRetryWait.AsDuration() {
			x.d.metrics.retriesDenied.Inc()
			x.trace.AddStep(&arbutuspb.ExplainStep{What: "retry denied by budget", Reason: a.Reason})
			return attempt.RetryDecision{}
		}
		go x.askRetryBudgetLater(a, waitingSince)
		return nil
	}
	x.d.metrics.retries.WithLabelValues(a.Reason).Inc()
	return attempt.RetryDecision{Allowed: true}
}

// budgetPoll is how often a request asks again for a retry that the budget does
// not allow yet.
const retryBudgetPollInterval = 100 * time.Millisecond

func (x *execution) askRetryBudgetLater(a attempt.AskRetry, waitingSince time.Time) {
	select {
	case <-time.After(retryBudgetPollInterval):
		x.sendInput(retryBudgetInput{askRetry: a, waitingSince: waitingSince})
	case <-x.ctx.Done():
	}
}

// finish ends the request. An answer that the ledger or an agent kept is
// delivered first.
func (x *execution) finish(a attempt.Finish) {
	result := &Result{Finish: a, Done: x.done, Endpoint: x.currentAttempt.Endpoint}
	if a.Outcome == attempt.OutcomeDone && x.done == nil {
		x.deliverRecordedAnswer(result)
	}
	x.result = result
}

// maxRanks bounds how often one placement ranks again because the agents of all
// candidates were found to be gone.
const maxRankings = 8

// place picks the best endpoint whose agent lives. One whose agent is suspected
// to be dead is only taken when no other is left.
func (x *execution) selectEndpoint(a attempt.SelectEndpoint) attempt.Input {
	exclude := slices.Clone(a.Exclude)
	var suspectAgent *candidateAgent
	for range maxRankings {
		candidates := x.rankCandidates(exclude)
		for i, c := range candidates {
			agent := x.candidateAgent(c, i == len(candidates)-1)
			switch {
			case agent == nil:
				exclude = append(exclude, c.Endpoint)
				x.observeAgentGone(c.Endpoint)
			case agent.memberState == membership.Alive:
				return x.selectCandidate(agent)
			default:
				exclude = append(exclude, c.Endpoint)
				if suspectAgent == nil {
					suspectAgent = agent
				}
			}
		}
		if len(candidates) == 0 {
			break
		}
	}
	if agent := x.anyLiveAgent(exclude); agent != nil {
		return x.selectCandidate(agent)
	}
	if suspectAgent != nil {
		return x.selectCandidate(suspectAgent)
	}
	x.trace.AddStep(&arbutuspb.ExplainStep{What: "no endpoint left"})
	return attempt.EndpointSelected{}
}

// placed is a candidate with the agent beside it.
type candidateAgent struct {
	candidate        placement.Candidate
	agentIncarnation uint64
	memberState      membership.State
	mustQueue        bool
}

// look returns the candidate if its agent is known and may be given the work.
func (x *execution) candidateAgent(c placement.Candidate, lastCandidate bool) *candidateAgent {
	member, known := x.d.gossip.ByEndpoint(c.Endpoint)
	if !known || member.State != membership.Alive && member.State != membership.Suspect {
		return nil
	}
	if !x.mayUseEndpoint(x.d.rules.Current(), c) {
		return nil
	}
	mustQueue := c.MustQueue || lastCandidate && x.refusalCount >= x.d.MaxCandidates
	return &candidateAgent{c, member.Incarnation, member.State, mustQueue}
}

// anyLive looks through the whole pool for a live agent. It is only needed when
// most of the fleet is gone. A suspect is not run away from its home.
func (x *execution) anyLiveAgent(exclude []string) *candidateAgent {
	if x.suspicionLevel() > 0 {
		return nil
	}
	x.d.mu.Lock()
	pool := x.d.pools[x.placementRequest.Pool]
	x.d.mu.Unlock()
	for i := range pool {
		// Requests start at different places, so that they spread.
		e := pool[(i+int(x.req.Fingerprint%uint64(len(pool))))%len(pool)]
		if slices.Contains(exclude, e.Name) {
			continue
		}
		agent := x.candidateAgent(placement.Candidate{Endpoint: e.Name, Source: placement.SourceRandom}, false)
		if agent != nil && agent.memberState == membership.Alive {
			return agent
		}
	}
	return nil
}

// gone keeps placement from ranking an endpoint first whose agent is gone.
func (x *execution) observeAgentGone(endpoint string) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.placer.ObserveFailure(x.d.now(), endpoint)
}

func (x *execution) selectCandidate(agent *candidateAgent) attempt.Input {
	c := agent.candidate
	x.trace.AddStep(&arbutuspb.ExplainStep{
		What: "placed", Endpoint: c.Endpoint, Reason: c.Source.String(),
		CostMs: c.CostMS, CachedTokens: int32(c.CachedTokens),
	})
	x.candidate = c
	x.refusedForCost = slices.DeleteFunc(x.refusedForCost, func(name string) bool { return name == c.Endpoint })
	return attempt.EndpointSelected{Endpoint: c.Endpoint, AgentIncarnation: agent.agentIncarnation, MustQueue: agent.mustQueue}
}

func (x *execution) mayUseEndpoint(view *rules.View, c placement.Candidate) bool {
	e, ok := view.Endpoint(c.Endpoint)
	if !ok || e.Draining {
		return false
	}
	team, ok := view.Team(x.req.Team.Name)
	return ok && view.MayUse(team, e)
}

func (x *execution) deliver(a attempt.Deliver) attempt.Input {
	if a.Offset == 0 {
		x.d.metrics.firstTokenSeconds.Observe(time.Since(x.startTime).Seconds())
	}
	for _, t := range a.Tokens {
		x.outputText.WriteString(t)
	}
	if x.req.AtMostOnce {
		x.outputTokens = append(x.outputTokens, a.Tokens...)
	}
	if err := x.sink.WriteTokens(x.currentAttempt.Endpoint, a.Offset, a.Tokens); err != nil {
		return attempt.CallerDisconnected{}
	}
	return nil
}

// send starts an attempt and reads its events in a goroutine.
func (x *execution) startAttempt(s attempt.StartAttempt) {
	x.currentAttempt = s
	agent, ok := x.d.gossip.ByEndpoint(s.Endpoint)
	if !ok {
		go x.sendInput(attempt.ConnectionLost{AttemptID: s.AttemptID})
		return
	}
	req := x.newRunRequest(s)
	go x.receiveEvents(s, agent.GRPCAddress, func(ctx context.Context, c arbutuspb.AgentClient, opts ...grpc.CallOption) (eventStream, error) {
		return c.Run(ctx, req, opts...)
	})
}

func (x *execution) newRunRequest(s attempt.StartAttempt) *arbutuspb.RunRequest {
	d := x.d
	elapsed := time.Since(x.startTime)
	req := &arbutuspb.RunRequest{
		RequestId:          x.req.ID,
		AttemptId:          s.AttemptID,
		Endpoint:           s.Endpoint,
		AgentIncarnation:   s.AgentIncarnation,
		RulesVersion:       d.rules.Current().Version,
		Team:               x.req.Team.Name,
		Priority:           int32(x.req.Team.Priority),
		FirstTokenBudgetMs: max(d.FirstTokenTarget.AsDuration()-elapsed, minFirstTokenBudget).Milliseconds(),
		BudgetMs:           (d.RequestTimeout.AsDuration() - elapsed).Milliseconds(),
		Fingerprint:        x.req.Fingerprint,
		Suspicion:          uint32(max(s.SuspicionLevel, x.suspicionLevel())),
		LastCandidate:      s.MustQueue,
		Router:             d.node.ID,
		AlternativeMs:      x.candidate.AlternativeCostMS,
		PrefillWeight:      x.candidate.PrefillWeight,
	}
	if x.req.AtMostOnce {
		req.ClaimKey = x.req.IdempotencyKey
	}
	if x.req.Kind == rules.KindService {
		req.Kind = arbutuspb.RunKind_RUN_KIND_SERVICE
		req.ServiceCall = x.req.ServiceCall
		return req
	}
	req.Kind = arbutuspb.RunKind_RUN_KIND_COMPLETION
	req.Completion = x.newCompletion(s)
	return req
}

// minBudget is what a retried request may still wait, so that it is not
// refused only because its first attempt took the whole target.
const minFirstTokenBudget = 50 * time.Millisecond

func (x *execution) newCompletion(s attempt.StartAttempt) *arbutuspb.Completion {
	c := x.req.Completion
	return &arbutuspb.Completion{
		Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Chat: c.Chat,
		ResumeTokens: int32(s.ResumeOffset),
		ResumeText:   c.ResumeText + x.outputText.String(),
	}
}

// eventStream is the client's end of Run and Attach.
type eventStream interface {
	Recv() (*arbutuspb.RunEvent, error)
}

type openStreamFunc func(context.Context, arbutuspb.AgentClient, ...grpc.CallOption) (eventStream, error)

// receive turns the events of an attempt into inputs.
func (x *execution) receiveEvents(s attempt.StartAttempt, address string, open openStreamFunc) {
	conn, err := x.d.agentConns.Conn(address)
	if err != nil {
		x.sendInput(attempt.ConnectionLost{AttemptID: s.AttemptID})
		return
	}
	// The peer stays unset when no connection was ever found for the call, so
	// nothing can have reached the agent.
	var agentPeer peer.Peer
	stream, err := open(x.ctx, arbutuspb.NewAgentClient(conn), grpc.Peer(&agentPeer))
	for err == nil {
		var event *arbutuspb.RunEvent
		event, err = stream.Recv()
		if err != nil {
			break
		}
		x.observeLoad(s.Endpoint, event.Load)
		x.observeRefusal(s.Endpoint, event.GetRefused())
		in := inputFromEvent(s.AttemptID, event)
		if !x.sendInput(in) || isFinalEvent(event) {
			return
		}
	}
	if x.ctx.Err() != nil {
		return
	}
	x.d.log.WithError(err).WithField("attempt_id", s.AttemptID).Info("attempt lost")
	x.sendInput(attempt.ConnectionLost{AttemptID: s.AttemptID, MayHaveArrived: agentPeer.Addr != nil})
}

func isFinalEvent(event *arbutuspb.RunEvent) bool {
	return event.GetRefused() != nil || event.GetDone() != nil || event.GetFailed() != nil
}

// input passes an input to the request's goroutine. It returns false when the
// request has ended.
func (x *execution) sendInput(in attempt.Input) bool {
	select {
	case x.inputs <- in:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// learnRefusal tells placement what a refusing agent said about its cache and
// queue, or that it takes nothing at all.
func (x *execution) observeRefusal(endpoint string, refused *arbutuspb.Refused) {
	if refused == nil || x.req.Kind != rules.KindModel {
		return
	}
	d := x.d
	d.mu.Lock()
	defer d.mu.Unlock()
	switch admission.Reason(refused.Reason) {
	case admission.ReasonCheaperElsewhere, admission.ReasonDeadline, admission.ReasonQueueFull:
		d.placer.ObserveRefused(d.now(), endpoint, x.placementRequest, int(refused.CachedTokens), refused.ExpectedWaitMs)
	default:
		d.placer.ObserveFailure(d.now(), endpoint)
	}
}

func (x *execution) observeLoad(endpoint string, load *arbutuspb.LoadReport) {
	if load == nil {
		return
	}
	x.d.rules.Heard(load.RulesVersion, endpoint)
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.placer.ObserveLoad(x.d.now(), endpoint, placement.Load{
		QueueWaitMS:       load.QueueMs,
		PrefillMSPerToken: load.PrefillMsPerToken,
		Running:           int(load.Running),
		Waiting:           int(load.Waiting),
		EngineIncarnation: load.EngineIncarnation,
		Draining:          load.Draining,
	})
}

const cancelTimeout = 2 * time.Second

// cancelAttempt tells the agent that nobody waits for an attempt any more.
func (d *Dispatcher) cancelAttempt(a attempt.Cancel, requestID string) {
	agent, ok := d.gossip.ByEndpoint(a.Endpoint)
	if !ok || agent.Incarnation != a.AgentIncarnation {
		return
	}
	conn, err := d.agentConns.Conn(agent.GRPCAddress)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, err = arbutuspb.NewAgentClient(conn).Cancel(ctx, &arbutuspb.CancelRequest{
		RequestId: requestID, AttemptId: a.AttemptID, Router: d.node.ID,
	})
	if err != nil {
		d.log.WithError(err).WithField("attempt_id", a.AttemptID).Debug("cancel did not reach the agent")
	}
}
