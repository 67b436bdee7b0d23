// Package ruleset decides which version of the rules a process uses and where
// it gets newer ones from. It is a pure state machine. A process holds the
// newest text it has heard of (the head) and the newest version that passed
// the whole check (in force); neither ever goes back. A few routers per
// availability zone watch the store; the others learn versions by gossip and
// from requests, and fetch what they miss from whoever named it.
package ruleset

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/rules"
)

// Config holds the constants of a Machine. Zero fields take defaults.
type Config struct {
	// Check compiles a text. Default rules.Compile.
	Compile func(version uint64, text string) (*rules.View, error)
	// StartSpread is the span over which the processes of a herd spread their
	// first read of the store. Default 4 s for 380 routers; agents, five times
	// as many, use 30 s. Negative means no delay.
	FirstReadJitter time.Duration
	// StartWait is how long the first version is held back while peers may
	// name newer ones. Default 1 s.
	FirstVersionDelay time.Duration
	// StartPeers is the number of peers whose versions end StartWait early.
	// Default 5.
	FirstVersionPeers int
	// CheckInterval is the shortest time between two checks of a text, which
	// take about 10 ms at 1 MB. Default 500 ms.
	MinCompileInterval time.Duration
	// FetchGrace is the longest wait for a delta before a named version is
	// fetched. Default 250 ms.
	MaxFetchDelay time.Duration
	// Hedge is how long a fetch may take before another peer is asked too.
	// Default 300 ms, so that a peer that does not answer costs little of the
	// 4 s.
	HedgeDelay time.Duration
	// RetryMin and RetryMax bound the delay after failed fetches from peers
	// and of a watcher's failed store calls. Default 200 ms and 1.5 s, so that
	// a change made right after an outage is seen in time.
	MinRetryDelay, MaxRetryDelay time.Duration
	// WatchPause separates two store reads of a watcher. Default 250 ms.
	MinReadInterval time.Duration
	// MissingWait is how long a named version may be missing before a process
	// that is no watcher reads the store, and the longest delay between such
	// reads is three times as much. Default 20 s.
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

// Fetch asks for FetchRules at a peer.
type Fetch struct {
	Peer                  string
	HaveVersion, HaveHash uint64
}

// Actions is what the process is to do, in this order.
type Actions struct {
	// Version is set when the head advanced: the process names it to its peers
	// from now on.
	AnnounceVersion uint64
	// Push are deltas to spread at once, small enough for gossip.
	PushDeltas []*Delta
	// PushVersion asks to name the version to a few peers at once, because
	// no delta is spread that would lead there.
	PushVersion bool
	// Adopt is the view that is in force from now on.
	Activate *rules.View
	// Fetch are the peers to be asked. End each with FetchDone.
	Fetches []Fetch
	// ReadStore asks for the current rules. End it with StoreRead.
	ReadStore bool
	// Watch asks to wait for a change after store version Since. End it with
	// WatchDone.
	Watch      bool
	WatchSince uint64
}

// Answer is a peer's answer to a Fetch: the full text, deltas from the version
// asked for, or nothing newer.
type FetchResponse struct {
	Version  uint64
	FullText *Text
	Deltas   []*Delta
}

// Status describes a machine for operators.
type Status struct {
	ActiveVersion, HeadVersion, AnnouncedVersion uint64
	Watcher                                      bool
	// Rejected is the newest version that failed the check, and why.
	RejectedVersion uint64
	RejectedError   error
	// StoreVersion is the rules version last read from the store.
	StoreRulesVersion uint64
	// Conflicts counts texts of a held version with another content.
	ContentConflicts int
	StoreReachable   bool
}

// Machine is the rules state of one process. It is not safe for concurrent
// use.
type Machine struct {
	cfg Config
	rng *rand.Rand

	head          *Text
	activeView    *rules.View
	deltaLog      []*Delta
	deltaLogBytes int
	status        Status

	startedAt            time.Duration
	firstVersionDelayEnd time.Duration
	startupPeers         map[string]bool

	// sources are the peers that named versions above the head.
	fetchSources map[string]uint64
	// named is the newest version that any peer named.
	announcedVersion uint64
	fetchFullText    bool
	fetchesInFlight  map[string]bool
	fetchAt          time.Duration
	fetchRetryDelay  time.Duration

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

// MaxPushBytes is the largest delta that is spread by gossip; it fits one
// datagram with its headers.
const MaxGossipDeltaBytes = 1100

// maxFetches bounds the fetches under way.
const maxConcurrentFetches = 3

// maxSources bounds the peers remembered for one fetch.
const maxFetchSources = 8

// New returns a machine that holds no rules.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg: cfg.withDefaults(), rng: rng, head: &Text{}, activeView: rules.Empty(),
		fetchSources: map[string]uint64{}, fetchesInFlight: map[string]bool{}, startupPeers: map[string]bool{},
		fetchAt: never, readStoreAt: never, watchStoreAt: never, missingVersionReadAt: never, compileAt: never,
	}
}

// Start begins at time now.
func (m *Machine) Start(now time.Duration) {
	m.startedAt, m.firstVersionDelayEnd = now, now+m.cfg.FirstVersionDelay
	m.readStoreAt = now + m.jitter(m.cfg.FirstReadJitter)
}

// View returns the version in force.
func (m *Machine) ActiveView() *rules.View { return m.activeView }

// Head returns the newest text held, which may not have passed the check.
func (m *Machine) Head() *Text { return m.head }

// Status returns the state for operators.
func (m *Machine) Status() Status {
	s := m.status
	s.ActiveVersion, s.HeadVersion, s.Watcher = m.activeView.Version, m.head.Version, m.watcher
	s.AnnouncedVersion = max(m.announcedVersion, m.head.Version)
	return s
}

// Take returns what is to be done since the last call.
func (m *Machine) TakeActions() Actions {
	a := m.actions
	m.actions = Actions{}
	return a
}

// Next returns when Tick is due.
func (m *Machine) NextTick() time.Duration {
	at := min(m.compileAt, m.missingVersionReadAt, m.fetchAt)
	if !m.readingStore {
		at = min(at, m.readStoreAt)
	}
	if m.watcher && !m.readingStore && !m.watchingStore {
		at = min(at, m.watchStoreAt)
	}
	return at
}

// Tick runs what is due.
func (m *Machine) Tick(now time.Duration) {
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

func (m *Machine) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// backoff doubles the delay up to limit and returns a random part of it, at
// least one half.
func (m *Machine) nextRetryDelay(delay *time.Duration, limit time.Duration) time.Duration {
	*delay = min(max(2**delay, m.cfg.MinRetryDelay), limit)
	return *delay/2 + m.jitter(*delay/2)
}
