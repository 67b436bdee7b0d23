package rules

import (
	"container/list"
	"fmt"
	"strings"
)

// Conflict is an edit that cannot be merged because the other side edited the same
// line.
type Conflict struct {
	// Base is the line before both edits; "" when both sides added it.
	Base string `json:"base"`
	// Mine and Theirs are the line after each edit; "" when it was removed.
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
	// Author and Reason come from the comment of Theirs. Both are "" when the
	// other side removed the line; the history of the rules records by whom.
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Key identifies the rule, see Line.Key.
	Key string `json:"key"`
}

// String describes the conflict in one line.
func (c Conflict) String() string {
	switch {
	case c.Theirs == "":
		return fmt.Sprintf("%q was removed by the other edit", c.Base)
	case c.Mine == "":
		return fmt.Sprintf("%q cannot be removed: the other edit made it %q", c.Base, c.Theirs)
	case c.Base == "":
		return fmt.Sprintf("%q is defined by the other edit as %q", c.Key, c.Theirs)
	}
	return fmt.Sprintf("%q was changed by the other edit to %q", c.Base, c.Theirs)
}

// MergeResult is the result of a three-way merge.
type MergeResult struct {
	// Text contains both edits. It is meaningful only if Conflicts is empty.
	Text string
	// Conflicts are the edits that cannot be merged.
	Conflicts []Conflict
	// Duplicates are lines that mine added and theirs added too, with another
	// comment. The line of theirs is kept.
	Duplicates []string
}

// Merge applies the edits between base and mine to theirs, line by line. Lines are
// matched by the keys of their rules, so that a line may also move. Edits of
// different lines are both kept, even when the lines are adjacent. Different edits
// of one line, two added rules with the same key, and the removal of a line that
// the other side changed are conflicts. A line that both sides move takes its
// position in theirs. The merged text is not compiled, so it may be invalid.
func Merge(base, mine, theirs string) MergeResult {
	switch {
	case mine == base, mine == theirs:
		return MergeResult{Text: theirs}
	case theirs == base:
		return MergeResult{Text: mine}
	}
	m := newMerger(Lines(base), Lines(mine), Lines(theirs))
	m.mergeBaseLines()
	m.mergeMineLines()
	return m.finish()
}

// merger holds the state of one merge. Its nodes start as the lines of theirs.
type merger struct {
	base, mine, theirs     []Line
	mineMatch, theirsMatch lineMatch
	nodes                  *list.List
	sentinel               *list.Element            // precedes the first line
	baseNodes              []*list.Element          // node of each base line, nil when removed
	addedByTheirs          map[string]*list.Element // by rule key: lines with a key only in theirs
	insertedByBoth         map[int]*list.Element    // by index in mine: node of the equal line in theirs
	result                 MergeResult
}

// node is one line of the merged text. Lists hold *node.
type node struct {
	text         string
	onlyInTheirs bool
}

func newMerger(base, mine, theirs []Line) *merger {
	m := &merger{
		base: base, mine: mine, theirs: theirs,
		mineMatch: matchLines(base, mine), theirsMatch: matchLines(base, theirs),
		nodes: list.New(), baseNodes: make([]*list.Element, len(base)),
		addedByTheirs: map[string]*list.Element{}, insertedByBoth: map[int]*list.Element{},
	}
	m.sentinel = m.nodes.PushBack(&node{})
	elements := make([]*list.Element, len(theirs))
	for j, l := range theirs {
		i, fromBase := m.theirsMatch.toBase[j]
		elements[j] = m.nodes.PushBack(&node{text: l.Text, onlyInTheirs: !fromBase})
		if fromBase {
			m.baseNodes[i] = elements[j]
		}
		if key := l.Key(); key != "" && (!fromBase || key != base[i].Key()) {
			m.addedByTheirs[key] = elements[j]
		}
	}
	for _, p := range alignEqual(comparisonKeys(mine), comparisonKeys(theirs)) {
		if elements[p.b].Value.(*node).onlyInTheirs {
			m.insertedByBoth[p.a] = elements[p.b]
		}
	}
	return m
}

