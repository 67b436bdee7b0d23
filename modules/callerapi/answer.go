package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/modules/dispatch"
)

// completionWriter writes a completion to the caller, as a stream of server-sent events
// or as one JSON response.
type completionWriter struct {
	api                *API
	request            *requestContext
	completion         *arbutuspb.Completion
	streaming          bool
	headersSent        bool
	nextTokenOffset    int
	bufferedText       strings.Builder
	createdUnixSeconds int64
	responseController *http.ResponseController
}

func newCompletionWriter(a *API, c *requestContext, completion *arbutuspb.Completion, streaming bool, offset int) *completionWriter {
	return &completionWriter{
		api: a, request: c, completion: completion, streaming: streaming, nextTokenOffset: offset,
		createdUnixSeconds: time.Now().Unix(), responseController: http.NewResponseController(c.w),
	}
}

type usage struct {
	PromptTokens        int32                `json:"prompt_tokens"`
	CompletionTokens    int32                `json:"completion_tokens"`
	TotalTokens         int32                `json:"total_tokens"`
	PromptTokensDetails *promptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

type promptTokensDetails struct {
	CachedTokens int32 `json:"cached_tokens"`
}

type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// WriteTokens writes the tokens as an event, or buffers them for the JSON response.
func (w *completionWriter) WriteTokens(endpoint string, offset int, tokens []string) error {
	text := strings.Join(tokens, "")
	w.nextTokenOffset = offset + len(tokens)
	if !w.streaming {
		w.bufferedText.WriteString(text)
		return nil
	}
	w.startStream(endpoint)
	return w.writeEvent(endpoint, w.newStreamChunk(text, nil, nil))
}

func (w *completionWriter) startStream(endpoint string) {
	if w.headersSent {
		return
	}
	w.headersSent = true
	h := w.request.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, w.request.requestID+"@"+endpoint)
	w.request.w.WriteHeader(http.StatusOK)
}

func (w *completionWriter) newStreamChunk(text string, finishReason *string, u *usage) completionResponse {
	streamChoice := choice{FinishReason: finishReason}
	objectType := "text_completion"
	if w.completion.Chat {
		objectType = "chat.completion.chunk"
		streamChoice.Delta = &responseMessage{Content: text}
		if w.nextTokenOffset == 0 {
			streamChoice.Delta.Role = "assistant"
		}
	} else {
		streamChoice.Text = &text
	}
	return w.newCompletionResponse(objectType, streamChoice, u)
}

func (w *completionWriter) newCompletionResponse(objectType string, responseChoice choice, u *usage) completionResponse {
	return completionResponse{
		ID: w.request.requestID, Object: objectType, Created: w.createdUnixSeconds, Model: w.completion.Model,
		Choices: []choice{responseChoice}, Usage: u,
	}
}

// writeEvent writes a server-sent event. Its id is the Last-Event-ID with which the
// caller can resume the stream after it.
func (w *completionWriter) writeEvent(endpoint string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.writeAndFlush("id: " + endpoint + ":" + strconv.Itoa(w.nextTokenOffset) + "\ndata: " + string(data) + "\n\n")
}

func (w *completionWriter) writeAndFlush(text string) error {
	deadline := time.Now().Add(w.api.WriteStallTimeout.AsDuration())
	if err := w.responseController.SetWriteDeadline(deadline); err != nil {
		w.api.log.WithError(err).Debug("failed to set write deadline for caller")
	}
	if _, err := w.request.w.Write([]byte(text)); err != nil {
		return err
	}
	return w.responseController.Flush()
}

// finish writes the end of the response. If the request failed before anything was
// written, it returns the refusal that the caller of finish must write.
func (w *completionWriter) finish(r dispatch.Result) *refusal {
	if r.Outcome == attempt.OutcomeDone {
		w.writeCompletion(r)
		return nil
	}
	if !w.headersSent {
		return refusalFromFinish(r.Finish)
	}
	refused := refusalFromFinish(r.Finish)
	w.api.refusalCounter.WithLabelValues(string(refused.code), string(refused.outcome)).Inc()
	// The stream ends without the [DONE] marker, so that the caller does not mistake
	// it for a complete one.
	_ = w.writeAndFlush("event: error\ndata: " + string(refused.body(w.request.requestID)) + "\n\n")
	return nil
}

func (w *completionWriter) writeCompletion(r dispatch.Result) {
	reason := r.Done.GetFinishReason()
	u := usageOf(r.Done.GetUsage())
	if w.streaming {
		w.startStream(r.Endpoint)
		if w.writeEvent(r.Endpoint, w.newStreamChunk("", &reason, u)) == nil {
			_ = w.writeAndFlush("data: [DONE]\n\n")
		}
		return
	}
	text := w.bufferedText.String()
	responseChoice := choice{FinishReason: &reason}
	objectType := "text_completion"
	if w.completion.Chat {
		objectType = "chat.completion"
		responseChoice.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		responseChoice.Text = &text
	}
	w.request.requestID += "@" + r.Endpoint
	w.request.writeJSON(http.StatusOK, w.newCompletionResponse(objectType, responseChoice, u))
}

func usageOf(u *arbutuspb.Usage) *usage {
	if u == nil {
		return nil
	}
	return &usage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		TotalTokens:         u.PromptTokens + u.CompletionTokens,
		PromptTokensDetails: &promptTokensDetails{u.CachedTokens},
	}
}
