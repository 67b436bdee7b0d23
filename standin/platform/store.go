// Package platform simulates the users' platform for tests: its object store, its model
// engines and its plain services, with fault injection. It implements the published
// protocol and shares no code with the router.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object in the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata holds the name, the revisions and the deletion state of an object.
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

// Store is an in-memory implementation of the platform's object store. Its zero value
// is ready to use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	events   []changeEvent
	// compactedRevision is the latest revision whose events were discarded.
	compactedRevision uint64
	// changed is closed and replaced when an event is recorded.
	changed chan struct{}
	// suppressEvents keeps changes out of events and from watches.
	suppressEvents bool
	// responsesToLose is the number of future writes that take effect without a
	// response.
	responsesToLose int
	requestCounts   map[string]int
	// restores counts the calls of Restore. It is the store's era.
	restores uint64
	// external has the last state that operators and endpoints gave each object, by kind
	// and name. The state of a removed object has no spec.
	external map[string]map[string]Object
}

// StoreCopy is the state of a Store at some moment.
type StoreCopy struct {
	revision uint64
	objects  map[string]map[string]Object
	events   []changeEvent
}

// Copy returns the current state of the store.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &StoreCopy{revision: s.revision, objects: map[string]map[string]Object{}, events: slices.Clone(s.events)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Restore replaces the state of the store by a copy. All changes after the copy are lost,
// revisions go back, the era rises and pending watches are cut.
func (s *Store) Restore(c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initialize()
	s.revision, s.objects, s.events = c.revision, map[string]map[string]Object{}, slices.Clone(c.events)
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.restores++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Rewrite lets operators and endpoints write again what a copy of the store lacks.
func (s *Store) Rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, objects := range s.external {
		for name, o := range objects {
			stored, exists := s.objects[kind][name]
			switch {
			case o.Spec == nil:
				s.remove(kind, name)
			case !exists || !bytes.Equal(stored.Spec, o.Spec):
				s.put(kind, o)
			}
		}
	}
}

func (s *Store) recordExternal(kind string, o Object) {
	if s.external == nil {
		s.external = map[string]map[string]Object{}
	}
	if s.external[kind] == nil {
		s.external[kind] = map[string]Object{}
	}
	s.external[kind][o.Metadata.Name] = o
}

// Put creates or replaces an object, as an operator or endpoint would.
func (s *Store) Put(kind, name string, spec any) {
	specJSON, err := json.Marshal(spec)
	if err != nil {
		panic(err) // Tests pass only values that can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Object{Metadata: Metadata{Name: name}, Spec: specJSON}
	s.recordExternal(kind, o)
	s.put(kind, o)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordExternal(kind, Object{Metadata: Metadata{Name: name}})
	s.remove(kind, name)
}

// LoseWriteResponses lets the next n successful writes take effect without a response.
func (s *Store) LoseWriteResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// ChangeWithoutEvents calls change, which writes objects, without reporting the writes
// to watches. It then discards the event history without waking pending watches.
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

// Names returns the names of the objects of a kind, sorted.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// RequestCount returns the number of requests with an HTTP method for an object kind.
func (s *Store) RequestCount(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[method+" "+kind]
}

func (s *Store) initialize() {
	if s.objects == nil {
		s.objects = map[string]map[string]Object{}
		s.requestCounts = map[string]int{}
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

// firstEra is the era of a store that never came back from a copy.
const firstEra = 1

// ServeHTTP serves the store's API below /objects/.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pathSegments := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	s.initialize()
	s.requestCounts[r.Method+" "+pathSegments[0]]++
	era := s.restores + firstEra
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
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
	// The response is written without the lock: a client that hears nothing must not stop the others.
	s.mu.Lock()
	items, revision := []Object{}, s.revision
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
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
	s.mu.Lock()
	restores := s.restores
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events, revision, changed := s.eventsSince(kind, since), s.revision, s.changed
		compacted := since < s.compactedRevision || since > s.revision
		restored := s.restores != restores
		s.mu.Unlock()
		if restored {
			panic(http.ErrAbortHandler)
		}
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
	loseResponse := s.responsesToLose > 0 && status < http.StatusMultipleChoices
	if loseResponse {
		s.responsesToLose--
	}
	s.mu.Unlock()
	if loseResponse {
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
	_ = json.NewEncoder(w).Encode(body) // Fails only if the client disconnected.
}

// StoreProxy passes one client's requests to the store. It can make the store
// unavailable to this client or delay its requests.
type StoreProxy struct {
	Store *Store

	mu          sync.Mutex
	unavailable bool
	// resumed is closed when paused requests may continue. It is nil if requests are
	// not paused.
	resumed chan struct{}
	// pausedKind restricts the pause to requests about a kind of objects. Empty for all.
	pausedKind string
	// silence holds back the responses to pending and later requests until it is closed. It
	// is nil while responses get through.
	silence     chan struct{}
	cancelFuncs map[*http.Request]context.CancelFunc
}

// MakeUnavailable cancels the client's pending requests and answers later ones with 503.
func (p *StoreProxy) MakeUnavailable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = true
	for _, cancel := range p.cancelFuncs {
		cancel()
	}
}

// PauseRequests delays new requests until ResumeRequests.
func (p *StoreProxy) PauseRequests() { p.PauseKind("") }

// PauseKind delays new requests about a kind of objects until ResumeRequests.
func (p *StoreProxy) PauseKind(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed, p.pausedKind = make(chan struct{}), kind
}

// ResumeRequests lets paused requests continue.
func (p *StoreProxy) ResumeRequests() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// Silence holds back the responses to pending and later requests until EndSilence, as a
// network that drops packets in one direction does.
func (p *StoreProxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence = make(chan struct{})
}

// EndSilence lets the responses through that Silence holds back.
func (p *StoreProxy) EndSilence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silence != nil {
		close(p.silence)
		p.silence = nil
	}
}

// waitForSilence waits until no response is held back or ctx is done.
func (p *StoreProxy) waitForSilence(ctx context.Context) {
	p.mu.Lock()
	silence := p.silence
	p.mu.Unlock()
	if silence == nil {
		return
	}
	select {
	case <-silence:
	case <-ctx.Done():
	}
}

// silencedWriter waits for the end of a silence before it writes a response.
type silencedWriter struct {
	http.ResponseWriter
	proxy   *StoreProxy
	request *http.Request
}

// WriteHeader implements http.ResponseWriter.
func (w *silencedWriter) WriteHeader(status int) {
	w.proxy.waitForSilence(w.request.Context())
	w.ResponseWriter.WriteHeader(status)
}

// ServeHTTP passes a request to the store.
func (p *StoreProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	p.mu.Lock()
	if p.unavailable {
		p.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if p.cancelFuncs == nil {
		p.cancelFuncs = map[*http.Request]context.CancelFunc{}
	}
	p.cancelFuncs[r] = cancel
	resumed := p.resumed
	if !strings.Contains(r.URL.Path, p.pausedKind) {
		resumed = nil
	}
	p.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
			return
		}
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.cancelFuncs, r)
	}()
	p.Store.ServeHTTP(&silencedWriter{w, p, r}, r.WithContext(ctx))
}