// mergeBaseLines keeps, replaces or removes each line of the base, or records a
// conflict.
func (m *merger) mergeBaseLines() {
	for i, base := range m.base {
		mine, kept := m.mineMatch.sideLine(m.mine, i)
		theirs, keptTheirs := m.theirsMatch.sideLine(m.theirs, i)
		switch {
		case !kept && !keptTheirs:
		case !kept && equivalent(theirs, base):
			m.removeLine(i)
		case !kept:
			m.addConflict(base, Line{}, theirs)
		case !keptTheirs && equivalent(mine, base):
		case !keptTheirs:
			m.addConflict(base, mine, Line{})
		default:
			m.mergeLine(i, base, mine, theirs)
		}
	}
}

// mergeLine merges a line that both sides kept.
func (m *merger) mergeLine(i int, base, mine, theirs Line) {
	switch {
	case theirs.Text == base.Text:
		m.replaceLine(i, mine)
	case equivalent(mine, base), equivalent(mine, theirs):
	case equivalent(theirs, base):
		m.replaceLine(i, mine)
	default:
		m.addConflict(base, mine, theirs)
	}
}

// replaceLine replaces the node of base line i with mine. It removes the node when
// mine got a key that theirs added elsewhere, which is a duplicate or a conflict.
func (m *merger) replaceLine(i int, mine Line) {
	if mine.Key() != m.base[i].Key() && m.findAddedByTheirs(mine) != nil {
		m.removeLine(i)
		return
	}
	m.baseNodes[i].Value.(*node).text = mine.Text
}

func (m *merger) removeLine(i int) {
	m.nodes.Remove(m.baseNodes[i])
	m.baseNodes[i] = nil
}

// findAddedByTheirs returns the line that theirs added with the key of l, or nil.
// It records such a line as a duplicate or a conflict.
func (m *merger) findAddedByTheirs(l Line) *list.Element {
	key := l.Key()
	element, ok := m.addedByTheirs[key]
	if key == "" || !ok {
		return nil
	}
	theirs := parseLine(0, element.Value.(*node).text)
	if theirs.Rule == l.Rule {
		m.result.Duplicates = append(m.result.Duplicates, l.Text)
	} else {
		m.addConflict(Line{}, l, theirs)
	}
	return element
}

// mergeMineLines places the lines that mine added or moved, each after the line
// that precedes it in mine.
func (m *merger) mergeMineLines() {
	previous := m.sentinel
	for j, l := range m.mine {
		i, fromBase := m.mineMatch.toBase[j]
		switch {
		case fromBase && m.baseNodes[i] == nil:
		case fromBase:
			if m.mineMatch.moved[i] && !m.theirsMatch.moved[i] {
				m.nodes.MoveAfter(m.baseNodes[i], m.insertionPoint(previous, m.baseNodes[i]))
			}
			previous = m.baseNodes[i]
		case m.insertedByBoth[j] != nil && equivalent(l, parseLine(0, m.insertedByBoth[j].Value.(*node).text)):
			previous = m.insertedByBoth[j]
		default:
			if element := m.findAddedByTheirs(l); element == nil {
				previous = m.nodes.InsertAfter(&node{text: l.Text}, m.insertionPoint(previous, nil))
			}
		}
	}
}

// insertionPoint returns the element to insert after: previous, or the last of the
// lines that theirs added right after it. self is the element being moved, or nil.
func (m *merger) insertionPoint(previous, self *list.Element) *list.Element {
	for next := previous.Next(); next != nil && next != self && next.Value.(*node).onlyInTheirs; next = next.Next() {
		previous = next
	}
	return previous
}

// addConflict records a conflict. A zero Line stands for a line that does not
// exist in that version.
func (m *merger) addConflict(base, mine, theirs Line) {
	c := Conflict{
		Base: base.Text, Mine: mine.Text, Theirs: theirs.Text,
		Author: theirs.Author, Reason: theirs.Reason,
	}
	for _, l := range []Line{mine, theirs, base} {
		if key := l.Key(); key != "" {
			c.Key = key
		}
	}
	m.result.Conflicts = append(m.result.Conflicts, c)
}

