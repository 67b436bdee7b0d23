package selection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

// newShortRequest returns a request whose shared part is small.
func newShortRequest(part uint64) *Request {
	return &Request{Service: "llm", Prompt: &fleet.Prompt{
		Model: testModel, Tokens: 300, MaxOutputTokens: 20,
		Parts: []fleet.PromptPart{{ID: part, Tokens: 100}, {ID: 999, Tokens: 200}},
	}}
}

// Guards against a short prompt that waits behind a long one at the endpoint that holds
// its small shared part, although computing the part elsewhere takes milliseconds.
func TestShortPromptAvoidsALongQueue(t *testing.T) {
	v, s := newView(6, 1), New(testConfig(), "a")
	holder := runRequest(t, s, 0, v, newShortRequest(1)).Endpoint.ID
	s.ReplaceRemoteLoads(nil, []EndpointLoad{{EndpointID: holder, Running: 1, PendingPrefillTokens: 7000}})
	assert.Assert(t, mustSelect(t, s, 0, v, newShortRequest(1)).Endpoint.ID != holder)
}

// Guards against the herd: many routers that know each other's loads as of a moment ago
// all choose the endpoint that was idle then. Their apertures cover all endpoints, and
// each endpoint is in about as many as the others.
func TestAperturesCoverTheEndpointsEvenly(t *testing.T) {
	for _, size := range []struct{ routers, endpoints int }{{2, 12}, {11, 20}, {12, 20}, {68, 12}, {5, 3}} {
		v := newView(size.endpoints, 1)
		apertures := map[string]int{}
		for position := range size.routers {
			s := New(testConfig(), "a")
			s.SetRouters(position, size.routers)
			p := s.pool(v, newShortRequest(1))
			assert.Assert(t, len(p.aperture) >= min(size.endpoints, minApertureEndpoints))
			for _, i := range p.aperture {
				apertures[p.candidates[i].endpoint.ID]++
			}
		}
		assert.Equal(t, len(apertures), size.endpoints, "%+v", size)
		mean := float64(size.routers*max(minApertureEndpoints, (size.endpoints+size.routers-1)/size.routers)) / float64(size.endpoints)
		for id, n := range apertures {
			assert.Assert(t, float64(n) <= 2*mean+1, "%+v: %s is in %d apertures, mean %.1f", size, id, n, mean)
		}
	}
}

// Guards against short requests outside the aperture while it has room, against queues
// in the aperture while others are idle, and against large shared parts that are
// computed again inside the aperture.
func TestApertureIsPreferredWhileItHasRoom(t *testing.T) {
	v, s := newView(20, 1), New(testConfig(), "a")
	s.SetRouters(3, 10)
	inside := map[string]bool{}
	p := s.pool(v, newShortRequest(1))
	for _, i := range p.aperture {
		inside[p.candidates[i].endpoint.ID] = true
	}
	assert.Equal(t, len(inside), 2)
	for part := range uint64(50) {
		assert.Assert(t, inside[mustSelect(t, s, 0, v, newShortRequest(part)).Endpoint.ID])
	}
	var loads []EndpointLoad
	for id := range inside {
		loads = append(loads, EndpointLoad{EndpointID: id, Running: 1, PendingPrefillTokens: 17000})
	}
	s.ReplaceRemoteLoads(nil, loads)
	assert.Assert(t, !inside[mustSelect(t, s, 0, v, newShortRequest(1)).Endpoint.ID])
	s.ReplaceRemoteLoads(loads, nil)
	holder := ""
	for part := uint64(100); holder == "" || inside[holder]; part++ {
		holder = runRequest(t, s, time.Second, v, newRequest(1, part)).Endpoint.ID
		assert.Equal(t, mustSelect(t, s, time.Second, v, newRequest(1, part)).Endpoint.ID, holder)
	}
}

// Guards against a router whose availability zone has no endpoint or just one, which
// would get all requests even if it fails.
func TestApertureWithFewLocalEndpoints(t *testing.T) {
	for local := range 2 {
		v, s := newView(4, 1), New(testConfig(), "here")
		for i := range local {
			v.EndpointsByService["llm"][i].Zone = "here"
		}
		s.SetRouters(1, 2)
		assert.Equal(t, len(s.pool(v, newShortRequest(1)).aperture), 2, "%d local endpoints", local)
	}
}

// Guards against plain requests that stay at a failing endpoint because it is the nearest
// one.
func TestPlainRequestsLeaveAFailingEndpoint(t *testing.T) {
	v, s := newView(3, 1), New(testConfig(), "here")
	near := v.EndpointsByService["llm"][0]
	near.Zone = "here"
	s.SetRouters(0, 5)
	r := &Request{Service: "llm"}
	assert.Equal(t, mustSelect(t, s, 0, v, r).Endpoint.ID, near.ID)
	for range 5 {
		s.ObserveEnded(0, r, Choice{Endpoint: near}, OutcomeErrorResponse)
	}
	assert.Assert(t, mustSelect(t, s, 0, v, r).Endpoint.ID != near.ID)
}
