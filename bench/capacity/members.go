package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/modules/rulespread"
)

// clusterSizes are the measured numbers of members.
var clusterSizes = []int{8, 200, targetMembers}

// exampleIncarnation has the magnitude of Unix time in nanoseconds, so that its encoding
// is as long as that of real incarnations.
const exampleIncarnation = uint64(1_790_000_000_000_000_000)

// newMember returns member i; every sixth member is a router, the others are agents.
func newMember(i int) membership.Member {
	m := membership.Member{
		Role: membership.RoleAgent, Zone: zoneName(i), GRPCAddress: fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250),
		GossipAddress: fmt.Sprintf("10.20.%d.%d:7401", i/250, i%250), Incarnation: exampleIncarnation + uint64(i),
		State: membership.Alive,
	}
	if i%6 == 0 {
		m.Name, m.Role = fmt.Sprintf("router-%s-%04d", m.Zone, i), membership.RoleRouter
		return m
	}
	m.Endpoint = endpointName(i)
	m.Name = "agent-" + m.Endpoint
	return m
}

// newClusterMember returns the state machine of member 0 of a cluster of n members. Member 0
// knows all others.
func newClusterMember(n int) *membership.StateMachine {
	m := membership.New(membership.Config{}, newMember(0), rand.New(rand.NewPCG(7, 8)))
	m.Start(0, nil)
	for i := 1; i < n; i++ {
		other := newMember(i)
		m.HandleDatagram(0, other.GossipAddress, &membership.Datagram{
			From: other.Name, FromIncarnation: other.Incarnation, Kind: membership.Push, Members: []*membership.Member{&other},
		})
	}
	m.TakeOutput()
	return m
}

func measureMembership(s *Slopes) error {
	heapBytes := map[int]float64{}
	for _, n := range clusterSizes {
		heapBytes[n] = addedHeapBytes(func() any { return newClusterMember(n) })
	}
	small, large := clusterSizes[0], targetMembers
	s.addMeasured("members.member", (heapBytes[large]-heapBytes[small])/float64(large-small), "B", fmt.Sprintf("slope from %d to %d members", small, large))
	if err := measureDatagramSizes(s); err != nil {
		return err
	}
	for _, n := range clusterSizes {
		s.addMeasured(fmt.Sprintf("members.period.%d", n), cpuMicrosPerCall(300, newPeriodFunc(newClusterMember(n))), "µs",
			fmt.Sprintf("%d members: one period with a probe sent and acked, and one answered, encoding included", n))
	}
	others := make([]membership.Member, 0, large)
	for i := 1; i < large; i++ {
		others = append(others, newMember(i))
	}
	self := newMember(0)
	s.addMeasured("members.watchers", cpuMicrosPerCall(20, func(int) {
		// Module "gossip" returns a sorted copy of its member list.
		list := slices.Clone(others)
		slices.SortFunc(list, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
		rulespread.IsWatcher(self, list, 2)
	}), "µs", fmt.Sprintf("%d members: copy and sort the list, choose the watchers", large))
	return nil
}

// measureDatagramSizes counts the encoded bytes of each kind of datagram.
func measureDatagramSizes(s *Slopes) error {
	subject := newMember(1)
	base := membership.Datagram{From: subject.Name, FromIncarnation: exampleIncarnation, Sequence: 100_000, RulesVersion: 1_000_000, MembersHash: 1 << 63}
	for _, d := range []struct {
		name string
		set  func(*membership.Datagram)
	}{
		{"probe", func(d *membership.Datagram) { d.Kind, d.Target = membership.Probe, newMember(2).Name }},
		{"ack", func(d *membership.Datagram) {
			d.Kind, d.Target, d.TargetIncarnation = membership.Ack, newMember(2).Name, exampleIncarnation
		}},
		{"push", func(d *membership.Datagram) { d.Kind = membership.Push }},
		{"sync", func(d *membership.Datagram) { d.Kind, d.BucketHashes = membership.SyncRequest, make([]byte, 1024) }},
	} {
		datagram := base
		d.set(&datagram)
		raw, err := gossip.EncodeDatagram(&datagram)
		if err != nil {
			return err
		}
		s.addCount("members."+d.name, float64(len(raw)), "B", "datagram without updates")
		if d.name != "probe" {
			continue
		}
		datagram.Members = []*membership.Member{&subject}
		withUpdate, err := gossip.EncodeDatagram(&datagram)
		if err != nil {
			return err
		}
		s.addCount("members.update", float64(len(withUpdate)-len(raw)), "B", "one member in a datagram")
	}
	return nil
}

// newPeriodFunc returns a function that runs one protocol period of m: the probe that m
// sends is acknowledged, and m acknowledges the probe of another member.
func newPeriodFunc(m *membership.StateMachine) func(int) {
	now := time.Second
	peer := newMember(1)
	return func(int) {
		now += time.Second
		m.Tick(now)
		datagrams, _ := m.TakeOutput()
		for _, outgoing := range datagrams {
			raw, _ := gossip.EncodeDatagram(outgoing.Datagram)
			received, _ := gossip.DecodeDatagram(raw)
			if received.Kind != membership.Probe {
				continue
			}
			target, _ := m.Member(received.Target)
			ack := &membership.Datagram{From: received.Target, FromIncarnation: target.Incarnation, Sequence: received.Sequence,
				Kind: membership.Ack, Target: received.Target, TargetIncarnation: target.Incarnation}
			raw, _ = gossip.EncodeDatagram(ack)
			ack, _ = gossip.DecodeDatagram(raw)
			m.HandleDatagram(now, target.GossipAddress, ack)
		}
		m.HandleDatagram(now, peer.GossipAddress, &membership.Datagram{From: peer.Name, FromIncarnation: peer.Incarnation,
			Sequence: 1, Kind: membership.Probe, Target: m.Self().Name})
		datagrams, _ = m.TakeOutput()
		for _, outgoing := range datagrams {
			raw, _ := gossip.EncodeDatagram(outgoing.Datagram)
			_, _ = gossip.DecodeDatagram(raw)
		}
	}
}
