package relay

import (
	"slices"
	"time"

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
	moveBegun       moveOutcome = "moved"
	moveTooLate     moveOutcome = "ended"
	moveNoPlace     moveOutcome = "no_endpoint"
	moveNoBudget    moveOutcome = "budget"
	movePartRefused moveOutcome = reasonPartCrashesEngines
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
		return moveTooLate
	}
	if verdict, _ := r.suspects.Decide(r.now(), a.sharedParts); verdict == poison.Refuse {
		return movePartRefused
	}
	v, request := r.directory.View(), a.selectionRequest()
	request.Exclude = append(slices.Clone(request.Exclude), a.choice.Endpoint.ID)
	request.CacheNamespace = r.teamNamespaceLocked(v.Config, a.req.Team)
	if reason.forWeights {
		request.MovedForWeightsChange, request.FreeSlot = true, true
	}
	choice, ok := a.selectLocked(v, request)
	if !ok {
		return moveNoPlace
	}
	retries := r.retryBudgetLocked(a.req.Service, routers)
	allowed := retries.AllowShare(r.now(), reason.budgetShare)
	if !reason.forWeights {
		r.logBudgetChangeLocked(a.req.Service, retries, allowed)
	}
	if !allowed {
		return moveNoBudget
	}
	r.selector.ObserveStarted(r.now(), request, choice)
	a.place = &heldPlace{choice, request}
	a.cancel(reason.cause)
	return moveBegun
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
