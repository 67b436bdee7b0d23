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
	idleMargin = 500 * time.Millisecond
)

func (c *Client) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.AckTimeout.AsDuration().Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// conn is one connection to an endpoint.
type conn struct {
	client    *Client
	address   string
	net       net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration
	unguard   func() bool
	written   chan error
	closeOnce sync.Once
}

func newConn(c *Client, address string, nc net.Conn) *conn {
	return &conn{
		client: c, address: address, net: nc, reader: bufio.NewReaderSize(nc, readBufferBytes), idleLimit: c.MaxIdle.AsDuration(),
	}
}

// guard closes the connection when ctx ends.
func (cn *conn) guard(ctx context.Context) {
	cn.unguard = context.AfterFunc(ctx, func() { cn.discard() })
}

func (cn *conn) discard() {
	cn.closeOnce.Do(func() {
		_ = cn.net.Close() // The connection is given up; its error changes nothing.
		cn.client.closed(cn.address)
	})
}

// quiet reports whether an idle connection is open with nothing to read. Bytes
// that arrive between answers belong to no request.
func (cn *conn) quiet() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	sc, ok := cn.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (cn *conn) exchange(r *Request) (*Answer, error) {
	head := r.head()
	cn.written = make(chan error, 1)
	if len(r.Body) < concurrentWriteBytes {
		_, err := cn.net.Write(append(head, r.Body...))
		if err != nil {
			return nil, err
		}
		cn.written <- nil
	} else {
		go cn.write(head, r.Body)
	}
	for range maxForeignAnswers {
		answer, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if r.ID == "" || answer.Header.Get(r.IDHeader) == r.ID {
			return cn.answer(answer), nil
		}
		if err := skip(answer); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only answers to other requests arrived")
}

func (cn *conn) write(head, body []byte) {
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(cn.net)
	cn.written <- err
}

// skip reads an answer that belongs to another request to its end.
func skip(answer *http.Response) error {
	defer func() { _ = answer.Body.Close() }()
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return errors.New("answer to another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxForeignBytes))
	if err == nil && n == maxForeignBytes {
		err = errors.New("answer to another request is too long")
	}
	return err
}

func (cn *conn) answer(r *http.Response) *Answer {
	if d := platform.IdleTimeout(r.Header); d > 0 {
		cn.idleLimit = max(0, d-idleMargin)
	}
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return &Answer{Status: r.StatusCode, Header: r.Header, Body: &body{
		conn: cn, inner: r.Body, reusable: framed && !r.Close,
	}}
}

// body is the body of an answer. It gives the connection back when it was read
// to its end.
type body struct {
	conn     *conn
	inner    io.ReadCloser
	reusable bool
	ended    bool
	failed   bool
}

// Read reads the body. A connection that ends early gives ErrBroken.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
	case err != nil:
		b.failed = true
		err = errors.Mark(err, ErrBroken)
	}
	return n, err
}

// Close returns the connection to its pool, or closes it when the body was not
// read to its end or the request was not wholly written.
func (b *body) Close() error {
	cn := b.conn
	undisturbed := cn.unguard()
	if !undisturbed || b.failed || !b.ended || !b.reusable || !cn.writeDone() || cn.reader.Buffered() > 0 {
		cn.discard()
		return nil
	}
	cn.client.putIdle(cn)
	return nil
}

func (cn *conn) writeDone() bool {
	select {
	case err := <-cn.written:
		return err == nil
	default:
		return false
	}
}

func (r *Request) head() []byte {
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
