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
// error is a *Problems with every fault of the file.
func Compile(file string, version uint64, text string) (*View, error) {
	c := newCompiler(version, text)
	if len(text) > MaxTextBytes {
		c.lineNo = 1
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

type compiler struct {
	view           *View
	problems       []Problem
	lineNo         int
	deferredChecks []func()
	hostOwners     map[string]string
	definedOnLine  map[string]int
	// invalidKeys holds the names that a rule with a fault would have defined, so
	// that the fault is not reported again wherever the name is used.
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
// the rest is for the record around the text.
const MaxTextBytes = 900 << 10

// maxLineBytes bounds one line, so that an edit always fits a message between
// processes.
const maxLineBytes = 1024

func (c *compiler) compileLine(number int, line string) {
	c.lineNo = number
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

// firstUnprintable returns the first character that a line may not hold. Bytes that
// are not UTF-8 cannot be sent in a protobuf string, and control characters and
// exotic spaces make a line look different from what it says. The joiners
// U+200C and U+200D are part of the spelling of several languages.
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
	s := &ruleParser{compiler: c, words: words, line: c.lineNo}
	parse, ok := ruleParsers[words[0].text]
	if !ok {
		c.addProblem(words[0], "one of "+strings.Join(ruleKeywords(), ", "))
		return
	}
	s.next()
	parse(s)
	if s.invalid {
		c.invalidKeys[parseLine(0, joinWords(words)).Key()] = true
	}
}

func (c *compiler) addProblem(w word, expected string) { c.addProblemAt(c.lineNo, w, expected) }

func (c *compiler) addProblemAt(line int, w word, expected string) {
	c.problems = append(c.problems, Problem{Line: line, Column: w.column, Found: w.text, Expected: expected})
}

// define records that a line defines something that may be defined once.
func (s *ruleParser) define(key string, w word) {
	if w.text == "" {
		return
	}
	if firstLine, defined := s.definedOnLine[key]; defined {
		s.reject(w, "no second definition (the first is on line "+strconv.Itoa(firstLine)+")")
		return
	}
	s.definedOnLine[key] = s.line
}

// resolve runs the checks that need the whole file and builds the indexes.
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

// ruleParser is one line being parsed.
type ruleParser struct {
	*compiler
	words   []word
	pos     int
	line    int
	invalid bool
}

func (s *ruleParser) reject(w word, expected string) {
	s.invalid = true
	s.addProblemAt(s.line, w, expected)
}

func (s *ruleParser) peek() word {
	if s.pos < len(s.words) {
		return s.words[s.pos]
	}
	last := s.words[len(s.words)-1]
	return word{column: last.column + len(last.text)}
}

func (s *ruleParser) next() word {
	w := s.peek()
	s.pos++
	return w
}

func (s *ruleParser) done() bool { return s.invalid || s.pos >= len(s.words) }

// finish reports whether the statement was read without a fault and nothing is
// left.
func (s *ruleParser) finish() bool {
	if !s.invalid && s.pos < len(s.words) {
		s.reject(s.peek(), "end of rule")
	}
	return !s.invalid
}

func (s *ruleParser) expectKeyword(keyword string) {
	if s.invalid {
		return
	}
	if w := s.next(); w.text != keyword {
		s.reject(w, strconv.Quote(keyword))
	}
}

func (s *ruleParser) parseName(expected string) word {
	if s.invalid {
		return word{}
	}
	w := s.next()
	if !validName(w.text) {
		s.reject(w, expected)
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

func (s *ruleParser) parseNumber(expected string, low, high float64) float64 {
	return s.parseSuffixedNumber(expected, "", low, high)
}

func (s *ruleParser) parseSuffixedNumber(expected, suffix string, low, high float64) float64 {
	if s.invalid {
		return 0
	}
	w := s.next()
	digits, ok := strings.CutSuffix(w.text, suffix)
	v, err := strconv.ParseFloat(digits, 64)
	// ParseFloat also reads "0x1p4", "1e3", "1_000", "+1" and "nan".
	isDecimal := digits != "" && strings.Trim(digits, "0123456789.") == ""
	if err != nil || !ok || !isDecimal || v < low || v > high {
		s.reject(w, expected)
	}
	return v
}

func (s *ruleParser) parseInteger(expected string, low, high int) int {
	if s.invalid {
		return 0
	}
	w := s.next()
	v, err := strconv.ParseUint(w.text, 10, 31)
	if err != nil || int(v) < low || int(v) > high {
		s.reject(w, expected)
	}
	return int(v)
}

// atMostOnce rejects an option that a rule gives a second time.
func (s *ruleParser) rejectRepeated(seen map[string]bool, w word) {
	if seen[w.text] {
		s.reject(w, "no second "+strconv.Quote(w.text))
	}
	seen[w.text] = true
}

func (s *ruleParser) parseTokenHash(expected string) (hash [32]byte) {
	if s.invalid {
		return hash
	}
	w := s.next()
	raw, err := hex.DecodeString(w.text)
	if err != nil || len(raw) != len(hash) {
		s.reject(w, expected)
		return hash
	}
	copy(hash[:], raw)
	if hash == sha256.Sum256(nil) {
		// A script that hashes an unset variable would let everyone in.
		s.reject(w, "the SHA-256 of a token (this is that of an empty one)")
	}
	return hash
}
