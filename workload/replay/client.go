package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/workload"
	"github.com/arbutusline/arbutusline/workload/answer"
)

// Outcome is the result of a request as reported to its caller.
type Outcome string

// Outcomes of a request.
const (
	Completed Outcome = "completed"
	// NotRun means that the router reported that the request did not run, and no
	// earlier attempt may have run.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// NoResponse means that the caller received no complete response.
	NoResponse Outcome = "vanished"
)

// Record is the result of one request.
type Record struct {
	Sequence int
	Team     string
	Kind     workload.Kind
	// ContentHash is answer.ContentHash of the prompt or body, "" for reads.
	ContentHash    string
	IdempotencyKey string
	Outcome        Outcome
	// Code is the error code that the router sent, or a code of this package for an
	// outcome that no router reported. It is "" for a completed request.
	Code string
	// BadResponse is true when a stream ended without its end marker, or a stream or
	// service response had wrong content.
	BadResponse bool `json:"Cut"`
	// Attempts is the number of times the request was sent, and Resumes the number of
	// times its stream was resumed.
	Attempts int `json:"Tries"`
	Resumes  int
	// CrashesEngine is copied from the request.
	CrashesEngine bool `json:"Crashes"`
	// TTFT (time to first token) is the time from the intended send time to the first
	// token, or 0 when no token arrived.
	TTFT time.Duration
	// TotalLatency is the time from the intended send time to the end of the request.
	TotalLatency time.Duration `json:"Total"`
	// PromptTokens and CachedTokens are taken from the usage that the router reported.
	PromptTokens, CachedTokens int
}

// Codes of outcomes that no router reported.
const (
	codeConnectionFailed   = "connection_failed"
	codeNotSent            = "not_sent"
	codeTimeout            = "timeout"
	codeReplayStopped      = "interrupted"
	codeStreamInterrupted  = "stream_cut"
	codeWrongStream        = "wrong_stream"
	codeWrongAnswer        = "wrong_answer"
	codeStatusWithoutError = "status_without_error"
)

// Error codes after which a caller may retry.
const (
	codeShuttingDown = "shutting_down"
	codeStillRunning = "still_running"
)

// maxResponseBytes bounds the body of a response that is not streamed.
const maxResponseBytes = 8 << 20

// caller performs one request including its retries.
type caller struct {
	cfg              *Config
	client           *http.Client
	req              *workload.Request
	intendedSendTime time.Time
	record           Record
	routerIndex      int
	asChat           bool
	// mayHaveRun is true when an earlier attempt may have run.
	mayHaveRun bool
}

// nextStep says whether a request is finished or retried after an attempt.
type nextStep int

const (
	stepFinish nextStep = iota
	stepRetry
)

func (c *caller) run(parent context.Context) Record {
	ctx, cancel := context.WithTimeout(parent, c.cfg.RequestTimeout)
	defer cancel()
	attempt := c.attemptCall
	if c.req.Kind == workload.KindCompletion {
		attempt = c.attemptCompletion
	}
	for c.record.Attempts < c.cfg.MaxAttempts {
		if c.record.Attempts > 0 && !c.waitBeforeRetry(ctx) {
			break
		}
		c.record.Attempts++
		retry := attempt(ctx) == stepRetry || (c.req.CrashesEngine && c.record.Outcome != Completed)
		if !retry {
			break
		}
		c.routerIndex++
	}
	if c.record.Outcome == NotRun && c.mayHaveRun {
		c.record.Outcome = Unknown
	}
	if parent.Err() != nil && c.record.Outcome != Completed {
		// The load generator, not the router, ended the request.
		c.record.Outcome, c.record.Code, c.record.BadResponse = Unknown, codeReplayStopped, false
	}
	c.record.TotalLatency = time.Since(c.intendedSendTime)
	return c.record
}

func (c *caller) waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-time.After(time.Duration(c.record.Attempts) * c.cfg.RetryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends an HTTP request to the current router. The headers are pairs of name and
// value; those with an empty value are left out.
func (c *caller) send(ctx context.Context, method, path string, body []byte, headers ...string) (*http.Response, error) {
	url := c.cfg.RouterURLs[c.routerIndex%len(c.cfg.RouterURLs)] + path
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	// With GetBody, http.Transport would itself retry requests that have an
	// Idempotency-Key, and Record.Attempts would not count those retries.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+workload.BearerToken(c.req.Team))
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return c.client.Do(req)
}

// recordNoResponse records an attempt without a response. Only requests that are safe to
// repeat are retried: completions, reads, calls with an idempotency key, and
// requests for which no connection could be opened.
func (c *caller) recordNoResponse(err error) nextStep {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.record.Outcome, c.record.Code = NotRun, codeNotSent
		return stepRetry
	}
	c.mayHaveRun = true
	c.record.Outcome, c.record.Code = NoResponse, codeConnectionFailed
	if errors.Is(err, context.DeadlineExceeded) {
		c.record.Code = codeTimeout
		return stepFinish
	}
	if c.req.Kind == workload.KindOtherCall && c.req.Method != http.MethodGet {
		return stepFinish
	}
	return stepRetry
}

