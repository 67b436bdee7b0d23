package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzResponse guards against bytes that are taken for a response to the request without being one: a
// response has a final status and the ID of the request alone, its body is among the bytes, and a
// connection with bytes behind it is not used again.
func FuzzResponse(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: s\r\n"
	for _, seed := range []string{
		head + "Content-Length: 5\r\n\r\nhello",
		head + "Content-Length: 5\r\n\r\nhello, world",
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		head + "\r\nhello",
		"HTTP/1.1 503 X\r\nRequest-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 X\r\nRequest-Id: b\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 000 X\r\nRequest-Id: a\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 101 X\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 103 X\r\nContent-Length: 60\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 100 X\r\nTransfer-Encoding: chunked\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 204 X\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\n" + head,
		"HTTP/2.0 200 X\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 X\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 X\r\nRequest-Id: a\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n",
		"SSH-2.0-X\r\n" + head + "\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		c := newClient()
		c.log.Logger.SetOutput(io.Discard)
		near, far := net.Pipe()
		go func() {
			if _, err := far.Read(make([]byte, 4<<10)); err == nil {
				_, _ = far.Write(sent) // The client may have closed the connection.
			}
			_ = far.Close()
		}()
		c.pools["p"] = &pool{openCount: 1}
		cn := newConn(c, "p", near)
		cn.closeOnContextEnd(t.Context())
		r := &Request{Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Request-Id": {"a"}}, ID: "a", Body: []byte("b")}
		response, err := cn.roundTrip(r)
		if err != nil {
			cn.discard()
			cn.end(nil)
			assert.Equal(t, c.memory.Used(), int64(0))
			return
		}
		assert.Assert(t, response.Status >= http.StatusOK && response.Status <= 599, "%d", response.Status)
		assert.DeepEqual(t, response.Header.Values("Request-Id"), []string{"a"})
		body, err := io.ReadAll(response.Body)
		if err == nil && response.length >= 0 {
			assert.Equal(t, int64(len(body)), response.length)
			assert.Assert(t, bytes.Contains(sent, body))
		}
		assert.NilError(t, response.Body.Close())
		if p := c.pools["p"]; p != nil && len(p.idle) > 0 {
			assert.Assert(t, response.SelfDelimited)
			assert.Equal(t, cn.reader.Buffered(), 0)
			p.idle[0].discard()
		}
		assert.Equal(t, c.memory.Used(), int64(0))
	})
}
