package exchange_test

import (
	"encoding/json"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/fleet"
	_ "github.com/arbutusline/arbutusline/modules/cacheevents"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/exchange"
	_ "github.com/arbutusline/arbutusline/modules/upstream"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/settings"
	standin "github.com/arbutusline/arbutusline/standin/platform"
)

func newExchange(t *testing.T) (*exchange.Exchange, *directory.Directory) {
	file, err := settings.Parse([]byte(`{
		"admin": {"listen": "127.0.0.1:0"}, "grpc": {"listen": "127.0.0.1:0"}, "node": {"id": "r", "role": "router", "zone": "a"},
		"directory": {"store": "127.0.0.1:1", "advertise": "127.0.0.1:2"}
	}`))
	assert.NilError(t, err)
	k := arbutusline.New(file, logrus.NewEntry(logrus.New()))
	assert.NilError(t, k.Load("admin", "node", "memory", "grpc", "directory", "upstream", "stream_versions", "relay", "cache_events", "exchange"))
	x, err := arbutusline.Lookup[*exchange.Exchange](k, exchange.Name)
	assert.NilError(t, err)
	d, err := arbutusline.Lookup[*directory.Directory](k, directory.Name)
	assert.NilError(t, err)
	return x, d
}

// Guards against a call that was delayed on the way and confirms the replica of its receiver as of
// its arrival: ages in calls have no effect.
func TestCallsConfirmNothing(t *testing.T) {
	x, d := newExchange(t)
	d.MergeDelta(platform.KindEndpoints, replica.Delta{At: fleet.StorePosition{Era: 1, Revision: 5}, Complete: true})
	age := uint32(0)
	_, err := x.Exchange(t.Context(), &arbutuspb.RouterState{Name: "o", Address: "127.0.0.1:3", Positions: []*arbutuspb.CopyPosition{
		{Kind: platform.KindEndpoints, Era: 1, Revision: 5, ConfirmedAgeMs: &age},
	}})
	assert.NilError(t, err)
	_, known := d.ConfirmedAge(platform.KindEndpoints)
	assert.Assert(t, !known)
}

// Guards against a router that starts after a restore of the store and learns a version without its
// content: from one that has not noticed the restore, whose replica of the era before holds it, and
// from one that it does not ask for changes of this kind.
func TestRouterThatStartsGetsTheConfiguration(t *testing.T) {
	spec, err := json.Marshal(standin.SampleConfiguration(2))
	assert.NilError(t, err)
	x, d := newExchange(t)
	d.MergeDelta(platform.KindConfiguration, replica.Delta{
		At: fleet.StorePosition{Era: 1, Revision: 5}, Complete: true,
		Entries: []replica.Entry{{Name: platform.ConfigurationObjectName, Revision: 5, Spec: spec}},
	})
	d.MergeConfiguration(2, nil)
	later := &arbutuspb.CopyPosition{Kind: platform.KindConfiguration, Era: 2, Revision: 3}
	for _, positions := range [][]*arbutuspb.CopyPosition{nil, {later}} {
		out, err := x.Exchange(t.Context(), &arbutuspb.RouterState{Name: "o", Address: "127.0.0.1:3", Positions: positions})
		assert.NilError(t, err)
		assert.Equal(t, out.GetConfigurationVersion(), uint64(2))
		assert.Equal(t, string(out.GetConfiguration()), string(spec))
	}
	// A router that has one gets changes of the replica alone.
	out, err := x.Exchange(t.Context(), &arbutuspb.RouterState{Name: "o", Address: "127.0.0.1:3", ConfigurationVersion: 1})
	assert.NilError(t, err)
	assert.Equal(t, len(out.GetConfiguration()), 0)
}