// finish returns the result with the merged text.
func (m *merger) finish() MergeResult {
	lines := make([]string, 0, m.nodes.Len())
	for e := m.sentinel.Next(); e != nil; e = e.Next() {
		lines = append(lines, e.Value.(*node).text)
	}
	m.result.Text = joinLines(lines)
	return m.result
}

// equivalent reports whether two lines are equal after formatting.
func equivalent(a, b Line) bool { return a.Text == b.Text || formatLine(a.Text) == formatLine(b.Text) }

// lineMatch maps lines of the base to the same lines, edited or not, of one side
// of the merge.
type lineMatch struct {
	toSide, toBase map[int]int  // base index to side index, and the reverse
	moved          map[int]bool // base indexes of lines whose order changed
}

// sideLine returns the line of the side that matches base line i.
func (x lineMatch) sideLine(side []Line, i int) (Line, bool) {
	j, ok := x.toSide[i]
	if !ok {
		return Line{}, false
	}
	return side[j], true
}

func (x lineMatch) addPair(i, j int) { x.toSide[i], x.toBase[j] = j, i }

// matchLines matches the lines of base with those of side: first equal keys in the
// same order, then rules that moved, then lines that were replaced in place.
func matchLines(base, side []Line) lineMatch {
	x := lineMatch{toSide: map[int]int{}, toBase: map[int]int{}, moved: map[int]bool{}}
	a, b := comparisonKeys(base), comparisonKeys(side)
	inOrder := alignEqual(a, b)
	for _, p := range inOrder {
		x.addPair(p.a, p.b)
	}
	unmatchedByKey := map[string]int{}
	for j, key := range b {
		if _, ok := x.toBase[j]; !ok && side[j].Rule != "" {
			unmatchedByKey[key] = j
		}
	}
	for i, key := range a {
		if _, ok := x.toSide[i]; ok || base[i].Rule == "" {
			continue
		}
		if j, ok := unmatchedByKey[key]; ok {
			x.addPair(i, j)
			x.moved[i] = true
		}
	}
	i, j := 0, 0
	for _, p := range append(inOrder, indexPair{len(base), len(side)}) {
		x.matchReplaced(base, side, i, p.a, j, p.b)
		i, j = p.a+1, p.b+1
	}
	return x
}

// matchReplaced matches base[i0:i1] with side[j0:j1], the unmatched lines between
// two matched ones. Lines of the same category are paired in order.
func (x lineMatch) matchReplaced(base, side []Line, i0, i1, j0, j1 int) {
	addedByCategory := map[string][]int{}
	for j := j0; j < j1; j++ {
		if _, ok := x.toBase[j]; !ok {
			addedByCategory[side[j].category()] = append(addedByCategory[side[j].category()], j)
		}
	}
	for i := i0; i < i1; i++ {
		category := base[i].category()
		if _, ok := x.toSide[i]; ok || category == "" || len(addedByCategory[category]) == 0 {
			continue
		}
		x.addPair(i, addedByCategory[category][0])
		addedByCategory[category] = addedByCategory[category][1:]
	}
}

// category returns the keyword of a rule, "#" for a comment, "" for a blank line.
func (l Line) category() string {
	if l.Rule != "" {
		first, _, _ := strings.Cut(l.Rule, " ")
		return first
	}
	if strings.TrimSpace(l.Text) == "" {
		return ""
	}
	return "#"
}

// comparisonKeys returns one string per line, by which versions of a line are
// matched. For a rule it is the key and the position among the rules with that key.
func comparisonKeys(lines []Line) []string {
	out := make([]string, len(lines))
	rulesWithKey := map[string]int{}
	for i, l := range lines {
		key := l.Key()
		if key == "" {
			out[i] = "#" + formatLine(l.Text)
			continue
		}
		rulesWithKey[key]++
		out[i] = fmt.Sprintf("rule %s %d", key, rulesWithKey[key])
	}
	return out
}
