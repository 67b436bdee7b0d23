// Package budget limits retries and the request rates of teams at one router, without
// a counter shared by routers.
package budget

import "time"

// Parameters of the retry budget.
const (
	// RetryWindow is the length of the sliding window in which retries are compared
	// with first attempts.
	RetryWindow = 10 * time.Second
	// FirstAttemptsPerRetry is the number of first attempts that allow one retry.
	FirstAttemptsPerRetry = 10

	retryBuckets = 100
	bucketWidth  = RetryWindow / retryBuckets
)

// RetryBudget limits the retries in RetryWindow, which ends with the retry, to Slack
// plus a share of the first attempts in the window. Counts are held in buckets. In a
// bucket that is partly in the window, all retries count and no first attempts, so the
// limit is never exceeded. A new RetryBudget allows Slack retries.
type RetryBudget struct {
	// Ratio is the number of retries that one first attempt allows. 0 means one
	// retry per FirstAttemptsPerRetry first attempts.
	Ratio float64
	// Slack is the number of retries allowed beyond the ratio.
	Slack float64

	firstAttempts, retries [retryBuckets + 1]int
	firstAttemptTotal      int
	retryTotal             int
	// currentBucket is the number of the current bucket since the origin of time.
	currentBucket int64
}

// bucketIndex returns the array index of a bucket.
func bucketIndex(bucket int64) int { return int(bucket % (retryBuckets + 1)) }

// advance drops the buckets that have left the window. It has no effect when now is
// earlier than in a previous call.
func (r *RetryBudget) advance(now time.Duration) {
	bucket := int64(now / bucketWidth)
	if bucket-r.currentBucket > retryBuckets {
		*r = RetryBudget{Ratio: r.Ratio, Slack: r.Slack, currentBucket: bucket}
		return
	}
	for r.currentBucket < bucket {
		r.currentBucket++
		i := bucketIndex(r.currentBucket)
		r.firstAttemptTotal -= r.firstAttempts[i]
		r.retryTotal -= r.retries[i]
		r.firstAttempts[i], r.retries[i] = 0, 0
	}
}

// RecordFirstAttempt records a first attempt.
func (r *RetryBudget) RecordFirstAttempt(now time.Duration) {
	r.advance(now)
	r.firstAttempts[bucketIndex(r.currentBucket)]++
	r.firstAttemptTotal++
}

// Allow reports whether the budget allows one more retry, and if so records it.
func (r *RetryBudget) Allow(now time.Duration) bool { return r.AllowShare(now, 1) }

// AllowShare is like Allow for less important retries, which may use only the given
// share of the budget.
func (r *RetryBudget) AllowShare(now time.Duration, share float64) bool {
	r.advance(now)
	// The oldest bucket is only partly in the window.
	firstAttempts := r.firstAttemptTotal - r.firstAttempts[bucketIndex(r.currentBucket+1)]
	if float64(r.retryTotal+1) > share*r.limit(firstAttempts) {
		return false
	}
	r.retries[bucketIndex(r.currentBucket)]++
	r.retryTotal++
	return true
}

// Counts returns the number of first attempts and retries in the window.
func (r *RetryBudget) Counts(now time.Duration) (firstAttempts, retries int) {
	r.advance(now)
	return r.firstAttemptTotal, r.retryTotal
}

// limit returns the number of retries that the first attempts allow.
func (r *RetryBudget) limit(firstAttempts int) float64 {
	if r.Ratio == 0 {
		return float64(firstAttempts/FirstAttemptsPerRetry) + r.Slack
	}
	return r.Ratio*float64(firstAttempts) + r.Slack
}
