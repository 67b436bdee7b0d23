package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/settings"
)

// Guards against descriptors that stay in use for connections to endpoints that are gone, to
// which no request is sent any more.
func TestIdleConnectionsAreClosedWithoutAnotherRequest(t *testing.T) {
	closed := make(chan error, 3)
	answer := respondWith("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\nx")
	c := newClient()
	c.MaxIdleTime = settings.Duration(time.Millisecond)
	assert.NilError(t, c.Start(t.Context()))
	for range cap(closed) {
		address, _ := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
			answer(conn, r)
			_, err := r.ReadByte()
			closed <- err
		})
		body, err := doGet(c, address, "a")
		assert.NilError(t, err)
		assert.Equal(t, body, "x")
	}
	for range cap(closed) {
		assert.ErrorIs(t, <-closed, io.EOF)
	}
	assert.NilError(t, c.Stop(t.Context()))
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, len(c.pools), 0)
}
