package directory

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/platform"
)

// publishTimeTolerance is the difference up to which two publish times count as equal.
// It covers the delay of an exchange between routers.
const publishTimeTolerance = 200 * time.Millisecond

// assumedPublishAge is the age of the versions that a router finds when it starts, until
// another router tells it. After a restart of all routers none knows it; too low an age would
// let requests begin on weights that expired before.
const assumedPublishAge = 5 * time.Second

// retainedCheckInterval is the time between two checks for retained endpoints whose
// grace period has ended.
const retainedCheckInterval = 200 * time.Millisecond

// handleReplicaChangeLocked rebuilds the view after the replica of a kind has changed.
// The caller holds mu.
func (d *Directory) handleReplicaChangeLocked(kind, source string) {
	d.replicaChanges.WithLabelValues(kind, source).Inc()
	r := d.replicas[kind]
	if revision := r.Position().Revision; revision > tombstoneRevisions {
		r.DropTombstones(revision - tombstoneRevisions)
	}
	switch kind {
	case platform.KindConfiguration:
		d.updateConfigurationLocked(source)
	case platform.KindPublishedWeightsVersions:
		d.publishedBy = source
	case platform.KindEndpoints, KindSoftwareVersions:
	case KindRouters:
		// Subscribers divide work between the routers.
		d.routerCount.Store(int64(len(d.OtherRouterNamesLocked()) + 1))
		if !d.storeTrusted {
			d.updateConfigurationLocked(source)
		}
	default:
		return
	}
	d.publishViewLocked()
}

// publishViewLocked builds a new view and passes it to the subscribers. The caller
// holds mu.
func (d *Directory) publishViewLocked() {
	v := &fleet.View{
		Config: d.active.configuration, EndpointsByService: map[string][]*fleet.Endpoint{}, EndpointsByID: map[string]*fleet.Endpoint{},
		LatestWeightsVersions: d.latestWeightsVersionsLocked(), PublishedWeightsVersions: map[string][]fleet.PublishedWeightsVersion{},
	}
	for model, versions := range d.publishedWeightsVersions {
		v.PublishedWeightsVersions[model] = slices.Clone(versions)
	}
	now := time.Now()
	for _, e := range d.replicas[platform.KindEndpoints].LiveEntries() {
		if endpoint := d.decodeEndpointLocked(e); endpoint != nil && !d.ignoredAsDepartedLocked(endpoint, now) {
			v.EndpointsByID[endpoint.ID] = endpoint
		}
	}
	d.retainRemovedEndpointsLocked(v)
	d.markLeavingEndpointsLocked(v)
	for _, e := range v.EndpointsByID {
		v.EndpointsByService[e.Service] = append(v.EndpointsByService[e.Service], e)
	}
	d.logEndpointChangesLocked(d.view.Load(), v)
	d.view.Store(v)
	d.updateStanding()
	for _, f := range d.subscribers {
		f(v)
	}
}

// latestWeightsVersionsLocked returns the newest published weights version of each
// model. The result for a model is never lower than that of an earlier call.
func (d *Directory) latestWeightsVersionsLocked() map[string]uint64 {
	out := map[string]uint64{}
	old := d.view.Load().LatestWeightsVersions
	for model, version := range old {
		out[model] = version
	}
	for _, e := range d.replicas[platform.KindPublishedWeightsVersions].LiveEntries() {
		model, version, err := platform.DecodePublishedWeightsVersion(e.Spec)
		if err != nil {
			d.logInvalidEntryLocked(e, err)
			continue
		}
		if version > out[model] {
			published := fleet.PublishedWeightsVersion{Version: version, PublishedAt: time.Now().Add(-d.publishAgeLocked())}
			if !d.versionsLoaded {
				published.PublishedAt, published.Assumed = time.Now().Add(-assumedPublishAge), true
			}
			out[model] = version
			d.recordPublishTimeLocked(model, published)
			d.log.WithFields(logrus.Fields{"model": model, "weights": version}).Info("weights version published")
		}
	}
	// Another router may know a publication that a restored copy of the store lacks.
	for model, versions := range d.publishedWeightsVersions {
		out[model] = max(out[model], versions[len(versions)-1].Version)
	}
	return out
}

