// Package fake is an in-memory objectstore.Store for tests. It can inject outages,
// delays, lost responses and conflicts. Only tests import it.
package fake

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/arbutusline/arbutusline/objectstore"
)

// Op identifies an operation of the store.
type Op string

// Operations of the store.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
	OpHosts  Op = "hosts"
)

// Call describes one call before it takes effect.
type Call struct {
	Op Op
	// Key is the key or prefix.
	Key string
	// Number is the sequence number of the call, counting all operations from 1.
	Number int
}

// IsWrite reports whether the call is a Put or Delete.
func (c Call) IsWrite() bool { return c.Op == OpPut || c.Op == OpDelete }

// Fault is a failure injected into one call.
type Fault int

// Faults. Reads ignore Conflict and treat LostRequest, LostResponse and DelayedWrite as
// Unavailable.
const (
	// NoFault executes the call normally.
	NoFault Fault = iota
	// Unavailable rejects the call with ErrUnavailable.
	Unavailable
	// RateLimited rejects the call with ErrRateLimited.
	RateLimited
	// Conflict rejects a write with ErrConflict although its version matches.
	Conflict
	// LostRequest returns ErrAmbiguous for a write that did not take effect.
	LostRequest
	// LostResponse returns ErrAmbiguous for a write that took effect.
	LostResponse
	// DelayedWrite returns ErrAmbiguous for a write that takes effect only in
	// ApplyDelayedWrites.
	DelayedWrite
)

// maxRetainedChanges bounds the changes kept for watches.
const maxRetainedChanges = 4096

// Store is an in-memory object store. The zero value is not usable; use New.
type Store struct {
	mu               sync.Mutex
	objects          map[string]objectstore.Object
	version          uint64
	changes          []objectstore.Change
	compactedVersion uint64 // highest version dropped from changes
	changeSignal     chan struct{}
	hosts            []objectstore.Host
	callCounts       map[Op]int
	totalCalls       int
	outage           bool
	onCall           func(context.Context, Call) Fault
	delayedWrites    []func()
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		objects:      map[string]objectstore.Object{},
		callCounts:   map[Op]int{},
		changeSignal: make(chan struct{}),
	}
}

// SetOutage makes every call fail with ErrUnavailable while on is true, pending
// watches included.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.notifyWatchers()
}

// OnCall sets a function that runs before each call takes effect and returns the fault
// to inject. It may block to delay the call. nil removes the function.
func (s *Store) OnCall(f func(context.Context, Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCall = f
}

// SetHosts sets the host list.
func (s *Store) SetHosts(hosts []objectstore.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]objectstore.Host(nil), hosts...)
}

// CallCount returns the number of calls of one operation, including failed ones.
func (s *Store) CallCount(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[op]
}

// ApplyDelayedWrites attempts all writes that DelayedWrite has delayed. A write takes
// effect if its expected version still matches. ApplyDelayedWrites returns the number of
// attempted writes.
func (s *Store) ApplyDelayedWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := s.delayedWrites
	s.delayedWrites = nil
	for _, write := range writes {
		write()
	}
	return len(writes)
}

// beginCall counts a call and returns the fault to inject. It returns with s.mu locked.
func (s *Store) beginCall(ctx context.Context, op Op, key string) Fault {
	s.mu.Lock()
	s.callCounts[op]++
	s.totalCalls++
	call, onCall := Call{Op: op, Key: key, Number: s.totalCalls}, s.onCall
	fault := NoFault
	if onCall != nil {
		s.mu.Unlock()
		fault = onCall(ctx, call)
		s.mu.Lock()
	}
	switch {
	case s.outage:
		return Unavailable
	case fault == Conflict && !call.IsWrite():
		return NoFault
	case fault >= LostRequest && !call.IsWrite(), ctx.Err() != nil && !call.IsWrite():
		return Unavailable
	case ctx.Err() != nil && fault == NoFault:
		return LostRequest
	}
	return fault
}

