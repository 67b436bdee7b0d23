package directory

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/platform"
)

// RouterSpec is the content of a router's store object.
type RouterSpec struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// SettledEra is an era of the store for which this router found that operators have
	// written again what a copy lacked. It is nil if there is none.
	SettledEra *uint64 `json:"settled_era,omitempty"`
}

// describes reports whether two specs describe the same router.
func (s RouterSpec) describes(o RouterSpec) bool {
	return s.Address == o.Address && s.Zone == o.Zone && s.Incarnation == o.Incarnation
}

// registrationCheckInterval is the time between two checks of this router's object in the
// replica. Other routers keep a router that a restored copy of the store lacks for
// removedEndpointGrace.
const registrationCheckInterval = 250 * time.Millisecond

// firstRegistrationInterval is the time between two checks whether the store has told which
// routers it knows, before this router registers.
const firstRegistrationInterval = 10 * time.Millisecond

// maintainRegistration writes the object with this router's address, and writes it again
// when the store lacks it or has another one. The write is unconditional because only this
// router writes its object.
func (d *Directory) maintainRegistration(ctx context.Context) {
	interval := firstRegistrationInterval
	for ctx.Err() == nil {
		if spec, missing := d.missingRegistration(); missing {
			d.register(ctx, spec)
			interval = registrationCheckInterval
		}
		wait.ForJittered(ctx, interval)
	}
}

// register writes this router's object until it succeeds or ctx is done.
func (d *Directory) register(ctx context.Context, spec RouterSpec) {
	for delay := minRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
		o, err := d.store.Create(ctx, KindRouters, d.node.ID, spec)
		if errors.Is(err, platform.ErrConflict) {
			o, err = d.store.Replace(ctx, KindRouters, d.node.ID, 0, spec)
		}
		if err == nil {
			d.mu.Lock()
			d.registered, d.registeredAt = true, o.Position()
			d.mu.Unlock()
			d.log.WithField("era", o.Era).Info("router registered")
			return
		}
		d.log.WithError(err).Warn("failed to register router; retrying")
		wait.ForJittered(ctx, delay)
	}
}

// missingRegistration returns the object that this router should have in the store, and
// reports whether it must be written. The replica tells only once it has reached the
// position of the last write.
func (d *Directory) missingRegistration() (RouterSpec, bool) {
	spec := RouterSpec{Address: d.Advertise, Zone: d.node.Zone, Incarnation: d.node.Incarnation()}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.replicas[KindRouters]
	if r.Position().Revision == 0 || d.registered && r.Position().Before(d.registeredAt) {
		return spec, false
	}
	era, settled := d.storeEra, d.eraSettledLocked()
	marks := !settled && d.watchRank == 0 && r.Position().Era == era && time.Since(d.eraKnownSince) > eraSettleTime
	if settled || marks {
		spec.SettledEra = &era
	}
	e, ok := r.Entry(d.node.ID)
	exists := ok && !e.Removed && !e.Unconfirmed
	d.ranBefore = d.ranBefore || exists && !d.registered
	if !exists {
		return spec, true
	}
	var stored RouterSpec
	err := json.Unmarshal(e.Spec, &stored)
	return spec, err != nil || marks || !stored.describes(spec)
}
