package reference

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// importPrefix is the common prefix of the import paths of this repository.
const importPrefix = "github.com/arbutusline/arbutusline/"

// repositoryRoot returns the nearest directory with a go.mod, at or above the
// working directory.
func repositoryRoot() (string, error) {
	dir, err := os.Getwd()
	for err == nil {
		if _, statErr := os.Stat(filepath.Join(dir, "go.mod")); statErr == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			err = errors.Newf("no go.mod above %s", dir)
		}
		dir = parent
	}
	return "", err
}

// fieldDocs returns the doc comments of the fields of a struct type, by field name,
// from the source of its package.
func fieldDocs(t reflect.Type) (map[string]string, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	files, err := parseSources(filepath.Join(root, strings.TrimPrefix(t.PkgPath(), importPrefix)))
	if err != nil {
		return nil, err
	}
	docs := map[string]string{}
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok || spec.Name.Name != t.Name() {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok {
				for _, field := range s.Fields.List {
					for _, name := range field.Names {
						docs[name.Name] = field.Doc.Text()
					}
				}
			}
			return false
		})
	}
	return docs, nil
}

// parseSources parses the Go files of a directory, except tests.
func parseSources(dir string) ([]*ast.File, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	var files []*ast.File
	for _, p := range paths {
		if strings.HasSuffix(p, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), p, nil, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

// UnlistedModules returns the directories below modules/ that register a module and
// are not imported in modules.go.
func UnlistedModules() ([]string, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	imported, err := os.ReadFile(filepath.Join(root, "internal", "reference", "modules.go"))
	if err != nil {
		return nil, err
	}
	var unlisted []string
	err = filepath.WalkDir(filepath.Join(root, "modules"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.IsDir() {
			return err
		}
		files, err := parseSources(path)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, path)
		if err == nil && registersModule(files) && !strings.Contains(string(imported), `"`+importPrefix+filepath.ToSlash(folder)+`"`) {
			unlisted = append(unlisted, folder)
		}
		return err
	})
	return unlisted, err
}

// registersModule reports whether any file calls arbutusline.Register.
func registersModule(files []*ast.File) (found bool) {
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				if fun, ok := call.Fun.(*ast.SelectorExpr); ok && fun.Sel.Name == "Register" {
					pkg, ok := fun.X.(*ast.Ident)
					found = found || (ok && pkg.Name == "arbutusline")
				}
			}
			return true
		})
	}
	return found
}
