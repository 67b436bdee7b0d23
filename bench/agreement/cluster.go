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

// Options are the parameters of a cluster.
type Options struct {
	Seed uint64
	// Routers and Agents are the numbers of processes. They are spread over
	// Zones availability zones in turn.
	Routers, Agents, Zones int
	// LossRate is the share of datagrams lost. LateRate is the share of datagrams
	// delivered a second time, and of requests delayed, by up to maxLateDelay.
	LossRate, LateRate float64
	Membership         membership.Config
	Rules              ruleset.Config
	// CheckLeavingOnly makes the checker record only members that leave, because
	// records of all members take too much memory in large clusters.
	CheckLeavingOnly bool
	// Bug is the bug injected into the processes.
	Bug Bug
}

// Cluster simulates processes with a network and a store in virtual time.
type Cluster struct {
	options            Options
	sim                *simulator
	store              *fakeRulesStore
	processes          []*Process
	processesByName    map[string]*Process
	processesByAddress map[string]*Process
	checker            *checker
	blockedLinks       map[link]bool
	// unblockedAt is when a link was last unblocked.
	unblockedAt    map[link]time.Duration
	viewsByVersion map[uint64]*rules.View
	ruleLines      []string
	textsByVersion map[uint64]string
	// compressedTextSizes are the sizes of compressed rules texts in bytes, by
	// version.
	compressedTextSizes map[uint64]int
	// firstVersionText is the text of rules version 1.
	firstVersionText string
	// storeHealthySince is the time of the last start or end of an outage of the store,
	// or of the last change of its response loss rate. It has the value never during an
	// outage.
	storeHealthySince time.Duration
}

// link is one direction of the network between two availability zones, or between a
// zone and the store.
type link struct{ from, to string }

const (
	// storeZone is the zone name of the store in links.
	storeZone        = "store"
	crossZoneLatency = 1500 * time.Microsecond
	sameZoneLatency  = 200 * time.Microsecond
	maxLateDelay     = 20 * time.Second
	seedAddressCount = 5
	// udpHeaderBytes is the size of the IP and UDP headers of a datagram.
	udpHeaderBytes = 28
)

// NewCluster returns a cluster whose processes are not started.
func NewCluster(o Options) *Cluster {
	o.applyBug()
	c := &Cluster{
		options: o, sim: newSimulator(o.Seed), processesByName: map[string]*Process{}, processesByAddress: map[string]*Process{},
		blockedLinks: map[link]bool{}, unblockedAt: map[link]time.Duration{}, viewsByVersion: map[uint64]*rules.View{}, textsByVersion: map[uint64]string{},
		compressedTextSizes: map[uint64]int{},
	}
	c.store = &fakeRulesStore{cluster: c, callsPerSecond: map[int]int{}}
	c.checker = newChecker(c)
	for i := range o.Routers {
		c.addProcess(fmt.Sprintf("router-%d", i), membership.RoleRouter, i, "")
	}
	for i := range o.Agents {
		c.addProcess(fmt.Sprintf("agent-%d", i), membership.RoleAgent, i, fmt.Sprintf("llm-%d", i))
	}
	c.ruleLines = c.baseRules()
	return c
}

func (c *Cluster) addProcess(name, role string, number int, endpoint string) {
	index := len(c.processes)
	p := &Process{cluster: c, index: index, healthySince: never, self: membership.Member{
		Name: name, Role: role, Zone: fmt.Sprintf("zone-%d", number%c.options.Zones), Endpoint: endpoint,
		GRPCAddress:   fmt.Sprintf("10.%d.%d.%d:7400", index>>16, index>>8&255, index&255),
		GossipAddress: fmt.Sprintf("10.%d.%d.%d:7401", index>>16, index>>8&255, index&255),
	}}
	c.processes = append(c.processes, p)
	c.processesByName[name] = p
	c.processesByAddress[p.self.GossipAddress] = p
}

// baseRules returns rules with all endpoints and two halves of one team each.
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
	// The number of teams per agent is that of the target deployment. The token
	// hashes do not compress.
	for i := range c.options.Agents * 550 / 2100 {
		lines = append(lines, fmt.Sprintf("team team-%d token-sha256 %x share 40 priority 2 # anitha: desk %d", i,
			sha256.Sum256([]byte{byte(i), byte(i >> 8)}), i))
	}
	for i := range c.options.Agents {
		lines = append(lines,
			fmt.Sprintf("endpoint llm-%d model ledger-llm host host-%d zone zone-%d # anitha: rack", i, i, i%c.options.Zones),
			fmt.Sprintf("host host-%d owner north # anitha: split", i))
	}
	return lines
}

