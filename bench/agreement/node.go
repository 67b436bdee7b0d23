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

// Node is one router or agent process. Its state machines are connected as in the
// modules.
type Node struct {
	cluster *Cluster
	index   int
	self    membership.Member
	// runNumber increases with each start and stop, so that events of an earlier
	// run are ignored.
	runNumber     int
	running       bool
	paused        bool
	pendingInputs []func()
	membership    *membership.StateMachine
	ruleset       *ruleset.StateMachine
	admission     *admission.Controller
	activeVersion uint64
	// activations are the rules versions activated in this run, in order.
	activations []activation
	isWatcher   bool
	// joinComplete is the last result of membership.JoinComplete. updateWatcher decides
	// again only if the result changes or membersChanged is true.
	joinComplete, membersChanged bool
	// members are the other live members according to the membership events.
	members map[string]*membership.Member

	nextTickAt       time.Duration
	tickSequence     uint64
	nextWatcherCheck time.Duration
	// healthySince is when the process last started, resumed or was reconnected. It
	// has the value never while the process is stopped, paused or partly disconnected.
	healthySince time.Duration
	watcherSince time.Duration
	// runningSince is when the process last started or resumed.
	runningSince time.Duration

	sentBytes, receivedBytes int
	messages                 int
}

// activation is the time at which a process made a rules version active.
type activation struct {
	at      time.Duration
	version uint64
}

// activeVersionAt returns the version that was active at a time of this run.
func (n *Node) activeVersionAt(t time.Duration) uint64 {
	var version uint64
	for _, a := range n.activations {
		if a.at > t {
			break
		}
		version = a.version
	}
	return version
}

// maxPendingInputs is the number of inputs kept for a paused process, as in a
// socket buffer.
const maxPendingInputs = 512

// watcherCheckInterval is the time between two decisions whether to watch the store.
const watcherCheckInterval = time.Second

// start begins a new run of the process.
func (n *Node) start() {
	n.runNumber++
	n.running, n.paused, n.pendingInputs = true, false, nil
	n.activeVersion, n.activations, n.isWatcher = 0, nil, false
	n.joinComplete, n.membersChanged = false, true
	n.healthySince, n.runningSince = n.cluster.sim.now, n.cluster.sim.now
	n.members = map[string]*membership.Member{}
	n.self.Incarnation = uint64(n.cluster.sim.now) + uint64(n.runNumber)
	n.self.Leaving = false
	seed := n.cluster.sim.rng.Uint64()
	membershipCfg := n.cluster.options.Membership
	membershipCfg.CatchUpPayloads = n.catchUpPayloads
	n.membership = membership.New(membershipCfg, n.self, rand.New(rand.NewPCG(seed, 1)))
	rulesCfg := n.cluster.options.Rules
	rulesCfg.Compile = n.cluster.compile
	if rulesCfg.FirstReadJitter == 0 && n.self.Role == membership.RoleAgent {
		rulesCfg.FirstReadJitter = 30 * time.Second
	}
	n.ruleset = ruleset.New(rulesCfg, rand.New(rand.NewPCG(seed, 2)))
	if n.self.Role == membership.RoleAgent {
		n.admission = admission.New(admission.Config{Endpoint: n.self.Endpoint, AgentIncarnation: n.self.Incarnation, QueueLimit: 1 << 30})
		n.admission.EngineUp(1)
	}
	now := n.cluster.sim.now
	n.membership.Start(now, n.cluster.seedAddresses(n))
	n.ruleset.Start(now)
	n.nextWatcherCheck = now
	n.runActions()
}

func (n *Node) stop() {
	n.running = false
	n.runNumber++
	n.healthySince = never
}

// never is later than any time of a simulation.
const never = time.Duration(1 << 62)

// catchUpPayloads returns the deltas that bring a peer at an older rules version up
// to date.
func (n *Node) catchUpPayloads(version uint64) []membership.Payload {
	if n.cluster.options.Bug == BugNoForwarding {
		return nil
	}
	var payloads []membership.Payload
	for _, d := range n.ruleset.GossipDeltasFrom(version) {
		payloads = append(payloads, gossip.RulesDeltaPayload(d))
	}
	return payloads
}

