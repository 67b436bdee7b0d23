// Package settings reads process settings from JSON with comments: one object per
// module, in which unknown fields are errors. Errors name the file and the line.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// ErrInvalid is the cause of every error about the content of a settings file.
var ErrInvalid = errors.New("invalid settings")

// File holds the settings of one process, one object per module name.
type File struct {
	path    string
	content []byte
	modules map[string]moduleSection
	// overrides replace fields of the file, in the order in which they were given.
	overrides []override
}

// override is the value of one field of a module's settings.
type override struct {
	module, field string
	value         json.RawMessage
}

// moduleSection is the settings object of one module.
type moduleSection struct {
	standardJSON json.RawMessage
	parsed       hujson.Value
	startOffset  int
}

// Read reads the file at path. An empty path gives empty settings, so that
// every module uses its defaults.
func Read(path string) (File, error) {
	if path == "" {
		return File{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, errors.Wrap(err, "read settings")
	}
	return parse(path, text)
}

// WithOverrides returns the settings with the fields of overrides, each MODULE.FIELD=VALUE, in
// place of those of the file. A value that is not JSON is a string. It fails with ErrInvalid if
// an override has another form.
func (f File) WithOverrides(overrides []string) (File, error) {
	f.overrides = slices.Clone(f.overrides)
	for _, text := range overrides {
		name, value, hasValue := strings.Cut(text, "=")
		module, field, hasField := strings.Cut(name, ".")
		if !hasValue || !hasField || module == "" || field == "" {
			return File{}, errors.Wrapf(ErrInvalid, "override %q is not MODULE.FIELD=VALUE", text)
		}
		o := override{module: module, field: field, value: json.RawMessage(value)}
		if !json.Valid(o.value) {
			o.value = json.RawMessage(strconv.Quote(value))
		}
		f.overrides = append(f.overrides, o)
	}
	return f, nil
}

// Parse parses JSON with comments and trailing commas.
func Parse(text []byte) (File, error) { return parse("settings", text) }

func parse(path string, text []byte) (File, error) {
	f := File{path: path, content: text, modules: map[string]moduleSection{}}
	root, err := hujson.Parse(text)
	if err != nil {
		// The error names line and column.
		return File{}, errors.Mark(errors.Wrapf(err, "file %s", path), ErrInvalid)
	}
	// Standardize replaces comments by spaces, so that offsets are those of the file.
	standardized, err := hujson.Standardize(text)
	if err != nil {
		return File{}, errors.Mark(errors.Wrapf(err, "file %s", path), ErrInvalid)
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return File{}, errors.Wrapf(ErrInvalid, "%s: expected an object with one object per module", f.position(root.StartOffset))
	}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if _, duplicate := f.modules[name]; duplicate {
			return File{}, errors.Wrapf(ErrInvalid, "%s: module %q appears twice", f.position(m.Name.StartOffset), name)
		}
		start, end := m.Value.StartOffset, m.Value.EndOffset
		f.modules[name] = moduleSection{standardJSON: standardized[start:end], parsed: m.Value, startOffset: start}
	}
	return f, nil
}

// position describes an offset by file and line, for error messages.
func (f File) position(offset int) string {
	offset = max(0, min(offset, len(f.content)))
	return fmt.Sprintf("file %s, line %d", f.path, 1+bytes.Count(f.content[:offset], []byte("\n")))
}

// WithLocation marks an error about the settings of the named module as ErrInvalid and
// adds their file and line. It returns nil when err is nil.
func (f File) WithLocation(name string, err error) error {
	if err == nil {
		return nil
	}
	err = errors.Mark(errors.Wrapf(err, "settings of %s", name), ErrInvalid)
	s, ok := f.modules[name]
	if !ok {
		return err // The file does not configure the module.
	}
	return errors.Wrap(err, f.position(s.startOffset))
}

