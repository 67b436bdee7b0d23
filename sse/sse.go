// Package sse splits a stream of server-sent events into whole events.
package sse

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrEventTooLong means that an event exceeds MaxEventBytes.
var ErrEventTooLong = errors.New("event is too long")

// MaxEventBytes bounds one event.
const MaxEventBytes = 256 << 10

const initialBufferBytes = 4 << 10

// Event is one event as it was read, with its closing blank line. Raw is valid
// until the next call of Next.
type Event struct {
	Raw []byte
	// ID is the event's id, empty when it has none.
	ID string
}

// Scanner reads events. Bytes behind the last whole event are never returned.
type Scanner struct {
	r        io.Reader
	buf      []byte
	consumed int
	err      error
}

// NewScanner returns a scanner of r.
func NewScanner(r io.Reader) *Scanner {
	return &Scanner{r: r, buf: make([]byte, 0, initialBufferBytes)}
}

// HasBufferedEvent reports whether a whole event can be returned without reading.
func (s *Scanner) HasBufferedEvent() bool { return firstEventLength(s.buf[s.consumed:]) > 0 }

// Next returns the next whole event. At the end of r it returns r's error.
func (s *Scanner) Next() (Event, error) {
	for {
		if n := firstEventLength(s.buf[s.consumed:]); n > 0 {
			raw := s.buf[s.consumed : s.consumed+n]
			s.consumed += n
			return Event{Raw: raw, ID: eventID(raw)}, nil
		}
		if s.err != nil {
			return Event{}, s.err
		}
		if err := s.fill(); err != nil {
			return Event{}, err
		}
	}
}

// IncompleteBytes returns the number of bytes behind the last whole event.
func (s *Scanner) IncompleteBytes() int { return len(s.buf) - s.consumed }

func (s *Scanner) fill() error {
	if s.consumed > 0 {
		s.buf = s.buf[:copy(s.buf, s.buf[s.consumed:])]
		s.consumed = 0
	}
	if len(s.buf) > MaxEventBytes {
		return ErrEventTooLong
	}
	if cap(s.buf)-len(s.buf) < initialBufferBytes/2 {
		grown := make([]byte, len(s.buf), 2*cap(s.buf))
		copy(grown, s.buf)
		s.buf = grown
	}
	n, err := s.r.Read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	s.err = err
	return nil
}

// firstEventLength returns the length of the first whole event, or 0.
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
