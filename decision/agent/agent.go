// Package agent is the data path of an agent as one state machine. It combines
// admission, the table of attempts, and the isolation of requests that are suspected
// of crashing engines. Methods change the state; TakeActions returns what the caller
// must do. The state machine has no clock: now is the time since an arbitrary origin.
package agent

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/attempts"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/rules"
)

// ErrReaderReplaced means that another reader has attached to the stream.
var ErrReaderReplaced = errors.New("another reader has attached")

// Reasons for the failure of an attempt that the state machine sets itself.
const (
	ReasonEngineDied = "engine_died"
	ReasonDeadline   = "deadline"
	ReasonCancelled  = "cancelled"
	// ReasonAbandoned: the stream had no reader for the grace period.
	ReasonAbandoned = "abandoned"
	// ReasonSuspect: the request became a suspect and must run alone.
	ReasonSuspect = "suspect"
	// ReasonRulesChanged: new rules no longer let the attempt run here.
	ReasonRulesChanged = "rules_changed"
	ReasonQuarantined  = "quarantined"
	ReasonWrongWeights = "wrong_weights"
)

// maxWaitingForEngine is the maximum number of suspects that wait for an engine that
// is down.
const maxWaitingForEngine = 16

// Config holds the parameters of a StateMachine. Zero values in the nested
// configurations select their defaults.
type Config struct {
	Admission  admission.Config
	Attempts   attempts.Config
	Quarantine quarantine.Config
	// PlainService is true when the endpoint is a plain HTTP service. Its failures
	// make no request a suspect.
	PlainService bool
}

// Offer is an attempt that a router offers to the agent.
type Offer struct {
	Attempt admission.Attempt
	// AtMostOnce is true when the request must not run more than once.
	AtMostOnce bool
	// ResumeOffset is the offset of the first token that the attempt produces.
	ResumeOffset int
	// Router is the name of the router that reads the stream.
	Router string
}

// ReplyKind is the result of an offer.
type ReplyKind uint8

// Kinds of replies.
const (
	// ReplyRefused means that the attempt has not run and will not.
	ReplyRefused ReplyKind = iota + 1
	// ReplyAdmitted means that the attempt waits or runs.
	ReplyAdmitted
	// ReplyDuplicate means that the attempt arrived before. The offer has no effect.
	ReplyDuplicate
	// ReplyOutcomeUnknown means that the attempt may have run before; its outcome
	// is unknown.
	ReplyOutcomeUnknown
)

// Reply is the answer to an Offer.
type Reply struct {
	Kind         ReplyKind
	Reason       admission.Reason
	CachedTokens int
	ExpectedWait time.Duration
	RetryAfter   time.Duration
	// ReaderID identifies the reader of the stream for Read and Detach.
	ReaderID int
}

// Action is something that the caller must do for the state machine.
type Action interface{ action() }

// The actions.
type (
	// StartAttempt sends the attempt to the endpoint.
	StartAttempt struct{ ID string }
	// StopAttempt tells the endpoint to stop the attempt.
	StopAttempt struct{ ID string }
	// StreamChanged wakes the reader and the producer of the attempt: there may be
	// output to read, or space in the buffer for more output.
	StreamChanged struct{ ID string }
	// ProbeEngine checks whether the engine is alive. The result is reported with
	// EngineUp, EngineAlive or EngineDown.
	ProbeEngine struct{}
)

func (StartAttempt) action()  {}
func (StopAttempt) action()   {}
func (StreamChanged) action() {}
func (ProbeEngine) action()   {}

// activeAttempt is an admitted attempt that has not ended.
type activeAttempt struct {
	attempt    *admission.Attempt
	atMostOnce bool
	started    bool
	// engineWaitUntil is the time until which a suspect waits for an engine that is
	// down, 0 for other attempts.
	engineWaitUntil time.Duration
	// expectedCachedTokens is the number of prompt tokens that admission expected in
	// the engine's cache.
	expectedCachedTokens int
	// connectionLost is true from the loss of the connection to the engine until the
	// result of ProbeEngine.
	connectionLost bool
}

