package httpcheck

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// socketBytes is the size of the socket buffers of connectedPair, far below what its tests write.
const socketBytes = 4 << 10

// connectedPair returns both ends of a connection with small buffers.
func connectedPair(t *testing.T) (*Conn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.Check(t, listener.Close()) }()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, client.(*net.TCPConn).SetWriteBuffer(socketBytes))
	assert.NilError(t, server.(*net.TCPConn).SetReadBuffer(socketBytes))
	t.Cleanup(func() { _, _ = client.Close(), server.Close() }) // Some tests have closed them.
	return NewConn(client), server.(*net.TCPConn)
}

// Guards against taking a reset that a concurrent write has received for an orderly end.
func TestResetDuringAWriteIsNoOrderlyEnd(t *testing.T) {
	for range 20 {
		c, server := connectedPair(t)
		written := make(chan error, 1)
		go func() {
			_, err := c.Write(make([]byte, 8<<20))
			written <- err
		}()
		_, err := server.Write([]byte("abcd"))
		assert.NilError(t, err)
		_, err = io.ReadFull(c, make([]byte, 4))
		assert.NilError(t, err)
		assert.NilError(t, server.SetLinger(0))
		assert.NilError(t, server.Close())
		assert.Assert(t, <-written != nil)
		n, err := c.Read(make([]byte, 1))
		assert.Equal(t, n, 0)
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	}
}

// Guards against giving up a response whose sender ends it before it has read the whole request.
func TestOrderlyEndDuringAWriteIsReported(t *testing.T) {
	c, server := connectedPair(t)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<10))
		written <- err
	}()
	_, err := server.Write([]byte("abcd"))
	assert.NilError(t, err)
	assert.NilError(t, server.CloseWrite())
	go func() {
		time.Sleep(10 * time.Millisecond) // The reader of c reaches the end first.
		_, _ = io.Copy(io.Discard, server)
	}()
	text, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "abcd")
	assert.NilError(t, <-written)
}

// Guards against a reader that waits for a write that nothing ends any more.
func TestCloseEndsAReadThatWaitsForAWrite(t *testing.T) {
	c, server := connectedPair(t)
	go func() { _, _ = c.Write(make([]byte, 8<<20)) }()
	_, err := io.ReadFull(server, make([]byte, 1)) // The write has begun.
	assert.NilError(t, err)
	assert.NilError(t, server.CloseWrite())
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(10 * time.Millisecond)
	assert.NilError(t, c.Close())
	err = <-read
	// A reader that had not reached the end yet finds the connection closed.
	assert.Assert(t, errors.IsAny(err, ErrWriteFailed, net.ErrClosed), "%v", err)
}
