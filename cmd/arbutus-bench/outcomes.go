package main

import (
	"io"

	"github.com/arbutusline/arbutusline/bench/outcomes"
)

func init() {
	registerBenchmark("outcomes", "Count requests under random faults that ran twice, were lost or interrupted, or got a wrong outcome or another request's output.", &outcomesCommand{})
}

type outcomesCommand struct {
	Seeds int `default:"1000" help:"Number of random fault schedules."`
}

// Run prints the measurements.
func (c *outcomesCommand) Run(out io.Writer) error { return outcomes.Run(out, c.Seeds) }
