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
	d       *Dispatcher
	req     *Request
	sink    Sink
	record  *trace.RequestTrace
	machine *attempt.StateMachine
	ctx     context.Context
	cancel  context.CancelFunc
	caller  context.Context
	inputs  chan attempt.Input

	current attempt.StartAttempt
	// candidate is what placement expected of the current endpoint.
	candidate placement.Candidate
	// placing is the request as placement sees it. It does not change, because
	// the goroutines that read attempts use it too.
	placing  *placement.Request
	refusals int
	// reoffer lists the endpoints that refused only because another one looked
	// cheaper.
	reoffer []string
	text    strings.Builder
	// tokens is the output so far of a request that may not be repeated, which
	// the ledger records.
	tokens []string
	// resumed is the offset at which the caller of a resumed stream continues.
	resumed int
	done    *arbutuspb.Done
	result  *Result
	began   time.Time
}

func (d *Dispatcher) newExecution(ctx context.Context, req *Request, sink Sink) *execution {
	// Attempts outlive the caller's context, so that going away is an input
	// like others and the agent is told.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &execution{
		d: d, req: req, sink: sink, record: d.trace.Begin(req.ID, req.Team.Name),
		ctx: runCtx, cancel: cancel, caller: ctx,
		inputs:  make(chan attempt.Input, inputBuffer),
		began:   time.Now(),
		placing: d.placementOf(req),
	}
}

// run performs actions and feeds inputs until the request ends.
func (x *execution) run(actions []attempt.Action) Result {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		x.perform(actions)
		if x.result != nil {
			x.ended()
			return *x.result
		}
		wake.Reset(max(0, x.machine.NextTick()-x.d.now()))
		var in attempt.Input
		select {
		case in = <-x.inputs:
		case <-x.caller.Done():
			in = attempt.CallerDisconnected{}
		case <-wake.C:
			in = attempt.Tick{}
		}
		actions = x.step(in)
	}
}

func (x *execution) step(in attempt.Input) []attempt.Action {
	switch special := in.(type) {
	case doneInput:
		in = x.ending(special)
	case retryInput:
		if in = x.askRetry(special.ask, special.since); in == nil {
			return nil
		}
	}
	x.observe(in)
	return x.machine.Step(x.d.now(), in)
}

// ending keeps the end of the current attempt, and adds the answer that the
// ledger records.
func (x *execution) ending(done doneInput) attempt.Completed {
	if done.AttemptID != x.current.AttemptID {
		return done.Completed
	}
	x.done = done.event
	if x.req.Once {
		done.Answer = encodeAnswer(x.current.Endpoint, done.event, x.tokens)
	}
	return done.Completed
}

// perform carries out actions, and at once those that an immediate answer
// leads to.
func (x *execution) perform(actions []attempt.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		if in := x.do(action); in != nil {
			actions = append(actions, x.step(in)...)
		}
	}
}

