package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/settings"
)

func newClient() *Client {
	return &Client{
		DialTimeout: settings.Duration(time.Second), AckTimeout: settings.Duration(time.Second),
		MaxIdleTime: settings.Duration(time.Second), pools: map[string]*pool{},
		connectionsOpened: prometheus.NewCounter(prometheus.CounterOpts{Name: "opened"}),
		failures:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "broken"}, []string{"reason"}),
	}
}

// endpoint serves each connection with handle and counts the connections.
func endpoint(t *testing.T, handle func(net.Conn, *bufio.Reader)) (address string, opened *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	opened = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), opened
}

// answers sends the texts as the answers to successive requests.
func answers(texts ...string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		for _, text := range texts {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
		// The connection stays open until the caller closes it.
		_, _ = r.ReadByte()
	}
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func get(c *Client, address, id string) (string, error) {
	answer, err := c.Do(context.Background(), address, &Request{
		Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, ID: id, IDHeader: "Request-Id",
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// A good connection is used again; one with bytes behind a whole answer is not,
// because they would be read as the answer to the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	c := newClient()
	address, opened := endpoint(t, answers(ok("a", "1"), ok("b", "2")+"HTTP/1.1 200 OK\r\n", ok("c", "3")))
	for _, step := range []struct{ id, body string }{{"a", "1"}, {"b", "2"}} {
		got, err := get(c, address, step.id)
		assert.NilError(t, err)
		assert.Equal(t, got, step.body)
	}
	assert.Equal(t, opened.Load(), int32(1))
	got, err := get(c, address, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, "1")
	assert.Equal(t, opened.Load(), int32(2))
}

// An answer to an earlier request that comes late is skipped; an answer that never
// comes must not be taken from another request.
func TestOnlyTheRightAnswerCounts(t *testing.T) {
	c := newClient()
	address, _ := endpoint(t, answers(ok("late", "9")+ok("a", "1")))
	got, err := get(c, address, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, "1")
	address, _ = endpoint(t, answers(strings.Repeat(ok("other", "9"), maxMismatchedResponses)))
	_, err = get(c, address, "a")
	assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
}

// Failures must say whether the request may have run: one that was never sent may
// go elsewhere even if it may not be repeated.
func TestFailuresTellWhetherTheRequestWasSent(t *testing.T) {
	c := newClient()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = get(c, closed, "a")
	assert.Assert(t, errors.Is(err, ErrNotSent) && !errors.Is(err, ErrIncompleteResponse), "%v", err)

	address, _ := endpoint(t, func(conn net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	_, err = get(c, address, "a")
	assert.Assert(t, errors.Is(err, ErrIncompleteResponse) && !errors.Is(err, ErrNotSent), "%v", err)

	address, _ = endpoint(t, answers("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\n12"))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	answer, err := c.Do(ctx, address, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, ID: "a", IDHeader: "Request-Id"})
	assert.NilError(t, err)
	_, err = io.ReadAll(answer.Body)
	assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
	assert.NilError(t, answer.Body.Close())
}

// An endpoint may answer before it has read a long body; the answer must arrive
// although the body is never read, and the connection must not be used again.
func TestEarlyAnswerToALongBody(t *testing.T) {
	c := newClient()
	address, opened := endpoint(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, ok("a", "1"))
		time.Sleep(time.Second)
	})
	answer, err := c.Do(context.Background(), address, &Request{
		Method: http.MethodPost, URI: "/", Header: http.Header{}, Body: make([]byte, 32<<20), ID: "a", IDHeader: "Request-Id",
	})
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "1")
	assert.NilError(t, answer.Body.Close())
	_, err = get(c, address, "a")
	assert.NilError(t, err)
	assert.Equal(t, opened.Load(), int32(2))
}

// The number of connections to an endpoint is bounded, and a connection that
// closes makes room.
func TestConnectionsAreBounded(t *testing.T) {
	c := newClient()
	address, _ := endpoint(t, answers(ok("a", "1")))
	hold, err := c.Do(context.Background(), address, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, MaxConnections: 1})
	assert.NilError(t, err)
	_, err = c.Do(context.Background(), address, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, MaxConnections: 1})
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	assert.NilError(t, hold.Body.Close())
	again, err := c.Do(context.Background(), address, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, MaxConnections: 1})
	assert.NilError(t, err)
	assert.NilError(t, again.Body.Close())
}
