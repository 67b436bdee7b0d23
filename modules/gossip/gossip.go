// Package gossip is the module "gossip": it maintains the list of live processes with
// the membership protocol over UDP. The same datagrams carry rules deltas and
// crash suspicions.
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
	defaultProbeInterval = time.Second
	defaultHostListPort  = 7401
)

// leaveGracePeriod is the time between the announcement that the process leaves
// and the close of the socket, so that some probes still carry the announcement.
const leaveGracePeriod = 200 * time.Millisecond

func init() { arbutusline.Register(func() arbutusline.Module { return NewModule() }) }

// Clock is a monotonic time source. Now returns the time since an arbitrary
// origin.
type Clock interface {
	Now() time.Duration
	After(d time.Duration) <-chan time.Time
}

// Module runs the membership state machine on a UDP socket.
type Module struct {
	// Listen is the UDP address to listen on. Default "127.0.0.1:0".
	Listen string `json:"listen"`
	// Advertise is the gossip address that other processes use. Default: the
	// address of the socket.
	Advertise string `json:"advertise"`
	// Seeds are gossip addresses of processes to join through. Some may be
	// outdated; a few addresses of live processes suffice.
	Seeds []string `json:"seeds"`
	// HostListPort is the gossip port of processes that the platform's host list
	// names without a port. Default 7401.
	HostListPort int `json:"host_port"`
	// ProbeInterval is the time between two membership probes. Default 1s.
	ProbeInterval settings.Duration `json:"period"`

	log   *logrus.Entry
	conn  net.PacketConn
	clock Clock
	store objectstore.Store
	rng   *rand.Rand
	self  membership.Member

	mu            sync.Mutex
	stateMachine  *membership.StateMachine
	catchUpDeltas func(version uint64) []*ruleset.Delta
	// pendingEvents are the events that no subscriber has received yet.
	pendingEvents []membership.Event
	// newEvents wakes eventLoop.
	newEvents chan struct{}
	// stop is closed by Stop.
	stop       chan struct{}
	goroutines sync.WaitGroup
	stopOnce   sync.Once

	index            *memberIndex
	memberChanges    atomic.Uint64 // number of changes of the member list
	onMemberChange   []func(membership.Member)
	onCrashSuspicion []func(*pb.Suspect)
	onRulesDelta     []func(*ruleset.Delta, string)
	onRulesVersion   []func(uint64, string)
	metrics          metrics
}

// NewModule returns a module with default settings.
func NewModule() *Module {
	return &Module{
		Listen: "127.0.0.1:0", Seeds: []string{}, HostListPort: defaultHostListPort,
		ProbeInterval: settings.Duration(defaultProbeInterval),
		metrics:       newMetrics(nil), index: newMemberIndex(), newEvents: make(chan struct{}, 1),
		stop: make(chan struct{}),
	}
}

// ModuleName returns "gossip".
func (g *Module) ModuleName() string { return Name }

// Provision reads the identity of the process from the module "node" and its
// gRPC address from "grpc".
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
	// The store only serves the host list, which is a fallback for the seeds, so
	// a process may run without it.
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

// Configure sets the dependencies of the module. Tests call it instead of
// Provision. The store may be nil.
func (g *Module) Configure(self membership.Member, clock Clock, store objectstore.Store, log *logrus.Entry) {
	g.self, g.clock, g.store = self, clock, store
	g.log = log.WithField("module", Name)
	g.rng = rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Name))))
}

// Validate checks the seeds and the period.
func (g *Module) Validate() error {
	for _, seed := range g.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return errors.Wrapf(settings.ErrInvalid, "seed %q: expected IP:PORT", seed)
		}
	}
	if g.ProbeInterval <= 0 {
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
	g.log.WithField("address", g.Advertise).Info("listening for gossip datagrams")
	g.StartOnConn(conn)
	return nil
}

// StartOnConn starts the protocol on conn and returns. The protocol runs until
// Stop.
func (g *Module) StartOnConn(conn net.PacketConn) {
	g.conn = conn
	g.self.GossipAddress = g.Advertise
	cfg := membership.Config{ProbeInterval: g.ProbeInterval.AsDuration(), CatchUpPayloads: g.catchUpPayloads}
	g.mu.Lock()
	g.stateMachine = membership.New(cfg, g.self, g.rng)
	g.stateMachine.Start(g.clock.Now(), g.Seeds)
	g.unlockAndSend()
	g.goroutines.Add(3)
	go g.receiveLoop()
	go g.tickLoop()
	go g.eventLoop()
	if g.store != nil {
		g.goroutines.Add(1)
		go g.hostListLoop()
	}
}

