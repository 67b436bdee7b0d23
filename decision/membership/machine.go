package membership

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// StateMachine is the membership state of one process. It is not safe for
// concurrent use.
type StateMachine struct {
	cfg  Config
	rng  *rand.Rand
	self *Member

	members  map[string]*memberEntry
	suspects map[string]*memberEntry
	// probeOrder lists the names of the members that are not dead, in the order
	// in which they are probed.
	probeOrder     []string
	nextProbeIndex int

	bucketHashes [bucketCount]uint32
	membersHash  uint64

	seeds       []string
	updateQueue []*queuedUpdate
	seenSerials map[string]uint64
	// previousSeenSerials is the previous generation of seenSerials. When
	// seenSerials is full, it replaces previousSeenSerials and starts empty again.
	previousSeenSerials map[string]uint64
	rulesVersion        uint64
	lastSequence        uint64
	currentProbe        *pendingProbe
	relayedProbes       map[uint64]relayedProbe
	// failedTargets holds the targets of consecutive failed probes.
	failedTargets map[string]bool
	isolatedSince time.Duration

	nextTickAt        time.Duration
	nextProbeAt       time.Duration
	nextSeedContactAt time.Duration
	// unknownSenderProbeAfter is when the next unknown sender may be sent a join
	// probe.
	unknownSenderProbeAfter time.Duration
	nextSyncAt              time.Duration
	syncUntil               time.Duration
	// syncRequestAfter is when the next peer with a different member list may be
	// sent a SyncRequest.
	syncRequestAfter time.Duration
	// syncing is true while the process joins or catches up.
	syncing bool
	// joining is true until the member list matches that of a peer or a timeout
	// ends the join.
	joining            bool
	aloneDeadline      time.Duration
	lastChangeAt       time.Duration
	massSuspicionSince time.Duration
	// budgetBytes is the content of the token bucket that limits updates.
	budgetBytes      float64
	budgetRefilledAt time.Duration
	stalledTime      time.Duration
	nextCleanupAt    time.Duration

	outgoing []OutgoingDatagram
	events   []Event
}

type memberEntry struct {
	member *Member
	// suspicionDeadline is when a suspect may be declared dead.
	suspicionDeadline time.Duration
	deadSince         time.Duration
	lastDatagramAt    time.Duration
	rulesVersion      uint64
	// probeIndex is the position in probeOrder, or -1 if the member is dead.
	probeIndex int
	bucket     uint8
}

type queuedUpdate struct {
	member            *Member
	payload           Payload
	transmissionsLeft int
}

type pendingProbe struct {
	target       string
	sequence     uint64
	indirectAt   time.Duration
	deadline     time.Duration
	indirectSent bool
}

type relayedProbe struct {
	requesterAddress  string
	requesterSequence uint64
	expiresAt         time.Duration
}

const (
	// syncInterval is the time between two steps of a sync, and between two join
	// probes to unknown senders.
	syncInterval = 250 * time.Millisecond
	// resyncInterval limits the SyncRequests of a process that catches up,
	// because lists always differ while many members change.
	resyncInterval = time.Second
	// slowSyncInterval is the mean time between SyncRequests when no sync is in
	// progress and the hashes of member lists differ.
	slowSyncInterval = 10 * time.Second
	// joinSyncTimeout is the maximum duration of the sync at the start.
	joinSyncTimeout = 30 * time.Second
	// catchUpDuration is how long a process continues to compare lists after a
	// join, a stall, a failed probe or a refutation.
	catchUpDuration = 5 * time.Second
	// seedInterval is the mean time between contacts to seeds during a join, and
	// slowSeedInterval that between contacts to a seed or dead member afterwards.
	seedInterval     = time.Second
	slowSeedInterval = 30 * time.Second
	// syncQuietTime is how long the list must be unchanged before a different
	// hash is taken for a lost update instead of an update in flight.
	syncQuietTime = 2 * time.Second
	// isolationFailedProbes is the number of different members whose probes may
	// fail in a row. With more, this process is probably cut off itself. It is
	// also the minimum number of suspects to which MassSuspicionShare applies.
	isolationFailedProbes = 3
	// isolationTimeout is the time after which members are suspected even if all
	// probes fail.
	isolationTimeout = 30 * time.Second
	// aloneTimeout is how long a process waits for members before it assumes
	// that it is the only one. A random time up to the same length is added.
	aloneTimeout = 5 * time.Second
	// joinQuietTimeout ends a join in which nothing new arrives, because all
	// members may be joining at the same time and none has the full list.
	joinQuietTimeout = 3 * time.Second
	// joinSampleSize is the number of random members in the ack of a join probe.
	joinSampleSize = 12
	// maxSyncResponses is the maximum number of datagrams that answer a SyncRequest.
	maxSyncResponses = 4
	maxSeeds         = 64
	// maxSeenSerials is the number of keys at which seenSerials starts empty again.
	maxSeenSerials = 8192
)

