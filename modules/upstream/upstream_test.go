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
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/settings"
)

// testMemoryBytes is the memory for responses of a client in tests.
const testMemoryBytes = 16 << 20

func newClient() *Client {
	return &Client{
		DialTimeout: settings.Duration(time.Second), AckTimeout: settings.Duration(time.Second),
		MaxIdleTime: settings.Duration(time.Second), pools: map[string]*pool{}, memory: bytebudget.New(testMemoryBytes, nil),
		connectionsOpened: prometheus.NewCounter(prometheus.CounterOpts{Name: "opened"}),
		responsesSkipped:  prometheus.NewCounter(prometheus.CounterOpts{Name: "skipped"}),
		log:               logrus.NewEntry(logrus.New()),
		failures:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "broken"}, []string{"reason"}),
	}
}

// startEndpoint serves each connection with handle and counts the connections.
func startEndpoint(t *testing.T, handle func(net.Conn, *bufio.Reader)) (address string, connections *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), connections
}

// respondWith sends the given responses to successive requests.
func respondWith(responses ...string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		for _, response := range responses {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
		// The connection stays open until the caller closes it.
		_, _ = r.ReadByte()
	}
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func doGet(c *Client, address, id string) (string, error) {
	response, err := c.Do(context.Background(), address, &Request{
		Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, ID: id,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against reusing a connection with data behind a complete response, which would
// be read as the response to the next request. Other connections are reused.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	c := newClient()
	address, connections := startEndpoint(t, respondWith(okResponse("a", "1"), okResponse("b", "2")+"HTTP/1.1 200 OK\r\n", okResponse("c", "3")))
	for _, step := range []struct{ id, body string }{{"a", "1"}, {"b", "2"}} {
		got, err := doGet(c, address, step.id)
		assert.NilError(t, err)
		assert.Equal(t, got, step.body)
	}
	assert.Equal(t, connections.Load(), int32(1))
	got, err := doGet(c, address, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, "1")
	assert.Equal(t, connections.Load(), int32(2))
}

// Guards against returning the response to another request: a late response to an
// earlier request is skipped, and without a matching response the request fails.
func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	c := newClient()
	address, _ := startEndpoint(t, respondWith(okResponse("late", "9")+okResponse("a", "1")))
	got, err := doGet(c, address, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, "1")
	address, _ = startEndpoint(t, respondWith(strings.Repeat(okResponse("other", "9"), maxMismatchedResponses)))
	_, err = doGet(c, address, "a")
	assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
}

// Guards against errors that do not tell whether the request may have run: a request
// that was never sent may be sent to another endpoint even if it must not run twice.
func TestErrorsTellWhetherRequestWasSent(t *testing.T) {
	c := newClient()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closedAddress := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = doGet(c, closedAddress, "a")
	assert.Assert(t, errors.Is(err, ErrNotSent) && !errors.Is(err, ErrIncompleteResponse), "%v", err)

	address, _ := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	_, err = doGet(c, address, "a")
	assert.Assert(t, errors.Is(err, ErrIncompleteResponse) && !errors.Is(err, ErrNotSent), "%v", err)

	address, _ = startEndpoint(t, respondWith("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\n12"))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	response, err := c.Do(ctx, address, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, ID: "a"})
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
	assert.NilError(t, response.Body.Close())
}

// Guards against a deadlock when an endpoint responds without reading a long body, and
// against reusing such a connection.
func TestResponseBeforeRequestBodyIsRead(t *testing.T) {
	c := newClient()
	address, connections := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, okResponse("a", "1"))
		time.Sleep(time.Second)
	})
	response, err := c.Do(context.Background(), address, &Request{
		Method: http.MethodPost, URI: "/", Header: http.Header{}, Body: make([]byte, 32<<20), ID: "a",
	})
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "1")
	assert.NilError(t, response.Body.Close())
	_, err = doGet(c, address, "a")
	assert.NilError(t, err)
	assert.Equal(t, connections.Load(), int32(2))
}

// Guards against more connections to an endpoint than allowed, and against counting
// closed connections.
func TestMaxConnections(t *testing.T) {
	c := newClient()
	address, _ := startEndpoint(t, respondWith(okResponse("a", "1")))
	first, err := c.Do(context.Background(), address, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, ID: "a", MaxConnections: 1})
	assert.NilError(t, err)
	_, err = c.Do(context.Background(), address, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, ID: "a", MaxConnections: 1})
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	assert.NilError(t, first.Body.Close())
	second, err := c.Do(context.Background(), address, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}, ID: "a", MaxConnections: 1})
	assert.NilError(t, err)
	assert.NilError(t, second.Body.Close())
}

// Guards against sending a request that was given up while the router waited for a
// connection or for processor time.
func TestRequestThatWasGivenUpIsNotSent(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	expired, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	for name, c := range map[string]struct {
		ctx       context.Context
		abandoned func() bool
	}{
		"ended":     {ended, nil},
		"expired":   {expired, nil},
		"abandoned": {context.Background(), func() bool { return true }},
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient()
			var requests atomic.Int32
			address, connections := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					requests.Add(1)
					_, _ = io.WriteString(conn, okResponse(request.Header.Get("Request-Id"), "1"))
				}
			})
			request := func(id string, abandoned func() bool) *Request {
				return &Request{
					Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{"Request-Id": {id}}, ID: id,
					Abandoned: abandoned,
				}
			}
			send := func(ctx context.Context, r *Request) error {
				response, err := client.Do(ctx, address, r)
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, response.Body)
				return errors.CombineErrors(err, response.Body.Close())
			}
			assert.NilError(t, send(context.Background(), request("first", nil)))
			given := request("given-up", c.abandoned)
			err := send(c.ctx, given)
			assert.Assert(t, errors.Is(err, ErrNotSent) && errors.Is(err, ErrAbandoned), "%v", err)
			assert.Assert(t, given.SentAt.IsZero())
			assert.NilError(t, send(context.Background(), request("last", nil)))
			assert.Equal(t, requests.Load(), int32(2))
			assert.Equal(t, connections.Load(), int32(1))
		})
	}
}

// Guards against taking an earlier refusal that an endpoint writes once more on a kept
// connection for the response to the next request, which runs: its caller would be told
// that it did not run, or it would run at another endpoint, too.
func TestEarlierRefusalIsNotTheNextResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: refused\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct{ repeated, id, response string }{
		"request":                       {refusal, "a", okResponse("a", "1")},
		"request, refusal without ID":   {unnamedRefusal, "a", okResponse("a", "1")},
		"engine call":                   {refusal, "", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"},
		"request, refusal in two parts": {refusal + refusal, "a", okResponse("a", "1")},
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient()
			address, connections := startEndpoint(t, respondWith(refusal, c.repeated+c.response))
			send := func(id string) (int, string) {
				response, err := client.Do(context.Background(), address, &Request{
					Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, ID: id,
				})
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				return response.Status, string(body)
			}
			status, _ := send("refused")
			assert.Equal(t, status, http.StatusServiceUnavailable)
			status, body := send(c.id)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "1")
			assert.Equal(t, connections.Load(), int32(1))
		})
	}
}
