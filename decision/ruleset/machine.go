// Package ruleset decides which version of the rules a process uses and where
// it gets newer versions from. It is a pure state machine. A process holds the
// newest text it has received (the head) and the newest version that compiled
// without errors (the active version); neither ever goes back to an older
// version. A few routers per availability zone watch the store. The other
// processes learn of versions by gossip and from requests, and fetch a missing
// version from a peer that announced it.
package ruleset

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/rules"
)

// Config holds the parameters of a StateMachine. Zero fields take defaults.
type Config struct {
	// Compile checks and compiles a text. Default rules.Compile.
	Compile func(version uint64, text string) (*rules.View, error)
	// FirstReadJitter is the largest random delay before the first read of the
	// store, which spreads the reads of processes that start together. Default
	// 4 s for 380 routers; agents, of which there are five times as many, use
	// 30 s. Negative means no delay.
	FirstReadJitter time.Duration
	// FirstVersionDelay is the time after the start before the first version is
	// compiled, because peers may announce newer versions. Default 1 s.
	FirstVersionDelay time.Duration
	// FirstVersionPeers is the number of peers whose announcements end
	// FirstVersionDelay early. Default 5.
	FirstVersionPeers int
	// MinCompileInterval is the minimum time between two compilations, which
	// take about 10 ms for 1 MB. Default 500 ms.
	MinCompileInterval time.Duration
	// MaxFetchDelay bounds the random delay before an announced version is
	// fetched, during which a delta may arrive. Default 250 ms.
	MaxFetchDelay time.Duration
	// HedgeDelay is how long a fetch may take before a second peer is asked as
	// well. Default 300 ms, so that a peer that does not answer uses little of
	// the 4 s in which a change must reach every process.
	HedgeDelay time.Duration
	// MinRetryDelay and MaxRetryDelay bound the delay after failed fetches from
	// peers and failed store calls of a watcher. Default 200 ms and 1.5 s, so
	// that a change made right after an outage is seen in time.
	MinRetryDelay, MaxRetryDelay time.Duration
	// MinReadInterval is the minimum time between two store reads of a watcher.
	// Default 250 ms.
	MinReadInterval time.Duration
	// MissingVersionWait sets when a process that is not a watcher reads the
	// store because it could not get an announced version from a peer: first
	// after 0.25 to 1.25 times this value, then every 1 to 3 times. Default 20 s.
	MissingVersionWait time.Duration
}

func (c Config) withDefaults() Config {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&c.FirstReadJitter, 4*time.Second)
	setDefault(&c.FirstVersionDelay, time.Second)
	setDefault(&c.MinCompileInterval, 500*time.Millisecond)
	setDefault(&c.MaxFetchDelay, 250*time.Millisecond)
	setDefault(&c.HedgeDelay, 300*time.Millisecond)
	setDefault(&c.MinRetryDelay, 200*time.Millisecond)
	setDefault(&c.MaxRetryDelay, 1500*time.Millisecond)
	setDefault(&c.MinReadInterval, 250*time.Millisecond)
	setDefault(&c.MissingVersionWait, 20*time.Second)
	if c.FirstVersionPeers == 0 {
		c.FirstVersionPeers = 5
	}
	if c.Compile == nil {
		c.Compile = func(version uint64, text string) (*rules.View, error) {
			return rules.Compile("rules", version, text)
		}
	}
	return c
}

// Fetch is a FetchRules call to a peer.
type Fetch struct {
	Peer                  string
	HaveVersion, HaveHash uint64
}

// Actions are the steps that the process must carry out, in this order.
type Actions struct {
	// AnnounceVersion is the version of the head if it advanced, otherwise 0. The
	// process announces this version to its peers from now on.
	AnnounceVersion uint64
	// PushDeltas are the deltas to send by gossip immediately.
	PushDeltas []*Delta
	// PushVersion asks to announce the version to a few peers immediately,
	// because no delta that leads to it is sent.
	PushVersion bool
	// Activate is the new active version.
	Activate *rules.View
	// Fetches are calls to peers. Report each result with
	// HandleFetchResult.
	Fetches []Fetch
	// ReadStore asks to read the current rules from the store. Report the result
	// with HandleReadResult.
	ReadStore bool
	// Watch asks to wait for a change in the store after WatchSince. Report the
	// result with HandleWatchResult.
	Watch      bool
	WatchSince uint64
}

// FetchResponse is a peer's response to a Fetch: the full text, deltas from
// HaveVersion, or neither if the peer has nothing newer.
type FetchResponse struct {
	Version  uint64
	FullText *Text
	Deltas   []*Delta
}

// Status is the state of a StateMachine as shown to operators.
type Status struct {
	ActiveVersion, HeadVersion, AnnouncedVersion uint64
	Watcher                                      bool
	// RejectedVersion is the last version that failed to compile, RejectedError its
	// error.
	RejectedVersion uint64
	RejectedError   error
	// StoreRulesVersion is the rules version last read from the store.
	StoreRulesVersion uint64
	// ContentConflicts counts texts and deltas whose content differs from the text
	// that this process holds for the same version.
	ContentConflicts int
	StoreReachable   bool
}

