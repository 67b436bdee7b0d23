// Package objectapi simulates the platform's object API for tests: versioned objects,
// conditional updates, watches, rate limits and the host list. Faults are injected
// through /admin/faults.
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

// Config holds the settings of the object API.
type Config struct {
	Address string `json:"address"`
	// ReadsPerSecond limits gets, lists, watches and host list requests. Default 2000.
	ReadsPerSecond float64 `json:"reads_per_second"`
	// WritesPerSecond limits puts and deletes. Default 400.
	WritesPerSecond float64 `json:"writes_per_second"`
	// Latency is added to each request. Default 2ms.
	Latency settings.Duration `json:"latency"`
	// HostsLag is the delay until a change of the host list is visible. Default 2s.
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

// Faults are the faults to inject, the body of POST /admin/faults.
type Faults struct {
	// Outage answers every request with 503.
	Outage bool `json:"outage"`
	// DelayMS is added to the latency of every request.
	DelayMS int `json:"delay_ms"`
	// LoseWriteResponses is the number of future writes that take effect without a
	// response.
	LoseWriteResponses int `json:"lose_answers"`
}

// RequestCounts counts requests by operation. A pending watch is one request.
type RequestCounts struct {
	Get    int `json:"get"`
	Put    int `json:"put"`
	Delete int `json:"delete"`
	List   int `json:"list"`
	Watch  int `json:"watch"`
	Hosts  int `json:"hosts"`
	// RateLimited and Refused count requests answered with 429 and 503, LostResponses
	// those without a response. They are also counted by operation.
	RateLimited   int `json:"rate_limited"`
	Refused       int `json:"refused"`
	LostResponses int `json:"lost"`
}

// hostListSnapshot is a host list and the time at which it was set.
type hostListSnapshot struct {
	setAt time.Time
	hosts []objectstore.Host
}

// Server serves the object API over HTTP.
type Server struct {
	*serve.Server
	cfg       Config
	startedAt time.Time

	mu                      sync.Mutex
	store                   *Store
	readBucket, writeBucket *TokenBucket
	faults                  Faults
	requestCounts           RequestCounts
	hostLists               []hostListSnapshot
	// changed is closed and replaced when an object or the faults change.
	changed chan struct{}
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	if cfg.Hosts == nil {
		cfg.Hosts = []objectstore.Host{}
	}
	s := &Server{
		cfg:         cfg,
		startedAt:   time.Now(),
		store:       NewStore(),
		readBucket:  NewTokenBucket(cfg.ReadsPerSecond),
		writeBucket: NewTokenBucket(cfg.WritesPerSecond),
		hostLists:   []hostListSnapshot{{hosts: cfg.Hosts}},
		changed:     make(chan struct{}),
	}
	s.Server = serve.New(cfg.Address, s.Handler())
	return s
}

// Handler returns the HTTP handler of the object API.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/objects/{key...}", s.wrapHandler(&s.requestCounts.Get, s.readBucket, s.get))
	m.HandleFunc("PUT /v1/objects/{key...}", s.wrapHandler(&s.requestCounts.Put, s.writeBucket, s.put))
	m.HandleFunc("DELETE /v1/objects/{key...}", s.wrapHandler(&s.requestCounts.Delete, s.writeBucket, s.delete))
	m.HandleFunc("GET /v1/objects", s.wrapHandler(&s.requestCounts.List, s.readBucket, s.list))
	m.HandleFunc("GET /v1/watch", s.wrapHandler(&s.requestCounts.Watch, s.readBucket, s.watch))
	m.HandleFunc("GET /v1/hosts", s.wrapHandler(&s.requestCounts.Hosts, s.readBucket, s.listHosts))
	m.HandleFunc("GET /admin/calls", s.handleAdminRequestCounts)
	m.HandleFunc("GET /admin/faults", s.handleAdminGetFaults)
	m.HandleFunc("POST /admin/faults", s.handleAdminSetFaults)
	m.HandleFunc("POST /admin/hosts", s.handleAdminSetHosts)
	return m
}

// wrapHandler adds counting, the rate limit, an injected outage and the latency to a
// handler.
func (s *Server) wrapHandler(counter *int, bucket *TokenBucket, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		*counter++
		faults := s.faults
		allowed := faults.Outage || bucket.Allow(time.Since(s.startedAt))
		switch {
		case faults.Outage:
			s.requestCounts.Refused++
		case !allowed:
			s.requestCounts.RateLimited++
		}
		s.mu.Unlock()
		time.Sleep(s.cfg.Latency.AsDuration() + time.Duration(faults.DelayMS)*time.Millisecond)
		switch {
		case faults.Outage:
			serve.WriteError(w, http.StatusServiceUnavailable, "unavailable", "outage")
		case !allowed:
			w.Header().Set("Retry-After", "1")
			serve.WriteError(w, http.StatusTooManyRequests, "rate_limited", "too many calls per second")
		default:
			next(w, r)
		}
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.store.Get(r.PathValue("key"))
	s.mu.Unlock()
	if !ok {
		serve.WriteError(w, http.StatusNotFound, "not_found", "")
		return
	}
	setVersion(w, o.Version)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value)
}

