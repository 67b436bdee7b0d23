package relay

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/poison"
	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/fleet"
)

// heldPlace is a place that is held at an endpoint for the next attempt of a request. It counts
// as a running request, also for other routers.
type heldPlace struct {
	choice  selection.Choice
	request *selection.Request
}

// moveOutcome is whether an attempt was ended so that its request goes on elsewhere, or why not.
type moveOutcome string

const (
	moved          moveOutcome = "moved"
	attemptEnded   moveOutcome = "ended"
	noOtherPlace   moveOutcome = "no_endpoint"
	partCondemned  moveOutcome = reasonPartCrashesEngines
	noBudgetToMove moveOutcome = "budget"
)

// moveReason is why a running attempt is to be ended so that its request goes on elsewhere.
type moveReason struct {
	// cause is the cause with which the attempt is cancelled.
	cause error
	// budgetShare is the share of the retry budget that may be used.
	budgetShare float64
	// forWeights is true if the endpoint works and only changes its weights later.
	forWeights bool
}

var (
	movedForSilence = moveReason{cause: errResponseTimeout, budgetShare: 1}
	movedForWeights = moveReason{cause: errMovedForWeightsChange, budgetShare: streamMoveBudgetShare, forWeights: true}
)

// moveLocked ends a running attempt if its request can go on at another endpoint. It first holds a
// place there and charges the retry budget for the next attempt, so that what works is not given up
// for nothing. routers is the number of routers that share the budget. The caller holds the relay's
// lock.
func (a *attempt) moveLocked(reason moveReason, routers int) moveOutcome {
	r := a.relay
	if a.place != nil || !r.runningAttempts[a.choice.Endpoint.ID][a] {
		return attemptEnded
	}
	if verdict, _ := r.suspects.Decide(r.now(), a.sharedParts); verdict == poison.Refuse {
		return partCondemned
	}
	v, request := r.directory.View(), a.selectionRequest()
	request.Exclude = append(slices.Clone(request.Exclude), a.choice.Endpoint.ID)
	request.CacheNamespace = r.teamNamespaceLocked(v.Config, a.req.Team)
	if reason.forWeights {
		request.MovedForWeightsChange, request.FreeSlot = true, true
	}
	choice, ok := a.selectLocked(v, request)
	if !ok {
		return noOtherPlace
	}
	budget := r.retryBudgetLocked(a.req.Service, routers)
	allowed := budget.AllowShare(r.now(), reason.budgetShare)
	if !reason.forWeights {
		r.logBudgetChangeLocked(a.req.Service, budget, allowed)
	}
	if !allowed {
		return noBudgetToMove
	}
	r.selector.ObserveStarted(r.now(), request, choice)
	a.place = &heldPlace{choice, request}
	a.cancel(reason.cause)
	return moved
}

// selectLocked selects an endpoint, with the software versions that may run the request in order
// of preference. The caller holds the relay's lock.
func (x *execution) selectLocked(v *fleet.View, request *selection.Request) (selection.Choice, bool) {
	r := x.relay
	choice, ok := r.selector.Select(r.now(), time.Now(), v, request)
	for i := 1; !ok && i < len(x.softwareVersions); i++ {
		request.SoftwareVersion = x.softwareVersions[i]
		choice, ok = r.selector.Select(r.now(), time.Now(), v, request)
	}
	return choice, ok
}

// takePlace returns the choice of the place that is held for the next attempt, if there is one and
// its endpoint still takes requests. The request then counts as started there.
func (x *execution) takePlace() (selection.Choice, bool) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	p := x.place
	if p == nil {
		return selection.Choice{}, false
	}
	if !x.placeUsableLocked() {
		x.releasePlaceLocked()
		return selection.Choice{}, false
	}
	x.teamNamespace, x.place = p.request.CacheNamespace, nil
	return p.choice, true
}

// placeUsableLocked reports whether the request may still be sent to the place that is held for
// it: the endpoint, the team's isolation or a prompt part may have changed since.
func (x *execution) placeUsableLocked() bool {
	r, v := x.relay, x.relay.directory.View()
	e := v.EndpointsByID[x.place.choice.Endpoint.ID]
	if e == nil || e.State != fleet.Ready || e.Address != x.place.choice.Endpoint.Address || r.selector.Availability(r.now(), e) == selection.ChangingWeights {
		return false
	}
	if r.teamNamespaceLocked(v.Config, x.req.Team) != x.place.request.CacheNamespace {
		return false
	}
	x.condemned = !x.beginLocked()
	return !x.condemned
}

// releasePlace gives back a place that is held for an attempt that will not be made.
func (x *execution) releasePlace() {
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	x.releasePlaceLocked()
}

func (x *execution) releasePlaceLocked() {
	p := x.place
	if p == nil {
		return
	}
	x.place = nil
	r := x.relay
	r.selector.ObservePrefillEnded(p.request, p.choice, false)
	r.selector.ObserveEnded(r.now(), p.request, p.choice, selection.OutcomeNeutral)
}

// silentPollInterval is the time between two looks for a place for a request whose endpoint is
// silent.
const silentPollInterval = 250 * time.Millisecond

// onSilence moves the request of an attempt whose endpoint has sent nothing for too long. While
// no other endpoint can take it, or the retry budget does not allow that, the attempt goes on: an
// engine that lacks memory pauses some of its streams. The caller, who may leave, and the deadline
// end the wait.
func (a *attempt) onSilence() {
	if left := time.Until(time.Unix(0, a.silentAt.Load())); a.writing.Load() || left > 0 {
		a.silenceTimer.Reset(max(left, silentPollInterval))
		return
	}
	routers := a.relay.directory.RouterCount()
	a.relay.mu.Lock()
	defer a.relay.mu.Unlock()
	outcome := a.moveLocked(movedForSilence, routers)
	if outcome == moved || outcome == attemptEnded {
		return
	}
	if !a.keptWhileSilent {
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
	a.silenceTimer.Reset(silentPollInterval)
}

// observeProgress records that the endpoint has sent output, after which it counts as silent
// only later.
func (a *attempt) observeProgress() {
	if a.silenceTimer != nil {
		a.silentAt.Store(time.Now().Add(maxEventGap).UnixNano())
		a.silenceTimer.Reset(maxEventGap)
	}
}
