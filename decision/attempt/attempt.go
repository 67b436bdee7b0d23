// Package attempt is the life of one request at a router: which endpoint is
// tried, what may be tried again, and which outcome the caller is told. It is
// a pure state machine: Step takes an input and returns actions.
package attempt

import (
	"strconv"
	"time"
)

// Outcome is what the caller may conclude from the end of a request.
type Outcome string

// Outcomes.
const (
	// OutcomeDone means the whole answer was delivered.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means the request had no effect and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means the request may have had an effect.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the stable code of a refusal.
type Code string

// Codes that this machine gives.
const (
	CodeNoEndpoint       Code = "no_endpoint"
	CodeDeadline         Code = "deadline"
	CodeQueueFull        Code = "queue_full"
	CodeQuarantined      Code = "quarantined"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeUpstreamFailed   Code = "upstream_failed"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeKeyReused        Code = "key_reused"
	CodeStillRunning     Code = "still_running"
	CodeAlreadyNotRun    Code = "already_not_run"
	CodeAnswerExpired    Code = "answer_expired"
)

// Request is the part of a request that the machine needs.
type Request struct {
	ID string
	// Once is true when the request may not be repeated.
	AtMostOnce bool
	// FirstTokenBudget and Budget are the time left, counted from New, for the
	// first token and for the whole answer.
	FirstTokenTimeout time.Duration
	Timeout           time.Duration
}

// Config are the parameters of a Machine.
type Config struct {
	// MaxAttempts bounds the attempts of one request that reached an endpoint
	// and failed. Default 4.
	MaxAttempts int
	// MaxRefusals bounds the endpoints that may refuse it. Default 8.
	MaxRefusals int
	// ResolveEvery is the time between two questions about an attempt whose
	// end is not known. Default 250 ms.
	ResolveInterval time.Duration
	// MaxCrashes is the number of engine deaths after which a request is not
	// tried again. Default 2.
	MaxCrashes int
}

func (c *Config) setDefaults() {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = 4
	}
	if c.MaxRefusals == 0 {
		c.MaxRefusals = 8
	}
	if c.MaxCrashes == 0 {
		c.MaxCrashes = 2
	}
	if c.ResolveInterval == 0 {
		c.ResolveInterval = 250 * time.Millisecond
	}
}

// ledgerGrace is how long after the budget the answer of the ledger is awaited;
// the ledger itself answers within 2 s.
const ledgerGracePeriod = 3 * time.Second

type state uint8

const (
	stateSelecting state = iota
	stateClaiming
	stateSent
	stateStreaming
	stateAwaitingRetry
	// stateLooking waits for Held before the request is refused.
	stateLookingUp
	// stateResolving asks what became of the attempt in resolve.
	stateResolving
	stateFinished
)

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	cfg        Config
	req        Request
	startedAt  time.Duration
	state      state
	attempts   int
	refusals   int
	crashes    int
	delivered  int
	excluded   []string
	current    StartAttempt
	lastCode   Code
	lastReason string
	retryAfter time.Duration
	// prev is the attempt whose claim the next claim replaces.
	previousAttempt string
	// asked is true once the ledger said something about the key.
	ledgerReplied bool
	// resolve is the attempt of stateResolving; resolveAt is when to ask again
	// and held is true when it is not an attempt of this machine.
	resolve          Resolve
	nextResolve      time.Duration
	resolveScheduled bool
	resolvingHolder  bool
	// unreachable is a held attempt whose agent did not answer.
	unreachableHolder string
	// gone is a held attempt that its agent can't tell about any more.
	unresolvableHolder string
	// mayHaveRun is true once an attempt of a request that may not be
	// repeated could have had an effect.
	mayHaveRun bool
	// ranBefore is true once any earlier attempt ran, even in part.
	earlierAttemptRan bool
}

// New returns the machine and the first action.
func New(cfg Config, req Request, now time.Duration) (*Machine, []Action) {
	cfg.setDefaults()
	m := &Machine{cfg: cfg, req: req, startedAt: now, lastCode: CodeNoEndpoint}
	return m, []Action{SelectEndpoint{}}
}