// StateMachine is the state of one agent. It is not safe for concurrent use.
type StateMachine struct {
	cfg        Config
	controller *admission.Controller
	attempts   *attempts.Table
	suspects   *quarantine.Table
	gate       *quarantine.Gate
	rulesView  *rules.View
	// active holds the attempts that wait or run, by ID.
	active map[string]*activeAttempt
	// blocked is the attempt that left the queue and must wait because it, or the
	// attempt that runs, has to run alone. Nil if there is none.
	blocked        *admission.Attempt
	weightsVersion string
	// suspicionLevels holds the level to report with a failure, by attempt ID.
	suspicionLevels map[string]int
	// currentReaders holds the ID of the reader that may read, by attempt ID.
	currentReaders map[string]int
	lastReaderID   int
	actions        []Action
}

// New returns a state machine that refuses all attempts until it has rules and an
// engine.
func New(cfg Config) *StateMachine {
	cfg.Attempts.AgentIncarnation = cfg.Admission.AgentIncarnation
	return &StateMachine{
		cfg:             cfg,
		controller:      admission.New(cfg.Admission),
		attempts:        attempts.New(cfg.Attempts),
		suspects:        quarantine.New(cfg.Quarantine),
		gate:            quarantine.NewGate(),
		rulesView:       rules.Empty(),
		active:          map[string]*activeAttempt{},
		suspicionLevels: map[string]int{},
		currentReaders:  map[string]int{},
	}
}

// TakeActions returns the actions that were added since the last call.
func (m *StateMachine) TakeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

// Admission returns the admission controller, for its load and its cache view.
func (m *StateMachine) Admission() *admission.Controller { return m.controller }

// Suspects returns the table of suspects, whose entries the caller exchanges by
// gossip.
func (m *StateMachine) Suspects() *quarantine.Table { return m.suspects }

// ActiveCount returns the number of attempts that wait or run.
func (m *StateMachine) ActiveCount() int { return len(m.active) }

// Offer decides whether to admit an attempt.
func (m *StateMachine) Offer(now time.Duration, o Offer) Reply {
	a := o.Attempt
	if a.AgentIncarnation != m.cfg.Admission.AgentIncarnation {
		return Reply{Kind: ReplyRefused, Reason: admission.ReasonWrongIncarnation}
	}
	spec := attempts.Spec{ID: a.ID, Team: a.Team, AtMostOnce: o.AtMostOnce, ResumeOffset: o.ResumeOffset, Fingerprint: a.Fingerprint, Router: o.Router}
	switch m.attempts.Begin(now, spec) {
	case attempts.VerdictFenced:
		return Reply{Kind: ReplyRefused, Reason: admission.ReasonFenced}
	case attempts.VerdictDuplicate:
		return Reply{Kind: ReplyDuplicate}
	case attempts.VerdictMayHaveRun:
		return Reply{Kind: ReplyOutcomeUnknown}
	}
	decision := m.admit(now, &a)
	reply := Reply{
		Kind: ReplyAdmitted, CachedTokens: decision.CachedTokens,
		ExpectedWait: decision.ExpectedWait, RetryAfter: decision.RetryAfter,
	}
	if !decision.Admitted {
		m.attempts.Refuse(now, a.ID)
		reply.Kind, reply.Reason = ReplyRefused, decision.Reason
		return reply
	}
	m.attempts.Admit(now, a.ID)
	m.active[a.ID] = &activeAttempt{attempt: &a, atMostOnce: o.AtMostOnce, expectedCachedTokens: decision.CachedTokens, engineWaitUntil: m.engineWaitDeadline(now, &a, decision)}
	reply.ReaderID = m.assignReader(a.ID)
	m.startReady(now)
	return reply
}

// admit decides on a new attempt. A suspect that may wait for the engine is admitted
// with ReasonEngineDown.
func (m *StateMachine) admit(now time.Duration, a *admission.Attempt) admission.Decision {
	if m.suspicionLevel(now, a) == quarantine.LevelQuarantined {
		return admission.Decision{Reason: admission.ReasonQuarantined}
	}
	decision := m.controller.Offer(now, a)
	if decision.Reason == admission.ReasonEngineDown && m.mayWaitForEngine(now, a) {
		return admission.Decision{Admitted: true, Reason: decision.Reason}
	}
	return decision
}

