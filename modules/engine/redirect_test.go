package engine

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an agent that follows a redirect of its endpoint: the request runs a second time,
// and the caller gets the response to another one.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusMovedPermanently, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		var requests atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			if r.URL.Path == "/x" || r.URL.Path == "/v1/completions" {
				http.Redirect(w, r, "/y", status)
			}
		}))
		t.Cleanup(server.Close)
		e := &Engine{URL: server.URL}
		e.createClients(nil)
		answer, err := e.CallService(t.Context(), ServiceCall{Method: http.MethodPost, Path: "/x", Body: []byte("entry")})
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, status)
		_, err = e.Complete(t.Context(), CompletionRequest{}, func(int, string) error { return nil })
		assert.ErrorIs(t, err, ErrFailed)
		assert.Equal(t, requests.Load(), int32(2), "status %d", status)
	}
}
