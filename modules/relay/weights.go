package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/wait"
)

// withdrawInterval is the time between two checks for requests that wait at endpoints
// with expired weights.
const withdrawInterval = 50 * time.Millisecond

// withdrawPeriodically ends attempts before they begin on expired weights, until ctx is
// done.
func (r *Relay) withdrawPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, withdrawInterval)
		if !r.directory.StoreUnreachableForAll() {
			r.withdrawWaiting()
		}
	}
}

// withdrawWaiting ends the attempts that have produced no output and whose endpoints'
// weights were superseded too long ago for them to begin.
func (r *Relay) withdrawWaiting() {
	v, now := r.directory.View(), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempts := range r.runningAttempts {
		for a := range attempts {
			if a.req.Prompt != nil && !a.prefillEndRecorded && r.selector.MustWithdraw(now, v, a.req.Prompt.Model, a.choice.WeightsVersion) {
				a.cancel(errWeightsExpired)
			}
		}
	}
}

// refreshWeightsVersion fetches the weights version from an engine's status in the
// background, with at most one request at a time per engine.
func (r *Relay) refreshWeightsVersion(e *fleet.Endpoint, model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetchingStatus[e.ID] || r.ctx.Err() != nil {
		return
	}
	r.fetchingStatus[e.ID] = true
	r.goroutines.Go(func() {
		status, err := r.upstream.FetchEngineStatus(r.ctx, e.ID, e.Address)
		if err != nil {
			r.log.WithError(err).WithField("endpoint", e.ID).Info("failed to refresh weights version of engine")
		} else if version := status.WeightsVersions[model]; version > 0 {
			r.directory.SetWeightsVersion(e.ID, model, version)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.fetchingStatus, e.ID)
	})
}

// initContext creates the context of background work.
func (r *Relay) initContext() { r.ctx, r.cancel = context.WithCancel(context.Background()) }

// logSentToOldWeights logs that the attempt is sent to weights that were superseded for
// longer than the limit, with what the router knows about the endpoint's queue.
func (a *attempt) logSentToOldWeights() {
	if a.choice.SupersededFor == 0 || a.choice.SupersededFor <= a.relay.oldWeightsLimit() {
		return
	}
	own, remote := a.relay.loadsBySource(a.choice.Endpoint.ID)
	a.weightsLogEntry(a.choice.SupersededFor).WithFields(logrus.Fields{
		"newest_loaded": a.choice.NewestLoadedVersion, "running_own": own.Running, "running_remote": remote.Running,
		"pending_own": own.PendingPrefillTokens, "pending_remote": remote.PendingPrefillTokens,
		"store_reachable": !a.relay.directory.StoreUnreachable(), "moved": a.lastResult.kind == resultMoved,
		"age_ms": time.Since(a.req.ArrivedAt).Milliseconds(),
	}).Warn("request sent to superseded weights")
}

// logStartedOnOldWeights logs that the endpoint has begun with the request on weights
// that were superseded for longer than the limit, and how long it took to begin.
func (a *attempt) logStartedOnOldWeights() {
	if a.req.Prompt == nil {
		return
	}
	at, superseded := a.relay.directory.View().SupersededAt(a.req.Prompt.Model, a.choice.WeightsVersion)
	if !superseded || time.Since(at) <= a.relay.oldWeightsLimit() {
		return
	}
	a.weightsLogEntry(time.Since(at)).WithField("took_ms", time.Since(a.startedAt).Milliseconds()).Warn("request started on superseded weights")
}

func (a *attempt) weightsLogEntry(supersededFor time.Duration) *logrus.Entry {
	return a.log().WithFields(logrus.Fields{
		"endpoint": a.choice.Endpoint.ID, "try": a.attempts, "weights": a.choice.WeightsVersion,
		"newest":        a.relay.directory.View().LatestWeightsVersions[a.req.Prompt.Model],
		"superseded_ms": supersededFor.Milliseconds(), "wait_ms": a.choice.Wait.Milliseconds(), "prefill_ms": a.choice.Prefill.Milliseconds(),
	})
}

func (r *Relay) oldWeightsLimit() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.OldWeightsLimit.AsDuration()
}

func (r *Relay) loadsBySource(endpointID string) (own, remote selection.EndpointLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.LoadsBySource(endpointID)
}
