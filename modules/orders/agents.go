package orders

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/rollout"
)

// grpcAgentClient calls agents over gRPC. It holds one connection to each agent, because
// the holder of the lease calls all agents of a model twice a second.
type grpcAgentClient struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newGRPCAgentClient() *grpcAgentClient {
	return &grpcAgentClient{conns: map[string]*grpc.ClientConn{}}
}

func (g *grpcAgentClient) client(address string) (pb.OrdersClient, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	conn := g.conns[address]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, errors.Wrapf(err, "create client for agent %s", address)
		}
		g.conns[address] = conn
	}
	return pb.NewOrdersClient(conn), nil
}

// SendOrder implements AgentClient.
func (g *grpcAgentClient) SendOrder(ctx context.Context, address string, o rollout.Order) rollout.OrderResult {
	c, err := g.client(address)
	if err != nil {
		return rollout.OrderOutcomeUnknown
	}
	out, err := c.Give(ctx, &pb.OrderRequest{
		Endpoint: o.Endpoint, Token: o.FencingToken, Kind: string(o.Kind), Model: o.Model,
		WeightsVersion: o.WeightsVersion, EngineIncarnation: o.EngineIncarnation,
	})
	if err != nil {
		return rollout.OrderOutcomeUnknown
	}
	switch out.GetResult() {
	case pb.OrderResult_ORDER_RESULT_ACCEPTED:
		return rollout.OrderAccepted
	case pb.OrderResult_ORDER_RESULT_STALE:
		return rollout.OrderFencingTokenStale
	case pb.OrderResult_ORDER_RESULT_REJECTED:
		return rollout.OrderRejected
	case pb.OrderResult_ORDER_RESULT_GONE:
		return rollout.OrderEngineRestarted
	}
	return rollout.OrderOutcomeUnknown
}

// EngineState implements AgentClient.
func (g *grpcAgentClient) EngineState(ctx context.Context, address string) (*pb.EngineStateResponse, error) {
	c, err := g.client(address)
	if err != nil {
		return nil, err
	}
	return c.EngineState(ctx, &pb.EngineStateRequest{})
}

// Close implements AgentClient.
func (g *grpcAgentClient) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close()
	}
	clear(g.conns)
}
