package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a response that ends early, in its head, before it, or in its framing, and
// is taken for a whole one with an empty or short body: callers would get it as a success.
// The connection is closed after each number of bytes of the response.
func TestResponseThatEndsEarlyIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nRequest-Id: r\r\nServer-Stamp: s\r\n"
	for name, test := range map[string]struct {
		response string
		// framed means that a cut in the body shows, because it has a length or chunks.
		framed bool
	}{
		"length":              {head + "Content-Length: 12\r\n\r\nhello, world", true},
		"length first":        {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: r\r\nServer-Stamp: s\r\n\r\nhello, world", true},
		"no body":             {head + "Content-Length: 0\r\n\r\n", true},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n", true},
		"chunks and trailers": {head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n5\r\nhello\r\n0\r\nT: 1\r\n\r\n", true},
		"folded line":         {head + "X: a\r\n b\r\nContent-Length: 5\r\n\r\nhello", true},
		"after interim heads": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello", true},
		"bare line feeds":     {strings.ReplaceAll(head+"Content-Length: 5\r\n\r\n", "\r\n", "\n") + "hello", true},
		"old protocol":        {"HTTP/1.0 200 OK\r\nRequest-Id: r\r\nContent-Length: 5\r\n\r\nhello", true},
		"end of connection":   {head + "\r\nhello", false},
		"connection: close":   {head + "Connection: close\r\n\r\nhello", false},
	} {
		t.Run(name, func(t *testing.T) {
			bodyBegin := strings.LastIndex(test.response, "\r\n\r\n") + 4
			if !test.framed {
				bodyBegin = strings.Index(test.response, "\r\n\r\n") + 4
			}
			if !strings.Contains(test.response, "\r\n\r\n") {
				bodyBegin = strings.Index(test.response, "\n\n") + 2
			}
			for cut := range len(test.response) {
				if !test.framed && cut >= bodyBegin {
					break
				}
				address, _ := startEndpoint(t, func(conn net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err == nil {
						_, _ = io.WriteString(conn, test.response[:cut]) // The client shows a failure.
					}
				})
				body, err := doGet(newClient(), address, "r")
				assert.Assert(t, err != nil, "the response ends after %q and has the body %q", test.response[:cut], body)
			}
		})
	}
}
