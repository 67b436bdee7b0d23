// Package callerapi is the module "caller_api": the HTTP API that callers use.
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

// Dispatcher is the module "dispatch".
type Dispatcher interface {
	NewRequestID() string
	Do(ctx context.Context, req *dispatch.Request, sink dispatch.Sink) dispatch.Result
	Resume(ctx context.Context, id string, team *rules.Team, endpoint string, offset int,
		makeSink func(*arbutuspb.Completion) dispatch.Sink) dispatch.Result
}

// Explainer is the module "trace".
type Explainer interface {
	Explain(id string) *arbutuspb.ExplainResponse
}

// Leaver is the module "gossip".
type GossipMember interface {
	// Leave announces that this process takes no new work.
	Leave()
}

// API serves callers.
type API struct {
	// Listen is the address of the server. Default "127.0.0.1:0".
	Listen string `json:"listen"`
	// MaxBodyBytes bounds a request body. Default 4194304.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes bounds the headers of a request. Default 16384.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// ReadTimeout is the longest time to read a whole request. Default "15s".
	ReadTimeout settings.Duration `json:"read_timeout"`
	// WriteStall is how long a caller may read nothing before its request is
	// cancelled. Default "2m".
	WriteStallTimeout settings.Duration `json:"write_stall"`
	// DrainNotice is the time between failing readiness and closing the
	// listener on shutdown. Default "2s".
	ShutdownDelay settings.Duration `json:"drain_notice"`

	log            *logrus.Entry
	admin          *admin.Admin
	dispatcher     Dispatcher
	rules          dispatch.RulesSource
	trace          Explainer
	server         *http.Server
	shuttingDown   atomic.Bool
	refusalCounter *prometheus.CounterVec
	gossip         GossipMember
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
	if a.gossip, err = arbutusline.Lookup[GossipMember](k, "gossip"); err != nil {
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
		return errors.New("bounds and timeouts must be positive")
	}
	return nil
}

// Start opens the listener and serves.
func (a *API) Start(context.Context) error {
	listener, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.serve(listener)
	return nil
}

// serve answers requests on the listener until Stop.
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
			a.log.WithError(err).Error("caller server ended")
		}
	}()
}

// Stop fails readiness, waits for the balancer to notice, and then for all
// running requests.
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

// Handler returns the routes of the API.
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

// unknownPath refuses methods and paths that the API does not have.
func handleUnknownPath(c *requestContext) *refusal {
	return newNotRunRefusal(codeUnknownPath, "the API has no "+c.r.Method+" "+c.r.URL.Path)
}

// call is one HTTP request being served.
type requestContext struct {
	w         http.ResponseWriter
	r         *http.Request
	requestID string
	team      *rules.Team
	rulesView *rules.View
}

type handler func(*requestContext) *refusal

// handle authenticates a request and writes the refusal that h returns.
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
