package sharing

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

func teams(shared, isolated []string) []fleet.Team {
	var list []fleet.Team
	for _, name := range shared {
		list = append(list, fleet.Team{Name: name})
	}
	for _, name := range isolated {
		list = append(list, fleet.Team{Name: name, Isolated: true})
	}
	return list
}

// Guards against parts that a team cached before it was isolated and that others still use:
// over all configurations that follow each other, whoever made a part of a namespace and whoever
// uses it later, neither is isolated when the part is used, unless both are the same team.
func TestNoNamespaceEverHoldsPartsOfTeamsThatMustNotShare(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		makers := map[string][]string{}
		for range 60 {
			var shared, isolated []string
			for n := range 6 {
				switch name := "team-" + strconv.Itoa(n); rng.IntN(3) {
				case 0:
					shared = append(shared, name)
				case 1:
					isolated = append(isolated, name)
				}
			}
			d := New(teams(shared, isolated))
			for _, user := range append(shared, isolated...) {
				namespace := d.Namespace(user)
				for _, maker := range makers[namespace] {
					crosses := maker != user && (slices.Contains(isolated, maker) || slices.Contains(isolated, user))
					assert.Assert(t, !crosses, "seed %d: %s uses parts of %s in %q, isolated are %v", seed, user, maker, namespace, isolated)
				}
				makers[namespace] = append(makers[namespace], user)
			}
		}
	}
}

// Guards against routers that derive different namespaces from the same teams, and against
// namespaces that change, and let all teams compute their parts again, for no reason.
func TestNamespacesFollowTheIsolatedTeamsAlone(t *testing.T) {
	before := New(teams([]string{"a", "b"}, []string{"x", "y"})).Namespace("a")
	assert.Equal(t, New(teams([]string{"b", "a"}, []string{"y", "x"})).Namespace("b"), before, "another order")
	assert.Equal(t, New(teams([]string{"a", "c"}, []string{"x", "y"})).Namespace("c"), before, "teams that share come and go")
	assert.Assert(t, New(teams([]string{"a"}, []string{"x", "y", "b"})).Namespace("a") != before, "a team is isolated")
	assert.Assert(t, New(teams([]string{"a", "y"}, []string{"x"})).Namespace("a") != before, "a team is no longer isolated")
	assert.Equal(t, New(teams([]string{"a"}, nil)).Namespace("a"), "")
	assert.Equal(t, New(teams([]string{"a", "b"}, []string{"x", "y"})).Shared(), before)
}

// Guards against odd names with which a team gets into the namespace of others.
func TestOddNamesGetNamespacesOfTheirOwn(t *testing.T) {
	shared := New(teams([]string{"a"}, []string{"b"})).Namespace("a")
	odd := []string{"", " ", "x", "x ", "x\n", "*", shared, "%", "a/b", "ä", "b"}
	d := New(teams([]string{"a"}, odd))
	seen := map[string]string{d.Namespace("a"): "a", shared: "a", "": "nobody is isolated"}
	for _, name := range odd {
		namespace := d.Namespace(name)
		other, taken := seen[namespace]
		assert.Assert(t, !taken, "%q has the namespace %q of %q", name, namespace, other)
		seen[namespace] = name
	}
	assert.Assert(t, New(teams([]string{"a"}, []string{"bc", "d"})).Namespace("a") != New(teams([]string{"a"}, []string{"b", "cd"})).Namespace("a"))
	twice := New([]fleet.Team{{Name: "a"}, {Name: "b", Isolated: true}, {Name: "b"}, {Name: "c"}, {Name: "c", Isolated: true}})
	assert.Equal(t, twice.Namespace("b"), "b")
	assert.Equal(t, twice.Namespace("c"), "c")
	assert.Equal(t, New(nil).Namespace("removed"), "removed")
}
