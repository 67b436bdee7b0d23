// Package settings reads process settings: JSON with comments, one object per
// module, unknown fields refused. Errors name the file and the line.
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
}

// moduleSection is the object of one module. Start is its offset in the file.
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

// Parse parses JSON with comments and trailing commas.
func Parse(text []byte) (File, error) { return parse("settings", text) }

func parse(path string, text []byte) (File, error) {
	f := File{path: path, content: text, modules: map[string]moduleSection{}}
	root, err := hujson.Parse(text)
	if err != nil {
		// The error names line and column.
		return File{}, errors.Mark(errors.Wrapf(err, "file %s", path), ErrInvalid)
	}
	// Comments become spaces, so that offsets stay those of the file.
	standard, err := hujson.Standardize(text)
	if err != nil {
		return File{}, errors.Mark(errors.Wrapf(err, "file %s", path), ErrInvalid)
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return File{}, errors.Wrapf(ErrInvalid, "%s: expected an object with one object per module", f.position(root.StartOffset))
	}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if _, twice := f.modules[name]; twice {
			return File{}, errors.Wrapf(ErrInvalid, "%s: module %q appears twice", f.position(m.Name.StartOffset), name)
		}
		start, end := m.Value.StartOffset, m.Value.EndOffset
		f.modules[name] = moduleSection{standardJSON: standard[start:end], parsed: m.Value, startOffset: start}
	}
	return f, nil
}

// position returns file and line of an offset.
func (f File) position(offset int) string {
	offset = max(0, min(offset, len(f.content)))
	return fmt.Sprintf("file %s, line %d", f.path, 1+bytes.Count(f.content[:offset], []byte("\n")))
}

// WithLocation adds file and line of the named module's settings to an error about them.
func (f File) WithLocation(name string, err error) error {
	if err == nil {
		return nil
	}
	err = errors.Mark(errors.Wrapf(err, "settings of %s", name), ErrInvalid)
	s, ok := f.modules[name]
	if !ok {
		return err // All values are defaults.
	}
	return errors.Wrap(err, f.position(s.startOffset))
}

// RejectUnknownModules fails when the file has settings for a module not in names.
func (f File) RejectUnknownModules(names []string) error {
	var unknown []string
	first := len(f.content)
	for name, s := range f.modules {
		if !slices.Contains(names, name) {
			unknown = append(unknown, name)
			first = min(first, s.startOffset)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	sort.Strings(unknown)
	return errors.Wrapf(ErrInvalid, "%s: settings for unknown modules %q, expected some of %q", f.position(first), unknown, names)
}

// Decode writes the settings of the named module over the defaults in dst.
func (f File) Decode(name string, dst any) error {
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

// errorOffset returns where in the section a decoding error lies, or 0.
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
	// encoding/json has no type for this error.
	_, quoted, _ := strings.Cut(err.Error(), "json: unknown field ")
	field, unquoteErr := strconv.Unquote(quoted)
	if unquoteErr != nil {
		return 0
	}
	return s.findMember(s.parsed, func(m hujson.ObjectMember) bool {
		return m.Name.Value.(hujson.Literal).String() == field
	})
}

// findMember returns the offset within the section of the first member that matches.
func (s moduleSection) findMember(v hujson.Value, matches func(hujson.ObjectMember) bool) int {
	switch v := v.Value.(type) {
	case *hujson.Object:
		for _, m := range v.Members {
			if matches(m) {
				return m.Name.StartOffset - s.startOffset
			}
			if at := s.findMember(m.Value, matches); at > 0 {
				return at
			}
		}
	case *hujson.Array:
		for _, e := range v.Elements {
			if at := s.findMember(e, matches); at > 0 {
				return at
			}
		}
	}
	return 0
}

// Duration is a time span that settings write as a string, such as "250ms".
type Duration time.Duration

// durationError is a text that is not a duration. Text is the JSON literal.
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
