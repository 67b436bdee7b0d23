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

// ExecutedRequest is a request that an endpoint executed.
type ExecutedRequest struct {
	// At is when the request arrived.
	At                   time.Time
	RequestID, Team, URI string
	Body                 string
	DeadlineMS           string
	CacheNamespace       string
	WeightsVersion       uint64
	LastEventID          string
}

// Endpoint simulates a model engine, or an endpoint of a plain service if Model is
// empty. Its exported fields must be set before it serves; its methods are safe for
// concurrent use.
type Endpoint struct {
	ID      string
	Service string
	Model   string
	// SoftwareVersion is the version of the endpoint's software, "v1" if empty. The events
	// of a stream contain it.
	SoftwareVersion string
	// StreamEvents is the number of events of a stream, EventInterval the time between
	// them.
	StreamEvents  int
	EventInterval time.Duration
	// EventPadding is the number of bytes of a comment in each event, or 0, and AnswerPadding the
	// number of bytes before each answer of a plain service.
	EventPadding, AnswerPadding int
	// ResponseDelay is the time that a plain service takes to answer.
	ResponseDelay time.Duration
	// WeightsLoadTime is the time that loading new weights takes.
	WeightsLoadTime time.Duration
	// Queue holds requests for the model until it is closed, if it is not nil. A request
	// whose caller disconnects meanwhile does not begin.
	Queue chan struct{}
	// CrashingPart is the ID of a prompt part, in hexadecimal. An endpoint of an
	// EndpointHost crashes when it begins to answer a request with that part. Empty for
	// none.
	CrashingPart string
	// CrashAfterEvents is the number of events that it sends before that crash. With 0, it sends
	// the head of its answer.
	CrashAfterEvents int

	// crash ends the endpoint like a process that is killed. It is set by EndpointHost.
	crash func()
	mu    sync.Mutex
	// entrySequence is the number of entries that the endpoint has written.
	entrySequence   uint64
	weightsVersion  uint64
	acceptedOrders  uint64
	orderInProgress bool
	runningRequests int
	executed        []ExecutedRequest
	begunStreams    int
	cacheEventReads int
	fencingTokens   []uint64
	orderHolders    []string
	orderVersions   []uint64
	faultsLeft      int
	fault           Fault
	// resumedFailure is the response to requests that resume a stream, if it is not nil.
	resumedFailure *resumedFailure
	// executedStatus is the status of the responses to all executed requests, or 0.
	executedStatus int
	// repeatsRefusals makes refusals come twice.
	repeatsRefusals bool
	// responseHeader is added to all responses.
	responseHeader http.Header
}

// Fault is an injected failure to answer a request.
type Fault string

// Faults of an endpoint.
const (
	// FaultNotExecuted rejects the request without executing it.
	FaultNotExecuted Fault = "shed"
	// FaultError executes the request and answers 500.
	FaultError Fault = "error"
	// FaultRefusalStatus executes the request and answers 503.
	FaultRefusalStatus Fault = "refusal status"
	// FaultNoResponse executes the request and closes the connection without a
	// response.
	FaultNoResponse Fault = "reset"
	// FaultTruncatedResponse executes the request and closes the connection in the
	// middle of the response.
	FaultTruncatedResponse Fault = "cut"
	// FaultForeignResponse executes the request and sends a response to another
	// request before the correct one.
	FaultForeignResponse Fault = "foreign"
	// FaultCrash executes the request and crashes the endpoint when it begins to answer.
	// Only endpoints of an EndpointHost can crash.
	FaultCrash Fault = "crash"
)

// InjectFault makes the next n requests fail with fault f.
func (e *Endpoint) InjectFault(n int, f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultsLeft, e.fault = n, f
}

// resumedFailure is a response that is no stream.
type resumedFailure struct {
	status            int
	contentType, body string
}

// FailResumedStreams makes the endpoint execute requests that resume a stream and answer them
// with something else from now on.
func (e *Endpoint) FailResumedStreams(status int, contentType, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumedFailure = &resumedFailure{status, contentType, body}
}

// FailExecuted makes the endpoint execute all requests and answer them with the status from
// now on. 0 makes it sound again.
func (e *Endpoint) FailExecuted(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executedStatus = status
}

// failExecuted answers an executed request with a failure, if it must fail.
func (e *Endpoint) failExecuted(rw http.ResponseWriter) bool {
	e.mu.Lock()
	status := e.executedStatus
	e.mu.Unlock()
	if status == 0 {
		return false
	}
	rw.WriteHeader(status)
	return true
}

// failResumed answers a request that resumes a stream, if it must fail.
func (e *Endpoint) failResumed(rw http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	f := e.resumedFailure
	e.mu.Unlock()
	if f == nil || r.Header.Get("Last-Event-Id") == "" {
		return false
	}
	rw.Header().Set("Content-Type", f.contentType)
	rw.WriteHeader(f.status)
	_, _ = io.WriteString(rw, f.body) // Fails only if the client disconnected.
	return true
}

