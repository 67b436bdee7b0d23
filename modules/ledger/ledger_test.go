package ledger

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/objectstore/fake"
	"github.com/arbutusline/arbutusline/settings"
)

// memoryStore is an in-memory store. Every third write takes effect but returns a
// timeout.
type memoryStore struct {
	objectstore.Store
	mu      sync.Mutex
	objects map[string]objectstore.Object
	version uint64
	writes  int
	down    bool // all calls fail with ErrUnavailable
}

func (s *memoryStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	switch {
	case s.down:
		return o, objectstore.ErrUnavailable
	case !ok:
		return o, objectstore.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, expect uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, objectstore.ErrUnavailable
	}
	if s.objects[key].Version != expect {
		return 0, objectstore.ErrConflict
	}
	s.version++
	s.writes++
	s.objects[key] = objectstore.Object{Key: key, Value: value, Version: s.version}
	if s.writes%3 == 0 {
		return 0, context.DeadlineExceeded
	}
	return s.version, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]objectstore.Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, objectstore.ErrUnavailable
	}
	var out []objectstore.Change
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, objectstore.Change{Key: k, Version: o.Version})
		}
	}
	return out, nil
}

func startLedger(t *testing.T, store objectstore.Store, router string) *Ledger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := New()
	l.store, l.Partitions, l.MinWriteInterval = store, 2, settings.Duration(time.Millisecond)
	assert.NilError(t, l.Validate())
	l.configure(router, uint64(len(router)), prometheus.NewRegistry(), logrus.NewEntry(log))
	return l
}

func claimOp(key, attempt string, body uint64) ledger.Op {
	return ledger.Op{
		Kind: ledger.OpClaim, Key: ledger.Key{Team: "t", IdempotencyKey: key}, BodyHash: body, Endpoint: "a", AttemptID: attempt,
	}
}

// Guards against two attempts that both hold the claim of a key when two routers
// write concurrently and the store loses the responses of writes.
func TestClaimHasOneHolder(t *testing.T) {
	ctx := context.Background()
	store := &memoryStore{objects: map[string]objectstore.Object{}}
	routers := []*Ledger{startLedger(t, store, "r1"), startLedger(t, store, "r2")}
	const keys = 20
	var holders [keys]atomic.Int32
	var wg sync.WaitGroup
	for i := range keys * 4 {
		wg.Go(func() {
			k := i % keys
			for {
				r := routers[i/keys%2].Submit(ctx, claimOp(fmt.Sprint(k), fmt.Sprintf("%d-1/1", i), 1))
				if errors.Is(r.Err, ledger.ErrUnavailable) {
					continue // the operation may time out on a slow host
				}
				assert.Check(t, r.Err == nil, "%v", r.Err)
				if r.Accepted {
					holders[k].Add(1)
				}
				return
			}
		})
	}
	wg.Wait()
	for k := range holders {
		assert.Equal(t, holders[k].Load(), int32(1), "key %d", k)
	}
	for _, l := range routers {
		assert.NilError(t, l.Stop(ctx))
	}
}

// Guards against recorded answers that come back altered, whether stored in the
// segment or as a separate object, and against wrong errors for a reused key and an
// unavailable store.
func TestRecordedAnswers(t *testing.T) {
	ctx := context.Background()
	store := &memoryStore{objects: map[string]objectstore.Object{}}
	l := startLedger(t, store, "r1")
	for _, size := range []int{10, 5000} {
		key, body := fmt.Sprint(size), strings.Repeat("x", size)
		assert.NilError(t, l.Submit(ctx, claimOp(key, "1-1/1", 1)).Err)
		finish := claimOp(key, "1-1/1", 1)
		finish.Kind, finish.State, finish.Answer = ledger.OpFinish, ledger.StateDone, []byte(body)
		assert.NilError(t, l.Submit(ctx, finish).Err)
		lookup := claimOp(key, "", 1)
		lookup.Kind = ledger.OpLookup
		r := l.Submit(ctx, lookup)
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Record.State, ledger.StateDone)
		assert.Assert(t, r.Record.AnswerDropped || string(r.Record.Answer) == body)
		assert.Assert(t, errors.Is(l.Submit(ctx, claimOp(key, "1-2/1", 2)).Err, ledger.ErrKeyReused))
	}
	store.mu.Lock()
	store.down = true
	store.mu.Unlock()
	assert.Assert(t, errors.Is(l.Submit(ctx, claimOp("new", "1-3/1", 1)).Err, ledger.ErrUnavailable))
	assert.NilError(t, l.Stop(ctx))
}

// Guards against deleting all objects of the store with a segment whose answers are
// kept.
func TestSegmentIsDeletedWithItsAnswersOnly(t *testing.T) {
	ctx := context.Background()
	store := fake.New()
	l := startLedger(t, store, "r1")
	put := func(key string) uint64 {
		version, err := store.Put(ctx, key, []byte("v"), objectstore.MustNotExist)
		assert.NilError(t, err)
		return version
	}
	put("rules/current")
	put("ledger-answer/000/000000000001/a")
	put("ledger-answer/000/000000000002/b")
	first, second := put("ledger/000/000000000001"), put("ledger/000/000000000002")
	keys := func() []string {
		list, err := store.List(ctx, "")
		assert.NilError(t, err)
		var out []string
		for _, o := range list {
			out = append(out, o.Key)
		}
		return out
	}

	l.deleteSegment(ctx, ledger.DeleteSegment{ObjectKey: "ledger/000/000000000001", ExpectedVersion: first})
	assert.DeepEqual(t, keys(), []string{
		"ledger-answer/000/000000000001/a", "ledger-answer/000/000000000002/b", "ledger/000/000000000002", "rules/current",
	})
	l.deleteSegment(ctx, ledger.DeleteSegment{
		ObjectKey: "ledger/000/000000000002", ExpectedVersion: second, AnswerPrefix: "ledger-answer/000/000000000002/",
	})
	assert.DeepEqual(t, keys(), []string{"ledger-answer/000/000000000001/a", "rules/current"})
	assert.NilError(t, l.Stop(ctx))
}
