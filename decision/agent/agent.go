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

// ErrReplaced means that another reader has taken over the stream.
var ErrReplaced = errors.New("another reader has attached")

// Reasons for failure that the core gives.
const (
	ReasonEngineDied  = "engine_died"
	ReasonDeadline    = "deadline"
	ReasonCancelled   = "cancelled"
	ReasonAbandoned   = "abandoned"
	ReasonSuspect     = "suspect"
	ReasonRules       = "rules_changed"
	ReasonQuarantined = "quarantined"
	ReasonWeights     = "wrong_weights"
)

// maxParked bounds the suspects that wait for the engine to come back.
const maxParked = 16

// Config are the parameters of a Core. Zero values of the nested
// configurations mean their defaults.
type Config struct {
	Admission  admission.Config
	Attempts   attempts.Config
	Quarantine quarantine.Config
	// Service is true for a plain service, whose failures raise no suspicion.
	Service bool
}

// Offer is an attempt that arrives.
type Offer struct {
	Attempt admission.Attempt
	// Once is true when the attempt must not be repeated.
	Once bool
	// Resume is the offset of the first token that it produces.
	Resume int
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
	// ReplyKnown means that the attempt arrived before; nothing is done.
	ReplyKnown
	// ReplyForgotten means that the attempt may have run before; its outcome
	// is unknown.
	ReplyForgotten
)

// Reply answers an Offer.
type Reply struct {
	Kind         ReplyKind
	Reason       admission.Reason
	CachedTokens int
	ExpectedWait time.Duration
	RetryAfter   time.Duration
	// Reader identifies the reader of the stream for Read and Detach.
	Reader int
}

// Action is something that the core wants done.
type Action interface{ action() }

// Actions.
type (
	// Start sends the attempt to the endpoint.
	Start struct{ ID string }
	// Stop tells the endpoint to end the attempt.
	Stop struct{ ID string }
	// Changed says that a reader of the attempt may have something to read, or
	// that the producer may go on.
	Changed struct{ ID string }
	// Probe asks whether the engine lives; EngineUp, EngineAlive or EngineDown
	// answers it.
	Probe struct{}
)

func (Start) action()   {}
func (Stop) action()    {}
func (Changed) action() {}
func (Probe) action()   {}

// job is an admitted attempt that has not ended.
type job struct {
	attempt *admission.Attempt
	once    bool
	started bool
	// parkedUntil is the deadline of a suspect that waits for the engine, 0 for
	// other attempts.
	parkedUntil time.Duration
	// cached is the number of prompt tokens that admission expected to find in
	// the engine's cache.
	cached int
	// broke is true while a broken connection waits for the answer to Probe.
	broke bool
}

// Core is the state of one agent.
type Core struct {
	cfg      Config
	machine  *admission.Machine
	table    *attempts.Table
	suspects *quarantine.Table
	gate     *quarantine.Gate
	view     *rules.View
	jobs     map[string]*job
	held     *admission.Attempt
	weights  string
	crashes  map[string]int
	readers  map[string]int
	serial   int
	actions  []Action
}

// New returns a core that refuses everything until it has rules and an engine.
func New(cfg Config) *Core {
	cfg.Attempts.Incarnation = cfg.Admission.Incarnation
	return &Core{
		cfg:      cfg,
		machine:  admission.New(cfg.Admission),
		table:    attempts.New(cfg.Attempts),
		suspects: quarantine.New(cfg.Quarantine),
		gate:     quarantine.NewGate(),
		view:     rules.Empty(),
		jobs:     map[string]*job{},
		crashes:  map[string]int{},
		readers:  map[string]int{},
	}
}

// Take returns the actions since the last call.
func (c *Core) Take() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Admission returns the admission machine, for its load and cache view.
func (c *Core) Admission() *admission.Machine { return c.machine }

// Suspects returns the table of suspected requests, for gossip.
func (c *Core) Suspects() *quarantine.Table { return c.suspects }

// Active returns the number of attempts that wait or run.
func (c *Core) Active() int { return len(c.jobs) }

