package capacity

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Blocks of the page stand between such lines.
const (
	blockStartFormat = "<!-- begin %s -->\n"
	blockEndLine     = "<!-- end -->\n"
	// slopesBlock is the name of the block with the slopes, from which all
	// other blocks follow.
	slopesBlockName = "slopes"
)

// Errors of pages.
var errPageFormat = errors.New("page does not have the expected form")

// Blocks returns the generated blocks of the page by name, in order.
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

// parseSlopes reads the table of slopes.
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

// tableCells returns the cells of a line of a table.
func tableCells(text string) []string {
	cells := strings.Split(strings.Trim(strings.TrimSpace(text), "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

// readBlock returns the content of a block of the page and where it stands.
func findBlock(page, name string) (content string, start, end int, err error) {
	head := fmt.Sprintf(blockStartFormat, name)
	at := strings.Index(page, head)
	if at < 0 {
		return "", 0, 0, errors.Wrapf(errPageFormat, "block %q is missing", name)
	}
	start = at + len(head)
	length := strings.Index(page[start:], blockEndLine)
	if length < 0 {
		return "", 0, 0, errors.Wrapf(errPageFormat, "block %q has no end", name)
	}
	return page[start : start+length], start, start + length, nil
}

// updatePage replaces the blocks of a page.
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

// UpdatePage replaces the generated blocks of the page in a file.
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