// New returns the state machine of a process. The member's Incarnation, Name and
// addresses must be set.
func New(cfg Config, self Member, rng *rand.Rand) *StateMachine {
	self.State = Alive
	m := &StateMachine{
		cfg: cfg.withDefaults(), rng: rng, self: &self, syncing: true, joining: true,
		members: map[string]*memberEntry{}, suspects: map[string]*memberEntry{}, seenSerials: map[string]uint64{},
		relayedProbes: map[uint64]relayedProbe{}, failedTargets: map[string]bool{},
	}
	m.toggleHash(&self)
	return m
}

// Start begins probing and joins through the seeds, which are gossip addresses
// and may be outdated.
func (m *StateMachine) Start(now time.Duration, seeds []string) {
	m.budgetBytes, m.budgetRefilledAt = float64(m.cfg.UpdateBurstBytes), now
	m.nextProbeAt = now + m.jitter(m.cfg.ProbeInterval)
	m.nextSeedContactAt, m.nextSyncAt, m.nextCleanupAt = now, now+syncInterval, now
	m.syncUntil = now + joinSyncTimeout
	m.aloneDeadline = now + aloneTimeout + m.jitter(aloneTimeout)
	m.nextTickAt = now
	m.AddSeeds(seeds)
	m.enqueueMember(m.self)
	m.Tick(now)
}

// AddSeeds adds seed addresses, such as those of the platform's host list.
func (m *StateMachine) AddSeeds(seeds []string) {
	for _, seed := range seeds {
		if seed != m.self.GossipAddress && !slices.Contains(m.seeds, seed) && len(m.seeds) < maxSeeds {
			m.seeds = append(m.seeds, seed)
		}
	}
}

// Self returns the member that describes this process.
func (m *StateMachine) Self() *Member { return m.self }

// SetRulesVersion sets the rules version that the process announces to its peers.
func (m *StateMachine) SetRulesVersion(v uint64) { m.rulesVersion = v }

// Leave announces that the process accepts no new work.
func (m *StateMachine) Leave(now time.Duration) {
	if m.self.Leaving {
		return
	}
	next := *m.self
	next.Leaving = true
	m.updateSelf(now, &next)
	m.pushUpdate(now, m.self, nil)
}

// Member returns the member of the given name, other than the process itself.
func (m *StateMachine) Member(name string) (*Member, bool) {
	e, ok := m.members[name]
	if !ok {
		return nil, false
	}
	return e.member, true
}

// LastDatagram returns when the last datagram of a member arrived and the rules
// version that the member announced in it.
func (m *StateMachine) LastDatagram(name string) (at time.Duration, version uint64) {
	if e, ok := m.members[name]; ok {
		return e.lastDatagramAt, e.rulesVersion
	}
	return 0, 0
}

// ForEachMember calls f for every other member, including dead ones.
func (m *StateMachine) ForEachMember(f func(*Member)) {
	for _, e := range m.members {
		f(e.member)
	}
}

// LiveCount returns the number of other members that are not dead.
func (m *StateMachine) LiveCount() int { return len(m.probeOrder) }

