package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/internal/httpcheck"
	"github.com/arbutusline/arbutusline/platform"
)

const (
	// tcpKeepAliveIdle, tcpKeepAliveInterval and tcpKeepAliveProbes detect an endpoint
	// that does not respond to TCP keep-alive probes within about 2 s.
	tcpKeepAliveIdle     = time.Second
	tcpKeepAliveInterval = 500 * time.Millisecond
	tcpKeepAliveProbes   = 2
	// idleTimeoutMargin is subtracted from the idle timeout that an endpoint states,
	// so that the endpoint does not close a connection to which a request is being
	// sent.
	idleTimeoutMargin = 500 * time.Millisecond
)

// setSocketOptions sets TCP_USER_TIMEOUT to AckTimeout.
func (c *Client) setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.AckTimeout.AsDuration().Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}

// conn is one connection to an endpoint.
type conn struct {
	client      *Client
	address     string
	netConn     *httpcheck.Conn
	limiter     *headLimiter
	reader      *bufio.Reader
	idleSince   time.Time
	maxIdleTime time.Duration
	// carried holds a hash of the ID of each request that was sent on the connection.
	carried []uint64
	// ctx ends with the context of the current request, or by a call of end.
	ctx context.Context
	end context.CancelCauseFunc
	// stopWatchingContext undoes closeOnContextEnd. It returns false if the context
	// has already ended.
	stopWatchingContext func() bool
	// writeResult receives the result of writing the current request.
	writeResult chan error
	closeOnce   sync.Once
}

func newConn(c *Client, address string, inner net.Conn) *conn {
	nc := httpcheck.NewConn(inner)
	limiter := &headLimiter{reader: nc}
	return &conn{
		client: c, address: address, netConn: nc, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes),
		maxIdleTime: c.MaxIdleTime.AsDuration(),
	}
}

// headLimiter reads from a connection and fails while a head is read that exceeds its
// limit.
type headLimiter struct {
	reader io.Reader
	// limited is true while a head is read, and remaining the number of bytes that may
	// still be read for it.
	limited   bool
	remaining int
	// lease holds the memory of a head beyond freeHeadBytes.
	lease *bytebudget.Lease
}

// begin limits what is read next to one head, whose memory the lease holds.
func (l *headLimiter) begin(lease *bytebudget.Lease) {
	l.limited, l.remaining, l.lease = true, maxHeadBytes, lease
}

func (l *headLimiter) end() { l.limited, l.lease = false, nil }

var errHeadTooLong = errors.Newf("head of the response exceeds %d bytes", maxHeadBytes)

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if maxHeadBytes-l.remaining > freeHeadBytes {
		if growErr := l.lease.Grow(headExpansion * n); growErr != nil {
			return n, growErr
		}
	}
	return n, err
}

