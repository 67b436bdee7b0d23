// Package soak plays randomised faults against the real programs as separate
// processes on loopback and checks what callers and endpoints saw. This file judges
// a history; it starts nothing.
package soak

import (
	"fmt"
	"slices"
	"time"
)

// Kind is a kind of call.
type CallKind string

// Kinds of call.
const (
	// Unsafe calls may run at most once.
	NonIdempotentCall CallKind = "unsafe"
	// Lookup calls may be repeated.
	IdempotentCall CallKind = "lookup"
	// Resumable streams may go on at another endpoint.
	ResumableStream CallKind = "resumable"
	// Single streams run at one endpoint.
	SingleEndpointStream CallKind = "single"
)

// Call is one attempt of a caller. Times count from the start of the history.
type Call struct {
	ID                 string
	Kind               CallKind
	Team               string
	Router             string
	StartedAt, EndedAt time.Duration
	// Status is 0 when no answer began. Whole means that the answer ended as HTTP
	// says it does, and Text and Events are its content.
	Status   int
	Complete bool
	Body     string
	EventIDs []int
	// Left means that the caller closed its connection on purpose.
	ClosedByCaller bool
}

// Run is a call that an endpoint ran.
type Execution struct {
	CallID, Team, Endpoint, CacheNamespace string
	WeightsVersion                         uint64
	// Isolated says that the team shares no cache with others.
	IsolatedTeam bool
}

// Order is an order to change weights that reached an endpoint, in the order of
// arrival there.
type WeightsOrder struct {
	Endpoint, LeaseHolder string
	FencingToken          uint64
}

// Version is a configuration version that an answer of a router showed. Incarnation
// counts the starts of the router.
type ServedVersion struct {
	Router               string
	Incarnation, Version int
}

// Fault is a disturbance. Router is the one that it concerns, empty for all.
type Fault struct {
	Description, Router string
	Start, End          time.Duration
	// Planned disturbances, such as a graceful restart, must cut no call.
	Planned bool
}

// History is what was seen.
type History struct {
	// Events is the number of events of a whole stream.
	EventsPerStream int
	Calls           []Call
	Executions      []Execution
	WeightsOrders   []WeightsOrder
	ServedVersions  []ServedVersion
	Faults          []Fault
	// Exits are processes that ended without being told to.
	UnexpectedExits []string
}

// Check returns the promises that the history breaks.
func (h *History) Violations() []string {
	var violations []string
	executionsByCall := map[string][]Execution{}
	for _, r := range h.Executions {
		executionsByCall[r.CallID] = append(executionsByCall[r.CallID], r)
	}
	for i := range h.Calls {
		violations = append(violations, h.checkCall(&h.Calls[i], executionsByCall[h.Calls[i].ID])...)
	}
	violations = append(violations, h.checkCacheNamespaces()...)
	violations = append(violations, h.checkFencingTokens()...)
	violations = append(violations, h.checkServedVersions()...)
	for _, e := range h.UnexpectedExits {
		violations = append(violations, "process ended by itself: "+e)
	}
	return violations
}

// maxRuns is the most endpoints that may run one call; the configuration of the soak
// allows two attempts.
var maxExecutions = map[CallKind]int{NonIdempotentCall: 1, IdempotentCall: 2, ResumableStream: 2, SingleEndpointStream: 1}

func (h *History) checkCall(c *Call, executions []Execution) []string {
	var violations []string
	report := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s call %s at %s from %s: ", c.Kind, c.ID, c.Router, c.StartedAt)+fmt.Sprintf(format, args...))
	}
	if len(executions) > maxExecutions[c.Kind] {
		report("ran %d times", len(executions))
	}
	switch {
	case isRefusal(c.Status) && len(executions) > 0:
		report("refused with %d although %s ran it", c.Status, executions[0].Endpoint)
	case c.Status == 200 && len(executions) == 0:
		report("answered, but no endpoint ran it")
	case c.Status == 200 && c.Complete:
		if problem := h.checkResponse(c); problem != "" {
			report("%s", problem)
		}
	}
	if !isConsecutiveFromOne(c.EventIDs) {
		report("events %v are not in order", c.EventIDs)
	}
	if !c.ClosedByCaller && !isExpectedOutcome(c) && !h.explainedByFault(c) {
		report("status %d, whole %t, without a fault", c.Status, c.Complete)
	}
	return violations
}

