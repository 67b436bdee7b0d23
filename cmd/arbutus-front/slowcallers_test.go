package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/standin/platform"
)

// longBytes is the length of a response or body that does not fit into the buffers of sockets.
const longBytes = 1 << 20

// startLongRouter starts a router with 16 MB for callers and 11 MB for responses before one endpoint.
// Its routes have the time-out, after which callers are cut off that neither read nor send.
func startLongRouter(c *cluster, timeout time.Duration, answerPadding int) (*testRouter, *memory.Memory, *platform.Endpoint) {
	c.memorySettings = `"process_bytes": 64000000`
	c.putConfiguration(1, func(config map[string]any) {
		for _, route := range config["routes"].([]map[string]any) {
			route["timeout_ms"] = timeout.Milliseconds()
		}
	})
	e := c.startEndpoint(&platform.Endpoint{ID: "a1", Service: "app", AnswerPadding: answerPadding})
	router := c.startRouter()
	m, err := arbutusline.Lookup[*memory.Memory](router.kernel, memory.Name)
	assert.NilError(c.t, err)
	c.t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return router, m, e
}

// slowCaller is a caller's connection with one request on which nothing is read or sent by itself.
type slowCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// openSlow sends the head of a request of the team "open" and the beginning of its body.
func openSlow(t *testing.T, r *testRouter, id, method, path string, length int, body string, headers ...string) *slowCaller {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) // Only spares memory.
		})
	}}
	conn, err := dialer.Dial("tcp", strings.TrimPrefix(r.callerURL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 120000\r\nAuthorization: Token key-1\r\nContent-Length: %d\r\n%s\r\n%s",
		method, path, platform.SampleHostname, id, length, strings.Join(headers, ""), body)
	assert.NilError(t, err)
	return &slowCaller{t, conn, bufio.NewReaderSize(conn, 16)}
}

// status reads no more than the status line and a few bytes.
func (s *slowCaller) status() int {
	line, err := s.reader.ReadString('\n')
	assert.NilError(s.t, err)
	status, err := strconv.Atoi(strings.Fields(line)[1])
	assert.NilError(s.t, err)
	return status
}

// rest reads the headers and the body of the response after status.
func (s *slowCaller) rest(status int) (http.Header, string) {
	full := io.MultiReader(strings.NewReader(fmt.Sprintf("HTTP/1.1 %d x\r\n", status)), s.reader)
	response, err := http.ReadResponse(bufio.NewReader(full), nil)
	assert.NilError(s.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	return response.Header, string(body)
}

// assertRefused fails the test unless the response is a refusal with a time to return.
func (s *slowCaller) assertRefused(status int) {
	assert.Equal(s.t, status, http.StatusServiceUnavailable)
	h, _ := s.rest(status)
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NilError(s.t, err)
	assert.Assert(s.t, after > 0)
}

// Guards against callers of one team that do not read and use up the memory for the responses to
// other teams, against requests that are refused for that after they ran, and against a response
// that is cut although its caller reads on.
func TestCallersThatDoNotReadLeaveMemoryToOtherTeams(t *testing.T) {
	c := newCluster(t)
	router, m, e := startLongRouter(c, 2*time.Minute, longBytes)
	other := func(id string) {
		r := router.send(id, http.MethodGet, "/look/x", "", "Authorization", "Token key-2")
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK)
		assert.Assert(t, len(r.body) > longBytes)
	}
	waiting := map[string]*slowCaller{}
	refused := 0
	for i := range 30 {
		id := fmt.Sprintf("slow-%d", i)
		s := openSlow(t, router, id, http.MethodGet, "/look/x", 0, "")
		if status := s.status(); status == http.StatusOK {
			waiting[id] = s
		} else {
			s.assertRefused(status)
			refused++
			assert.Equal(t, e.ExecutionCount(id), 0)
		}
		other(fmt.Sprintf("between-%d", i))
	}
	assert.Assert(t, len(waiting) >= 2 && refused > 0, "%d wait, %d refused", len(waiting), refused)
	assert.Assert(t, m.Endpoints().Held("open") >= int64(len(waiting)*longBytes))
	assert.Assert(t, m.Endpoints().Held("open") <= m.Endpoints().Capacity()/2)
	text := getBody(router.adminURL + "/metrics")
	assert.Assert(t, strings.Contains(text, fmt.Sprintf(`arbutus_ingress_refusals_total{reason="team_memory"} %d`, refused)))
	assert.Assert(t, c.logs.wasLogged("request refused because memory for callers is short"))
	for id, s := range waiting {
		_, body := s.rest(http.StatusOK)
		assert.Equal(t, len(body), longBytes+len("answer to "+id))
		assert.Equal(t, e.ExecutionCount(id), 1)
	}
	c.eventually("nothing is held", func() bool { return m.Endpoints().Used() == 0 && m.Callers().Used() == 0 })
	assert.Equal(t, router.send("again", http.MethodGet, "/look/x", "").status, http.StatusOK)
}

