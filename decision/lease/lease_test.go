package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

const handoverPause = 3 * time.Second

func config(i int) Config {
	return Config{
		RouterName: fmt.Sprintf("r%d", i), ValidFor: 2 * time.Second, RenewInterval: 800 * time.Millisecond, HandoverPause: handoverPause,
		SafetyMargin: 500 * time.Millisecond, PollInterval: time.Second, TakeoverDelay: time.Duration(i) * 500 * time.Millisecond,
	}
}

// at returns a position of a store without eras.
func at(revision uint64) fleet.StorePosition { return fleet.StorePosition{Revision: revision} }

type store struct {
	record   Record
	revision uint64
	era      uint64
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
	storedPosition fleet.StorePosition
}

func (s *store) apply(c *storeCall) {
	c.applied = true
	switch {
	case c.action.Kind == ReadRecord:
	case c.action.Kind == CreateRecord && s.revision == 0, c.action.Kind == ReplaceRecord && c.action.Revision == s.revision:
		s.revision++
		s.record, c.written = c.action.Record, true
	}
	c.storedRecord, c.storedPosition = s.record, fleet.StorePosition{Era: s.era, Revision: s.revision}
}

// Guards against two routers that send orders within the handover pause or with
// decreasing fencing tokens, so that one disturbs the weights changes of the other.
// In the test, routers restart, pause and lose the store, and responses are lost.
func TestHandoverPauseBetweenHolders(t *testing.T) {
	for seed := range uint64(300) {
		simulateRouters(t, seed, false)
	}
}

// Guards against two holders, or fencing tokens that are used again or decrease, after the
// store came back from a copy without the current holder's record: the copy has an earlier
// holder, or none, and its revisions are given out again, so that late or conditional writes
// of the era before replace records of this one.
func TestHandoverPauseAcrossRestores(t *testing.T) {
	for seed := range uint64(600) {
		simulateRouters(t, seed, true)
	}
}

// simulateRouters lets three routers send orders for two minutes. With restores, the store
// comes back from copies.
func simulateRouters(t *testing.T, seed uint64, restores bool) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	s := &store{}
	if restores {
		s.era = 1
	}
	copied := *s
	var routers [3]*StateMachine
	var calls [3]*storeCall
	var pausedUntil, partitionedUntil [3]time.Duration
	// late are calls whose routers have given up on the response.
	var late []*storeCall
	for i := range routers {
		routers[i] = New(config(i))
	}
	lastHolder, lastOrderAt, lastToken := -1, time.Duration(0), uint64(0)
	orders, handovers := 0, 0
	for now := 10 * time.Second; now < 130*time.Second; now += 20 * time.Millisecond {
		ordersPending := now%(20*time.Second) < 12*time.Second
		if restores {
			if rng.IntN(300) == 0 {
				copied = *s
			}
			if rng.IntN(1500) == 0 {
				era := s.era + 1
				*s = copied
				s.era = era
				loseResponses(rng, calls[:], now)
			}
		}
		late = slices.DeleteFunc(late, func(c *storeCall) bool {
			if now < c.applyAt {
				return false
			}
			s.apply(c)
			return true
		})
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
				if !c.applied && c.lost {
					late = append(late, c)
				}
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

// loseResponses cuts the pending calls. Writes may still be applied later.
func loseResponses(rng *rand.Rand, calls []*storeCall, now time.Duration) {
	for _, c := range calls {
		if c == nil {
			continue
		}
		c.lost, c.doneAt = true, now+100*time.Millisecond
		if rng.IntN(2) == 0 {
			c.applyAt = now + time.Duration(rng.IntN(6000))*time.Millisecond
		}
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
		m.HandleWrite(c.action.Record, c.storedPosition)
	default:
		m.HandleRecord(now, c.storedRecord, c.storedPosition)
	}
}

// Guards against a restarted holder that waits for its own lease to expire, which
// would delay new weights by seconds at each restart.
func TestRestartedHolderTakesLeaseAtOnce(t *testing.T) {
	m := New(config(0))
	assert.Equal(t, m.NextAction(0, true).Kind, ReadRecord)
	m.HandleRecord(0, Record{Holder: "r0", FencingToken: 4, WriteCount: 9}, at(77))
	a := m.NextAction(0, true)
	assert.Equal(t, a.Kind, ReplaceRecord)
	assert.Equal(t, a.Record.FencingToken, uint64(5))
	m.HandleWrite(a.Record, at(78))
	_, ok := m.HoldsLease(time.Millisecond)
	assert.Assert(t, ok)
}
