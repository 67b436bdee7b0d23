package agreement

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/membership"
)

// HandoverChange is a change of the rules that stops an endpoint from serving a team.
type HandoverChange string

// Changes of a handover.
const (
	// HandoverDrain drains the endpoint.
	HandoverDrain HandoverChange = "drain"
	// HandoverReassign assigns the endpoint's host to the other half.
	HandoverReassign HandoverChange = "give"
)

// HandoverFault is a fault during a handover.
type HandoverFault string

// Faults during a handover. With each of them, and without, requests that name the
// version before the change arrive after it.
const (
	HandoverNoFault HandoverFault = "calm"
	// HandoverRouterPaused pauses the router before the change.
	HandoverRouterPaused HandoverFault = "frozen"
	// HandoverRouterIsolated isolates the router's zone before the change.
	HandoverRouterIsolated HandoverFault = "cut-off"
	// HandoverLateMessages delivers datagrams, deltas and texts from before the
	// change to the agent after it.
	HandoverLateMessages HandoverFault = "late"
)

// All changes and faults of a handover.
var (
	HandoverChanges = []HandoverChange{HandoverDrain, HandoverReassign}
	HandoverFaults  = []HandoverFault{HandoverNoFault, HandoverRouterPaused, HandoverRouterIsolated, HandoverLateMessages}
)

const (
	// handoverFaultDuration is longer than leaveBound, so that the router still has
	// the older version when the change must be in effect.
	handoverFaultDuration = 6 * time.Second
	// handoverRequestInterval is the time between two requests that name the older
	// version.
	handoverRequestInterval = 100 * time.Millisecond
	// handoverDuration is the time during which these requests arrive.
	handoverDuration = 2 * handoverFaultDuration
)

// RunHandover drains or reassigns an endpoint of the half north during a fault, and
// returns the violations.
func RunHandover(o Options, change HandoverChange, fault HandoverFault) []string {
	c := NewCluster(o)
	checker := c.checker
	c.EditRules(func(l []string) []string { return l })
	c.StartAll()
	c.Run(convergenceTime)
	// The second version provides a delta from before the change.
	c.AddLine("limit north-team requests 9/s # anitha: first")
	checker.checkPeriodically()
	c.startRequests()
	c.Run(convergenceTime)
	// The router and the agent are in different zones.
	router, agent := c.processes[1], c.processesByName["agent-0"]
	stale := captureStaleMessages(c, router)
	if checker.lastAdmitted["llm-0 north-team"] == 0 || stale.agentInfo == nil || len(stale.payloads) == 0 {
		checker.addViolation("before the handover there was no request, no agent or no delta")
		return checker.violations
	}
	switch fault {
	case HandoverRouterPaused:
		c.Pause(router, handoverFaultDuration)
	case HandoverRouterIsolated:
		c.SetZoneIsolated(router.self.Zone, true)
		c.sim.scheduleAfter(handoverFaultDuration, func() { c.SetZoneIsolated(router.self.Zone, false) })
	}
	if change == HandoverDrain {
		c.AddLine("drain endpoint llm-0 # jose: maintenance")
	} else {
		c.ReplaceLine("host host-0 ", "host host-0 owner south # jose: split")
	}
	changedAt, outdatedBefore := c.sim.now, checker.outdatedRequests
	for c.sim.now < changedAt+handoverDuration {
		if fault == HandoverLateMessages {
			stale.deliver(c, agent)
		}
		c.sendRequest(router, *stale.agentInfo, "north-team", stale.version)
		c.Run(handoverRequestInterval)
	}
	c.checkHandover(change, agent, changedAt)
	if checker.outdatedRequests == outdatedBefore {
		checker.addViolation("no request named the older version after the change, so nothing was checked")
	}
	return checker.violations
}

// checkHandover checks that the change is active at the agent and that only the
// teams that it allows are served.
func (c *Cluster) checkHandover(change HandoverChange, agent *Process, changedAt time.Duration) {
	checker := c.checker
	if want := uint64(len(checker.acceptedAt) - 1); agent.activeVersion != want {
		checker.addViolation("I9: %s has version %d active after the handover, the accepted version is %d", agent.self.Name, agent.activeVersion, want)
	}
	if at := checker.lastAdmitted["llm-0 north-team"]; at > changedAt+leaveBound {
		checker.addViolation("I7: llm-0 admitted a request of north-team at %v, %v after its handover", at, at-changedAt)
	}
	if at := checker.lastAdmitted["llm-0 south-team"]; change == HandoverReassign && at <= changedAt {
		checker.addViolation("llm-0 admitted no request of south-team after its host was assigned to that half")
	}
}

// staleMessages are messages that a router could have sent before a change.
type staleMessages struct {
	from           *Process
	version        uint64
	agentInfo      *membership.Member
	payloads       []membership.Payload
	redeliverRules func(agent *Process)
}

// captureStaleMessages returns the messages that a router could send now.
func captureStaleMessages(c *Cluster, router *Process) staleMessages {
	version := router.ruleset.Head().Version
	deltas := router.ruleset.GossipDeltasFrom(version - 1)
	response := router.ruleset.ServeFetch(0)
	stale := staleMessages{from: router, version: version, agentInfo: router.agentMember("llm-0"), payloads: router.catchUpPayloads(version - 1)}
	stale.redeliverRules = func(agent *Process) {
		for _, d := range deltas {
			agent.ruleset.HandleDelta(c.sim.now, d, router.self.Name)
		}
		agent.ruleset.HandleFetchResult(c.sim.now, router.self.Name, response)
		agent.ruleset.HandleAnnouncedVersion(c.sim.now, version, router.self.Name)
	}
	return stale
}

// deliver passes the messages to an agent.
func (s staleMessages) deliver(c *Cluster, agent *Process) {
	agent.deliver(func() {
		agent.membership.HandleDatagram(c.sim.now, s.from.self.GossipAddress, &membership.Datagram{
			From: s.from.self.Name, FromIncarnation: s.from.self.Incarnation, RulesVersion: s.version, Payloads: s.payloads,
		})
		s.redeliverRules(agent)
	})
}
