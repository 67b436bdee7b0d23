// Package attempt decides how a router runs one request: which endpoint it tries,
// whether it retries, and which outcome it reports to the caller. It is a pure state
// machine: Step takes an input and returns actions.
package attempt

import (
	"strconv"
	"time"
)

// Outcome tells the caller whether the request took effect.
type Outcome string

// Outcomes.
const (
	// OutcomeDone means that the complete answer was delivered.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request had no effect and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have had an effect.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the stable error code of a request that did not complete.
type Code string

// Codes that StateMachine reports.
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

// Request holds the properties of a request that StateMachine needs.
type Request struct {
	ID string
	// AtMostOnce is true when the request must not run more than once.
	AtMostOnce bool
	// FirstTokenTimeout and Timeout bound the time from New to the first token and
	// to the end of the answer.
	FirstTokenTimeout time.Duration
	Timeout           time.Duration
}

// Config holds the parameters of a StateMachine.
type Config struct {
	// MaxAttempts bounds the failed attempts of one request. Attempts that an
	// endpoint refused are not counted. Default 4.
	MaxAttempts int
	// MaxRefusals bounds the refusals of one request. Default 8.
	MaxRefusals int
	// ResolveInterval is the time between two Resolve actions for an attempt whose
	// outcome is not known. Default 250 ms.
	ResolveInterval time.Duration
	// QuarantineLevel is the lowest suspicion level at which a request is not retried.
	// Default 2, which is quarantine.LevelQuarantined.
	QuarantineLevel int
}

func (c *Config) setDefaults() {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = 4
	}
	if c.MaxRefusals == 0 {
		c.MaxRefusals = 8
	}
	if c.QuarantineLevel == 0 {
		c.QuarantineLevel = 2
	}
	if c.ResolveInterval == 0 {
		c.ResolveInterval = 250 * time.Millisecond
	}
}

// ledgerGracePeriod is how long after the timeout of the request the state machine
// still waits for a reply of the ledger. The ledger replies within 2 s.
const ledgerGracePeriod = 3 * time.Second

type state uint8

const (
	stateSelecting state = iota
	stateClaiming
	stateSent
	stateStreaming
	stateAwaitingRetry
	// stateLookingUp waits for KeyRecord before the request is refused.
	stateLookingUp
	// stateResolving waits for the outcome of the attempt in StateMachine.resolveAction.
	stateResolving
	stateFinished
)

// StateMachine is the state of one request. It is not safe for concurrent use.
type StateMachine struct {
	cfg            Config
	req            Request
	startedAt      time.Duration
	state          state
	attempts       int
	refusals       int
	suspicionLevel int
	delivered      int
	excluded       []string
	current        StartAttempt
	lastCode       Code
	lastReason     string
	retryAfter     time.Duration
	// previousAttemptID is the attempt whose claim the next claim replaces.
	previousAttemptID string
	// ledgerReplied is true once the ledger has recorded a claim or reported the
	// state of the key.
	ledgerReplied bool
	// resolveAction asks for the outcome that stateResolving waits for. Step returns
	// it again at nextResolve if resolveScheduled is true. resolvingHolder is true
	// when the attempt belongs to another copy of the request, which holds the key.
	resolveAction    Resolve
	nextResolve      time.Duration
	resolveScheduled bool
	resolvingHolder  bool
	// unreachableHolderID is the attempt that holds the key and whose agent did not
	// answer.
	unreachableHolderID string
	// unresolvableHolderID is the attempt that holds the key and whose agent no
	// longer knows the outcome.
	unresolvableHolderID string
	// mayHaveRun is true while an attempt of an at-most-once request may have had
	// an effect.
	mayHaveRun bool
	// earlierAttemptRan is true once an earlier attempt ran, even in part.
	earlierAttemptRan bool
}

// New returns a state machine and its first action.
func New(cfg Config, req Request, now time.Duration) (*StateMachine, []Action) {
	cfg.setDefaults()
	m := &StateMachine{cfg: cfg, req: req, startedAt: now, lastCode: CodeNoEndpoint}
	return m, []Action{SelectEndpoint{}}
}

// Attach returns a state machine for a request that already runs as the attempt s. The
// caller has the tokens before s.ResumeOffset.
func Attach(cfg Config, req Request, now time.Duration, s StartAttempt) *StateMachine {
	cfg.setDefaults()
	return &StateMachine{
		cfg: cfg, req: req, startedAt: now, lastCode: CodeNoEndpoint,
		state: stateSent, attempts: 1, delivered: s.ResumeOffset, current: s,
		excluded: []string{s.Endpoint}, earlierAttemptRan: true,
	}
}

