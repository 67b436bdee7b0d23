package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/replica"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/platform"
)

func versionInForce(d *Directory) uint64 {
	if c := d.View().Config; c != nil {
		return c.Version
	}
	return 0
}

// Guards against a router that starts after a restore of the store and takes the configuration of
// the copy because another router states a newer version without its content: a call of it, or a
// response of one that has not noticed the restore.
func TestStatedVersionAloneDoesNotMakeTheStoreTrusted(t *testing.T) {
	d := newDirectory(t)
	listConfiguration(d, 2, encodeConfiguration(t, 1))
	d.MergeConfiguration(3, nil)
	d.MergeConfiguration(1, nil) // A router that lags does not count as the newest.
	assert.Equal(t, versionInForce(d), uint64(0))
	assert.Assert(t, !d.StoreTrusted())
	d.MergeConfiguration(2, encodeConfiguration(t, 2))
	assert.Assert(t, !d.StoreTrusted())
	d.MergeConfiguration(3, encodeConfiguration(t, 3))
	assert.Equal(t, versionInForce(d), uint64(3))
	assert.Assert(t, d.StoreTrusted())
}

// Guards against a router that waits for the content of a stated version although the store has
// it, whichever of both arrives first.
func TestStoreWithTheStatedVersionIsTrusted(t *testing.T) {
	d := newDirectory(t)
	listConfiguration(d, 2, encodeConfiguration(t, 2))
	d.MergeConfiguration(2, nil)
	assert.Equal(t, versionInForce(d), uint64(2))

	d = newDirectory(t)
	d.MergeConfiguration(2, nil)
	listConfiguration(d, 2, encodeConfiguration(t, 1))
	assert.Equal(t, versionInForce(d), uint64(0))
	d.mu.Lock()
	d.applyLocked(platform.KindConfiguration, "watch", bootclock.Now(), replica.Delta{
		At:      fleet.StorePosition{Era: 2, Revision: 10},
		Entries: []replica.Entry{{Name: platform.ConfigurationObjectName, Revision: 10, Spec: encodeConfiguration(t, 2)}},
	})
	d.mu.Unlock()
	assert.Equal(t, versionInForce(d), uint64(2))
}

// Guards against a router that takes the configuration of the copy after a second although it knows
// of a newer one, and against one that waits for ever for a version that died with its router.
func TestRouterThatKnowsOfANewerVersionWaitsUntilItIsWrittenAgain(t *testing.T) {
	d := newDirectory(t)
	listConfiguration(d, 2, encodeConfiguration(t, 1))
	patience := func() time.Duration {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.othersPatienceLocked()
	}
	assert.Equal(t, patience(), d.EraWait.AsDuration())
	d.MergeConfiguration(2, nil)
	assert.Equal(t, patience(), eraSettleTime)
}

// Guards against a router that does not send its configuration although its replica has lost it: a
// restored copy of the store without any configuration, or with an invalid one.
func TestConfigurationThatTheStoreLostIsSent(t *testing.T) {
	for name, entries := range map[string][]replica.Entry{
		"none": nil, "invalid": {{Name: platform.ConfigurationObjectName, Revision: 4, Spec: []byte("x")}},
	} {
		d := newDirectory(t)
		listConfiguration(d, 1, encodeConfiguration(t, 2))
		d.MergeConfiguration(2, nil)
		_, _, inReplica := d.ActiveConfiguration()
		assert.Assert(t, inReplica, name)
		d.MergeDelta(platform.KindConfiguration, replica.Delta{At: fleet.StorePosition{Era: 2, Revision: 5}, Complete: true, Entries: entries})
		version, spec, inReplica := d.ActiveConfiguration()
		assert.Equal(t, version, uint64(2), name)
		assert.Assert(t, len(spec) > 0 && !inReplica, name)
	}
}
