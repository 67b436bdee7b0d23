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

// baseMark starts the first line that show writes and apply reads, so that an
// edited file carries the version it was made from.
const baseMark = "# arbutusctl base version "

// splitBase removes the base line from a file and returns its version.
func splitBase(text string) (rest string, base uint64, ok bool) {
	first, rest, _ := strings.Cut(text, "\n")
	number, marked := strings.CutPrefix(strings.TrimRight(first, "\r "), baseMark)
	base, err := strconv.ParseUint(number, 10, 64)
	if !marked || err != nil {
		return text, 0, false
	}
	return rest, base, true
}

type checkCmd struct {
	File string `arg:"" help:"Rules file; - for standard input."`
}

// Run checks a file.
func (c *checkCmd) Run(s *session) error {
	text, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	if _, err := rules.Compile(c.File, 0, text); err != nil {
		return err
	}
	s.print(c.File+" is valid\n", map[string]any{"file": c.File, "valid": true})
	return nil
}

type fmtCmd struct {
	File  string `arg:"" help:"Rules file; - for standard input."`
	Write bool   `short:"w" help:"Write the file instead of printing it."`
	List  bool   `short:"l" help:"Only say whether the file is formatted; exit 1 when it is not."`
}

// Run formats a file.
func (c *fmtCmd) Run(s *session) error {
	text, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	formatted := rules.Format(text)
	if c.List {
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
	s.print(formatted, map[string]any{"file": c.File, "text": formatted, "changed": formatted != text})
	return nil
}

// change is what apply and diff share.
type change struct {
	File string  `arg:"" help:"Rules file; - for standard input."`
	Base *uint64 `help:"Version that the file was made from. Default: the first line that show writes."`
}

// request reads the file and its base.
func (c *change) request(s *session) (ruleadmin.ChangeRequest, error) {
	text, err := s.readFile(c.File)
	if err != nil {
		return ruleadmin.ChangeRequest{}, err
	}
	// The base line is removed after the check, so that faults have the line
	// numbers of the file.
	if _, err := rules.Compile(c.File, 0, text); err != nil {
		return ruleadmin.ChangeRequest{}, err
	}
	text, base, ok := splitBase(text)
	switch {
	case c.Base != nil:
		base = *c.Base
	case !ok:
		// Without a base, lines that others added since would count as removed.
		return ruleadmin.ChangeRequest{}, failf(errUsage, "%s has no line %q: give --base VERSION (0 for the very first rules)", c.File, baseMark+"N")
	}
	return ruleadmin.ChangeRequest{Text: text, BaseVersion: base}, nil
}

type applyCmd struct {
	change
	Who     string `help:"Author of the change. Default: the author in the comments of the changed lines."`
	Why     string `help:"Reason of the change. Default: the reasons in those comments."`
	WriteID string `help:"Identifies the change when the same command runs again. Default: derived from file, base, author and reason."`
	DryRun  bool   `help:"Only show what would change."`
}

// Run applies a file.
func (c *applyCmd) Run(s *session) error {
	req, err := c.request(s)
	if err != nil {
		return err
	}
	admin, err := s.admin()
	if err != nil {
		return err
	}
	if c.DryRun {
		return s.preview(admin, req)
	}
	req.Author, req.Reason, req.WriteID = c.Who, c.Why, c.WriteID
	if req.Author == "" || req.Reason == "" {
		if err := s.fillAuthor(admin, &req); err != nil {
			return err
		}
	}
	result, err := admin.Apply(s.ctx, req)
	if err != nil {
		return err
	}
	s.printResult(result)
	return nil
}

// maxReasonBytes bounds a reason that is put together from comments.
const maxReasonBytes = 200

// fillAuthor takes author and reason from the comments of the lines that the
// file adds to its base. Lines that are only formatted do not count.
func (s *session) fillAuthor(admin *ruleadmin.Admin, req *ruleadmin.ChangeRequest) error {
	base := ""
	if req.BaseVersion > 0 {
		r, err := admin.Version(s.ctx, req.BaseVersion)
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
				return failf(errUsage, "the changed lines name %s and %s: give --who", author, l.Author)
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
		return failf(errUsage, "the change adds no rule that names its author and reason: give --who and --why")
	}
	return nil
}

func (s *session) preview(admin *ruleadmin.Admin, req ruleadmin.ChangeRequest) error {
	r, err := admin.Preview(s.ctx, req)
	if err != nil {
		return err
	}
	text := rules.FormatDiff(r.Hunks)
	for _, d := range r.Duplicates {
		text += "already there, kept as it is in force: " + d + "\n"
	}
	if r.Unchanged {
		text += fmt.Sprintf("no difference from version %d\n", r.Version)
	}
	s.print(text, r)
	return nil
}

type diffCmd struct {
	change
}

// Run shows what apply would change.
func (c *diffCmd) Run(s *session) error {
	req, err := c.request(s)
	if err != nil {
		return err
	}
	admin, err := s.admin()
	if err != nil {
		return err
	}
	return s.preview(admin, req)
}

type historyCmd struct {
	Limit int  `help:"Number of versions." default:"20"`
	Diff  bool `help:"Also print the changed lines."`
}

// Run lists versions.
func (c *historyCmd) Run(s *session) error {
	admin, err := s.admin()
	if err != nil {
		return err
	}
	list, err := admin.History(s.ctx, c.Limit)
	if err != nil {
		return err
	}
	if s.json {
		s.printJSON(list)
		return nil
	}
	rows := [][]string{{"VERSION", "TIME", "BASE", "WHO", "LINES", "WHY"}}
	for _, r := range list {
		row := []string{
			strconv.FormatUint(r.Version, 10), r.CreatedAt.Format(time.RFC3339), strconv.FormatUint(r.BaseVersion, 10),
			r.Author, countLines(r.Hunks), r.Reason,
		}
		if c.Diff {
			fmt.Fprintf(s.stdout, "version %s at %s by %s: %s\n%s\n", row[0], row[1], r.Author, r.Reason, rules.FormatDiff(r.Hunks))
		}
		rows = append(rows, row)
	}
	if !c.Diff {
		s.table(rows)
	}
	return nil
}

func countLines(hunks []rules.Hunk) string {
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
	Version uint64 `arg:"" optional:"" help:"Version. Default: the one in force."`
	Blame   bool   `help:"Print which version wrote each line of the rules in force."`
	NoBase  bool   `help:"Leave out the first line, by which apply knows the base."`
}

// blameLimit is how many versions blame looks back.
const blameLimit = 1000

// Run prints rules.
func (c *showCmd) Run(s *session) error {
	admin, err := s.admin()
	if err != nil {
		return err
	}
	if c.Blame {
		return s.blame(admin)
	}
	r, err := admin.Current(s.ctx)
	if err == nil && c.Version != 0 && c.Version != r.Version {
		r, err = admin.Version(s.ctx, c.Version)
	}
	if err != nil {
		return err
	}
	text := r.Text
	if !c.NoBase {
		text = baseMark + strconv.FormatUint(r.Version, 10) + "\n" + text
	}
	s.print(text, r)
	return nil
}

// blamedLine is the JSON form of one line with its origin.
type blamedLine struct {
	Line   string       `json:"line"`
	Origin rules.Origin `json:"origin"`
}

func (s *session) blame(admin *ruleadmin.Admin) error {
	lines, origins, err := admin.Blame(s.ctx, blameLimit)
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
	if s.json {
		s.printJSON(list)
		return nil
	}
	s.table(rows)
	return nil
}
