package budget

import "time"

// burstDuration is how long a team may save up unused rate for a burst. Bursts allow
// for requests that the load balancer spreads unevenly over routers.
const burstDuration = 2 * time.Second

// tokenBucket is a token bucket. Its rate and capacity are passed to each call.
type tokenBucket struct {
	available  float64
	refilledAt time.Duration
}

// refill adds the tokens earned since the last call, up to the capacity burst.
func (b *tokenBucket) refill(now time.Duration, rate, burst float64) {
	if now > b.refilledAt {
		b.available = min(burst, b.available+rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// teamBuckets holds the buckets of one limited team.
type teamBuckets struct {
	requests, tokens tokenBucket
}

// TeamLimits divides the limits of teams among routers: each of n routers grants 1/n
// of every limit, with n taken from membership. The load balancer spreads callers
// evenly, so no router needs to know what another router grants.
type TeamLimits struct {
	routerCount int
	buckets     map[string]*teamBuckets
}

// NewTeamLimits returns limits for a single router.
func NewTeamLimits() *TeamLimits {
	return &TeamLimits{routerCount: 1, buckets: map[string]*teamBuckets{}}
}

// SetRouterCount sets the number of live routers, this router included.
func (t *TeamLimits) SetRouterCount(n int) { t.routerCount = max(n, 1) }

// Allow reports whether a request of the team with the given number of tokens is
// within this router's share of the limits, and if so charges it. A limit of 0 does
// not apply. For a refused request, wait is the time until it would be allowed.
func (t *TeamLimits) Allow(now time.Duration, team string, requestsPerSecond, tokensPerSecond float64, tokens int) (ok bool, wait time.Duration) {
	if requestsPerSecond <= 0 && tokensPerSecond <= 0 {
		return true, 0
	}
	buckets, known := t.buckets[team]
	if !known {
		// A new router starts with half a burst, so that routers restarting
		// together do not grant another full burst.
		buckets = &teamBuckets{
			requests: tokenBucket{t.capacity(requestsPerSecond, 1) / 2, now},
			tokens:   tokenBucket{t.capacity(tokensPerSecond, float64(tokens)) / 2, now},
		}
		t.buckets[team] = buckets
	}
	waitRequests := t.refillAndWaitTime(&buckets.requests, now, requestsPerSecond, 1)
	waitTokens := t.refillAndWaitTime(&buckets.tokens, now, tokensPerSecond, float64(tokens))
	if wait = max(waitRequests, waitTokens); wait > 0 {
		return false, wait
	}
	buckets.requests.available--
	buckets.tokens.available -= float64(tokens)
	return true, 0
}

// capacity returns the capacity of a bucket, which holds at least one request.
func (t *TeamLimits) capacity(rate, required float64) float64 {
	return max(rate/float64(t.routerCount)*burstDuration.Seconds(), required)
}

// refillAndWaitTime refills a bucket and returns the time until it holds the required
// tokens.
func (t *TeamLimits) refillAndWaitTime(b *tokenBucket, now time.Duration, rate, required float64) time.Duration {
	if rate <= 0 {
		b.available = required
		return 0
	}
	share := rate / float64(t.routerCount)
	b.refill(now, share, t.capacity(rate, required))
	if b.available >= required {
		return 0
	}
	return time.Duration((required - b.available) / share * float64(time.Second))
}
