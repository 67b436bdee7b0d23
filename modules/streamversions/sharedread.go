package streamversions

import (
	"context"
	"sync"
)

// sharedRead makes one read of the store for all requests that wait for it. A request gets
// the result of a read that began after the request did.
type sharedRead struct {
	mu sync.Mutex
	// next is a read that has not begun, or nil.
	next *pendingRead
	// running is held during a read.
	running sync.Mutex
}

type pendingRead struct {
	done chan struct{}
	err  error
}

// do waits for a read that begins from now on and returns its error, or that of ctx.
func (s *sharedRead) do(ctx context.Context, goroutines *sync.WaitGroup, read func() error) error {
	s.mu.Lock()
	p := s.next
	if p == nil {
		p = &pendingRead{done: make(chan struct{})}
		s.next = p
		goroutines.Go(func() { s.run(p, read) })
	}
	s.mu.Unlock()
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run makes a pending read once the one before it has ended.
func (s *sharedRead) run(p *pendingRead, read func() error) {
	s.running.Lock()
	defer s.running.Unlock()
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	p.err = read()
	close(p.done)
}
