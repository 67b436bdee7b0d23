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
	failuresBeforeRedial = 3
	// forgetAfter is how long a router that does not answer is tried.
	peerForgetTimeout = 2 * time.Minute
	// seedsEvery is the number of rounds between two tries of the seeds.
	roundsPerSeedRetry = 20
	// minConnect bounds the opening of a connection; firstBackoff and maxBackoff
	// bound the wait before the next try. After a loss of power all routers start
	// at once and wait for each other.
	minConnectTimeout  = 300 * time.Millisecond
	baseConnectBackoff = 100 * time.Millisecond
	maxConnectBackoff  = 600 * time.Millisecond
	// changeLife is how long each message carries a change of weights: the calls
	// that follow an announcement reach every router that answers.
	weightsChangeLifetime = 2 * time.Second
	// namedLife is how long the age of a weights version is told; engines have it
	// long before.
	publishTimeLifetime = time.Minute
	// partLife is how long each message carries a part: some rounds.
	cachedPartsLifetime = 500 * time.Millisecond
	// maxStrikes bounds the strikes in one message.
	maxStrikesPerMessage = 64
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

	log        *logrus.Entry
	node       *node.Node
	directory  *directory.Directory
	relay      *relay.Relay
	self       string
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	callAllNow chan struct{}

	mu             sync.Mutex
	peers          map[string]*peer
	weightsChanges []*weightsChange
	cachedParts    []*cachedParts
	round          int

	calls *prometheus.CounterVec
}

// peer is another router, by address.
type peer struct {
	address             string
	conn                *grpc.ClientConn
	consecutiveFailures int
	lastAnswerAt        time.Time
	callInProgress      bool
	unreachable         bool
	// storeLost means that the router does not reach the store.
	storeUnreachable bool
}

type weightsChange struct {
	message     *arbutuspb.WeightsChange
	announcedAt time.Time
}

type cachedParts struct {
	message *arbutuspb.HeldParts
	addedAt time.Time
}

// ModuleName returns "exchange".
func (x *Exchange) ModuleName() string { return Name }

// Provision registers the service.
func (x *Exchange) Provision(k *arbutusline.Kernel) error {
	x.log = k.Log.WithField("module", Name)
	x.peers, x.callAllNow = map[string]*peer{}, make(chan struct{}, 1)
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
	x.goroutines.Go(func() { x.runRounds(ctx) })
	return nil
}

// Stop ends the rounds and closes the connections.
func (x *Exchange) Stop(context.Context) error {
	if x.cancel != nil {
		x.cancel()
	}
	x.goroutines.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		p.close()
	}
	return nil
}

func (x *Exchange) runRounds(ctx context.Context) {
	ticker := time.NewTicker(x.Interval.AsDuration())
	defer ticker.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-x.callAllNow:
			all = true
		}
		for _, p := range x.choosePeers(all) {
			x.goroutines.Go(func() { x.callPeer(ctx, p) })
		}
	}
}

// Announce tells all routers at once how far an endpoint's change of weights is.
func (x *Exchange) AnnounceWeightsChange(endpoint, model string, version uint64, stage arbutuspb.ChangeStage) {
	message := &arbutuspb.WeightsChange{Endpoint: endpoint, Model: model, Version: version, Stage: stage}
	x.mu.Lock()
	kept := x.weightsChanges[:0]
	for _, c := range x.weightsChanges {
		if c.message.Endpoint != endpoint {
			kept = append(kept, c)
		}
	}
	x.weightsChanges = append(kept, &weightsChange{message, time.Now()})
	x.mu.Unlock()
	x.applyWeightsChange(message)
	select {
	case x.callAllNow <- struct{}{}:
	default:
	}
}

// choose returns the routers to call in this round.
func (x *Exchange) choosePeers(all bool) []*peer {
	routers := x.directory.OtherRouters()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.round++
	registered := map[string]bool{}
	for _, r := range routers {
		registered[r.Address] = true
		x.addPeer(r.Address)
	}
	if x.round%roundsPerSeedRetry == 1 {
		for _, address := range x.Seeds {
			x.addPeer(address)
		}
	}
	var ready []*peer
	for address, p := range x.peers {
		if time.Since(p.lastAnswerAt) > peerForgetTimeout && !registered[address] {
			p.close()
			delete(x.peers, address)
			continue
		}
		if !p.callInProgress {
			ready = append(ready, p)
		}
	}
	x.directory.SetWatchRank(x.watchRank())
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	if !all {
		ready = ready[:min(len(ready), x.Fanout)]
	}
	for _, p := range ready {
		p.callInProgress = true
	}
	return ready
}

// Peers returns the other routers, ordered by address.
func (x *Exchange) Peers() []*arbutuspb.RouterPeer {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]*arbutuspb.RouterPeer, 0, len(x.peers))
	for _, p := range x.peers {
		out = append(out, &arbutuspb.RouterPeer{Address: p.address, Lost: p.unreachable, StoreLost: p.storeUnreachable})
	}
	slices.SortFunc(out, func(a, b *arbutuspb.RouterPeer) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// rank returns the position of this router, by address, among those that answer
// and reach the store. The caller holds mu.
func (x *Exchange) watchRank() (rank, routers int) {
	routers = 1
	for address, p := range x.peers {
		if p.unreachable || p.consecutiveFailures > 0 || p.storeUnreachable {
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
func (x *Exchange) addPeer(address string) {
	if address == "" || address == x.self || x.peers[address] != nil {
		return
	}
	x.peers[address] = &peer{address: address, lastAnswerAt: time.Now()}
	x.log.WithField("address", address).Info("router known")
}

func (x *Exchange) callPeer(ctx context.Context, p *peer) {
	conn, err := x.connect(p)
	var answer *arbutuspb.RouterState
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		answer, err = arbutuspb.NewRouterClient(conn).Exchange(ctx, x.buildState(nil))
	}
	x.recordCall(p, err)
	if err == nil {
		x.applyState(answer)
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
			Backoff:           backoff.Config{BaseDelay: baseConnectBackoff, Multiplier: 1.5, Jitter: 0.2, MaxDelay: maxConnectBackoff},
			MinConnectTimeout: minConnectTimeout,
		}))
	if err != nil {
		return nil, errors.Wrapf(err, "router at %s", p.address)
	}
	p.conn = conn
	return conn, nil
}

func (x *Exchange) recordCall(p *peer, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p.callInProgress = false
	if err == nil {
		x.calls.WithLabelValues("ok").Inc()
		if p.unreachable {
			x.log.WithField("address", p.address).Info("router regained")
		}
		p.consecutiveFailures, p.lastAnswerAt, p.unreachable = 0, time.Now(), false
		return
	}
	x.calls.WithLabelValues("failed").Inc()
	p.consecutiveFailures++
	if p.consecutiveFailures%failuresBeforeRedial != 0 {
		return
	}
	if !p.unreachable {
		x.log.WithError(err).WithField("address", p.address).Warn("router lost")
	}
	p.unreachable = true
	p.close()
}

func (p *peer) close() {
	if p.conn != nil {
		_ = p.conn.Close() // The connection is given up; its error changes nothing.
		p.conn = nil
	}
}
