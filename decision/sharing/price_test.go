package sharing

import (
	"container/list"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/fleet"
)

// The simulation plays routers that learn of configurations late or restart with an older one, in
// front of engines with caches of limited size, and counts the prompt parts that engines read
// again and those that cross a wall, for several ways to choose namespaces.

var allSizes = flag.Bool("figures", false, "play all ways to choose namespaces at all sizes and print the figures")

const (
	teamCount     = 550
	isolatedCount = 5
	guidances     = 40
	casesEach     = 12
	partsPerCache = 160
	warmUp        = 20 * time.Second
	// priced is how long after its last use a part that is read again has a price.
	priced = 10 * time.Second
	// spread is the longest time in which a router in touch learns of a configuration, and
	// bound that after which the wall is judged.
	spread, bound = time.Second, 4 * time.Second
	lateSpread    = 8 * time.Second
)

// size is a deployment: kaayal-arbutus, its large form, and the size to design for.
type size struct{ routers, engines, requestsPerSecond int }

var sizes = []size{{4, 18, 100}, {68, 120, 1700}, {380, 2100, 9500}}

// configuration is one version of the teams. Era is that of the store.
type configuration struct {
	version, era int
	at           time.Duration
	teams        []fleet.Team
}

func (c *configuration) isolated(team string) bool {
	return slices.ContainsFunc(c.teams, func(t fleet.Team) bool { return t.Name == team && t.Isolated })
}

func (c *configuration) lists(team string) bool {
	return slices.ContainsFunc(c.teams, func(t fleet.Team) bool { return t.Name == team })
}

func baseTeams() []fleet.Team {
	var teams []fleet.Team
	for n := range teamCount {
		teams = append(teams, fleet.Team{Name: "team-" + strconv.Itoa(n), Isolated: n%100 == 50 && n/100 < isolatedCount})
	}
	return teams
}

// changed returns the teams after a change of one of them, which is then isolated, listed or not.
func changed(teams []fleet.Team, name string, isolated, listed bool) []fleet.Team {
	teams = slices.DeleteFunc(slices.Clone(teams), func(t fleet.Team) bool { return t.Name == name })
	if listed {
		teams = append(teams, fleet.Team{Name: name, Isolated: isolated})
	}
	return teams
}

// events are what happens after the warm-up: the steps follow each other in three seconds.
var events = []struct {
	name  string
	steps func(teams []fleet.Team) [][]fleet.Team
}{
	{"routes change", func(t []fleet.Team) [][]fleet.Team { return [][]fleet.Team{t} }},
	{"team isolated", func(t []fleet.Team) [][]fleet.Team { return [][]fleet.Team{changed(t, "team-3", true, true)} }},
	{"team isolated and put back", func(t []fleet.Team) [][]fleet.Team {
		return [][]fleet.Team{changed(t, "team-3", true, true), t}
	}},
	{"isolated team added", func(t []fleet.Team) [][]fleet.Team { return [][]fleet.Team{changed(t, "new", true, true)} }},
	{"sharing team added", func(t []fleet.Team) [][]fleet.Team { return [][]fleet.Team{changed(t, "new", false, true)} }},
	{"team no longer isolated", func(t []fleet.Team) [][]fleet.Team { return [][]fleet.Team{changed(t, "team-50", false, true)} }},
	{"isolated team removed and added", func(t []fleet.Team) [][]fleet.Team {
		return [][]fleet.Team{changed(t, "team-50", false, false), t}
	}},
	{"sharing team removed, added isolated", func(t []fleet.Team) [][]fleet.Team {
		return [][]fleet.Team{changed(t, "team-3", false, false), changed(t, "team-3", true, true)}
	}},
}

// way returns the cache namespace of a team in the last of the configurations.
type way func(history []configuration, team string) string

func hashed(names []string) string {
	return "*" + strconv.FormatUint(xxhash.Sum64String(strings.Join(names, "/")), 36)
}

