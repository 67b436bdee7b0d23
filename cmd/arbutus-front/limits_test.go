package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/standin/platform"
)

// limitAllowance is the number of requests that an endpoint with a limit may get in a time,
// with some for routers that do not know the limit yet.
func limitAllowance(perSecond float64, elapsed time.Duration) float64 {
	return 1.5*perSecond*elapsed.Seconds() + 5
}

// Guards against routers that ignore, or each use up alone, the rate of requests that an
// endpoint takes from all routers together, and against refusals or delays for callers
// while another endpoint has no limit.
func TestEndpointLimitHoldsForAllRouters(t *testing.T) {
	const limit = 2
	c := newCluster(t)
	limited, free := c.startEndpoint(appEndpoint("limited")), c.startEndpoint(appEndpoint("free"))
	limited.SetResponseHeader("Server-Limit", "2.0")
	routers := []*testRouter{c.startRouter(), c.startRouter()}
	// A connection that a caller opened and did not need delays the stop of a router.
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	start := time.Now()
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for i := range 10 {
				got := routers[caller%len(routers)].send(fmt.Sprintf("r%d-%d", caller, i), http.MethodGet, "/look/x", "")
				assert.Check(t, got.err)
				assert.Check(t, got.status == http.StatusOK, "status %d", got.status)
			}
		})
	}
	callers.Wait()
	count := float64(len(limited.ExecutedRequests()))
	assert.Assert(t, count <= limitAllowance(limit, time.Since(start)), "%v requests in %v", count, time.Since(start))
	assert.Equal(t, len(limited.ExecutedRequests())+len(free.ExecutedRequests()), 80)
}

// Guards against a caller that waits, or is told nothing, when the limits of all endpoints
// are used up, and against a limit that holds on after the endpoint no longer states it.
func TestCallersAreToldWhenToReturnToLimitedEndpoints(t *testing.T) {
	c := newCluster(t)
	limited := c.startEndpoint(appEndpoint("limited"))
	limited.SetResponseHeader("Server-Limit", "0.4")
	router := c.startRouter()
	assert.Equal(t, router.send("first", http.MethodPost, "/post/x", "entry").status, http.StatusOK)
	refused := router.send("second", http.MethodPost, "/post/x", "entry")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, retryAfter > 0)
	assert.Equal(t, len(limited.ExecutedRequests()), 1)
	assert.Assert(t, c.logs.wasLogged("request refused because of endpoint limits"))
	limited.SetResponseHeader("Server-Limit", "")
	c.eventually("a request is sent again", func() bool {
		return router.send("third", http.MethodPost, "/post/x", "entry").status == http.StatusOK
	})
	for i := range 5 {
		assert.Equal(t, router.send(fmt.Sprintf("after-%d", i), http.MethodPost, "/post/x", "entry").status, http.StatusOK)
	}
}

// Guards against requests to an endpoint that refused one and asked this router to stay
// away for a time, and against callers that are told to return before that time.
func TestRouterKeepsAwayWhileAnEndpointAsksForIt(t *testing.T) {
	c := newCluster(t)
	busy := c.startEndpoint(appEndpoint("busy"))
	busy.SetResponseHeader("Retry-After", "600.5")
	busy.InjectFault(1, platform.FaultNotExecuted)
	router := c.startRouter()
	refused := router.send("refused", http.MethodPost, "/post/x", "entry")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, retryAfter > 1, "%v", retryAfter)
	free := c.startEndpoint(appEndpoint("free"))
	c.eventually("the other endpoint is used", func() bool {
		return router.send("first", http.MethodGet, "/look/x", "").status == http.StatusOK
	})
	for i := range 30 {
		assert.Equal(t, router.send(fmt.Sprintf("r%d", i), http.MethodGet, "/look/x", "").status, http.StatusOK)
		time.Sleep(10 * time.Millisecond) // Longer in all than the router's own backoff.
	}
	assert.Equal(t, len(busy.ExecutedRequests()), 0)
	assert.Equal(t, len(free.ExecutedRequests()), 31)
}

// Guards against a router that does not know the other routers yet and uses up an endpoint's
// limit alone.
func TestLimitIsNotUsedBeforeTheRoutersAreKnown(t *testing.T) {
	c := newCluster(t)
	limited := c.startEndpoint(appEndpoint("limited"))
	limited.SetResponseHeader("Server-Limit", "50")
	router := c.loadRouter()
	router.storeProxy.PauseKind(directory.KindRouters)
	t.Cleanup(router.storeProxy.ResumeRequests)
	assert.NilError(t, router.kernel.Start(context.Background()))
	c.eventually("the endpoint is known", func() bool {
		return router.send("first", http.MethodPost, "/post/x", "entry").status == http.StatusOK
	})
	for i := range 20 {
		assert.Equal(t, router.send(fmt.Sprintf("early-%d", i), http.MethodPost, "/post/x", "entry").status, http.StatusServiceUnavailable)
		time.Sleep(10 * time.Millisecond) // Several requests at the stated rate.
	}
	router.storeProxy.ResumeRequests()
	c.eventually("the limit is used", func() bool {
		return router.send("late", http.MethodPost, "/post/x", "entry").status == http.StatusOK
	})
}
