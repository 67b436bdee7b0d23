// Package upstream is the module "upstream", an HTTP client with a connection pool per
// endpoint. It sends one request at a time on a connection and no ID twice, matches each
// response with its request by ID, and reports for every failure whether the request may have run.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/internal/content"
	"github.com/arbutusline/arbutusline/internal/wait"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "upstream"

// Errors of Do.
var (
	// ErrNotSent means that no byte of the request reached the endpoint.
	ErrNotSent = errors.New("request was not sent")
	// ErrIncompleteResponse means that at least a part of the request was sent and no
	// complete response to it arrived. The request may have run.
	ErrIncompleteResponse = errors.New("connection failed before the response was complete")
	// ErrAbandoned means that the request was given up before it was sent. Such an error
	// also matches ErrNotSent.
	ErrAbandoned = errors.New("request was given up before it was sent")
)

// ConnectionLost reports whether err means that the endpoint closed or reset the
// connection before the response was complete. Bytes that are no response and a host that
// went silent do not count.
func ConnectionLost(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

const (
	// minConcurrentWriteBytes is the body size from which the response is read while
	// the body is still being written. An endpoint may respond early, and a body
	// larger than the socket's window would otherwise block both sides.
	minConcurrentWriteBytes = 8 << 10
	// maxMismatchedResponses is the number of responses to other requests after which
	// a connection is closed.
	maxMismatchedResponses = 4
	// maxMismatchedBodyBytes bounds the body of a response to another request.
	maxMismatchedBodyBytes = 64 << 10
	readBufferBytes        = 4 << 10
	// freeHeadBytes is the part of a head that does not count as memory of the response. Each
	// connection has a read buffer of that size.
	freeHeadBytes = readBufferBytes
	// headExpansion is how many times its length a head needs once it is parsed.
	headExpansion = 2
	// maxDiscardBytes and discardTimeout bound how much of a body that nobody needs is read so
	// that its connection can be used again.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
	// expiryInterval is the time between two searches for connections that have been idle for
	// too long: short against MaxIdleTime, after which they are not used any more.
	expiryInterval = time.Second
	// maxRequestsPerConn is the number of requests after which a connection is closed. It bounds
	// what the connection remembers of them to 2 KB, and to 8 MB over 4,100 connections.
	maxRequestsPerConn = 256
	// maxLoggedIDBytes bounds the ID of another request in a log line.
	maxLoggedIDBytes = 64
	// maxHeadBytes bounds the head of a response, with the bytes of the body that are read
	// along with it. Bytes that are no response may come without end.
	maxHeadBytes = 64 << 10
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

// Client is an HTTP client for all endpoints. It is safe for concurrent use.
type Client struct {
	// DialTimeout bounds the time to open a connection. Default 400ms, some hundred
	// round trips between availability zones.
	DialTimeout settings.Duration `json:"dial_timeout"`
	// AckTimeout is how long sent data may remain unacknowledged before the
	// connection is closed. Default 1.5s.
	AckTimeout settings.Duration `json:"ack_timeout"`
	// MaxIdleTime is how long an idle connection is kept, unless the endpoint states a
	// shorter time. Default 4s.
	MaxIdleTime settings.Duration `json:"max_idle"`

	log *logrus.Entry
	// memory is the memory for responses.
	memory *bytebudget.Pool

	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu                sync.Mutex
	pools             map[string]*pool
	connectionsOpened prometheus.Counter
	responsesSkipped  prometheus.Counter
	failures          *prometheus.CounterVec
}

// pool holds the connections to one address.
type pool struct {
	idle []*conn
	// openCount is the number of connections that are open or have a reserved slot.
	openCount int
}

// ModuleName returns "upstream".
func (c *Client) ModuleName() string { return Name }

// Provision registers the metrics.
func (c *Client) Provision(k *arbutusline.Kernel) error {
	c.log = k.Log.WithField("module", Name)
	c.pools = map[string]*pool{}
	c.connectionsOpened = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "arbutus_upstream_connections_opened_total", Help: "Connections opened to endpoints.",
	})
	c.responsesSkipped = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "arbutus_upstream_responses_skipped_total", Help: "Responses of endpoints to other requests than the one that was waiting.",
	})
	c.failures = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_upstream_failures_total", Help: "Failed exchanges with endpoints by reason.",
	}, []string{"reason"})
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	a.Registry().MustRegister(c.connectionsOpened, c.responsesSkipped, c.failures)
	m, err := arbutusline.Lookup[*memory.Memory](k, memory.Name)
	if err != nil {
		return err
	}
	c.memory = m.Endpoints()
	return nil
}