// StateMachine is the state of the rules in one process. It is not safe for
// concurrent use.
type StateMachine struct {
	cfg Config
	rng *rand.Rand

	head          *Text
	activeView    *rules.View
	deltaLog      []*Delta
	deltaLogBytes int
	status        Status

	startedAt            time.Duration
	firstVersionDelayEnd time.Duration
	// startupPeers are the first peers that announced a version, at most
	// FirstVersionPeers.
	startupPeers map[string]bool

	// fetchSources maps peers to the version above the head that they announced.
	fetchSources map[string]uint64
	// announcedVersion is the newest version that any peer announced.
	announcedVersion uint64
	// fetchFullText is true if the next fetch must ask for the full text.
	fetchFullText   bool
	fetchesInFlight map[string]bool
	fetchAt         time.Duration
	fetchRetryDelay time.Duration

	watcher              bool
	readingStore         bool
	watchingStore        bool
	readStoreAt          time.Duration
	watchStoreAt         time.Duration
	storeRetryDelay      time.Duration
	watchSince           uint64
	missingVersionReadAt time.Duration

	compileAt       time.Duration
	compiledVersion uint64
	lastCompileAt   time.Duration
	lastChangeAt    time.Duration
	actions         Actions
}

// never is later than any time.
const never = time.Duration(1<<63 - 1)

// MaxGossipDeltaBytes is the size of the largest delta sent by gossip. A delta of this
// size fits in one datagram with the headers.
const MaxGossipDeltaBytes = 1100

// maxConcurrentFetches bounds the fetches in flight.
const maxConcurrentFetches = 3

// maxFetchSources bounds the peers remembered as sources of newer versions.
const maxFetchSources = 8

// New returns a state machine that holds no rules.
func New(cfg Config, rng *rand.Rand) *StateMachine {
	return &StateMachine{
		cfg: cfg.withDefaults(), rng: rng, head: &Text{}, activeView: rules.Empty(),
		fetchSources: map[string]uint64{}, fetchesInFlight: map[string]bool{}, startupPeers: map[string]bool{},
		fetchAt: never, readStoreAt: never, watchStoreAt: never, missingVersionReadAt: never, compileAt: never,
	}
}

// Start schedules the first read of the store and the end of FirstVersionDelay.
func (m *StateMachine) Start(now time.Duration) {
	m.startedAt, m.firstVersionDelayEnd = now, now+m.cfg.FirstVersionDelay
	m.readStoreAt = now + m.jitter(m.cfg.FirstReadJitter)
}

// ActiveView returns the active version of the rules.
func (m *StateMachine) ActiveView() *rules.View { return m.activeView }

// Head returns the newest text received, which may not be compiled yet or may have
// failed to compile.
func (m *StateMachine) Head() *Text { return m.head }

// Status returns the state shown to operators.
func (m *StateMachine) Status() Status {
	s := m.status
	s.ActiveVersion, s.HeadVersion, s.Watcher = m.activeView.Version, m.head.Version, m.watcher
	s.AnnouncedVersion = max(m.announcedVersion, m.head.Version)
	return s
}

// TakeActions returns and clears the actions collected since the last call.
func (m *StateMachine) TakeActions() Actions {
	a := m.actions
	m.actions = Actions{}
	return a
}

// NextTick returns when Tick is due.
func (m *StateMachine) NextTick() time.Duration {
	at := min(m.compileAt, m.missingVersionReadAt, m.fetchAt)
	if !m.readingStore {
		at = min(at, m.readStoreAt)
	}
	if m.watcher && !m.readingStore && !m.watchingStore {
		at = min(at, m.watchStoreAt)
	}
	return at
}

// Tick runs all work that is due.
func (m *StateMachine) Tick(now time.Duration) {
	if now >= m.compileAt {
		m.compileHead(now)
	}
	if now >= m.fetchAt {
		m.startFetch(now)
	}
	if now >= m.missingVersionReadAt {
		m.missingVersionReadAt = never
		if m.announcedVersion > m.head.Version {
			m.readStoreAt = min(m.readStoreAt, now)
			m.missingVersionReadAt = now + m.cfg.MissingVersionWait + m.jitter(2*m.cfg.MissingVersionWait)
		}
	}
	if now >= m.readStoreAt && !m.readingStore {
		m.readStoreAt, m.readingStore = never, true
		m.actions.ReadStore = true
	}
	if m.watcher && !m.readingStore && !m.watchingStore && now >= m.watchStoreAt {
		m.watchStoreAt, m.watchingStore = never, true
		m.actions.Watch, m.actions.WatchSince = true, m.watchSince
	}
}

// jitter returns a random duration from 0 to d.
func (m *StateMachine) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// nextRetryDelay doubles the delay up to the limit and returns a random duration
// from half of it to all of it.
func (m *StateMachine) nextRetryDelay(delay *time.Duration, limit time.Duration) time.Duration {
	*delay = min(max(2**delay, m.cfg.MinRetryDelay), limit)
	return *delay/2 + m.jitter(*delay/2)
}
