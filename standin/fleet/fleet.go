// Package fleet runs several stand-ins in one process, configured by one settings file.
//
// Each stand-in serves its admin endpoints on its own address. The address in the
// section "admin" serves those of all stand-ins, with /<name> before the path:
//
//	GET  /admin/runs     audit log of engines and services
//	GET  /admin/state    state of an engine or the KV store
//	GET  /admin/calls    number of object API calls by kind
//	GET  /admin/loads    number of loads of the weight store
//	POST /admin/faults   faults to inject, as JSON
//	POST /admin/hosts    host list of the object API, as JSON
//	POST /admin/crash    crashes an engine or service; ?down_ms= sets the downtime
package fleet

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/engine"
	"github.com/arbutusline/arbutusline/standin/kvstore"
	"github.com/arbutusline/arbutusline/standin/objectapi"
	"github.com/arbutusline/arbutusline/standin/serve"
	"github.com/arbutusline/arbutusline/standin/service"
	"github.com/arbutusline/arbutusline/standin/weights"
	"github.com/arbutusline/arbutusline/workload/audit"
)

// Names of the sections of the settings file.
const (
	sectionStore           = "store"
	sectionWeights         = "weights"
	sectionKVStore         = "kvstore"
	sectionEngineDefaults  = "engine_defaults"
	sectionEngines         = "engines"
	sectionServiceDefaults = "service_defaults"
	sectionServices        = "services"
	sectionAdmin           = "admin"
)

// Config holds the settings of a fleet.
type Config struct {
	Store    *objectapi.Config `json:"store,omitempty"`
	Weights  *weights.Config   `json:"weights,omitempty"`
	KVStore  *kvstore.Config   `json:"kvstore,omitempty"`
	Engines  []engine.Config   `json:"engines"`
	Services []service.Config  `json:"services"`
	// Admin is the address that serves the admin endpoints of all stand-ins under
	// /<name>/admin/, also while a stand-in is crashed, and the combined audit logs
	// under /admin/runs. Empty disables it.
	Admin string `json:"admin,omitempty"`
}

// Decode reads the settings of a fleet. Engines and services take omitted settings
// from the sections engine_defaults and service_defaults.
func Decode(f settings.File) (Config, error) {
	var c Config
	err := f.RejectUnknownModules([]string{
		sectionStore, sectionWeights, sectionKVStore, sectionEngineDefaults, sectionEngines,
		sectionServiceDefaults, sectionServices, sectionAdmin,
	})
	if err != nil {
		return c, err
	}
	if c.Store, err = decodeOptionalSection(f, sectionStore, objectapi.Defaults()); err != nil {
		return c, err
	}
	if c.Weights, err = decodeOptionalSection(f, sectionWeights, weights.Defaults()); err != nil {
		return c, err
	}
	if c.KVStore, err = decodeOptionalSection(f, sectionKVStore, kvstore.Defaults()); err != nil {
		return c, err
	}
	if err := f.Decode(sectionAdmin, &c.Admin); err != nil {
		return c, err
	}
	if c.Engines, err = decodeEntries(f, sectionEngineDefaults, sectionEngines, engine.Defaults()); err != nil {
		return c, err
	}
	c.Services, err = decodeEntries(f, sectionServiceDefaults, sectionServices, service.Defaults())
	return c, err
}

// decodeOptionalSection decodes a section over its defaults. It returns nil if the file
// does not have the section.
func decodeOptionalSection[T any](f settings.File, section string, defaults T) (*T, error) {
	var raw json.RawMessage
	if err := f.Decode(section, &raw); err != nil || raw == nil {
		return nil, err
	}
	return &defaults, f.Decode(section, &defaults)
}

