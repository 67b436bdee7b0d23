// Package ingress is the module "ingress", the HTTP server for callers whose routes
// and API keys come from the operator's configuration. It checks requests against the
// configuration and passes them to the relay.
package ingress

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/modules/relay"
	"github.com/arbutusline/arbutusline/platform"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "ingress"

const (
	// serverMaxHeaderBytes is the HTTP server's own limit. It exceeds every configured
	// limit.
	serverMaxHeaderBytes = 64 << 10
	// serverHeaderTimeout and serverIdleTimeout exceed every configured timeout.
	// Callers keep to the configured timeouts themselves. A shorter timeout of the
	// server could close a connection that a caller is about to use.
	serverHeaderTimeout = 30 * time.Second
	serverIdleTimeout   = 10 * time.Minute
	// defaultTimeout applies to requests that do not state a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes applies if the configuration states no limit.
	defaultMaxBodyBytes = 16 << 20
	// configurationPollInterval is the time between two checks for the first
	// configuration.
	configurationPollInterval = 10 * time.Millisecond
	// answerMargin is the time before the end of a shutdown by which the last requests get
	// their answers.
	answerMargin = 300 * time.Millisecond
	// noConfigurationRetryAfter is the Retry-After of requests refused because the
	// router has no configuration yet.
	noConfigurationRetryAfter = 300 * time.Millisecond
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Ingress{
			ShutdownDelay: settings.Duration(2500 * time.Millisecond), ConfigurationWait: settings.Duration(300 * time.Millisecond),
		}
	})
}

// Ingress serves requests from callers.
type Ingress struct {
	// Listen is the address for callers. Required.
	Listen string `json:"listen"`
	// ShutdownDelay is how long new connections are still accepted after shutdown
	// began. Default 2.5s: the load balancer checks readiness every second and stops
	// sending requests after two failed checks.
	ShutdownDelay settings.Duration `json:"linger"`
	// ConfigurationWait is how long a request waits for the first configuration of a
	// router that has just started. Default 300ms: after a power failure the store or
	// another router delivered it within 120ms.
	ConfigurationWait settings.Duration `json:"start_wait"`

	log       *logrus.Entry
	admin     *admin.Admin
	directory *directory.Directory
	relay     *relay.Relay
	// callers is the memory for what is held for callers, and responses that for responses of
	// endpoints.
	callers, responses *bytebudget.Pool
	sizes              responseSizes
	server             *http.Server
	stopping           atomic.Bool
	sampler            sampler
	refusals           *prometheus.CounterVec
	inFlight           prometheus.Gauge
	stalled            *prometheus.CounterVec
}

// ModuleName returns "ingress".
func (g *Ingress) ModuleName() string { return Name }

// Provision looks up the relay and registers the metrics.
func (g *Ingress) Provision(k *arbutusline.Kernel) error {
	g.log = k.Log.WithField("module", Name)
	var err error
	if g.admin, err = arbutusline.Lookup[*admin.Admin](k, admin.Name); err != nil {
		return err
	}
	if g.directory, err = arbutusline.Lookup[*directory.Directory](k, directory.Name); err != nil {
		return err
	}
	if g.relay, err = arbutusline.Lookup[*relay.Relay](k, relay.Name); err != nil {
		return err
	}
	g.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_ingress_refusals_total", Help: "Requests refused before they reached the relay, by reason.",
	}, []string{"reason"})
	g.inFlight = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "arbutus_ingress_requests_in_flight", Help: "Requests that are being served.",
	})
	g.stalled = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_ingress_callers_stalled_total", Help: "Connections closed because the caller read or sent nothing for too long, by direction.",
	}, []string{"direction"})
	g.admin.Registry().MustRegister(g.refusals, g.inFlight, g.stalled)
	m, err := arbutusline.Lookup[*memory.Memory](k, memory.Name)
	if err != nil {
		return err
	}
	g.callers, g.responses = m.Callers(), m.Endpoints()
	return nil
}

// Validate checks the settings.
func (g *Ingress) Validate() error {
	if g.Listen == "" {
		return errors.New("listen is required")
	}
	if g.ShutdownDelay < 0 || g.ConfigurationWait < 0 {
		return errors.New("linger and start_wait must not be negative")
	}
	return nil
}

// Reload applies the shutdown delay.
func (g *Ingress) Reload(next arbutusline.Module) { g.ShutdownDelay = next.(*Ingress).ShutdownDelay }

