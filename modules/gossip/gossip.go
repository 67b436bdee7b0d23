// Package gossip is the module "gossip": the list of live processes over UDP.
// It carries rules deltas and crash suspicions on the same datagrams.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/ruleset"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "gossip"

// Defaults of the settings.
const (
	defaultPeriod   = time.Second
	defaultHostPort = 7401
)

// leaveLinger lets the announcement of leaving go out with some probes before
// the socket closes.
const leaveLinger = 200 * time.Millisecond

func init() { arbutusline.Register(func() arbutusline.Module { return NewModule() }) }

// Clock is the time source. Now counts from an arbitrary origin.
type Clock interface {
	Now() time.Duration
	After(d time.Duration) <-chan time.Time
}

// Module runs the membership machine on a UDP socket.
type Module struct {
	// Listen is the UDP address. Default "127.0.0.1:0".
	Listen string `json:"listen"`
	// Advertise is the address that other processes use. Default: the address
	// of the socket.
	Advertise string `json:"advertise"`
	// Seeds are gossip addresses of processes to join through. They may be
	// stale; a few live ones suffice.
	Seeds []string `json:"seeds"`
	// HostPort is the gossip port of processes that the platform's host list
	// names without a port. Default 7401.
	HostPort int `json:"host_port"`
	// Period is the time between two probes. Default 1s.
	Period settings.Duration `json:"period"`

	log   *logrus.Entry
	conn  net.PacketConn
	clock Clock
	store objectstore.Store
	rng   *rand.Rand
	self  membership.Member

	mu       sync.Mutex
	machine  *membership.StateMachine
	behind   func(version uint64) []*ruleset.Delta
	events   []membership.Event
	wake     chan struct{}
	done     chan struct{}
	running  sync.WaitGroup
	stopOnce sync.Once

	dir       *directory
	changes   atomic.Uint64
	onChange  []func(membership.Member)
	onSuspect []func(*pb.Suspect)
	onDelta   []func(*ruleset.Delta, string)
	onVersion []func(uint64, string)
	metrics   metrics
}

// NewModule returns a module with default settings.
func NewModule() *Module {
	return &Module{
		Listen: "127.0.0.1:0", Seeds: []string{}, HostPort: defaultHostPort,
		Period:  settings.Duration(defaultPeriod),
		metrics: newMetrics(nil), dir: newDirectory(), wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
}

// ModuleName returns "gossip".
func (g *Module) ModuleName() string { return Name }

// Provision takes the identity from "node" and the gRPC address from "grpc".
func (g *Module) Provision(k *arbutusline.Kernel) error {
	self, err := arbutusline.Lookup[*node.Node](k, node.Name)
	if err != nil {
		return err
	}
	server, err := arbutusline.Lookup[*grpcserver.Server](k, grpcserver.Name)
	if err != nil {
		return err
	}
	g.metrics = newMetrics(k)
	// The host list is only a hint, so a process may run without the store.
	store, err := arbutusline.Lookup[objectstore.Store](k, "objectstore")
	if err != nil && !errors.Is(err, arbutusline.ErrNotLoaded) {
		return err
	}
	g.Configure(membership.Member{
		Name: self.ID, Role: self.Role, Zone: self.Zone, Endpoint: self.Endpoint,
		GRPCAddress: server.Address(), Incarnation: self.Incarnation(),
	}, systemClock{origin: time.Now()}, store, k.Log)
	return nil
}

// Configure sets what the module needs from outside; tests call it in place of
// Provision. The store may be nil.
func (g *Module) Configure(self membership.Member, clock Clock, store objectstore.Store, log *logrus.Entry) {
	g.self, g.clock, g.store = self, clock, store
	g.log = log.WithField("module", Name)
	g.rng = rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Name))))
}

// Validate checks the addresses.
func (g *Module) Validate() error {
	for _, a := range g.Seeds {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return errors.Wrapf(settings.ErrInvalid, "seed %q: expected IP:PORT", a)
		}
	}
	if g.Period <= 0 {
		return errors.Wrap(settings.ErrInvalid, "period: expected more than 0")
	}
	return nil
}

// Start opens the socket and joins in the background.
func (g *Module) Start(ctx context.Context) error {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", g.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if g.Advertise == "" {
		g.Advertise = conn.LocalAddr().String()
	}
	g.log.WithField("address", g.Advertise).Info("gossiping")
	g.Serve(conn)
	return nil
}

