package objectstore

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/internal/httpcheck"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/objectapi"
)

func newTestClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	client, err := NewClient(addresses)
	assert.NilError(t, err)
	return client
}

// Guards against a client that disagrees with the object API about keys, versions or
// the format of lists and watches.
func TestCallsFollowTheObjectAPI(t *testing.T) {
	ctx := context.Background()
	api := objectapi.New(objectapi.Config{Hosts: []objectstore.Host{
		{Host: "h-1", Zone: "kochi-a", Address: "10.0.0.1", State: "live"},
	}})
	server := httptest.NewServer(api.Handler())
	defer server.Close()
	client := newTestClient(t, server.URL)

	v1, err := client.Put(ctx, "rules/history/a b%2F", []byte("one"), objectstore.MustNotExist)
	assert.NilError(t, err)
	_, err = client.Put(ctx, "rules/history/a b%2F", []byte("two"), objectstore.MustNotExist)
	assert.ErrorIs(t, err, objectstore.ErrConflict)
	o, err := client.Get(ctx, "rules/history/a b%2F")
	assert.NilError(t, err)
	assert.DeepEqual(t, o, objectstore.Object{Key: "rules/history/a b%2F", Value: []byte("one"), Version: v1})
	list, err := client.List(ctx, "rules/")
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []objectstore.Change{{Key: "rules/history/a b%2F", Version: v1}})
	next, changes, err := client.Watch(ctx, "rules/", 0, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, next, v1)
	assert.Equal(t, len(changes), 1)
	assert.NilError(t, client.Delete(ctx, "rules/history/a b%2F", v1))
	_, err = client.Get(ctx, "rules/history/a b%2F")
	assert.ErrorIs(t, err, objectstore.ErrNotFound)
	hosts, err := client.Hosts(ctx)
	assert.NilError(t, err)
	assert.Equal(t, hosts[0].Zone, "kochi-a")
	api.SetFaults(objectapi.Faults{LoseWriteResponses: 1})
	_, err = client.Put(ctx, "k", []byte("v"), objectstore.MustNotExist)
	assert.ErrorIs(t, err, objectstore.ErrAmbiguous)
	o, err = client.Get(ctx, "k")
	assert.NilError(t, err, "the write took effect")
	assert.Equal(t, string(o.Value), "v")
	api.SetFaults(objectapi.Faults{Outage: true})
	_, err = client.Put(ctx, "k", nil, o.Version)
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
	_, err = client.Get(ctx, "rules/../ledger")
	assert.ErrorIs(t, err, ErrInvalidKey)
	_, err = client.Put(ctx, "big", make([]byte, objectstore.MaxValueBytes+1), 0)
	assert.ErrorIs(t, err, objectstore.ErrTooLarge)
}

// Guards against reporting a write that may have taken effect as rejected, or a
// rejected write as ambiguous.
func TestStatusesMapToErrors(t *testing.T) {
	for _, c := range []struct {
		status   int
		put, get error
	}{
		{429, objectstore.ErrRateLimited, objectstore.ErrRateLimited},
		{503, objectstore.ErrUnavailable, objectstore.ErrUnavailable},
		{413, objectstore.ErrTooLarge, objectstore.ErrTooLarge},
		{409, objectstore.ErrConflict, objectstore.ErrConflict},
		{404, objectstore.ErrConflict, objectstore.ErrNotFound},
		{410, objectstore.ErrCompacted, objectstore.ErrCompacted},
		{500, objectstore.ErrAmbiguous, objectstore.ErrUnavailable},
		{502, objectstore.ErrAmbiguous, objectstore.ErrUnavailable},
		{307, objectstore.ErrAmbiguous, objectstore.ErrUnavailable},
		{200, objectstore.ErrAmbiguous, objectstore.ErrUnavailable}, // no Object-Version
		{400, ErrUnexpectedResponse, ErrUnexpectedResponse},
	} {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(c.status)
		}))
		client := newTestClient(t, server.URL)
		_, putErr := client.Put(context.Background(), "k", nil, 0)
		assert.ErrorIs(t, putErr, c.put, "put, status %d", c.status)
		_, err := client.Get(context.Background(), "k")
		assert.ErrorIs(t, err, c.get, "get, status %d", c.status)
		assert.Equal(t, testutil.ToFloat64(client.metrics.calls.WithLabelValues("put", resultLabel(putErr))), 1.0)
		assert.Equal(t, calls, 2, "status %d must not be retried", c.status)
		server.Close()
	}
}

