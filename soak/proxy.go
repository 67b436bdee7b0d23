package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ProxyMode is what a proxy does with the bytes of its connections.
type ProxyMode int

// Modes of a proxy.
const (
	// Forward forwards bytes unchanged.
	Forward ProxyMode = iota
	// Delay forwards each read after forwardDelay.
	Delay
	// Reset resets all connections, also new ones.
	Reset
	// DropRequests drops bytes from client to target.
	DropRequests
	// DropResponses drops bytes from target to client.
	DropResponses
	// DropAll drops bytes in both directions and leaves the connections open.
	DropAll
)

// forwardDelay is longer than a response usually takes.
const forwardDelay = 60 * time.Millisecond

// Proxy is a TCP proxy that injects connection faults.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  ProxyMode
	conns map[net.Conn]*link
}

// link is a connection through a proxy, of which the proxy has two ends.
type link struct {
	// silent drops all bytes, and the end of either side, for good.
	silent atomic.Bool
}

// NewProxy listens on address and forwards connections to target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "start proxy")
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]*link{}}
	go p.acceptConnections()
	return p, nil
}

// Address returns the listen address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode, also for open connections. Dropped bytes cannot be
// delivered later, so leaving a dropping mode resets all connections.
func (p *Proxy) SetMode(m ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasDropping := p.mode == DropRequests || p.mode == DropResponses || p.mode == DropAll
	p.mode = m
	if m == Reset || wasDropping {
		for c := range p.conns {
			resetConnection(c)
		}
	}
}

// SilenceOpen makes the open connections silent for good. New ones work.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.conns {
		l.silent.Store(true)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // The listener is not used again.
	p.SetMode(Reset)
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Fails only if the connection is already closed.
	}
	_ = c.Close()
}

func (p *Proxy) currentMode() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) acceptConnections() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // The proxy is closed.
		}
		if p.currentMode() == Reset {
			resetConnection(c)
			continue
		}
		go p.serveConnection(c)
	}
}

func (p *Proxy) serveConnection(client net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConnection(client)
		return
	}
	l := &link{}
	p.setTracked(client, upstream, l)
	defer p.setTracked(client, upstream, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.forward(upstream, client, DropRequests, l)
	}()
	p.forward(client, upstream, DropResponses, l)
	<-done
}

// setTracked adds the two ends of a link to the connections that SetMode resets. With no link it
// removes and closes them.
func (p *Proxy) setTracked(a, b net.Conn, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if l != nil {
			p.conns[c] = l
			continue
		}
		delete(p.conns, c)
		_ = c.Close() // Both directions have ended.
	}
}

// forward copies bytes until either connection ends. It drops them in dropMode and
// DropAll, and while the link is silent.
func (p *Proxy) forward(destination, source net.Conn, dropMode ProxyMode, l *link) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if l.silent.Load() {
			if err != nil {
				return // The other side learns nothing of it.
			}
			continue
		}
		switch p.currentMode() {
		case dropMode, DropAll:
			n = 0
		case Delay:
			time.Sleep(forwardDelay)
		}
		if n > 0 {
			if _, writeErr := destination.Write(buffer[:n]); writeErr != nil {
				resetConnection(source)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if t, ok := destination.(*net.TCPConn); ok {
				_ = t.CloseWrite() // The destination may be closed already.
			}
			return
		}
		if err != nil {
			resetConnection(destination)
			return
		}
	}
}
