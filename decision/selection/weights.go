package selection

import (
	"time"

	"github.com/arbutusline/arbutusline/fleet"
)

// weightsExpired reports whether the candidate's weights will have been superseded for
// too long when it starts the request.
func (d *decision) weightsExpired(c *candidate) bool {
	if !c.superseded || d.request.AllowExpiredWeights || d.request.Prompt == nil {
		return false
	}
	age, wait := d.wall.Sub(c.supersededAt), d.expectedWait(c)
	if c.weightsVersion < d.pool.newestLoadedVersion && age+wait > d.cfg.OldWeightsLimit+expiredWeightsTolerance {
		return true
	}
	return age+expiredWaitFactor*wait+d.prefillTime(d.request.Prompt.Tokens)+beginMargin > d.cfg.WeightsDeadline
}

const (
	// expiredWaitFactor multiplies the expected wait at an endpoint whose weights
	// expire, because the estimate leaves out running requests and a full KV memory.
	expiredWaitFactor = 2
	// beginMargin is the time before WeightsDeadline by which a request is expected to
	// begin. It covers the delay with which routers learn of a publication and the
	// error of the expected prefill time.
	beginMargin = time.Second
)

// expiredWeightsTolerance is how long after their limit weights may still be used when
// all other endpoints are busy.
const expiredWeightsTolerance = 1500 * time.Millisecond

// MustWithdraw reports whether a request that was sent to an endpoint with the given
// weights version and has not begun there must be withdrawn, so that it does not begin
// after WeightsDeadline. Wall is as for Select.
func (s *Selector) MustWithdraw(wall time.Time, v *fleet.View, model string, weightsVersion uint64) bool {
	supersededAt, superseded := v.SupersededAt(model, weightsVersion)
	return superseded && wall.Sub(supersededAt) > s.cfg.WeightsDeadline-withdrawMargin
}

// withdrawMargin is the time before WeightsDeadline at which requests are withdrawn. It
// covers the delay with which a router learns of a publication, and the time until an
// endpoint notices that the connection was closed.
const withdrawMargin = 500 * time.Millisecond

// expired is weightsExpired and records that it held for a candidate that is otherwise
// usable.
func (d *decision) expired(c *candidate) bool {
	if !d.weightsExpired(c) {
		return false
	}
	d.weightsExpiredSeen = true
	return true
}

// oldWeightsCost is the cost of running on weights that were superseded age ago, for a
// request that starts after about the given wait. It is higher for a stream that has
// moved for a weights change, because the stream would delay the weights change of
// its new endpoint too.
func (s *Selector) oldWeightsCost(age, wait time.Duration, movedForWeightsChange bool) time.Duration {
	switch {
	case age+2*wait > s.cfg.OldWeightsLimit:
		return s.cfg.OldWeightsCost * expiredWeightsFactor
	case movedForWeightsChange:
		return s.cfg.OldWeightsCost * movedOldWeightsFactor
	case age > s.cfg.OldWeightsGrace:
		return s.cfg.OldWeightsCost
	}
	return 0
}

const (
	// movedOldWeightsFactor multiplies OldWeightsCost for streams that have moved for a
	// weights change.
	movedOldWeightsFactor = 4
	// expiredWeightsFactor multiplies OldWeightsCost for weights past their limit.
	expiredWeightsFactor = 25
)