// Guards against retrying a write whose response was lost, in net/http or at the next
// address.
func TestLostResponsesAreAmbiguousAndNotRetried(t *testing.T) {
	for name, lose := range map[string]func(http.ResponseWriter, *http.Request){
		"closed connection": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			_ = conn.Close()
		},
		"truncated body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Object-Version", "1")
			w.Header().Set("Content-Length", "10")
			w.WriteHeader(200)
		},
		// The server notices a closed connection only after the body is read.
		"no response": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 10)
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls <- r.Method
				lose(w, r)
			})
			a, b := httptest.NewServer(handler), httptest.NewServer(handler)
			defer a.Close()
			defer b.Close()
			client := newTestClient(t, a.URL, b.URL)
			client.CallTimeout = settings.Duration(time.Minute)
			// write makes a call that ends when its response is lost, or by ctx once the
			// handler runs. A call timeout could end before that on a busy host.
			write := func(method string, call func(ctx context.Context) error) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				result := make(chan error, 1)
				go func() { result <- call(ctx) }()
				assert.Equal(t, <-calls, method)
				if name == "no response" {
					cancel()
				}
				assert.ErrorIs(t, <-result, objectstore.ErrAmbiguous)
				assert.Equal(t, len(calls), 0, "the write was repeated")
			}
			write(http.MethodPut, func(ctx context.Context) error {
				_, err := client.Put(ctx, "k", []byte("v"), 3)
				return err
			})
			write(http.MethodDelete, func(ctx context.Context) error { return client.Delete(ctx, "k", 3) })
		})
	}
}

// observedConn calls onWrite after the kernel has taken over what was written. The trace
// WroteRequest comes before the transport flushes its buffer.
type observedConn struct {
	net.Conn
	onWrite func()
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.onWrite()
	return n, err
}

// Guards against sending a write to another address, or reporting it as rejected, when
// the call ends after the connection was opened and before the server has read the
// request. The server runs such a write late.
func TestWriteWithoutAReaderIsAmbiguous(t *testing.T) {
	late, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	calls := make(chan string, 10)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { calls <- r.Method })
	other := httptest.NewServer(handler)
	defer other.Close()
	client := newTestClient(t, "http://"+late.Addr().String(), other.URL)
	client.CallTimeout = settings.Duration(time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client.httpClient.Transport.(*httpcheck.Transport).Base.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &observedConn{conn, cancel}, err
	}
	_, err = client.Put(ctx, "k", []byte("v"), 3)
	assert.ErrorIs(t, err, objectstore.ErrAmbiguous)
	assert.Equal(t, len(calls), 0, "the write was sent to the other address")

	server := &http.Server{Handler: handler}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(late) }()
	assert.Equal(t, <-calls, http.MethodPut)
	assert.Equal(t, len(calls), 0)
}

// Guards against treating a refused connection as ambiguous, and against giving up
// while another address works.
func TestRefusedConnectionFailsOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := "http://" + listener.Addr().String()
	assert.NilError(t, listener.Close())

	client := newTestClient(t, closed)
	_, err = client.Put(context.Background(), "k", nil, 0)
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, objectstore.ErrAmbiguous))

	server := httptest.NewServer(objectapi.New(objectapi.Config{}).Handler())
	defer server.Close()
	client = newTestClient(t, closed, server.URL)
	_, err = client.Put(context.Background(), "k", nil, 0)
	assert.NilError(t, err)
	assert.Equal(t, int(client.preferred.index.Load()), 1, "later calls start at the working address")
}

// Guards against starting a process without a valid store address.
func TestAddressesAreValidated(t *testing.T) {
	for _, addresses := range [][]string{nil, {"10.0.0.1:7400"}, {"ftp://h"}, {"http://"}, {"http://a b"}} {
		_, err := NewClient(addresses)
		assert.ErrorIs(t, err, settings.ErrInvalid, strings.Join(addresses, ","))
	}
}
