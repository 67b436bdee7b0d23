package relay

import (
	"net/http"
	"time"

	"github.com/arbutusline/arbutusline/internal/content"
	"github.com/arbutusline/arbutusline/modules/upstream"
)

// resultKind is how an attempt ended.
type resultKind int

const (
	// resultDone means that the caller has the complete response.
	resultDone resultKind = iota
	// resultNotSent means that the endpoint could not be reached.
	resultNotSent
	// resultExpired means that the request's deadline passed before it was sent.
	resultExpired
	// resultRefused means that the endpoint reported that it did not run the
	// request.
	resultRefused
	// resultErrorResponse is a complete response of a run with a 5xx status or one that
	// promises that the request has not run.
	resultErrorResponse
	// resultIncompleteResponse means that the request may have run and no complete and
	// valid response arrived.
	resultIncompleteResponse
	// resultTimeout means that the request may have run and the response did not
	// arrive in time.
	resultTimeout
	// resultMoved means that the router ended the attempt to continue the stream at
	// another endpoint.
	resultMoved
	// resultWithdrawn means that the router ended the attempt because it had not begun
	// when the endpoint's weights expired. The endpoint may have begun meanwhile.
	resultWithdrawn
	// resultCallerDisconnected means that the caller closed its connection.
	resultCallerDisconnected
)

// resultNames maps results to their names in metrics and logs.
var resultNames = map[resultKind]string{
	resultDone: "done", resultNotSent: "unreachable", resultExpired: "expired", resultRefused: "refused_by_endpoint",
	resultErrorResponse: "endpoint_error", resultIncompleteResponse: "broken", resultTimeout: "no_answer",
	resultMoved: "moved", resultWithdrawn: "withdrawn", resultCallerDisconnected: "caller_left",
}

// result is the result of one attempt.
type result struct {
	kind   resultKind
	status int
	header http.Header
	// body holds memory until the next attempt or the end of the request.
	body *content.Content
	err  error
	// headReceived is true if the head of a response arrived, and eventCount the number
	// of complete events that followed it.
	headReceived bool
	eventCount   int
	duration     time.Duration
	// incriminates is true if a crash of the endpoint at the end of the attempt counts against
	// the parts of the prompt.
	incriminates bool
	// connection is the connection that carried the request.
	connection upstream.ConnectionInfo
	// wrongEndpoint means that another endpoint now uses the address.
	wrongEndpoint bool
	// endedByRouter means that the router gave up connecting to the endpoint for a reason
	// of its own.
	endedByRouter bool
	// retryReserved means that the retry budget was already charged for the next
	// attempt.
	retryReserved bool
}