// do carries out one action and returns the input that answers it at once, if
// any.
func (x *execution) do(action attempt.Action) attempt.Input {
	switch a := action.(type) {
	case attempt.SelectEndpoint:
		return x.place(a)
	case attempt.Claim:
		go x.claim(a)
	case attempt.Lookup:
		go x.lookup()
	case attempt.Resolve:
		go x.resolve(a)
	case attempt.RecordEnd:
		x.recordEnd(a)
	case attempt.StartAttempt:
		x.send(a)
	case attempt.AskRetry:
		return x.askRetry(a, time.Now())
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
func (x *execution) askRetry(a attempt.AskRetry, since time.Time) attempt.Input {
	x.d.mu.Lock()
	allowed := x.d.retries.Allow(x.d.now())
	x.d.mu.Unlock()
	if !allowed {
		if time.Since(since) > x.d.RetryWait.AsDuration() {
			x.d.metrics.retriesDenied.Inc()
			x.record.AddStep(&arbutuspb.ExplainStep{What: "retry denied by budget", Reason: a.Reason})
			return attempt.RetryDecision{}
		}
		go x.askLater(a, since)
		return nil
	}
	x.d.metrics.retries.WithLabelValues(a.Reason).Inc()
	return attempt.RetryDecision{Allowed: true}
}

// budgetPoll is how often a request asks again for a retry that the budget does
// not allow yet.
const budgetPoll = 100 * time.Millisecond

func (x *execution) askLater(a attempt.AskRetry, since time.Time) {
	select {
	case <-time.After(budgetPoll):
		x.input(retryInput{ask: a, since: since})
	case <-x.ctx.Done():
	}
}

// finish ends the request. An answer that the ledger or an agent kept is
// delivered first.
func (x *execution) finish(a attempt.Finish) {
	result := &Result{Finish: a, Done: x.done, Endpoint: x.current.Endpoint}
	if a.Outcome == attempt.OutcomeDone && x.done == nil {
		x.replay(result)
	}
	x.result = result
}

// maxRanks bounds how often one placement ranks again because the agents of all
// candidates were found to be gone.
const maxRanks = 8

// place picks the best endpoint whose agent lives. One whose agent is suspected
// to be dead is only taken when no other is left.
func (x *execution) place(a attempt.SelectEndpoint) attempt.Input {
	exclude := slices.Clone(a.Exclude)
	var suspect *placed
	for range maxRanks {
		candidates := x.rank(exclude)
		for i, c := range candidates {
			p := x.look(c, i == len(candidates)-1)
			switch {
			case p == nil:
				exclude = append(exclude, c.Endpoint)
				x.gone(c.Endpoint)
			case p.state == membership.Alive:
				return x.choose(p)
			default:
				exclude = append(exclude, c.Endpoint)
				if suspect == nil {
					suspect = p
				}
			}
		}
		if len(candidates) == 0 {
			break
		}
	}
	if p := x.anyLive(exclude); p != nil {
		return x.choose(p)
	}
	if suspect != nil {
		return x.choose(suspect)
	}
	x.record.AddStep(&arbutuspb.ExplainStep{What: "no endpoint left"})
	return attempt.EndpointSelected{}
}

// placed is a candidate with the agent beside it.
type placed struct {
	candidate   placement.Candidate
	incarnation uint64
	state       membership.State
	last        bool
}

// look returns the candidate if its agent is known and may be given the work.
func (x *execution) look(c placement.Candidate, final bool) *placed {
	member, known := x.d.directory.AgentByEndpoint(c.Endpoint)
	if !known || member.State != membership.Alive && member.State != membership.Suspect {
		return nil
	}
	if !x.mayUse(x.d.rules.Current(), c) {
		return nil
	}
	last := c.MustQueue || final && x.refusals >= x.d.Candidates
	return &placed{c, member.Incarnation, member.State, last}
}

// anyLive looks through the whole pool for a live agent. It is only needed when
// most of the fleet is gone. A suspect is not run away from its home.
func (x *execution) anyLive(exclude []string) *placed {
	if x.suspicion() > 0 {
		return nil
	}
	x.d.mu.Lock()
	pool := x.d.pools[x.placing.Pool]
	x.d.mu.Unlock()
	for i := range pool {
		// Requests start at different places, so that they spread.
		e := pool[(i+int(x.req.Fingerprint%uint64(len(pool))))%len(pool)]
		if slices.Contains(exclude, e.Name) {
			continue
		}
		p := x.look(placement.Candidate{Endpoint: e.Name, Source: placement.SourceRandom}, false)
		if p != nil && p.state == membership.Alive {
			return p
		}
	}
	return nil
}

// gone keeps placement from ranking an endpoint first whose agent is gone.
func (x *execution) gone(endpoint string) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	x.d.placer.ObserveFailure(x.d.now(), endpoint)
}

func (x *execution) choose(p *placed) attempt.Input {
	c := p.candidate
	x.record.AddStep(&arbutuspb.ExplainStep{
		What: "placed", Endpoint: c.Endpoint, Reason: c.Source.String(),
		CostMs: c.CostMS, CachedTokens: int32(c.CachedTokens),
	})
	x.candidate = c
	x.reoffer = slices.DeleteFunc(x.reoffer, func(name string) bool { return name == c.Endpoint })
	return attempt.EndpointSelected{Endpoint: c.Endpoint, AgentIncarnation: p.incarnation, MustQueue: p.last}
}

func (x *execution) mayUse(view *rules.View, c placement.Candidate) bool {
	e, ok := view.Endpoint(c.Endpoint)
	if !ok || e.Draining {
		return false
	}
	team, ok := view.Team(x.req.Team.Name)
	return ok && view.MayUse(team, e)
}

func (x *execution) deliver(a attempt.Deliver) attempt.Input {
	if a.Offset == 0 {
		x.d.metrics.firstToken.Observe(time.Since(x.began).Seconds())
	}
	for _, t := range a.Tokens {
		x.text.WriteString(t)
	}
	if x.req.Once {
		x.tokens = append(x.tokens, a.Tokens...)
	}
	if err := x.sink.Tokens(x.current.Endpoint, a.Offset, a.Tokens); err != nil {
		return attempt.CallerDisconnected{}
	}
	return nil
}

// send starts an attempt and reads its events in a goroutine.
func (x *execution) send(s attempt.StartAttempt) {
	x.current = s
	instance, ok := x.d.directory.AgentByEndpoint(s.Endpoint)
	if !ok {
		go x.input(attempt.ConnectionLost{AttemptID: s.AttemptID})
		return
	}
	req := x.runRequest(s)
	go x.receive(s, instance.GRPCAddress, func(ctx context.Context, c arbutuspb.AgentClient, opts ...grpc.CallOption) (eventStream, error) {
		return c.Run(ctx, req, opts...)
	})
}

func (x *execution) runRequest(s attempt.StartAttempt) *arbutuspb.RunRequest {
	d := x.d
	elapsed := time.Since(x.began)
	req := &arbutuspb.RunRequest{
		RequestId:          x.req.ID,
		AttemptId:          s.AttemptID,
		Endpoint:           s.Endpoint,
		AgentIncarnation:   s.AgentIncarnation,
		RulesVersion:       d.rules.Current().Version,
		Team:               x.req.Team.Name,
		Priority:           int32(x.req.Team.Priority),
		FirstTokenBudgetMs: max(d.FirstTokenTarget.AsDuration()-elapsed, minBudget).Milliseconds(),
		BudgetMs:           (d.RequestTimeout.AsDuration() - elapsed).Milliseconds(),
		Fingerprint:        x.req.Fingerprint,
		Suspicion:          uint32(max(s.SuspicionLevel, x.suspicion())),
		LastCandidate:      s.MustQueue,
		Router:             d.node.ID,
		AlternativeMs:      x.candidate.AlternativeCostMS,
		PrefillWeight:      x.candidate.PrefillWeight,
	}
	if x.req.Once {
		req.ClaimKey = x.req.Key
	}
	if x.req.Kind == rules.KindService {
		req.Kind = arbutuspb.RunKind_RUN_KIND_SERVICE
		req.ServiceCall = x.req.Service
		return req
	}
	req.Kind = arbutuspb.RunKind_RUN_KIND_COMPLETION
	req.Completion = x.completion(s)
	return req
}

// minBudget is what a retried request may still wait, so that it is not
// refused only because its first attempt took the whole target.
const minBudget = 50 * time.Millisecond

func (x *execution) completion(s attempt.StartAttempt) *arbutuspb.Completion {
	c := x.req.Completion
	return &arbutuspb.Completion{
		Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Chat: c.Chat,
		ResumeTokens: int32(s.ResumeOffset),
		ResumeText:   c.ResumeText + x.text.String(),
	}
}

// eventStream is the client's end of Run and Attach.
type eventStream interface {
	Recv() (*arbutuspb.RunEvent, error)
}

type openStream func(context.Context, arbutuspb.AgentClient, ...grpc.CallOption) (eventStream, error)

// receive turns the events of an attempt into inputs.
func (x *execution) receive(s attempt.StartAttempt, address string, open openStream) {
	conn, err := x.d.client.Conn(address)
	if err != nil {
		x.input(attempt.ConnectionLost{AttemptID: s.AttemptID})
		return
	}
	// The peer stays unset when no connection was ever found for the call, so
	// nothing can have reached the agent.
	var reached peer.Peer
	stream, err := open(x.ctx, arbutuspb.NewAgentClient(conn), grpc.Peer(&reached))
	for err == nil {
		var event *arbutuspb.RunEvent
		event, err = stream.Recv()
		if err != nil {
			break
		}
		x.learn(s.Endpoint, event.Load)
		x.learnRefusal(s.Endpoint, event.GetRefused())
		in := inputOf(s.AttemptID, event)
		if !x.input(in) || isLast(event) {
			return
		}
	}
	if x.ctx.Err() != nil {
		return
	}
	x.d.log.WithError(err).WithField("attempt_id", s.AttemptID).Info("attempt lost")
	x.input(attempt.ConnectionLost{AttemptID: s.AttemptID, MayHaveArrived: reached.Addr != nil})
}

func isLast(event *arbutuspb.RunEvent) bool {
	return event.GetRefused() != nil || event.GetDone() != nil || event.GetFailed() != nil
}

// input passes an input to the request's goroutine. It returns false when the
// request has ended.
func (x *execution) input(in attempt.Input) bool {
	select {
	case x.inputs <- in:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// learnRefusal tells placement what a refusing agent said about its cache and
// queue, or that it takes nothing at all.
func (x *execution) learnRefusal(endpoint string, refused *arbutuspb.Refused) {
	if refused == nil || x.req.Kind != rules.KindModel {
		return
	}
	d := x.d
	d.mu.Lock()
	defer d.mu.Unlock()
	switch admission.Reason(refused.Reason) {
	case admission.ReasonCheaperElsewhere, admission.ReasonDeadline, admission.ReasonQueueFull:
		d.placer.ObserveRefused(d.now(), endpoint, x.placing, int(refused.CachedTokens), refused.ExpectedWaitMs)
	default:
		d.placer.ObserveFailure(d.now(), endpoint)
	}
}

func (x *execution) learn(endpoint string, load *arbutuspb.LoadReport) {
	if load == nil {
		return
	}
	x.d.rules.ObserveVersion(load.RulesVersion, endpoint)
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
	instance, ok := d.directory.AgentByEndpoint(a.Endpoint)
	if !ok || instance.Incarnation != a.AgentIncarnation {
		return
	}
	conn, err := d.client.Conn(instance.GRPCAddress)
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
