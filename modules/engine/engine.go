// Package engine is the module "engine": the client for the endpoint beside an agent,
// which is a model engine or a plain service.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/internal/content"
	"github.com/arbutusline/arbutusline/internal/httpcheck"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "engine"

// Errors of the client.
var (
	// ErrNotSent means that nothing was sent to the endpoint: the request has
	// not run.
	ErrNotSent = errors.New("nothing was sent to the endpoint")
	// ErrRejected means that the endpoint responded that it did not run the
	// request.
	ErrRejected = errors.New("the endpoint rejected the request")
	// ErrFailed means that the endpoint responded with an error that does not
	// state that it did not run the request: the request may have run.
	ErrFailed = errors.New("the endpoint failed the request")
	// ErrConnectionBroken means that the request may have been sent and no
	// complete answer was received: the request may have run.
	ErrConnectionBroken = errors.New("the connection to the endpoint broke")
	// ErrAnswerTooLarge means that the answer exceeds maxAnswerBytes or the memory that is left
	// for answers.
	ErrAnswerTooLarge = errors.New("the answer of the endpoint is too large")
)

// headerNotRun in an error response of an engine states that it did not run the request. The
// status alone promises nothing.
const headerNotRun = "X-Not-Run"

// Maximum sizes of an event of a stream and of the answer of a plain service.
const (
	maxEventBytes  = 1 << 20
	maxAnswerBytes = 8 << 20
	maxHeadBytes   = 64 << 10
)

const (
	connectTimeout = 2 * time.Second
	// controlCallTimeout bounds one poll of the engine or one cancel call to it.
	controlCallTimeout  = 2 * time.Second
	maxIdleConnsPerHost = 256
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Engine{PollInterval: settings.Duration(100 * time.Millisecond), MaxRunning: 16}
	})
}

// Engine is the client for the endpoint beside the agent.
type Engine struct {
	// URL is the base URL of the endpoint. Required.
	URL string `json:"url"`
	// PlainService is true for a plain service, which does not implement the
	// engine protocol. Default false.
	PlainService bool `json:"service"`
	// PollInterval is the interval at which the state, load and cache events of
	// the engine are read. Default "100ms".
	PollInterval settings.Duration `json:"poll"`
	// MaxRunning is the maximum number of attempts that run at the same time.
	// Default 16.
	MaxRunning int `json:"max_running"`

	log    *logrus.Entry
	memory *bytebudget.Pool
	// client keeps its connections. It polls and controls the endpoint.
	client *http.Client
	// requestClient opens a connection for each request.
	requestClient *http.Client
	info          atomic.Pointer[Info]
	observer      Observer
	cancel        context.CancelFunc
	pollLoopDone  chan struct{}
	probeRequests chan struct{}
}

// Observer is notified of the state of the engine. Its methods are called from one
// goroutine.
type Observer interface {
	// EngineUp is called when the engine reports a new incarnation or weights
	// version.
	EngineUp(Info)
	// EngineAlive is called after Probe if the engine still has the same
	// incarnation.
	EngineAlive()
	// EngineDown is called when the engine stops responding, and before an
	// EngineUp with another incarnation.
	EngineDown()
	// EngineLoad passes a load report.
	EngineLoad(LoadReport)
	// EngineCacheEvents passes a batch of cache events.
	EngineCacheEvents(CacheEventBatch)
	// EngineCacheSnapshot passes a snapshot of the cached blocks that includes all
	// events up to sequence number lastSeq.
	EngineCacheSnapshot(incarnation, lastSeq uint64, blocks []uint64)
}

// ModuleName returns "engine".
func (e *Engine) ModuleName() string { return Name }

// Provision creates the HTTP clients.
func (e *Engine) Provision(k *arbutusline.Kernel) error {
	e.log = k.Log.WithField("module", Name)
	e.probeRequests = make(chan struct{}, 1)
	m, err := arbutusline.Lookup[*memory.Memory](k, memory.Name)
	if err != nil {
		return err
	}
	e.createClients(m.Endpoints())
	return nil
}

