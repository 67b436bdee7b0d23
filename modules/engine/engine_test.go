package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/bytebudget"
)

// Guards against an engine that runs a completion and answers with an error, which the agent
// then reports as not run.
func TestErrorResponseIsARejectionOnlyIfItSaysSo(t *testing.T) {
	for _, c := range []struct {
		status   int
		notRun   bool
		rejected bool
	}{
		{http.StatusTooManyRequests, true, true}, {http.StatusServiceUnavailable, true, true},
		{http.StatusTooManyRequests, false, false}, {http.StatusServiceUnavailable, false, false},
		{http.StatusRequestTimeout, false, false}, {http.StatusMisdirectedRequest, false, false},
		{http.StatusInternalServerError, false, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c.notRun {
				w.Header().Set(headerNotRun, "1")
			}
			w.WriteHeader(c.status)
		}))
		e := &Engine{URL: server.URL}
		e.createClients(nil)
		_, err := e.Complete(t.Context(), CompletionRequest{}, func(int, string) error { return nil })
		assert.Equal(t, errors.Is(err, ErrRejected), c.rejected, "%+v", c)
		assert.Equal(t, errors.Is(err, ErrFailed), !c.rejected, "%+v", c)
		server.Close()
	}
}

// Guards against answers and reports of an endpoint without end, in a body or a head, that fill
// the memory of its agent.
func TestEndlessResponsesOfTheEndpointAreGivenUp(t *testing.T) {
	filler := strings.Repeat("x", 1000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/head" {
			for n := range 200 {
				w.Header().Set("X-"+strings.Repeat("a", n), filler)
			}
			return
		}
		for n := 0; n < 64<<10; n++ {
			if _, err := io.WriteString(w, filler); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	e := &Engine{URL: server.URL}
	e.createClients(bytebudget.New(1<<20, nil))
	_, err := e.CallService(t.Context(), ServiceCall{Method: http.MethodGet, Path: "/body"})
	assert.Assert(t, errors.Is(err, ErrAnswerTooLarge), "%v", err)
	_, err = e.CallService(t.Context(), ServiceCall{Method: http.MethodGet, Path: "/head"})
	assert.Assert(t, errors.Is(err, ErrConnectionBroken), "%v", err)
	assert.ErrorIs(t, e.getJSON(t.Context(), "/body", &Info{}), bytebudget.ErrExhausted)
	assert.Equal(t, e.memory.Used(), int64(0))
}
