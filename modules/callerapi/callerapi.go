// Package callerapi is the module "caller_api": the HTTP API for callers, in the style
// of the OpenAI API.
package callerapi

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/dispatch"
	"github.com/arbutusline/arbutusline/modules/trace"
	"github.com/arbutusline/arbutusline/rules"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "caller_api"

const (
	headerRequestID        = "X-Request-Id"
	headerIdempotencyKey   = "Idempotency-Key"
	headerLastEventID      = "Last-Event-ID"
	maxIdempotencyKeyBytes = 256
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &API{
			Listen:            "127.0.0.1:0",
			MaxBodyBytes:      4 << 20,
			MaxHeaderBytes:    16 << 10,
			ReadTimeout:       settings.Duration(15 * time.Second),
			WriteStallTimeout: settings.Duration(2 * time.Minute),
			ShutdownDelay:     settings.Duration(2 * time.Second),
		}
	})
}

// Dispatcher runs requests. The module "dispatch" implements it.
type Dispatcher interface {
	NewRequestID() string
	Do(ctx context.Context, req *dispatch.Request, sink dispatch.TokenSink) dispatch.Result
	Resume(ctx context.Context, id string, team *rules.Team, endpoint string, offset int,
		newSink func(*arbutuspb.Completion) dispatch.TokenSink) dispatch.Result
}

// Explainer returns the recorded trace of a request. The module "trace" implements it.
type Explainer interface {
	Explain(id string) *arbutuspb.ExplainResponse
}

// Gossip is the part of the module "gossip" that the API uses.
type Gossip interface {
	// Leave announces to the group that this process takes no new work.
	Leave()
}

// API serves the HTTP API.
type API struct {
	// Listen is the listen address of the HTTP server. Default "127.0.0.1:0".
	Listen string `json:"listen"`
	// MaxBodyBytes is the maximum size of a request body. Default 4194304.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of the headers of a request. Default 16384.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// ReadTimeout is the maximum time to read a whole request. Default "15s".
	ReadTimeout settings.Duration `json:"read_timeout"`
	// WriteStallTimeout is the maximum time for one write of a stream. The request
	// is cancelled if the caller reads nothing for that long. Default "2m".
	WriteStallTimeout settings.Duration `json:"write_stall"`
	// ShutdownDelay is the time on shutdown between the first failing readiness
	// check and the closing of the listener. Default "2s".
	ShutdownDelay settings.Duration `json:"drain_notice"`

	log            *logrus.Entry
	admin          *admin.Admin
	dispatcher     Dispatcher
	rules          dispatch.RulesSource
	trace          Explainer
	server         *http.Server
	shuttingDown   atomic.Bool
	refusalCounter *prometheus.CounterVec
	gossip         Gossip
}

// ModuleName returns "caller_api".
func (a *API) ModuleName() string { return Name }

// Provision looks up the modules that the API uses.
func (a *API) Provision(k *arbutusline.Kernel) error {
	a.log = k.Log.WithField("module", Name)
	var err error
	if a.admin, err = arbutusline.Lookup[*admin.Admin](k, admin.Name); err != nil {
		return err
	}
	if a.dispatcher, err = arbutusline.Lookup[Dispatcher](k, dispatch.Name); err != nil {
		return err
	}
	if a.trace, err = arbutusline.Lookup[Explainer](k, trace.Name); err != nil {
		return err
	}
	if a.rules, err = arbutusline.Lookup[dispatch.RulesSource](k, "rules"); err != nil {
		return err
	}
	if a.gossip, err = arbutusline.Lookup[Gossip](k, "gossip"); err != nil {
		return err
	}
	a.refusalCounter = newRefusalCounter()
	return a.admin.Registry().Register(a.refusalCounter)
}

func newRefusalCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_router_refusals_total", Help: "Requests that were refused, by code and outcome.",
	}, []string{"code", "outcome"})
}

