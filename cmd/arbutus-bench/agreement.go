package main

import (
	"io"

	"github.com/arbutusline/arbutusline/bench/agreement"
)

func init() {
	registerBenchmark("agreement", "Measure the propagation of rules and the cost of membership in virtual time.", &agreementCommand{})
}

type agreementCommand struct{}

// Run prints the measurements.
func (*agreementCommand) Run(out io.Writer) error { return agreement.Run(out) }
