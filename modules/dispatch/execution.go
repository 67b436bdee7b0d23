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

// inputBuffer is the number of inputs that one request buffers while its caller
// reads slowly.
const inputBuffer = 16

// execution runs one request. The goroutine of Do or Resume owns all mutable
// fields; the goroutines that it starts report through inputs.
type execution struct {
	d            *Dispatcher
	req          *Request
	sink         TokenSink
	trace        *trace.RequestTrace
	stateMachine *attempt.StateMachine
	// ctx ends when the request has ended, callerCtx when the caller disconnects.
	ctx       context.Context
	cancel    context.CancelFunc
	callerCtx context.Context
	inputs    chan attempt.Input

	currentAttempt attempt.StartAttempt
	// candidate is the candidate of the current attempt, with the costs that
	// placement expected.
	candidate placement.Candidate
	// placementRequest does not change after the first attempt was started,
	// because the goroutines that receive events read it too.
	placementRequest *placement.Request
	refusalCount     int
	// copyEndpoint is the endpoint at which the request counts as a copy without
	// output, or empty.
	copyEndpoint string
	// refusedForCost lists the endpoints that refused only because another endpoint
	// looked cheaper.
	refusedForCost []string
	outputText     strings.Builder
	// outputTokens is the output so far of an at-most-once request, for the
	// ledger.
	outputTokens []string
	// resumeOffset is the offset of the first token that the caller of a resumed
	// stream still needs.
	resumeOffset int
	doneEvent    *arbutuspb.Done
	result       *Result
	startTime    time.Time
}

func (d *Dispatcher) newExecution(ctx context.Context, req *Request, sink TokenSink) *execution {
	// Attempts do not end with the caller's context: a disconnect is an input of
	// the state machine, which then cancels the attempt at the agent.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &execution{
		d: d, req: req, sink: sink, trace: d.trace.Begin(req.ID, req.Team.Name),
		ctx: runCtx, cancel: cancel, callerCtx: ctx,
		inputs:           make(chan attempt.Input, inputBuffer),
		startTime:        time.Now(),
		placementRequest: d.newPlacementRequest(req),
	}
}

// run performs actions and applies inputs to the state machine until the request
// ends.
func (x *execution) run(actions []attempt.Action) Result {
	tickTimer := time.NewTimer(0)
	defer tickTimer.Stop()
	for {
		x.performActions(actions)
		if x.result != nil {
			x.untrackCopy()
			x.recordOutcome()
			return *x.result
		}
		tickTimer.Reset(max(0, x.stateMachine.NextTick()-x.d.now()))
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

// step applies one input and returns the actions that follow.
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
	return x.stateMachine.Step(x.d.now(), in)
}

// storeDone stores the Done event of the current attempt. For an at-most-once
// request it adds the answer that the ledger records to the input.
func (x *execution) storeDone(completed completedInput) attempt.Completed {
	if completed.AttemptID != x.currentAttempt.AttemptID {
		return completed.Completed
	}
	x.doneEvent = completed.doneEvent
	if x.req.AtMostOnce {
		completed.Answer = encodeAnswer(x.currentAttempt.Endpoint, completed.doneEvent, x.outputTokens)
	}
	return completed.Completed
}

// performActions performs the actions and those that follow from their immediate
// inputs.
func (x *execution) performActions(actions []attempt.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		if in := x.performAction(action); in != nil {
			actions = append(actions, x.step(in)...)
		}
	}
}

// performAction performs one action and returns its immediate input, or nil.
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
	case attempt.FinishClaim:
		x.finishClaim(a)
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

// askRetryBudget asks the retry budget for one more attempt. When the budget is
// used up, the request waits up to MaxRetryWait: a short delay is better than an
// interrupted stream.
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

// retryBudgetPollInterval is the time after which a waiting request asks the
// retry budget again.
const retryBudgetPollInterval = 100 * time.Millisecond

