package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against copies that differ after updates in different orders, because one of
// them restores a removed object or loses an object that was created again.
func TestCopiesConvergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		copies := []*Replica{New(), New(), New()}
		live := map[string]uint64{}
		var history []Entry
		for revision := uint64(1); revision <= 60; revision++ {
			name := fmt.Sprintf("e%d", rng.IntN(5))
			if createdRevision, ok := live[name]; ok && rng.IntN(2) == 0 {
				delete(live, name)
				history = append(history, Entry{Name: name, Revision: createdRevision, SeenRevision: revision, Removed: true})
			} else {
				live[name] = revision
				history = append(history, Entry{Name: name, Revision: revision, SeenRevision: revision, Spec: []byte{byte(revision)}})
			}
			c := copies[rng.IntN(2)]
			if rng.IntN(3) == 0 {
				c.ApplyChanges(history[c.Revision():], revision)
			}
			from, to := copies[rng.IntN(3)], copies[rng.IntN(3)]
			to.ApplyChanges(from.ChangedSince(to.Revision()), from.Revision())
		}
		copies[0].ApplyChanges(history[copies[0].Revision():], 60)
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

// Guards against objects that were removed in compacted history and stay in the copy,
// although the complete list doesn't have them.
func TestApplyListRemovesMissingObjects(t *testing.T) {
	r := New()
	r.ApplyList([]Entry{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, 5)
	assert.Assert(t, r.ApplyList([]Entry{{Name: "b", Revision: 4}}, 9))
	assert.Equal(t, len(r.LiveEntries()), 1)
	assert.Assert(t, !r.ApplyChanges([]Entry{{Name: "a", Revision: 3}}, 9), "an old state must not restore a removed object")
	assert.Assert(t, r.ApplyChanges([]Entry{{Name: "a", Revision: 11}}, 11))
}
