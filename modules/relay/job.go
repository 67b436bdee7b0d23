package relay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusline/arbutusline/fleet"
)

// Job is a caller's request with what the configuration says of it.
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
	// Prompt is nil for plain requests.
	Prompt    *fleet.Prompt
	ArrivedAt time.Time
	// Expires is when the caller stops waiting or the route's timeout ends.
	Deadline time.Time
	// Configuration is the version that the job was checked against.
	ConfigurationVersion uint64
	// LastEventID is where the caller resumes a stream, empty at its start.
	LastEventID string
}

// fingerprint identifies the request by path, caller and body, so that a copy
// with another id is recognised.
func (j *Request) fingerprint() uint64 {
	h := xxhash.New()
	for _, text := range []string{j.Method, j.Host, j.URI, j.teamName()} {
		_, _ = h.WriteString(text) // A digest does not fail.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(j.Body)
	return h.Sum64()
}

func (j *Request) teamName() string {
	if j.Team == nil {
		return ""
	}
	return j.Team.Name
}

// namespace is the team's share of the cache's namespace: the team's name when
// it shares no prompt part with others.
func (j *Request) teamNamespace() string {
	if j.Team == nil || !j.Team.Isolated {
		return ""
	}
	return j.Team.Name
}

// priority joins the priorities of team and route, the team's first.
func (j *Request) priority() int {
	p := j.Route.Priority
	if j.Team != nil {
		p += j.Team.Priority * routePriorityLevels
	}
	return p
}

// routePriorities is the number of route priorities within one team priority.
const routePriorityLevels = 3

// Outcome is how a job ended, for logs and metrics.
type Outcome string

// Outcomes of a job.
const (
	OutcomeServed             Outcome = "served"
	OutcomeEndpointError      Outcome = "endpoint_error"
	OutcomeRefused            Outcome = "refused"
	OutcomeFailed             Outcome = "failed"
	OutcomeTimeout            Outcome = "timeout"
	OutcomeInterrupted        Outcome = "broken_off"
	OutcomeCallerDisconnected Outcome = "caller_left"
)

// Denial is why a job was not tried again.
type RetryDenial string

// Reasons for which a job is not tried again.
const (
	// DeniedTime means that the job's time ended.
	DeniedDeadline RetryDenial = "time"
	// DeniedAttempts means that it had all the tries that it may have.
	DeniedAttempts RetryDenial = "attempts"
	// DeniedBudget means that the service's retry budget was used up.
	DeniedBudget RetryDenial = "budget"
	// DeniedUnsafe means that it may have run and must not run twice.
	DeniedNotRepeatable RetryDenial = "may_have_run"
	// DeniedCrashes means that it broke the connections of too many endpoints.
	DeniedCrashesEndpoints RetryDenial = "crashes_endpoints"
)

// Report tells what happened to a job.
type Report struct {
	Outcome Outcome
	// Reason is the last failure, empty for jobs served at the first try.
	Reason string
	// Denied is why the job was not tried again, empty when it was answered.
	RetryDenied RetryDenial
	// Tries counts the endpoints that the job was sent to.
	Attempts   int
	EndpointID string
	// CachedTokens, SharedTokens and FetchFrom are what was believed of the
	// prompt when the endpoint was chosen.
	CachedTokens int
	SharedTokens int
	FetchFrom    string
	// First is the time to the answer or first event, 0 when there was none.
	TimeToFirstResponse time.Duration
	// Incomplete means that the caller's connection must be closed, because
	// its answer cannot be completed.
	Incomplete bool
}