// Start opens the listener and starts to serve requests.
func (g *Ingress) Start(context.Context) error {
	listener, err := net.Listen("tcp", g.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	g.server = &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: serverHeaderTimeout, IdleTimeout: serverIdleTimeout,
		MaxHeaderBytes: serverMaxHeaderBytes, ErrorLog: nil, ConnContext: withConnection,
	}
	g.log.WithField("address", listener.Addr().String()).Info("serving callers")
	callers := &callerListener{Listener: listener, log: g.log, onStall: g.observeStall}
	go func() {
		if err := g.server.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
			g.log.WithError(err).Error("server for callers failed")
		}
	}()
	return nil
}

// Stop reports the router as not ready, keeps serving while the load balancer may
// still open connections, and then waits for running requests until ctx ends.
func (g *Ingress) Stop(ctx context.Context) error {
	g.admin.SetStopping()
	if g.server == nil {
		return nil
	}
	g.stopping.Store(true)
	if end, ok := ctx.Deadline(); ok {
		g.relay.BeginStop(end.Add(-answerMargin))
	}
	t := time.NewTimer(g.ShutdownDelay.AsDuration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	err := g.server.Shutdown(ctx)
	if err != nil {
		err = errors.CombineErrors(err, g.server.Close())
	}
	return errors.Wrap(err, "shut down HTTP server with requests still running")
}

func (g *Ingress) serve(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	g.inFlight.Inc()
	defer g.inFlight.Dec()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	var held holding
	defer held.release()
	req, refused := g.newRequest(w, r, arrivedAt, &held)
	if refused != nil {
		g.refuse(w, r, refused)
		return
	}
	report := g.relay.Run(r.Context(), w, req)
	g.logReport(req, report)
	if report.Incomplete {
		g.abort(w, r)
	}
}

// abort closes the connection without completing the response.
func (g *Ingress) abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// Without chunks a regular close would complete the response.
		if err := resetConnection(w); err != nil {
			g.log.WithField("request", r.Header.Get(platform.HeaderRequestID)).WithError(err).Debug("failed to reset connection of caller")
		}
	}
	panic(http.ErrAbortHandler)
}

func resetConnection(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	if c, ok := conn.(*callerConn); ok {
		err = c.SetLinger(0)
	}
	return errors.CombineErrors(err, conn.Close())
}

// refusal is an error response of the router to a request that it did not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// newRequest reads the request and checks it against the active configuration.
func (g *Ingress) newRequest(w http.ResponseWriter, r *http.Request, arrivedAt time.Time, held *holding) (*relay.Request, *refusal) {
	config := g.waitForConfiguration(r.Context())
	if config == nil {
		return nil, &refusal{http.StatusServiceUnavailable, "no_configuration", noConfigurationRetryAfter}
	}
	conn, _ := r.Context().Value(connectionKey{}).(*callerConn)
	if conn != nil {
		conn.begin(r.Header.Get(platform.HeaderRequestID), stallLimit(r.Header, nil))
	}
	refused := g.hold(r, config, held)
	var body []byte
	if refused == nil {
		body, refused = g.readBody(w, r, config.Limits, held)
	}
	if refused != nil {
		g.boundDiscard(w, r)
		return nil, refused
	}
	// The configuration may have changed while the body arrived.
	standing := g.directory.Standing()
	config = g.directory.View().Config
	route, team, refused := findRouteAndTeam(config, r)
	if refused != nil {
		// A newer configuration may allow what this one does not.
		if !g.directory.ConfigurationKnown(standing) {
			refused = &refusal{http.StatusServiceUnavailable, "configuration_unconfirmed", noConfigurationRetryAfter}
		}
		return nil, refused
	}
	req := &relay.Request{
		ID: r.Header.Get(platform.HeaderRequestID), Method: r.Method, URI: requestTarget(r), Host: r.Host, Header: r.Header,
		Body: body, Route: route, Team: team, Service: route.PickService(trafficFraction(route, r.Header)), ArrivedAt: arrivedAt,
		ConfigurationVersion: config.Version, LastEventID: r.Header.Get(platform.HeaderLastEventID), Resumes: r.Header.Get(platform.HeaderResumes),
		CallerLeft: callerLeft(r.Context()), ObserveResponse: func(bytes int) { g.sizes.observe(route.Name, bytes) },
	}
	if conn != nil {
		req.CallerStalled = conn.stalled.Load
		conn.begin(req.ID, stallLimit(r.Header, route))
	}
	return req, decodeHeaders(req, r.Header)
}

