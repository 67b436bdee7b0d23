package ingress

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// connectionPair returns both ends of a loopback connection.
func connectionPair(t *testing.T) (caller, server *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	s, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// Guards against a request that is sent to an endpoint although its caller has closed or
// reset the connection, and against taking a caller that waits, or that has sent its next
// request, for one that left.
func TestCallerThatLeftIsNoticed(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"close": (*net.TCPConn).Close,
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			caller, server := connectionPair(t)
			left := callerLeft(withConnection(context.Background(), server))
			assert.Assert(t, !left())
			assert.NilError(t, leave(caller))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if left() {
					return poll.Success()
				}
				return poll.Continue("the caller's end has not arrived")
			}, poll.WithDelay(time.Millisecond))
		})
	}
	t.Run("next request", func(t *testing.T) {
		caller, server := connectionPair(t)
		left := callerLeft(withConnection(context.Background(), server))
		_, err := caller.Write([]byte("GET"))
		assert.NilError(t, err)
		assert.Assert(t, !left())
		b := make([]byte, 3)
		_, err = server.Read(b)
		assert.NilError(t, err)
		assert.Equal(t, string(b), "GET")
	})
}
