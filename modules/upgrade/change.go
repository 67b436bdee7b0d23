package upgrade

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/platform"
)

const (
	// announceDelay is the time between the announcement of a change to the other
	// routers and the order: several round trips within a region.
	announceDelay = 15 * time.Millisecond
	// preparePollInterval is the time between two checks for long requests at an engine
	// that prepares, and maxPrepareTime how long they may delay the change.
	preparePollInterval = 40 * time.Millisecond
	maxPrepareTime      = 2500 * time.Millisecond
	// statusPollInterval is the time between two requests for an engine's status during
	// a change.
	statusPollInterval = 120 * time.Millisecond
	// changeTimeout is the maximum duration of a change. The engine waits for its
	// running requests; the load takes less than a second, or longer if several engines
	// load at the same time.
	changeTimeout = 10 * time.Second
	// orderResendInterval is the time after which an accepted order without a visible
	// effect is sent again. An order without a response is repeated with the next status:
	// the count of accepted orders that it names keeps both copies from having an effect.
	orderResendInterval = 800 * time.Millisecond
	// maxStatusFailures is the number of failed requests for an engine's status during
	// a change after which the change is postponed for postponeDuration.
	maxStatusFailures = 2
	postponeDuration  = 1500 * time.Millisecond
)

// orderResult is the result of an order, as logged and counted.
type orderResult string

const (
	orderAccepted          orderResult = "accepted"
	orderAlreadyLoaded     orderResult = "already_holds"
	orderConflict          orderResult = "conflict"
	orderStaleFencingToken orderResult = "stale_fence"
	orderEndpointGone      orderResult = "gone"
	orderRejected          orderResult = "rejected"
	orderNoResponse        orderResult = "no_answer"
)

// changeWeights makes an engine load the version, or a newer one that is published
// meanwhile. It returns when the engine has loaded it, is gone or does not respond, or
// when the time or the lease has expired.
func (u *Upgrade) changeWeights(ctx context.Context, c weightsChange) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if !u.prepare(ctx, &c) {
		return
	}
	var orderedAt, idleAt time.Time
	statusFailures := 0
	for ctx.Err() == nil {
		if u.retarget(&c) {
			orderedAt = time.Time{}
		}
		status, err := u.upstream.FetchEngineStatus(ctx, c.endpoint.ID, c.endpoint.Address)
		switch {
		case err != nil:
			u.log.WithError(err).WithField("endpoint", c.endpoint.ID).Info("failed to fetch engine status")
			if statusFailures++; statusFailures >= maxStatusFailures {
				u.postpone(c)
				return
			}
		case status.WeightsVersions[c.model] >= c.version && !status.OrderInProgress:
			u.finishChange(c, status.WeightsVersions[c.model], orderedAt, idleAt)
			return
		case !status.OrderInProgress && time.Since(orderedAt) > orderResendInterval:
			result, sent := u.sendOrder(ctx, c, status.AcceptedOrders)
			if !sent || result == orderEndpointGone {
				return
			}
			if result == orderAlreadyLoaded {
				u.finishChange(c, c.version, orderedAt, idleAt)
				return
			}
			if result == orderAccepted {
				orderedAt = time.Now()
			}
		}
		if err == nil && idleAt.IsZero() && status.RunningRequests+status.QueuedRequests == 0 {
			idleAt = time.Now()
		}
		if u.directory.View().EndpointsByID[c.endpoint.ID] == nil {
			return
		}
		wait.For(ctx, statusPollInterval)
	}
}

// prepare makes the routers stop sending requests to the engine: first long requests,
// and all others shortly before the order, so that the engine stays in use until then.
// It returns false if ctx is done.
func (u *Upgrade) prepare(ctx context.Context, c *weightsChange) bool {
	u.exchange.AnnounceWeightsChange(c.endpoint.ID, c.model, c.version, arbutuspb.ChangeStage_CHANGE_STAGE_SOON)
	u.log.WithFields(logrus.Fields{
		"endpoint": c.endpoint.ID, "model": c.model, "weights": c.version, "from": c.endpoint.WeightsVersions[c.model],
	}).Info("weights change started")
	startedAt := time.Now()
	for ctx.Err() == nil {
		wait.For(ctx, preparePollInterval)
		_, long := u.relay.RunningRequests(c.endpoint.ID)
		if (long == 0 || time.Since(startedAt) > maxPrepareTime) && u.admitChange(*c) {
			break
		}
	}
	if !u.retarget(c) {
		u.exchange.AnnounceWeightsChange(c.endpoint.ID, c.model, c.version, arbutuspb.ChangeStage_CHANGE_STAGE_NOW)
	}
	wait.For(ctx, announceDelay)
	return ctx.Err() == nil
}

