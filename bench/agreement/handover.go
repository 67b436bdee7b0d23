package agreement

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/membership"
)

// HandoverChange is the change of the rules that takes work away from an
// endpoint.
type HandoverChange string

// Changes of a handover.
const (
	// HandoverDrain drains the endpoint.
	HandoverDrain HandoverChange = "drain"
	// HandoverGive gives the endpoint's host to the other half.
	HandoverGive HandoverChange = "give"
)

// HandoverTrouble is what happens to a router during a handover.
type HandoverTrouble string

// Troubles of a handover. In each of them requests that name the version
// before the change arrive after it.
const (
	HandoverCalm HandoverTrouble = "calm"
	// HandoverFrozen freezes the router before the change.
	HandoverFrozen HandoverTrouble = "frozen"
	// HandoverCutOff cuts the router's zone off before the change.
	HandoverCutOff HandoverTrouble = "cut-off"
	// HandoverLate delivers datagrams, deltas and texts from before the change
	// to the agent after it.
	HandoverLate HandoverTrouble = "late"
)

// Changes and troubles for tests.
var (
	HandoverChanges  = []HandoverChange{HandoverDrain, HandoverGive}
	HandoverTroubles = []HandoverTrouble{HandoverCalm, HandoverFrozen, HandoverCutOff, HandoverLate}
)

const (
	// troubleSpan is longer than leaveBound, so that the router still holds the
	// older version when the change must be in effect.
	troubleSpan = 6 * time.Second
	// handoverGap separates the requests that name the older version.
	handoverGap = 100 * time.Millisecond
	// handoverSpan is the time in which they arrive.
	handoverSpan = 2 * troubleSpan
)

// Handover takes an endpoint away from the half north while a router is in
// trouble, and returns the violations.
func Handover(o Options, change HandoverChange, trouble HandoverTrouble) []string {
	c := NewCluster(o)
	k := c.checker
	c.Apply(func(l []string) []string { return l })
	c.StartAll()
	c.Run(settleTime)
	// A second version, so that there is a delta from before the change.
	c.AddLine("limit north-team requests 9/s # anitha: first")
	k.watch()
	c.startWork()
	c.Run(settleTime)
	// The router and the agent are in different zones.
	router, agent := c.nodes[1], c.byName["agent-0"]
	old := captureOld(c, router)
	if k.lastAdmitted["llm-0 north-team"] == 0 || old.target == nil || len(old.deltas) == 0 {
		k.fail("the handover has no work, no agent or no delta to begin with")
		return k.violations
	}
	switch trouble {
	case HandoverFrozen:
		c.Freeze(router, troubleSpan)
	case HandoverCutOff:
		c.CutZone(router.self.Zone, true)
		c.sim.after(troubleSpan, func() { c.CutZone(router.self.Zone, false) })
	}
	if change == HandoverDrain {
		c.AddLine("drain endpoint llm-0 # jose: maintenance")
	} else {
		c.ReplaceLine("host host-0 ", "host host-0 owner south # jose: split")
	}
	changed, outdated := c.sim.now, k.outdated
	for c.sim.now < changed+handoverSpan {
		if trouble == HandoverLate {
			old.deliver(c, agent)
		}
		c.request(router, *old.target, "north-team", old.version)
		c.Run(handoverGap)
	}
	c.checkHandover(change, agent, changed)
	if k.outdated == outdated {
		k.fail("no request named the older version after the change, so nothing was checked")
	}
	return k.violations
}

// checkHandover checks that the change is in force at the agent and that the
// work followed it.
func (c *Cluster) checkHandover(change HandoverChange, agent *Node, changed time.Duration) {
	k := c.checker
	if want := uint64(len(k.acceptedAt) - 1); agent.force != want {
		k.fail("I9: %s has version %d after the handover, accepted is %d", agent.self.Name, agent.force, want)
	}
	if at := k.lastAdmitted["llm-0 north-team"]; at > changed+leaveBound {
		k.fail("I7: llm-0 took work of north-team at %v, %v after its handover", at, at-changed)
	}
	if at := k.lastAdmitted["llm-0 south-team"]; change == HandoverGive && at <= changed {
		k.fail("llm-0 took no work of south-team after it was given to its half")
	}
}

// oldMessages are what a process could have sent before a change.
type oldMessages struct {
	from    *Node
	version uint64
	target  *membership.Member
	deltas  []membership.Payload
	resend  func(agent *Node)
}

func captureOld(c *Cluster, router *Node) oldMessages {
	version := router.rules.Head().Version
	deltas := router.rules.GossipDeltasFrom(version - 1)
	answer := router.rules.ServeFetch(0)
	old := oldMessages{from: router, version: version, target: router.agentOf("llm-0"), deltas: router.behind(version - 1)}
	old.resend = func(agent *Node) {
		for _, d := range deltas {
			agent.rules.HandleDelta(c.sim.now, d, router.self.Name)
		}
		agent.rules.HandleFetchResult(c.sim.now, router.self.Name, answer)
		agent.rules.HandleVersion(c.sim.now, version, router.self.Name)
	}
	return old
}

// deliver hands the messages from before the change to an agent.
func (o oldMessages) deliver(c *Cluster, agent *Node) {
	agent.deliver(func() {
		agent.gossip.HandleDatagram(c.sim.now, o.from.self.GossipAddress, &membership.Datagram{
			From: o.from.self.Name, FromIncarnation: o.from.self.Incarnation, RulesVersion: o.version, Payloads: o.deltas,
		})
		o.resend(agent)
	})
}
