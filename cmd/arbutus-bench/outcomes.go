package main

import (
	"io"

	"github.com/arbutusline/arbutusline/bench/outcomes"
)

func init() {
	registerBenchmark("outcomes", "Count doubled, lost, cut, crossed and false answers under random faults.", &outcomesCommand{})
}

type outcomesCommand struct {
	Seeds int `default:"1000" help:"Number of random fault schedules."`
}

// Run prints the measurements.
func (c *outcomesCommand) Run(out io.Writer) error { return outcomes.Run(out, c.Seeds) }