// Validate checks the settings.
func (a *API) Validate() error {
	if a.MaxBodyBytes <= 0 || a.MaxHeaderBytes <= 0 || a.ReadTimeout <= 0 || a.WriteStallTimeout <= 0 || a.ShutdownDelay < 0 {
		return errors.New("max_body_bytes, max_header_bytes, read_timeout and write_stall must be positive, and drain_notice must not be negative")
	}
	return nil
}

// Start opens the listener and starts the HTTP server.
func (a *API) Start(context.Context) error {
	listener, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.serve(listener)
	return nil
}

// serve starts the HTTP server on the listener. It runs until Stop.
func (a *API) serve(listener net.Listener) {
	a.server = &http.Server{
		Handler:           a.Handler(),
		MaxHeaderBytes:    a.MaxHeaderBytes,
		ReadHeaderTimeout: a.ReadTimeout.AsDuration(),
		ReadTimeout:       a.ReadTimeout.AsDuration(),
		IdleTimeout:       time.Minute,
	}
	a.log.WithField("address", listener.Addr().String()).Info("serving callers")
	go func() {
		if err := a.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.log.WithError(err).Error("caller API server failed")
		}
	}()
}

// Stop makes the readiness check fail, waits ShutdownDelay so that load balancers stop
// sending requests, and then closes the listener and waits for running requests.
func (a *API) Stop(ctx context.Context) error {
	a.admin.SetStopping()
	a.gossip.Leave()
	if a.server == nil {
		return nil
	}
	select {
	case <-time.After(a.ShutdownDelay.AsDuration()):
	case <-ctx.Done():
	}
	a.shuttingDown.Store(true)
	return a.server.Shutdown(ctx)
}

// Handler returns the handler for all paths of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", a.authenticated(a.handleChatCompletion))
	mux.HandleFunc("POST /v1/completions", a.authenticated(a.handleTextCompletion))
	mux.HandleFunc("GET /v1/models", a.authenticated(a.handleListModels))
	mux.HandleFunc("GET /v1/requests/{id}/stream", a.authenticated(a.handleResumeStream))
	mux.HandleFunc("GET /v1/requests/{id}", a.authenticated(a.handleRequestOutcome))
	mux.HandleFunc("/services/{name}/{path...}", a.authenticated(a.handleServiceCall))
	mux.HandleFunc("/", a.authenticated(handleUnknownPath))
	return mux
}

// handleUnknownPath refuses requests whose method or path is not part of the API.
func handleUnknownPath(c *requestContext) *refusal {
	return newNotRunRefusal(codeUnknownPath, "the API has no "+c.r.Method+" "+c.r.URL.Path)
}

// requestContext is an HTTP request with its team and the rules that apply to it.
type requestContext struct {
	w         http.ResponseWriter
	r         *http.Request
	requestID string
	team      *rules.Team
	rulesView *rules.View
}

type handler func(*requestContext) *refusal

// authenticated returns an HTTP handler that authenticates the request, calls h and
// writes the refusal, if any.
func (a *API) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &requestContext{w: w, r: r, requestID: a.dispatcher.NewRequestID(), rulesView: a.rules.Current()}
		refused := a.authenticate(c)
		if refused == nil {
			refused = h(c)
		}
		if refused == nil {
			return
		}
		if r.Header.Get(headerIdempotencyKey) != "" && refusedBeforeLedgerLookup[refused.code] {
			refused.outcome = attempt.OutcomeUnknown
		}
		a.refusalCounter.WithLabelValues(string(refused.code), string(refused.outcome)).Inc()
		a.log.WithField("request_id", c.requestID).WithField("code", refused.code).
			WithField("outcome", refused.outcome).Info("request refused")
		refused.write(w, c.requestID)
	}
}

func (a *API) authenticate(c *requestContext) *refusal {
	if a.shuttingDown.Load() {
		return newNotRunRefusal(codeShuttingDown, "this router is shutting down; use another one")
	}
	token, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return newNotRunRefusal(codeUnauthorized, "the Authorization header must be \"Bearer <token>\"")
	}
	team, ok := c.rulesView.Authenticate(token)
	if !ok {
		return newNotRunRefusal(codeUnauthorized, "the bearer token belongs to no team")
	}
	c.team = team
	return nil
}
