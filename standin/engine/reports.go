package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/standin/serve"
)

// Info is the response body of GET /v1/info.
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
	// FencingHonoured is true when the engine refuses orders with outdated tokens.
	FencingHonoured bool `json:"fencing"`
	// HighestFencingToken is the highest token of an accepted order.
	HighestFencingToken uint64 `json:"highest_fencing"`
	// LoadingWeights is true while weights are loaded; completions are refused.
	LoadingWeights bool        `json:"loading"`
	LastOrder      *OrderState `json:"last_order,omitempty"`
}

// infoLocked returns the current info. The caller holds mu.
func (s *Server) infoLocked() Info {
	return Info{
		Name:                s.cfg.Name,
		Incarnation:         s.incarnation,
		Model:               s.cfg.Model,
		WeightsVersion:      s.weightsVersion,
		Adapters:            append([]string{}, s.adapters...),
		Role:                s.role,
		BlockTokens:         prefix.TokensPerBlock,
		CacheBlocks:         s.simulatorConfig.CacheBlocks,
		MaxRunning:          s.simulatorConfig.MaxRunning,
		FencingHonoured:     s.cfg.FencingMode != FencingIgnored,
		HighestFencingToken: s.highestFencingToken,
		LoadingWeights:      s.loadingWeights,
		LastOrder:           s.lastOrder,
	}
}

func (s *Server) handleInfo(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	info := s.infoLocked()
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, info)
}

// sampleLoad records the current load and discards samples older than the one that
// handleLoad reports. The caller holds mu.
func (s *Server) sampleLoad() {
	now := s.now()
	visibleUntil := now - s.cfg.LoadReportLag.AsDuration()
	for len(s.loadSamples) > 1 && s.loadSamples[1].sampledAt <= visibleUntil {
		s.loadSamples = s.loadSamples[1:]
	}
	s.loadSamples = append(s.loadSamples, loadSample{now, s.simulator.Load()})
}

// LoadReport is the response body of GET /v1/load.
type LoadReport struct {
	Load
	// AtUnixMS is the time that the report describes, in Unix milliseconds.
	AtUnixMS    int64  `json:"at_ms"`
	Incarnation uint64 `json:"incarnation"`
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	visibleUntil := s.now() - s.cfg.LoadReportLag.AsDuration()
	report := LoadReport{
		Load:        Load{FreeBlocks: s.simulatorConfig.CacheBlocks},
		AtUnixMS:    s.startedAt.Add(visibleUntil).UnixMilli(),
		Incarnation: s.incarnation,
	}
	for _, sample := range s.loadSamples {
		if sample.sampledAt <= visibleUntil {
			report.Load = sample.Load
		}
	}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, report)
}

// Default and maximum of timeout_ms of GET /v1/cache/events.
const (
	defaultEventWait = 10 * time.Second
	maxEventWait     = time.Minute
)

// CacheEventPage is the response body of GET /v1/cache/events.
type CacheEventPage struct {
	Incarnation uint64 `json:"incarnation"`
	// LastSeq is the sequence number of the newest of these events, and the value
	// of since for the next call.
	LastSeq uint64       `json:"next"`
	Events  []CacheEvent `json:"events"`
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "bad_request", "since is not a number")
		return
	}
	wait := defaultEventWait
	if ms, err := strconv.Atoi(r.URL.Query().Get("timeout_ms")); err == nil {
		wait = min(time.Duration(ms)*time.Millisecond, maxEventWait)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		now := s.now()
		events, nextVisibleAt := s.events.Since(now, since)
		page := CacheEventPage{s.incarnation, since, events}
		changed := s.cacheEventAppended
		s.mu.Unlock()
		if len(events) > 0 {
			page.LastSeq = events[len(events)-1].Seq
			serve.WriteJSON(w, http.StatusOK, page)
			return
		}
		var nextVisible <-chan time.Time
		if nextVisibleAt > 0 {
			nextVisible = time.After(nextVisibleAt - now)
		}
		select {
		case <-changed:
		case <-nextVisible:
		case <-timeout.C:
			page.Events = []CacheEvent{}
			serve.WriteJSON(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// CacheSnapshot is the response body of GET /v1/cache/blocks.
type CacheSnapshot struct {
	Incarnation uint64 `json:"incarnation"`
	// LastSeq is the sequence number of the newest event that the snapshot includes.
	LastSeq uint64 `json:"next"`
	// Blocks are block hashes.
	Blocks []uint64 `json:"blocks"`
}

func (s *Server) handleCacheBlocks(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	snapshot := CacheSnapshot{s.incarnation, s.events.LastSeq(), s.simulator.Cache().Hashes()}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, snapshot)
}
