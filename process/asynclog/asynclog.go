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

// maxQueuedLines is the number of lines that may wait; a router under load writes
// some hundred lines a second.
const maxQueuedLines = 4096

// batchDelay is how long a line may wait for others. A process that is killed loses
// the lines of the pause.
const batchDelay = 100 * time.Millisecond

// maxBatchBytes is the most that is written at once: the size up to which a write to a
// pipe is whole. Longer lines are written alone.
const maxBatchBytes = 4096

// flushTimeout bounds the wait for the output at the end of the process.
const flushTimeout = time.Second

// Writer is an io.Writer with a bounded queue. Lines that do not fit are dropped
// and counted.
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

// DroppedLines returns the number of lines that were dropped.
func (w *Writer) DroppedLines() uint64 { return w.dropped.Load() }

// Close writes the lines that wait, for at most a second.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.flushed:
	case <-time.After(flushTimeout):
	}
}

// run writes the lines that wait together: each write costs a system call, and
// without the pause each line would cost one.
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

// writeQueued writes a first line, if there is one, and all lines that wait.
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

// writeBatch counts lines that the output does not take; there is nowhere to log them.
func (w *Writer) writeBatch(out io.Writer, lines []byte) {
	if _, err := out.Write(lines); err != nil {
		w.dropped.Add(uint64(bytes.Count(lines, []byte("\n"))))
	}
}
