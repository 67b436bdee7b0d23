package audit

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a log that grows without bound or hides that it is
// incomplete, and against an outcome that a later event overwrites.
func TestLogIsBoundedAndKeepsFirstOutcome(t *testing.T) {
	l := New(2)
	for _, id := range []string{"a", "b", "c"} {
		e := l.Begin(Run{RequestID: id})
		e.End(Completed, "")
		e.End(Aborted, "disconnected")
	}
	page := l.Snapshot()
	assert.Equal(t, page.Dropped, 1)
	assert.Equal(t, len(page.Runs), 2)
	assert.Equal(t, page.Runs[0].RequestID, "b")
	assert.Equal(t, page.Runs[0].Outcome, Completed)
	assert.Equal(t, page.Runs[0].Reason, "")
}
