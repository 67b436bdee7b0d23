// Package outcomes proves what callers are told under failure. It drives the
// decision packages of several routers and agents in one goroutine and virtual
// time, with fakes for network, store and engine, and compares what callers
// received with what the endpoints ran.
package outcomes

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// sim is the seeded event queue.
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

// between returns a random duration in [lo, hi).
func (s *simulator) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

func (s *simulator) randomBool(p float64) bool { return s.rng.Float64() < p }

// proc is a process that can be killed, frozen and restarted.
type process struct {
	sim   *simulator
	name  string
	alive bool
	// epoch counts the runs of the process; events of an earlier run are void.
	runNumber   int
	frozenUntil time.Duration
	stoppedAt   time.Duration
	// skew is the error of the wall clock.
	clockSkew time.Duration
}

// after runs fn in the process after d, later while it is frozen, and never
// once this run of the process has ended.
func (p *process) runAfter(d time.Duration, fn func()) {
	runNumber := p.runNumber
	var runUnlessFrozen func()
	runUnlessFrozen = func() {
		switch {
		case !p.alive || p.runNumber != runNumber:
		case p.sim.now < p.frozenUntil:
			p.sim.scheduleAt(p.frozenUntil, runUnlessFrozen)
		default:
			fn()
		}
	}
	p.sim.scheduleAfter(d, runUnlessFrozen)
}

func (p *process) frozen() bool { return p.sim.now < p.frozenUntil }

// wallBase is an arbitrary wall-clock time of the start.
const wallClockAtStart = 1_700_000_000 * time.Second

func (p *process) wallClock() time.Duration { return wallClockAtStart + p.sim.now + p.clockSkew }

// network carries messages between processes, and loses and delays them.
type network struct {
	sim               *simulator
	disconnectedPairs map[[2]string]bool
	// lateChance and lateBy delay single messages.
	delayProbability float64
	maxDelay         time.Duration
	// crossChance delivers an event of a run on another connection.
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

// send delivers a datagram, or nothing.
func (n *network) sendDatagram(from, to *process, fn func()) {
	if !from.alive || n.disconnected(from.name, to.name) {
		return
	}
	d := n.latency()
	n.sim.scheduleAfter(d, func() {
		if to.alive && !n.disconnected(from.name, to.name) {
			to.runAfter(0, fn)
		}
	})
}

// callTimeout bounds a unary call.
const unaryCallTimeout = time.Second

// call makes a unary call; answer runs in from with ok false after a timeout.
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

// conn is a stream between two processes: ordered, and broken for good once it
// breaks. The client side is a router (towards an agent) or a caller (towards a
// router).
type connection struct {
	network        *network
	client, server *process
	clientRun      int
	serverRun      int
	lastDeliveryAt [2]time.Duration
	broken         bool
	// closed is set once the client wants no more events; what it sent before
	// still arrives.
	closedByClient   bool
	unreachableSince time.Duration
	unreachable      bool
	// external marks a caller's connection, which is HTTP over TCP and outside
	// the project's protocols: its events are never crossed.
	fromCaller bool
	// onEvent and onBreak run in the client, onClosed in the server.
	onEvent  func(any)
	onBroken func()
	onClosed func()
}

// keepalive is how long a connection with an unreachable peer lives on.
const keepaliveTimeout = 2 * time.Second

// dial opens a connection, or returns false when the server refuses it.
func (n *network) dial(client, server *process) (*connection, bool) {
	if !server.alive || n.disconnected(client.name, server.name) {
		return nil, false
	}
	c := &connection{network: n, client: client, server: server, clientRun: client.runNumber, serverRun: server.runNumber}
	n.connections = append(n.connections, c)
	return c, true
}

func (c *connection) processEnded() bool {
	return !c.client.alive || !c.server.alive || c.client.runNumber != c.clientRun || c.server.runNumber != c.serverRun
}

func (c *connection) deliver(direction int, to *process, fn func()) {
	at := max(c.network.sim.now+c.network.latency(), c.lastDeliveryAt[direction])
	c.lastDeliveryAt[direction] = at
	c.network.sim.scheduleAt(at, func() {
		if c.broken || c.processEnded() || direction == 1 && c.closedByClient {
			return
		}
		if c.network.disconnected(c.client.name, c.server.name) {
			// Bytes of a stream are not skipped: the connection ends here.
			c.breakConnection()
			return
		}
		to.runAfter(0, func() {
			if !c.broken && (direction == 0 || !c.closedByClient) {
				fn()
			}
		})
	})
}

// toServer runs fn in the server.
func (c *connection) sendToServer(fn func()) { c.deliver(0, c.server, fn) }

// toClient delivers an event to the client, rarely to a wrong one.
func (c *connection) sendToClient(ev any) {
	dst := c
	if c.network.misdeliveryProbability > 0 && !c.fromCaller && c.network.sim.randomBool(c.network.misdeliveryProbability) {
		if other := c.network.otherConnection(c); other != nil {
			dst = other
		}
	}
	dst.deliver(1, dst.client, func() { dst.onEvent(ev) })
}

// peerConn returns another open connection between processes of the same kinds.
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

// last delivers the last event and ends the stream.
func (c *connection) sendLastEvent(ev any) {
	c.sendToClient(ev)
	c.endStream()
}

// eof ends the stream from the server. A client that has seen no last event
// takes it for a broken connection.
func (c *connection) endStream() {
	c.deliver(1, c.client, func() {
		c.broken = true
		c.onBroken()
	})
}

// close ends the connection from the client without telling the client.
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

// breakNow ends the connection and tells both sides.
func (c *connection) breakConnection() {
	if c.broken {
		return
	}
	c.broken = true
	if !c.closedByClient && c.client.alive && c.client.runNumber == c.clientRun && c.onBroken != nil {
		c.client.runAfter(time.Millisecond, c.onBroken)
	}
	if c.server.alive && c.server.runNumber == c.serverRun && c.onClosed != nil {
		c.server.runAfter(time.Millisecond, c.onClosed)
	}
}

// probe breaks the connections whose peers have been unreachable for too long.
func (n *network) checkKeepalives() {
	open := n.connections[:0]
	for _, c := range n.connections {
		unreachable := n.disconnected(c.client.name, c.server.name) || c.client.frozen() || c.server.frozen()
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
