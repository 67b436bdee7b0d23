// Package membership keeps the list of live processes by gossip. It is a pure
// state machine after SWIM: each period it probes one member, asks others to
// probe it when no ack comes, suspects it when that fails too, and declares it
// dead when nobody refutes the suspicion in time. Updates ride on probes and
// acks; urgent ones are pushed to a few peers at once, who push them on.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a process believes about a member.
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
	// Address is the gRPC address, GossipAddress the UDP address.
	GRPCAddress, GossipAddress string
	// Endpoint is the name of the endpoint that an agent stands beside.
	Endpoint string
	// Incarnation names the run of the process.
	Incarnation uint64
	// Revision is raised by the member itself with each change and refutation.
	Revision uint32
	State    State
	// Leaving is set by the member when it takes no new work.
	Leaving bool
}

// StateName returns "alive", "suspect", "leaving" or "dead". Leaving hides
// suspicion, because a leaving member takes no new work either way.
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

// memberOverhead is the encoded size of a member without its strings: tags,
// lengths, incarnation, revision, state and leaving flag.
const memberOverheadBytes = 36

func (m *Member) encodedSize() int {
	return memberOverheadBytes + len(m.Name) + len(m.Role) + len(m.Zone) + len(m.GRPCAddress) + len(m.GossipAddress) + len(m.Endpoint)
}

// hash covers what members must agree on. State is left out, because
// suspicions come and go at different times.
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

const bucketCount = 256

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// Payload is an update that is not about members. Data is opaque here.
type Payload struct {
	// Key identifies the subject; a payload replaces a queued one of its key.
	Key string
	// Serial orders payloads of one key; a payload that is not higher than the
	// last one seen is dropped.
	Serial uint64
	// Size is the encoded size in bytes.
	Size int
	Data any
	// Quiet payloads are pushed and passed on but not piggybacked.
	PushOnly bool
}

// Kind is the type of a datagram.
type DatagramKind uint8

// Kinds of datagram. Push carries only updates.
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
	// Target is the member probed, or the member that an ack speaks for.
	Target            string
	TargetIncarnation uint64
	// TargetAddress tells the relay of an Indirect where the target listens.
	TargetAddress string
	// Join asks for a sample of the members.
	Join bool
	// Buckets are the hashes of a Sync.
	BucketHashes []byte
	Members      []*Member
	Payloads     []Payload
	RulesVersion uint64
	// MembersHash is 0 while the sender still collects the list.
	MembersHash uint64
}

// Send asks for a datagram to be sent to a gossip address.
type OutgoingDatagram struct {
	To       string
	Datagram *Datagram
}

// Event tells the process what changed.
type Event struct {
	// Member is set when a member appeared or changed. A removed incarnation
	// appears with State Dead.
	Member *Member
	// Payload is set when a payload was received for the first time.
	Payload *Payload
	// Version is set when a peer named a rules version.
	RulesVersion uint64
	// From is the name of the peer that a payload or version came from.
	From string
}

// Config holds the constants of the protocol. Zero fields take defaults.
type Config struct {
	// Period between probes. Default 1 s.
	ProbeInterval time.Duration
	// DirectTimeout is the time to wait for a direct ack before others are
	// asked. Default 300 ms; round trips within a region take about 3 ms.
	DirectAckTimeout time.Duration
	// Indirect is the number of members asked to probe. Default 3.
	IndirectProbes int
	// Fanout is the number of peers that get an urgent update at once.
	// Default 4: one push round then reaches about 98% of the members.
	PushFanout int
	// SuspicionPeriods is multiplied by the decimal logarithm of the member
	// count. Default 3.
	SuspicionMultiplier int
	// Retransmit is multiplied by one more than the decimal logarithm of the
	// member count.
	// Default 3.
	RetransmitMultiplier int
	// BytesPerSecond bounds updates, pushes and sync answers, which are
	// shortened or delayed when it is used up. Probes and acks themselves
	// are always sent. Default 1600; the target is 5 KB/s in both directions.
	UpdateBytesPerSecond int
	// BurstBytes is the largest burst. Default 8192: with 16384 all agents
	// exceeded the target by 4% while 380 routers joined again.
	UpdateBurstBytes int
	// MassShare is the share of members under suspicion above which nobody is
	// declared dead, because the own side is probably the one cut off.
	// Default 0.1.
	MassSuspicionShare float64
	// MassHold bounds how long MassShare delays a verdict. Default 10 min;
	// regions lose contact for minutes.
	MassSuspicionMaxDelay time.Duration
	// DeadKeep is the time a dead member is remembered, so that late messages
	// do not bring it back. Default 24 h.
	DeadRetention time.Duration
	// MaxMembers bounds the list. Default 16384.
	MaxMembers int
	// Behind returns payloads that bring a peer at an older rules version up
	// to date. Default none.
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
	// MaxDatagramBytes fits one Ethernet frame with room for tunnel headers.
	MaxDatagramBytes = 1400
	// datagramOverhead covers the fixed fields and names of a datagram.
	datagramOverheadBytes = 220
	// MaxPayloadBytes is the largest payload that always fits a datagram.
	MaxUpdateBytes = MaxDatagramBytes - datagramOverheadBytes
)
