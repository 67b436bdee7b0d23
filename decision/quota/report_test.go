package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a crash by a report that is older than the process which receives it, as those
// that others forward to a router right after its start.
func TestReportOlderThanTheProcess(t *testing.T) {
	for age := time.Duration(0); age < 3*time.Second; age += 30 * time.Millisecond {
		l := New("a", 1)
		l.SetLimits(0, map[string]Limit{"team": {Rate: 1000, Burst: 1000}})
		l.SetRouters(0, []string{"b", "c"})
		l.Admit(0, "team", 2000)
		l.Merge(20*time.Millisecond, "b", []Use{{Team: "team", Router: "c", Incarnation: 1, Sequence: 1, Admitted: 100, DemandRate: 500, Age: age}}, nil)
		uses, _ := l.Reports(30*time.Millisecond, 24)
		assert.Assert(t, len(uses) > 0)
	}
}
