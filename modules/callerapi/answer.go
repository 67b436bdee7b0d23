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

// answer writes a completion to the caller, as events or as a whole.
type answer struct {
	api        *API
	call       *call
	completion *arbutuspb.Completion
	stream     bool
	started    bool
	next       int
	text       strings.Builder
	created    int64
	control    *http.ResponseController
}

func newAnswer(a *API, c *call, completion *arbutuspb.Completion, stream bool, offset int) *answer {
	return &answer{
		api: a, call: c, completion: completion, stream: stream, next: offset,
		created: time.Now().Unix(), control: http.NewResponseController(c.w),
	}
}

type usage struct {
	PromptTokens     int32          `json:"prompt_tokens"`
	CompletionTokens int32          `json:"completion_tokens"`
	TotalTokens      int32          `json:"total_tokens"`
	Details          *promptDetails `json:"prompt_tokens_details,omitempty"`
}

type promptDetails struct {
	CachedTokens int32 `json:"cached_tokens"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completionObject struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// WriteTokens writes tokens as events, or keeps them for the whole answer.
func (w *answer) WriteTokens(endpoint string, offset int, tokens []string) error {
	text := strings.Join(tokens, "")
	w.next = offset + len(tokens)
	if !w.stream {
		w.text.WriteString(text)
		return nil
	}
	w.begin(endpoint)
	return w.event(endpoint, w.chunk(text, nil, nil))
}

func (w *answer) begin(endpoint string) {
	if w.started {
		return
	}
	w.started = true
	h := w.call.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, w.call.id+"@"+endpoint)
	w.call.w.WriteHeader(http.StatusOK)
}

func (w *answer) chunk(text string, finish *string, u *usage) completionObject {
	ch := choice{FinishReason: finish}
	object := "text_completion"
	if w.completion.Chat {
		object = "chat.completion.chunk"
		ch.Delta = &content{Content: text}
		if w.next == 0 {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &text
	}
	return w.object(object, ch, u)
}

func (w *answer) object(object string, ch choice, u *usage) completionObject {
	return completionObject{
		ID: w.call.id, Object: object, Created: w.created, Model: w.completion.Model,
		Choices: []choice{ch}, Usage: u,
	}
}

// event writes one server-sent event whose id resumes the stream after it.
func (w *answer) event(endpoint string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.send("id: " + endpoint + ":" + strconv.Itoa(w.next) + "\ndata: " + string(data) + "\n\n")
}

func (w *answer) send(text string) error {
	deadline := time.Now().Add(w.api.WriteStall.AsDuration())
	if err := w.control.SetWriteDeadline(deadline); err != nil {
		w.api.log.WithError(err).Debug("write deadline is not supported")
	}
	if _, err := w.call.w.Write([]byte(text)); err != nil {
		return err
	}
	return w.control.Flush()
}

// finish ends the answer. It returns the refusal to write when nothing was
// written yet.
func (w *answer) finish(r dispatch.Result) *refusal {
	if r.Outcome == attempt.OutcomeDone {
		w.finishDone(r)
		return nil
	}
	if !w.started {
		return refusalOf(r.Finish)
	}
	ref := refusalOf(r.Finish)
	w.api.refusals.WithLabelValues(string(ref.code), string(ref.outcome)).Inc()
	// The missing end marker tells the caller that the stream is not complete.
	_ = w.send("event: error\ndata: " + string(ref.body(w.call.id)) + "\n\n")
	return nil
}

func (w *answer) finishDone(r dispatch.Result) {
	reason := r.Done.GetFinishReason()
	u := usageOf(r.Done.GetUsage())
	if w.stream {
		w.begin(r.Endpoint)
		if w.event(r.Endpoint, w.chunk("", &reason, u)) == nil {
			_ = w.send("data: [DONE]\n\n")
		}
		return
	}
	text := w.text.String()
	ch := choice{FinishReason: &reason}
	object := "text_completion"
	if w.completion.Chat {
		object = "chat.completion"
		ch.Message = &content{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	w.call.id += "@" + r.Endpoint
	w.call.json(http.StatusOK, w.object(object, ch, u))
}

func usageOf(u *arbutuspb.Usage) *usage {
	if u == nil {
		return nil
	}
	return &usage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		TotalTokens: u.PromptTokens + u.CompletionTokens,
		Details:     &promptDetails{u.CachedTokens},
	}
}
