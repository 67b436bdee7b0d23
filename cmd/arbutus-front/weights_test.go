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
	close(engine.Queue)
	c.eventually("the engine has loaded the weights", func() bool { return engine.WeightsVersion() == 2 })
	assert.Equal(t, engine.BegunStreams(), 0)
	c.eventually("requests are served again", func() bool { return router.sendPrompt("next", "/audit/x").status == http.StatusOK })
}
