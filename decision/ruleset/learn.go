package ruleset

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// newestSourceVersion returns the newest version that a fetch source announced.
func (m *StateMachine) newestSourceVersion() uint64 {
	var v uint64
	for _, announced := range m.fetchSources {
		v = max(v, announced)
	}
	return v
}

// HandleAnnouncedVersion records that a peer announced a version and schedules a fetch
// if the version is newer than the head.
func (m *StateMachine) HandleAnnouncedVersion(now time.Duration, version uint64, from string) {
	if len(m.startupPeers) < m.cfg.FirstVersionPeers {
		m.startupPeers[from] = true
	}
	if version <= m.head.Version || from == "" {
		return
	}
	m.announcedVersion = max(m.announcedVersion, version)
	if _, known := m.fetchSources[from]; !known && len(m.fetchSources) >= maxFetchSources {
		return
	}
	m.fetchSources[from] = version
	m.scheduleFetch(now, m.jitter(m.cfg.MaxFetchDelay))
	if m.missingVersionReadAt == never {
		m.missingVersionReadAt = now + m.cfg.MissingVersionWait/4 + m.jitter(m.cfg.MissingVersionWait)
	}
}

// HandleDelta applies a delta that a peer pushed, or schedules a fetch if it does
// not apply to the head.
func (m *StateMachine) HandleDelta(now time.Duration, d *Delta, from string) {
	if d.Version <= m.head.Version {
		return
	}
	t, err := d.Apply(m.head)
	if err != nil {
		m.HandleAnnouncedVersion(now, d.Version, from)
		return
	}
	m.advanceHead(now, t, d)
}

// queuePush queues a new head for gossip: the delta if it is small enough, otherwise
// only the version.
func (m *StateMachine) queuePush(d *Delta) {
	if d != nil && d.MaxEncodedSize() <= MaxGossipDeltaBytes {
		m.actions.PushDeltas = append(m.actions.PushDeltas, d)
		return
	}
	m.actions.PushVersion = true
}

// scheduleFetch schedules a fetch. While a fetch is in flight, another peer is asked
// only after HedgeDelay.
func (m *StateMachine) scheduleFetch(now, wait time.Duration) {
	switch {
	case m.fetchAt != never || len(m.fetchesInFlight) >= maxConcurrentFetches:
	case len(m.fetchesInFlight) > 0:
		m.fetchAt = now + m.cfg.HedgeDelay
	default:
		m.fetchAt = now + wait
	}
}

// startFetch starts a fetch from a random peer among those that announced the newest
// version.
func (m *StateMachine) startFetch(now time.Duration) {
	m.fetchAt = never
	var newest uint64
	var peers []string
	for peer, v := range m.fetchSources {
		if _, busy := m.fetchesInFlight[peer]; busy || v <= m.head.Version || v < newest {
			continue
		}
		if v > newest {
			newest, peers = v, nil
		}
		peers = append(peers, peer)
	}
	if len(peers) == 0 {
		return
	}
	slices.Sort(peers)
	peer := peers[m.rng.IntN(len(peers))]
	m.fetchesInFlight[peer] = true
	f := Fetch{Peer: peer, HaveVersion: m.head.Version, HaveHash: m.head.Hash()}
	if m.fetchFullText {
		m.fetchFullText, f.HaveVersion = false, 0
	}
	m.actions.Fetches = append(m.actions.Fetches, f)
	m.scheduleFetch(now, 0)
}

// HandleFetchResult processes the result of a Fetch. A nil response means that the call
// failed.
func (m *StateMachine) HandleFetchResult(now time.Duration, peer string, resp *FetchResponse) {
	delete(m.fetchesInFlight, peer)
	previousVersion := m.head.Version
	if resp != nil {
		m.applyFetchResponse(now, resp)
	}
	// A peer that did not deliver the version it announced is not asked again
	// until it announces a version again.
	delete(m.fetchSources, peer)
	if m.head.Version > previousVersion {
		m.fetchRetryDelay = 0
		m.actions.PushVersion = true
	}
	if m.newestSourceVersion() > m.head.Version {
		m.scheduleFetch(now, m.nextRetryDelay(&m.fetchRetryDelay, m.cfg.MaxRetryDelay))
	}
}

// applyFetchResponse advances the head by the full text or the deltas of a response.
func (m *StateMachine) applyFetchResponse(now time.Duration, resp *FetchResponse) {
	if resp.FullText != nil {
		if resp.FullText.Version > m.head.Version {
			m.advanceHead(now, resp.FullText, nil)
		}
		return
	}
	for _, d := range resp.Deltas {
		if d.Version <= m.head.Version {
			continue
		}
		t, err := d.Apply(m.head)
		if errors.Is(err, ErrInvalidDelta) {
			m.status.ContentConflicts++
			m.fetchFullText = true
		}
		if err != nil {
			return
		}
		m.advanceHead(now, t, d)
	}
}

