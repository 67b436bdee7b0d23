package engine

import (
	"net/http"
	"time"

	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/serve"
)

// Faults are the faults to inject, the body of POST /admin/faults.
type Faults struct {
	// CacheEventDelayMS replaces Config.CacheEventDelay, in milliseconds.
	CacheEventDelayMS *int `json:"event_delay_ms,omitempty"`
	// DropCacheEvents is the number of future cache events to drop.
	DropCacheEvents int `json:"drop_events"`
	// LoadReportLagMS replaces Config.LoadReportLag, in milliseconds.
	LoadReportLagMS *int `json:"load_lag_ms,omitempty"`
}

func (s *Server) handleAdminFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !serve.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	if faults.CacheEventDelayMS != nil {
		s.cfg.CacheEventDelay = settings.Duration(time.Duration(*faults.CacheEventDelayMS) * time.Millisecond)
		s.events.VisibilityDelay = s.cfg.CacheEventDelay.AsDuration()
	}
	if faults.LoadReportLagMS != nil {
		s.cfg.LoadReportLag = settings.Duration(time.Duration(*faults.LoadReportLagMS) * time.Millisecond)
	}
	s.events.DropNext = faults.DropCacheEvents
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, faults)
}

// AdminState is the response body of GET /admin/state.
type AdminState struct {
	Info       Info `json:"info"`
	Load       Load `json:"load"`
	CrashCount int  `json:"crashes"`
	// CachedBlocks is the number of blocks in the cache.
	CachedBlocks int `json:"cached_blocks"`
}

func (s *Server) handleAdminState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := AdminState{s.infoLocked(), s.simulator.Load(), s.crashCount, s.simulator.Cache().Len()}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, state)
}
