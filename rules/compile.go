package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Compile parses and checks the text of a rules file and returns its view. The
// error is a *Problems that lists every problem of the file.
func Compile(file string, version uint64, text string) (*View, error) {
	c := newCompiler(version, text)
	if len(text) > MaxTextBytes {
		c.lineNumber = 1
		c.addProblem(word{column: 1, text: strconv.Itoa(len(text)) + " bytes"}, "a file of at most "+strconv.Itoa(MaxTextBytes)+" bytes")
		return nil, &Problems{File: file, List: c.problems}
	}
	for i, line := range strings.Split(text, "\n") {
		c.compileLine(i+1, strings.TrimSuffix(line, "\r"))
	}
	c.resolve()
	if len(c.problems) > 0 {
		sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].Line < c.problems[j].Line })
		return nil, &Problems{File: file, List: c.problems}
	}
	return c.view, nil
}

// compiler holds the state of one Compile call.
type compiler struct {
	view           *View
	problems       []Problem
	lineNumber     int
	deferredChecks []func()
	hostOwners     map[string]string // host name to half
	definedOnLine  map[string]int    // key to line number
	// invalidKeys holds the keys of rules that could not be parsed, so that uses
	// of the names that they define are not reported as well.
	invalidKeys     map[string]bool
	endpointsByHost map[string][]*Endpoint
}

func newCompiler(version uint64, text string) *compiler {
	return &compiler{
		view: &View{
			Version:           version,
			Text:              text,
			PlacementWeights:  PlacementWeights{HitRate: 1, RecomputedTokens: 1, TailLatency: 1},
			teams:             map[string]*Team{},
			endpoints:         map[string]*Endpoint{},
			endpointsByTarget: map[targetKey][]*Endpoint{},
			allowed:           map[allowKey]bool{},
			teamsByTokenHash:  map[[32]byte]*Team{},
		},
		hostOwners:      map[string]string{},
		definedOnLine:   map[string]int{},
		invalidKeys:     map[string]bool{},
		endpointsByHost: map[string][]*Endpoint{},
	}
}

// MaxTextBytes bounds a rules file. The object store holds values up to 1 MiB;
// the difference is left for the record that contains the text.
const MaxTextBytes = 900 << 10

// maxLineBytes bounds one line, so that an edit always fits into one message
// between processes.
const maxLineBytes = 1024

func (c *compiler) compileLine(number int, line string) {
	c.lineNumber = number
	if len(line) > maxLineBytes {
		c.addProblem(word{column: maxLineBytes, text: "a longer line"}, "at most 1024 bytes")
		return
	}
	if w, ok := firstUnprintable(line); ok {
		c.addProblem(w, "printable UTF-8 text")
		return
	}
	words, comment, column := scanLine(line)
	if len(words) == 0 {
		return
	}
	if column == 0 {
		c.addProblem(word{column: len(line) + 1}, `a comment "# who: why"`)
	} else if _, _, ok := splitComment(comment); !ok {
		c.addProblem(word{column: column, text: comment}, `a comment "# who: why"`)
	}
	c.compileRule(words)
}

// firstUnprintable returns the first character that a line may not contain, and
// whether there is one. Bytes that are not UTF-8 cannot be sent in a protobuf
// string. Control characters and unusual spaces make a line read differently from
// how it is parsed. The joiners U+200C and U+200D are part of the spelling of
// several languages.
func firstUnprintable(line string) (word, bool) {
	for i, r := range line {
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(line[i:]); size == 1 {
				return word{column: i + 1, text: line[i : i+1]}, true
			}
		}
		if !unicode.IsPrint(r) && r != '\t' && r != '\u200c' && r != '\u200d' {
			return word{column: i + 1, text: string(r)}, true
		}
	}
	return word{}, false
}

func (c *compiler) compileRule(words []word) {
	p := &ruleParser{compiler: c, words: words, line: c.lineNumber}
	parse, ok := ruleParsers[words[0].text]
	if !ok {
		c.addProblem(words[0], "one of "+strings.Join(ruleKeywords(), ", "))
		return
	}
	p.next()
	parse(p)
	if p.invalid {
		c.invalidKeys[parseLine(0, joinWords(words)).Key()] = true
	}
}

func (c *compiler) addProblem(w word, expected string) { c.addProblemAt(c.lineNumber, w, expected) }

