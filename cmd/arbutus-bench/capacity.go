package main

import "github.com/arbutusline/arbutusline/bench/capacity"

func init() {
	registerBenchmark("capacity", "Measure how costs grow with load and compute the cost of each role at the target scale.", &capacity.Command{})
}
