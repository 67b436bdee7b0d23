package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a part in frequent use that all routers refuse because one router lost its
// links to the engines. The requests that it had sent break one after the other when their
// data is not acknowledged, which looks like crashes of different engines. The other routers
// see the part produce output all the while.
func TestIsolatedRouterCondemnsNoPartThatOthersSeeSound(t *testing.T) {
	for _, begun := range []bool{false, true} {
		isolatedAndOther(t, begun)
	}
}

func isolatedAndOther(t *testing.T, begun bool) {
	const part = uint64(1)
	isolated, other := New(Config{}), New(Config{})
	isolated.SetRouters(0, "isolated", []string{"other"})
	other.SetRouters(0, "other", []string{"isolated"})
	now := time.Minute
	// Both have seen the part sound.
	isolated.ObserveSound(now, []uint64{part})
	other.ObserveSound(now, []uint64{part})
	for i := range 6 {
		now += 350 * time.Millisecond
		isolated.ObserveCrash(now, fmt.Sprintf("engine-%d", i), []uint64{part}, begun)
		other.ObserveSound(now+10*time.Millisecond, []uint64{part})
		other.Merge(now+100*time.Millisecond, isolated.Pending(now+50*time.Millisecond, 64)...)
		isolated.Merge(now+200*time.Millisecond, other.Pending(now+150*time.Millisecond, 64)...)
		verdict, _ := other.Decide(now+300*time.Millisecond, []uint64{part})
		assert.Equal(t, verdict, Allow, "refused by the other router after %d breaks", i+1)
	}
}

// Guards against a part that a router refuses although it saw it sound after all the crashes
// for which a router condemned it that it could not reach meanwhile.
func TestLateReportOfACondemnationDoesNotOverruleLaterSoundRuns(t *testing.T) {
	const part = uint64(1)
	isolated, other := New(Config{}), New(Config{})
	isolated.SetRouters(0, "isolated", []string{"other"})
	other.SetRouters(0, "other", []string{"isolated"})
	now := time.Minute
	isolated.ObserveSound(now, []uint64{part})
	for i := range 5 {
		now += 300 * time.Millisecond
		isolated.ObserveCrash(now, fmt.Sprintf("engine-%d", i), []uint64{part}, true)
	}
	verdict, _ := isolated.Decide(now, []uint64{part})
	assert.Equal(t, verdict, Refuse)
	now += time.Second
	other.ObserveSound(now, []uint64{part})
	now += 100 * time.Millisecond
	changes := other.Merge(now, isolated.Pending(now, 64)...)
	verdict, _ = other.Decide(now, []uint64{part})
	assert.Equal(t, verdict, Allow, "%+v", changes)
	isolated.Merge(now, other.Pending(now, 64)...)
	verdict, _ = isolated.Decide(now, []uint64{part})
	assert.Equal(t, verdict, Allow, "the isolated router learns of the sound run")
}

// Guards against clearing a part because a router saw it sound before the last of its
// crashes.
func TestEarlierSoundRunDoesNotClear(t *testing.T) {
	table, other := New(Config{}), New(Config{})
	table.ObserveSound(0, []uint64{pill})
	for i := range 5 {
		table.ObserveCrash(time.Duration(i+1)*time.Second, fmt.Sprintf("engine-%d", i), []uint64{pill}, true)
	}
	other.ObserveSound(4*time.Second+time.Millisecond, []uint64{pill})
	now := 6 * time.Second
	other.Merge(now, table.Pending(now, 10)...)
	table.Merge(now, other.Pending(now, 10)...)
	assert.Equal(t, verdict(other, now, pill), Refuse)
	assert.Equal(t, verdict(table, now, pill), Refuse)
}

// Guards against refusing the parts in use because all connections of the routers to engines
// break again and again, before answers begin.
func TestLostLinksCondemnNoPartSeenSound(t *testing.T) {
	table := New(Config{})
	table.ObserveSound(0, []uint64{first})
	for i := range 40 {
		crashAt(table, time.Duration(i+1)*time.Second, []uint64{first})
	}
	assert.Equal(t, verdict(table, 41*time.Second, first), Allow)
	for i := range 5 {
		at := time.Duration(41+i) * time.Second
		table.ObserveCrash(at, at.String(), []uint64{first}, true)
	}
	assert.Equal(t, verdict(table, 46*time.Second, first), Refuse)
}
