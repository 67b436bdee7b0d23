package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// Guards against the text or head of an error in the middle of a caller's stream, and
// against a stream that ends as if it were complete, after the stream broke off and the
// next endpoint answered with something else than its rest.
func TestErrorAfterAStreamHasBegunIsNotPartOfIt(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError, http.StatusOK} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := newCluster(t)
			broken, failing := c.startEndpoint(engineEndpoint("broken")), c.startEndpoint(engineEndpoint("failing"))
			router := c.startRouter()
			for _, e := range []*platform.Endpoint{broken, failing} {
				e.FailResumedStreams(status, "text/plain", "id: 99\nerror: no such stream\n\n")
				e.InjectFault(1, platform.FaultTruncatedResponse)
			}
			got := router.sendPrompt("r1", "/ask/x")
			assert.Assert(t, got.err != nil, "the stream ended as if it were complete: %q", got.body)
			assert.Assert(t, !strings.Contains(got.body, "error"), "%q", got.body)
			assert.Assert(t, !strings.Contains(got.body, "HTTP/"), "%q", got.body)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, len(broken.ExecutedRequests())+len(failing.ExecutedRequests()), 2)
		})
	}
}
