package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that are delayed because nobody reads the standard output,
// and against an unbounded queue.
func TestBlockedOutputBlocksNoCaller(t *testing.T) {
	r, w := io.Pipe()
	log := New(w)
	const lines = 3 * maxQueuedLines
	for range lines {
		n, err := log.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	// Up to one batch has left the queue and waits in the blocked write.
	assert.Assert(t, log.DroppedLines() >= uint64(lines-maxQueuedLines-maxBatchBytes/len("line\n")-1), "dropped %d", log.DroppedLines())
	assert.NilError(t, r.Close())
	log.Close()
}

// Guards against losing queued lines when the process stops, and against keeping the
// caller's buffer, which logrus reuses.
func TestCloseWritesQueuedLines(t *testing.T) {
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

// Guards against one system call per line, lines out of order, and writes larger than a
// pipe takes atomically.
func TestLinesAreBatched(t *testing.T) {
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
	// Each batch has less than one line of unused space, and each batchDelay may end a
	// batch early.
	assert.Assert(t, writes <= 2*(want.Len()/maxBatchBytes+1), "%d writes", writes)
}

// Guards against splitting or dropping a line that is longer than a batch.
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
