package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// Guards against a stream that is cut off because its only endpoint pauses it, as an engine does
// that lacks memory, for less time than callers wait.
func TestPausedStreamWithoutAnotherEndpointGoesOn(t *testing.T) {
	c := newCluster(t)
	only := engineEndpoint("only")
	only.StreamEvents, only.EventInterval = 3, 1600*time.Millisecond
	c.startEndpoint(only)
	r := c.startRouter().sendPrompt("paused", "/ask/x", "Deadline-Ms", "10000")
	assert.NilError(t, r.err)
	assert.DeepEqual(t, r.eventIDs(), []string{"1", "2", "3"})
	assert.Equal(t, only.ExecutionCount("paused"), 1)
}

// Guards against a request that is ended with a 504 while its only endpoint works on it.
func TestSlowRequestWithoutAnotherEndpointGoesOn(t *testing.T) {
	c := newCluster(t)
	c.startEndpoint(&platform.Endpoint{ID: "only", Service: "app", ResponseDelay: 1500 * time.Millisecond})
	r := c.startRouter().send("slow", http.MethodGet, "/look/x", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
}

// Guards against a caller that waits at an endpoint that hangs although another one has become
// available since its silence was noticed.
func TestSilentStreamMovesWhenAnotherEndpointComes(t *testing.T) {
	c := newCluster(t)
	hanging, sound := engineEndpoint("hanging"), engineEndpoint("sound")
	for _, e := range []*platform.Endpoint{hanging, sound} {
		e.SetWeightsVersion(1)
		server := httptest.NewServer(commentStream{e})
		t.Cleanup(server.Close)
		c.endpointServers[e.ID] = server
	}
	c.registerEndpoint(hanging, "ready")
	router := c.startRouter()
	done := make(chan response, 1)
	go func() { done <- router.sendPrompt("hung", "/ask/x") }()
	c.eventually("the silence is noticed", func() bool {
		return strings.Contains(getBody(router.adminURL+"/metrics"), `arbutus_silent_attempts_kept_total{reason="no_endpoint"} 1`)
	})
	c.registerEndpoint(sound, "ready")
	assertAllEvents(t, <-done)
	assert.Equal(t, sound.ExecutionCount("hung"), 1)
}
