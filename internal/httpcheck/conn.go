// Package httpcheck tells whether bytes from a connection are an HTTP response, and whether the end
// of the connection may end it.
package httpcheck

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrWriteFailed means that a connection ended for the reader after a write to it had failed. The
// end then does not show that the other side closed it.
var ErrWriteFailed = errors.New("connection failed while it was written to")

// Conn is a connection whose Read reports io.EOF only if the other side closed it.
//
// A socket reports a reset or a time-out to one call. If a concurrent write gets it, the next read
// returns io.EOF, as after an orderly close.
type Conn struct {
	net.Conn
	mu sync.Mutex
	// writing is closed when the running writes have ended. It is nil if there are none.
	writing chan struct{}
	writes  int
	// writeErr is the error of the first write that failed.
	writeErr error
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dialer returns the DialContext function of d for a Transport, with connections of type Conn.
func Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

// WriteBuffers writes the buffers, with one system call where the network allows it. Its errors are
// those of Write.
func (c *Conn) WriteBuffers(buffers *net.Buffers) error {
	c.beginWrite()
	_, err := buffers.WriteTo(c.Conn)
	c.endWrite(err)
	return err
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes++; c.writing == nil {
		c.writing = make(chan struct{})
	}
}

func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	if c.writes--; c.writes == 0 {
		close(c.writing)
		c.writing = nil
	}
}

// Read implements net.Conn. Where the connection ends while it is written to, Read waits until the
// write ends, at the latest with Close. It fails with ErrWriteFailed if a write failed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := c.awaitWrites(); writeErr != nil {
			err = errors.Mark(errors.Wrap(writeErr, "connection ended"), ErrWriteFailed)
		}
	}
	return n, err
}

// awaitWrites waits until no write is running and returns the first error of a write.
func (c *Conn) awaitWrites() error {
	for {
		c.mu.Lock()
		writing, err := c.writing, c.writeErr
		c.mu.Unlock()
		if err != nil || writing == nil {
			return err
		}
		<-writing
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is no socket", c.Conn)
	}
	return sc.SyscallConn()
}
