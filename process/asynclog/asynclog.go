// Package asynclog writes log lines without ever blocking the caller: a bounded
// queue stands between the logger and the output.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is the number of lines that may wait; a router under load writes
// some hundred lines a second.
const queueLines = 4096

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

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.write(out, line)
		case <-w.closing:
			for {
				select {
				case line := <-w.queue:
					w.write(out, line)
				default:
					return
				}
			}
		}
	}
}

// write counts a line that the output does not take; there is nowhere to log it.
func (w *Writer) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
