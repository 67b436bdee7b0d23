package rules

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is the cause of every error about the content of a rules file.
var ErrInvalid = errors.New("invalid rules")

// Problem is one fault of a rules file.
type Problem struct {
	// Line and Column count from 1; Column is in bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Found is the offending text, Expected what would have been accepted.
	Found    string `json:"read"`
	Expected string `json:"expected"`
}

func (p Problem) format(file string) string {
	read := p.Found
	if read == "" {
		read = "end of line"
	} else {
		read = fmt.Sprintf("%q", read)
	}
	return fmt.Sprintf("%s:%d:%d: read %s, expected %s", file, p.Line, p.Column, read, p.Expected)
}

// Problems is the error that lists all faults of a file in line order. It is
// marked with ErrInvalid.
type Problems struct {
	File string
	List []Problem
}

// Error returns one line per fault.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, problem := range p.List {
		lines[i] = problem.format(p.File)
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (p *Problems) Is(target error) bool { return target == ErrInvalid }
