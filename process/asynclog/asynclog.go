// Package asynclog writes log lines through a bounded queue, so that a slow output
// never blocks the caller.
package asynclog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the queue; a router under load logs a few hundred lines per
// second.
const maxQueuedLines = 4096

// batchDelay is how long a line waits for further lines to be written with it. A
// process that is killed loses the lines of the last batchDelay.
const batchDelay = 100 * time.Millisecond

// maxBatchBytes bounds one write. It equals PIPE_BUF on Linux, the size up to which a
// write to a pipe is atomic. A longer line is written on its own.
const maxBatchBytes = 4096

// flushTimeout bounds how long Close waits for the output.
const flushTimeout = time.Second

// Writer is an io.Writer with a bounded queue. Lines that do not fit into the queue are
// dropped and counted.
type Writer struct {
	queue     chan []byte
	flushed   chan struct{}
	dropped   atomic.Uint64
	closeOnce sync.Once
	closing   chan struct{}
}

// New returns a Writer that writes to out in the background.
func New(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, maxQueuedLines), flushed: make(chan struct{}), closing: make(chan struct{})}
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

// DroppedLines returns the number of lines dropped because the queue was full or the
// output failed.
func (w *Writer) DroppedLines() uint64 { return w.dropped.Load() }

// Close writes the queued lines. It waits at most flushTimeout.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.flushed:
	case <-time.After(flushTimeout):
	}
}

// run waits batchDelay after each first line and writes the queued lines in batches,
// because a write per line would cost one system call per line.
func (w *Writer) run(out io.Writer) {
	defer close(w.flushed)
	for {
		var line []byte
		select {
		case line = <-w.queue:
		case <-w.closing:
			w.writeQueued(out, nil)
			return
		}
		select {
		case <-time.After(batchDelay):
		case <-w.closing:
		}
		w.writeQueued(out, line)
	}
}

// writeQueued writes the line first, if it is not nil, and all queued lines.
func (w *Writer) writeQueued(out io.Writer, first []byte) {
	batch := append(make([]byte, 0, maxBatchBytes), first...)
	for {
		select {
		case line := <-w.queue:
			if len(batch) > 0 && len(batch)+len(line) > maxBatchBytes {
				w.writeBatch(out, batch)
				batch = batch[:0]
			}
			batch = append(batch, line...)
		default:
			if len(batch) > 0 {
				w.writeBatch(out, batch)
			}
			return
		}
	}
}

// writeBatch counts the lines as dropped when the output fails, because the failure
// cannot be logged itself.
func (w *Writer) writeBatch(out io.Writer, lines []byte) {
	if _, err := out.Write(lines); err != nil {
		w.dropped.Add(uint64(bytes.Count(lines, []byte("\n"))))
	}
}
