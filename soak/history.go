// Package soak runs the router program as separate processes on loopback, injects
// random faults and checks the guarantees of the router against the recorded history
// of callers and endpoints. The checks themselves start no process.
package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// CallKind says how often, and at how many endpoints, a call may be executed.
type CallKind string

// Kinds of call.
const (
	// NonIdempotentCall may be executed at most once.
	NonIdempotentCall CallKind = "unsafe"
	// IdempotentCall may be executed again when an attempt fails.
	IdempotentCall CallKind = "lookup"
	// ResumableStream may be resumed at another endpoint.
	ResumableStream CallKind = "resumable"
	// SingleEndpointStream is executed at one endpoint and cannot be resumed.
	SingleEndpointStream CallKind = "single"
)

// Call is one call as its caller saw it. Times are relative to the start of the
// deployment.
type Call struct {
	ID                 string
	Kind               CallKind
	Team               string
	Router             string
	StartedAt, EndedAt time.Duration
	// Status is the HTTP status, or 0 without a response.
	Status int
	// Complete means that the response body was complete according to HTTP. Body holds
	// it, or EventIDs the event ids if it is a stream.
	Complete bool
	Body     string
	EventIDs []int
	// SoftwareVersions are the distinct versions of the endpoints that made the events.
	SoftwareVersions []string
	// Resumes is the ID of the call that began the stream, and AfterEvent the last event
	// that the caller had, for a call that takes up a broken stream.
	Resumes    string
	AfterEvent int
	// ClosedByCaller means that the caller closed the stream early on purpose.
	ClosedByCaller bool
}

// Execution is one execution of a call by an endpoint.
type Execution struct {
	CallID, Team, Endpoint, CacheNamespace string
	WeightsVersion                         uint64
	// At is when the endpoint received the call.
	At time.Duration
}

// Isolation is a change of whether a team shares cached prefixes with others. Without one a
// team does.
type Isolation struct {
	Team     string
	At       time.Duration
	Isolated bool
}

// WeightsOrder is an order to change the weights that an endpoint received.
// History.WeightsOrders lists those of an endpoint in the order of arrival.
type WeightsOrder struct {
	Endpoint, LeaseHolder string
	FencingToken          uint64
}

// ServedVersion is a configuration version that a router was seen to serve.
// Incarnation counts the starts of the router process from 1.
type ServedVersion struct {
	Router               string
	Incarnation, Version int
}

// RefusedVersion is a final refusal, at a router, of a request that the newest configuration
// allows. AckedAt is when the store had acknowledged that configuration.
type RefusedVersion struct {
	Router          string
	Version         int
	AckedAt, SentAt time.Duration
}

// Fault is an injected fault or planned change. Router is the affected router; empty
// means all routers.
type Fault struct {
	Description, Router string
	Start, End          time.Duration
	// Planned marks a change, such as a graceful restart, that must not interrupt
	// calls in flight.
	Planned bool
}

// History is the record of one soak run.
type History struct {
	// EventsPerStream is the number of events of a complete stream.
	EventsPerStream int
	Calls           []Call
	Executions      []Execution
	WeightsOrders   []WeightsOrder
	ServedVersions  []ServedVersion
	RefusedVersions []RefusedVersion
	// Restores are the times at which the store came back from a copy.
	Restores []time.Duration
	Faults   []Fault
	// Isolations are in the order of time.
	Isolations []Isolation
	// UnexpectedExits describes processes that exited without a stop signal, did not
	// exit in time, or failed a graceful stop.
	UnexpectedExits []string
}

// Violations describes each violation of a guarantee in the history.
func (h *History) Violations() []string {
	var violations []string
	executionsByCall := map[string][]Execution{}
	for _, r := range h.Executions {
		executionsByCall[r.CallID] = append(executionsByCall[r.CallID], r)
	}
	for i := range h.Calls {
		violations = append(violations, h.checkCall(&h.Calls[i], executionsByCall[h.Calls[i].ID])...)
	}
	violations = append(violations, h.checkSoftwareVersions()...)
	violations = append(violations, h.checkCacheNamespaces()...)
	violations = append(violations, h.checkFencingTokens()...)
	violations = append(violations, h.checkServedVersions()...)
	violations = append(violations, h.checkRefusedVersions()...)
	for _, e := range h.UnexpectedExits {
		violations = append(violations, "process exited unexpectedly: "+e)
	}
	return violations
}

// maxExecutions is the highest number of executions of one call. The sample
// configuration allows two attempts.
var maxExecutions = map[CallKind]int{NonIdempotentCall: 1, IdempotentCall: 2, ResumableStream: 2, SingleEndpointStream: 1}

