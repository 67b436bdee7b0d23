// Package attempts is the agent's memory of the attempts that it has seen: the
// streams that run, the results kept after their end, and the fences that keep
// a report of "not run" true. It is a pure state machine.
package attempts

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/stream"
)

// Errors of a Table.
var (
	// ErrGone means that the attempt is not known, or no longer.
	ErrGone = errors.New("attempt is not kept")
	// ErrOtherTeam means that the attempt belongs to another team.
	ErrOtherTeam = errors.New("attempt belongs to another team")
)

// Outcome is what the agent can say about an attempt.
type Outcome uint8

// Outcomes.
const (
	// OutcomeNotRun means that the attempt had no effect and never will.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeRunning means that the attempt waits or runs.
	OutcomeRunning
	// OutcomeDone means that the attempt ended and its answer is kept.
	OutcomeDone
	// OutcomePartial means that a repeatable attempt ended early.
	OutcomePartial
	// OutcomeUnknown means that the attempt may have had an effect.
	OutcomeUnknown
)

// Config are the parameters of a Table.
type Config struct {
	// Incarnation is the agent's own.
	Incarnation uint64
	// ResultTTL is how long a result is kept after the end. Default 60 s.
	ResultTTL time.Duration
	// DetachGrace is how long a stream without reader runs on. Default 30 s.
	DetachGrace time.Duration
	// ResultBytes bounds the results kept after their end. Default 32 MiB.
	ResultBytes int
	// StreamBytes bounds the buffer of one stream. Default 256 KiB.
	StreamBytes int
	// MaxMarks bounds the remembered ends of attempts that must not be
	// repeated; older ones are only known to have existed. Default 65536.
	MaxMarks int
}

