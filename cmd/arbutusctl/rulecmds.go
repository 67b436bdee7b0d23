package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/ruleadmin"
	"github.com/arbutusline/arbutusline/rules"
)

// baseVersionPrefix starts the first line that show writes and apply reads. The line
// tells from which version a file was edited.
const baseVersionPrefix = "# arbutusctl base version "

// cutBaseVersion removes the first line if it contains a base version, and returns that
// version.
func cutBaseVersion(text string) (rest string, version uint64, found bool) {
	first, rest, _ := strings.Cut(text, "\n")
	number, hasPrefix := strings.CutPrefix(strings.TrimRight(first, "\r "), baseVersionPrefix)
	version, err := strconv.ParseUint(number, 10, 64)
	if !hasPrefix || err != nil {
		return text, 0, false
	}
	return rest, version, true
}

type checkCmd struct {
	File string `arg:"" help:"Rules file; - for standard input."`
}

// Run checks a file.
func (c *checkCmd) Run(inv *invocation) error {
	text, err := inv.readFileOrStdin(c.File)
	if err != nil {
		return err
	}
	if _, err := rules.Compile(c.File, 0, text); err != nil {
		return err
	}
	inv.printTextOrJSON(c.File+" is valid\n", map[string]any{"file": c.File, "valid": true})
	return nil
}

type fmtCmd struct {
	File      string `arg:"" help:"Rules file; - for standard input."`
	Write     bool   `short:"w" help:"Write the result to the file instead of printing it."`
	CheckOnly bool   `name:"list" short:"l" help:"Only check whether the file is formatted; exit with code 1 if it is not."`
}

// Run formats a file, or checks its format.
func (c *fmtCmd) Run(inv *invocation) error {
	text, err := inv.readFileOrStdin(c.File)
	if err != nil {
		return err
	}
	formatted := rules.Format(text)
	if c.CheckOnly {
		if formatted != text {
			return errors.Newf("%s is not formatted", c.File)
		}
		return nil
	}
	if c.Write && c.File != "-" {
		if formatted == text {
			return nil
		}
		return os.WriteFile(c.File, []byte(formatted), 0o644)
	}
	inv.printTextOrJSON(formatted, map[string]any{"file": c.File, "text": formatted, "changed": formatted != text})
	return nil
}

// changeArgs holds the arguments that apply and diff share.
type changeArgs struct {
	File        string  `arg:"" help:"Rules file; - for standard input."`
	BaseVersion *uint64 `name:"base" help:"Rules version that the file was edited from. Default: the version in its first line, which show writes."`
}

// readRequest reads the file and its base version.
func (c *changeArgs) readRequest(inv *invocation) (ruleadmin.ChangeRequest, error) {
	text, err := inv.readFileOrStdin(c.File)
	if err != nil {
		return ruleadmin.ChangeRequest{}, err
	}
	// The line with the base version is removed after the check, so that the problems
	// found have the line numbers of the file.
	if _, err := rules.Compile(c.File, 0, text); err != nil {
		return ruleadmin.ChangeRequest{}, err
	}
	text, baseVersion, hasBase := cutBaseVersion(text)
	switch {
	case c.BaseVersion != nil:
		baseVersion = *c.BaseVersion
	case !hasBase:
		// Without a base version, lines that others added since the file was written
		// would count as removed.
		return ruleadmin.ChangeRequest{}, markedErrorf(errUsage, "%s has no line %q: give --base VERSION (0 if there are no rules yet)", c.File, baseVersionPrefix+"N")
	}
	return ruleadmin.ChangeRequest{Text: text, BaseVersion: baseVersion}, nil
}

type applyCmd struct {
	changeArgs
	Author  string `name:"who" help:"Author of the change. Default: the author in the comments of the changed lines."`
	Reason  string `name:"why" help:"Reason for the change. Default: the reasons in the comments of the changed lines."`
	WriteID string `help:"Identifies the change when the same command runs again. Default: derived from file, base, author and reason."`
	DryRun  bool   `help:"Only show what would change."`
}

// Run applies a file.
func (c *applyCmd) Run(inv *invocation) error {
	req, err := c.readRequest(inv)
	if err != nil {
		return err
	}
	admin, err := inv.newRuleAdmin()
	if err != nil {
		return err
	}
	if c.DryRun {
		return inv.printPreview(admin, req)
	}
	req.Author, req.Reason, req.WriteID = c.Author, c.Reason, c.WriteID
	if req.Author == "" || req.Reason == "" {
		if err := inv.fillAuthorAndReason(admin, &req); err != nil {
			return err
		}
	}
	result, err := admin.Apply(inv.ctx, req)
	if err != nil {
		return err
	}
	inv.printChangeResult(result)
	return nil
}

// maxReasonBytes is the length at which a reason joined from comments is truncated.
const maxReasonBytes = 200