// trafficFraction returns a number in [0,1) that divides the traffic of a route. A resumable
// stream that a caller takes up gets that of the request that began it.
func trafficFraction(route *fleet.Route, h http.Header) float64 {
	id := h.Get(platform.HeaderRequestID)
	if h.Get(platform.HeaderLastEventID) != "" {
		id = h.Get(platform.HeaderResumes)
	}
	if route.Kind != fleet.Stream || !route.Resumable || id == "" {
		return rand.Float64()
	}
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// waitForConfiguration returns the active configuration, or nil if there is none yet. A
// router that has just started waits for its first configuration, because it arrives
// sooner than a refused caller would retry.
func (g *Ingress) waitForConfiguration(ctx context.Context) *fleet.Configuration {
	deadline := time.Now().Add(g.ConfigurationWait.AsDuration())
	for {
		if c := g.directory.View().Config; c != nil {
			return c
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return nil
		}
		wait.For(ctx, configurationPollInterval)
	}
}

// decodeHeaders sets the fields of req that come from headers.
func decodeHeaders(req *relay.Request, h http.Header) *refusal {
	if req.ID == "" {
		return &refusal{http.StatusBadRequest, "no_request_id", 0}
	}
	timeout, err := platform.RequestTimeout(h)
	if err != nil {
		return &refusal{http.StatusBadRequest, "malformed_deadline", 0}
	}
	if req.Prompt, err = platform.DecodePrompt(h); err != nil {
		return &refusal{http.StatusBadRequest, "malformed_prompt", 0}
	}
	req.CallerTimeout = timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if req.Route.Timeout > 0 {
		timeout = min(timeout, req.Route.Timeout)
	}
	req.Deadline = req.ArrivedAt.Add(timeout)
	return nil
}

// findRouteAndTeam returns the route of a request and the team of its API key. The team
// is nil if none has the key and the route does not require one.
func findRouteAndTeam(config *fleet.Configuration, r *http.Request) (*fleet.Route, *fleet.Team, *refusal) {
	route := config.RouteFor(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, nil, &refusal{http.StatusNotFound, "no_route", 0}
	}
	team := config.TeamForKey(platform.APIKey(r.Header))
	if team == nil && config.RequiresAPIKey && !route.Public {
		return nil, nil, &refusal{http.StatusUnauthorized, "unknown_key", 0}
	}
	return route, team, nil
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (g *Ingress) refuse(w http.ResponseWriter, r *http.Request, refused *refusal) {
	id := r.Header.Get(platform.HeaderRequestID)
	g.refusals.WithLabelValues(refused.reason).Inc()
	g.log.WithFields(g.directory.Standing().Fields()).WithFields(logrus.Fields{
		"request": id, "host": r.Host, "path": r.URL.Path, "status": refused.status, "reason": refused.reason,
	}).Warn("request refused")
	h := w.Header()
	if id != "" {
		h.Set(platform.HeaderRequestID, id)
	}
	if refused.retryAfter > 0 {
		h.Set(platform.HeaderRetryAfter, platform.FormatRetryAfter(refused.retryAfter))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(refused.status)
}

// logReport logs how a request ended. Lines about requests served by the first attempt
// are sampled.
func (g *Ingress) logReport(req *relay.Request, r relay.Report) {
	failed := r.Outcome != relay.OutcomeServed || r.Reason != ""
	write, omitted := true, 0
	if !failed {
		if write, omitted = g.sampler.allow(time.Now()); !write {
			return
		}
	}
	entry := g.log.WithFields(reportFields(req, r))
	if failed {
		entry.Warn("request ended")
		return
	}
	entry.Data["omitted"] = omitted
	entry.Info("request ended")
}

func reportFields(req *relay.Request, r relay.Report) logrus.Fields {
	f := logrus.Fields{
		"request": req.ID, "route": req.Route.Name, "team": teamName(req), "outcome": r.Outcome, "tries": r.Attempts,
		"endpoint": r.EndpointID, "configuration": req.ConfigurationVersion, "sent_ms": r.TimeToSend.Milliseconds(),
		"first_ms": r.TimeToFirstResponse.Milliseconds(), "took_ms": time.Since(req.ArrivedAt).Milliseconds(),
	}
	if r.SharedTokens > 0 {
		f["cached"], f["shared"], f["fetch_from"] = r.CachedTokens, r.SharedTokens, r.FetchFrom
	}
	if req.Route.Kind == fleet.Stream {
		f["software"] = r.SoftwareVersion
	}
	if req.LastEventID != "" {
		f["resumes"], f["after_event"] = req.Resumes, req.LastEventID
	}
	if r.Reason != "" {
		f["reason"] = r.Reason
	}
	if r.RetryDenied != "" {
		f["not_retried"] = r.RetryDenied
	}
	return f
}

func teamName(req *relay.Request) string {
	if req.Team == nil {
		return ""
	}
	return req.Team.Name
}