// mayCarry reports whether a response on the connection can only be the response to the request, or
// bears another ID. After a request with the same ID an endpoint may send the response to that one
// once more. For a call by GET without an ID that is an older reading of what it asks for.
//
// Responses to HEAD requests have no body, whatever length they state. A connection carries nothing
// but one such request: the responses to other ones could not be told from their bodies.
func (cn *conn) mayCarry(r *Request) bool {
	if r.Method == http.MethodHead {
		return len(cn.carried) == 0
	}
	if r.ID == "" && r.Method == http.MethodGet {
		return true
	}
	return !slices.Contains(cn.carried, hashID(r.ID))
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// closeOnContextEnd closes the connection when ctx ends, unless stopWatchingContext is
// called before.
func (cn *conn) closeOnContextEnd(ctx context.Context) {
	cn.ctx, cn.end = context.WithCancelCause(ctx)
	cn.stopWatchingContext = context.AfterFunc(cn.ctx, func() { cn.discard() })
}

// newLease returns a lease of memory for the response to the current request. The connection is
// closed if the response must be given up.
func (cn *conn) newLease(team string) *bytebudget.Lease {
	end := cn.end
	return cn.client.memory.NewTeamLease(team, func() { end(bytebudget.ErrExhausted) })
}

// explain adds to the error of a connection that it was closed because memory is short.
func (cn *conn) explain(err error) error {
	if cause := context.Cause(cn.ctx); errors.Is(cause, bytebudget.ErrExhausted) {
		return errors.CombineErrors(cause, err)
	}
	return err
}

// discard closes the connection and releases its slot in the pool.
func (cn *conn) discard() {
	cn.closeOnce.Do(func() {
		_ = cn.netConn.Close() // The connection is not used again.
		cn.client.releaseSlot(cn.address)
	})
}

// discardKeepingSlot closes an idle connection whose slot in the pool passes to another one.
func (cn *conn) discardKeepingSlot() {
	cn.closeOnce.Do(func() { _ = cn.netConn.Close() }) // The connection is not used again.
}

// isUsable reports whether an idle connection is open and has no unread data. Data that
// arrives between responses belongs to no request.
func (cn *conn) isUsable() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	raw, err := cn.netConn.SyscallConn()
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

// roundTrip sends the request and returns the response with its ID. It skips responses
// to other requests and informational responses.
func (cn *conn) roundTrip(r *Request) (*Response, error) {
	head := r.encodeHead()
	r.SentAt = time.Now()
	r.Connection = ConnectionInfo{LocalAddress: cn.netConn.LocalAddr().String(), Carried: len(cn.carried)}
	cn.carried = append(cn.carried, hashID(r.ID))
	cn.writeResult = make(chan error, 1)
	if len(r.Body) < minConcurrentWriteBytes {
		_, err := cn.netConn.Write(append(head, r.Body...))
		if err != nil {
			return nil, err
		}
		cn.writeResult <- nil
	} else {
		go cn.writeRequest(head, r.Body)
	}
	lease := cn.newLease(r.Team)
	for range maxMismatchedResponses {
		response, err := cn.readNext(r, lease)
		if response != nil {
			return response, nil
		}
		lease.Release()
		if err != nil {
			return nil, err
		}
		lease = cn.newLease(r.Team)
	}
	return nil, errors.New("received only responses to other requests")
}

// readNext reads the next response. It returns nil for an informational response and for one to
// another request, which it discards.
func (cn *conn) readNext(r *Request, lease *bytebudget.Lease) (*Response, error) {
	response, err := cn.readHead(r.Method, lease)
	switch {
	case err != nil:
		return nil, err
	case httpcheck.IsInterim(response.StatusCode):
		return nil, httpcheck.CheckInterim(response.StatusCode, response.Header)
	}
	if err := httpcheck.CheckFinal(response); err != nil {
		return nil, err
	}
	if r.isAnsweredBy(response) {
		return cn.newResponse(response, lease), nil
	}
	cn.recordSkipped(r, response)
	return nil, discardResponse(response)
}

// isAnsweredBy reports whether a response bears the ID of the request and no other one.
func (r *Request) isAnsweredBy(response *http.Response) bool {
	ids := response.Header.Values(platform.HeaderRequestID)
	if r.ID == "" {
		return len(ids) == 0
	}
	return len(ids) == 1 && ids[0] == r.ID
}

// recordSkipped counts and logs a response to another request than the one that was sent last.
func (cn *conn) recordSkipped(r *Request, response *http.Response) {
	id := response.Header.Get(platform.HeaderRequestID)
	r.Connection.Skipped++
	cn.client.responsesSkipped.Inc()
	cn.client.log.WithFields(logrus.Fields{
		"request": r.ID, "address": cn.address, "connection": r.Connection.LocalAddress, "carried": r.Connection.Carried,
		"response_to": id[:min(len(id), maxLoggedIDBytes)], "status": response.StatusCode,
		"not_run": response.Header.Get(platform.HeaderNotExecuted) != "",
	}).Warn("skipped response to another request")
}

func (cn *conn) readHead(method string, lease *bytebudget.Lease) (*http.Response, error) {
	cn.limiter.begin(lease)
	defer cn.limiter.end()
	return http.ReadResponse(cn.reader, &http.Request{Method: method})
}

func (cn *conn) writeRequest(head, body []byte) {
	cn.writeResult <- cn.netConn.WriteBuffers(&net.Buffers{head, body})
}

// discardResponse reads and discards a response to another request.
func discardResponse(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("response to another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBodyBytes))
	if err == nil && n == maxMismatchedBodyBytes {
		err = errors.New("response to another request is too long")
	}
	return err
}

func (cn *conn) newResponse(r *http.Response, lease *bytebudget.Lease) *Response {
	if d := platform.IdleTimeout(r.Header); d > 0 {
		cn.maxIdleTime = max(0, d-idleTimeoutMargin)
	}
	hasLength := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	reusable := hasLength && !r.Close && r.Request.Method != http.MethodHead
	body := &responseBody{conn: cn, inner: r.Body, reusable: reusable, lease: lease}
	return &Response{
		Status: r.StatusCode, Header: r.Header, SelfDelimited: hasLength, Body: body, Memory: lease, body: body, length: r.ContentLength,
	}
}

// responseBody is the body of a response. Close returns the connection to its pool if
// the body was read to its end.
type responseBody struct {
	conn  *conn
	inner io.ReadCloser
	// lease is the memory that Close releases, or nil.
	lease *bytebudget.Lease
	// reusable is true if the endpoint keeps the connection open after the response.
	reusable   bool
	reachedEOF bool
	readFailed bool
}

// Read reads the body. It fails with ErrIncompleteResponse if the connection ends early.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.reachedEOF = true
	case err != nil:
		b.readFailed = true
		err = errors.Mark(b.conn.explain(err), ErrIncompleteResponse)
	}
	return n, err
}

// discard reads the rest of the body for a short time, and leaves the connection to Close. An
// error means that the connection cannot be used again, which Close sees.
func (b *responseBody) discard() {
	if b.conn.netConn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDiscardBytes))
	if b.conn.netConn.SetReadDeadline(time.Time{}) != nil {
		b.readFailed = true
	}
}

// Close returns the connection to its pool, or closes it if the body was not read to
// its end or the request was not completely written.
func (b *responseBody) Close() error {
	cn := b.conn
	b.lease.Release()
	stillOpen := cn.stopWatchingContext()
	defer cn.end(nil)
	if !stillOpen || b.readFailed || !b.reachedEOF || !b.reusable || !cn.writeSucceeded() || cn.reader.Buffered() > 0 || len(cn.carried) >= maxRequestsPerConn {
		cn.discard()
		return nil
	}
	cn.client.putIdle(cn)
	return nil
}

// writeSucceeded reports whether the request was completely written. It may be called
// only once per request.
func (cn *conn) writeSucceeded() bool {
	select {
	case err := <-cn.writeResult:
		return err == nil
	default:
		return false
	}
}

// encodeHead returns the request line and the headers.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	size := 1024
	if len(r.Body) < minConcurrentWriteBytes {
		size += len(r.Body) // roundTrip appends the body.
	}
	b.Grow(size)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // Writes to a bytes.Buffer never fail.
	b.WriteString("\r\n")
	return b.Bytes()
}
