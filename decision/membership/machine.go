package membership

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Machine is the membership state of one process. It is not safe for
// concurrent use.
type StateMachine struct {
	cfg  Config
	rng  *rand.Rand
	self *Member

	members  map[string]*knownMember
	suspects map[string]*knownMember
	// order lists the names of members that are not dead, in probing order.
	probeOrder     []string
	nextProbeIndex int

	bucketHashes [bucketCount]uint32
	membersHash  uint64

	seeds       []string
	updateQueue []*queuedUpdate
	seenSerials map[string]uint64
	// oldSerials is the previous generation of serials.
	previousSeenSerials map[string]uint64
	rulesVersion        uint64
	lastSequence        uint64
	currentProbe        *pendingProbe
	relayedProbes       map[uint64]relayedProbe
	// failed holds the targets of consecutive failed probes.
	failedTargets map[string]bool
	isolatedSince time.Duration

	nextTickAt        time.Duration
	nextProbeAt       time.Duration
	nextSeedContactAt time.Duration
	// greetAfter is when the next unknown sender may be asked who it is.
	unknownSenderProbeAfter time.Duration
	nextSyncAt              time.Duration
	syncUntil               time.Duration
	// syncAfter is when the next differing list may be asked for.
	syncRequestAfter   time.Duration
	syncing            bool
	joining            bool
	aloneDeadline      time.Duration
	lastChangeAt       time.Duration
	massSuspicionSince time.Duration
	budgetBytes        float64
	budgetRefilledAt   time.Duration
	stalledTime        time.Duration
	nextCleanupAt      time.Duration

	outgoing []OutgoingDatagram
	events   []Event
}

type knownMember struct {
	member *Member
	// suspectUntil is when a suspicion becomes a verdict.
	suspicionDeadline time.Duration
	deadSince         time.Duration
	lastHeardAt       time.Duration
	rulesVersion      uint64
	probeIndex        int
	bucket            uint8
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
	syncInterval = 250 * time.Millisecond
	// resyncInterval separates the requests of a process that catches up;
	// while many members change, lists differ all the time.
	resyncInterval   = time.Second
	slowSyncInterval = 10 * time.Second
	joinSyncTimeout  = 30 * time.Second
	catchUpDuration  = 5 * time.Second
	seedInterval     = time.Second
	slowSeedInterval = 30 * time.Second
	// quietTime is how long the list must be unchanged before a differing
	// hash counts as a lost update instead of one in flight.
	syncQuietTime = 2 * time.Second
	// isolationProbes is the number of consecutive failed probes of different
	// members after which the fault is taken to be on the own side.
	isolationFailedProbes = 3
	// isolationHold is the time after which probes that all fail are held
	// against the others.
	isolationTimeout = 30 * time.Second
	// aloneTime is how long a process waits for members before it takes
	// itself for the only one; up to as much is added at random.
	aloneTimeout = 5 * time.Second
	// joinQuietTime ends a join in which nothing new arrives, because all
	// members may be joining at the same time.
	joinQuietTimeout = 3 * time.Second
	joinSampleSize   = 12
	maxSyncResponses = 4
	maxSeeds         = 64
	maxSeenSerials   = 8192
)

// New returns the machine of a process. The member's Incarnation, Name and
// addresses must be set.
func New(cfg Config, self Member, rng *rand.Rand) *StateMachine {
	self.State = Alive
	m := &StateMachine{
		cfg: cfg.withDefaults(), rng: rng, self: &self, syncing: true, joining: true,
		members: map[string]*knownMember{}, suspects: map[string]*knownMember{}, seenSerials: map[string]uint64{},
		relayedProbes: map[uint64]relayedProbe{}, failedTargets: map[string]bool{},
	}
	m.toggleHash(&self)
	return m
}

// Start begins probing. Seeds are gossip addresses; they may be stale.
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

// AddSeeds adds addresses to try, such as those of the platform's host list.
func (m *StateMachine) AddSeeds(seeds []string) {
	for _, s := range seeds {
		if s != m.self.GossipAddress && !slices.Contains(m.seeds, s) && len(m.seeds) < maxSeeds {
			m.seeds = append(m.seeds, s)
		}
	}
}

// Self returns the process's own entry.
func (m *StateMachine) Self() *Member { return m.self }

// SetVersion sets the rules version that the process names to its peers.
func (m *StateMachine) SetRulesVersion(v uint64) { m.rulesVersion = v }

// Leave announces that the process takes no new work.
func (m *StateMachine) Leave(now time.Duration) {
	if m.self.Leaving {
		return
	}
	next := *m.self
	next.Leaving = true
	m.updateSelf(now, &next)
	m.pushUpdate(now, m.self, nil)
}

// Member returns a member other than the process itself.
func (m *StateMachine) Member(name string) (*Member, bool) {
	e, ok := m.members[name]
	if !ok {
		return nil, false
	}
	return e.member, true
}

// Heard returns when a member was last heard directly and the rules version
// that it named then.
func (m *StateMachine) LastHeard(name string) (at time.Duration, version uint64) {
	if e, ok := m.members[name]; ok {
		return e.lastHeardAt, e.rulesVersion
	}
	return 0, 0
}

// Each calls f for every other member, dead ones included.
func (m *StateMachine) ForEachMember(f func(*Member)) {
	for _, e := range m.members {
		f(e.member)
	}
}

// Live returns the number of other members that are not dead.
func (m *StateMachine) LiveCount() int { return len(m.probeOrder) }

// Settled reports whether the list is complete enough to choose watchers from
// it: the join is over, or nobody answered for a while.
func (m *StateMachine) JoinComplete(now time.Duration) bool {
	if len(m.probeOrder) == 0 {
		return len(m.seeds) == 0 || now >= m.aloneDeadline
	}
	return !m.joining
}

// Take returns the datagrams to send and the events since the last call.
func (m *StateMachine) TakeOutput() ([]OutgoingDatagram, []Event) {
	s, e := m.outgoing, m.events
	m.outgoing, m.events = nil, nil
	return s, e
}

// Next returns when Tick is due.
func (m *StateMachine) NextTick() time.Duration {
	at := min(m.nextProbeAt, m.nextSeedContactAt)
	if m.syncing {
		at = min(at, m.nextSyncAt)
	}
	if p := m.currentProbe; p != nil {
		if !p.indirectSent {
			at = min(at, p.indirectAt)
		} else {
			at = min(at, p.deadline)
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

// noticeFreeze handles a process that did not run for a while: what it did
// not hear in that time says nothing about others.
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

// Frozen returns the total time that ticks came late by a period or more.
func (m *StateMachine) StalledTime() time.Duration { return m.stalledTime }

func (m *StateMachine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

func (m *StateMachine) logMemberCount() int {
	return int(math.Ceil(math.Log10(float64(len(m.probeOrder) + 2))))
}

func (m *StateMachine) suspicionTimeout() time.Duration {
	return time.Duration(m.cfg.SuspicionMultiplier*m.logMemberCount()+1) * m.cfg.ProbeInterval
}

// mix adds the member to the hashes, or removes it when it is in them.
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
