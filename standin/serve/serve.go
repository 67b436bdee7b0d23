// Package serve holds what the HTTP servers of all stand-ins share: a server that
// can simulate a crash and restart on the same address, and JSON helpers.
package serve

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxRequestBodyBytes limits the request bodies that stand-ins read.
const MaxRequestBodyBytes = 8 << 20

// relistenInterval is the pause between attempts to listen again after a crash.
const relistenInterval = 20 * time.Millisecond

// Server serves a handler on one address.
type Server struct {
	mu      sync.Mutex
	address string
	handler http.Handler
	server  *http.Server
	stopped bool
}

// New returns a server that does not listen yet.
func New(address string, handler http.Handler) *Server {
	return &Server{address: address, handler: handler}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen()
}

func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.address)
	}
	// Replaces port 0 by the port that the system chose, so that the server listens
	// on the same port after a crash.
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	s.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Address returns the address that the server listens on, also while it is down.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// Crash closes the listener and all connections and listens on the same address
// again after downtime.
func (s *Server) Crash(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
	time.AfterFunc(downtime, s.relisten)
}

// relisten listens on the address again and retries until that succeeds or the
// server is stopped.
func (s *Server) relisten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if err := s.listen(); err != nil {
		time.AfterFunc(relistenInterval, s.relisten)
	}
}

// Stop closes the listener and all connections; the server does not restart.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// CrashDuration returns the duration of the crash that a request to /admin/crash
// asks for: the query parameter down_ms, or defaultDuration.
func CrashDuration(r *http.Request, defaultDuration time.Duration) time.Duration {
	if ms, err := strconv.Atoi(r.URL.Query().Get("down_ms")); err == nil && ms >= 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultDuration
}

// WriteJSON writes a response with the given status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Code    string `json:"error"`
	Message string `json:"message,omitempty"`
}

// WriteError writes an error response.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, ErrorBody{Code: code, Message: message})
}

// ReadJSON decodes a JSON request body of at most MaxRequestBodyBytes into dst. On
// failure it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, dst any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, dst)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

// AbortConnection closes the connection of the current request without completing
// the response. It does not return.
func AbortConnection() { panic(http.ErrAbortHandler) }
