package outcomes

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/attempt"
)

// submission is one copy of a request that a caller sent, until its end.
type submission struct {
	req       *request
	n         int
	at        time.Duration
	router    string
	epoch     int
	requestID string
	endpoint  string
	received  []string
	ended     bool
	// cut is true when the connection broke before an end was told.
	cut     bool
	outcome attempt.Outcome
	code    attempt.Code
	// why is the reason that the caller was told.
	why     string
	answer  string
	endedAt time.Duration
	// ids are the request ids that routers gave it.
	ids []string
}

// client submits one request again and again until it knows the end.
type client struct {
	w     *world
	req   *request
	until time.Duration
	n     int
	// first is when the first copy was sent.
	first time.Duration
	// resend makes the caller repeat even a quarantined request.
	resend int
}

func (w *world) call(req *request, patience time.Duration) *client {
	c := &client{w: w, req: req, until: w.sim.now + patience, first: w.sim.now}
	c.submit()
	return c
}

// pick is the platform's load balancer.
func (w *world) pick() *router {
	var up []*router
	for _, n := range w.routerNames {
		if r := w.routers[n]; r.alive && !r.stopping {
			up = append(up, r)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.sim.rng.IntN(len(up))]
}

func (c *client) again(d time.Duration) {
	if c.w.sim.now+d < c.until {
		c.w.client.after(d, c.submit)
	}
}

func (c *client) submit() {
	r := c.w.pick()
	if r == nil {
		c.again(500 * time.Millisecond)
		return
	}
	c.submitTo(r)
}

func (c *client) submitTo(r *router) {
	c.n++
	sub := &submission{req: c.req, n: c.n, at: c.w.sim.now, router: r.name, epoch: r.epoch}
	c.w.hist.subs = append(c.w.hist.subs, sub)
	conn, ok := c.w.net.dial(c.w.client, &r.proc)
	if !ok {
		sub.ended, sub.cut = true, true
		c.again(200 * time.Millisecond)
		return
	}
	c.listen(conn, sub)
	conn.toServer(func() {
		c.w.hist.arrived(r, sub)
		r.handle(conn, sub)
	})
}

func (c *client) listen(conn *conn, sub *submission) {
	conn.external = true
	conn.onBreak = func() { c.broken(sub) }
	conn.onEvent = func(ev any) {
		if sub.ended {
			return
		}
		switch ev := ev.(type) {
		case startedEv:
			sub.requestID, sub.endpoint = ev.requestID, ev.endpoint
		case tokensEv:
			if ev.offset != len(sub.received) {
				c.w.hist.violate("I2", "%s: tokens at %d, expected %d", sub.req.key, ev.offset, len(sub.received))
			}
			sub.received = append(sub.received, ev.tokens...)
		case finishEv:
			conn.close()
			c.finished(sub, ev)
		}
	}
}

// broken handles the loss of the connection: a stream is resumed at another
// router, anything else is sent again.
func (c *client) broken(sub *submission) {
	if sub.ended {
		return
	}
	r := c.w.pick()
	if sub.req.once || sub.requestID == "" || r == nil {
		sub.ended, sub.cut, sub.endedAt = true, true, c.w.sim.now
		c.again(100 * time.Millisecond)
		return
	}
	conn, ok := c.w.net.dial(c.w.client, &r.proc)
	if !ok {
		sub.ended, sub.cut, sub.endedAt = true, true, c.w.sim.now
		c.again(100 * time.Millisecond)
		return
	}
	c.w.hist.resumed++
	c.listen(conn, sub)
	offset := len(sub.received)
	conn.toServer(func() { r.handleResume(conn, sub.requestID, sub.endpoint, sub.req.team, offset) })
}

func (c *client) finished(sub *submission, ev finishEv) {
	sub.ended, sub.endedAt = true, c.w.sim.now
	sub.outcome, sub.code, sub.answer, sub.why = ev.outcome, ev.code, ev.answer, ev.why
	switch {
	case ev.outcome == attempt.OutcomeDone:
		if c.resend > 0 {
			c.resend--
			c.again(50 * time.Millisecond)
		}
	case ev.code == attempt.CodeOutcomeUnknown, ev.code == attempt.CodeAlreadyNotRun, ev.code == attempt.CodeAnswerExpired:
	case ev.code == attempt.CodeQuarantined:
		if c.resend > 0 {
			c.resend--
			c.again(300 * time.Millisecond)
		}
	default:
		c.again(300 * time.Millisecond)
	}
}
