// Package reference collects the settings of all registered modules and all
// metrics, and renders them as docs/reference.md. Importing a package in modules.go
// adds its module; "go test ./internal/reference -write-page" rewrites the page.
package reference

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/objectstore"
	"github.com/arbutusline/arbutusline/settings"
)

// Setting is one field of a module's settings.
type Setting struct {
	// Name is the path of JSON field names, joined with ".".
	Name string
	Type string
	// Default is the JSON form of the value that an empty settings file gives.
	Default string
	Doc     string
}

// Module is a registered module.
type Module struct {
	Name     string
	Settings []Setting
}

// Metric is a metric of a module.
type Metric struct {
	Name   string
	Labels string
	Help   string
}

// Report is the content of the page.
type Report struct {
	Modules []Module
	Metrics []Metric
}

// Collect provisions every registered module in one kernel with empty settings and
// reads their settings and metrics. It starts no module. It fails when a module
// cannot be provisioned with empty settings.
func Collect() (Report, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	kernel := arbutusline.New(settings.File{}, logrus.NewEntry(log))
	kernel.DroppedLogLines = func() uint64 { return 0 }
	if err := loadAllModules(kernel); err != nil {
		return Report{}, err
	}
	var r Report
	for _, name := range arbutusline.Registered() {
		m, err := arbutusline.Lookup[arbutusline.Module](kernel, name)
		if err != nil {
			return r, err
		}
		list, err := moduleSettings(m)
		if err != nil {
			return r, errors.Wrapf(err, "module %s", name)
		}
		r.Modules = append(r.Modules, Module{Name: name, Settings: list})
	}
	adminModule, err := arbutusline.Lookup[*admin.Admin](kernel, admin.Name)
	if err != nil {
		return r, err
	}
	r.Metrics, err = listMetrics(adminModule.Registry())
	return r, err
}

// loadAllModules loads all registered modules. The dependencies are not known, so a
// module whose lookup of another module fails is loaded again in the next round.
// Modules that others look up optionally come first.
func loadAllModules(k *arbutusline.Kernel) error {
	pending := []string{admin.Name, objectstore.Name}
	for _, name := range arbutusline.Registered() {
		if !slices.Contains(pending, name) {
			pending = append(pending, name)
		}
	}
	for len(pending) > 0 {
		var notLoaded []string
		var lastErr error
		for _, name := range pending {
			// Load also validates, which fails when a required setting is empty.
			err := k.Load(name)
			if _, lookupErr := arbutusline.Lookup[arbutusline.Module](k, name); lookupErr != nil {
				notLoaded, lastErr = append(notLoaded, name), err
			}
		}
		if len(notLoaded) == len(pending) {
			return errors.Wrapf(lastErr, "modules %q", notLoaded)
		}
		pending = notLoaded
	}
	return nil
}

// moduleSettings returns the settings of a module.
func moduleSettings(m arbutusline.Module) ([]Setting, error) {
	v := reflect.ValueOf(m)
	for v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	if v.Kind() != reflect.Struct {
		return nil, nil
	}
	docs, err := fieldDocs(v.Type())
	if err != nil {
		return nil, err
	}
	return structSettings("", v, docs)
}

// structSettings returns the settings in the fields of v, with prefix before their
// names. docs holds the doc comments by field name.
func structSettings(prefix string, v reflect.Value, docs map[string]string) ([]Setting, error) {
	var list []Setting
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || field.Anonymous || name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		if field.Type.Kind() == reflect.Struct {
			nested, err := structSettings(prefix+name+".", v.Field(i), nil)
			if err != nil {
				return nil, err
			}
			list = append(list, nested...)
			continue
		}
		value, err := json.Marshal(v.Field(i).Interface())
		if err != nil {
			return nil, err
		}
		list = append(list, Setting{
			Name: prefix + name, Type: settingType(field.Type), Default: string(value), Doc: docs[field.Name],
		})
	}
	return list, nil
}

// settingType returns the type of a setting as the page shows it.
func settingType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[settings.Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + settingType(t.Elem())
	case t.Kind() == reflect.Map:
		return "object"
	case t.Kind() == reflect.Pointer:
		return settingType(t.Elem())
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "string"
	case reflect.Float32, reflect.Float64:
		return "number"
	}
	return "integer"
}

// descriptionPattern parses the text form of a prometheus.Desc, because its fields
// are not exported.
var descriptionPattern = regexp.MustCompile(`^Desc\{fqName: "([^"]*)", help: "((?:[^"\\]|\\.)*)", (?:unit: "[^"]*", )?constLabels: \{[^}]*\}, variableLabels: \{([^}]*)\}`)

// listMetrics returns the metrics of a registry, with or without a value, except
// those of the Go runtime and the process.
func listMetrics(registry *prometheus.Registry) ([]Metric, error) {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	var list []Metric
	var unreadableErr error
	for d := range descriptions {
		match := descriptionPattern.FindStringSubmatch(d.String())
		if match == nil {
			unreadableErr = errors.Newf("cannot parse metric description %s", d)
			continue
		}
		if strings.HasPrefix(match[1], "go_") || strings.HasPrefix(match[1], "process_") {
			continue
		}
		list = append(list, Metric{Name: match[1], Help: match[2], Labels: strings.ReplaceAll(match[3], ",", ", ")})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, unreadableErr
}

const preamble = `# Reference

Settings and metrics of the modules. The lines are written by
` + "`go test ./internal/reference -write-page`" + `, and a test fails when one is
missing or no longer true.

A settings file is JSON with comments: one object per module of the program,
fields as below. Fields that are not listed are refused. Durations are strings
such as "250ms". The defaults are those that ` + "`--print-settings`" + ` prints for an
empty file. The settings of arbutusctl are in arbutusctl.md.

## Settings
`

// Markdown returns the text of the page.
func (r Report) Markdown() string {
	var b strings.Builder
	b.WriteString(preamble)
	for _, m := range r.Modules {
		fmt.Fprintf(&b, "\n### %s\n\n", m.Name)
		if len(m.Settings) == 0 {
			b.WriteString("No settings.\n")
			continue
		}
		b.WriteString("| setting | type | default | meaning |\n|---|---|---|---|\n")
		for _, s := range m.Settings {
			b.WriteString(s.rowPrefix() + " " + tableCell(s.Doc) + " |\n")
		}
	}
	b.WriteString("\n## Metrics\n\nEach process also has the usual `go_` and `process_` metrics.\n\n" +
		"| metric | labels | meaning |\n|---|---|---|\n")
	for _, m := range r.Metrics {
		b.WriteString(m.rowPrefix() + " " + tableCell(m.Help) + " |\n")
	}
	return b.String()
}

// RowPrefixes returns every row of the page up to its description.
func (r Report) RowPrefixes() []string {
	var rows []string
	for _, m := range r.Modules {
		for _, s := range m.Settings {
			rows = append(rows, s.rowPrefix())
		}
	}
	for _, m := range r.Metrics {
		rows = append(rows, m.rowPrefix())
	}
	return rows
}

func (s Setting) rowPrefix() string {
	return fmt.Sprintf("| `%s` | %s | `%s` |", s.Name, s.Type, s.Default)
}

func (m Metric) rowPrefix() string { return fmt.Sprintf("| `%s` | %s |", m.Name, m.Labels) }

// tableCell returns text as one line with "|" escaped.
func tableCell(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", `\|`)
}
