// Package engine is a stand-in for an inference engine. It has continuous batching,
// a bounded block cache, streamed output that a checker can recompute, cache events,
// orders that change weights, adapters and role, and faults that are set through
// /admin. Simulator, Cache and CacheEventLog implement the behaviour without clock or
// I/O, so that benchmarks in virtual time can use them; Server serves it over HTTP.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/serve"
	"github.com/arbutusline/arbutusline/workload/audit"
)

// Config are the settings of one engine.
type Config struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Model   string `json:"model"`
	// WeightsVersion is the version loaded at each start and after a crash.
	// Default "v1".
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters"`
	// Role is reported in /v1/info. Default "mixed".
	Role string `json:"role"`
	// FencingMode is "honoured", which refuses orders with a token below the
	// highest accepted one, or "ignored". Default "honoured".
	FencingMode string `json:"fencing"`
	// WeightStoreURL is the base URL of the weight store. When it is empty, loading
	// weights takes WeightsLoadTime, by default 700ms.
	WeightStoreURL  string            `json:"weights_url"`
	WeightsLoadTime settings.Duration `json:"load_time"`
	// BadWeightsVersions are weights versions with which every completion fails.
	BadWeightsVersions []string `json:"bad_versions"`
	// CacheBlocks, MaxRunning and MaxWaiting are those of SimulatorConfig,
	// MaxPrefillTokensPerStep is that of StepTiming.
	CacheBlocks             int `json:"cache_blocks"`
	MaxRunning              int `json:"max_running"`
	MaxWaiting              int `json:"max_waiting"`
	MaxPrefillTokensPerStep int `json:"chunk_tokens"`
	// StepOverhead, PrefillTokenTime and DecodeTokenTime are those of StepTiming.
	StepOverhead     settings.Duration `json:"step"`
	PrefillTokenTime settings.Duration `json:"per_prefill_token"`
	DecodeTokenTime  settings.Duration `json:"per_decode"`
	// CacheEventDelay is the age at which cache events become visible. Default 20ms.
	CacheEventDelay settings.Duration `json:"event_delay"`
	// LoadReportLag is the age of the reported load. Default 200ms.
	LoadReportLag settings.Duration `json:"load_lag"`
	// RestartDelay is the time that a crashed engine stays down. Default 500ms.
	RestartDelay settings.Duration `json:"restart"`
	// KVBlockTransferTime is the time to export or import one block. Default 200µs.
	KVBlockTransferTime settings.Duration `json:"kv_block"`
}

// Defaults returns the default settings.
func Defaults() Config {
	var simulatorConfig SimulatorConfig
	simulatorConfig.setDefaults()
	return Config{
		WeightsVersion:          "v1",
		Role:                    "mixed",
		FencingMode:             FencingHonoured,
		WeightsLoadTime:         settings.Duration(700 * time.Millisecond),
		CacheBlocks:             simulatorConfig.CacheBlocks,
		MaxRunning:              simulatorConfig.MaxRunning,
		MaxWaiting:              simulatorConfig.MaxWaiting,
		MaxPrefillTokensPerStep: simulatorConfig.Timing.MaxPrefillTokensPerStep,
		StepOverhead:            settings.Duration(simulatorConfig.Timing.StepOverhead),
		PrefillTokenTime:        settings.Duration(simulatorConfig.Timing.PrefillTokenTime),
		DecodeTokenTime:         settings.Duration(simulatorConfig.Timing.DecodeTokenTime),
		CacheEventDelay:         settings.Duration(20 * time.Millisecond),
		LoadReportLag:           settings.Duration(200 * time.Millisecond),
		RestartDelay:            settings.Duration(500 * time.Millisecond),
		KVBlockTransferTime:     settings.Duration(200 * time.Microsecond),
	}
}

func (c Config) simulatorConfig(fleetIndex *FleetCacheIndex) SimulatorConfig {
	return SimulatorConfig{
		Timing: StepTiming{
			StepOverhead:            c.StepOverhead.AsDuration(),
			PrefillTokenTime:        c.PrefillTokenTime.AsDuration(),
			DecodeTokenTime:         c.DecodeTokenTime.AsDuration(),
			MaxPrefillTokensPerStep: c.MaxPrefillTokensPerStep,
		},
		CacheBlocks: c.CacheBlocks,
		MaxRunning:  c.MaxRunning,
		MaxWaiting:  c.MaxWaiting,
		FleetIndex:  fleetIndex,
	}
}

// Values of Config.FencingMode.
const (
	FencingHonoured = "honoured"
	FencingIgnored  = "ignored"
)

// Server serves an engine over HTTP.
type Server struct {
	*serve.Server
	// AuditLog is kept when the engine crashes.
	AuditLog *audit.Log

	cfg             Config
	simulatorConfig SimulatorConfig
	// startedAt is time 0 of the simulator.
	startedAt time.Time
	// wake makes run advance the simulator.
	wake     chan struct{}
	stop     chan struct{}
	stopOnce sync.Once

	mu sync.Mutex
	volatileState
	crashCount int
}

