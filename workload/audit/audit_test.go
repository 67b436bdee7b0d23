package audit

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a log that grows without bound, a log that does not report
// dropped runs, and an outcome that a later event overwrites.
func TestLogIsBoundedAndKeepsFirstOutcome(t *testing.T) {
	l := New(2)
	for _, id := range []string{"a", "b", "c"} {
		e := l.Begin(Run{RequestID: id})
		e.End(Completed, "")
		e.End(Aborted, "disconnected")
	}
	snapshot := l.Snapshot()
	assert.Equal(t, snapshot.Dropped, 1)
	assert.Equal(t, len(snapshot.Runs), 2)
	assert.Equal(t, snapshot.Runs[0].RequestID, "b")
	assert.Equal(t, snapshot.Runs[0].Outcome, Completed)
	assert.Equal(t, snapshot.Runs[0].Reason, "")
}
