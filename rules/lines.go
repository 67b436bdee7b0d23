package rules

import "strings"

// Line is one line of a rules file.
type Line struct {
	// Number counts from 1.
	Number int
	// Text is the line as written, without its line ending.
	Text string
	// Rule holds the words of the rule, separated by single spaces. It is ""
	// for blank lines and lines that hold only a comment.
	Rule string
	// Author and Reason are the parts of the comment "# who: why" of a rule.
	// Both are "" when the comment has another form.
	Author, Reason string
}

// Lines returns the lines of a rules file. It accepts any text.
func Lines(text string) []Line {
	raw := splitLines(text)
	lines := make([]Line, len(raw))
	for i, t := range raw {
		lines[i] = parseLine(i+1, t)
	}
	return lines
}

func parseLine(number int, text string) Line {
	l := Line{Number: number, Text: text}
	words, comment, _ := scanLine(text)
	if len(words) == 0 {
		return l
	}
	l.Rule = joinWords(words)
	if author, reason, ok := splitComment(comment); ok {
		l.Author, l.Reason = author, reason
	}
	return l
}

func joinWords(words []word) string {
	texts := make([]string, len(words))
	for i, w := range words {
		texts[i] = w.text
	}
	return strings.Join(texts, " ")
}

// splitLines splits text into lines without their endings. A line ending at the
// end of text starts no further line.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for i, l := range lines {
		lines[i] = strings.TrimRight(l, "\r")
	}
	return lines
}

func joinLines(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}

// Key identifies a rule across edits: "limit kaayal-audit" is the key of every
// limit rule of that team. Rules without values that can change, such as allow and
// once, are their own key. It is "" for lines without a rule.
func (l Line) Key() string {
	words := strings.Split(l.Rule, " ")
	switch {
	case len(words) < 2:
		return l.Rule
	case words[0] == "weights":
		return words[0]
	case words[0] == "service" && len(words) > 3:
		// Endpoints of services and of models share one namespace.
		return "endpoint " + words[3]
	case words[0] == "half" && len(words) > 3:
		// A half may have several lines; the first team distinguishes them.
		return "half " + words[1] + " " + words[3]
	}
	switch words[0] {
	case "team", "endpoint", "host", "limit", "rollout", "fencing":
		return words[0] + " " + words[1]
	}
	return l.Rule
}
