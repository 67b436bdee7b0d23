package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// refusalStatuses tell callers that a request did not run and never will.
var refusalStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

func isRefusal(r response) bool {
	for _, s := range refusalStatuses {
		if r.status == s {
			return true
		}
	}
	return false
}

// sendTo sends a request to a route of the sample configuration, with a prompt if the route
// leads to engines.
func (r *testRouter) sendTo(id, path string, headers ...string) response {
	switch path {
	case "/look/x":
		return r.send(id, http.MethodGet, path, "", headers...)
	case "/post/x":
		return r.send(id, http.MethodPost, path, "entry", headers...)
	}
	return r.sendPrompt(id, path, headers...)
}

// Guards against a status that promises "not run" after an endpoint has run the request and
// answered with that status itself, on every kind of route and after every try.
func TestRefusalStatusOfAnEndpointThatRanTheRequestIsNotForwarded(t *testing.T) {
	c := newCluster(t)
	endpoints := []*platform.Endpoint{
		c.startEndpoint(appEndpoint("a1")), c.startEndpoint(appEndpoint("a2")),
		c.startEndpoint(engineEndpoint("e1")), c.startEndpoint(engineEndpoint("e2")),
	}
	router := c.startRouter()
	for _, path := range []string{"/post/x", "/look/x", "/ask/x", "/audit/x"} {
		for _, status := range refusalStatuses {
			for _, e := range endpoints {
				e.FailExecuted(status)
			}
			id := fmt.Sprintf("%s-%d", path[1:4], status)
			r := router.sendTo(id, path)
			executions := 0
			for _, e := range endpoints {
				executions += e.ExecutionCount(id)
			}
			assert.NilError(t, r.err, id)
			assert.Assert(t, executions > 0, "%s did not run", id)
			assert.Equal(t, r.status, http.StatusBadGateway, id)
			assert.Equal(t, r.header.Get("Server-Stamp"), "", "%s: the failure is the router's own", id)
			assert.Equal(t, r.header.Get("Request-Id"), id)
			for _, e := range endpoints {
				e.FailExecuted(0)
			}
		}
	}
}

// Guards against a refusal after an earlier try has run the request and the last one did not,
// or the other way round.
func TestRefusalAfterAnEarlierTryThatRanIsNotForwarded(t *testing.T) {
	for _, first := range []platform.Fault{platform.FaultNoResponse, platform.FaultTruncatedResponse, platform.FaultError, platform.FaultNotExecuted} {
		for _, status := range refusalStatuses {
			t.Run(fmt.Sprintf("%s then %d", first, status), func(t *testing.T) {
				c := newCluster(t)
				endpoints := []*platform.Endpoint{c.startEndpoint(appEndpoint("a1")), c.startEndpoint(appEndpoint("a2"))}
				router := c.startRouter()
				for _, e := range endpoints {
					e.FailExecuted(status)
				}
				for n, path := range []string{"/look/x", "/post/x"} {
					for _, e := range endpoints {
						e.InjectFault(0, "")
					}
					endpoints[n].InjectFault(1, first)
					id := fmt.Sprintf("r%d", n)
					r := router.sendTo(id, path)
					assert.NilError(t, r.err)
					executions := endpoints[0].ExecutionCount(id) + endpoints[1].ExecutionCount(id)
					assert.Assert(t, executions == 0 || !isRefusal(r), "%s: %d after %d runs", path, r.status, executions)
				}
			})
		}
	}
}

// Guards against taking an endpoint's refusal of a take-up for a run: a stream that the
// caller takes up is refused with a promise only if the engine did not run the take-up.
func TestTakenUpStreamIsNotRefusedAfterItRan(t *testing.T) {
	for _, status := range refusalStatuses {
		c := newCluster(t)
		engines := []*platform.Endpoint{c.startEndpoint(engineEndpoint("e1")), c.startEndpoint(engineEndpoint("e2"))}
		router := c.startRouter()
		assertAllEvents(t, router.sendPrompt("begun", "/ask/x"))
		for _, e := range engines {
			e.FailExecuted(status)
		}
		r := router.sendPrompt("taken-up", "/ask/x", "Last-Event-Id", "4", "Resumes", "begun")
		assert.NilError(t, r.err)
		executions := engines[0].ExecutionCount("taken-up") + engines[1].ExecutionCount("taken-up")
		assert.Assert(t, executions == 0 || !isRefusal(r), "%d after %d runs", r.status, executions)
	}
}

// Guards against a second run after a success that also states that the request did not run.
func TestSuccessThatStatesNotRunIsNoRefusal(t *testing.T) {
	c := newCluster(t)
	endpoints := []*platform.Endpoint{
		c.startEndpoint(appEndpoint("a1")), c.startEndpoint(appEndpoint("a2")),
		c.startEndpoint(engineEndpoint("e1")), c.startEndpoint(engineEndpoint("e2")),
	}
	for _, e := range endpoints {
		e.SetResponseHeader("Not-Executed", "1")
	}
	router := c.startRouter()
	for _, path := range []string{"/post/x", "/audit/x"} {
		r := router.sendTo(path, path)
		executions := 0
		for _, e := range endpoints {
			executions += e.ExecutionCount(path)
		}
		assert.NilError(t, r.err)
		assert.Equal(t, executions, 1, path)
		assert.Equal(t, r.status, http.StatusBadGateway, path)
	}
}

// Guards against a weights version of another endpoint at the address that counts as the one of the
// endpoint for which the request was meant.
func TestRefusalOfAnotherEndpointTellsNoWeightsVersion(t *testing.T) {
	c := newCluster(t)
	e := c.startEndpoint(engineEndpoint("e1"))
	e.SetResponseHeader("Weight-Versions", "99")
	gone := engineEndpoint("gone")
	gone.SetWeightsVersion(1)
	c.store.Put("servers", gone.ID, gone.StoreEntry(strings.TrimPrefix(c.endpointServers[e.ID].URL, "http://"), "a", "ready"))
	c.store.Put("servers", e.ID, e.StoreEntry(strings.TrimPrefix(c.endpointServers[e.ID].URL, "http://"), "b", "ready"))
	router := c.startRouter()
	c.eventually("the router knows both entries", func() bool { return len(router.fleetView().EndpointsByID) == 2 })
	assert.NilError(t, router.sendPrompt("r1", "/audit/x").err)
	assert.Assert(t, c.logs.wasLogged("attempt failed"), "the request was not sent to the predecessor")
	assert.Equal(t, router.fleetView().EndpointsByID[gone.ID].WeightsVersions["m"], uint64(1))
}
