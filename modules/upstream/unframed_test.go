package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against taking a response that has neither a length nor chunks for complete when
// its connection is reset, for incomplete when its connection is closed, and against using
// that connection again.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		header string
		reset  bool
	}{
		"closed":                           {},
		"closed, announced":                {header: "Connection: close\r\n"},
		"closed, announced as kept open":   {header: "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n"},
		"reset":                            {reset: true},
		"reset, announced to be closed":    {header: "Connection: close\r\n", reset: true},
		"reset, announced to be kept open": {header: "Connection: keep-alive\r\n", reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{}, 1)
			address, connections := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"+test.header+"\r\nabcd")
				if test.reset {
					<-received
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			c := newClient()
			response, err := c.Do(t.Context(), address, &Request{
				Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, ID: "a",
			})
			assert.NilError(t, err)
			first := make([]byte, 4)
			_, err = io.ReadFull(response.Body, first)
			assert.NilError(t, err)
			assert.Equal(t, string(first), "abcd")
			received <- struct{}{}
			rest, err := io.ReadAll(response.Body)
			assert.Equal(t, len(rest), 0)
			if test.reset {
				assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
			} else {
				assert.NilError(t, err)
			}
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, connections.Load(), int32(1))
			assert.Equal(t, len(c.pools), 0)
		})
	}
}

// uploadBytes is more than the buffers of both sockets hold.
const uploadBytes = 8 << 20

// Guards against taking a part of a response without a length for the whole one: the endpoint
// answers early and resets the connection, and the goroutine that writes the body receives the reset.
func TestResetDuringTheUploadDoesNotEndAResponse(t *testing.T) {
	body := make([]byte, uploadBytes)
	for range 40 {
		address, _ := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\n\r\nabcd")
			time.Sleep(20 * time.Millisecond) // A reset that overtakes the head is an error in any case.
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		response, err := newClient().Do(t.Context(), address, &Request{
			Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, ID: "a", Body: body,
		})
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%q is taken for the whole body: %v", text, err)
		assert.Assert(t, ConnectionLost(err), "%v", err)
		assert.NilError(t, response.Body.Close())
	}
}

// Guards against losing an early response without a length whose endpoint reads the rest of the
// request before it closes the connection.
func TestEarlyResponseThatEndsInOrderIsWhole(t *testing.T) {
	address, _ := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nabcd")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond) // The client reaches the end before the body is read.
		_, _ = io.Copy(io.Discard, request.Body)
	})
	response, err := newClient().Do(t.Context(), address, &Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, ID: "a", Body: make([]byte, uploadBytes),
	})
	assert.NilError(t, err)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "abcd")
	assert.NilError(t, response.Body.Close())
}