// Delivered returns the number of tokens delivered so far.
func (m *StateMachine) Delivered() int { return m.delivered }

// Finished reports whether the request has ended.
func (m *StateMachine) Finished() bool { return m.state == stateFinished }

// Step applies one input and returns the actions to perform, in order.
func (m *StateMachine) Step(now time.Duration, in Input) []Action {
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
	case ResolveResult:
		return m.resolveResult(now, in)
	case Admitted:
		return m.admitted(in)
	case Refused:
		return m.refused(now, in)
	case Chunk:
		return m.chunk(now, in)
	case Completed:
		return m.completed(now, in)
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

func (m *StateMachine) endpointSelected(now time.Duration, in EndpointSelected) []Action {
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
		AttemptID:        m.req.ID + "/" + strconv.Itoa(m.attempts),
		Endpoint:         in.Endpoint,
		AgentIncarnation: in.AgentIncarnation,
		ResumeOffset:     m.delivered,
		SuspicionLevel:   m.suspicionLevel,
		MustQueue:        in.MustQueue,
	}
	m.excluded = append(m.excluded, in.Endpoint)
	if m.req.AtMostOnce {
		m.state = stateClaiming
		return []Action{m.claim()}
	}
	m.state = stateSent
	return []Action{m.current}
}

func (m *StateMachine) isCurrent(attemptID string) bool {
	return attemptID == m.current.AttemptID && (m.state == stateSent || m.state == stateStreaming)
}

func (m *StateMachine) admitted(in Admitted) []Action {
	if m.isCurrent(in.AttemptID) {
		m.state = stateStreaming
	}
	return nil
}

func (m *StateMachine) refused(now time.Duration, in Refused) []Action {
	if !m.isCurrent(in.AttemptID) {
		return nil
	}
	if m.state == stateStreaming {
		// An agent can't refuse an attempt that it has admitted, so the event belongs
		// to another attempt and does not show that the current attempt did not run.
		return m.connectionLost(now, ConnectionLost{AttemptID: in.AttemptID, MayHaveArrived: true})
	}
	m.markCurrentNotRun()
	m.state = stateAwaitingRetry
	m.refusals++
	m.lastCode, m.lastReason, m.retryAfter = refusalCode(in.Reason), in.Reason, in.RetryAfter
	if m.refusals >= m.cfg.MaxRefusals || m.expired(now) || m.lastCode == CodeQuarantined {
		return m.finish(m.lastCode, m.lastReason)
	}
	return m.selectEndpoint()
}

// markCurrentNotRun records that the current attempt certainly did not run, so that
// another attempt may replace its claim.
func (m *StateMachine) markCurrentNotRun() {
	if m.req.AtMostOnce && m.mayHaveRun {
		m.previousAttemptID = m.current.AttemptID
	}
	m.mayHaveRun = false
}

// refusalCode returns the code that the caller gets for an agent's refusal.
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

func (m *StateMachine) selectEndpoint() []Action {
	m.state = stateSelecting
	return []Action{SelectEndpoint{Exclude: m.excluded}}
}

