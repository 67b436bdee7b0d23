package selection

import (
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// Use says whether an endpoint gets requests.
type Use string

// Uses of an endpoint, most lasting reason first.
const (
	Used       Use = "used"
	IsDraining Use = "draining"
	// ChangesWeights endpoints get no requests until they have new weights.
	ChangesWeights Use = "changes_weights"
	// IsSuspended endpoints failed and get no requests for some time.
	IsSuspended Use = "suspended"
	// OnTrial endpoints failed and get one request at a time.
	OnTrial Use = "on_trial"
	IsFull  Use = "full"
	// RefusedLately endpoints refused a request a moment ago.
	RefusedLately Use = "refused_lately"
	// NoLongRequests endpoints prepare for a change of weights.
	NoLongRequests Use = "no_long_requests"
)

// Use returns whether the endpoint gets requests, or the reason why not.
func (s *Selector) Use(now time.Duration, e *fleet.Endpoint) Use {
	st := s.state[e.ID]
	switch {
	case e.State == fleet.Draining:
		return IsDraining
	case st == nil:
		return Used
	case st.swapping(now, e):
		return ChangesWeights
	case st.suspensions > 0 && now < st.until:
		return IsSuspended
	case st.suspensions > 0:
		return OnTrial
	case st.full(e):
		return IsFull
	case now < st.busyUntil:
		return RefusedLately
	case st.swapsSoon(now, e):
		return NoLongRequests
	}
	return Used
}

// Unread returns the unread prompt tokens of all routers at an endpoint.
func (s *Selector) Unread(endpoint string) int {
	st := s.endpoint(endpoint)
	return st.unread + st.remoteUnread
}
