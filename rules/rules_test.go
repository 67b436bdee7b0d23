package rules

import (
	"errors"
	"flag"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Makes the random edits the same on every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against reporting only the first problem of a file, or a wrong position.
func TestCompileReportsEveryFault(t *testing.T) {
	text := strings.Join([]string{
		"drain endpoint nowhere # jose: maintenance",
		"allow ghost model none",
		"bogus rule # jose: typo",
	}, "\n")
	_, err := Compile("site.rules", 1, text)
	assert.Assert(t, errors.Is(err, ErrInvalid))
	assert.Equal(t, err.Error(), strings.Join([]string{
		`site.rules:1:16: read "nowhere", expected the endpoint of an endpoint that a rule defines`,
		`site.rules:2:23: read end of line, expected a comment "# who: why"`,
		`site.rules:2:7: read "ghost", expected a team that a team rule defines`,
		`site.rules:2:19: read "none", expected a model that an endpoint serves`,
		`site.rules:3:1: read "bogus", expected one of allow, drain, endpoint, fencing, half, host, limit, once, rollout, service, team, weights`,
	}, "\n"))
}

// Guards against merges that lose an edit, duplicate a rule or resolve a conflict
// silently, and against misleading lists of problems.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.Contains(path, "fuzz") {
			return
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "format":
				return Format(d.Input)
			case "compile":
				_, err := Compile("r", 1, d.Input)
				return err.Error() + "\n"
			}
			parts := strings.Split(d.Input+"\n", "---\n")
			return formatMerge(Merge(parts[0], parts[1], parts[2]))
		})
	})
}

func formatMerge(m MergeResult) string {
	if len(m.Conflicts) == 0 {
		for _, d := range m.Duplicates {
			m.Text += "duplicate " + d + "\n"
		}
		return m.Text
	}
	var b strings.Builder
	for _, c := range m.Conflicts {
		fmt.Fprintf(&b, "conflict %s by %q for %q: %s\n", c.Key, c.Author, c.Reason, c)
	}
	return b.String()
}

var seeds = []string{
	"", "\n", "#", "# only a comment", "team", "half", "limit", "once", "drain", "rollout", "fencing",
	"service s endpoint", "once service s POST", "weights hit", "a\x00b # x: y", "\xff # x: y", "\r\n\r",
	"team a token-sha256 " + strings.Repeat("ab", 32) + " share 2 # x: y\nhalf n teams a a # x: y\nhost h owner n # x: y",
	"endpoint e model m host h zone z # x: y\nservice s endpoint e host h zone z # x: y\ndrain host h # x: y",
	strings.Repeat("x", 1025), strings.Repeat("# \n", 3000),
}

// Guards against panics and hangs on hostile files. Any text gives a view or a list
// of problems, and Format is idempotent and does not change the meaning of a file.
func FuzzCompile(f *testing.F) {
	for _, s := range seeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		view, err := Compile("f", 1, text)
		if (view == nil) == (err == nil) {
			t.Fatalf("view %v, error %v", view, err)
		}
		formatted := Format(text)
		if again := Format(formatted); again != formatted {
			t.Fatalf("formatted %q, then %q", formatted, again)
		}
		if view != nil && len(formatted) < MaxTextBytes {
			assertSameView(t, view, formatted)
		}
	})
}

func assertSameView(t *testing.T, view *View, formatted string) {
	got, err := Compile("f", 1, formatted)
	if err != nil {
		// Only the padding of comments can make a line too long.
		assert.ErrorContains(t, err, "at most 1024 bytes")
		return
	}
	got.Text = view.Text
	assert.Assert(t, reflect.DeepEqual(view, got))
}

// Guards against panics in Merge, and against diffs that do not reproduce either
// text when they are applied or inverted.
func FuzzMerge(f *testing.F) {
	for i, s := range seeds {
		f.Add(s, seeds[(i+1)%len(seeds)], seeds[(i+5)%len(seeds)])
	}
	f.Fuzz(func(t *testing.T, base, mine, theirs string) {
		Merge(base, mine, theirs)
		hunks := Diff(mine, theirs)
		got, err := Patch(mine, hunks)
		assert.NilError(t, err)
		assert.Equal(t, got, theirs)
		back, err := Patch(theirs, Invert(hunks))
		assert.NilError(t, err)
		assert.Equal(t, back, mine)
		assert.Equal(t, len(Blame(nil, Diff("", mine), Origin{})), strings.Count(mine, "\n")+1)
	})
}

