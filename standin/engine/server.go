// Package engine is a stand-in for a model engine: continuous batching, a
// bounded block cache, streamed output that a checker can recompute, cache
// events, orders, and faults that are switched through /admin. Machine, Cache
// and EventLog hold the behaviour without clock or I/O, so that virtual-time
// benchmarks can use them; Server puts HTTP around them.
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
	// WeightsVersion is loaded at each start. Default "v1".
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters"`
	// Role is reported in /v1/info. Default "mixed".
	Role string `json:"role"`
	// Fencing is "honoured" or "ignored". Default "honoured".
	Fencing string `json:"fencing"`
	// WeightsURL is the base URL of the weight store. Without it a load takes
	// LoadTime.
	WeightsURL string            `json:"weights_url"`
	LoadTime   settings.Duration `json:"load_time"`
	// BadVersions are weights versions with which every completion fails.
	BadVersions []string `json:"bad_versions"`
	// CacheBlocks, MaxRunning, MaxWaiting and ChunkTokens are those of
	// MachineConfig and Timing.
	CacheBlocks int `json:"cache_blocks"`
	MaxRunning  int `json:"max_running"`
	MaxWaiting  int `json:"max_waiting"`
	ChunkTokens int `json:"chunk_tokens"`
	// Step, PerPrefillToken and PerDecode are those of Timing.
	Step            settings.Duration `json:"step"`
	PerPrefillToken settings.Duration `json:"per_prefill_token"`
	PerDecode       settings.Duration `json:"per_decode"`
	// EventDelay is the age at which cache events become visible. Default 20ms.
	EventDelay settings.Duration `json:"event_delay"`
	// LoadLag is the age of the reported load. Default 200ms.
	LoadLag settings.Duration `json:"load_lag"`
	// Restart is the time that a crashed engine stays away. Default 500ms.
	Restart settings.Duration `json:"restart"`
	// KVBlock is the time to export or import one block. Default 200µs.
	KVBlock settings.Duration `json:"kv_block"`
}

// Defaults returns the default settings.
func Defaults() Config {
	var m MachineConfig
	m.setDefaults()
	return Config{
		WeightsVersion:  "v1",
		Role:            "mixed",
		Fencing:         FencingHonoured,
		LoadTime:        settings.Duration(700 * time.Millisecond),
		CacheBlocks:     m.CacheBlocks,
		MaxRunning:      m.MaxRunning,
		MaxWaiting:      m.MaxWaiting,
		ChunkTokens:     m.Timing.ChunkTokens,
		Step:            settings.Duration(m.Timing.Step),
		PerPrefillToken: settings.Duration(m.Timing.PerPrefillToken),
		PerDecode:       settings.Duration(m.Timing.PerDecode),
		EventDelay:      settings.Duration(20 * time.Millisecond),
		LoadLag:         settings.Duration(200 * time.Millisecond),
		Restart:         settings.Duration(500 * time.Millisecond),
		KVBlock:         settings.Duration(200 * time.Microsecond),
	}
}

func (c Config) machine(d *Directory) MachineConfig {
	return MachineConfig{
		Timing: Timing{
			Step:            c.Step.D(),
			PerPrefillToken: c.PerPrefillToken.D(),
			PerDecode:       c.PerDecode.D(),
			ChunkTokens:     c.ChunkTokens,
		},
		CacheBlocks: c.CacheBlocks,
		MaxRunning:  c.MaxRunning,
		MaxWaiting:  c.MaxWaiting,
		Directory:   d,
	}
}

// Values of Config.Fencing.
const (
	FencingHonoured = "honoured"
	FencingIgnored  = "ignored"
)

// Server is one engine over HTTP.
type Server struct {
	*serve.Server
	// Log is the audit log. It outlives crashes.
	Log *audit.Log

	cfg    Config
	mcfg   MachineConfig
	origin time.Time
	wake   chan struct{}
	stop   chan struct{}
	once   sync.Once

	mu sync.Mutex
	state
	crashes int
}

// state is what a crash loses.
type state struct {
	incarnation uint64
	machine     *Machine
	events      *EventLog
	// changed is closed and replaced when a cache event was appended.
	changed  chan struct{}
	streams  map[string]*stream
	loads    []loadSample
	weights  string
	adapters []string
	role     string
	loading  bool
	fencing  uint64
	last     *OrderState
}

