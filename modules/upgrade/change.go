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
	announceLead = 15 * time.Millisecond
	// prepareStep is the time between two looks at the long requests of an engine,
	// and prepareLimit how long their end is awaited.
	prepareStep  = 40 * time.Millisecond
	prepareLimit = 2500 * time.Millisecond
	// pollEvery is the time between two reports while weights change.
	pollEvery = 120 * time.Millisecond
	// changeTimeout bounds one change; running requests end and a load takes
	// under a second, longer when several engines load.
	changeTimeout = 10 * time.Second
	// repeatOrder is how long an unanswered order may show no effect before it
	// is sent again.
	repeatOrder = 800 * time.Millisecond
	// maxMisses is the number of reports in a row without an answer after which
	// an engine is left alone for postponeFor.
	maxMisses   = 2
	postponeFor = 1500 * time.Millisecond
)

// orderResult is what an engine's answer to an order means.
type orderResult string

const (
	accepted   orderResult = "accepted"
	holds      orderResult = "already_holds"
	conflict   orderResult = "conflict"
	stale      orderResult = "stale_fence"
	gone       orderResult = "gone"
	rejected   orderResult = "rejected"
	unanswered orderResult = "no_answer"
)

// change brings one engine to the version. It returns when the engine has it,
// is gone, or the time or the lease ran out.
func (u *Upgrade) change(ctx context.Context, s step) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if !u.prepare(ctx, s) {
		return
	}
	var orderedAt, emptyAt time.Time
	misses := 0
	for ctx.Err() == nil {
		report, err := u.upstream.FetchEngineStatus(ctx, s.endpoint.ID, s.endpoint.Address)
		switch {
		case err != nil:
			u.log.WithError(err).WithField("endpoint", s.endpoint.ID).Info("engine does not report")
			if misses++; misses >= maxMisses {
				u.postpone(s)
				return
			}
		case report.WeightsVersions[s.model] >= s.version && !report.OrderInProgress:
			u.completed(s, report.WeightsVersions[s.model], orderedAt, emptyAt)
			return
		case !report.OrderInProgress && time.Since(orderedAt) > repeatOrder:
			result, sent := u.order(ctx, s, report.AcceptedOrders)
			if !sent || result == gone {
				return
			}
			if result == holds {
				u.completed(s, s.version, orderedAt, emptyAt)
				return
			}
			if result == accepted || result == unanswered {
				orderedAt = time.Now()
			}
		}
		if err == nil && emptyAt.IsZero() && report.RunningRequests+report.QueuedRequests == 0 {
			emptyAt = time.Now()
		}
		if u.directory.View().ByID[s.endpoint.ID] == nil {
			return
		}
		wait.For(ctx, pollEvery)
	}
}

// prepare keeps requests away from the engine, long ones first, so that it takes
// the others until shortly before its load. It returns false when ctx ended.
func (u *Upgrade) prepare(ctx context.Context, s step) bool {
	u.exchange.Announce(s.endpoint.ID, s.model, s.version, arbutuspb.ChangeStage_CHANGE_STAGE_SOON)
	u.log.WithFields(logrus.Fields{
		"endpoint": s.endpoint.ID, "model": s.model, "weights": s.version, "from": s.endpoint.WeightsVersions[s.model],
	}).Info("change of weights begins")
	begun := time.Now()
	for ctx.Err() == nil {
		wait.For(ctx, prepareStep)
		_, long := u.relay.RunningRequests(s.endpoint.ID)
		if (long == 0 || time.Since(begun) > prepareLimit) && u.enter(s) {
			break
		}
	}
	u.exchange.Announce(s.endpoint.ID, s.model, s.version, arbutuspb.ChangeStage_CHANGE_STAGE_NOW)
	wait.For(ctx, announceLead)
	return ctx.Err() == nil
}

// postpone lets other engines go first.
func (u *Upgrade) postpone(s step) {
	u.log.WithFields(logrus.Fields{
		"endpoint": s.endpoint.ID, "model": s.model, "weights": s.version, "misses": maxMisses, "for_ms": postponeFor.Milliseconds(),
	}).Info("change of weights postponed")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.postponed[s.key()] = time.Now().Add(postponeFor)
}

// completed tells everyone that an engine has its weights. OrderedAt and emptyAt
// are when the order was accepted and when no request was left; zero if unknown.
func (u *Upgrade) completed(s step, version uint64, orderedAt, emptyAt time.Time) {
	entry := u.log.WithFields(logrus.Fields{"endpoint": s.endpoint.ID, "model": s.model, "weights": version})
	if !orderedAt.IsZero() {
		entry = entry.WithField("took_ms", time.Since(orderedAt).Milliseconds())
	}
	if !emptyAt.IsZero() {
		entry = entry.WithField("since_empty_ms", time.Since(emptyAt).Milliseconds())
	}
	entry.Info("weights changed")
	u.exchange.Announce(s.endpoint.ID, s.model, version, arbutuspb.ChangeStage_CHANGE_STAGE_DONE)
}

// order sends the order if this router may. Sent is false when it may not.
func (u *Upgrade) order(ctx context.Context, s step, orders uint64) (result orderResult, sent bool) {
	u.mu.Lock()
	fence, leads := u.lease.HoldsLease(clock())
	u.mu.Unlock()
	if !leads {
		return "", false
	}
	body, err := platform.EncodeWeightsOrder(s.model, s.version, platform.SwapAfterRequestsFinish, u.Holder, fence, orders)
	if err != nil {
		u.log.WithError(err).Error("order not encoded")
		return "", false
	}
	status, _, err := u.upstream.CallEngine(ctx, s.endpoint.ID, s.endpoint.Address, http.MethodPost, platform.WeightsOrderPath, body)
	result = resultOf(status, err)
	u.orders.WithLabelValues(string(result)).Inc()
	u.log.WithFields(logrus.Fields{
		"endpoint": s.endpoint.ID, "model": s.model, "weights": s.version, "fence": fence, "orders": orders,
		"status": status, "result": result,
	}).Info("order sent")
	return result, true
}

func resultOf(status int, err error) orderResult {
	switch {
	case err != nil:
		return unanswered
	case status == http.StatusAccepted:
		return accepted
	case status == http.StatusOK:
		return holds
	case status == http.StatusConflict:
		return conflict
	case status == http.StatusPreconditionFailed:
		return stale
	case status == http.StatusMisdirectedRequest:
		return gone
	}
	return rejected
}
