package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGossipOrder guards against results that depend on the order of arrival: a
// later clearance overrides an earlier suspicion, but never a quarantine.
func TestGossipOrder(t *testing.T) {
	const fingerprint = 9
	suspect := Report{fingerprint, LevelSuspect, 20 * time.Second}
	cleared := Report{fingerprint, LevelClear, 10 * time.Second}
	quarantined := Report{fingerprint, LevelQuarantined, 15 * time.Second}
	for _, c := range []struct {
		reports []Report
		want    Level
	}{
		{[]Report{suspect, cleared}, LevelClear},
		{[]Report{suspect, cleared, suspect}, LevelClear},
		{[]Report{suspect, quarantined, cleared}, LevelQuarantined},
		{[]Report{quarantined, suspect}, LevelQuarantined},
	} {
		table := New(Config{})
		for _, r := range c.reports {
			table.Merge(time.Minute, r)
		}
		assert.Equal(t, table.Level(time.Minute, fingerprint, 0), c.want, "%v", c.reports)
		table.Tick(time.Minute + 10*time.Minute)
		assert.Equal(t, table.Len(), 0)
	}
}

// TestBound guards against unbounded memory: a full table evicts the oldest entry of
// the lowest level.
func TestBound(t *testing.T) {
	table := New(Config{MaxEntries: 3})
	table.Merge(0, Report{1, LevelQuarantined, 0})
	for f := range uint64(50) {
		table.RecordEngineCrash(time.Duration(f+1)*time.Second, []uint64{100 + f}, false)
	}
	assert.Equal(t, table.Len(), 3)
	assert.Equal(t, table.Level(time.Minute, 1, 0), LevelQuarantined)
	assert.Equal(t, table.Level(time.Minute, 149, 0), LevelSuspect)
	assert.Equal(t, len(table.PendingReports(time.Minute, 2)), 2)
}

// Guards against losing count of copies, which would send later requests to one
// endpoint for ever.
func TestCopiesAreCounted(t *testing.T) {
	c := NewCopies()
	c.Start(7, "b")
	c.Start(7, "a")
	assert.Equal(t, c.Endpoint(7), "a", "all routers break ties alike")
	c.Start(7, "b")
	assert.Equal(t, c.Endpoint(7), "b")
	assert.Equal(t, c.Endpoint(8), "")
	c.End(7, "b")
	c.End(7, "b")
	assert.Equal(t, c.Endpoint(7), "a")
	c.End(7, "a")
	c.End(7, "a")
	assert.Equal(t, c.Len(), 0)
}
