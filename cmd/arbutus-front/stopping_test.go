package main

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopWithin stops the router as the platform does, with a time limit.
func (r *testRouter) stopWithin(limit time.Duration) (stopped chan struct{}) {
	stopped = make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_ = r.kernel.Stop(ctx) // Requests that are cut show in the responses.
		close(stopped)
	}()
	return stopped
}

// Guards against requests that are taken late in a planned stop, sent on and then cut without
// an answer, among them ones that may not be repeated: what cannot end in time must be
// refused as not run, and what has been sent must get an answer.
func TestPlannedStopAnswersAllRequests(t *testing.T) {
	c := newCluster(t)
	c.linger = "2s"
	slow := appEndpoint("a1")
	slow.ResponseDelay = 800 * time.Millisecond
	c.startEndpoint(slow)
	engine := engineEndpoint("e1")
	engine.StreamEvents, engine.EventInterval = 30, 50*time.Millisecond
	c.startEndpoint(engine)
	router := c.startRouter()
	assert.Equal(t, router.sendPrompt("usual", "/audit/x").status, http.StatusOK)
	assert.Equal(t, router.send("usual-post", http.MethodPost, "/post/x", "entry").status, http.StatusOK)

	stopped := router.stopWithin(2500 * time.Millisecond)
	var requests sync.WaitGroup
	requests.Go(func() {
		early := router.send("early", http.MethodGet, "/look/x", "")
		assert.Check(t, early.err)
		assert.Check(t, early.status == http.StatusOK, "status %d of a request that ends in time", early.status)
	})
	time.Sleep(1600 * time.Millisecond)
	for _, path := range []string{"/post/x", "/look/x"} {
		requests.Go(func() {
			late := router.send("late"+path, http.MethodPost, path, "entry")
			assert.Check(t, late.err, "%s was cut", path)
			assert.Check(t, late.status == http.StatusServiceUnavailable, "status %d of %s", late.status, path)
		})
	}
	requests.Go(func() {
		late := router.sendPrompt("late-stream", "/audit/x")
		assert.Check(t, late.err, "the stream was cut")
		assert.Check(t, late.status == http.StatusServiceUnavailable, "status %d of a stream", late.status)
	})
	requests.Wait()
	<-stopped
	assert.Equal(t, slow.ExecutionCount("late/post/x")+slow.ExecutionCount("late/look/x")+engine.ExecutionCount("late-stream"), 0)
}

// Guards against a request that an endpoint does not answer until the end of a planned stop
// and that is cut then without a word.
func TestRequestThatRunsUntilTheEndOfAStopGetsAnAnswer(t *testing.T) {
	c := newCluster(t)
	c.linger = "200ms"
	stuck := appEndpoint("a1")
	stuck.ResponseDelay = 30 * time.Second
	c.startEndpoint(stuck)
	router := c.startRouter()
	var requests sync.WaitGroup
	requests.Go(func() {
		r := router.send("stuck", http.MethodPost, "/post/x", "entry")
		assert.Check(t, r.err)
		assert.Check(t, r.status == http.StatusGatewayTimeout, "status %d", r.status)
	})
	c.eventually("the request runs", func() bool { return stuck.ExecutionCount("stuck") == 1 })
	<-router.stopWithin(1500 * time.Millisecond)
	requests.Wait()
}
