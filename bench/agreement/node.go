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

// Process is one router or agent process. Its state machines are connected as in the
// modules.
type Process struct {
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
func (p *Process) activeVersionAt(t time.Duration) uint64 {
	var version uint64
	for _, a := range p.activations {
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
func (p *Process) start() {
	p.runNumber++
	p.running, p.paused, p.pendingInputs = true, false, nil
	p.activeVersion, p.activations, p.isWatcher = 0, nil, false
	p.joinComplete, p.membersChanged = false, true
	p.healthySince, p.runningSince = p.cluster.sim.now, p.cluster.sim.now
	p.members = map[string]*membership.Member{}
	p.self.Incarnation = uint64(p.cluster.sim.now) + uint64(p.runNumber)
	p.self.Leaving = false
	seed := p.cluster.sim.rng.Uint64()
	membershipCfg := p.cluster.options.Membership
	membershipCfg.CatchUpPayloads = p.catchUpPayloads
	p.membership = membership.New(membershipCfg, p.self, rand.New(rand.NewPCG(seed, 1)))
	rulesCfg := p.cluster.options.Rules
	rulesCfg.Compile = p.cluster.compile
	if rulesCfg.FirstReadJitter == 0 && p.self.Role == membership.RoleAgent {
		rulesCfg.FirstReadJitter = 30 * time.Second
	}
	p.ruleset = ruleset.New(rulesCfg, rand.New(rand.NewPCG(seed, 2)))
	if p.self.Role == membership.RoleAgent {
		p.admission = admission.New(admission.Config{Endpoint: p.self.Endpoint, AgentIncarnation: p.self.Incarnation, QueueLimit: 1 << 30})
		p.admission.EngineUp(1)
	}
	now := p.cluster.sim.now
	p.membership.Start(now, p.cluster.seedAddresses(p))
	p.ruleset.Start(now)
	p.nextWatcherCheck = now
	p.runActions()
}

func (p *Process) stop() {
	p.running = false
	p.runNumber++
	p.healthySince = never
}

// never is later than any time of a simulation.
const never = time.Duration(1 << 62)

// catchUpPayloads returns the deltas that bring a peer at an older rules version up
// to date.
func (p *Process) catchUpPayloads(version uint64) []membership.Payload {
	if p.cluster.options.Bug == BugNoForwarding {
		return nil
	}
	var payloads []membership.Payload
	for _, d := range p.ruleset.GossipDeltasFrom(version) {
		payloads = append(payloads, gossip.RulesDeltaPayload(d))
	}
	return payloads
}

// deliver processes an input now, or when a paused process resumes. A stopped
// process drops it.
func (p *Process) deliver(input func()) {
	switch {
	case !p.running:
	case p.paused:
		if len(p.pendingInputs) < maxPendingInputs {
			p.pendingInputs = append(p.pendingInputs, input)
		}
	default:
		input()
		p.runActions()
	}
}

func (p *Process) pause() {
	p.paused = true
	p.healthySince = never
}

// resume continues a paused process. Whether its timer or the pending inputs run
// first is random.
func (p *Process) resume() {
	if !p.paused {
		return
	}
	p.paused = false
	p.healthySince, p.runningSince = p.cluster.sim.now, p.cluster.sim.now
	inputs := p.pendingInputs
	p.pendingInputs = nil
	if p.cluster.sim.rng.IntN(2) == 0 {
		p.tick()
	}
	for _, input := range inputs {
		input()
		p.runActions()
	}
	p.tick()
}

func (p *Process) tick() {
	now := p.cluster.sim.now
	if now >= p.nextWatcherCheck {
		p.nextWatcherCheck = now + watcherCheckInterval
		p.updateWatcher(now)
	}
	if p.cluster.options.Bug == BugRevertRules && p.activeVersion > 1 && p.cluster.sim.rng.IntN(50) == 0 {
		p.ruleset = ruleset.New(ruleset.Config{Compile: p.cluster.compile}, rand.New(rand.NewPCG(1, 2)))
		p.ruleset.Start(now)
		p.ruleset.HandleReadResult(now, ruleset.StoreFound, &ruleset.Text{Version: 1, Body: p.cluster.firstVersionText}, 1)
	}
	p.membership.Tick(now)
	p.ruleset.Tick(now)
	p.runActions()
}

// updateWatcher decides whether the process watches the store.
func (p *Process) updateWatcher(now time.Duration) {
	joinComplete := p.membership.JoinComplete(now)
	if joinComplete == p.joinComplete && !p.membersChanged {
		return
	}
	p.joinComplete, p.membersChanged = joinComplete, false
	others := make([]membership.Member, 0, len(p.members))
	for _, m := range p.members {
		if m.Zone == p.self.Zone {
			others = append(others, *m)
		}
	}
	isWatcher := joinComplete && rulespread.IsWatcher(*p.membership.Self(), others, 2)
	if isWatcher && !p.isWatcher {
		p.watcherSince = now
	}
	p.isWatcher = isWatcher
	p.ruleset.SetWatcher(now, isWatcher)
}

// runActions carries out the actions of the state machines until there are no
// more, and schedules the next tick.
func (p *Process) runActions() {
	for p.runActionsOnce() {
	}
	next := min(p.membership.NextTick(), p.ruleset.NextTick(), p.nextWatcherCheck)
	next = max(next, p.cluster.sim.now+time.Millisecond)
	if p.nextTickAt > p.cluster.sim.now && p.nextTickAt <= next {
		return
	}
	p.nextTickAt = next
	p.tickSequence++
	sequence, runNumber := p.tickSequence, p.runNumber
	p.cluster.sim.scheduleAt(next, func() {
		if p.running && !p.paused && p.runNumber == runNumber && p.tickSequence == sequence {
			p.tick()
		}
	})
}

// runActionsOnce carries out the actions collected so far and reports whether there
// were any.
func (p *Process) runActionsOnce() bool {
	datagrams, events := p.membership.TakeOutput()
	for _, d := range datagrams {
		p.cluster.send(p, d)
	}
	for _, e := range events {
		p.handleMembershipEvent(e)
	}
	a := p.ruleset.TakeActions()
	p.runRulesActions(a)
	return len(datagrams) > 0 || len(events) > 0 || a.AnnounceVersion > 0 || a.Activate != nil || len(a.Fetches) > 0 || a.ReadStore || a.Watch
}

func (p *Process) handleMembershipEvent(e membership.Event) {
	now := p.cluster.sim.now
	if e.Member != nil {
		p.membersChanged = true
		p.cluster.checker.checkMember(p, e.Member)
		if e.Member.State == membership.Dead {
			delete(p.members, e.Member.Name)
		} else {
			p.members[e.Member.Name] = e.Member
		}
	}
	if e.RulesVersion > 0 && p.cluster.options.Bug != BugNoForwarding {
		p.ruleset.HandleAnnouncedVersion(now, e.RulesVersion, e.From)
	}
	if e.Payload != nil {
		if d, ok := e.Payload.Data.(*ruleset.Delta); ok {
			p.ruleset.HandleDelta(now, d, e.From)
		}
	}
}

func (p *Process) runRulesActions(a ruleset.Actions) {
	now := p.cluster.sim.now
	if a.AnnounceVersion > 0 {
		p.membership.SetRulesVersion(a.AnnounceVersion)
		if a.PushVersion && len(a.PushDeltas) == 0 {
			p.membership.PushRulesVersion(now)
		}
	}
	for _, d := range a.PushDeltas {
		p.membership.Broadcast(now, gossip.RulesDeltaPayload(d))
	}
	if a.Activate != nil {
		p.cluster.checker.checkActivation(p, a.Activate.Version)
		p.activeVersion = a.Activate.Version
		if p.admission != nil {
			p.admission.SetRules(a.Activate)
		}
	}
	for _, f := range a.Fetches {
		p.cluster.fetchRules(p, f)
	}
	if a.ReadStore {
		p.cluster.store.read(p, func(o ruleset.StoreResult, t *ruleset.Text, v uint64) {
			p.ruleset.HandleReadResult(p.cluster.sim.now, o, t, v)
		})
	}
	if a.Watch {
		p.cluster.store.watch(p, a.WatchSince, func(o ruleset.StoreResult, changed bool, next uint64) {
			p.ruleset.HandleWatchResult(p.cluster.sim.now, o, changed, next)
		})
	}
}

// connectionSetupBytes is the traffic of TCP and HTTP/2 connection setup in each
// direction of a fetch.
const connectionSetupBytes = 700

// fetchRules simulates a FetchRules call to a peer.
func (c *Cluster) fetchRules(p *Process, f ruleset.Fetch) {
	runNumber, answered := p.runNumber, false
	respond := func(resp *ruleset.FetchResponse) {
		p.deliver(func() {
			if !answered && p.runNumber == runNumber {
				answered = true
				p.ruleset.HandleFetchResult(c.sim.now, f.Peer, resp)
			}
		})
	}
	c.sim.scheduleAfter(callTimeout, func() { respond(nil) })
	peer := c.processesByName[f.Peer]
	if _, known := p.members[f.Peer]; !known || c.unreachable(p, peer) {
		return
	}
	p.sentBytes += connectionSetupBytes
	p.messages += 4
	c.sim.scheduleAfter(2*c.latency(p, peer), func() {
		peer.deliver(func() {
			resp := peer.ruleset.ServeFetch(f.HaveVersion)
			size := connectionSetupBytes + c.compressedSize(resp)
			peer.sentBytes += size
			peer.receivedBytes += connectionSetupBytes
			if c.unreachable(peer, p) {
				return
			}
			p.receivedBytes += size
			c.sim.scheduleAfter(c.latency(peer, p), func() { respond(resp) })
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
