package agreement

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/ruleset"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/rules"
)

// Options describe a cluster.
type Options struct {
	Seed uint64
	// Routers and Agents are the numbers of processes. They are spread over
	// Zones availability zones in turn.
	Routers, Agents, Zones int
	// Loss is the share of datagrams lost, Late the share delivered a second
	// time up to lateSpan later.
	Loss, Late float64
	Membership membership.Config
	Rules      ruleset.Config
	// Quiet keeps the checker from recording members that do not leave, which
	// takes too much memory in large clusters.
	Quiet bool
	// Fault switches a deliberate fault on; see the Fault constants.
	Fault Fault
}

// Cluster is a set of processes with a network and a store in virtual time.
type Cluster struct {
	opt     Options
	sim     *sim
	store   *fakeStore
	nodes   []*Node
	byName  map[string]*Node
	byAddr  map[string]*Node
	checker *checker
	cuts    map[cut]bool
	// healed is when a cut ended.
	healed map[cut]time.Duration
	views  map[uint64]*rules.View
	lines  []string
	texts  map[uint64]string
	// textSizes are the sizes in bytes of compressed texts by version.
	textSizes map[uint64]int
	// firstText is the text of version 1.
	firstText string
	// storeUpSince is when the store last came back.
	storeUpSince time.Duration
}

// cut is a direction in which nothing passes between two zones. Zone "store"
// stands for the object API.
type cut struct{ from, to string }

const (
	storeZone = "store"
	zoneDelay = 1500 * time.Microsecond
	hostDelay = 200 * time.Microsecond
	lateSpan  = 20 * time.Second
	seedCount = 5
	// udpHeaderBytes are the IP and UDP headers of a datagram.
	udpHeaderBytes = 28
)

// NewCluster returns a cluster whose processes are not started.
func NewCluster(o Options) *Cluster {
	o.applyFault()
	c := &Cluster{
		opt: o, sim: newSim(o.Seed), byName: map[string]*Node{}, byAddr: map[string]*Node{},
		cuts: map[cut]bool{}, healed: map[cut]time.Duration{}, views: map[uint64]*rules.View{}, texts: map[uint64]string{},
		textSizes: map[uint64]int{},
	}
	c.store = &fakeStore{c: c, perSecond: map[int]int{}}
	c.checker = newChecker(c)
	for i := range o.Routers {
		c.add(fmt.Sprintf("router-%d", i), membership.RoleRouter, i, "")
	}
	for i := range o.Agents {
		c.add(fmt.Sprintf("agent-%d", i), membership.RoleAgent, i, fmt.Sprintf("llm-%d", i))
	}
	c.lines = c.baseRules()
	return c
}

func (c *Cluster) add(name, role string, i int, endpoint string) {
	index := len(c.nodes)
	n := &Node{c: c, index: index, goodSince: never, self: membership.Member{
		Name: name, Role: role, Zone: fmt.Sprintf("zone-%d", i%c.opt.Zones), Endpoint: endpoint,
		GRPCAddress:   fmt.Sprintf("10.%d.%d.%d:7400", index>>16, index>>8&255, index&255),
		GossipAddress: fmt.Sprintf("10.%d.%d.%d:7401", index>>16, index>>8&255, index&255),
	}}
	c.nodes = append(c.nodes, n)
	c.byName[name] = n
	c.byAddr[n.self.GossipAddress] = n
}

// baseRules returns rules with two halves, one team each, and all endpoints.
func (c *Cluster) baseRules() []string {
	lines := []string{
		"team north-team token-sha256 " + strings.Repeat("a", 64) + " # anitha: north",
		"team south-team token-sha256 " + strings.Repeat("b", 64) + " # jose: south",
		"half north teams north-team # anitha: split",
		"half south teams south-team # anitha: split",
		"allow north-team model ledger-llm # anitha: north",
		"allow south-team model ledger-llm # jose: south",
		"weights hit 1 # anitha: start",
	}
	// As many teams for each agent as at the target scale, with hashes that do
	// not compress.
	for i := range c.opt.Agents * 550 / 2100 {
		lines = append(lines, fmt.Sprintf("team team-%d token-sha256 %x share 40 priority 2 # anitha: desk %d", i,
			sha256.Sum256([]byte{byte(i), byte(i >> 8)}), i))
	}
	for i := range c.opt.Agents {
		lines = append(lines,
			fmt.Sprintf("endpoint llm-%d model ledger-llm host host-%d zone zone-%d # anitha: rack", i, i, i%c.opt.Zones),
			fmt.Sprintf("host host-%d owner north # anitha: split", i))
	}
	return lines
}

