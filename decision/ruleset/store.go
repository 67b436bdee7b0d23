package ruleset

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetWatcher sets whether the process watches the store.
func (m *StateMachine) SetWatcher(now time.Duration, on bool) {
	if on == m.watcher {
		return
	}
	m.watcher = on
	if on {
		// The watchers of all zones may be selected at the same moment.
		m.readStoreAt = min(m.readStoreAt, now+m.jitter(m.cfg.MinReadInterval))
		m.storeRetryDelay = 0
	}
}

// StoreResult is the result of a store call.
type StoreResult int

// Results of store calls. A successful watch has the result StoreFound.
const (
	StoreFound StoreResult = iota
	StoreNotFound
	StoreFailed
)

// HandleReadResult processes the result of ReadStore. objectVersion is the version of
// the object in the store; t is nil unless the result is StoreFound.
func (m *StateMachine) HandleReadResult(now time.Duration, result StoreResult, t *Text, objectVersion uint64) {
	m.readingStore = false
	m.status.StoreReachable = result != StoreFailed
	if result == StoreFailed {
		m.scheduleStoreRetry(now)
		return
	}
	m.storeRetryDelay = 0
	m.watchSince = max(m.watchSince, objectVersion)
	if m.watcher {
		m.watchStoreAt = now
	}
	if result == StoreNotFound {
		if !m.watcher && m.head.Version == 0 {
			m.readStoreAt = now + m.cfg.MissingVersionWait/2 + m.jitter(m.cfg.MissingVersionWait)
		}
		return
	}
	m.status.StoreRulesVersion = t.Version
	switch {
	case t.Version > m.head.Version:
		m.advanceHeadFromStore(now, t)
	case t.Version == m.head.Version && t.Hash() != m.head.Hash():
		m.status.ContentConflicts++
	}
	if t.Version == m.head.Version {
		m.compileAt = min(m.compileAt, m.earliestCompile(now))
	}
}

// advanceHeadFromStore makes a text read from the store the head and sends it to
// peers as a delta if possible.
func (m *StateMachine) advanceHeadFromStore(now time.Duration, t *Text) {
	m.advanceHead(now, t, nil)
	if n := len(m.deltaLog); n > 0 {
		m.queuePush(m.deltaLog[n-1])
		return
	}
	m.queuePush(nil)
}

// scheduleStoreRetry schedules a read after a failed read. A watcher retries at
// short intervals; other processes retry only until they hold rules and then rely
// on the watchers.
func (m *StateMachine) scheduleStoreRetry(now time.Duration) {
	switch {
	case m.watcher:
		m.readStoreAt = now + m.nextRetryDelay(&m.storeRetryDelay, m.cfg.MaxRetryDelay)
	case m.head.Version == 0:
		delay := max(m.cfg.FirstReadJitter, m.cfg.MinRetryDelay)
		m.readStoreAt = now + delay + m.jitter(delay)
	}
}

// HandleWatchResult processes the result of Watch. changed is true if the rules changed
// or if the store has dropped some of the changes since WatchSince. nextSince is the
// WatchSince of the next Watch.
func (m *StateMachine) HandleWatchResult(now time.Duration, result StoreResult, changed bool, nextSince uint64) {
	m.watchingStore = false
	m.status.StoreReachable = result != StoreFailed
	if !m.watcher {
		return
	}
	if result == StoreFailed {
		m.readStoreAt = min(m.readStoreAt, now+m.nextRetryDelay(&m.storeRetryDelay, m.cfg.MaxRetryDelay))
		return
	}
	m.storeRetryDelay = 0
	m.watchSince = max(m.watchSince, nextSince)
	if changed {
		m.readStoreAt = min(m.readStoreAt, now+m.changeReadDelay(now))
		m.lastChangeAt = now
		return
	}
	m.watchStoreAt = now
}

// changeReadDelay returns the delay before a watcher reads a change, so that
// frequent changes cause at most one read per MinReadInterval.
func (m *StateMachine) changeReadDelay(now time.Duration) time.Duration {
	if m.lastChangeAt == 0 || now-m.lastChangeAt >= m.cfg.MinReadInterval {
		return 0
	}
	return m.cfg.MinReadInterval - (now - m.lastChangeAt)
}

// IsTopRanked reports whether self is among the first n of all processes by
// rendezvous hashing of the key. others are the names of the processes without
// self. The watchers of an availability zone are its top-ranked live routers, with
// the zone as key.
func IsTopRanked(self, key string, others []string, n int) bool {
	selfHash := rendezvousHash(key, self)
	higher := 0
	for _, name := range others {
		if hash := rendezvousHash(key, name); hash > selfHash || hash == selfHash && strings.Compare(name, self) < 0 {
			if higher++; higher >= n {
				return false
			}
		}
	}
	return true
}

// rendezvousHash returns the hash of a process by which rendezvous hashing ranks it.
func rendezvousHash(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