// createClients creates the HTTP clients, whose responses share the memory.
func (e *Engine) createClients(memory *bytebudget.Pool) {
	e.memory = memory
	dial := httpcheck.Dialer(&net.Dialer{Timeout: connectTimeout})
	e.client = httpcheck.NewClient(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes,
	})
	// The response to an earlier request can come once more on a connection, without anything that
	// tells it from the next one. The HTTP client also repeats a request with an Idempotency-Key
	// header by itself if a reused connection breaks.
	e.requestClient = httpcheck.NewClient(&http.Transport{
		DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// Validate checks the settings.
func (e *Engine) Validate() error {
	if !strings.HasPrefix(e.URL, "http://") && !strings.HasPrefix(e.URL, "https://") {
		return errors.Newf("url %q does not start with http:// or https://", e.URL)
	}
	if e.MaxRunning <= 0 || e.PollInterval.AsDuration() <= 0 {
		return errors.New("max_running and poll must be positive")
	}
	return nil
}

// Observe sets the observer. Call it before Start.
func (e *Engine) Observe(o Observer) { e.observer = o }

// CompletionRequest is the body of POST /v1/completions of a model engine.
type CompletionRequest struct {
	RequestID      string   `json:"request_id"`
	Model          string   `json:"model"`
	Adapter        string   `json:"adapter,omitempty"`
	Prompt         string   `json:"prompt"`
	MaxTokens      int      `json:"max_tokens"`
	Priority       int      `json:"priority"`
	Stream         bool     `json:"stream"`
	ResumeTokens   int      `json:"resume_tokens,omitempty"`
	ResumeText     string   `json:"resume_text,omitempty"`
	BlockHashes    []uint64 `json:"block_hashes,omitempty"`
	WeightsVersion string   `json:"weights_version,omitempty"`
	Team           string   `json:"team,omitempty"`
	IdempotencyKey string   `json:"idempotency_key,omitempty"`
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// CompletionResult is the end of a completion.
type CompletionResult struct {
	FinishReason string
	Usage        Usage
}

type streamEvent struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	Done         bool   `json:"done"`
	FinishReason string `json:"finish_reason"`
	Usage        Usage  `json:"usage"`
	Error        string `json:"error"`
}

// Complete runs a completion and calls emit for each token in order. Its error is
// ErrNotSent, ErrRejected, ErrFailed, ErrConnectionBroken or the error of emit.
func (e *Engine) Complete(ctx context.Context, c CompletionRequest, emit func(index int, text string) error) (CompletionResult, error) {
	c.Stream = true
	body, err := json.Marshal(c)
	if err != nil {
		return CompletionResult{}, errors.Mark(err, ErrNotSent)
	}
	resp, err := e.send(ctx, e.requestClient, http.MethodPost, e.URL+"/v1/completions", nil, body)
	if err != nil {
		return CompletionResult{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		kind := ErrFailed
		if resp.Header.Get(headerNotRun) != "" {
			kind = ErrRejected
		}
		return CompletionResult{}, errors.Wrapf(kind, "status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return readStream(resp.Body, emit)
}

func readStream(body io.Reader, emit func(int, string) error) (CompletionResult, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var result CompletionResult
	gotResult := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if !gotResult {
				return CompletionResult{}, errors.Wrap(ErrConnectionBroken, "end marker without a result")
			}
			return result, nil
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return CompletionResult{}, errors.Mark(err, ErrConnectionBroken)
		}
		switch {
		case event.Error != "":
			return CompletionResult{}, errors.Wrap(ErrConnectionBroken, event.Error)
		case event.Done:
			result, gotResult = CompletionResult{event.FinishReason, event.Usage}, true
		default:
			if err := emit(event.Index, event.Text); err != nil {
				return CompletionResult{}, err
			}
		}
	}
	return CompletionResult{}, errors.Wrap(ErrConnectionBroken, "stream ended without its end marker")
}

// Cancel cancels a completion at the engine. Failures are only logged.
func (e *Engine) Cancel(requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), controlCallTimeout)
	defer cancel()
	body, _ := json.Marshal(map[string]string{"request_id": requestID})
	resp, err := e.send(ctx, e.client, http.MethodPost, e.URL+"/v1/cancel", nil, body)
	if err != nil {
		e.log.WithError(err).WithField("request_id", requestID).Debug("failed to cancel completion at engine")
		return
	}
	_ = resp.Body.Close()
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	Method  string
	Path    string
	Headers map[string]string
	Body    []byte
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status  int
	Headers map[string]string
	Body    []byte
}

// CallService calls the plain service. Its error is ErrNotSent, ErrConnectionBroken or
// ErrAnswerTooLarge. An answer with any HTTP status is no error.
func (e *Engine) CallService(ctx context.Context, c ServiceCall) (ServiceAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := e.send(ctx, e.requestClient, c.Method, e.URL+c.Path, c.Headers, c.Body)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := content.Read(resp.Body, resp.ContentLength, e.memory.NewLease(cancel), maxAnswerBytes)
	switch {
	case errors.IsAny(err, content.ErrTooLong, bytebudget.ErrExhausted):
		return ServiceAnswer{}, errors.Mark(err, ErrAnswerTooLarge)
	case err != nil:
		return ServiceAnswer{}, errors.Mark(err, ErrConnectionBroken)
	}
	defer body.Release()
	headers := map[string]string{}
	if ct := resp.Header.Get("Content-Type"); ct != "" {
		headers["Content-Type"] = ct
	}
	answer := ServiceAnswer{Status: resp.StatusCode, Headers: headers}
	return answer, body.Decode(0, func(text []byte) error {
		answer.Body = text
		return nil
	})
}

// send sends a request. Its error is ErrNotSent if the request got no connection, and
// otherwise ErrConnectionBroken.
func (e *Engine) send(ctx context.Context, client *http.Client, method, url string, headers map[string]string, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	req.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	if connected.Load() {
		return nil, errors.Mark(errors.Wrap(err, "call the endpoint"), ErrConnectionBroken)
	}
	return nil, errors.Mark(errors.Wrap(err, "connect to the endpoint"), ErrNotSent)
}