// Serve runs the protocol on conn until Stop.
func (g *Module) Serve(conn net.PacketConn) {
	g.conn = conn
	g.self.GossipAddress = g.Advertise
	cfg := membership.Config{ProbeInterval: g.Period.AsDuration(), CatchUpPayloads: g.payloadsFrom}
	g.mu.Lock()
	g.machine = membership.New(cfg, g.self, g.rng)
	g.machine.Start(g.clock.Now(), g.Seeds)
	g.unlockAndSend()
	g.running.Add(3)
	go g.readLoop()
	go g.tickLoop()
	go g.eventLoop()
	if g.store != nil {
		g.running.Add(1)
		go g.hostLoop()
	}
}

// Stop announces that the process leaves, waits a moment and closes the
// socket.
func (g *Module) Stop(context.Context) error {
	if g.conn == nil {
		return nil
	}
	g.Leave()
	select {
	case <-g.clock.After(leaveLinger):
	case <-g.done:
	}
	var err error
	g.stopOnce.Do(func() {
		close(g.done)
		err = g.conn.Close()
	})
	g.running.Wait()
	return err
}

// Leave announces that the process takes no new work.
func (g *Module) Leave() {
	g.withMachine(func(m *membership.StateMachine, now time.Duration) { m.Leave(now) })
}

// withMachine runs f on the machine and does what it asks for.
func (g *Module) withMachine(f func(m *membership.StateMachine, now time.Duration)) {
	g.mu.Lock()
	if g.machine == nil {
		g.mu.Unlock()
		return
	}
	self := g.machine.Self()
	f(g.machine, g.clock.Now())
	if g.machine.Self() != self {
		g.changes.Add(1)
	}
	g.unlockAndSend()
}

// unlockAndSend takes the machine's output, releases the lock and sends.
func (g *Module) unlockAndSend() {
	sends, events := g.machine.TakeOutput()
	for _, e := range events {
		if e.Member != nil {
			g.dir.set(e.Member)
			g.changes.Add(1)
		}
	}
	g.events = append(g.events, events...)
	g.mu.Unlock()
	notify(g.wake, len(events) > 0)
	for _, s := range sends {
		g.write(s)
	}
}

func notify(c chan struct{}, when bool) {
	if !when {
		return
	}
	select {
	case c <- struct{}{}:
	default:
	}
}

func (g *Module) write(s membership.OutgoingDatagram) {
	raw, err := Encode(s.Datagram)
	if err != nil {
		g.log.WithError(err).Error("encode datagram")
		return
	}
	to, err := netip.ParseAddrPort(s.To)
	if err != nil {
		g.metrics.dropped.WithLabelValues("address").Inc()
		return
	}
	// A failed send is the same as a lost datagram.
	if _, err := g.conn.WriteTo(raw, net.UDPAddrFromAddrPort(to)); err != nil {
		g.metrics.dropped.WithLabelValues("send").Inc()
		return
	}
	g.metrics.sentBytes.Add(float64(len(raw)))
	g.metrics.sent.Inc()
}

func (g *Module) readLoop() {
	defer g.running.Done()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := g.conn.ReadFrom(buf)
		if err != nil {
			select {
			case <-g.done:
				return
			case <-g.clock.After(10 * time.Millisecond):
				// Refused datagrams surface as read errors on some systems.
				continue
			}
		}
		g.metrics.receivedBytes.Add(float64(n))
		d, err := Decode(buf[:n])
		if err != nil {
			g.metrics.dropped.WithLabelValues("decode").Inc()
			continue
		}
		g.withMachine(func(m *membership.StateMachine, now time.Duration) { m.HandleDatagram(now, from.String(), d) })
	}
}

func (g *Module) tickLoop() {
	defer g.running.Done()
	for {
		g.mu.Lock()
		now := g.clock.Now()
		g.machine.Tick(now)
		wait := g.machine.NextTick() - now
		g.unlockAndSend()
		select {
		case <-g.done:
			return
		case <-g.clock.After(max(wait, time.Millisecond)):
		}
	}
}

// eventLoop calls the subscribers in the order of the events.
func (g *Module) eventLoop() {
	defer g.running.Done()
	for {
		select {
		case <-g.done:
			return
		case <-g.wake:
		}
		g.mu.Lock()
		events := g.events
		g.events = nil
		g.mu.Unlock()
		for _, e := range events {
			g.dispatch(e)
		}
	}
}

func (g *Module) dispatch(e membership.Event) {
	if e.Member != nil {
		for _, f := range g.onChange {
			f(*e.Member)
		}
	}
	if e.RulesVersion > 0 {
		for _, f := range g.onVersion {
			f(e.RulesVersion, e.From)
		}
	}
	if e.Payload == nil {
		return
	}
	switch v := e.Payload.Data.(type) {
	case *ruleset.Delta:
		for _, f := range g.onDelta {
			f(v, e.From)
		}
	case *pb.Suspect:
		for _, f := range g.onSuspect {
			f(v)
		}
	}
}
