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
	// errBroken means that the stream ended without its end marker.
	errStreamBroken = errors.New("stream ended without its end marker")
	// errWrong means that the stream has other content than the request asks
	// for: out of order, of another request, or of another length.
	errWrongContent = errors.New("stream has wrong content")
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// checker follows one stream over all its connections and compares it with the
// expected output.
type streamChecker struct {
	expected  answer.Output
	maxTokens int
	// received is the number of output tokens received so far.
	receivedTokens int
	// lastID is the id of the last event, which resumes the stream.
	lastEventID string
	// firstToken is called when the first token arrives.
	onFirstToken func()
	usage        *usage
	streamError  *errorObject
}

type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	Details      struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// failure is the error object of a refusal or an error event.
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

// read reads one connection's part of the stream. It returns nil at the end
// marker, errBroken when the stream may be resumed, and errWrong when it is
// beyond repair. An error event sets failure and gives errBroken.
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
	return errStreamBroken
}

func (c *streamChecker) checkEnd() error {
	if c.receivedTokens != c.maxTokens {
		return errors.Wrapf(errWrongContent, "%d tokens, expected %d", c.receivedTokens, c.maxTokens)
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
		return errStreamBroken
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

// tokens compares the text of one event. The id, if there is one, ends in the
// offset after the event.
func (c *streamChecker) checkTokens(id, text string) error {
	n := len(text) / answer.TokenBytes
	if want := c.expected.Text(c.receivedTokens, c.receivedTokens+n); text != want {
		return errors.Wrapf(errWrongContent, "token %d: read %q, expected %q", c.receivedTokens, text, want)
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
		return errors.Wrapf(errWrongContent, "event id %q after %d tokens", id, c.receivedTokens)
	}
	return nil
}
