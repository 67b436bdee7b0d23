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
const namedTolerance = 200 * time.Millisecond

// expireEvery is the period at which endpoints past their grace are dropped.
const expireEvery = 200 * time.Millisecond

// Router is the content of a router's object.
type Router struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

// changed rebuilds the view. The caller holds mu.
func (d *Directory) changed(kind, source string) {
	d.merges.WithLabelValues(kind, source).Inc()
	c := d.copies[kind]
	if c.Revision() > tombstones {
		c.DropTombstones(c.Revision() - tombstones)
	}
	switch kind {
	case platform.KindConfiguration:
		d.takeConfiguration(source)
	case platform.KindEndpoints, platform.KindPublishedVersions:
	default:
		return
	}
	d.publish()
}

// takeConfiguration decodes the configuration object. An older version than
// the one in force or one that does not decode leaves the one in force.
func (d *Directory) takeConfiguration(source string) {
	for _, e := range d.copies[platform.KindConfiguration].LiveEntries() {
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

func (d *Directory) publish() {
	v := &fleet.View{
		Config: d.config, ByService: map[string][]*fleet.Endpoint{}, ByID: map[string]*fleet.Endpoint{},
		LatestWeightsVersions: d.namedWeights(), PublishedWeightsVersions: map[string][]fleet.PublishedWeightsVersion{},
	}
	for model, named := range d.named {
		v.PublishedWeightsVersions[model] = slices.Clone(named)
	}
	for _, e := range d.copies[platform.KindEndpoints].LiveEntries() {
		if endpoint := d.decodeEndpoint(e); endpoint != nil {
			v.ByID[endpoint.ID] = endpoint
		}
	}
	d.keepLapsed(v)
	for _, e := range v.ByID {
		v.ByService[e.Service] = append(v.ByService[e.Service], e)
	}
	d.logEndpoints(d.view.Load(), v)
	d.view.Store(v)
	for _, f := range d.watchers {
		f(v)
	}
}

func (d *Directory) namedWeights() map[string]uint64 {
	out := map[string]uint64{}
	old := d.view.Load().LatestWeightsVersions
	for model, version := range old {
		out[model] = version
	}
	for _, e := range d.copies[platform.KindPublishedVersions].LiveEntries() {
		model, version, err := platform.DecodePublishedVersion(e.Spec)
		if err != nil {
			d.reportBad(e, err)
			continue
		}
		if version > out[model] {
			out[model] = version
			d.noteNamed(model, version, time.Now())
			d.log.WithFields(logrus.Fields{"model": model, "weights": version}).Info("weights named")
		}
	}
	return out
}

// noteNamed records when a version was named, the earliest time that is known. It
// reports whether that is news. The versions stay in order. The caller holds mu.
func (d *Directory) noteNamed(model string, version uint64, at time.Time) bool {
	named := d.named[model]
	i, found := slices.BinarySearchFunc(named, version, func(n fleet.PublishedWeightsVersion, v uint64) int {
		return cmp.Compare(n.Version, v)
	})
	if found {
		if at.After(named[i].PublishedAt.Add(-namedTolerance)) {
			return false
		}
		named[i].PublishedAt = at
		return true
	}
	named = slices.Insert(named, i, fleet.PublishedWeightsVersion{Version: version, PublishedAt: at})
	d.named[model] = named[max(0, len(named)-namedHistory):]
	return true
}

// Named returns when this router believes the weights versions of each model to
// have been named.
func (d *Directory) Named() map[string][]fleet.PublishedWeightsVersion {
	return d.View().PublishedWeightsVersions
}

// MergeNamed takes another router's knowledge of when a version was named: a
// router that started later would count its age from its own start.
func (d *Directory) MergeNamed(model string, version uint64, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.noteNamed(model, version, time.Now().Add(-age)) {
		d.publish()
	}
}

// decodeEndpoint returns nil for entries that name no endpoint to use.
func (d *Directory) decodeEndpoint(e replica.Entry) *fleet.Endpoint {
	known := d.decoded[e.Name]
	if known.revision != e.Revision || known.endpoint == nil {
		endpoint, err := platform.DecodeEndpoint(e.Name, e.Spec)
		if err != nil {
			d.reportBad(e, err)
			return nil
		}
		known = decoded{e.Revision, endpoint}
		d.decoded[e.Name] = known
	}
	return withLearned(known.endpoint, d.learned[e.Name])
}

// withLearned adds weights versions that answers showed before the entry did.
func withLearned(e *fleet.Endpoint, learned map[string]uint64) *fleet.Endpoint {
	if len(learned) == 0 {
		return e
	}
	merged := *e
	merged.WeightsVersions = map[string]uint64{}
	for model, version := range e.WeightsVersions {
		merged.WeightsVersions[model] = max(version, learned[model])
	}
	return &merged
}

// reportBad logs an entry that cannot be used, once for each of its states.
func (d *Directory) reportBad(e replica.Entry, err error) {
	if d.badSeen[e.Name] == e.Revision {
		return
	}
	d.badSeen[e.Name] = e.Revision
	d.log.WithError(err).WithField("revision", e.Revision).Warn("entry ignored")
}

// keepLapsed keeps endpoints whose entries were removed just after the store
// returned: the store may have dropped them while they could not renew them.
func (d *Directory) keepLapsed(v *fleet.View) {
	now := time.Now()
	end := d.returned.Add(returnGrace)
	for id, e := range d.view.Load().ByID {
		_, waiting := d.leaving[id]
		if v.ByID[id] == nil && !waiting && e.State == fleet.Ready && now.Before(end) {
			d.leaving[id] = leaving{e, end}
		}
	}
	for id, l := range d.leaving {
		if v.ByID[id] != nil || !now.Before(l.until) || addressTaken(v, l.endpoint) {
			delete(d.leaving, id)
			continue
		}
		v.ByID[id] = l.endpoint
	}
}

func addressTaken(v *fleet.View, e *fleet.Endpoint) bool {
	for _, other := range v.ByID {
		if other.Address == e.Address && other.ID != e.ID {
			return true
		}
	}
	return false
}

func (d *Directory) expire(ctx context.Context) {
	for ctx.Err() == nil {
		wait.ForJittered(ctx, expireEvery)
		d.mu.Lock()
		if len(d.leaving) > 0 {
			d.publish()
		}
		d.mu.Unlock()
	}
}

func (d *Directory) logEndpoints(old, v *fleet.View) {
	for id, e := range v.ByID {
		was := old.ByID[id]
		if was == nil || was.State != e.State {
			d.log.WithFields(logrus.Fields{
				"endpoint": id, "service": e.Service, "address": e.Address, "draining": e.State == fleet.Draining,
			}).Info("endpoint known")
		}
	}
	for id, e := range old.ByID {
		if v.ByID[id] == nil {
			d.log.WithFields(logrus.Fields{"endpoint": id, "service": e.Service, "address": e.Address}).Info("endpoint gone")
			delete(d.decoded, id)
			delete(d.learned, id)
		}
	}
}

// LearnWeights records that an endpoint's answer showed a version.
func (d *Directory) LearnWeights(endpoint, model string, version uint64) {
	if e := d.View().ByID[endpoint]; e != nil && e.WeightsVersions[model] < version {
		d.SetWeights(endpoint, model, version)
	}
}

// SetWeights records the version that an endpoint reports itself. It replaces what
// was learned before; the endpoint's entry prevails once it shows a higher one.
func (d *Directory) SetWeights(endpoint, model string, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.Load().ByID[endpoint] == nil || d.learned[endpoint][model] == version {
		return
	}
	if d.learned[endpoint] == nil {
		d.learned[endpoint] = map[string]uint64{}
	}
	d.learned[endpoint][model] = version
	d.log.WithFields(logrus.Fields{"endpoint": endpoint, "model": model, "weights": version}).Info("weights of endpoint learned")
	d.publish()
}

// Position is how far the copy of a kind reaches.
type Position struct {
	Kind     string
	Revision uint64
}

// Positions returns how far the copies reach.
func (d *Directory) Positions() []Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Position, 0, len(kinds))
	for _, kind := range kinds {
		out = append(out, Position{kind, d.copies[kind].Revision()})
	}
	return out
}

