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

// fakeStore is an in-memory store that answers immediately.
type fakeStore struct {
	objects map[string]objectstore.Object
	version uint64
	// answerPrefixes are those of all DeleteSegment actions.
	answerPrefixes []string
}

func (f *fakeStore) put(key string, value []byte, expect uint64) (uint64, error) {
	if f.objects[key].Version != expect {
		return 0, objectstore.ErrConflict
	}
	f.version++
	f.objects[key] = objectstore.Object{Key: key, Value: value, Version: f.version}
	return f.version, nil
}

// perform carries out one store call and returns its result.
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
		f.answerPrefixes = append(f.answerPrefixes, a.AnswerPrefix)
		delete(f.objects, a.ObjectKey)
	}
	return nil
}

// harness drives one Partition against a fakeStore.
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

// run submits the operations together and steps the partition until all have a
// reply.
func (h *harness) run(ops ...Op) []Reply {
	var actions []Action
	for i, op := range ops {
		h.lastOpID++
		op.ID = h.lastOpID
		ops[i] = op
		actions = append(actions, h.partition.Step(h.now, h.now, Submitted{op})...)
	}
	replies := map[uint64]Reply{}
	for range 1000 {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			if r, ok := a.(Reply); ok {
				replies[r.ID] = r
			} else if in := h.store.perform(a); in != nil {
				actions = append(actions, h.partition.Step(h.now, h.now, in)...)
			}
		}
		if len(replies) == len(ops) {
			break
		}
		at, _ := h.partition.NextTick()
		h.now = max(h.now+time.Millisecond, at)
		actions = h.partition.Step(h.now, h.now, Tick{})
	}
	var out []Reply
	for _, op := range ops {
		r, ok := replies[op.ID]
		assert.Assert(h.t, ok, "operation %d has no reply", op.ID)
		out = append(out, r)
	}
	return out
}

func claimOp(key, attemptID, previousAttemptID string) Op {
	return Op{Kind: OpClaim, Key: Key{"t", key}, BodyHash: 5, Endpoint: "a", AgentIncarnation: 1, AttemptID: attemptID, PreviousAttemptID: previousAttemptID}
}

func finishOp(key, attemptID string, s State) Op {
	return Op{Kind: OpFinish, Key: Key{"t", key}, AttemptID: attemptID, State: s}
}

func newStore() *fakeStore { return &fakeStore{objects: map[string]objectstore.Object{}} }

// TestKeyStateTransitions guards against claiming a key again whose attempt may
// have run, and against recording an end from an attempt that lost its claim.
func TestKeyStateTransitions(t *testing.T) {
	h := newHarness(t, newStore(), "r1", Config{})
	result := func(op Op) string {
		r := h.run(op)[0]
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
	assert.Assert(t, errors.Is(h.run(other)[0].Err, ErrKeyReused))
}

// TestGroupCommit guards against one write per claim: concurrent claims share a write.
func TestGroupCommit(t *testing.T) {
	h := newHarness(t, newStore(), "r1", Config{})
	h.run(claimOp("first", "0/1", ""))
	var ops []Op
	for i := range 100 {
		ops = append(ops, claimOp(fmt.Sprint(i), fmt.Sprintf("%d/1", i), ""))
	}
	before := h.partition.Stats().Writes
	for _, r := range h.run(ops...) {
		assert.Assert(t, r.Accepted)
	}
	assert.Equal(t, h.partition.Stats().Writes-before, 1)
}

// TestClaimsInSealedSegments guards against claiming a key again whose record is in a
// sealed segment, and against segments above the store's size limit.
func TestClaimsInSealedSegments(t *testing.T) {
	store := newStore()
	cfg := Config{SegmentBytes: 4000}
	first, second := newHarness(t, store, "r1", cfg), newHarness(t, store, "r2", cfg)
	for i := range 200 {
		claimer := []*harness{first, second}[i%2]
		claimer.now = max(first.now, second.now)
		id := fmt.Sprint(i)
		assert.Assert(t, claimer.run(claimOp(id, "1-"+id+"/1", ""))[0].Accepted)
	}
	assert.Assert(t, len(store.objects) > 5, "%d segments", len(store.objects))
	for _, o := range store.objects {
		assert.Assert(t, len(o.Value) <= objectstore.MaxValueBytes)
	}
	third := newHarness(t, store, "r3", cfg)
	for i := range 200 {
		id := fmt.Sprint(i)
		r := third.run(claimOp(id, "2-"+id+"/1", ""))[0]
		assert.Equal(t, r.Record.AttemptID, "1-"+id+"/1")
		assert.Assert(t, !r.Accepted)
	}
}

// TestIndexCollision guards against missing a key because another key has the same
// hash.
func TestIndexCollision(t *testing.T) {
	var index keyIndex
	key := Key{"t", "k"}
	index.add(key.Hash(), 3)
	index.add(key.Hash(), 7)
	seq, ok := index.newestSegment(key)
	assert.Assert(t, ok && seq == 7)
	index.addFalseMatch(key.Hash(), 7, key)
	seq, ok = index.newestSegment(key)
	assert.Assert(t, ok && seq == 3)
	index.removeSegment(3)
	_, ok = index.newestSegment(key)
	assert.Assert(t, !ok)
}

// Guards against losing answers when a load deletes an outdated unsealed segment. A
// finish that is queued again after a failed write refers to an answer object under the
// number of the segment of its first write.
func TestOutdatedSegmentIsDeletedWithoutAnswers(t *testing.T) {
	store := newStore()
	cfg := Config{SegmentBytes: 4000}
	writer := newHarness(t, store, "r1", cfg)
	for i := range 100 {
		writer.run(claimOp(fmt.Sprint(i), fmt.Sprintf("%d/1", i), ""))
	}
	outdatedKey := SegmentObjectKey(0, 1)
	outdated := store.objects[outdatedKey]
	unsealed, _, found := strings.Cut(string(outdated.Value), `{"seal"`)
	assert.Assert(t, found, "segment 1 is sealed")
	_, err := store.put(outdatedKey, []byte(unsealed), outdated.Version)
	assert.NilError(t, err)

	loader := newHarness(t, store, "r2", cfg)
	loader.run(claimOp("new", "new/1", ""))
	_, exists := store.objects[outdatedKey]
	assert.Assert(t, !exists)
	assert.DeepEqual(t, store.answerPrefixes, []string{""})
}
