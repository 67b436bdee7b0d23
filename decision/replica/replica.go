// Package replica keeps a copy of the store's objects of one kind. A process updates
// it from its own watch of the store or from the copies of other processes; in both
// cases the newest state of each object wins. It is a pure state machine.
package replica

import "sort"

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
}

// Replica is a copy of the objects of one kind. It is not safe for concurrent use.
type Replica struct {
	revision uint64
	entries  map[string]Entry
}

// New returns an empty copy.
func New() *Replica { return &Replica{entries: map[string]Entry{}} }

// Revision returns the store's revision up to which the copy is complete. It is 0
// before the first list.
func (r *Replica) Revision() uint64 { return r.revision }

// ApplyList merges a complete list of the objects at a revision. Objects missing from
// the list count as removed unless they changed later. It reports whether the copy
// changed.
func (r *Replica) ApplyList(list []Entry, revision uint64) bool {
	listed := make(map[string]bool, len(list))
	changed := false
	for _, e := range list {
		listed[e.Name] = true
		e.SeenRevision = max(revision, e.Revision)
		changed = r.merge(e) || changed
	}
	for name, e := range r.entries {
		if !listed[name] && !e.Removed && e.Revision <= revision {
			r.entries[name] = Entry{Name: name, Revision: e.Revision, SeenRevision: revision, Removed: true}
			changed = true
		}
	}
	r.revision = max(r.revision, revision)
	return changed
}

// ApplyChanges merges the entries that changed up to a revision and reports whether the
// copy changed.
func (r *Replica) ApplyChanges(entries []Entry, revision uint64) bool {
	changed := false
	for _, e := range entries {
		e.SeenRevision = max(e.SeenRevision, revision, e.Revision)
		changed = r.merge(e) || changed
	}
	r.revision = max(r.revision, revision)
	return changed
}

// merge stores an entry if it is newer than the known one, and reports whether the copy
// changed; the removal of an unknown object does not count. A removal is newer than the
// object's last change; a new object of the same name has a higher revision.
func (r *Replica) merge(e Entry) bool {
	old, ok := r.entries[e.Name]
	if ok && (e.Revision < old.Revision || e.Revision == old.Revision && (old.Removed || !e.Removed)) {
		return false
	}
	if !ok && e.Removed {
		r.entries[e.Name] = e
		return false
	}
	r.entries[e.Name] = e
	return true
}

// ChangedSince returns the entries that may be missing from a copy that is complete up
// to a revision, sorted by name.
func (r *Replica) ChangedSince(revision uint64) []Entry {
	var out []Entry
	for _, e := range r.entries {
		if e.SeenRevision > revision {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
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

// DropTombstones drops the entries of removed objects whose removal was observed before
// a revision. A copy older than that revision needs a complete list to catch up.
func (r *Replica) DropTombstones(revision uint64) {
	for name, e := range r.entries {
		if e.Removed && e.SeenRevision < revision {
			delete(r.entries, name)
		}
	}
}
