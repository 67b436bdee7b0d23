// Package objectapi is a stand-in for the platform's object API: versions,
// conditional updates, watches, rate limits, the host list, and faults that
// are switched through /admin/faults.
package objectapi

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/standin/serve"
)

// Config are the settings of the object API.
type Config struct {
	Address string `json:"address"`
	// ReadsPerSecond bounds gets, lists, watches and host lists. Default 2000.
	ReadsPerSecond float64 `json:"reads_per_second"`
	// WritesPerSecond bounds puts and deletes. Default 400.
	WritesPerSecond float64 `json:"writes_per_second"`
	// Latency is added to each call. Default 2ms.
	Latency settings.Duration `json:"latency"`
	// HostsLag is the age of the host list that callers see. Default 2s.
	HostsLag settings.Duration  `json:"hosts_lag"`
	Hosts    []objectstore.Host `json:"hosts"`
}

// Defaults returns the default settings.
func Defaults() Config {
	return Config{
		ReadsPerSecond:  2000,
		WritesPerSecond: 400,
		Latency:         settings.Duration(2 * time.Millisecond),
		HostsLag:        settings.Duration(2 * time.Second),
	}
}

// Faults are the switchable faults of the object API.
type Faults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// DelayMS is added to every call.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of coming writes whose answer is lost after
	// they took effect.
	LoseAnswers int `json:"lose_answers"`
}

// Calls counts calls by kind. A pending watch is one call.
type Calls struct {
	Get    int `json:"get"`
	Put    int `json:"put"`
	Delete int `json:"delete"`
	List   int `json:"list"`
	Watch  int `json:"watch"`
	Hosts  int `json:"hosts"`
	// RateLimited, Refused and Lost count calls answered with 429, with 503
	// and not at all. They are also counted by kind.
	RateLimited int `json:"rate_limited"`
	Refused     int `json:"refused"`
	Lost        int `json:"lost"`
}

type hostsAt struct {
	at   time.Time
	list []objectstore.Host
}

// Server is the object API over HTTP.
type Server struct {
	*serve.Server
	cfg   Config
	start time.Time

	mu            sync.Mutex
	store         *Store
	reads, writes *Bucket
	faults        Faults
	calls         Calls
	hosts         []hostsAt
	changed       chan struct{}
}

// New returns an object API that does not listen yet.
func New(cfg Config) *Server {
	if cfg.Hosts == nil {
		cfg.Hosts = []objectstore.Host{}
	}
	s := &Server{
		cfg:     cfg,
		start:   time.Now(),
		store:   NewStore(),
		reads:   NewBucket(cfg.ReadsPerSecond),
		writes:  NewBucket(cfg.WritesPerSecond),
		hosts:   []hostsAt{{list: cfg.Hosts}},
		changed: make(chan struct{}),
	}
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

// Handler returns the routes of the object API.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/objects/{key...}", s.call(&s.calls.Get, s.reads, s.get))
	m.HandleFunc("PUT /v1/objects/{key...}", s.call(&s.calls.Put, s.writes, s.put))
	m.HandleFunc("DELETE /v1/objects/{key...}", s.call(&s.calls.Delete, s.writes, s.delete))
	m.HandleFunc("GET /v1/objects", s.call(&s.calls.List, s.reads, s.list))
	m.HandleFunc("GET /v1/watch", s.call(&s.calls.Watch, s.reads, s.watch))
	m.HandleFunc("GET /v1/hosts", s.call(&s.calls.Hosts, s.reads, s.hostList))
	m.HandleFunc("GET /admin/calls", s.adminCalls)
	m.HandleFunc("GET /admin/faults", s.adminFaults)
	m.HandleFunc("POST /admin/faults", s.adminSetFaults)
	m.HandleFunc("POST /admin/hosts", s.adminSetHosts)
	return m
}

// call wraps a handler with counting, rate limit, outage and delay.
func (s *Server) call(counter *int, bucket *Bucket, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		*counter++
		faults := s.faults
		allowed := faults.Outage || bucket.Take(time.Since(s.start))
		switch {
		case faults.Outage:
			s.calls.Refused++
		case !allowed:
			s.calls.RateLimited++
		}
		s.mu.Unlock()
		time.Sleep(s.cfg.Latency.AsDuration() + time.Duration(faults.DelayMS)*time.Millisecond)
		switch {
		case faults.Outage:
			serve.Fail(w, http.StatusServiceUnavailable, "unavailable", "outage")
		case !allowed:
			w.Header().Set("Retry-After", "1")
			serve.Fail(w, http.StatusTooManyRequests, "rate_limited", "too many calls per second")
		default:
			h(w, r)
		}
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.store.Get(r.PathValue("key"))
	s.mu.Unlock()
	if !ok {
		serve.Fail(w, http.StatusNotFound, "not_found", "")
		return
	}
	setVersion(w, o.Version)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value)
}

