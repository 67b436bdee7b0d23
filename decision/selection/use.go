package selection

import (
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// Use says whether an endpoint gets requests.
type Availability string

// Uses of an endpoint, most lasting reason first.
const (
	Available Availability = "used"
	Draining  Availability = "draining"
	// ChangesWeights endpoints get no requests until they have new weights.
	ChangingWeights Availability = "changes_weights"
	// IsSuspended endpoints failed and get no requests for some time.
	Suspended Availability = "suspended"
	// OnTrial endpoints failed and get one request at a time.
	OnTrial Availability = "on_trial"
	Full    Availability = "full"
	// RefusedLately endpoints refused a request a moment ago.
	RecentlyRefused Availability = "refused_lately"
	// NoLongRequests endpoints prepare for a change of weights.
	ShortRequestsOnly Availability = "no_long_requests"
)

// Use returns whether the endpoint gets requests, or the reason why not.
func (s *Selector) Availability(now time.Duration, e *fleet.Endpoint) Availability {
	st := s.endpoints[e.ID]
	switch {
	case e.State == fleet.Draining:
		return Draining
	case st == nil:
		return Available
	case st.changingWeights(now, e):
		return ChangingWeights
	case st.suspensions > 0 && now < st.suspendedUntil:
		return Suspended
	case st.suspensions > 0:
		return OnTrial
	case st.full(e):
		return Full
	case now < st.refusalBackoffUntil:
		return RecentlyRefused
	case st.changingWeightsSoon(now, e):
		return ShortRequestsOnly
	}
	return Available
}

// Unread returns the unread prompt tokens of all routers at an endpoint.
func (s *Selector) PendingPrefillTokens(endpoint string) int {
	st := s.endpointState(endpoint)
	return st.pendingPrefill + st.remotePendingPrefill
}
