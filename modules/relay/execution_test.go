package relay

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against many routers that together open far more connections than an endpoint
// accepts, and against a small limit that counts as none.
func TestConnectionLimitFollowsTheRouters(t *testing.T) {
	for _, c := range []struct{ endpointLimit, routers, want int }{
		{0, 68, 0}, {1, 1, 2}, {540, 1, 270}, {540, 2, 270}, {370, 5, 148}, {540, 68, 15}, {110, 1000, 2},
	} {
		assert.Equal(t, connectionLimit(c.endpointLimit, c.routers), c.want, "%+v", c)
	}
}
