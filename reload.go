package arbutusline

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/settings"
)

// ReloadResult names the modules whose settings a reload changed.
type ReloadResult struct {
	// Applied holds modules that work with new settings.
	Applied []string
	// PendingRestart holds modules with settings that take effect at the next start.
	PendingRestart []string
}

// Reload takes new settings for the loaded modules. When one of them is not valid,
// it returns the error and changes nothing. It must not run twice at a time.
func (k *Kernel) Reload(file settings.File) (ReloadResult, error) {
	next, err := k.decodeModules(file)
	if err != nil {
		return ReloadResult{}, err
	}
	var r ReloadResult
	for i, m := range k.modules {
		before, wanted, err := encodeSettings(m, next[i])
		if err != nil {
			return r, err
		}
		if bytes.Equal(before, wanted) {
			continue
		}
		if reloader, ok := m.(Reloader); ok {
			reloader.Reload(next[i])
		}
		after, _, err := encodeSettings(m, next[i])
		if err != nil {
			return r, err
		}
		if !bytes.Equal(after, before) {
			r.Applied = append(r.Applied, m.ModuleName())
		}
		if !bytes.Equal(after, wanted) {
			r.PendingRestart = append(r.PendingRestart, m.ModuleName())
		}
	}
	k.settings = file
	return r, nil
}

// decodeModules returns a module with the new settings for each loaded one.
func (k *Kernel) decodeModules(file settings.File) ([]Module, error) {
	names := make([]string, len(k.modules))
	for i, m := range k.modules {
		names[i] = m.ModuleName()
	}
	if err := file.RejectUnknownModules(names); err != nil {
		return nil, err
	}
	next := make([]Module, len(names))
	for i, name := range names {
		m, err := newModule(name)
		if err != nil {
			return nil, err
		}
		if err := file.Decode(name, m); err != nil {
			return nil, err
		}
		if v, ok := m.(Validator); ok {
			if err := file.WithLocation(name, v.Validate()); err != nil {
				return nil, err
			}
		}
		next[i] = m
	}
	return next, nil
}

func encodeSettings(a, b Module) (textA, textB []byte, err error) {
	if textA, err = json.Marshal(a); err == nil {
		textB, err = json.Marshal(b)
	}
	return textA, textB, errors.Wrapf(err, "encode settings of %s", a.ModuleName())
}
