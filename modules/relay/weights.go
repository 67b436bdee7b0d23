package relay

import (
	"context"

	"github.com/arbutusline/arbutusline/fleet"
)

// askWeights asks an engine for its weights version in the background, one call
// at a time for each engine.
func (r *Relay) askWeights(e *fleet.Endpoint, model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asking[e.ID] || r.ctx.Err() != nil {
		return
	}
	r.asking[e.ID] = true
	r.done.Go(func() {
		report, err := r.upstream.Report(r.ctx, e.ID, e.Address)
		if err != nil {
			r.log.WithError(err).WithField("endpoint", e.ID).Info("engine does not report its weights")
		} else if version := report.WeightsVersions[model]; version > 0 {
			r.directory.SetWeightsVersion(e.ID, model, version)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.asking, e.ID)
	})
}

// begin creates the context of background work.
func (r *Relay) begin() { r.ctx, r.cancel = context.WithCancel(context.Background()) }
