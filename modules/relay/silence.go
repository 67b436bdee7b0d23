package relay

import (
	"time"

	"github.com/sirupsen/logrus"
)

// maxEventGap is the longest pause between events of a resumable stream before
// the stream moves to another endpoint. Callers disconnect after a pause of two
// seconds.
const maxEventGap = 1200 * time.Millisecond

// silentPollInterval is the time between two looks for a place for a request whose endpoint is
// silent. Callers wait for at least a second after the first one.
const silentPollInterval = 250 * time.Millisecond

// firstByteTimeout returns how long the attempt may wait for the first byte of the
// response, or 0 if only the request's deadline limits it.
func (a *attempt) firstByteTimeout() time.Duration {
	if !a.req.Route.Repeatable() || a.mayHaveRunCount+1 >= a.req.Route.MaxAttempts {
		return 0
	}
	return time.Duration(firstByteTimeoutFactor * float64(a.req.Route.LatencyObjective))
}

// onSilence moves the request of an attempt whose endpoint has sent nothing for too long. While
// no other endpoint can take it, or the retry budget does not allow that, the attempt goes on: an
// engine that lacks memory pauses some of its streams. The caller, who may leave, and the deadline
// end the wait.
func (a *attempt) onSilence() {
	r := a.relay
	if left := time.Duration(a.silentAt.Load()) - r.now(); left > 0 || a.writing.Load() {
		a.silenceTimer.Reset(max(left, silentPollInterval))
		return
	}
	routers := r.directory.RouterCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome := a.moveLocked(movedForSilence, routers); outcome {
	case moveBegun, moveTooLate:
	default:
		a.keepWhileSilentLocked(outcome)
		a.silenceTimer.Reset(silentPollInterval)
	}
}

// keepWhileSilentLocked logs, the first time, that the attempt goes on, and why. An endpoint that has
// sent no output at all gets no further requests. The caller holds the relay's lock.
func (a *attempt) keepWhileSilentLocked(outcome moveOutcome) {
	if a.keptWhileSilent {
		return
	}
	a.keptWhileSilent = true
	a.relay.metrics.silentAttemptsKept.WithLabelValues(string(outcome)).Inc()
	a.log().WithFields(logrus.Fields{
		"endpoint": a.choice.Endpoint.ID, "try": a.attempts, "reason": string(outcome), "begun": a.prefillEndRecorded,
		"try_ms": time.Since(a.startedAt).Milliseconds(),
	}).Warn("endpoint is silent and no other one can take the request")
	if !a.prefillEndRecorded {
		a.relay.selector.ObserveSilence(a.relay.now(), a.choice.Endpoint.ID)
	}
}

// observeProgress records that the endpoint has sent output, or that the caller has taken it. The
// endpoint counts as silent only maxEventGap later.
func (a *attempt) observeProgress() {
	if a.silenceTimer != nil {
		a.silentAt.Store(int64(a.relay.now() + maxEventGap))
		a.silenceTimer.Reset(maxEventGap)
	}
}