func (x *execution) askRetryBudgetLater(a attempt.AskRetry, waitingSince time.Time) {
	select {
	case <-time.After(retryBudgetPollInterval):
		x.sendInput(retryBudgetInput{askRetry: a, waitingSince: waitingSince})
	case <-x.ctx.Done():
	}
}

// finish sets the result of the request. If the answer comes from the ledger or
// from Resolve, it is delivered first.
func (x *execution) finish(a attempt.Finish) {
	result := &Result{Finish: a, Done: x.doneEvent, Endpoint: x.currentAttempt.Endpoint}
	if a.Outcome == attempt.OutcomeDone && x.doneEvent == nil {
		x.deliverRecordedAnswer(result)
	}
	x.result = result
}

// maxRankings bounds how often one selection ranks the endpoints. Each ranking after
// the first replaces candidates without a live agent.
const maxRankings = 8

// selectEndpoint returns the best endpoint whose agent is alive. An endpoint
// whose agent is suspected to be dead is only selected if there is no other.
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

// candidateAgent is a candidate with the membership state of its agent.
type candidateAgent struct {
	candidate        placement.Candidate
	agentIncarnation uint64
	memberState      membership.State
	mustQueue        bool
}

// candidateAgent returns the agent of a candidate, or nil if it is dead or
// unknown, or if the rules do not let the team use the endpoint. The last ranked
// candidate must queue the request once MaxCandidates attempts were refused.
func (x *execution) candidateAgent(c placement.Candidate, lastCandidate bool) *candidateAgent {
	member, known := x.d.gossip.AgentByEndpoint(c.Endpoint)
	if !known || member.State != membership.Alive && member.State != membership.Suspect {
		return nil
	}
	if !x.mayUseEndpoint(x.d.rules.Current(), c) {
		return nil
	}
	mustQueue := c.MustQueue || lastCandidate && x.refusalCount >= x.d.MaxCandidates
	return &candidateAgent{c, member.Incarnation, member.State, mustQueue}
}