func (c *compiler) addProblemAt(line int, w word, expected string) {
	c.problems = append(c.problems, Problem{Line: line, Column: w.column, Found: w.text, Expected: expected})
}

// define records the line that defines key, and rejects w when an earlier line
// did.
func (p *ruleParser) define(key string, w word) {
	if w.text == "" {
		return
	}
	if firstLine, defined := p.definedOnLine[key]; defined {
		p.reject(w, "no second definition (the first is on line "+strconv.Itoa(firstLine)+")")
		return
	}
	p.definedOnLine[key] = p.line
}

// resolve builds the indexes and runs the checks that need the whole file.
func (c *compiler) resolve() {
	for _, e := range c.view.endpoints {
		e.OwnerHalf = c.hostOwners[e.Host]
		key := targetKey{e.Kind, e.Target}
		c.view.endpointsByTarget[key] = append(c.view.endpointsByTarget[key], e)
		c.endpointsByHost[e.Host] = append(c.endpointsByHost[e.Host], e)
	}
	for _, check := range c.deferredChecks {
		check()
	}
	for _, list := range c.view.endpointsByTarget {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
	}
}

// ruleParser parses the rule of one line.
type ruleParser struct {
	*compiler
	words    []word
	position int
	line     int
	invalid  bool
}

func (p *ruleParser) reject(w word, expected string) {
	p.invalid = true
	p.addProblemAt(p.line, w, expected)
}

func (p *ruleParser) peek() word {
	if p.position < len(p.words) {
		return p.words[p.position]
	}
	last := p.words[len(p.words)-1]
	return word{column: last.column + len(last.text)}
}

func (p *ruleParser) next() word {
	w := p.peek()
	p.position++
	return w
}

func (p *ruleParser) done() bool { return p.invalid || p.position >= len(p.words) }

// finish rejects words that are left, and reports whether the whole rule is valid.
func (p *ruleParser) finish() bool {
	if !p.invalid && p.position < len(p.words) {
		p.reject(p.peek(), "end of rule")
	}
	return !p.invalid
}

func (p *ruleParser) expectKeyword(keyword string) {
	if p.invalid {
		return
	}
	if w := p.next(); w.text != keyword {
		p.reject(w, strconv.Quote(keyword))
	}
}

func (p *ruleParser) parseName(expected string) word {
	if p.invalid {
		return word{}
	}
	w := p.next()
	if !validName(w.text) {
		p.reject(w, expected)
	}
	return w
}

const maxNameBytes = 64

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || strings.Contains("-_.", name[:1]) {
		return false
	}
	for _, r := range name {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", r) {
			return false
		}
	}
	return true
}

func (p *ruleParser) parseNumber(expected string, low, high float64) float64 {
	return p.parseSuffixedNumber(expected, "", low, high)
}

func (p *ruleParser) parseSuffixedNumber(expected, suffix string, low, high float64) float64 {
	if p.invalid {
		return 0
	}
	w := p.next()
	digits, ok := strings.CutSuffix(w.text, suffix)
	v, err := strconv.ParseFloat(digits, 64)
	// ParseFloat also accepts "0x1p4", "1e3", "1_000", "+1" and "nan".
	isDecimal := digits != "" && strings.Trim(digits, "0123456789.") == ""
	if err != nil || !ok || !isDecimal || v < low || v > high {
		p.reject(w, expected)
	}
	return v
}

func (p *ruleParser) parseInteger(expected string, low, high int) int {
	if p.invalid {
		return 0
	}
	w := p.next()
	v, err := strconv.ParseUint(w.text, 10, 31)
	if err != nil || int(v) < low || int(v) > high {
		p.reject(w, expected)
	}
	return int(v)
}

// rejectRepeated rejects an option that the rule has already given.
func (p *ruleParser) rejectRepeated(seen map[string]bool, w word) {
	if seen[w.text] {
		p.reject(w, "no second "+strconv.Quote(w.text))
	}
	seen[w.text] = true
}

func (p *ruleParser) parseTokenHash(expected string) (hash [32]byte) {
	if p.invalid {
		return hash
	}
	w := p.next()
	raw, err := hex.DecodeString(w.text)
	if err != nil || len(raw) != len(hash) {
		p.reject(w, expected)
		return hash
	}
	copy(hash[:], raw)
	if hash == sha256.Sum256(nil) {
		// A script that hashes an unset variable would give everyone access.
		p.reject(w, "the SHA-256 of a token (this is that of an empty one)")
	}
	return hash
}
