package rules

import "strings"

// word is one space-separated word of a line with its column, counted from 1
// in bytes.
type word struct {
	text   string
	column int
}

// scanLine splits a line into the words of its rule and its comment. A '#' at the
// start of a word starts the comment. commentColumn is 0 without a comment.
func scanLine(line string) (words []word, comment string, commentColumn int) {
	for i := 0; i < len(line); {
		switch {
		case isSpace(line[i]):
			i++
		case line[i] == '#':
			return words, strings.TrimSpace(line[i+1:]), i + 1
		default:
			end := i
			for end < len(line) && !isSpace(line[end]) {
				end++
			}
			words = append(words, word{text: line[i:end], column: i + 1})
			i = end
		}
	}
	return words, "", 0
}

// isSpace reports whether b separates words. A carriage return inside a line is
// invalid; it counts as a space so that Format removes it.
func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' }

// splitComment separates the author from the reason in "who: why".
func splitComment(comment string) (author, reason string, ok bool) {
	author, reason, ok = strings.Cut(comment, ":")
	author, reason = strings.TrimSpace(author), strings.TrimSpace(reason)
	return author, reason, ok && author != "" && reason != "" && !strings.ContainsAny(author, " \t")
}
