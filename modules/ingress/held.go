package ingress

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/fleet"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/modules/relay"
	"github.com/arbutusline/arbutusline/platform"
)

const (
	// requestBytes is what a request takes besides its body and its response: buffers of both
	// connections, headers and stacks. 300 streams whose callers did not read took 49 KB each.
	requestBytes = 48 << 10
	// bodyChunkBytes is the size of the first buffer and of the steps in which memory for a body
	// without a stated length is taken.
	bodyChunkBytes = 16 << 10
	// minStallLimit is the shortest time after which a caller that reads or sends nothing is cut
	// off: callers leave a stream after a pause of two seconds, and their processes may pause, too.
	minStallLimit = 5 * time.Second
	// discardTimeout bounds the time in which the rest of a refused body is read, so that the
	// refusal does not wait for a caller that sends slowly.
	discardTimeout = 100 * time.Millisecond
	// memoryRetryAfter is the Retry-After of refusals because memory for callers is short. Callers
	// that go on to read free some within about a second; others hold it until they are cut off.
	memoryRetryAfter = time.Second
	// remainingPartToReturn divides the time that a caller has: callers honour a Retry-After up to
	// a third of it.
	remainingPartToReturn = 3
)

// Reasons of refusals because of memory.
const (
	// reasonMemory means that the memory for callers is used up.
	reasonMemory = "caller_memory"
	// reasonTeamMemory means that the callers of the team hold the team's share of it.
	reasonTeamMemory = "team_memory"
	// reasonBodyStalled means that the caller stopped to send its body.
	reasonBodyStalled = "body_stalled"
)

// holding is the memory that a request takes until its caller has the response.
type holding struct {
	team  string
	lease *bytebudget.Lease
}

func (h *holding) release() { h.lease.Release() }

// hold takes memory for a request, its body and its expected response, or refuses the request. The
// configuration may change while the body arrives; the memory stays with the team of this one.
func (g *Ingress) hold(r *http.Request, config *fleet.Configuration, h *holding) *refusal {
	name, expected := "", 0
	if team := config.TeamForKey(platform.APIKey(r.Header)); team != nil {
		name = team.Name
	}
	if route := config.RouteFor(r.Host, r.URL.EscapedPath()); route != nil {
		expected = g.sizes.expect(route.Name)
	}
	h.team = memory.TeamAccount(name)
	h.lease = g.callers.NewTeamLease(h.team, nil)
	limit := maxBodyBytes(config.Limits)
	bytes := requestBytes + expected + int(max(0, min(r.ContentLength, limit)))
	if err := h.lease.Reserve(bytes); err != nil {
		return g.refuseMemory(r, h, "callers", bytes, err)
	}
	if !g.responses.MayWait(h.team, int64(expected)) {
		return g.refuseMemory(r, h, "endpoints", expected, bytebudget.ErrTeamExhausted)
	}
	return nil
}

// refuseMemory logs why there is no memory for a request and returns its refusal.
func (g *Ingress) refuseMemory(r *http.Request, h *holding, pool string, wanted int, err error) *refusal {
	reason := reasonMemory
	if errors.Is(err, bytebudget.ErrTeamExhausted) {
		reason = reasonTeamMemory
	}
	p := g.callers
	if pool != "callers" {
		p = g.responses
	}
	largest, largestHeld := p.LargestTeam()
	retryAfter := min(memoryRetryAfter, requestTimeout(r.Header, nil)/remainingPartToReturn)
	g.log.WithFields(logrus.Fields{
		"request": r.Header.Get(platform.HeaderRequestID), "reason": reason, "pool": pool, "team": h.team, "team_held": p.Held(h.team),
		"wanted": wanted, "used": p.Used(), "limit": p.Capacity(), "largest_team": largest, "largest_held": largestHeld,
		"retry_after_ms": retryAfter.Milliseconds(),
	}).Warn("request refused because memory for callers is short")
	return &refusal{http.StatusServiceUnavailable, reason, retryAfter}
}

