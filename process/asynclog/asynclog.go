// Package asynclog writes log lines without ever blocking the caller: a bounded
// queue stands between the logger and the output.
package asynclog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is the number of lines that may wait; a router under load writes
// some hundred lines a second.
const queueLines = 4096

// batchPause is how long a line may wait for others, and batchLines the
// most lines that are written together. A process that is killed loses the lines of
// the pause.
const (
	batchPause = 100 * time.Millisecond
	batchLines = 256
)

// flushTimeout bounds the wait for the output at the end of the process.
const flushTimeout = time.Second

// Writer is an io.Writer with a bounded queue. Lines that do not fit are dropped
// and counted.
type Writer struct {
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	once    sync.Once
	closing chan struct{}
}

// New returns a Writer that writes to out in the background.
func New(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, queueLines), done: make(chan struct{}), closing: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the lines that wait, for at most a second.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// run writes the lines that wait together: each write costs a system call, and
// without the pause each line would cost one.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var batch []byte
	for {
		select {
		case line := <-w.queue:
			batch = append(batch[:0], line...)
		case <-w.closing:
			for batch = w.waiting(nil, 0); len(batch) > 0; batch = w.waiting(nil, 0) {
				w.write(out, batch)
			}
			return
		}
		select {
		case <-time.After(batchPause):
		case <-w.closing:
		}
		batch = w.waiting(batch, 1)
		w.write(out, batch)
	}
}

// waiting appends the lines that wait to a batch that holds some, up to batchLines.
func (w *Writer) waiting(batch []byte, lines int) []byte {
	for ; lines < batchLines; lines++ {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// write counts lines that the output does not take; there is nowhere to log them.
func (w *Writer) write(out io.Writer, lines []byte) {
	if _, err := out.Write(lines); err != nil {
		w.dropped.Add(uint64(bytes.Count(lines, []byte("\n"))))
	}
}
