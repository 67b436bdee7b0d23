package selection

import (
	"testing"

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
