package selection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

// The status that operators see must name the reason that the choice goes by: an
// endpoint that is not "used" is not chosen while another one is.
func TestUseAgreesWithSelect(t *testing.T) {
	const now = 2 * time.Hour
	prompt := &fleet.Prompt{Model: "m", InputTokens: 100, MaxOutputTokens: 100, Parts: []fleet.Part{{ID: 1, Tokens: 100}}}
	cases := []struct {
		want    Use
		prepare func(s *Selector, e *fleet.Endpoint)
	}{
		{Used, func(*Selector, *fleet.Endpoint) {}},
		{IsDraining, func(_ *Selector, e *fleet.Endpoint) { e.State = fleet.Draining }},
		{ChangesWeights, func(s *Selector, e *fleet.Endpoint) { s.Swapping(now, e.ID, "m", 2) }},
		{NoLongRequests, func(s *Selector, e *fleet.Endpoint) { s.SwappingSoon(now, e.ID, "m", 2) }},
		{IsSuspended, func(s *Selector, e *fleet.Endpoint) { s.Ended(now, &Request{}, Choice{Endpoint: e}, Dead) }},
		{OnTrial, func(s *Selector, e *fleet.Endpoint) {
			s.Ended(now-time.Hour, &Request{}, Choice{Endpoint: e}, Dead)
			s.Started(now, &Request{}, Choice{Endpoint: e})
		}},
		{IsFull, func(s *Selector, e *fleet.Endpoint) {
			s.RemoteLoads([]Load{{Endpoint: e.ID, Running: e.Slots * queueShare}})
		}},
		{RefusedLately, func(s *Selector, e *fleet.Endpoint) { s.Ended(now, &Request{}, Choice{Endpoint: e}, Refused) }},
	}
	for _, c := range cases {
		t.Run(string(c.want), func(t *testing.T) {
			// The endpoint in the router's zone is the better one when it is used.
			near := &fleet.Endpoint{ID: "near", Service: "llm", Zone: "a", Slots: 2, Weights: map[string]uint64{"m": 1}}
			far := &fleet.Endpoint{ID: "far", Service: "llm", Zone: "b", Slots: 2, Weights: map[string]uint64{"m": 1}}
			v := &fleet.View{
				ByService: map[string][]*fleet.Endpoint{"llm": {far, near}},
				ByID:      map[string]*fleet.Endpoint{"far": far, "near": near},
			}
			s := New(testConfig(), "a")
			c.prepare(s, near)
			assert.Equal(t, s.Use(now, near), c.want)
			choice, ok := s.Select(now, time.Now(), v, &Request{Service: "llm", Prompt: prompt})
			assert.Assert(t, ok)
			assert.Equal(t, choice.Endpoint.ID == "near", c.want == Used, "chose %s", choice.Endpoint.ID)
		})
	}
}