// Stop announces that the process leaves, waits for leaveGracePeriod and closes
// the socket.
func (g *Module) Stop(context.Context) error {
	if g.conn == nil {
		return nil
	}
	g.Leave()
	select {
	case <-g.clock.After(leaveGracePeriod):
	case <-g.stop:
	}
	var err error
	g.stopOnce.Do(func() {
		close(g.stop)
		err = g.conn.Close()
	})
	g.goroutines.Wait()
	return err
}

// Leave announces that the process accepts no new work.
func (g *Module) Leave() {
	g.withStateMachine(func(sm *membership.StateMachine, now time.Duration) { sm.Leave(now) })
}

// withStateMachine runs f on the state machine and processes its output. Before
// StartOnConn it does nothing.
func (g *Module) withStateMachine(f func(sm *membership.StateMachine, now time.Duration)) {
	g.mu.Lock()
	if g.stateMachine == nil {
		g.mu.Unlock()
		return
	}
	self := g.stateMachine.Self()
	f(g.stateMachine, g.clock.Now())
	if g.stateMachine.Self() != self {
		g.memberChanges.Add(1)
	}
	g.unlockAndSend()
}

// unlockAndSend takes the output of the state machine, releases the lock and
// sends the datagrams. The caller holds the lock.
func (g *Module) unlockAndSend() {
	datagrams, events := g.stateMachine.TakeOutput()
	for _, e := range events {
		if e.Member != nil {
			g.index.update(e.Member)
			g.memberChanges.Add(1)
		}
	}
	g.pendingEvents = append(g.pendingEvents, events...)
	g.mu.Unlock()
	signalIf(g.newEvents, len(events) > 0)
	for _, d := range datagrams {
		g.sendDatagram(d)
	}
}

// signalIf wakes the receiver of a channel with a buffer of one, if the condition
// holds.
func signalIf(signal chan struct{}, condition bool) {
	if !condition {
		return
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (g *Module) sendDatagram(out membership.OutgoingDatagram) {
	raw, err := EncodeDatagram(out.Datagram)
	if err != nil {
		g.log.WithError(err).Error("failed to encode gossip datagram")
		return
	}
	to, err := netip.ParseAddrPort(out.ToAddress)
	if err != nil {
		g.metrics.datagramsDropped.WithLabelValues("address").Inc()
		return
	}
	// A failed send is not retried: the protocol tolerates lost datagrams.
	if _, err := g.conn.WriteTo(raw, net.UDPAddrFromAddrPort(to)); err != nil {
		g.metrics.datagramsDropped.WithLabelValues("send").Inc()
		return
	}
	g.metrics.bytesSent.Add(float64(len(raw)))
	g.metrics.datagramsSent.Inc()
}

func (g *Module) receiveLoop() {
	defer g.goroutines.Done()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := g.conn.ReadFrom(buf)
		if err != nil {
			select {
			case <-g.stop:
				return
			case <-g.clock.After(10 * time.Millisecond):
				// Some systems report a refused datagram as a read error, after which
				// the socket is still usable.
				continue
			}
		}
		g.metrics.bytesReceived.Add(float64(n))
		d, err := DecodeDatagram(buf[:n])
		if err != nil {
			g.metrics.datagramsDropped.WithLabelValues("decode").Inc()
			continue
		}
		g.withStateMachine(func(sm *membership.StateMachine, now time.Duration) { sm.HandleDatagram(now, from.String(), d) })
	}
}

func (g *Module) tickLoop() {
	defer g.goroutines.Done()
	for {
		g.mu.Lock()
		now := g.clock.Now()
		g.stateMachine.Tick(now)
		wait := g.stateMachine.NextTick() - now
		g.unlockAndSend()
		select {
		case <-g.stop:
			return
		case <-g.clock.After(max(wait, time.Millisecond)):
		}
	}
}

// eventLoop passes the events to the subscribers in order.
func (g *Module) eventLoop() {
	defer g.goroutines.Done()
	for {
		select {
		case <-g.stop:
			return
		case <-g.newEvents:
		}
		g.mu.Lock()
		events := g.pendingEvents
		g.pendingEvents = nil
		g.mu.Unlock()
		for _, e := range events {
			g.callSubscribers(e)
		}
	}
}

func (g *Module) callSubscribers(e membership.Event) {
	if e.Member != nil {
		for _, f := range g.onMemberChange {
			f(*e.Member)
		}
	}
	if e.RulesVersion > 0 {
		for _, f := range g.onRulesVersion {
			f(e.RulesVersion, e.From)
		}
	}
	if e.Payload == nil {
		return
	}
	switch v := e.Payload.Data.(type) {
	case *ruleset.Delta:
		for _, f := range g.onRulesDelta {
			f(v, e.From)
		}
	case *pb.Suspect:
		for _, f := range g.onCrashSuspicion {
			f(v)
		}
	}
}
