// Package kvstore is a stand-in for the store of exported KV blocks. It keeps a
// bounded number of blocks, keyed by model, weights version and block hash, and
// evicts the least recently used ones.
package kvstore

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/engine"
	"github.com/arbutusline/arbutusline/standin/serve"
)

type blockKey struct {
	model, weightsVersion string
	hash                  uint64
}

type storedBlock struct {
	blockKey
	engine.Block
}

// Store implements the KV store without clock or I/O. It is not safe for
// concurrent use.
type Store struct {
	capacity int
	entries  map[blockKey]*list.Element
	// evictionOrder holds the blocks, least recently used first.
	evictionOrder *list.List
}

// NewStore returns an empty store of capacity blocks.
func NewStore(capacity int) *Store {
	return &Store{capacity: capacity, entries: map[blockKey]*list.Element{}, evictionOrder: list.New()}
}

// Put adds blocks and evicts the least recently used ones when the store is full.
func (s *Store) Put(export engine.Export) {
	for _, b := range export.Blocks {
		k := blockKey{export.Model, export.WeightsVersion, b.Hash}
		if element := s.entries[k]; element != nil {
			s.evictionOrder.MoveToBack(element)
			continue
		}
		if s.evictionOrder.Len() >= s.capacity {
			oldest := s.evictionOrder.Remove(s.evictionOrder.Front()).(storedBlock)
			delete(s.entries, oldest.blockKey)
		}
		s.entries[k] = s.evictionOrder.PushBack(storedBlock{k, b})
	}
}

// GetPrefix returns the leading blocks of hashes up to the first that is missing.
func (s *Store) GetPrefix(model, weightsVersion string, hashes []uint64) engine.Export {
	export := engine.Export{Model: model, WeightsVersion: weightsVersion, Blocks: []engine.Block{}}
	for _, h := range hashes {
		element := s.entries[blockKey{model, weightsVersion, h}]
		if element == nil {
			break
		}
		s.evictionOrder.MoveToBack(element)
		export.Blocks = append(export.Blocks, element.Value.(storedBlock).Block)
	}
	return export
}

// Len returns the number of stored blocks.
func (s *Store) Len() int { return s.evictionOrder.Len() }

// Config are the settings of the KV store.
type Config struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// CapacityBlocks is the number of blocks that the store can hold. Default 65536.
	CapacityBlocks int `json:"blocks"`
	// Latency is the time that each call takes. Default 2ms.
	Latency settings.Duration `json:"latency"`
	// BlockTransferTime is added for each transferred block. Default 100µs.
	BlockTransferTime settings.Duration `json:"block_time"`
}

// Defaults returns the default settings.
func Defaults() Config {
	return Config{
		Name:              "kvstore",
		CapacityBlocks:    1 << 16,
		Latency:           settings.Duration(2 * time.Millisecond),
		BlockTransferTime: settings.Duration(100 * time.Microsecond),
	}
}

// AdminState is the response body of GET /admin/state.
type AdminState struct {
	Blocks   int `json:"blocks"`
	PutCalls int `json:"puts"`
	GetCalls int `json:"gets"`
	// Outage is true while every call is answered with 503.
	Outage bool `json:"outage"`
}

// Server serves a KV store over HTTP.
type Server struct {
	*serve.Server
	cfg Config

	mu    sync.Mutex
	store *Store
	state AdminState
}

// New returns a KV store that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, store: NewStore(cfg.CapacityBlocks)}
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

// Handler returns the HTTP handler of the KV store. POST /v1/kv/put takes an
// engine.Export. POST /v1/kv/get takes {model, weights_version, blocks}, where blocks
// are block hashes, and returns an engine.Export.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/kv/put", s.handlePut)
	mux.HandleFunc("POST /v1/kv/get", s.handleGet)
	mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		state := s.state
		state.Blocks = s.store.Len()
		s.mu.Unlock()
		serve.WriteJSON(w, http.StatusOK, state)
	})
	mux.HandleFunc("POST /admin/faults", s.handleAdminFaults)
	return mux
}

func (s *Server) handleAdminFaults(w http.ResponseWriter, r *http.Request) {
	var faults struct {
		Outage bool `json:"outage"`
	}
	if !serve.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	s.state.Outage = faults.Outage
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, faults)
}

// beginCall counts a call and waits for Latency. During an outage it responds
// with status 503 and returns false.
func (s *Server) beginCall(w http.ResponseWriter, counter *int) bool {
	s.mu.Lock()
	*counter++
	outage := s.state.Outage
	s.mu.Unlock()
	time.Sleep(s.cfg.Latency.AsDuration())
	if outage {
		serve.WriteError(w, http.StatusServiceUnavailable, "unavailable", "outage")
	}
	return !outage
}

// waitForTransfer waits for the time that it takes to transfer the blocks.
func (s *Server) waitForTransfer(blocks int) {
	time.Sleep(time.Duration(blocks) * s.cfg.BlockTransferTime.AsDuration())
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var export engine.Export
	if !s.beginCall(w, &s.state.PutCalls) || !serve.ReadJSON(w, r, &export) {
		return
	}
	s.waitForTransfer(len(export.Blocks))
	s.mu.Lock()
	s.store.Put(export)
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, map[string]int{"stored": len(export.Blocks)})
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Model          string   `json:"model"`
		WeightsVersion string   `json:"weights_version"`
		Blocks         []uint64 `json:"blocks"`
	}
	if !s.beginCall(w, &s.state.GetCalls) || !serve.ReadJSON(w, r, &req) {
		return
	}
	s.mu.Lock()
	export := s.store.GetPrefix(req.Model, req.WeightsVersion, req.Blocks)
	s.mu.Unlock()
	s.waitForTransfer(len(export.Blocks))
	serve.WriteJSON(w, http.StatusOK, export)
}
