package main

import (
	"fmt"
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

// Guards against streams that are cut off because more of them are moved for a change of weights
// than the other engines take: two engines prepare for it, and all slots are in use.
func TestChangeOfWeightsMovesNoMoreStreamsThanFitElsewhere(t *testing.T) {
	for _, streams := range []int{24, 20} {
		t.Run(fmt.Sprintf("%d of 24 slots in use", streams), func(t *testing.T) {
			c := newCluster(t)
			for i := range 3 {
				e := engineEndpoint(fmt.Sprintf("e%d", i))
				e.StreamEvents, e.EventInterval = 40, 100*time.Millisecond
				c.startEndpoint(e)
			}
			router := c.startRouter()
			loaded := func(version uint64) func() bool {
				return func() bool {
					for _, e := range c.engines {
						c.registerEndpoint(e, "ready")
						if e.WeightsVersion() != version {
							return false
						}
					}
					return true
				}
			}
			c.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
			c.eventually("all engines have the first weights", loaded(2))
			done := make(chan response, streams)
			for i := range streams {
				id := fmt.Sprintf("s%d", i)
				go func() { done <- router.sendPrompt(id, "/ask/x", "Prefix-Hash", promptParts(id)) }()
				c.eventually("the stream runs", func() bool {
					return c.engines[0].ExecutionCount(id)+c.engines[1].ExecutionCount(id)+c.engines[2].ExecutionCount(id) > 0
				})
			}
			c.store.Put("versions", "m", map[string]any{"model": "m", "version": 3})
			for range streams {
				r := <-done
				assert.Check(t, r.err)
				assert.Check(t, len(r.eventIDs()) == 40, "%v", r.eventIDs())
			}
			c.eventually("all engines have the next weights", loaded(3))
		})
	}
}
