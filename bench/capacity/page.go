package capacity

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Lines that delimit the generated blocks of the page.
const (
	blockStartFormat = "<!-- begin %s -->\n"
	blockEndLine     = "<!-- end -->\n"
	// slopesBlockName is the name of the block with the slopes, from which all other
	// blocks are computed.
	slopesBlockName = "slopes"
)

// errPageFormat is returned for a page whose blocks or slopes cannot be parsed.
var errPageFormat = errors.New("page has an unexpected format")

// PageBlocks returns the generated blocks of the page by name, and the names in page
// order.
func PageBlocks(s Slopes) (names []string, blocks map[string]string, err error) {
	tables, err := Tables(s)
	if err != nil {
		return nil, nil, err
	}
	names, blocks = []string{slopesBlockName}, map[string]string{slopesBlockName: slopesMarkdown(s)}
	for _, t := range tables {
		names = append(names, t.blockName)
		blocks[t.blockName] = t.markdown()
	}
	return names, blocks, nil
}

func slopesMarkdown(s Slopes) string {
	var b strings.Builder
	b.WriteString("| slope | value | unit | kind | at | command |\n|---|---:|---|---|---|---|\n")
	for _, slope := range s {
		command := "`arbutus-bench capacity`"
		if strings.HasPrefix(slope.Name, "datapath.") {
			command = "`scripts/data-path.sh FILE`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", slope.Name, formatNumber(slope.Value), slope.Unit, slope.Kind, slope.Conditions, command)
	}
	return b.String()
}

// parseSlopesTable parses the block that slopesMarkdown writes.
func parseSlopesTable(block string) (Slopes, error) {
	var s Slopes
	for _, text := range strings.Split(strings.TrimSpace(block), "\n") {
		cells := tableCells(text)
		if len(cells) != 6 || !strings.HasPrefix(cells[0], "`") {
			continue
		}
		v, err := parseNumber(cells[1])
		if err != nil {
			return nil, errors.Wrapf(errPageFormat, "value of %s: %v", cells[0], err)
		}
		s = append(s, Slope{strings.Trim(cells[0], "`"), v, cells[2], cells[3], cells[4]})
	}
	return s, nil
}

// tableCells returns the cells of a row of a Markdown table.
func tableCells(text string) []string {
	cells := strings.Split(strings.Trim(strings.TrimSpace(text), "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

// findBlock returns the content of a block and its offsets in the page.
func findBlock(page, name string) (content string, start, end int, err error) {
	head := fmt.Sprintf(blockStartFormat, name)
	at := strings.Index(page, head)
	if at < 0 {
		return "", 0, 0, errors.Wrapf(errPageFormat, "block %q is missing", name)
	}
	start = at + len(head)
	length := strings.Index(page[start:], blockEndLine)
	if length < 0 {
		return "", 0, 0, errors.Wrapf(errPageFormat, "block %q has no end marker", name)
	}
	return page[start : start+length], start, start + length, nil
}

// replaceBlocks returns the page with all generated blocks replaced.
func replaceBlocks(page string, s Slopes) (string, error) {
	names, blocks, err := PageBlocks(s)
	if err != nil {
		return "", err
	}
	for _, name := range names {
		_, start, end, err := findBlock(page, name)
		if err != nil {
			return "", err
		}
		page = page[:start] + blocks[name] + page[end:]
	}
	return page, nil
}

// UpdatePageFile replaces the generated blocks of the page at path.
func UpdatePageFile(path string, s Slopes) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	page, err := replaceBlocks(string(text), s)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, []byte(page), 0o644), "write page")
}