func (c *Config) defaults() {
	setDefault(&c.ResultTTL, 60*time.Second)
	setDefault(&c.DetachGrace, 30*time.Second)
	setDefault(&c.ResultBytes, 32<<20)
	setDefault(&c.StreamBytes, stream.DefaultLimitBytes)
	setDefault(&c.MaxMarks, 1<<16)
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Spec describes an attempt that arrived.
type Spec struct {
	ID   string
	Team string
	// Once is true when the attempt must not be repeated.
	Once bool
	// Resume is the offset of the first token that it produces.
	Resume      int
	Fingerprint uint64
	// Reader names the router that reads the stream. Optional.
	Reader string
}

// Verdict answers Begin.
type Verdict uint8

// Verdicts.
const (
	// VerdictFresh means that the attempt is new and may be admitted.
	VerdictFresh Verdict = iota + 1
	// VerdictFenced means that the attempt was reported as not run: refuse it.
	VerdictFenced
	// VerdictKnown means that the attempt arrived before and is kept: attach.
	VerdictKnown
	// VerdictForgotten means that the attempt may have run before. It must
	// neither run nor be refused; report it as failed with unknown outcome.
	VerdictForgotten
)

// Result is the state of an attempt.
type Result struct {
	Outcome Outcome
	// Reason is the finish reason or the reason for the failure.
	Reason string
	// Answer is the answer of a plain service.
	Answer []byte
	// Tokens is the output that is still buffered, from First on; End is the
	// offset after the last token of the whole output.
	Tokens     []string
	First, End int
	// Incarnation is the agent's, so that the asker sees whom it reached.
	Incarnation uint64
}

type entry struct {
	spec     Spec
	buf      *stream.Buffer
	admitted bool
	attached bool
	reader   string
	detached time.Duration
	ended    bool
	endedAt  time.Duration
	outcome  Outcome
	reason   string
	answer   []byte
}

// bytes is the memory of a kept result. A kept entry costs a few hundred
// bytes beside its output.
func (e *entry) bytes() int { return e.buf.BufferedBytes() + len(e.answer) + entryOverhead }

const entryOverhead = 512

// Table is the state of one agent incarnation. It is not safe for concurrent
// use.
type Table struct {
	cfg     Config
	entries map[string]*entry
	// ended lists ended attempts, oldest first.
	ended      []string
	endedBytes int
	marks      marks
}

// New returns an empty table.
func New(cfg Config) *Table {
	cfg.defaults()
	return &Table{cfg: cfg, entries: map[string]*entry{}, marks: newMarks(cfg.MaxMarks)}
}

// Len returns the number of attempts that run or whose result is kept.
func (t *Table) Len() int { return len(t.entries) }

// ResultBytes returns the memory of the kept results, in bytes.
func (t *Table) ResultBytes() int { return t.endedBytes }

// Begin records that an attempt arrived. Only VerdictFresh may be offered to
// admission, followed by Admit or Refuse.
func (t *Table) Begin(_ time.Duration, s Spec) Verdict {
	if _, ok := t.entries[s.ID]; ok {
		return VerdictKnown
	}
	if s.Once {
		switch t.marks.get(s.ID) {
		case markNotRun:
			return VerdictFenced
		case markRan:
			return VerdictForgotten
		}
	} else if t.marks.fenced(s.ID) {
		return VerdictFenced
	}
	t.entries[s.ID] = &entry{spec: s, attached: true, reader: s.Reader, buf: stream.New(s.Resume, t.cfg.StreamBytes)}
	return VerdictFresh
}

// Admit records that the attempt waits or runs.
func (t *Table) Admit(_ time.Duration, id string) {
	if e := t.entries[id]; e != nil {
		e.admitted = true
	}
}

// Refuse records that the attempt did not run. An attempt that must not be
// repeated is fenced, so that a second delivery does not run either.
func (t *Table) Refuse(_ time.Duration, id string) {
	e := t.entries[id]
	if e == nil || e.ended {
		return
	}
	delete(t.entries, id)
	if e.spec.Once {
		t.marks.set(id, markNotRun)
	}
}

// Append adds output of a running attempt. It fails with ErrGone, or with an
// error of package stream when the engine skipped a token.
func (t *Table) Append(_ time.Duration, id string, offset int, tokens []string) error {
	e := t.entries[id]
	if e == nil || e.ended {
		return ErrGone
	}
	return e.buf.Append(offset, tokens)
}

// Paused reports whether reading from the engine must pause, because the
// reader of the attempt is too slow.
func (t *Table) Paused(id string) bool {
	e := t.entries[id]
	return e != nil && !e.ended && e.buf.Full()
}

// Done records the complete end of an attempt. Answer is the answer of a plain
// service; one above the bound for results makes the outcome unknown to later
// askers.
func (t *Table) Done(now time.Duration, id, reason string, answer []byte) {
	t.end(now, id, OutcomeDone, reason, answer)
}

// Failed records the early end of an attempt. Ran is false only when nothing
// of it can have happened or will happen. It returns the outcome to report.
func (t *Table) Failed(now time.Duration, id, reason string, ran bool) Outcome {
	e := t.entries[id]
	if e == nil {
		return OutcomeUnknown
	}
	outcome := OutcomePartial
	switch {
	case !ran && e.buf.EndOffset() == e.spec.Resume:
		outcome = OutcomeNotRun
	case e.spec.Once:
		outcome = OutcomeUnknown
	}
	t.end(now, id, outcome, reason, nil)
	return outcome
}

func (t *Table) end(now time.Duration, id string, o Outcome, reason string, answer []byte) {
	e := t.entries[id]
	if e == nil || e.ended {
		return
	}
	e.ended, e.endedAt, e.outcome, e.reason, e.answer = true, now, o, reason, answer
	e.buf.Close()
	if e.spec.Once {
		m := markRan
		if o == OutcomeNotRun {
			m = markNotRun
		}
		t.marks.set(id, m)
	}
	t.ended = append(t.ended, id)
	t.endedBytes += e.bytes()
	for t.endedBytes > t.cfg.ResultBytes && len(t.ended) > 0 {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	id := t.ended[0]
	t.ended = t.ended[1:]
	t.endedBytes -= t.entries[id].bytes()
	delete(t.entries, id)
}

// Attach makes the router named reader the reader of an attempt, from offset
// on. It fails with ErrGone, ErrOtherTeam or stream.ErrNotBuffered.
func (t *Table) Attach(_ time.Duration, id, team, reader string, offset int) error {
	e := t.entries[id]
	switch {
	case e == nil:
		return ErrGone
	case e.spec.Team != team:
		return ErrOtherTeam
	}
	if err := e.buf.Seek(offset); err != nil {
		return err
	}
	e.attached, e.reader = true, reader
	return nil
}

// Find returns the newest attempt of a request, or false.
func (t *Table) Find(requestID string) (string, bool) {
	best, bestN := "", -1
	for id := range t.entries {
		if p, ok := ParseID(id); ok && p.Request == requestID && p.N > bestN {
			best, bestN = id, p.N
		}
	}
	return best, best != ""
}

// Detach records that the reader went away without a cancellation. It has no
// effect when another reader has attached since.
func (t *Table) Detach(now time.Duration, id, reader string) {
	if e := t.entries[id]; e != nil && e.attached && e.reader == reader {
		e.attached, e.detached = false, now
	}
}

// Next returns the output that the reader has not been given yet, at most
// limit tokens, with the offset of the first one. Ended is true when the
// output is complete after these tokens.
func (t *Table) Next(id string, limit int) (offset int, tokens []string, ended bool) {
	e := t.entries[id]
	if e == nil {
		return 0, nil, false
	}
	offset, tokens = e.buf.ReadNext(limit)
	return offset, tokens, e.ended && e.buf.UnreadBytes() == 0
}

// Result returns the state of an attempt without changing anything.
func (t *Table) Result(id string) (Result, bool) {
	e := t.entries[id]
	if e == nil {
		return Result{Outcome: OutcomeUnknown, Incarnation: t.cfg.Incarnation}, false
	}
	r := Result{Outcome: OutcomeRunning, First: e.buf.FirstOffset(), End: e.buf.EndOffset(), Incarnation: t.cfg.Incarnation}
	if !e.ended {
		return r, true
	}
	tokens, _ := e.buf.TokensFrom(e.buf.FirstOffset())
	r.Outcome, r.Reason, r.Answer, r.Tokens = e.outcome, e.reason, e.answer, slices.Clone(tokens)
	return r, true
}

// Resolve says what became of an attempt that must not be repeated. An attempt
// never seen is fenced first, so that OutcomeNotRun stays true. An attempt of
// another incarnation of the agent, or one that may be forgotten, is unknown.
func (t *Table) Resolve(_ time.Duration, id string, incarnation uint64) Result {
	unknown := Result{Outcome: OutcomeUnknown, Incarnation: t.cfg.Incarnation}
	if incarnation != t.cfg.Incarnation {
		return unknown
	}
	if r, ok := t.Result(id); ok {
		return r
	}
	switch t.marks.get(id) {
	case markRan:
		return unknown
	case markNone:
		t.marks.set(id, markNotRun)
	}
	return Result{Outcome: OutcomeNotRun, Incarnation: t.cfg.Incarnation}
}

// Cancel returns true when the attempt still runs, the engine must be told to
// stop and Failed reports the end. A reader that another one has replaced can't
// cancel: a router that was paused must not end the stream that its caller has
// resumed elsewhere.
func (t *Table) Cancel(_ time.Duration, id, reader string) bool {
	e := t.entries[id]
	return e != nil && !e.ended && e.reader == reader
}

// Tick returns the running attempts whose readers stayed away for the grace
// period, and drops results that are past their time. Attempts that must not
// be repeated run on: their answer is still asked for with Resolve.
func (t *Table) Tick(now time.Duration) (abandoned []string) {
	for len(t.ended) > 0 && now-t.entries[t.ended[0]].endedAt >= t.cfg.ResultTTL {
		t.dropOldest()
	}
	for id, e := range t.entries {
		if !e.ended && !e.attached && !e.spec.Once && now-e.detached >= t.cfg.DetachGrace {
			abandoned = append(abandoned, id)
		}
	}
	slices.Sort(abandoned)
	return abandoned
}

// Running returns the ids of the attempts that have not ended, in order.
func (t *Table) Running() []string {
	var ids []string
	for id, e := range t.entries {
		if !e.ended {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Spec returns what Begin was told about a kept attempt.
func (t *Table) Spec(id string) (Spec, bool) {
	if e := t.entries[id]; e != nil {
		return e.spec, true
	}
	return Spec{}, false
}
