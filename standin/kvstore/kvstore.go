// Package kvstore is a stand-in for the store of exported KV blocks. It keeps
// a bounded number of blocks, keyed by block hash within a weights version,
// and drops the least recently used ones.
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

type key struct {
	model, weights string
	hash           uint64
}

type entry struct {
	key
	engine.Block
}

// Store is the content of the KV store without clock or I/O. It is not safe
// for concurrent use.
type Store struct {
	capacity int
	entries  map[key]*list.Element
	order    *list.List
}

// NewStore returns an empty store of capacity blocks.
func NewStore(capacity int) *Store {
	return &Store{capacity: capacity, entries: map[key]*list.Element{}, order: list.New()}
}

// Put adds blocks, dropping the least recently used ones when it is full.
func (s *Store) Put(e engine.Export) {
	for _, b := range e.Blocks {
		k := key{e.Model, e.WeightsVersion, b.Hash}
		if at := s.entries[k]; at != nil {
			s.order.MoveToBack(at)
			continue
		}
		if s.order.Len() >= s.capacity {
			oldest := s.order.Remove(s.order.Front()).(entry)
			delete(s.entries, oldest.key)
		}
		s.entries[k] = s.order.PushBack(entry{k, b})
	}
}

// Get returns the leading blocks of a chain that the store has.
func (s *Store) Get(model, weights string, hashes []uint64) engine.Export {
	out := engine.Export{Model: model, WeightsVersion: weights, Blocks: []engine.Block{}}
	for _, h := range hashes {
		at := s.entries[key{model, weights, h}]
		if at == nil {
			break
		}
		s.order.MoveToBack(at)
		out.Blocks = append(out.Blocks, at.Value.(entry).Block)
	}
	return out
}

// Len returns the number of blocks.
func (s *Store) Len() int { return s.order.Len() }

// Config are the settings of the KV store.
type Config struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Blocks is the capacity. Default 65536.
	Blocks int `json:"blocks"`
	// Latency is the time that each call takes, BlockTime that for each
	// transferred block. Defaults 2ms and 100µs.
	Latency   settings.Duration `json:"latency"`
	BlockTime settings.Duration `json:"block_time"`
}

// Defaults returns the default settings.
func Defaults() Config {
	return Config{
		Name:      "kvstore",
		Blocks:    1 << 16,
		Latency:   settings.Duration(2 * time.Millisecond),
		BlockTime: settings.Duration(100 * time.Microsecond),
	}
}

// Counts is the answer of GET /admin/state.
type Counts struct {
	Blocks int `json:"blocks"`
	Puts   int `json:"puts"`
	Gets   int `json:"gets"`
	// Outage is true while every call is answered with 503.
	Outage bool `json:"outage"`
}

// Server is the KV store over HTTP.
type Server struct {
	*serve.Server
	cfg Config

	mu     sync.Mutex
	store  *Store
	counts Counts
}

// New returns a KV store that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, store: NewStore(cfg.Blocks)}
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

// Handler returns the routes of the KV store: POST /v1/kv/put takes the body of
// an engine's export; POST /v1/kv/get takes {model, weights_version, blocks}
// with hashes and answers with a body for an engine's import.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/kv/put", s.put)
	m.HandleFunc("POST /v1/kv/get", s.get)
	m.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		c := s.counts
		c.Blocks = s.store.Len()
		s.mu.Unlock()
		serve.JSON(w, http.StatusOK, c)
	})
	m.HandleFunc("POST /admin/faults", s.faults)
	return m
}

func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Outage bool `json:"outage"`
	}
	if !serve.Read(w, r, &f) {
		return
	}
	s.mu.Lock()
	s.counts.Outage = f.Outage
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, f)
}

// begin counts a call and waits for its latency. It answers 503 and returns
// false during an outage.
func (s *Server) begin(w http.ResponseWriter, counter *int) bool {
	s.mu.Lock()
	*counter++
	outage := s.counts.Outage
	s.mu.Unlock()
	time.Sleep(s.cfg.Latency.AsDuration())
	if outage {
		serve.Fail(w, http.StatusServiceUnavailable, "unavailable", "outage")
	}
	return !outage
}

func (s *Server) transfer(blocks int) {
	time.Sleep(time.Duration(blocks) * s.cfg.BlockTime.AsDuration())
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var e engine.Export
	if !s.begin(w, &s.counts.Puts) || !serve.Read(w, r, &e) {
		return
	}
	s.transfer(len(e.Blocks))
	s.mu.Lock()
	s.store.Put(e)
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, map[string]int{"stored": len(e.Blocks)})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Model          string   `json:"model"`
		WeightsVersion string   `json:"weights_version"`
		Blocks         []uint64 `json:"blocks"`
	}
	if !s.begin(w, &s.counts.Gets) || !serve.Read(w, r, &q) {
		return
	}
	s.mu.Lock()
	out := s.store.Get(q.Model, q.WeightsVersion, q.Blocks)
	s.mu.Unlock()
	s.transfer(len(out.Blocks))
	serve.JSON(w, http.StatusOK, out)
}
