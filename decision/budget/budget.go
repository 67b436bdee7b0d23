// Package budget bounds retries and team rates at one router without a central
// counter.
package budget

import "time"

// Window and ratio of the retry budget.
const (
	// RetryWindow is the time over which retries are compared with first
	// attempts.
	RetryWindow = 10 * time.Second
	// FirstPerRetry is the number of first attempts that allow one retry.
	FirstAttemptsPerRetry = 10

	retryBuckets = 100
	bucketWidth  = RetryWindow / retryBuckets
)

// Retry bounds retries to a share of the first attempts of the ten seconds that
// end with the retry, and a constant beside it. Counts are kept in buckets: retries of a bucket that is
// partly in the window count in full and first attempts not at all, so the
// bound is never exceeded. A Retry starts without credit but its slack.
type RetryBudget struct {
	// Ratio is the number of retries that one first attempt allows, 0 for a
	// tenth.
	Ratio float64
	// Slack is the number of retries that are allowed beyond the ratio.
	Slack float64

	firstAttempts, retries [retryBuckets + 1]int
	firstAttemptTotal      int
	retryTotal             int
	// bucket is the number of the current bucket.
	currentBucket int64
}

// slot returns the array position of a bucket.
func bucketIndex(bucket int64) int { return int(bucket % (retryBuckets + 1)) }

// advance drops the buckets that left the window. Time that runs backwards is
// taken as no progress.
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

// First records a first attempt.
func (r *RetryBudget) RecordFirstAttempt(now time.Duration) {
	r.advance(now)
	r.firstAttempts[bucketIndex(r.currentBucket)]++
	r.firstAttemptTotal++
}

// Allow reports whether one more retry is within the budget and records it.
func (r *RetryBudget) Allow(now time.Duration) bool { return r.AllowShare(now, 1) }

// AllowShare is like Allow for less important retries, which may use a share of
// the budget only.
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

// Counts returns the first attempts and the retries of the window.
func (r *RetryBudget) Counts(now time.Duration) (firstAttempts, retries int) {
	r.advance(now)
	return r.firstAttemptTotal, r.retryTotal
}

func (r *RetryBudget) limit(firstAttempts int) float64 {
	if r.Ratio == 0 {
		return float64(firstAttempts/FirstAttemptsPerRetry) + r.Slack
	}
	return r.Ratio*float64(firstAttempts) + r.Slack
}
