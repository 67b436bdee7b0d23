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
type Kind string

// Kinds of call.
const (
	// Unsafe calls may run at most once.
	Unsafe Kind = "unsafe"
	// Lookup calls may be repeated.
	Lookup Kind = "lookup"
	// Resumable streams may go on at another endpoint.
	Resumable Kind = "resumable"
	// Single streams run at one endpoint.
	Single Kind = "single"
)

// Call is one attempt of a caller. Times count from the start of the history.
type Call struct {
	ID           string
	Kind         Kind
	Team         string
	Router       string
	Begun, Ended time.Duration
	// Status is 0 when no answer began. Whole means that the answer ended as HTTP
	// says it does, and Text and Events are its content.
	Status int
	Whole  bool
	Text   string
	Events []int
	// Left means that the caller closed its connection on purpose.
	Left bool
}

// Run is a call that an endpoint ran.
type Run struct {
	Call, Team, Endpoint, Namespace string
	Weights                         uint64
	// Isolated says that the team shares no cache with others.
	Isolated bool
}

// Order is an order to change weights that reached an endpoint, in the order of
// arrival there.
type Order struct {
	Endpoint, Holder string
	Fence            uint64
}

// Version is a configuration version that an answer of a router showed. Incarnation
// counts the starts of the router.
type Version struct {
	Router               string
	Incarnation, Version int
}

// Fault is a disturbance. Router is the one that it concerns, empty for all.
type Fault struct {
	What, Router string
	From, To     time.Duration
	// Planned disturbances, such as a graceful restart, must cut no call.
	Planned bool
}

// History is what was seen.
type History struct {
	// Events is the number of events of a whole stream.
	Events   int
	Calls    []Call
	Runs     []Run
	Orders   []Order
	Versions []Version
	Faults   []Fault
	// Exits are processes that ended without being told to.
	Exits []string
}

// Check returns the promises that the history breaks.
func (h *History) Check() []string {
	var out []string
	runs := map[string][]Run{}
	for _, r := range h.Runs {
		runs[r.Call] = append(runs[r.Call], r)
	}
	for i := range h.Calls {
		out = append(out, h.checkCall(&h.Calls[i], runs[h.Calls[i].ID])...)
	}
	out = append(out, h.checkNamespaces()...)
	out = append(out, h.checkOrders()...)
	out = append(out, h.checkVersions()...)
	for _, e := range h.Exits {
		out = append(out, "process ended by itself: "+e)
	}
	return out
}

// maxRuns is the most endpoints that may run one call; the configuration of the soak
// allows two attempts.
var maxRuns = map[Kind]int{Unsafe: 1, Lookup: 2, Resumable: 2, Single: 1}

func (h *History) checkCall(c *Call, runs []Run) []string {
	var out []string
	broken := func(format string, args ...any) {
		out = append(out, fmt.Sprintf("%s call %s at %s from %s: ", c.Kind, c.ID, c.Router, c.Begun)+fmt.Sprintf(format, args...))
	}
	if len(runs) > maxRuns[c.Kind] {
		broken("ran %d times", len(runs))
	}
	switch {
	case refused(c.Status) && len(runs) > 0:
		broken("refused with %d although %s ran it", c.Status, runs[0].Endpoint)
	case c.Status == 200 && len(runs) == 0:
		broken("answered, but no endpoint ran it")
	case c.Status == 200 && c.Whole:
		if fault := h.content(c); fault != "" {
			broken("%s", fault)
		}
	}
	if !orderly(c.Events) {
		broken("events %v are not in order", c.Events)
	}
	if !c.Left && !served(c) && !h.excused(c) {
		broken("status %d, whole %t, without a fault", c.Status, c.Whole)
	}
	return out
}

// refused reports whether a status promises that the call has not run.
func refused(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// served reports whether a call got what it may expect when nothing is disturbed.
// Endpoints may be full or change their weights at any time.
func served(c *Call) bool { return c.Status == 200 && c.Whole || refused(c.Status) }

// content returns what is wrong with a whole answer.
func (h *History) content(c *Call) string {
	if c.Kind == Unsafe || c.Kind == Lookup {
		if want := "answer to " + c.ID; c.Text != want {
			return fmt.Sprintf("answer %q, expected %q", c.Text, want)
		}
		return ""
	}
	if len(c.Events) != h.Events {
		return fmt.Sprintf("stream ended regularly after %d of %d events", len(c.Events), h.Events)
	}
	return ""
}

// orderly reports whether events are 1, 2, 3 and so on.
func orderly(events []int) bool {
	for i, e := range events {
		if e != i+1 {
			return false
		}
	}
	return true
}

// aftermath is how long a fault may still be felt: connections that went silent are
// given up after seconds, and endpoints that failed are suspended for as long.
const aftermath = 8 * time.Second

// excused reports whether a fault explains that a call was not served. A planned one
// explains only calls that came after it began: no caller should come to a process
// that is leaving.
func (h *History) excused(c *Call) bool {
	for _, f := range h.Faults {
		if f.Router != "" && f.Router != c.Router {
			continue
		}
		if f.Planned {
			if c.Begun >= f.From && c.Begun <= f.To+aftermath {
				return true
			}
			continue
		}
		if c.Ended >= f.From && c.Begun <= f.To+aftermath {
			return true
		}
	}
	return false
}

// checkNamespaces finds cache namespaces that mix weights versions, or isolated teams
// with others.
func (h *History) checkNamespaces() []string {
	var out []string
	first := map[string]Run{}
	for _, r := range h.Runs {
		if r.Namespace == "" {
			continue
		}
		f, known := first[r.Namespace]
		switch {
		case !known:
			first[r.Namespace] = r
		case f.Weights != r.Weights:
			out = append(out, fmt.Sprintf("namespace %q used by weights %d and %d", r.Namespace, f.Weights, r.Weights))
		case f.Team != r.Team && (f.Isolated || r.Isolated):
			out = append(out, fmt.Sprintf("namespace %q used by teams %s and %s", r.Namespace, f.Team, r.Team))
		}
	}
	return out
}

// checkOrders finds fences that fall at an endpoint or belong to two holders.
func (h *History) checkOrders() []string {
	var out []string
	newest, holder := map[string]uint64{}, map[uint64]string{}
	for _, o := range h.Orders {
		if o.Fence < newest[o.Endpoint] {
			out = append(out, fmt.Sprintf("endpoint %s got an order with fence %d after %d", o.Endpoint, o.Fence, newest[o.Endpoint]))
		}
		newest[o.Endpoint] = max(newest[o.Endpoint], o.Fence)
		if was, ok := holder[o.Fence]; ok && was != o.Holder {
			out = append(out, fmt.Sprintf("fence %d was held by %s and %s", o.Fence, was, o.Holder))
		}
		holder[o.Fence] = o.Holder
	}
	return out
}

// checkVersions finds routers that went back to an older configuration.
func (h *History) checkVersions() []string {
	type process struct {
		router      string
		incarnation int
	}
	var out []string
	newest := map[process]int{}
	for _, v := range h.Versions {
		p := process{v.Router, v.Incarnation}
		if v.Version < newest[p] {
			out = append(out, fmt.Sprintf("router %s showed configuration %d after %d", v.Router, v.Version, newest[p]))
		}
		newest[p] = max(newest[p], v.Version)
	}
	return out
}
