// Package agent is the data path of an agent as one state machine: admission,
// the memory of attempts, and the isolation of requests that are suspected of
// crashing engines. Methods change the state; Take returns what is to be done.
//
// It is not safe for concurrent use and has no clock: now is the time since an
// arbitrary origin.
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

// ErrReaderReplaced means that another reader has taken over the stream.
var ErrReaderReplaced = errors.New("another reader has attached")

// Reasons for failure that the core gives.
const (
	ReasonEngineDied   = "engine_died"
	ReasonDeadline     = "deadline"
	ReasonCancelled    = "cancelled"
	ReasonAbandoned    = "abandoned"
	ReasonSuspect      = "suspect"
	ReasonRulesChanged = "rules_changed"
	ReasonQuarantined  = "quarantined"
	ReasonWrongWeights = "wrong_weights"
)

// maxWaitingForEngine bounds the suspects that wait for the engine to come back.
const maxWaitingForEngine = 16

// Config are the parameters of a Core. Zero values of the nested
// configurations mean their defaults.
type Config struct {
	Admission  admission.Config
	Attempts   attempts.Config
	Quarantine quarantine.Config
	// PlainService is true for a plain service, whose failures raise no suspicion.
	PlainService bool
}

// Offer is an attempt that arrives.
type Offer struct {
	Attempt admission.Attempt
	// AtMostOnce is true when the attempt must not be repeated.
	AtMostOnce bool
	// ResumeOffset is the offset of the first token that it produces.
	ResumeOffset int
	// Router is the name of the router that reads the stream.
	Router string
}

// ReplyKind says what became of an offer.
type ReplyKind uint8

// Kinds of reply.
const (
	// ReplyRefused means not run.
	ReplyRefused ReplyKind = iota + 1
	// ReplyAdmitted means that the attempt waits or runs.
	ReplyAdmitted
	// ReplyDuplicate means that the attempt arrived before; nothing is done.
	ReplyDuplicate
	// ReplyOutcomeUnknown means that the attempt may have run before; its outcome
	// is unknown.
	ReplyOutcomeUnknown
)

// Reply answers an Offer.
type Reply struct {
	Kind         ReplyKind
	Reason       admission.Reason
	CachedTokens int
	ExpectedWait time.Duration
	RetryAfter   time.Duration
	// ReaderID identifies the reader of the stream for Read and Detach.
	ReaderID int
}

// Action is something that the core wants done.
type Action interface{ action() }

// Actions.
type (
	// StartAttempt sends the attempt to the endpoint.
	StartAttempt struct{ ID string }
	// StopAttempt tells the endpoint to end the attempt.
	StopAttempt struct{ ID string }
	// StreamChanged says that a reader of the attempt may have something to read, or
	// that the producer may go on.
	StreamChanged struct{ ID string }
	// ProbeEngine asks whether the engine lives; EngineUp, EngineAlive or EngineDown
	// answers it.
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
	// engineWaitUntil is the deadline of a suspect that waits for the engine, 0 for
	// other attempts.
	engineWaitUntil time.Duration
	// expectedCachedTokens is the number of prompt tokens that admission expected to find in
	// the engine's cache.
	expectedCachedTokens int
	// connectionBroke is true while a broken connection waits for the answer to Probe.
	connectionBroke bool
}

// StateMachine is the state of one agent.
type StateMachine struct {
	cfg             Config
	controller      *admission.Controller
	attempts        *attempts.Table
	suspects        *quarantine.Table
	gate            *quarantine.Gate
	rules           *rules.View
	active          map[string]*activeAttempt
	blocked         *admission.Attempt
	weightsVersion  string
	suspicionLevels map[string]int
	currentReaders  map[string]int
	lastReaderID    int
	actions         []Action
}

// New returns a core that refuses everything until it has rules and an engine.
func New(cfg Config) *StateMachine {
	cfg.Attempts.Incarnation = cfg.Admission.AgentIncarnation
	return &StateMachine{
		cfg:             cfg,
		controller:      admission.New(cfg.Admission),
		attempts:        attempts.New(cfg.Attempts),
		suspects:        quarantine.New(cfg.Quarantine),
		gate:            quarantine.NewGate(),
		rules:           rules.Empty(),
		active:          map[string]*activeAttempt{},
		suspicionLevels: map[string]int{},
		currentReaders:  map[string]int{},
	}
}

