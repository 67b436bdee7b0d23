package rules

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrPatchMismatch means that hunks were made from another text than the one they
// are applied to.
var ErrPatchMismatch = errors.New("hunks do not belong to this text")

// Hunk replaces consecutive lines of a text.
type Hunk struct {
	// StartIndex is the index of the first replaced line, from 0. It increases
	// along a list of hunks and refers to the text before any of them is applied.
	StartIndex int `json:"at"`
	// Removed and Added are the lines before and after the edit, without "\n".
	Removed []string `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
}

// Diff returns the hunks that turn old into exactly new.
func Diff(old, new string) []Hunk {
	a, b := strings.Split(old, "\n"), strings.Split(new, "\n")
	var hunks []Hunk
	i, j := 0, 0
	for _, p := range append(alignEqual(a, b), indexPair{len(a), len(b)}) {
		if p.a > i || p.b > j {
			hunks = append(hunks, Hunk{StartIndex: i, Removed: a[i:p.a], Added: b[j:p.b]})
		}
		i, j = p.a+1, p.b+1
	}
	return hunks
}

// Patch applies hunks that Diff returned. It fails with ErrPatchMismatch when old is
// not the text that the hunks were made from.
func Patch(old string, hunks []Hunk) (string, error) {
	a := strings.Split(old, "\n")
	var out []string
	i := 0
	for _, h := range hunks {
		end := h.StartIndex + len(h.Removed)
		if h.StartIndex < i || end > len(a) || !slices.Equal(a[h.StartIndex:end], h.Removed) {
			return "", errors.Wrapf(ErrPatchMismatch, "hunk at line %d", h.StartIndex+1)
		}
		out = append(append(out, a[i:h.StartIndex]...), h.Added...)
		i = end
	}
	return strings.Join(append(out, a[i:]...), "\n"), nil
}

// Invert returns the hunks that revert hunks.
func Invert(hunks []Hunk) []Hunk {
	inverse := make([]Hunk, len(hunks))
	offset := 0
	for i, h := range hunks {
		inverse[i] = Hunk{StartIndex: h.StartIndex + offset, Removed: h.Added, Added: h.Removed}
		offset += len(h.Added) - len(h.Removed)
	}
	return inverse
}

// FormatDiff writes hunks in a readable form: a header with the line number,
// removed lines after "-", added lines after "+".
func FormatDiff(hunks []Hunk) string {
	var b strings.Builder
	for _, hunk := range hunks {
		fmt.Fprintf(&b, "@@ line %d @@\n", hunk.StartIndex+1)
		for _, l := range hunk.Removed {
			b.WriteString("-" + l + "\n")
		}
		for _, l := range hunk.Added {
			b.WriteString("+" + l + "\n")
		}
	}
	return b.String()
}

// Origin is the version that a line comes from, with its author and reason.
type Origin struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
}

// Blame returns the origin of each line of a text after hunks were applied. before
// holds the origins of the lines of the earlier text; nil stands for an empty text.
// Added lines get origin.
func Blame(before []Origin, hunks []Hunk, origin Origin) []Origin {
	if before == nil {
		before = make([]Origin, 1)
	}
	var out []Origin
	i := 0
	for _, h := range hunks {
		start := min(max(h.StartIndex, i), len(before))
		out = append(out, before[i:start]...)
		for range h.Added {
			out = append(out, origin)
		}
		i = min(start+len(h.Removed), len(before))
	}
	return append(out, before[i:]...)
}