var ways = []struct {
	name string
	way  way
	safe bool
}{
	{"names of isolated teams (chosen)", nil, true}, // set by play, which caches the domains
	{"one namespace for all that share (before)", func(h []configuration, team string) string {
		if h[len(h)-1].isolated(team) {
			return team
		}
		return ""
	}, false},
	{"names of sharing teams", func(h []configuration, team string) string {
		if h[len(h)-1].isolated(team) {
			return team
		}
		var names []string
		for _, t := range h[len(h)-1].teams {
			if !t.Isolated {
				names = append(names, t.Name)
			}
		}
		slices.Sort(names)
		return hashed(names)
	}, true},
	{"version of the configuration", func(h []configuration, team string) string {
		if h[len(h)-1].isolated(team) {
			return team
		}
		return hashed([]string{strconv.Itoa(h[len(h)-1].version)})
	}, true},
	{"each team its own", func(_ []configuration, team string) string { return team }, true},
	{"record of who ever shared", recordNamespace, true},
}

// recordNamespace is what a record in the store could reach if it always knew all versions: a new
// namespace when a team is isolated that shared in the last one, and in each era of the store.
func recordNamespace(h []configuration, team string) string {
	if h[len(h)-1].isolated(team) {
		return team
	}
	epoch, shared := 0, map[string]bool{}
	for _, c := range h {
		if slices.ContainsFunc(c.teams, func(t fleet.Team) bool { return t.Isolated && shared[t.Name] }) {
			epoch, shared = c.version, map[string]bool{}
		}
		for _, t := range c.teams {
			shared[t.Name] = shared[t.Name] || !t.Isolated
		}
	}
	return hashed([]string{strconv.Itoa(h[len(h)-1].era), strconv.Itoa(epoch)})
}

// engineCache is a cache of parts that evicts the least recently used one.
type engineCache struct {
	order *list.List
	parts map[string]*list.Element
}

type cachedPart struct{ key, maker string }

// use returns who made the part, and whether the engine had to read it.
func (c *engineCache) use(key, user string) (maker string, read bool) {
	if e, ok := c.parts[key]; ok {
		c.order.MoveToFront(e)
		return e.Value.(cachedPart).maker, false
	}
	if c.order.Len() >= partsPerCache {
		oldest := c.order.Back()
		delete(c.parts, oldest.Value.(cachedPart).key)
		c.order.Remove(oldest)
	}
	c.parts[key] = c.order.PushFront(cachedPart{key, user})
	return user, true
}

// outcome counts the parts that were read after the warm-up, and the uses of parts across a wall
// by routers that know the configuration in force and by those that do not.
type outcome struct{ reads, crossed, crossedLate int }

