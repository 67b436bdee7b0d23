package peer

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/rules"
)

// deltaRules returns a delta for every fetch.
type deltaRules struct{}

func (deltaRules) Current() *rules.View { return rules.Empty() }

func (deltaRules) FetchRules(_ context.Context, req *arbutuspb.FetchRulesRequest) (*arbutuspb.RulesSnapshot, error) {
	return &arbutuspb.RulesSnapshot{Version: req.HaveVersion + 1, Deltas: []*arbutuspb.RulesDelta{{}}}, nil
}

// Guards against sending the whole rules text, 340 KB at the target scale, where a
// delta suffices.
func TestFetchRulesSendsDeltas(t *testing.T) {
	p := &Peer{rules: deltaRules{}}
	snapshot, err := p.FetchRules(context.Background(), &arbutuspb.FetchRulesRequest{HaveVersion: 4})
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(5))
	assert.Equal(t, len(snapshot.Deltas), 1)
	assert.Equal(t, snapshot.Text, "")
}