// publishAgeLocked returns how long ago a version that the replica now shows may have been
// published. A watch reports it at once, and another router states its age. What a read of the
// store finds may have been there since the replica was last confirmed, for example if the store
// dropped the event; a later time would let requests begin on superseded weights after the
// deadline. The caller holds mu.
func (d *Directory) publishAgeLocked() time.Duration {
	age, known := d.confirmations[platform.KindPublishedWeightsVersions].Age(bootclock.Now())
	if !known || d.publishedBy != sourceRead && d.publishedBy != sourceList {
		return 0
	}
	return age
}

// recordPublishTimeLocked records when a version was published, keeping the earliest
// time. A time that a router knows replaces an assumed one. It reports whether the record
// changed. The versions stay in ascending order. The caller holds mu.
func (d *Directory) recordPublishTimeLocked(model string, published fleet.PublishedWeightsVersion) bool {
	versions := d.publishedWeightsVersions[model]
	i, found := slices.BinarySearchFunc(versions, published.Version, func(p fleet.PublishedWeightsVersion, v uint64) int {
		return cmp.Compare(p.Version, v)
	})
	if found {
		earlier := !published.PublishedAt.After(versions[i].PublishedAt.Add(-publishTimeTolerance))
		if published.Assumed || !versions[i].Assumed && !earlier {
			return false
		}
		versions[i] = published
		return true
	}
	versions = slices.Insert(versions, i, published)
	d.publishedWeightsVersions[model] = versions[max(0, len(versions)-maxPublishedWeightsVersions):]
	return true
}

// PublishedWeightsVersions returns the recently published weights versions of each
// model and the earliest known times of their publication.
func (d *Directory) PublishedWeightsVersions() map[string][]fleet.PublishedWeightsVersion {
	return d.View().PublishedWeightsVersions
}

// MergePublishTime merges the age of a weights version that another router reported. A
// router that started later would otherwise count the version's age from its own start.
func (d *Directory) MergePublishTime(model string, version uint64, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.recordPublishTimeLocked(model, fleet.PublishedWeightsVersion{Version: version, PublishedAt: time.Now().Add(-age)}) {
		d.publishViewLocked()
	}
}

// decodeEndpointLocked returns the endpoint of an object, or nil if the object is
// invalid.
func (d *Directory) decodeEndpointLocked(e replica.Entry) *fleet.Endpoint {
	cached := d.decodedEndpoints[e.Name]
	if cached.revision != e.Revision || cached.endpoint == nil {
		endpoint, err := platform.DecodeEndpoint(e.Name, e.Spec)
		if err != nil {
			d.logInvalidEntryLocked(e, err)
			return nil
		}
		cached = decodedEndpoint{e.Revision, endpoint}
		d.decodedEndpoints[e.Name] = cached
		if previous := d.view.Load().EndpointsByID[e.Name]; previous != nil && previous.StartedAtUnixMS != endpoint.StartedAtUnixMS {
			// It started again and holds nothing of what it reported before.
			delete(d.observedWeightsVersions, e.Name)
		}
	}
	return withObservedWeightsVersions(cached.endpoint, d.observedWeightsVersions[e.Name])
}

// withObservedWeightsVersions returns the endpoint with the observed weights versions
// where they are newer than those of its object.
func withObservedWeightsVersions(e *fleet.Endpoint, observed map[string]uint64) *fleet.Endpoint {
	if len(observed) == 0 {
		return e
	}
	merged := *e
	merged.WeightsVersions = map[string]uint64{}
	for model, version := range e.WeightsVersions {
		merged.WeightsVersions[model] = max(version, observed[model])
	}
	return &merged
}

// logInvalidEntryLocked logs an invalid object once for each of its revisions.
func (d *Directory) logInvalidEntryLocked(e replica.Entry, err error) {
	if d.loggedInvalidRevisions[e.Name] == e.Revision {
		return
	}
	d.loggedInvalidRevisions[e.Name] = e.Revision
	d.log.WithError(err).WithField("revision", e.Revision).Warn("ignored store object with invalid content")
}

