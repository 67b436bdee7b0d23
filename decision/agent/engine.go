package agent

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/quarantine"
)

// EngineAlive is a result of ProbeEngine: the engine has not restarted, so that only
// the attempts with lost connections have failed.
func (m *StateMachine) EngineAlive(now time.Duration) {
	for _, id := range m.sortedActiveIDs() {
		if m.active[id].connectionLost {
			m.fail(now, id, "endpoint_broke", true)
		}
	}
	m.startReady(now)
}

// EngineUp records a new incarnation of the engine or new weights. A new
// incarnation must be preceded by EngineDown.
func (m *StateMachine) EngineUp(now time.Duration, engineIncarnation uint64, weightsVersion string) {
	m.weightsVersion = weightsVersion
	m.controller.EngineUp(engineIncarnation)
	m.controller.SetWeightsVersion(weightsVersion)
	m.offerWaitingForEngine(now)
	m.startReady(now)
}

// EngineDown records that the engine crashed. The running attempts have failed and
// their requests become suspects. Waiting attempts stay queued until their deadlines.
func (m *StateMachine) EngineDown(now time.Duration) {
	fingerprints, alone := m.gate.RecordEngineCrash()
	levels := map[uint64]quarantine.Level{}
	for _, r := range m.suspects.RecordEngineCrash(now, fingerprints, alone) {
		levels[r.Fingerprint] = r.Level
	}
	m.controller.EngineDown(now)
	for _, id := range m.sortedActiveIDs() {
		active := m.active[id]
		if !active.started {
			continue
		}
		m.suspicionLevels[id] = int(levels[active.attempt.Fingerprint])
		m.fail(now, id, ReasonEngineDied, true)
	}
}

// mayWaitForEngine reports whether an attempt may wait for an engine that is down.
// Only suspects may: no other endpoint runs them, and the engine is often down because
// of them.
func (m *StateMachine) mayWaitForEngine(now time.Duration, a *admission.Attempt) bool {
	waiting := 0
	for _, active := range m.active {
		if active.engineWaitUntil > 0 {
			waiting++
		}
	}
	return m.suspicionLevel(now, a) == quarantine.LevelSuspect && waiting < maxWaitingForEngine
}

// engineWaitDeadline returns the time until which an admitted attempt waits for the
// engine, or 0 if the engine is up.
func (m *StateMachine) engineWaitDeadline(now time.Duration, a *admission.Attempt, d admission.Decision) time.Duration {
	if d.Reason != admission.ReasonEngineDown {
		return 0
	}
	return now + max(a.FirstTokenBudget, time.Millisecond)
}

// offerWaitingForEngine offers to admission the suspects that waited for the engine.
func (m *StateMachine) offerWaitingForEngine(now time.Duration) {
	for _, id := range m.sortedActiveIDs() {
		active := m.active[id]
		if active.engineWaitUntil == 0 {
			continue
		}
		active.attempt.FirstTokenBudget = max(active.engineWaitUntil-now, time.Millisecond)
		active.engineWaitUntil = 0
		if d := m.controller.Offer(now, active.attempt); !d.Admitted {
			m.fail(now, id, string(d.Reason), false)
		}
	}
}

// expireWaitingForEngine fails the suspects whose deadline passed before the engine
// restarted.
func (m *StateMachine) expireWaitingForEngine(now time.Duration) {
	for _, id := range m.sortedActiveIDs() {
		if until := m.active[id].engineWaitUntil; until > 0 && now >= until {
			m.fail(now, id, ReasonDeadline, false)
		}
	}
}