// Offer decides on an attempt that arrives.
func (c *Core) Offer(now time.Duration, o Offer) Reply {
	a := o.Attempt
	if a.Incarnation != c.cfg.Admission.Incarnation {
		return Reply{Kind: ReplyRefused, Reason: admission.ReasonWrongIncarnation}
	}
	spec := attempts.Spec{ID: a.ID, Team: a.Team, AtMostOnce: o.Once, ResumeOffset: o.Resume, Fingerprint: a.Fingerprint, Reader: o.Router}
	switch c.table.Begin(now, spec) {
	case attempts.VerdictFenced:
		return Reply{Kind: ReplyRefused, Reason: admission.ReasonFenced}
	case attempts.VerdictDuplicate:
		return Reply{Kind: ReplyKnown}
	case attempts.VerdictMayHaveRun:
		return Reply{Kind: ReplyForgotten}
	}
	verdict := c.admit(now, &a)
	reply := Reply{
		Kind: ReplyAdmitted, CachedTokens: verdict.CachedTokens,
		ExpectedWait: verdict.ExpectedWait, RetryAfter: verdict.RetryAfter,
	}
	if !verdict.Admitted {
		c.table.Refuse(now, a.ID)
		reply.Kind, reply.Reason = ReplyRefused, verdict.Reason
		return reply
	}
	c.table.Admit(now, a.ID)
	c.jobs[a.ID] = &job{attempt: &a, once: o.Once, cached: verdict.CachedTokens, parkedUntil: c.parkUntil(now, &a, verdict)}
	reply.Reader = c.newReader(a.ID)
	c.pump(now)
	return reply
}

func (c *Core) admit(now time.Duration, a *admission.Attempt) admission.Verdict {
	if c.level(now, a) == quarantine.LevelQuarantined {
		return admission.Verdict{Reason: admission.ReasonQuarantined}
	}
	v := c.machine.Offer(now, a)
	if v.Reason == admission.ReasonEngineDown && c.mayPark(now, a) {
		return admission.Verdict{Admitted: true, Reason: v.Reason}
	}
	return v
}

func (c *Core) level(now time.Duration, a *admission.Attempt) quarantine.Level {
	return c.suspects.Level(now, a.Fingerprint, uint32(a.Suspicion))
}

func (c *Core) newReader(id string) int {
	c.serial++
	c.readers[id] = c.serial
	return c.serial
}

// pump starts attempts while the endpoint has room. A suspect waits until it
// would run alone, and nothing else starts before it.
func (c *Core) pump(now time.Duration) {
	for {
		a := c.next(now)
		if a == nil {
			return
		}
		j := c.jobs[a.ID]
		if j == nil {
			c.machine.Finish(now, a.ID)
			continue
		}
		if a.WeightsVersion != "" && a.WeightsVersion != c.weights {
			// Its block hashes name the weights that the engine served before.
			c.end(now, a.ID, ReasonWeights, false)
			continue
		}
		decision := c.gate.Decide(c.level(now, a))
		switch decision {
		case quarantine.DecisionWait:
			c.held = a
			return
		case quarantine.DecisionRefuse:
			c.crashes[a.ID] = int(quarantine.LevelQuarantined)
			c.end(now, a.ID, ReasonQuarantined, false)
		default:
			c.gate.Start(a.ID, a.Fingerprint, decision)
			j.started = true
			c.emit(Start{a.ID})
		}
	}
}

func (c *Core) next(now time.Duration) *admission.Attempt {
	a := c.held
	c.held = nil
	if a == nil {
		a = c.machine.Next(now)
	}
	for _, late := range c.machine.Expired() {
		c.end(now, late.ID, ReasonDeadline, false)
	}
	return a
}

// end finishes an attempt that did not complete.
func (c *Core) end(now time.Duration, id, reason string, ran bool) {
	if _, ok := c.jobs[id]; !ok {
		return
	}
	delete(c.jobs, id)
	if c.held != nil && c.held.ID == id {
		c.held = nil
	}
	c.gate.End(id)
	c.machine.Finish(now, id)
	c.table.Failed(now, id, reason, ran)
	c.emit(Changed{id})
}

// Token adds one output token of a started attempt. Paused is true when the
// producer must wait for Changed before the next one. It fails with
// attempts.ErrNotFound or an error of package stream.
func (c *Core) Token(now time.Duration, id string, index int, text string) (paused bool, err error) {
	j := c.jobs[id]
	if j == nil {
		return false, attempts.ErrNotFound
	}
	if err := c.table.Append(now, id, index, []string{text}); err != nil {
		return false, err
	}
	c.emit(Changed{id})
	return c.table.Paused(id), nil
}

