package selection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

// Guards against a reported availability that differs from Select: an endpoint that is
// not "used" must not be selected while another one is.
func TestAvailabilityAgreesWithSelect(t *testing.T) {
	const now = 2 * time.Hour
	prompt := &fleet.Prompt{Model: "m", Tokens: 100, MaxOutputTokens: 100, Parts: []fleet.PromptPart{{ID: 1, Tokens: 100}}}
	cases := []struct {
		want    Availability
		prepare func(s *Selector, e *fleet.Endpoint)
	}{
		{Available, func(*Selector, *fleet.Endpoint) {}},
		{Draining, func(_ *Selector, e *fleet.Endpoint) { e.State = fleet.Draining }},
		{ChangingWeights, func(s *Selector, e *fleet.Endpoint) { s.ObserveWeightsChangeStarted(now, e.ID, "m", 2) }},
		{ShortRequestsOnly, func(s *Selector, e *fleet.Endpoint) { s.ObserveWeightsChangeSoon(now, e.ID, "m", 2) }},
		{Suspended, func(s *Selector, e *fleet.Endpoint) {
			s.ObserveEnded(now, &Request{}, Choice{Endpoint: e}, OutcomeNoResponse)
		}},
		{OnTrial, func(s *Selector, e *fleet.Endpoint) {
			s.ObserveEnded(now-time.Hour, &Request{}, Choice{Endpoint: e}, OutcomeNoResponse)
			s.ObserveStarted(now, &Request{}, Choice{Endpoint: e})
		}},
		{Full, func(s *Selector, e *fleet.Endpoint) {
			s.ReplaceRemoteLoads(nil, []EndpointLoad{{EndpointID: e.ID, Running: e.Slots * maxRequestsPerSlot}})
		}},
		{RecentlyRefused, func(s *Selector, e *fleet.Endpoint) {
			s.ObserveEnded(now, &Request{}, Choice{Endpoint: e}, OutcomeRefused)
		}},
	}
	for _, c := range cases {
		t.Run(string(c.want), func(t *testing.T) {
			// The endpoint in the router's zone is cheaper if it is available.
			near := &fleet.Endpoint{ID: "near", Service: "llm", Zone: "a", Slots: 2, WeightsVersions: map[string]uint64{"m": 1}}
			far := &fleet.Endpoint{ID: "far", Service: "llm", Zone: "b", Slots: 2, WeightsVersions: map[string]uint64{"m": 1}}
			v := &fleet.View{
				EndpointsByService: map[string][]*fleet.Endpoint{"llm": {far, near}},
				EndpointsByID:      map[string]*fleet.Endpoint{"far": far, "near": near},
			}
			s := New(testConfig(), "a")
			c.prepare(s, near)
			assert.Equal(t, s.Availability(now, near), c.want)
			choice, ok := s.Select(now, time.Now(), v, &Request{Service: "llm", Prompt: prompt})
			assert.Assert(t, ok)
			assert.Equal(t, choice.Endpoint.ID == "near", c.want == Available, "chose %s", choice.Endpoint.ID)
		})
	}
}