// drawEdit returns lines with random removals, changes and additions.
func drawEdit(t *rapid.T, lines []string, who string) []string {
	out := append([]string(nil), lines...)
	for n := rapid.IntRange(0, 4).Draw(t, "edits"); n > 0; n-- {
		at := rapid.IntRange(0, len(out)).Draw(t, "at")
		name := rapid.IntRange(0, 12).Draw(t, "name")
		switch op := rapid.IntRange(0, 3).Draw(t, "op"); {
		case op == 0:
			out = slices.Insert(out, at, fmt.Sprintf("drain host h%d # %s: add %d", name, who, n))
		case op == 1:
			out = slices.Insert(out, at, "")
		case at < len(out) && op == 2:
			out = slices.Delete(out, at, at+1)
		case at < len(out):
			out[at] = fmt.Sprintf("limit t%d requests %d/s # %s: change", name, n, who)
		}
	}
	return out
}

// Guards against merges that differ from the edited side when only one side edits,
// report identical edits as a conflict, or lose a line without a conflict.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var base []string
		for i := range rapid.IntRange(0, 10).Draw(t, "lines") {
			base = append(base, fmt.Sprintf("limit t%d requests 1/s # ann: base", i))
		}
		mine, theirs := drawEdit(t, base, "jose"), drawEdit(t, base, "omar")
		baseText, mineText, theirsText := joinLines(base), joinLines(mine), joinLines(theirs)

		// Bypasses the early returns of Merge for equal texts.
		for _, c := range [][4]string{{baseText, mineText, baseText, mineText}, {baseText, baseText, theirsText, theirsText}, {baseText, mineText, mineText, mineText}} {
			merger := newMerger(Lines(c[0]), Lines(c[1]), Lines(c[2]))
			merger.mergeBaseLines()
			merger.mergeMineLines()
			got := merger.finish()
			assert.Equal(t, len(got.Conflicts), 0, "%v", got.Conflicts)
			assert.Equal(t, got.Text, c[3])
		}
		got := Merge(baseText, mineText, theirsText)
		if len(got.Conflicts) > 0 {
			return
		}
		mergedCounts := lineCounts(splitLines(got.Text))
		for _, side := range [][]string{mine, theirs} {
			for l := range lineCounts(side) {
				if slices.Contains(base, l) || slices.Contains(got.Duplicates, l) {
					continue
				}
				assert.Assert(t, mergedCounts[l] > 0, "line %q was lost", l)
			}
		}
		for l := range mergedCounts {
			assert.Assert(t, slices.Contains(mine, l) || slices.Contains(theirs, l), "line %q is in neither side", l)
			inBase := slices.Contains(base, l)
			assert.Assert(t, !inBase || (slices.Contains(mine, l) && slices.Contains(theirs, l)), "removed line %q is back", l)
		}
	})
}

func lineCounts(lines []string) map[string]int {
	counts := map[string]int{}
	for _, l := range lines {
		counts[l]++
	}
	return counts
}

// Guards against another spelling of a path that a once rule does not match.
func TestOnceMatchesSpellingsOfThePath(t *testing.T) {
	v, err := Compile("r", 1, "service s endpoint e host h zone z # a: b\nonce service s POST /recovery # a: b")
	assert.NilError(t, err)
	for path, want := range map[string]bool{
		"/recovery": true, "/recovery/7": true, "/recovery?x=1": true, "//recovery": true, "/./recovery": true,
		"/x/../recovery/7": true, "/%72ecovery": true, "/recovery-report": false, "/x/recovery": false, "": false,
	} {
		assert.Equal(t, v.AtMostOnce(KindService, "s", "post", path), want, path)
	}
}

// Guards against a half that cannot list all teams of a large deployment. The length
// of a line is limited, so the teams need several lines, each with its own key.
func TestHalfMayHaveSeveralLines(t *testing.T) {
	var lines []string
	for i := range 4 {
		lines = append(lines, fmt.Sprintf("team t%d token-sha256 %064x # jose: split", i, i+1))
	}
	lines = append(lines, "half north teams t0 t1 # jose: split", "half north teams t2 # jose: split", "half south teams t3 # jose: split")
	view, err := Compile("site.rules", 1, strings.Join(lines, "\n"))
	assert.NilError(t, err)
	for name, half := range map[string]string{"t0": "north", "t1": "north", "t2": "north", "t3": "south"} {
		team, ok := view.Team(name)
		assert.Assert(t, ok)
		assert.Equal(t, team.Half, half)
	}
	first, second := Line{Rule: "half north teams t0 t1"}, Line{Rule: "half north teams t2"}
	assert.Assert(t, first.Key() != second.Key())
	assert.Equal(t, first.Key(), Line{Rule: "half north teams t0 t9"}.Key())

	_, err = Compile("site.rules", 1, strings.Join(append(lines, "half south teams t2 # jose: split"), "\n"))
	assert.Assert(t, errors.Is(err, ErrInvalid))
}
