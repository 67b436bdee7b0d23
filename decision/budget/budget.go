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
	FirstPerRetry = 10

	retryBuckets = 100
	bucketWidth  = RetryWindow / retryBuckets
)

// Retry bounds retries to a share of the first attempts of the ten seconds that
// end with the retry, and a constant beside it. Counts are kept in buckets: retries of a bucket that is
// partly in the window count in full and first attempts not at all, so the
// bound is never exceeded. A Retry starts without credit but its slack.
type Retry struct {
	// Ratio is the number of retries that one first attempt allows, 0 for a
	// tenth.
	Ratio float64
	// Slack is the number of retries that are allowed beyond the ratio.
	Slack float64

	first, retry [retryBuckets + 1]int
	sumFirst     int
	sumRetry     int
	// bucket is the number of the current bucket.
	bucket int64
}

// slot returns the array position of a bucket.
func slot(bucket int64) int { return int(bucket % (retryBuckets + 1)) }

// advance drops the buckets that left the window. Time that runs backwards is
// taken as no progress.
func (r *Retry) advance(now time.Duration) {
	bucket := int64(now / bucketWidth)
	if bucket-r.bucket > retryBuckets {
		*r = Retry{Ratio: r.Ratio, Slack: r.Slack, bucket: bucket}
		return
	}
	for r.bucket < bucket {
		r.bucket++
		i := slot(r.bucket)
		r.sumFirst -= r.first[i]
		r.sumRetry -= r.retry[i]
		r.first[i], r.retry[i] = 0, 0
	}
}

// First records a first attempt.
func (r *Retry) First(now time.Duration) {
	r.advance(now)
	r.first[slot(r.bucket)]++
	r.sumFirst++
}

// Allow reports whether one more retry is within the budget and records it.
func (r *Retry) Allow(now time.Duration) bool { return r.AllowShare(now, 1) }

// AllowShare is like Allow for less important retries, which may use a share of
// the budget only.
func (r *Retry) AllowShare(now time.Duration, share float64) bool {
	r.advance(now)
	// The oldest bucket is only partly in the window.
	firsts := r.sumFirst - r.first[slot(r.bucket+1)]
	if float64(r.sumRetry+1) > share*r.allowed(firsts) {
		return false
	}
	r.retry[slot(r.bucket)]++
	r.sumRetry++
	return true
}

// Counts returns the first attempts and the retries of the window.
func (r *Retry) Counts(now time.Duration) (first, retry int) {
	r.advance(now)
	return r.sumFirst, r.sumRetry
}

func (r *Retry) allowed(firsts int) float64 {
	if r.Ratio == 0 {
		return float64(firsts/FirstPerRetry) + r.Slack
	}
	return r.Ratio*float64(firsts) + r.Slack
}
