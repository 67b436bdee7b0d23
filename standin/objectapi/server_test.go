package objectapi

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/objectstore"
)

func startServer(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	cfg := Defaults()
	cfg.Address, cfg.Latency, cfg.HostsLag = "127.0.0.1:0", 0, 0
	if change != nil {
		change(&cfg)
	}
	s := New(cfg)
	assert.NilError(t, s.Start())
	t.Cleanup(s.Stop)
	return s
}

func sendRequest(t *testing.T, method, url, body, ifVersion string) (status int, version, text string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if ifVersion != "" {
		request.Header.Set("If-Version", ifVersion)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header.Get("Object-Version"), strings.TrimSpace(string(content))
}

// Guards against lost updates: of two conditional writes with the same expected version
// only one may succeed.
func TestConditionalWrites(t *testing.T) {
	s := startServer(t, nil)
	u := s.URL() + "/v1/objects/rules/current"
	status, version, _ := sendRequest(t, "PUT", u, "a", "0")
	assert.Equal(t, status, 200)
	assert.Equal(t, version, "1")
	status, version, _ = sendRequest(t, "PUT", u, "b", "0")
	assert.Equal(t, status, 409)
	assert.Equal(t, version, "1")
	status, _, _ = sendRequest(t, "PUT", u, "b", "1")
	assert.Equal(t, status, 200)
	status, _, _ = sendRequest(t, "DELETE", u, "", "1")
	assert.Equal(t, status, 409)
	status, version, text := sendRequest(t, "GET", u, "", "")
	assert.Equal(t, status, 200)
	assert.Equal(t, version, "2")
	assert.Equal(t, text, "b")
	status, _, _ = sendRequest(t, "PUT", u, strings.Repeat("x", objectstore.MaxValueBytes+1), "")
	assert.Equal(t, status, 413)
	_, _, text = sendRequest(t, "GET", s.URL()+"/v1/objects?prefix=rules/", "", "")
	assert.Equal(t, text, `[{"key":"rules/current","version":2}]`)
	status, _, _ = sendRequest(t, "DELETE", u, "", "2")
	assert.Equal(t, status, 200)
	status, _, _ = sendRequest(t, "GET", u, "", "")
	assert.Equal(t, status, 404)
}

// Guards against a watch that misses a change made while it is pending or between two
// watches, or that continues without an error after history was discarded.
func TestWatch(t *testing.T) {
	s := startServer(t, nil)
	responses := make(chan string)
	go func() {
		_, _, text := sendRequest(t, "GET", s.URL()+"/v1/watch?prefix=a/&since=0&timeout_ms=20000", "", "")
		responses <- text
	}()
	sendRequest(t, "PUT", s.URL()+"/v1/objects/b/1", "x", "")
	sendRequest(t, "PUT", s.URL()+"/v1/objects/a/1", "x", "")
	assert.Equal(t, <-responses, `{"version":2,"changes":[{"key":"a/1","version":2}]}`)
	_, _, text := sendRequest(t, "GET", s.URL()+"/v1/watch?prefix=a/&since=2&timeout_ms=1", "", "")
	assert.Equal(t, text, `{"version":2,"changes":[]}`)

	store := NewStore()
	for range historyLimit + 5 {
		_, err := store.Put("k", nil, AnyVersion)
		assert.NilError(t, err)
	}
	_, err := store.ChangesSince("", 4)
	assert.ErrorIs(t, err, objectstore.ErrCompacted)
	changes, err := store.ChangesSince("", 5)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), historyLimit)
}

// Guards against injected faults with the wrong effect on data: a write whose response
// is lost must take effect, a write during an outage or above the rate limit must not.
func TestFaults(t *testing.T) {
	// The initial burst allows one write; at this rate the next write is allowed
	// only after years.
	s := startServer(t, func(c *Config) { c.WritesPerSecond = 1e-9 })
	u := s.URL() + "/v1/objects/k"
	s.SetFaults(Faults{LoseWriteResponses: 1})
	status, _, _ := sendRequest(t, "PUT", u, "a", "0")
	assert.Equal(t, status, 0)
	_, version, text := sendRequest(t, "GET", u, "", "")
	assert.Equal(t, version+text, "1a")
	status, _, _ = sendRequest(t, "PUT", u, "b", "")
	assert.Equal(t, status, 429)
	s.SetFaults(Faults{Outage: true})
	status, _, _ = sendRequest(t, "PUT", u, "b", "")
	assert.Equal(t, status, 503)
	s.SetFaults(Faults{})
	_, _, text = sendRequest(t, "GET", u, "", "")
	assert.Equal(t, text, "a")
	_, _, text = sendRequest(t, "GET", s.URL()+"/admin/calls", "", "")
	assert.Equal(t, text, `{"get":2,"put":3,"delete":0,"list":0,"watch":0,"hosts":0,"rate_limited":1,"refused":1,"lost":1}`)
}

// Guards against a token bucket that allows more than its rate or never refills.
func TestBucket(t *testing.T) {
	b := NewTokenBucket(10)
	allowed := 0
	for i := range 1000 {
		if b.Allow(time.Duration(i) * time.Millisecond) {
			allowed++
		}
	}
	assert.Equal(t, allowed, 19)
}
