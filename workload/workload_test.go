package workload

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/workload/answer"
)

// Guards against runs that differ for the same seed, which would make failures
// impossible to reproduce, and against content that another run ID repeats.
func TestSameSeedSameSequence(t *testing.T) {
	cfg := Config{Deployment: Kaayal(), Seed: 7, RunID: "a", Duration: 20 * time.Second}
	first, second := New(cfg).All(), New(cfg).All()
	assert.DeepEqual(t, first, second)
	cfg.RunID = "b"
	other := New(cfg).All()
	assert.Equal(t, len(other), len(first))
	seen := map[string]bool{}
	for i, r := range append(first, other...) {
		if r.Kind == KindCompletion || r.Body != "" {
			assert.Assert(t, !seen[r.Content()], "content of request %d is repeated", i)
			seen[r.Content()] = true
		}
	}
	assert.Equal(t, other[5].SendAt, first[5].SendAt)
}

func hottest(requests []Request) (guidance string, teamPrefix int) {
	byGuidance, byTeamPrefix := map[string]int{}, map[int]int{}
	team := requests[0].Team
	for _, r := range requests {
		if r.Kind != KindCompletion {
			continue
		}
		byGuidance[r.Guidance]++
		if byGuidance[r.Guidance] > byGuidance[guidance] {
			guidance = r.Guidance
		}
		if r.Team != team {
			continue
		}
		byTeamPrefix[r.TeamPrefix]++
		if byTeamPrefix[r.TeamPrefix] > byTeamPrefix[teamPrefix] {
			teamPrefix = r.TeamPrefix
		}
	}
	return guidance, teamPrefix
}

// Guards against a workload that lacks the properties under which routing is
// measured: request rate, shares of teams and kinds, and a hot set that shifts.
func TestTraffic(t *testing.T) {
	for _, d := range []Deployment{Kaayal(), PichaYetu()} {
		all := New(Config{Deployment: d, Seed: 1, RequestsPerSecond: 100, Duration: 100 * time.Second}).All()
		want := 100 * 50 * (1 + d.PeakRateFactor)
		assert.Assert(t, float64(len(all)) > 0.95*want && float64(len(all)) < 1.05*want, "%d requests", len(all))
		teams, kinds, shift := map[string]int{}, map[Kind]int{}, 0
		for i, r := range all {
			teams[r.Team]++
			kinds[r.Kind]++
			if r.SendAt < 50*time.Second {
				shift = i + 1
			}
		}
		traffic := 0
		for _, team := range d.Teams {
			traffic += team.TrafficPercent
			percent := 100 * teams[team.Name] / len(all)
			assert.Assert(t, percent >= team.TrafficPercent-2 && percent <= team.TrafficPercent+2, "%s has %d%%", team.Name, percent)
		}
		assert.Equal(t, traffic, 100)
		assert.Assert(t, kinds[KindNonIdempotentCall]*100/len(all) >= 4 && kinds[KindNonIdempotentCall]*100/len(all) <= 6)
		guidance, teamPrefix := hottest(all[:shift])
		newGuidance, newTeamPrefix := hottest(all[shift:])
		assert.Equal(t, guidance, d.Guidance[0])
		assert.Equal(t, newGuidance, d.PeakGuidance)
		assert.Assert(t, teamPrefix != newTeamPrefix)
	}
}

// Guards against prompts that have the same guidance document and team prefix but
// share no cache blocks.
func TestPromptsShareNestedPrefixes(t *testing.T) {
	all := New(Config{Deployment: Kaayal(), Seed: 1, RequestsPerSecond: 100}).All()
	type sharedParts struct {
		team, guidance string
		teamPrefix     int
	}
	first := map[sharedParts]Request{}
	compared := 0
	for _, r := range all {
		if r.Kind != KindCompletion {
			continue
		}
		key := sharedParts{r.Team, r.Guidance, r.TeamPrefix}
		other, ok := first[key]
		if !ok {
			first[key] = r
			continue
		}
		compared++
		a, b := prefix.AppendBlockHashes(nil, 1, r.Prompt), prefix.AppendBlockHashes(nil, 1, other.Prompt)
		shared := 0
		for shared < min(len(a), len(b)) && a[shared] == b[shared] {
			shared++
		}
		// A shared part has at least half of its mean length.
		assert.Assert(t, shared*prefix.TokensPerBlock >= (900+400)/2-prefix.TokensPerBlock, "%d shared blocks", shared)
		assert.Assert(t, r.Prompt != other.Prompt)
	}
	assert.Assert(t, compared > 1000)
}

// Guards against crashing requests without the crash marker and against a wrong
// number of them.
func TestCrashEvery(t *testing.T) {
	all := New(Config{Deployment: Kaayal(), Seed: 1, RequestsPerSecond: 100, MaxRequests: 500, CrashEvery: 100}).All()
	crashing := 0
	for _, r := range all {
		marked := strings.Contains(r.Prompt, answer.CrashMarker)
		assert.Equal(t, marked, r.CrashesEngine)
		if marked {
			crashing++
		}
	}
	assert.Equal(t, crashing, 4)
}

// Guards against a misspelt deployment name that selects a default.
func TestFindDeployment(t *testing.T) {
	_, err := FindDeployment("kayal")
	assert.Assert(t, cmp.ErrorIs(err, ErrUnknownDeployment))
	d, err := FindDeployment("picha")
	assert.NilError(t, err)
	assert.Equal(t, d.Engines, 9)
}
