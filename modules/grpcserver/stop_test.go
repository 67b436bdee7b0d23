package grpcserver

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/settings"
)

// serve starts a server, on which register may register services, and returns it with its address.
func serve(t *testing.T, register func(grpc.ServiceRegistrar)) (*Server, string) {
	file, err := settings.Parse([]byte(`{"grpc": {"listen": "127.0.0.1:0"}}`))
	assert.NilError(t, err)
	s := &Server{}
	assert.NilError(t, s.Provision(arbutusline.New(file, logrus.NewEntry(logrus.New()))))
	register(s.Registrar())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.server.Serve(listener) }() // Ends with Stop.
	return s, listener.Addr().String()
}

// Guards against a planned stop that waits until its time is over, and fails, for a connection that
// went silent and on which no call runs.
func TestSilentConnectionDoesNotDelayAStop(t *testing.T) {
	s, address := serve(t, func(grpc.ServiceRegistrar) {})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(http2.ClientPreface))
	assert.NilError(t, err)
	framer := http2.NewFramer(conn, conn)
	assert.NilError(t, framer.WriteSettings())
	_, err = framer.ReadFrame() // The server has accepted the connection.
	assert.NilError(t, err)
	// Before keep-alive probes find that nobody answers.
	ctx, cancel := context.WithTimeout(t.Context(), keepaliveInterval-time.Second)
	defer cancel()
	assert.NilError(t, s.Stop(ctx))
}

// Guards against a stop that cuts a call which runs.
func TestStopWaitsForRunningCalls(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	s, address := serve(t, func(r grpc.ServiceRegistrar) {
		r.RegisterService(&grpc.ServiceDesc{ServiceName: "t", HandlerType: (*any)(nil), Streams: []grpc.StreamDesc{{
			StreamName: "wait", ServerStreams: true, Handler: func(any, grpc.ServerStream) error {
				close(begun)
				<-end
				return nil
			},
		}}}, struct{}{})
	})
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	defer func() { assert.Check(t, conn.Close()) }()
	stream, err := conn.NewStream(t.Context(), &grpc.StreamDesc{ServerStreams: true}, "/t/wait")
	assert.NilError(t, err)
	assert.NilError(t, stream.CloseSend())
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	select {
	case err := <-stopped:
		t.Fatalf("stopped while a call runs: %v", err)
	case <-time.After(2 * flushTime):
	}
	close(end)
	assert.NilError(t, <-stopped)
	assert.Equal(t, stream.RecvMsg(nil).Error(), "EOF")
}
