package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/platform"
)

// mergeEntries merges a list of the endpoints, or changes of them, at a position.
func mergeEntries(d *Directory, era, revision uint64, complete bool, specs ...string) {
	delta := replica.Delta{At: fleet.StorePosition{Era: era, Revision: revision}, Complete: complete}
	for _, spec := range specs {
		delta.Entries = append(delta.Entries, replica.Entry{Name: "e", Revision: revision, Spec: []byte(spec)})
	}
	d.MergeDelta(platform.KindEndpoints, delta)
}

// entry returns the entry of an endpoint.
func entry(state string, sequence, startedAtUnixMS int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":8,"state":%q,"sequence":%d,"born":%d}`, state, sequence, startedAtUnixMS)
}

// Guards against an endpoint that stays unused for departedQuarantine after a restore because its
// object was removed once, although it has been back since.
func TestEndpointThatCameBackIsUsedAfterARestore(t *testing.T) {
	d := newDirectory(t)
	mergeEntries(d, 1, 50, true, entry("ready", 5, 1000))
	mergeEntries(d, 1, 51, true)
	assert.Assert(t, d.View().EndpointsByID["e"] == nil)
	mergeEntries(d, 1, 52, true, entry("ready", 6, 1000))
	mergeEntries(d, 2, 50, true, entry("ready", 5, 1000))
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Assert(t, !d.ignoredAsDepartedLocked(d.view.Load().EndpointsByID["e"], time.Now()))
}

// Guards against an engine that started again under its ID, with the weights that it is started with, and counts
// as having those that its predecessor loaded: no order follows.
func TestSuccessorWithTheSameIDHasItsOwnWeights(t *testing.T) {
	engine := func(version, sequence, startedAtUnixMS int) string {
		return entry("ready", sequence, startedAtUnixMS)[:len(entry("ready", sequence, startedAtUnixMS))-1] + fmt.Sprintf(`,"models":[{"name":"m","version":%d}]}`, version)
	}
	d := newDirectory(t)
	mergeEntries(d, 1, 50, true, engine(1, 1, 1000))
	d.SetWeightsVersion("e", "m", 3)
	assert.Equal(t, d.View().EndpointsByID["e"].WeightsVersions["m"], uint64(3))
	mergeEntries(d, 1, 51, false, engine(1, 1, 2000))
	assert.Equal(t, d.View().EndpointsByID["e"].WeightsVersions["m"], uint64(1))
}
