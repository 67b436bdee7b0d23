package ruleset

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetWatcher tells the process whether it watches the store.
func (m *Machine) SetWatcher(now time.Duration, on bool) {
	if on == m.watcher {
		return
	}
	m.watcher = on
	if on {
		// Both watchers of all zones may be chosen at the same moment.
		m.readStoreAt = min(m.readStoreAt, now+m.jitter(m.cfg.MinReadInterval))
		m.storeRetryDelay = 0
	}
}

// Outcome is the result of a store call.
type StoreOutcome int

// Outcomes of store calls.
const (
	StoreFound StoreOutcome = iota
	StoreNotFound
	StoreFailed
)

// StoreRead ends a ReadStore. The store version is that of the object; the
// text is nil unless the outcome is Found.
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

func (m *Machine) advanceHeadFromStore(now time.Duration, t *Text) {
	m.advanceHead(now, t, nil)
	if n := len(m.deltaLog); n > 0 {
		m.queuePush(m.deltaLog[n-1])
		return
	}
	m.queuePush(nil)
}

// storeFailed schedules the next read: a watcher keeps trying at a short
// interval, others leave it to the watchers once they hold rules.
func (m *Machine) scheduleStoreRetry(now time.Duration) {
	switch {
	case m.watcher:
		m.readStoreAt = now + m.nextRetryDelay(&m.storeRetryDelay, m.cfg.MaxRetryDelay)
	case m.head.Version == 0:
		delay := max(m.cfg.FirstReadJitter, m.cfg.MinRetryDelay)
		m.readStoreAt = now + delay + m.jitter(delay)
	}
}

// WatchDone ends a Watch. Changed means that the rules changed or that the
// store no longer knows; next is the store version to go on from.
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

// readPause spaces the reads of a watcher while changes come fast.
func (m *Machine) changeReadDelay(now time.Duration) time.Duration {
	if m.lastChangeAt == 0 || now-m.lastChangeAt >= m.cfg.MinReadInterval {
		return 0
	}
	return m.cfg.MinReadInterval - (now - m.lastChangeAt)
}

// Chosen reports whether the process is one of the n watchers of its zone: the
// first ones of the zone's routers by rendezvous hashing. The names are those
// of the live routers of the zone without the process itself.
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

func rendezvousScore(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
