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

// fixedDirectory knows the state of each endpoint's agent.
type fixedDirectory struct {
	Directory
	states map[string]membership.State
}

func (f fixedDirectory) AgentByEndpoint(name string) (membership.Member, bool) {
	state, known := f.states[name]
	return membership.Member{Name: name, Incarnation: 7, State: state}, known
}

type fixedRules struct {
	RulesSource
	view *rules.View
}

func (f fixedRules) Current() *rules.View { return f.view }

const fleetSize = 40

// newPlacing returns a request in a fleet whose agents have the given states.
func newPlacing(t *testing.T, states map[string]membership.State) *execution {
	text := []string{"team t token-sha256 " + strings.Repeat("ab", 32) + " # a: b", "allow t model m # a: b"}
	for i := range fleetSize {
		text = append(text, fmt.Sprintf("endpoint e-%02d model m host h-%02d zone z # a: b", i, i))
	}
	view, err := rules.Compile("test", 1, strings.Join(text, "\n"))
	assert.NilError(t, err)
	team, _ := view.Team("t")
	record := &trace.Trace{MaxRequests: 8}
	assert.NilError(t, record.Provision(nil))
	d := &Dispatcher{
		placer:    placement.New(placement.Config{}, rand.New(rand.NewPCG(1, 2))),
		directory: fixedDirectory{states: states}, rules: fixedRules{view: view},
		suspects: quarantine.New(quarantine.Config{}), Candidates: 3,
	}
	d.rulesChanged(view)
	req := &Request{ID: "r-1", Team: team, Kind: rules.KindModel, Target: "m", Completion: &arbutuspb.Completion{Model: "m", Prompt: "p"}}
	return &execution{d: d, req: req, record: record.Begin("r-1", "t"), placing: &placement.Request{
		Pool: rules.PoolName(rules.KindModel, "m", ""), NamespaceHash: 3, Zone: "z",
	}}
}

// Guards against "no endpoint" while a live one is left: after the loss of a
// zone, the first candidates of many requests are all gone.
func TestPlaceFindsTheLiveEndpoint(t *testing.T) {
	for alive := range fleetSize {
		name := fmt.Sprintf("e-%02d", alive)
		x := newPlacing(t, map[string]membership.State{name: membership.Alive})
		in := x.place(attempt.SelectEndpoint{}).(attempt.EndpointSelected)
		assert.Equal(t, in.Endpoint, name)
		assert.Equal(t, in.AgentIncarnation, uint64(7))
	}
}

// Guards against attempts at agents that are probably dead while live ones are
// left: their failures would use up the retry budget.
func TestPlacePrefersLiveAgentsToSuspects(t *testing.T) {
	states := map[string]membership.State{}
	for i := range fleetSize {
		states[fmt.Sprintf("e-%02d", i)] = membership.Suspect
	}
	first := newPlacing(t, states).place(attempt.SelectEndpoint{}).(attempt.EndpointSelected).Endpoint
	assert.Assert(t, first != "", "a suspect is better than none")
	for i := range fleetSize {
		name := fmt.Sprintf("e-%02d", i)
		if name == first {
			continue
		}
		states[name] = membership.Alive
		x := newPlacing(t, states)
		got := x.place(attempt.SelectEndpoint{}).(attempt.EndpointSelected).Endpoint
		assert.Equal(t, states[got], membership.Alive)
		states[name] = membership.Suspect
		break
	}
}
