package capacity

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against counts that differ between runs: TestPageCountsAreCurrent compares
// the page with them.
func TestCountsRepeat(t *testing.T) {
	counts := func() Slopes {
		var all, counted Slopes
		for _, f := range []func(*Slopes) error{measureDatagramSizes, measureLedgerCounts} {
			assert.NilError(t, f(&all))
		}
		for _, s := range all {
			if s.Kind == KindCount {
				counted = append(counted, s)
			}
		}
		return counted
	}
	first := counts()
	assert.Assert(t, len(first) > 8)
	assert.DeepEqual(t, first, counts())
}

// Guards against a generated rules file at the target scale that does not compile: a
// failing compilation would be measured as cheap.
func TestTargetRulesCompile(t *testing.T) {
	view, err := compileRules(generateRules(targetTeams, targetEndpoints))
	assert.NilError(t, err)
	assert.Equal(t, view.TeamCount(), targetTeams)
}

// Guards against wrong slopes: the fit must recover the coefficients of exact data,
// whatever their order of magnitude, and reject data that do not determine them.
func TestLeastSquares(t *testing.T) {
	var list []observation
	for i := range 8 {
		x := []float64{1, float64(i * i % 7), float64(100 * i)}
		list = append(list, observation{x, 5000 + 30*x[1] + 0.25*x[2]})
	}
	got, err := leastSquares(list)
	assert.NilError(t, err)
	for i, want := range []float64{5000, 30, 0.25} {
		assert.Assert(t, got[i] > want*0.999 && got[i] < want*1.001, "coefficient %d is %v", i, got[i])
	}
	_, err = leastSquares(list[:1])
	assert.ErrorIs(t, err, errSingular)
}

// Guards against counting a truncated response as complete.
func TestReadStream(t *testing.T) {
	n, _, err := readStream(strings.NewReader("id: a:1\ndata: {\"choices\":[]}\n\ndata: {\"usage\":{\"completion_tokens\":7}}\n\ndata: [DONE]\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, n, 7)
	n, _, err = readStream(strings.NewReader("id: a:1\ndata: {\"choices\":[]}\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, n, 0)
}
