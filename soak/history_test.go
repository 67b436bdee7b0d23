package soak

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// validHistory returns a history that violates no guarantee.
func validHistory() *History {
	return &History{
		EventsPerStream: 3,
		Calls: []Call{
			{ID: "u", Kind: NonIdempotentCall, Router: "r1", Status: 200, Complete: true, Body: "answer to u", StartedAt: time.Second, EndedAt: 2 * time.Second},
			{ID: "l", Kind: IdempotentCall, Router: "r1", Status: 200, Complete: true, Body: "answer to l"},
			{ID: "s", Kind: ResumableStream, Router: "r2", Status: 200, Complete: true, EventIDs: []int{1, 2, 3}},
			{ID: "n", Kind: SingleEndpointStream, Router: "r2", Status: 503},
			{ID: "c", Kind: SingleEndpointStream, Router: "r2", Status: 200, EventIDs: []int{1}, ClosedByCaller: true},
			{ID: "f", Kind: NonIdempotentCall, Router: "r2", Status: 502, StartedAt: time.Minute, EndedAt: time.Minute},
			{ID: "b", Kind: ResumableStream, Router: "r2", Status: 200, EventIDs: []int{1}, SoftwareVersions: []string{"v1"}, ClosedByCaller: true, StartedAt: time.Minute, EndedAt: time.Minute},
			{ID: "b2", Kind: ResumableStream, Router: "r1", Status: 200, Complete: true, Resumes: "b", AfterEvent: 1, EventIDs: []int{2, 3}, SoftwareVersions: []string{"v1"}, StartedAt: time.Minute, EndedAt: time.Minute},
		},
		Executions: []Execution{
			{CallID: "u", Endpoint: "a"}, {CallID: "l", Endpoint: "a"}, {CallID: "l", Endpoint: "b"}, {CallID: "c", Endpoint: "e"},
			{CallID: "s", Team: "open", Endpoint: "e", CacheNamespace: "1/", WeightsVersion: 1},
			{CallID: "f", Team: "walled", Endpoint: "e", CacheNamespace: "1/walled", WeightsVersion: 1},
			{CallID: "b", Endpoint: "e"}, {CallID: "b2", Endpoint: "e"},
			{Team: "late", At: time.Second, Endpoint: "e", CacheNamespace: "1/", WeightsVersion: 1},
			{Team: "open", At: 10 * time.Second, Endpoint: "e", CacheNamespace: "1/apart", WeightsVersion: 1},
			// A router that has not learned of the change yet, and one that a fault keeps from it.
			{Team: "open", At: 8 * time.Second, Endpoint: "e", CacheNamespace: "1/", WeightsVersion: 1},
			{Team: "open", At: 25 * time.Second, Endpoint: "e", CacheNamespace: "1/", WeightsVersion: 1},
		},
		Isolations:     []Isolation{{"walled", 0, true}, {"late", 5 * time.Second, true}},
		WeightsOrders:  []WeightsOrder{{"e", "h1", 1}, {"e", "h2", 2}, {"d", "h1", 1}},
		ServedVersions: []ServedVersion{{"r1", 1, 3}, {"r1", 1, 4}, {"r1", 2, 3}, {"r2", 1, 1}},
		Faults: []Fault{
			{Description: "endpoint ends", Start: time.Minute - time.Second, End: time.Minute},
			{Description: "store away", Start: 20 * time.Second, End: 21 * time.Second},
			{Description: "restart", Router: "r1", Start: 90 * time.Second, End: 91 * time.Second, Planned: true},
		},
	}
}

