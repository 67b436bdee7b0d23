package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testsOf returns how many of four routers test pill, with requests to all of them, while
// setRouters says what they know of each other.
func testsOf(until time.Duration, setRouters func(t *Table, router int, now time.Duration)) int {
	tests := 0
	tables := []*Table{condemned(), condemned(), condemned(), condemned()}
	for now := 3 * time.Second; now < until; now += 50 * time.Millisecond {
		for i, table := range tables {
			setRouters(table, i, now)
			if v, _ := table.Begin(now, []uint64{pill}); v == Test {
				tests++
			}
		}
	}
	return tests
}

var fourNames = []string{"a", "b", "c", "d"}

// Guards against tests by several routers at once because each of them just started and does
// not know the others yet.
func TestNoTestUntilTheRoutersAreKnown(t *testing.T) {
	due := 2*time.Second + firstTestDelay
	tests := testsOf(due+3*time.Second, func(table *Table, i int, now time.Duration) {
		if now > due-time.Second {
			table.SetRouters(now, fourNames[i], nil)
		}
	})
	assert.Equal(t, tests, 0, "alone since a short time")

	tests = testsOf(due+30*time.Second, func(table *Table, i int, now time.Duration) {
		table.SetRouters(now, fourNames[i], fourNames[:1+int(now/(2*time.Second))%4])
	})
	assert.Equal(t, tests, 0, "the list changes all the time")

	tests = testsOf(due+30*time.Second, func(*Table, int, time.Duration) {})
	assert.Equal(t, tests, 0, "no list yet")
}

// Guards against a sound part that is never tested because there is one router or the list is
// set again and again.
func TestRoutersTestOnceTheyAreKnown(t *testing.T) {
	due := 2*time.Second + firstTestDelay
	tests := testsOf(due+3*time.Second, func(table *Table, i int, now time.Duration) {
		if i == 0 {
			table.SetRouters(now, "a", nil)
		}
	})
	assert.Equal(t, tests, 1, "a single router")

	tests = testsOf(due+4*testSlot, func(table *Table, i int, now time.Duration) {
		reversed := []string{"d", "c", "b", "a"}
		if now%(100*time.Millisecond) == 0 {
			reversed = fourNames
		}
		table.SetRouters(now, fourNames[i], reversed)
	})
	assert.Equal(t, tests, 4, "each in its turn, without exchange")
}
