package answer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against output that depends on anything but prompt and index, and against
// similar output for two prompts, which would hide a stream delivered to the wrong
// caller.
func TestOutputDependsOnPromptAndIndex(t *testing.T) {
	a, b := OutputFor("prompt a"), OutputFor("prompt b")
	assert.Equal(t, a.Text(0, 40), OutputFor("prompt a").Text(0, 15)+a.Text(15, 40))
	equal := 0
	for i := range 1000 {
		assert.Equal(t, len(a.Token(i)), TokenBytes)
		if a.Token(i) == b.Token(i) || a.Token(i) == a.Token(i+1) {
			equal++
		}
	}
	assert.Assert(t, equal < 5, "%d equal tokens", equal)
}
