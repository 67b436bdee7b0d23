package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/settings"
	standin "github.com/arbutusline/arbutusline/standin/platform"
)

func newDirectory(t *testing.T) *Directory {
	file, err := settings.Parse([]byte(`{
		"admin": {"listen": "127.0.0.1:0"}, "directory": {"store": "127.0.0.1:1", "advertise": "127.0.0.1:2"},
		"node": {"id": "r", "role": "router", "zone": "a"}
	}`))
	assert.NilError(t, err)
	k := arbutusline.New(file, logrus.NewEntry(logrus.New()))
	assert.NilError(t, k.Load("admin", "node", "memory", Name))
	d, err := arbutusline.Lookup[*Directory](k, Name)
	assert.NilError(t, err)
	return d
}

// Guards against a router that takes the newest position it hears of for its own: it would count
// as up to date while it lacks the changes.
func TestStatementAboutANewerReplicaConfirmsNothing(t *testing.T) {
	d := newDirectory(t)
	kind, at := platform.KindEndpoints, fleet.StorePosition{Era: 1, Revision: 5}
	confirmed := func() bool { _, known := d.ConfirmedAge(kind); return known }
	d.ConfirmFromRouter(kind, at, bootclock.Now())
	assert.Assert(t, !confirmed())
	d.MergeDelta(kind, replica.Delta{At: fleet.StorePosition{Era: 1, Revision: 4}, Complete: true})
	d.ConfirmFromRouter(kind, at, bootclock.Now())
	assert.Assert(t, !confirmed(), "confirmed at an older revision")
	d.MergeDelta(kind, replica.Delta{At: fleet.StorePosition{Era: 2, Revision: 9}, Complete: true})
	d.ConfirmFromRouter(kind, at, bootclock.Now())
	assert.Assert(t, !confirmed(), "confirmed by a router that knows an earlier era of the store")
	d.ConfirmFromRouter(kind, fleet.StorePosition{Era: 2, Revision: 8}, bootclock.Now())
	assert.Assert(t, confirmed())
}

// Guards against a replica that counts as confirmed since the arrival of a response. The response
// may have been under way for long; only the begin of its call is certain.
func TestChangesConfirmAsOfTheBeginOfTheirCall(t *testing.T) {
	d := newDirectory(t)
	begin := bootclock.Now() - time.Minute
	d.mu.Lock()
	d.applyLocked(platform.KindEndpoints, "list", begin, replica.Delta{At: fleet.StorePosition{Era: 1, Revision: 5}, Complete: true})
	d.mu.Unlock()
	age, known := d.ConfirmedAge(platform.KindEndpoints)
	assert.Assert(t, known && age >= time.Minute)
}

// Guards against a list that arrives after that of a later era, or of a later revision, and
// confirms the replica as of its own call although it was not applied.
func TestOutdatedListConfirmsNothing(t *testing.T) {
	d := newDirectory(t)
	d.MergeDelta(platform.KindEndpoints, replica.Delta{At: fleet.StorePosition{Era: 2, Revision: 5}, Complete: true})
	d.mu.Lock()
	d.applyLocked(platform.KindEndpoints, "list", bootclock.Now(), replica.Delta{At: fleet.StorePosition{Era: 1, Revision: 7}, Complete: true})
	d.mu.Unlock()
	_, known := d.ConfirmedAge(platform.KindEndpoints)
	assert.Assert(t, !known)
}

func encodeConfiguration(t *testing.T, version int) []byte {
	spec, err := json.Marshal(standin.SampleConfiguration(version))
	assert.NilError(t, err)
	return spec
}

// listConfiguration applies a list of the store with one configuration.
func listConfiguration(d *Directory, era uint64, spec []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyLocked(platform.KindConfiguration, "list", bootclock.Now(), replica.Delta{
		At: fleet.StorePosition{Era: era, Revision: 9}, Complete: true,
		Entries: []replica.Entry{{Name: platform.ConfigurationObjectName, Revision: 9, Spec: spec}},
	})
}

// Guards against an invalid configuration that is taken and an older one that undoes the one in
// force, from another router or from a list of a later era of the store.
func TestInvalidOrOlderConfigurationReplacesNone(t *testing.T) {
	d := newDirectory(t)
	encode := func(version int) []byte { return encodeConfiguration(t, version) }
	list := func(era uint64, spec []byte) { listConfiguration(d, era, spec) }
	d.MergeConfiguration(7, encode(7))
	for _, spec := range [][]byte{encode(6), []byte(`{"version": 8, "routes": "none"}`), []byte("\xff")} {
		d.MergeConfiguration(8, spec)
		assert.Equal(t, d.View().Config.Version, uint64(7))
	}
	list(1, encode(6))
	assert.Equal(t, d.View().Config.Version, uint64(7))
	list(2, []byte(`{"version": 8, "routes": "none"}`))
	assert.Equal(t, d.View().Config.Version, uint64(7))
	list(3, encode(8))
	assert.Equal(t, d.View().Config.Version, uint64(8))
}

// listRouters lists a router that has found an era settled.
func listRouters(t *testing.T, d *Directory, era, settledEra uint64) {
	spec, err := json.Marshal(RouterSpec{Address: "127.0.0.1:3", SettledEra: &settledEra})
	assert.NilError(t, err)
	d.MergeDelta(KindRouters, replica.Delta{
		At: fleet.StorePosition{Era: era, Revision: 10 + settledEra}, Complete: true,
		Entries: []replica.Entry{{Name: "s", Revision: 10 + settledEra, Spec: spec}},
	})
}

// Guards against a final refusal by a router that starts while the store holds a copy without what it
// had acknowledged: the routers that it asks may lag, too.
func TestRouterThatStartsInAnUnsettledEraConfirmsNothing(t *testing.T) {
	d := newDirectory(t)
	listConfiguration(d, 2, encodeConfiguration(t, 1))
	d.MergeConfiguration(1, nil) // Another router that has not heard of version 2.
	assert.Equal(t, versionInForce(d), uint64(1))
	assert.Assert(t, !d.ConfigurationKnown(d.Standing()), "the marks are not known")
	listRouters(t, d, 2, 1)
	assert.Assert(t, !d.ConfigurationKnown(d.Standing()))
	listRouters(t, d, 2, 2)
	assert.Assert(t, d.ConfigurationKnown(d.Standing()), "the era has settled")
}

// Guards against a deployment that starts for the first time and refuses nothing for good for a while.
func TestFirstEraConfirmsAtOnce(t *testing.T) {
	d := newDirectory(t)
	listConfiguration(d, 1, encodeConfiguration(t, 1))
	d.MergeConfiguration(1, nil)
	d.MergeDelta(KindRouters, replica.Delta{At: fleet.StorePosition{Era: 1, Revision: 9}, Complete: true})
	assert.Assert(t, d.ConfigurationKnown(d.Standing()))
}