// deliver processes an input now, or when a paused process resumes. A stopped
// process drops it.
func (n *Node) deliver(input func()) {
	switch {
	case !n.running:
	case n.paused:
		if len(n.pendingInputs) < maxPendingInputs {
			n.pendingInputs = append(n.pendingInputs, input)
		}
	default:
		input()
		n.runActions()
	}
}

func (n *Node) pause() {
	n.paused = true
	n.healthySince = never
}

// resume continues a paused process. Whether its timer or the pending inputs run
// first is random.
func (n *Node) resume() {
	if !n.paused {
		return
	}
	n.paused = false
	n.healthySince, n.runningSince = n.cluster.sim.now, n.cluster.sim.now
	inputs := n.pendingInputs
	n.pendingInputs = nil
	if n.cluster.sim.rng.IntN(2) == 0 {
		n.tick()
	}
	for _, input := range inputs {
		input()
		n.runActions()
	}
	n.tick()
}

func (n *Node) tick() {
	now := n.cluster.sim.now
	if now >= n.nextWatcherCheck {
		n.nextWatcherCheck = now + watcherCheckInterval
		n.updateWatcher(now)
	}
	if n.cluster.options.Bug == BugRevertRules && n.activeVersion > 1 && n.cluster.sim.rng.IntN(50) == 0 {
		n.ruleset = ruleset.New(ruleset.Config{Compile: n.cluster.compile}, rand.New(rand.NewPCG(1, 2)))
		n.ruleset.Start(now)
		n.ruleset.HandleReadResult(now, ruleset.StoreFound, &ruleset.Text{Version: 1, Body: n.cluster.firstVersionText}, 1)
	}
	n.membership.Tick(now)
	n.ruleset.Tick(now)
	n.runActions()
}

// updateWatcher decides whether the process watches the store.
func (n *Node) updateWatcher(now time.Duration) {
	joinComplete := n.membership.JoinComplete(now)
	if joinComplete == n.joinComplete && !n.membersChanged {
		return
	}
	n.joinComplete, n.membersChanged = joinComplete, false
	others := make([]membership.Member, 0, len(n.members))
	for _, m := range n.members {
		if m.Zone == n.self.Zone {
			others = append(others, *m)
		}
	}
	isWatcher := joinComplete && rulespread.IsWatcher(*n.membership.Self(), others, 2)
	if isWatcher && !n.isWatcher {
		n.watcherSince = now
	}
	n.isWatcher = isWatcher
	n.ruleset.SetWatcher(now, isWatcher)
}

// runActions carries out the actions of the state machines until there are no
// more, and schedules the next tick.
func (n *Node) runActions() {
	for n.runActionsOnce() {
	}
	next := min(n.membership.NextTick(), n.ruleset.NextTick(), n.nextWatcherCheck)
	next = max(next, n.cluster.sim.now+time.Millisecond)
	if n.nextTickAt > n.cluster.sim.now && n.nextTickAt <= next {
		return
	}
	n.nextTickAt = next
	n.tickSequence++
	sequence, runNumber := n.tickSequence, n.runNumber
	n.cluster.sim.scheduleAt(next, func() {
		if n.running && !n.paused && n.runNumber == runNumber && n.tickSequence == sequence {
			n.tick()
		}
	})
}

// runActionsOnce carries out the actions collected so far and reports whether there
// were any.
func (n *Node) runActionsOnce() bool {
	datagrams, events := n.membership.TakeOutput()
	for _, d := range datagrams {
		n.cluster.send(n, d)
	}
	for _, e := range events {
		n.handleMembershipEvent(e)
	}
	a := n.ruleset.TakeActions()
	n.runRulesActions(a)
	return len(datagrams) > 0 || len(events) > 0 || a.AnnounceVersion > 0 || a.Activate != nil || len(a.Fetches) > 0 || a.ReadStore || a.Watch
}

