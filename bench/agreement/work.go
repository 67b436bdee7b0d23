package agreement

import (
	"fmt"
	"time"

	"github.com/arbutusline/arbutusline/decision/admission"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/rules"
)

// workInterval is the time between two requests of the whole cluster.
const workInterval = 20 * time.Millisecond

// startWork sends requests of both teams from random routers to random
// endpoints. A router sends what its own rules and members allow; the network
// delivers some requests much later.
func (c *Cluster) startWork() {
	c.work()
	c.sim.after(workInterval, c.startWork)
}

func (c *Cluster) work() {
	if c.opt.Routers == 0 || c.opt.Agents == 0 {
		return
	}
	router := c.nodes[c.sim.rng.IntN(c.opt.Routers)]
	endpoint := fmt.Sprintf("llm-%d", c.sim.rng.IntN(c.opt.Agents))
	team := []string{"north-team", "south-team"}[c.sim.rng.IntN(2)]
	if !router.up || router.frozen {
		return
	}
	view := router.rules.ActiveView()
	e, known := view.Endpoint(endpoint)
	t, _ := view.Team(team)
	agent := router.agentOf(endpoint)
	if !known || t == nil || e.Draining || !view.MayUse(t, e) || agent == nil || agent.Leaving {
		return
	}
	c.request(router, *agent, team, view.Version)
}

func (n *Node) agentOf(endpoint string) *membership.Member {
	m := n.members["agent-"+endpoint[len("llm-"):]]
	if m == nil || m.Endpoint != endpoint {
		return nil
	}
	return m
}

// request sends one request; the version that it carries and the one that the
// answer carries are heard on both sides.
func (c *Cluster) request(router *Node, m membership.Member, team string, version uint64) {
	agent := c.byName[m.Name]
	if c.blocked(router, agent) {
		return
	}
	delay := c.latency(router, agent)
	if c.sim.rng.Float64() < c.opt.Late {
		delay += c.sim.jitter(lateSpan)
	}
	run := router.run
	c.sim.after(delay, func() {
		agent.deliver(func() {
			agent.rules.HandleVersion(c.sim.now, version, router.self.Name)
			c.outdatedRequest(agent, version, team)
			attempt := &admission.Attempt{ID: "a", Team: team, AgentIncarnation: m.Incarnation}
			if agent.admit.Offer(c.sim.now, attempt).Admitted {
				agent.admit.Finish(c.sim.now, attempt.ID)
				c.checker.admitted(agent, team)
			}
			held := agent.rules.Head().Version
			if !c.blocked(agent, router) {
				c.sim.after(delay, func() {
					router.deliver(func() {
						if router.run == run {
							router.rules.HandleVersion(c.sim.now, held, agent.self.Name)
						}
					})
				})
			}
		})
	})
}

// outdatedRequest counts a request with an older version than the agent has
// in force, and applies the deliberate faults that concern such requests.
func (c *Cluster) outdatedRequest(agent *Node, version uint64, team string) {
	if version >= agent.force {
		return
	}
	c.checker.outdated++
	view := c.viewOf(version)
	switch {
	case view == nil:
	case c.opt.Fault == FaultTrustsRouter && allowed(view, agent.self.Endpoint, team):
		c.checker.admitted(agent, team)
	case c.opt.Fault == FaultTakesOlder:
		agent.force = version
		agent.admit.SetRules(view)
	}
}

// allowed reports whether a version of the rules lets an endpoint take new
// work of a team.
func allowed(view *rules.View, endpoint, team string) bool {
	e, ok := view.Endpoint(endpoint)
	t, known := view.Team(team)
	return ok && known && !e.Draining && view.MayUse(t, e)
}

// admitted checks new work at an agent against the version in force and
// against the newest version that has been accepted for long enough.
func (k *checker) admitted(n *Node, team string) {
	now := k.c.sim.now
	k.admissions++
	k.lastAdmitted[n.self.Endpoint+" "+team] = now
	if l, ok := k.left[n.self.Name]; ok && l.incarnation == n.self.Incarnation {
		k.fail("I7: %s took new work after it announced to leave", n.self.Name)
	}
	if view := k.c.views[n.force]; view == nil || !allowed(view, n.self.Endpoint, team) {
		k.fail("I7: %s took work of %s against its version %d", n.self.Name, team, n.force)
		return
	}
	if now-n.goodSince < leaveBound || !k.watched(now, leaveBound) {
		return
	}
	for v := len(k.acceptedAt) - 1; v > int(n.force); v-- {
		if now-k.acceptedAt[v] < leaveBound {
			continue
		}
		view := k.c.viewOf(uint64(v))
		if view != nil && !allowed(view, n.self.Endpoint, team) {
			k.fail("I7: %s took work of %s, which version %d ended at %v", n.self.Name, team, v, k.acceptedAt[v])
		}
		return
	}
}
