package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// onceRoutes are the routes whose requests may run once, with the endpoints that run them.
var onceRoutes = map[string]func(id string) *platform.Endpoint{"/post/x": appEndpoint, "/audit/x": engineEndpoint}

// newRepeatingPair starts a router and two endpoints, which repeat their refusals.
func newRepeatingPair(t *testing.T, newEndpoint func(id string) *platform.Endpoint) (c *cluster, router *testRouter, endpoints [2]*platform.Endpoint) {
	c = newCluster(t)
	for i := range endpoints {
		endpoints[i] = c.startEndpoint(newEndpoint(fmt.Sprintf("a%d", i+1)))
		endpoints[i].RepeatRefusals(true)
		endpoints[i].ResponseDelay = 20 * time.Millisecond
	}
	return c, c.startRouter(), endpoints
}

// assertRanOnceAtMost fails the test if the request ran more than once or was refused although it
// ran.
func assertRanOnceAtMost(t *testing.T, r response, id string, endpoints [2]*platform.Endpoint) {
	t.Helper()
	assert.NilError(t, r.err)
	executions := endpoints[0].ExecutionCount(id) + endpoints[1].ExecutionCount(id)
	assert.Assert(t, executions <= 1, "%s ran %d times", id, executions)
	assert.Assert(t, executions == 0 || !isRefusal(r), "%s: %d after it ran", id, r.status)
}

// Guards against a second run of a request whose endpoint has two entries, one of them that of its
// predecessor at the same address: the endpoint refuses the first attempt and writes the refusal
// once more while it runs the second one.
func TestRequestRefusedForThePredecessorRunsOnce(t *testing.T) {
	for path, newEndpoint := range onceRoutes {
		t.Run(path, func(t *testing.T) {
			c, router, endpoints := newRepeatingPair(t, newEndpoint)
			for _, e := range endpoints {
				// Predecessors are nearer, so that requests are sent to them first.
				c.store.Put("servers", e.ID, e.StoreEntry(strings.TrimPrefix(c.endpointServers[e.ID].URL, "http://"), "b", "ready"))
			}
			for i := range 8 {
				// The entry of a new predecessor, which has no record of failures.
				predecessor := newEndpoint(fmt.Sprintf("gone-%d", i))
				predecessor.SetWeightsVersion(endpoints[0].WeightsVersion())
				c.endpointServers[predecessor.ID] = c.endpointServers[endpoints[0].ID]
				c.registerEndpoint(predecessor, "ready")
				c.eventually("the router knows the entry", func() bool { return router.fleetView().EndpointsByID[predecessor.ID] != nil })
				id := fmt.Sprintf("r%d", i)
				// No endpoint is preferred for a prompt without shared parts.
				r := router.sendTo(id, path, "Prefix-Hash", fmt.Sprintf("%x:1460", 0xe4402b7d+i))
				assertRanOnceAtMost(t, r, id, endpoints)
				c.store.Remove("servers", predecessor.ID)
				c.eventually("the router knows that the entry is gone", func() bool { return router.fleetView().EndpointsByID[predecessor.ID] == nil })
			}
			assert.Assert(t, c.logs.wasLogged("attempt failed"), "no request was sent to a predecessor")
		})
	}
}

// Guards against a second run, and against a refusal of a request that runs, when a caller sends
// the ID of a refused request again.
func TestRefusedRequestThatIsSentAgainRunsOnce(t *testing.T) {
	for path, newEndpoint := range onceRoutes {
		t.Run(path, func(t *testing.T) {
			_, router, endpoints := newRepeatingPair(t, newEndpoint)
			sentAgain := 0
			for i := range 8 {
				id := fmt.Sprintf("r%d", i)
				for _, e := range endpoints {
					e.InjectFault(1, platform.FaultNotExecuted)
				}
				r := router.sendTo(id, path)
				assertRanOnceAtMost(t, r, id, endpoints)
				if r.status != http.StatusServiceUnavailable {
					continue // The endpoints were suspended for their refusals.
				}
				for _, e := range endpoints {
					e.InjectFault(0, "")
				}
				assertRanOnceAtMost(t, router.sendTo(id, path), id, endpoints)
				sentAgain++
			}
			assert.Assert(t, sentAgain > 0, "no request was refused")
		})
	}
}