func (n *Node) handleMembershipEvent(e membership.Event) {
	now := n.cluster.sim.now
	if e.Member != nil {
		n.membersChanged = true
		n.cluster.checker.checkMember(n, e.Member)
		if e.Member.State == membership.Dead {
			delete(n.members, e.Member.Name)
		} else {
			n.members[e.Member.Name] = e.Member
		}
	}
	if e.RulesVersion > 0 && n.cluster.options.Bug != BugNoForwarding {
		n.ruleset.HandleVersion(now, e.RulesVersion, e.From)
	}
	if e.Payload != nil {
		if d, ok := e.Payload.Data.(*ruleset.Delta); ok {
			n.ruleset.HandleDelta(now, d, e.From)
		}
	}
}

func (n *Node) runRulesActions(a ruleset.Actions) {
	now := n.cluster.sim.now
	if a.AnnounceVersion > 0 {
		n.membership.SetRulesVersion(a.AnnounceVersion)
		if a.PushVersion && len(a.PushDeltas) == 0 {
			n.membership.PushRulesVersion(now)
		}
	}
	for _, d := range a.PushDeltas {
		n.membership.Broadcast(now, gossip.RulesDeltaPayload(d))
	}
	if a.Activate != nil {
		n.cluster.checker.checkActivation(n, a.Activate.Version)
		n.activeVersion = a.Activate.Version
		if n.admission != nil {
			n.admission.SetRules(a.Activate)
		}
	}
	for _, f := range a.Fetches {
		n.cluster.fetchRules(n, f)
	}
	if a.ReadStore {
		n.cluster.store.read(n, func(o ruleset.StoreResult, t *ruleset.Text, v uint64) {
			n.ruleset.HandleReadResult(n.cluster.sim.now, o, t, v)
		})
	}
	if a.Watch {
		n.cluster.store.watch(n, a.WatchSince, func(o ruleset.StoreResult, changed bool, next uint64) {
			n.ruleset.HandleWatchResult(n.cluster.sim.now, o, changed, next)
		})
	}
}

// connectionSetupBytes is the traffic of TCP and HTTP/2 connection setup in each
// direction of a fetch.
const connectionSetupBytes = 700

// fetchRules simulates a FetchRules call to a peer.
func (c *Cluster) fetchRules(n *Node, f ruleset.Fetch) {
	runNumber, answered := n.runNumber, false
	respond := func(resp *ruleset.FetchResponse) {
		n.deliver(func() {
			if !answered && n.runNumber == runNumber {
				answered = true
				n.ruleset.HandleFetchResult(c.sim.now, f.Peer, resp)
			}
		})
	}
	c.sim.scheduleAfter(callTimeout, func() { respond(nil) })
	peer := c.nodesByName[f.Peer]
	if _, known := n.members[f.Peer]; !known || c.unreachable(n, peer) {
		return
	}
	n.sentBytes += connectionSetupBytes
	n.messages += 4
	c.sim.scheduleAfter(2*c.latency(n, peer), func() {
		peer.deliver(func() {
			resp := peer.ruleset.ServeFetch(f.HaveVersion)
			size := connectionSetupBytes + c.compressedSize(resp)
			peer.sentBytes += size
			peer.receivedBytes += connectionSetupBytes
			if c.unreachable(peer, n) {
				return
			}
			n.receivedBytes += size
			c.sim.scheduleAfter(c.latency(peer, n), func() { respond(resp) })
		})
	})
}

// compressedSize returns the compressed size of a response in bytes. The sizes of
// full texts are cached by version.
func (c *Cluster) compressedSize(resp *ruleset.FetchResponse) int {
	if resp.FullText != nil {
		if size, ok := c.compressedTextSizes[resp.FullText.Version]; ok {
			return size
		}
	}
	raw, err := proto.Marshal(encodeFetchResponse(resp))
	if err != nil {
		panic(err)
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(raw)
	_ = w.Close()
	if resp.FullText != nil {
		c.compressedTextSizes[resp.FullText.Version] = out.Len()
	}
	return out.Len()
}

func encodeFetchResponse(resp *ruleset.FetchResponse) *pb.RulesSnapshot {
	snapshot := &pb.RulesSnapshot{Version: resp.Version}
	if resp.FullText != nil {
		snapshot.Text = resp.FullText.Body
	}
	for _, d := range resp.Deltas {
		snapshot.Deltas = append(snapshot.Deltas, gossip.EncodeRulesDelta(d))
	}
	return snapshot
}
