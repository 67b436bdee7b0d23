package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/arbutusline/arbutusline/platform"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes find a silent
	// endpoint within about 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
	// idleMargin is subtracted from the idle time that an endpoint states, so
	// that it does not close a connection on which a request is under way.
	idleTimeoutMargin = 500 * time.Millisecond
)

func (c *Client) setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.AckTimeout.AsDuration().Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// conn is one connection to an endpoint.
type conn struct {
	client              *Client
	address             string
	netConn             net.Conn
	reader              *bufio.Reader
	idleSince           time.Time
	idleLimit           time.Duration
	stopWatchingContext func() bool
	writeResult         chan error
	closeOnce           sync.Once
}

func newConn(c *Client, address string, nc net.Conn) *conn {
	return &conn{
		client: c, address: address, netConn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes), idleLimit: c.MaxIdleTime.AsDuration(),
	}
}

// guard closes the connection when ctx ends.
func (cn *conn) closeOnContextEnd(ctx context.Context) {
	cn.stopWatchingContext = context.AfterFunc(ctx, func() { cn.discard() })
}

func (cn *conn) discard() {
	cn.closeOnce.Do(func() {
		_ = cn.netConn.Close() // The connection is given up; its error changes nothing.
		cn.client.releaseReservation(cn.address)
	})
}

// quiet reports whether an idle connection is open with nothing to read. Bytes
// that arrive between answers belong to no request.
func (cn *conn) isUsable() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	sc, ok := cn.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && usable
}

func (cn *conn) roundTrip(r *Request) (*Response, error) {
	head := r.encodeHead()
	cn.writeResult = make(chan error, 1)
	if len(r.Body) < concurrentWriteBytes {
		_, err := cn.netConn.Write(append(head, r.Body...))
		if err != nil {
			return nil, err
		}
		cn.writeResult <- nil
	} else {
		go cn.writeRequest(head, r.Body)
	}
	for range maxMismatchedResponses {
		response, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.ID == "" || response.Header.Get(r.IDHeader) == r.ID {
			return cn.newResponse(response), nil
		}
		if err := discardResponse(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only answers to other requests arrived")
}

func (cn *conn) writeRequest(head, body []byte) {
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(cn.netConn)
	cn.writeResult <- err
}

// skip reads an answer that belongs to another request to its end.
func discardResponse(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("answer to another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBodyBytes))
	if err == nil && n == maxMismatchedBodyBytes {
		err = errors.New("answer to another request is too long")
	}
	return err
}

func (cn *conn) newResponse(r *http.Response) *Response {
	if d := platform.IdleTimeout(r.Header); d > 0 {
		cn.idleLimit = max(0, d-idleTimeoutMargin)
	}
	hasLength := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return &Response{Status: r.StatusCode, Header: r.Header, Body: &responseBody{
		conn: cn, inner: r.Body, reusable: hasLength && !r.Close,
	}}
}

// body is the body of an answer. It gives the connection back when it was read
// to its end.
type responseBody struct {
	conn       *conn
	inner      io.ReadCloser
	reusable   bool
	reachedEOF bool
	readFailed bool
}

// Read reads the body. A connection that ends early gives ErrBroken.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.reachedEOF = true
	case err != nil:
		b.readFailed = true
		err = errors.Mark(err, ErrIncompleteResponse)
	}
	return n, err
}

// Close returns the connection to its pool, or closes it when the body was not
// read to its end or the request was not wholly written.
func (b *responseBody) Close() error {
	cn := b.conn
	stillOpen := cn.stopWatchingContext()
	if !stillOpen || b.readFailed || !b.reachedEOF || !b.reusable || !cn.writeSucceeded() || cn.reader.Buffered() > 0 {
		cn.discard()
		return nil
	}
	cn.client.putIdle(cn)
	return nil
}

func (cn *conn) writeSucceeded() bool {
	select {
	case err := <-cn.writeResult:
		return err == nil
	default:
		return false
	}
}

func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // A bytes.Buffer does not fail.
	b.WriteString("\r\n")
	return b.Bytes()
}