// volatileState is the state that a crash discards.
type volatileState struct {
	incarnation uint64
	simulator   *Simulator
	events      *CacheEventLog
	// cacheEventAppended is closed and replaced after each new cache event.
	cacheEventAppended  chan struct{}
	streams             map[string]*outputStream
	loadSamples         []loadSample
	weightsVersion      string
	adapters            []string
	role                string
	loadingWeights      bool
	highestFencingToken uint64
	lastOrder           *OrderState
}

type loadSample struct {
	sampledAt time.Duration
	Load
}

// New returns an engine that does not listen yet. The index may be nil.
func New(cfg Config, fleetIndex *FleetCacheIndex) *Server {
	s := &Server{
		AuditLog:        audit.New(0),
		cfg:             cfg,
		simulatorConfig: cfg.simulatorConfig(fleetIndex),
		startedAt:       time.Now(),
		wake:            make(chan struct{}, 1),
		stop:            make(chan struct{}),
	}
	s.simulatorConfig.setDefaults()
	s.volatileState = s.newVolatileState()
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

func (s *Server) newVolatileState() volatileState {
	return volatileState{
		incarnation:        uint64(time.Now().UnixNano()),
		simulator:          NewSimulator(s.simulatorConfig),
		events:             &CacheEventLog{VisibilityDelay: s.cfg.CacheEventDelay.AsDuration()},
		cacheEventAppended: make(chan struct{}),
		streams:            map[string]*outputStream{},
		weightsVersion:     s.cfg.WeightsVersion,
		adapters:           append([]string{}, s.cfg.Adapters...),
		role:               s.cfg.Role,
	}
}

// Runs returns the content of the audit log.
func (s *Server) Runs() audit.Snapshot { return s.AuditLog.Snapshot() }

// Handler returns the HTTP handler of the engine.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.handleCompletion)
	mux.HandleFunc("POST /v1/cancel", s.handleCancel)
	mux.HandleFunc("GET /v1/load", s.handleLoad)
	mux.HandleFunc("GET /v1/info", s.handleInfo)
	mux.HandleFunc("GET /v1/cache/events", s.handleCacheEvents)
	mux.HandleFunc("GET /v1/cache/blocks", s.handleCacheBlocks)
	mux.HandleFunc("POST /v1/kv/export", s.handleKVExport)
	mux.HandleFunc("POST /v1/kv/import", s.handleKVImport)
	mux.HandleFunc("POST /v1/orders", s.handleOrder)
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("GET /admin/state", s.handleAdminState)
	mux.HandleFunc("POST /admin/faults", s.handleAdminFaults)
	mux.HandleFunc("POST /admin/crash", func(w http.ResponseWriter, r *http.Request) {
		downtime := serve.CrashDuration(r, s.cfg.RestartDelay.AsDuration())
		serve.WriteJSON(w, http.StatusOK, struct{}{})
		_ = http.NewResponseController(w).Flush()
		s.CrashEngine(downtime)
	})
	return mux
}

// Start listens and runs the simulator in the background.
func (s *Server) Start() error {
	if err := s.Server.Start(); err != nil {
		return err
	}
	go s.run()
	return nil
}

// Stop stops the engine; it cannot be started again.
func (s *Server) Stop() {
	s.Server.Stop()
	s.stopOnce.Do(func() { close(s.stop) })
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// run advances the simulator whenever a step ends.
func (s *Server) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.advance()
		stepEnd, busy := s.simulator.NextStepEnd()
		s.mu.Unlock()
		if busy {
			timer.Reset(stepEnd - s.now())
		}
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.stop:
			return
		}
	}
}

func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// advance runs the simulator up to now and applies its events. The caller holds mu.
func (s *Server) advance() {
	for _, e := range s.simulator.Advance(s.now(), nil) {
		switch e.Kind {
		case EventBlocksStored:
			s.appendCacheEvent(e.At, OpStored, e.Blocks)
		case EventBlocksRemoved:
			s.appendCacheEvent(e.At, OpRemoved, e.Blocks)
		case EventEngineCrashed:
			s.crashLocked(s.cfg.RestartDelay.AsDuration())
			return
		default:
			if stream := s.streams[e.SequenceID]; stream != nil {
				stream.applyEvent(e)
			}
		}
	}
	s.sampleLoad()
}

func (s *Server) appendCacheEvent(at time.Duration, op string, blocks []uint64) {
	s.events.Append(at, op, blocks)
	close(s.cacheEventAppended)
	s.cacheEventAppended = make(chan struct{})
}

// CrashEngine drops all connections and discards the cache. The engine restarts on
// the same address with a new incarnation after downtime.
func (s *Server) CrashEngine(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked(downtime)
}

func (s *Server) crashLocked(downtime time.Duration) {
	s.crashCount++
	for _, stream := range s.streams {
		stream.abort("crash")
	}
	s.simulator.Cache().Clear()
	close(s.cacheEventAppended)
	s.volatileState = s.newVolatileState()
	s.Crash(downtime)
}
