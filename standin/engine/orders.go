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

// Kinds of orders.
const (
	OrderLoadWeights   = "load_weights"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderSetRole       = "set_role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Fencing        uint64 `json:"fencing"`
	Kind           string `json:"kind"`
	Model          string `json:"model,omitempty"`
	WeightsVersion string `json:"weights_version,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	Role           string `json:"role,omitempty"`
}

// States of an order.
const (
	OrderRunning = "running"
	OrderDone    = "done"
	OrderFailed  = "failed"
)

// OrderState is what became of the newest accepted order.
type OrderState struct {
	Order
	State string `json:"state"`
	Error string `json:"error,omitempty"`
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !serve.Read(w, r, &o) {
		return
	}
	s.mu.Lock()
	st, failure := s.accept(o)
	s.mu.Unlock()
	if failure != nil {
		serve.Fail(w, failure.status, failure.code, failure.message)
		return
	}
	serve.JSON(w, http.StatusAccepted, st)
}

// accept checks an order and begins it. The caller holds mu.
func (s *Server) accept(o Order) (OrderState, *refusal) {
	if s.cfg.Fencing != FencingIgnored && o.Fencing < s.fencing {
		return OrderState{}, &refusal{http.StatusConflict, "outdated_fencing",
			fmt.Sprintf("token %d is older than %d", o.Fencing, s.fencing)}
	}
	if o.Model != "" && o.Model != s.cfg.Model {
		return OrderState{}, &refusal{http.StatusNotFound, "unknown_model", "the engine serves " + s.cfg.Model}
	}
	if s.loading {
		return OrderState{}, &refusal{http.StatusConflict, "loading", "another order is running"}
	}
	st := &OrderState{Order: o, State: OrderDone}
	switch o.Kind {
	case OrderLoadWeights:
		s.loadWeights(st)
	case OrderLoadAdapter:
		if !slices.Contains(s.adapters, o.Adapter) {
			s.adapters = append(s.adapters, o.Adapter)
		}
	case OrderUnloadAdapter:
		s.adapters = slices.DeleteFunc(s.adapters, func(a string) bool { return a == o.Adapter })
	case OrderSetRole:
		s.role = o.Role
	default:
		return OrderState{}, &refusal{http.StatusBadRequest, "unknown_order", "kind " + o.Kind}
	}
	s.fencing = max(s.fencing, o.Fencing)
	s.last = st
	return *st, nil
}

func (s *Server) loadWeights(st *OrderState) {
	if st.WeightsVersion == s.weights {
		return
	}
	st.State = OrderRunning
	s.loading = true
	go s.finishLoad(st, s.incarnation)
}

// idlePoll is the pause between checks whether running work has ended.
const idlePoll = 5 * time.Millisecond

// finishLoad waits for running work, reads the weights and takes them into
// use. A crash in between ends it.
func (s *Server) finishLoad(st *OrderState, incarnation uint64) {
	for {
		s.mu.Lock()
		idle, same := s.machine.Idle(), s.incarnation == incarnation
		s.mu.Unlock()
		if !same {
			return
		}
		if idle {
			break
		}
		select {
		case <-time.After(idlePoll):
		case <-s.stop:
			return
		}
	}
	err := s.fetchWeights(st.WeightsVersion)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation {
		return
	}
	s.loading = false
	// The answer to the order may still be encoded from the old value.
	ended := *st
	s.last = &ended
	if err != nil {
		ended.State, ended.Error = OrderFailed, err.Error()
		return
	}
	ended.State = OrderDone
	s.weights = st.WeightsVersion
	s.machine.Cache().Clear()
	s.cacheEvent(s.now(), OpCleared, nil)
}

// loadTimeout bounds one load from the weight store.
const loadTimeout = time.Minute

func (s *Server) fetchWeights(version string) error {
	if s.cfg.WeightsURL == "" {
		time.Sleep(s.cfg.LoadTime.AsDuration())
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	u := fmt.Sprintf("%s/v1/weights/%s/%s", s.cfg.WeightsURL, url.PathEscape(s.cfg.Model), url.PathEscape(version))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return errors.Wrap(err, "address of the weight store")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("weight store answered %s for %s", answer.Status, version)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return errors.Wrap(err, "read weights")
}

// Export is the body of KV transfers between engines.
type Export struct {
	Model          string  `json:"model"`
	WeightsVersion string  `json:"weights_version"`
	Blocks         []Block `json:"blocks"`
}

func (s *Server) kvExport(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Blocks []uint64 `json:"blocks"`
	}
	if !serve.Read(w, r, &q) {
		return
	}
	s.mu.Lock()
	out := Export{Model: s.cfg.Model, WeightsVersion: s.weights, Blocks: []Block{}}
	for _, h := range q.Blocks {
		if b, ok := s.machine.Cache().Get(h); ok {
			out.Blocks = append(out.Blocks, b)
		}
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(len(out.Blocks)) * s.cfg.KVBlock.AsDuration())
	serve.JSON(w, http.StatusOK, out)
}

func (s *Server) kvImport(w http.ResponseWriter, r *http.Request) {
	var q Export
	if !serve.Read(w, r, &q) {
		return
	}
	time.Sleep(time.Duration(len(q.Blocks)) * s.cfg.KVBlock.AsDuration())
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Model != s.cfg.Model || q.WeightsVersion != s.weights {
		serve.Fail(w, http.StatusConflict, "wrong_weights", "the engine has "+s.cfg.Model+" "+s.weights)
		return
	}
	added := s.machine.Cache().Import(q.Blocks)
	if removed := s.machine.Cache().TakeRemoved(); len(removed) > 0 {
		s.cacheEvent(s.now(), OpRemoved, removed)
	}
	if len(added) > 0 {
		s.cacheEvent(s.now(), OpStored, added)
	}
	serve.JSON(w, http.StatusOK, map[string]int{"imported": len(added)})
}