// Attach returns a machine for a request that already runs: s names the
// attempt, s.Resume the tokens that the caller has.
func Attach(cfg Config, req Request, now time.Duration, s StartAttempt) *Machine {
	cfg.setDefaults()
	return &Machine{
		cfg: cfg, req: req, startedAt: now, lastCode: CodeNoEndpoint,
		state: stateSent, attempts: 1, delivered: s.ResumeOffset, current: s,
		excluded: []string{s.Endpoint}, earlierAttemptRan: true,
	}
}

// Delivered returns the number of tokens delivered so far.
func (m *Machine) Delivered() int { return m.delivered }

// Finished reports whether the request has ended.
func (m *Machine) Finished() bool { return m.state == stateFinished }

// Step applies one input and returns what is to be done.
func (m *Machine) Step(now time.Duration, in Input) []Action {
	if m.state == stateFinished {
		return nil
	}
	switch in := in.(type) {
	case EndpointSelected:
		return m.endpointSelected(now, in)
	case ClaimResult:
		return m.claimResult(now, in)
	case KeyRecord:
		return m.keyRecord(now, in)
	case Resolved:
		return m.resolved(now, in)
	case Admitted:
		return m.admitted(in)
	case Refused:
		return m.refused(now, in)
	case Chunk:
		return m.chunk(now, in)
	case Done:
		return m.done(now, in)
	case Failed:
		return m.failed(now, in)
	case ConnectionLost:
		return m.connectionLost(now, in)
	case RetryDecision:
		return m.retryDecision(now, in)
	case CallerDisconnected:
		return m.callerDisconnected()
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) endpointSelected(now time.Duration, in EndpointSelected) []Action {
	if m.state != stateSelecting {
		return nil
	}
	if in.Endpoint == "" {
		return m.finish(m.lastCode, m.lastReason)
	}
	if m.expired(now) {
		return m.finish(CodeDeadline, "time is up before an endpoint was found")
	}
	m.attempts++
	m.current = StartAttempt{
		Attempt:       m.req.ID + "/" + strconv.Itoa(m.attempts),
		Endpoint:      in.Endpoint,
		Incarnation:   in.Incarnation,
		ResumeOffset:  m.delivered,
		Crashes:       m.crashes,
		LastCandidate: in.LastCandidate,
	}
	m.excluded = append(m.excluded, in.Endpoint)
	if m.req.AtMostOnce {
		m.state = stateClaiming
		return []Action{m.claim()}
	}
	m.state = stateSent
	return []Action{m.current}
}

func (m *Machine) isCurrent(attempt string) bool {
	return attempt == m.current.Attempt && (m.state == stateSent || m.state == stateStreaming)
}

func (m *Machine) admitted(in Admitted) []Action {
	if m.isCurrent(in.Attempt) {
		m.state = stateStreaming
	}
	return nil
}

func (m *Machine) refused(now time.Duration, in Refused) []Action {
	if !m.isCurrent(in.Attempt) {
		return nil
	}
	if m.state == stateStreaming {
		// An admitted attempt can't be refused any more: the event belongs to
		// another one and says nothing about this one.
		return m.connectionLost(now, ConnectionLost{Attempt: in.Attempt, MayHaveArrived: true})
	}
	m.currentNotRun()
	m.state = stateAwaitingRetry
	m.refusals++
	m.lastCode, m.lastReason, m.retryAfter = refusalCode(in.Reason), in.Reason, in.RetryAfter
	if m.refusals >= m.cfg.MaxRefusals || m.expired(now) || m.lastCode == CodeQuarantined {
		return m.finish(m.lastCode, m.lastReason)
	}
	return m.selectEndpoint()
}

// notRun notes that the current attempt provably did not run. The claim that
// names it may be replaced.
func (m *Machine) currentNotRun() {
	if m.req.AtMostOnce && m.mayHaveRun {
		m.previousAttempt = m.current.Attempt
	}
	m.mayHaveRun = false
}

// codeOf turns an agent's reason for refusal into the code for the caller.
func refusalCode(reason string) Code {
	switch reason {
	case "queue_full", "busier":
		return CodeQueueFull
	case "deadline":
		return CodeDeadline
	case "quarantined":
		return CodeQuarantined
	}
	return CodeNoEndpoint
}

func (m *Machine) selectEndpoint() []Action {
	m.state = stateSelecting
	return []Action{SelectEndpoint{Exclude: m.excluded}}
}

func (m *Machine) chunk(now time.Duration, in Chunk) []Action {
	if !m.isCurrent(in.Attempt) {
		return nil
	}
	m.state = stateStreaming
	if in.Offset > m.delivered {
		return m.outputGap(now)
	}
	skip := m.delivered - in.Offset
	if skip >= len(in.Tokens) {
		return nil
	}
	deliver := Deliver{Offset: m.delivered, Tokens: in.Tokens[skip:]}
	m.delivered += len(deliver.Tokens)
	return []Action{deliver}
}

// gap handles a hole in the output, which can't be delivered: the attempt is
// abandoned and the request continued elsewhere. The end of an attempt that
// must not be repeated is asked for instead.
func (m *Machine) outputGap(now time.Duration) []Action {
	if m.req.AtMostOnce {
		return m.startResolve(now, m.current.Attempt, m.current.Endpoint, m.current.Incarnation)
	}
	return append(m.cancelCurrent(), m.ended("gap", true)...)
}

func (m *Machine) done(now time.Duration, in Done) []Action {
	if !m.isCurrent(in.Attempt) {
		return nil
	}
	if in.EndOffset > m.delivered {
		return m.outputGap(now)
	}
	return m.complete(m.current.Attempt, in.Reason, true, in.Answer)
}

// complete ends the request with its answer.
func (m *Machine) complete(attempt, reason string, hasAnswer bool, answer []byte) []Action {
	m.state = stateFinished
	var actions []Action
	if m.req.AtMostOnce {
		actions = append(actions, RecordEnd{attempt, EndDone, hasAnswer, answer})
	}
	if !hasAnswer {
		return append(actions, Finish{Outcome: OutcomeUnknown, Code: CodeAnswerExpired, Reason: "the request ran; its answer is no longer kept"})
	}
	return append(actions, Finish{Outcome: OutcomeDone, Reason: reason, Answer: answer})
}

func (m *Machine) failed(now time.Duration, in Failed) []Action {
	if !m.isCurrent(in.Attempt) {
		return nil
	}
	m.crashes = max(m.crashes, in.Crashes)
	if !in.MayHaveRun && m.delivered == m.current.ResumeOffset {
		m.currentNotRun()
		return m.ended(in.Reason, false)
	}
	if m.req.AtMostOnce {
		return append([]Action{RecordEnd{Attempt: in.Attempt, State: EndUnknown}}, m.ended(in.Reason, true)...)
	}
	return m.ended(in.Reason, true)
}

func (m *Machine) connectionLost(now time.Duration, in ConnectionLost) []Action {
	if !m.isCurrent(in.Attempt) {
		return nil
	}
	if !in.MayHaveArrived && m.state == stateSent {
		m.currentNotRun()
		return m.ended("connection_lost", false)
	}
	if m.req.AtMostOnce {
		return m.startResolve(now, m.current.Attempt, m.current.Endpoint, m.current.Incarnation)
	}
	return append(m.cancelCurrent(), m.ended("connection_lost", true)...)
}

// ended handles the early end of the current attempt.
func (m *Machine) ended(reason string, ran bool) []Action {
	m.state = stateAwaitingRetry
	m.lastCode, m.lastReason = CodeUpstreamFailed, reason
	m.earlierAttemptRan = m.earlierAttemptRan || ran
	if m.req.AtMostOnce && ran {
		return m.finish(CodeOutcomeUnknown, reason)
	}
	if m.crashes >= m.cfg.MaxCrashes {
		return m.finish(CodeQuarantined, reason)
	}
	if m.attempts-m.refusals >= m.cfg.MaxAttempts {
		return m.finish(CodeUpstreamFailed, reason)
	}
	return []Action{AskRetry{Reason: reason}}
}

func (m *Machine) retryDecision(now time.Duration, in RetryDecision) []Action {
	if m.state != stateAwaitingRetry {
		return nil
	}
	if !in.Allowed {
		return m.finish(CodeUpstreamFailed, "retry budget is used up after "+m.lastReason)
	}
	if m.expired(now) {
		return m.finish(CodeDeadline, m.lastReason)
	}
	return m.selectEndpoint()
}

func (m *Machine) callerDisconnected() []Action {
	var actions []Action
	if !m.req.AtMostOnce {
		// An attempt that must not be repeated runs to its end, so that a
		// later copy of the request still gets the answer.
		actions = m.cancelCurrent()
	}
	outcome := m.outcome()
	actions = append(actions, m.releaseKey(outcome)...)
	m.state = stateFinished
	return append(actions, Finish{Outcome: outcome, Reason: "caller went away"})
}

func (m *Machine) cancelCurrent() []Action {
	if m.state == stateSent || m.state == stateStreaming {
		return []Action{Cancel{m.current.Attempt, m.current.Endpoint, m.current.Incarnation}}
	}
	return nil
}

func (m *Machine) tick(now time.Duration) []Action {
	if !m.expired(now) {
		if m.state == stateResolving && m.resolveScheduled && now >= m.nextResolve {
			m.resolveScheduled = false
			return []Action{m.resolve}
		}
		return nil
	}
	if m.awaitsLedger() && now-m.startedAt < m.req.Timeout+ledgerGracePeriod {
		return nil
	}
	var actions []Action
	if !m.req.AtMostOnce {
		actions = m.cancelCurrent()
	}
	code := CodeDeadline
	if m.resolvingHolder {
		code = CodeStillRunning
	}
	return append(actions, m.finish(code, "time is up")...)
}

// Wake returns the time of the next Tick that can change something.
func (m *Machine) NextTick() time.Duration {
	next := m.startedAt + m.req.Timeout
	if m.awaitsLedger() {
		return next + ledgerGracePeriod
	}
	if m.awaitsFirstToken() {
		next = min(next, m.startedAt+m.req.FirstTokenTimeout)
	}
	if m.state == stateResolving && m.resolveScheduled {
		next = min(next, m.nextResolve)
	}
	return next
}

func (m *Machine) expired(now time.Duration) bool {
	elapsed := now - m.startedAt
	if elapsed >= m.req.Timeout {
		return true
	}
	return m.awaitsFirstToken() && elapsed >= m.req.FirstTokenTimeout
}

func (m *Machine) awaitsFirstToken() bool {
	return m.delivered == 0 && m.state != stateStreaming && m.state != stateResolving
}

// outcome is what is known about effects if the request ended now.
func (m *Machine) outcome() Outcome {
	if m.resolvingHolder || m.mayHaveRun || m.earlierAttemptRan || m.delivered > 0 {
		return OutcomeUnknown
	}
	if m.state == stateSent || m.state == stateStreaming || m.state == stateResolving {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

func (m *Machine) finish(code Code, reason string) []Action {
	if m.req.AtMostOnce && m.state == stateSelecting && !m.ledgerReplied {
		// Nobody has asked yet whether an earlier copy of the request ran.
		m.state, m.lastCode, m.lastReason = stateLookingUp, code, reason
		return []Action{Lookup{}}
	}
	outcome := m.outcome()
	actions := m.releaseKey(outcome)
	m.state = stateFinished
	if outcome == OutcomeUnknown && m.req.AtMostOnce && code != CodeStillRunning {
		code = CodeOutcomeUnknown
	}
	if m.req.AtMostOnce && !m.ledgerReplied {
		// The ledger did not answer, so an earlier copy may have run.
		outcome = OutcomeUnknown
	}
	return append(actions, Finish{Outcome: outcome, Code: code, Reason: reason, RetryAfter: m.retryAfter})
}
