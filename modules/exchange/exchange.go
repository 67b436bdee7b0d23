// Package exchange is the module "exchange": routers tell each other what they
// know. Several times a second a router exchanges its state with a few others,
// so that a router that the store turns away still learns of configurations,
// endpoints and weights, and each knows the load that the others cause.
package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/relay"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "exchange"

const (
	// callTimeout is some hundred round trips within a region.
	callTimeout = 400 * time.Millisecond
	// redialAfter is the number of calls in a row without an answer after which
	// a connection is replaced: it may have gone silent.
	redialAfter = 3
	// forgetAfter is how long a router that does not answer is tried.
	forgetAfter = 2 * time.Minute
	// seedsEvery is the number of rounds between two tries of the seeds.
	seedsEvery = 20
	// minConnect bounds the opening of a connection; firstBackoff and maxBackoff
	// bound the wait before the next try. After a loss of power all routers start
	// at once and wait for each other.
	minConnect   = 300 * time.Millisecond
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
	// changeLife is how long each message carries a change of weights: the calls
	// that follow an announcement reach every router that answers.
	changeLife = 2 * time.Second
	// namedLife is how long the age of a weights version is told; engines have it
	// long before.
	namedLife = time.Minute
	// partLife is how long each message carries a part: some rounds.
	partLife = 500 * time.Millisecond
	// maxStrikes bounds the strikes in one message.
	maxStrikes = 64
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Exchange{Interval: settings.Duration(120 * time.Millisecond), Fanout: 3}
	})
}

// Exchange spreads state between routers.
type Exchange struct {
	arbutuspb.UnimplementedRouterServer `json:"-"`

	// Interval is the time between two rounds. Default 120ms: news reaches some
	// hundred routers within a second.
	Interval settings.Duration `json:"interval"`
	// Fanout is the number of routers called in each round. Default 3.
	Fanout int `json:"fanout"`
	// Seeds are addresses of routers that may be known before the store answers.
	Seeds []string `json:"seeds"`

	log       *logrus.Entry
	node      *node.Node
	directory *directory.Directory
	relay     *relay.Relay
	self      string
	cancel    context.CancelFunc
	done      sync.WaitGroup
	nudge     chan struct{}

	mu      sync.Mutex
	peers   map[string]*peer
	changes []*change
	parts   []*heldNews
	round   int

	calls *prometheus.CounterVec
}

// peer is another router, by address.
type peer struct {
	address string
	conn    *grpc.ClientConn
	misses  int
	heard   time.Time
	busy    bool
	lost    bool
	// storeLost means that the router does not reach the store.
	storeLost bool
}

type change struct {
	news *arbutuspb.WeightsChange
	at   time.Time
}

type heldNews struct {
	news *arbutuspb.HeldParts
	at   time.Time
}

// ModuleName returns "exchange".
func (x *Exchange) ModuleName() string { return Name }

// Provision registers the service.
func (x *Exchange) Provision(k *arbutusline.Kernel) error {
	x.log = k.Log.WithField("module", Name)
	x.peers, x.nudge = map[string]*peer{}, make(chan struct{}, 1)
	server, err := arbutusline.Lookup[*grpcserver.Server](k, grpcserver.Name)
	if err != nil {
		return err
	}
	x.self = server.Address()
	a, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	if x.node, err = arbutusline.Lookup[*node.Node](k, node.Name); err != nil {
		return err
	}
	if x.directory, err = arbutusline.Lookup[*directory.Directory](k, directory.Name); err != nil {
		return err
	}
	if x.relay, err = arbutusline.Lookup[*relay.Relay](k, relay.Name); err != nil {
		return err
	}
	x.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "arbutus_exchange_calls_total", Help: "Exchanges with other routers by result.",
	}, []string{"result"})
	a.Registry().MustRegister(x.calls)
	arbutuspb.RegisterRouterServer(server.Registrar(), x)
	return nil
}

// Validate checks the settings.
func (x *Exchange) Validate() error {
	if x.Interval <= 0 || x.Fanout < 1 {
		return errors.New("interval and fanout must be positive")
	}
	return nil
}

// Reload takes the seeds and the fanout.
func (x *Exchange) Reload(next arbutusline.Module) {
	n := next.(*Exchange)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Seeds, x.Fanout = n.Seeds, n.Fanout
}

// Start begins the rounds.
func (x *Exchange) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	x.done.Go(func() { x.rounds(ctx) })
	return nil
}

