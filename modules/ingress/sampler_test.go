package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A flood of good requests must not flood the log, and the log must say how many
// lines were left out.
func TestFloodOfGoodRequestsIsSampled(t *testing.T) {
	var s sampler
	now := time.Unix(1000, 0)
	taken := 0
	for range 10 * maxLinesPerSecond {
		if ok, _ := s.allow(now); ok {
			taken++
		}
	}
	assert.Equal(t, taken, maxLinesPerSecond)
	ok, omitted := s.allow(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, omitted, 9*maxLinesPerSecond)
}
