package main

import "github.com/arbutusline/arbutusline/bench/routing"

func init() {
	registerBenchmark("routing", "Measure the routing decision in virtual time.", &routing.Command{})
}