// seeds returns the addresses that the settings of a process name: a few
// processes of all roles, the process itself among them at times.
func (c *Cluster) seeds(n *Node) []string {
	var list []string
	for i := range min(seedCount, len(c.nodes)) {
		list = append(list, c.nodes[(i*len(c.nodes)/seedCount+n.index/len(c.nodes))%len(c.nodes)].self.GossipAddress)
	}
	return list
}

// check compiles a version once for all processes.
func (c *Cluster) check(version uint64, text string) (*rules.View, error) {
	if v, ok := c.views[version]; ok && v.Text == text {
		return v, nil
	}
	v, err := rules.Compile("rules", version, text)
	if err == nil {
		c.views[version] = v
	}
	return v, err
}

// viewOf returns an accepted version, or nil when it does not pass the check.
func (c *Cluster) viewOf(version uint64) *rules.View {
	v, err := c.check(version, c.texts[version])
	if err != nil {
		return nil
	}
	return v
}

// StartAll starts all processes at about the same time.
func (c *Cluster) StartAll() {
	for _, n := range c.nodes {
		c.sim.after(c.sim.jitter(100*time.Millisecond), n.start)
	}
}

// StartWarm starts all processes with the full list of members, as after a
// long time of operation.
func (c *Cluster) StartWarm() {
	for _, n := range c.nodes {
		n.start()
	}
	d := &membership.Datagram{From: "warm start"}
	for _, n := range c.nodes {
		d.Members = append(d.Members, n.gossip.Self())
	}
	for _, n := range c.nodes {
		n.gossip.HandleDatagram(0, "", d)
		n.settle()
	}
}

// Run lets virtual time pass.
func (c *Cluster) Run(d time.Duration) { c.sim.runUntil(c.sim.now + d) }

func (c *Cluster) latency(a, b *Node) time.Duration {
	base := hostDelay
	if a.self.Zone != b.self.Zone {
		base = zoneDelay
	}
	return base + c.sim.jitter(base/2)
}

func (c *Cluster) blocked(from, to *Node) bool {
	return c.cuts[cut{from.self.Zone, to.self.Zone}] || !to.up
}

func (c *Cluster) cutFromStore(n *Node) bool {
	return c.cuts[cut{n.self.Zone, storeZone}] || c.cuts[cut{storeZone, n.self.Zone}]
}

// send puts a datagram on the network.
func (c *Cluster) send(n *Node, s membership.OutgoingDatagram) {
	raw, err := gossip.EncodeDatagram(s.Datagram)
	if err != nil {
		c.checker.fail("datagram of %s cannot be encoded: %v", n.self.Name, err)
		return
	}
	if len(raw) > membership.MaxDatagramBytes {
		c.checker.fail("datagram of %s has %d bytes", n.self.Name, len(raw))
	}
	n.sentBytes += len(raw) + udpHeaderBytes
	n.messages++
	to := c.byAddr[s.To]
	if to == nil || c.blocked(n, to) || c.sim.rng.Float64() < c.opt.Loss {
		return
	}
	arrive := func() {
		if to.up {
			to.receivedBytes += len(raw) + udpHeaderBytes
		}
		to.deliver(func() { to.gossip.HandleDatagram(c.sim.now, n.self.GossipAddress, s.Datagram) })
	}
	c.sim.after(c.latency(n, to), arrive)
	if c.sim.rng.Float64() < c.opt.Late {
		c.sim.after(c.sim.jitter(lateSpan), arrive)
	}
}

// Cut stops or restores one direction between two zones.
func (c *Cluster) Cut(from, to string, on bool) {
	c.cuts[cut{from, to}] = on
	if !on {
		delete(c.cuts, cut{from, to})
		c.healed[cut{from, to}] = c.sim.now
	}
	for _, n := range c.nodes {
		if z := n.self.Zone; n.up && !n.frozen && (z == from || z == to) {
			n.goodSince = c.sim.now
			if c.isCut(z) {
				n.goodSince = never
			}
		}
	}
}

