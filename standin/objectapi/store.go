package objectapi

import (
	"sort"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/objectstore"
)

// AnyVersion is the expected version of an unconditional write.
const AnyVersion = ^uint64(0)

// historyLimit is the number of changes that are kept for watches.
const historyLimit = 10_000

// Store holds the objects and the change history in memory, without clock, faults or
// I/O. It is not safe for concurrent use.
type Store struct {
	version uint64
	// compactedVersion is the latest version whose change was discarded.
	compactedVersion uint64
	objects          map[string]objectstore.Object
	history          []objectstore.Change
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{objects: map[string]objectstore.Object{}} }

// Version returns the version of the latest write.
func (s *Store) Version() uint64 { return s.version }

// Get returns an object.
func (s *Store) Get(key string) (objectstore.Object, bool) {
	o, ok := s.objects[key]
	return o, ok
}

// Put writes value if the object has the expected version; a missing object has version
// 0. It returns the object's version after the call and fails with
// objectstore.ErrConflict or objectstore.ErrTooLarge.
func (s *Store) Put(key string, value []byte, expectedVersion uint64) (uint64, error) {
	currentVersion := s.objects[key].Version
	if len(value) > objectstore.MaxValueBytes {
		return currentVersion, objectstore.ErrTooLarge
	}
	if expectedVersion != AnyVersion && expectedVersion != currentVersion {
		return currentVersion, objectstore.ErrConflict
	}
	s.version++
	s.objects[key] = objectstore.Object{Key: key, Value: value, Version: s.version}
	s.appendHistory(objectstore.Change{Key: key, Version: s.version})
	return s.version, nil
}

// Delete deletes the object if it has the expected version. It returns the version of
// the deletion and fails with objectstore.ErrNotFound or objectstore.ErrConflict.
func (s *Store) Delete(key string, expectedVersion uint64) (uint64, error) {
	o, ok := s.objects[key]
	if !ok {
		return 0, objectstore.ErrNotFound
	}
	if expectedVersion != AnyVersion && expectedVersion != o.Version {
		return o.Version, objectstore.ErrConflict
	}
	s.version++
	delete(s.objects, key)
	s.appendHistory(objectstore.Change{Key: key, Version: s.version, Deleted: true})
	return s.version, nil
}

func (s *Store) appendHistory(c objectstore.Change) {
	if len(s.history) == historyLimit {
		s.compactedVersion = s.history[0].Version
		s.history = s.history[1:]
	}
	s.history = append(s.history, c)
}

// List returns the objects whose key starts with prefix, in key order.
func (s *Store) List(prefix string) []objectstore.Change {
	list := []objectstore.Change{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, objectstore.Change{Key: key, Version: o.Version})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// ChangesSince returns the changes of objects whose key starts with prefix after version
// since, oldest first. It fails with objectstore.ErrCompacted if some of them have
// been discarded.
func (s *Store) ChangesSince(prefix string, since uint64) ([]objectstore.Change, error) {
	if since < s.compactedVersion {
		return nil, objectstore.ErrCompacted
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > since })
	changes := []objectstore.Change{}
	for _, c := range s.history[first:] {
		if strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes, nil
}

// TokenBucket is a token bucket that limits the calls per second.
type TokenBucket struct {
	rate, tokens float64
	refilledAt   time.Duration
}

// NewTokenBucket returns a bucket that allows rate calls per second and bursts of one
// second's calls, at least one. A rate of 0 means no limit.
func NewTokenBucket(rate float64) *TokenBucket { return &TokenBucket{rate: rate, tokens: max(rate, 1)} }

// Allow reports whether a call at time now is within the rate, and counts it if so.
func (b *TokenBucket) Allow(now time.Duration) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(max(b.rate, 1), b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