// anyLiveAgent searches the whole pool for a live agent, in case all ranked
// candidates are gone, as after the loss of an availability zone. It returns nil
// for a suspected request, which may only run at its isolation endpoint.
func (x *execution) anyLiveAgent(exclude []string) *candidateAgent {
	if x.suspicionLevel() > 0 {
		return nil
	}
	x.d.mu.Lock()
	pool := x.d.pools[x.placementRequest.Pool]
	x.d.mu.Unlock()
	for i := range pool {
		// The start depends on the fingerprint, so that requests are
		// distributed over the pool.
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

// observeAgentGone reports a failure of the endpoint to placement, so that it is
// not ranked first while its agent is gone.
func (x *execution) observeAgentGone(endpoint string) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.placer.ObserveFailure(x.d.now(), endpoint)
}

// selectCandidate makes a candidate the endpoint of the next attempt.
func (x *execution) selectCandidate(agent *candidateAgent) attempt.Input {
	c := agent.candidate
	x.trace.AddStep(&arbutuspb.ExplainStep{
		What: "placed", Endpoint: c.Endpoint, Reason: c.Source.String(),
		CostMs: c.CostMS, CachedTokens: int32(c.CachedTokens),
	})
	x.candidate = c
	x.trackCopy(c.Endpoint)
	x.refusedForCost = slices.DeleteFunc(x.refusedForCost, func(name string) bool { return name == c.Endpoint })
	return attempt.EndpointSelected{Endpoint: c.Endpoint, AgentIncarnation: agent.agentIncarnation, MustQueue: agent.mustQueue}
}

// mayUseEndpoint reports whether the rules let the team use the endpoint now.
func (x *execution) mayUseEndpoint(view *rules.View, c placement.Candidate) bool {
	e, ok := view.Endpoint(c.Endpoint)
	if !ok || e.Draining {
		return false
	}
	team, ok := view.Team(x.req.Team.Name)
	return ok && view.MayUse(team, e)
}

// deliver passes tokens to the caller and keeps them for a continuation at another
// endpoint and for the ledger.
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

// startAttempt sends an attempt to its agent and receives the events in a
// goroutine.
func (x *execution) startAttempt(s attempt.StartAttempt) {
	x.currentAttempt = s
	agent, ok := x.d.gossip.AgentByEndpoint(s.Endpoint)
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

// minFirstTokenBudget is the minimum time to the first token that an agent is
// given, so that a retry is not refused because the first attempt used up the
// whole target.
const minFirstTokenBudget = 50 * time.Millisecond

// newCompletion returns the completion with the output that is already delivered,
// from which the endpoint continues.
func (x *execution) newCompletion(s attempt.StartAttempt) *arbutuspb.Completion {
	c := x.req.Completion
	return &arbutuspb.Completion{
		Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Chat: c.Chat,
		ResumeTokens: int32(s.ResumeOffset),
		ResumeText:   c.ResumeText + x.outputText.String(),
	}
}

// eventStream is the client side of the Run and Attach streams.
type eventStream interface {
	Recv() (*arbutuspb.RunEvent, error)
}

// openStreamFunc opens the event stream of an attempt.
type openStreamFunc func(context.Context, arbutuspb.AgentClient, ...grpc.CallOption) (eventStream, error)

// receiveEvents opens the event stream of an attempt and sends its events as
// inputs until the attempt or the request ends.
func (x *execution) receiveEvents(s attempt.StartAttempt, address string, open openStreamFunc) {
	conn, err := x.d.connPool.Conn(address)
	if err != nil {
		x.sendInput(attempt.ConnectionLost{AttemptID: s.AttemptID})
		return
	}
	// The peer stays unset if gRPC never found a connection for the call. In that
	// case nothing reached the agent.
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
	x.d.log.WithError(err).WithField("attempt_id", s.AttemptID).Info("event stream from agent failed")
	x.sendInput(attempt.ConnectionLost{AttemptID: s.AttemptID, MayHaveArrived: agentPeer.Addr != nil})
}

// isFinalEvent reports whether the event is the last event of its attempt.
func isFinalEvent(event *arbutuspb.RunEvent) bool {
	return event.GetRefused() != nil || event.GetDone() != nil || event.GetFailed() != nil
}

// sendInput sends an input to the goroutine of the request. It returns false if
// the request has ended.
func (x *execution) sendInput(in attempt.Input) bool {
	select {
	case x.inputs <- in:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// observeRefusal reports a refusal to placement: the cached tokens and the wait
// that the agent stated, or a failure if the agent refused for another reason.
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

// observeLoad passes a load report to placement and its rules version to the
// module "rules".
func (x *execution) observeLoad(endpoint string, load *arbutuspb.LoadReport) {
	if load == nil {
		return
	}
	x.d.rules.ObserveVersion(load.RulesVersion, endpoint)
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.placer.ObserveLoad(x.d.now(), endpoint, placement.Load{
		ExpectedWaitMS:    load.QueueMs,
		PrefillMSPerToken: load.PrefillMsPerToken,
		Running:           int(load.Running),
		Waiting:           int(load.Waiting),
		EngineIncarnation: load.EngineIncarnation,
		Draining:          load.Draining,
	})
}

// cancelTimeout bounds the Cancel call to an agent.
const cancelTimeout = 2 * time.Second

// cancelAttempt tells the agent that the output of an attempt is no longer
// needed. An agent that has restarted does not run the attempt any more.
func (d *Dispatcher) cancelAttempt(a attempt.Cancel, requestID string) {
	agent, ok := d.gossip.AgentByEndpoint(a.Endpoint)
	if !ok || agent.Incarnation != a.AgentIncarnation {
		return
	}
	conn, err := d.connPool.Conn(agent.GRPCAddress)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, err = arbutuspb.NewAgentClient(conn).Cancel(ctx, &arbutuspb.CancelRequest{
		RequestId: requestID, AttemptId: a.AttemptID, Router: d.node.ID,
	})
	if err != nil {
		d.log.WithError(err).WithField("attempt_id", a.AttemptID).Debug("failed to cancel attempt at agent")
	}
}
