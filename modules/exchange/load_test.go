package exchange

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/selection"
)

// Guards against loads that lose a field on the way, and against KV memory that overflows
// when reports are added up.
func TestLoadsInMessages(t *testing.T) {
	load := selection.EndpointLoad{EndpointID: "e", Running: 1, PendingPrefillTokens: 2, LongRunning: 3, KVTokens: 4, Speed: 0.5, SpeedSamples: 5}
	assert.Equal(t, decodeLoad(encodeLoad(load)), load)
	assert.Equal(t, decodeLoad(&arbutuspb.EndpointLoad{KvTokens: math.MaxUint64}).KVTokens, math.MaxInt32)
}
