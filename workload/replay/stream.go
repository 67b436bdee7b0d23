package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/workload/answer"
)

// Errors of reading a stream.
var (
	// errStreamInterrupted means that the stream ended without its end marker.
	errStreamInterrupted = errors.New("stream ended without its end marker")
	// errWrongContent means that the stream does not have the expected content: its
	// tokens are out of order, belong to another request, or are too many or too few.
	errWrongContent = errors.New("stream has wrong content")
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// streamChecker compares one stream, over all its connections, with the expected
// output.
type streamChecker struct {
	expectedOutput answer.Output
	maxTokens      int
	// receivedTokens is the number of output tokens received so far.
	receivedTokens int
	// lastEventID is the id of the last event; a resume request sends it.
	lastEventID string
	// onFirstToken is called when the first token arrives.
	onFirstToken func()
	// usage and streamError are those that the stream reported, or nil.
	usage       *usage
	streamError *errorObject
}

type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	Details      struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// errorObject is the error object in a response or in a stream event.
type errorObject struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

type streamEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *usage       `json:"usage"`
	Error *errorObject `json:"error"`
}

// readConnection reads the part of the stream that one connection carries. It returns
// nil at the end marker, errStreamInterrupted when the stream can be resumed, and
// errWrongContent when the content is wrong. After an error event it sets streamError
// and returns errStreamInterrupted.
func (c *streamChecker) readConnection(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	id := ""
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case field == "id":
			id = value
		case field == "data" && value == "[DONE]":
			return c.checkEnd()
		case field == "data":
			if err := c.checkEvent(id, value); err != nil {
				return err
			}
		}
	}
	return errStreamInterrupted
}

func (c *streamChecker) checkEnd() error {
	if c.receivedTokens != c.maxTokens {
		return errors.Wrapf(errWrongContent, "received %d tokens, expected %d", c.receivedTokens, c.maxTokens)
	}
	return nil
}

func (c *streamChecker) checkEvent(id, data string) error {
	var e streamEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return errors.Wrapf(errWrongContent, "event %q is not JSON", data)
	}
	if e.Error != nil {
		c.streamError = e.Error
		return errStreamInterrupted
	}
	if e.Usage != nil {
		c.usage = e.Usage
	}
	text := ""
	if len(e.Choices) > 0 {
		text = e.Choices[0].Text + e.Choices[0].Delta.Content
	}
	return c.checkTokens(id, text)
}

// checkTokens compares the text of one event with the expected tokens. The event id,
// if there is one, must end in the number of tokens received so far.
func (c *streamChecker) checkTokens(id, text string) error {
	n := len(text) / answer.TokenBytes
	if want := c.expectedOutput.Text(c.receivedTokens, c.receivedTokens+n); text != want {
		return errors.Wrapf(errWrongContent, "token %d: received %q, expected %q", c.receivedTokens, text, want)
	}
	if n > 0 && c.receivedTokens == 0 {
		c.onFirstToken()
	}
	c.receivedTokens += n
	if id == "" {
		return nil
	}
	c.lastEventID = id
	offset, err := strconv.Atoi(id[strings.LastIndexByte(id, ':')+1:])
	if err != nil || offset != c.receivedTokens {
		return errors.Wrapf(errWrongContent, "event id %q does not end in the offset %d", id, c.receivedTokens)
	}
	return nil
}