func (m *StateMachine) suspicionLevel(now time.Duration, a *admission.Attempt) quarantine.Level {
	return m.suspects.Level(now, a.Fingerprint, uint32(a.SuspicionLevel))
}

// assignReader returns a new reader ID and makes it the only one that may read the
// attempt.
func (m *StateMachine) assignReader(id string) int {
	m.lastReaderID++
	m.currentReaders[id] = m.lastReaderID
	return m.lastReaderID
}

// startReady starts waiting attempts while the endpoint has capacity. A suspect waits
// until it can run alone, and nothing else starts before it.
func (m *StateMachine) startReady(now time.Duration) {
	for {
		a := m.nextAttempt(now)
		if a == nil {
			return
		}
		active := m.active[a.ID]
		if active == nil {
			m.controller.Finish(now, a.ID)
			continue
		}
		if a.WeightsVersion != "" && a.WeightsVersion != m.weightsVersion {
			// The engine changed its weights while the attempt waited, so the block
			// hashes of the attempt do not match its cache.
			m.fail(now, a.ID, ReasonWrongWeights, false)
			continue
		}
		decision := m.gate.Decide(m.suspicionLevel(now, a))
		switch decision {
		case quarantine.DecisionWait:
			m.blocked = a
			return
		case quarantine.DecisionRefuse:
			m.suspicionLevels[a.ID] = int(quarantine.LevelQuarantined)
			m.fail(now, a.ID, ReasonQuarantined, false)
		default:
			m.gate.Start(a.ID, a.Fingerprint, decision)
			active.started = true
			m.emit(StartAttempt{a.ID})
		}
	}
}

// nextAttempt returns the attempt to start next, or nil, and fails those whose first
// token would be late.
func (m *StateMachine) nextAttempt(now time.Duration) *admission.Attempt {
	a := m.blocked
	m.blocked = nil
	if a == nil {
		a = m.controller.Next(now)
	}
	for _, expired := range m.controller.TakeExpired() {
		m.fail(now, expired.ID, ReasonDeadline, false)
	}
	return a
}

// fail ends an attempt that did not complete.
func (m *StateMachine) fail(now time.Duration, id, reason string, mayHaveRun bool) {
	if _, ok := m.active[id]; !ok {
		return
	}
	delete(m.active, id)
	if m.blocked != nil && m.blocked.ID == id {
		m.blocked = nil
	}
	m.gate.End(id)
	m.controller.Finish(now, id)
	m.attempts.RecordFailure(now, id, reason, mayHaveRun)
	m.emit(StreamChanged{id})
}

// AppendToken adds one output token of an attempt. paused is true when the producer
// must wait for StreamChanged before the next token. It fails with attempts.ErrNotFound
// or an error of package stream.
func (m *StateMachine) AppendToken(now time.Duration, id string, index int, text string) (paused bool, err error) {
	active := m.active[id]
	if active == nil {
		return false, attempts.ErrNotFound
	}
	if err := m.attempts.Append(now, id, index, []string{text}); err != nil {
		return false, err
	}
	m.emit(StreamChanged{id})
	return m.attempts.Paused(id), nil
}

// RecordFirstToken records that the endpoint produced the first token of an attempt.
func (m *StateMachine) RecordFirstToken(now time.Duration, id string) {
	if active := m.active[id]; active != nil {
		m.controller.RecordFirstToken(now, id, active.expectedCachedTokens)
	}
	m.startReady(now)
}

// Paused reports whether the producer of an attempt must wait for its reader.
func (m *StateMachine) Paused(id string) bool { return m.attempts.Paused(id) }

// RecordCompletion records that an attempt ran to its end.
func (m *StateMachine) RecordCompletion(now time.Duration, id, finishReason string, answer []byte) {
	active := m.active[id]
	if active == nil || !active.started {
		return
	}
	delete(m.active, id)
	m.gate.End(id)
	m.controller.Finish(now, id)
	m.suspects.RecordCompletion(now, active.attempt.Fingerprint)
	m.attempts.RecordCompletion(now, id, finishReason, answer)
	m.emit(StreamChanged{id})
	m.startReady(now)
}

