package ingress

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// errCallerStalled means that a caller read nothing for longer than its limit.
var errCallerStalled = errors.New("caller reads nothing")

const (
	// stallChecks is the number of times that a blocked write is looked at within the limit. A
	// caller is cut off after the limit and at most one such part more.
	stallChecks = 4
	// callerSendBufferBytes is what the system may buffer for a caller that does not read, half of
	// it for its own use. Without it that is some MB for each connection, which counts toward the
	// control group of the process.
	callerSendBufferBytes = 256 << 10
)

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	log     *logrus.Entry
	onStall func(c *callerConn, unsentBytes int)
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetWriteBuffer(callerSendBufferBytes); err != nil {
			l.log.WithError(err).Debug("failed to bound send buffer of caller")
		}
	}
	cc := &callerConn{Conn: c, onStall: l.onStall}
	cc.begin("", defaultTimeout)
	return cc, nil
}

// callerConn is a connection to a caller. Its writes fail if the caller reads nothing for longer than
// the limit of the current request. The HTTP server's own write timeout would also cut callers that
// read slowly.
type callerConn struct {
	net.Conn
	onStall func(c *callerConn, unsentBytes int)
	request atomic.Pointer[callerRequest]
	stalled atomic.Bool
	// deadline is the deadline of writes that is set at the connection. Only Write uses it.
	deadline time.Time
}

// callerRequest is the request that is being served on a connection.
type callerRequest struct {
	id         string
	stallLimit time.Duration
}

// begin sets the limit of the request that is served next.
func (c *callerConn) begin(id string, stallLimit time.Duration) {
	c.request.Store(&callerRequest{id, stallLimit})
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (written int, err error) {
	limit := c.request.Load().stallLimit
	progressAt := time.Now()
	unacknowledged := -1
	for {
		if err := c.extend(limit / (2 * stallChecks)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		// A slow caller may free less of the socket's buffer than makes it writable.
		before := unacknowledged
		unacknowledged = c.unacknowledgedBytes()
		if n > 0 || before >= 0 && unacknowledged >= 0 && unacknowledged < before {
			progressAt = time.Now()
		}
		if time.Since(progressAt) >= limit {
			if !c.stalled.Swap(true) {
				c.onStall(c, len(p)-written)
			}
			return written, errCallerStalled
		}
	}
}

// extend lets writes run for the time or up to twice as long, so that few writes set a timer.
func (c *callerConn) extend(d time.Duration) error {
	now := time.Now()
	if c.deadline.Sub(now) >= d {
		return nil
	}
	c.deadline = now.Add(2 * d)
	return c.SetWriteDeadline(c.deadline)
}

// unacknowledgedBytes returns how many bytes the caller's host has not acknowledged, or -1 if the
// system does not tell.
func (c *callerConn) unacknowledgedBytes() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1
	}
	count := -1
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			count = n
		}
	})
	if err != nil {
		return -1
	}
	return count
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is no socket", c.Conn)
	}
	return sc.SyscallConn()
}

// CloseWrite shuts down the sending side, as the HTTP server does before it closes a connection
// whose caller still sends.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent data when the connection is closed.
func (c *callerConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
