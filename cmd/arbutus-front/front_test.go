package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

func appEndpoint(id string) *platform.Endpoint { return &platform.Endpoint{ID: id, Service: "app"} }

func engineEndpoint(id string) *platform.Endpoint {
	return &platform.Endpoint{ID: id, Service: "llm", Model: "m", StreamEvents: 10, EventInterval: time.Millisecond, WeightsLoadTime: 50 * time.Millisecond}
}

// assertAllEvents fails the test unless the response is a complete stream of 10 events.
func assertAllEvents(t *testing.T, r response) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	events := r.eventIDs()
	assert.Equal(t, len(events), 10, "%v", events)
	for i, id := range events {
		assert.Equal(t, id, strconv.Itoa(i+1))
	}
}

// Guards against a response that is not the endpoint's own, with its server stamp, and
// against a request that reaches the endpoint without its team, deadline or cache
// namespace. Endpoints receive the team of a request, never its API key.
func TestServesAllKindsOfRoute(t *testing.T) {
	c := newCluster(t)
	app, engine := c.startEndpoint(appEndpoint("a1")), c.startEndpoint(engineEndpoint("e1"))
	router := c.startRouter()
	r := router.send("r1", http.MethodPost, "/post/x?q=1", "entry")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "answer to r1")
	assert.Equal(t, r.header.Get("Server-Stamp"), "a1.r1")
	executed := app.ExecutedRequests()[0]
	assert.Equal(t, executed.Team, "open")
	assert.Equal(t, executed.URI, "/post/x?q=1")
	assert.Equal(t, executed.Body, "entry")
	remainingMS, err := strconv.Atoi(executed.DeadlineMS)
	assert.NilError(t, err)
	assert.Assert(t, remainingMS > 0 && remainingMS <= 5000)
	assertAllEvents(t, router.sendPrompt("r2", "/ask/x"))
	// The team "walled" is isolated, so that the other teams' namespace is not the one that
	// all teams share.
	assert.Assert(t, strings.HasPrefix(engine.ExecutedRequests()[0].CacheNamespace, "1/*"))
	assertAllEvents(t, router.sendPrompt("r3", "/ask/x", "Authorization", "Token key-2"))
	assert.Equal(t, engine.ExecutedRequests()[1].CacheNamespace, "1/walled")
}

// Guards against running a request that has no valid key, route or deadline.
func TestRefusesUnauthorizedAndInvalidRequests(t *testing.T) {
	c := newCluster(t)
	app := c.startEndpoint(appEndpoint("a1"))
	router := c.startRouter()
	assert.Equal(t, router.send("r1", http.MethodGet, "/look/x", "", "Authorization", "Token nobody").status, http.StatusUnauthorized)
	assert.Equal(t, router.send("r2", http.MethodGet, "/elsewhere/x", "").status, http.StatusNotFound)
	assert.Equal(t, router.send("r3", http.MethodGet, "/look/x", "", "Deadline-Ms", "soon").status, http.StatusBadRequest)
	assert.Equal(t, len(app.ExecutedRequests()), 0)
}

// Guards against running a non-idempotent request twice after its endpoint failed, and
// against a 503 response to a request that has run.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	c := newCluster(t)
	endpoints := []*platform.Endpoint{c.startEndpoint(appEndpoint("a1")), c.startEndpoint(appEndpoint("a2"))}
	router := c.startRouter()
	for i, fault := range []platform.Fault{platform.FaultNoResponse, platform.FaultTruncatedResponse, platform.FaultError, platform.FaultNotExecuted} {
		for _, e := range endpoints {
			e.InjectFault(1, fault)
		}
		id := fmt.Sprintf("r%d", i)
		r := router.send(id, http.MethodPost, "/post/x", "entry")
		executions := endpoints[0].ExecutionCount(id) + endpoints[1].ExecutionCount(id)
		assert.NilError(t, r.err)
		assert.Assert(t, executions <= 1, "%s: ran %d times", fault, executions)
		if r.status == http.StatusServiceUnavailable {
			assert.Equal(t, executions, 0, "%s: refused although it ran", fault)
		}
		for _, e := range endpoints {
			e.InjectFault(0, "")
		}
	}
}

// Guards against failing an idempotent request when only one of two endpoints fails.
func TestIdempotentRequestsAreRetried(t *testing.T) {
	c := newCluster(t)
	a1, a2 := c.startEndpoint(appEndpoint("a1")), c.startEndpoint(appEndpoint("a2"))
	router := c.startRouter()
	for i, fault := range []platform.Fault{platform.FaultNoResponse, platform.FaultTruncatedResponse, platform.FaultError, platform.FaultNotExecuted} {
		a1.InjectFault(1, fault)
		a2.InjectFault(0, "")
		for n := range 4 {
			r := router.send(fmt.Sprintf("r%d-%d", i, n), http.MethodGet, "/look/x", "")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusOK, "%s", fault)
		}
	}
}

// Guards against forwarding the response to another request when the endpoint sends that
// response first.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1")).InjectFault(1, platform.FaultForeignResponse)
	router := c.startRouter()
	r := router.send("r1", http.MethodGet, "/look/x", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, "answer to r1")
}

