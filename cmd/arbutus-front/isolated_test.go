package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// putTeams stores a configuration in which the team "walled" is isolated or not, and waits until
// all routers have it.
func (c *cluster) putTeams(version int, isolated bool) {
	c.putConfiguration(version, func(config map[string]any) {
		for _, team := range config["tenants"].([]map[string]any) {
			if team["name"] == "walled" {
				team["isolated"] = isolated
			}
		}
	})
	for _, r := range c.routers {
		c.eventually("the router has the configuration", func() bool { return r.serves(version) })
	}
}

// namespaces returns the cache namespaces that a router's requests for the two teams get.
func (c *cluster) namespaces(r *testRouter, engine *platform.Endpoint) (open, walled string) {
	assertAllEvents(c.t, r.sendPrompt("o", "/ask/x"))
	assertAllEvents(c.t, r.sendPrompt("w", "/ask/x", "Authorization", "Token key-2"))
	executed := engine.ExecutedRequests()
	return executed[len(executed)-2].CacheNamespace, executed[len(executed)-1].CacheNamespace
}

// Guards against prompt parts that a team cached before it was isolated and that other teams
// still use, at routers that saw the change, that started after it and that have no store.
func TestPartsOfATeamThatIsIsolatedLaterAreNotUsed(t *testing.T) {
	c := newCluster(t)
	engine := c.startEndpoint(engineEndpoint("e1"))
	c.startEndpoint(appEndpoint("a1"))
	c.putTeams(1, false)
	first := c.startRouter()
	together, walled := c.namespaces(first, engine)
	assert.Equal(t, walled, together)
	c.putTeams(2, true)
	apart, own := c.namespaces(first, engine)
	assert.Assert(t, apart != together, "the parts of team walled stay in use")
	assert.Assert(t, own != together && own != apart)

	second := c.startRouter()
	open, walled := c.namespaces(second, engine)
	assert.Equal(t, open, apart, "a router that started after the change shares no parts with the others")
	assert.Equal(t, walled, own)

	second.storeProxy.MakeUnavailable()
	c.putTeams(3, false)
	for _, r := range c.routers {
		open, walled = c.namespaces(r, engine)
		assert.Equal(t, open, together)
		assert.Equal(t, walled, together)
	}
	copied := c.store.Copy()
	c.putTeams(4, true)
	c.store.Restore(copied)
	c.startRouter() // The copy of the store has the configuration before.
	for _, r := range c.routers {
		open, walled = c.namespaces(r, engine)
		assert.Equal(t, open, apart, "the same isolated teams as before find their parts again")
		assert.Equal(t, walled, own)
	}
}

// Guards against a retry in the namespace of a configuration that was replaced since the request
// arrived.
func TestRetryAfterATeamWasIsolatedUsesTheNewNamespace(t *testing.T) {
	c := newCluster(t)
	queued := engineEndpoint("e1")
	queued.Queue = make(chan struct{})
	c.startEndpoint(queued)
	c.startEndpoint(appEndpoint("a1"))
	c.putTeams(1, false)
	router := c.startRouter()
	answer := make(chan response, 1)
	go func() { answer <- router.sendPrompt("r1", "/ask/x") }()
	c.eventually("the request waits", func() bool { return len(queued.ExecutedRequests()) == 1 })
	next := c.startEndpoint(engineEndpoint("e2"))
	c.eventually("the router knows both engines", func() bool { return len(router.fleetView().EndpointsByService["llm"]) == 2 })
	c.putTeams(2, true)
	c.endpointServers["e1"].CloseClientConnections()
	assertAllEvents(t, <-answer)
	assert.Equal(t, len(next.ExecutedRequests()), 1)
	assert.Assert(t, next.ExecutedRequests()[0].CacheNamespace != queued.ExecutedRequests()[0].CacheNamespace)
}
