// Package repeating is a stand-in for an endpoint that sends one response twice: it refuses its
// first request, and writes the refusal once more before the response to each later request on the
// same connection.
package repeating

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Endpoint serves on a loopback address. Its methods are safe for concurrent use.
type Endpoint struct {
	listener          net.Listener
	notRunHeader      string
	body              string
	connections, seen atomic.Int32
}

// Start starts an endpoint. Its refusal has status 503 and the header notRunHeader; all other
// responses have status 200 and the body. Both bear the Request-Id of the request, if it has one.
func Start(notRunHeader, body string) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{listener: listener, notRunHeader: notRunHeader, body: body}
	go e.accept()
	return e, nil
}

// Address returns the address of the endpoint.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Connections returns the number of connections so far.
func (e *Endpoint) Connections() int { return int(e.connections.Load()) }

// Close stops accepting connections. Open ones end with their clients.
func (e *Endpoint) Close() error { return e.listener.Close() }

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return // The endpoint was closed.
		}
		e.connections.Add(1)
		go e.serve(conn)
	}
}

// serve answers the requests on a connection until the client closes it.
func (e *Endpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, refusal := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := ""
		if value := request.Header.Get("Request-Id"); value != "" {
			id = "Request-Id: " + value + "\r\n"
		}
		text := fmt.Sprintf("%sHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", refusal, id, len(e.body), e.body)
		if e.seen.Add(1) == 1 {
			refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", id, e.notRunHeader)
			text = refusal
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}
