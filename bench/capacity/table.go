package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// factor is a number of an arithmetic with its meaning.
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

// unit is what results of a table are shown in.
type unit struct {
	name string
	// scale is the value of one unit in the unit of the slopes.
	scale float64
}

var (
	megabytes          = unit{"MB", 1e6}
	kilobytesPerSecond = unit{"KB/s", 1e3}
	// corePercent counts slopes in µs per second.
	percentOfCore  = unit{"% of a core", 1e4}
	callsPerSecond = unit{"calls/s", 1}
	seconds        = unit{"s", 1}
)

// row is one line of a table: a sum of products.
type row struct {
	item     string
	products []product
	source   string
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

// table is a block of the page.
type table struct {
	blockName, title string
	unit             unit
	rows             []row
	// budget bounds the sum when it is not 0.
	budget float64
	// noTotal leaves out the sum, where the rows are alternatives.
	alternatives bool
}

// result formats a value in the table's unit with three significant digits.
func (t *table) format(v float64) string { return formatShort(v/t.unit.scale) + " " + t.unit.name }

func (t *table) total() float64 {
	v := 0.0
	for _, r := range t.rows {
		v += r.value()
	}
	return v
}

// markdown returns the table.
func (t *table) markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\n| line | arithmetic | result | carried by |\n|---|---|---:|---|\n", t.title)
	for _, r := range t.rows {
		verdict := ""
		if t.alternatives && t.budget > 0 {
			verdict = ", " + t.budgetVerdict(r.value())
		}
		fmt.Fprintf(&b, "| %s | %s | %s%s | %s |\n", r.item, r.arithmetic(), t.format(r.value()), verdict, r.source)
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

// verdict compares a value with the budget.
func (t *table) budgetVerdict(v float64) string {
	if v > t.budget*t.unit.scale {
		return fmt.Sprintf("**over the budget of %s %s**", formatNumber(t.budget), t.unit.name)
	}
	return fmt.Sprintf("within %s %s", formatNumber(t.budget), t.unit.name)
}

// number formats a value exactly, with commas between thousands.
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

// parseNumber reads what number wrote.
func parseNumber(text string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64)
}

// short formats a value with three significant digits.
func formatShort(v float64) string {
	if v == 0 {
		return "0"
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	return formatNumber(math.Round(v*scale) / scale)
}
