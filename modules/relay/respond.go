package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/selection"
	"github.com/arbutusline/arbutusline/internal/httpstatus"
	"github.com/arbutusline/arbutusline/platform"
)

// respondUnavailable ends a request for which no endpoint was selected.
func (x *execution) respondUnavailable(ctx context.Context, c selection.Choice) {
	switch {
	case c.ThrottledFor > 0 && x.mayHaveRunCount == 0 && !x.headerSent && ctx.Err() == nil:
		x.refuseThrottled(c)
	case c.ThrottledFor > 0:
		x.respondFailure(ctx, reasonThrottled)
	case c.WeightsExpired:
		x.respondFailure(ctx, "weights_expired")
	default:
		x.respondFailure(ctx, "no_endpoint")
	}
}

// respondCondemned ends a request whose prompt has a condemned part. It is refused
// without a time to return, unless it may have run.
func (x *execution) respondCondemned(ctx context.Context) {
	if x.mayHaveRunCount == 0 && !x.headerSent && ctx.Err() == nil {
		x.refuse(reasonPartCrashesEngines, 0)
		return
	}
	x.respondFailure(ctx, reasonPartCrashesEngines)
}

// respondFailure ends a request that cannot be completed and, if nothing was sent yet,
// responds to the caller.
func (x *execution) respondFailure(ctx context.Context, reason string) {
	x.report.Reason = reason
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && !endedByStop(ctx):
		x.report.Outcome, x.report.Incomplete = OutcomeCallerDisconnected, true
	case x.headerSent:
		x.report.Outcome, x.report.Incomplete = OutcomeInterrupted, true
	case x.lastResult.kind == resultErrorResponse && !httpstatus.PromisesNotRun(x.lastResult.status):
		x.forwardResponse(x.lastResult)
		x.report.Outcome = OutcomeEndpointError
	case x.mayHaveRunCount > 0 && ctx.Err() != nil, x.lastResult.kind == resultTimeout:
		x.respondEmpty(http.StatusGatewayTimeout, 0)
		x.report.Outcome = OutcomeTimeout
	default:
		x.refuse(reason, refusalRetryAfter)
	}
}

// refuse responds with status 503, which tells the caller that the request did not run
// and will not run. A request that may have run gets 502 instead.
func (x *execution) refuse(reason string, retryAfter time.Duration) {
	if x.mayHaveRunCount > 0 {
		x.report.Outcome, x.report.Reason = OutcomeFailed, reason
		x.respondEmpty(http.StatusBadGateway, 0)
		return
	}
	x.report.Outcome, x.report.Reason = OutcomeRefused, reason
	x.relay.metrics.refusals.WithLabelValues(reason).Inc()
	x.respondEmpty(http.StatusServiceUnavailable, retryAfter)
}

func (x *execution) respondEmpty(status int, retryAfter time.Duration) {
	h := x.w.Header()
	h.Set(platform.HeaderRequestID, x.req.ID)
	if retryAfter > 0 {
		h.Set(platform.HeaderRetryAfter, platform.FormatRetryAfter(retryAfter))
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// forwardResponse forwards a complete response of an endpoint to the caller.
func (x *execution) forwardResponse(res result) {
	x.copyResponseHeader(res.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(res.body.Len()))
	x.w.WriteHeader(res.status)
	_, err := res.body.WriteTo(x.w)
	if err == nil {
		// The rest must not stay in buffers of a request that is no longer accounted for.
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		x.log().WithError(err).Info("failed to write response to caller")
	}
}

func (x *execution) copyResponseHeader(from http.Header) {
	platform.StripConnectionHeaders(from)
	h := x.w.Header()
	for name, values := range from {
		h[name] = values
	}
}
