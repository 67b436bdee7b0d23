package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEchoServer starts a TCP echo server and returns its address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// Guards against a proxy that does not inject its faults, so that the soak would pass
// without testing them.
func TestProxyInjectsItsFaults(t *testing.T) {
	p, err := NewProxy("127.0.0.1:0", startEchoServer(t))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	roundTrip := func(c net.Conn) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	first := dial()
	assert.NilError(t, roundTrip(first))
	p.SetMode(Delay)
	assert.NilError(t, roundTrip(first))
	for _, m := range []ProxyMode{DropRequests, DropResponses, DropAll} {
		p.SetMode(m)
		c := dial()
		assert.NilError(t, c.SetDeadline(time.Now().Add(50*time.Millisecond)))
		_, timeout := roundTrip(c).(net.Error)
		assert.Assert(t, timeout, "mode %d: response received", m)
		p.SetMode(Forward)
		assert.NilError(t, c.SetDeadline(time.Now().Add(time.Minute)))
		assert.Assert(t, roundTrip(c) != nil, "mode %d: a connection with dropped bytes still works", m)
	}
	silent := dial()
	assert.NilError(t, roundTrip(silent))
	p.SilenceOpen()
	assert.NilError(t, silent.SetDeadline(time.Now().Add(50*time.Millisecond)))
	_, timeout := roundTrip(silent).(net.Error)
	assert.Assert(t, timeout, "a silent connection still works")
	last := dial()
	assert.NilError(t, roundTrip(last))
	p.SetMode(Reset)
	assert.Assert(t, roundTrip(last) != nil)
	p.SetMode(Forward)
	assert.NilError(t, roundTrip(dial()))
}