// seedAddresses returns the seed addresses in the settings of a process: those of a
// few processes of all roles, possibly including its own.
func (c *Cluster) seedAddresses(p *Process) []string {
	var addresses []string
	for i := range min(seedAddressCount, len(c.processes)) {
		addresses = append(addresses, c.processes[(i*len(c.processes)/seedAddressCount+p.index/len(c.processes))%len(c.processes)].self.GossipAddress)
	}
	return addresses
}

// compile compiles a rules version once for all processes.
func (c *Cluster) compile(version uint64, text string) (*rules.View, error) {
	if view, ok := c.viewsByVersion[version]; ok && view.Text == text {
		return view, nil
	}
	view, err := rules.Compile("rules", version, text)
	if err == nil {
		c.viewsByVersion[version] = view
	}
	return view, err
}

// compiledVersion returns an accepted rules version, or nil if it does not compile.
func (c *Cluster) compiledVersion(version uint64) *rules.View {
	view, err := c.compile(version, c.textsByVersion[version])
	if err != nil {
		return nil
	}
	return view
}

// StartAll starts all processes at about the same time.
func (c *Cluster) StartAll() {
	for _, p := range c.processes {
		c.sim.scheduleAfter(c.sim.randomDelay(100*time.Millisecond), p.start)
	}
}

// StartWithKnownMembers starts all processes with the full member list, as after long
// operation.
func (c *Cluster) StartWithKnownMembers() {
	for _, p := range c.processes {
		p.start()
	}
	d := &membership.Datagram{From: "warm start"}
	for _, p := range c.processes {
		d.Members = append(d.Members, p.membership.Self())
	}
	for _, p := range c.processes {
		p.membership.HandleDatagram(0, "", d)
		p.runActions()
	}
}

// Run runs the simulation for a duration of virtual time.
func (c *Cluster) Run(d time.Duration) { c.sim.runUntil(c.sim.now + d) }

// latency returns a random latency between two processes.
func (c *Cluster) latency(a, b *Process) time.Duration {
	base := sameZoneLatency
	if a.self.Zone != b.self.Zone {
		base = crossZoneLatency
	}
	return base + c.sim.randomDelay(base/2)
}

// unreachable reports whether messages from one process to another are lost.
func (c *Cluster) unreachable(from, to *Process) bool {
	return c.blockedLinks[link{from.self.Zone, to.self.Zone}] || !to.running
}

// storeUnreachable reports whether a link between a process and the store is
// blocked.
func (c *Cluster) storeUnreachable(p *Process) bool {
	return c.blockedLinks[link{p.self.Zone, storeZone}] || c.blockedLinks[link{storeZone, p.self.Zone}]
}

// send sends a datagram, which may be lost or delivered a second time.
func (c *Cluster) send(p *Process, out membership.OutgoingDatagram) {
	raw, err := gossip.EncodeDatagram(out.Datagram)
	if err != nil {
		c.checker.addViolation("datagram of %s cannot be encoded: %v", p.self.Name, err)
		return
	}
	if len(raw) > membership.MaxDatagramBytes {
		c.checker.addViolation("datagram of %s has %d bytes", p.self.Name, len(raw))
	}
	p.sentBytes += len(raw) + udpHeaderBytes
	p.messages++
	to := c.processesByAddress[out.ToAddress]
	if to == nil || c.unreachable(p, to) || c.sim.rng.Float64() < c.options.LossRate {
		return
	}
	arrive := func() {
		if to.running {
			to.receivedBytes += len(raw) + udpHeaderBytes
		}
		to.deliver(func() { to.membership.HandleDatagram(c.sim.now, p.self.GossipAddress, out.Datagram) })
	}
	c.sim.scheduleAfter(c.latency(p, to), arrive)
	if c.sim.rng.Float64() < c.options.LateRate {
		c.sim.scheduleAfter(c.sim.randomDelay(maxLateDelay), arrive)
	}
}

// SetLinkBlocked blocks or unblocks one direction between two zones.
func (c *Cluster) SetLinkBlocked(from, to string, blocked bool) {
	c.blockedLinks[link{from, to}] = blocked
	if !blocked {
		delete(c.blockedLinks, link{from, to})
		c.unblockedAt[link{from, to}] = c.sim.now
	}
	for _, p := range c.processes {
		if z := p.self.Zone; p.running && !p.paused && (z == from || z == to) {
			p.healthySince = c.sim.now
			if c.hasBlockedLink(z) {
				p.healthySince = never
			}
		}
	}
}

