package rules

import (
	"strings"
	"unicode/utf8"
)

// canonicalCommentColumn is the column where the comment of a rule starts, counted
// from 1 in characters. It is fixed, rather than aligned to the neighbouring
// lines, so that editing one line never changes another.
const canonicalCommentColumn = 61

// Format returns text in canonical form: single spaces between words, comments
// of rules at column 61 or two spaces after a longer rule, no trailing spaces,
// and one line ending per line. Comments, blank lines and the order of lines
// are kept. It accepts any text; invalid lines keep their words.
func Format(text string) string {
	lines := splitLines(text)
	for i, l := range lines {
		lines[i] = formatLine(l)
	}
	return joinLines(lines)
}

func formatLine(line string) string {
	words, comment, column := scanLine(line)
	rule := joinWords(words)
	if column == 0 {
		return rule
	}
	comment = formatComment(comment)
	if rule == "" {
		return comment
	}
	pad := max(2, canonicalCommentColumn-1-utf8.RuneCountInString(rule))
	return rule + strings.Repeat(" ", pad) + comment
}

func formatComment(comment string) string {
	if author, reason, ok := splitComment(comment); ok {
		return "# " + author + ": " + reason
	}
	if comment == "" {
		return "#"
	}
	return "# " + comment
}
