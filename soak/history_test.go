package soak

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// good returns a history that keeps all promises.
func good() *History {
	return &History{
		Events: 3,
		Calls: []Call{
			{ID: "u", Kind: Unsafe, Router: "r1", Status: 200, Whole: true, Text: "answer to u", Begun: time.Second, Ended: 2 * time.Second},
			{ID: "l", Kind: Lookup, Router: "r1", Status: 200, Whole: true, Text: "answer to l"},
			{ID: "s", Kind: Resumable, Router: "r2", Status: 200, Whole: true, Events: []int{1, 2, 3}},
			{ID: "n", Kind: Single, Router: "r2", Status: 503},
			{ID: "c", Kind: Single, Router: "r2", Status: 200, Events: []int{1}, Left: true},
			{ID: "f", Kind: Unsafe, Router: "r2", Status: 502, Begun: time.Minute, Ended: time.Minute},
		},
		Runs: []Run{
			{Call: "u", Endpoint: "a"}, {Call: "l", Endpoint: "a"}, {Call: "l", Endpoint: "b"}, {Call: "c", Endpoint: "e"},
			{Call: "s", Team: "open", Endpoint: "e", Namespace: "1/", Weights: 1},
			{Call: "f", Team: "walled", Isolated: true, Endpoint: "e", Namespace: "1/walled", Weights: 1},
		},
		Orders:   []Order{{"e", "h1", 1}, {"e", "h2", 2}, {"d", "h1", 1}},
		Versions: []Version{{"r1", 1, 3}, {"r1", 1, 4}, {"r1", 2, 3}, {"r2", 1, 1}},
		Faults: []Fault{
			{What: "endpoint ends", From: time.Minute - time.Second, To: time.Minute},
			{What: "restart", Router: "r1", From: 90 * time.Second, To: 91 * time.Second, Planned: true},
		},
	}
}

// A checker that overlooks a fault proves nothing: each fault that is planted in a good
// history must be found, once.
func TestPlantedFaultsAreFound(t *testing.T) {
	assert.DeepEqual(t, good().Check(), []string(nil))
	cases := []struct {
		name, want string
		plant      func(h *History)
	}{
		{"unsafe call runs twice", "ran 2 times", func(h *History) { h.Runs = append(h.Runs, Run{Call: "u", Endpoint: "b"}) }},
		{"lookup runs three times", "ran 3 times", func(h *History) { h.Runs = append(h.Runs, Run{Call: "l", Endpoint: "c"}) }},
		{"false refusal", "refused with 503 although e ran it", func(h *History) { h.Runs = append(h.Runs, Run{Call: "n", Endpoint: "e"}) }},
		{"invented answer", "no endpoint ran it", func(h *History) { h.Runs = h.Runs[1:] }},
		{"answer of another call", "expected \"answer to u\"", func(h *History) { h.Calls[0].Text = "answer to l" }},
		{"stream ends early", "after 2 of 3 events", func(h *History) { h.Calls[2].Events = []int{1, 2} }},
		{"event twice", "not in order", func(h *History) { h.Calls[2].Events = []int{1, 2, 2} }},
		{"event missing", "not in order", func(h *History) { h.Calls[4].Events = []int{2} }},
		{"cut without a fault", "without a fault", func(h *History) { h.Calls[1].Status, h.Calls[1].Whole = 0, false }},
		{"error without a fault", "without a fault", func(h *History) { h.Calls[1].Status = 502 }},
		{"graceful restart cuts a call", "without a fault", func(h *History) {
			h.Calls[0].Begun, h.Calls[0].Ended, h.Calls[0].Whole = 89*time.Second, 90500*time.Millisecond, false
		}},
		{"fault at another router", "without a fault", func(h *History) { h.Faults[0].Router = "r1" }},
		{"cache of other weights", "used by weights 1 and 2", func(h *History) {
			h.Runs = append(h.Runs, Run{Call: "c", Endpoint: "e", Team: "open", Namespace: "1/", Weights: 2})
			h.Calls[4].Kind = Resumable
		}},
		{"cache of an isolated team", "used by teams walled and open", func(h *History) {
			h.Runs[4].Namespace = "1/walled"
			h.Runs[4], h.Runs[5] = h.Runs[5], h.Runs[4]
		}},
		{"fence falls", "fence 1 after 2", func(h *History) { h.Orders = append(h.Orders, Order{"e", "h1", 1}) }},
		{"two holders of a fence", "held by h2 and h3", func(h *History) { h.Orders = append(h.Orders, Order{"d", "h3", 2}) }},
		{"configuration goes back", "configuration 3 after 4", func(h *History) { h.Versions = append(h.Versions, Version{"r1", 1, 3}) }},
		{"process ends", "ended by itself: r1", func(h *History) { h.Exits = []string{"r1"} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := good()
			c.plant(h)
			got := h.Check()
			assert.Equal(t, len(got), 1, "%q", got)
			assert.Assert(t, strings.Contains(got[0], c.want), "%q", got)
		})
	}
}