// Guards against a missing, repeated or partial event when the endpoint of a resumable
// stream fails within an event and another endpoint continues the stream in the same
// response. Also guards against a truncated stream that must not be repeated but looks
// complete to the caller.
func TestResumableStreamContinuesOnAnotherEndpoint(t *testing.T) {
	c := newCluster(t)
	e1, e2 := c.startEndpoint(engineEndpoint("e1")), c.startEndpoint(engineEndpoint("e2"))
	router := c.startRouter()
	e1.InjectFault(1, platform.FaultTruncatedResponse)
	e2.InjectFault(1, platform.FaultTruncatedResponse)
	assertAllEvents(t, router.sendPrompt("r0", "/ask/x"))
	e1.InjectFault(0, "")
	e2.InjectFault(0, "")
	e1.InjectFault(1, platform.FaultTruncatedResponse)
	e2.InjectFault(1, platform.FaultTruncatedResponse)
	r := router.sendPrompt("r1", "/audit/x")
	assert.Assert(t, r.err != nil, "a truncated stream looks complete")
	assert.Equal(t, e1.ExecutionCount("r1")+e2.ExecutionCount("r1"), 1)
}

// Guards against a weights change that does not reach every engine, that several routers
// order at once with decreasing fencing tokens, or that interrupts streams.
func TestWeightsChangeUnderLoad(t *testing.T) {
	c := newCluster(t)
	engines := []*platform.Endpoint{c.startEndpoint(engineEndpoint("e1")), c.startEndpoint(engineEndpoint("e2")), c.startEndpoint(engineEndpoint("e3"))}
	routers := []*testRouter{c.startRouter(), c.startRouter()}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				r := routers[i%2].sendPrompt(fmt.Sprintf("c%d-%d", i, n), "/ask/x")
				if r.status != http.StatusServiceUnavailable {
					assertAllEvents(t, r)
				}
			}
		})
	}
	for version := 2; version <= 3; version++ {
		c.store.Put("versions", "m", map[string]any{"model": "m", "version": version})
		c.eventually("all engines have the version", func() bool {
			for _, e := range engines {
				if e.WeightsVersion() != uint64(version) {
					return false
				}
			}
			return true
		})
	}
	close(stop)
	callers.Wait()
	domains := map[string]bool{}
	for _, e := range engines {
		fencingTokens := e.OrderFencingTokens()
		for i := 1; i < len(fencingTokens); i++ {
			assert.Assert(t, fencingTokens[i] >= fencingTokens[i-1], "fencing tokens %v", fencingTokens)
		}
		for _, r := range e.ExecutedRequests() {
			version, domain, _ := strings.Cut(r.CacheNamespace, "/")
			assert.Equal(t, version, strconv.FormatUint(r.WeightsVersion, 10), "cache namespace of other weights")
			domains[domain] = true
		}
	}
	assert.Equal(t, len(domains), 1, "cache namespaces of one team besides the weights: %v", domains)
}

// Guards against trusting the weights version in an engine's store entry: if the engine
// has another version, it would refuse every request. The router must ask the engine.
func TestEngineWithWeightsUnlikeItsStoreEntryIsUsed(t *testing.T) {
	c := newCluster(t)
	e := c.startEndpoint(engineEndpoint("e1"))
	router := c.startRouter()
	e.SetWeightsVersion(2)
	c.eventually("the engine is used with the weights that it has", func() bool {
		return router.sendPrompt("r", "/ask/x").status == http.StatusOK
	})
}

// Guards against a router that starts later and uses old weights longer than allowed,
// because it does not know when they were superseded. The store holds the newest version
// only.
func TestLaterRouterLearnsWhenWeightsWereSuperseded(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1"))
	first := c.startRouter()
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	c.eventually("the version is known", func() bool { return first.fleetView().LatestWeightsVersions["m"] == 2 })
	c.store.Put("versions", "m", map[string]any{"model": "m", "version": 3})
	c.eventually("the next version is known", func() bool { return first.fleetView().LatestWeightsVersions["m"] == 3 })
	time.Sleep(500 * time.Millisecond)
	later := c.startRouter()
	wantTime, _ := first.fleetView().SupersededAt("m", 1)
	c.eventually("the later router knows when the weights were superseded", func() bool {
		got, old := later.fleetView().SupersededAt("m", 1)
		return old && got.Sub(wantTime).Abs() < 300*time.Millisecond
	})
}

