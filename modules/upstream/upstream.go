// Package upstream is the module "upstream": HTTP connections to endpoints. It
// sends one request at a time on a connection, matches each answer with its
// request by id, and says of every failure whether the request may have run.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "upstream"

// Errors of Do.
var (
	// ErrNotSent means that no byte of the request reached the endpoint.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken means that the request was sent in part or whole and no usable
	// answer came: it may have run.
	ErrIncompleteResponse = errors.New("connection broke before the answer was complete")
)

const (
	// concurrentWriteBytes is the body size from which the answer is read while
	// the body is still being written: an endpoint may answer early, and a body
	// above the socket's window would otherwise block both sides.
	concurrentWriteBytes = 8 << 10
	// maxForeignAnswers is the number of answers to other requests that are
	// skipped before a connection is given up.
	maxMismatchedResponses = 4
	// maxForeignBytes bounds the body of an answer to another request.
	maxMismatchedBodyBytes = 64 << 10
	readBufferBytes        = 4 << 10
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Client{
			DialTimeout: settings.Duration(400 * time.Millisecond),
			AckTimeout:  settings.Duration(1500 * time.Millisecond),
			MaxIdleTime: settings.Duration(4 * time.Second),
		}
	})
}

// Client holds the connections to all endpoints. It is safe for concurrent use.
type Client struct {
	// DialTimeout bounds the opening of a connection. Default 400ms, some
	// hundred round trips between availability zones.
	DialTimeout settings.Duration `json:"dial_timeout"`
	// AckTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead. Default 1.5s.
	AckTimeout settings.Duration `json:"ack_timeout"`
	// MaxIdle is the longest time that an idle connection is kept; an endpoint
	// that states a shorter time prevails. Default 4s.
	MaxIdleTime settings.Duration `json:"max_idle"`

	mu                sync.Mutex
	pools             map[string]*pool
	connectionsOpened prometheus.Counter
	failures          *prometheus.CounterVec
}

type pool struct {
	idle      []*conn
	openCount int
}

// ModuleName returns "upstream".
func (c *Client) ModuleName() string { return Name }

// Provision registers the metrics.
func (c *Client) Provision(k *arbutusline.Kernel) error {
	c.pools = map[string]*pool{}
	c.connectionsOpened = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "arbutus_upstream_connections_opened_total", Help: "Connections opened to endpoints.",
	})
	c.failures = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_upstream_failures_total", Help: "Failed exchanges with endpoints by reason.",
	}, []string{"reason"})
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	a.Registry().MustRegister(c.connectionsOpened, c.failures)
	return nil
}

// Validate checks that the times are positive.
func (c *Client) Validate() error {
	if c.DialTimeout <= 0 || c.AckTimeout <= 0 || c.MaxIdleTime <= 0 {
		return errors.New("dial_timeout, ack_timeout and max_idle must be positive")
	}
	return nil
}

// Request is one request to an endpoint.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is compared with the id in the answer. Empty accepts any answer.
	ID string
	// IDHeader is the header of the answer that repeats ID.
	IDHeader string
	// MaxIdle is the age up to which an idle connection is used for this
	// request. Zero means the client's limit.
	MaxIdleTime time.Duration
	// MaxConnections bounds the open connections to the endpoint, 0 for no
	// bound.
	MaxConnections int
}

// Answer is an endpoint's answer. Body must be closed; its Read fails with
// ErrBroken when the connection ends before the body is complete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Do sends the request to the address and returns the head of its answer. It
// fails with ErrNotSent, ErrBroken or, when ctx ended after the request was
// sent, with an error that is both ErrBroken and the context's. The end of ctx
// closes the connection at any time until the body is closed.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.acquireConn(ctx, address, r)
	if err != nil {
		c.failures.WithLabelValues("dial").Inc()
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
	}
	cn.closeOnContextEnd(ctx)
	response, err := cn.roundTrip(r)
	if err != nil {
		cn.discard()
		c.failures.WithLabelValues("exchange").Inc()
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, errors.Mark(errors.Wrapf(err, "exchange with %s", address), ErrIncompleteResponse)
	}
	return response, nil
}

// take returns an idle connection or opens one.
func (c *Client) acquireConn(ctx context.Context, address string, r *Request) (*conn, error) {
	limit := c.MaxIdleTime.AsDuration()
	if r.MaxIdleTime > 0 {
		limit = min(limit, r.MaxIdleTime)
	}
	for {
		cn, err := c.popIdleOrReserve(address, r.MaxConnections)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			return c.dial(ctx, address)
		}
		if time.Since(cn.idleSince) < min(limit, cn.idleLimit) && cn.isUsable() {
			return cn, nil
		}
		cn.discard()
	}
}

func (c *Client) popIdleOrReserve(address string, maxConnections int) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	if n := len(p.idle); n > 0 {
		cn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return cn, nil
	}
	if maxConnections > 0 && p.openCount >= maxConnections {
		return nil, errors.Newf("%d connections are open", p.openCount)
	}
	p.openCount++
	return nil, nil
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout: c.DialTimeout.AsDuration(), Control: c.setSocketOptions,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		c.releaseReservation(address)
		return nil, err
	}
	c.connectionsOpened.Inc()
	return newConn(c, address, nc), nil
}

// Check opens a connection to the address and closes it.
func (c *Client) CheckReachable(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: c.DialTimeout.AsDuration()}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	return nc.Close()
}

func (c *Client) releaseReservation(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		return
	}
	if p.openCount--; p.openCount <= 0 && len(p.idle) == 0 {
		delete(c.pools, address)
	}
}

func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.idleSince = time.Now()
	p := c.pools[cn.address]
	p.idle = append(p.idle, cn)
}

// CloseIdle closes the connections that have been idle for too long.
func (c *Client) CloseExpiredConns() {
	for _, cn := range c.removeExpired() {
		cn.discard()
	}
}

func (c *Client) removeExpired() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []*conn
	for _, p := range c.pools {
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if time.Since(cn.idleSince) < min(c.MaxIdleTime.AsDuration(), cn.idleLimit) {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		p.idle = kept
	}
	return expired
}
