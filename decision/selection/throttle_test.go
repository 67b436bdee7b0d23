package selection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests to an endpoint whose limit is used up while another one can run
// them, and against attempts that do not count against the limit.
func TestLimitedEndpointIsSelectedAtItsRate(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	s.Throttle().SetRouters("a", nil)
	r := newRequest(1, 2)
	preferred := runRequest(t, s, 0, v, r).Endpoint.ID
	s.Throttle().ObserveResponse(0, 0, preferred, 1)
	assert.Assert(t, mustSelect(t, s, 0, v, r).Endpoint.ID != preferred)
	count := 0
	for now := time.Duration(0); now <= 10*time.Second; now += 50 * time.Millisecond {
		// The limited endpoint holds the parts; the other one gets no request.
		c := mustSelect(t, s, now, v, r)
		if c.Endpoint.ID != preferred {
			continue
		}
		count++
		s.ObserveStarted(now, r, c)
		s.ObservePrefillEnded(r, c, false)
		s.ObserveEnded(now, r, c, OutcomeNeutral)
	}
	assert.Assert(t, count >= 8 && count <= 11, "%d requests in 10 s at 1 a second", count)
}

// Guards against callers that are not told when the first of several limited endpoints is
// ready.
func TestChoiceTellsWhenLimitedEndpointsAreReady(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	s.Throttle().SetRouters("a", nil)
	s.Throttle().ObserveResponse(0, 0, "e0", 1)
	s.Throttle().ObserveResponse(0, 0, "e1", 4)
	c, ok := s.Select(0, wall, v, newRequest(1, 2))
	assert.Assert(t, !ok)
	assert.Equal(t, c.ThrottledFor, 250*time.Millisecond)
	assert.Equal(t, c.ThrottledRate, 5.0)
}

// Guards against refusing a request at once, as if all endpoints were limited, while another
// endpoint is only full for a moment.
func TestOneLimitedEndpointDoesNotHideABusyOne(t *testing.T) {
	v, s := newView(2, 1), New(testConfig(), "a")
	s.Throttle().SetRouters("a", nil)
	s.Throttle().ObserveResponse(0, 0, "e0", 1)
	s.ReplaceRemoteLoads(nil, []EndpointLoad{{EndpointID: "e1", Running: 1000}})
	r := newRequest(1, 2)
	c, ok := s.Select(0, wall, v, r)
	assert.Assert(t, !ok)
	assert.Equal(t, c.ThrottledFor, time.Duration(0))
	r.Exclude = []string{"e1"}
	c, ok = s.Select(0, wall, v, r)
	assert.Assert(t, !ok)
	assert.Equal(t, c.ThrottledFor, time.Second)
}
