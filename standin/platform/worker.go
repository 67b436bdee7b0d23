package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a worker ran.
type Run struct {
	ID, Team, Path string
	Body           string
	Deadline       string
	Namespace      string
	Weights        uint64
	LastEventID    string
}

// Worker is a model engine, or a plain service when Model is empty. Its fields
// are set before it serves; the methods may be called at any time.
type Worker struct {
	ID      string
	Service string
	Model   string
	// Events is the number of events of a stream, Gap the time between them.
	Events int
	Gap    time.Duration
	// LoadTime is how long new weights take.
	LoadTime time.Duration

	mu       sync.Mutex
	weights  uint64
	orders   uint64
	busy     bool
	running  int
	runs     []Run
	fences   []uint64
	holders  []string
	failNext int
	failMode Fault
}

// Fault is what a worker does with a request instead of answering it.
type Fault string

// Faults of a worker.
const (
	// FaultShed refuses the request without running it.
	FaultShed Fault = "shed"
	// FaultError runs it and answers 500.
	FaultError Fault = "error"
	// FaultReset runs it and closes the connection without an answer.
	FaultReset Fault = "reset"
	// FaultCut closes the connection in the middle of the answer.
	FaultCut Fault = "cut"
	// FaultForeign answers another request first.
	FaultForeign Fault = "foreign"
)

// Fail gives the next n requests a fault.
func (w *Worker) Fail(n int, f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failNext, w.failMode = n, f
}

// SetWeights sets the version that the worker starts with.
func (w *Worker) SetWeights(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights = version
}

// Weights returns the version that the worker serves.
func (w *Worker) Weights() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.weights
}

// Runs returns the requests that the worker ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Fences returns the fencing tokens of the orders that arrived.
func (w *Worker) Fences() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]uint64(nil), w.fences...)
}

// Holders returns who sent the orders of Fences.
func (w *Worker) Holders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.holders...)
}

// Entry returns the worker's entry for the store.
func (w *Worker) Entry(address, zone, state string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := map[string]any{
		"service": w.Service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": 1,
	}
	if w.Model != "" {
		entry["models"] = []map[string]any{{"name": w.Model, "version": w.weights, "adapters": []string{}}}
	}
	return entry
}

// ServeHTTP answers requests and the calls to a worker's own interface.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.ID {
		rw.Header().Set("Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		w.report(rw)
	case "/order":
		w.order(rw, r)
	case "/kv-events":
		time.Sleep(20 * time.Millisecond)
		answer(rw, http.StatusOK, map[string]any{"boot_epoch": 1, "next": 1, "lost": false, "events": []any{}})
	default:
		w.request(rw, r)
	}
}

func (w *Worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{
		"stage": "both", "models": []map[string]any{{"name": w.Model, "version": w.weights}}, "busy": w.busy,
		"sequence": w.orders, "queued": 0, "running": w.running,
	})
}

func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  uint64  `json:"version"`
		Holder   string  `json:"holder"`
		Fence    uint64  `json:"fence"`
		Expected *uint64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fences, w.holders = append(w.fences, o.Fence), append(w.holders, o.Holder)
	switch {
	case w.weights == o.Version:
		rw.WriteHeader(http.StatusOK)
	case w.busy || o.Expected != nil && *o.Expected != w.orders:
		rw.WriteHeader(http.StatusConflict)
	default:
		w.busy = true
		w.orders++
		go w.load(o.Version)
		rw.WriteHeader(http.StatusAccepted)
	}
}

func (w *Worker) load(version uint64) {
	for w.active() > 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(w.LoadTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights, w.busy = version, false
}

func (w *Worker) active() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *Worker) request(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault, refused := w.begin(r, string(body))
	id := r.Header.Get("Request-Id")
	if refused != 0 {
		rw.Header().Set("Request-Id", id)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(refused)
		return
	}
	defer w.end()
	switch fault {
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultForeign:
		w.foreign(rw, id)
		return
	}
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Server-Stamp", w.ID+"."+id)
	if fault == FaultError {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	if w.Model != "" {
		w.stream(rw, r, fault)
		return
	}
	text := "answer to " + id
	if fault == FaultCut {
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)+10))
	}
	_, _ = io.WriteString(rw, text) // A caller that left needs no answer.
	if fault == FaultCut {
		panic(http.ErrAbortHandler)
	}
}

// begin notes a run, or returns the status of a refusal.
func (w *Worker) begin(r *http.Request, body string) (Fault, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fault Fault
	if w.failNext > 0 {
		w.failNext--
		fault = w.failMode
	}
	if fault == FaultShed || w.busy {
		return "", http.StatusServiceUnavailable
	}
	if v := r.Header.Get("Expect-Version"); v != "" && v != strconv.FormatUint(w.weights, 10) {
		return "", http.StatusMisdirectedRequest
	}
	w.running++
	w.runs = append(w.runs, Run{
		ID: r.Header.Get("Request-Id"), Team: r.Header.Get("Tenant"), Path: r.URL.RequestURI(), Body: body,
		Deadline: r.Header.Get("Deadline-Ms"), Namespace: r.Header.Get("Cache-Salt"), Weights: w.weights,
		LastEventID: r.Header.Get("Last-Event-Id"),
	})
	return fault, 0
}

func (w *Worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, fault Fault) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", strconv.FormatUint(w.Weights(), 10))
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	flusher := http.NewResponseController(rw)
	for n := first; n <= w.Events; n++ {
		if fault == FaultCut && n == first+w.Events/2 {
			_, _ = io.WriteString(rw, "id: "+strconv.Itoa(n)) // Half an event.
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
		time.Sleep(w.Gap)
	}
}

// foreign sends a whole answer to another request before the right one.
func (w *Worker) foreign(rw http.ResponseWriter, id string) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err) // The tests serve HTTP/1.1.
	}
	for _, to := range []string{"another", id} {
		text := "answer to " + to
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: " + to + "\r\nServer-Stamp: " + w.ID +
			"\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)
	}
	_ = buffered.Flush()
	_ = conn.Close()
}

// RunsOf returns the runs of one request.
func (w *Worker) RunsOf(id string) int {
	n := 0
	for _, r := range w.Runs() {
		if strings.EqualFold(r.ID, id) {
			n++
		}
	}
	return n
}
