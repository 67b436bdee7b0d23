package budget

import "time"

// burstTime is how much of its rate a team may save up. It evens out arrivals
// that the load balancer spreads unevenly over routers.
const burstDuration = 2 * time.Second

// bucket is a token bucket.
type tokenBucket struct {
	available  float64
	refilledAt time.Duration
}

// refill adds what the rate gives since the last call, up to the burst.
func (b *tokenBucket) refill(now time.Duration, rate, burst float64) {
	if now > b.refilledAt {
		b.available = min(burst, b.available+rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// team is the state of one limited team.
type teamBuckets struct {
	requests, tokens tokenBucket
}

// Teams divides team limits among routers: each of n routers grants a share of
// 1/n of every limit, with n taken from membership. The load balancer spreads
// callers evenly, so no router needs to know what another one grants.
type TeamLimits struct {
	routers int
	buckets map[string]*teamBuckets
}

// NewTeams returns limits for a single router.
func NewTeamLimits() *TeamLimits { return &TeamLimits{routers: 1, buckets: map[string]*teamBuckets{}} }

// SetRouters sets the number of live routers, this one included.
func (t *TeamLimits) SetRouters(n int) { t.routers = max(n, 1) }

// Allow reports whether a request of the team with the given number of tokens
// is within this router's part of the limits, and charges it. A limit of 0
// doesn't apply. When refused, wait is the time until it would be allowed.
func (t *TeamLimits) Allow(now time.Duration, name string, requestsPerSecond, tokensPerSecond float64, tokens int) (ok bool, wait time.Duration) {
	if requestsPerSecond <= 0 && tokensPerSecond <= 0 {
		return true, 0
	}
	buckets, known := t.buckets[name]
	if !known {
		// A new router starts with half a burst, so that a herd of restarted
		// routers doesn't grant a whole burst again.
		buckets = &teamBuckets{
			requests: tokenBucket{t.capacity(requestsPerSecond, 1) / 2, now},
			tokens:   tokenBucket{t.capacity(tokensPerSecond, float64(tokens)) / 2, now},
		}
		t.buckets[name] = buckets
	}
	waitRequests := t.waitTime(&buckets.requests, now, requestsPerSecond, 1)
	waitTokens := t.waitTime(&buckets.tokens, now, tokensPerSecond, float64(tokens))
	if wait = max(waitRequests, waitTokens); wait > 0 {
		return false, wait
	}
	buckets.requests.available--
	buckets.tokens.available -= float64(tokens)
	return true, 0
}

// burst returns the capacity of a bucket; it holds at least one request.
func (t *TeamLimits) capacity(rate, need float64) float64 {
	return max(rate/float64(t.routers)*burstDuration.Seconds(), need)
}

// check refills a bucket and returns the time until it holds need.
func (t *TeamLimits) waitTime(b *tokenBucket, now time.Duration, rate, need float64) time.Duration {
	if rate <= 0 {
		b.available = need
		return 0
	}
	share := rate / float64(t.routers)
	b.refill(now, share, t.capacity(rate, need))
	if b.available >= need {
		return 0
	}
	return time.Duration((need - b.available) / share * float64(time.Second))
}
