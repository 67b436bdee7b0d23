// Package content reads bodies into memory that a byte budget bounds.
package content

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/bytebudget"
)

// ErrTooLong means that a body exceeds the size limit of its kind.
var ErrTooLong = errors.New("body exceeds the size limit")

const (
	minChunkBytes = 512
	maxChunkBytes = 64 << 10
)

// Content is a body that was read as a whole. It consists of chunks, so that nothing is copied
// while it grows. A nil content is empty.
type Content struct {
	chunks [][]byte
	size   int
	lease  *bytebudget.Lease
}

// Read reads a body to its end. length is its expected length in bytes, or -1. The content holds
// the lease, which is settled, until Release; after an error the lease is released. Read fails with ErrTooLong if
// the body has more than limit bytes, with bytebudget.ErrExhausted, or with the error of r.
func Read(r io.Reader, length int64, lease *bytebudget.Lease, limit int) (*Content, error) {
	c := &Content{lease: lease}
	if err := c.read(r, length, limit); err != nil {
		c.Release()
		return nil, err
	}
	return c, nil
}

func (c *Content) read(r io.Reader, length int64, limit int) error {
	// The byte more lets the end be read without another chunk.
	next := int(max(minChunkBytes, min(length+1, maxChunkBytes)))
	var chunk []byte
	for {
		if len(chunk) == cap(chunk) {
			if err := c.lease.Grow(next); err != nil {
				return err
			}
			chunk = make([]byte, 0, next)
			c.chunks = append(c.chunks, nil)
			next = min(2*next, maxChunkBytes)
		}
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk, c.size = chunk[:len(chunk)+n], c.size+n
		c.chunks[len(c.chunks)-1] = chunk
		switch {
		case c.size > limit:
			return errors.Wrapf(ErrTooLong, "more than %d bytes", limit)
		case errors.Is(err, io.EOF) && !c.lease.Settle():
			return bytebudget.ErrExhausted
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// Len returns the number of bytes.
func (c *Content) Len() int {
	if c == nil {
		return 0
	}
	return c.size
}

// WriteTo implements io.WriterTo.
func (c *Content) WriteTo(w io.Writer) (written int64, err error) {
	if c == nil {
		return 0, nil
	}
	for _, chunk := range c.chunks {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Decode passes the body as one piece to a function that decodes it. expansion is how many times
// the length of the body the result may need. It fails with bytebudget.ErrExhausted or with the
// error of the function. The piece must not be kept longer than the content.
func (c *Content) Decode(expansion int, decode func([]byte) error) error {
	if err := c.lease.Grow(expansion * c.size); err != nil {
		return err
	}
	if len(c.chunks) > 1 {
		if err := c.lease.Grow(c.size); err != nil {
			return err
		}
		whole := make([]byte, 0, c.size)
		for _, chunk := range c.chunks {
			whole = append(whole, chunk...)
		}
		c.chunks = [][]byte{whole}
	}
	return decode(c.chunks[0])
}

// Release gives the memory back to the budget. The content must not be used afterwards.
func (c *Content) Release() {
	if c == nil {
		return
	}
	c.chunks, c.size = nil, 0
	c.lease.Release()
}
