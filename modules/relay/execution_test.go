package relay

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/fleet"
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
	req := &Request{Deadline: time.Now().Add(time.Minute)}
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
		res := (&attempt{execution: &execution{req: req}, requestCtx: t.Context()}).resultOfError(ctx, notSent)
		assert.Equal(t, res.kind, resultNotSent, "%v", c.cause)
		assert.Equal(t, res.endpointOutcome(), c.want, "%v", c.cause)
		cancel(nil)
	}
}

// Guards against suspending a sound endpoint, and against trying the next one, because the
// deadline of a request passed before the router had a connection.
func TestDeadlineBeforeSendingTellsNothingAboutTheEndpoint(t *testing.T) {
	x := &execution{req: &Request{Deadline: time.Now().Add(-time.Millisecond)}}
	for _, err := range []error{errors.Mark(io.EOF, upstream.ErrNotSent), errors.Mark(upstream.ErrAbandoned, upstream.ErrNotSent)} {
		x.lastResult = (&attempt{execution: x, requestCtx: t.Context()}).resultOfError(t.Context(), err)
		assert.Equal(t, x.lastResult.endpointOutcome(), selection.OutcomeNeutral)
		assert.Equal(t, x.retryDenial(t.Context()), DeniedDeadline)
	}
}

// Guards against an answer to a caller that has closed its connection.
func TestAbandonedRequestEndsForTheCallerThatLeft(t *testing.T) {
	x := &execution{req: &Request{Deadline: time.Now().Add(time.Minute), CallerLeft: func() bool { return true }}}
	res := (&attempt{execution: x, requestCtx: t.Context()}).resultOfError(t.Context(), errors.Mark(upstream.ErrAbandoned, upstream.ErrNotSent))
	assert.Equal(t, res.kind, resultCallerDisconnected)
}

// Guards against streams that end in the middle because their callers come back at a time of
// overload: new requests give way, also in favor of one that has run before.
func TestStreamsThatAreTakenUpAreNotRefusedForOverload(t *testing.T) {
	prompt := &fleet.Prompt{}
	for _, c := range []struct {
		name       string
		execution  execution
		controlled bool
	}{
		{"new", execution{req: &Request{Prompt: prompt}}, true},
		{"taken up", execution{req: &Request{Prompt: prompt, LastEventID: "3"}}, false},
		{"may have run", execution{req: &Request{Prompt: prompt}, mayHaveRunCount: 1}, false},
	} {
		assert.Equal(t, c.execution.overloadControlled(), c.controlled, c.name)
	}
}
