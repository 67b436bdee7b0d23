package rules

import (
	"container/list"
	"fmt"
	"strings"
)

// Conflict is an edit that cannot be merged, because the other side edited the
// same line.
type Conflict struct {
	// Base is the line before both edits; "" when both sides added it.
	Base string `json:"base"`
	// Mine and Theirs are the line after each edit; "" when it was removed.
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
	// Author and Reason come from the comment of Theirs. Both are "" when the
	// other side removed the line; the history knows who did.
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Key tells which rule the line is about, see Line.
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
	// Text holds both edits; it is only meaningful without conflicts.
	Text string
	// Conflicts are the edits that cannot be merged.
	Conflicts []Conflict
	// Duplicates are added rules that the other side added too, with its own
	// comment. The other side's line stays.
	Duplicates []string
}

// Merge applies the edits that lead from base to mine to theirs, line by line.
// Lines are recognised by what their rule is about, so that they may also move.
// Edits of different lines are both kept, even when they touch. Different edits
// of the same line, two rules with the same subject, and the removal of a line
// that the other side changed are conflicts. When both sides move a line, it
// stays where theirs has it. The result is not checked as a whole.
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

// merger holds a merge under way. Its result is a list of *node that starts as
// theirs.
type merger struct {
	base, mine, theirs     []Line
	mineMatch, theirsMatch lineMatch
	nodes                  *list.List
	sentinel               *list.Element            // stands before the first line
	baseNodes              []*list.Element          // node of each base line, nil when removed
	addedByTheirs          map[string]*list.Element // key to a line that only theirs has
	commonInserts          map[int]*list.Element    // mine index to the same inserted text in theirs
	result                 MergeResult
}

// node is one line of the result.
type node struct {
	text         string
	onlyInTheirs bool
}

func newMerger(base, mine, theirs []Line) *merger {
	m := &merger{
		base: base, mine: mine, theirs: theirs,
		mineMatch: matchLines(base, mine), theirsMatch: matchLines(base, theirs),
		nodes: list.New(), baseNodes: make([]*list.Element, len(base)),
		addedByTheirs: map[string]*list.Element{}, commonInserts: map[int]*list.Element{},
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
			m.commonInserts[p.a] = elements[p.b]
		}
	}
	return m
}

// mergeBaseLines decides what becomes of every line of the base.
func (m *merger) mergeBaseLines() {
	for i, base := range m.base {
		mine, kept := m.mineMatch.sideLine(m.mine, i)
		theirs, keptTheirs := m.theirsMatch.sideLine(m.theirs, i)
		switch {
		case !kept && !keptTheirs:
		case !kept && equalAfterFormat(theirs, base):
			m.removeLine(i)
		case !kept:
			m.addConflict(base, Line{}, theirs)
		case !keptTheirs && equalAfterFormat(mine, base):
		case !keptTheirs:
			m.addConflict(base, mine, Line{})
		default:
			m.mergeLine(i, base, mine, theirs)
		}
	}
}

func (m *merger) mergeLine(i int, base, mine, theirs Line) {
	switch {
	case theirs.Text == base.Text:
		m.replaceLine(i, mine)
	case equalAfterFormat(mine, base), equalAfterFormat(mine, theirs):
	case equalAfterFormat(theirs, base):
		m.replaceLine(i, mine)
	default:
		m.addConflict(base, mine, theirs)
	}
}

// replaceLine writes mine over the line of base line i. A rule that theirs added
// elsewhere makes it a duplicate or a conflict.
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

// findAddedByTheirs returns the line that theirs added for the same subject as l, and
// records a duplicate or a conflict when there is one.
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

// mergeMineLines walks through mine in order and puts the lines that it added
// or moved behind the line they follow there.
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
		case m.commonInserts[j] != nil && equalAfterFormat(l, parseLine(0, m.commonInserts[j].Value.(*node).text)):
			previous = m.commonInserts[j]
		default:
			if element := m.findAddedByTheirs(l); element == nil {
				previous = m.nodes.InsertAfter(&node{text: l.Text}, m.insertionPoint(previous, nil))
			}
		}
	}
}

// insertionPoint returns the element to insert behind: previous, or what theirs added
// behind it. self is the element being moved, or nil.
func (m *merger) insertionPoint(previous, self *list.Element) *list.Element {
	for next := previous.Next(); next != nil && next != self && next.Value.(*node).onlyInTheirs; next = next.Next() {
		previous = next
	}
	return previous
}

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

func (m *merger) finish() MergeResult {
	lines := make([]string, 0, m.nodes.Len())
	for e := m.sentinel.Next(); e != nil; e = e.Next() {
		lines = append(lines, e.Value.(*node).text)
	}
	m.result.Text = joinLines(lines)
	return m.result
}

// equalAfterFormat reports whether two lines differ at most in their format.
func equalAfterFormat(a, b Line) bool {
	return a.Text == b.Text || formatLine(a.Text) == formatLine(b.Text)
}

// lineMatch says which lines of a side are lines of the base, edited or not.
type lineMatch struct {
	toSide, toBase map[int]int // base index to side index, and the reverse
	moved          map[int]bool
}

func (x lineMatch) sideLine(side []Line, i int) (Line, bool) {
	j, ok := x.toSide[i]
	if !ok {
		return Line{}, false
	}
	return side[j], true
}

func (x lineMatch) addPair(i, j int) { x.toSide[i], x.toBase[j] = j, i }

// matchLines finds the lines of base in side: lines in order first, then rules that
// moved, then replaced lines in the same place.
func matchLines(base, side []Line) lineMatch {
	x := lineMatch{toSide: map[int]int{}, toBase: map[int]int{}, moved: map[int]bool{}}
	a, b := comparisonKeys(base), comparisonKeys(side)
	inOrder := alignEqual(a, b)
	for _, p := range inOrder {
		x.addPair(p.a, p.b)
	}
	unmatchedSide := map[string]int{}
	for j, t := range b {
		if _, ok := x.toBase[j]; !ok && side[j].Rule != "" {
			unmatchedSide[t] = j
		}
	}
	for i, t := range a {
		if _, ok := x.toSide[i]; ok || base[i].Rule == "" {
			continue
		}
		if j, ok := unmatchedSide[t]; ok {
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

// matchReplaced pairs the lines that disappeared between two unchanged lines with
// those that appeared there, kind by kind and in order: they are edits.
func (x lineMatch) matchReplaced(base, side []Line, i0, i1, j0, j1 int) {
	addedByCategory := map[string][]int{}
	for j := j0; j < j1; j++ {
		if _, ok := x.toBase[j]; !ok {
			addedByCategory[side[j].category()] = append(addedByCategory[side[j].category()], j)
		}
	}
	for i := i0; i < i1; i++ {
		kind := base[i].category()
		if _, ok := x.toSide[i]; ok || kind == "" || len(addedByCategory[kind]) == 0 {
			continue
		}
		x.addPair(i, addedByCategory[kind][0])
		addedByCategory[kind] = addedByCategory[kind][1:]
	}
}

// category returns the first word of a rule, "#" for a comment, "" for a blank
// line.
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

// teamsByTokenHash returns one comparable string per line. Rules are compared by subject
// and, among rules with the same subject, by position.
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
