package relay

import (
	"context"
	"time"

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
		if !r.directory.StoreUnreachable() {
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
