package agreement

import (
	"fmt"
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/rules"
)

// requestInterval is the time between two requests in the whole cluster.
const requestInterval = 20 * time.Millisecond

// startRequests sends requests of both teams from random routers to random
// endpoints. A router sends a request only if its own rules and members allow it;
// the network delivers some of them much later.
func (c *Cluster) startRequests() {
	c.sendRandomRequest()
	c.sim.scheduleAfter(requestInterval, c.startRequests)
}

func (c *Cluster) sendRandomRequest() {
	if c.options.Routers == 0 || c.options.Agents == 0 {
		return
	}
	router := c.processes[c.sim.rng.IntN(c.options.Routers)]
	endpoint := fmt.Sprintf("llm-%d", c.sim.rng.IntN(c.options.Agents))
	team := []string{"north-team", "south-team"}[c.sim.rng.IntN(2)]
	if !router.running || router.paused {
		return
	}
	view := router.ruleset.ActiveView()
	endpointView, endpointKnown := view.Endpoint(endpoint)
	teamView, _ := view.Team(team)
	agentInfo := router.agentMember(endpoint)
	if !endpointKnown || teamView == nil || endpointView.Draining || !view.MayUse(teamView, endpointView) || agentInfo == nil || agentInfo.Leaving {
		return
	}
	c.sendRequest(router, *agentInfo, team, view.Version)
}

// agentMember returns the member that serves an endpoint, or nil.
func (p *Process) agentMember(endpoint string) *membership.Member {
	m := p.members["agent-"+endpoint[len("llm-"):]]
	if m == nil || m.Endpoint != endpoint {
		return nil
	}
	return m
}

// sendRequest sends a request. The request carries the router's rules version,
// and the response carries the agent's.
func (c *Cluster) sendRequest(router *Process, agentInfo membership.Member, team string, version uint64) {
	agent := c.processesByName[agentInfo.Name]
	if c.unreachable(router, agent) {
		return
	}
	delay := c.latency(router, agent)
	if c.sim.rng.Float64() < c.options.LateRate {
		delay += c.sim.randomDelay(maxLateDelay)
	}
	runNumber := router.runNumber
	c.sim.scheduleAfter(delay, func() {
		agent.deliver(func() {
			agent.ruleset.HandleAnnouncedVersion(c.sim.now, version, router.self.Name)
			c.handleOutdatedRequest(agent, version, team)
			attempt := &admission.Attempt{ID: "a", Team: team, AgentIncarnation: agentInfo.Incarnation}
			if agent.admission.Offer(c.sim.now, attempt).Admitted {
				agent.admission.Finish(c.sim.now, attempt.ID)
				c.checker.checkAdmission(agent, team)
			}
			headVersion := agent.ruleset.Head().Version
			if !c.unreachable(agent, router) {
				c.sim.scheduleAfter(delay, func() {
					router.deliver(func() {
						if router.runNumber == runNumber {
							router.ruleset.HandleAnnouncedVersion(c.sim.now, headVersion, agent.self.Name)
						}
					})
				})
			}
		})
	})
}

// handleOutdatedRequest counts a request whose rules version is older than the
// agent's active one, and applies the bugs that concern such requests.
func (c *Cluster) handleOutdatedRequest(agent *Process, version uint64, team string) {
	if version >= agent.activeVersion {
		return
	}
	c.checker.outdatedRequests++
	view := c.compiledVersion(version)
	switch {
	case view == nil:
	case c.options.Bug == BugTrustRequestVersion && acceptsRequests(view, agent.self.Endpoint, team):
		c.checker.checkAdmission(agent, team)
	case c.options.Bug == BugAcceptOlderVersion:
		agent.activeVersion = version
		agent.admission.SetRules(view)
	}
}

// acceptsRequests reports whether a rules version lets an endpoint admit new
// requests of a team.
func acceptsRequests(view *rules.View, endpoint, team string) bool {
	e, ok := view.Endpoint(endpoint)
	t, known := view.Team(team)
	return ok && known && !e.Draining && view.MayUse(t, e)
}

// checkAdmission checks a request that an agent admitted against the agent's active
// version and the newest version accepted at least leaveBound ago.
func (ch *checker) checkAdmission(p *Process, team string) {
	now := ch.cluster.sim.now
	ch.admissions++
	ch.lastAdmitted[p.self.Endpoint+" "+team] = now
	if leave, ok := ch.announcedLeaves[p.self.Name]; ok && leave.incarnation == p.self.Incarnation {
		ch.addViolation("I7: %s admitted a request after it announced that it leaves", p.self.Name)
	}
	if view := ch.cluster.viewsByVersion[p.activeVersion]; view == nil || !acceptsRequests(view, p.self.Endpoint, team) {
		ch.addViolation("I7: %s admitted a request of %s, which its version %d forbids", p.self.Name, team, p.activeVersion)
		return
	}
	if now-p.healthySince < leaveBound || !ch.storeWatched(now, leaveBound) {
		return
	}
	for v := len(ch.acceptedAt) - 1; v > int(p.activeVersion); v-- {
		if now-ch.acceptedAt[v] < leaveBound {
			continue
		}
		view := ch.cluster.compiledVersion(uint64(v))
		if view != nil && !acceptsRequests(view, p.self.Endpoint, team) {
			ch.addViolation("I7: %s admitted a request of %s, which version %d forbids since %v", p.self.Name, team, v, ch.acceptedAt[v])
		}
		return
	}
}
