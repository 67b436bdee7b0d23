package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/standin/platform"
)

// unframedEndpoint answers the next faultsLeft requests with a response that has neither a
// length nor chunks and ends with its connection.
type unframedEndpoint struct {
	*platform.Endpoint
	faultsLeft *atomic.Int32
	// attempts counts all requests.
	attempts *atomic.Int32
	body     string
	reset    bool
	// early makes it answer before it reads the body of the request.
	early bool
	// status is the status of the response, 200 if it is empty.
	status string
}

// ServeHTTP implements http.Handler.
func (e *unframedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id == "" {
		e.Endpoint.ServeHTTP(w, r)
		return
	}
	e.attempts.Add(1)
	if e.faultsLeft.Add(-1) < 0 {
		e.Endpoint.ServeHTTP(w, r)
		return
	}
	if !e.early {
		_, _ = io.Copy(io.Discard, r.Body) // A failure shows in the response.
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // Tests serve HTTP/1.1, which supports Hijack.
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n%s", cmp.Or(e.status, "200"), id, e.ID, id, e.body)
	if e.reset {
		// A reset that overtakes the body would leave the caller without its begin.
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// unframedCluster is a cluster with one router and two endpoints, of which the first one
// to get a request answers without a length.
func unframedCluster(t *testing.T, endpoint func(string) *platform.Endpoint, body string, reset bool) (*testRouter, *atomic.Int32) {
	return unframedClusterOf(t, endpoint, unframedEndpoint{body: body, reset: reset})
}

// unframedClusterOf is unframedCluster for endpoints that answer as the given one.
func unframedClusterOf(t *testing.T, endpoint func(string) *platform.Endpoint, kind unframedEndpoint) (*testRouter, *atomic.Int32) {
	c := newCluster(t)
	faultsLeft, attempts := &atomic.Int32{}, &atomic.Int32{}
	faultsLeft.Store(1)
	for _, id := range []string{"u1", "u2"} {
		e := endpoint(id)
		e.SetWeightsVersion(1)
		kind.Endpoint, kind.faultsLeft, kind.attempts = e, faultsLeft, attempts
		u := kind
		server := httptest.NewServer(&u)
		t.Cleanup(server.Close)
		c.endpointServers[id] = server
		c.registerEndpoint(e, "ready")
	}
	r := c.startRouter()
	c.eventually("the router knows the endpoints", func() bool { return len(r.fleetView().EndpointsByID) == 2 })
	return r, attempts
}

// events returns the events first to last of the stand-in's streams with the given line
// end.
func events(first, last int, lineEnd string) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d%sdata: token %d%s%s", n, lineEnd, n, lineEnd, lineEnd)
	}
	return b.String()
}

// Guards against streams without length and chunks that look complete to the caller
// although they were reset or ended inside an event, and against streams that are broken
// off although their connection was closed after the last event.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		body     string
		reset    bool
		complete bool
	}{
		"after the last event":                  {body: events(1, 10, "\n"), complete: true},
		"after the last event, CRLF":            {body: events(1, 10, "\r\n"), complete: true},
		"after an additional line end":          {body: events(1, 10, "\n") + "\n", complete: true},
		"after an additional line end, CRLF":    {body: events(1, 10, "\r\n") + "\r\n", complete: true},
		"reset after an event":                  {body: events(1, 5, "\n"), reset: true},
		"reset after the last event":            {body: events(1, 10, "\n"), reset: true},
		"reset before the first event":          {reset: true},
		"inside the first event":                {body: "id: 1\nda"},
		"inside an event":                       {body: events(1, 5, "\n") + "id: 6\nda"},
		"before the blank line":                 {body: strings.TrimSuffix(events(1, 6, "\n"), "\n")},
		"inside the line end of the blank line": {body: strings.TrimSuffix(events(1, 6, "\r\n"), "\n")},
		"before the blank line, CRLF":           {body: strings.TrimSuffix(events(1, 6, "\r\n"), "\r\n")},
		"inside the last line end, CRLF":        {body: strings.TrimSuffix(events(1, 6, "\r\n"), "\n\r\n")},
	} {
		for _, route := range []string{"/ask/", "/audit/"} {
			t.Run(name+" "+route, func(t *testing.T) {
				r, attempts := unframedCluster(t, engineEndpoint, test.body, test.reset)
				response := r.sendPrompt("r1", route+"x")
				if test.complete {
					assertAllEvents(t, response)
					assert.Equal(t, response.body, test.body)
					assert.Equal(t, attempts.Load(), int32(1))
					return
				}
				if route == "/ask/" {
					assertAllEvents(t, response)
					assert.Equal(t, attempts.Load(), int32(2))
					return
				}
				assert.Assert(t, response.err != nil || response.status == http.StatusBadGateway, "the response looks complete: %+v", response)
				assert.Equal(t, attempts.Load(), int32(1))
			})
		}
	}
}

