// Package outcomes checks that callers receive correct outcomes and complete output
// when processes, the network or the store fail. It runs the decision packages of
// several routers and agents in one goroutine and virtual time, with fakes for the
// network, the object store and the engines, and compares what callers received
// with what the endpoints ran.
package outcomes

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulator runs events in virtual time. All random numbers come from its seed.
type simulator struct {
	now          time.Duration
	lastSequence uint64
	queue        eventQueue
	rng          *rand.Rand
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSimulator(seed uint64) *simulator {
	return &simulator{rng: rand.New(rand.NewPCG(seed, 0x6f7574636f6d6573))}
}

func (s *simulator) scheduleAt(t time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{max(t, s.now), s.lastSequence, run})
}

func (s *simulator) scheduleAfter(d time.Duration, run func()) { s.scheduleAt(s.now+d, run) }

func (s *simulator) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// randomDuration returns a random duration in [lo, hi).
func (s *simulator) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

// randomBool returns true with probability p.
func (s *simulator) randomBool(p float64) bool { return s.rng.Float64() < p }

// process is a process that can be killed, paused and restarted.
type process struct {
	sim     *simulator
	name    string
	running bool
	// runNumber counts the starts of the process. Events that an earlier run
	// scheduled are discarded.
	runNumber   int
	pausedUntil time.Duration
	stoppedAt   time.Duration
	// clockSkew is the error of the wall clock.
	clockSkew time.Duration
}

// runAfter runs fn in the process after d. A paused process runs fn as soon as it
// resumes; a process that has ended or restarted in the meantime never runs fn.
func (p *process) runAfter(d time.Duration, fn func()) {
	runNumber := p.runNumber
	var runUnlessPaused func()
	runUnlessPaused = func() {
		switch {
		case !p.running || p.runNumber != runNumber:
		case p.sim.now < p.pausedUntil:
			p.sim.scheduleAt(p.pausedUntil, runUnlessPaused)
		default:
			fn()
		}
	}
	p.sim.scheduleAfter(d, runUnlessPaused)
}

func (p *process) paused() bool { return p.sim.now < p.pausedUntil }

// wallClockAtStart is the wall-clock time at which the simulation starts.
const wallClockAtStart = 1_700_000_000 * time.Second

func (p *process) wallClock() time.Duration { return wallClockAtStart + p.sim.now + p.clockSkew }

// network carries messages between processes. It can lose, delay and misdeliver them.
type network struct {
	sim               *simulator
	disconnectedPairs map[[2]string]bool
	// delayProbability is the share of messages that are delayed, each by a random
	// time below maxDelay.
	delayProbability float64
	maxDelay         time.Duration
	// misdeliveryProbability is the share of events from an agent that reach the
	// router on the connection of another attempt.
	misdeliveryProbability float64
	connections            []*connection
}

func unorderedPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (n *network) disconnected(a, b string) bool { return n.disconnectedPairs[unorderedPair(a, b)] }

func (n *network) latency() time.Duration {
	d := n.sim.randomDuration(time.Millisecond, 2*time.Millisecond)
	if n.delayProbability > 0 && n.sim.randomBool(n.delayProbability) {
		d += n.sim.randomDuration(0, n.maxDelay)
	}
	return d
}

// sendDatagram runs fn in the receiver, or never if one of the processes is dead or
// they are disconnected.
func (n *network) sendDatagram(from, to *process, fn func()) {
	if !from.running || n.disconnected(from.name, to.name) {
		return
	}
	d := n.latency()
	n.sim.scheduleAfter(d, func() {
		if to.running && !n.disconnected(from.name, to.name) {
			to.runAfter(0, fn)
		}
	})
}

// unaryCallTimeout bounds a unary call.
const unaryCallTimeout = time.Second

// unaryCall runs handle in the process to and onResult in the process from. After a
// timeout, onResult gets the zero value and false.
func unaryCall[T any](n *network, from, to *process, handle func(reply func(T)), onResult func(T, bool)) {
	done := false
	resolve := func(v T, ok bool) {
		if !done {
			done = true
			onResult(v, ok)
		}
	}
	n.sendDatagram(from, to, func() {
		handle(func(v T) { n.sendDatagram(to, from, func() { resolve(v, true) }) })
	})
	from.runAfter(unaryCallTimeout, func() {
		var zero T
		resolve(zero, false)
	})
}

// connection is an ordered stream between two processes. The client is a router that
// connects to an agent, or a caller that connects to a router. A broken connection
// is never restored.
type connection struct {
	network        *network
	client, server *process
	// clientRunNumber and serverRunNumber are the run numbers of the processes at the
	// time of the dial.
	clientRunNumber int
	serverRunNumber int
	// lastDeliveryAt is the time of the last delivery in each direction.
	lastDeliveryAt [2]time.Duration
	broken         bool
	// closedByClient is true after the client has closed the connection. The client
	// receives no more events; messages that it sent before still reach the server.
	closedByClient   bool
	unreachableSince time.Duration
	unreachable      bool
	// fromCaller is true for the connection of a caller. It is plain HTTP and not
	// one of the project's protocols, so its events are never misdelivered.
	fromCaller bool
	// onEvent and onBroken run in the client, onClosed in the server.
	onEvent  func(any)
	onBroken func()
	onClosed func()
}

