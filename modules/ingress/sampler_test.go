package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against log output that grows with the rate of successful requests, and
// against a wrong count of omitted lines.
func TestSamplerLimitsLinesPerSecond(t *testing.T) {
	var s sampler
	now := time.Unix(1000, 0)
	written := 0
	for range 10 * maxLinesPerSecond {
		if ok, _ := s.allow(now); ok {
			written++
		}
	}
	assert.Equal(t, written, maxLinesPerSecond)
	ok, omitted := s.allow(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, omitted, 9*maxLinesPerSecond)
}
