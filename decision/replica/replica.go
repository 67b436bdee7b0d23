// Package replica keeps a copy of the store's objects of one kind. A process updates
// it from its own watch of the store or from the copies of other processes; in both
// cases the newest state of each object wins. When the store comes back from a copy of
// its own, a new era begins: revisions of different eras are never compared. It is a pure
// state machine.
package replica

import (
	"slices"
	"sort"

	"github.com/arbutusline/arbutusline/fleet"
)

// Entry is the newest known state of one object.
type Entry struct {
	Name string
	// Revision is the store's revision of the object's last change. The removal of an
	// object does not count as a change.
	Revision uint64
	// SeenRevision is the store's revision at which this state was observed. It is at
	// least Revision. ChangedSince selects entries by it.
	SeenRevision uint64
	Spec         []byte
	Removed      bool
	// Unconfirmed means that the state is of an earlier era and that the store has not
	// had the object since. Its revisions have no meaning.
	Unconfirmed bool
}

// Delta is what one copy has to tell another one.
type Delta struct {
	// At is the position up to which the copy is complete.
	At fleet.StorePosition
	// Entries are the entries that the other copy may lack, sorted by name.
	Entries []Entry
	// Complete means that objects that are neither in Entries nor in Unchanged do not
	// exist. Unchanged are names, sorted.
	Complete  bool
	Unchanged []string
}

// Replica is a copy of the objects of one kind. It is not safe for concurrent use.
type Replica struct {
	position fleet.StorePosition
	// listedRevision is the revision of the last list. The copy lacks objects that were
	// created and removed between the state before and that list, so that it cannot tell
	// older copies of their removal one by one.
	listedRevision uint64
	entries        map[string]Entry
}

// New returns an empty copy.
func New() *Replica { return &Replica{entries: map[string]Entry{}} }

// Position returns the position up to which the copy is complete. It is zero before the
// first list.
func (r *Replica) Position() fleet.StorePosition { return r.position }

// ApplyList merges a complete list of the objects at a position. Objects missing from
// the list count as removed. It reports whether the copy changed. A list of a position
// before that of the copy has no effect. A list of a later era replaces the copy, except
// that objects missing from it stay, unconfirmed, until DropUnconfirmed.
func (r *Replica) ApplyList(list []Entry, at fleet.StorePosition) bool {
	return r.ApplyDelta(Delta{At: at, Entries: list, Complete: true})
}

// ApplyChanges merges the entries that changed up to a position and reports whether the
// copy changed. Changes up to a position before that of the copy, or of another era, have
// no effect.
func (r *Replica) ApplyChanges(entries []Entry, at fleet.StorePosition) bool {
	return r.ApplyDelta(Delta{At: at, Entries: entries})
}

// ApplyDelta merges what another copy has to tell, or a response of the store, and
// reports whether the copy changed. See ApplyList and ApplyChanges.
func (r *Replica) ApplyDelta(d Delta) bool {
	if d.At.Before(r.position) || !d.Complete && d.At.Era != r.position.Era {
		return false
	}
	changed := r.enterEra(d.At.Era)
	for _, e := range d.Entries {
		e.SeenRevision = max(e.SeenRevision, d.At.Revision, e.Revision)
		changed = r.merge(e) || changed
	}
	if d.Complete {
		changed = r.removeMissing(d) || changed
		r.listedRevision = d.At.Revision
	}
	r.position = d.At
	return changed
}

// removeMissing removes the entries that a complete delta does not have.
func (r *Replica) removeMissing(d Delta) bool {
	exists := make(map[string]bool, len(d.Entries)+len(d.Unchanged))
	for _, e := range d.Entries {
		exists[e.Name] = true
	}
	for _, name := range d.Unchanged {
		exists[name] = true
	}
	changed := false
	for name, e := range r.entries {
		if !exists[name] && !e.Removed && !e.Unconfirmed {
			r.entries[name] = Entry{Name: name, Revision: d.At.Revision, SeenRevision: d.At.Revision, Removed: true}
			changed = true
		}
	}
	return changed
}

// enterEra begins an era, unless it has begun, and reports whether entries became
// unconfirmed.
func (r *Replica) enterEra(era uint64) bool {
	if era == r.position.Era {
		return false
	}
	changed := false
	for name, e := range r.entries {
		if e.Removed {
			delete(r.entries, name)
			continue
		}
		r.entries[name] = Entry{Name: name, Spec: e.Spec, Unconfirmed: true}
		changed = true
	}
	r.position, r.listedRevision = fleet.StorePosition{Era: era}, 0
	return changed
}

// merge stores an entry if it is newer than the known one, and reports whether the copy
// changed; the removal of an unknown object does not count. A removal is newer than the
// object's last change; a new object of the same name has a higher revision.
func (r *Replica) merge(e Entry) bool {
	old, ok := r.entries[e.Name]
	if ok && !old.Unconfirmed && (e.Revision < old.Revision || e.Revision == old.Revision && (old.Removed || !e.Removed)) {
		return false
	}
	if !ok && e.Removed {
		r.entries[e.Name] = e
		return false
	}
	r.entries[e.Name] = e
	return true
}

// ChangedSince returns what may be missing from a copy that is complete up to a position.
// It is complete if that copy is of an earlier era, or older than this copy's last list.
func (r *Replica) ChangedSince(since fleet.StorePosition) Delta {
	d := Delta{At: r.position, Complete: since.Era < r.position.Era || since.Revision < r.listedRevision}
	if since.Era < r.position.Era {
		since = fleet.StorePosition{}
	}
	for _, e := range r.entries {
		switch {
		case e.Unconfirmed:
		case e.SeenRevision > since.Revision:
			d.Entries = append(d.Entries, e)
		case d.Complete && !e.Removed:
			d.Unchanged = append(d.Unchanged, e.Name)
		}
	}
	sort.Slice(d.Entries, func(i, j int) bool { return d.Entries[i].Name < d.Entries[j].Name })
	slices.Sort(d.Unchanged)
	return d
}

// LiveEntries returns the objects that are not removed, sorted by name.
func (r *Replica) LiveEntries() []Entry {
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		if !e.Removed {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Entry returns the entry of an object, which may be removed.
func (r *Replica) Entry(name string) (Entry, bool) {
	e, ok := r.entries[name]
	return e, ok
}

// DropUnconfirmed removes the unconfirmed entries and reports whether there were any.
func (r *Replica) DropUnconfirmed() bool {
	dropped := false
	for name, e := range r.entries {
		if e.Unconfirmed {
			delete(r.entries, name)
			dropped = true
		}
	}
	return dropped
}

// DropTombstones drops the entries of removed objects whose removal was observed before
// a revision. A copy older than that revision needs a complete list to catch up.
func (r *Replica) DropTombstones(revision uint64) {
	for name, e := range r.entries {
		if e.Removed && e.SeenRevision < revision {
			delete(r.entries, name)
		}
	}
}
