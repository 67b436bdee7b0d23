package reference

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const pagePath = "../../docs/reference.md"

var writePage = flag.Bool("write-page", false, "rewrite docs/reference.md")

// Guards against settings and metrics that are missing on the reference page, and
// against outdated rows. Descriptions may differ.
func TestPageListsSettingsAndMetrics(t *testing.T) {
	report, err := Collect()
	assert.NilError(t, err)
	if *writePage {
		assert.NilError(t, os.WriteFile(pagePath, []byte(report.Markdown()), 0o644))
	}
	text, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	rows := report.RowPrefixes()
	for _, row := range rows {
		if !strings.Contains(string(text), "\n"+row) {
			t.Errorf("docs/reference.md does not have the row %q: run go test ./internal/reference -write-page", row)
		}
	}
	for _, line := range strings.Split(string(text), "\n") {
		known := func(row string) bool { return strings.HasPrefix(line, row) }
		if strings.HasPrefix(line, "| `") && !slices.ContainsFunc(rows, known) {
			t.Errorf("docs/reference.md has an outdated row %q: run go test ./internal/reference -write-page", line)
		}
	}
	assert.Assert(t, strings.Contains(string(text), "arbutus_objectstore_calls_total"), "metrics are not collected")
}

// Guards against a module that is missing on the page because modules.go does not
// import it.
func TestAllModulesAreListed(t *testing.T) {
	missing, err := UnlistedModules()
	assert.NilError(t, err)
	assert.DeepEqual(t, missing, []string(nil))
}
