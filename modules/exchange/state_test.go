package exchange_test

import (
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
)

// Guards against a call that was delayed on the way and confirms the replica of its receiver as of
// its arrival: ages in calls have no effect.
func TestCallsConfirmNothing(t *testing.T) {
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
	d.MergeDelta(platform.KindEndpoints, replica.Delta{At: fleet.StorePosition{Era: 1, Revision: 5}, Complete: true})
	age := uint32(0)
	_, err = x.Exchange(t.Context(), &arbutuspb.RouterState{Name: "o", Address: "127.0.0.1:3", Positions: []*arbutuspb.CopyPosition{
		{Kind: platform.KindEndpoints, Era: 1, Revision: 5, ConfirmedAgeMs: &age},
	}})
	assert.NilError(t, err)
	_, known := d.ConfirmedAge(platform.KindEndpoints)
	assert.Assert(t, !known)
}
