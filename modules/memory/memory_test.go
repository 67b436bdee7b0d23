package memory

import (
	"io"
	"math"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/settings"
)

// load returns the module with the settings, or the error of its validation.
func load(t *testing.T, text string) (*Memory, error) {
	file, err := settings.Parse([]byte(`{"admin": {"listen": "127.0.0.1:0"}, "memory": ` + text + `}`))
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := arbutusline.New(file, logrus.NewEntry(log))
	if err := k.Load(admin.Name, Name); err != nil {
		return nil, err
	}
	return arbutusline.Lookup[*Memory](k, Name)
}

// Guards against memory for responses or callers that does not fit into the process, and against a default
// that leaves none to the store and other routers.
func TestMemoryForResponsesFitsIntoTheProcess(t *testing.T) {
	for _, c := range []struct {
		text                        string
		endpoints, control, callers int64
		problem                     string
	}{
		{`{"process_bytes": 134000000}`, 22333334, 11166666, 33500000, ""},
		{`{"process_bytes": 64000000}`, 10666667, 5333333, 16000000, ""},
		{`{"process_bytes": 134000000, "response_bytes": 9000000, "caller_bytes": 5000000}`, 6000000, 3000000, 5000000, ""},
		{`{"process_bytes": 134000000, "caller_bytes": 67000001}`, 0, 0, 0, "more than half of the 134000000 bytes"},
		{`{"process_bytes": 134000000, "caller_bytes": 1000}`, 0, 0, 0, "1000 bytes; 4194304 are needed"},
		{`{"caller_bytes": -1}`, 0, 0, 0, "must not be negative"},
		{`{"process_bytes": 134000000, "response_bytes": 33500001}`, 0, 0, 0, "more than a quarter of the 134000000 bytes"},
		{`{"process_bytes": 134000000, "response_bytes": 1000}`, 0, 0, 0, "1000 bytes; 6291456 are needed"},
		{`{"process_bytes": 20000000}`, 0, 0, 0, "5000000 bytes; 6291456 are needed"},
		{`{"process_bytes": -1}`, 0, 0, 0, "must not be negative"},
	} {
		m, err := load(t, c.text)
		if c.problem != "" {
			assert.ErrorContains(t, err, c.problem, c.text)
			continue
		}
		assert.NilError(t, err, c.text)
		assert.Equal(t, m.Endpoints().Capacity(), c.endpoints, c.text)
		assert.Equal(t, m.Control().Capacity(), c.control, c.text)
		assert.Equal(t, m.Callers().Capacity(), c.callers, c.text)
	}
}

// Guards against a process that does not see its limit, and against a runtime that lets garbage
// grow past it.
func TestRuntimeKnowsTheLimit(t *testing.T) {
	m, err := load(t, `{}`)
	assert.NilError(t, err)
	process, _ := m.limits()
	assert.Assert(t, process > 0 && process < math.MaxInt64)
	before := debug.SetMemoryLimit(math.MaxInt64)
	defer debug.SetMemoryLimit(before)
	assert.NilError(t, m.Start(t.Context()))
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(softLimitShare*float64(process)))
}

// Guards against a limit that is read from the wrong line or taken for none.
func TestLeastLimitCounts(t *testing.T) {
	for _, c := range []struct {
		least int64
		limit uint64
		want  int64
	}{{100, 0, 100}, {100, 50, 50}, {100, 200, 100}, {100, math.MaxUint64, 100}} {
		assert.Equal(t, limited(c.least, c.limit), c.want)
	}
	assert.Equal(t, controlGroupPath("0::/a/b\n"), "/a/b")
	assert.Equal(t, controlGroupPath("5:memory:/x\n1:cpu:/y\n0::/z\n"), "/z")
	assert.Equal(t, controlGroupPath(strings.Repeat("1:cpu:/y\n", 2)), "")
}
