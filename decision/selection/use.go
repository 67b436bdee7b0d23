package selection

import (
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// Availability tells whether an endpoint gets requests, or the reason why not.
type Availability string

// Availabilities of an endpoint, ordered from the longest-lasting reason to the
// shortest.
const (
	Available Availability = "used"
	Draining  Availability = "draining"
	// ChangingWeights endpoints get no requests until they have loaded the new
	// weights version.
	ChangingWeights Availability = "changes_weights"
	// Suspended endpoints failed and get no requests for some time.
	Suspended Availability = "suspended"
	// OnTrial endpoints were suspended and get one request at a time.
	OnTrial Availability = "on_trial"
	// Full endpoints have as many requests as they can run and queue.
	Full Availability = "full"
	// RecentlyRefused endpoints refused a request a moment ago.
	RecentlyRefused Availability = "refused_lately"
	// ShortRequestsOnly endpoints will change their weights soon and get no long
	// requests.
	ShortRequestsOnly Availability = "no_long_requests"
)

// Availability returns whether the endpoint gets requests, or the reason why not.
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

// PendingPrefillTokens returns the number of prompt tokens that an endpoint still has
// to compute for the requests of all routers.
func (s *Selector) PendingPrefillTokens(endpointID string) int {
	st := s.endpointState(endpointID)
	return st.pendingPrefillTokens + st.remotePendingPrefillTokens
}

// LoadsBySource returns the work at an endpoint of this router and of all other routers.
func (s *Selector) LoadsBySource(endpointID string) (own, remote EndpointLoad) {
	st := s.endpointState(endpointID)
	return EndpointLoad{EndpointID: endpointID, Running: st.running, PendingPrefillTokens: st.pendingPrefillTokens, LongRunning: st.longRunning},
		EndpointLoad{EndpointID: endpointID, Running: st.remoteRunning, PendingPrefillTokens: st.remotePendingPrefillTokens, LongRunning: st.remoteLongRunning}
}
