// Package arbutusline is the kernel: a registry of modules by name and the
// life cycle that a process runs them through. It knows no module itself.
//
// A module is registered once, usually from an init function, and built anew
// for each kernel. Modules find each other by name with Lookup during
// Provision; the kernel provisions, validates and starts them in the order in
// which the process lists them, and stops them in the reverse order.
package arbutusline

import (
	"context"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"
)

// Module is a unit of function of a process. A module may also implement
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

// Validator is implemented by modules that check themselves after all modules
// are provisioned and before any is started.
type Validator interface {
	Validate() error
}

// Starter is implemented by modules that serve or run in the background. Start
// returns once the module is ready; background work ends in Stop.
type Starter interface {
	Start(ctx context.Context) error
}

// Reloader is implemented by modules that take changed settings while they run.
// Reload gets a module of the same type that holds the new settings; it has been
// validated, but not provisioned. Settings that Reload does not copy take effect at
// the next start.
type Reloader interface {
	Reload(next Module)
}

// Stopper is implemented by modules that hold connections or goroutines. Stop
// waits for running work until ctx ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Errors of the kernel.
var (
	// ErrUnknownModule means that no module is registered under the name.
	ErrUnknownModule = errors.New("module is not registered")
	// ErrNotLoaded means that the process does not run the module, or runs it
	// after the one that asks.
	ErrNotLoaded = errors.New("module is not loaded")
	// ErrWrongType means that a module does not have the type asked for.
	ErrWrongType = errors.New("module has another type")
)

var (
	constructorsMu sync.RWMutex
	constructors   = map[string]func() Module{}
)

// Register makes a module known under its name. It panics when the name is
// empty or taken, because that is a fault of the program.
func Register(newModule func() Module) {
	name := newModule().ModuleName()
	constructorsMu.Lock()
	defer constructorsMu.Unlock()
	if name == "" {
		panic("arbutusline: module without a name")
	}
	if _, taken := constructors[name]; taken {
		panic("arbutusline: module " + name + " is registered twice")
	}
	constructors[name] = newModule
}

// Registered returns the names of all registered modules in order.
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
	build, ok := constructors[name]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownModule, "module %q", name)
	}
	return build(), nil
}
