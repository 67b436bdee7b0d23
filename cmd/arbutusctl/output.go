package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/arbutusline/arbutusline/ruleadmin"
	"github.com/arbutusline/arbutusline/rules"
)

// print writes text for people, or value as JSON.
func (s *session) print(text string, value any) {
	if s.json {
		s.printJSON(value)
		return
	}
	fmt.Fprint(s.stdout, text)
}

func (s *session) printJSON(value any) {
	e := json.NewEncoder(s.stdout)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		fmt.Fprintln(s.stderr, "arbutusctl:", err)
	}
}

// table writes rows in aligned columns.
func (s *session) table(rows [][]string) {
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// printResult reports an applied change.
func (s *session) printResult(r ruleadmin.ChangeResult) {
	text := fmt.Sprintf("version %d is in force\n", r.Version)
	switch {
	case r.Unchanged:
		text = fmt.Sprintf("nothing to change: version %d already says so\n", r.Version)
	case r.AlreadyApplied:
		text = fmt.Sprintf("an earlier run already made version %d\n", r.Version)
	}
	if r.CurrentVersion > r.Version {
		text += fmt.Sprintf("later changes followed up to version %d\n", r.CurrentVersion)
	}
	for _, d := range r.Duplicates {
		text += "already there, kept as it is in force: " + d + "\n"
	}
	s.print(text+rules.FormatDiff(r.Hunks), r)
}
