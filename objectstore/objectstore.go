// Package objectstore defines the interface to the platform's object API: versioned
// objects, conditional writes and watches.
package objectstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the maximum size of a value in the object API.
const MaxValueBytes = 1 << 20

// MustNotExist is the expected version with which Put fails with ErrConflict if the
// object exists.
const MustNotExist uint64 = 0

// Errors returned by a Store.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object does not have the expected version.
	// The write had no effect.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable means that the store cannot be reached or does not accept
	// calls. A write had no effect.
	ErrUnavailable = errors.New("object store is unavailable")
	// ErrRateLimited means that the call exceeded the rate limit of the store.
	// A write had no effect.
	ErrRateLimited = errors.New("object store refused the call for its rate")
	// ErrAmbiguous means that the response to a write was lost: the write may or
	// may not have taken effect.
	ErrAmbiguous = errors.New("answer of the object store was lost")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value is too large for the object store")
	// ErrCompacted means that the store has discarded the changes that a watch
	// asked for; the caller has to list the objects again.
	ErrCompacted = errors.New("changes are no longer kept")
)

// Object is a stored value. Versions are store-wide and increase with each write.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// Change is one entry in the result of a watch or list.
type Change struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Host is an entry of the platform's host list. The list may be out of date.
type Host struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Store is the object API. All methods may fail with ErrUnavailable or
// ErrRateLimited.
//
// A store loses no acknowledged write, and versions never go back. Claims of work that must
// not run twice, rules and rollouts rely on it, and nothing in this interface shows that a
// store has come back from a backup: its versions would be given out again. A backup is
// restored only while no process of the deployment runs, with versions above all that were
// ever given out.
type Store interface {
	// Get returns the object with the given key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object has the expected version and returns the
	// new version. It fails with ErrConflict, ErrAmbiguous or ErrTooLarge.
	Put(ctx context.Context, key string, value []byte, expectedVersion uint64) (uint64, error)
	// Delete removes the object if it has the expected version. It fails with
	// ErrConflict, ErrNotFound or ErrAmbiguous.
	Delete(ctx context.Context, key string, expectedVersion uint64) error
	// List returns the keys that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]Change, error)
	// Watch returns the changes after sinceVersion to keys that start with prefix.
	// It waits up to timeout for the first one, and returns the version to
	// continue from. It fails with ErrCompacted.
	Watch(ctx context.Context, prefix string, sinceVersion uint64, timeout time.Duration) (uint64, []Change, error)
	// Hosts returns the host list.
	Hosts(ctx context.Context) ([]Host, error)
}
