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

// defaultMaxTokens is the number of output tokens of a request that names none.
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
	// WeightsVersion, if not empty, must be the loaded one.
	WeightsVersion string `json:"weights_version,omitempty"`
	// Team and IdempotencyKey are optional and only recorded; the headers
	// X-Team and Idempotency-Key may carry them instead.
	Team           string `json:"team,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// Usage counts the tokens of a completion. CompletionTokens includes those
// that were resumed.
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

// DoneEvent ends a stream before "[DONE]".
type DoneEvent struct {
	Done         bool   `json:"done"`
	FinishReason string `json:"finish_reason"`
	Usage        Usage  `json:"usage"`
	// Text is set in answers that are not streamed.
	Text string `json:"text,omitempty"`
}

// stream is the output of one completion. It is guarded by Server.mu.
type stream struct {
	entry  *audit.Entry
	notify chan struct{}
	// end is the index after the newest token.
	end    int
	cached int
	done   bool
	gone   bool
}

func (st *stream) wake() {
	select {
	case st.notify <- struct{}{}:
	default:
	}
}

func (st *stream) take(e Event) {
	switch e.Kind {
	case EventStarted:
		st.cached = e.Start.CachedTokens
		st.entry.Update(func(r *audit.Run) {
			r.CachedTokens = e.Start.CachedTokens
			r.RecomputedTokens = e.Start.RecomputedTokens
			r.InvalidCacheHits = e.Start.WrongHits
		})
	case EventToken:
		st.end = e.Index + 1
		st.entry.Update(func(r *audit.Run) { r.OutputTokens++ })
	case EventDone:
		st.done = true
		st.entry.End(audit.Completed, "")
	}
	st.wake()
}

func (st *stream) cut(reason string) {
	st.gone = true
	st.entry.End(audit.Aborted, reason)
	st.wake()
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var q CompletionRequest
	if !serve.Read(w, r, &q) {
		return
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultMaxTokens
	}
	if q.Team == "" {
		q.Team = r.Header.Get("X-Team")
	}
	if q.RequestID == "" || q.ResumeTokens < 0 || q.ResumeTokens > q.MaxTokens {
		serve.Fail(w, http.StatusBadRequest, "bad_request", "request_id is missing or resume_tokens is out of range")
		return
	}
	if q.IdempotencyKey == "" {
		q.IdempotencyKey = r.Header.Get("Idempotency-Key")
	}
	st, failure := s.submit(&q)
	if failure != nil {
		serve.Fail(w, failure.status, failure.code, failure.message)
		return
	}
	s.kick()
	out := writer{w: w, flusher: http.NewResponseController(w), stream: q.Stream, text: answer.OutputFor(q.Prompt)}
	if !s.deliver(&out, st, &q, r) {
		serve.LoseAnswer()
	}
}

type refusal struct {
	status        int
	code, message string
}

func (s *Server) submit(q *CompletionRequest) (*stream, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.refuse(q); f != nil {
		return nil, f
	}
	err := s.machine.Submit(s.now(), Sequence{
		ID: q.RequestID, Priority: q.Priority, Team: q.Team,
		PromptTokens: prefix.EstimateTokens(q.Prompt),
		Hashes:       q.BlockHashes, Digests: digests(q.Prompt, len(q.BlockHashes)),
		MaxTokens: q.MaxTokens, ResumeTokens: q.ResumeTokens,
		Crashes: crashes(q.Prompt),
	})
	switch {
	case errors.Is(err, ErrQueueFull):
		return nil, &refusal{http.StatusTooManyRequests, "queue_full", err.Error()}
	case errors.Is(err, ErrRunning):
		return nil, &refusal{http.StatusConflict, "still_running", err.Error()}
	case err != nil:
		return nil, &refusal{http.StatusRequestEntityTooLarge, "too_long", err.Error()}
	}
	st := &stream{notify: make(chan struct{}, 1), end: q.ResumeTokens}
	st.entry = s.Log.Begin(audit.Run{
		Endpoint: s.cfg.Name, RequestID: q.RequestID, IdempotencyKey: q.IdempotencyKey, Team: q.Team,
		ContentHash: answer.ContentHash(q.Prompt), Incarnation: s.incarnation,
		PromptTokens: prefix.EstimateTokens(q.Prompt), ResumeTokens: q.ResumeTokens,
	})
	s.streams[q.RequestID] = st
	s.sampleLoad()
	return st, nil
}

func (s *Server) refuse(q *CompletionRequest) *refusal {
	switch {
	case s.loading:
		return &refusal{http.StatusServiceUnavailable, "loading", "weights are being loaded"}
	case q.Model != s.cfg.Model:
		return &refusal{http.StatusNotFound, "unknown_model", "the engine serves " + s.cfg.Model}
	case q.Adapter != "" && !slices.Contains(s.adapters, q.Adapter):
		return &refusal{http.StatusNotFound, "unknown_adapter", "the adapter is not loaded"}
	case q.WeightsVersion != "" && q.WeightsVersion != s.weights:
		return &refusal{http.StatusConflict, "wrong_weights", "the engine has weights " + s.weights}
	case slices.Contains(s.cfg.BadVersions, s.weights):
		return &refusal{http.StatusInternalServerError, "bad_weights", "weights " + s.weights + " do not work"}
	}
	return nil
}

// digests identify the text up to the end of each block.
func digests(prompt string, blocks int) []uint64 {
	list := prefix.AppendBlockHashes(nil, 0, prompt)
	return list[:min(blocks, len(list))]
}

func crashes(prompt string) bool { return strings.Contains(prompt, answer.CrashMarker) }

// deliver writes the output of a stream as it comes. It returns false when the
// engine crashed or the sequence was cancelled.
func (s *Server) deliver(out *writer, st *stream, q *CompletionRequest, r *http.Request) bool {
	for sent := q.ResumeTokens; ; {
		s.mu.Lock()
		end, done, gone, cached := st.end, st.done, st.gone, st.cached
		if done && s.streams[q.RequestID] == st {
			delete(s.streams, q.RequestID)
		}
		s.mu.Unlock()
		if gone {
			return false
		}
		out.tokens(sent, end)
		sent = end
		if done {
			usage := Usage{prefix.EstimateTokens(q.Prompt), cached, q.MaxTokens}
			out.done(DoneEvent{Done: true, FinishReason: "length", Usage: usage}, q)
			return true
		}
		select {
		case <-st.notify:
		case <-r.Context().Done():
			s.abandon(q.RequestID, st, "disconnected")
			return false
		}
	}
}

// abandon cancels a sequence and reports whether it still ran.
func (s *Server) abandon(id string, st *stream, reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[id] != st || st == nil {
		return false
	}
	delete(s.streams, id)
	found := s.machine.Cancel(id)
	st.cut(reason)
	return found
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var q struct {
		RequestID string `json:"request_id"`
	}
	if !serve.Read(w, r, &q) {
		return
	}
	s.mu.Lock()
	st := s.streams[q.RequestID]
	s.mu.Unlock()
	found := s.abandon(q.RequestID, st, "cancelled")
	serve.JSON(w, http.StatusOK, map[string]bool{"found": found})
}

// writer writes a completion as server-sent events or as one object.
type writer struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	stream  bool
	started bool
	text    answer.Output
}

func (o *writer) tokens(from, to int) {
	if !o.stream {
		return
	}
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.w.WriteHeader(http.StatusOK)
	}
	for i := from; i < to; i++ {
		o.event(TokenEvent{i, o.text.Token(i)})
	}
	_ = o.flusher.Flush()
}

func (o *writer) event(v any) {
	data, _ := json.Marshal(v)
	fmt.Fprintf(o.w, "data: %s\n\n", data)
}

func (o *writer) done(e DoneEvent, q *CompletionRequest) {
	if !o.stream {
		e.Text = o.text.Text(q.ResumeTokens, q.MaxTokens)
		serve.JSON(o.w, http.StatusOK, e)
		return
	}
	o.event(e)
	fmt.Fprint(o.w, "data: [DONE]\n\n")
	_ = o.flusher.Flush()
}
