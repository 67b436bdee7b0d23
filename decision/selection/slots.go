package selection

import (
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// initialSlotTime is assumed until requests have ended: that of a short generation.
	initialSlotTime = 500 * time.Millisecond
	// newestSlotTimeWeight is the weight of the newest request in the average, which so follows
	// the last hundred.
	newestSlotTimeWeight = 0.02
)

// slotTime is the average time for which requests of a service occupy a slot of an endpoint.
type slotTime struct{ average time.Duration }

func (t *slotTime) observe(took time.Duration) {
	t.average += time.Duration(newestSlotTimeWeight * float64(max(0, took)-t.average))
}

func (s *Selector) slotTime(service string) *slotTime {
	t := s.slotTimes[service]
	if t == nil {
		t = &slotTime{initialSlotTime}
		s.slotTimes[service] = t
	}
	return t
}

// waitForSlot is the expected time until a slot is free for another request, after those that
// already wait for one.
func (s *Selector) waitForSlot(st *endpointState, e *fleet.Endpoint) time.Duration {
	waiting := st.running + st.remoteRunning - e.Slots
	if waiting < 0 || e.Slots <= 0 {
		return 0
	}
	return time.Duration(waiting+1) * s.slotTime(e.Service).average / time.Duration(e.Slots)
}