// retainRemovedEndpointsLocked adds to the view the ready endpoints whose objects were
// removed just after a store outage, for removedEndpointGrace. The store may have
// dropped the objects because the endpoints could not renew them during the outage.
func (d *Directory) retainRemovedEndpointsLocked(v *fleet.View) {
	now := time.Now()
	until := d.storeReachableSince.Add(removedEndpointGrace)
	for id, e := range d.view.Load().EndpointsByID {
		_, retained := d.retainedEndpoints[id]
		if v.EndpointsByID[id] == nil && !retained && e.State == fleet.Ready && now.Before(until) {
			d.retainedEndpoints[id] = retainedEndpoint{e, until}
		}
	}
	for id, r := range d.retainedEndpoints {
		if v.EndpointsByID[id] != nil || !now.Before(r.until) || addressReused(v, r.endpoint) {
			delete(d.retainedEndpoints, id)
			continue
		}
		v.EndpointsByID[id] = r.endpoint
	}
}

// addressReused reports whether another endpoint of the view has the same address.
func addressReused(v *fleet.View, e *fleet.Endpoint) bool {
	for _, other := range v.EndpointsByID {
		if other.Address == e.Address && other.ID != e.ID {
			return true
		}
	}
	return false
}

// expireRetained periodically drops endpoints and unconfirmed objects whose grace
// period has ended.
func (d *Directory) expireRetained(ctx context.Context) {
	for ctx.Err() == nil {
		wait.ForJittered(ctx, retainedCheckInterval)
		d.mu.Lock()
		d.dropUnconfirmedLocked(time.Now())
		if time.Since(d.startedAt) > d.othersPatienceLocked() {
			d.trustStoreLocked("timeout")
		}
		if departuresExpired := d.expireDeparturesLocked(time.Now()); departuresExpired || len(d.retainedEndpoints) > 0 {
			d.publishViewLocked()
		}
		d.mu.Unlock()
	}
}

// logEndpointChangesLocked logs the differences between two views and forgets the state
// of removed endpoints.
func (d *Directory) logEndpointChangesLocked(old, v *fleet.View) {
	for id, e := range v.EndpointsByID {
		previous := old.EndpointsByID[id]
		// One that is back has not left: the next restore must not hold its removal against it.
		delete(d.departedEndpoints, id)
		if previous == nil || previous.State != e.State {
			d.log.WithFields(logrus.Fields{
				"endpoint": id, "service": e.Service, "address": e.Address, "software": e.SoftwareVersion, "draining": e.State == fleet.Draining,
			}).Info("endpoint added or changed state")
		}
	}
	for id, e := range old.EndpointsByID {
		if v.EndpointsByID[id] == nil {
			d.log.WithFields(logrus.Fields{"endpoint": id, "service": e.Service, "address": e.Address}).Info("endpoint removed")
			d.departedEndpoints[id] = departedEndpoint{startedAtUnixMS: e.StartedAtUnixMS, removedAt: time.Now()}
			delete(d.decodedEndpoints, id)
			delete(d.observedWeightsVersions, id)
		}
	}
}

// ObserveWeightsVersion records the weights version that an endpoint stated in a
// response to a request. Versions that are not newer than the known one are ignored.
func (d *Directory) ObserveWeightsVersion(endpoint, model string, version uint64) {
	if e := d.View().EndpointsByID[endpoint]; e != nil && e.WeightsVersions[model] < version {
		d.SetWeightsVersion(endpoint, model, version)
	}
}

// SetWeightsVersion records the weights version that an endpoint reports in its
// status. It replaces the version recorded before, even with a lower one. If the
// endpoint's store object states a higher version, the higher one applies.
func (d *Directory) SetWeightsVersion(endpoint, model string, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.Load().EndpointsByID[endpoint] == nil || d.observedWeightsVersions[endpoint][model] == version {
		return
	}
	if d.observedWeightsVersions[endpoint] == nil {
		d.observedWeightsVersions[endpoint] = map[string]uint64{}
	}
	d.observedWeightsVersions[endpoint][model] = version
	d.log.WithFields(logrus.Fields{"endpoint": endpoint, "model": model, "weights": version}).Info("endpoint weights version updated")
	d.publishViewLocked()
}

