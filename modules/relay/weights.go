package relay

import (
	"context"

	"github.com/arbutusline/arbutusline/fleet"
)

// askWeights asks an engine for its weights version in the background, one call
// at a time for each engine.
func (r *Relay) refreshWeightsVersion(e *fleet.Endpoint, model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetchingStatus[e.ID] || r.ctx.Err() != nil {
		return
	}
	r.fetchingStatus[e.ID] = true
	r.background.Go(func() {
		status, err := r.upstream.FetchEngineStatus(r.ctx, e.ID, e.Address)
		if err != nil {
			r.log.WithError(err).WithField("endpoint", e.ID).Info("engine does not report its weights")
		} else if version := status.WeightsVersions[model]; version > 0 {
			r.directory.SetWeights(e.ID, model, version)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.fetchingStatus, e.ID)
	})
}

// begin creates the context of background work.
func (r *Relay) initContext() { r.ctx, r.cancel = context.WithCancel(context.Background()) }
