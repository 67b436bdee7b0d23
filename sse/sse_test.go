package sse

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against returning partial events: when an event arrives in several reads, and
// when the stream ends within an event.
func TestOnlyCompleteEvents(t *testing.T) {
	const text = "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata:"
	s := NewScanner(iotest.OneByteReader(strings.NewReader(text)), nil)
	var ids []string
	var passed strings.Builder
	for {
		e, err := s.Next()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		ids = append(ids, e.ID)
		passed.Write(e.Raw)
	}
	assert.DeepEqual(t, ids, []string{"1", "2"})
	assert.Equal(t, passed.String()+"id: 3\ndata:", text)
	assert.Equal(t, s.IncompleteBytes(), len("id: 3\ndata:"))
}

// Guards against unbounded memory use when an endpoint never ends an event.
func TestEndlessEventIsRejected(t *testing.T) {
	s := NewScanner(strings.NewReader("data: "+strings.Repeat("x", 2*MaxEventBytes)), nil)
	_, err := s.Next()
	assert.ErrorIs(t, err, ErrEventTooLong)
}

// Guards against corrupted events when the buffer grows or is shifted.
func TestLargeEvents(t *testing.T) {
	event := "id: 9\ndata: " + strings.Repeat("y", 3*initialBufferBytes) + "\n\n"
	s := NewScanner(strings.NewReader(strings.Repeat(event, 5)), nil)
	for range 5 {
		e, err := s.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(e.Raw), event)
	}
	_, err := s.Next()
	assert.Equal(t, err, io.EOF)
}

// Guards against taking blank lines after the last event for an incomplete event, and the
// begin of a line after them for a complete one.
func TestBlankLinesAfterTheLastEvent(t *testing.T) {
	for text, incomplete := range map[string]int{"": 0, "\n": 0, "\r\n": 0, "\r": 0, "\nid: 2": len("id: 2"), "id: 2\n": len("id: 2\n")} {
		s := NewScanner(iotest.OneByteReader(strings.NewReader("id: 1\n\n"+text)), nil)
		_, err := s.Next()
		assert.NilError(t, err)
		_, err = s.Next()
		assert.Equal(t, err, io.EOF)
		assert.Equal(t, s.IncompleteBytes(), incomplete, "%q", text)
		assert.Equal(t, string(s.Rest()), text)
	}
}

// Guards against taking comments, which also come while a request is queued, for output.
func TestCommentsAreNoOutput(t *testing.T) {
	for text, comment := range map[string]bool{":ping\n\n": true, ": a\r\n:b\r\n\r\n": true, "\n\n": true, ":ping\ndata: x\n\n": false, "id: 1\n\n": false} {
		event, err := NewScanner(strings.NewReader(text), nil).Next()
		assert.NilError(t, err)
		assert.Equal(t, event.Comment, comment, "%q", text)
	}
}

// Guards against an event whose memory nobody allowed.
func TestBufferGrowsOnlyAsAllowed(t *testing.T) {
	denied := errors.New("denied")
	allowed := 8 * initialBufferBytes
	grow := func(bytes int) error {
		if allowed -= bytes; allowed < 0 {
			return denied
		}
		return nil
	}
	s := NewScanner(strings.NewReader("data: "+strings.Repeat("x", MaxEventBytes)), grow)
	_, err := s.Next()
	assert.ErrorIs(t, err, denied)
	assert.Assert(t, cap(s.buf) <= 8*initialBufferBytes)
}
