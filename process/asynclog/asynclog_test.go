package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// A standard output that nobody reads must not delay a request, and the queue
// must stay bounded.
func TestBlockedOutputBlocksNoCaller(t *testing.T) {
	r, w := io.Pipe()
	log := New(w)
	const lines = 3 * maxQueuedLines
	for range lines {
		n, err := log.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	// One batch may be in the hands of the blocked writer.
	assert.Assert(t, log.DroppedLines() >= uint64(lines-maxQueuedLines-maxBatchBytes/len("line\n")-1), "dropped %d", log.DroppedLines())
	assert.NilError(t, r.Close())
	log.Close()
}

// The lines of a stopping process must not be lost, and a caller's buffer may be
// used again at once.
func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	var mu sync.Mutex
	log := New(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(p)
	}))
	buffer := []byte("first\n")
	_, err := log.Write(buffer)
	assert.NilError(t, err)
	copy(buffer, "XXXXX\n")
	_, err = log.Write([]byte("second\n"))
	assert.NilError(t, err)
	log.Close()
	assert.Equal(t, out.String(), "first\nsecond\n")
}

// Lines that come together must cost few writes, in their order, none of which another
// program's write to the same pipe can split.
func TestLinesAreWrittenTogether(t *testing.T) {
	var out bytes.Buffer
	writes, longest := 0, 0
	log := New(writerFunc(func(p []byte) (int, error) {
		writes++
		longest = max(longest, len(p))
		assert.Check(t, bytes.HasSuffix(p, []byte("\n")), "a line was split")
		return out.Write(p)
	}))
	var want bytes.Buffer
	for i := range 2000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		_, err := log.Write([]byte(line))
		assert.NilError(t, err)
	}
	log.Close()
	assert.Equal(t, out.String(), want.String())
	assert.Assert(t, longest <= maxBatchBytes, "%d bytes at once", longest)
	// A batch is full but for less than a line, and each pause may end one early.
	assert.Assert(t, writes <= 2*(want.Len()/maxBatchBytes+1), "%d writes", writes)
}

// A line that is longer than a batch is written whole.
func TestLongLineIsWrittenAlone(t *testing.T) {
	var writes []int
	log := New(writerFunc(func(p []byte) (int, error) {
		writes = append(writes, len(p))
		return len(p), nil
	}))
	for _, n := range []int{10, 2 * maxBatchBytes, 10} {
		_, err := log.Write(append(bytes.Repeat([]byte("x"), n-1), '\n'))
		assert.NilError(t, err)
	}
	log.Close()
	assert.DeepEqual(t, writes, []int{10, 2 * maxBatchBytes, 10})
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
