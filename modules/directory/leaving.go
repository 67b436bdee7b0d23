package directory

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/fleet"
)

// leavingEndpoint is an incarnation of an endpoint that said that it shuts down.
type leavingEndpoint struct {
	startedAtUnixMS int64
	saidAt          time.Time
}

// leavingRetention is how long a leaving endpoint is remembered that the store does not
// list: far longer than a shutdown takes.
const leavingRetention = 10 * time.Minute

// ObserveLeaving records that an endpoint said in a response that it shuts down. It counts
// as draining from then on, whatever its object in the store says.
func (d *Directory) ObserveLeaving(e *fleet.Endpoint) {
	current := d.View().EndpointsByID[e.ID]
	if current == nil || current.State == fleet.Draining || current.StartedAtUnixMS != e.StartedAtUnixMS {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.leavingEndpoints[e.ID]; ok && known.startedAtUnixMS == e.StartedAtUnixMS {
		return
	}
	d.leavingEndpoints[e.ID] = leavingEndpoint{e.StartedAtUnixMS, time.Now()}
	d.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "address": e.Address}).Info("endpoint says that it leaves")
	d.publishViewLocked()
}

// markLeavingEndpointsLocked replaces the endpoints of a view that said that they shut down
// by draining ones. The caller holds mu.
func (d *Directory) markLeavingEndpointsLocked(v *fleet.View) {
	for id, l := range d.leavingEndpoints {
		e := v.EndpointsByID[id]
		switch {
		case e == nil && time.Since(l.saidAt) > leavingRetention, e != nil && e.StartedAtUnixMS != l.startedAtUnixMS:
			delete(d.leavingEndpoints, id)
		case e != nil && e.State == fleet.Ready:
			draining := *e
			draining.State = fleet.Draining
			v.EndpointsByID[id] = &draining
		}
	}
}
