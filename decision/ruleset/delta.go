package ruleset

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Errors of Delta.Apply.
var (
	// ErrWrongBaseVersion means that the delta applies to a version other than
	// that of the given text.
	ErrWrongBaseVersion = errors.New("delta has a different base version")
	// ErrInvalidDelta means that the edits do not apply to the text of the base
	// version or do not result in the text with the expected hash.
	ErrInvalidDelta = errors.New("delta does not apply to the rules text")
)

// Text is the source text of one version of the rules.
type Text struct {
	Version uint64
	Author  string
	Body    string
	hash    uint64
}

// Hash returns the hash of the body.
func (t *Text) Hash() uint64 {
	if t.hash == 0 {
		t.hash = xxhash.Sum64String(t.Body)
	}
	return t.hash
}

// Edit replaces RemovedCount lines from BaseLine on by AddedLines. BaseLine is
// counted from 0 in the base text.
type Edit struct {
	BaseLine, RemovedCount int
	AddedLines             []string
}

// Delta changes the text of BaseVersion to that of Version.
type Delta struct {
	BaseVersion, Version uint64
	Author               string
	Edits                []Edit
	// TextHash is the hash of the text after the edits.
	TextHash uint64
}

// Upper bounds of the encoded sizes without strings, in bytes.
const (
	deltaOverheadBytes = 48
	editOverheadBytes  = 16
	lineOverheadBytes  = 3
)

// MaxEncodedSize returns an upper bound of the encoded size in bytes.
func (d *Delta) MaxEncodedSize() int {
	n := deltaOverheadBytes + len(d.Author)
	for _, e := range d.Edits {
		n += editOverheadBytes
		for _, line := range e.AddedLines {
			n += lineOverheadBytes + len(line)
		}
	}
	return n
}

// Apply returns the text after the edits. It fails with ErrWrongBaseVersion or
// ErrInvalidDelta.
func (d *Delta) Apply(base *Text) (*Text, error) {
	if d.BaseVersion != base.Version {
		return nil, errors.Wrapf(ErrWrongBaseVersion, "delta from version %d to %d, current version %d", d.BaseVersion, d.Version, base.Version)
	}
	body, ok := applyEdits(base.Body, d.Edits)
	t := &Text{Version: d.Version, Author: d.Author, Body: body}
	if !ok || t.Hash() != d.TextHash || d.Version <= d.BaseVersion {
		return nil, errors.Wrapf(ErrInvalidDelta, "delta from version %d to %d", d.BaseVersion, d.Version)
	}
	return t, nil
}

// applyEdits applies the edits without splitting the whole text into lines. It
// returns false if the edits do not fit the text.
func applyEdits(body string, edits []Edit) (string, bool) {
	// With a newline at the end of the text, every line ends with a newline.
	rest, baseLine := body+"\n", 0
	takeLines := func(lines int) (string, bool) {
		n := 0
		for range lines {
			i := strings.IndexByte(rest[n:], '\n')
			if i < 0 {
				return "", false
			}
			n += i + 1
		}
		taken := rest[:n]
		rest, baseLine = rest[n:], baseLine+lines
		return taken, true
	}
	out := make([]byte, 0, len(rest)+addedLineHintBytes*len(edits))
	for _, e := range edits {
		kept, ok := takeLines(e.BaseLine - baseLine)
		if !ok || e.BaseLine < baseLine || e.RemovedCount < 0 {
			return "", false
		}
		out = append(out, kept...)
		if _, ok := takeLines(e.RemovedCount); !ok {
			return "", false
		}
		for _, line := range e.AddedLines {
			out = append(append(out, line...), '\n')
		}
	}
	return strings.TrimSuffix(string(append(out, rest...)), "\n"), true
}

// addedLineHintBytes is the capacity reserved for each edit, in bytes. The buffer
// grows if more is needed.
const addedLineHintBytes = 256

// Diff returns the delta from base to next.
func Diff(base, next *Text) *Delta {
	return &Delta{
		BaseVersion: base.Version, Version: next.Version, Author: next.Author,
		Edits: diffLines(strings.Split(base.Body, "\n"), strings.Split(next.Body, "\n")), TextHash: next.Hash(),
	}
}

// diffLines returns the edits between the common prefix and the common suffix.
func diffLines(a, b []string) []Edit {
	prefix := 0
	for prefix < len(a) && prefix < len(b) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(a)-prefix && suffix < len(b)-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	a, b = a[prefix:len(a)-suffix], b[prefix:len(b)-suffix]
	if len(a) == 0 && len(b) == 0 {
		return nil
	}
	edits, ok := myersDiff(a, b)
	if !ok {
		edits = []Edit{{RemovedCount: len(a), AddedLines: b}}
	}
	for i := range edits {
		edits[i].BaseLine += prefix
	}
	return edits
}

// maxEditDistance bounds the number of added and removed lines that myersDiff
// finds. Beyond it a full text is usually as short.
const maxEditDistance = 100

// unreachable marks positions outside the texts. It is -2 because myersDiff adds 1
// to it and the sum must still be negative.
const unreachable = -2

// myersDiff returns the shortest edits by the greedy algorithm of Myers, or false
// if their distance exceeds maxEditDistance.
func myersDiff(a, b []string) ([]Edit, bool) {
	limit := min(maxEditDistance, len(a)+len(b))
	// trace[d][k+d] is the furthest position in a on diagonal k with d edits.
	trace := make([][]int, 0, limit+1)
	furthest := func(d, k int) int {
		if d < 0 || k < -d || k > d {
			return unreachable
		}
		return trace[d][k+d]
	}
	for d := 0; d <= limit; d++ {
		row := make([]int, 2*d+1)
		trace = append(trace, row)
		for k := -d; k <= d; k += 2 {
			x := 0
			if d > 0 {
				x = max(furthest(d-1, k-1)+1, furthest(d-1, k+1))
			}
			if x < 0 || x > len(a) || x < k || x-k > len(b) {
				row[k+d] = unreachable
				continue
			}
			for x < len(a) && x-k < len(b) && a[x] == b[x-k] {
				x++
			}
			row[k+d] = x
			if x >= len(a) && x-k >= len(b) {
				return backtrack(a, b, furthest, d), true
			}
		}
	}
	return nil, false
}

// backtrack returns the edits along the path of distance d that myersDiff found.
func backtrack(a, b []string, furthest func(d, k int) int, d int) []Edit {
	removed := make([]bool, len(a)+1)
	added := make([]bool, len(b)+1)
	x, y := len(a), len(b)
	for ; d > 0; d-- {
		k := x - y
		if furthest(d-1, k-1)+1 > furthest(d-1, k+1) {
			x = furthest(d-1, k-1)
			y = x - (k - 1)
			removed[x] = true
		} else {
			x = furthest(d-1, k+1)
			y = x - (k + 1)
			added[y] = true
		}
	}
	var edits []Edit
	for x, y = 0, 0; x < len(a) || y < len(b); {
		if !removed[x] && !added[y] {
			x, y = x+1, y+1
			continue
		}
		e := Edit{BaseLine: x}
		for ; removed[x]; x++ {
			e.RemovedCount++
		}
		for ; added[y]; y++ {
			e.AddedLines = append(e.AddedLines, b[y])
		}
		edits = append(edits, e)
	}
	return edits
}
