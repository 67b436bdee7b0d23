package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const handoverPause = 3 * time.Second

func config(i int) Config {
	return Config{
		RouterName: fmt.Sprintf("r%d", i), ValidFor: 2 * time.Second, RenewInterval: 800 * time.Millisecond, HandoverPause: handoverPause,
		SafetyMargin: 500 * time.Millisecond, PollInterval: time.Second, TakeoverDelay: time.Duration(i) * 500 * time.Millisecond,
	}
}

type store struct {
	record   Record
	revision uint64
}

// storeCall is a pending call. A paused router processes its result later.
type storeCall struct {
	action         Action
	applyAt        time.Duration
	doneAt         time.Duration
	lost           bool
	applied        bool
	written        bool
	storedRecord   Record
	storedRevision uint64
}

func (s *store) apply(c *storeCall) {
	c.applied = true
	switch {
	case c.action.Kind == ReadRecord:
	case c.action.Kind == CreateRecord && s.revision == 0, c.action.Kind == ReplaceRecord && c.action.Revision == s.revision:
		s.revision++
		s.record, c.written = c.action.Record, true
	}
	c.storedRecord, c.storedRevision = s.record, s.revision
}

// Guards against two routers that send orders within the handover pause or with
// decreasing fencing tokens, so that one disturbs the weights changes of the other.
// In the test, routers restart, pause and lose the store, and responses are lost.
func TestHandoverPauseBetweenHolders(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := &store{}
		var routers [3]*StateMachine
		var calls [3]*storeCall
		var pausedUntil, partitionedUntil [3]time.Duration
		for i := range routers {
			routers[i] = New(config(i))
		}
		lastHolder, lastOrderAt, lastToken := -1, time.Duration(0), uint64(0)
		orders, handovers := 0, 0
		for now := 10 * time.Second; now < 130*time.Second; now += 20 * time.Millisecond {
			ordersPending := now%(20*time.Second) < 12*time.Second
			for i, m := range routers {
				if rng.IntN(4000) == 0 {
					routers[i], calls[i] = New(config(i)), nil
					continue
				}
				if rng.IntN(1000) == 0 {
					pausedUntil[i] = now + time.Duration(rng.IntN(8000))*time.Millisecond
				}
				if rng.IntN(1000) == 0 {
					partitionedUntil[i] = now + time.Duration(rng.IntN(9000))*time.Millisecond
				}
				if c := calls[i]; c != nil && !c.applied && now >= c.applyAt {
					s.apply(c)
				}
				if now < pausedUntil[i] {
					continue
				}
				if c := calls[i]; c != nil && now >= c.doneAt {
					calls[i] = nil
					handleResult(m, now, c)
				}
				if calls[i] == nil {
					if a := m.NextAction(now, ordersPending); a.Kind != NoAction {
						calls[i] = newStoreCall(rng, a, now, now < partitionedUntil[i])
					}
				}
				token, ok := m.HoldsLease(now)
				if !ok || !ordersPending {
					continue
				}
				assert.Assert(t, token >= lastToken, "seed %d: fencing token %d after %d", seed, token, lastToken)
				if lastHolder != i {
					assert.Assert(t, lastHolder < 0 || now-lastOrderAt >= handoverPause, "seed %d: handover after only %v", seed, now-lastOrderAt)
					assert.Assert(t, lastHolder < 0 || token > lastToken, "seed %d: two holders with fencing token %d", seed, token)
					handovers++
				}
				lastHolder, lastOrderAt, lastToken = i, now, token
				orders++
			}
		}
		assert.Assert(t, orders > 500, "seed %d: only %d orders", seed, orders)
	}
}

func newStoreCall(rng *rand.Rand, a Action, now time.Duration, partitioned bool) *storeCall {
	c := &storeCall{action: a, applyAt: now + 10*time.Millisecond, doneAt: now + 20*time.Millisecond}
	switch {
	case partitioned:
		c.applyAt, c.doneAt, c.lost = 1<<62, now+time.Second, true
	case rng.IntN(20) == 0:
		c.lost, c.doneAt = true, now+time.Second
		if rng.IntN(2) == 0 {
			c.applyAt = now + time.Duration(rng.IntN(1000))*time.Millisecond
		}
	}
	return c
}

func handleResult(m *StateMachine, now time.Duration, c *storeCall) {
	switch {
	case c.lost:
		m.HandleFailure(c.action.Kind != ReadRecord)
	case c.written:
		m.HandleWrite(c.action.Record, c.storedRevision)
	default:
		m.HandleRecord(now, c.storedRecord, c.storedRevision)
	}
}

// Guards against a restarted holder that waits for its own lease to expire, which
// would delay new weights by seconds at each restart.
func TestRestartedHolderTakesLeaseAtOnce(t *testing.T) {
	m := New(config(0))
	assert.Equal(t, m.NextAction(0, true).Kind, ReadRecord)
	m.HandleRecord(0, Record{Holder: "r0", FencingToken: 4, WriteCount: 9}, 77)
	a := m.NextAction(0, true)
	assert.Equal(t, a.Kind, ReplaceRecord)
	assert.Equal(t, a.Record.FencingToken, uint64(5))
	m.HandleWrite(a.Record, 78)
	_, ok := m.HoldsLease(time.Millisecond)
	assert.Assert(t, ok)
}
