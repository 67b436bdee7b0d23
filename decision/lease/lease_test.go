package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const pause = 3 * time.Second

func config(i int) Config {
	return Config{
		Holder: fmt.Sprintf("r%d", i), Valid: 2 * time.Second, Renew: 800 * time.Millisecond, Pause: pause,
		Margin: 500 * time.Millisecond, Look: time.Second, Stagger: time.Duration(i) * 500 * time.Millisecond,
	}
}

type store struct {
	record   Record
	revision uint64
}

// call is a call under way; a router that is paused takes its answer later.
type call struct {
	action  Action
	applyAt time.Duration
	doneAt  time.Duration
	lost    bool
	applied bool
	ok      bool
	got     Record
	at      uint64
}

func (s *store) apply(c *call) {
	c.applied = true
	switch {
	case c.action.Kind == Read:
	case c.action.Kind == Create && s.revision == 0, c.action.Kind == Replace && c.action.Revision == s.revision:
		s.revision++
		s.record, c.ok = c.action.Record, true
	}
	c.got, c.at = s.record, s.revision
}

// Two machines that give orders within the pause, or with falling fencing
// tokens, would disturb each other's changes. Routers are killed, paused and cut
// off, and answers are lost.
func TestHoldersKeepThePause(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := &store{}
		var routers [3]*Machine
		var calls [3]*call
		var deaf, cut [3]time.Duration
		for i := range routers {
			routers[i] = New(config(i))
		}
		last, lastAt, fence := -1, time.Duration(0), uint64(0)
		orders, turns := 0, 0
		for now := 10 * time.Second; now < 130*time.Second; now += 20 * time.Millisecond {
			work := now%(20*time.Second) < 12*time.Second
			for i, m := range routers {
				if rng.IntN(4000) == 0 {
					routers[i], calls[i] = New(config(i)), nil
					continue
				}
				if rng.IntN(1000) == 0 {
					deaf[i] = now + time.Duration(rng.IntN(8000))*time.Millisecond
				}
				if rng.IntN(1000) == 0 {
					cut[i] = now + time.Duration(rng.IntN(9000))*time.Millisecond
				}
				if c := calls[i]; c != nil && !c.applied && now >= c.applyAt {
					s.apply(c)
				}
				if now < deaf[i] {
					continue
				}
				if c := calls[i]; c != nil && now >= c.doneAt {
					calls[i] = nil
					finish(m, now, c)
				}
				if calls[i] == nil {
					if a := m.Next(now, work); a.Kind != None {
						calls[i] = newCall(rng, a, now, now < cut[i])
					}
				}
				f, ok := m.MayOrder(now)
				if !ok || !work {
					continue
				}
				assert.Assert(t, f >= fence, "seed %d: fence %d after %d", seed, f, fence)
				if last != i {
					assert.Assert(t, last < 0 || now-lastAt >= pause, "seed %d: turn after %v", seed, now-lastAt)
					assert.Assert(t, last < 0 || f > fence, "seed %d: two holders with fence %d", seed, f)
					turns++
				}
				last, lastAt, fence = i, now, f
				orders++
			}
		}
		assert.Assert(t, orders > 500, "seed %d: only %d orders", seed, orders)
	}
}

func newCall(rng *rand.Rand, a Action, now time.Duration, cut bool) *call {
	c := &call{action: a, applyAt: now + 10*time.Millisecond, doneAt: now + 20*time.Millisecond}
	switch {
	case cut:
		c.applyAt, c.doneAt, c.lost = 1<<62, now+time.Second, true
	case rng.IntN(20) == 0:
		c.lost, c.doneAt = true, now+time.Second
		if rng.IntN(2) == 0 {
			c.applyAt = now + time.Duration(rng.IntN(1000))*time.Millisecond
		}
	}
	return c
}

func finish(m *Machine, now time.Duration, c *call) {
	switch {
	case c.lost:
		m.Failed(c.action.Kind != Read)
	case c.ok:
		m.Wrote(c.action.Record, c.at)
	default:
		m.Observed(now, c.got, c.at)
	}
}

// A restarted holder must not wait for its own lease to run out, or each
// restart would delay new weights by seconds.
func TestRestartedHolderGoesOnAtOnce(t *testing.T) {
	m := New(config(0))
	assert.Equal(t, m.Next(0, true).Kind, Read)
	m.Observed(0, Record{Holder: "r0", Fence: 4, Renewal: 9}, 77)
	a := m.Next(0, true)
	assert.Equal(t, a.Kind, Replace)
	assert.Equal(t, a.Record.Fence, uint64(5))
	m.Wrote(a.Record, 78)
	_, ok := m.MayOrder(time.Millisecond)
	assert.Assert(t, ok)
}
