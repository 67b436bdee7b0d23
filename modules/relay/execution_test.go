package relay

import (
	"context"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/modules/upstream"
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

// Guards against suspending a sound endpoint because the router withdrew a request while
// it connected to the endpoint.
func TestWithdrawalWhileConnectingTellsNothingAboutTheEndpoint(t *testing.T) {
	notSent := errors.Mark(io.EOF, upstream.ErrNotSent)
	for _, c := range []struct {
		cause error
		want  selection.Outcome
	}{
		{errWeightsExpired, selection.OutcomeNeutral},
		{errMovedForWeightsChange, selection.OutcomeNeutral},
		{errResponseTimeout, selection.OutcomeNoResponse},
		{nil, selection.OutcomeNoResponse},
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		if c.cause != nil {
			cancel(c.cause)
		}
		res := (&attempt{requestCtx: t.Context()}).resultOfError(ctx, notSent)
		assert.Equal(t, res.kind, resultNotSent, "%v", c.cause)
		assert.Equal(t, res.endpointOutcome(), c.want, "%v", c.cause)
		cancel(nil)
	}
}