// JoinComplete reports whether the member list is complete enough to choose the
// processes that watch the store from it: the join is over, or no member answered
// within aloneTimeout.
func (m *StateMachine) JoinComplete(now time.Duration) bool {
	if len(m.probeOrder) == 0 {
		return len(m.seeds) == 0 || now >= m.aloneDeadline
	}
	return !m.joining
}

// TakeOutput returns and clears the datagrams to send and the events since the
// last call.
func (m *StateMachine) TakeOutput() ([]OutgoingDatagram, []Event) {
	outgoing, events := m.outgoing, m.events
	m.outgoing, m.events = nil, nil
	return outgoing, events
}

// NextTick returns when Tick is due.
func (m *StateMachine) NextTick() time.Duration {
	at := min(m.nextProbeAt, m.nextSeedContactAt)
	if m.syncing {
		at = min(at, m.nextSyncAt)
	}
	if probe := m.currentProbe; probe != nil {
		if !probe.indirectSent {
			at = min(at, probe.indirectAt)
		} else {
			at = min(at, probe.deadline)
		}
	}
	return at
}

// Tick runs the timers that are due.
func (m *StateMachine) Tick(now time.Duration) {
	m.handleStall(now)
	m.expireProbe(now)
	if now >= m.nextProbeAt {
		m.nextProbeAt = max(m.nextProbeAt+m.cfg.ProbeInterval, now+m.cfg.ProbeInterval/2)
		m.expireSuspicions(now)
		m.startProbe(now)
	}
	if now >= m.nextSeedContactAt {
		m.contactSeeds(now)
	}
	if m.syncing && now >= m.nextSyncAt {
		m.syncStep(now)
	}
	if now >= m.nextCleanupAt {
		m.nextCleanupAt = now + max(m.cfg.ProbeInterval, min(time.Minute, m.cfg.DeadRetention))
		m.removeExpired(now)
	}
	m.nextTickAt = m.NextTick()
}

// handleStall detects that this process did not run for a while. It discards the
// pending probe and extends suspicions, because missing responses from that time
// say nothing about other members.
func (m *StateMachine) handleStall(now time.Duration) {
	late := now - m.nextTickAt
	if late < m.cfg.ProbeInterval {
		return
	}
	m.stalledTime += late
	m.currentProbe = nil
	clear(m.failedTargets)
	clear(m.relayedProbes)
	for _, e := range m.suspects {
		e.suspicionDeadline += late
	}
	m.startCatchUp(now)
}

// StalledTime returns the total delay of ticks that came late by ProbeInterval or
// more.
func (m *StateMachine) StalledTime() time.Duration { return m.stalledTime }

func (m *StateMachine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// logMemberCount returns the decimal logarithm of the member count, rounded up.
func (m *StateMachine) logMemberCount() int {
	return int(math.Ceil(math.Log10(float64(len(m.probeOrder) + 2))))
}

func (m *StateMachine) suspicionTimeout() time.Duration {
	return time.Duration(m.cfg.SuspicionMultiplier*m.logMemberCount()+1) * m.cfg.ProbeInterval
}

// toggleHash adds the member to the hashes, or removes it if it is in them.
func (m *StateMachine) toggleHash(member *Member) {
	h := member.hash()
	m.membersHash ^= h
	m.bucketHashes[bucketOf(member.Name)] ^= uint32(h)
}

func (m *StateMachine) updateSelf(now time.Duration, next *Member) {
	m.toggleHash(m.self)
	next.Revision++
	m.self = next
	m.toggleHash(next)
	m.lastChangeAt = now
	m.enqueueMember(next)
}

func (m *StateMachine) refillBudget(now time.Duration) {
	m.budgetBytes = min(float64(m.cfg.UpdateBurstBytes), m.budgetBytes+(now-m.budgetRefilledAt).Seconds()*float64(m.cfg.UpdateBytesPerSecond))
	m.budgetRefilledAt = now
}

func (m *StateMachine) encodeBucketHashes() []byte {
	b := make([]byte, 0, bucketCount*4)
	for _, h := range m.bucketHashes {
		b = binary.LittleEndian.AppendUint32(b, h)
	}
	return b
}