type loadSample struct {
	at time.Duration
	Load
}

// New returns an engine that does not listen yet. The directory may be nil.
func New(cfg Config, directory *Directory) *Server {
	s := &Server{
		Log:    audit.New(0),
		cfg:    cfg,
		mcfg:   cfg.machine(directory),
		origin: time.Now(),
		wake:   make(chan struct{}, 1),
		stop:   make(chan struct{}),
	}
	s.mcfg.setDefaults()
	s.state = s.fresh()
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

func (s *Server) fresh() state {
	return state{
		incarnation: uint64(time.Now().UnixNano()),
		machine:     NewMachine(s.mcfg),
		events:      &EventLog{Delay: s.cfg.EventDelay.D()},
		changed:     make(chan struct{}),
		streams:     map[string]*stream{},
		weights:     s.cfg.WeightsVersion,
		adapters:    append([]string{}, s.cfg.Adapters...),
		role:        s.cfg.Role,
	}
}

// Runs returns the audit log.
func (s *Server) Runs() audit.Snapshot { return s.Log.Snapshot() }

// Handler returns the routes of the engine.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", s.complete)
	m.HandleFunc("POST /v1/cancel", s.cancel)
	m.HandleFunc("GET /v1/load", s.load)
	m.HandleFunc("GET /v1/info", s.info)
	m.HandleFunc("GET /v1/cache/events", s.cacheEvents)
	m.HandleFunc("GET /v1/cache/blocks", s.cacheBlocks)
	m.HandleFunc("POST /v1/kv/export", s.kvExport)
	m.HandleFunc("POST /v1/kv/import", s.kvImport)
	m.HandleFunc("POST /v1/orders", s.order)
	m.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, s.Runs())
	})
	m.HandleFunc("GET /admin/state", s.adminState)
	m.HandleFunc("POST /admin/faults", s.adminFaults)
	m.HandleFunc("POST /admin/crash", func(w http.ResponseWriter, r *http.Request) {
		down := serve.Down(r, s.cfg.Restart.D())
		serve.JSON(w, http.StatusOK, struct{}{})
		_ = http.NewResponseController(w).Flush()
		s.CrashNow(down)
	})
	return m
}

// Start listens and runs the batch in the background.
func (s *Server) Start() error {
	if err := s.Server.Start(); err != nil {
		return err
	}
	go s.run()
	return nil
}

// Stop ends the engine for good.
func (s *Server) Stop() {
	s.Server.Stop()
	s.once.Do(func() { close(s.stop) })
}

func (s *Server) now() time.Duration { return time.Since(s.origin) }

// run advances the machine whenever a step ends.
func (s *Server) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.advance()
		next, busy := s.machine.NextAt()
		s.mu.Unlock()
		if busy {
			timer.Reset(next - s.now())
		}
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.stop:
			return
		}
	}
}

func (s *Server) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// advance takes over what the machine did. The caller holds mu.
func (s *Server) advance() {
	for _, e := range s.machine.Advance(s.now(), nil) {
		switch e.Kind {
		case EventStored:
			s.cacheEvent(e.At, OpStored, e.Blocks)
		case EventRemoved:
			s.cacheEvent(e.At, OpRemoved, e.Blocks)
		case EventCrash:
			s.crash(s.cfg.Restart.D())
			return
		default:
			if st := s.streams[e.ID]; st != nil {
				st.take(e)
			}
		}
	}
	s.sampleLoad()
}

func (s *Server) cacheEvent(at time.Duration, op string, blocks []uint64) {
	s.events.Append(at, op, blocks)
	close(s.changed)
	s.changed = make(chan struct{})
}

// CrashNow drops all connections and the cache. The engine comes back on its
// address with a new incarnation after the given time.
func (s *Server) CrashNow(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash(down)
}

func (s *Server) crash(down time.Duration) {
	s.crashes++
	for _, st := range s.streams {
		st.cut("crash")
	}
	s.machine.Cache().Clear()
	close(s.changed)
	s.state = s.fresh()
	s.Crash(down)
}
