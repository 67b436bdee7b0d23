// Package attempts stores what an agent knows about the attempts that it received:
// running streams, the results of ended attempts, and fences. A fence keeps an
// attempt that was reported as not run from running later. Table is a pure state
// machine.
package attempts

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/stream"
)

// Errors of a Table.
var (
	// ErrNotFound means that the attempt is not in the table or, for Append, that it
	// has ended.
	ErrNotFound = errors.New("attempt is not kept")
	// ErrOtherTeam means that the attempt belongs to another team.
	ErrOtherTeam = errors.New("attempt belongs to another team")
)

// Outcome is the outcome of an attempt as far as the agent knows it.
type Outcome uint8

// Outcomes.
const (
	// OutcomeNotRun means that the attempt had no effect and never will.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeRunning means that the attempt waits or runs.
	OutcomeRunning
	// OutcomeDone means that the attempt completed and its answer is stored.
	OutcomeDone
	// OutcomePartial means that the attempt ended early and that its request may run
	// more than once.
	OutcomePartial
	// OutcomeUnknown means that the attempt may have had an effect.
	OutcomeUnknown
)

// Config holds the parameters of a Table.
type Config struct {
	// AgentIncarnation is the incarnation of the agent that the Table belongs to.
	AgentIncarnation uint64
	// ResultTTL is how long a result is stored after the attempt ended. Default 60 s.
	ResultTTL time.Duration
	// DetachGrace is how long a stream without a reader continues. Default 30 s.
	DetachGrace time.Duration
	// MaxResultBytes bounds the memory of the results of ended attempts. Default
	// 32 MiB.
	MaxResultBytes int
	// MaxStreamBytes bounds the buffer of one stream. Default 256 KiB.
	MaxStreamBytes int
	// MaxHistory bounds the records of whether at-most-once attempts ran or are
	// fenced. An attempt whose record was dropped counts as one that may have run.
	// Default 65536.
	MaxHistory int
}

