package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

const (
	// callTimeout is the time limit of one call to a router or agent.
	callTimeout = 3 * time.Second
	// maxConcurrentCalls limits the number of calls at the same time.
	maxConcurrentCalls = 32
)

// rpcCall makes one gRPC call over a connection.
type rpcCall[T any] func(context.Context, grpc.ClientConnInterface) (T, error)

// callProcess calls the router or agent at an address.
func callProcess[T any](ctx context.Context, address string, call rpcCall[T]) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return zero, errors.Wrapf(err, "address %s", address)
	}
	defer func() { _ = conn.Close() }() // The call has returned its response.
	return call(ctx, conn)
}

// reply is the response or error of one process.
type reply[T any] struct {
	address string
	value   T
	err     error
}

// callAll calls all processes, at most maxConcurrentCalls at the same time, and returns
// their replies in the order of addresses.
func callAll[T any](ctx context.Context, addresses []string, call rpcCall[T]) []reply[T] {
	replies := make([]reply[T], len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, address := range addresses {
		group.Go(func() error {
			value, err := callProcess(ctx, address, call)
			replies[i] = reply[T]{address, value, err}
			return nil
		})
	}
	_ = group.Wait()
	return replies
}

// statusCall returns a call of Status, with the members that the process knows if
// members is true.
func statusCall(members bool) rpcCall[*arbutuspb.StatusResponse] {
	return func(ctx context.Context, c grpc.ClientConnInterface) (*arbutuspb.StatusResponse, error) {
		return arbutuspb.NewPeerClient(c).Status(ctx, &arbutuspb.StatusRequest{Members: members})
	}
}