// recordRefusal records a response whose status is not 200.
func (c *caller) recordRefusal(resp *http.Response) nextStep {
	var body struct {
		Error json.RawMessage `json:"error"`
	}
	var f errorObject
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil {
		err = json.Unmarshal(text, &body)
	}
	if err != nil || json.Unmarshal(body.Error, &f) != nil || f.Code == "" {
		f = errorObject{Code: codeStatusWithoutError, Outcome: string(Unknown)}
	}
	return c.recordError(f)
}

// recordError records the error that a router reported.
func (c *caller) recordError(f errorObject) nextStep {
	c.record.Outcome, c.record.Code = Unknown, f.Code
	if f.Outcome == string(NotRun) {
		c.record.Outcome = NotRun
	}
	switch f.Code {
	case codeStillRunning:
		return stepRetry
	case codeShuttingDown:
		if f.Outcome == string(NotRun) {
			return stepRetry
		}
	}
	if f.Outcome != string(NotRun) {
		c.mayHaveRun = true
	}
	return stepFinish
}

type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []chatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatPrompt returns the prompt that a router builds from one user message.
func chatPrompt(text string) string { return "<|user|>\n" + text + "\n" }

// attemptCompletion sends a completion once and checks the stream of its response.
func (c *caller) attemptCompletion(ctx context.Context) nextStep {
	request := completionRequest{Model: c.req.Model, MaxTokens: c.req.MaxTokens, Stream: true}
	path, prompt := "/v1/completions", c.req.Prompt
	if c.asChat {
		path, prompt = "/v1/chat/completions", chatPrompt(c.req.Prompt)
		request.Messages = []chatMessage{{"user", c.req.Prompt}}
	} else {
		request.Prompt = c.req.Prompt
	}
	body, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	resp, err := c.send(ctx, http.MethodPost, path, body)
	if err != nil {
		return c.recordNoResponse(err)
	}
	checker := &streamChecker{expectedOutput: answer.OutputFor(prompt), maxTokens: c.req.MaxTokens, onFirstToken: c.recordFirstToken}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return c.recordRefusal(resp)
	}
	requestID := resp.Header.Get("X-Request-Id")
	err = c.readWithResumes(ctx, checker, resp, requestID)
	if checker.usage != nil {
		c.record.PromptTokens, c.record.CachedTokens = checker.usage.PromptTokens, checker.usage.Details.CachedTokens
	}
	switch {
	case err == nil:
		c.record.Outcome, c.record.Code = Completed, ""
	case errors.Is(err, errWrongContent):
		c.recordBadResponse(codeWrongStream)
	case checker.streamError != nil:
		c.recordBadResponse(checker.streamError.Code)
	default:
		c.recordBadResponse(codeStreamInterrupted)
	}
	return stepFinish
}

func (c *caller) recordBadResponse(code string) {
	c.record.BadResponse, c.record.Outcome, c.record.Code = true, Unknown, code
}

func (c *caller) recordFirstToken() {
	if c.record.TTFT == 0 {
		c.record.TTFT = time.Since(c.intendedSendTime)
	}
}

// readWithResumes reads a stream and resumes it at the next router when its
// connection is interrupted.
func (c *caller) readWithResumes(ctx context.Context, checker *streamChecker, resp *http.Response, requestID string) error {
	for resumes := 0; ; resumes++ {
		err := checker.readConnection(resp.Body)
		_ = resp.Body.Close()
		if !errors.Is(err, errStreamInterrupted) || checker.streamError != nil {
			return err
		}
		for ; ; resumes++ {
			if resumes >= c.cfg.MaxResumes || ctx.Err() != nil {
				return err
			}
			c.routerIndex++
			next, sendErr := c.send(ctx, http.MethodGet, "/v1/requests/"+requestID+"/stream", nil, "Last-Event-ID", checker.lastEventID)
			if sendErr == nil && next.StatusCode == http.StatusOK {
				c.record.Resumes++
				resp = next
				break
			}
			if sendErr == nil {
				_ = next.Body.Close()
			}
			select {
			case <-time.After(c.cfg.RetryDelay):
			case <-ctx.Done():
			}
		}
	}
}

// attemptCall sends a service call once and checks its response.
func (c *caller) attemptCall(ctx context.Context) nextStep {
	var body []byte
	if c.req.Body != "" {
		body = []byte(c.req.Body)
	}
	resp, err := c.send(ctx, c.req.Method, "/services/"+c.req.Service+c.req.Path, body, "Idempotency-Key", c.req.IdempotencyKey)
	if err != nil {
		return c.recordNoResponse(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return c.recordRefusal(resp)
	}
	var got struct {
		ContentHash string `json:"content_hash"`
		Path        string `json:"path"`
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return c.recordNoResponse(err)
	}
	err = json.Unmarshal(text, &got)
	if err != nil || got.ContentHash != answer.ContentHash(c.req.Body) || got.Path != c.req.Path {
		c.recordBadResponse(codeWrongAnswer)
		return stepFinish
	}
	c.record.Outcome, c.record.Code = Completed, ""
	return stepFinish
}
