// Package service is a stand-in for a plain service beside the engines. It
// records each call and repeats the effect of a repeated call, as a real
// service without idempotency does.
package service

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/serve"
	"github.com/arbutusline/arbutusline/workload/answer"
	"github.com/arbutusline/arbutusline/workload/audit"
)

// Config are the settings of one instance.
type Config struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Latency is the time that each call takes. Default 20ms.
	Latency settings.Duration `json:"latency"`
	// Restart is the time that a crashed instance stays away. Default 500ms.
	Restart settings.Duration `json:"restart"`
}

// Defaults returns the default settings.
func Defaults() Config {
	return Config{
		Latency: settings.Duration(20 * time.Millisecond),
		Restart: settings.Duration(500 * time.Millisecond),
	}
}

// Faults are the switchable faults of a service.
type Faults struct {
	// DelayMS is added to each call.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of coming calls whose answer is lost after
	// they took effect.
	LoseAnswers int `json:"lose_answers"`
	// FailCalls is the number of coming calls refused with 503 before they
	// take effect.
	FailCalls int `json:"fail_calls"`
}

// Answer is the body of the response to each call.
type Answer struct {
	Endpoint string `json:"endpoint"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// ContentHash is answer.ContentHash of the received body.
	ContentHash string `json:"content_hash"`
	// Number counts the calls of this instance from 1.
	Number int `json:"number"`
}

// Server is one instance of the service over HTTP.
type Server struct {
	*serve.Server
	// Log is the audit log.
	Log *audit.Log
	cfg Config

	mu     sync.Mutex
	faults Faults
	calls  int
}

// New returns an instance that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{Log: audit.New(0), cfg: cfg}
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

// Runs returns the audit log.
func (s *Server) Runs() audit.Snapshot { return s.Log.Snapshot() }

// Handler returns the routes of the service.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Runs())
	})
	m.HandleFunc("POST /admin/faults", s.adminFaults)
	m.HandleFunc("POST /admin/crash", func(w http.ResponseWriter, r *http.Request) {
		down := serve.CrashDuration(r, s.cfg.Restart.AsDuration())
		serve.WriteJSON(w, http.StatusOK, struct{}{})
		_ = http.NewResponseController(w).Flush()
		s.crash(down)
	})
	m.HandleFunc("/", s.handle)
	return m
}

func (s *Server) adminFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !serve.ReadJSON(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, f)
}

// take decides on the faults of one call.
func (s *Server) take() (delay time.Duration, fail, lose bool, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = time.Duration(s.faults.DelayMS) * time.Millisecond
	if s.faults.FailCalls > 0 {
		s.faults.FailCalls--
		return delay, true, false, 0
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		lose = true
	}
	s.calls++
	return delay, false, lose, s.calls
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serve.MaxRequestBodyBytes))
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	delay, fail, lose, number := s.take()
	if fail {
		serve.WriteError(w, http.StatusServiceUnavailable, "unavailable", "refused before any effect")
		return
	}
	hash := answer.ContentHash(string(body))
	entry := s.Log.Begin(audit.Run{
		Endpoint:       s.cfg.Name,
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Team:           r.Header.Get("X-Team"),
		ContentHash:    hash,
		Method:         r.Method,
		Path:           r.URL.Path,
	})
	if strings.Contains(string(body), answer.CrashMarker) {
		entry.End(audit.Aborted, "crash")
		s.crash(s.cfg.Restart.AsDuration())
		return
	}
	time.Sleep(s.cfg.Latency.AsDuration() + delay)
	if lose {
		entry.End(audit.Aborted, "answer lost")
		serve.AbortConnection()
	}
	if r.Context().Err() != nil {
		entry.End(audit.Aborted, "disconnected")
		return
	}
	entry.End(audit.Completed, "")
	serve.WriteJSON(w, http.StatusOK, Answer{s.cfg.Name, r.Method, r.URL.Path, hash, number})
}

func (s *Server) crash(down time.Duration) { s.Crash(down) }