func (m *StateMachine) chunk(now time.Duration, in Chunk) []Action {
	if !m.isCurrent(in.AttemptID) {
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

// outputGap handles missing tokens in the output of the current attempt. It cancels
// the attempt so that another endpoint continues the request; an at-most-once
// request is resolved instead.
func (m *StateMachine) outputGap(now time.Duration) []Action {
	if m.req.AtMostOnce {
		return m.startResolve(now, m.current.AttemptID, m.current.Endpoint, m.current.AgentIncarnation)
	}
	return append(m.cancelCurrent(), m.ended("gap", true)...)
}

func (m *StateMachine) completed(now time.Duration, in Completed) []Action {
	if !m.isCurrent(in.AttemptID) {
		return nil
	}
	if in.EndOffset > m.delivered {
		return m.outputGap(now)
	}
	return m.complete(m.current.AttemptID, in.Reason, true, in.Answer)
}

// complete ends a request that ran to its end.
func (m *StateMachine) complete(attemptID, reason string, hasAnswer bool, answer []byte) []Action {
	m.state = stateFinished
	var actions []Action
	if m.req.AtMostOnce {
		actions = append(actions, FinishClaim{attemptID, FinalDone, hasAnswer, answer})
	}
	if !hasAnswer {
		return append(actions, Finish{Outcome: OutcomeUnknown, Code: CodeAnswerExpired, Reason: "the request ran; its answer is no longer kept"})
	}
	return append(actions, Finish{Outcome: OutcomeDone, Reason: reason, Answer: answer})
}

func (m *StateMachine) failed(now time.Duration, in Failed) []Action {
	if !m.isCurrent(in.AttemptID) {
		return nil
	}
	m.suspicionLevel = max(m.suspicionLevel, in.SuspicionLevel)
	if !in.MayHaveRun && m.delivered == m.current.ResumeOffset {
		m.markCurrentNotRun()
		return m.ended(in.Reason, false)
	}
	if m.req.AtMostOnce {
		return append([]Action{FinishClaim{AttemptID: in.AttemptID, State: FinalUnknown}}, m.ended(in.Reason, true)...)
	}
	return m.ended(in.Reason, true)
}

func (m *StateMachine) connectionLost(now time.Duration, in ConnectionLost) []Action {
	if !m.isCurrent(in.AttemptID) {
		return nil
	}
	if !in.MayHaveArrived && m.state == stateSent {
		m.markCurrentNotRun()
		return m.ended("connection_lost", false)
	}
	if m.req.AtMostOnce {
		return m.startResolve(now, m.current.AttemptID, m.current.Endpoint, m.current.AgentIncarnation)
	}
	return append(m.cancelCurrent(), m.ended("connection_lost", true)...)
}

// ended handles an attempt that ended without completing the request.
func (m *StateMachine) ended(reason string, ran bool) []Action {
	m.state = stateAwaitingRetry
	m.lastCode, m.lastReason = CodeUpstreamFailed, reason
	m.earlierAttemptRan = m.earlierAttemptRan || ran
	if m.req.AtMostOnce && ran {
		return m.finish(CodeOutcomeUnknown, reason)
	}
	if m.suspicionLevel >= m.cfg.QuarantineLevel {
		return m.finish(CodeQuarantined, reason)
	}
	if m.attempts-m.refusals >= m.cfg.MaxAttempts {
		return m.finish(CodeUpstreamFailed, reason)
	}
	return []Action{AskRetry{Reason: reason}}
}

func (m *StateMachine) retryDecision(now time.Duration, in RetryDecision) []Action {
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

func (m *StateMachine) callerDisconnected() []Action {
	var actions []Action
	if !m.req.AtMostOnce {
		// An at-most-once attempt runs to its end, so that a later copy of the
		// request still gets the answer.
		actions = m.cancelCurrent()
	}
	outcome := m.outcome()
	actions = append(actions, m.releaseKey(outcome)...)
	m.state = stateFinished
	return append(actions, Finish{Outcome: outcome, Reason: "caller went away"})
}

func (m *StateMachine) cancelCurrent() []Action {
	if m.state == stateSent || m.state == stateStreaming {
		return []Action{Cancel{m.current.AttemptID, m.current.Endpoint, m.current.AgentIncarnation}}
	}
	return nil
}

func (m *StateMachine) tick(now time.Duration) []Action {
	if !m.expired(now) {
		if m.state == stateResolving && m.resolveScheduled && now >= m.nextResolve {
			m.resolveScheduled = false
			return []Action{m.resolveAction}
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

// NextTick returns the time at which the next Tick is due.
func (m *StateMachine) NextTick() time.Duration {
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

func (m *StateMachine) expired(now time.Duration) bool {
	elapsed := now - m.startedAt
	if elapsed >= m.req.Timeout {
		return true
	}
	return m.awaitsFirstToken() && elapsed >= m.req.FirstTokenTimeout
}

func (m *StateMachine) awaitsFirstToken() bool {
	return m.delivered == 0 && m.state != stateStreaming && m.state != stateResolving
}

// outcome returns the outcome to report if the request ended now.
func (m *StateMachine) outcome() Outcome {
	if m.resolvingHolder || m.mayHaveRun || m.earlierAttemptRan || m.delivered > 0 {
		return OutcomeUnknown
	}
	if m.state == stateSent || m.state == stateStreaming || m.state == stateResolving {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

func (m *StateMachine) finish(code Code, reason string) []Action {
	if m.req.AtMostOnce && m.state == stateSelecting && !m.ledgerReplied {
		// Only the ledger knows whether an earlier copy of the request ran.
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
		// The ledger did not reply, so an earlier copy may have run.
		outcome = OutcomeUnknown
	}
	return append(actions, Finish{Outcome: outcome, Code: code, Reason: reason, RetryAfter: m.retryAfter})
}
