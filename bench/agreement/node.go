package agreement

import (
	"bytes"
	"compress/gzip"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/ruleset"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/modules/rulespread"
)

// Node is one process with its machines, wired as the modules wire them.
type Node struct {
	c      *Cluster
	index  int
	self   membership.Member
	run    int
	up     bool
	frozen bool
	inbox  []func()
	gossip *membership.StateMachine
	rules  *ruleset.StateMachine
	admit  *admission.Controller
	force  uint64
	// adoptions of this run in order.
	adoptions []adoption
	watching  bool
	// settled and changed tell when the choice of watchers may change.
	settled, changed bool
	// members is the directory as the process would keep it from events.
	members map[string]*membership.Member

	tickAt      time.Duration
	tickRun     uint64
	nextWatcher time.Duration
	// goodSince is when the node last came up, thawed or was reconnected.
	goodSince    time.Duration
	watcherSince time.Duration
	// aliveSince is when the process last came up or thawed.
	aliveSince time.Duration

	sentBytes, receivedBytes int
	messages                 int
}

type adoption struct {
	at      time.Duration
	version uint64
}

// forceAt returns the version that the run had in force at a time.
func (n *Node) forceAt(t time.Duration) uint64 {
	var v uint64
	for _, a := range n.adoptions {
		if a.at > t {
			break
		}
		v = a.version
	}
	return v
}

// maxInbox is what a socket buffer holds for a frozen process.
const maxInbox = 512

const watcherCheck = time.Second

// start begins a new run of the process.
func (n *Node) start() {
	n.run++
	n.up, n.frozen, n.inbox = true, false, nil
	n.force, n.adoptions, n.watching = 0, nil, false
	n.settled, n.changed = false, true
	n.goodSince, n.aliveSince = n.c.sim.now, n.c.sim.now
	n.members = map[string]*membership.Member{}
	n.self.Incarnation = uint64(n.c.sim.now) + uint64(n.run)
	n.self.Leaving = false
	seed := n.c.sim.rng.Uint64()
	cfg := n.c.opt.Membership
	cfg.CatchUpPayloads = n.behind
	n.gossip = membership.New(cfg, n.self, rand.New(rand.NewPCG(seed, 1)))
	rcfg := n.c.opt.Rules
	rcfg.Compile = n.c.check
	if rcfg.FirstReadJitter == 0 && n.self.Role == membership.RoleAgent {
		rcfg.FirstReadJitter = 30 * time.Second
	}
	n.rules = ruleset.New(rcfg, rand.New(rand.NewPCG(seed, 2)))
	if n.self.Role == membership.RoleAgent {
		n.admit = admission.New(admission.Config{Endpoint: n.self.Endpoint, AgentIncarnation: n.self.Incarnation, QueueLimit: 1 << 30})
		n.admit.EngineUp(1)
	}
	now := n.c.sim.now
	n.gossip.Start(now, n.c.seeds(n))
	n.rules.Start(now)
	n.nextWatcher = now
	n.settle()
}

func (n *Node) stop() {
	n.up = false
	n.run++
	n.goodSince = never
}

// never is later than any time of a run.
const never = time.Duration(1 << 62)

func (n *Node) behind(version uint64) []membership.Payload {
	if n.c.opt.Fault == FaultNoForwarding {
		return nil
	}
	var list []membership.Payload
	for _, d := range n.rules.GossipDeltasFrom(version) {
		list = append(list, gossip.RulesDeltaPayload(d))
	}
	return list
}

// deliver runs an input now, or when the process thaws.
func (n *Node) deliver(f func()) {
	switch {
	case !n.up:
	case n.frozen:
		if len(n.inbox) < maxInbox {
			n.inbox = append(n.inbox, f)
		}
	default:
		f()
		n.settle()
	}
}

func (n *Node) freeze() {
	n.frozen = true
	n.goodSince = never
}

// thaw lets the process run again. Whether a timer or the waiting input comes
// first is left to chance.
func (n *Node) thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	n.goodSince, n.aliveSince = n.c.sim.now, n.c.sim.now
	inbox := n.inbox
	n.inbox = nil
	if n.c.sim.rng.IntN(2) == 0 {
		n.tick()
	}
	for _, f := range inbox {
		f()
		n.settle()
	}
	n.tick()
}

func (n *Node) tick() {
	now := n.c.sim.now
	if now >= n.nextWatcher {
		n.nextWatcher = now + watcherCheck
		n.chooseWatcher(now)
	}
	if n.c.opt.Fault == FaultForgetsRules && n.force > 1 && n.c.sim.rng.IntN(50) == 0 {
		n.rules = ruleset.New(ruleset.Config{Compile: n.c.check}, rand.New(rand.NewPCG(1, 2)))
		n.rules.Start(now)
		n.rules.HandleReadResult(now, ruleset.StoreFound, &ruleset.Text{Version: 1, Body: n.c.firstText}, 1)
	}
	n.gossip.Tick(now)
	n.rules.Tick(now)
	n.settle()
}

func (n *Node) chooseWatcher(now time.Duration) {
	settled := n.gossip.JoinComplete(now)
	if settled == n.settled && !n.changed {
		return
	}
	n.settled, n.changed = settled, false
	others := make([]membership.Member, 0, len(n.members))
	for _, m := range n.members {
		if m.Zone == n.self.Zone {
			others = append(others, *m)
		}
	}
	on := settled && rulespread.IsWatcher(*n.gossip.Self(), others, 2)
	if on && !n.watching {
		n.watcherSince = now
	}
	n.watching = on
	n.rules.SetWatcher(now, on)
}

