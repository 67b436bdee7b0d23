package gossip

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/ruleset"
)

// Member returns the member with the given name if it is not dead. The process
// itself is not included.
func (g *Module) Member(name string) (membership.Member, bool) { return g.index.member(name) }

// AgentByEndpoint returns the agent that announces the endpoint. If several do,
// it returns the one with the highest incarnation.
func (g *Module) AgentByEndpoint(endpoint string) (membership.Member, bool) {
	return g.index.agentByEndpoint(endpoint)
}

// LiveMembers returns the members that are not dead, sorted by name. The process
// itself is not included.
func (g *Module) LiveMembers() []membership.Member { return g.index.liveMembers() }

// LiveRouterCount returns the number of other routers that are not dead. It does
// not copy the list, so it can be called for each request.
func (g *Module) LiveRouterCount() int { return g.index.liveRouterCount() }

// AliveRouterNames returns the names of the other routers in state Alive, in no
// particular order. The caller must not change the slice.
func (g *Module) AliveRouterNames() []string { return g.index.aliveRouterNames() }

// Self returns the member that describes this process.
func (g *Module) Self() membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stateMachine == nil {
		return g.self
	}
	return *g.stateMachine.Self()
}

// OnMemberChange registers f, which is called with each member that appears, changes
// or dies. Call OnMemberChange before Start; f must not block.
func (g *Module) OnMemberChange(f func(membership.Member)) {
	g.onMemberChange = append(g.onMemberChange, f)
}

// OnCrashSuspicion registers f, which is called with each suspicion of a peer that a
// request crashes engines. Call OnCrashSuspicion before Start; f must not block.
func (g *Module) OnCrashSuspicion(f func(*pb.Suspect)) {
	g.onCrashSuspicion = append(g.onCrashSuspicion, f)
}

// OnRulesDelta registers f, which is called with each rules delta received and the
// name of the peer that sent it. Call OnRulesDelta before Start.
func (g *Module) OnRulesDelta(f func(d *ruleset.Delta, from string)) {
	g.onRulesDelta = append(g.onRulesDelta, f)
}

// OnRulesVersion registers f, which is called with each rules version announced by a
// peer that is not older than the version of this process. Call OnRulesVersion before
// Start.
func (g *Module) OnRulesVersion(f func(version uint64, from string)) {
	g.onRulesVersion = append(g.onRulesVersion, f)
}

// SetCatchUpDeltas sets the function that returns the deltas for peers at an older
// version. The module calls f while it holds its lock, so f must not call the
// module. Call SetCatchUpDeltas before Start.
func (g *Module) SetCatchUpDeltas(f func(version uint64) []*ruleset.Delta) { g.catchUpDeltas = f }

// BroadcastCrashSuspicion sends a crash suspicion to all processes. Reporter must
// be set, and Serial must rise with each suspicion of the reporter.
func (g *Module) BroadcastCrashSuspicion(s *pb.Suspect) {
	g.withStateMachine(func(sm *membership.StateMachine, now time.Duration) { sm.Broadcast(now, crashSuspicionPayload(s)) })
}

// PushRulesDelta sends a rules delta to all processes.
func (g *Module) PushRulesDelta(d *ruleset.Delta) {
	g.withStateMachine(func(sm *membership.StateMachine, now time.Duration) { sm.Broadcast(now, RulesDeltaPayload(d)) })
}

// SetRulesVersion sets the rules version that the process announces in its
// datagrams. With push, the version is also sent to a few peers immediately.
func (g *Module) SetRulesVersion(v uint64, push bool) {
	g.withStateMachine(func(sm *membership.StateMachine, now time.Duration) {
		sm.SetRulesVersion(v)
		if push {
			sm.PushRulesVersion(now)
		}
	})
}

// MemberChangeCount returns the number of changes of the member list so far. If the
// count is the same as before, the list has not changed.
func (g *Module) MemberChangeCount() uint64 { return g.memberChanges.Load() }

// JoinComplete reports whether the member list is complete enough to choose the
// processes that watch the store from it.
func (g *Module) JoinComplete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateMachine != nil && g.stateMachine.JoinComplete(g.clock.Now())
}

// AllMembers returns all other members, including dead ones, sorted by name, as
// messages for the status reports of operators.
func (g *Module) AllMembers() []*pb.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stateMachine == nil {
		return nil
	}
	var list []*pb.Member
	g.stateMachine.ForEachMember(func(m *membership.Member) {
		_, version := g.stateMachine.LastDatagram(m.Name)
		list = append(list, &pb.Member{
			Name: m.Name, Role: m.Role, Zone: m.Zone, Address: m.GRPCAddress, GossipAddress: m.GossipAddress,
			Incarnation: m.Incarnation, State: m.StateName(), RulesVersion: version, Endpoint: m.Endpoint,
		})
	})
	slices.SortFunc(list, func(a, b *pb.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// catchUpPayloads returns the payloads that bring a peer at an older rules version
// up to date.
func (g *Module) catchUpPayloads(version uint64) []membership.Payload {
	if g.catchUpDeltas == nil {
		return nil
	}
	var list []membership.Payload
	for _, d := range g.catchUpDeltas(version) {
		list = append(list, RulesDeltaPayload(d))
	}
	return list
}

// Delays between reads of the platform's host list.
const (
	// hostListDelay is the minimum delay before the first read and the timeout of
	// each read.
	hostListDelay = 2 * time.Second
	// hostListJitter is the largest random delay added before each read, so that
	// processes that start together do not all read at the same time. It is also
	// the minimum delay between two reads.
	hostListJitter = 20 * time.Second
)

// hostListLoop reads seeds from the platform's host list while no live member is
// known.
func (g *Module) hostListLoop() {
	defer g.goroutines.Done()
	wait := hostListDelay
	for {
		g.mu.Lock()
		wait += time.Duration(g.rng.Int64N(int64(hostListJitter)))
		g.mu.Unlock()
		select {
		case <-g.stop:
			return
		case <-g.clock.After(wait):
		}
		if len(g.index.liveMembers()) == 0 {
			g.addSeedsFromHostList()
		}
		wait = hostListJitter
	}
}

// addSeedsFromHostList adds the addresses of the host list as seeds, in random
// order.
func (g *Module) addSeedsFromHostList() {
	ctx, cancel := context.WithTimeout(context.Background(), hostListDelay)
	defer cancel()
	hosts, err := g.store.Hosts(ctx)
	if err != nil {
		g.log.WithError(err).Warn("failed to read gossip seeds from host list")
		return
	}
	var seeds []string
	for _, h := range hosts {
		address := h.Address
		if _, _, err := net.SplitHostPort(address); err != nil {
			address = net.JoinHostPort(address, strconv.Itoa(g.HostListPort))
		}
		seeds = append(seeds, address)
	}
	g.mu.Lock()
	g.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	g.mu.Unlock()
	g.withStateMachine(func(sm *membership.StateMachine, _ time.Duration) { sm.AddSeeds(seeds) })
}

type systemClock struct{ origin time.Time }

func (c systemClock) Now() time.Duration                     { return time.Since(c.origin) }
func (c systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Clock returns the time source of the module.
func (g *Module) Clock() Clock { return g.clock }
