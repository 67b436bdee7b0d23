package weights

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/settings"
)

// Guards against a weight store that does not slow down above its limit, which would
// hide a rollout with too many concurrent loads.
func TestLoadsBeyondTheLimitAreSlower(t *testing.T) {
	const second = time.Second
	simulator := NewLoadSimulator(2, second)
	simulator.Start(0, 1)
	simulator.Start(0, 2)
	assert.Equal(t, len(simulator.Advance(second)), 2)
	for id := range uint64(4) {
		simulator.Start(2*second, id)
	}
	assert.Equal(t, len(simulator.Advance(3500*time.Millisecond)), 0)
	assert.Equal(t, len(simulator.Advance(4*second)), 4)
	// Two loads run alone for half a second before a third one starts.
	simulator.Start(10*second, 1)
	simulator.Start(10*second, 2)
	simulator.Start(10500*time.Millisecond, 3)
	assert.Equal(t, len(simulator.Advance(11249*time.Millisecond)), 0)
	assert.Equal(t, len(simulator.Advance(11250*time.Millisecond)), 2)
	assert.Equal(t, len(simulator.Advance(11750*time.Millisecond)), 1)
	assert.Equal(t, simulator.Peak, 4)
}

// Guards against a load that ends in the moment in which another one starts or is cancelled,
// and of which its caller never hears.
func TestLoadsThatEndAtAStartAreReported(t *testing.T) {
	simulator := NewLoadSimulator(4, time.Second)
	assert.Equal(t, len(simulator.Start(0, 1)), 0)
	assert.DeepEqual(t, simulator.Start(time.Second, 2), []uint64{1})
	assert.Equal(t, len(simulator.Start(1500*time.Millisecond, 3)), 0)
	assert.DeepEqual(t, simulator.Cancel(2*time.Second, 3), []uint64{2})
}

// Guards against loads that never end, and against successful responses for unknown
// weights versions.
func TestServer(t *testing.T) {
	s := New(Config{Address: "127.0.0.1:0", FullSpeedLoads: 1, LoadTime: settings.Duration(time.Millisecond), Versions: []string{"v1"}})
	assert.NilError(t, s.Start())
	defer s.Stop()
	statuses := make(chan int)
	for range 5 {
		go func() {
			resp, err := http.Get(s.URL() + "/v1/weights/m/v1")
			if err != nil {
				statuses <- 0
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	for range 5 {
		assert.Equal(t, <-statuses, 200)
	}
	resp, err := http.Get(s.URL() + "/v1/weights/m/v2")
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 404)
}