// Guards against a router that cannot reach the store and keeps an old configuration or
// uses a draining endpoint, although the other routers have the new state.
func TestRouterWithoutStoreLearnsFromOtherRouters(t *testing.T) {
	c := newCluster(t)
	a1, a2 := c.startEndpoint(appEndpoint("a1")), c.startEndpoint(appEndpoint("a2"))
	first, isolated := c.startRouter(), c.startRouter()
	c.eventually("routers know each other", func() bool { return c.store.RequestCount(http.MethodPost, "arbutus-routers") >= 2 })
	isolated.storeProxy.MakeUnavailable()
	c.putConfiguration(2, func(config map[string]any) {
		config["tenants"] = []map[string]any{{"name": "open", "api_keys": []string{"key-new"}}}
	})
	c.registerEndpoint(a1, "draining")
	c.eventually("the key is refused", func() bool {
		return isolated.send("k", http.MethodGet, "/look/x", "").status == http.StatusUnauthorized
	})
	assert.Equal(t, first.send("k2", http.MethodGet, "/look/x", "").status, http.StatusUnauthorized)
	c.eventually("the draining endpoint gets no requests", func() bool {
		before := len(a1.ExecutedRequests())
		for i := range 4 {
			isolated.send(fmt.Sprintf("d%d", i), http.MethodGet, "/look/x", "", "Authorization", "Token key-new")
		}
		return len(a1.ExecutedRequests()) == before && len(a2.ExecutedRequests()) > 0
	})
}

// Guards against missing a change that was made while the store dropped its history: a
// pending watch receives no event for this change.
func TestChangeIsFoundAfterTheHistoryIsDropped(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1"))
	router := c.startRouter()
	c.store.ChangeWithoutEvents(func() {
		c.putConfiguration(2, func(config map[string]any) {
			config["tenants"] = []map[string]any{{"name": "open", "api_keys": []string{"key-new"}}}
		})
	})
	c.eventually("the new configuration is in force", func() bool {
		return router.send("r", http.MethodGet, "/look/x", "").status == http.StatusUnauthorized
	})
}

// Guards against a graceful shutdown that interrupts a running stream, and against a
// stopped router whose readiness check still succeeds.
func TestShutdownInterruptsNoStream(t *testing.T) {
	c := newCluster(t)
	slow := engineEndpoint("e1")
	slow.EventInterval = 60 * time.Millisecond
	c.startEndpoint(slow)
	router := c.startRouter()
	responses := make(chan response, 1)
	go func() { responses <- router.sendPrompt("r1", "/audit/x") }()
	c.eventually("the stream runs", func() bool { return len(slow.ExecutedRequests()) == 1 })
	router.stop(t)
	assertAllEvents(t, <-responses)
	assert.Equal(t, getStatus(router.adminURL+"/readyz"), 0)
}

// Guards against sending a request to a fourth endpoint after it broke the connections of
// three endpoints.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	c := newCluster(t)
	endpoints := []*platform.Endpoint{c.startEndpoint(appEndpoint("a1")), c.startEndpoint(appEndpoint("a2")), c.startEndpoint(appEndpoint("a3")), c.startEndpoint(appEndpoint("a4"))}
	router := c.startRouter()
	for _, e := range endpoints {
		e.InjectFault(100, platform.FaultNoResponse)
	}
	for i := range 5 {
		router.send(fmt.Sprintf("r%d", i), http.MethodGet, "/look/deadly", "")
	}
	executions := 0
	for _, e := range endpoints {
		executions += len(e.ExecutedRequests())
	}
	assert.Assert(t, executions <= 3, "reached endpoints %d times", executions)
}

// Guards against refusing a sound request as one that crashes endpoints: three engines
// that crashed while they sent its stream had begun it without crashing.
func TestStreamsInterruptedByCrashesAreNotRefused(t *testing.T) {
	c := newCluster(t)
	engines := []*platform.Endpoint{c.startEndpoint(engineEndpoint("e1"))}
	router := c.startRouter()
	for _, id := range []string{"e2", "e3", "e4"} {
		last := engines[len(engines)-1]
		last.InjectFault(1, platform.FaultTruncatedResponse)
		r := router.sendPrompt("cut-at-"+last.ID, "/audit/x")
		assert.Assert(t, r.err != nil, "the stream ends early")
		c.registerEndpoint(last, "draining")
		engines = append(engines, c.startEndpoint(engineEndpoint(id)))
		c.eventually("the next engine is known", func() bool { return router.fleetView().EndpointsByID[id] != nil })
	}
	assertAllEvents(t, router.sendPrompt("next", "/audit/x"))
}

// Guards against a router that stays unregistered, and so unknown to the other routers,
// after the response to its registration was lost.
func TestRegistrationSurvivesLostResponse(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1"))
	c.store.LoseWriteResponses(1)
	c.startRouter()
	c.eventually("the registration is repeated", func() bool { return c.store.RequestCount(http.MethodPut, "arbutus-routers") > 0 })
}

// Guards against refusing a request that arrives before the first configuration, as after
// a power failure, although its deadline leaves time to wait.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(appEndpoint("a1"))
	router := c.loadRouter()
	// The router does not receive its configuration before the request has arrived.
	router.storeProxy.PauseRequests()
	defer router.storeProxy.ResumeRequests()
	assert.NilError(t, router.kernel.Start(context.Background()))
	responses := make(chan response)
	go func() { responses <- router.send("r1", http.MethodGet, "/look/x", "") }()
	c.eventually("the request has arrived", func() bool {
		return strings.Contains(getBody(router.adminURL+"/metrics"), "arbutus_ingress_requests_in_flight 1")
	})
	router.storeProxy.ResumeRequests()
	r := <-responses
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
}
