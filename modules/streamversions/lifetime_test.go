package streamversions

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/versionpin"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/modules/directory"
	standin "github.com/arbutusline/arbutusline/standin/platform"
)

// mergeConfiguration puts a configuration in force whose resumable route has a timeout, or none if
// that is 0.
func mergeConfiguration(t *testing.T, d *directory.Directory, version int, timeout time.Duration) {
	config := standin.SampleConfiguration(version)
	for _, route := range config["routes"].([]map[string]any) {
		if route["resumable"] == true {
			route["timeout_ms"], route["resumable"] = max(1, timeout.Milliseconds()), timeout > 0
		}
	}
	spec, err := json.Marshal(config)
	assert.NilError(t, err)
	d.MergeConfiguration(uint64(version), spec)
}

// Guards against streams that go on at another software version, and records that are dropped,
// because a configuration shortened the timeout of their route, or ended its resumability, while
// they ran.
func TestLifetimeOfStreamsOutlivesTheConfiguration(t *testing.T) {
	v, d := startedRouter(t)
	mergeConfiguration(t, d, 2, 15*time.Second)
	for i, timeout := range []time.Duration{2 * time.Second, 0, time.Second} {
		mergeConfiguration(t, d, 3+i, timeout)
		v.mu.Lock()
		assert.Equal(t, v.services["llm"].machine.StreamLifetime(bootclock.Now()), 15*time.Second, "timeout %v", timeout)
		assert.Assert(t, v.recordLifetimeLocked() >= 15*time.Second+spreadTime)
		v.mu.Unlock()
	}
}

// Guards against streams that go on at another software version because their caller waits for
// longer than the timeout of the route, and against one caller that keeps all versions uncertain
// for hours.
func TestDeadlineOfCallerExtendsTheLifetimeOfStreams(t *testing.T) {
	v, d := startedRouter(t)
	mergeConfiguration(t, d, 2, 2*time.Second)
	for _, c := range []struct{ stated, lifetime time.Duration }{
		{0, 5 * time.Second}, // That of the configuration before.
		{14200 * time.Millisecond, 15 * time.Second},
		{time.Hour, time.Minute},
	} {
		v.Begin(t.Context(), "llm", "a", c.stated)
		assert.Equal(t, v.services["llm"].machine.StreamLifetime(bootclock.Now()), c.lifetime, "%v", c.stated)
	}
}

// Guards against a stream that goes on at another software version although a record tells at
// which one it began, because its caller came later than the table reckons with.
func TestStreamIsNotContinuedAgainstItsRecord(t *testing.T) {
	v, d := startedRouter(t)
	mergeFirstTable(t, d, "v2")
	v.Record("llm", "old", "v1")
	v.Record("llm", "new", "v2")
	for id, want := range map[string]takeUpResult{"old": contradicted, "new": toldByTable, "unrecorded": toldByTable} {
		_, result := v.checkRecord(v.services["llm"], versionpin.StreamHash("llm", id), "v2")
		assert.Equal(t, result, want, id)
	}
}
