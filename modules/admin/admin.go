// Package admin is the module "admin": the HTTP server for metrics and for liveness and
// readiness probes.
package admin

import (
	"context"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
)

// Name is the name of the module.
const Name = "admin"

const readHeaderTimeout = 5 * time.Second

func init() {
	arbutusline.Register(func() arbutusline.Module { return &Admin{Listen: "127.0.0.1:0"} })
}

// Admin serves /metrics, /livez and /readyz.
type Admin struct {
	// Listen is the address of the server. Default "127.0.0.1:0".
	Listen string `json:"listen"`
	// MetricsListen is an additional address that serves the same paths, for
	// deployments where metrics cannot be collected from Listen. Default: none.
	MetricsListen string `json:"metrics_listen"`

	log             *logrus.Entry
	registry        *prometheus.Registry
	server          *http.Server
	stopping        atomic.Bool
	mu              sync.Mutex
	readinessChecks []readinessCheck
}

type readinessCheck struct {
	name  string
	check func() error
}

// ModuleName returns "admin".
func (a *Admin) ModuleName() string { return Name }

// Provision creates the metrics registry.
func (a *Admin) Provision(k *arbutusline.Kernel) error {
	a.log = k.Log.WithField("module", Name)
	a.registry = prometheus.NewRegistry()
	a.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if k.DroppedLogLines != nil {
		a.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "arbutus_log_lines_dropped_total", Help: "Log lines dropped because the output did not take them.",
		}, func() float64 { return float64(k.DroppedLogLines()) }))
	}
	return nil
}

// Registry returns the registry in which modules register their metrics.
func (a *Admin) Registry() *prometheus.Registry { return a.registry }

// AddReadinessCheck adds a check. /readyz answers 200 only if all checks return nil. They
// are made in the order in which they were added: a check may rely on the state that those
// of the modules before it have seen.
func (a *Admin) AddReadinessCheck(name string, check func() error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readinessChecks = append(a.readinessChecks, readinessCheck{name, check})
}

// SetStopping makes /readyz answer 503 for the rest of the process.
func (a *Admin) SetStopping() { a.stopping.Store(true) }

// Start listens on the configured addresses and serves in the background.
func (a *Admin) Start(context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", a.handleReadiness)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	for _, address := range []string{a.Listen, a.MetricsListen} {
		if address == "" {
			continue
		}
		if err := a.serve(address); err != nil {
			return err
		}
	}
	return nil
}

func (a *Admin) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	a.log.WithField("address", listener.Addr().String()).Info("serving metrics and health")
	go func() {
		if err := a.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.log.WithError(err).Error("admin server failed")
		}
	}()
	return nil
}

func (a *Admin) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if failures := a.readinessFailures(); len(failures) > 0 {
		http.Error(w, strings.Join(failures, "\n"), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *Admin) readinessFailures() []string {
	if a.stopping.Load() {
		return []string{"stopping"}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var failures []string
	for _, c := range a.readinessChecks {
		if err := c.check(); err != nil {
			failures = append(failures, c.name+": "+err.Error())
		}
	}
	sort.Strings(failures)
	return failures
}

// Stop shuts the server down; it waits for running requests until ctx ends.
func (a *Admin) Stop(ctx context.Context) error {
	a.SetStopping()
	if a.server == nil {
		return nil
	}
	return a.server.Shutdown(ctx)
}
