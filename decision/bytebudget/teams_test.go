package bytebudget

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against one team, or a few, that hold on to all the memory: in any order of steps of any
// size, a team that releases nothing leaves half of what was free before, and another team gets half
// of that or all but the reserve.
func TestTeamsThatReleaseNothingLeaveRoomToOthers(t *testing.T) {
	const capacity = 16 << 20
	for greedy := 1; greedy <= 4; greedy++ {
		for seed := range uint64(5) {
			rng := rand.New(rand.NewPCG(seed, uint64(greedy)))
			p := New(capacity, nil)
			leases := []*Lease{}
			for range 3000 {
				l := p.NewTeamLease(fmt.Sprint("greedy-", rng.IntN(greedy)), nil)
				if l.Reserve(1+rng.IntN(64<<10)) == nil {
					leases = append(leases, l)
				}
				assert.Assert(t, p.Used() <= capacity)
			}
			free := capacity - p.Used()
			assert.Assert(t, free >= max(capacity>>greedy, p.reserve), "%d free beside %d teams", free, greedy)
			// The share is used, too: what is left is no more than the team that holds most would leave
			// alone, but for a step.
			assert.Assert(t, free <= capacity/2+64<<10, "%d free beside %d teams", free, greedy)
			_, held := p.LargestTeam()
			assert.Assert(t, held >= min(free, capacity/8)-128<<10, "%d held by the largest team, %d free", held, free)
			other := p.NewTeamLease("other", nil)
			assert.NilError(t, other.Reserve(int(min(free/2, free-p.reserve))))
			for _, l := range append(leases, other) {
				l.Release()
			}
			assert.Equal(t, p.Used(), int64(0))
			assert.Equal(t, len(p.accounts), 0)
		}
	}
}

// Guards against a response of one team that gives way to one of another team that holds its share,
// and against complete responses that make a team's next one fail although it may give way.
func TestResponsesOfATeamGiveWayToEachOther(t *testing.T) {
	var denials []Denial
	var revoked []string
	p := New(800, func(d Denial) { denials = append(denials, d) })
	lease := func(team, name string, bytes int) *Lease {
		l := p.NewTeamLease(team, func() { revoked = append(revoked, name) })
		assert.NilError(t, l.Grow(bytes), name)
		return l
	}
	other := lease("b", "other", 200)
	large, small := lease("a", "large", 250), lease("a", "small", 20)
	assert.NilError(t, small.Grow(60), "the team's largest response gives way")
	assert.DeepEqual(t, revoked, []string{"large"})
	assert.DeepEqual(t, denials, []Denial{{Held: 250, Used: 470, Team: "a", TeamHeld: 270, TeamShare: true}})
	large.Release()
	assert.Equal(t, p.Held("a"), int64(80))
	assert.Assert(t, small.Settle())
	assert.Assert(t, p.MayWait("a", 300), "80 wait and 420 stay free")
	assert.Assert(t, !p.MayWait("a", 330))
	assert.Assert(t, p.MayWait("b", 330), "the team's own response is not complete")
	third := p.NewTeamLease("a", nil)
	assert.ErrorIs(t, third.Grow(300), ErrTeamExhausted)
	assert.Assert(t, errors.Is(third.Grow(300), ErrExhausted) && !errors.Is(ErrExhausted, ErrTeamExhausted))
	team, held := p.LargestTeam()
	assert.Equal(t, fmt.Sprint(team, held), "b200")
	for _, l := range []*Lease{small, other, third, large} {
		l.Release()
	}
	assert.Equal(t, p.settled+p.leaving+p.Used(), int64(0))
	assert.Equal(t, len(p.accounts), 0)
}

// Guards against a request or response that never finds room because it exceeds the share of its team.
func TestOnlyRequestOfATeamMayExceedItsShare(t *testing.T) {
	p := New(800, nil)
	large, next := p.NewTeamLease("a", nil), p.NewTeamLease("a", nil)
	assert.Assert(t, p.MayWait("a", 600))
	assert.NilError(t, large.Reserve(300))
	assert.NilError(t, large.Reserve(300))
	assert.ErrorIs(t, next.Reserve(1), ErrTeamExhausted)
	assert.ErrorIs(t, large.Reserve(101), ErrExhausted, "the reserve stays free")
	assert.NilError(t, p.NewTeamLease("b", nil).Reserve(100))
	assert.Assert(t, large.Settle())
	assert.Assert(t, !p.MayWait("a", 1) && p.MayWait("b", 1))
}

// Guards against accounts without end: teams beyond the limit share one.
func TestNumberOfAccountsIsBounded(t *testing.T) {
	p := New(1<<30, nil)
	for i := range 3 * maxTeams {
		assert.NilError(t, p.NewTeamLease(fmt.Sprint(i), nil).Reserve(1))
	}
	assert.Equal(t, len(p.accounts), maxTeams+1)
	assert.Equal(t, p.Held("a new one"), int64(2*maxTeams))
}

// Guards against an expected length that most responses exceed, or that a single long one keeps up.
func TestExpectedLengthFollowsTheResponses(t *testing.T) {
	var s Size
	assert.Equal(t, s.Expected(), 0)
	rng := rand.New(rand.NewPCG(1, 1))
	exceeded := 0
	for i := range 1000 {
		n := 500 + rng.IntN(1000)
		if i > 0 && n > s.Expected() {
			exceeded++
		}
		s = s.Observe(n)
	}
	assert.Assert(t, exceeded < 10, "%d of 1000", exceeded)
	s = s.Observe(1 << 20)
	for range 50 {
		s = s.Observe(1000)
	}
	assert.Assert(t, s.Expected() < 10000, "%d", s.Expected())
}
