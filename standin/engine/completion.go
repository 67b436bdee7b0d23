package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/standin/serve"
	"github.com/arbutusline/arbutusline/workload/answer"
	"github.com/arbutusline/arbutusline/workload/audit"
)

// defaultMaxTokens is the number of output tokens of a request without max_tokens.
const defaultMaxTokens = 16

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	// Prompt is the whole prompt, without output of earlier attempts.
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority,omitempty"`
	Stream    bool   `json:"stream"`
	// ResumeTokens is the index of the first output token to send.
	ResumeTokens int      `json:"resume_tokens,omitempty"`
	BlockHashes  []uint64 `json:"block_hashes,omitempty"`
	// WeightsVersion, if not empty, must be the version that is loaded.
	WeightsVersion string `json:"weights_version,omitempty"`
	// Team and IdempotencyKey are optional and written to the audit log. The headers
	// X-Team and Idempotency-Key are used when they are empty. The cache also keeps
	// the team to count hits on blocks of another team.
	Team           string `json:"team,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// Usage counts the tokens of a completion. CompletionTokens includes
// ResumeTokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// TokenEvent is one output token of a stream.
type TokenEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// DoneEvent is the last event of a stream before "[DONE]", and the response body
// when the output is not streamed.
type DoneEvent struct {
	Done         bool   `json:"done"`
	FinishReason string `json:"finish_reason"`
	Usage        Usage  `json:"usage"`
	// Text is set when the output is not streamed.
	Text string `json:"text,omitempty"`
}

// outputStream is the output of a completion. Server.mu guards it.
type outputStream struct {
	auditEntry *audit.Entry
	// updated is signalled after each change.
	updated chan struct{}
	// endToken is the index after the newest token.
	endToken     int
	cachedTokens int
	done         bool
	// aborted is true after a crash or a cancellation.
	aborted bool
}

func (st *outputStream) notify() {
	select {
	case st.updated <- struct{}{}:
	default:
	}
}

func (st *outputStream) applyEvent(e Event) {
	switch e.Kind {
	case EventStarted:
		st.cachedTokens = e.CacheUsage.CachedTokens
		st.auditEntry.Update(func(r *audit.Run) {
			r.CachedTokens = e.CacheUsage.CachedTokens
			r.RecomputedTokens = e.CacheUsage.RecomputedTokens
			r.InvalidCacheHits = e.CacheUsage.WrongHits
		})
	case EventToken:
		st.endToken = e.TokenIndex + 1
		st.auditEntry.Update(func(r *audit.Run) { r.OutputTokens++ })
	case EventDone:
		st.done = true
		st.auditEntry.End(audit.Completed, "")
	}
	st.notify()
}

func (st *outputStream) abort(reason string) {
	st.aborted = true
	st.auditEntry.End(audit.Aborted, reason)
	st.notify()
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req CompletionRequest
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if req.Team == "" {
		req.Team = r.Header.Get("X-Team")
	}
	if req.RequestID == "" || req.ResumeTokens < 0 || req.ResumeTokens > req.MaxTokens {
		w.Header().Set(headerNotRun, "1")
		serve.WriteError(w, http.StatusBadRequest, "bad_request", "request_id is missing or resume_tokens is out of range")
		return
	}
	if req.IdempotencyKey == "" {
		req.IdempotencyKey = r.Header.Get("Idempotency-Key")
	}
	stream, httpErr := s.submitCompletion(&req)
	if httpErr != nil {
		if httpErr.code != codeStillRunning {
			w.Header().Set(headerNotRun, "1")
		}
		serve.WriteError(w, httpErr.status, httpErr.code, httpErr.message)
		return
	}
	s.wakeLoop()
	out := completionWriter{w: w, controller: http.NewResponseController(w), streaming: req.Stream, output: answer.OutputFor(req.Prompt)}
	if !s.deliverOutput(&out, stream, &req, r) {
		serve.AbortConnection()
	}
}

// headerNotRun states that the engine did not run the request of an error response.
const headerNotRun = "X-Not-Run"

// codeStillRunning is the code of the response to a request whose ID is that of one that runs.
const codeStillRunning = "still_running"

type httpError struct {
	status        int
	code, message string
}

func (s *Server) submitCompletion(req *CompletionRequest) (*outputStream, *httpError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if httpErr := s.checkCompletion(req); httpErr != nil {
		return nil, httpErr
	}
	err := s.simulator.Submit(s.now(), Sequence{
		ID: req.RequestID, Priority: req.Priority, Team: req.Team,
		PromptTokens: prefix.EstimateTokens(req.Prompt),
		BlockHashes:  req.BlockHashes, TextDigests: textDigests(req.Prompt, len(req.BlockHashes)),
		MaxTokens: req.MaxTokens, ResumeTokens: req.ResumeTokens,
		CrashesEngine: hasCrashMarker(req.Prompt),
	})
	switch {
	case errors.Is(err, ErrQueueFull):
		return nil, &httpError{http.StatusTooManyRequests, "queue_full", err.Error()}
	case errors.Is(err, ErrDuplicateID):
		return nil, &httpError{http.StatusConflict, codeStillRunning, err.Error()}
	case err != nil:
		return nil, &httpError{http.StatusRequestEntityTooLarge, "too_long", err.Error()}
	}
	stream := &outputStream{updated: make(chan struct{}, 1), endToken: req.ResumeTokens}
	stream.auditEntry = s.AuditLog.Begin(audit.Run{
		Endpoint: s.cfg.Name, RequestID: req.RequestID, IdempotencyKey: req.IdempotencyKey, Team: req.Team,
		ContentHash: answer.ContentHash(req.Prompt), Incarnation: s.incarnation,
		PromptTokens: prefix.EstimateTokens(req.Prompt), ResumeTokens: req.ResumeTokens,
	})
	s.streams[req.RequestID] = stream
	s.sampleLoad()
	return stream, nil
}

func (s *Server) checkCompletion(req *CompletionRequest) *httpError {
	switch {
	case s.loadingWeights:
		return &httpError{http.StatusServiceUnavailable, "loading", "weights are being loaded"}
	case req.Model != s.cfg.Model:
		return &httpError{http.StatusNotFound, "unknown_model", "the engine serves " + s.cfg.Model}
	case req.Adapter != "" && !slices.Contains(s.adapters, req.Adapter):
		return &httpError{http.StatusNotFound, "unknown_adapter", "the adapter is not loaded"}
	case req.WeightsVersion != "" && req.WeightsVersion != s.weightsVersion:
		return &httpError{http.StatusConflict, "wrong_weights", "the engine has weights " + s.weightsVersion}
	case slices.Contains(s.cfg.BadWeightsVersions, s.weightsVersion):
		return &httpError{http.StatusInternalServerError, "bad_weights", "weights " + s.weightsVersion + " do not work"}
	}
	return nil
}

// textDigests returns the digest of the prompt text up to the end of each block, for
// at most maxBlocks blocks.
func textDigests(prompt string, maxBlocks int) []uint64 {
	digests := prefix.AppendBlockHashes(nil, 0, prompt)
	return digests[:min(maxBlocks, len(digests))]
}

func hasCrashMarker(prompt string) bool { return strings.Contains(prompt, answer.CrashMarker) }

// deliverOutput writes the output of a stream as it is produced. It returns false
// when the engine crashed, the sequence was cancelled or the client disconnected.
func (s *Server) deliverOutput(out *completionWriter, stream *outputStream, req *CompletionRequest, r *http.Request) bool {
	for nextToSend := req.ResumeTokens; ; {
		s.mu.Lock()
		endToken, done, aborted, cachedTokens := stream.endToken, stream.done, stream.aborted, stream.cachedTokens
		if done && s.streams[req.RequestID] == stream {
			delete(s.streams, req.RequestID)
		}
		s.mu.Unlock()
		if aborted {
			return false
		}
		out.writeTokens(nextToSend, endToken)
		nextToSend = endToken
		if done {
			usage := Usage{prefix.EstimateTokens(req.Prompt), cachedTokens, req.MaxTokens}
			out.writeDone(DoneEvent{Done: true, FinishReason: "length", Usage: usage}, req)
			return true
		}
		select {
		case <-stream.updated:
		case <-r.Context().Done():
			s.abortCompletion(req.RequestID, stream, "disconnected")
			return false
		}
	}
}

// abortCompletion cancels a sequence and reports whether it was waiting or running.
func (s *Server) abortCompletion(id string, stream *outputStream, reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[id] != stream || stream == nil {
		return false
	}
	delete(s.streams, id)
	wasActive := s.simulator.Cancel(id)
	stream.abort(reason)
	return wasActive
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req struct {
		RequestID string `json:"request_id"`
	}
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	s.mu.Lock()
	stream := s.streams[req.RequestID]
	s.mu.Unlock()
	wasActive := s.abortCompletion(req.RequestID, stream, "cancelled")
	serve.WriteJSON(w, http.StatusOK, map[string]bool{"found": wasActive})
}

// completionWriter writes a completion as server-sent events or as one JSON object.
type completionWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	streaming     bool
	headerWritten bool
	output        answer.Output
}

func (cw *completionWriter) writeTokens(from, to int) {
	if !cw.streaming {
		return
	}
	if !cw.headerWritten {
		cw.headerWritten = true
		cw.w.Header().Set("Content-Type", "text/event-stream")
		cw.w.Header().Set("Cache-Control", "no-store")
		cw.w.WriteHeader(http.StatusOK)
	}
	for i := from; i < to; i++ {
		cw.writeEvent(TokenEvent{i, cw.output.Token(i)})
	}
	_ = cw.controller.Flush()
}

func (cw *completionWriter) writeEvent(v any) {
	data, _ := json.Marshal(v)
	fmt.Fprintf(cw.w, "data: %s\n\n", data)
}

func (cw *completionWriter) writeDone(e DoneEvent, req *CompletionRequest) {
	if !cw.streaming {
		e.Text = cw.output.Text(req.ResumeTokens, req.MaxTokens)
		serve.WriteJSON(cw.w, http.StatusOK, e)
		return
	}
	cw.writeEvent(e)
	fmt.Fprint(cw.w, "data: [DONE]\n\n")
	_ = cw.controller.Flush()
}
