package upgrade

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/platform"
)

const (
	// announceLead is the time that the other routers have to take the news
	// before the order is sent: some round trips within a region.
	announceDelay = 15 * time.Millisecond
	// prepareStep is the time between two looks at the long requests of an engine,
	// and prepareLimit how long their end is awaited.
	preparePollInterval = 40 * time.Millisecond
	maxPrepareTime      = 2500 * time.Millisecond
	// pollEvery is the time between two reports while weights change.
	statusPollInterval = 120 * time.Millisecond
	// changeTimeout bounds one change; running requests end and a load takes
	// under a second, longer when several engines load.
	changeTimeout = 10 * time.Second
	// repeatOrder is how long an unanswered order may show no effect before it
	// is sent again.
	orderResendInterval = 800 * time.Millisecond
	// maxMisses is the number of reports in a row without an answer after which
	// an engine is left alone for postponeFor.
	maxStatusFailures = 2
	postponeDuration  = 1500 * time.Millisecond
)

// orderResult is what an engine's answer to an order means.
type orderResult string

const (
	orderAccepted     orderResult = "accepted"
	alreadyLoaded     orderResult = "already_holds"
	orderConflict     orderResult = "conflict"
	staleFencingToken orderResult = "stale_fence"
	endpointGone      orderResult = "gone"
	orderRejected     orderResult = "rejected"
	noResponse        orderResult = "no_answer"
)

// change brings one engine to the version. It returns when the engine has it,
// is gone, or the time or the lease ran out.
func (u *Upgrade) changeWeights(ctx context.Context, c weightsChange) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if !u.prepare(ctx, c) {
		return
	}
	var orderedAt, idleAt time.Time
	failures := 0
	for ctx.Err() == nil {
		status, err := u.upstream.Report(ctx, c.endpoint.ID, c.endpoint.Address)
		switch {
		case err != nil:
			u.log.WithError(err).WithField("endpoint", c.endpoint.ID).Info("engine does not report")
			if failures++; failures >= maxStatusFailures {
				u.postpone(c)
				return
			}
		case status.WeightsVersions[c.model] >= c.version && !status.OrderInProgress:
			u.finishChange(c, status.WeightsVersions[c.model], orderedAt, idleAt)
			return
		case !status.OrderInProgress && time.Since(orderedAt) > orderResendInterval:
			result, sent := u.sendOrder(ctx, c, status.AcceptedOrders)
			if !sent || result == endpointGone {
				return
			}
			if result == alreadyLoaded {
				u.finishChange(c, c.version, orderedAt, idleAt)
				return
			}
			if result == orderAccepted || result == noResponse {
				orderedAt = time.Now()
			}
		}
		if err == nil && idleAt.IsZero() && status.RunningRequests+status.QueuedRequests == 0 {
			idleAt = time.Now()
		}
		if u.directory.View().ByID[c.endpoint.ID] == nil {
			return
		}
		wait.For(ctx, statusPollInterval)
	}
}

// prepare keeps requests away from the engine, long ones first, so that it takes
// the others until shortly before its load. It returns false when ctx ended.
func (u *Upgrade) prepare(ctx context.Context, c weightsChange) bool {
	u.exchange.AnnounceWeightsChange(c.endpoint.ID, c.model, c.version, arbutuspb.ChangeStage_CHANGE_STAGE_SOON)
	u.log.WithFields(logrus.Fields{
		"endpoint": c.endpoint.ID, "model": c.model, "weights": c.version, "from": c.endpoint.WeightsVersions[c.model],
	}).Info("change of weights begins")
	started := time.Now()
	for ctx.Err() == nil {
		wait.For(ctx, preparePollInterval)
		_, long := u.relay.Running(c.endpoint.ID)
		if (long == 0 || time.Since(started) > maxPrepareTime) && u.admitChange(c) {
			break
		}
	}
	u.exchange.AnnounceWeightsChange(c.endpoint.ID, c.model, c.version, arbutuspb.ChangeStage_CHANGE_STAGE_NOW)
	wait.For(ctx, announceDelay)
	return ctx.Err() == nil
}

// postpone lets other engines go first.
func (u *Upgrade) postpone(c weightsChange) {
	u.log.WithFields(logrus.Fields{
		"endpoint": c.endpoint.ID, "model": c.model, "weights": c.version, "misses": maxStatusFailures, "for_ms": postponeDuration.Milliseconds(),
	}).Info("change of weights postponed")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.postponedUntil[c.key()] = time.Now().Add(postponeDuration)
}

// completed tells everyone that an engine has its weights. OrderedAt and emptyAt
// are when the order was accepted and when no request was left; zero if unknown.
func (u *Upgrade) finishChange(c weightsChange, version uint64, orderedAt, idleAt time.Time) {
	entry := u.log.WithFields(logrus.Fields{"endpoint": c.endpoint.ID, "model": c.model, "weights": version})
	if !orderedAt.IsZero() {
		entry = entry.WithField("took_ms", time.Since(orderedAt).Milliseconds())
	}
	if !idleAt.IsZero() {
		entry = entry.WithField("since_empty_ms", time.Since(idleAt).Milliseconds())
	}
	entry.Info("weights changed")
	u.exchange.AnnounceWeightsChange(c.endpoint.ID, c.model, version, arbutuspb.ChangeStage_CHANGE_STAGE_DONE)
}

// order sends the order if this router may. Sent is false when it may not.
func (u *Upgrade) sendOrder(ctx context.Context, c weightsChange, acceptedOrders uint64) (result orderResult, sent bool) {
	u.mu.Lock()
	fencingToken, holds := u.lease.HoldsLease(bootClock())
	u.mu.Unlock()
	if !holds {
		return "", false
	}
	body, err := platform.EncodeWeightsOrder(c.model, c.version, platform.SwapAfterRequestsFinish, u.Holder, fencingToken, acceptedOrders)
	if err != nil {
		u.log.WithError(err).Error("order not encoded")
		return "", false
	}
	status, _, err := u.upstream.CallEngine(ctx, c.endpoint.ID, c.endpoint.Address, http.MethodPost, platform.WeightsOrderPath, body)
	result = orderResultOf(status, err)
	u.orderResults.WithLabelValues(string(result)).Inc()
	u.log.WithFields(logrus.Fields{
		"endpoint": c.endpoint.ID, "model": c.model, "weights": c.version, "fence": fencingToken, "orders": acceptedOrders,
		"status": status, "result": result,
	}).Info("order sent")
	return result, true
}

func orderResultOf(status int, err error) orderResult {
	switch {
	case err != nil:
		return noResponse
	case status == http.StatusAccepted:
		return orderAccepted
	case status == http.StatusOK:
		return alreadyLoaded
	case status == http.StatusConflict:
		return orderConflict
	case status == http.StatusPreconditionFailed:
		return staleFencingToken
	case status == http.StatusMisdirectedRequest:
		return endpointGone
	}
	return orderRejected
}