// ReplicaPosition is the position up to which the replica of a kind is complete.
type ReplicaPosition struct {
	Kind     string
	Position fleet.StorePosition
}

// ReplicaPositions returns the position of each replica.
func (d *Directory) ReplicaPositions() []ReplicaPosition {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]ReplicaPosition, 0, len(replicatedKinds))
	for _, kind := range replicatedKinds {
		out = append(out, ReplicaPosition{kind, d.replicas[kind].Position()})
	}
	return out
}

// ChangedSince returns what a replica of a kind that is complete up to a position may
// lack. It returns false if this router's replica is not newer.
func (d *Directory) ChangedSince(kind string, since fleet.StorePosition) (replica.Delta, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.replicas[kind]
	if r == nil || !since.Before(r.Position()) {
		return replica.Delta{}, false
	}
	return r.ChangedSince(since), true
}

// MergeDelta merges what another router's replica has to tell.
func (d *Directory) MergeDelta(kind string, delta replica.Delta) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.replicas[kind] != nil {
		d.applyLocked(kind, sourceRouter, -1, delta)
	}
	d.versionsLoaded = d.versionsLoaded || kind == platform.KindPublishedWeightsVersions
}

// OtherRouterNamesLocked returns the names of the other registered routers. The caller
// holds mu, so only functions passed to Subscribe may call it.
func (d *Directory) OtherRouterNamesLocked() map[string]bool {
	out := map[string]bool{}
	for _, e := range d.replicas[KindRouters].LiveEntries() {
		if e.Name != d.node.ID {
			out[e.Name] = true
		}
	}
	return out
}

// EntryLocked returns what the store holds for an object, as far as this router knows, and
// its position. The revision is 0 if it holds nothing. The caller holds mu, so only functions
// passed to Subscribe may call it.
func (d *Directory) EntryLocked(kind, name string) (spec []byte, position fleet.StorePosition) {
	r := d.replicas[kind]
	position.Era = r.Position().Era
	if e, ok := r.Entry(name); ok && !e.Removed && !e.Unconfirmed {
		spec, position.Revision = e.Spec, e.Revision
	}
	return spec, position
}

// RoutersKnownLocked reports whether the registered routers are known. Before that, a router
// seems to be the only one. The caller holds mu, so only functions passed to Subscribe may
// call it.
func (d *Directory) RoutersKnownLocked() bool { return d.replicas[KindRouters].Position().Revision > 0 }

// ZonePositionLocked returns this router's position, by name, among the registered
// routers of its availability zone, and their number. The caller holds mu, so only
// functions passed to Subscribe may call it.
func (d *Directory) ZonePositionLocked() (position, routers int) {
	routers = 1
	for _, e := range d.replicas[KindRouters].LiveEntries() {
		var r RouterSpec
		if err := json.Unmarshal(e.Spec, &r); err != nil || r.Zone != d.node.Zone || e.Name == d.node.ID {
			continue // An invalid entry is logged where the routers are listed.
		}
		routers++
		if e.Name < d.node.ID {
			position++
		}
	}
	return position, routers
}

// RouterCount returns the number of registered routers, with this one. It takes no lock.
func (d *Directory) RouterCount() int { return int(max(1, d.routerCount.Load())) }

// OtherRouters returns the other registered routers by name.
func (d *Directory) OtherRouters() map[string]RouterSpec {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]RouterSpec{}
	for _, e := range d.replicas[KindRouters].LiveEntries() {
		var r RouterSpec
		if err := json.Unmarshal(e.Spec, &r); err != nil || r.Address == "" {
			d.logInvalidEntryLocked(e, err)
			continue
		}
		if e.Name != d.node.ID {
			out[e.Name] = r
		}
	}
	return out
}
