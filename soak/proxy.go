package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is what a proxy does with the bytes of its connections.
type Mode int

// Modes of a proxy.
const (
	// Pass passes bytes on.
	Pass Mode = iota
	// Delay passes them on after a pause.
	Delay
	// Reset resets all connections and refuses new ones.
	Reset
	// CutForth drops what callers send, CutBack what is answered.
	CutForth
	CutBack
	// Silent drops both and leaves the connections open.
	Silent
)

// delay is the pause of the mode Delay, above the usual time of an answer.
const delay = 60 * time.Millisecond

// Proxy passes connections on to a target on loopback and disturbs them.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy listens on the address and passes connections on to the target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode, also for open connections. Bytes that were dropped do not come
// back: a connection that lost some is reset when bytes pass again.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lossy := p.mode == CutForth || p.mode == CutBack || p.mode == Silent
	p.mode = m
	if m == Reset || lossy {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // It is given up.
	p.Set(Reset)
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // A connection that is closed already needs none.
	}
	_ = c.Close()
}

func (p *Proxy) now() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // The proxy is closed.
		}
		if p.now() == Reset {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from)
		return
	}
	p.track(from, to, true)
	defer p.track(from, to, false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(to, from, CutForth)
	}()
	p.copy(from, to, CutBack)
	<-done
}

func (p *Proxy) track(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if open {
			p.conns[c] = true
			continue
		}
		delete(p.conns, c)
		_ = c.Close() // Both directions have ended.
	}
}

// copy passes bytes on until one side ends; it drops them while the mode is cut.
func (p *Proxy) copy(to, from net.Conn, cut Mode) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		switch p.now() {
		case cut, Silent:
			n = 0
		case Delay:
			time.Sleep(delay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // The other side may be gone already.
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