// play plays the configurations of one event.
func play(s size, seed uint64, choose way, steps [][]fleet.Team) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	versions := []configuration{{version: 1, teams: baseTeams()}}
	for i, teams := range steps {
		at := warmUp + time.Duration(i)*3*time.Second
		versions = append(versions, configuration{version: i + 2, at: at, teams: teams})
	}
	// learned[r][i] is when router r learns of version i; one in forty is late.
	learned := make([][]time.Duration, s.routers)
	for r := range learned {
		learned[r] = make([]time.Duration, len(versions))
		for i := 1; i < len(versions); i++ {
			learned[r][i] = versions[i].at + time.Duration(rng.Int64N(int64(spread)))
			if r%40 == 3 {
				learned[r][i] = versions[i].at + lateSpread
			}
		}
	}
	// A quarter of the routers restarts with the version before, from a copy of the store.
	restart := versions[len(versions)-1].at + 3*time.Second
	known := func(r int, now time.Duration) int {
		newest := 0
		for i := range versions {
			if learned[r][i] <= now {
				newest = i
			}
		}
		if r%4 == 1 && now >= restart && now < restart+time.Second/2 {
			newest = max(0, len(versions)-2)
		}
		return newest
	}
	domains := make([]*Domains, len(versions))
	for i := range versions {
		domains[i] = New(versions[i].teams)
	}
	names := map[string]string{}
	namespace := func(i int, team string) string {
		if choose == nil {
			return domains[i].Namespace(team)
		}
		key := strconv.Itoa(i) + team
		if _, ok := names[key]; !ok {
			names[key] = choose(versions[:i+1], team)
		}
		return names[key]
	}
	caches := make([]engineCache, s.engines)
	for i := range caches {
		caches[i] = engineCache{list.New(), map[string]*list.Element{}}
	}
	var out outcome
	zipf := rand.NewZipf(rng, 1.3, 20, teamCount-1)
	partZipf := rand.NewZipf(rng, 1.2, 4, guidances*casesEach-1)
	end := warmUp + 3*time.Second*time.Duration(max(0, len(steps)-1)) + priced
	interval := time.Second / time.Duration(s.requestsPerSecond)
	for now := time.Duration(0); now < end; now += interval {
		team, prompt, router := "team-"+strconv.FormatUint(zipf.Uint64(), 10), partZipf.Uint64(), rng.IntN(s.routers)
		i := known(router, now)
		force := &versions[0]
		for n := range versions {
			if versions[n].at <= now {
				force = &versions[n]
			}
		}
		if !force.lists(team) || !versions[i].lists(team) {
			continue
		}
		ns := namespace(i, team)
		first := ns + "|" + strconv.FormatUint(prompt%guidances, 10)
		copies := uint64(max(2, s.engines/20)) // how many engines serve one guidance
		cache := &caches[(xxhash.Sum64String(first)+rng.Uint64N(copies))%uint64(s.engines)]
		for _, key := range []string{first, first + "|" + strconv.FormatUint(prompt, 10)} {
			maker, read := cache.use(key, team)
			if read && now >= warmUp {
				out.reads++
			}
			if maker != team && now >= force.at+bound && (force.isolated(maker) || force.isolated(team)) {
				if versions[i].version == force.version {
					out.crossed++
				} else {
					out.crossedLate++
				}
			}
		}
	}
	return out
}

// Guards against parts that cross a wall at a router which knows the configuration in force,
// whatever other routers know, and against a change that makes teams read their parts again
// although the isolated teams stay the same.
func TestNoPartCrossesAWallInADeployment(t *testing.T) {
	for _, s := range sizes[:2] {
		quiet := play(s, 1, nil, nil)
		for _, e := range events {
			if s.routers > 4 && e.name != "team isolated" {
				continue
			}
			got := play(s, 1, nil, e.steps(baseTeams()))
			assert.Equal(t, got.crossed, 0, "%d routers, %s", s.routers, e.name)
			if e.name == "routes change" || e.name == "sharing team added" {
				assert.Equal(t, got.reads, quiet.reads, "%d routers, %s", s.routers, e.name)
			}
		}
	}
}

// Guards against a simulation that finds no crossing: the namespaces of before must show it.
func TestSimulationFindsPartsThatCrossAWall(t *testing.T) {
	for _, e := range []int{1, 7} {
		got := play(sizes[0], 1, ways[1].way, events[e].steps(baseTeams()))
		assert.Assert(t, got.crossed > 0, events[e].name)
	}
}

// Prints the figures of docs/cache-sharing.md.
func TestFigures(t *testing.T) {
	if !*allSizes {
		t.Skip("only with -figures")
	}
	for _, s := range sizes {
		for _, w := range ways {
			line := fmt.Sprintf("%3d routers | %-42s", s.routers, w.name)
			for _, e := range events {
				steps := e.steps(baseTeams())
				quietSteps := make([][]fleet.Team, len(steps))
				for i := range quietSteps {
					quietSteps[i] = baseTeams()
				}
				quiet := play(s, 1, ways[1].way, quietSteps)
				got := play(s, 1, w.way, steps)
				line += fmt.Sprintf(" | %s %+d", e.name, got.reads-quiet.reads)
				if got.crossed+got.crossedLate > 0 {
					line += fmt.Sprintf(" (crossed %d, late %d)", got.crossed, got.crossedLate)
				}
				assert.Assert(t, !w.safe || got.crossed == 0, line)
			}
			t.Log(line)
		}
	}
}