// refused reports whether a status promises that the call has not run.
func isRefusal(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// served reports whether a call got what it may expect when nothing is disturbed.
// Endpoints may be full or change their weights at any time.
func isExpectedOutcome(c *Call) bool { return c.Status == 200 && c.Complete || isRefusal(c.Status) }

// content returns what is wrong with a whole answer.
func (h *History) checkResponse(c *Call) string {
	if c.Kind == NonIdempotentCall || c.Kind == IdempotentCall {
		if want := "answer to " + c.ID; c.Body != want {
			return fmt.Sprintf("answer %q, expected %q", c.Body, want)
		}
		return ""
	}
	if len(c.EventIDs) != h.EventsPerStream {
		return fmt.Sprintf("stream ended regularly after %d of %d events", len(c.EventIDs), h.EventsPerStream)
	}
	return ""
}

// orderly reports whether events are 1, 2, 3 and so on.
func isConsecutiveFromOne(events []int) bool {
	for i, e := range events {
		if e != i+1 {
			return false
		}
	}
	return true
}

// aftermath is how long a fault may still be felt: connections that went silent are
// given up after seconds, and endpoints that failed are suspended for as long.
const faultRecoveryTime = 8 * time.Second

// excused reports whether a fault explains that a call was not served. A planned one
// explains only calls that came after it began: no caller should come to a process
// that is leaving.
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

// checkNamespaces finds cache namespaces that mix weights versions, or isolated teams
// with others.
func (h *History) checkCacheNamespaces() []string {
	var violations []string
	firstExecution := map[string]Execution{}
	for _, r := range h.Executions {
		if r.CacheNamespace == "" {
			continue
		}
		f, known := firstExecution[r.CacheNamespace]
		switch {
		case !known:
			firstExecution[r.CacheNamespace] = r
		case f.WeightsVersion != r.WeightsVersion:
			violations = append(violations, fmt.Sprintf("namespace %q used by weights %d and %d", r.CacheNamespace, f.WeightsVersion, r.WeightsVersion))
		case f.Team != r.Team && (f.IsolatedTeam || r.IsolatedTeam):
			violations = append(violations, fmt.Sprintf("namespace %q used by teams %s and %s", r.CacheNamespace, f.Team, r.Team))
		}
	}
	return violations
}

// checkOrders finds fences that fall at an endpoint or belong to two holders.
func (h *History) checkFencingTokens() []string {
	var violations []string
	highestToken, holderOfToken := map[string]uint64{}, map[uint64]string{}
	for _, o := range h.WeightsOrders {
		if o.FencingToken < highestToken[o.Endpoint] {
			violations = append(violations, fmt.Sprintf("endpoint %s got an order with fence %d after %d", o.Endpoint, o.FencingToken, highestToken[o.Endpoint]))
		}
		highestToken[o.Endpoint] = max(highestToken[o.Endpoint], o.FencingToken)
		if previousHolder, ok := holderOfToken[o.FencingToken]; ok && previousHolder != o.LeaseHolder {
			violations = append(violations, fmt.Sprintf("fence %d was held by %s and %s", o.FencingToken, previousHolder, o.LeaseHolder))
		}
		holderOfToken[o.FencingToken] = o.LeaseHolder
	}
	return violations
}

// checkVersions finds routers that went back to an older configuration.
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
			violations = append(violations, fmt.Sprintf("router %s showed configuration %d after %d", v.Router, v.Version, highestVersion[p]))
		}
		highestVersion[p] = max(highestVersion[p], v.Version)
	}
	return violations
}