// TakeActions returns the actions since the last call.
func (m *StateMachine) TakeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

// Admission returns the admission machine, for its load and cache view.
func (m *StateMachine) Admission() *admission.Controller { return m.controller }

// Suspects returns the table of suspected requests, for gossip.
func (m *StateMachine) Suspects() *quarantine.Table { return m.suspects }

// ActiveCount returns the number of attempts that wait or run.
func (m *StateMachine) ActiveCount() int { return len(m.active) }

// Offer decides on an attempt that arrives.
func (m *StateMachine) Offer(now time.Duration, o Offer) Reply {
	a := o.Attempt
	if a.AgentIncarnation != m.cfg.Admission.AgentIncarnation {
		return Reply{Kind: ReplyRefused, Reason: admission.ReasonWrongIncarnation}
	}
	spec := attempts.Spec{ID: a.ID, Team: a.Team, Once: o.AtMostOnce, Resume: o.ResumeOffset, Fingerprint: a.Fingerprint, Reader: o.Router}
	switch m.attempts.Begin(now, spec) {
	case attempts.VerdictFenced:
		return Reply{Kind: ReplyRefused, Reason: admission.ReasonFenced}
	case attempts.VerdictKnown:
		return Reply{Kind: ReplyDuplicate}
	case attempts.VerdictForgotten:
		return Reply{Kind: ReplyOutcomeUnknown}
	}
	verdict := m.admit(now, &a)
	reply := Reply{
		Kind: ReplyAdmitted, CachedTokens: verdict.CachedTokens,
		ExpectedWait: verdict.ExpectedWait, RetryAfter: verdict.RetryAfter,
	}
	if !verdict.Admitted {
		m.attempts.Refuse(now, a.ID)
		reply.Kind, reply.Reason = ReplyRefused, verdict.Reason
		return reply
	}
	m.attempts.Admit(now, a.ID)
	m.active[a.ID] = &activeAttempt{attempt: &a, atMostOnce: o.AtMostOnce, expectedCachedTokens: verdict.CachedTokens, engineWaitUntil: m.engineWaitDeadline(now, &a, verdict)}
	reply.ReaderID = m.assignReader(a.ID)
	m.startReady(now)
	return reply
}

func (m *StateMachine) admit(now time.Duration, a *admission.Attempt) admission.Decision {
	if m.suspicionLevel(now, a) == quarantine.LevelQuarantined {
		return admission.Decision{Reason: admission.ReasonQuarantined}
	}
	v := m.controller.Offer(now, a)
	if v.Reason == admission.ReasonEngineDown && m.mayWaitForEngine(now, a) {
		return admission.Decision{Admitted: true, Reason: v.Reason}
	}
	return v
}

func (m *StateMachine) suspicionLevel(now time.Duration, a *admission.Attempt) quarantine.Level {
	return m.suspects.Level(now, a.Fingerprint, uint32(a.SuspicionLevel))
}

func (m *StateMachine) assignReader(id string) int {
	m.lastReaderID++
	m.currentReaders[id] = m.lastReaderID
	return m.lastReaderID
}

// startReady starts attempts while the endpoint has room. A suspect waits until it
// would run alone, and nothing else starts before it.
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
			// Its block hashes name the weights that the engine served before.
			m.fail(now, a.ID, ReasonWrongWeights, false)
			continue
		}
		decision := m.gate.May(m.suspicionLevel(now, a))
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

func (m *StateMachine) nextAttempt(now time.Duration) *admission.Attempt {
	a := m.blocked
	m.blocked = nil
	if a == nil {
		a = m.controller.Next(now)
	}
	for _, late := range m.controller.TakeExpired() {
		m.fail(now, late.ID, ReasonDeadline, false)
	}
	return a
}

