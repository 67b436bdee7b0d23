package bytebudget

import (
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// reader is a response that is read in steps. It releases its lease some steps after it is denied
// or revoked.
type reader struct {
	lease *Lease
	// stalled is true for a response of which no more arrives, but not its end either.
	stalled   bool
	releaseIn int
}

// Guards against responses without end, fast or stalled, that together take more memory than
// there is, and that leave no room for short ones: as many as a process with 4,100 descriptors can
// have, which needs two for each request, in any order and in steps of any size.
func TestShortResponsesFindRoomBesideEndlessOnes(t *testing.T) {
	const capacity, short, reaction = 20 << 20, 4 << 10, 20
	for _, endless := range []int{1, 10, 300, 2000} {
		for seed := range uint64(2) {
			rng := rand.New(rand.NewPCG(seed, uint64(endless)))
			p := New(capacity, nil)
			var leaving []*reader
			begin := func() *reader {
				r := &reader{stalled: rng.IntN(4) == 0}
				r.lease = p.NewLease(func() { r.releaseIn, leaving = 1+rng.IntN(reaction), append(leaving, r) })
				return r
			}
			readers := make([]*reader, endless)
			for i := range readers {
				readers[i] = begin()
			}
			for range 10 * max(100, endless) {
				i := rng.IntN(endless)
				r := readers[i]
				step := 1 + rng.IntN(64<<10)
				if r.stalled && r.lease.held > 0 {
					step = 0
				}
				if r.lease.revoked || step > 0 && errors.Is(r.lease.Grow(step), ErrExhausted) {
					if !r.lease.revoked {
						r.lease.Release()
					}
					readers[i] = begin()
				}
				assert.Assert(t, p.Used() <= capacity)
				sound := p.NewLease(func() { t.Error("a short response gives way") })
				assert.NilError(t, sound.Grow(short), "%d endless responses, %d bytes in use", endless, p.Used())
				assert.Assert(t, sound.Settle())
				sound.Release()
				kept := leaving[:0]
				for _, l := range leaving {
					if l.releaseIn--; l.releaseIn > 0 {
						kept = append(kept, l)
					} else {
						l.lease.Release()
					}
				}
				leaving = kept
			}
			for _, r := range append(readers, leaving...) {
				r.lease.Release()
			}
			assert.Equal(t, p.Used(), int64(0))
			assert.Equal(t, p.leaving, int64(0))
			assert.Equal(t, len(p.leases), 0)
		}
	}
}

// Guards against a complete response that gives way, and against one that is given up although
// there is room.
func TestLargestIncompleteResponseGivesWay(t *testing.T) {
	var denials []Denial
	var revoked []string
	p := New(800, func(d Denial) { denials = append(denials, d) })
	lease := func(name string, bytes int) *Lease {
		l := p.NewLease(func() { revoked = append(revoked, name) })
		assert.NilError(t, l.Grow(bytes), name)
		return l
	}
	complete, large, small := lease("complete", 300), lease("large", 250), lease("small", 100)
	assert.Assert(t, complete.Settle())
	assert.Equal(t, len(revoked), 0)
	assert.ErrorIs(t, small.Reserve(100), ErrExhausted, "nobody gives way to what may arrive")
	denials = nil
	assert.NilError(t, small.Grow(100), "from the reserve")
	assert.DeepEqual(t, revoked, []string{"large"})
	assert.DeepEqual(t, denials, []Denial{{Held: 250, Used: 650}})
	assert.ErrorIs(t, large.Grow(1), ErrExhausted)
	assert.Assert(t, !large.Settle())
	assert.NilError(t, small.Grow(50), "the revoked response is about to be gone")
	assert.ErrorIs(t, small.Grow(1), ErrExhausted, "not yet")
	large.Release()
	assert.NilError(t, small.Grow(150))
	assert.ErrorIs(t, small.Grow(1), ErrExhausted, "the largest one is the one that wants more")
	assert.Equal(t, len(revoked), 1)
	for _, l := range []*Lease{complete, small, small} {
		l.Release()
	}
	assert.Equal(t, p.Used(), int64(0))
}

// Guards against a pool or lease that is not there and limits something.
func TestNoPoolHasNoLimit(t *testing.T) {
	var none *Pool
	for _, l := range []*Lease{nil, none.NewLease(nil)} {
		assert.NilError(t, l.Grow(1<<40))
		assert.Assert(t, l.Settle())
		l.Release()
	}
}
