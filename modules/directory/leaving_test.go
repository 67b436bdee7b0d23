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

// Guards against an endpoint that counts as draining for ever after a restore of the store because
// it was draining before, and against one that counts as ready because a copy has an older entry.
func TestNewestEntryOfAnEndpointTellsWhetherItLeaves(t *testing.T) {
	state := func(d *Directory) fleet.EndpointState { return d.View().EndpointsByID["e"].State }
	d := newDirectory(t)
	mergeEntries(d, 1, 50, true, entry("draining", 5, 1000))
	mergeEntries(d, 2, 40, true, entry("ready", 4, 1000))
	assert.Equal(t, state(d), fleet.Draining, "an entry of before was believed")
	mergeEntries(d, 3, 30, true, entry("ready", 3, 1000))
	assert.Equal(t, state(d), fleet.Draining, "a second restore made an older entry count")
	mergeEntries(d, 4, 35, true, entry("ready", 4, 1000))
	assert.Equal(t, state(d), fleet.Draining, "an entry of between the copies was believed")
	mergeEntries(d, 4, 36, false, entry("draining", 7, 1000))
	mergeEntries(d, 5, 35, true, entry("ready", 6, 1000))
	assert.Equal(t, state(d), fleet.Draining, "the entry before the last report of leaving was believed")
	mergeEntries(d, 5, 37, false, entry("ready", 8, 1000))
	assert.Equal(t, state(d), fleet.Ready, "a newer entry did not count")
	mergeEntries(d, 6, 30, true, entry("ready", 3, 1000))
	assert.Equal(t, state(d), fleet.Ready)

	d = newDirectory(t)
	mergeEntries(d, 1, 50, true, entry("draining", 5, 1000))
	mergeEntries(d, 2, 40, true, entry("ready", 1, 2000))
	assert.Equal(t, state(d), fleet.Ready, "the successor with the same ID counts as draining")
}

// Guards against believing an entry that was written at an unknown time, before or after the response in which
// the endpoint said that it leaves.
func TestEntryDoesNotUndoWhatAResponseSaid(t *testing.T) {
	d := newDirectory(t)
	mergeEntries(d, 1, 50, true, entry("ready", 5, 1000))
	d.ObserveLeaving(d.View().EndpointsByID["e"])
	mergeEntries(d, 1, 51, false, entry("ready", 6, 1000))
	assert.Equal(t, d.View().EndpointsByID["e"].State, fleet.Draining)
	mergeEntries(d, 2, 40, true, entry("ready", 5, 1000))
	mergeEntries(d, 2, 41, false, entry("ready", 7, 1000))
	assert.Equal(t, d.View().EndpointsByID["e"].State, fleet.Draining)
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
