package streamversions

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/decision/versionpin"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/settings"
	standin "github.com/arbutusline/arbutusline/standin/platform"
)

// startedRouter returns the modules of a router that knows a configuration and no table.
func startedRouter(t *testing.T) (*StreamVersions, *directory.Directory) {
	file, err := settings.Parse([]byte(`{
		"admin": {"listen": "127.0.0.1:0"}, "directory": {"store": "127.0.0.1:1", "advertise": "127.0.0.1:2"},
		"node": {"id": "r", "role": "router", "zone": "a"}
	}`))
	assert.NilError(t, err)
	k := arbutusline.New(file, logrus.NewEntry(logrus.New()))
	assert.NilError(t, k.Load("admin", "node", "memory", directory.Name, Name))
	v, err := arbutusline.Lookup[*StreamVersions](k, Name)
	assert.NilError(t, err)
	d, err := arbutusline.Lookup[*directory.Directory](k, directory.Name)
	assert.NilError(t, err)
	spec, err := json.Marshal(standin.SampleConfiguration(1))
	assert.NilError(t, err)
	d.MergeConfiguration(1, spec)
	return v, d
}

// mergeFirstTable lets a router learn a table in which all streams begin at one software version.
func mergeFirstTable(t *testing.T, d *directory.Directory, version string) {
	position := fleet.StorePosition{Era: 2, Revision: 9}
	m := versionpin.NewMachine(versionpin.Config{})
	m.ObserveRead(0, 0, nil, fleet.StorePosition{Era: position.Era})
	p, _ := m.Propose(0, versionpin.Circumstances{Capacity: versionpin.Capacity{version: 1}, Alone: true})
	table, err := json.Marshal(p.Table)
	assert.Check(t, err)
	d.MergeDelta(directory.KindSoftwareVersions, replica.Delta{
		At: position, Complete: true, Entries: []replica.Entry{{Name: "llm", Revision: position.Revision, Spec: table}},
	})
}

// Guards against a router that refuses streams just after its start because it has learned its
// configuration sooner than the software versions of streams.
func TestFirstStreamsWaitForTheSoftwareVersions(t *testing.T) {
	v, d := startedRouter(t)
	go func() {
		time.Sleep(20 * time.Millisecond)
		mergeFirstTable(t, d, "v1")
		d.ObserveContact()
	}()
	versions := v.Begin(t.Context(), "llm", "a", 0)
	assert.DeepEqual(t, versions, []string{"v1"})
}

// Guards against a router that holds back requests which it has to refuse: it waits for no table
// that would have arrived by now, and for none longer than for a configuration.
func TestStreamsDoNotWaitLongForTheSoftwareVersions(t *testing.T) {
	v, _ := startedRouter(t)
	begin := bootclock.Now()
	versions := v.Begin(t.Context(), "llm", "a", 0)
	assert.Equal(t, len(versions), 0)
	assert.Assert(t, bootclock.Now()-begin >= tableWait)
	v.startedAt -= startTime
	begin = bootclock.Now()
	versions = v.Begin(t.Context(), "llm", "a", 0)
	assert.Equal(t, len(versions), 0)
	assert.Assert(t, bootclock.Now()-begin < tableWait)
}
