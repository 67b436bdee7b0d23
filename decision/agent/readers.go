package agent

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/attempts"
)

// SuspicionLevel returns the quarantine.Level to report with the failure of an attempt.
func (m *StateMachine) SuspicionLevel(id string) int { return m.suspicionLevels[id] }

// Attach makes a router the reader of the newest attempt of a request, starting at
// offset. A negative offset means the first buffered token. Attach returns the IDs of
// the attempt and of the reader, for Read. It fails with attempts.ErrNotFound,
// attempts.ErrOtherTeam or stream.ErrNotBuffered.
func (m *StateMachine) Attach(now time.Duration, requestID, team, router string, offset int) (id string, readerID int, err error) {
	id, ok := m.attempts.FindByRequest(requestID)
	if !ok {
		return "", 0, attempts.ErrNotFound
	}
	if offset < 0 {
		result, _ := m.attempts.Result(id)
		offset = result.FirstOffset
	}
	if err := m.attempts.Attach(now, id, team, router, offset); err != nil {
		return "", 0, err
	}
	readerID = m.assignReader(id)
	// Wake the replaced reader, so that its next Read fails with ErrReaderReplaced.
	m.emit(StreamChanged{id})
	return id, readerID, nil
}

// Read returns at most limit tokens that the reader has not received yet. ended is
// true when the output is complete after them. It fails with ErrReaderReplaced if
// another reader has attached.
func (m *StateMachine) Read(id string, readerID, limit int) (offset int, tokens []string, ended bool, err error) {
	if m.currentReaders[id] != readerID {
		return 0, nil, false, ErrReaderReplaced
	}
	paused := m.attempts.Paused(id)
	offset, tokens, ended = m.attempts.ReadNext(id, limit)
	if paused && !m.attempts.Paused(id) {
		m.emit(StreamChanged{id})
	}
	return offset, tokens, ended, nil
}

// Detach records that a reader disconnected without a cancellation.
func (m *StateMachine) Detach(now time.Duration, id, router string, readerID int) {
	if m.currentReaders[id] == readerID {
		m.attempts.Detach(now, id, router)
	}
}

// Result returns the state of an attempt, or false if the attempt never arrived or its
// result was dropped.
func (m *StateMachine) Result(id string) (attempts.Result, bool) { return m.attempts.Result(id) }

// HasAttempt reports whether the attempt is active or its result is stored. Unlike
// Result it copies nothing, so that it can be called for every attempt at each tick.
func (m *StateMachine) HasAttempt(id string) bool {
	_, found := m.attempts.Spec(id)
	return found
}

// Cancel ends an attempt whose caller disconnected, and reports whether it ended. A
// started at-most-once attempt continues: its effect can't be undone, and its answer
// may still be requested.
func (m *StateMachine) Cancel(now time.Duration, id, router string) bool {
	active := m.active[id]
	if active == nil || !m.attempts.MayCancel(now, id, router) || (active.atMostOnce && active.started) {
		return false
	}
	m.stopAttempt(now, id, ReasonCancelled)
	m.startReady(now)
	return true
}

// Resolve returns the outcome of an at-most-once attempt. An attempt that has not
// arrived is fenced: the agent refuses it if it arrives later, so that the answer
// "not run" stays true.
func (m *StateMachine) Resolve(now time.Duration, id string, agentIncarnation uint64) attempts.Result {
	return m.attempts.Resolve(now, id, agentIncarnation)
}
