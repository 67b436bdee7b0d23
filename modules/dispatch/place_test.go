package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/decision/quarantine"
	"github.com/arbutusline/arbutusline/modules/trace"
	"github.com/arbutusline/arbutusline/rules"
)

// fakeGossip returns fixed membership states of the agents, by endpoint.
type fakeGossip struct {
	Gossip
	memberStates map[string]membership.State
}

func (f fakeGossip) AgentByEndpoint(name string) (membership.Member, bool) {
	state, known := f.memberStates[name]
	return membership.Member{Name: name, Incarnation: 7, State: state}, known
}

// fakeRules returns a fixed view.
type fakeRules struct {
	RulesSource
	view *rules.View
}

func (f fakeRules) Current() *rules.View { return f.view }

const fleetSize = 40

// newTestExecution returns the execution of a request in a fleet whose agents have
// the given states.
func newTestExecution(t *testing.T, memberStates map[string]membership.State) *execution {
	ruleLines := []string{"team t token-sha256 " + strings.Repeat("ab", 32) + " # a: b", "allow t model m # a: b"}
	for i := range fleetSize {
		ruleLines = append(ruleLines, fmt.Sprintf("endpoint e-%02d model m host h-%02d zone z # a: b", i, i))
	}
	view, err := rules.Compile("test", 1, strings.Join(ruleLines, "\n"))
	assert.NilError(t, err)
	team, _ := view.Team("t")
	requestTraces := &trace.Trace{MaxRequests: 8}
	assert.NilError(t, requestTraces.Provision(nil))
	d := &Dispatcher{
		placer: placement.New(placement.Config{}, rand.New(rand.NewPCG(1, 2))),
		gossip: fakeGossip{memberStates: memberStates}, rules: fakeRules{view: view},
		suspects: quarantine.New(quarantine.Config{}), copies: quarantine.NewCopies(), MaxCandidates: 3,
	}
	d.applyRules(view)
	req := &Request{ID: "r-1", Team: team, Kind: rules.KindModel, Target: "m", Completion: &arbutuspb.Completion{Model: "m", Prompt: "p"}}
	return &execution{d: d, req: req, trace: requestTraces.Begin("r-1", "t"), placementRequest: &placement.Request{
		Pool: rules.PoolName(rules.KindModel, "m", ""), NamespaceHash: 3, Zone: "z",
	}}
}

// Guards against a refusal with "no endpoint" while a live agent is left: after the
// loss of an availability zone, all ranked candidates of many requests are gone.
func TestSelectEndpointFindsOnlyLiveAgent(t *testing.T) {
	for alive := range fleetSize {
		name := fmt.Sprintf("e-%02d", alive)
		x := newTestExecution(t, map[string]membership.State{name: membership.Alive})
		in := x.selectEndpoint(attempt.SelectEndpoint{}).(attempt.EndpointSelected)
		assert.Equal(t, in.Endpoint, name)
		assert.Equal(t, in.AgentIncarnation, uint64(7))
	}
}

// Guards against attempts at agents that are suspected to be dead while live agents
// are left: such attempts fail and use up the retry budget.
func TestSelectEndpointPrefersLiveAgents(t *testing.T) {
	states := map[string]membership.State{}
	for i := range fleetSize {
		states[fmt.Sprintf("e-%02d", i)] = membership.Suspect
	}
	first := newTestExecution(t, states).selectEndpoint(attempt.SelectEndpoint{}).(attempt.EndpointSelected).Endpoint
	assert.Assert(t, first != "", "a suspect agent must be selected if there is no other")
	for i := range fleetSize {
		name := fmt.Sprintf("e-%02d", i)
		if name == first {
			continue
		}
		states[name] = membership.Alive
		x := newTestExecution(t, states)
		got := x.selectEndpoint(attempt.SelectEndpoint{}).(attempt.EndpointSelected).Endpoint
		assert.Equal(t, states[got], membership.Alive)
		states[name] = membership.Suspect
		break
	}
}

// Guards against copies of a suspected request that run at several endpoints because
// each copy was refused by another one.
func TestSuspectHasOneIsolationEndpoint(t *testing.T) {
	states := map[string]membership.State{}
	for i := range fleetSize {
		states[fmt.Sprintf("e-%02d", i)] = membership.Alive
	}
	x := newTestExecution(t, states)
	x.req.Fingerprint = 9
	x.d.suspects.Merge(x.d.now(), quarantine.Report{Fingerprint: 9, Level: quarantine.LevelSuspect})
	isolation := x.selectEndpoint(attempt.SelectEndpoint{}).(attempt.EndpointSelected).Endpoint
	for i := range fleetSize {
		excluded := fmt.Sprintf("e-%02d", i)
		want := isolation
		if excluded == isolation {
			want = ""
		}
		got := x.selectEndpoint(attempt.SelectEndpoint{Exclude: []string{excluded}}).(attempt.EndpointSelected).Endpoint
		assert.Equal(t, got, want, "after a refusal by %s", excluded)
	}
}

// Guards against copies of a request that are sent at the same moment and crash one
// engine each. Once a copy has produced output, the others are free.
func TestCopiesFollowTheRunningCopy(t *testing.T) {
	states := map[string]membership.State{}
	for i := range fleetSize {
		states[fmt.Sprintf("e-%02d", i)] = membership.Alive
	}
	x := newTestExecution(t, states)
	x.req.Fingerprint = 9
	x.d.copies.Start(9, "e-31")
	got := x.selectEndpoint(attempt.SelectEndpoint{}).(attempt.EndpointSelected)
	assert.Equal(t, got.Endpoint, "e-31")
	assert.Assert(t, got.MustQueue, "the agent must not send the copy elsewhere")
	assert.Assert(t, x.selectEndpoint(attempt.SelectEndpoint{Exclude: []string{"e-31"}}).(attempt.EndpointSelected).Endpoint != "e-31")
	x.d.copies.End(9, "e-31")
	x.untrackCopy()
	assert.Equal(t, x.d.copies.Len(), 0)
}
