package agent

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/quarantine"
)

// EngineAlive answers Probe: the engine still has its incarnation, so that only
// the broken attempts have failed.
func (m *StateMachine) EngineAlive(now time.Duration) {
	for _, id := range m.sortedActiveIDs() {
		if m.active[id].connectionBroke {
			m.fail(now, id, "endpoint_broke", true)
		}
	}
	m.startReady(now)
}

// EngineUp records a new incarnation of the engine or new weights. A new
// incarnation must be preceded by EngineDown.
func (m *StateMachine) EngineUp(now time.Duration, incarnation uint64, weights string) {
	m.weightsVersion = weights
	m.controller.EngineUp(incarnation)
	m.controller.SetWeightsVersion(weights)
	m.offerWaitingForEngine(now)
	m.startReady(now)
}

// EngineDown records that the engine died. What ran has failed and is
// suspected; what waits goes on waiting until its deadline.
func (m *StateMachine) EngineDown(now time.Duration) {
	fingerprints, alone := m.gate.Died()
	levels := map[uint64]quarantine.Level{}
	for _, r := range m.suspects.EngineDied(now, fingerprints, alone) {
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

// mayWaitForEngine reports whether an attempt may wait for an engine that is down. A
// suspect may, because this endpoint is its home: no other one runs it, and the
// engine is often down because of it.
func (m *StateMachine) mayWaitForEngine(now time.Duration, a *admission.Attempt) bool {
	parked := 0
	for _, active := range m.active {
		if active.engineWaitUntil > 0 {
			parked++
		}
	}
	return m.suspicionLevel(now, a) == quarantine.LevelSuspect && parked < maxWaitingForEngine
}

func (m *StateMachine) engineWaitDeadline(now time.Duration, a *admission.Attempt, v admission.Decision) time.Duration {
	if v.Reason != admission.ReasonEngineDown {
		return 0
	}
	return now + max(a.FirstTokenBudget, time.Millisecond)
}

// offerWaitingForEngine offers the suspects that waited for the engine.
func (m *StateMachine) offerWaitingForEngine(now time.Duration) {
	for _, id := range m.sortedActiveIDs() {
		active := m.active[id]
		if active.engineWaitUntil == 0 {
			continue
		}
		active.attempt.FirstTokenBudget = max(active.engineWaitUntil-now, time.Millisecond)
		active.engineWaitUntil = 0
		if v := m.controller.Offer(now, active.attempt); !v.Admitted {
			m.fail(now, id, string(v.Reason), false)
		}
	}
}

// expireWaitingForEngine ends the suspects that waited for the engine in vain.
func (m *StateMachine) expireWaitingForEngine(now time.Duration) {
	for _, id := range m.sortedActiveIDs() {
		if until := m.active[id].engineWaitUntil; until > 0 && now >= until {
			m.fail(now, id, ReasonDeadline, false)
		}
	}
}