// keepaliveTimeout is the time after which a connection to an unreachable peer
// breaks.
const keepaliveTimeout = 2 * time.Second

// dial opens a connection. It returns false when the server cannot be reached.
func (n *network) dial(client, server *process) (*connection, bool) {
	if !server.running || n.disconnected(client.name, server.name) {
		return nil, false
	}
	c := &connection{network: n, client: client, server: server, clientRunNumber: client.runNumber, serverRunNumber: server.runNumber}
	n.connections = append(n.connections, c)
	return c, true
}

// processEnded reports whether the client or the server has ended or restarted since
// the dial.
func (c *connection) processEnded() bool {
	return !c.client.running || !c.server.running || c.client.runNumber != c.clientRunNumber || c.server.runNumber != c.serverRunNumber
}

// Directions of a connection.
const (
	toServer = 0
	toClient = 1
)

// deliver runs fn in the process to, after everything sent before in the same
// direction.
func (c *connection) deliver(direction int, to *process, fn func()) {
	at := max(c.network.sim.now+c.network.latency(), c.lastDeliveryAt[direction])
	c.lastDeliveryAt[direction] = at
	c.network.sim.scheduleAt(at, func() {
		if c.broken || c.processEnded() || direction == toClient && c.closedByClient {
			return
		}
		if c.network.disconnected(c.client.name, c.server.name) {
			// A stream cannot lose a part of its bytes, so the connection breaks.
			c.breakConnection()
			return
		}
		to.runAfter(0, func() {
			if !c.broken && (direction == toServer || !c.closedByClient) {
				fn()
			}
		})
	})
}

// sendToServer runs fn in the server.
func (c *connection) sendToServer(fn func()) { c.deliver(toServer, c.server, fn) }

// sendToClient delivers an event to the client, or misdelivers it on another
// connection.
func (c *connection) sendToClient(ev any) {
	dst := c
	if c.network.misdeliveryProbability > 0 && !c.fromCaller && c.network.sim.randomBool(c.network.misdeliveryProbability) {
		if other := c.network.otherConnection(c); other != nil {
			dst = other
		}
	}
	dst.deliver(toClient, dst.client, func() { dst.onEvent(ev) })
}

// otherConnection returns a random other open connection between the same two
// processes, or nil.
func (n *network) otherConnection(c *connection) *connection {
	var candidates []*connection
	for _, o := range n.connections {
		if o != c && !o.broken && !o.closedByClient && !o.processEnded() && o.server == c.server && o.client == c.client {
			candidates = append(candidates, o)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[n.sim.rng.IntN(len(candidates))]
}

// sendLastEvent delivers the last event and ends the stream.
func (c *connection) sendLastEvent(ev any) {
	c.sendToClient(ev)
	c.endStream()
}

// endStream ends the stream from the server. A client that has received no last
// event treats this as a broken connection.
func (c *connection) endStream() {
	c.deliver(toClient, c.client, func() {
		c.broken = true
		c.onBroken()
	})
}

// close ends the connection from the client. onBroken is not called.
func (c *connection) close() {
	if c.broken || c.closedByClient {
		return
	}
	c.closedByClient = true
	c.sendToServer(func() {
		c.broken = true
		if c.onClosed != nil {
			c.onClosed()
		}
	})
}

// breakConnection breaks the connection and notifies the processes that still run.
func (c *connection) breakConnection() {
	if c.broken {
		return
	}
	c.broken = true
	if !c.closedByClient && c.client.running && c.client.runNumber == c.clientRunNumber && c.onBroken != nil {
		c.client.runAfter(time.Millisecond, c.onBroken)
	}
	if c.server.running && c.server.runNumber == c.serverRunNumber && c.onClosed != nil {
		c.server.runAfter(time.Millisecond, c.onClosed)
	}
}

// checkKeepalives breaks the connections whose client or server has ended or has been
// unreachable for keepaliveTimeout. It runs every 100 ms.
func (n *network) checkKeepalives() {
	open := n.connections[:0]
	for _, c := range n.connections {
		unreachable := n.disconnected(c.client.name, c.server.name) || c.client.paused() || c.server.paused()
		switch {
		case c.processEnded():
			c.breakConnection()
		case !unreachable:
			c.unreachable = false
		case !c.unreachable:
			c.unreachable, c.unreachableSince = true, n.sim.now
		case n.sim.now-c.unreachableSince >= keepaliveTimeout:
			c.breakConnection()
		}
		if !c.broken {
			open = append(open, c)
		}
	}
	clear(n.connections[len(open):])
	n.connections = open
	n.sim.scheduleAfter(100*time.Millisecond, n.checkKeepalives)
}
