package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// startRepeatingEndpoint starts an endpoint that answers the first request with 503 and all later
// ones with 200. Before each other response on the connection of the first one it writes the
// refusal once more.
func startRepeatingEndpoint(t *testing.T) (address string, connections *atomic.Int32) {
	var requests atomic.Int32
	return startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
		refusal := ""
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			header := ""
			if id := request.Header.Get("Request-Id"); id != "" {
				header = "Request-Id: " + id + "\r\n"
			}
			response := refusal + "HTTP/1.1 200 OK\r\n" + header + "Content-Length: 1\r\n\r\n1"
			if requests.Add(1) == 1 {
				refusal = "HTTP/1.1 503 Service Unavailable\r\n" + header + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
				response = refusal
			}
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	})
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
			address, connections := startRepeatingEndpoint(t)
			for _, step := range []struct {
				id                  string
				status, connections int
			}{
				{"a", http.StatusServiceUnavailable, 1}, {"b", http.StatusOK, 1}, {"a", http.StatusOK, 2}, {"c", http.StatusOK, 2},
			} {
				status, err := send(client, address, http.MethodPost, step.id, maxConnections)
				assert.NilError(t, err)
				assert.Equal(t, status, step.status, step.id)
				assert.Equal(t, int(connections.Load()), step.connections, step.id)
			}
		})
	}
}

// Guards against a connection that remembers the requests it has carried without a bound.
func TestConnectionIsClosedAfterManyRequests(t *testing.T) {
	client := newClient()
	address, connections := startRepeatingEndpoint(t)
	for i := range maxRequestsPerConn + 1 {
		_, err := send(client, address, http.MethodPost, fmt.Sprint(i), 1)
		assert.NilError(t, err)
	}
	assert.Equal(t, connections.Load(), int32(2))
}

// Guards against taking the copy of an earlier response of the engine API, which bears no ID, for
// the response to an order: the order counts as refused, is carried out, and is sent again.
func TestOrderDoesNotGetTheResponseToAnEarlierCall(t *testing.T) {
	for _, earlier := range []string{http.MethodGet, http.MethodPost} {
		t.Run(earlier, func(t *testing.T) {
			client := newClient()
			address, connections := startRepeatingEndpoint(t)
			for _, step := range []struct {
				method, id          string
				status, connections int
			}{
				{earlier, "", http.StatusServiceUnavailable, 1}, {http.MethodPost, "", http.StatusOK, 2},
				{http.MethodPost, "a", http.StatusOK, 2}, {http.MethodGet, "", http.StatusOK, 2},
			} {
				status, err := send(client, address, step.method, step.id, 0)
				assert.NilError(t, err)
				assert.Equal(t, status, step.status, "%+v", step)
				assert.Equal(t, int(connections.Load()), step.connections, "%+v", step)
			}
		})
	}
}
