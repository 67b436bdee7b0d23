package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testTimes returns when the tables send tests of pill, with requests to all of them and an
// exchange in a ring, until the given time.
func testTimes(tables []*Table, until time.Duration, sent func(*Table, time.Duration)) []time.Duration {
	var tests []time.Duration
	for now := 3 * time.Second; now < until; now += 50 * time.Millisecond {
		for _, table := range tables {
			if v, _ := table.Begin(now, []uint64{pill}); v == Test {
				tests = append(tests, now)
				sent(table, now)
			}
		}
		if now%(500*time.Millisecond) != 0 {
			continue
		}
		for i, table := range tables {
			tables[(i+1)%len(tables)].Merge(now, table.Pending(now, 10)...)
			table.Tick(now)
		}
	}
	return tests
}

// condemnedByAll returns tables of routers that all condemned pill at the time 2 s.
func condemnedByAll(routers int) []*Table {
	var names []string
	for i := range routers {
		names = append(names, fmt.Sprintf("router-%d", i))
	}
	var tables []*Table
	for i := range routers {
		table := condemned()
		table.SetRouters(0, names[i], names)
		tables = append(tables, table)
	}
	return tables
}

// Guards against a sound part that is refused for good because the requests that tested it
// ended without a result: the caller left, the engine was full or took too long.
func TestTestsWithoutResultAreRepeated(t *testing.T) {
	for _, routers := range []int{1, 4} {
		tests := testTimes(condemnedByAll(routers), 10*time.Minute, func(*Table, time.Duration) {})
		assert.Assert(t, len(tests) > maxTests, "after %v a part without results is never tested again", tests)
		assert.Assert(t, tests[2] < 5*time.Minute, "%v", tests)
	}
}

// Guards against more than three requests with a poison pill that reach engines because the
// results of its tests are lost.
func TestTestsWithoutResultAreRare(t *testing.T) {
	tests := testTimes(condemnedByAll(4), 3*time.Minute, func(*Table, time.Duration) {})
	assert.Assert(t, len(tests) <= 3, "%v", tests)
}

// Guards against tests by a router that restarted after the crashes of all tests, and against
// taking a test without result for a failed one.
func TestRestartedRouterKnowsTheFailedTests(t *testing.T) {
	tables := condemnedByAll(4)
	n := 0
	tests := testTimes(tables, 9*time.Minute, func(table *Table, now time.Duration) {
		if n++; n != 2 {
			crashAt(table, now+200*time.Millisecond, []uint64{pill})
		}
	})
	assert.Equal(t, len(tests), maxTests+1, "one of them without result: %v", tests)

	now := 9 * time.Minute
	restarted := New(Config{})
	restarted.SetRouters(now, "router-0", nil)
	restarted.Merge(now, tables[0].Pending(now, 10)...)
	for end := now + 10*time.Minute; now < end; now += 50 * time.Millisecond {
		assert.Equal(t, verdict(restarted, now, pill), Refuse, "%s", now)
	}
}