// Since returns the entries of a kind that a copy complete up to a revision may
// lack, and how far the copy reaches.
func (d *Directory) Since(kind string, revision uint64) ([]replica.Entry, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.copies[kind]
	if c == nil || c.Revision() <= revision {
		return nil, 0
	}
	return c.ChangedSince(revision), c.Revision()
}

// Merge takes entries from another router's copy.
func (d *Directory) Merge(kind string, entries []replica.Entry, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.copies[kind]; c != nil && c.ApplyChanges(entries, revision) {
		d.changed(kind, "router")
	}
}

// RouterNames returns the names of the other routers that have registered. It
// may be called from a function given to Watch.
func (d *Directory) RouterNames() map[string]bool {
	out := map[string]bool{}
	for _, e := range d.copies[KindRouters].LiveEntries() {
		if e.Name != d.node.ID {
			out[e.Name] = true
		}
	}
	return out
}

// Routers returns the other routers that have registered.
func (d *Directory) Routers() map[string]Router {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]Router{}
	for _, e := range d.copies[KindRouters].LiveEntries() {
		var r Router
		if err := json.Unmarshal(e.Spec, &r); err != nil || r.Address == "" {
			d.reportBad(e, err)
			continue
		}
		if e.Name != d.node.ID {
			out[e.Name] = r
		}
	}
	return out
}
