package rules

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is the cause of every error about the content of a rules file.
var ErrInvalid = errors.New("invalid rules")

// Problem is one error in a rules file.
type Problem struct {
	// Line and Column count from 1; Column is in bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Found is the rejected text, "" at the end of the line. Expected describes
	// what would have been accepted.
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

// Problems is the error that lists all problems of a file in line order.
// errors.Is reports it as ErrInvalid.
type Problems struct {
	File string
	List []Problem
}

// Error returns one line per problem.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, problem := range p.List {
		lines[i] = problem.format(p.File)
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (p *Problems) Is(target error) bool { return target == ErrInvalid }