// settle carries out what the machines ask for until nothing is left.
func (n *Node) settle() {
	for n.step() {
	}
	next := min(n.gossip.NextTick(), n.rules.NextTick(), n.nextWatcher)
	next = max(next, n.c.sim.now+time.Millisecond)
	if n.tickAt > n.c.sim.now && n.tickAt <= next {
		return
	}
	n.tickAt = next
	n.tickRun++
	order, run := n.tickRun, n.run
	n.c.sim.at(next, func() {
		if n.up && !n.frozen && n.run == run && n.tickRun == order {
			n.tick()
		}
	})
}

func (n *Node) step() bool {
	sends, events := n.gossip.TakeOutput()
	for _, s := range sends {
		n.c.send(n, s)
	}
	for _, e := range events {
		n.takeEvent(e)
	}
	a := n.rules.TakeActions()
	n.act(a)
	return len(sends) > 0 || len(events) > 0 || a.AnnounceVersion > 0 || a.Activate != nil || len(a.Fetches) > 0 || a.ReadStore || a.Watch
}

func (n *Node) takeEvent(e membership.Event) {
	now := n.c.sim.now
	if e.Member != nil {
		n.changed = true
		n.c.checker.member(n, e.Member)
		if e.Member.State == membership.Dead {
			delete(n.members, e.Member.Name)
		} else {
			n.members[e.Member.Name] = e.Member
		}
	}
	if e.RulesVersion > 0 && n.c.opt.Fault != FaultNoForwarding {
		n.rules.HandleVersion(now, e.RulesVersion, e.From)
	}
	if e.Payload != nil {
		if d, ok := e.Payload.Data.(*ruleset.Delta); ok {
			n.rules.HandleDelta(now, d, e.From)
		}
	}
}

func (n *Node) act(a ruleset.Actions) {
	now := n.c.sim.now
	if a.AnnounceVersion > 0 {
		n.gossip.SetRulesVersion(a.AnnounceVersion)
		if a.PushVersion && len(a.PushDeltas) == 0 {
			n.gossip.PushRulesVersion(now)
		}
	}
	for _, d := range a.PushDeltas {
		n.gossip.Broadcast(now, gossip.RulesDeltaPayload(d))
	}
	if a.Activate != nil {
		n.c.checker.adopt(n, a.Activate.Version)
		n.force = a.Activate.Version
		if n.admit != nil {
			n.admit.SetRules(a.Activate)
		}
	}
	for _, f := range a.Fetches {
		n.c.fetch(n, f)
	}
	if a.ReadStore {
		n.c.store.get(n, func(o ruleset.StoreResult, t *ruleset.Text, v uint64) { n.rules.HandleReadResult(n.c.sim.now, o, t, v) })
	}
	if a.Watch {
		n.c.store.watch(n, a.WatchSince, func(o ruleset.StoreResult, changed bool, next uint64) {
			n.rules.HandleWatchResult(n.c.sim.now, o, changed, next)
		})
	}
}

// Costs of a fetch beside its messages: TCP and HTTP/2 set-up in each
// direction.
const fetchSetupBytes = 700

// fetch models a FetchRules call between two processes.
func (c *Cluster) fetch(n *Node, f ruleset.Fetch) {
	run, answered := n.run, false
	finish := func(a *ruleset.FetchResponse) {
		n.deliver(func() {
			if !answered && n.run == run {
				answered = true
				n.rules.HandleFetchResult(c.sim.now, f.Peer, a)
			}
		})
	}
	c.sim.after(callTimeout, func() { finish(nil) })
	peer := c.byName[f.Peer]
	if _, known := n.members[f.Peer]; !known || c.blocked(n, peer) {
		return
	}
	n.sentBytes += fetchSetupBytes
	n.messages += 4
	c.sim.after(2*c.latency(n, peer), func() {
		peer.deliver(func() {
			a := peer.rules.ServeFetch(f.HaveVersion)
			size := fetchSetupBytes + c.compressedSize(a)
			peer.sentBytes += size
			peer.receivedBytes += fetchSetupBytes
			if c.blocked(peer, n) {
				return
			}
			n.receivedBytes += size
			c.sim.after(c.latency(peer, n), func() { finish(a) })
		})
	})
}

// compressedSize returns the size of an answer on the wire. Whole texts are
// compressed once for each version.
func (c *Cluster) compressedSize(a *ruleset.FetchResponse) int {
	if a.FullText != nil {
		if size, ok := c.textSizes[a.FullText.Version]; ok {
			return size
		}
	}
	raw, err := proto.Marshal(rulesSnapshot(a))
	if err != nil {
		panic(err)
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(raw)
	_ = w.Close()
	if a.FullText != nil {
		c.textSizes[a.FullText.Version] = out.Len()
	}
	return out.Len()
}

func rulesSnapshot(a *ruleset.FetchResponse) *pb.RulesSnapshot {
	out := &pb.RulesSnapshot{Version: a.Version}
	if a.FullText != nil {
		out.Text = a.FullText.Body
	}
	for _, d := range a.Deltas {
		out.Deltas = append(out.Deltas, gossip.EncodeRulesDelta(d))
	}
	return out
}
