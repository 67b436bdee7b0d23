package outcomes

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against results that cannot be encoded, violations of invariants, and
// requests that crash more than two engines.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	for _, result := range []benchResult{measureFaults("all", AllFaultKinds, 8, 10), measureClaims(10, true), measureCrashes(2, 0, 4)} {
		assert.NilError(t, json.NewEncoder(&out).Encode(result))
		for _, count := range []*int{result.RanTwice, result.FalseDone, result.IncompleteOutput, result.ForeignOutput, result.FalseNotRun, result.NoAnswer, result.OtherViolations} {
			assert.Assert(t, count == nil || *count == 0, "%s", out.String())
		}
		assert.Assert(t, result.MaxCrashes == nil || *result.MaxCrashes <= 2)
	}
}
