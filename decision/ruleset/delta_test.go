package ruleset

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a delta whose result differs from the text that it was computed for,
// and against applying a delta to a different base text or version.
func TestDeltaReproducesText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "", "d"}), 0, 40)
		a := &Text{Version: 1, Body: strings.Join(lines.Draw(t, "a"), "\n")}
		b := &Text{Version: 2, Body: strings.Join(lines.Draw(t, "b"), "\n")}
		d := Diff(a, b)
		got, err := d.Apply(a)
		assert.NilError(t, err)
		assert.Equal(t, got.Body, b.Body)
		c := &Text{Version: 1, Body: a.Body + "x"}
		if got, err := d.Apply(c); err == nil {
			assert.Equal(t, got.Body, b.Body)
		}
		_, err = d.Apply(&Text{Version: 7, Body: a.Body})
		assert.ErrorIs(t, err, ErrWrongBaseVersion)
	})
}

// Guards against a panic on the edits of a corrupt or malicious datagram.
func TestDeltaRefusesBadEdits(t *testing.T) {
	base := &Text{Version: 1, Body: "a\nb"}
	for _, e := range []Edit{{BaseLine: 3}, {BaseLine: -1}, {BaseLine: 1, RemovedCount: 1 << 62}, {BaseLine: 0, RemovedCount: -1}} {
		_, err := (&Delta{BaseVersion: 1, Version: 2, Edits: []Edit{e}}).Apply(base)
		assert.ErrorIs(t, err, ErrInvalidDelta)
	}
}

// Guards against a delta that replaces the whole text for two edits far apart in a
// large file.
func TestDiffStaysSmall(t *testing.T) {
	lines := make([]string, 5000)
	for i := range lines {
		lines[i] = strings.Repeat("x", i%50)
	}
	a := &Text{Version: 1, Body: strings.Join(lines, "\n")}
	lines[10], lines[4900] = "first", "second"
	d := Diff(a, &Text{Version: 2, Body: strings.Join(lines, "\n")})
	assert.Equal(t, len(d.Edits), 2)
	assert.Assert(t, d.MaxEncodedSize() < 200)
}
