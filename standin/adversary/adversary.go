// Package adversary is a stand-in for an endpoint that does, driven by a seed, whatever the protocol
// lets a faulty endpoint do to a connection: refusals and responses that come again, early responses,
// missing lengths, cuts, resets, silence, impossible statuses and bytes that are no response. It keeps
// what it ran and what it meant to answer, for a judge of what callers were told.
package adversary

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Attempt is a request as it arrived at an endpoint.
type Attempt struct {
	RequestID string
	// Act says what the endpoint did, for messages.
	Act string
	// Ran is true from the moment at which the endpoint began to work on the request.
	Ran bool
	// Whole is true if the endpoint sent a complete response with Status, Stamp and Body.
	Whole  bool
	Status int
	Stamp  string
	Body   string
}

// Endpoint serves on a loopback address. Its methods are safe for concurrent use.
type Endpoint struct {
	ID string
	// StreamEvents is the number of events of its responses, or 0 for plain ones.
	StreamEvents int

	seed     uint64
	listener net.Listener
	mu       sync.Mutex
	attempts []*Attempt
	// faults are the violations of the protocol that the endpoint saw.
	faults []string
}

// silence is how long an endpoint that goes silent keeps its connection.
const silence = 250 * time.Millisecond

// Start starts an endpoint. Its acts depend on the seed and the ID of the request alone.
func Start(id string, streamEvents int, seed uint64) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{ID: id, StreamEvents: streamEvents, seed: seed, listener: listener}
	go e.accept()
	return e, nil
}

// Address returns the address of the endpoint.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Close stops accepting connections. Open ones end with their clients.
func (e *Endpoint) Close() error { return e.listener.Close() }

// Attempts returns all requests so far.
func (e *Endpoint) Attempts() []Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Attempt, len(e.attempts))
	for i, a := range e.attempts {
		out[i] = *a
	}
	return out
}

// Faults returns the violations of the protocol that the endpoint saw: a body that is not the one
// that belongs to its request.
func (e *Endpoint) Faults() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.faults...)
}

// UploadBody returns the body of a request, which depends on its ID, so that an endpoint knows it.
func UploadBody(id string, size int) string {
	return strings.Repeat(id+".", size/(len(id)+1)+1)[:size]
}

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return // The endpoint was closed.
		}
		go func() {
			defer func() { _ = conn.Close() }()
			c := &connection{endpoint: e, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
			for c.serveNext() {
			}
		}()
	}
}

// begin records a request and returns its source of chance.
func (e *Endpoint) begin(id string) (*Attempt, *rand.Rand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := uint64(0)
	for _, a := range e.attempts {
		if a.RequestID == id {
			n++
		}
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, e.ID+"/"+id) // Never fails.
	a := &Attempt{RequestID: id, Stamp: fmt.Sprintf("%s.%s.%d", e.ID, id, n)}
	e.attempts = append(e.attempts, a)
	return a, rand.New(rand.NewPCG(e.seed, h.Sum64()+n))
}

// update changes an attempt.
func (e *Endpoint) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// connection is a connection of a caller.
type connection struct {
	endpoint *Endpoint
	conn     *net.TCPConn
	reader   *bufio.Reader
	// earlier are the responses so far, of which copies may come.
	earlier []string
}

// ending is what an endpoint does to a connection after a response.
type ending int

const (
	keepOpen ending = iota
	closeInOrder
	reset
	halfClose
	goSilent
	endings
)

// serveNext serves a request and returns false if the connection has ended.
func (c *connection) serveNext() bool {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return false
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		return c.serveEngineAPI(r)
	}
	a, rng := c.endpoint.begin(id)
	// An endpoint may answer before it reads the body, and read on later.
	early := rng.IntN(2) == 0
	if !early && !c.readBody(r) {
		return false
	}
	var out strings.Builder
	c.writeStrays(&out, rng, id)
	response, next := c.respond(a, rng, r)
	out.WriteString(response)
	if _, err := io.WriteString(c.conn, out.String()); err != nil {
		return false
	}
	if response != "" {
		c.earlier = append(c.earlier, response)
	}
	return c.end(next, early, r, rng)
}

// end ends a response and returns false if the connection has ended.
func (c *connection) end(next ending, early bool, r *http.Request, rng *rand.Rand) bool {
	switch next {
	case keepOpen:
		if early {
			time.Sleep(time.Duration(rng.IntN(3)) * time.Millisecond)
			return c.readBody(r)
		}
		return true
	case closeInOrder, halfClose:
		_ = c.conn.CloseWrite() // Fails only if the client has closed the connection.
		if early {
			c.readBody(r)
		}
	case goSilent:
		time.Sleep(silence)
	case reset:
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		_ = c.conn.SetLinger(0)
	}
	return false
}

// readBody reads the body of a request and checks it.
func (c *connection) readBody(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	id := r.Header.Get("Request-Id")
	if string(body) != UploadBody(id, len(body)) {
		c.endpoint.update(func() { c.endpoint.faults = append(c.endpoint.faults, "other bytes in the body of "+id) })
	}
	return true
}

// serveEngineAPI answers a call without an ID.
func (c *connection) serveEngineAPI(r *http.Request) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	body := `{"stage":"both","models":[{"name":"m","version":1}],"busy":false,"sequence":0,"queued":0,"running":0}`
	if strings.HasPrefix(r.URL.Path, "/kv-events") {
		time.Sleep(20 * time.Millisecond)
		body = `{"boot_epoch":1,"next":1,"lost":false,"events":[]}`
	}
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// writeStrays writes what may come before a response: informational responses, copies of earlier
// responses, and one to an earlier request whose body is the text of a response to this one.
func (c *connection) writeStrays(out *strings.Builder, rng *rand.Rand, id string) {
	if rng.IntN(6) == 0 {
		out.WriteString("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
	}
	if len(c.earlier) > 0 && rng.IntN(2) == 0 {
		out.WriteString(c.earlier[rng.IntN(len(c.earlier))])
	}
	if len(c.earlier) > 0 && rng.IntN(4) == 0 {
		text := forged(rng, id)
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nServer-Stamp: earlier\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// forged returns the text of a response to a request that nobody meant as one.
func forged(rng *rand.Rand, id string) string {
	if rng.IntN(2) == 0 {
		return "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: forged\r\nContent-Type: text/event-stream\r\nContent-Length: 6\r\n\r\nforged"
}
