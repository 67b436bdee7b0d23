package main

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that waits in an engine's queue until the engine's weights
// have been superseded for too long, and begins then.
func TestRequestThatWaitsOnExpiredWeightsIsWithdrawn(t *testing.T) {
	c := newCluster(t)
	c.relaySettings = `"weights_deadline": "1s"`
	engine := engineEndpoint("engine-1")
	engine.Queue = make(chan struct{})
	c.startEndpoint(engine)
	router := c.startRouter()
	responses := make(chan response, 1)
	go func() { responses <- router.sendPrompt("waiting", "/audit/x") }()
	c.eventually("the request has reached the engine", func() bool { return engine.ExecutionCount("waiting") == 1 })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	r := <-responses
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusBadGateway, "the request may have run")
	c.eventually("the engine has loaded the weights", func() bool { return engine.WeightsVersion() == 2 })
	assert.Equal(t, engine.BegunStreams(), 0)
	close(engine.Queue)
	c.eventually("requests are served again", func() bool { return router.sendPrompt("next", "/audit/x").status == http.StatusOK })
}

// Guards against engines that load a superseded version because a newer one was
// published while their change was being prepared: each then needed a second load.
func TestChangeInPreparationLoadsTheLatestWeights(t *testing.T) {
	c := newCluster(t)
	engine := engineEndpoint("engine-1")
	engine.Queue = make(chan struct{})
	c.startEndpoint(engine)
	router := c.startRouter()
	responses := make(chan response, 1)
	go func() { responses <- router.sendPrompt("long", "/audit/x") }()
	c.eventually("the request has reached the engine", func() bool { return engine.ExecutionCount("long") == 1 })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	c.eventually("the change to version 2 is prepared", func() bool { return c.logs.wasLogged("weights change started") })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 3})
	c.eventually("version 3 is known", func() bool { return router.fleetView().LatestWeightsVersions["m"] == 3 })
	close(engine.Queue)
	assert.Equal(t, (<-responses).status, http.StatusOK)
	c.eventually("the engine has loaded the weights", func() bool { return engine.WeightsVersion() == 3 })
	for _, version := range engine.OrderVersions() {
		assert.Equal(t, version, uint64(3))
	}
}
