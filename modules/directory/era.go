package directory

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/platform"
)

// observeEra records the era of a response of the store.
func (d *Directory) observeEra(era uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeEraLocked(era)
}

// StoreEra returns the latest era of the store that this router knows, or 0.
func (d *Directory) StoreEra() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeEra
}

// observeEraLocked records an era of the store. When it rises, the state that this router
// knows may be newer than the store's: endpoints and routers that the store lacks stay in
// use for a while, and pending watches of the era before end. The caller holds mu.
func (d *Directory) observeEraLocked(era uint64) {
	if d.eraKnown && era <= d.storeEra {
		return
	}
	if d.eraKnown {
		d.log.WithFields(logrus.Fields{"era": era, "before": d.storeEra}).Warn("store came back from a copy")
		d.storeReachableSince = time.Now()
		d.restoredAt = d.storeReachableSince
		d.rememberDeparturesLocked(d.storeReachableSince)
		for _, cancel := range d.watchCancels {
			cancel(platform.ErrEraChanged)
		}
		clear(d.watchCancels)
	}
	d.storeEra, d.eraKnown, d.eraKnownSince = era, true, time.Now()
	d.storeEraGauge.Set(float64(era))
	d.updateStanding()
}

// beginWatch registers the cancel function of a watch. It returns false if the store has
// entered a later era than that of the watch's position.
func (d *Directory) beginWatch(kind string, since fleet.StorePosition, cancel context.CancelCauseFunc) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since.Era < d.storeEra {
		return false
	}
	d.watchCancels[kind] = cancel
	return true
}

// applyLocked merges a list, changes or what another router has to tell into the replica of
// a kind, which is then confirmed as of a time on bootclock unless that is negative. The caller
// holds mu.
func (d *Directory) applyLocked(kind, source string, asOf time.Duration, delta replica.Delta) {
	r := d.replicas[kind]
	before := r.Position()
	if delta.Complete && delta.At.Era > before.Era {
		d.observeEraLocked(delta.At.Era)
	}
	changed := r.ApplyDelta(delta)
	if r.Position().Era != before.Era && before.Revision > 0 {
		// Revisions are given out again, with other content.
		if kind == platform.KindEndpoints {
			clear(d.decodedEndpoints)
		}
		clear(d.loggedInvalidRevisions)
		d.unconfirmedUntil[kind] = time.Now().Add(removedEndpointGrace)
	}
	if changed {
		d.handleReplicaChangeLocked(kind, source)
	}
	if position := r.Position(); asOf >= 0 && d.confirmations[kind] != nil && position.Era == delta.At.Era && !position.Before(delta.At) {
		d.confirmLocked(kind, source, asOf)
	}
	if kind == KindRouters {
		d.updateStanding() // The marks of eras are among the routers.
	}
}

// dropUnconfirmedLocked drops the objects that a restored copy of the store lacks and that
// were not written again in time. The caller holds mu.
func (d *Directory) dropUnconfirmedLocked(now time.Time) {
	for kind, until := range d.unconfirmedUntil {
		if now.Before(until) {
			continue
		}
		delete(d.unconfirmedUntil, kind)
		if d.replicas[kind].DropUnconfirmed() {
			d.handleReplicaChangeLocked(kind, "expiry")
		}
	}
}