// Guards against a checker that overlooks violations, which would let the soak pass:
// each breach that is added to a valid history must be reported exactly once.
func TestViolationsFindsEachBreach(t *testing.T) {
	assert.DeepEqual(t, validHistory().Violations(), []string(nil))
	cases := []struct {
		name, want string
		corrupt    func(h *History)
	}{
		{"non-idempotent call executed twice", "executed 2 times", func(h *History) { h.Executions = append(h.Executions, Execution{CallID: "u", Endpoint: "b"}) }},
		{"idempotent call executed three times", "executed 3 times", func(h *History) { h.Executions = append(h.Executions, Execution{CallID: "l", Endpoint: "c"}) }},
		{"refusal of an executed call", "refused with status 503 although e executed it", func(h *History) { h.Executions = append(h.Executions, Execution{CallID: "n", Endpoint: "e"}) }},
		{"response without execution", "no endpoint executed it", func(h *History) { h.Executions = h.Executions[1:] }},
		{"response to another call", "expected \"answer to u\"", func(h *History) { h.Calls[0].Body = "answer to l" }},
		{"stream ends early", "after 2 of 3 events", func(h *History) { h.Calls[2].EventIDs = []int{1, 2} }},
		{"duplicate event", "not consecutive", func(h *History) { h.Calls[2].EventIDs = []int{1, 2, 2} }},
		{"missing event", "not consecutive", func(h *History) { h.Calls[4].EventIDs = []int{2} }},
		{"incomplete response without a fault", "no fault that explains it", func(h *History) { h.Calls[1].Status, h.Calls[1].Complete = 0, false }},
		{"error without a fault", "no fault that explains it", func(h *History) { h.Calls[1].Status = 502 }},
		{"graceful restart interrupts a call", "no fault that explains it", func(h *History) {
			h.Calls[0].StartedAt, h.Calls[0].EndedAt, h.Calls[0].Complete = 89*time.Second, 90500*time.Millisecond, false
		}},
		{"fault at another router", "no fault that explains it", func(h *History) { h.Faults[0].Router = "r1" }},
		{"cache of another weights version", "used by weights versions 1 and 2", func(h *History) {
			h.Executions = append(h.Executions, Execution{CallID: "c", Endpoint: "e", Team: "open", CacheNamespace: "1/", WeightsVersion: 2})
			h.Calls[4].Kind = ResumableStream
		}},
		{"cache of an isolated team", "used by teams walled and open", func(h *History) {
			h.Executions[4].CacheNamespace = "1/walled"
			h.Executions[4], h.Executions[5] = h.Executions[5], h.Executions[4]
		}},
		{"part of a team that was isolated later", "used by teams late and open", func(h *History) { h.Executions[9].CacheNamespace = "1/" }},
		{"isolated team among others", "used by teams open and late", func(h *History) {
			h.Executions = append(h.Executions, Execution{Team: "late", At: 11 * time.Second, Endpoint: "e", CacheNamespace: "1/apart", WeightsVersion: 1})
		}},
		{"fencing token decreases", "fencing token 1 after 2", func(h *History) { h.WeightsOrders = append(h.WeightsOrders, WeightsOrder{"e", "h1", 1}) }},
		{"two lease holders use a fencing token", "used by lease holders h2 and h3", func(h *History) { h.WeightsOrders = append(h.WeightsOrders, WeightsOrder{"d", "h3", 2}) }},
		{"older configuration served", "configuration 3 after 4", func(h *History) { h.ServedVersions = append(h.ServedVersions, ServedVersion{"r1", 1, 3}) }},
		{"refusal by a replaced configuration", "refused for good at 15s what configuration 4", func(h *History) {
			h.RefusedVersions = append(h.RefusedVersions, RefusedVersion{"r1", 4, 10 * time.Second, 15 * time.Second})
		}},
		{"refusal by what a restored store lacked", "refused for good at 15s what configuration 4", func(h *History) {
			h.Restores = []time.Duration{10 * time.Second}
			h.RefusedVersions = append(h.RefusedVersions,
				RefusedVersion{"r1", 4, 9 * time.Second, 14 * time.Second}, RefusedVersion{"r1", 4, 9 * time.Second, 15 * time.Second})
		}},
		{"take-up of another version", "software versions [v1 v2]", func(h *History) { h.Calls[7].SoftwareVersions = []string{"v2"} }},
		{"two versions in one response", "software versions [v1 v2]", func(h *History) { h.Calls[2].SoftwareVersions = []string{"v1", "v2"} }},
		{"take-up repeats an event", "not consecutive from 2", func(h *History) { h.Calls[7].EventIDs, h.Calls[7].Complete = []int{1, 2, 3}, false }},
		{"take-up ends early", "after 2 of 3 events", func(h *History) { h.Calls[7].EventIDs = []int{2} }},
		{"process exits", "exited unexpectedly: r1", func(h *History) { h.UnexpectedExits = []string{"r1"} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.corrupt(h)
			got := h.Violations()
			assert.Equal(t, len(got), 1, "%q", got)
			assert.Assert(t, strings.Contains(got[0], c.want), "%q", got)
		})
	}
}
