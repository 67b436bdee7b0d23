package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/rollout"
	"github.com/arbutusline/arbutusline/objectstore"
)

// maxAnswerBytes bounds an answer of the engine.
const maxAnswerBytes = 1 << 20

// engineInfo is the part of GET /v1/info that orders need.
type engineInfo struct {
	Incarnation    uint64 `json:"incarnation"`
	WeightsVersion string `json:"weights_version"`
	Loading        bool   `json:"loading"`
	LastOrder      *struct {
		Fencing uint64 `json:"fencing"`
		State   string `json:"state"`
	} `json:"last_order"`
}

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	Fencing        uint64 `json:"fencing"`
	Kind           string `json:"kind"`
	Model          string `json:"model,omitempty"`
	WeightsVersion string `json:"weights_version,omitempty"`
}

// agent serves the orders for the engine beside this process.
type agent struct {
	pb.UnimplementedOrdersServer

	endpoint string
	url      string
	client   *http.Client
	store    objectstore.Store
	timeout  time.Duration
	answered *prometheus.CounterVec

	// mu makes check and delivery one step, so that no order with a lower
	// token reaches the engine after one with a higher token.
	mu    sync.Mutex
	guard rollout.TokenGuard
}

// Give implements the Orders service.
func (a *agent) Give(ctx context.Context, in *pb.OrderRequest) (*pb.OrderResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	result, message := a.give(ctx, in)
	a.answered.WithLabelValues(resultLabel(result)).Inc()
	return &pb.OrderResponse{Result: result, Message: message, HighestToken: a.guard.HighestToken()}, nil
}

func (a *agent) give(ctx context.Context, in *pb.OrderRequest) (pb.OrderResult, string) {
	if ctx.Err() != nil {
		// The caller gave up while an earlier order was being delivered.
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, "the call ended before the order was looked at"
	}
	if in.GetEndpoint() != a.endpoint {
		// The router holds an outdated member list. A rejection would halt the
		// rollout.
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, "the agent serves endpoint " + a.endpoint
	}
	verdict := a.guard.CheckToken(in.GetToken())
	if verdict == rollout.ReadLeaseFirst {
		if err := a.learnToken(ctx); err != nil {
			return pb.OrderResult_ORDER_RESULT_UNKNOWN, "the lease could not be read: " + err.Error()
		}
		verdict = a.guard.CheckToken(in.GetToken())
	}
	if verdict != rollout.PassOrder {
		return pb.OrderResult_ORDER_RESULT_STALE, "a higher token was seen"
	}
	// The bound is independent of the caller's: an order that was sent must
	// be waited for before another one is let through.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.timeout)
	defer cancel()
	info, err := a.info(ctx)
	switch {
	case err != nil:
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, err.Error()
	case info.Incarnation != in.GetEngineIncarnation():
		return pb.OrderResult_ORDER_RESULT_GONE, "the engine restarted"
	}
	return a.post(ctx, in)
}

// learnToken reads the highest token from the lease, because a restarted agent
// does not know which tokens were used before.
func (a *agent) learnToken(ctx context.Context) error {
	if a.store == nil {
		return errors.New("the agent runs without a store")
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	o, err := a.store.Get(ctx, rollout.LeaseKey)
	if err != nil {
		return err
	}
	var l rollout.Lease
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return err
	}
	a.guard.LearnToken(l.FencingToken)
	return nil
}

func (a *agent) info(ctx context.Context) (engineInfo, error) {
	var info engineInfo
	status, body, err := a.call(ctx, http.MethodGet, "/v1/info", nil)
	if err != nil {
		return info, err
	}
	if status != http.StatusOK {
		return info, errors.Newf("the engine answered %d", status)
	}
	return info, errors.Wrap(json.Unmarshal(body, &info), "decode the engine's answer")
}

func (a *agent) post(ctx context.Context, in *pb.OrderRequest) (pb.OrderResult, string) {
	body, err := json.Marshal(engineOrder{
		Fencing: in.GetToken(), Kind: in.GetKind(), Model: in.GetModel(), WeightsVersion: in.GetWeightsVersion(),
	})
	if err != nil {
		return pb.OrderResult_ORDER_RESULT_REJECTED, err.Error()
	}
	status, answer, err := a.call(ctx, http.MethodPost, "/v1/orders", body)
	if err != nil {
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, err.Error()
	}
	if status < http.StatusMultipleChoices {
		return pb.OrderResult_ORDER_RESULT_ACCEPTED, ""
	}
	var refusal struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal(answer, &refusal)
	switch {
	case refusal.Error.Code == "outdated_fencing":
		return pb.OrderResult_ORDER_RESULT_STALE, refusal.Error.Message
	case refusal.Error.Code == "loading", status >= http.StatusInternalServerError:
		// An earlier order runs; it ends before this one is repeated.
		return pb.OrderResult_ORDER_RESULT_UNKNOWN, refusal.Error.Message
	}
	return pb.OrderResult_ORDER_RESULT_REJECTED, refusal.Error.Message
}

func (a *agent) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, a.url+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "address of the engine")
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := a.client.Do(r)
	if err != nil {
		return 0, nil, errors.Wrap(err, "engine")
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	return answer.StatusCode, text, errors.Wrap(err, "read the engine's answer")
}

// EngineState implements the Orders service.
func (a *agent) EngineState(ctx context.Context, _ *pb.EngineStateRequest) (*pb.EngineStateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	out := &pb.EngineStateResponse{}
	info, err := a.info(ctx)
	if err == nil {
		out.Up, out.WeightsVersion, out.Incarnation = !info.Loading, info.WeightsVersion, info.Incarnation
		if info.LastOrder != nil && info.LastOrder.State == "failed" {
			out.FailedToken = info.LastOrder.Fencing
		}
	}
	return out, nil
}
