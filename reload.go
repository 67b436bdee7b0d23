package arbutusline

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/settings"
)

// ReloadResult lists the modules whose settings a reload changed.
type ReloadResult struct {
	// Applied lists the modules that applied new settings.
	Applied []string
	// PendingRestart lists the modules with changed settings that take effect at the
	// next start of the process.
	PendingRestart []string
}

// Reload applies new settings to the loaded modules. When the settings of any module
// are invalid, it returns the error and changes nothing. It must not be called
// concurrently.
func (k *Kernel) Reload(file settings.File) (ReloadResult, error) {
	next, err := k.decodeModules(file)
	if err != nil {
		return ReloadResult{}, err
	}
	var r ReloadResult
	for i, m := range k.modules {
		before, requested, err := encodeSettings(m, next[i])
		if err != nil {
			return r, err
		}
		if bytes.Equal(before, requested) {
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
		if !bytes.Equal(after, requested) {
			r.PendingRestart = append(r.PendingRestart, m.ModuleName())
		}
	}
	k.settings = file
	return r, nil
}

// decodeModules returns, for each loaded module, a new module with the settings in
// file, validated but not provisioned.
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

func encodeSettings(current, next Module) (currentJSON, nextJSON []byte, err error) {
	if currentJSON, err = json.Marshal(current); err == nil {
		nextJSON, err = json.Marshal(next)
	}
	return currentJSON, nextJSON, errors.Wrapf(err, "encode settings of %s", current.ModuleName())
}