// Guards against callers of one team that state long bodies, send them slowly and use up the memory
// for the bodies of other teams, and against a body that is given up although its caller sends on.
func TestCallersThatSendSlowlyLeaveMemoryToOtherTeams(t *testing.T) {
	c := newCluster(t)
	router, m, e := startLongRouter(c, 2*time.Minute, 0)
	body := strings.Repeat("y", longBytes)
	waiting := map[string]*slowCaller{}
	for i := range 30 {
		before := m.Callers().Held("open")
		id := fmt.Sprintf("slow-%d", i)
		s := openSlow(t, router, id, http.MethodPost, "/post/x", longBytes, "y")
		answered := make(chan int, 1)
		go func() {
			// An error shows as a refusal that is none.
			if line, err := s.reader.ReadString('\n'); err == nil {
				n, _ := strconv.Atoi(strings.Fields(line)[1])
				answered <- n
			}
		}()
		held := func() bool { return m.Callers().Held("open") > before }
		c.eventually("the body is expected or refused", func() bool { return held() || len(answered) > 0 })
		if held() {
			waiting[id] = s
			continue
		}
		s.assertRefused(<-answered)
		assert.Equal(t, e.ExecutionCount(id), 0)
		r := router.send("other-"+id, http.MethodPost, "/post/x", body, "Authorization", "Token key-2")
		assert.Equal(t, r.status, http.StatusOK)
	}
	assert.Assert(t, len(waiting) > 4 && len(waiting) < 30)
	assert.Assert(t, m.Callers().Held("open") <= m.Callers().Capacity()/2)
	for id, s := range waiting {
		_, err := io.WriteString(s.conn, body[1:])
		assert.NilError(t, err)
		c.eventually("the body arrived", func() bool { return e.ExecutionCount(id) == 1 })
	}
	for _, r := range e.ExecutedRequests() {
		assert.Equal(t, len(r.Body), longBytes, r.RequestID)
	}
	c.eventually("nothing is held", func() bool { return m.Callers().Used() == 0 })
}

// Guards against a caller that never reads and holds its connection, its memory and its place at the
// endpoint for ever.
func TestCallerThatNeverReadsIsCutOff(t *testing.T) {
	c := newCluster(t)
	router, m, _ := startLongRouter(c, time.Second, longBytes)
	s := openSlow(t, router, "stalled", http.MethodGet, "/look/x", 0, "")
	assert.Equal(t, s.status(), http.StatusOK)
	c.eventually("the endpoint is free again", func() bool {
		return router.relay().Loads() == nil
	})
	assert.Assert(t, m.Endpoints().Held("open") > 0, "the response is given up while its caller may read on")
	for !c.logs.wasLogged("connection closed because the caller reads nothing") {
		time.Sleep(50 * time.Millisecond) // Ends with the time-out of the test.
	}
	c.eventually("nothing is held", func() bool { return m.Endpoints().Used() == 0 && m.Callers().Used() == 0 })
	text := getBody(router.adminURL + "/metrics")
	for _, want := range []string{
		`arbutus_ingress_callers_stalled_total{direction="read"} 1`, `arbutus_requests_total{kind="idempotent",outcome="caller_left"} 1`,
	} {
		assert.Check(t, strings.Contains(text, want), want)
	}
}

// Guards against a stream that runs again at another endpoint because its caller reads slowly, which
// looks like silence of the endpoint.
func TestPauseOfTheCallerIsNotSilenceOfTheEndpoint(t *testing.T) {
	c := newCluster(t)
	engines := []*platform.Endpoint{engineEndpoint("e1"), engineEndpoint("e2")}
	for _, e := range engines {
		e.StreamEvents, e.EventPadding = 60, 64<<10
		c.startEndpoint(e)
	}
	router := c.startRouter()
	s := openSlow(t, router, "paused", http.MethodPost, "/ask/x", 1, "p", "Model: m\r\n", "Token-Count: 1460,200\r\n", "Prefix-Hash: 5c1e07a2:800\r\n")
	assert.Equal(t, s.status(), http.StatusOK)
	time.Sleep(2500 * time.Millisecond) // Twice the longest silence of an endpoint.
	_, body := s.rest(http.StatusOK)
	assert.Equal(t, strings.Count(body, "id: "), 60)
	assert.Equal(t, engines[0].ExecutionCount("paused")+engines[1].ExecutionCount("paused"), 1)
}

// commentStream sends one event of a stream and then only comments, unless the stream is resumed.
type commentStream struct{ *platform.Endpoint }

// ServeHTTP implements http.Handler.
func (e commentStream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/ask/") || r.Header.Get("Last-Event-Id") != "" {
		e.Endpoint.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	for text := "id: 1\ndata: token 1 of v1\n\n"; r.Context().Err() == nil; text = ": alive\n\n" {
		_, _ = io.WriteString(w, text) // Fails only if the router gave up.
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against an endpoint without progress whose comments, written to the caller, count as progress.
func TestCommentsDoNotKeepAStalledStream(t *testing.T) {
	c := newCluster(t)
	for _, e := range []*platform.Endpoint{engineEndpoint("e1"), engineEndpoint("e2")} {
		e.SetWeightsVersion(1)
		server := httptest.NewServer(commentStream{e})
		t.Cleanup(server.Close)
		c.endpointServers[e.ID] = server
		c.registerEndpoint(e, "ready")
	}
	assertAllEvents(t, c.startRouter().sendPrompt("commented", "/ask/x"))
}
