package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/standin/repeating"
)

// startRepeating starts an endpoint that repeats its refusal.
func startRepeating(t *testing.T) *repeating.Endpoint {
	e, err := repeating.Start(platform.HeaderNotExecuted, "1")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// send sends a request and returns the status of its response.
func send(c *Client, address, method, id string, maxConnections int) (int, error) {
	r := &Request{Method: method, URI: "/x", Host: "h", Header: http.Header{}, ID: id, MaxConnections: maxConnections}
	if id != "" {
		r.Header.Set("Request-Id", id)
	}
	response, err := c.Do(context.Background(), address, r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.Status, errors.CombineErrors(err, response.Body.Close())
}

// Guards against taking the copy of a refusal for the response to the same request, sent again: it
// runs, and would be sent to another endpoint, too. Other requests use the connection.
func TestRequestIsNotSentAgainOnItsConnection(t *testing.T) {
	for name, maxConnections := range map[string]int{"no limit": 0, "one connection allowed": 1} {
		t.Run(name, func(t *testing.T) {
			client := newClient()
			endpoint := startRepeating(t)
			for _, step := range []struct {
				id                  string
				status, connections int
			}{
				{"a", http.StatusServiceUnavailable, 1}, {"b", http.StatusOK, 1}, {"a", http.StatusOK, 2}, {"c", http.StatusOK, 2},
			} {
				status, err := send(client, endpoint.Address(), http.MethodPost, step.id, maxConnections)
				assert.NilError(t, err)
				assert.Equal(t, status, step.status, step.id)
				assert.Equal(t, endpoint.Connections(), step.connections, step.id)
			}
		})
	}
}

// Guards against a connection that remembers the requests it has carried without a bound.
func TestConnectionIsClosedAfterManyRequests(t *testing.T) {
	client := newClient()
	endpoint := startRepeating(t)
	for i := range maxRequestsPerConn + 1 {
		_, err := send(client, endpoint.Address(), http.MethodPost, fmt.Sprint(i), 1)
		assert.NilError(t, err)
	}
	assert.Equal(t, endpoint.Connections(), 2)
}

// Guards against taking the copy of an earlier response of the engine API, which bears no ID, for
// the response to an order: the order counts as refused, is carried out, and is sent again.
func TestOrderDoesNotGetTheResponseToAnEarlierCall(t *testing.T) {
	for _, earlier := range []string{http.MethodGet, http.MethodPost} {
		t.Run(earlier, func(t *testing.T) {
			client := newClient()
			endpoint := startRepeating(t)
			for _, step := range []struct {
				method, id          string
				status, connections int
			}{
				{earlier, "", http.StatusServiceUnavailable, 1}, {http.MethodPost, "", http.StatusOK, 2},
				{http.MethodPost, "a", http.StatusOK, 2}, {http.MethodGet, "", http.StatusOK, 2},
			} {
				status, err := send(client, endpoint.Address(), step.method, step.id, 0)
				assert.NilError(t, err)
				assert.Equal(t, status, step.status, "%+v", step)
				assert.Equal(t, endpoint.Connections(), step.connections, "%+v", step)
			}
		})
	}
}

// Guards against reading the body of a late response as the next response: after a HEAD request, and
// before one, the length that a response states says nothing of the bytes that follow.
func TestConnectionCarriesNothingBesideAHeadRequest(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n"
	late := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: %d\r\n\r\n", len(inner))
	for _, methods := range [][2]string{{http.MethodGet, http.MethodHead}, {http.MethodHead, http.MethodGet}} {
		t.Run(methods[0]+" "+methods[1], func(t *testing.T) {
			address, connections := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
				for text := ""; ; text = late + inner {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 404 X\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", text, request.Header.Get("Request-Id"))
				}
			})
			client := newClient()
			_, err := send(client, address, methods[0], "a", 0)
			assert.NilError(t, err)
			status, err := send(client, address, methods[1], "b", 0)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusNotFound, "a part of another response was taken")
			assert.Equal(t, connections.Load(), int32(2))
		})
	}
}

// Guards against a response with two IDs, which is not known to belong to the request.
func TestResponseWithTwoIDsIsNotTaken(t *testing.T) {
	for _, ids := range []string{"Request-Id: a\r\nRequest-Id: b\r\n", "Request-Id: b\r\nRequest-Id: a\r\n", "Request-Id: a\r\nRequest-Id: a\r\n"} {
		address, _ := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\n"+ids+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			}
		})
		status, err := send(newClient(), address, http.MethodPost, "a", 0)
		assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%d %v", status, err)
	}
}
