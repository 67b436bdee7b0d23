package callerapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/prefix"
)

// Bounds of a request body.
const (
	maxJSONDepth     = 32
	maxMessages      = 2048
	maxTokensLimit   = 32768
	defaultMaxTokens = 256
)

// completionBody is the part of an OpenAI-style request that the router reads.
// Unknown fields are ignored, as callers' libraries send many.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens *int            `json:"max_tokens"`
	MaxNew    *int            `json:"max_completion_tokens"`
	Stream    bool            `json:"stream"`
	N         *int            `json:"n"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readBody reads a bounded body.
func (a *API) readBody(c *call) ([]byte, *refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, a.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(codeTooLarge, "the body exceeds the size limit")
	}
	if err != nil {
		return nil, notRun(codeBadRequest, "the body could not be read")
	}
	return body, nil
}

// parsed is a checked request body.
type parsed struct {
	completion *arbutuspb.Completion
	stream     bool
	// levels lists the ends of all messages but the last, in blocks.
	levels []int
}

// parseCompletion checks a request body and returns what is to be run.
func parseCompletion(body []byte, chat bool) (*parsed, *refusal) {
	if depth(body) > maxJSONDepth {
		return nil, notRun(codeBadRequest, "the JSON is nested too deeply")
	}
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, notRun(codeBadRequest, "the body is not valid JSON: "+err.Error())
	}
	if b.N != nil && *b.N != 1 {
		return nil, notRun(codeBadRequest, "n must be 1")
	}
	maxTokens, ref := b.maxTokens()
	if ref != nil {
		return nil, ref
	}
	prompt, levels, ref := b.prompt(chat)
	if ref != nil {
		return nil, ref
	}
	model, adapter, _ := strings.Cut(b.Model, ":")
	if model == "" {
		return nil, notRun(codeBadRequest, "model is required")
	}
	completion := &arbutuspb.Completion{
		Model: model, Adapter: adapter, Prompt: prompt, MaxTokens: int32(maxTokens), Chat: chat,
	}
	return &parsed{completion, b.Stream, levels}, nil
}

func (b *completionBody) maxTokens() (int, *refusal) {
	n := defaultMaxTokens
	if b.MaxTokens != nil {
		n = *b.MaxTokens
	}
	if b.MaxNew != nil {
		n = *b.MaxNew
	}
	if n < 1 || n > maxTokensLimit {
		return 0, notRun(codeBadRequest, "max_tokens must be from 1 to 32768")
	}
	return n, nil
}

func (b *completionBody) prompt(chat bool) (string, []int, *refusal) {
	if chat {
		return chatPrompt(b.Messages)
	}
	var prompt string
	if err := json.Unmarshal(b.Prompt, &prompt); err != nil || prompt == "" {
		return "", nil, notRun(codeBadRequest, "prompt must be a string that is not empty")
	}
	return prompt, nil, nil
}

func chatPrompt(messages []message) (string, []int, *refusal) {
	if len(messages) == 0 || len(messages) > maxMessages {
		return "", nil, notRun(codeBadRequest, "messages must have from 1 to 2048 entries")
	}
	var text strings.Builder
	var levels []int
	for _, m := range messages {
		if depth := text.Len() / prefix.BytesPerBlock; depth > 0 && (len(levels) == 0 || depth > levels[len(levels)-1]) {
			levels = append(levels, depth)
		}
		content, ok := m.text()
		if !ok || m.Role == "" {
			return "", nil, notRun(codeBadRequest, "each message needs a role and text content")
		}
		text.WriteString("<|" + m.Role + "|>\n" + content + "\n")
	}
	return text.String(), levels, nil
}

// text returns the content of a message: a string, or a list of text parts.
func (m message) text() (string, bool) {
	var plain string
	if json.Unmarshal(m.Content, &plain) == nil {
		return plain, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", false
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		text.WriteString(p.Text)
	}
	return text.String(), true
}

// depth returns the deepest nesting of objects and arrays in a JSON text. It
// works on invalid JSON too, so that it can run before the decoder.
func depth(text []byte) int {
	deepest, level := 0, 0
	inString, escaped := false, false
	for _, b := range text {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			level++
			deepest = max(deepest, level)
		case b == '}' || b == ']':
			level--
		}
	}
	return deepest
}
