package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// connection is a connection of a caller to an endpoint.
type connection struct {
	net.Conn
	mu sync.Mutex
	// refusal is the text of the last refusal if it must be repeated, or empty.
	refusal string
}

// WithConnection is the ConnContext of a server whose endpoints may repeat refusals.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{Conn: c})
}

// RepeatRefusals makes the endpoint write each refusal a second time when the next request has
// arrived on its connection, before the response to that one. The server needs WithConnection.
func (e *Endpoint) RepeatRefusals(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.repeatsRefusals = on
}

// repeatRefusal writes the refusal that must be repeated on the connection of a request that has
// just arrived. Nothing of its response has been written yet.
func repeatRefusal(r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write([]byte(c.refusal)) // Fails only if the client disconnected.
	c.refusal = ""
}

// refuse answers a request that the endpoint does not execute.
func (e *Endpoint) refuse(rw http.ResponseWriter, r *http.Request, status int) {
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Instance-Id", e.ID)
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(status)
	e.mu.Lock()
	repeats := e.repeatsRefusals
	e.mu.Unlock()
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && repeats {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refusal = fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			status, http.StatusText(status), id, e.ID)
	}
}
