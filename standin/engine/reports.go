package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/standin/serve"
)

// Info is the answer of GET /v1/info.
type Info struct {
	Name           string   `json:"name"`
	Incarnation    uint64   `json:"incarnation"`
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters"`
	Role           string   `json:"role"`
	BlockTokens    int      `json:"block_tokens"`
	CacheBlocks    int      `json:"cache_blocks"`
	MaxRunning     int      `json:"max_running"`
	// Fencing is true when the engine refuses orders with outdated tokens.
	Fencing bool `json:"fencing"`
	// HighestFencing is the highest token of an accepted order.
	HighestFencing uint64 `json:"highest_fencing"`
	// Loading is true while the engine takes no completions.
	Loading   bool        `json:"loading"`
	LastOrder *OrderState `json:"last_order,omitempty"`
}

func (s *Server) infoLocked() Info {
	return Info{
		Name:           s.cfg.Name,
		Incarnation:    s.incarnation,
		Model:          s.cfg.Model,
		WeightsVersion: s.weights,
		Adapters:       append([]string{}, s.adapters...),
		Role:           s.role,
		BlockTokens:    prefix.BlockTokens,
		CacheBlocks:    s.mcfg.CacheBlocks,
		MaxRunning:     s.mcfg.MaxRunning,
		Fencing:        s.cfg.Fencing != FencingIgnored,
		HighestFencing: s.fencing,
		Loading:        s.loading,
		LastOrder:      s.last,
	}
}

func (s *Server) info(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	info := s.infoLocked()
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, info)
}

func (s *Server) sampleLoad() {
	now := s.now()
	visible := now - s.cfg.LoadLag.AsDuration()
	for len(s.loads) > 1 && s.loads[1].at <= visible {
		s.loads = s.loads[1:]
	}
	s.loads = append(s.loads, loadSample{now, s.machine.Load()})
}

// LoadReport is the answer of GET /v1/load.
type LoadReport struct {
	Load
	// AtMS is the Unix time in milliseconds that the report describes.
	AtMS        int64  `json:"at_ms"`
	Incarnation uint64 `json:"incarnation"`
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	visible := s.now() - s.cfg.LoadLag.AsDuration()
	report := LoadReport{
		Load:        Load{FreeBlocks: s.mcfg.CacheBlocks},
		AtMS:        s.origin.Add(visible).UnixMilli(),
		Incarnation: s.incarnation,
	}
	for _, sample := range s.loads {
		if sample.at <= visible {
			report.Load = sample.Load
		}
	}
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, report)
}

// Bounds of the wait for cache events.
const (
	defaultEventWait = 10 * time.Second
	maxEventWait     = time.Minute
)

// CacheEvents is the answer of GET /v1/cache/events.
type CacheEvents struct {
	Incarnation uint64 `json:"incarnation"`
	// Next is the number of the newest of these events; it is the value of
	// since for the next call.
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, "bad_request", "since is not a number")
		return
	}
	wait := defaultEventWait
	if ms, err := strconv.Atoi(r.URL.Query().Get("timeout_ms")); err == nil {
		wait = min(time.Duration(ms)*time.Millisecond, maxEventWait)
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		now := s.now()
		events, next := s.events.Since(now, since)
		page := CacheEvents{s.incarnation, since, events}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			page.Next = events[len(events)-1].Seq
			serve.JSON(w, http.StatusOK, page)
			return
		}
		var visible <-chan time.Time
		if next > 0 {
			visible = time.After(next - now)
		}
		select {
		case <-changed:
		case <-visible:
		case <-end.C:
			page.Events = []CacheEvent{}
			serve.JSON(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// CacheBlocks is the answer of GET /v1/cache/blocks.
type CacheBlocks struct {
	Incarnation uint64 `json:"incarnation"`
	// Next is the number of the newest event that the snapshot includes.
	Next   uint64   `json:"next"`
	Blocks []uint64 `json:"blocks"`
}

func (s *Server) cacheBlocks(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	page := CacheBlocks{s.incarnation, s.events.Last(), s.machine.Cache().Hashes()}
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, page)
}
