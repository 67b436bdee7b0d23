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
	// inEntry is true if it said so in its entry in the store. A ready entry with a higher
	// sequence than that of the last such entry then revokes it. What it said in a response
	// stands, as responses and entries have no common order.
	inEntry  bool
	sequence uint64
}

// leavingRetention is how long a leaving endpoint is remembered that the store does not
// list: far longer than a shutdown takes.
const leavingRetention = 10 * time.Minute

// departedQuarantine is how long an endpoint that had left stays unused when a restored copy
// of the store lists it again. The store removes the object of an endpoint after three
// missed heartbeats, of 1.2 s each on the users' platform.
const departedQuarantine = 5 * time.Second

// departedEndpoint is an incarnation of an endpoint whose object was removed.
type departedEndpoint struct {
	startedAtUnixMS int64
	removedAt       time.Time
	// ignoredUntil is zero until the store comes back from a copy.
	ignoredUntil time.Time
}

// rememberDeparturesLocked keeps what this router knows of endpoints that leave or have left
// when the store comes back from a copy in which they are ready. The caller holds mu.
func (d *Directory) rememberDeparturesLocked(now time.Time) {
	for id, e := range d.view.Load().EndpointsByID {
		// One that is remembered already may be ready in its entry, which then is an older one.
		if known, ok := d.leavingEndpoints[id]; e.State != fleet.Draining || ok && known.startedAtUnixMS == e.StartedAtUnixMS {
			continue
		}
		d.leavingEndpoints[id] = leavingEndpoint{startedAtUnixMS: e.StartedAtUnixMS, saidAt: now, inEntry: true, sequence: e.Sequence}
		d.log.WithFields(logrus.Fields{"endpoint": id, "service": e.Service, "sequence": e.Sequence}).Info("leaving endpoint remembered")
	}
	for id, departed := range d.departedEndpoints {
		departed.ignoredUntil = now.Add(departedQuarantine)
		d.departedEndpoints[id] = departed
	}
}

// ignoredAsDepartedLocked reports whether an endpoint that a restored copy lists has left
// before. The caller holds mu.
func (d *Directory) ignoredAsDepartedLocked(e *fleet.Endpoint, now time.Time) bool {
	departed, ok := d.departedEndpoints[e.ID]
	return ok && departed.startedAtUnixMS == e.StartedAtUnixMS && now.Before(departed.ignoredUntil)
}

// expireDeparturesLocked forgets departed endpoints after leavingRetention. It reports
// whether a quarantine has ended since the last call. The caller holds mu.
func (d *Directory) expireDeparturesLocked(now time.Time) bool {
	ended := false
	for id, departed := range d.departedEndpoints {
		if !departed.ignoredUntil.IsZero() && !now.Before(departed.ignoredUntil) {
			departed.ignoredUntil, ended = time.Time{}, true
			d.departedEndpoints[id] = departed
		}
		if now.Sub(departed.removedAt) > leavingRetention {
			delete(d.departedEndpoints, id)
		}
	}
	return ended
}

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
	d.leavingEndpoints[e.ID] = leavingEndpoint{startedAtUnixMS: e.StartedAtUnixMS, saidAt: time.Now()}
	d.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "address": e.Address}).Info("endpoint says that it leaves")
	d.publishViewLocked()
}

// markLeavingEndpointsLocked replaces the endpoints of a view that said that they shut down, and
// have not revoked it, by draining ones. The caller holds mu.
func (d *Directory) markLeavingEndpointsLocked(v *fleet.View) {
	for id, l := range d.leavingEndpoints {
		e := v.EndpointsByID[id]
		switch {
		case e == nil:
			if time.Since(l.saidAt) > leavingRetention {
				delete(d.leavingEndpoints, id)
			}
		case e.StartedAtUnixMS != l.startedAtUnixMS:
			delete(d.leavingEndpoints, id)
		case e.State == fleet.Draining:
			l.sequence = max(l.sequence, e.Sequence)
			d.leavingEndpoints[id] = l
		case l.inEntry && e.Sequence > l.sequence:
			delete(d.leavingEndpoints, id)
			d.log.WithFields(logrus.Fields{"endpoint": id, "service": e.Service, "sequence": e.Sequence, "before": l.sequence}).Info("endpoint revoked that it leaves")
		default:
			draining := *e
			draining.State = fleet.Draining
			v.EndpointsByID[id] = &draining
		}
	}
}