// fillAuthorAndReason sets a missing author or reason from the comments of the lines
// that the file adds to its base version. Lines that differ only in format do not count.
func (inv *invocation) fillAuthorAndReason(admin *ruleadmin.Admin, req *ruleadmin.ChangeRequest) error {
	base := ""
	if req.BaseVersion > 0 {
		r, err := admin.Version(inv.ctx, req.BaseVersion)
		if err != nil {
			return err
		}
		base = r.Text
	}
	author, reasons := "", []string{}
	for _, h := range rules.Diff(rules.Format(base), rules.Format(req.Text)) {
		for _, l := range rules.Lines(strings.Join(h.Added, "\n")) {
			if l.Rule == "" {
				continue
			}
			if author != "" && author != l.Author && req.Author == "" {
				return markedErrorf(errUsage, "the changed lines name two authors, %s and %s: give --who", author, l.Author)
			}
			author = l.Author
			if !strings.Contains("; "+strings.Join(reasons, "; ")+"; ", "; "+l.Reason+"; ") {
				reasons = append(reasons, l.Reason)
			}
		}
	}
	if req.Author == "" {
		req.Author = author
	}
	if req.Reason == "" {
		req.Reason = strings.ToValidUTF8(strings.Join(reasons, "; "), "")
		if len(req.Reason) > maxReasonBytes {
			req.Reason = strings.ToValidUTF8(req.Reason[:maxReasonBytes], "") + "…"
		}
	}
	if req.Author == "" || req.Reason == "" {
		return markedErrorf(errUsage, "the change adds no rule that names its author and reason: give --who and --why")
	}
	return nil
}

// printPreview prints what the change would do.
func (inv *invocation) printPreview(admin *ruleadmin.Admin, req ruleadmin.ChangeRequest) error {
	r, err := admin.Preview(inv.ctx, req)
	if err != nil {
		return err
	}
	text := rules.FormatDiff(r.Hunks)
	for _, d := range r.Duplicates {
		text += "already in force, kept unchanged: " + d + "\n"
	}
	if r.Unchanged {
		text += fmt.Sprintf("no difference from version %d\n", r.Version)
	}
	inv.printTextOrJSON(text, r)
	return nil
}

type diffCmd struct {
	changeArgs
}

// Run shows what apply would change.
func (c *diffCmd) Run(inv *invocation) error {
	req, err := c.readRequest(inv)
	if err != nil {
		return err
	}
	admin, err := inv.newRuleAdmin()
	if err != nil {
		return err
	}
	return inv.printPreview(admin, req)
}

type historyCmd struct {
	MaxVersions int  `name:"limit" help:"Maximum number of versions to list." default:"20"`
	ShowDiff    bool `name:"diff" help:"Also print the changed lines."`
}

// Run lists the latest versions, newest first.
func (c *historyCmd) Run(inv *invocation) error {
	admin, err := inv.newRuleAdmin()
	if err != nil {
		return err
	}
	list, err := admin.History(inv.ctx, c.MaxVersions)
	if err != nil {
		return err
	}
	if inv.jsonOutput {
		inv.printJSON(list)
		return nil
	}
	rows := [][]string{{"VERSION", "TIME", "BASE", "WHO", "LINES", "WHY"}}
	for _, r := range list {
		row := []string{
			strconv.FormatUint(r.Version, 10), r.CreatedAt.Format(time.RFC3339), strconv.FormatUint(r.BaseVersion, 10),
			r.Author, changedLineCounts(r.Hunks), r.Reason,
		}
		if c.ShowDiff {
			fmt.Fprintf(inv.stdout, "version %s at %s by %s: %s\n%s\n", row[0], row[1], r.Author, r.Reason, rules.FormatDiff(r.Hunks))
		}
		rows = append(rows, row)
	}
	if !c.ShowDiff {
		inv.printTable(rows)
	}
	return nil
}

// changedLineCounts returns the numbers of added and removed lines, or "all" if there are
// no hunks.
func changedLineCounts(hunks []rules.Hunk) string {
	if len(hunks) == 0 {
		return "all"
	}
	added, removed := 0, 0
	for _, h := range hunks {
		added, removed = added+len(h.Added), removed+len(h.Removed)
	}
	return fmt.Sprintf("+%d -%d", added, removed)
}

type showCmd struct {
	Version         uint64 `arg:"" optional:"" help:"Rules version. Default: the version in force."`
	Blame           bool   `help:"Print which version added each line of the rules in force."`
	OmitBaseVersion bool   `name:"no-base" help:"Omit the first line, from which apply reads the base version."`
}

// maxBlameVersions is the number of versions that are searched for the origin of lines.
const maxBlameVersions = 1000

// Run prints the rules in force or of an older version.
func (c *showCmd) Run(inv *invocation) error {
	admin, err := inv.newRuleAdmin()
	if err != nil {
		return err
	}
	if c.Blame {
		return inv.printBlame(admin)
	}
	r, err := admin.Current(inv.ctx)
	if err == nil && c.Version != 0 && c.Version != r.Version {
		r, err = admin.Version(inv.ctx, c.Version)
	}
	if err != nil {
		return err
	}
	text := r.Text
	if !c.OmitBaseVersion {
		text = baseVersionPrefix + strconv.FormatUint(r.Version, 10) + "\n" + text
	}
	inv.printTextOrJSON(text, r)
	return nil
}

// blamedLine is the JSON output of one line and the version that added it.
type blamedLine struct {
	Line   string       `json:"line"`
	Origin rules.Origin `json:"origin"`
}

// printBlame prints each line of the rules in force with the version that added it.
func (inv *invocation) printBlame(admin *ruleadmin.Admin) error {
	lines, origins, err := admin.Blame(inv.ctx, maxBlameVersions)
	if err != nil {
		return err
	}
	var list []blamedLine
	var rows [][]string
	for i, l := range lines {
		o := origins[i]
		list = append(list, blamedLine{l.Text, o})
		version := "older"
		if o.Version > 0 {
			version = strconv.FormatUint(o.Version, 10)
		}
		rows = append(rows, []string{version, o.Author, l.Text})
	}
	if inv.jsonOutput {
		inv.printJSON(list)
		return nil
	}
	inv.printTable(rows)
	return nil
}