// Stop ends the rounds and closes the connections.
func (x *Exchange) Stop(context.Context) error {
	if x.cancel != nil {
		x.cancel()
	}
	x.done.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		p.close()
	}
	return nil
}

func (x *Exchange) rounds(ctx context.Context) {
	ticker := time.NewTicker(x.Interval.AsDuration())
	defer ticker.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-x.nudge:
			all = true
		}
		for _, p := range x.choose(all) {
			x.done.Go(func() { x.call(ctx, p) })
		}
	}
}

// Announce tells all routers at once how far an endpoint's change of weights is.
func (x *Exchange) Announce(endpoint, model string, version uint64, stage arbutuspb.ChangeStage) {
	news := &arbutuspb.WeightsChange{Endpoint: endpoint, Model: model, Version: version, Stage: stage}
	x.mu.Lock()
	kept := x.changes[:0]
	for _, c := range x.changes {
		if c.news.Endpoint != endpoint {
			kept = append(kept, c)
		}
	}
	x.changes = append(kept, &change{news, time.Now()})
	x.mu.Unlock()
	x.take(news)
	select {
	case x.nudge <- struct{}{}:
	default:
	}
}

// choose returns the routers to call in this round.
func (x *Exchange) choose(all bool) []*peer {
	routers := x.directory.Routers()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.round++
	known := map[string]bool{}
	for _, r := range routers {
		known[r.Address] = true
		x.peer(r.Address)
	}
	if x.round%seedsEvery == 1 {
		for _, address := range x.Seeds {
			x.peer(address)
		}
	}
	var ready []*peer
	for address, p := range x.peers {
		if time.Since(p.heard) > forgetAfter && !known[address] {
			p.close()
			delete(x.peers, address)
			continue
		}
		if !p.busy {
			ready = append(ready, p)
		}
	}
	x.directory.SetRank(x.rank())
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	if !all {
		ready = ready[:min(len(ready), x.Fanout)]
	}
	for _, p := range ready {
		p.busy = true
	}
	return ready
}

// Peers returns the other routers, ordered by address.
func (x *Exchange) Peers() []*arbutuspb.RouterPeer {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]*arbutuspb.RouterPeer, 0, len(x.peers))
	for _, p := range x.peers {
		out = append(out, &arbutuspb.RouterPeer{Address: p.address, Lost: p.lost, StoreLost: p.storeLost})
	}
	slices.SortFunc(out, func(a, b *arbutuspb.RouterPeer) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// rank returns the position of this router, by address, among those that answer
// and reach the store. The caller holds mu.
func (x *Exchange) rank() (rank, routers int) {
	routers = 1
	for address, p := range x.peers {
		if p.lost || p.misses > 0 || p.storeLost {
			continue
		}
		routers++
		if address < x.self {
			rank++
		}
	}
	return rank, routers
}

// peer adds a router unless it is known or this one. The caller holds mu.
func (x *Exchange) peer(address string) {
	if address == "" || address == x.self || x.peers[address] != nil {
		return
	}
	x.peers[address] = &peer{address: address, heard: time.Now()}
	x.log.WithField("address", address).Info("router known")
}

func (x *Exchange) call(ctx context.Context, p *peer) {
	conn, err := x.connect(p)
	var answer *arbutuspb.RouterState
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		answer, err = arbutuspb.NewRouterClient(conn).Exchange(ctx, x.state(nil))
	}
	x.answered(p, err)
	if err == nil {
		x.merge(answer)
	}
}

func (x *Exchange) connect(p *peer) (*grpc.ClientConn, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p.conn != nil {
		return p.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+p.address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstBackoff, Multiplier: 1.5, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: minConnect,
		}))
	if err != nil {
		return nil, errors.Wrapf(err, "router at %s", p.address)
	}
	p.conn = conn
	return conn, nil
}

func (x *Exchange) answered(p *peer, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p.busy = false
	if err == nil {
		x.calls.WithLabelValues("ok").Inc()
		if p.lost {
			x.log.WithField("address", p.address).Info("router regained")
		}
		p.misses, p.heard, p.lost = 0, time.Now(), false
		return
	}
	x.calls.WithLabelValues("failed").Inc()
	p.misses++
	if p.misses%redialAfter != 0 {
		return
	}
	if !p.lost {
		x.log.WithError(err).WithField("address", p.address).Warn("router lost")
	}
	p.lost = true
	p.close()
}

func (p *peer) close() {
	if p.conn != nil {
		_ = p.conn.Close() // The connection is given up; its error changes nothing.
		p.conn = nil
	}
}
