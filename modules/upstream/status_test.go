package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against statuses that are no response: one that is delivered as a response, one that is
// waited on as an informational response, and one whose body is read as the next response.
func TestImpossibleStatusIsNoResponse(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, rest := range map[string]string{
			"no body":                  "Request-Id: a\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
			"a response in the body":   "Request-Id: a\r\nContent-Length: 72\r\n\r\n" + inner,
			"a response after no body": "\r\n" + inner,
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				address, _ := startEndpoint(t, respondWith("HTTP/1.1 "+status+" X\r\n"+rest))
				assertNoResponse(t, address)
			})
		}
	}
	for name, response := range map[string]string{
		"another protocol":          "HTTP/2.0 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n",
		"informational with a body": "HTTP/1.1 103 Early Hints\r\nContent-Length: 72\r\n\r\n" + inner,
		"informational with chunks": "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n48\r\n" + inner + "\r\n0\r\n\r\n",
	} {
		t.Run("no response: "+name, func(t *testing.T) {
			address, _ := startEndpoint(t, respondWith(response))
			assertNoResponse(t, address)
		})
	}
}

// assertNoResponse fails the test unless the endpoint's response to request "a" is refused at once.
func assertNoResponse(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := newClient().Do(ctx, address, &Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, ID: "a"})
	assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
	assert.NilError(t, ctx.Err(), "the response is waited for")
	assert.Assert(t, !ConnectionLost(err), "%v", err)
}
