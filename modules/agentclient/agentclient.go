// Package agentclient is the module "agents": the router's gRPC connections to
// agents and other processes, one for each address.
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

// ErrStopped means that the module has been stopped.
var ErrStopped = errors.New("connections are closed")

const (
	maxMessageBytes = 16 << 20
	windowBytes     = 256 << 10
	pingEvery       = 10 * time.Second
	pingTimeout     = 3 * time.Second
	sweepEvery      = 30 * time.Second
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Client{IdleTimeout: settings.Duration(10 * time.Minute)}
	})
}

// Client keeps connections.
type Client struct {
	// IdleTimeout is how long an unused connection is kept. Default "10m".
	IdleTimeout settings.Duration `json:"idle_timeout"`

	mu     sync.Mutex
	conns  map[string]*entry
	closed bool
	stop   chan struct{}
}

type entry struct {
	conn *grpc.ClientConn
	used time.Time
}

// ModuleName returns "agents".
func (c *Client) ModuleName() string { return Name }

// Provision creates the table of connections.
func (c *Client) Provision(*arbutusline.Kernel) error {
	c.conns = map[string]*entry{}
	c.stop = make(chan struct{})
	return nil
}

// Conn returns the connection to an address. It connects when first used.
func (c *Client) Conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrStopped
	}
	if e, ok := c.conns[address]; ok {
		e.used = time.Now()
		return e.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		// A gRPC retry would hide an attempt from the retry budget.
		grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingTimeout}),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	c.conns[address] = &entry{conn: conn, used: time.Now()}
	return conn, nil
}

// Start begins to close unused connections.
func (c *Client) Start(context.Context) error {
	go func() {
		ticker := time.NewTicker(sweepEvery)
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case now := <-ticker.C:
				c.sweep(now)
			}
		}
	}()
	return nil
}

func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, e := range c.conns {
		if now.Sub(e.used) > c.IdleTimeout.AsDuration() {
			_ = e.conn.Close()
			delete(c.conns, address)
		}
	}
}

// Stop closes all connections.
func (c *Client) Stop(context.Context) error {
	close(c.stop)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, e := range c.conns {
		_ = e.conn.Close()
	}
	return nil
}
