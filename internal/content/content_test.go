package content

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/bytebudget"
)

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a body that is changed or cut while it is read in chunks.
func TestBodiesOfAllSizesAreReadWhole(t *testing.T) {
	pool := bytebudget.New(4<<20, nil)
	for _, size := range []int{0, 1, minChunkBytes - 1, minChunkBytes, minChunkBytes + 1, 5000, maxChunkBytes, 3 * maxChunkBytes} {
		body := strings.Repeat("abcdefg", size/7+1)[:size]
		for _, length := range []int64{-1, int64(size), 0, 1 << 40} {
			c, err := Read(iotest.OneByteReader(strings.NewReader(body)), length, pool.NewLease(nil), size)
			assert.NilError(t, err)
			var out bytes.Buffer
			_, err = c.WriteTo(&out)
			assert.NilError(t, err)
			assert.Assert(t, out.String() == body && c.Len() == size, size)
			assert.NilError(t, c.Decode(1, func(b []byte) error {
				assert.Assert(t, string(b) == body, size)
				return nil
			}))
			c.Release()
			assert.Equal(t, pool.Used(), int64(0))
		}
	}
}

// Guards against bodies without end, and ones whose expected length is wrong, that take more
// memory than the limit, and against memory that stays in use after a failure.
func TestFailedReadsHoldNoMemory(t *testing.T) {
	pool := bytebudget.New(1<<20, nil)
	_, err := Read(endless{}, -1, pool.NewLease(nil), 100<<10)
	assert.ErrorIs(t, err, ErrTooLong)
	_, err = Read(endless{}, 1<<40, pool.NewLease(nil), 1<<40)
	assert.ErrorIs(t, err, bytebudget.ErrExhausted)
	_, err = Read(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, pool.NewLease(nil), 100)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, pool.Used(), int64(0))
	c, err := Read(strings.NewReader(strings.Repeat("x", 300<<10)), -1, pool.NewLease(nil), 1<<20)
	assert.NilError(t, err)
	assert.ErrorIs(t, c.Decode(4, func([]byte) error { return nil }), bytebudget.ErrExhausted)
	c.Release()
	assert.Equal(t, pool.Used(), int64(0))

	// A body that has to give way while its last bytes arrive is not taken for whole.
	revoked := pool.NewLease(func() {})
	assert.NilError(t, revoked.Grow(600<<10))
	other := pool.NewLease(nil)
	assert.NilError(t, other.Grow(400<<10))
	_, err = Read(strings.NewReader("end"), 3, revoked, 100)
	assert.ErrorIs(t, err, bytebudget.ErrExhausted)
	other.Release()
	assert.Equal(t, pool.Used(), int64(0))
	var none *Content
	none.Release()
	assert.Equal(t, none.Len(), 0)
}
