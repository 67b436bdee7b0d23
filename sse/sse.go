// Package sse splits a stream of server-sent events into complete events.
package sse

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrEventTooLong means that an event exceeds MaxEventBytes.
var ErrEventTooLong = errors.New("server-sent event exceeds the maximum size")

// MaxEventBytes bounds the size of one event.
const MaxEventBytes = 256 << 10

const initialBufferBytes = 4 << 10

// Event is one complete event.
type Event struct {
	// Raw holds the bytes of the event with the blank line that ends it. It is valid
	// until the next call of Next.
	Raw []byte
	// ID is the value of the event's id field, or "".
	ID string
	// Comment is true if the event has no field. Servers send comments to keep a
	// connection open.
	Comment bool
}

// Scanner reads complete events. It never returns an incomplete event at the end of
// the stream.
type Scanner struct {
	r             io.Reader
	buf           []byte
	consumedBytes int // number of bytes of buf that Next has returned
	err           error
	grow          func(bytes int) error
}

// NewScanner returns a scanner of r. grow is called before the buffer grows by a number of
// bytes; its error ends the stream. It may be nil.
func NewScanner(r io.Reader, grow func(bytes int) error) *Scanner {
	return &Scanner{r: r, buf: make([]byte, 0, initialBufferBytes), grow: grow}
}

// HasBufferedEvent reports whether Next can return an event without reading.
func (s *Scanner) HasBufferedEvent() bool { return firstEventLength(s.buf[s.consumedBytes:]) > 0 }

// Next returns the next complete event. When none is left, it returns the error of the
// underlying reader, which is io.EOF at the end of the stream.
func (s *Scanner) Next() (Event, error) {
	for {
		if n := firstEventLength(s.buf[s.consumedBytes:]); n > 0 {
			raw := s.buf[s.consumedBytes : s.consumedBytes+n]
			s.consumedBytes += n
			return Event{Raw: raw, ID: eventID(raw), Comment: !hasField(raw)}, nil
		}
		if s.err != nil {
			return Event{}, s.err
		}
		if err := s.fill(); err != nil {
			return Event{}, err
		}
	}
}

// IncompleteBytes returns the number of bytes read after the last event that Next
// returned: at the end of the stream, the length of an incomplete event. Blank lines
// between events do not count.
func (s *Scanner) IncompleteBytes() int { return len(bytes.TrimLeft(s.Rest(), "\r\n")) }

// Rest returns the bytes read after the last event that Next returned. They are valid
// until the next call of Next.
func (s *Scanner) Rest() []byte { return s.buf[s.consumedBytes:] }

func (s *Scanner) fill() error {
	if s.consumedBytes > 0 {
		s.buf = s.buf[:copy(s.buf, s.buf[s.consumedBytes:])]
		s.consumedBytes = 0
	}
	if len(s.buf) > MaxEventBytes {
		return ErrEventTooLong
	}
	if cap(s.buf)-len(s.buf) < initialBufferBytes/2 {
		if s.grow != nil {
			if err := s.grow(cap(s.buf)); err != nil {
				return err
			}
		}
		larger := make([]byte, len(s.buf), 2*cap(s.buf))
		copy(larger, s.buf)
		s.buf = larger
	}
	n, err := s.r.Read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	s.err = err
	return nil
}

// firstEventLength returns the length of the first complete event in b, or 0.
func firstEventLength(b []byte) int {
	for i := 0; ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		if i < len(b) && b[i] == '\n' {
			return i + 1
		}
		if i+1 < len(b) && b[i] == '\r' && b[i+1] == '\n' {
			return i + 2
		}
	}
}

func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

func hasField(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}
