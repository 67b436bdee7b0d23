package replay

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a combined report that omits the faults or latencies of one saved
// report, or that has findings although one saved report has none.
func TestCombinedReport(t *testing.T) {
	dir := t.TempDir()
	first := NewReport([]Record{{Outcome: Completed, TTFT: 10 * time.Millisecond}}, &Findings{DuplicateRuns: 1, PromptTokens: 100, CachedTokens: 50})
	second := NewReport([]Record{{Outcome: NotRun}, {Outcome: Completed, BadResponse: true, TTFT: 30 * time.Millisecond}}, &Findings{LostRequests: 2, PromptTokens: 100, CachedTokens: 100})
	paths := []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}
	assert.NilError(t, first.Save(paths[0]))
	assert.NilError(t, second.Save(paths[1]))
	combined, err := LoadSavedReports(paths...)
	assert.NilError(t, err)
	assert.Equal(t, combined.FaultCount(), 4)
	assert.Equal(t, combined.Summary.Requests, 3)
	assert.Equal(t, *combined.Summary.HitRate, 0.75)
	assert.Assert(t, combined.Summary.TTFTP99MS >= 29)

	unknown := NewReport(nil, nil)
	assert.NilError(t, unknown.Save(paths[0]))
	combined, err = LoadSavedReports(paths...)
	assert.NilError(t, err)
	assert.Assert(t, combined.Findings == nil)
}