func (c *Cluster) isCut(zone string) bool {
	for k := range c.cuts {
		if k.from == zone || k.to == zone {
			return true
		}
	}
	return false
}

// CutZone cuts a zone off from all others and the store, or reconnects it.
func (c *Cluster) CutZone(zone string, on bool) {
	for i := range c.opt.Zones {
		other := fmt.Sprintf("zone-%d", i)
		if other != zone {
			c.Cut(zone, other, on)
			c.Cut(other, zone, on)
		}
	}
	c.Cut(zone, storeZone, on)
}

// CutStore cuts zones off from the store for good.
func (c *Cluster) CutStore(zones ...string) {
	for _, z := range zones {
		c.Cut(z, storeZone, true)
	}
}

// consultable reports whether two processes could reach each other for a while
// before now.
func (c *Cluster) consultable(a, b *Node) bool {
	for _, k := range [...]cut{{a.self.Zone, b.self.Zone}, {b.self.Zone, a.self.Zone}} {
		if c.cuts[k] || k.from != k.to && c.healed[k] > c.sim.now-consultTime {
			return false
		}
	}
	return b.up && !b.frozen && c.sim.now-b.aliveSince >= consultTime
}

// Freeze stops a process for a while without its noticing.
func (c *Cluster) Freeze(n *Node, d time.Duration) {
	if !n.up || n.frozen {
		return
	}
	n.freeze()
	run := n.run
	c.sim.after(d, func() {
		if n.run == run {
			n.thaw()
			if c.isCut(n.self.Zone) {
				n.goodSince = never
			}
		}
	})
}

// Restart stops a process and starts it again after a while.
func (c *Cluster) Restart(n *Node, down time.Duration) {
	n.stop()
	c.sim.after(down, func() {
		if !n.up {
			n.start()
			if c.isCut(n.self.Zone) {
				n.goodSince = never
			}
		}
	})
}

// Leave makes a process announce that it takes no new work.
func (c *Cluster) Leave(n *Node) {
	if !n.up || n.frozen {
		return
	}
	c.checker.leave(n)
	if n.admit != nil {
		n.admit.Shutdown()
	}
	if c.opt.Fault != FaultSilentLeave {
		n.gossip.Leave(c.sim.now)
	}
	n.settle()
}

// Outage makes the store refuse all calls or serve again.
func (c *Cluster) Outage(on bool) {
	c.store.setOutage(on)
	c.storeUpSince = c.sim.now
	if on {
		c.storeUpSince = never
	}
}

// LoseAnswers sets the share of store calls whose answer never arrives.
func (c *Cluster) LoseAnswers(share float64) {
	c.store.loseAnswers = share
	if !c.store.outage {
		c.storeUpSince = c.sim.now
	}
}

// Apply changes lines of the rules and writes them. It reports whether the
// store accepted the change.
func (c *Cluster) Apply(edit func(lines []string) []string) bool {
	lines := edit(append([]string(nil), c.lines...))
	v, ok := c.store.write(strings.Join(lines, "\n"))
	if ok {
		c.lines = lines
		c.texts[v] = strings.Join(lines, "\n")
		if v == 1 {
			c.firstText = strings.Join(lines, "\n")
		}
		c.checker.accepted(v)
	}
	return ok
}

// AddLine adds a rule.
func (c *Cluster) AddLine(line string) bool {
	return c.Apply(func(l []string) []string { return append(l, line) })
}

// ReplaceLine replaces the rule that starts with prefix.
func (c *Cluster) ReplaceLine(prefix, line string) bool {
	return c.Apply(func(l []string) []string {
		for i := range l {
			if strings.HasPrefix(l[i], prefix) {
				l[i] = line
			}
		}
		return l
	})
}

// RemoveLine removes the rules that start with prefix.
func (c *Cluster) RemoveLine(prefix string) bool {
	return c.Apply(func(l []string) []string {
		var kept []string
		for _, line := range l {
			if !strings.HasPrefix(line, prefix) {
				kept = append(kept, line)
			}
		}
		return kept
	})
}
