package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is what a proxy does with the bytes of its connections.
type ProxyMode int

// Modes of a proxy.
const (
	// Pass passes bytes on.
	Forward ProxyMode = iota
	// Delay passes them on after a pause.
	Delay
	// Reset resets all connections and refuses new ones.
	Reset
	// CutForth drops what callers send, CutBack what is answered.
	DropRequests
	DropResponses
	// Silent drops both and leaves the connections open.
	DropAll
)

// delay is the pause of the mode Delay, above the usual time of an answer.
const forwardDelay = 60 * time.Millisecond

// Proxy passes connections on to a target on loopback and disturbs them.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  ProxyMode
	conns map[net.Conn]bool
}

// NewProxy listens on the address and passes connections on to the target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.acceptConnections()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode, also for open connections. Bytes that were dropped do not come
// back: a connection that lost some is reset when bytes pass again.
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // It is given up.
	p.SetMode(Reset)
}

// reset closes a connection so that its peer sees a reset.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // A connection that is closed already needs none.
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
	p.setTracked(client, upstream, true)
	defer p.setTracked(client, upstream, false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.forward(upstream, client, DropRequests)
	}()
	p.forward(client, upstream, DropResponses)
	<-done
}

func (p *Proxy) setTracked(a, b net.Conn, tracked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if tracked {
			p.conns[c] = true
			continue
		}
		delete(p.conns, c)
		_ = c.Close() // Both directions have ended.
	}
}

// copy passes bytes on until one side ends; it drops them while the mode is cut.
func (p *Proxy) forward(destination, source net.Conn, dropMode ProxyMode) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
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
				_ = t.CloseWrite() // The other side may be gone already.
			}
			return
		}
		if err != nil {
			resetConnection(destination)
			return
		}
	}
}