// retarget makes the latest published version the target of the change, and reports
// whether the target changed. A load of a version that is superseded by then would have
// to be followed by another one.
func (u *Upgrade) retarget(c *weightsChange) bool {
	latest := u.directory.View().LatestWeightsVersions[c.model]
	if latest <= c.version {
		return false
	}
	u.log.WithFields(logrus.Fields{
		"endpoint": c.endpoint.ID, "model": c.model, "weights": latest, "before": c.version,
	}).Info("weights change has a newer target")
	c.version = latest
	u.exchange.AnnounceWeightsChange(c.endpoint.ID, c.model, c.version, arbutuspb.ChangeStage_CHANGE_STAGE_NOW)
	return true
}

// postpone prevents the change from being tried again for postponeDuration, so that
// other engines change first.
func (u *Upgrade) postpone(c weightsChange) {
	u.log.WithFields(logrus.Fields{
		"endpoint": c.endpoint.ID, "model": c.model, "weights": c.version, "misses": maxStatusFailures, "for_ms": postponeDuration.Milliseconds(),
	}).Info("weights change postponed")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.postponedUntil[c.key()] = time.Now().Add(postponeDuration)
}

// finishChange logs that an engine has loaded a version and announces it to all routers.
// orderedAt is when the order was last sent, and idleAt when the engine had no requests
// left; either is zero if unknown.
func (u *Upgrade) finishChange(c weightsChange, version uint64, orderedAt, idleAt time.Time) {
	entry := u.log.WithFields(logrus.Fields{"endpoint": c.endpoint.ID, "model": c.model, "weights": version})
	if !orderedAt.IsZero() {
		entry = entry.WithField("took_ms", time.Since(orderedAt).Milliseconds())
	}
	if !idleAt.IsZero() {
		entry = entry.WithField("since_empty_ms", time.Since(idleAt).Milliseconds())
	}
	entry.Info("weights change completed")
	u.exchange.AnnounceWeightsChange(c.endpoint.ID, c.model, version, arbutuspb.ChangeStage_CHANGE_STAGE_DONE)
}

// sendOrder sends the order if this router holds the lease. acceptedOrders is the number
// of orders that the engine has accepted. sent is false if no order was sent.
func (u *Upgrade) sendOrder(ctx context.Context, c weightsChange, acceptedOrders uint64) (result orderResult, sent bool) {
	u.mu.Lock()
	fencingToken, holds := u.lease.HoldsLease(bootclock.Now())
	u.mu.Unlock()
	if !holds {
		return "", false
	}
	body, err := platform.EncodeWeightsOrder(c.model, c.version, platform.SwapAfterRequestsFinish, u.Holder, fencingToken, acceptedOrders)
	if err != nil {
		u.log.WithError(err).Error("failed to encode weights order")
		return "", false
	}
	status, err := u.upstream.CallEngine(ctx, c.endpoint.ID, c.endpoint.Address, http.MethodPost, platform.WeightsOrderPath, body, nil)
	result = orderResultOf(status, err)
	u.orderResults.WithLabelValues(string(result)).Inc()
	u.log.WithFields(logrus.Fields{
		"endpoint": c.endpoint.ID, "model": c.model, "weights": c.version, "fence": fencingToken, "orders": acceptedOrders,
		"status": status, "result": result,
	}).Info("weights order sent")
	return result, true
}

// orderResultOf returns the meaning of an engine's response to an order.
func orderResultOf(status int, err error) orderResult {
	switch {
	case err != nil:
		return orderNoResponse
	case status == http.StatusAccepted:
		return orderAccepted
	case status == http.StatusOK:
		return orderAlreadyLoaded
	case status == http.StatusConflict:
		return orderConflict
	case status == http.StatusPreconditionFailed:
		return orderStaleFencingToken
	case status == http.StatusMisdirectedRequest:
		return orderEndpointGone
	}
	return orderRejected
}
