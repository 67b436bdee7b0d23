package relay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusline/arbutusline/fleet"
)

// Job is a caller's request with what the configuration says of it.
type Job struct {
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
	Prompt  *fleet.Prompt
	Arrived time.Time
	// Expires is when the caller stops waiting or the route's timeout ends.
	Expires time.Time
	// Configuration is the version that the job was checked against.
	Configuration uint64
	// LastEventID is where the caller resumes a stream, empty at its start.
	LastEventID string
}

// fingerprint identifies the request by path, caller and body, so that a copy
// with another id is recognised.
func (j *Job) fingerprint() uint64 {
	h := xxhash.New()
	for _, text := range []string{j.Method, j.Host, j.URI, j.teamName()} {
		_, _ = h.WriteString(text) // A digest does not fail.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(j.Body)
	return h.Sum64()
}

func (j *Job) teamName() string {
	if j.Team == nil {
		return ""
	}
	return j.Team.Name
}

// namespace is the team's share of the cache's namespace: the team's name when
// it shares no prompt part with others.
func (j *Job) namespace() string {
	if j.Team == nil || !j.Team.Isolated {
		return ""
	}
	return j.Team.Name
}

// priority joins the priorities of team and route, the team's first.
func (j *Job) priority() int {
	p := j.Route.Priority
	if j.Team != nil {
		p += j.Team.Priority * routePriorities
	}
	return p
}

// routePriorities is the number of route priorities within one team priority.
const routePriorities = 3

// Outcome is how a job ended, for logs and metrics.
type Outcome string

// Outcomes of a job.
const (
	OutcomeServed     Outcome = "served"
	OutcomeError      Outcome = "endpoint_error"
	OutcomeRefused    Outcome = "refused"
	OutcomeFailed     Outcome = "failed"
	OutcomeTimeout    Outcome = "timeout"
	OutcomeBrokenOff  Outcome = "broken_off"
	OutcomeCallerLeft Outcome = "caller_left"
)

// Denial is why a job was not tried again.
type Denial string

// Reasons for which a job is not tried again.
const (
	// DeniedTime means that the job's time ended.
	DeniedTime Denial = "time"
	// DeniedAttempts means that it had all the tries that it may have.
	DeniedAttempts Denial = "attempts"
	// DeniedBudget means that the service's retry budget was used up.
	DeniedBudget Denial = "budget"
	// DeniedUnsafe means that it may have run and must not run twice.
	DeniedUnsafe Denial = "may_have_run"
	// DeniedCrashes means that it broke the connections of too many endpoints.
	DeniedCrashes Denial = "crashes_endpoints"
)

// Report tells what happened to a job.
type Report struct {
	Outcome Outcome
	// Reason is the last failure, empty for jobs served at the first try.
	Reason string
	// Denied is why the job was not tried again, empty when it was answered.
	Denied Denial
	// Tries counts the endpoints that the job was sent to.
	Tries    int
	Endpoint string
	// CachedTokens, SharedTokens and FetchFrom are what was believed of the
	// prompt when the endpoint was chosen.
	CachedTokens int
	SharedTokens int
	FetchFrom    string
	// First is the time to the answer or first event, 0 when there was none.
	First time.Duration
	// Incomplete means that the caller's connection must be closed, because
	// its answer cannot be completed.
	Incomplete bool
}
