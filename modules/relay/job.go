package relay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusline/arbutusline/fleet"
)

// Request is a caller's request with its route, team and service.
type Request struct {
	ID     string
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	Route  *fleet.Route
	// Team is nil on public routes without a key.
	Team    *fleet.Team
	Service string
	// Prompt is nil for requests to plain services.
	Prompt    *fleet.Prompt
	ArrivedAt time.Time
	// CallerLeft reports whether the caller has closed its connection, which the request's
	// context tells later. nil means that only the context tells.
	CallerLeft func() bool
	// CallerStalled reports whether the connection was closed because the caller read nothing for
	// too long. It may be nil.
	CallerStalled func() bool
	// ObserveResponse, if not nil, is told the length in bytes of the body of each response that is
	// no stream, before it is delivered or after it found no memory.
	ObserveResponse func(bytes int)
	// Deadline is when the caller stops waiting or the route's timeout ends,
	// whichever is earlier.
	Deadline time.Time
	// CallerTimeout is how long the caller says that it waits, 0 if it does not say so.
	CallerTimeout time.Duration
	// ConfigurationVersion is the version of the configuration that the request was
	// checked against.
	ConfigurationVersion uint64
	// LastEventID is the event after which the caller resumes a stream. It is empty
	// if the stream starts from the beginning.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream. It is
	// empty if the stream starts from the beginning or the caller does not say.
	Resumes string
}

// fingerprint identifies the request by method, host, URI, team and body, so that a
// repetition with another request ID is recognised.
func (r *Request) fingerprint() uint64 {
	h := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.URI, r.teamName()} {
		_, _ = h.WriteString(text) // Digest.WriteString never fails.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// deadlinePassed reports whether the caller no longer waits.
func (r *Request) deadlinePassed() bool { return !time.Now().Before(r.Deadline) }

// observeResponse tells ObserveResponse the length of a response.
func (r *Request) observeResponse(bytes int) {
	if r.ObserveResponse != nil {
		r.ObserveResponse(bytes)
	}
}

func (r *Request) teamName() string {
	if r.Team == nil {
		return ""
	}
	return r.Team.Name
}

// priority combines the priorities of team and route. The team's takes precedence.
func (r *Request) priority() int {
	p := r.Route.Priority
	if r.Team != nil {
		p += r.Team.Priority * routePriorityLevels
	}
	return p
}

// routePriorityLevels is the number of route priorities within one team priority.
const routePriorityLevels = 3

// Outcome is how a request ended, for logs and metrics.
type Outcome string

// Outcomes of a request.
const (
	OutcomeServed Outcome = "served"
	// OutcomeEndpointError means that an endpoint's 5xx response was forwarded.
	OutcomeEndpointError Outcome = "endpoint_error"
	// OutcomeRefused means that the request did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the request may have run and got no response.
	OutcomeFailed  Outcome = "failed"
	OutcomeTimeout Outcome = "timeout"
	// OutcomeInterrupted means that a stream ended before it was complete.
	OutcomeInterrupted        Outcome = "broken_off"
	OutcomeCallerDisconnected Outcome = "caller_left"
)

// RetryDenial is why a request was not retried.
type RetryDenial string

// Reasons not to retry a request.
const (
	// DeniedDeadline means that the request's deadline passed.
	DeniedDeadline RetryDenial = "time"
	// DeniedAttempts means that the request reached its limit of attempts.
	DeniedAttempts RetryDenial = "attempts"
	// DeniedBudget means that the service's retry budget was exhausted.
	DeniedBudget RetryDenial = "budget"
	// DeniedNotRepeatable means that the request may have run and must not run twice.
	DeniedNotRepeatable RetryDenial = "may_have_run"
	// DeniedCrashesEndpoints means that the request broke the connections of too many
	// endpoints.
	DeniedCrashesEndpoints RetryDenial = "crashes_endpoints"
	// DeniedPartCrashesEngines means that a part of the prompt crashes engines.
	DeniedPartCrashesEngines RetryDenial = reasonPartCrashesEngines
)

// Report describes how a request was processed.
type Report struct {
	Outcome Outcome
	// Reason is the last failure. It is empty for requests served by the first
	// attempt.
	Reason string
	// RetryDenied is why the request was not retried after its last attempt. It is
	// empty if no retry was denied.
	RetryDenied RetryDenial
	// Attempts is the number of endpoints that were tried.
	Attempts int
	// EndpointID, CachedTokens and FetchFrom are those of the last selection, see
	// selection.Choice.
	EndpointID   string
	CachedTokens int
	// SharedTokens is the number of tokens of the prompt's shared parts.
	SharedTokens int
	FetchFrom    string
	// SoftwareVersion is that of the endpoint of the last attempt.
	SoftwareVersion string
	// TimeToSend is the time from arrival until the last attempt was sent, or 0 if none
	// was.
	TimeToSend time.Duration
	// TimeToFirstResponse is the time from arrival to the response or the first event
	// of a stream, or 0 if there was none.
	TimeToFirstResponse time.Duration
	// Incomplete means that the caller's connection must be closed because the
	// response cannot be completed.
	Incomplete bool
}
