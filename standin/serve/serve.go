// Package serve holds what the HTTP shells of all stand-ins share: a server
// that can be crashed and comes back on its address, and JSON helpers.
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

// MaxBodyBytes bounds the request bodies that stand-ins read.
const MaxRequestBodyBytes = 8 << 20

// relisten is the pause between attempts to open the address again.
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
	// Port 0 is replaced by the chosen port, so that a crashed server comes
	// back where its clients expect it.
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	s.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address() }

// Crash closes the listener and all connections and opens the address again
// after down.
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

// Stop closes the listener and all connections for good.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// Down returns how long a crash that a request to /admin/crash asks for lasts:
// the query parameter down_ms, or the given default.
func CrashDuration(r *http.Request, defaultDuration time.Duration) time.Duration {
	if ms, err := strconv.Atoi(r.URL.Query().Get("down_ms")); err == nil && ms >= 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultDuration
}

// JSON writes v with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Failure is the body of an error answer.
type ErrorBody struct {
	Code    string `json:"error"`
	Message string `json:"message,omitempty"`
}

// Fail writes an error answer.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, ErrorBody{Code: code, Message: message})
}

// Read decodes a bounded JSON body into dst. On failure it answers 400 and
// returns false.
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

// LoseAnswer drops the connection without an answer. It does not return.
func AbortConnection() { panic(http.ErrAbortHandler) }
