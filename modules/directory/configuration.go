package directory

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/platform"
)

// A store that has just come back from a copy may hold an older configuration than the one
// that was acknowledged. A router that runs never goes back; one that starts then asks the
// other routers before it takes the store's configuration. The store holds a mark for each
// era that has lasted so long that operators have written again what the copy lacked.

// eraSettleTime is how long after the start of an era operators have written again what a
// copy of the store lacked. They do so as soon as the store answers.
const eraSettleTime = 10 * time.Second

// activeConfiguration is the configuration in force.
type activeConfiguration struct {
	configuration *fleet.Configuration
	// spec is its encoding in the store.
	spec []byte
	// position is that of the object when this router learned of it, without a revision if
	// the store's copy lacked it. source is how it learned.
	position fleet.StorePosition
	source   string
	// inReplica is true if the replica of the store holds it.
	inReplica bool
}

// updateConfigurationLocked decodes the configuration object. An invalid configuration
// or one that is not newer does not replace the active one. The caller holds mu.
func (d *Directory) updateConfigurationLocked(source string) {
	e, ok := d.replicas[platform.KindConfiguration].Entry(platform.ConfigurationObjectName)
	if !ok || e.Removed {
		d.active.inReplica = false
		return
	}
	switch {
	case d.storeTrusted:
		d.active.inReplica = d.applyConfigurationLocked(e.Spec, source, e.Revision) && !e.Unconfirmed
	case d.eraSettledLocked():
		d.trustStoreLocked("era_settled")
	case d.statedVersion > 0 && d.knowsStatedVersionLocked():
		d.trustStoreLocked("other_router_asked")
	}
}

// knowsStatedVersionLocked reports whether this router has, or would take from its replica of the
// store, a configuration as new as every one that another router has stated. The caller holds mu.
func (d *Directory) knowsStatedVersionLocked() bool {
	if d.active.configuration != nil && d.active.configuration.Version >= d.statedVersion {
		return true
	}
	return d.versionInReplicaLocked() >= d.statedVersion
}

// versionInReplicaLocked returns the version of the configuration that the replica of the store
// holds, or 0 if it holds no valid one. The caller holds mu.
func (d *Directory) versionInReplicaLocked() uint64 {
	r := d.replicas[platform.KindConfiguration]
	e, ok := r.Entry(platform.ConfigurationObjectName)
	if !ok || e.Removed {
		return 0
	}
	if at := (fleet.StorePosition{Era: r.Position().Era, Revision: e.Revision}); d.decodedVersion.at != at {
		d.decodedVersion.at, d.decodedVersion.version = at, 0
		if c, err := platform.DecodeConfiguration(e.Spec); err == nil { // An invalid one is logged where it is ignored.
			d.decodedVersion.version = c.Version
		}
	}
	return d.decodedVersion.version
}

// applyConfigurationLocked makes a configuration the active one if it is valid and newer. It
// reports whether it is now, or was before, the active one. The caller holds mu.
func (d *Directory) applyConfigurationLocked(spec []byte, source string, revision uint64) bool {
	c, err := platform.DecodeConfiguration(spec)
	log := d.log.WithFields(logrus.Fields{"source": source, "revision": revision, "era": d.storeEra})
	if err != nil {
		log.WithError(err).Error("ignored invalid configuration")
		return false
	}
	if d.active.configuration != nil && c.Version <= d.active.configuration.Version {
		return c.Version == d.active.configuration.Version
	}
	d.active.configuration, d.active.spec = c, spec
	d.active.position, d.active.source = fleet.StorePosition{Era: d.storeEra, Revision: revision}, source
	log.WithField("version", c.Version).Info("configuration applied")
	return true
}

// eraSettledLocked reports whether the store holds the mark of its current era. The caller
// holds mu.
func (d *Directory) eraSettledLocked() bool {
	r := d.replicas[KindRouters]
	if !d.eraKnown || r.Position().Revision == 0 || r.Position().Era != d.storeEra {
		return false
	}
	if d.anyEraSettled && d.settledEra == d.storeEra {
		return true
	}
	for _, e := range r.LiveEntries() {
		var spec RouterSpec
		if err := json.Unmarshal(e.Spec, &spec); err != nil || e.Unconfirmed {
			continue // An invalid entry is logged where the routers are listed.
		}
		if spec.SettledEra != nil && *spec.SettledEra == d.storeEra {
			d.settledEra, d.anyEraSettled = d.storeEra, true
			return true
		}
	}
	return false
}

// inFirstEraLocked reports whether the store has not come back from a copy, as far as its objects
// tell: none holds the mark of an earlier era. The caller holds mu.
func (d *Directory) inFirstEraLocked() bool {
	r := d.replicas[KindRouters]
	if r.Position().Revision == 0 {
		return false
	}
	for _, e := range r.LiveEntries() {
		var spec RouterSpec
		if err := json.Unmarshal(e.Spec, &spec); err == nil && spec.SettledEra != nil && *spec.SettledEra < d.storeEra {
			return false
		}
	}
	return true
}

// othersPatienceLocked returns how long after its start this router asks the others for their
// configuration. One that knows of a newer configuration than the store's waits until operators
// must have written it again, should the routers that have it be gone. The caller holds mu.
func (d *Directory) othersPatienceLocked() time.Duration {
	if d.statedVersion > 0 && !d.knowsStatedVersionLocked() {
		return max(d.EraWait.AsDuration(), eraSettleTime)
	}
	return d.EraWait.AsDuration()
}

// trustStoreLocked lets this router take configurations of the store from now on. The caller
// holds mu.
func (d *Directory) trustStoreLocked(reason string) {
	if d.storeTrusted {
		return
	}
	d.storeTrusted = true
	d.log.WithFields(logrus.Fields{"reason": reason, "era": d.storeEra, "stated": d.statedVersion, "waited_ms": time.Since(d.startedAt).Milliseconds()}).Info("taking configurations of the store")
	d.updateConfigurationLocked("store")
	d.publishViewLocked()
}

// StoreTrusted reports whether this router takes configurations of the store. If not, it
// needs to know what the other routers have in force.
func (d *Directory) StoreTrusted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeTrusted
}

// ActiveConfiguration returns the version of the active configuration, or 0 if there is none, and
// its encoding. inReplica is true if the replica of the store holds it.
func (d *Directory) ActiveConfiguration() (version uint64, spec []byte, inReplica bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active.configuration == nil {
		return 0, nil, false
	}
	return d.active.configuration.Version, d.active.spec, d.active.inReplica
}

// MergeConfiguration takes what another router has in force: its version, or 0 if it has none,
// and its encoding if this router may not find it in its replica of the store. A router that
// starts takes configurations of the store once it knows the newest version stated so far; the
// version alone says that there is a newer one and not what it holds.
func (d *Directory) MergeConfiguration(version uint64, spec []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statedVersion = max(d.statedVersion, version)
	if len(spec) > 0 && (d.active.configuration == nil || version > d.active.configuration.Version) {
		if d.applyConfigurationLocked(spec, sourceRouter, 0) {
			d.active.inReplica = false
			d.publishViewLocked()
		}
	}
	if d.statedVersion > 0 && d.knowsStatedVersionLocked() {
		d.trustStoreLocked("other_router_asked")
	}
}