// SetResponseHeader adds a header to all responses from now on. An empty value removes it.
func (e *Endpoint) SetResponseHeader(name, value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.responseHeader == nil {
		e.responseHeader = http.Header{}
	}
	if value == "" {
		e.responseHeader.Del(name)
		return
	}
	e.responseHeader.Set(name, value)
}

func (e *Endpoint) addResponseHeader(to http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, values := range e.responseHeader {
		to[name] = values
	}
}

// SetWeightsVersion sets the weights version that the endpoint serves.
func (e *Endpoint) SetWeightsVersion(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weightsVersion = version
}

// WeightsVersion returns the weights version that the endpoint serves.
func (e *Endpoint) WeightsVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weightsVersion
}

// ExecutedRequests returns the requests that the endpoint executed, in order of arrival.
func (e *Endpoint) ExecutedRequests() []ExecutedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ExecutedRequest(nil), e.executed...)
}

// BegunStreams returns the number of streams that the endpoint has begun.
func (e *Endpoint) BegunStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begunStreams
}

func (e *Endpoint) countCacheEventRead() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheEventReads++
}

// CacheEventReads returns the number of requests for cache events.
func (e *Endpoint) CacheEventReads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheEventReads
}

// OrderFencingTokens returns the fencing tokens of all weights orders that arrived,
// accepted or not.
func (e *Endpoint) OrderFencingTokens() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.fencingTokens...)
}

// OrderHolders returns the lease holders that sent the orders of OrderFencingTokens, in
// the same order.
func (e *Endpoint) OrderHolders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orderHolders...)
}

// OrderVersions returns the weights versions of the orders of OrderFencingTokens, in the
// same order.
func (e *Endpoint) OrderVersions() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.orderVersions...)
}

// StoreEntry returns the entry with which the endpoint registers in the store. Each has a higher
// sequence than the one before.
func (e *Endpoint) StoreEntry(address, zone, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entrySequence++
	entry := map[string]any{
		"service": e.Service, "address": address, "zone": zone, "version": e.softwareVersion(), "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": e.entrySequence,
	}
	if e.Model != "" {
		entry["models"] = []map[string]any{{"name": e.Model, "version": e.weightsVersion, "adapters": []string{}}}
	}
	return entry
}

func (e *Endpoint) softwareVersion() string {
	if e.SoftwareVersion == "" {
		return "v1"
	}
	return e.SoftwareVersion
}

// ServeHTTP serves the engine API and executes all other requests.
func (e *Endpoint) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	e.addResponseHeader(rw.Header())
	repeatRefusal(r)
	if expectedID := r.Header.Get("Expect-Instance"); expectedID != "" && expectedID != e.ID {
		e.refuse(rw, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.serveStatus(rw)
	case "/order":
		e.serveOrder(rw, r)
	case "/kv-events":
		e.countCacheEventRead()
		time.Sleep(20 * time.Millisecond)
		writeJSON(rw, http.StatusOK, map[string]any{"boot_epoch": 1, "next": 1, "lost": false, "events": []any{}})
	default:
		e.serveRequest(rw, r)
	}
}

func (e *Endpoint) serveStatus(rw http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{
		"stage": "both", "models": []map[string]any{{"name": e.Model, "version": e.weightsVersion}}, "busy": e.orderInProgress,
		"sequence": e.acceptedOrders, "queued": 0, "running": e.runningRequests,
	})
}

func (e *Endpoint) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Version        uint64  `json:"version"`
		Holder         string  `json:"holder"`
		FencingToken   uint64  `json:"fence"`
		ExpectedOrders *uint64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fencingTokens, e.orderHolders = append(e.fencingTokens, order.FencingToken), append(e.orderHolders, order.Holder)
	e.orderVersions = append(e.orderVersions, order.Version)
	switch {
	case e.weightsVersion == order.Version:
		rw.WriteHeader(http.StatusOK)
	case e.orderInProgress || order.ExpectedOrders != nil && *order.ExpectedOrders != e.acceptedOrders:
		rw.WriteHeader(http.StatusConflict)
	default:
		e.orderInProgress = true
		e.acceptedOrders++
		go e.loadWeights(order.Version)
		rw.WriteHeader(http.StatusAccepted)
	}
}

func (e *Endpoint) loadWeights(version uint64) {
	for e.runningRequestCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(e.WeightsLoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weightsVersion, e.orderInProgress = version, false
}

func (e *Endpoint) runningRequestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runningRequests
}