// RecordFailure records that the endpoint did not complete an attempt. mayHaveRun is
// false only if the attempt certainly had no effect.
func (m *StateMachine) RecordFailure(now time.Duration, id, reason string, mayHaveRun bool) {
	m.fail(now, id, reason, mayHaveRun)
	m.startReady(now)
}

// RecordConnectionLoss records that the connection of an attempt to the engine was
// lost. The result of ProbeEngine shows whether the engine crashed, so that its other
// attempts have failed too.
func (m *StateMachine) RecordConnectionLoss(now time.Duration, id, reason string) {
	active := m.active[id]
	if active == nil {
		return
	}
	if m.cfg.PlainService {
		m.RecordFailure(now, id, reason, true)
		return
	}
	active.connectionLost = true
	m.emit(ProbeEngine{})
}

// ActiveIDs returns the IDs of the attempts that wait or run, sorted.
func (m *StateMachine) ActiveIDs() []string { return m.sortedActiveIDs() }

func (m *StateMachine) sortedActiveIDs() []string {
	ids := make([]string, 0, len(m.active))
	for id := range m.active {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// MergeSuspicion merges a suspicion that another process reported. If an attempt of the
// request runs at the same time as others, MergeSuspicion stops it, so that its router
// starts an attempt that runs alone.
func (m *StateMachine) MergeSuspicion(now time.Duration, r quarantine.Report) {
	if !m.suspects.Merge(now, r) {
		return
	}
	for _, id := range m.sortedActiveIDs() {
		active := m.active[id]
		if !active.started || active.atMostOnce || active.attempt.Fingerprint != r.Fingerprint || m.gate.RunsAlone(id) {
			continue
		}
		m.suspicionLevels[id] = int(r.Level)
		m.stopAttempt(now, id, ReasonSuspect)
	}
	m.startReady(now)
}

// stopAttempt ends an attempt that waits or runs.
func (m *StateMachine) stopAttempt(now time.Duration, id, reason string) {
	started := m.active[id].started
	if started {
		m.emit(StopAttempt{id})
	}
	m.fail(now, id, reason, started)
}

// SetRules installs a newer version of the rules; older ones are ignored. Waiting
// attempts that may no longer run here end as not run; running attempts continue.
func (m *StateMachine) SetRules(now time.Duration, view *rules.View) {
	if view.Version < m.rulesView.Version {
		return
	}
	m.rulesView = view
	m.controller.SetRules(view)
	for _, id := range m.sortedActiveIDs() {
		if active := m.active[id]; !active.started && !m.allowedByRules(active.attempt) {
			m.fail(now, id, ReasonRulesChanged, false)
		}
	}
	m.startReady(now)
}

// allowedByRules reports whether the rules still let the attempt run on this endpoint.
func (m *StateMachine) allowedByRules(a *admission.Attempt) bool {
	endpoint, endpointKnown := m.rulesView.Endpoint(m.cfg.Admission.Endpoint)
	team, teamKnown := m.rulesView.Team(a.Team)
	return endpointKnown && teamKnown && !endpoint.Draining && m.rulesView.MayUse(team, endpoint)
}

// Shutdown makes the state machine refuse all new attempts.
func (m *StateMachine) Shutdown() { m.controller.Shutdown() }

// Tick ends attempts that have lost their reader or passed their deadline, and drops
// old results.
func (m *StateMachine) Tick(now time.Duration) {
	for _, id := range m.attempts.Tick(now) {
		if m.active[id] != nil {
			m.stopAttempt(now, id, ReasonAbandoned)
		}
	}
	m.expireWaitingForEngine(now)
	m.suspects.Tick(now)
	m.removeExpiredState()
	m.startReady(now)
}

// removeExpiredState removes the readers and suspicion levels of attempts whose
// results were dropped.
func (m *StateMachine) removeExpiredState() {
	for id := range m.currentReaders {
		if _, found := m.attempts.Spec(id); !found {
			delete(m.currentReaders, id)
			delete(m.suspicionLevels, id)
		}
	}
}