// Guards against responses of plain services without length that are delivered as complete
// although their connection was reset.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, route := range []string{"/look/", "/post/"} {
			t.Run(fmt.Sprintf("%s reset=%t", route, reset), func(t *testing.T) {
				r, attempts := unframedCluster(t, appEndpoint, "half of the", reset)
				response := r.send("r1", map[string]string{"/look/": http.MethodGet, "/post/": http.MethodPost}[route], route+"x", "")
				assert.NilError(t, response.err)
				switch {
				case !reset:
					assert.Equal(t, response.body, "half of the")
					assert.Equal(t, response.status, http.StatusOK)
					assert.Equal(t, attempts.Load(), int32(1))
				case route == "/look/":
					assert.Equal(t, response.body, "answer to r1")
					assert.Equal(t, attempts.Load(), int32(2))
				default:
					assert.Equal(t, response.status, http.StatusBadGateway)
					assert.Equal(t, attempts.Load(), int32(1))
				}
			})
		}
	}
}

// Guards against a caller with HTTP/1.0, to which responses go without chunks, that takes
// an interrupted stream for a complete one.
func TestInterruptedStreamIsIncompleteWithoutChunks(t *testing.T) {
	for name, test := range map[string]struct {
		body     string
		complete bool
	}{
		"interrupted": {body: events(1, 5, "\n") + "id: 6\nda"},
		"complete":    {body: events(1, 10, "\n"), complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := unframedCluster(t, engineEndpoint, test.body, false)
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.callerURL, "http://"))
			assert.NilError(t, err)
			defer func() { assert.Check(t, conn.Close()) }()
			_, err = io.WriteString(conn, "POST /audit/x HTTP/1.0\r\nHost: "+platform.SampleHostname+"\r\nRequest-Id: r1\r\n"+
				"Deadline-Ms: 5000\r\nAuthorization: Token key-1\r\nModel: m\r\nToken-Count: 1460,200\r\n"+
				"Prefix-Hash: 5c1e07a2:800,e4402b7d:250\r\nContent-Length: 6\r\n\r\nprompt")
			assert.NilError(t, err)
			text, err := io.ReadAll(conn)
			if !test.complete {
				assert.Assert(t, err != nil, "the response looks complete: %q", text)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, strings.HasSuffix(string(text), "\r\n\r\n"+test.body), "%q", text)
		})
	}
}

// Guards against taking the crash of an engine that has sent the head of a stream without
// length or chunks for a complete stream without events.
func TestStreamWithoutLengthAndEventsIsIncomplete(t *testing.T) {
	router, attempts := unframedCluster(t, engineEndpoint, "", false)
	r := router.sendPrompt("cut", "/audit/x")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusBadGateway)
	assert.Equal(t, attempts.Load(), int32(1))

	router, attempts = unframedCluster(t, engineEndpoint, ":ping\n\n", false)
	r = router.sendPrompt("cut", "/ask/x")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, len(r.eventIDs()), 10)
	assert.Equal(t, attempts.Load(), int32(2))
}

// Guards against delivering a part of a response without a length as the whole one, because its
// connection was reset while the body of the request was written, buffered and as a stream.
func TestResetDuringTheUploadIsNotACompleteResponse(t *testing.T) {
	const uploadBytes, tries = 8 << 20, 10
	c := newCluster(t)
	c.putConfiguration(2, func(config map[string]any) {
		config["limits"].(map[string]any)["max_body_bytes"] = 2 * uploadBytes
	})
	faultsLeft, attempts := &atomic.Int32{}, &atomic.Int32{}
	faultsLeft.Store(1 << 20)
	for _, e := range []*platform.Endpoint{appEndpoint("u1"), engineEndpoint("u2")} {
		e.SetWeightsVersion(1)
		server := httptest.NewServer(&unframedEndpoint{
			Endpoint: e, faultsLeft: faultsLeft, attempts: attempts, body: events(1, 5, "\n"), reset: true, early: true,
		})
		t.Cleanup(server.Close)
		c.endpointServers[e.ID] = server
		c.registerEndpoint(e, "ready")
	}
	r := c.startRouter()
	c.eventually("the router knows the endpoints", func() bool { return len(r.fleetView().EndpointsByID) == 2 })
	body := strings.Repeat("x", uploadBytes)
	for _, route := range []string{"/post/x", "/audit/x"} {
		sent := attempts.Load()
		for i := range tries {
			response := r.send(fmt.Sprintf("r%d", i), http.MethodPost, route, body,
				"Model", "m", "Token-Count", "1460,200", "Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%x:250", 0xe4402b7d+i))
			assert.Assert(t, response.err != nil || response.status >= http.StatusInternalServerError, "%s: the response looks complete: %+v", route, response)
		}
		assert.Assert(t, attempts.Load() >= sent+tries/2, "%s: %d attempts", route, attempts.Load()-sent)
	}
}

// Guards against statuses that are no response and reach callers as one, buffered and as a stream.
func TestImpossibleStatusIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000", "101", "999"} {
		for route, endpoint := range map[string]func(string) *platform.Endpoint{"/look/x": appEndpoint, "/post/x": appEndpoint, "/audit/x": engineEndpoint, "/ask/x": engineEndpoint} {
			t.Run(status+" "+route, func(t *testing.T) {
				r, attempts := unframedClusterOf(t, endpoint, unframedEndpoint{status: status, body: events(1, 10, "\n")})
				response := r.sendTo("r1", route)
				assert.NilError(t, response.err)
				if route == "/look/x" || route == "/ask/x" {
					assert.Equal(t, response.status, http.StatusOK)
					assert.Equal(t, attempts.Load(), int32(2))
					return
				}
				assert.Equal(t, response.status, http.StatusBadGateway)
				assert.Equal(t, attempts.Load(), int32(1))
			})
		}
	}
}