// Validate checks that all durations are positive.
func (c *Client) Validate() error {
	if c.DialTimeout <= 0 || c.AckTimeout <= 0 || c.MaxIdleTime <= 0 {
		return errors.New("dial_timeout, ack_timeout and max_idle must be positive")
	}
	return nil
}

// Start starts to close the connections that have been idle for too long. No next request finds
// those to an endpoint that is gone.
func (c *Client) Start(context.Context) error {
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(context.Background())
	c.goroutines.Go(func() {
		for ctx.Err() == nil {
			wait.For(ctx, expiryInterval)
			c.closeExpiredConns()
		}
	})
	return nil
}

// Stop ends the goroutine of Start.
func (c *Client) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
	}
	c.goroutines.Wait()
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
	// ID is the request's ID, which the response must repeat. If it is empty, the response
	// must have none. A connection carries each ID once. A call without an ID, other than by GET,
	// gets a connection that has carried no such call.
	ID string
	// MaxIdleTime is the longest time that a connection may have been idle before it
	// is used for this request. 0 means the client's limit.
	MaxIdleTime time.Duration
	// MaxConnections bounds the open connections to the endpoint. 0 means no limit.
	MaxConnections int
	// Abandoned reports whether the request was given up meanwhile. Do calls it last before
	// it sends the request. nil means that only the context tells.
	Abandoned func() bool
	// Team is the account to whose share of the memory for responses the response counts, or ""
	// if there is none.
	Team string
	// SentAt is when Do began to send the request. Do sets it; it stays zero if no
	// connection was available.
	SentAt time.Time
	// Connection describes the connection on which Do sent the request.
	Connection ConnectionInfo
}

// ConnectionInfo describes a connection to an endpoint as a request found it.
type ConnectionInfo struct {
	// LocalAddress is the router's address of the connection, by which the endpoint knows it. It is
	// empty if the request was not sent.
	LocalAddress string
	// Carried is the number of requests that the connection had carried before.
	Carried int
	// Skipped is the number of responses to other requests that were read before the response.
	Skipped int
}

// Response is an endpoint's response. Body must be closed. Its Read fails with
// ErrIncompleteResponse if the connection ends before the body is complete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Memory is what the response holds of the memory for responses, such as for a long head.
	// The reader of the body adds what it keeps. Closing the body releases it, unless ReadAll
	// has passed it on.
	Memory *bytebudget.Lease

	body *responseBody
	// length is the length of the body in bytes, or -1 if it is unknown.
	length int64
	// SelfDelimited is false if only the end of the connection ends the body. Its end then
	// does not show that the endpoint completed it.
	SelfDelimited bool
}

// Length returns the length of the body in bytes if the response states it.
func (r *Response) Length() (bytes int64, stated bool) { return r.length, r.length >= 0 }

// ReadAll reads the body to its end, at most limit bytes. It fails with the errors of Body and
// those of content.Read. The content must be released.
func (r *Response) ReadAll(limit int) (*content.Content, error) {
	r.body.lease = nil
	return content.Read(r.Body, r.length, r.Memory, limit)
}

// Discard reads the rest of a body that nobody needs, so that its connection can be used again,
// unless it is long, late or without a length.
func (r *Response) Discard() {
	if r.SelfDelimited {
		r.body.discard()
	}
}