// RejectUnknownModules returns an error when the file has settings for a module that
// is not in names.
func (f File) RejectUnknownModules(names []string) error {
	var unknown []string
	firstOffset := len(f.content)
	for name, s := range f.modules {
		if !slices.Contains(names, name) {
			unknown = append(unknown, name)
			firstOffset = min(firstOffset, s.startOffset)
		}
	}
	for _, o := range f.overrides {
		if !slices.Contains(names, o.module) {
			return errors.Wrapf(ErrInvalid, "override of %s.%s: expected one of the modules %q", o.module, o.field, names)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	sort.Strings(unknown)
	return errors.Wrapf(ErrInvalid, "%s: settings for unknown modules %q, expected some of %q", f.position(firstOffset), unknown, names)
}

// Decode writes the settings of the named module over the defaults in dst.
func (f File) Decode(name string, dst any) error {
	if err := f.decodeSection(name, dst); err != nil {
		return err
	}
	for _, o := range f.overrides {
		if o.module != name {
			continue
		}
		text, err := json.Marshal(map[string]json.RawMessage{o.field: o.value})
		if err == nil {
			d := json.NewDecoder(bytes.NewReader(text))
			d.DisallowUnknownFields()
			err = d.Decode(dst)
		}
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "override of %s.%s", o.module, o.field), ErrInvalid)
		}
	}
	return nil
}

// decodeSection writes the settings that the file has for a module.
func (f File) decodeSection(name string, dst any) error {
	s, ok := f.modules[name]
	if !ok {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(s.standardJSON))
	d.DisallowUnknownFields()
	err := d.Decode(dst)
	if err == nil {
		return nil
	}
	offset := s.startOffset + s.errorOffset(err)
	return errors.Mark(errors.Wrapf(err, "%s: settings of %s", f.position(offset), name), ErrInvalid)
}

// errorOffset returns the offset within the section that a decoding error refers to,
// or 0 when it is not known.
func (s moduleSection) errorOffset(err error) int {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return int(wrongType.Offset)
	}
	var badDuration *durationError
	if errors.As(err, &badDuration) {
		return s.findMember(s.parsed, func(m hujson.ObjectMember) bool {
			literal, ok := m.Value.Value.(hujson.Literal)
			return ok && string(literal) == badDuration.literal
		})
	}
	// encoding/json reports an unknown field only as text, without an error type.
	_, quoted, _ := strings.Cut(err.Error(), "json: unknown field ")
	field, unquoteErr := strconv.Unquote(quoted)
	if unquoteErr != nil {
		return 0
	}
	return s.findMember(s.parsed, func(m hujson.ObjectMember) bool {
		return m.Name.Value.(hujson.Literal).String() == field
	})
}

// findMember returns the offset within the section of the first object member that
// matches, or 0.
func (s moduleSection) findMember(v hujson.Value, matches func(hujson.ObjectMember) bool) int {
	switch v := v.Value.(type) {
	case *hujson.Object:
		for _, m := range v.Members {
			if matches(m) {
				return m.Name.StartOffset - s.startOffset
			}
			if offset := s.findMember(m.Value, matches); offset > 0 {
				return offset
			}
		}
	case *hujson.Array:
		for _, e := range v.Elements {
			if offset := s.findMember(e, matches); offset > 0 {
				return offset
			}
		}
	}
	return 0
}

// Duration is a time.Duration written in settings as a string, such as "250ms".
type Duration time.Duration

// durationError reports a JSON literal that is not a duration.
type durationError struct{ literal string }

func (e *durationError) Error() string {
	return fmt.Sprintf("duration %s: expected a string such as \"250ms\"", e.literal)
}

// UnmarshalJSON accepts a string in the syntax of time.ParseDuration.
func (d *Duration) UnmarshalJSON(text []byte) error {
	s, err := strconv.Unquote(string(text))
	if err != nil {
		return &durationError{string(text)}
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return &durationError{string(text)}
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// AsDuration returns the value as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }
