package arbutusline

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/settings"
)

// Kernel runs a list of modules as one process.
type Kernel struct {
	// Log is the process logger. Modules derive loggers with their own fields from it.
	Log *logrus.Entry
	// DroppedLogLines returns the number of log lines dropped because the queue was
	// full or the output failed. It may be nil.
	DroppedLogLines func() uint64

	settings      settings.File
	modules       []Module
	modulesByName map[string]Module
	startedCount  int
}

// New returns a kernel whose modules are configured from file.
func New(file settings.File, log *logrus.Entry) *Kernel {
	return &Kernel{Log: log, settings: file, modulesByName: map[string]Module{}}
}

// Load creates and provisions the named modules in order, then validates them all.
func (k *Kernel) Load(names ...string) error {
	if err := k.settings.RejectUnknownModules(names); err != nil {
		return err
	}
	for _, name := range names {
		if err := k.provision(name); err != nil {
			return errors.Wrapf(err, "provision %s", name)
		}
	}
	return k.validate()
}

func (k *Kernel) provision(name string) error {
	m, err := newModule(name)
	if err != nil {
		return err
	}
	if err := k.settings.Decode(name, m); err != nil {
		return err
	}
	if p, ok := m.(Provisioner); ok {
		if err := p.Provision(k); err != nil {
			return err
		}
	}
	k.modules = append(k.modules, m)
	k.modulesByName[name] = m
	return nil
}

func (k *Kernel) validate() error {
	for _, m := range k.modules {
		v, ok := m.(Validator)
		if !ok {
			continue
		}
		if err := k.settings.WithLocation(m.ModuleName(), v.Validate()); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the loaded modules in order. When one fails, it stops that module and
// those started before it.
func (k *Kernel) Start(ctx context.Context) error {
	for i, m := range k.modules {
		k.startedCount = i + 1
		s, ok := m.(Starter)
		if !ok {
			continue
		}
		if err := s.Start(ctx); err != nil {
			startErr := errors.Wrapf(err, "start %s", m.ModuleName())
			return errors.CombineErrors(startErr, k.Stop(ctx))
		}
	}
	return nil
}

// Stop stops the started modules in reverse order. It returns the first error, with
// later ones attached as secondary errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for ; k.startedCount > 0; k.startedCount-- {
		m := k.modules[k.startedCount-1]
		s, ok := m.(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			first = errors.CombineErrors(first, errors.Wrapf(err, "stop %s", m.ModuleName()))
		}
	}
	return first
}

// EffectiveSettings returns the settings of all loaded modules as indented JSON, with
// defaults filled in.
func (k *Kernel) EffectiveSettings() ([]byte, error) {
	out := map[string]Module{}
	for _, m := range k.modules {
		out[m.ModuleName()] = m
	}
	return json.MarshalIndent(out, "", "  ")
}

// Lookup returns the loaded module with the given name as a T. It fails with
// ErrNotLoaded or ErrWrongType.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	m, ok := k.modulesByName[name]
	if !ok {
		return zero, errors.Wrapf(ErrNotLoaded, "module %q", name)
	}
	t, ok := m.(T)
	if !ok {
		return zero, errors.Wrapf(ErrWrongType, "module %q is a %T", name, m)
	}
	return t, nil
}
