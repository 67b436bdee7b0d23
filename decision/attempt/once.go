package attempt

import "time"

func (m *StateMachine) claim() Action {
	return Claim{m.current.AttemptID, m.current.Endpoint, m.current.AgentIncarnation, m.previousAttemptID}
}

func (m *StateMachine) claimResult(now time.Duration, in ClaimResult) []Action {
	if m.state == stateLookingUp {
		if m.resolvingHolder {
			// The ledger is unavailable: ask the agent of the holder again until the
			// deadline.
			m.state, m.resolveScheduled, m.nextResolve = stateResolving, true, now+m.cfg.ResolveInterval
			return m.tick(now)
		}
		return m.finish(CodeStoreUnavailable, "the ledger could not be read")
	}
	if m.state != stateClaiming {
		return nil
	}
	if !in.Recorded {
		return m.finish(CodeStoreUnavailable, "the claim could not be recorded")
	}
	m.ledgerReplied = true
	if m.expired(now) {
		m.previousAttemptID = m.current.AttemptID
		return m.finish(CodeDeadline, "time is up before the claim was recorded")
	}
	m.state = stateSent
	m.mayHaveRun, m.previousAttemptID = true, ""
	return []Action{m.current}
}

func (m *StateMachine) startResolve(now time.Duration, attemptID, endpoint string, agentIncarnation uint64) []Action {
	m.state, m.resolveScheduled = stateResolving, false
	m.resolveAction = Resolve{attemptID, endpoint, agentIncarnation}
	m.resolvingHolder = attemptID != m.current.AttemptID
	if m.expired(now) {
		return m.tick(now)
	}
	if attemptID == m.unreachableHolderID {
		m.unreachableHolderID = ""
		m.resolveScheduled, m.nextResolve = true, now+m.cfg.ResolveInterval
		return nil
	}
	return []Action{m.resolveAction}
}

// keyRecord handles the ledger's record of the key, which usually names an attempt
// of an earlier copy of the request at this router or another router.
func (m *StateMachine) keyRecord(now time.Duration, in KeyRecord) []Action {
	if m.state != stateClaiming && m.state != stateLookingUp {
		return nil
	}
	m.ledgerReplied = true
	recheck := m.resolvingHolder
	m.resolvingHolder = false
	switch in.State {
	case KeyUnclaimed:
		if recheck && m.attempts > 0 && !m.expired(now) {
			m.state, m.previousAttemptID = stateClaiming, ""
			return []Action{m.claim()}
		}
		if m.state == stateLookingUp {
			return m.finish(m.lastCode, m.lastReason)
		}
		return []Action{m.claim()}
	case KeyClaimed:
		if in.AttemptID == m.unresolvableHolderID {
			return m.finishUnresolvable(in.AttemptID)
		}
		return m.startResolve(now, in.AttemptID, in.Endpoint, in.AgentIncarnation)
	case KeyDone:
		m.state = stateFinished
		if in.HasAnswer {
			return []Action{Finish{Outcome: OutcomeDone, Reason: "recorded", Answer: in.Answer}}
		}
		return []Action{Finish{Outcome: OutcomeUnknown, Code: CodeAnswerExpired, Reason: "the request ran; its answer is no longer kept"}}
	case KeyNotRun:
		return m.finish(CodeAlreadyNotRun, "the key was closed without running")
	case KeyReused:
		return m.finish(CodeKeyReused, "the key belongs to a request with another body")
	}
	m.mayHaveRun = true
	return m.finish(CodeOutcomeUnknown, "an earlier copy may have run")
}

func (m *StateMachine) resolveResult(now time.Duration, in ResolveResult) []Action {
	if m.state != stateResolving || in.AttemptID != m.resolveAction.AttemptID || m.resolveScheduled {
		return nil
	}
	switch in.Outcome {
	case ResolvedDone:
		return m.complete(in.AttemptID, "resolved", in.HasAnswer, in.Answer)
	case ResolvedNotRun:
		return m.resolvedNotRun(now)
	case ResolvedUnknown:
		if !m.resolvingHolder {
			return m.finishUnresolvable(in.AttemptID)
		}
		// The holder may have ended or been replaced since the ledger was read.
		m.unresolvableHolderID, m.state = in.AttemptID, stateLookingUp
		return []Action{Lookup{}}
	}
	if m.expired(now) {
		return m.tick(now)
	}
	if in.Outcome == ResolvedUnreachable && m.resolvingHolder {
		m.state = stateLookingUp
		m.unreachableHolderID = in.AttemptID
		return []Action{Lookup{}}
	}
	m.resolveScheduled, m.nextResolve = true, now+m.cfg.ResolveInterval
	return nil
}

// finishUnresolvable ends a request when the agent no longer knows the outcome of
// the attempt.
func (m *StateMachine) finishUnresolvable(attemptID string) []Action {
	m.mayHaveRun = true
	finish := FinishClaim{AttemptID: attemptID, State: FinalUnknown}
	return append([]Action{finish}, m.finish(CodeOutcomeUnknown, "the agent can't tell what became of the attempt")...)
}

// resolvedNotRun continues the request after the agent fenced the attempt.
func (m *StateMachine) resolvedNotRun(now time.Duration) []Action {
	m.previousAttemptID = m.resolveAction.AttemptID
	if !m.resolvingHolder {
		m.mayHaveRun = false
		return m.ended("connection_lost", false)
	}
	m.resolvingHolder = false
	if m.expired(now) {
		return m.finish(CodeDeadline, "time is up")
	}
	if m.attempts == 0 {
		// No endpoint was available, and the earlier copy did not run either.
		return m.finish(m.lastCode, m.lastReason)
	}
	m.state = stateClaiming
	return []Action{m.claim()}
}

// awaitsLedger reports whether only the ledger can tell if an earlier copy of the
// request ran.
func (m *StateMachine) awaitsLedger() bool {
	return m.state == stateLookingUp || m.state == stateClaiming && !m.ledgerReplied
}

// releaseKey releases the claim of the key when the request ends without having run.
func (m *StateMachine) releaseKey(outcome Outcome) []Action {
	if m.req.AtMostOnce && outcome == OutcomeNotRun && m.previousAttemptID != "" {
		return []Action{FinishClaim{AttemptID: m.previousAttemptID, State: FinalReleased}}
	}
	return nil
}
