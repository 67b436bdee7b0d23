// Package stream buffers the output tokens of one attempt between its producer and a
// reader that may be slow, or disconnect and come back at an offset.
package stream

import "github.com/cockroachdb/errors"

// Errors of a Buffer.
var (
	// ErrGap means that appended tokens start after the end of the stream.
	ErrGap = errors.New("tokens do not continue the stream")
	// ErrNotBuffered means that the tokens at the requested offset were discarded or
	// are not produced yet.
	ErrNotBuffered = errors.New("offset is outside the buffer")
	// ErrClosed means that tokens were appended after Close.
	ErrClosed = errors.New("stream has ended")
)

// DefaultLimitBytes is the default size of a Buffer. The producer must pause when the
// unread tokens reach it.
const DefaultLimitBytes = 256 << 10

// tokenOverheadBytes is the memory of a token in addition to its text.
const tokenOverheadBytes = 16

// Buffer keeps tokens in order. Tokens that were read stay buffered for a reader that
// comes back at an earlier offset, as long as they fit the limit. It is not safe for
// concurrent use.
type Buffer struct {
	limitBytes int
	// firstOffset is the offset of tokens[0].
	firstOffset   int
	tokens        []string
	bufferedBytes int
	// readOffset is the offset of the next token for the reader, and unreadBytes the
	// size of the tokens from there on.
	readOffset  int
	unreadBytes int
	closed      bool
}

// New returns a buffer whose first token has the given offset. A limit of 0 means
// DefaultLimitBytes.
func New(firstOffset, limitBytes int) *Buffer {
	if limitBytes == 0 {
		limitBytes = DefaultLimitBytes
	}
	return &Buffer{limitBytes: limitBytes, firstOffset: firstOffset, readOffset: firstOffset}
}

// Append adds tokens that start at offset. Tokens that the stream already has are
// ignored, so that a producer may repeat them. Append fails with ErrGap if offset is
// after the end of the stream. Tokens that were read are discarded when the buffer
// exceeds its limit.
func (b *Buffer) Append(offset int, tokens []string) error {
	if offset > b.EndOffset() {
		return errors.Wrapf(ErrGap, "offset %d, expected at most %d", offset, b.EndOffset())
	}
	skip := min(b.EndOffset()-offset, len(tokens))
	if skip == len(tokens) {
		return nil
	}
	if b.closed {
		return ErrClosed
	}
	for _, t := range tokens[skip:] {
		b.tokens = append(b.tokens, t)
		b.bufferedBytes += len(t) + tokenOverheadBytes
		b.unreadBytes += len(t) + tokenOverheadBytes
	}
	for b.bufferedBytes > b.limitBytes && b.firstOffset < b.readOffset {
		b.DiscardBefore(b.firstOffset + 1)
	}
	return nil
}

// TokensFrom returns the buffered tokens from offset on. The caller must not change
// them.
func (b *Buffer) TokensFrom(offset int) ([]string, error) {
	if offset < b.firstOffset || offset > b.EndOffset() {
		return nil, errors.Wrapf(ErrNotBuffered, "offset %d, buffered %d to %d", offset, b.firstOffset, b.EndOffset())
	}
	return b.tokens[offset-b.firstOffset:], nil
}

// ReadNext returns the next unread tokens, at most limit of them, and the offset of the
// first. The caller must not change them.
func (b *Buffer) ReadNext(limit int) (offset int, tokens []string) {
	offset = b.readOffset
	end := min(b.EndOffset(), b.readOffset+limit)
	tokens = b.tokens[b.readOffset-b.firstOffset : end-b.firstOffset]
	for _, t := range tokens {
		b.unreadBytes -= len(t) + tokenOverheadBytes
	}
	b.readOffset = end
	return offset, tokens
}

// Seek makes the token at offset the next one for the reader. It fails with
// ErrNotBuffered.
func (b *Buffer) Seek(offset int) error {
	tokens, err := b.TokensFrom(offset)
	if err != nil {
		return err
	}
	b.readOffset, b.unreadBytes = offset, 0
	for _, t := range tokens {
		b.unreadBytes += len(t) + tokenOverheadBytes
	}
	return nil
}

// DiscardBefore removes the tokens before offset from the buffer.
func (b *Buffer) DiscardBefore(offset int) {
	for b.firstOffset < offset && len(b.tokens) > 0 {
		size := len(b.tokens[0]) + tokenOverheadBytes
		b.bufferedBytes -= size
		if b.firstOffset >= b.readOffset {
			b.unreadBytes -= size
			b.readOffset = b.firstOffset + 1
		}
		b.tokens[0] = ""
		b.tokens = b.tokens[1:]
		b.firstOffset++
	}
}

// Close marks the end of the stream.
func (b *Buffer) Close() { b.closed = true }

// Closed reports whether the stream has ended.
func (b *Buffer) Closed() bool { return b.closed }

// EndOffset returns the offset after the last token.
func (b *Buffer) EndOffset() int { return b.firstOffset + len(b.tokens) }

// FirstOffset returns the offset of the first buffered token.
func (b *Buffer) FirstOffset() int { return b.firstOffset }

// BufferedBytes returns the memory of the buffered tokens, in bytes.
func (b *Buffer) BufferedBytes() int { return b.bufferedBytes }

// UnreadBytes returns the memory of the tokens that were not read yet, in bytes.
func (b *Buffer) UnreadBytes() int { return b.unreadBytes }

// Full reports whether the producer must pause because the reader is slow.
func (b *Buffer) Full() bool { return b.unreadBytes >= b.limitBytes }
