// Package agentclient is the module "agents": a router's pool of gRPC
// connections to agents and other routers, one for each address.
package agentclient

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "agents"

// ErrClosed means that the pool has been stopped.
var ErrClosed = errors.New("agent connection pool is closed")

const (
	maxMessageBytes = 16 << 20
	// initialStreamWindowBytes bounds how much a peer may send on one stream before it
	// is read.
	initialStreamWindowBytes = 256 << 10
	keepaliveInterval        = 10 * time.Second
	keepaliveTimeout         = 3 * time.Second
	idleCheckInterval        = 30 * time.Second
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &ConnPool{IdleTimeout: settings.Duration(10 * time.Minute)}
	})
}

// ConnPool holds one gRPC connection for each address that is in use.
type ConnPool struct {
	// IdleTimeout is the time after which an unused connection is closed. Default "10m".
	IdleTimeout settings.Duration `json:"idle_timeout"`

	mu     sync.Mutex
	conns  map[string]*pooledConn
	closed bool
	stop   chan struct{}
}

type pooledConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
}

// ModuleName returns "agents".
func (p *ConnPool) ModuleName() string { return Name }

// Provision creates the empty pool.
func (p *ConnPool) Provision(*arbutusline.Kernel) error {
	p.conns = map[string]*pooledConn{}
	p.stop = make(chan struct{})
	return nil
}

// Conn returns the connection to an address. The connection is established by
// its first call.
func (p *ConnPool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if pooled, ok := p.conns[address]; ok {
		pooled.lastUsed = time.Now()
		return pooled.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		// The retry budget would not count retries by gRPC.
		grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(initialStreamWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "create gRPC client for address %q", address)
	}
	p.conns[address] = &pooledConn{conn: conn, lastUsed: time.Now()}
	return conn, nil
}

// Start starts the goroutine that closes idle connections.
func (p *ConnPool) Start(context.Context) error {
	go func() {
		ticker := time.NewTicker(idleCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-p.stop:
				return
			case now := <-ticker.C:
				p.closeIdle(now)
			}
		}
	}()
	return nil
}

// closeIdle closes the connections that Conn has not returned for IdleTimeout.
func (p *ConnPool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pooled := range p.conns {
		if now.Sub(pooled.lastUsed) > p.IdleTimeout.AsDuration() {
			_ = pooled.conn.Close()
			delete(p.conns, address)
		}
	}
}

// Stop closes all connections.
func (p *ConnPool) Stop(context.Context) error {
	close(p.stop)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pooled := range p.conns {
		_ = pooled.conn.Close()
	}
	return nil
}