func (e *Endpoint) serveRequest(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault, refusalStatus := e.beginRequest(r, string(body))
	id := r.Header.Get("Request-Id")
	if refusalStatus != 0 {
		e.refuse(rw, r, refusalStatus)
		return
	}
	defer e.endRequest()
	switch fault {
	case FaultNoResponse:
		panic(http.ErrAbortHandler)
	case FaultForeignResponse:
		e.sendForeignResponse(rw, id)
		return
	}
	if e.serveRaw(rw, id, fault) {
		return
	}
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Server-Stamp", e.ID+"."+id)
	crashedByPart := e.isCrashedBy(r)
	if fault == FaultCrash || crashedByPart && e.CrashAfterEvents == 0 {
		_ = http.NewResponseController(rw).Flush() // The crash follows in any case.
		e.crash()
		panic(http.ErrAbortHandler)
	}
	switch fault {
	case FaultError:
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case FaultRefusalStatus:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.failExecuted(rw) || e.failResumed(rw, r) {
		return
	}
	if e.Model != "" {
		e.serveStream(rw, r, fault, crashedByPart)
		return
	}
	select {
	case <-time.After(e.ResponseDelay):
	case <-r.Context().Done():
		return
	}
	text := strings.Repeat("x", e.AnswerPadding) + "answer to " + id
	if fault == FaultTruncatedResponse {
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)+10))
	}
	_, _ = io.WriteString(rw, text) // Fails only if the client disconnected.
	if fault == FaultTruncatedResponse {
		panic(http.ErrAbortHandler)
	}
}

// beginRequest records the request as executed and returns its fault, or returns the
// status with which the request is rejected.
func (e *Endpoint) beginRequest(r *http.Request, body string) (Fault, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var fault Fault
	if e.faultsLeft > 0 {
		e.faultsLeft--
		fault = e.fault
	}
	if fault == FaultNotExecuted || e.orderInProgress {
		return "", http.StatusServiceUnavailable
	}
	if v := r.Header.Get("Expect-Version"); v != "" && v != strconv.FormatUint(e.weightsVersion, 10) {
		return "", http.StatusMisdirectedRequest
	}
	e.runningRequests++
	e.executed = append(e.executed, ExecutedRequest{
		At: time.Now(), RequestID: r.Header.Get("Request-Id"), Team: r.Header.Get("Tenant"), URI: r.URL.RequestURI(), Body: body,
		DeadlineMS: r.Header.Get("Deadline-Ms"), CacheNamespace: r.Header.Get("Cache-Salt"), WeightsVersion: e.weightsVersion,
		LastEventID: r.Header.Get("Last-Event-Id"),
	})
	return fault, 0
}

// isCrashedBy reports whether a request has the part that crashes the endpoint.
func (e *Endpoint) isCrashedBy(r *http.Request) bool {
	if e.CrashingPart == "" {
		return false
	}
	for part := range strings.SplitSeq(r.Header.Get("Prefix-Hash"), ",") {
		if id, _, _ := strings.Cut(strings.TrimSpace(part), ":"); strings.EqualFold(id, e.CrashingPart) {
			return true
		}
	}
	return false
}

func (e *Endpoint) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningRequests--
}

// waitInQueue waits until the request may begin. It returns false if the caller
// disconnects before that.
func (e *Endpoint) waitInQueue(r *http.Request) bool {
	if e.Queue != nil {
		select {
		case <-e.Queue:
		case <-r.Context().Done():
			return false
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begunStreams++
	return true
}

func (e *Endpoint) serveStream(rw http.ResponseWriter, r *http.Request, fault Fault, crashes bool) {
	if !e.waitInQueue(r) {
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", strconv.FormatUint(e.WeightsVersion(), 10))
	first := 1
	if lastEventID := r.Header.Get("Last-Event-Id"); lastEventID != "" {
		n, err := strconv.Atoi(lastEventID)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	padding := ""
	if e.EventPadding > 0 {
		padding = ": " + strings.Repeat("x", e.EventPadding) + "\n"
	}
	flusher := http.NewResponseController(rw)
	for n := first; n <= e.StreamEvents; n++ {
		if fault == FaultTruncatedResponse && n == first+e.StreamEvents/2 {
			_, _ = io.WriteString(rw, "id: "+strconv.Itoa(n)) // An incomplete event.
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if crashes && n == first+e.CrashAfterEvents {
			time.Sleep(e.EventInterval) // The last event is on its way when the endpoint crashes.
			e.crash()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\n%sdata: token %d of %s\n\n", n, padding, n, e.softwareVersion()); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
		time.Sleep(e.EventInterval)
	}
}

// sendForeignResponse sends a complete response to another request before the correct
// response.
func (e *Endpoint) sendForeignResponse(rw http.ResponseWriter, ownRequestID string) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err) // Tests serve HTTP/1.1, which supports Hijack.
	}
	for _, requestID := range []string{"another", ownRequestID} {
		text := "answer to " + requestID
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: " + requestID + "\r\nServer-Stamp: " + e.ID +
			"\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)
	}
	_ = buffered.Flush()
	_ = conn.Close()
}

// ExecutionCount returns how often the endpoint executed one request.
func (e *Endpoint) ExecutionCount(requestID string) int {
	n := 0
	for _, r := range e.ExecutedRequests() {
		if strings.EqualFold(r.RequestID, requestID) {
			n++
		}
	}
	return n
}