// advanceHead makes a newer text the head and schedules its compilation. d is the
// delta from the old head, or nil to compute the delta.
func (m *StateMachine) advanceHead(now time.Duration, t *Text, d *Delta) {
	if d == nil && m.head.Version > 0 {
		d = Diff(m.head, t)
	}
	m.head = t
	m.appendToDeltaLog(d)
	m.actions.AnnounceVersion = t.Version
	for peer, v := range m.fetchSources {
		if v <= t.Version {
			delete(m.fetchSources, peer)
		}
	}
	if m.newestSourceVersion() <= t.Version {
		m.fetchAt = never
	}
	if m.announcedVersion <= t.Version {
		m.missingVersionReadAt = never
	}
	if !m.watcher && m.status.StoreRulesVersion == 0 {
		// A peer delivered rules before the first read of the store was due, so
		// this process does not need to read it.
		m.readStoreAt = never
	}
	m.compileAt = min(m.compileAt, m.earliestCompile(now))
}

// earliestCompile returns when the head may be compiled. The first version waits for
// the end of FirstVersionDelay, unless the head was read from the store or
// FirstVersionPeers peers have announced versions.
func (m *StateMachine) earliestCompile(now time.Duration) time.Duration {
	if m.activeView.Version == 0 && m.status.StoreRulesVersion < m.head.Version && len(m.startupPeers) < m.cfg.FirstVersionPeers {
		return max(now, m.firstVersionDelayEnd)
	}
	return max(now, m.earliestRecompile())
}

// earliestRecompile returns the end of MinCompileInterval.
func (m *StateMachine) earliestRecompile() time.Duration {
	if m.compiledVersion == 0 {
		return 0
	}
	return m.lastCompileAt + m.cfg.MinCompileInterval
}

// compileHead compiles the head and makes it the active version if it has no
// errors.
func (m *StateMachine) compileHead(now time.Duration) {
	m.compileAt = never
	if m.head.Version <= m.compiledVersion {
		return
	}
	m.compiledVersion, m.lastCompileAt = m.head.Version, now
	view, err := m.cfg.Compile(m.head.Version, m.head.Body)
	if err != nil {
		m.status.RejectedVersion, m.status.RejectedError = m.head.Version, err
		return
	}
	m.activeView = view
	m.actions.Activate = view
}

// Limits of the delta log.
const (
	maxDeltaLogEntries = 256
	maxDeltaLogBytes   = 256 << 10
)

// appendToDeltaLog stores the delta for peers with older versions. If there is no
// delta or it exceeds the limit, the deltas in the log do not lead to the head, so the
// log is cleared.
func (m *StateMachine) appendToDeltaLog(d *Delta) {
	if d == nil || d.MaxEncodedSize() > maxDeltaLogBytes {
		m.deltaLog, m.deltaLogBytes = nil, 0
		return
	}
	m.deltaLog = append(m.deltaLog, d)
	m.deltaLogBytes += d.MaxEncodedSize()
	for len(m.deltaLog) > maxDeltaLogEntries || m.deltaLogBytes > maxDeltaLogBytes {
		m.deltaLogBytes -= m.deltaLog[0].MaxEncodedSize()
		m.deltaLog = m.deltaLog[1:]
	}
}

// GossipDeltasFrom returns the deltas that lead from a version to the head if they
// fit in one datagram, or nil.
func (m *StateMachine) GossipDeltasFrom(version uint64) []*Delta {
	list := m.DeltasFrom(version)
	size := 0
	for _, d := range list {
		if size += d.MaxEncodedSize(); size > MaxGossipDeltaBytes {
			return nil
		}
	}
	return list
}

// DeltasFrom returns the deltas that lead from a version to the head, or nil.
func (m *StateMachine) DeltasFrom(version uint64) []*Delta {
	for i, d := range m.deltaLog {
		if d.BaseVersion == version {
			return m.deltaLog[i:]
		}
	}
	return nil
}

// ServeFetch returns the response to a peer that holds haveVersion: deltas if they
// are smaller than the full text.
func (m *StateMachine) ServeFetch(haveVersion uint64) *FetchResponse {
	resp := &FetchResponse{Version: m.head.Version}
	if haveVersion >= m.head.Version {
		return resp
	}
	list := m.DeltasFrom(haveVersion)
	size := 0
	for _, d := range list {
		size += d.MaxEncodedSize()
	}
	if len(list) > 0 && size < len(m.head.Body) {
		resp.Deltas = list
		return resp
	}
	return &FetchResponse{Version: m.head.Version, FullText: m.head}
}
