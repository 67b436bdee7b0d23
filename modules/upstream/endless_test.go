package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/bytebudget"
)

// endlessBytes stands for bytes without end: far more than any valid part of a response
// that is read as a whole.
const endlessBytes = 4 << 20

// respondEndlessly serves one request with head, repeated filler of endlessBytes and tail.
func respondEndlessly(head, filler, tail string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		w := bufio.NewWriter(conn)
		_, err = io.WriteString(w, head)
		for n := 0; err == nil && n < endlessBytes; n += len(filler) {
			_, err = io.WriteString(w, filler)
		}
		if err == nil {
			_, _ = io.WriteString(w, tail)
			_ = w.Flush()
		}
		_, _ = r.ReadByte()
	}
}

// Guards against memory that grows with bytes that are no response, until the caller's
// deadline: in a status line, a header, many headers and interim responses.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	end := "\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\nx"
	filler := strings.Repeat("a", 1000)
	for name, handle := range map[string]func(net.Conn, *bufio.Reader){
		"status line":       respondEndlessly("HTTP/1.1 200 ", filler, end),
		"header":            respondEndlessly("HTTP/1.1 200 OK\r\nX-A: ", filler, end),
		"headers":           respondEndlessly("HTTP/1.1 200 OK\r\n", "X-A: "+filler+"\r\n", "X-B: 1"+end),
		"interim responses": respondEndlessly("", "HTTP/1.1 103 Early Hints\r\nX-A: "+filler+"\r\n\r\n", "HTTP/1.1 200 OK"+end),
	} {
		address, _ := startEndpoint(t, handle)
		c := newClient()
		_, err := doGet(c, address, "a")
		assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%s: %v", name, err)
		assert.Equal(t, len(c.pools), 0, "%s: the connection stays open", name)
	}
	// A long head within the limit is read, also when the body follows at once.
	address, _ := startEndpoint(t, respondWith("HTTP/1.1 200 OK\r\nX-A: "+strings.Repeat("a", 30<<10)+end))
	body, err := doGet(newClient(), address, "a")
	assert.NilError(t, err)
	assert.Equal(t, body, "x")
}

// Guards against a reader of a body that is led on without end by chunk extensions or
// trailers, which do not count as body bytes.
func TestEndlessChunkFramingIsGivenUp(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	filler := strings.Repeat("a", 1000)
	for name, handle := range map[string]func(net.Conn, *bufio.Reader){
		"one extension": respondEndlessly(head+"1;x=", filler, "\r\nx\r\n0\r\n\r\n"),
		"extensions":    respondEndlessly(head, "1;x="+filler+"\r\nx\r\n", "0\r\n\r\n"),
		"trailer":       respondEndlessly(head+"1\r\nx\r\n0\r\nX-A: ", filler, "\r\n\r\n"),
		"trailers":      respondEndlessly(head+"1\r\nx\r\n0\r\n", "X-A: "+filler+"\r\n", "\r\n"),
	} {
		address, _ := startEndpoint(t, handle)
		_, err := doGet(newClient(), address, "a")
		assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%s: %v", name, err)
	}
}

// Guards against a limit of the head that also counts the body.
func TestLongBodyIsRead(t *testing.T) {
	size := maxHeadBytes + 1<<20
	address, _ := startEndpoint(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))))
	response, err := newClient().Do(context.Background(), address, &Request{
		Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, ID: "a",
	})
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, int(n), size)
	assert.NilError(t, response.Body.Close())
}

// Guards against responses without end that are each within their limit and together exceed the
// memory of the process, and against sound responses that fail beside them: bodies, heads and
// chunks of 40 connections at once.
func TestEndlessResponsesOfAllConnectionsStayWithinTheMemory(t *testing.T) {
	const limit = 1 << 30
	filler := strings.Repeat("a", 1000)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
	forms := []func(net.Conn, *bufio.Reader){
		respondEndlessly(head+"\r\n", filler, ""),
		respondEndlessly(head+"Content-Length: 1000000000\r\n\r\n", filler, ""),
		respondEndlessly(head+"Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+filler+"\r\n", ""),
		respondEndlessly(head, "X-A: "+filler+"\r\n", ""),
	}
	c := newClient()
	c.memory = bytebudget.New(2<<20, nil)
	answer := head + "Content-Length: 1\r\n\r\nx"
	sound, _ := startEndpoint(t, respondWith(slices.Repeat([]string{answer}, 200)...))
	var endless sync.WaitGroup
	for n := range 40 {
		address, _ := startEndpoint(t, forms[n%len(forms)])
		endless.Go(func() {
			response, err := c.Do(t.Context(), address, &Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, ID: "a"})
			if err == nil {
				defer func() { assert.NilError(t, response.Body.Close()) }()
				_, err = response.ReadAll(limit)
			}
			assert.Check(t, errors.IsAny(err, bytebudget.ErrExhausted, ErrIncompleteResponse), "form %d: %v", n%len(forms), err)
		})
	}
	for range 200 {
		body, err := doGet(c, sound, "a")
		assert.NilError(t, err)
		assert.Equal(t, body, "x")
		assert.Assert(t, c.memory.Used() <= c.memory.Capacity())
	}
	endless.Wait()
	assert.Equal(t, c.memory.Used(), int64(0))
}

// Guards against a sound connection that is lost, or a caller that waits, because nobody needs the
// body of a response.
func TestBodyThatNobodyNeedsIsDiscarded(t *testing.T) {
	head := "HTTP/1.1 503 Busy\r\nRequest-Id: a\r\n"
	for name, test := range map[string]struct {
		handle func(net.Conn, *bufio.Reader)
		kept   bool
	}{
		"short":   {respondWith(head + "Content-Length: 4\r\n\r\nbusy"), true},
		"endless": {respondEndlessly(head+"Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+strings.Repeat("a", 1000)+"\r\n", ""), false},
		"stalled": {respondWith(head + "Content-Length: 5\r\n\r\nbusy"), false},
	} {
		address, _ := startEndpoint(t, test.handle)
		c := newClient()
		response, err := c.Do(t.Context(), address, &Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, ID: "a"})
		assert.NilError(t, err, name)
		response.Discard()
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, len(c.pools) == 1 && len(c.pools[address].idle) == 1, test.kept, name)
	}
}
