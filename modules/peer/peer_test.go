package peer

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/rules"
)

// deltas answers fetches with deltas.
type deltaRules struct{}

func (deltaRules) Current() *rules.View { return rules.Empty() }

func (deltaRules) FetchRules(_ context.Context, req *arbutuspb.FetchRulesRequest) (*arbutuspb.RulesSnapshot, error) {
	return &arbutuspb.RulesSnapshot{Version: req.HaveVersion + 1, Deltas: []*arbutuspb.RulesDelta{{}}}, nil
}

// Guards against a fetch that sends the whole text where a delta would do: at
// the target scale the text has 340 KB.
func TestFetchRulesSendsDeltas(t *testing.T) {
	p := &Peer{rules: deltaRules{}}
	snapshot, err := p.FetchRules(context.Background(), &arbutuspb.FetchRulesRequest{HaveVersion: 4})
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(5))
	assert.Equal(t, len(snapshot.Deltas), 1)
	assert.Equal(t, snapshot.Text, "")
}