func faultError(fault Fault) error {
	switch fault {
	case Unavailable:
		return objectstore.ErrUnavailable
	case RateLimited:
		return objectstore.ErrRateLimited
	case Conflict:
		return objectstore.ErrConflict
	}
	return nil
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	fault := s.beginCall(ctx, OpGet, key)
	defer s.mu.Unlock()
	if err := faultError(fault); err != nil {
		return objectstore.Object{}, err
	}
	o, ok := s.objects[key]
	if !ok {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	o.Value = append([]byte(nil), o.Value...)
	return o, nil
}

// Put implements objectstore.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expectedVersion uint64) (uint64, error) {
	fault := s.beginCall(ctx, OpPut, key)
	defer s.mu.Unlock()
	if len(value) > objectstore.MaxValueBytes {
		return 0, objectstore.ErrTooLarge
	}
	value = append([]byte(nil), value...)
	err := s.writeWithFault(fault, func() error { return s.putLocked(key, value, expectedVersion) })
	if err != nil {
		return 0, err
	}
	return s.version, nil
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, expectedVersion uint64) error {
	fault := s.beginCall(ctx, OpDelete, key)
	defer s.mu.Unlock()
	return s.writeWithFault(fault, func() error { return s.deleteLocked(key, expectedVersion) })
}

func (s *Store) writeWithFault(fault Fault, apply func() error) error {
	switch fault {
	case NoFault:
		return apply()
	case LostRequest:
		return objectstore.ErrAmbiguous
	case LostResponse:
		_ = apply()
		return objectstore.ErrAmbiguous
	case DelayedWrite:
		s.delayedWrites = append(s.delayedWrites, func() { _ = apply() })
		return objectstore.ErrAmbiguous
	}
	return faultError(fault)
}

func (s *Store) putLocked(key string, value []byte, expectedVersion uint64) error {
	if s.objects[key].Version != expectedVersion {
		return objectstore.ErrConflict
	}
	s.version++
	s.objects[key] = objectstore.Object{Key: key, Value: value, Version: s.version}
	s.appendChange(objectstore.Change{Key: key, Version: s.version})
	return nil
}

func (s *Store) deleteLocked(key string, expectedVersion uint64) error {
	o, ok := s.objects[key]
	if !ok {
		return objectstore.ErrNotFound
	}
	if o.Version != expectedVersion {
		return objectstore.ErrConflict
	}
	s.version++
	delete(s.objects, key)
	s.appendChange(objectstore.Change{Key: key, Version: s.version, Deleted: true})
	return nil
}

func (s *Store) appendChange(c objectstore.Change) {
	s.changes = append(s.changes, c)
	if len(s.changes) > maxRetainedChanges {
		s.compactedVersion = s.changes[0].Version
		s.changes = s.changes[1:]
	}
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectstore.Change, error) {
	fault := s.beginCall(ctx, OpList, prefix)
	defer s.mu.Unlock()
	if err := faultError(fault); err != nil {
		return nil, err
	}
	list := []objectstore.Change{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, objectstore.Change{Key: key, Version: o.Version})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, sinceVersion uint64, timeout time.Duration) (uint64, []objectstore.Change, error) {
	fault := s.beginCall(ctx, OpWatch, prefix)
	defer s.mu.Unlock()
	if err := faultError(fault); err != nil {
		return sinceVersion, nil, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for expired := false; ; {
		if s.outage || ctx.Err() != nil {
			return sinceVersion, nil, objectstore.ErrUnavailable
		}
		if sinceVersion < s.compactedVersion {
			return sinceVersion, nil, objectstore.ErrCompacted
		}
		changes := s.changesSince(prefix, sinceVersion)
		if len(changes) > 0 || expired {
			return s.version, changes, nil
		}
		signal := s.changeSignal
		s.mu.Unlock()
		select {
		case <-signal:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
}

func (s *Store) changesSince(prefix string, sinceVersion uint64) []objectstore.Change {
	var changes []objectstore.Change
	for _, c := range s.changes {
		if c.Version > sinceVersion && strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes
}

// Hosts implements objectstore.Store.
func (s *Store) Hosts(ctx context.Context) ([]objectstore.Host, error) {
	fault := s.beginCall(ctx, OpHosts, "")
	defer s.mu.Unlock()
	if err := faultError(fault); err != nil {
		return nil, err
	}
	return append([]objectstore.Host(nil), s.hosts...), nil
}