func (h *History) checkCall(c *Call, executions []Execution) []string {
	var violations []string
	report := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s call %s to %s started at %s: ", c.Kind, c.ID, c.Router, c.StartedAt)+fmt.Sprintf(format, args...))
	}
	if len(executions) > maxExecutions[c.Kind] {
		report("executed %d times", len(executions))
	}
	switch {
	case isRefusal(c.Status) && len(executions) > 0:
		report("refused with status %d although %s executed it", c.Status, executions[0].Endpoint)
	case c.Status == 200 && len(executions) == 0:
		report("answered, but no endpoint executed it")
	case c.Status == 200 && c.Complete:
		if problem := h.checkResponse(c); problem != "" {
			report("%s", problem)
		}
	}
	if !isConsecutiveAfter(c.AfterEvent, c.EventIDs) {
		report("event ids %v are not consecutive from %d", c.EventIDs, c.AfterEvent+1)
	}
	if !c.ClosedByCaller && !isExpectedOutcome(c) && !h.explainedByFault(c) {
		report("status %d, complete %t, with no fault that explains it", c.Status, c.Complete)
	}
	return violations
}

// isRefusal reports whether a status guarantees that the call was not executed.
func isRefusal(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// isExpectedOutcome reports whether the outcome of a call needs no fault to explain it.
// Refusals need none, because endpoints can be full or changing weights at any time.
func isExpectedOutcome(c *Call) bool { return c.Status == 200 && c.Complete || isRefusal(c.Status) }

// checkResponse describes what is wrong with a complete response, or returns "".
func (h *History) checkResponse(c *Call) string {
	if c.Kind == NonIdempotentCall || c.Kind == IdempotentCall {
		if want := "answer to " + c.ID; c.Body != want {
			return fmt.Sprintf("body %q, expected %q", c.Body, want)
		}
		return ""
	}
	if events := c.AfterEvent + len(c.EventIDs); events != h.EventsPerStream {
		return fmt.Sprintf("stream ended without an error after %d of %d events", events, h.EventsPerStream)
	}
	return ""
}

// isConsecutiveAfter reports whether the event ids are those that follow an event.
func isConsecutiveAfter(event int, events []int) bool {
	for i, e := range events {
		if e != event+i+1 {
			return false
		}
	}
	return true
}

// faultRecoveryTime is how long a fault may affect calls after its end: connections
// that stopped responding time out after some seconds, and endpoints that failed stay
// suspended for as long.
const faultRecoveryTime = 8 * time.Second

// explainedByFault reports whether a fault explains the outcome of a call. A planned
// change explains only calls that started after it began, since callers should not use
// a process that is stopping; calls already in flight must complete.
func (h *History) explainedByFault(c *Call) bool {
	for _, f := range h.Faults {
		if f.Router != "" && f.Router != c.Router {
			continue
		}
		if f.Planned {
			if c.StartedAt >= f.Start && c.StartedAt <= f.End+faultRecoveryTime {
				return true
			}
			continue
		}
		if c.EndedAt >= f.Start && c.StartedAt <= f.End+faultRecoveryTime {
			return true
		}
	}
	return false
}

// checkSoftwareVersions finds streams whose events, over all calls that took them up, were
// made by endpoints of several software versions.
func (h *History) checkSoftwareVersions() []string {
	var violations []string
	versions := map[string][]string{}
	for i := range h.Calls {
		c := &h.Calls[i]
		stream := c.ID
		if c.Resumes != "" {
			stream = c.Resumes
		}
		for _, v := range c.SoftwareVersions {
			if !slices.Contains(versions[stream], v) {
				versions[stream] = append(versions[stream], v)
			}
		}
		if len(versions[stream]) > 1 {
			violations = append(violations, fmt.Sprintf("stream %s has events of the software versions %v after call %s to %s at %s", stream, versions[stream], c.ID, c.Router, c.StartedAt))
			versions[stream] = versions[stream][:1]
		}
	}
	return violations
}

// configurationSpreadTime is how long after a change of the configuration an undisturbed
// router may still act by the one before: twice the platform's bound.
const configurationSpreadTime = 4 * time.Second

// checkCacheNamespaces finds cache namespaces shared by several weights versions, or by
// two teams of which one was isolated when the second one used the namespace.
func (h *History) checkCacheNamespaces() []string {
	var violations []string
	routers := map[string]string{}
	for i := range h.Calls {
		routers[h.Calls[i].ID] = h.Calls[i].Router
	}
	executions := slices.Clone(h.Executions)
	slices.SortStableFunc(executions, func(a, b Execution) int { return cmp.Compare(a.At, b.At) })
	earlier := map[string][]Execution{}
	for _, r := range executions {
		if r.CacheNamespace == "" {
			continue
		}
		from := max(0, r.At-configurationSpreadTime)
		if h.disturbed(routers[r.CallID], r.At) {
			from = 0 // The router may have any earlier configuration.
		}
		add := true
		for _, f := range earlier[r.CacheNamespace] {
			if f.WeightsVersion != r.WeightsVersion {
				violations = append(violations, fmt.Sprintf("cache namespace %q used by weights versions %d and %d", r.CacheNamespace, f.WeightsVersion, r.WeightsVersion))
				add = false
				break
			}
			if f.Team != r.Team && (h.isolatedThroughout(f.Team, from, r.At) || h.isolatedThroughout(r.Team, from, r.At)) {
				violations = append(violations, fmt.Sprintf("cache namespace %q used by teams %s and %s, by call %s at %s", r.CacheNamespace, f.Team, r.Team, r.CallID, r.At))
				add = false
				break
			}
			add = add && f.Team != r.Team
		}
		if add {
			earlier[r.CacheNamespace] = append(earlier[r.CacheNamespace], r)
		}
	}
	return violations
}

// isolatedThroughout reports whether all configurations in force from one time to another
// isolated a team.
func (h *History) isolatedThroughout(team string, from, to time.Duration) bool {
	isolated := false
	for _, c := range h.Isolations {
		switch {
		case c.Team != team || c.At > to:
		case c.At <= from:
			isolated = c.Isolated
		default:
			isolated = isolated && c.Isolated
		}
	}
	return isolated
}

// disturbed reports whether an unplanned fault may affect a router at a time.
func (h *History) disturbed(router string, at time.Duration) bool {
	return slices.ContainsFunc(h.Faults, func(f Fault) bool {
		return !f.Planned && (f.Router == "" || f.Router == router) && at >= f.Start && at <= f.End+faultRecoveryTime
	})
}

// checkFencingTokens finds fencing tokens that decrease at an endpoint or are used by
// two lease holders.
func (h *History) checkFencingTokens() []string {
	var violations []string
	highestToken, holderOfToken := map[string]uint64{}, map[uint64]string{}
	for _, o := range h.WeightsOrders {
		if o.FencingToken < highestToken[o.Endpoint] {
			violations = append(violations, fmt.Sprintf("endpoint %s received a weights order with fencing token %d after %d", o.Endpoint, o.FencingToken, highestToken[o.Endpoint]))
		}
		highestToken[o.Endpoint] = max(highestToken[o.Endpoint], o.FencingToken)
		if previousHolder, ok := holderOfToken[o.FencingToken]; ok && previousHolder != o.LeaseHolder {
			violations = append(violations, fmt.Sprintf("fencing token %d used by lease holders %s and %s", o.FencingToken, previousHolder, o.LeaseHolder))
		}
		holderOfToken[o.FencingToken] = o.LeaseHolder
	}
	return violations
}

// checkServedVersions finds router processes that went back to an older
// configuration.
func (h *History) checkServedVersions() []string {
	type process struct {
		router      string
		incarnation int
	}
	var violations []string
	highestVersion := map[process]int{}
	for _, v := range h.ServedVersions {
		p := process{v.Router, v.Incarnation}
		if v.Version < highestVersion[p] {
			violations = append(violations, fmt.Sprintf("router %s served configuration %d after %d", v.Router, v.Version, highestVersion[p]))
		}
		highestVersion[p] = max(highestVersion[p], v.Version)
	}
	return violations
}

const (
	// configurationDeadline is how long after its acknowledgement a configuration is in force:
	// the default of the directory's setting.
	configurationDeadline = 4 * time.Second
	// rewriteTime is how long after a restore of the store the operators have written again what the
	// copy lacked. Until then a router that starts, and that no other one tells, cannot know it.
	rewriteTime = 500 * time.Millisecond
)

// checkRefusedVersions finds final refusals by a configuration that was replaced longer than the
// deadline before, or written again longer than that before. No other fault excuses one: a router
// that cannot know leaves it open.
func (h *History) checkRefusedVersions() []string {
	var violations []string
	for _, r := range h.RefusedVersions {
		restored := slices.ContainsFunc(h.Restores, func(at time.Duration) bool { return at < r.SentAt && r.SentAt < at+rewriteTime+configurationDeadline })
		if r.SentAt-r.AckedAt > configurationDeadline && !restored {
			violations = append(violations, fmt.Sprintf("router %s refused for good at %s what configuration %d allows since %s", r.Router, r.SentAt, r.Version, r.AckedAt))
		}
	}
	return violations
}
