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

// Limits of a request body.
const (
	maxJSONDepth     = 32
	maxMessages      = 2048
	maxAllowedTokens = 32768
	defaultMaxTokens = 256
)

// completionBody has the fields of an OpenAI-style request that the router reads.
// Unknown fields are ignored, because client libraries send many.
type completionBody struct {
	Model               string           `json:"model"`
	Prompt              json.RawMessage  `json:"prompt"`
	Messages            []requestMessage `json:"messages"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	N                   *int             `json:"n"`
}

type requestMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readBody reads a request body of at most MaxBodyBytes.
func (a *API) readBody(c *requestContext) ([]byte, *refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, a.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newNotRunRefusal(codeBodyTooLarge, "the body exceeds the size limit")
	}
	if err != nil {
		return nil, newNotRunRefusal(codeBadRequest, "the body could not be read")
	}
	return body, nil
}

// parsedCompletion is a valid request for a completion.
type parsedCompletion struct {
	completion *arbutuspb.Completion
	stream     bool
	// messageEndBlocks lists, in ascending order, the lengths in cache blocks of the
	// prompt up to the end of each message but the last. Other requests may share
	// these prefixes.
	messageEndBlocks []int
}

// parseCompletion validates and decodes a request body.
func parseCompletion(body []byte, chat bool) (*parsedCompletion, *refusal) {
	if jsonDepth(body) > maxJSONDepth {
		return nil, newNotRunRefusal(codeBadRequest, "the JSON is nested too deeply")
	}
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, newNotRunRefusal(codeBadRequest, "the body is not valid JSON: "+err.Error())
	}
	if b.N != nil && *b.N != 1 {
		return nil, newNotRunRefusal(codeBadRequest, "n must be 1")
	}
	maxTokens, refused := b.maxTokens()
	if refused != nil {
		return nil, refused
	}
	prompt, messageEndBlocks, refused := b.prompt(chat)
	if refused != nil {
		return nil, refused
	}
	model, adapter, _ := strings.Cut(b.Model, ":")
	if model == "" {
		return nil, newNotRunRefusal(codeBadRequest, "model is required")
	}
	completion := &arbutuspb.Completion{
		Model: model, Adapter: adapter, Prompt: prompt, MaxTokens: int32(maxTokens), Chat: chat,
	}
	return &parsedCompletion{completion, b.Stream, messageEndBlocks}, nil
}

func (b *completionBody) maxTokens() (int, *refusal) {
	n := defaultMaxTokens
	if b.MaxTokens != nil {
		n = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		n = *b.MaxCompletionTokens
	}
	if n < 1 || n > maxAllowedTokens {
		return 0, newNotRunRefusal(codeBadRequest, "max_tokens must be from 1 to 32768")
	}
	return n, nil
}

func (b *completionBody) prompt(chat bool) (string, []int, *refusal) {
	if chat {
		return chatPrompt(b.Messages)
	}
	var prompt string
	if err := json.Unmarshal(b.Prompt, &prompt); err != nil || prompt == "" {
		return "", nil, newNotRunRefusal(codeBadRequest, "prompt must be a string that is not empty")
	}
	return prompt, nil, nil
}

func chatPrompt(messages []requestMessage) (string, []int, *refusal) {
	if len(messages) == 0 || len(messages) > maxMessages {
		return "", nil, newNotRunRefusal(codeBadRequest, "messages must have from 1 to 2048 entries")
	}
	var text strings.Builder
	var messageEndBlocks []int
	for _, m := range messages {
		if endBlock := text.Len() / prefix.BytesPerBlock; endBlock > 0 && (len(messageEndBlocks) == 0 || endBlock > messageEndBlocks[len(messageEndBlocks)-1]) {
			messageEndBlocks = append(messageEndBlocks, endBlock)
		}
		content, ok := m.text()
		if !ok || m.Role == "" {
			return "", nil, newNotRunRefusal(codeBadRequest, "each message needs a role and text content")
		}
		text.WriteString("<|" + m.Role + "|>\n" + content + "\n")
	}
	return text.String(), messageEndBlocks, nil
}

// text returns the text of a message, whose content is a string or a list of text
// parts. It returns false for content of another kind.
func (m requestMessage) text() (string, bool) {
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

// jsonDepth returns the maximum nesting depth of objects and arrays in a JSON text. It
// accepts invalid JSON, because it runs before the decoder.
func jsonDepth(text []byte) int {
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
