package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/standin/serve"
)

// Values of Order.Kind.
const (
	OrderLoadWeights   = "load_weights"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderSetRole       = "set_role"
)

// Order is a management command to the engine, the body of POST /v1/orders.
type Order struct {
	// FencingToken must not be below that of an accepted order, unless FencingMode is
	// FencingIgnored.
	FencingToken   uint64 `json:"fencing"`
	Kind           string `json:"kind"`
	Model          string `json:"model,omitempty"`
	WeightsVersion string `json:"weights_version,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	Role           string `json:"role,omitempty"`
}

// Values of OrderState.State.
const (
	OrderStateRunning = "running"
	OrderStateDone    = "done"
	OrderStateFailed  = "failed"
)

// OrderState is the state of the newest accepted order.
type OrderState struct {
	Order
	State string `json:"state"`
	Error string `json:"error,omitempty"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !serve.ReadJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	orderState, httpErr := s.beginOrder(order)
	s.mu.Unlock()
	if httpErr != nil {
		serve.WriteError(w, httpErr.status, httpErr.code, httpErr.message)
		return
	}
	serve.WriteJSON(w, http.StatusAccepted, orderState)
}

// beginOrder validates an order and carries it out; loading weights goes on in the
// background. The caller holds mu.
func (s *Server) beginOrder(order Order) (OrderState, *httpError) {
	if s.cfg.FencingMode != FencingIgnored && order.FencingToken < s.highestFencingToken {
		return OrderState{}, &httpError{http.StatusConflict, "outdated_fencing",
			fmt.Sprintf("token %d is older than %d", order.FencingToken, s.highestFencingToken)}
	}
	if order.Model != "" && order.Model != s.cfg.Model {
		return OrderState{}, &httpError{http.StatusNotFound, "unknown_model", "the engine serves " + s.cfg.Model}
	}
	if s.loadingWeights {
		return OrderState{}, &httpError{http.StatusConflict, "loading", "another order is running"}
	}
	orderState := &OrderState{Order: order, State: OrderStateDone}
	switch order.Kind {
	case OrderLoadWeights:
		s.startWeightsLoad(orderState)
	case OrderLoadAdapter:
		if !slices.Contains(s.adapters, order.Adapter) {
			s.adapters = append(s.adapters, order.Adapter)
		}
	case OrderUnloadAdapter:
		s.adapters = slices.DeleteFunc(s.adapters, func(a string) bool { return a == order.Adapter })
	case OrderSetRole:
		s.role = order.Role
	default:
		return OrderState{}, &httpError{http.StatusBadRequest, "unknown_order", "kind " + order.Kind}
	}
	s.highestFencingToken = max(s.highestFencingToken, order.FencingToken)
	s.lastOrder = orderState
	return *orderState, nil
}

func (s *Server) startWeightsLoad(orderState *OrderState) {
	if orderState.WeightsVersion == s.weightsVersion {
		return
	}
	orderState.State = OrderStateRunning
	s.loadingWeights = true
	go s.finishWeightsLoad(orderState, s.incarnation)
}

// idlePollInterval is the pause between checks whether all sequences have ended.
const idlePollInterval = 5 * time.Millisecond

// finishWeightsLoad waits until all sequences have ended, fetches the weights and
// switches to them. It stops when the engine crashes meanwhile.
func (s *Server) finishWeightsLoad(orderState *OrderState, incarnation uint64) {
	for {
		s.mu.Lock()
		idle, sameIncarnation := s.simulator.Idle(), s.incarnation == incarnation
		s.mu.Unlock()
		if !sameIncarnation {
			return
		}
		if idle {
			break
		}
		select {
		case <-time.After(idlePollInterval):
		case <-s.stop:
			return
		}
	}
	err := s.fetchWeights(orderState.WeightsVersion)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation {
		return
	}
	s.loadingWeights = false
	// Changes a copy, because handlers may still be encoding the old value for a
	// response.
	finished := *orderState
	s.lastOrder = &finished
	if err != nil {
		finished.State, finished.Error = OrderStateFailed, err.Error()
		return
	}
	finished.State = OrderStateDone
	s.weightsVersion = orderState.WeightsVersion
	s.simulator.Cache().Clear()
	s.appendCacheEvent(s.now(), OpCleared, nil)
}

// weightsFetchTimeout limits one fetch from the weight store.
const weightsFetchTimeout = time.Minute

func (s *Server) fetchWeights(version string) error {
	if s.cfg.WeightStoreURL == "" {
		time.Sleep(s.cfg.WeightsLoadTime.AsDuration())
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), weightsFetchTimeout)
	defer cancel()
	u := fmt.Sprintf("%s/v1/weights/%s/%s", s.cfg.WeightStoreURL, url.PathEscape(s.cfg.Model), url.PathEscape(version))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return errors.Wrap(err, "address of the weight store")
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("weight store answered %s for %s", response.Status, version)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Wrap(err, "read weights")
}

// Export holds KV blocks that one engine exports and another imports.
type Export struct {
	Model          string  `json:"model"`
	WeightsVersion string  `json:"weights_version"`
	Blocks         []Block `json:"blocks"`
}

func (s *Server) handleKVExport(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Blocks []uint64 `json:"blocks"`
	}
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	s.mu.Lock()
	export := Export{Model: s.cfg.Model, WeightsVersion: s.weightsVersion, Blocks: []Block{}}
	for _, h := range req.Blocks {
		if b, ok := s.simulator.Cache().Get(h); ok {
			export.Blocks = append(export.Blocks, b)
		}
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(len(export.Blocks)) * s.cfg.KVBlockTransferTime.AsDuration())
	serve.WriteJSON(w, http.StatusOK, export)
}

func (s *Server) handleKVImport(w http.ResponseWriter, r *http.Request) {
	var export Export
	if !serve.ReadJSON(w, r, &export) {
		return
	}
	time.Sleep(time.Duration(len(export.Blocks)) * s.cfg.KVBlockTransferTime.AsDuration())
	s.mu.Lock()
	defer s.mu.Unlock()
	if export.Model != s.cfg.Model || export.WeightsVersion != s.weightsVersion {
		serve.WriteError(w, http.StatusConflict, "wrong_weights", "the engine has "+s.cfg.Model+" "+s.weightsVersion)
		return
	}
	added := s.simulator.Cache().Import(export.Blocks)
	if evicted := s.simulator.Cache().TakeEvicted(); len(evicted) > 0 {
		s.appendCacheEvent(s.now(), OpRemoved, evicted)
	}
	if len(added) > 0 {
		s.appendCacheEvent(s.now(), OpStored, added)
	}
	serve.WriteJSON(w, http.StatusOK, map[string]int{"imported": len(added)})
}
