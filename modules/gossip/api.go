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
func (g *Module) Member(name string) (membership.Member, bool) { return g.dir.member(name) }

// ByEndpoint returns the agent that announces the endpoint. When several do,
// it is the one with the highest incarnation.
func (g *Module) ByEndpoint(endpoint string) (membership.Member, bool) {
	return g.dir.endpoint(endpoint)
}

// List returns all members that are not dead, without this process, in name
// order.
func (g *Module) List() []membership.Member { return g.dir.all() }

// Routers returns the number of other routers that are not dead. It does not
// copy the list, so that it can be called for each request.
func (g *Module) Routers() int { return g.dir.routerCount() }

// AliveRouters returns the names of the other routers that are alive, in no
// particular order. The caller must not change the slice.
func (g *Module) AliveRouters() []string { return g.dir.aliveRouters() }

// Self returns the own entry.
func (g *Module) Self() membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.machine == nil {
		return g.self
	}
	return *g.machine.Self()
}

// OnChange calls f with every member that appears, changes or dies. Call it
// before Start; f must not block.
func (g *Module) OnChange(f func(membership.Member)) { g.onChange = append(g.onChange, f) }

// OnSuspect calls f with every crash suspicion that a peer spreads. Call it
// before Start; f must not block.
func (g *Module) OnSuspect(f func(*pb.Suspect)) { g.onSuspect = append(g.onSuspect, f) }

// OnDelta calls f with every rules delta received. Call it before Start.
func (g *Module) OnDelta(f func(d *ruleset.Delta, from string)) { g.onDelta = append(g.onDelta, f) }

// OnVersion calls f with rules versions that peers name. Call it before Start.
func (g *Module) OnVersion(f func(version uint64, from string)) {
	g.onVersion = append(g.onVersion, f)
}

// SetBehind sets the source of deltas for peers at an older version. It is
// called under the module's lock. Call it before Start.
func (g *Module) SetBehind(f func(version uint64) []*ruleset.Delta) { g.behind = f }

// SpreadSuspect tells all processes of a crash suspicion. Reporter and a rising
// Serial must be set.
func (g *Module) SpreadSuspect(s *pb.Suspect) {
	g.withMachine(func(m *membership.StateMachine, now time.Duration) { m.Broadcast(now, suspectPayload(s)) })
}

// PushDelta spreads a rules delta.
func (g *Module) PushDelta(d *ruleset.Delta) {
	g.withMachine(func(m *membership.StateMachine, now time.Duration) { m.Broadcast(now, DeltaPayload(d)) })
}

// SetVersion sets the rules version that datagrams name. With push, it is
// named to a few peers at once.
func (g *Module) SetVersion(v uint64, push bool) {
	g.withMachine(func(m *membership.StateMachine, now time.Duration) {
		m.SetRulesVersion(v)
		if push {
			m.PushRulesVersion(now)
		}
	})
}

// Changes counts changes of the member list, so that a caller can tell whether
// it is the same as before.
func (g *Module) Changes() uint64 { return g.changes.Load() }

// Settled reports whether the member list is complete enough to choose
// watchers of the store from it.
func (g *Module) Settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine != nil && g.machine.JoinComplete(g.clock.Now())
}

// Members returns all members, dead ones included, in name order for operators.
func (g *Module) Members() []*pb.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.machine == nil {
		return nil
	}
	var list []*pb.Member
	g.machine.ForEachMember(func(m *membership.Member) {
		_, version := g.machine.LastHeard(m.Name)
		list = append(list, &pb.Member{
			Name: m.Name, Role: m.Role, Zone: m.Zone, Address: m.GRPCAddress, GossipAddress: m.GossipAddress,
			Incarnation: m.Incarnation, State: m.StateName(), RulesVersion: version, Endpoint: m.Endpoint,
		})
	})
	slices.SortFunc(list, func(a, b *pb.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (g *Module) payloadsFrom(version uint64) []membership.Payload {
	if g.behind == nil {
		return nil
	}
	var list []membership.Payload
	for _, d := range g.behind(version) {
		list = append(list, DeltaPayload(d))
	}
	return list
}

// Delays of reading the host list. The herd's reads spread over hostSpread.
const (
	hostWait   = 2 * time.Second
	hostSpread = 20 * time.Second
)

// hostLoop asks the platform's host list for seeds while no member is known.
func (g *Module) hostLoop() {
	defer g.running.Done()
	wait := hostWait
	for {
		g.mu.Lock()
		wait += time.Duration(g.rng.Int64N(int64(hostSpread)))
		g.mu.Unlock()
		select {
		case <-g.done:
			return
		case <-g.clock.After(wait):
		}
		if len(g.dir.all()) == 0 {
			g.addHosts()
		}
		wait = hostSpread
	}
}

func (g *Module) addHosts() {
	ctx, cancel := context.WithTimeout(context.Background(), hostWait)
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
	g.withMachine(func(m *membership.StateMachine, _ time.Duration) { m.AddSeeds(seeds) })
}

type systemClock struct{ origin time.Time }

func (c systemClock) Now() time.Duration                     { return time.Since(c.origin) }
func (c systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Clock returns the time source that the module runs on.
func (g *Module) Clock() Clock { return g.clock }