func (c *Config) setDefaults() {
	setDefault(&c.ResultTTL, 60*time.Second)
	setDefault(&c.DetachGrace, 30*time.Second)
	setDefault(&c.MaxResultBytes, 32<<20)
	setDefault(&c.MaxStreamBytes, stream.DefaultLimitBytes)
	setDefault(&c.MaxHistory, 1<<16)
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Spec describes an attempt that a router sent.
type Spec struct {
	ID   string
	Team string
	// AtMostOnce is true when the request must not run more than once.
	AtMostOnce bool
	// ResumeOffset is the offset of the first token that the attempt produces.
	ResumeOffset int
	Fingerprint  uint64
	// Router is the name of the router that reads the stream. Optional.
	Router string
}

// Verdict is the result of Begin.
type Verdict uint8

// Verdicts.
const (
	// VerdictNew means that the attempt is new and may be admitted.
	VerdictNew Verdict = iota + 1
	// VerdictFenced means that the attempt was reported as not run and must be
	// refused.
	VerdictFenced
	// VerdictDuplicate means that the attempt arrived before and is still in the
	// table. The router may attach to it.
	VerdictDuplicate
	// VerdictMayHaveRun means that the attempt may have run before. It must neither
	// run nor be refused, but be reported as failed with unknown outcome.
	VerdictMayHaveRun
)

// Result describes a running or ended attempt.
type Result struct {
	Outcome Outcome
	// Reason is the finish reason or the reason for the failure.
	Reason string
	// Answer is the answer of a plain service.
	Answer []byte
	// Tokens is the buffered output of an ended attempt. FirstOffset is the offset of
	// the first buffered token, EndOffset the offset after the last token of the
	// whole output.
	Tokens                 []string
	FirstOffset, EndOffset int
	// AgentIncarnation is the incarnation of the agent that answers, which shows the
	// router whether it reached the incarnation that it asked for.
	AgentIncarnation uint64
}

type entry struct {
	spec       Spec
	buffer     *stream.Buffer
	admitted   bool
	attached   bool
	router     string
	detachedAt time.Duration
	ended      bool
	endedAt    time.Duration
	outcome    Outcome
	reason     string
	answer     []byte
}

// size returns the memory of a stored result in bytes. An entry takes a few hundred
// bytes besides its output.
func (e *entry) size() int { return e.buffer.BufferedBytes() + len(e.answer) + entryOverheadBytes }

const entryOverheadBytes = 512

// Table holds the attempts of one agent incarnation. It is not safe for concurrent
// use.
type Table struct {
	cfg     Config
	entries map[string]*entry
	// endedIDs lists the ended attempts whose results are stored, oldest first.
	endedIDs   []string
	endedBytes int
	history    runHistory
}

// New returns an empty table.
func New(cfg Config) *Table {
	cfg.setDefaults()
	return &Table{cfg: cfg, entries: map[string]*entry{}, history: newRunHistory(cfg.MaxHistory)}
}

// Len returns the number of attempts that have not ended or whose result is stored.
func (t *Table) Len() int { return len(t.entries) }

// ResultBytes returns the memory of the stored results in bytes.
func (t *Table) ResultBytes() int { return t.endedBytes }

// Begin records that an attempt arrived. Only an attempt with VerdictNew may be
// offered to admission; Admit or Refuse must follow.
func (t *Table) Begin(_ time.Duration, s Spec) Verdict {
	if _, ok := t.entries[s.ID]; ok {
		return VerdictDuplicate
	}
	if s.AtMostOnce {
		switch t.history.status(s.ID) {
		case statusFenced:
			return VerdictFenced
		case statusMayHaveRun:
			return VerdictMayHaveRun
		}
	} else if t.history.fenced(s.ID) {
		return VerdictFenced
	}
	t.entries[s.ID] = &entry{spec: s, attached: true, router: s.Router, buffer: stream.New(s.ResumeOffset, t.cfg.MaxStreamBytes)}
	return VerdictNew
}

// Admit records that the attempt was admitted: it waits or runs.
func (t *Table) Admit(_ time.Duration, id string) {
	if e := t.entries[id]; e != nil {
		e.admitted = true
	}
}

// Refuse records that the attempt was refused and did not run. An at-most-once
// attempt is fenced, so that a second delivery does not run either.
func (t *Table) Refuse(_ time.Duration, id string) {
	e := t.entries[id]
	if e == nil || e.ended {
		return
	}
	delete(t.entries, id)
	if e.spec.AtMostOnce {
		t.history.set(id, statusFenced)
	}
}

// Append adds output of a running attempt. It fails with ErrNotFound, or with an
// error of package stream when the engine skipped a token.
func (t *Table) Append(_ time.Duration, id string, offset int, tokens []string) error {
	e := t.entries[id]
	if e == nil || e.ended {
		return ErrNotFound
	}
	return e.buffer.Append(offset, tokens)
}

// Paused reports whether reading from the engine must pause because the reader of
// the attempt is too slow.
func (t *Table) Paused(id string) bool {
	e := t.entries[id]
	return e != nil && !e.ended && e.buffer.Full()
}

// RecordCompletion records that an attempt completed. answer is the answer of a plain
// service. An answer larger than MaxResultBytes is not stored, and Resolve then returns
// OutcomeUnknown.
func (t *Table) RecordCompletion(now time.Duration, id, reason string, answer []byte) {
	t.end(now, id, OutcomeDone, reason, answer)
}

// RecordFailure records that an attempt ended early and returns the outcome to report.
// mayHaveRun is false only when the attempt certainly had no effect and will have
// none.
func (t *Table) RecordFailure(now time.Duration, id, reason string, mayHaveRun bool) Outcome {
	e := t.entries[id]
	if e == nil {
		return OutcomeUnknown
	}
	outcome := OutcomePartial
	switch {
	case !mayHaveRun && e.buffer.EndOffset() == e.spec.ResumeOffset:
		outcome = OutcomeNotRun
	case e.spec.AtMostOnce:
		outcome = OutcomeUnknown
	}
	t.end(now, id, outcome, reason, nil)
	return outcome
}

func (t *Table) end(now time.Duration, id string, outcome Outcome, reason string, answer []byte) {
	e := t.entries[id]
	if e == nil || e.ended {
		return
	}
	e.ended, e.endedAt, e.outcome, e.reason, e.answer = true, now, outcome, reason, answer
	e.buffer.Close()
	if e.spec.AtMostOnce {
		status := statusMayHaveRun
		if outcome == OutcomeNotRun {
			status = statusFenced
		}
		t.history.set(id, status)
	}
	t.endedIDs = append(t.endedIDs, id)
	t.endedBytes += e.size()
	for t.endedBytes > t.cfg.MaxResultBytes && len(t.endedIDs) > 0 {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	id := t.endedIDs[0]
	t.endedIDs = t.endedIDs[1:]
	t.endedBytes -= t.entries[id].size()
	delete(t.entries, id)
}

// Attach makes a router the reader of an attempt, starting at offset. It fails with
// ErrNotFound, ErrOtherTeam or stream.ErrNotBuffered.
func (t *Table) Attach(_ time.Duration, id, team, router string, offset int) error {
	e := t.entries[id]
	switch {
	case e == nil:
		return ErrNotFound
	case e.spec.Team != team:
		return ErrOtherTeam
	}
	if err := e.buffer.Seek(offset); err != nil {
		return err
	}
	e.attached, e.router = true, router
	return nil
}

// FindByRequest returns the ID of the newest attempt of a request in the table, or
// false if there is none.
func (t *Table) FindByRequest(requestID string) (string, bool) {
	newest, newestNumber := "", -1
	for id := range t.entries {
		if parsed, ok := ParseID(id); ok && parsed.RequestID == requestID && parsed.Number > newestNumber {
			newest, newestNumber = id, parsed.Number
		}
	}
	return newest, newest != ""
}

// Detach records that the reader disconnected without cancelling the attempt. It has
// no effect when another router has become the reader.
func (t *Table) Detach(now time.Duration, id, router string) {
	if e := t.entries[id]; e != nil && e.attached && e.router == router {
		e.attached, e.detachedAt = false, now
	}
}

// ReadNext returns at most limit tokens for the reader and the offset of the first
// token. ended is true when no more output follows these tokens.
func (t *Table) ReadNext(id string, limit int) (offset int, tokens []string, ended bool) {
	e := t.entries[id]
	if e == nil {
		return 0, nil, false
	}
	offset, tokens = e.buffer.ReadNext(limit)
	return offset, tokens, e.ended && e.buffer.UnreadBytes() == 0
}

// Result describes an attempt. It returns false when the attempt is not in the table.
func (t *Table) Result(id string) (Result, bool) {
	e := t.entries[id]
	if e == nil {
		return Result{Outcome: OutcomeUnknown, AgentIncarnation: t.cfg.AgentIncarnation}, false
	}
	r := Result{Outcome: OutcomeRunning, FirstOffset: e.buffer.FirstOffset(), EndOffset: e.buffer.EndOffset(), AgentIncarnation: t.cfg.AgentIncarnation}
	if !e.ended {
		return r, true
	}
	tokens, _ := e.buffer.TokensFrom(e.buffer.FirstOffset())
	r.Outcome, r.Reason, r.Answer, r.Tokens = e.outcome, e.reason, e.answer, slices.Clone(tokens)
	return r, true
}

// Resolve returns the outcome of an at-most-once attempt. An attempt that never
// arrived is fenced first, so that OutcomeNotRun stays true. The outcome is unknown
// for another incarnation of the agent and for an attempt whose record may have
// been dropped.
func (t *Table) Resolve(_ time.Duration, id string, agentIncarnation uint64) Result {
	unknown := Result{Outcome: OutcomeUnknown, AgentIncarnation: t.cfg.AgentIncarnation}
	if agentIncarnation != t.cfg.AgentIncarnation {
		return unknown
	}
	if r, ok := t.Result(id); ok {
		return r
	}
	switch t.history.status(id) {
	case statusMayHaveRun:
		return unknown
	case statusUnrecorded:
		t.history.set(id, statusFenced)
	}
	return Result{Outcome: OutcomeNotRun, AgentIncarnation: t.cfg.AgentIncarnation}
}

// MayCancel reports whether the router may cancel the attempt. If so, the caller must
// stop the attempt and then call RecordFailure. A replaced reader may not cancel: a
// router that was paused must not end a stream that its caller resumed at another
// router.
func (t *Table) MayCancel(_ time.Duration, id, router string) bool {
	e := t.entries[id]
	return e != nil && !e.ended && e.router == router
}

// Tick drops expired results and returns the attempts that have had no reader for
// DetachGrace. At-most-once attempts are not among them, because a router may still
// ask for their answers with Resolve.
func (t *Table) Tick(now time.Duration) (abandoned []string) {
	for len(t.endedIDs) > 0 && now-t.entries[t.endedIDs[0]].endedAt >= t.cfg.ResultTTL {
		t.dropOldest()
	}
	for id, e := range t.entries {
		if !e.ended && !e.attached && !e.spec.AtMostOnce && now-e.detachedAt >= t.cfg.DetachGrace {
			abandoned = append(abandoned, id)
		}
	}
	slices.Sort(abandoned)
	return abandoned
}

// ActiveIDs returns the sorted IDs of the attempts that have not ended.
func (t *Table) ActiveIDs() []string {
	var ids []string
	for id, e := range t.entries {
		if !e.ended {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Spec returns the Spec that was passed to Begin, or false when the attempt is not in
// the table.
func (t *Table) Spec(id string) (Spec, bool) {
	if e := t.entries[id]; e != nil {
		return e.spec, true
	}
	return Spec{}, false
}
