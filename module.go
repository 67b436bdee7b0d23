// Package arbutusline is the module kernel: a registry of modules by name and the
// lifecycle that a process runs them through. It depends on no particular module.
//
// A module is registered once, usually from an init function, and each kernel creates
// its own instance. Modules find each other by name with Lookup during Provision. The
// kernel provisions, validates and starts them in the order in which the process lists
// them, and stops them in reverse order.
package arbutusline

import (
	"context"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"
)

// Module is a component of a process. A module may also implement
// Provisioner, Validator, Starter, Reloader and Stopper.
type Module interface {
	// ModuleName returns the name that the module is registered under.
	ModuleName() string
}

// Provisioner is implemented by modules that read settings or look up other
// modules before they start.
type Provisioner interface {
	Provision(k *Kernel) error
}

// Validator is implemented by modules that check their settings. Validate runs after
// all modules are provisioned and before any is started, and on a reload.
type Validator interface {
	Validate() error
}

// Starter is implemented by modules that serve or run in the background. Start
// returns once the module is ready; background work ends in Stop.
type Starter interface {
	Start(ctx context.Context) error
}

// Reloader is implemented by modules that can apply changed settings while they run.
// next is a module of the same type with the new settings; it has been validated but
// not provisioned. Settings that Reload does not copy take effect at the next start of
// the process.
type Reloader interface {
	Reload(next Module)
}

// Stopper is implemented by modules that hold connections or goroutines. Stop
// waits for work in progress until ctx ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Errors returned by Kernel.Load and Lookup.
var (
	// ErrUnknownModule means that no module is registered under the name.
	ErrUnknownModule = errors.New("module is not registered")
	// ErrNotLoaded means that the process does not run the module, or lists it after
	// the module that calls Lookup.
	ErrNotLoaded = errors.New("module is not loaded")
	// ErrWrongType means that a module does not have the requested type.
	ErrWrongType = errors.New("module has an unexpected type")
)

var (
	constructorsMu sync.RWMutex
	constructors   = map[string]func() Module{}
)

// Register adds a module to the registry under its name. It panics when the name is
// empty or already registered, because that is a programming error.
func Register(newModule func() Module) {
	name := newModule().ModuleName()
	constructorsMu.Lock()
	defer constructorsMu.Unlock()
	if name == "" {
		panic("arbutusline: module without a name")
	}
	if _, registered := constructors[name]; registered {
		panic("arbutusline: module " + name + " is registered twice")
	}
	constructors[name] = newModule
}

// Registered returns the names of all registered modules in alphabetical order.
func Registered() []string {
	constructorsMu.RLock()
	defer constructorsMu.RUnlock()
	names := make([]string, 0, len(constructors))
	for name := range constructors {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func newModule(name string) (Module, error) {
	constructorsMu.RLock()
	defer constructorsMu.RUnlock()
	construct, ok := constructors[name]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownModule, "module %q", name)
	}
	return construct(), nil
}
