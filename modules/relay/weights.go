package relay

import (
	"context"

	"github.com/arbutusline/arbutusline/fleet"
)

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
