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
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/platform"
)

// namedTolerance is the difference in the age of a version below which routers
// agree: the time of an exchange.
const publishTimeTolerance = 200 * time.Millisecond

// expireEvery is the period at which endpoints past their grace are dropped.
const retainedCheckInterval = 200 * time.Millisecond

// Router is the content of a router's object.
type RouterSpec struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

// changed rebuilds the view. The caller holds mu.
func (d *Directory) handleReplicaChange(kind, source string) {
	d.replicaChanges.WithLabelValues(kind, source).Inc()
	c := d.replicas[kind]
	if c.Revision() > tombstoneRevisions {
		c.DropTombstones(c.Revision() - tombstoneRevisions)
	}
	switch kind {
	case platform.KindConfiguration:
		d.updateConfiguration(source)
	case platform.KindEndpoints, platform.KindPublishedVersions:
	default:
		return
	}
	d.publishView()
}

// takeConfiguration decodes the configuration object. An older version than
// the one in force or one that does not decode leaves the one in force.
func (d *Directory) updateConfiguration(source string) {
	for _, e := range d.replicas[platform.KindConfiguration].LiveEntries() {
		if e.Name != platform.ConfigurationObjectName {
			continue
		}
		c, err := platform.DecodeConfiguration(e.Spec)
		log := d.log.WithFields(logrus.Fields{"source": source, "revision": e.Revision})
		if err != nil {
			log.WithError(err).Error("configuration not usable")
			return
		}
		if d.config != nil && c.Version <= d.config.Version {
			return
		}
		d.config = c
		log.WithField("version", c.Version).Info("configuration in force")
	}
}

func (d *Directory) publishView() {
	v := &fleet.View{
		Config: d.config, ByService: map[string][]*fleet.Endpoint{}, ByID: map[string]*fleet.Endpoint{},
		LatestWeightsVersions: d.latestWeightsVersions(), PublishedWeightsVersions: map[string][]fleet.PublishedWeightsVersion{},
	}
	for model, versions := range d.publishedVersions {
		v.PublishedWeightsVersions[model] = slices.Clone(versions)
	}
	for _, e := range d.replicas[platform.KindEndpoints].LiveEntries() {
		if endpoint := d.decodeEndpoint(e); endpoint != nil {
			v.ByID[endpoint.ID] = endpoint
		}
	}
	d.retainRemovedEndpoints(v)
	for _, e := range v.ByID {
		v.ByService[e.Service] = append(v.ByService[e.Service], e)
	}
	d.logEndpointChanges(d.view.Load(), v)
	d.view.Store(v)
	for _, f := range d.subscribers {
		f(v)
	}
}

func (d *Directory) latestWeightsVersions() map[string]uint64 {
	out := map[string]uint64{}
	old := d.view.Load().LatestWeightsVersions
	for model, version := range old {
		out[model] = version
	}
	for _, e := range d.replicas[platform.KindPublishedVersions].LiveEntries() {
		model, version, err := platform.DecodePublishedVersion(e.Spec)
		if err != nil {
			d.logInvalidEntry(e, err)
			continue
		}
		if version > out[model] {
			out[model] = version
			d.recordPublishTime(model, version, time.Now())
			d.log.WithFields(logrus.Fields{"model": model, "weights": version}).Info("weights named")
		}
	}
	return out
}

// noteNamed records when a version was named, the earliest time that is known. It
// reports whether that is news. The versions stay in order. The caller holds mu.
func (d *Directory) recordPublishTime(model string, version uint64, at time.Time) bool {
	versions := d.publishedVersions[model]
	i, found := slices.BinarySearchFunc(versions, version, func(n fleet.PublishedWeightsVersion, v uint64) int {
		return cmp.Compare(n.Version, v)
	})
	if found {
		if at.After(versions[i].PublishedAt.Add(-publishTimeTolerance)) {
			return false
		}
		versions[i].PublishedAt = at
		return true
	}
	versions = slices.Insert(versions, i, fleet.PublishedWeightsVersion{Version: version, PublishedAt: at})
	d.publishedVersions[model] = versions[max(0, len(versions)-maxPublishedVersions):]
	return true
}

// Named returns when this router believes the weights versions of each model to
// have been named.
func (d *Directory) PublishedWeightsVersions() map[string][]fleet.PublishedWeightsVersion {
	return d.View().PublishedWeightsVersions
}

// MergeNamed takes another router's knowledge of when a version was named: a
// router that started later would count its age from its own start.
func (d *Directory) MergePublishTime(model string, version uint64, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.recordPublishTime(model, version, time.Now().Add(-age)) {
		d.publishView()
	}
}

// decodeEndpoint returns nil for entries that name no endpoint to use.
func (d *Directory) decodeEndpoint(e replica.Entry) *fleet.Endpoint {
	cached := d.decodedEndpoints[e.Name]
	if cached.revision != e.Revision || cached.endpoint == nil {
		endpoint, err := platform.DecodeEndpoint(e.Name, e.Spec)
		if err != nil {
			d.logInvalidEntry(e, err)
			return nil
		}
		cached = decodedEndpoint{e.Revision, endpoint}
		d.decodedEndpoints[e.Name] = cached
	}
	return withObservedWeights(cached.endpoint, d.observedWeights[e.Name])
}

