package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// A copy that is fed by a peer must not bring back a removed endpoint or lose a
// re-created one, whatever the order in which the news arrives.
func TestCopiesConvergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		copies := []*Replica{New(), New(), New()}
		live := map[string]uint64{}
		var log []Entry
		for revision := uint64(1); revision <= 60; revision++ {
			name := fmt.Sprintf("e%d", rng.IntN(5))
			if at, ok := live[name]; ok && rng.IntN(2) == 0 {
				delete(live, name)
				log = append(log, Entry{Name: name, Revision: at, SeenRevision: revision, Removed: true})
			} else {
				live[name] = revision
				log = append(log, Entry{Name: name, Revision: revision, SeenRevision: revision, Spec: []byte{byte(revision)}})
			}
			c := copies[rng.IntN(2)]
			if rng.IntN(3) == 0 {
				c.ApplyChanges(log[c.Revision():], revision)
			}
			from, to := copies[rng.IntN(3)], copies[rng.IntN(3)]
			to.ApplyChanges(from.ChangedSince(to.Revision()), from.Revision())
		}
		copies[0].ApplyChanges(log[copies[0].Revision():], 60)
		for _, c := range copies {
			c.ApplyChanges(copies[0].ChangedSince(c.Revision()), copies[0].Revision())
			got := map[string]uint64{}
			for _, e := range c.LiveEntries() {
				got[e.Name] = e.Revision
			}
			assert.DeepEqual(t, got, live)
		}
	}
}

// After a compacted history the complete list must remove what it lacks.
func TestResetRemovesWhatTheListLacks(t *testing.T) {
	r := New()
	r.ApplyList([]Entry{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, 5)
	assert.Assert(t, r.ApplyList([]Entry{{Name: "b", Revision: 4}}, 9))
	assert.Equal(t, len(r.LiveEntries()), 1)
	assert.Assert(t, !r.ApplyChanges([]Entry{{Name: "a", Revision: 3}}, 9), "an old state must not bring a removed object back")
	assert.Assert(t, r.ApplyChanges([]Entry{{Name: "a", Revision: 11}}, 11))
}
