// Package service is a stand-in for a plain HTTP service that is served next to the
// engines. It records each call and executes a repeated call again, as a real service
// without idempotency does.
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

// Config holds the settings of one instance.
type Config struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Latency is the time that each call takes. Default 20ms.
	Latency settings.Duration `json:"latency"`
	// RestartDelay is the time that a crashed instance stays down. Default 500ms.
	RestartDelay settings.Duration `json:"restart"`
}

// Defaults returns the default settings.
func Defaults() Config {
	return Config{
		Latency:      settings.Duration(20 * time.Millisecond),
		RestartDelay: settings.Duration(500 * time.Millisecond),
	}
}

// Faults are the faults to inject, the body of POST /admin/faults.
type Faults struct {
	// DelayMS is added to the latency of each call.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is the number of future calls that take effect without a
	// response.
	LoseResponses int `json:"lose_answers"`
	// FailCalls is the number of future calls that are refused with status 503
	// before they take effect.
	FailCalls int `json:"fail_calls"`
}

// Response is the body of the response to each call.
type Response struct {
	Endpoint string `json:"endpoint"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// BodyHash is answer.ContentHash of the request body.
	BodyHash string `json:"content_hash"`
	// CallNumber counts the executed calls of this instance from 1.
	CallNumber int `json:"number"`
}

// Server serves one instance of the service over HTTP.
type Server struct {
	*serve.Server
	// AuditLog is kept when the instance crashes.
	AuditLog *audit.Log
	cfg      Config

	mu        sync.Mutex
	faults    Faults
	callCount int
}

// New returns an instance that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{AuditLog: audit.New(0), cfg: cfg}
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

// Runs returns the content of the audit log.
func (s *Server) Runs() audit.Snapshot { return s.AuditLog.Snapshot() }

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("POST /admin/faults", s.handleAdminFaults)
	mux.HandleFunc("POST /admin/crash", func(w http.ResponseWriter, r *http.Request) {
		downtime := serve.CrashDuration(r, s.cfg.RestartDelay.AsDuration())
		serve.WriteJSON(w, http.StatusOK, struct{}{})
		_ = http.NewResponseController(w).Flush()
		s.crash(downtime)
	})
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Server) handleAdminFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !serve.ReadJSON(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, f)
}

// startCall counts a call and decides which faults to inject. A refused call is not
// counted.
func (s *Server) startCall() (delay time.Duration, refuse, loseResponse bool, callNumber int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = time.Duration(s.faults.DelayMS) * time.Millisecond
	if s.faults.FailCalls > 0 {
		s.faults.FailCalls--
		return delay, true, false, 0
	}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		loseResponse = true
	}
	s.callCount++
	return delay, false, loseResponse, s.callCount
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serve.MaxRequestBodyBytes))
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	delay, refuse, loseResponse, callNumber := s.startCall()
	if refuse {
		serve.WriteError(w, http.StatusServiceUnavailable, "unavailable", "refused before any effect")
		return
	}
	hash := answer.ContentHash(string(body))
	run := s.AuditLog.Begin(audit.Run{
		Endpoint:       s.cfg.Name,
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Team:           r.Header.Get("X-Team"),
		ContentHash:    hash,
		Method:         r.Method,
		Path:           r.URL.Path,
	})
	if strings.Contains(string(body), answer.CrashMarker) {
		run.End(audit.Aborted, "crash")
		s.crash(s.cfg.RestartDelay.AsDuration())
		return
	}
	time.Sleep(s.cfg.Latency.AsDuration() + delay)
	if loseResponse {
		run.End(audit.Aborted, "answer lost")
		serve.AbortConnection()
	}
	if r.Context().Err() != nil {
		run.End(audit.Aborted, "disconnected")
		return
	}
	run.End(audit.Completed, "")
	serve.WriteJSON(w, http.StatusOK, Response{s.cfg.Name, r.Method, r.URL.Path, hash, callNumber})
}

func (s *Server) crash(downtime time.Duration) { s.Crash(downtime) }
