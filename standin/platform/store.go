// Package platform is a stand-in of the users' platform: its store, its model
// engines and its plain services, with the faults that tests need. It follows the
// published protocol and shares no code with the product.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata identifies an object.
type Metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type changeEvent struct {
	kind     string
	revision uint64
	Object   Object `json:"object"`
	Removed  bool   `json:"removed"`
}

// Store is the platform's store. Its zero value is ready to use.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	objects           map[string]map[string]Object
	events            []changeEvent
	compactedRevision uint64
	changed           chan struct{}
	// silent means that watches hear nothing of changes.
	suppressEvents bool
	// loseWrites is the number of writes that are done and not answered.
	responsesToLose int
	callCounts      map[string]int
}

// Put writes an object as the operator or an endpoint does.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // The tests write plain values.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: text})
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// LoseWrites makes the next n writes take effect without an answer.
func (s *Store) LoseWriteResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// ChangeSilently calls change, which writes objects, and drops the history. The
// waiting watches hear nothing of either.
func (s *Store) ChangeWithoutEvents(change func()) {
	s.setSuppressEvents(true)
	change()
	s.setSuppressEvents(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedRevision = nil, s.revision
}

func (s *Store) setSuppressEvents(suppress bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suppressEvents = suppress
}

// Calls returns how many calls of a method came for a kind.
func (s *Store) CallCount(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[method+" "+kind]
}

func (s *Store) initialize() {
	if s.objects == nil {
		s.objects = map[string]map[string]Object{}
		s.callCounts = map[string]int{}
		s.changed = make(chan struct{})
	}
}

func (s *Store) put(kind string, o Object) Object {
	s.initialize()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.revision++
	o.Metadata.CreateRevision = s.revision
	if old, ok := s.objects[kind][o.Metadata.Name]; ok {
		o.Metadata.CreateRevision = old.Metadata.CreateRevision
	}
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = o
	s.publish(changeEvent{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	s.initialize()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.publish(changeEvent{kind: kind, revision: s.revision, Object: o, Removed: true})
}

func (s *Store) publish(e changeEvent) {
	if s.suppressEvents {
		return
	}
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls below /objects/.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pathSegments := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	s.initialize()
	s.callCounts[r.Method+" "+pathSegments[0]]++
	s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && len(pathSegments) == 1 && r.URL.Query().Get("watch") != "":
		s.watch(w, r, pathSegments[0])
	case r.Method == http.MethodGet && len(pathSegments) == 1:
		s.list(w, pathSegments[0])
	case r.Method == http.MethodGet:
		s.get(w, pathSegments[0], pathSegments[1])
	default:
		s.write(w, r, pathSegments)
	}
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events, revision, compacted, changed := s.eventsSince(kind, since), s.revision, since < s.compactedRevision, s.changed
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-deadline.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []changeEvent{}, "store_revision": revision})
			return
		}
	}
}

func (s *Store) eventsSince(kind string, since uint64) []changeEvent {
	var out []changeEvent
	for _, e := range s.events {
		if e.kind == kind && e.revision > since {
			out = append(out, e)
		}
	}
	return out
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, pathSegments []string) {
	var o Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	status, result := s.apply(r.Method, pathSegments, o)
	s.mu.Lock()
	lose := s.responsesToLose > 0 && status < http.StatusMultipleChoices
	if lose {
		s.responsesToLose--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, result)
}

func (s *Store) apply(method string, pathSegments []string, o Object) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := o.Metadata.Name
	if len(pathSegments) > 1 {
		name = pathSegments[1]
	}
	old, exists := s.objects[pathSegments[0]][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.remove(pathSegments[0], name)
		return http.StatusOK, nil
	}
	o.Metadata.Name = name
	return http.StatusOK, s.put(pathSegments[0], o)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A caller that left needs no answer.
}

// Gate is one caller's way to the store, which can be closed.
type StoreProxy struct {
	Store *Store

	mu          sync.Mutex
	unavailable bool
	// held is closed when held calls may go on, nil when none is held.
	resumed     chan struct{}
	cancelCalls map[*http.Request]context.CancelFunc
}

// Close makes the store answer 503 to this caller and cuts its waiting calls.
func (g *StoreProxy) MakeUnavailable() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unavailable = true
	for _, cancel := range g.cancelCalls {
		cancel()
	}
}

// Hold lets calls wait until Release.
func (g *StoreProxy) PauseCalls() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumed = make(chan struct{})
}

// Release lets held calls go on.
func (g *StoreProxy) ResumeCalls() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

// ServeHTTP passes a call on to the store.
func (g *StoreProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	g.mu.Lock()
	if g.unavailable {
		g.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if g.cancelCalls == nil {
		g.cancelCalls = map[*http.Request]context.CancelFunc{}
	}
	g.cancelCalls[r] = cancel
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
			return
		}
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.cancelCalls, r)
	}()
	g.Store.ServeHTTP(w, r.WithContext(ctx))
}
