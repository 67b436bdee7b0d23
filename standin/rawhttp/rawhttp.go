// Package rawhttp is a stand-in for an HTTP server that answers with bytes of its own, such as what
// net/http refuses to write.
package rawhttp

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Start serves each connection on a loopback address until the end of the test. It passes the first
// request, whose body is not read yet, to serve and then closes the connection. It returns the address.
func Start(t *testing.T, serve func(*net.TCPConn, *http.Request)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // The test is over.
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
