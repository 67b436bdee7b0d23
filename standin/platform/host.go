package platform

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// EndpointHost runs one endpoint at a time on a loopback address and registers it in a
// store. When the endpoint crashes, all its connections are cut and its address refuses
// connections; after RestartDelay the store has the entry of its successor, with a new ID
// and address, instead of its own. The exported fields must be set before Start; the
// methods are safe for concurrent use.
type EndpointHost struct {
	Name  string
	Store *Store
	// NewEndpoint returns the endpoint for the next start, with the given ID.
	NewEndpoint  func(id string) *Endpoint
	RestartDelay time.Duration

	mu sync.Mutex
	// endpoints are all endpoints so far. The last one runs unless restarting is true.
	endpoints  []*Endpoint
	server     *http.Server
	restarting bool
	stopped    bool
	restart    *time.Timer
}

// Start starts the first endpoint.
func (h *EndpointHost) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startLocked()
}

// Stop ends the endpoint, which then does not start again.
func (h *EndpointHost) Stop() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.restarting {
		h.restart.Stop()
		return nil
	}
	return h.server.Close()
}

// InjectFault makes the next n requests to the running endpoint fail with fault f.
func (h *EndpointHost) InjectFault(n int, f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpoints[len(h.endpoints)-1].InjectFault(n, f)
}

// CrashCount returns the number of crashes so far.
func (h *EndpointHost) CrashCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.endpoints)
	if !h.restarting {
		n--
	}
	return n
}

// RunningID returns the ID of the running endpoint, or "" between a crash and a restart.
func (h *EndpointHost) RunningID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.restarting {
		return ""
	}
	return h.endpoints[len(h.endpoints)-1].ID
}

// ExecutionCount returns how often the endpoints of this host executed one request.
func (h *EndpointHost) ExecutionCount(requestID string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, e := range h.endpoints {
		n += e.ExecutionCount(requestID)
	}
	return n
}

// startLocked starts an endpoint and registers it. The caller holds mu.
func (h *EndpointHost) startLocked() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := h.NewEndpoint(fmt.Sprintf("%s-%d", h.Name, len(h.endpoints)+1))
	server := &http.Server{Handler: e}
	e.crash = func() { h.crash(e, server) }
	h.endpoints, h.server, h.restarting = append(h.endpoints, e), server, false
	go func() { _ = server.Serve(listener) }() // Ends with http.ErrServerClosed.
	h.Store.Put("servers", e.ID, e.StoreEntry(listener.Addr().String(), "a", "ready"))
	return nil
}

// crash ends an endpoint and starts its successor after RestartDelay.
func (h *EndpointHost) crash(e *Endpoint, server *http.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || h.restarting || h.server != server {
		return
	}
	_ = server.Close() // The connections are cut in any case.
	h.restarting = true
	h.restart = time.AfterFunc(h.RestartDelay, func() { h.replace(e) })
}

// replace removes the entry of a crashed endpoint and starts its successor.
func (h *EndpointHost) replace(crashed *Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	h.Store.Remove("servers", crashed.ID)
	if err := h.startLocked(); err != nil {
		panic(err) // Loopback has free ports.
	}
}