// Do sends the request to the address and returns the response, whose body is not read
// yet. It fails with ErrNotSent or ErrIncompleteResponse. If ctx ended after the
// request was sent, the error matches both ErrIncompleteResponse and the error of ctx.
// Until the body is closed, the end of ctx closes the connection.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.acquireConn(ctx, address, r)
	if err != nil {
		c.failures.WithLabelValues("dial").Inc()
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
	}
	if r.abandoned(ctx) {
		c.putIdle(cn)
		return nil, errors.Mark(ErrAbandoned, ErrNotSent)
	}
	cn.closeOnContextEnd(ctx)
	response, err := cn.roundTrip(r)
	if err != nil {
		err = cn.explain(err)
		cn.discard()
		cn.end(nil)
		c.failures.WithLabelValues("exchange").Inc()
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, errors.Mark(errors.Wrapf(err, "HTTP request to %s", address), ErrIncompleteResponse)
	}
	return response, nil
}

// abandoned reports whether the request was given up. The deadline of ctx may have passed
// although ctx has not ended, because timers fire late in a busy process.
func (r *Request) abandoned(ctx context.Context) bool {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return true
	}
	return ctx.Err() != nil || r.Abandoned != nil && r.Abandoned()
}

// acquireConn returns an idle connection or opens one.
func (c *Client) acquireConn(ctx context.Context, address string, r *Request) (*conn, error) {
	limit := c.MaxIdleTime.AsDuration()
	if r.MaxIdleTime > 0 {
		limit = min(limit, r.MaxIdleTime)
	}
	for {
		cn, err := c.popIdleOrReserveSlot(address, r)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			return c.dial(ctx, address)
		}
		if time.Since(cn.idleSince) < min(limit, cn.maxIdleTime) && cn.isUsable() {
			return cn, nil
		}
		cn.discard()
	}
}

// popIdleOrReserveSlot returns an idle connection that may carry the request. If there is none, it
// reserves a slot for a new connection and returns nil. It fails if MaxConnections are in use.
func (c *Client) popIdleOrReserveSlot(address string, r *Request) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	if cn := p.popIdle(r); cn != nil {
		return cn, nil
	}
	if r.MaxConnections <= 0 || p.openCount < r.MaxConnections {
		p.openCount++
		return nil, nil
	}
	if len(p.idle) == 0 {
		return nil, errors.Newf("connection limit reached: %d connections are open", p.openCount)
	}
	p.idle[0].discardKeepingSlot()
	p.idle = slices.Delete(p.idle, 0, 1)
	return nil, nil
}

// popIdle removes the connection that was used last among those that may carry the request, and
// returns it. It returns nil if there is none.
func (p *pool) popIdle(r *Request) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if cn := p.idle[i]; cn.mayCarry(r) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return cn
		}
	}
	return nil
}

// dial opens a connection in a reserved slot. It releases the slot on failure.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout: c.DialTimeout.AsDuration(), Control: c.setSocketOptions,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveProbes,
		},
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		c.releaseSlot(address)
		return nil, err
	}
	c.connectionsOpened.Inc()
	return newConn(c, address, nc), nil
}

// CheckReachable opens a connection to the address and closes it.
func (c *Client) CheckReachable(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: c.DialTimeout.AsDuration()}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	return nc.Close()
}

// releaseSlot releases the slot of a closed connection.
func (c *Client) releaseSlot(address string) {
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

// closeExpiredConns closes the connections that have been idle for too long.
func (c *Client) closeExpiredConns() {
	for _, cn := range c.removeExpired() {
		cn.discard()
	}
}

// removeExpired removes the connections that have been idle for too long from their
// pools and returns them.
func (c *Client) removeExpired() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []*conn
	for _, p := range c.pools {
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if time.Since(cn.idleSince) < min(c.MaxIdleTime.AsDuration(), cn.maxIdleTime) {
				kept = append(kept, cn)
			} else {
				expired = append(expired, cn)
			}
		}
		p.idle = kept
	}
	return expired
}
