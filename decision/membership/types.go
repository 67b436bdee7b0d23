// Package membership keeps the list of live processes by gossip. It implements the
// SWIM protocol as a state machine without I/O: in each probe interval it probes
// one member, asks others to probe it when no ack arrives, suspects it when that
// fails too, and declares it dead when the suspicion is not refuted in time.
// Updates are piggybacked on probes and acks; urgent ones are pushed to a few
// peers at once, which forward them.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as a process sees it.
type State uint8

// States of a member, in the order in which they override each other at equal
// incarnation and revision.
const (
	Alive State = iota + 1
	Suspect
	Dead
)

// Roles of a process.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

// Member describes one process. Values are immutable once shared.
type Member struct {
	Name string
	// Role is RoleRouter or RoleAgent.
	Role string
	Zone string
	// GossipAddress is a UDP address.
	GRPCAddress, GossipAddress string
	// Endpoint is the name of the endpoint that an agent serves.
	Endpoint string
	// Incarnation identifies the run of the process; a later run has a higher
	// incarnation.
	Incarnation uint64
	// Revision is increased by the member itself with each change and refutation.
	Revision uint32
	State    State
	// Leaving is set by the member when it accepts no new work.
	Leaving bool
}

// StateName returns "alive", "suspect", "leaving" or "dead". Leaving hides
// suspicion, because a leaving member accepts no new work either way.
func (m *Member) StateName() string {
	switch {
	case m.State == Dead:
		return "dead"
	case m.Leaving:
		return "leaving"
	case m.State == Suspect:
		return "suspect"
	}
	return "alive"
}

// newerThan reports whether m overrides other.
func (m *Member) newerThan(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.State > other.State
}

func (m *Member) withState(s State) *Member {
	c := *m
	c.State = s
	return &c
}

// memberOverheadBytes is the encoded size of a member without its strings: tags,
// lengths, incarnation, revision, state and leaving flag.
const memberOverheadBytes = 36

func (m *Member) encodedSize() int {
	return memberOverheadBytes + len(m.Name) + len(m.Role) + len(m.Zone) + len(m.GRPCAddress) + len(m.GossipAddress) + len(m.Endpoint)
}

