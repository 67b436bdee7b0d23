package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/objectstore"
)

// fake is a store that answers at once.
type fakeStore struct {
	objects map[string]objectstore.Object
	version uint64
}

func (f *fakeStore) put(key string, value []byte, expect uint64) (uint64, error) {
	if f.objects[key].Version != expect {
		return 0, objectstore.ErrConflict
	}
	f.version++
	f.objects[key] = objectstore.Object{Key: key, Value: value, Version: f.version}
	return f.version, nil
}

// answer carries out one action and returns the input that answers it.
func (f *fakeStore) perform(a Action) Input {
	switch a := a.(type) {
	case ListSegments:
		var keys []string
		for k := range f.objects {
			if strings.HasPrefix(k, a.Prefix) {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		return ListResult{ObjectKeys: keys}
	case GetSegment:
		o, ok := f.objects[a.ObjectKey]
		if !ok {
			return GetResult{ObjectKey: a.ObjectKey, Err: objectstore.ErrNotFound}
		}
		return GetResult{ObjectKey: a.ObjectKey, Object: o}
	case PutSegment:
		v, err := f.put(a.ObjectKey, a.Value, a.ExpectedVersion)
		return PutResult{Version: v, Err: err}
	case PutAnswer:
		_, err := f.put(a.ObjectKey, a.Value, 0)
		return PutAnswerResult{OpID: a.OpID, Err: err}
	case DeleteSegment:
		delete(f.objects, a.ObjectKey)
	}
	return nil
}

type harness struct {
	t         *testing.T
	store     *fakeStore
	partition *Partition
	now       time.Duration
	lastOpID  uint64
}

func newHarness(t *testing.T, store *fakeStore, name string, cfg Config) *harness {
	return &harness{t: t, store: store, partition: New(cfg, 0, name, 1, rand.New(rand.NewPCG(1, 1)))}
}

// do submits operations together and runs until all are answered.
func (x *harness) run(ops ...Op) []Reply {
	var actions []Action
	for i, op := range ops {
		x.lastOpID++
		op.ID = x.lastOpID
		ops[i] = op
		actions = append(actions, x.partition.Step(x.now, x.now, Submitted{op})...)
	}
	replies := map[uint64]Reply{}
	for range 1000 {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			if r, ok := a.(Reply); ok {
				replies[r.ID] = r
			} else if in := x.store.perform(a); in != nil {
				actions = append(actions, x.partition.Step(x.now, x.now, in)...)
			}
		}
		if len(replies) == len(ops) {
			break
		}
		at, _ := x.partition.NextTick()
		x.now = max(x.now+time.Millisecond, at)
		actions = x.partition.Step(x.now, x.now, Tick{})
	}
	var out []Reply
	for _, op := range ops {
		r, ok := replies[op.ID]
		assert.Assert(x.t, ok, "operation %d has no reply", op.ID)
		out = append(out, r)
	}
	return out
}

func claimOp(key, attemptID, previousAttemptID string) Op {
	return Op{Kind: OpClaim, Key: Key{"t", key}, BodyHash: 5, Agent: "a", AgentIncarnation: 1, AttemptID: attemptID, PreviousAttemptID: previousAttemptID}
}

func finishOp(key, attemptID string, s State) Op {
	return Op{Kind: OpFinish, Key: Key{"t", key}, AttemptID: attemptID, State: s}
}

func newStore() *fakeStore { return &fakeStore{objects: map[string]objectstore.Object{}} }

// TestStates guards the transitions of a key: only a provable not-run is
// claimed again, and only the holder's end counts.
func TestKeyStateTransitions(t *testing.T) {
	x := newHarness(t, newStore(), "r1", Config{})
	result := func(op Op) string {
		r := x.run(op)[0]
		return fmt.Sprintf("%s %s %v", r.Record.State, r.Record.AttemptID, r.Accepted)
	}
	for _, c := range []struct {
		op   Op
		want string
	}{
		{claimOp("k", "1/1", ""), "claimed 1/1 true"},
		{claimOp("k", "1/1", ""), "claimed 1/1 true"},
		{claimOp("k", "2/1", ""), "claimed 1/1 false"},
		{claimOp("k", "2/1", "9/9"), "claimed 1/1 false"},
		{claimOp("k", "2/1", "1/1"), "claimed 2/1 true"},
		{finishOp("k", "1/1", StateReleased), "claimed 2/1 false"},
		{finishOp("k", "1/1", StateDone), "claimed 2/1 false"},
		{finishOp("k", "2/1", StateReleased), "released 2/1 true"},
		{claimOp("k", "3/1", ""), "claimed 3/1 true"},
		{finishOp("k", "3/1", StateUnknown), "unknown 3/1 true"},
		{claimOp("k", "4/1", "3/1"), "unknown 3/1 false"},
		{finishOp("k", "3/1", StateReleased), "unknown 3/1 false"},
		{finishOp("k", "3/1", StateDone), "done 3/1 true"},
		{finishOp("k", "3/1", StateUnknown), "done 3/1 false"},
		{claimOp("n", "5/1", ""), "claimed 5/1 true"},
		{finishOp("n", "5/1", StateNotRun), "not_run 5/1 true"},
		{claimOp("n", "6/1", "5/1"), "not_run 5/1 false"},
	} {
		assert.Equal(t, result(c.op), c.want, "%+v", c.op)
	}
	other := claimOp("k", "7/1", "")
	other.BodyHash = 6
	assert.Assert(t, errors.Is(x.run(other)[0].Err, ErrKeyReused))
}

// TestGroupCommit guards the number of writes: concurrent claims share one.
func TestGroupCommit(t *testing.T) {
	x := newHarness(t, newStore(), "r1", Config{})
	x.run(claimOp("first", "0/1", ""))
	var ops []Op
	for i := range 100 {
		ops = append(ops, claimOp(fmt.Sprint(i), fmt.Sprintf("%d/1", i), ""))
	}
	before := x.partition.Stats().Writes
	for _, r := range x.run(ops...) {
		assert.Assert(t, r.Accepted)
	}
	assert.Equal(t, x.partition.Stats().Writes-before, 1)
}

// TestSegments guards the chain: a second router finds every key in sealed
// segments, segments stay below the store's limit, and none is claimed twice.
func TestClaimsInSealedSegments(t *testing.T) {
	store := newStore()
	cfg := Config{SegmentBytes: 4000}
	a, b := newHarness(t, store, "r1", cfg), newHarness(t, store, "r2", cfg)
	for i := range 200 {
		w := []*harness{a, b}[i%2]
		w.now = max(a.now, b.now)
		id := fmt.Sprint(i)
		assert.Assert(t, w.run(claimOp(id, "1-"+id+"/1", ""))[0].Accepted)
	}
	assert.Assert(t, len(store.objects) > 5, "%d segments", len(store.objects))
	for _, o := range store.objects {
		assert.Assert(t, len(o.Value) <= objectstore.MaxValueBytes)
	}
	c := newHarness(t, store, "r3", cfg)
	for i := range 200 {
		id := fmt.Sprint(i)
		r := c.run(claimOp(id, "2-"+id+"/1", ""))[0]
		assert.Equal(t, r.Record.AttemptID, "1-"+id+"/1")
		assert.Assert(t, !r.Accepted)
	}
}

// TestIndexCollision guards against a key that is hidden by another one with
// the same hash.
func TestIndexCollision(t *testing.T) {
	var x keyIndex
	key := Key{"t", "k"}
	x.add(key.Hash(), 3)
	x.add(key.Hash(), 7)
	seq, ok := x.newestSegment(key)
	assert.Assert(t, ok && seq == 7)
	x.addFalseMatch(key.Hash(), 7, key)
	seq, ok = x.newestSegment(key)
	assert.Assert(t, ok && seq == 3)
	x.removeSegment(3)
	_, ok = x.newestSegment(key)
	assert.Assert(t, !ok)
}
