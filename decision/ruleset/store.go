package ruleset

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetWatcher sets whether the process watches the store.
func (m *Machine) SetWatcher(now time.Duration, on bool) {
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

// StoreOutcome is the outcome of a store call.
type StoreOutcome int

// Outcomes of store calls. A successful watch has the outcome StoreFound.
const (
	StoreFound StoreOutcome = iota
	StoreNotFound
	StoreFailed
)

// StoreReadDone reports the result of ReadStore. ObjectVersion is the version of
// the object in the store; the text is nil unless the outcome is StoreFound.
func (m *Machine) StoreReadDone(now time.Duration, o StoreOutcome, t *Text, objectVersion uint64) {
	m.readingStore = false
	m.status.StoreReachable = o != StoreFailed
	if o == StoreFailed {
		m.scheduleStoreRetry(now)
		return
	}
	m.storeRetryDelay = 0
	m.watchSince = max(m.watchSince, objectVersion)
	if m.watcher {
		m.watchStoreAt = now
	}
	if o == StoreNotFound {
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
func (m *Machine) advanceHeadFromStore(now time.Duration, t *Text) {
	m.advanceHead(now, t, nil)
	if n := len(m.deltaLog); n > 0 {
		m.queuePush(m.deltaLog[n-1])
		return
	}
	m.queuePush(nil)
}

// scheduleStoreRetry schedules a read after a failed one. A watcher retries at
// short intervals; other processes retry only until they hold rules and then rely
// on the watchers.
func (m *Machine) scheduleStoreRetry(now time.Duration) {
	switch {
	case m.watcher:
		m.readStoreAt = now + m.nextRetryDelay(&m.storeRetryDelay, m.cfg.MaxRetryDelay)
	case m.head.Version == 0:
		delay := max(m.cfg.FirstReadJitter, m.cfg.MinRetryDelay)
		m.readStoreAt = now + delay + m.jitter(delay)
	}
}

// WatchDone reports the result of Watch. Changed means that the rules changed or
// that the store no longer keeps the changes asked for; nextSince is the value of
// WatchSince to continue from.
func (m *Machine) WatchDone(now time.Duration, o StoreOutcome, changed bool, nextSince uint64) {
	m.watchingStore = false
	m.status.StoreReachable = o != StoreFailed
	if !m.watcher {
		return
	}
	if o == StoreFailed {
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
func (m *Machine) changeReadDelay(now time.Duration) time.Duration {
	if m.lastChangeAt == 0 || now-m.lastChangeAt >= m.cfg.MinReadInterval {
		return 0
	}
	return m.cfg.MinReadInterval - (now - m.lastChangeAt)
}

// IsTopRanked reports whether self is among the first n of all processes by
// rendezvous hashing of the key. Others are the names of the processes without
// self. The watchers of an availability zone are its top-ranked live routers, with
// the zone as key.
func IsTopRanked(self, key string, others []string, n int) bool {
	selfScore := rendezvousScore(key, self)
	higher := 0
	for _, name := range others {
		if score := rendezvousScore(key, name); score > selfScore || score == selfScore && strings.Compare(name, self) < 0 {
			if higher++; higher >= n {
				return false
			}
		}
	}
	return true
}

// rendezvousScore is the weight of a process in rendezvous hashing.
func rendezvousScore(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
