package reference

import (
	"go/ast"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/rules"
)

func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile("../../docs/" + path)
	assert.NilError(t, err)
	return string(text)
}

// section returns the text between a heading and the next one of its level.
func section(t *testing.T, text, heading string) string {
	t.Helper()
	_, rest, ok := strings.Cut(text, heading+"\n")
	assert.Assert(t, ok, "no heading %q", heading)
	level, _, _ := strings.Cut(heading, " ")
	body, _, _ := strings.Cut(rest, "\n"+level+" ")
	return body
}

// stringLiterals returns the string literals among the expressions that
// selectExprs selects in the sources of a directory.
func stringLiterals(t *testing.T, dir string, selectExprs func(ast.Node) []ast.Expr) []string {
	t.Helper()
	files, err := parseSources("../../" + dir)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, dir)
	var out []string
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			for _, e := range selectExprs(n) {
				if lit, ok := e.(*ast.BasicLit); ok {
					if s, err := strconv.Unquote(lit.Value); err == nil {
						out = append(out, s)
					}
				}
			}
			return true
		})
	}
	return out
}

// constantsOfType selects the values of the constants of a type.
func constantsOfType(typeName string) func(ast.Node) []ast.Expr {
	return func(n ast.Node) []ast.Expr {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return nil
		}
		switch t := spec.Type.(type) {
		case *ast.Ident:
			if t.Name == typeName {
				return spec.Values
			}
		case *ast.SelectorExpr:
			if t.Sel.Name == typeName {
				return spec.Values
			}
		}
		return nil
	}
}

// endedReasons selects the first argument of calls of a method "ended".
func endedReasons(n ast.Node) []ast.Expr {
	if call, ok := n.(*ast.CallExpr); ok && len(call.Args) > 0 {
		if fun, ok := call.Fun.(*ast.SelectorExpr); ok && fun.Sel.Name == "ended" {
			return call.Args[:1]
		}
	}
	return nil
}

// failureReasons selects the values of constants named "Reason…" and the first
// result of each return statement in a function named "failureOf".
func failureReasons(n ast.Node) []ast.Expr {
	switch n := n.(type) {
	case *ast.ValueSpec:
		if strings.HasPrefix(n.Names[0].Name, "Reason") {
			return n.Values
		}
	case *ast.FuncDecl:
		if n.Name.Name == "failureOf" {
			return firstResults(n)
		}
	}
	return nil
}

// firstResults returns the first result of each return statement of f.
func firstResults(f *ast.FuncDecl) []ast.Expr {
	var picked []ast.Expr
	ast.Inspect(f, func(n ast.Node) bool {
		if r, ok := n.(*ast.ReturnStmt); ok && len(r.Results) > 0 {
			picked = append(picked, r.Results[0])
		}
		return true
	})
	return picked
}

// Guards against a refusal code, retry reason or failure without a runbook entry.
func TestEveryCodeHasARunbookEntry(t *testing.T) {
	runbook, design := readPage(t, "OPERATIONS.md"), readPage(t, "design.md")
	var codes []string
	codeList := section(t, design, "### 6.1 Caller to router (HTTP)")
	_, codeList, _ = strings.Cut(codeList, "Refusal codes:")
	for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(codeList, -1) {
		codes = append(codes, m[1])
	}
	assert.Assert(t, len(codes) > 15, "codes of design.md were not read")
	codes = append(codes, stringLiterals(t, "decision/attempt", constantsOfType("Code"))...)
	codes = append(codes, stringLiterals(t, "modules/callerapi", constantsOfType("Code"))...)
	codes = append(codes, stringLiterals(t, "decision/admission", constantsOfType("Reason"))...)
	codes = append(codes, stringLiterals(t, "decision/attempt", endedReasons)...)
	reasons := stringLiterals(t, "modules/runner", failureReasons)
	assert.Assert(t, len(reasons) >= 5, "reasons of the runner were not read")
	codes = append(codes, reasons...)
	reasons = stringLiterals(t, "decision/agent", failureReasons)
	assert.Assert(t, len(reasons) >= 5, "reasons of the agent's state machine were not read")
	codes = append(codes, reasons...)
	for _, code := range codes {
		if !strings.Contains(runbook, "\n### `"+code+"`\n") {
			t.Errorf("docs/OPERATIONS.md has no entry for %q", code)
		}
	}
	for _, row := range strings.Split(section(t, design, "## 8. Failure handling"), "\n")[3:] {
		cells := strings.Split(row, "|")
		if len(cells) > 2 && !strings.Contains(runbook, "\n### "+strings.TrimSpace(cells[1])+"\n") {
			t.Errorf("docs/OPERATIONS.md has no entry for the failure %q", strings.TrimSpace(cells[1]))
		}
	}
}

// Guards against an alert or runbook entry for a metric that does not exist.
func TestRunbookNamesExistingMetrics(t *testing.T) {
	reference := readPage(t, "reference.md")
	names := regexp.MustCompile(`arbutus_[a-z_]+`).FindAllString(readPage(t, "OPERATIONS.md"), -1)
	assert.Assert(t, len(names) > 10)
	for _, name := range names {
		if !strings.Contains(reference, "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md names the metric %q, which docs/reference.md does not list", name)
		}
	}
}

// Guards against a rule keyword without a section in docs/rules.md.
func TestEveryRuleIsDocumented(t *testing.T) {
	rulesPage := readPage(t, "rules.md")
	for _, name := range rules.Keywords() {
		assert.Assert(t, strings.Contains(rulesPage, "\n## "+name+"\n"), "docs/rules.md has no section for %q", name)
	}
}
