package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// Command is the subcommand "capacity" of arbutus-bench.
type Command struct {
	Markdown     bool   `help:"Print the tables of docs/CAPACITY.md instead of JSON lines."`
	PageFile     string `name:"page" placeholder:"FILE" help:"Replace the tables in this page."`
	DataPathFile string `name:"data-path" placeholder:"FILE" help:"Slopes of the data path, written by scripts/data-path.sh."`

	LoadTarget
}

// Run measures the slopes and prints them or updates the page.
func (c *Command) Run(out io.Writer) error {
	if c.Router != "" {
		return c.measureDataPath(out)
	}
	s, err := Measure()
	if err != nil {
		return err
	}
	if c.DataPathFile != "" {
		report, err := ReadDataPathReport(c.DataPathFile)
		if err != nil {
			return err
		}
		s = append(s, report.Slopes...)
	}
	switch {
	case c.PageFile != "":
		return UpdatePageFile(c.PageFile, s)
	case c.Markdown:
		return printMarkdown(out, s)
	}
	return printJSON(out, s)
}

func printMarkdown(out io.Writer, s Slopes) error {
	names, blocks, err := PageBlocks(s)
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, err := fmt.Fprintf(out, blockStartFormat+"%s"+blockEndLine+"\n", name, blocks[name]); err != nil {
			return err
		}
	}
	return nil
}

// measureDataPath sends load to running processes, prints the results and writes them to
// DataPathFile if it is set.
func (c *Command) measureDataPath(out io.Writer) error {
	report, err := MeasureDataPath(context.Background(), c.LoadTarget)
	if err != nil {
		return err
	}
	for _, r := range report.Runs {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
	}
	if err := printJSON(out, report.Slopes); err != nil || c.DataPathFile == "" {
		return err
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.DataPathFile, append(text, '\n'), 0o644), "write data path slopes")
}

// outputLine is one JSON line of the output.
type outputLine struct {
	Bench string `json:"bench"`
	Slope
}

func printJSON(out io.Writer, s Slopes) error {
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	for _, slope := range s {
		if err := enc.Encode(outputLine{"capacity", slope}); err != nil {
			return err
		}
	}
	return nil
}
