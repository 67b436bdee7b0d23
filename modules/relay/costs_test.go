package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load: events 40 ms apart, of which the router reads three together because it got no
// processor time, and a last event 1 ms after the one before. Guards against pauses of the
// router, and the pause before a last event with few tokens, that count as the engine's.
func TestPausesAreTheEngines(t *testing.T) {
	var c costObservation
	begin, pauses := time.Unix(0, 0), []int(nil)
	for i, e := range []struct {
		ms       int
		buffered bool
	}{{100, false}, {140, false}, {180, false}, {280, false}, {281, true}, {281, true}, {300, false}, {340, false}, {380, false}, {381, false}} {
		pause, first := c.nextPause(begin.Add(time.Duration(e.ms)*time.Millisecond), e.buffered)
		assert.Equal(t, first, i == 0)
		if pause > 0 {
			pauses = append(pauses, int(pause.Milliseconds()))
		}
	}
	// The pause of 100 ms is too long, which the low quantile of pauses ignores.
	assert.DeepEqual(t, pauses, []int{40, 40, 100, 40, 40})
}
