// Package grpcserver is the module "grpc": the gRPC server of a process, on
// which other modules register their services.
package grpcserver

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/memory"
)

// Name is the name of the module.
const Name = "grpc"

const (
	maxMessageBytes = 16 << 20
	// maxBoundedCallBytes is the maximum size of a message to a process that bounds its memory
	// for responses, and what each call reserves there: several times the loads of 2,100
	// endpoints and the parts of half a second that a router sends at the size to design for.
	maxBoundedCallBytes = 512 << 10
	// initialStreamWindowBytes bounds how much a peer may send on one stream before it
	// is read.
	initialStreamWindowBytes = 256 << 10
	keepaliveInterval        = 5 * time.Second
	keepaliveTimeout         = 3 * time.Second
	// flushTime is how long after the last call its response may take to reach the client:
	// several round trips. A connection that went silent never closes by itself.
	flushTime = 500 * time.Millisecond
	// callsCheckInterval is the time between two checks during a stop whether calls run.
	callsCheckInterval = 50 * time.Millisecond
	// minClientPingInterval is the minimum interval between keepalive pings of a
	// client. The server disconnects clients that ping more often.
	minClientPingInterval = time.Second
)

func init() {
	arbutusline.Register(func() arbutusline.Module { return &Server{Listen: "127.0.0.1:0"} })
}

// Server is the gRPC server of the process.
type Server struct {
	// Listen is the address of the server. Default "127.0.0.1:0".
	Listen string `json:"listen"`
	// Advertise is the address at which other processes reach this one. Default: the
	// value of Listen.
	Advertise string `json:"advertise"`

	log    *logrus.Entry
	server *grpc.Server
	// running is the number of calls that are being processed.
	running atomic.Int64
}

// ModuleName returns "grpc".
func (s *Server) ModuleName() string { return Name }

// Provision creates the server, so that other modules can register services.
func (s *Server) Provision(k *arbutusline.Kernel) error {
	s.log = k.Log.WithField("module", Name)
	s.server = grpc.NewServer(append(s.limitMessages(k),
		grpc.ChainUnaryInterceptor(s.countUnary), grpc.ChainStreamInterceptor(s.countStream),
		grpc.InitialWindowSize(initialStreamWindowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPingInterval, PermitWithoutStream: true}),
	)...)
	return nil
}

// limitMessages returns the options that bound the size of messages and, if the process has
// loaded the module "memory" before, of all messages together.
func (s *Server) limitMessages(k *arbutusline.Kernel) []grpc.ServerOption {
	m, err := arbutusline.Lookup[*memory.Memory](k, memory.Name)
	if err != nil {
		return []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessageBytes)}
	}
	return []grpc.ServerOption{grpc.MaxRecvMsgSize(maxBoundedCallBytes), grpc.InTapHandle(func(ctx context.Context, _ *tap.Info) (context.Context, error) {
		lease := m.Control().NewLease(nil)
		if err := lease.Reserve(maxBoundedCallBytes); err != nil {
			return nil, status.Error(codes.ResourceExhausted, err.Error())
		}
		context.AfterFunc(ctx, lease.Release)
		return ctx, nil
	})}
}

// Registrar returns the registrar on which modules register their services.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.server }

// Address returns the address at which other processes reach this one.
func (s *Server) Address() string { return cmp.Or(s.Advertise, s.Listen) }

// Start opens the listener and serves in the background.
func (s *Server) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.log.WithField("address", listener.Addr().String()).Info("serving gRPC")
	go func() {
		if err := s.server.Serve(listener); err != nil {
			s.log.WithError(err).Error("gRPC server failed")
		}
	}()
	return nil
}

// countUnary counts a running call.
func (s *Server) countUnary(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	s.running.Add(1)
	defer s.running.Add(-1)
	return handler(ctx, request)
}

// countStream counts a running call.
func (s *Server) countStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	s.running.Add(1)
	defer s.running.Add(-1)
	return handler(server, stream)
}

// Stop waits until all running calls have ended, and a little longer for their responses. If ctx
// ends first, Stop closes the connections and returns an error.
func (s *Server) Stop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.server.GracefulStop()
		close(done)
	}()
	ticker := time.NewTicker(callsCheckInterval)
	defer ticker.Stop()
	lastCall := time.Now()
	for {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			s.server.Stop()
			return errors.Wrap(ctx.Err(), "gRPC calls were still running at shutdown")
		case <-ticker.C:
			if s.running.Load() > 0 {
				lastCall = time.Now()
			}
			if time.Since(lastCall) > flushTime {
				s.server.Stop() // Ends the wait for connections whose clients do not close them.
			}
		}
	}
}
