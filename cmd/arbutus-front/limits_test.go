package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
