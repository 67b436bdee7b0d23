package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

type example struct {
	Size  int      `json:"size"`
	Wait  Duration `json:"wait"`
	Inner struct {
		Name string `json:"name"`
	} `json:"inner"`
}

// Guards against errors that do not say which line of a settings file is wrong.
func TestErrorsNameFileAndLine(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"syntax", "{\n  \"a\": {\n  \"size\": }\n}", "line 3"},
		{"no object", "\n[]", "node.json, line 2: expected an object"},
		{"module is no object", "{\n\n\"a\": 3}", "node.json, line 3: settings of a"},
		{"unknown module", "{\"a\": {},\n \"b\": {}}", "node.json, line 2: settings for unknown modules [\"b\"]"},
		{"module twice", "{\"a\": {},\n \"a\": {}}", "node.json, line 2: module \"a\" appears twice"},
		{"unknown field", "{// comment\n \"a\": {\n /* more\n lines */ \"sizes\": 1}}", "node.json, line 4: settings of a: json: unknown field \"sizes\""},
		{"unknown inner field", "{\"a\": {\n\"inner\": {\n\"nam\": 1}}}", "node.json, line 3: settings of a"},
		{"wrong type", "{\"a\": {\n\"wait\": \"1s\",\n\"size\": \"x\"}}", "node.json, line 3: settings of a"},
		{"duration without a unit", "{\"a\": {\n\"size\": 7,\n\"wait\": \"7\",\n}}", "node.json, line 3: settings of a: duration \"7\""},
		{"duration as a number", "{\"a\": {\n\"size\": 7,\n\"wait\": 8,\n}}", "node.json, line 3: settings of a: duration 8"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.json")
			assert.NilError(t, os.WriteFile(path, []byte(c.text), 0o600))
			f, err := Read(path)
			if err == nil {
				err = f.RejectUnknownModules([]string{"a"})
			}
			if err == nil {
				err = f.Decode("a", &example{})
			}
			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, path)
			assert.Assert(t, errors.Is(err, ErrInvalid))
		})
	}
}

// Guards against defaults that are lost when the file sets only some fields.
func TestDecodeKeepsDefaults(t *testing.T) {
	f, err := Parse([]byte("{\"a\": {\"wait\": \"2s\", /* c */ \"inner\": {\"name\": \"n\",},},}"))
	assert.NilError(t, err)
	v := example{Size: 4}
	assert.NilError(t, f.Decode("a", &v))
	assert.Equal(t, v.Size, 4)
	assert.Equal(t, v.Wait.AsDuration(), 2*time.Second)
	assert.Equal(t, v.Inner.Name, "n")
}

// Guards against validation errors without the line of the module's settings.
func TestWithLocationNamesTheLineOfTheModule(t *testing.T) {
	f, err := Parse([]byte("{\n\"a\": {}}"))
	assert.NilError(t, err)
	invalid := errors.New("size must be positive")
	assert.Error(t, f.WithLocation("a", invalid), "file settings, line 2: settings of a: size must be positive")
	assert.Error(t, f.WithLocation("b", invalid), "settings of b: size must be positive")
	assert.NilError(t, f.WithLocation("a", nil))
}

// Guards against overrides that are lost, taken for another type, or misspelled unnoticed.
func TestOverridesReplaceFieldsOfTheFile(t *testing.T) {
	read := func(overrides ...string) (example, error) {
		var e example
		f, err := Parse([]byte(`{"a": {"size": 1, "wait": "1s"}}`))
		assert.NilError(t, err)
		if f, err = f.WithOverrides(overrides); err != nil {
			return e, err
		}
		if err = f.RejectUnknownModules([]string{"a"}); err != nil {
			return e, err
		}
		return e, f.Decode("a", &e)
	}
	e, err := read("a.wait=3000ms", "a.size=7")
	assert.NilError(t, err)
	assert.Equal(t, e.Wait.AsDuration(), 3*time.Second)
	assert.Equal(t, e.Size, 7)
	for _, bad := range []string{"a.wait", "wait=1s", ".wait=1s", "a.weight=1s", "a.wait=soon", "b.wait=1s"} {
		_, err := read(bad)
		assert.Assert(t, errors.Is(err, ErrInvalid), "%s: %v", bad, err)
	}
}