// FirstToken records that the endpoint produced the first token of an attempt.
func (c *Core) FirstToken(now time.Duration, id string) {
	if j := c.jobs[id]; j != nil {
		c.machine.FirstToken(now, id, j.cached)
	}
	c.pump(now)
}

// Paused reports whether the producer of an attempt must wait.
func (c *Core) Paused(id string) bool { return c.table.Paused(id) }

// Done records the complete end of an attempt.
func (c *Core) Done(now time.Duration, id, reason string, answer []byte) {
	j := c.jobs[id]
	if j == nil || !j.started {
		return
	}
	delete(c.jobs, id)
	c.gate.End(id)
	c.machine.Finish(now, id)
	c.suspects.Completed(now, j.attempt.Fingerprint)
	c.table.Done(now, id, reason, answer)
	c.emit(Changed{id})
	c.pump(now)
}

// Failed records that the endpoint did not complete an attempt. Ran is false
// only when nothing of it can have happened.
func (c *Core) Failed(now time.Duration, id, reason string, ran bool) {
	c.end(now, id, reason, ran)
	c.pump(now)
}

// Broke records that the connection of an attempt broke. Whether the engine
// died, and its other attempts with it, is known after Probe.
func (c *Core) Broke(now time.Duration, id, reason string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	if c.cfg.Service {
		c.Failed(now, id, reason, true)
		return
	}
	j.broke = true
	c.emit(Probe{})
}

// Running returns the ids of the attempts that wait or run, in order.
func (c *Core) Running() []string { return c.jobIDs() }

func (c *Core) jobIDs() []string {
	ids := make([]string, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Suspected takes a suspicion from another process. A copy that runs beside
// others is stopped, so that its router runs it alone.
func (c *Core) Suspected(now time.Duration, r quarantine.Report) {
	if !c.suspects.Merge(now, r) {
		return
	}
	for _, id := range c.jobIDs() {
		j := c.jobs[id]
		if !j.started || j.once || j.attempt.Fingerprint != r.Fingerprint || c.gate.RunsAlone(id) {
			continue
		}
		c.crashes[id] = int(r.Level)
		c.stop(now, id, ReasonSuspect)
	}
	c.pump(now)
}

// stop ends an attempt that waits or runs.
func (c *Core) stop(now time.Duration, id, reason string) {
	started := c.jobs[id].started
	if started {
		c.emit(Stop{id})
	}
	c.end(now, id, reason, started)
}

// SetRules installs a newer version of the rules. Attempts that wait and may
// not run here any more end as not run; those that run finish.
func (c *Core) SetRules(now time.Duration, view *rules.View) {
	if view.Version < c.view.Version {
		return
	}
	c.view = view
	c.machine.SetRules(view)
	for _, id := range c.jobIDs() {
		if j := c.jobs[id]; !j.started && !c.mayRun(j.attempt) {
			c.end(now, id, ReasonRules, false)
		}
	}
	c.pump(now)
}

func (c *Core) mayRun(a *admission.Attempt) bool {
	e, ok := c.view.Endpoint(c.cfg.Admission.Endpoint)
	team, known := c.view.Team(a.Team)
	return ok && known && !e.Draining && c.view.MayUse(team, e)
}

// Shutdown makes the core refuse all new work.
func (c *Core) Shutdown() { c.machine.Shutdown() }

// Tick ends attempts that nobody reads any more or whose time is up, and
// forgets old results.
func (c *Core) Tick(now time.Duration) {
	for _, id := range c.table.Tick(now) {
		if c.jobs[id] != nil {
			c.stop(now, id, ReasonAbandoned)
		}
	}
	c.expireParked(now)
	c.suspects.Tick(now)
	c.forget()
	c.pump(now)
}

// forget drops what is kept beside results that are gone.
func (c *Core) forget() {
	for id := range c.readers {
		if _, kept := c.table.Spec(id); !kept {
			delete(c.readers, id)
			delete(c.crashes, id)
		}
	}
}
