package selection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an expected wait of 0 at an endpoint whose slots are all taken by
// requests that generate: a request then counts as starting at once, and begins on
// weights past their limit.
func TestFullBatchHasAnExpectedWait(t *testing.T) {
	v, s := newView(1, 1), New(testConfig(), "a")
	for part := range uint64(v.EndpointsByID["e0"].Slots) {
		r := newRequest(1, part)
		c := mustSelect(t, s, 0, v, r)
		s.ObserveStarted(0, r, c)
		s.ObservePrefillEnded(r, c, true)
	}
	assert.Assert(t, mustSelect(t, s, 0, v, newRequest(1, 100)).Wait > 0)
}

// Guards against an expected wait that ignores how many requests wait for a slot already, how long
// those of the service take, or that a slot is free.
func TestWaitForASlotFollowsTheEndedRequests(t *testing.T) {
	v, s := newView(1, 1), New(testConfig(), "a")
	e := v.EndpointsByID["e0"]
	slots := e.Slots
	begin := func(now time.Duration) (*Request, Choice) {
		r := newRequest(1, 1)
		c := mustSelect(t, s, now, v, r)
		s.ObserveStarted(now, r, c)
		s.ObservePrefillEnded(r, c, true)
		return r, c
	}
	for range slots - 1 {
		begin(0)
	}
	assert.Equal(t, mustSelect(t, s, 0, v, newRequest(1, 1)).Wait, time.Duration(0))
	for n := range time.Duration(1000) {
		r, c := begin(n * time.Minute)
		s.ObserveEnded(n*time.Minute+4*time.Second, r, c, OutcomeGood)
	}
	begin(0)
	one := mustSelect(t, s, 0, v, newRequest(1, 1)).Wait
	assert.Assert(t, one > 3900*time.Millisecond/time.Duration(slots) && one < 4100*time.Millisecond/time.Duration(slots), "%v", one)
	begin(0)
	two := mustSelect(t, s, 0, v, newRequest(1, 1)).Wait
	assert.Assert(t, (two-2*one).Abs() < time.Microsecond, "%v, %v", one, two)
}
