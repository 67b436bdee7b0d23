package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

// restorableStore is a store that comes back from copies of its state.
type restorableStore struct {
	position fleet.StorePosition
	objects  map[string]Entry
	// history has the changes of this era after the copy that it began with.
	history []Entry
	// base is the revision of that copy.
	base uint64
}

func (s *restorableStore) change(name string, remove bool, spec byte) {
	old, exists := s.objects[name]
	if remove && !exists {
		return
	}
	s.position.Revision++
	e := Entry{Name: name, Revision: s.position.Revision, SeenRevision: s.position.Revision, Spec: []byte{spec}}
	if remove {
		e = Entry{Name: name, Revision: old.Revision, SeenRevision: s.position.Revision, Removed: true}
		delete(s.objects, name)
	} else {
		s.objects[name] = e
	}
	s.history = append(s.history, e)
}

func (s *restorableStore) clone() restorableStore {
	c := restorableStore{position: s.position, objects: map[string]Entry{}, base: s.position.Revision}
	for name, e := range s.objects {
		c.objects[name] = e
	}
	return c
}

func (s *restorableStore) list() ([]Entry, fleet.StorePosition) {
	var out []Entry
	for _, e := range s.objects {
		out = append(out, e)
	}
	return out, s.position
}

// changesSince returns the changes after a position, or false if the store does not have
// that position's history.
func (s *restorableStore) changesSince(p fleet.StorePosition) ([]Entry, bool) {
	if p.Era != s.position.Era || p.Revision < s.base || p.Revision > s.position.Revision {
		return nil, false
	}
	return s.history[p.Revision-s.base:], true
}

// Guards against copies that differ from the store, or from each other, after the store came
// back from a copy of its own and gave out revisions again with other content: late lists
// and changes of an earlier era, copies of different eras that exchange their entries, and
// several restores in a row.
func TestCopiesConvergeAcrossRestores(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 31))
		store := &restorableStore{position: fleet.StorePosition{Era: 1}, objects: map[string]Entry{}}
		copied := store.clone()
		copies := []*Replica{New(), New(), New()}
		var lateList []Entry
		var lateAt fleet.StorePosition
		for step := range 200 {
			switch rng.IntN(10) {
			case 0:
				copied = store.clone()
			case 1:
				if rng.IntN(4) == 0 {
					era := store.position.Era + 1
					restored := copied.clone()
					*store = restored
					store.position.Era = era
				}
			default:
				store.change(fmt.Sprintf("e%d", rng.IntN(6)), rng.IntN(3) == 0, byte(step))
			}
			c := copies[rng.IntN(2)] // The third reaches no store.
			before := c.Position()
			switch rng.IntN(6) {
			case 0:
				list, at := store.list()
				if rng.IntN(2) == 0 {
					lateList, lateAt = list, at
					break
				}
				c.ApplyList(list, at)
			case 1:
				c.ApplyList(lateList, lateAt)
			case 2:
				if changes, ok := store.changesSince(c.Position()); ok && c.Position().Era > 0 {
					c.ApplyChanges(changes, store.position)
				}
			default:
				exchangeEntries(copies[rng.IntN(3)], copies[rng.IntN(3)])
			}
			assert.Assert(t, !c.Position().Before(before), "seed %d: the copy went back from %v to %v", seed, before, c.Position())
			if rng.IntN(20) == 0 {
				c.DropUnconfirmed()
			}
		}
		copies[0].ApplyList(store.list())
		for i, c := range copies {
			exchangeEntries(copies[0], c)
			c.DropUnconfirmed()
			got, want := map[string]byte{}, map[string]byte{}
			for _, e := range c.LiveEntries() {
				got[e.Name] = e.Spec[0]
			}
			for name, e := range store.objects {
				want[name] = e.Spec[0]
			}
			assert.DeepEqual(t, got, want)
			assert.Equal(t, c.Position(), store.position, "seed %d copy %d", seed, i)
		}
	}
}

// exchangeEntries gives one copy what it may lack of another one, as routers do.
func exchangeEntries(from, to *Replica) {
	if !to.Position().Before(from.Position()) {
		return
	}
	to.ApplyDelta(from.ChangedSince(to.Position()))
}

// Guards against endpoints and routers that are forgotten as soon as the store comes back
// from a copy without them, although they write their objects again within seconds.
func TestEntriesMissingFromARestoredCopyStayUnconfirmed(t *testing.T) {
	r := New()
	r.ApplyList([]Entry{{Name: "a", Revision: 3}, {Name: "b", Revision: 8}}, fleet.StorePosition{Era: 1, Revision: 9})
	restored := fleet.StorePosition{Era: 2, Revision: 5}
	assert.Assert(t, r.ApplyList([]Entry{{Name: "a", Revision: 3}}, restored))
	assert.Equal(t, len(r.LiveEntries()), 2)
	assert.Assert(t, !r.ApplyList([]Entry{{Name: "a", Revision: 3}}, restored), "a second list without it changes nothing")
	delta := r.ChangedSince(fleet.StorePosition{Era: 1, Revision: 9})
	assert.Assert(t, delta.Complete)
	assert.Equal(t, len(delta.Entries), 1, "an unconfirmed entry is not passed on as one of the new era")
	assert.Assert(t, r.ApplyChanges([]Entry{{Name: "b", Revision: 6}}, fleet.StorePosition{Era: 2, Revision: 6}))
	assert.Assert(t, !r.DropUnconfirmed(), "it was written again")
	assert.Equal(t, len(r.LiveEntries()), 2)
}
