package outcomes

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/attempt"
)

// submission is one copy of a request that a caller sent, with what the caller
// received for it.
type submission struct {
	request         *request
	copyNumber      int
	submittedAt     time.Duration
	router          string
	routerRunNumber int
	// resumeRequestID and resumeEndpoint are needed to resume the stream at another
	// router. They are empty until an agent has admitted the request.
	resumeRequestID string
	resumeEndpoint  string
	receivedTokens  []string
	ended           bool
	// connectionBroken is true when the connection broke before the caller received
	// an outcome.
	connectionBroken bool
	outcome          attempt.Outcome
	code             attempt.Code
	reason           string
	answer           string
	endedAt          time.Duration
	// requestIDs are the request IDs that routers assigned to it.
	requestIDs []string
}

// retryingCaller submits copies of one request until it receives a final outcome.
type retryingCaller struct {
	cluster          *cluster
	request          *request
	retryUntil       time.Duration
	copiesSent       int
	firstSubmittedAt time.Duration
	// remainingResends is how often the caller still sends the request again after it
	// completed or was quarantined.
	remainingResends int
}

// submitRequest sends a request from a new caller, which sends it again until
// retryWindow has passed.
func (cl *cluster) submitRequest(req *request, retryWindow time.Duration) *retryingCaller {
	c := &retryingCaller{cluster: cl, request: req, retryUntil: cl.sim.now + retryWindow, firstSubmittedAt: cl.sim.now}
	c.submit()
	return c
}

// pickRouter returns a random router that takes requests, or nil. It simulates the
// platform's load balancer.
func (cl *cluster) pickRouter() *router {
	var candidates []*router
	for _, n := range cl.routerNames {
		if r := cl.routers[n]; r.running && !r.stopping {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[cl.sim.rng.IntN(len(candidates))]
}

// retryAfter submits the next copy after d unless the retry window has passed.
func (c *retryingCaller) retryAfter(d time.Duration) {
	if c.cluster.sim.now+d < c.retryUntil {
		c.cluster.callerProcess.runAfter(d, c.submit)
	}
}

func (c *retryingCaller) submit() {
	r := c.cluster.pickRouter()
	if r == nil {
		c.retryAfter(500 * time.Millisecond)
		return
	}
	c.submitTo(r)
}

func (c *retryingCaller) submitTo(r *router) {
	c.copiesSent++
	sub := &submission{request: c.request, copyNumber: c.copiesSent, submittedAt: c.cluster.sim.now, router: r.name, routerRunNumber: r.runNumber}
	c.cluster.history.submissions = append(c.cluster.history.submissions, sub)
	conn, ok := c.cluster.network.dial(c.cluster.callerProcess, &r.process)
	if !ok {
		sub.ended, sub.connectionBroken = true, true
		c.retryAfter(200 * time.Millisecond)
		return
	}
	c.receiveEvents(conn, sub)
	conn.sendToServer(func() {
		c.cluster.history.recordArrival(r, sub)
		r.handleRequest(conn, sub)
	})
}

func (c *retryingCaller) receiveEvents(conn *connection, sub *submission) {
	conn.fromCaller = true
	conn.onBroken = func() { c.handleBrokenConnection(sub) }
	conn.onEvent = func(ev any) {
		if sub.ended {
			return
		}
		switch ev := ev.(type) {
		case startedEvent:
			sub.resumeRequestID, sub.resumeEndpoint = ev.requestID, ev.endpoint
		case tokensEvent:
			if ev.offset != len(sub.receivedTokens) {
				c.cluster.history.addViolation(invariantCompleteOutput, "%s received tokens at offset %d, expected %d", sub.request.key, ev.offset, len(sub.receivedTokens))
			}
			sub.receivedTokens = append(sub.receivedTokens, ev.tokens...)
		case finishEvent:
			conn.close()
			c.handleFinish(sub, ev)
		}
	}
}

// handleBrokenConnection resumes a stream at another router. Any other request is
// submitted again.
func (c *retryingCaller) handleBrokenConnection(sub *submission) {
	if sub.ended {
		return
	}
	r := c.cluster.pickRouter()
	if sub.request.atMostOnce || sub.resumeRequestID == "" || r == nil {
		sub.ended, sub.connectionBroken, sub.endedAt = true, true, c.cluster.sim.now
		c.retryAfter(100 * time.Millisecond)
		return
	}
	conn, ok := c.cluster.network.dial(c.cluster.callerProcess, &r.process)
	if !ok {
		sub.ended, sub.connectionBroken, sub.endedAt = true, true, c.cluster.sim.now
		c.retryAfter(100 * time.Millisecond)
		return
	}
	c.cluster.history.resumeCount++
	c.receiveEvents(conn, sub)
	offset := len(sub.receivedTokens)
	conn.sendToServer(func() { r.handleResume(conn, sub.resumeRequestID, sub.resumeEndpoint, sub.request.team, offset) })
}

func (c *retryingCaller) handleFinish(sub *submission, ev finishEvent) {
	sub.ended, sub.endedAt = true, c.cluster.sim.now
	sub.outcome, sub.code, sub.answer, sub.reason = ev.outcome, ev.code, ev.answer, ev.reason
	switch {
	case ev.outcome == attempt.OutcomeDone:
		if c.remainingResends > 0 {
			c.remainingResends--
			c.retryAfter(50 * time.Millisecond)
		}
	case ev.code == attempt.CodeOutcomeUnknown, ev.code == attempt.CodeAlreadyNotRun, ev.code == attempt.CodeAnswerExpired:
	case ev.code == attempt.CodeQuarantined:
		if c.remainingResends > 0 {
			c.remainingResends--
			c.retryAfter(300 * time.Millisecond)
		}
	default:
		c.retryAfter(300 * time.Millisecond)
	}
}
