package agent

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/attempts"
)

// SuspicionLevel returns the suspicion to report with the failure of an attempt.
func (m *StateMachine) SuspicionLevel(id string) int { return m.suspicionLevels[id] }

// Attach makes a router the reader of the newest attempt of a request, from
// offset on; a negative offset means the first token that is still kept. It
// returns the attempt and the reader for Read. It fails with attempts.ErrGone,
// attempts.ErrOtherTeam or stream.ErrDiscarded.
func (m *StateMachine) Attach(now time.Duration, requestID, team, router string, offset int) (id string, reader int, err error) {
	id, ok := m.attempts.Find(requestID)
	if !ok {
		return "", 0, attempts.ErrGone
	}
	if offset < 0 {
		result, _ := m.attempts.Result(id)
		offset = result.First
	}
	if err := m.attempts.Attach(now, id, team, router, offset); err != nil {
		return "", 0, err
	}
	reader = m.assignReader(id)
	// The replaced reader must notice that its stream is over.
	m.emit(StreamChanged{id})
	return id, reader, nil
}

// Read returns at most limit tokens that the reader was not given yet. Ended is
// true when the output is complete after them. It fails with ErrReplaced when
// another reader has attached.
func (m *StateMachine) Read(id string, reader, limit int) (offset int, tokens []string, ended bool, err error) {
	if m.currentReaders[id] != reader {
		return 0, nil, false, ErrReaderReplaced
	}
	paused := m.attempts.Paused(id)
	offset, tokens, ended = m.attempts.Next(id, limit)
	if paused && !m.attempts.Paused(id) {
		m.emit(StreamChanged{id})
	}
	return offset, tokens, ended, nil
}

// Detach records that a reader went away without a cancellation.
func (m *StateMachine) Detach(now time.Duration, id, router string, reader int) {
	if m.currentReaders[id] == reader {
		m.attempts.Detach(now, id, router)
	}
}

// Result returns the state of an attempt, and false when it is not kept.
func (m *StateMachine) Result(id string) (attempts.Result, bool) { return m.attempts.Result(id) }

// Kept reports whether the attempt runs or its result is kept. Unlike Result it
// copies nothing, so that it can be called for all attempts at each tick.
func (m *StateMachine) Kept(id string) bool {
	_, kept := m.attempts.Spec(id)
	return kept
}

// Cancel ends an attempt whose caller went away. An attempt that must not be
// repeated goes on once it has started: its effect can't be taken back, and its
// answer may still be asked for.
func (m *StateMachine) Cancel(now time.Duration, id, router string) bool {
	active := m.active[id]
	if active == nil || !m.attempts.Cancel(now, id, router) || (active.atMostOnce && active.started) {
		return false
	}
	m.stopAttempt(now, id, ReasonCancelled)
	m.startReady(now)
	return true
}

// Resolve says what became of an attempt that must not be repeated. One that
// was never seen is fenced, so that "not run" stays true.
func (m *StateMachine) Resolve(now time.Duration, id string, incarnation uint64) attempts.Result {
	return m.attempts.Resolve(now, id, incarnation)
}
