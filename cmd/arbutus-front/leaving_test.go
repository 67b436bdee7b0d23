package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/standin/platform"
)

// putEndpoint stores a ready entry of an endpoint that started at a time.
func (c *cluster) putEndpoint(e *platform.Endpoint, startedAtUnixMS int64) {
	entry := e.StoreEntry(strings.TrimPrefix(c.endpointServers[e.ID].URL, "http://"), "a", "ready")
	entry["born"] = startedAtUnixMS
	c.store.Put("servers", e.ID, entry)
}

// Guards against requests to an endpoint that has said in a response that it leaves while
// the store does not tell it, and against leaving out its successor with the same ID.
func TestEndpointThatSaysThatItLeavesGetsNoMoreRequests(t *testing.T) {
	c := newCluster(t)
	leaving := c.startEndpoint(appEndpoint("leaving"))
	c.putEndpoint(leaving, 1000)
	leaving.SetResponseHeader("Server-Leaving", "1")
	router := c.startRouter()
	assert.Equal(t, router.send("last", http.MethodGet, "/look/x", "").status, http.StatusOK)
	c.startEndpoint(appEndpoint("staying"))
	c.eventually("the other endpoint is known", func() bool { return router.fleetView().EndpointsByID["staying"] != nil })
	for i := range 20 {
		if i == 10 {
			// The endpoint writes its entry again and again; the router had it removed meanwhile.
			c.store.Remove("servers", "leaving")
			c.eventually("the endpoint is removed", func() bool { return router.fleetView().EndpointsByID["leaving"] == nil })
			c.putEndpoint(leaving, 1000)
			c.eventually("the endpoint is back", func() bool { return router.fleetView().EndpointsByID["leaving"] != nil })
		}
		assert.Equal(t, router.send(fmt.Sprintf("r%d", i), http.MethodGet, "/look/x", "").status, http.StatusOK)
	}
	assert.Equal(t, len(leaving.ExecutedRequests()), 1)
	leaving.SetResponseHeader("Server-Leaving", "")
	c.putEndpoint(leaving, 2000)
	c.eventually("the successor is used", func() bool {
		e := router.fleetView().EndpointsByID["leaving"]
		return e != nil && e.State == fleet.Ready
	})
}

// Guards against a router that reads of an engine's leaving only in responses to callers'
// requests, of which it may send none there.
func TestCacheEventsTellThatAnEngineLeaves(t *testing.T) {
	c := newCluster(t)
	engine := c.startEndpoint(engineEndpoint("e1"))
	router := c.startRouter()
	engine.SetResponseHeader("Server-Leaving", "1")
	c.eventually("the engine counts as draining", func() bool { return router.fleetView().EndpointsByID["e1"].State == fleet.Draining })
}
