package ingress

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// connectionKey is the context key of a caller's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// callerLeft returns a function that reports whether the caller has closed the connection
// of a request, or nil if the connection is unknown. The HTTP server ends the request's
// context for that, too, but in a busy process only some time later.
func callerLeft(ctx context.Context) func() bool {
	c, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	return func() bool { return connectionEnded(raw) }
}

// connectionEnded reports whether the other side has closed or reset the connection. It
// consumes no data and does not block. Data that was not read yet hides a close.
func connectionEnded(raw syscall.RawConn) bool {
	ended := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil:
			ended = n == 0
		default:
			ended = !errors.IsAny(err, unix.EAGAIN, unix.EINTR)
		}
	})
	return ended || err != nil
}