func setVersion(w http.ResponseWriter, v uint64) {
	w.Header().Set("Object-Version", strconv.FormatUint(v, 10))
}

func parseIfVersion(r *http.Request) (uint64, error) {
	header := r.Header.Get("If-Version")
	if header == "" {
		return AnyVersion, nil
	}
	return strconv.ParseUint(header, 10, 64)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.write(w, r, func(key string, expectedVersion uint64) (uint64, error) {
		return s.store.Put(key, value, expectedVersion)
	})
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, s.store.Delete)
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, apply func(string, uint64) (uint64, error)) {
	expectedVersion, err := parseIfVersion(r)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "bad_request", "If-Version is not a number")
		return
	}
	s.mu.Lock()
	version, err := apply(r.PathValue("key"), expectedVersion)
	loseResponse := s.faults.LoseWriteResponses > 0 && err == nil
	if loseResponse {
		s.faults.LoseWriteResponses--
		s.requestCounts.LostResponses++
	}
	if err == nil {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if loseResponse {
		serve.AbortConnection()
	}
	setVersion(w, version)
	switch {
	case errors.Is(err, objectstore.ErrConflict):
		serve.WriteError(w, http.StatusConflict, "conflict", "the object has another version")
	case errors.Is(err, objectstore.ErrTooLarge):
		serve.WriteError(w, http.StatusRequestEntityTooLarge, "too_large", "the value exceeds 1 MB")
	case errors.Is(err, objectstore.ErrNotFound):
		serve.WriteError(w, http.StatusNotFound, "not_found", "")
	default:
		serve.WriteJSON(w, http.StatusOK, map[string]uint64{"version": version})
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := s.store.List(r.URL.Query().Get("prefix"))
	version := s.store.Version()
	s.mu.Unlock()
	// The store's version lets the client start a watch at the version of its list.
	setVersion(w, version)
	serve.WriteJSON(w, http.StatusOK, list)
}

// Default and maximum timeout of a watch.
const (
	defaultWatchTimeout = 30 * time.Second
	maxWatchTimeout     = 5 * time.Minute
)

type watchResponse struct {
	Version uint64               `json:"version"`
	Changes []objectstore.Change `json:"changes"`
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "bad_request", "since is not a number")
		return
	}
	timeout := defaultWatchTimeout
	if ms, err := strconv.Atoi(q.Get("timeout_ms")); err == nil {
		timeout = min(time.Duration(ms)*time.Millisecond, maxWatchTimeout)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changes, err := s.store.ChangesSince(q.Get("prefix"), since)
		version, changed, outage := s.store.Version(), s.changed, s.faults.Outage
		s.mu.Unlock()
		switch {
		case outage:
			serve.WriteError(w, http.StatusServiceUnavailable, "unavailable", "outage")
			return
		case err != nil:
			serve.WriteError(w, http.StatusGone, "compacted", "list the objects again")
			return
		case len(changes) > 0:
			serve.WriteJSON(w, http.StatusOK, watchResponse{version, changes})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			serve.WriteJSON(w, http.StatusOK, watchResponse{version, changes})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	visibleUntil := time.Now().Add(-s.cfg.HostsLag.AsDuration())
	s.mu.Lock()
	for len(s.hostLists) > 1 && !s.hostLists[1].setAt.After(visibleUntil) {
		s.hostLists = s.hostLists[1:]
	}
	list := s.hostLists[0].hosts
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) handleAdminRequestCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := s.requestCounts
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, calls)
}

func (s *Server) handleAdminGetFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, faults)
}

func (s *Server) handleAdminSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !serve.ReadJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	serve.WriteJSON(w, http.StatusOK, f)
}

// SetFaults replaces all faults. An outage ends pending watches at once.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) handleAdminSetHosts(w http.ResponseWriter, r *http.Request) {
	var list []objectstore.Host
	if !serve.ReadJSON(w, r, &list) {
		return
	}
	s.SetHosts(list)
	serve.WriteJSON(w, http.StatusOK, list)
}

// SetHosts replaces the host list. Clients see the new list after HostsLag.
func (s *Server) SetHosts(list []objectstore.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLists = append(s.hostLists, hostListSnapshot{setAt: time.Now(), hosts: list})
}
