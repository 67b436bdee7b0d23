package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/placement"
	"github.com/arbutusline/arbutusline/rules"
)

// Guards against a changed pool that is mistaken for unchanged: the pool would keep a
// draining endpoint or lack an endpoint whose drain has ended.
func TestApplyRulesUpdatesPools(t *testing.T) {
	const base = "endpoint e-1 model m host h-1 zone z # a: b\nendpoint e-2 model m host h-2 zone z # a: b\n"
	d := &Dispatcher{placer: placement.New(placement.Config{}, rand.New(rand.NewPCG(1, 2)))}
	countRankedEndpoints := func() string {
		var names []string
		for i := range 50 {
			r := &placement.Request{Pool: rules.PoolName(rules.KindModel, "m", ""), NamespaceHash: uint64(i), Zone: "z"}
			for _, c := range d.placer.Rank(0, r, nil) {
				if !strings.Contains(strings.Join(names, " "), c.Endpoint) {
					names = append(names, c.Endpoint)
				}
			}
		}
		return fmt.Sprint(len(names))
	}
	for version, step := range []struct{ extraRules, want string }{
		{"", "2"},
		{"drain endpoint e-2 # a: b\n", "1"},
		{"drain endpoint e-2 # a: b\nweights hit 2 recompute 1 tail 1 # a: b\n", "1"},
		{"", "2"},
	} {
		view, err := rules.Compile("test", uint64(version+1), base+step.extraRules)
		assert.NilError(t, err)
		d.applyRules(view)
		assert.Equal(t, countRankedEndpoints(), step.want, "version %d", version+1)
	}
}