// withLearned adds weights versions that answers showed before the entry did.
func withObservedWeights(e *fleet.Endpoint, observed map[string]uint64) *fleet.Endpoint {
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

// reportBad logs an entry that cannot be used, once for each of its states.
func (d *Directory) logInvalidEntry(e replica.Entry, err error) {
	if d.invalidLogged[e.Name] == e.Revision {
		return
	}
	d.invalidLogged[e.Name] = e.Revision
	d.log.WithError(err).WithField("revision", e.Revision).Warn("entry ignored")
}

// keepLapsed keeps endpoints whose entries were removed just after the store
// returned: the store may have dropped them while they could not renew them.
func (d *Directory) retainRemovedEndpoints(v *fleet.View) {
	now := time.Now()
	until := d.storeReachableSince.Add(removedEndpointGrace)
	for id, e := range d.view.Load().ByID {
		_, retained := d.retained[id]
		if v.ByID[id] == nil && !retained && e.State == fleet.Ready && now.Before(until) {
			d.retained[id] = retainedEndpoint{e, until}
		}
	}
	for id, r := range d.retained {
		if v.ByID[id] != nil || !now.Before(r.until) || addressReused(v, r.endpoint) {
			delete(d.retained, id)
			continue
		}
		v.ByID[id] = r.endpoint
	}
}

func addressReused(v *fleet.View, e *fleet.Endpoint) bool {
	for _, other := range v.ByID {
		if other.Address == e.Address && other.ID != e.ID {
			return true
		}
	}
	return false
}

func (d *Directory) expireRetained(ctx context.Context) {
	for ctx.Err() == nil {
		wait.ForJittered(ctx, retainedCheckInterval)
		d.mu.Lock()
		if len(d.retained) > 0 {
			d.publishView()
		}
		d.mu.Unlock()
	}
}

func (d *Directory) logEndpointChanges(old, v *fleet.View) {
	for id, e := range v.ByID {
		previous := old.ByID[id]
		if previous == nil || previous.State != e.State {
			d.log.WithFields(logrus.Fields{
				"endpoint": id, "service": e.Service, "address": e.Address, "draining": e.State == fleet.Draining,
			}).Info("endpoint known")
		}
	}
	for id, e := range old.ByID {
		if v.ByID[id] == nil {
			d.log.WithFields(logrus.Fields{"endpoint": id, "service": e.Service, "address": e.Address}).Info("endpoint gone")
			delete(d.decodedEndpoints, id)
			delete(d.observedWeights, id)
		}
	}
}

// LearnWeights records that an endpoint's answer showed a version.
func (d *Directory) ObserveWeightsVersion(endpoint, model string, version uint64) {
	if e := d.View().ByID[endpoint]; e != nil && e.WeightsVersions[model] < version {
		d.SetWeightsVersion(endpoint, model, version)
	}
}

// SetWeights records the version that an endpoint reports itself. It replaces what
// was learned before; the endpoint's entry prevails once it shows a higher one.
func (d *Directory) SetWeightsVersion(endpoint, model string, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.Load().ByID[endpoint] == nil || d.observedWeights[endpoint][model] == version {
		return
	}
	if d.observedWeights[endpoint] == nil {
		d.observedWeights[endpoint] = map[string]uint64{}
	}
	d.observedWeights[endpoint][model] = version
	d.log.WithFields(logrus.Fields{"endpoint": endpoint, "model": model, "weights": version}).Info("weights of endpoint learned")
	d.publishView()
}

// Position is how far the copy of a kind reaches.
type ReplicaRevision struct {
	Kind     string
	Revision uint64
}

// Positions returns how far the copies reach.
func (d *Directory) ReplicaRevisions() []ReplicaRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]ReplicaRevision, 0, len(replicatedKinds))
	for _, kind := range replicatedKinds {
		out = append(out, ReplicaRevision{kind, d.replicas[kind].Revision()})
	}
	return out
}

// Since returns the entries of a kind that a copy complete up to a revision may
// lack, and how far the copy reaches.
func (d *Directory) ChangedSince(kind string, revision uint64) ([]replica.Entry, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.replicas[kind]
	if c == nil || c.Revision() <= revision {
		return nil, 0
	}
	return c.ChangedSince(revision), c.Revision()
}

// Merge takes entries from another router's copy.
func (d *Directory) MergeEntries(kind string, entries []replica.Entry, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.replicas[kind]; c != nil && c.ApplyChanges(entries, revision) {
		d.handleReplicaChange(kind, "router")
	}
}

// RouterNames returns the names of the other routers that have registered. It
// may be called from a function given to Watch.
func (d *Directory) OtherRouterNames() map[string]bool {
	out := map[string]bool{}
	for _, e := range d.replicas[KindRouters].LiveEntries() {
		if e.Name != d.node.ID {
			out[e.Name] = true
		}
	}
	return out
}

// Routers returns the other routers that have registered.
func (d *Directory) OtherRouters() map[string]RouterSpec {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]RouterSpec{}
	for _, e := range d.replicas[KindRouters].LiveEntries() {
		var r RouterSpec
		if err := json.Unmarshal(e.Spec, &r); err != nil || r.Address == "" {
			d.logInvalidEntry(e, err)
			continue
		}
		if e.Name != d.node.ID {
			out[e.Name] = r
		}
	}
	return out
}
