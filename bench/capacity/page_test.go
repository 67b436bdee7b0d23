package capacity

import (
	"math"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	return string(text)
}

// Guards against tables that do not match the slopes on the same page, because the page
// or the code was changed alone.
func TestPageFollowsFromItsSlopes(t *testing.T) {
	page := readPage(t)
	block, _, _, err := findBlock(page, slopesBlockName)
	assert.NilError(t, err)
	slopes, err := parseSlopesTable(block)
	assert.NilError(t, err)
	regenerated, err := replaceBlocks(page, slopes)
	assert.NilError(t, err)
	assert.Assert(t, regenerated == page, "run arbutus-bench capacity --data-path FILE --page docs/CAPACITY.md")
	names, _, err := PageBlocks(slopes)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(page, "<!-- begin "), len(names))
}

// Guards against counts on the page that differ from those of the current code.
func TestPageCountsAreCurrent(t *testing.T) {
	block, _, _, err := findBlock(readPage(t), slopesBlockName)
	assert.NilError(t, err)
	stated, err := parseSlopesTable(block)
	assert.NilError(t, err)
	var now Slopes
	assert.NilError(t, measureDatagramSizes(&now))
	assert.NilError(t, measureLedgerCounts(&now))
	assert.NilError(t, measureRulesDelta(&now, generateRules(targetTeams, targetEndpoints)))
	for _, s := range now {
		if s.Kind != KindCount {
			continue
		}
		v, ok := stated.Get(s.Name)
		assert.Assert(t, ok && v == s.Value, "%s is %v on the page and %v in the code", s.Name, v, s.Value)
	}
}

var leadingNumber = regexp.MustCompile(`^[0-9][0-9,.]*`)

// evaluate computes a printed sum of products from its printed numbers.
func evaluate(t *testing.T, arithmetic string) float64 {
	t.Helper()
	sum := 0.0
	for _, p := range strings.Split(arithmetic, " + ") {
		v := 1.0
		for _, f := range strings.Split(p, " × ") {
			n, err := parseNumber(leadingNumber.FindString(f))
			assert.NilError(t, err, "factor %q", f)
			v *= n
		}
		sum += v
	}
	return sum
}

// Guards against printed arithmetic that does not give the printed result, against sums
// and budget verdicts that do not match their rows, and against malformed tables.
func TestPageArithmetic(t *testing.T) {
	page := readPage(t)
	block, _, _, err := findBlock(page, slopesBlockName)
	assert.NilError(t, err)
	slopes, err := parseSlopesTable(block)
	assert.NilError(t, err)
	tables, err := Tables(slopes)
	assert.NilError(t, err)
	for _, tab := range tables {
		text, _, _, err := findBlock(page, tab.blockName)
		assert.NilError(t, err)
		checkTable(t, tab, text)
	}
}

func checkTable(t *testing.T, tab *table, text string) {
	t.Helper()
	sum, rows := 0.0, 0
	for _, line := range strings.Split(text, "\n") {
		cells := tableCells(line)
		if !strings.HasPrefix(line, "|") || cells[0] == "item" || strings.HasPrefix(cells[0], "---") {
			continue
		}
		assert.Equal(t, len(cells), 4, "%s: %s", tab.blockName, line)
		shown, err := parseNumber(leadingNumber.FindString(strings.Trim(cells[2], "*")))
		assert.NilError(t, err, "%s: %s", tab.blockName, line)
		if strings.Contains(cells[0], "sum") {
			assertNear(t, tab.blockName+" sum", shown, sum)
			over := strings.Contains(cells[3], "over the budget")
			assert.Equal(t, over, tab.budget > 0 && sum > tab.budget, "%s: %s", tab.blockName, line)
			continue
		}
		v := evaluate(t, cells[1]) / tab.unit.scale
		assertNear(t, line, shown, v)
		if tab.alternatives {
			assert.Equal(t, strings.Contains(cells[2], "over the budget"), tab.budget > 0 && v > tab.budget, line)
		}
		sum += v
		rows++
	}
	assert.Equal(t, rows, len(tab.rows), tab.blockName)
}

// assertNear compares with the precision of three significant digits.
func assertNear(t *testing.T, label string, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= 0.006*math.Abs(want), "%s: %v, expected %v", label, got, want)
}

// Guards against numbers that change when they are formatted and parsed.
func TestNumbersRoundTrip(t *testing.T) {
	for _, v := range []float64{0, 0.01691, 2.5, 999, 1000, 61720, 1234567.5} {
		got, err := parseNumber(formatNumber(v))
		assert.NilError(t, err)
		assert.Equal(t, got, v)
	}
	assert.Equal(t, formatNumber(1234567.5), "1,234,567.5")
	assert.Equal(t, formatShort(1949.8), "1,950")
}
