package attempt

import "time"

func (m *Machine) claim() Action {
	return Claim{m.current.Attempt, m.current.Endpoint, m.current.Incarnation, m.previousAttempt}
}

func (m *Machine) claimResult(now time.Duration, in ClaimResult) []Action {
	if m.state == stateLookingUp {
		if m.resolvingHolder {
			// The holder is asked again until the time is up.
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
		m.previousAttempt = m.current.Attempt
		return m.finish(CodeDeadline, "time is up before the claim was recorded")
	}
	m.state = stateSent
	m.mayHaveRun, m.previousAttempt = true, ""
	return []Action{m.current}
}

func (m *Machine) startResolve(now time.Duration, attempt, endpoint string, incarnation uint64) []Action {
	m.state, m.resolveScheduled = stateResolving, false
	m.resolve = Resolve{attempt, endpoint, incarnation}
	m.resolvingHolder = attempt != m.current.Attempt
	if m.expired(now) {
		return m.tick(now)
	}
	if attempt == m.unreachableHolder {
		m.unreachableHolder = ""
		m.resolveScheduled, m.nextResolve = true, now+m.cfg.ResolveInterval
		return nil
	}
	return []Action{m.resolve}
}

// heldBy handles a key that another attempt holds: an earlier copy of the
// request, at this router or another one.
func (m *Machine) keyRecord(now time.Duration, in KeyRecord) []Action {
	if m.state != stateClaiming && m.state != stateLookingUp {
		return nil
	}
	m.ledgerReplied = true
	recheck := m.resolvingHolder
	m.resolvingHolder = false
	switch in.State {
	case KeyUnclaimed:
		if recheck && m.attempts > 0 && !m.expired(now) {
			m.state, m.previousAttempt = stateClaiming, ""
			return []Action{m.claim()}
		}
		if m.state == stateLookingUp {
			return m.finish(m.lastCode, m.lastReason)
		}
		return []Action{m.claim()}
	case KeyClaimed:
		if in.Attempt == m.unresolvableHolder {
			return m.finishUnresolvable(in.Attempt)
		}
		return m.startResolve(now, in.Attempt, in.Endpoint, in.Incarnation)
	case KeyDone:
		m.state = stateFinished
		if in.HasAnswer {
			return []Action{Finish{Outcome: OutcomeDone, Reason: "recorded", Answer: in.Answer}}
		}
		return []Action{Finish{Outcome: OutcomeUnknown, Code: CodeAnswerExpired, Reason: "the request ran; its answer is no longer kept"}}
	case KeyNotRun:
		return m.finish(CodeAlreadyNotRun, "the key was closed without running")
	case KeyBodyMismatch:
		return m.finish(CodeKeyReused, "the key belongs to a request with another body")
	}
	m.mayHaveRun = true
	return m.finish(CodeOutcomeUnknown, "an earlier copy may have run")
}

func (m *Machine) resolved(now time.Duration, in Resolved) []Action {
	if m.state != stateResolving || in.Attempt != m.resolve.Attempt || m.resolveScheduled {
		return nil
	}
	switch in.Outcome {
	case ResolvedDone:
		return m.complete(in.Attempt, "resolved", in.HasAnswer, in.Answer)
	case ResolvedNotRun:
		return m.resolvedNotRun(now)
	case ResolvedUnknown:
		if !m.resolvingHolder {
			return m.finishUnresolvable(in.Attempt)
		}
		// The holder may have been replaced, or have ended, since the ledger
		// was read.
		m.unresolvableHolder, m.state = in.Attempt, stateLookingUp
		return []Action{Lookup{}}
	}
	if m.expired(now) {
		return m.tick(now)
	}
	if in.Outcome == ResolvedUnreachable && m.resolvingHolder {
		m.state = stateLookingUp
		m.unreachableHolder = in.Attempt
		return []Action{Lookup{}}
	}
	m.resolveScheduled, m.nextResolve = true, now+m.cfg.ResolveInterval
	return nil
}

// lostForGood ends a request whose agent can't tell any more what became of it.
func (m *Machine) finishUnresolvable(attempt string) []Action {
	m.mayHaveRun = true
	record := RecordEnd{Attempt: attempt, State: EndUnknown}
	return append([]Action{record}, m.finish(CodeOutcomeUnknown, "the agent can't tell what became of the attempt")...)
}

// resolvedNotRun goes on once the agent has fenced the attempt.
func (m *Machine) resolvedNotRun(now time.Duration) []Action {
	m.previousAttempt = m.resolve.Attempt
	if !m.resolvingHolder {
		m.mayHaveRun = false
		return m.ended("connection_lost", false)
	}
	m.resolvingHolder = false
	if m.expired(now) {
		return m.finish(CodeDeadline, "time is up")
	}
	if m.attempts == 0 {
		// The request had no endpoint; the earlier copy did not run either.
		return m.finish(m.lastCode, m.lastReason)
	}
	m.state = stateClaiming
	return []Action{m.claim()}
}

// awaitsLedger reports whether the answer of the ledger decides what may be
// said about an earlier copy of the request.
func (m *Machine) awaitsLedger() bool {
	return m.state == stateLookingUp || m.state == stateClaiming && !m.ledgerReplied
}

// release asks to free the key when the request ends without having run.
func (m *Machine) releaseKey(outcome Outcome) []Action {
	if m.req.AtMostOnce && outcome == OutcomeNotRun && m.previousAttempt != "" {
		return []Action{RecordEnd{Attempt: m.previousAttempt, State: EndReleased}}
	}
	return nil
}
