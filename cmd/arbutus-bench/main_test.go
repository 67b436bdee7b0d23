package main

import (
	"io"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
)

// Guards against a benchmark that is registered by value instead of by pointer, which
// makes the parser panic for every subcommand.
func TestAllSubcommandsParse(t *testing.T) {
	assert.Assert(t, len(benchmarks) >= 4)
	for _, r := range benchmarks {
		parser, err := kong.New(&struct{}{}, kongOptions(io.Discard)...)
		assert.NilError(t, err)
		_, err = parser.Parse([]string{r.name})
		assert.NilError(t, err, r.name)
	}
}
