package serve

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a crash that leaves connections open, or after which the server
// listens on another address or not at all.
func TestCrashDropsConnectionsAndRelistens(t *testing.T) {
	entered := make(chan struct{})
	s := New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(entered)
			<-r.Context().Done()
		}
	}))
	assert.NilError(t, s.Start())
	defer s.Stop()
	url := s.URL()
	failed := make(chan error)
	go func() {
		_, err := http.Get(url + "/wait")
		failed <- err
	}()
	<-entered
	s.Crash(time.Millisecond)
	assert.Assert(t, <-failed != nil)
	for {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.URL(), url)
}
