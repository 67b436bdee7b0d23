// Command arbutus-bench runs the benchmarks, each as a subcommand.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// benchmark is a subcommand whose fields kong sets from its flags.
type benchmark interface {
	Run(out io.Writer) error
}

// registration is a benchmark with the name and help text of its subcommand.
type registration struct {
	name, help string
	command    benchmark
}

var benchmarks []registration

// registerBenchmark adds a benchmark. It is called from init functions.
func registerBenchmark(name, help string, command benchmark) {
	benchmarks = append(benchmarks, registration{name, help, command})
}

// allCommand is the subcommand that runs every benchmark with the defaults of its
// flags.
type allCommand struct{}

// Run runs the benchmarks sequentially.
func (allCommand) Run(out io.Writer) error {
	for _, r := range benchmarks {
		if err := runWithDefaults(r.name, out); err != nil {
			return fmt.Errorf("%s: %w", r.name, err)
		}
	}
	return nil
}

func kongOptions(out io.Writer) []kong.Option {
	opts := []kong.Option{
		kong.Name("arbutus-bench"),
		kong.Description("Runs benchmarks and prints the results as JSON lines. The last line is the verdict."),
		kong.BindTo(out, (*io.Writer)(nil)),
		kong.DynamicCommand("all", "Run every benchmark.", "", &allCommand{}),
	}
	for _, r := range benchmarks {
		opts = append(opts, kong.DynamicCommand(r.name, r.help, "", r.command))
	}
	return opts
}

// runWithDefaults runs a benchmark with the defaults of its flags.
func runWithDefaults(name string, out io.Writer) error {
	return run([]string{name}, out)
}

func run(args []string, out io.Writer) error {
	parser, err := kong.New(&struct{}{}, kongOptions(out)...)
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return ctx.Run()
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "arbutus-bench:", err)
		os.Exit(1)
	}
}