func setVersion(w http.ResponseWriter, v uint64) {
	w.Header().Set("Object-Version", strconv.FormatUint(v, 10))
}

func ifVersion(r *http.Request) (uint64, error) {
	text := r.Header.Get("If-Version")
	if text == "" {
		return Unconditional, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.write(w, r, func(key string, expect uint64) (uint64, error) {
		return s.store.Put(key, value, expect)
	})
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, s.store.Delete)
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, apply func(string, uint64) (uint64, error)) {
	expect, err := ifVersion(r)
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, "bad_request", "If-Version is not a number")
		return
	}
	s.mu.Lock()
	version, err := apply(r.PathValue("key"), expect)
	lost := s.faults.LoseAnswers > 0 && err == nil
	if lost {
		s.faults.LoseAnswers--
		s.calls.Lost++
	}
	if err == nil {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if lost {
		serve.LoseAnswer()
	}
	setVersion(w, version)
	switch {
	case errors.Is(err, objectstore.ErrConflict):
		serve.Fail(w, http.StatusConflict, "conflict", "the object has another version")
	case errors.Is(err, objectstore.ErrTooLarge):
		serve.Fail(w, http.StatusRequestEntityTooLarge, "too_large", "the value exceeds 1 MB")
	case errors.Is(err, objectstore.ErrNotFound):
		serve.Fail(w, http.StatusNotFound, "not_found", "")
	default:
		serve.JSON(w, http.StatusOK, map[string]uint64{"version": version})
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := s.store.List(r.URL.Query().Get("prefix"))
	version := s.store.Version()
	s.mu.Unlock()
	// The store's version lets a caller start a watch where its list ends.
	setVersion(w, version)
	serve.JSON(w, http.StatusOK, list)
}

// Bounds of the timeout of a watch.
const (
	defaultWatch = 30 * time.Second
	maxWatch     = 5 * time.Minute
)

type watchAnswer struct {
	Version uint64               `json:"version"`
	Changes []objectstore.Change `json:"changes"`
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, "bad_request", "since is not a number")
		return
	}
	timeout := defaultWatch
	if ms, err := strconv.Atoi(q.Get("timeout_ms")); err == nil {
		timeout = min(time.Duration(ms)*time.Millisecond, maxWatch)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changes, err := s.store.Since(q.Get("prefix"), since)
		version, changed, outage := s.store.Version(), s.changed, s.faults.Outage
		s.mu.Unlock()
		switch {
		case outage:
			serve.Fail(w, http.StatusServiceUnavailable, "unavailable", "outage")
			return
		case err != nil:
			serve.Fail(w, http.StatusGone, "compacted", "list the objects again")
			return
		case len(changes) > 0:
			serve.JSON(w, http.StatusOK, watchAnswer{version, changes})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			serve.JSON(w, http.StatusOK, watchAnswer{version, changes})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) hostList(w http.ResponseWriter, _ *http.Request) {
	visible := time.Now().Add(-s.cfg.HostsLag.AsDuration())
	s.mu.Lock()
	for len(s.hosts) > 1 && !s.hosts[1].at.After(visible) {
		s.hosts = s.hosts[1:]
	}
	list := s.hosts[0].list
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, list)
}

func (s *Server) adminCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, calls)
}

func (s *Server) adminFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, faults)
}

func (s *Server) adminSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !serve.Read(w, r, &f) {
		return
	}
	s.SetFaults(f)
	serve.JSON(w, http.StatusOK, f)
}

// SetFaults replaces all faults. Pending watches see an outage at once.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) adminSetHosts(w http.ResponseWriter, r *http.Request) {
	var list []objectstore.Host
	if !serve.Read(w, r, &list) {
		return
	}
	s.SetHosts(list)
	serve.JSON(w, http.StatusOK, list)
}

// SetHosts replaces the host list. Callers see it after HostsLag.
func (s *Server) SetHosts(list []objectstore.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostsAt{at: time.Now(), list: list})
}
