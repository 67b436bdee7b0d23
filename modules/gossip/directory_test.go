package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/membership"
)

// randomMember returns a member in a random state with one of n names.
func randomMember(rng *rand.Rand, n int) *membership.Member {
	m := &membership.Member{Name: fmt.Sprintf("m-%d", rng.IntN(n)), Role: membership.RoleAgent, State: membership.State(1 + rng.IntN(3))}
	if rng.IntN(2) == 0 {
		m.Role = membership.RoleRouter
	}
	return m
}

// Guards against a router count or a list of alive routers that does not match the
// members: team limits are divided by the count, and the owners of ledger partitions
// are chosen from the list.
func TestIndexCountsRouters(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	index := newMemberIndex()
	for range 5000 {
		index.update(randomMember(rng, 20))
		routers, alive := 0, []string{}
		for _, m := range index.liveMembers() {
			if m.Role != membership.RoleRouter {
				continue
			}
			routers++
			if m.State == membership.Alive {
				alive = append(alive, m.Name)
			}
		}
		assert.Equal(t, index.liveRouterCount(), routers)
		got := slices.Clone(index.aliveRouterNames())
		slices.Sort(got)
		assert.DeepEqual(t, got, alive)
	}
}

func BenchmarkLiveMembers(b *testing.B) {
	index := largeIndex()
	b.ReportAllocs()
	for b.Loop() {
		index.liveMembers()
	}
}

func BenchmarkLiveRouterCount(b *testing.B) {
	index := largeIndex()
	b.ReportAllocs()
	for b.Loop() {
		index.liveRouterCount()
	}
}

// largeIndex returns the index of a deployment with 2,479 members.
func largeIndex() *memberIndex {
	index := newMemberIndex()
	for i := range 2479 {
		m := &membership.Member{Name: fmt.Sprintf("agent-llm-%04d", i), Role: membership.RoleAgent, State: membership.Alive}
		if i%7 == 0 {
			m.Name, m.Role = fmt.Sprintf("router-%04d", i), membership.RoleRouter
		}
		index.update(m)
	}
	return index
}
