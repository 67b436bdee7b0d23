package relay

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/selection"
)

// remoteLoad is the load that another router causes at all endpoints, as last reported.
type remoteLoad struct {
	receivedAt time.Duration
	loads      []selection.EndpointLoad
	work       []selection.WorkRate
}

// remoteLoadLifetime is how long the load reported by another router is used. Routers
// exchange loads several times a second.
const remoteLoadLifetime = 1500 * time.Millisecond

// Loads returns the load that this router causes at each endpoint.
func (r *Relay) Loads() []selection.EndpointLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addSpeedsLocked(r.selector.Loads())
}

// WorkRates returns the prompt work that this router starts at each service.
func (r *Relay) WorkRates() []selection.WorkRate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.WorkRates(r.now())
}

// SetRemoteLoads replaces the load that another router causes at each endpoint, and the work
// that it starts.
func (r *Relay) SetRemoteLoads(router string, loads []selection.EndpointLoad, work []selection.WorkRate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.selector.ReplaceRemoteLoads(r.remoteLoads[router].loads, loads)
	work = r.selector.ReplaceRemoteWork(r.remoteLoads[router].work, work)
	r.remoteLoads[router] = remoteLoad{now, loads, work}
	r.mergeSpeedsLocked(router, loads)
	for name, l := range r.remoteLoads {
		if now-l.receivedAt > remoteLoadLifetime {
			r.selector.ReplaceRemoteLoads(l.loads, nil)
			r.selector.ReplaceRemoteWork(l.work, nil)
			delete(r.remoteLoads, name)
		}
	}
}