func (c *Cluster) hasBlockedLink(zone string) bool {
	for l := range c.blockedLinks {
		if l.from == zone || l.to == zone {
			return true
		}
	}
	return false
}

// SetZoneIsolated blocks or unblocks the links of a zone to all others and the
// store.
func (c *Cluster) SetZoneIsolated(zone string, isolated bool) {
	for i := range c.options.Zones {
		other := fmt.Sprintf("zone-%d", i)
		if other != zone {
			c.SetLinkBlocked(zone, other, isolated)
			c.SetLinkBlocked(other, zone, isolated)
		}
	}
	c.SetLinkBlocked(zone, storeZone, isolated)
}

// BlockStoreLinks blocks the links of zones to the store.
func (c *Cluster) BlockStoreLinks(zones ...string) {
	for _, z := range zones {
		c.SetLinkBlocked(z, storeZone, true)
	}
}

// stablyReachable reports whether two processes could reach each other for
// minReachableTime.
func (c *Cluster) stablyReachable(a, b *Process) bool {
	for _, l := range [...]link{{a.self.Zone, b.self.Zone}, {b.self.Zone, a.self.Zone}} {
		if c.blockedLinks[l] || l.from != l.to && c.unblockedAt[l] > c.sim.now-minReachableTime {
			return false
		}
	}
	return b.running && !b.paused && c.sim.now-b.runningSince >= minReachableTime
}

// Pause suspends a process for a duration without notice to it.
func (c *Cluster) Pause(p *Process, d time.Duration) {
	if !p.running || p.paused {
		return
	}
	p.pause()
	runNumber := p.runNumber
	c.sim.scheduleAfter(d, func() {
		if p.runNumber == runNumber {
			p.resume()
			if c.hasBlockedLink(p.self.Zone) {
				p.healthySince = never
			}
		}
	})
}

// Restart stops a process and starts it again after the downtime.
func (c *Cluster) Restart(p *Process, downtime time.Duration) {
	p.stop()
	c.sim.scheduleAfter(downtime, func() {
		if !p.running {
			p.start()
			if c.hasBlockedLink(p.self.Zone) {
				p.healthySince = never
			}
		}
	})
}

// Leave makes a process announce that it leaves and admits no new requests.
func (c *Cluster) Leave(p *Process) {
	if !p.running || p.paused {
		return
	}
	c.checker.recordLeave(p)
	if p.admission != nil {
		p.admission.Shutdown()
	}
	if c.options.Bug != BugUnannouncedLeave {
		p.membership.Leave(c.sim.now)
	}
	p.runActions()
}

// SetStoreOutage starts or ends an outage, during which the store refuses all calls.
func (c *Cluster) SetStoreOutage(on bool) {
	c.store.setOutage(on)
	c.storeHealthySince = c.sim.now
	if on {
		c.storeHealthySince = never
	}
}

// SetStoreResponseLossRate sets the share of store calls whose response is lost.
func (c *Cluster) SetStoreResponseLossRate(rate float64) {
	c.store.responseLossRate = rate
	if !c.store.outage {
		c.storeHealthySince = c.sim.now
	}
}

// EditRules edits the lines of the rules and writes them to the store. It reports
// whether the store accepted them.
func (c *Cluster) EditRules(edit func(lines []string) []string) bool {
	lines := edit(append([]string(nil), c.ruleLines...))
	version, ok := c.store.write(strings.Join(lines, "\n"))
	if ok {
		c.ruleLines = lines
		c.textsByVersion[version] = strings.Join(lines, "\n")
		if version == 1 {
			c.firstVersionText = strings.Join(lines, "\n")
		}
		c.checker.recordAccepted(version)
	}
	return ok
}

// AddLine adds a rule.
func (c *Cluster) AddLine(line string) bool {
	return c.EditRules(func(l []string) []string { return append(l, line) })
}

// ReplaceLine replaces the rules that start with prefix.
func (c *Cluster) ReplaceLine(prefix, line string) bool {
	return c.EditRules(func(l []string) []string {
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
	return c.EditRules(func(l []string) []string {
		var kept []string
		for _, line := range l {
			if !strings.HasPrefix(line, prefix) {
				kept = append(kept, line)
			}
		}
		return kept
	})
}
