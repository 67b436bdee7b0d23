package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testConfig = Config{HoldShare: 0.125, IdleShare: 0.02, MaxRetryAfter: 2 * time.Second}

func testRequest() Request {
	return Request{Route: "r", Objective: 800 * time.Millisecond, Remaining: 10 * time.Second}
}

// Guards against sending work that is expected to be late, refusing at once what a short
// wait may save, and holding back what cannot be served.
func TestDecisions(t *testing.T) {
	for name, c := range map[string]struct {
		request Request
		wait    time.Duration
		prefill time.Duration
		want    Verdict
	}{
		"in time":                       {testRequest(), 300 * time.Millisecond, 200 * time.Millisecond, Start},
		"late within the margin":        {testRequest(), 400 * time.Millisecond, 200 * time.Millisecond, Wait},
		"late after the hold":           {Request{Route: "r", Objective: 800 * time.Millisecond, Remaining: 10 * time.Second, Held: 100 * time.Millisecond}, 400 * time.Millisecond, 200 * time.Millisecond, RefuseOverload},
		"large prompt, idle endpoint":   {testRequest(), 16 * time.Millisecond, 3 * time.Second, Start},
		"large prompt, busy endpoint":   {testRequest(), 100 * time.Millisecond, 3 * time.Second, Wait},
		"after the deadline":            {Request{Route: "r", Objective: 800 * time.Millisecond, Remaining: time.Second}, 900 * time.Millisecond, 200 * time.Millisecond, RefuseDeadline},
		"after the deadline, when idle": {Request{Route: "r", Objective: 800 * time.Millisecond, Remaining: time.Second}, 0, 1200 * time.Millisecond, RefuseDeadline},
		"route without an objective":    {Request{Route: "r"}, 10 * time.Second, time.Second, Start},
	} {
		got := New(testConfig).Decide(c.request, Estimate{Wait: c.wait, Prefill: c.prefill})
		assert.Equal(t, got.String(), c.want.String(), name)
	}
}

// Guards against callers that were refused together and return together, and against a
// Retry-After beyond the time that callers honour.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	c := New(testConfig)
	e := Estimate{Wait: time.Second, Prefill: 400 * time.Millisecond}
	previous := time.Duration(0)
	for range 8 {
		got := c.RetryAfter(0, testRequest(), e, 4)
		assert.Assert(t, got > previous, "%s after %s", got, previous)
		previous = got
	}
	for range 100 {
		assert.Assert(t, c.RetryAfter(0, testRequest(), e, 4) <= testConfig.MaxRetryAfter)
	}
	short := testRequest()
	short.Remaining = 1500 * time.Millisecond
	assert.Equal(t, c.RetryAfter(0, short, e, 4), 500*time.Millisecond)
	assert.Equal(t, New(testConfig).RetryAfter(0, testRequest(), Estimate{}, 0), minRetryAfter)
}

// Guards against estimates that stay wrong: engines do more than prefill, and the margin
// must follow within some dozens of requests, both ways and within its bounds.
func TestMarginFollowsTheErrors(t *testing.T) {
	c, r, e := New(testConfig), testRequest(), Estimate{Prefill: 100 * time.Millisecond}
	for range 200 {
		c.ObserveFirstEvent(r, e, 450*time.Millisecond)
	}
	assert.Assert(t, c.Margin(r) > 300*time.Millisecond && c.Margin(r) < 400*time.Millisecond, "%s", c.Margin(r))
	for range 1000 {
		c.ObserveFirstEvent(r, e, 10*time.Second)
	}
	assert.Equal(t, c.Margin(r), share(r.Objective, maxMarginShare))
	for range 1000 {
		c.ObserveFirstEvent(r, e, 0)
	}
	assert.Equal(t, c.Margin(r), share(r.Objective, minMarginShare))
}