// fail finishes an attempt that did not complete.
func (m *StateMachine) fail(now time.Duration, id, reason string, ran bool) {
	if _, ok := m.active[id]; !ok {
		return
	}
	delete(m.active, id)
	if m.blocked != nil && m.blocked.ID == id {
		m.blocked = nil
	}
	m.gate.End(id)
	m.controller.Finish(now, id)
	m.attempts.Failed(now, id, reason, ran)
	m.emit(StreamChanged{id})
}

// AppendToken adds one output token of a started attempt. Paused is true when the
// producer must wait for Changed before the next one. It fails with
// attempts.ErrGone or an error of package stream.
func (m *StateMachine) AppendToken(now time.Duration, id string, index int, text string) (paused bool, err error) {
	active := m.active[id]
	if active == nil {
		return false, attempts.ErrGone
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

// Paused reports whether the producer of an attempt must wait.
func (m *StateMachine) Paused(id string) bool { return m.attempts.Paused(id) }

// RecordCompletion records the complete end of an attempt.
func (m *StateMachine) RecordCompletion(now time.Duration, id, reason string, answer []byte) {
	active := m.active[id]
	if active == nil || !active.started {
		return
	}
	delete(m.active, id)
	m.gate.End(id)
	m.controller.Finish(now, id)
	m.suspects.Completed(now, active.attempt.Fingerprint)
	m.attempts.Done(now, id, reason, answer)
	m.emit(StreamChanged{id})
	m.startReady(now)
}

// RecordFailure records that the endpoint did not complete an attempt. Ran is false
// only when nothing of it can have happened.
func (m *StateMachine) RecordFailure(now time.Duration, id, reason string, ran bool) {
	m.fail(now, id, reason, ran)
	m.startReady(now)
}

// RecordBrokenConnection records that the connection of an attempt broke. Whether the engine
// died, and its other attempts with it, is known after Probe.
func (m *StateMachine) RecordBrokenConnection(now time.Duration, id, reason string) {
	active := m.active[id]
	if active == nil {
		return
	}
	if m.cfg.PlainService {
		m.RecordFailure(now, id, reason, true)
		return
	}
	active.connectionBroke = true
	m.emit(ProbeEngine{})
}

// ActiveIDs returns the ids of the attempts that wait or run, in order.
func (m *StateMachine) ActiveIDs() []string { return m.sortedActiveIDs() }

func (m *StateMachine) sortedActiveIDs() []string {
	ids := make([]string, 0, len(m.active))
	for id := range m.active {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// MergeSuspicion takes a suspicion from another process. A copy that runs beside
// others is stopped, so that its router runs it alone.
func (m *StateMachine) MergeSuspicion(now time.Duration, r quarantine.Report) {
	if !m.suspects.Merge(now, r) {
		return
	}
	for _, id := range m.sortedActiveIDs() {
		active := m.active[id]
		if !active.started || active.atMostOnce || active.attempt.Fingerprint != r.Fingerprint || m.gate.Alone(id) {
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

// SetRules installs a newer version of the rules. Attempts that wait and may
// not run here any more end as not run; those that run finish.
func (m *StateMachine) SetRules(now time.Duration, view *rules.View) {
	if view.Version < m.rules.Version {
		return
	}
	m.rules = view
	m.controller.SetRules(view)
	for _, id := range m.sortedActiveIDs() {
		if active := m.active[id]; !active.started && !m.allowedByRules(active.attempt) {
			m.fail(now, id, ReasonRulesChanged, false)
		}
	}
	m.startReady(now)
}

func (m *StateMachine) allowedByRules(a *admission.Attempt) bool {
	e, ok := m.rules.Endpoint(m.cfg.Admission.Endpoint)
	team, known := m.rules.Team(a.Team)
	return ok && known && !e.Draining && m.rules.MayReach(team, e)
}

// Shutdown makes the core refuse all new work.
func (m *StateMachine) Shutdown() { m.controller.Shutdown() }

// Tick ends attempts that nobody reads any more or whose time is up, and
// forgets old results.
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

// removeExpiredState drops what is kept beside results that are gone.
func (m *StateMachine) removeExpiredState() {
	for id := range m.currentReaders {
		if _, kept := m.attempts.Spec(id); !kept {
			delete(m.currentReaders, id)
			delete(m.suspicionLevels, id)
		}
	}
}
