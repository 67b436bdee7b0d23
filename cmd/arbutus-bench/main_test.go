package main

import (
	"io"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
)

// Guards against a benchmark whose registration makes the command line panic:
// one that was registered by value made every subcommand fail.
func TestAllSubcommandsParse(t *testing.T) {
	assert.Assert(t, len(benchmarks) >= 4)
	for _, r := range benchmarks {
		parser, err := kong.New(&struct{}{}, kongOptions(io.Discard)...)
		assert.NilError(t, err)
		_, err = parser.Parse([]string{r.name})
		assert.NilError(t, err, r.name)
	}
}
