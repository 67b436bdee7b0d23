package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/rollout"
	"github.com/arbutusline/arbutusline/internal/httpcheck"
	"github.com/arbutusline/arbutusline/objectstore"
)

// maxResponseBytes is the maximum size of a response of the engine.
const maxResponseBytes = 1 << 20

// engineInfo has the fields of the response to GET /v1/info that this package reads.
type engineInfo struct {
	Incarnation    uint64 `json:"incarnation"`
	WeightsVersion string `json:"weights_version"`
	LoadingWeights bool   `json:"loading"`
	LastOrder      *struct {
		FencingToken uint64 `json:"fencing"`
		State        string `json:"state"`
	} `json:"last_order"`
}

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	FencingToken   uint64 `json:"fencing"`
	Kind           string `json:"kind"`
	Model          string `json:"model,omitempty"`
	WeightsVersion string `json:"weights_version,omitempty"`
}

// orderServer is the gRPC service Orders of an agent. It passes orders to the engine
// beside the agent.
type orderServer struct {
	pb.UnimplementedOrdersServer

	endpoint       string
	engineURL      string
	httpClient     *http.Client
	store          objectstore.Store
	callTimeout    time.Duration
	answeredOrders *prometheus.CounterVec

	// mu is held from the check of a token until the order is delivered, so that
	// no order reaches the engine after one with a higher token.
	mu                sync.Mutex
	fencingTokenGuard rollout.FencingTokenGuard
}

// newEngineClient returns the HTTP client for an engine. It opens a connection for each call, because
// the response to an earlier call can come once more on a connection, without anything that tells it
// from the next one.
func newEngineClient() *http.Client {
	return httpcheck.NewClient(&http.Transport{DialContext: httpcheck.Dialer(&net.Dialer{}), DisableKeepAlives: true})
}

// Give implements the Orders service.
func (s *orderServer) Give(ctx context.Context, in *pb.OrderRequest) (*pb.OrderResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, message := s.handleOrder(ctx, in)
	s.answeredOrders.WithLabelValues(answeredOrderLabel(result)).Inc()
	return &pb.OrderResponse{Result: result, Message: message, HighestToken: s.fencingTokenGuard.HighestToken()}, nil
}

func (s *orderServer) handleOrder(ctx context.Context, in *pb.OrderRequest) (pb.OrderResult, string) {
	if ctx.Err() != nil {
		// The call was cancelled while an earlier order was being delivered.
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, "the call ended before the order was looked at"
	}
	if in.GetEndpoint() != s.endpoint {
		// The member list of the router is outdated. ORDER_RESULT_REJECTED would
		// halt the rollout.
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, "the agent serves endpoint " + s.endpoint
	}
	verdict := s.fencingTokenGuard.CheckToken(in.GetToken())
	if verdict == rollout.ReadLeaseFirst {
		if err := s.learnLeaseToken(ctx); err != nil {
			return pb.OrderResult_ORDER_RESULT_UNKNOWN, "the lease could not be read: " + err.Error()
		}
		verdict = s.fencingTokenGuard.CheckToken(in.GetToken())
	}
	if verdict != rollout.PassOrder {
		return pb.OrderResult_ORDER_RESULT_STALE, "a higher token was seen"
	}
	// The call to the engine is not cancelled with the call of the router: the next
	// order must wait until an order that was sent is delivered.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.callTimeout)
	defer cancel()
	info, err := s.readEngineInfo(ctx)
	switch {
	case err != nil:
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, err.Error()
	case info.Incarnation != in.GetEngineIncarnation():
		return pb.OrderResult_ORDER_RESULT_GONE, "the engine restarted"
	}
	return s.postToEngine(ctx, in)
}

// learnLeaseToken reads the highest fencing token from the lease, because a restarted
// agent does not know which tokens were used before.
func (s *orderServer) learnLeaseToken(ctx context.Context) error {
	if s.store == nil {
		return errors.New("the agent runs without a store")
	}
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	o, err := s.store.Get(ctx, rollout.LeaseKey)
	if err != nil {
		return err
	}
	var l rollout.Lease
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return err
	}
	s.fencingTokenGuard.LearnToken(l.FencingToken)
	return nil
}

func (s *orderServer) readEngineInfo(ctx context.Context) (engineInfo, error) {
	var info engineInfo
	status, body, err := s.callEngine(ctx, http.MethodGet, "/v1/info", nil)
	if err != nil {
		return info, err
	}
	if status != http.StatusOK {
		return info, errors.Newf("the engine answered %d", status)
	}
	return info, errors.Wrap(json.Unmarshal(body, &info), "decode the engine's answer")
}

func (s *orderServer) postToEngine(ctx context.Context, in *pb.OrderRequest) (pb.OrderResult, string) {
	body, err := json.Marshal(engineOrder{
		FencingToken: in.GetToken(), Kind: in.GetKind(), Model: in.GetModel(), WeightsVersion: in.GetWeightsVersion(),
	})
	if err != nil {
		return pb.OrderResult_ORDER_RESULT_REJECTED, err.Error()
	}
	status, responseBody, err := s.callEngine(ctx, http.MethodPost, "/v1/orders", body)
	if err != nil {
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, err.Error()
	}
	if status < http.StatusMultipleChoices {
		return pb.OrderResult_ORDER_RESULT_ACCEPTED, ""
	}
	var errorResponse struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal(responseBody, &errorResponse)
	switch {
	case errorResponse.Error.Code == "outdated_fencing":
		return pb.OrderResult_ORDER_RESULT_STALE, errorResponse.Error.Message
	case errorResponse.Error.Code == "loading", status >= http.StatusInternalServerError, status < http.StatusBadRequest:
		// The engine still executes an earlier order, which ends before the router
		// repeats this one, or the status does not tell what became of the order.
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, errorResponse.Error.Message
	}
	return pb.OrderResult_ORDER_RESULT_REJECTED, errorResponse.Error.Message
}

func (s *orderServer) callEngine(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, s.engineURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "address of the engine")
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := s.httpClient.Do(r)
	if err != nil {
		return 0, nil, errors.Wrap(err, "engine")
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, responseBody, errors.Wrap(err, "read the engine's answer")
}

// EngineState implements the Orders service.
func (s *orderServer) EngineState(ctx context.Context, _ *pb.EngineStateRequest) (*pb.EngineStateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	out := &pb.EngineStateResponse{}
	info, err := s.readEngineInfo(ctx)
	if err == nil {
		out.Up, out.WeightsVersion, out.Incarnation = !info.LoadingWeights, info.WeightsVersion, info.Incarnation
		if info.LastOrder != nil && info.LastOrder.State == "failed" {
			out.FailedToken = info.LastOrder.FencingToken
		}
	}
	return out, nil
}
