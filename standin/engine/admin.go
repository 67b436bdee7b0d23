package engine

import (
	"net/http"
	"time"

	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/serve"
)

// Faults are the switchable faults of an engine.
type Faults struct {
	// EventDelayMS replaces the delay of cache events.
	EventDelayMS *int `json:"event_delay_ms,omitempty"`
	// DropEvents is the number of coming cache events that are lost.
	DropEvents int `json:"drop_events"`
	// LoadLagMS replaces the lag of the load report.
	LoadLagMS *int `json:"load_lag_ms,omitempty"`
}

func (s *Server) adminFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !serve.Read(w, r, &f) {
		return
	}
	s.mu.Lock()
	if f.EventDelayMS != nil {
		s.cfg.EventDelay = settings.Duration(time.Duration(*f.EventDelayMS) * time.Millisecond)
		s.events.Delay = s.cfg.EventDelay.AsDuration()
	}
	if f.LoadLagMS != nil {
		s.cfg.LoadLag = settings.Duration(time.Duration(*f.LoadLagMS) * time.Millisecond)
	}
	s.events.Drop = f.DropEvents
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, f)
}

// AdminState is the answer of GET /admin/state.
type AdminState struct {
	Info    Info `json:"info"`
	Load    Load `json:"load"`
	Crashes int  `json:"crashes"`
	// CachedBlocks is the number of blocks in the cache.
	CachedBlocks int `json:"cached_blocks"`
}

func (s *Server) adminState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	st := AdminState{s.infoLocked(), s.machine.Load(), s.crashes, s.machine.Cache().Len()}
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, st)
}
