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

// Member returns a live member other than this process by its name.
func (g *Module) Member(name string) (membership.Member, bool) { return g.index.member(name) }

// AgentByEndpoint returns the agent that announces the endpoint. When several do,
// it is the one with the highest incarnation.
func (g *Module) AgentByEndpoint(endpoint string) (membership.Member, bool) {
	return g.index.agentByEndpoint(endpoint)
}

// LiveMembers returns all members that are not dead, without this process, in name
// order.
func (g *Module) LiveMembers() []membership.Member { return g.index.liveMembers() }

// LiveRouterCount returns the number of other routers that are not dead. It does not
// copy the list, so that it can be called for each request.
func (g *Module) LiveRouterCount() int { return g.index.liveRouterCount() }

// AliveRouterNames returns the names of the other routers that are alive, in no
// particular order. The caller must not change the slice.
func (g *Module) AliveRouterNames() []string { return g.index.aliveRouterNames() }

// Self returns the own entry.
func (g *Module) Self() membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stateMachine == nil {
		return g.self
	}
	return *g.stateMachine.Self()
}

// OnChange calls f with every member that appears, changes or dies. Call it
// before Start; f must not block.
func (g *Module) OnMemberChange(f func(membership.Member)) {
	g.onMemberChange = append(g.onMemberChange, f)
}

// OnCrashSuspicion calls f with every crash suspicion that a peer spreads. Call it
// before Start; f must not block.
func (g *Module) OnCrashSuspicion(f func(*pb.Suspect)) {
	g.onCrashSuspicion = append(g.onCrashSuspicion, f)
}

// OnRulesDelta calls f with every rules delta received. Call it before Start.
func (g *Module) OnRulesDelta(f func(d *ruleset.Delta, from string)) {
	g.onRulesDelta = append(g.onRulesDelta, f)
}

// OnRulesVersion calls f with rules versions that peers name. Call it before Start.
func (g *Module) OnRulesVersion(f func(version uint64, from string)) {
	g.onRulesVersion = append(g.onRulesVersion, f)
}

// SetCatchUpDeltas sets the source of deltas for peers at an older version. It is
// called under the module's lock. Call it before Start.
func (g *Module) SetCatchUpDeltas(f func(version uint64) []*ruleset.Delta) { g.catchUpDeltas = f }

// BroadcastCrashSuspicion tells all processes of a crash suspicion. Reporter and a rising
// Serial must be set.
func (g *Module) BroadcastCrashSuspicion(s *pb.Suspect) {
	g.withStateMachine(func(m *membership.StateMachine, now time.Duration) { m.Broadcast(now, crashSuspicionPayload(s)) })
}

// PushRulesDelta spreads a rules delta.
func (g *Module) PushRulesDelta(d *ruleset.Delta) {
	g.withStateMachine(func(m *membership.StateMachine, now time.Duration) { m.Broadcast(now, RulesDeltaPayload(d)) })
}

// SetRulesVersion sets the rules version that datagrams name. With push, it is
// named to a few peers at once.
func (g *Module) SetRulesVersion(v uint64, push bool) {
	g.withStateMachine(func(m *membership.StateMachine, now time.Duration) {
		m.SetRulesVersion(v)
		if push {
			m.PushRulesVersion(now)
		}
	})
}

// MemberChangeCount counts changes of the member list, so that a caller can tell whether
// it is the same as before.
func (g *Module) MemberChangeCount() uint64 { return g.memberChanges.Load() }

// JoinComplete reports whether the member list is complete enough to choose
// watchers of the store from it.
func (g *Module) JoinComplete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateMachine != nil && g.stateMachine.JoinComplete(g.clock.Now())
}

// AllMembers returns all members, dead ones included, in name order for operators.
func (g *Module) AllMembers() []*pb.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stateMachine == nil {
		return nil
	}
	var list []*pb.Member
	g.stateMachine.ForEachMember(func(m *membership.Member) {
		_, version := g.stateMachine.LastHeard(m.Name)
		list = append(list, &pb.Member{
			Name: m.Name, Role: m.Role, Zone: m.Zone, Address: m.GRPCAddress, GossipAddress: m.GossipAddress,
			Incarnation: m.Incarnation, State: m.StateName(), RulesVersion: version, Endpoint: m.Endpoint,
		})
	})
	slices.SortFunc(list, func(a, b *pb.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

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

// Delays of reading the host list. The herd's reads spread over hostSpread.
const (
	hostListDelay  = 2 * time.Second
	hostListJitter = 20 * time.Second
)

// hostLoop asks the platform's host list for seeds while no member is known.
func (g *Module) hostListLoop() {
	defer g.goroutines.Done()
	wait := hostListDelay
	for {
		g.mu.Lock()
		wait += time.Duration(g.rng.Int64N(int64(hostListJitter)))
		g.mu.Unlock()
		select {
		case <-g.stopped:
			return
		case <-g.clock.After(wait):
		}
		if len(g.index.liveMembers()) == 0 {
			g.addSeedsFromHostList()
		}
		wait = hostListJitter
	}
}

func (g *Module) addSeedsFromHostList() {
	ctx, cancel := context.WithTimeout(context.Background(), hostListDelay)
	defer cancel()
	hosts, err := g.store.Hosts(ctx)
	if err != nil {
		g.log.WithError(err).Warn("read the host list")
		return
	}
	var seeds []string
	for _, h := range hosts {
		address := h.Address
		if _, _, err := net.SplitHostPort(address); err != nil {
			address = net.JoinHostPort(address, strconv.Itoa(g.HostPort))
		}
		seeds = append(seeds, address)
	}
	g.mu.Lock()
	g.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	g.mu.Unlock()
	g.withStateMachine(func(m *membership.StateMachine, _ time.Duration) { m.AddSeeds(seeds) })
}

type systemClock struct{ origin time.Time }

func (c systemClock) Now() time.Duration                     { return time.Since(c.origin) }
func (c systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Clock returns the time source that the module runs on.
func (g *Module) Clock() Clock { return g.clock }
