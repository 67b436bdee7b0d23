// Package weights is a stand-in for the weight store. Loads up to a limit run
// at full speed; beyond it all loads share the same total rate and get slower.
package weights

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/serve"
)

// Pool shares the rate of the store between loads, without clock or I/O. It is
// not safe for concurrent use.
type Pool struct {
	limit  int
	length time.Duration
	last   time.Duration
	// left is the remaining time of each load at full speed.
	left map[uint64]time.Duration
	// Peak is the highest number of concurrent loads so far.
	Peak int
}

// NewPool returns a store on which up to limit concurrent loads take length.
func NewPool(limit int, length time.Duration) *Pool {
	return &Pool{limit: limit, length: length, left: map[uint64]time.Duration{}}
}

// Begin adds a load.
func (p *Pool) Begin(now time.Duration, id uint64) {
	p.Advance(now)
	p.left[id] = p.length
	p.Peak = max(p.Peak, len(p.left))
}

// End removes a load that was given up.
func (p *Pool) End(now time.Duration, id uint64) {
	p.Advance(now)
	delete(p.left, id)
}

// Running returns the number of loads.
func (p *Pool) Running() int { return len(p.left) }

// slowdown is the factor by which loads take longer at present.
func (p *Pool) slowdown() float64 { return max(1, float64(len(p.left))/float64(p.limit)) }

// NextAt returns the time at which the next load ends if none is added.
func (p *Pool) NextAt() (time.Duration, bool) {
	first, ok := time.Duration(0), false
	for _, left := range p.left {
		if !ok || left < first {
			first, ok = left, true
		}
	}
	return p.last + time.Duration(float64(first)*p.slowdown()+0.5), ok
}

// Advance accounts for the time until now and returns the loads that ended.
func (p *Pool) Advance(now time.Duration) []uint64 {
	var ended []uint64
	for {
		at, ok := p.NextAt()
		if !ok || at > now {
			break
		}
		ended = append(ended, p.progress(at)...)
	}
	return append(ended, p.progress(now)...)
}

// rounding is the remaining time below which a load has ended.
const rounding = time.Microsecond

func (p *Pool) progress(to time.Duration) (ended []uint64) {
	if to <= p.last {
		return nil
	}
	done := time.Duration(float64(to-p.last) / p.slowdown())
	p.last = to
	for id := range p.left {
		if p.left[id] -= done; p.left[id] < rounding {
			delete(p.left, id)
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	return ended
}

// Config are the settings of the weight store.
type Config struct {
	Address string `json:"address"`
	// Limit is the number of concurrent loads at full speed. Default 3.
	Limit int `json:"limit"`
	// LoadTime is the duration of a load at full speed. Default 700ms.
	LoadTime settings.Duration `json:"load_time"`
	// Versions lists the versions that exist. Empty means that all exist.
	Versions []string `json:"versions,omitempty"`
}

// Defaults returns the default settings.
func Defaults() Config {
	return Config{Limit: 3, LoadTime: settings.Duration(700 * time.Millisecond)}
}

// Server is the weight store over HTTP.
type Server struct {
	*serve.Server
	cfg    Config
	origin time.Time

	mu      sync.Mutex
	pool    *Pool
	next    uint64
	waiters map[uint64]chan struct{}
	loads   int
	timer   *time.Timer
}

// New returns a weight store that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		origin:  time.Now(),
		pool:    NewPool(max(cfg.Limit, 1), cfg.LoadTime.AsDuration()),
		waiters: map[uint64]chan struct{}{},
	}
	s.timer = time.AfterFunc(time.Hour, s.advance)
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

// Handler returns the routes of the weight store: GET
// /v1/weights/<model>/<version> answers when the load is complete.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/weights/{model}/{version}", s.load)
	m.HandleFunc("GET /admin/loads", s.adminLoads)
	return m
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	version := r.PathValue("version")
	if !s.exists(version) {
		serve.WriteError(w, http.StatusNotFound, "not_found", "version "+version)
		return
	}
	done := make(chan struct{})
	s.mu.Lock()
	s.next++
	s.loads++
	id := s.next
	s.waiters[id] = done
	s.release(s.pool.Advance(s.now()))
	s.pool.Begin(s.now(), id)
	s.schedule()
	s.mu.Unlock()
	select {
	case <-done:
		fmt.Fprintf(w, "weights of %s %s\n", r.PathValue("model"), version)
	case <-r.Context().Done():
		s.mu.Lock()
		s.release(s.pool.Advance(s.now()))
		s.pool.End(s.now(), id)
		delete(s.waiters, id)
		s.schedule()
		s.mu.Unlock()
	}
}

func (s *Server) exists(version string) bool {
	for _, v := range s.cfg.Versions {
		if v == version {
			return true
		}
	}
	return len(s.cfg.Versions) == 0
}

func (s *Server) now() time.Duration { return time.Since(s.origin) }

func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(s.pool.Advance(s.now()))
	s.schedule()
}

func (s *Server) release(ended []uint64) {
	for _, id := range ended {
		if done := s.waiters[id]; done != nil {
			close(done)
			delete(s.waiters, id)
		}
	}
}

func (s *Server) schedule() {
	if at, busy := s.pool.NextAt(); busy {
		s.timer.Reset(max(at-s.now(), 0))
	}
}

// Loads is the answer of GET /admin/loads.
type Loads struct {
	Running int `json:"running"`
	// Peak is the highest number of concurrent loads so far.
	Peak int `json:"peak"`
	// Total is the number of loads that were started.
	Total int `json:"total"`
}

func (s *Server) adminLoads(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := Loads{s.pool.Running(), s.pool.Peak, s.loads}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, l)
}