// requestTimeout returns how long the caller and its route, if it is known, wait for the response.
func requestTimeout(h http.Header, route *fleet.Route) time.Duration {
	timeout, err := platform.RequestTimeout(h)
	if err != nil || timeout == 0 {
		timeout = defaultTimeout
	}
	if route != nil && route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

// stallLimit returns how long a caller may read or send nothing: as long as it waits for the whole
// response.
func stallLimit(h http.Header, route *fleet.Route) time.Duration {
	return max(minStallLimit, requestTimeout(h, route))
}

// observeStall records that a caller was cut off because it read nothing.
func (g *Ingress) observeStall(c *callerConn, unsentBytes int) {
	g.stalled.WithLabelValues("read").Inc()
	request := c.request.Load()
	g.log.WithFields(logrus.Fields{
		"request": request.id, "address": c.RemoteAddr().String(), "limit_ms": request.stallLimit.Milliseconds(), "unsent": unsentBytes,
	}).Warn("connection closed because the caller reads nothing")
}

func maxBodyBytes(limits fleet.Limits) int64 {
	if limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return limits.MaxBodyBytes
}

func (g *Ingress) readBody(w http.ResponseWriter, r *http.Request, limits fleet.Limits, h *holding) ([]byte, *refusal) {
	if limits.MaxHeaderBytes > 0 && headerSize(r) > limits.MaxHeaderBytes {
		return nil, &refusal{http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := maxBodyBytes(limits)
	reader := &bodyReader{inner: http.MaxBytesReader(w, r.Body, limit), controller: http.NewResponseController(w), stallLimit: stallLimit(r.Header, nil)}
	body, err := readAll(reader, r.ContentLength, limit, h.lease)
	if deadlineErr := reader.end(); err == nil {
		err = deadlineErr
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	case errors.Is(err, bytebudget.ErrExhausted):
		return nil, g.refuseMemory(r, h, "callers", bodyChunkBytes, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.stalled.WithLabelValues("send").Inc()
		return nil, &refusal{http.StatusRequestTimeout, reasonBodyStalled, 0}
	}
	return nil, &refusal{http.StatusBadRequest, "body_incomplete", 0}
}

// bodyReader reads a body and fails with os.ErrDeadlineExceeded if the caller sends nothing for too
// long.
type bodyReader struct {
	inner      io.Reader
	controller *http.ResponseController
	stallLimit time.Duration
	// deadline is the deadline that is set at the connection.
	deadline time.Time
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if now := time.Now(); b.deadline.Sub(now) < b.stallLimit {
		// Up to a quarter more, so that few reads set a timer.
		b.deadline = now.Add(b.stallLimit + b.stallLimit/4)
		if err := b.controller.SetReadDeadline(b.deadline); err != nil {
			return 0, err
		}
	}
	return b.inner.Read(p)
}

// end lets the connection be read without a deadline.
func (b *bodyReader) end() error { return b.controller.SetReadDeadline(time.Time{}) }

// boundDiscard bounds the time in which the server reads the rest of a refused body. The server sets
// its own deadline for the next request.
func (g *Ingress) boundDiscard(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		g.log.WithField("request", r.Header.Get(platform.HeaderRequestID)).WithError(err).Debug("failed to bound the rest of a refused body")
	}
}

// readAll reads a body whose length is -1 or, up to the limit, the one for which the lease holds
// memory. The buffer grows with what arrives, because a caller may state a length and send nothing.
func readAll(r io.Reader, length, limit int64, lease *bytebudget.Lease) ([]byte, error) {
	known := length > 0
	length = min(length, limit)
	size := int64(bodyChunkBytes)
	if known {
		// The byte more lets the end be read without another buffer.
		size = min(size, length+1)
	}
	body := make([]byte, 0, size)
	charged := int64(0)
	for {
		if len(body) == cap(body) {
			size = int64(2 * cap(body))
			if known {
				size = min(size, length+1)
			}
			if !known && size > charged {
				// Both buffers are there while one is copied.
				if err := lease.Reserve(int(size + int64(cap(body)) - charged)); err != nil {
					return nil, err
				}
				charged = size + int64(cap(body))
			}
			larger := make([]byte, len(body), size)
			copy(larger, body)
			body = larger
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// responseSizes estimates the length of responses by route. The names of routes come from the
// configuration; those that are gone are few.
type responseSizes struct {
	mu     sync.Mutex
	routes map[string]bytebudget.Size
}

func (s *responseSizes) observe(route string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]bytebudget.Size{}
	}
	s.routes[route] = s.routes[route].Observe(bytes)
}

func (s *responseSizes) expect(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.routes[route].Expected(), relay.MaxResponseBytes)
}
