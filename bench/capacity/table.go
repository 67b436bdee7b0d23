package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// factor is a number with the label that is printed after it.
type factor struct {
	value float64
	label string
}

func newFactor(value float64, label string) factor { return factor{value, label} }

// product is a product of factors.
type product []factor

func (p product) value() float64 {
	v := 1.0
	for _, f := range p {
		v *= f.value
	}
	return v
}

func (p product) String() string {
	texts := make([]string, len(p))
	for i, f := range p {
		texts[i] = strings.TrimSpace(formatNumber(f.value) + " " + f.label)
	}
	return strings.Join(texts, " × ")
}

// unit is the unit in which a table shows its results.
type unit struct {
	name string
	// scale converts: one unit is this many of the unit in which the rows are computed.
	scale float64
}

var (
	megabytes          = unit{"MB", 1e6}
	kilobytesPerSecond = unit{"KB/s", 1e3}
	// percentOfCore is for rows computed in µs of processor time per second.
	percentOfCore  = unit{"% of a core", 1e4}
	callsPerSecond = unit{"calls/s", 1}
	seconds        = unit{"s", 1}
)

// row is a row of a table, whose result is a sum of products. The mechanism is the
// package, module or setting that causes the cost.
type row struct {
	item      string
	products  []product
	mechanism string
}

func (r row) value() float64 {
	v := 0.0
	for _, p := range r.products {
		v += p.value()
	}
	return v
}

func (r row) arithmetic() string {
	texts := make([]string, len(r.products))
	for i, p := range r.products {
		texts[i] = p.String()
	}
	return strings.Join(texts, " + ")
}

// table is a generated block of the page.
type table struct {
	blockName, title string
	unit             unit
	rows             []row
	// budget is the limit for the sum, or for each row of alternatives, in unit; 0
	// means no limit.
	budget float64
	// alternatives leaves out the sum: the rows do not add up.
	alternatives bool
}

// format formats a value in the table's unit with three significant digits.
func (t *table) format(v float64) string { return formatShort(v/t.unit.scale) + " " + t.unit.name }

func (t *table) total() float64 {
	v := 0.0
	for _, r := range t.rows {
		v += r.value()
	}
	return v
}

// markdown returns the title and the table in Markdown.
func (t *table) markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\n| item | arithmetic | result | mechanism |\n|---|---|---:|---|\n", t.title)
	for _, r := range t.rows {
		verdict := ""
		if t.alternatives && t.budget > 0 {
			verdict = ", " + t.budgetVerdict(r.value())
		}
		fmt.Fprintf(&b, "| %s | %s | %s%s | %s |\n", r.item, r.arithmetic(), t.format(r.value()), verdict, r.mechanism)
	}
	if t.alternatives {
		return b.String()
	}
	budget := "no budget"
	if t.budget > 0 {
		budget = t.budgetVerdict(t.total())
	}
	fmt.Fprintf(&b, "| **sum** | | **%s** | %s |\n", t.format(t.total()), budget)
	return b.String()
}

// budgetVerdict says whether a value is within the budget.
func (t *table) budgetVerdict(v float64) string {
	if v > t.budget*t.unit.scale {
		return fmt.Sprintf("**over the budget of %s %s**", formatNumber(t.budget), t.unit.name)
	}
	return fmt.Sprintf("within %s %s", formatNumber(t.budget), t.unit.name)
}

// formatNumber formats a value exactly, with commas as thousands separators.
func formatNumber(v float64) string {
	text := strconv.FormatFloat(v, 'f', -1, 64)
	whole, fraction, _ := strings.Cut(text, ".")
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if fraction != "" {
		whole += "." + fraction
	}
	return whole
}

// parseNumber parses the output of formatNumber.
func parseNumber(text string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64)
}

// formatShort formats a value with three significant digits.
func formatShort(v float64) string {
	if v == 0 {
		return "0"
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	return formatNumber(math.Round(v*scale) / scale)
}
