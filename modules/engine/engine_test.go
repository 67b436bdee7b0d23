package engine

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/settings"
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
		assert.NilError(t, e.Provision(arbutusline.New(settings.File{}, logrus.NewEntry(logrus.New()))))
		_, err := e.Complete(t.Context(), CompletionRequest{}, func(int, string) error { return nil })
		assert.Equal(t, errors.Is(err, ErrRejected), c.rejected, "%+v", c)
		assert.Equal(t, errors.Is(err, ErrFailed), !c.rejected, "%+v", c)
		server.Close()
	}
}