// decodeEntries decodes a list of entries. A setting that an entry omits has the value in
// the section defaultsSection or, if omitted there too, in defaults.
func decodeEntries[T any](f settings.File, defaultsSection, entriesSection string, defaults T) ([]T, error) {
	if err := f.Decode(defaultsSection, &defaults); err != nil {
		return nil, err
	}
	var entries []json.RawMessage
	if err := f.Decode(entriesSection, &entries); err != nil {
		return nil, err
	}
	out := make([]T, len(entries))
	for i, raw := range entries {
		out[i] = defaults
		d := json.NewDecoder(bytes.NewReader(raw))
		d.DisallowUnknownFields()
		if err := d.Decode(&out[i]); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "entry %d of %s", i, entriesSection), settings.ErrInvalid)
		}
	}
	return out, nil
}

// standIn is implemented by all stand-ins.
type standIn interface {
	Start() error
	Stop()
	Handler() http.Handler
	Address() string
}

// Fleet is a set of running stand-ins.
type Fleet struct {
	// CacheIndex is shared by all engines.
	CacheIndex *engine.FleetCacheIndex
	names      []string
	standIns   map[string]standIn
	admin      *serve.Server
}

// New creates the stand-ins of c without starting them.
func New(c Config) (*Fleet, error) {
	f := &Fleet{CacheIndex: engine.NewFleetCacheIndex(), standIns: map[string]standIn{}}
	var err error
	add := func(name string, s standIn) {
		if name == "" || f.standIns[name] != nil {
			err = errors.CombineErrors(err, errors.Wrapf(settings.ErrInvalid, "stand-in name %q is empty or used twice", name))
			return
		}
		f.names = append(f.names, name)
		f.standIns[name] = s
	}
	if c.Store != nil {
		add(sectionStore, objectapi.New(*c.Store))
	}
	if c.Weights != nil {
		add(sectionWeights, weights.New(*c.Weights))
	}
	if c.KVStore != nil {
		add(c.KVStore.Name, kvstore.New(*c.KVStore))
	}
	for _, e := range c.Engines {
		add(e.Name, engine.New(e, f.CacheIndex))
	}
	for _, s := range c.Services {
		add(s.Name, service.New(s))
	}
	if c.Admin != "" {
		f.admin = serve.New(c.Admin, f.adminHandler())
	}
	return f, err
}

func (f *Fleet) adminHandler() http.Handler {
	mux := http.NewServeMux()
	for name, s := range f.standIns {
		mux.Handle("/"+name+"/admin/", http.StripPrefix("/"+name, s.Handler()))
	}
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, f.Runs())
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, f.Addresses())
	})
	return mux
}

// auditLogSource is implemented by stand-ins with an audit log.
type auditLogSource interface {
	Runs() audit.Snapshot
}

// Runs returns the combined audit logs of all stand-ins.
func (f *Fleet) Runs() audit.Snapshot {
	all := audit.Snapshot{Runs: []audit.Run{}}
	for _, name := range f.names {
		if r, ok := f.standIns[name].(auditLogSource); ok {
			page := r.Runs()
			all.Runs = append(all.Runs, page.Runs...)
			all.Dropped += page.Dropped
		}
	}
	return all
}

// Addresses returns the address of each stand-in by name.
func (f *Fleet) Addresses() map[string]string {
	out := map[string]string{}
	for name, s := range f.standIns {
		out[name] = s.Address()
	}
	return out
}

// AdminURL returns the base URL of the admin address, or "" if it is disabled.
func (f *Fleet) AdminURL() string {
	if f.admin == nil {
		return ""
	}
	return f.admin.URL()
}

// Start starts all stand-ins. When one fails to start, it stops those already started.
func (f *Fleet) Start() error {
	for i, name := range f.names {
		if err := f.standIns[name].Start(); err != nil {
			for _, started := range f.names[:i] {
				f.standIns[started].Stop()
			}
			return errors.Wrapf(err, "stand-in %s", name)
		}
	}
	if f.admin == nil {
		return nil
	}
	return f.admin.Start()
}

// Stop stops all stand-ins.
func (f *Fleet) Stop() {
	if f.admin != nil {
		f.admin.Stop()
	}
	for _, name := range f.names {
		f.standIns[name].Stop()
	}
}
