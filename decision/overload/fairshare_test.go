package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a large team that is held back under pressure at its usual rate although its
// quota tells that it needs more than others, and against a small one that sends three times
// its quota's part beside it.
func TestFairShareFollowsTheQuotas(t *testing.T) {
	excess := func(quotas bool, largeRequests, smallRequests int) (large, small float64) {
		c := New(Config{HoldShare: 0.125, IdleShare: 0.02, MaxRetryAfter: 2 * time.Second, CostAware: true})
		send := func(now time.Duration, team string, rate float64, n int) (d Decision) {
			r := Request{Route: "r", Objective: time.Second, Remaining: 10 * time.Second, Patience: 4 * time.Second, Team: team, Tokens: 1000}
			if quotas {
				r.QuotaRate = rate
			}
			for range n {
				d = c.Admit(now, r, Estimate{Prefill: 20 * time.Millisecond})
			}
			return d
		}
		for now := time.Duration(0); now < 10*time.Second; now += time.Second {
			large = send(now, "large", 800000, largeRequests).TeamExcess
			for _, team := range []string{"b", "c", "d"} {
				small = send(now, team, 100000, smallRequests).TeamExcess
			}
		}
		return large, small
	}
	large, small := excess(true, 80, 10)
	assert.Assert(t, large < 0.1 && small < 0.1, "%v %v", large, small)
	large, _ = excess(false, 80, 10)
	assert.Assert(t, large > 1, "%v", large)
	_, small = excess(true, 80, 60)
	assert.Assert(t, small > 0.2, "%v", small)
}
