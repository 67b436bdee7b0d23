// Package weights is a stand-in for the weight store. Up to a limit, concurrent loads
// run at full speed; above it, all loads share the same total bandwidth.
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

// LoadSimulator simulates concurrent loads that share the bandwidth of the store,
// without clock or I/O. Times are relative to a common origin. It is not safe for
// concurrent use.
type LoadSimulator struct {
	fullSpeedLoads int
	loadTime       time.Duration
	lastUpdate     time.Duration
	// remaining is the time that each load, by id, still needs at full speed.
	remaining map[uint64]time.Duration
	// Peak is the highest number of concurrent loads so far.
	Peak int
}

// NewLoadSimulator returns a simulator on which a load takes loadTime while at most
// fullSpeedLoads run concurrently.
func NewLoadSimulator(fullSpeedLoads int, loadTime time.Duration) *LoadSimulator {
	return &LoadSimulator{fullSpeedLoads: fullSpeedLoads, loadTime: loadTime, remaining: map[uint64]time.Duration{}}
}

// Start starts a load and returns the ids of the loads that ended until now.
func (s *LoadSimulator) Start(now time.Duration, id uint64) []uint64 {
	ended := s.Advance(now)
	s.remaining[id] = s.loadTime
	s.Peak = max(s.Peak, len(s.remaining))
	return ended
}

// Cancel removes a load before its end and returns the ids of the loads that ended until
// now.
func (s *LoadSimulator) Cancel(now time.Duration, id uint64) []uint64 {
	ended := s.Advance(now)
	delete(s.remaining, id)
	return ended
}

// Running returns the number of loads in progress.
func (s *LoadSimulator) Running() int { return len(s.remaining) }

// slowdown returns the factor by which loads are currently slower than at full speed.
func (s *LoadSimulator) slowdown() float64 {
	return max(1, float64(len(s.remaining))/float64(s.fullSpeedLoads))
}

// NextEnd returns the time at which the next load ends unless loads are started or
// cancelled before, and false if no load is in progress.
func (s *LoadSimulator) NextEnd() (time.Duration, bool) {
	shortest, ok := time.Duration(0), false
	for _, left := range s.remaining {
		if !ok || left < shortest {
			shortest, ok = left, true
		}
	}
	return s.lastUpdate + time.Duration(float64(shortest)*s.slowdown()+0.5), ok
}

// Advance moves the simulation to now and returns the ids of the loads that ended.
func (s *LoadSimulator) Advance(now time.Duration) []uint64 {
	var ended []uint64
	for {
		end, ok := s.NextEnd()
		if !ok || end > now {
			break
		}
		ended = append(ended, s.advanceAtConstantRate(end)...)
	}
	return append(ended, s.advanceAtConstantRate(now)...)
}

// roundingTolerance is the remaining time below which a load counts as ended.
const roundingTolerance = time.Microsecond

// advanceAtConstantRate moves the simulation to a time no later than the next end of a
// load. The loads run at a constant rate until then, because their number is constant.
func (s *LoadSimulator) advanceAtConstantRate(to time.Duration) (ended []uint64) {
	if to <= s.lastUpdate {
		return nil
	}
	elapsed := time.Duration(float64(to-s.lastUpdate) / s.slowdown())
	s.lastUpdate = to
	for id := range s.remaining {
		if s.remaining[id] -= elapsed; s.remaining[id] < roundingTolerance {
			delete(s.remaining, id)
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	return ended
}

// Config holds the settings of the weight store.
type Config struct {
	Address string `json:"address"`
	// FullSpeedLoads is the number of concurrent loads that run at full speed.
	// Default 3.
	FullSpeedLoads int `json:"limit"`
	// LoadTime is the duration of a load at full speed. Default 700ms.
	LoadTime settings.Duration `json:"load_time"`
	// Versions lists the weights versions that exist. Empty means all.
	Versions []string `json:"versions,omitempty"`
}

// Defaults returns the default settings.
func Defaults() Config {
	return Config{FullSpeedLoads: 3, LoadTime: settings.Duration(700 * time.Millisecond)}
}

// Server serves the weight store over HTTP.
type Server struct {
	*serve.Server
	cfg       Config
	startedAt time.Time

	mu           sync.Mutex
	simulator    *LoadSimulator
	lastLoadID   uint64
	waiters      map[uint64]chan struct{}
	startedLoads int
	timer        *time.Timer
}

// New returns a weight store that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:       cfg,
		startedAt: time.Now(),
		simulator: NewLoadSimulator(max(cfg.FullSpeedLoads, 1), cfg.LoadTime.AsDuration()),
		waiters:   map[uint64]chan struct{}{},
	}
	s.timer = time.AfterFunc(time.Hour, s.advance)
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

// Handler returns the HTTP handler of the weight store. GET
// /v1/weights/<model>/<version> responds when the load is complete.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.handleLoad)
	mux.HandleFunc("GET /admin/loads", s.handleAdminLoads)
	return mux
}

func (s *Server) handleLoad(w http.ResponseWriter, r *http.Request) {
	version := r.PathValue("version")
	if !s.versionExists(version) {
		serve.WriteError(w, http.StatusNotFound, "not_found", "version "+version)
		return
	}
	done := make(chan struct{})
	s.mu.Lock()
	s.lastLoadID++
	s.startedLoads++
	id := s.lastLoadID
	s.waiters[id] = done
	s.completeLoads(s.simulator.Start(s.now(), id))
	s.scheduleAdvance()
	s.mu.Unlock()
	select {
	case <-done:
		fmt.Fprintf(w, "weights of %s %s\n", r.PathValue("model"), version)
	case <-r.Context().Done():
		s.mu.Lock()
		s.completeLoads(s.simulator.Cancel(s.now(), id))
		delete(s.waiters, id)
		s.scheduleAdvance()
		s.mu.Unlock()
	}
}

func (s *Server) versionExists(version string) bool {
	for _, v := range s.cfg.Versions {
		if v == version {
			return true
		}
	}
	return len(s.cfg.Versions) == 0
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeLoads(s.simulator.Advance(s.now()))
	s.scheduleAdvance()
}

// completeLoads lets the requests for the ended loads respond.
func (s *Server) completeLoads(ended []uint64) {
	for _, id := range ended {
		if done := s.waiters[id]; done != nil {
			close(done)
			delete(s.waiters, id)
		}
	}
}

// scheduleAdvance sets the timer to the end of the next load.
func (s *Server) scheduleAdvance() {
	if end, loading := s.simulator.NextEnd(); loading {
		s.timer.Reset(max(end-s.now(), 0))
	}
}

// LoadStats is the response body of GET /admin/loads.
type LoadStats struct {
	Running int `json:"running"`
	// Peak is the highest number of concurrent loads so far.
	Peak int `json:"peak"`
	// Total is the number of loads that were started.
	Total int `json:"total"`
}

func (s *Server) handleAdminLoads(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := LoadStats{s.simulator.Running(), s.simulator.Peak, s.startedLoads}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, stats)
}
