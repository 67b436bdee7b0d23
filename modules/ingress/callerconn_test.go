package ingress

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pipeCaller returns a connection in virtual time whose other end reads nothing by itself, and the
// number of times that it was cut off.
func pipeCaller(limit time.Duration) (server *callerConn, caller net.Conn, cuts *int) {
	inner, caller := net.Pipe()
	cuts = new(int)
	server = &callerConn{Conn: inner, onStall: func(*callerConn, int) { *cuts++ }}
	server.begin("r", limit)
	return server, caller, cuts
}

// Guards against a write to a caller that never reads, which blocks for ever.
func TestCallerThatReadsNothingIsCutOffAfterTheLimit(t *testing.T) {
	const limit = 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		server, caller, cuts := pipeCaller(limit)
		defer func() { _, _ = server.Close(), caller.Close() }()
		start := time.Now()
		_, err := server.Write(make([]byte, 100))
		assert.ErrorIs(t, err, errCallerStalled)
		took := time.Since(start)
		assert.Assert(t, took >= limit && took <= limit+limit/stallChecks, "cut off after %v", took)
		assert.Equal(t, *cuts, 1)
		assert.Assert(t, server.stalled.Load())
	})
}

// Guards against cutting off a caller that reads a byte now and then, for much longer than the limit,
// or that pauses between two writes.
func TestSlowCallerIsNotCutOff(t *testing.T) {
	const limit, bytes = 8 * time.Second, 40
	synctest.Test(t, func(t *testing.T) {
		server, caller, cuts := pipeCaller(limit)
		defer func() { _, _ = server.Close(), caller.Close() }()
		read := make(chan int)
		go func() {
			b := make([]byte, 1)
			n := 0
			for range 3 * bytes {
				time.Sleep(limit * 9 / 10)
				if _, err := io.ReadFull(caller, b); err != nil {
					break
				}
				n++
			}
			read <- n
		}()
		for range 3 {
			_, err := server.Write(make([]byte, bytes))
			assert.NilError(t, err)
			time.Sleep(3 * limit)
		}
		assert.Equal(t, <-read, 3*bytes)
		assert.Equal(t, *cuts, 0)
	})
}