// hash covers the fields that all members must agree on. State is left out,
// because processes suspect a member at different times.
func (m *Member) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.Name)
	var b [13]byte
	for i := range 8 {
		b[i] = byte(m.Incarnation >> (8 * i))
	}
	for i := range 4 {
		b[8+i] = byte(m.Revision >> (8 * i))
	}
	if m.Leaving {
		b[12] = 1
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// bucketCount is the number of buckets into which members are hashed by name to
// compare lists.
const bucketCount = 256

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// Payload is an application update that is sent along with member updates. This
// package does not interpret Data.
type Payload struct {
	// Key identifies the subject; a payload replaces a queued one with its key.
	Key string
	// Serial orders payloads with the same key. A payload whose serial is not
	// higher than the last one seen is dropped.
	Serial uint64
	// Size is the encoded size in bytes.
	Size int
	Data any
	// PushOnly payloads are pushed and forwarded but not piggybacked.
	PushOnly bool
}

// DatagramKind is the kind of a datagram.
type DatagramKind uint8

// Kinds of datagram. Push carries only updates; it also answers a SyncRequest.
const (
	Push DatagramKind = iota
	Probe
	Ack
	IndirectProbe
	SyncRequest
)

// Datagram is one gossip message.
type Datagram struct {
	From            string
	FromIncarnation uint64
	Sequence        uint64
	Kind            DatagramKind
	// Target is the probed member, in the probe and in its ack.
	Target            string
	TargetIncarnation uint64
	// TargetAddress is the target's gossip address in an IndirectProbe.
	TargetAddress string
	// Join makes a Probe ask for a sample of the members.
	Join bool
	// BucketHashes are the sender's member hashes in a SyncRequest.
	BucketHashes []byte
	Members      []*Member
	Payloads     []Payload
	RulesVersion uint64
	// MembersHash is the hash of the sender's member list, 0 while it joins.
	MembersHash uint64
}

// OutgoingDatagram is a datagram to send to a gossip address.
type OutgoingDatagram struct {
	ToAddress string
	Datagram  *Datagram
}

// Event reports a change to the process.
type Event struct {
	// Member is set when a member appeared or changed. A member that died has
	// State Dead.
	Member *Member
	// Payload is set when a new payload was received.
	Payload *Payload
	// RulesVersion is set when a peer announced a rules version that is not
	// older than that of this process.
	RulesVersion uint64
	// From is the name of the peer that a payload or rules version came from.
	From string
}

// Config holds the parameters of the protocol. Zero fields take their defaults.
type Config struct {
	// ProbeInterval is the time between probes. Default 1 s.
	ProbeInterval time.Duration
	// DirectAckTimeout is the time to wait for a direct ack before indirect
	// probes are sent. Default 300 ms; round trips within a region take about
	// 3 ms.
	DirectAckTimeout time.Duration
	// IndirectProbes is the number of members asked to probe a target that did
	// not ack. Default 3.
	IndirectProbes int
	// PushFanout is the number of peers to which an urgent update is pushed.
	// Default 4: one push round then reaches about 98% of the members.
	PushFanout int
	// SuspicionMultiplier times the decimal logarithm of the member count, plus
	// one, is the number of probe intervals before a suspect is declared dead.
	// Default 3.
	SuspicionMultiplier int
	// RetransmitMultiplier times one more than the decimal logarithm of the
	// member count is the number of times that an update is piggybacked.
	// Default 3.
	RetransmitMultiplier int
	// UpdateBytesPerSecond limits updates, pushes and sync responses, which are
	// shortened or delayed when the limit is reached. Probes and acks themselves
	// are always sent. Default 1600; the target is 5 KB/s in both directions.
	UpdateBytesPerSecond int
	// UpdateBurstBytes is the largest burst of updates. Default 8192: with 16384
	// all agents exceeded the target of 5 KB/s by 4% while 380 routers joined again.
	UpdateBurstBytes int
	// MassSuspicionShare is the share of suspected members above which none is
	// declared dead, because probably this process itself is cut off. Default 0.1.
	MassSuspicionShare float64
	// MassSuspicionMaxDelay limits how long MassSuspicionShare keeps suspects
	// from being declared dead. Default 10 min, because regions can lose
	// contact for minutes.
	MassSuspicionMaxDelay time.Duration
	// DeadRetention is how long a dead member is remembered, so that late
	// messages do not bring it back. Default 24 h.
	DeadRetention time.Duration
	// MaxMembers limits the size of the member list. Default 16384.
	MaxMembers int
	// CatchUpPayloads returns the payloads that bring a peer at an older rules
	// version up to date. Default none.
	CatchUpPayloads func(version uint64) []Payload
}

func (c Config) withDefaults() Config {
	defaultDuration := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	defaultInt := func(d *int, v int) {
		if *d == 0 {
			*d = v
		}
	}
	defaultDuration(&c.ProbeInterval, time.Second)
	defaultDuration(&c.DirectAckTimeout, 300*time.Millisecond)
	defaultDuration(&c.MassSuspicionMaxDelay, 10*time.Minute)
	defaultDuration(&c.DeadRetention, 24*time.Hour)
	defaultInt(&c.IndirectProbes, 3)
	defaultInt(&c.PushFanout, 4)
	defaultInt(&c.SuspicionMultiplier, 3)
	defaultInt(&c.RetransmitMultiplier, 3)
	defaultInt(&c.UpdateBytesPerSecond, 1600)
	defaultInt(&c.UpdateBurstBytes, 8<<10)
	defaultInt(&c.MaxMembers, 16384)
	if c.MassSuspicionShare == 0 {
		c.MassSuspicionShare = 0.1
	}
	return c
}

// Sizes of a datagram.
const (
	// MaxDatagramBytes fits one Ethernet frame and leaves space for tunnel
	// headers.
	MaxDatagramBytes = 1400
	// datagramOverheadBytes covers the fixed fields and names of a datagram.
	datagramOverheadBytes = 220
	// MaxUpdateBytes is the space for members and payloads in a datagram.
	MaxUpdateBytes = MaxDatagramBytes - datagramOverheadBytes
)
