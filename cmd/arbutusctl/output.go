package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/arbutusline/arbutusline/ruleadmin"
	"github.com/arbutusline/arbutusline/rules"
)

// printTextOrJSON prints value for JSON output, otherwise text.
func (inv *invocation) printTextOrJSON(text string, value any) {
	if inv.jsonOutput {
		inv.printJSON(value)
		return
	}
	fmt.Fprint(inv.stdout, text)
}

func (inv *invocation) printJSON(value any) {
	e := json.NewEncoder(inv.stdout)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		fmt.Fprintln(inv.stderr, "arbutusctl:", err)
	}
}

// printTable prints rows in aligned columns.
func (inv *invocation) printTable(rows [][]string) {
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
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

// printChangeResult reports whether and how the rules changed.
func (inv *invocation) printChangeResult(r ruleadmin.ChangeResult) {
	text := fmt.Sprintf("version %d is in force\n", r.Version)
	switch {
	case r.Unchanged:
		text = fmt.Sprintf("nothing to change: version %d already contains the change\n", r.Version)
	case r.AlreadyApplied:
		text = fmt.Sprintf("an earlier run already applied the change as version %d\n", r.Version)
	}
	if r.CurrentVersion > r.Version {
		text += fmt.Sprintf("later changes are in force up to version %d\n", r.CurrentVersion)
	}
	for _, d := range r.Duplicates {
		text += "already in force, kept unchanged: " + d + "\n"
	}
	inv.printTextOrJSON(text+rules.FormatDiff(r.Hunks), r)
}
