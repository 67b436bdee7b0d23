package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

// at returns a position of the only era.
func at(revision uint64) fleet.StorePosition { return fleet.StorePosition{Revision: revision} }

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
				c.ApplyChanges(history[c.Position().Revision:], at(revision))
			}
			from, to := copies[rng.IntN(3)], copies[rng.IntN(3)]
			to.ApplyDelta(from.ChangedSince(to.Position()))
		}
		copies[0].ApplyChanges(history[copies[0].Position().Revision:], at(60))
		for _, c := range copies {
			c.ApplyDelta(copies[0].ChangedSince(c.Position()))
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
	r.ApplyList([]Entry{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, at(5))
	assert.Assert(t, r.ApplyList([]Entry{{Name: "b", Revision: 4}}, at(9)))
	assert.Equal(t, len(r.LiveEntries()), 1)
	assert.Assert(t, !r.ApplyChanges([]Entry{{Name: "a", Revision: 3}}, at(9)), "an old state must not restore a removed object")
	assert.Assert(t, r.ApplyChanges([]Entry{{Name: "a", Revision: 11}}, at(11)))
}

// Guards against a removed object that stays in a copy which had seen a later change of it
// than the copy that found the removal in a list.
func TestListedRemovalIsNewerThanUnseenChanges(t *testing.T) {
	lister, other := New(), New()
	lister.ApplyList([]Entry{{Name: "a", Revision: 3}}, at(4))
	other.ApplyList([]Entry{{Name: "a", Revision: 6}}, at(7))
	lister.ApplyList(nil, at(9))
	other.ApplyDelta(lister.ChangedSince(other.Position()))
	assert.Equal(t, len(other.LiveEntries()), 0)
}

// Guards against a removed object that stays in a copy because the copy that it learns from
// has never seen the object, as that of a process that has just started.
func TestRemovalOfAnObjectThatTheOtherCopyNeverHad(t *testing.T) {
	started, other := New(), New()
	other.ApplyList([]Entry{{Name: "a", Revision: 6}, {Name: "b", Revision: 2}}, at(7))
	started.ApplyList([]Entry{{Name: "b", Revision: 2}}, at(9))
	delta := started.ChangedSince(other.Position())
	other.ApplyDelta(delta)
	assert.Equal(t, other.Position(), at(9))
	assert.Equal(t, len(other.LiveEntries()), 1)
	other.ApplyDelta(started.ChangedSince(other.Position()))
	assert.Equal(t, len(other.LiveEntries()), 1)
}
