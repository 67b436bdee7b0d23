package streamversions

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against streams that nobody can continue after a loss of power of all routers, because a
// busy router of a small deployment let their records wait; and against more writes of records
// than the store takes from many routers.
func TestRecordsOfBusyRoutersAreWrittenSooner(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		routers, unwritten int
		due                time.Duration
	}{
		{5, 0, 250 * ms}, {5, 1, 250 * ms}, {5, 2, 50 * ms}, {5, 90, 50 * ms},
		{31, 1, 310 * ms}, {31, 2, 310 * ms}, {68, 9, 680 * ms}, {380, 1, time.Second}, {380, 9, time.Second},
	} {
		assert.Assert(t, !flushDue(c.due-ms, c.unwritten, c.routers), "%+v", c)
		assert.Assert(t, flushDue(c.due, c.unwritten, c.routers), "%+v", c)
	}
}
