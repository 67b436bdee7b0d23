// Package exchange is the module "exchange": a gossip protocol between routers.
// Several times a second a router exchanges its state with a few others. A router
// that cannot reach the store thus still receives configurations, endpoints and
// weights versions, and each router knows the load that the others cause.
package exchange

import (
	"context"
	"math"
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
	"github.com/arbutusline/arbutusline/decision/bytebudget"
	"github.com/arbutusline/arbutusline/decision/peering"
	"github.com/arbutusline/arbutusline/internal/bootclock"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/directory"
	"github.com/arbutusline/arbutusline/modules/grpcserver"
	"github.com/arbutusline/arbutusline/modules/memory"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/modules/relay"
	"github.com/arbutusline/arbutusline/modules/streamversions"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "exchange"

const (
	// callTimeout is several hundred round trips within a region.
	callTimeout = 400 * time.Millisecond
	// pullTimeout is the timeout of a call that asks for changes of replicas. The largest
	// configurations take a router with 20 Mbit/s and a seventh of a core several hundred
	// milliseconds.
	pullTimeout = 1500 * time.Millisecond
	// failuresBeforeRedial is the number of consecutive failed calls after which the
	// connection is replaced, because it may be dead.
	failuresBeforeRedial = 3
	// peerForgetTimeout is how long a router that is not registered and does not
	// respond is still called.
	peerForgetTimeout = 2 * time.Minute
	// roundsPerSeedRetry is the number of rounds after which the seeds are added as
	// peers again.
	roundsPerSeedRetry = 20
	// minConnectTimeout is the timeout of opening a connection; baseConnectBackoff and
	// maxConnectBackoff bound the delay before the next attempt. They are short because
	// after a power failure all routers start at once and wait for each other.
	minConnectTimeout  = 300 * time.Millisecond
	baseConnectBackoff = 100 * time.Millisecond
	maxConnectBackoff  = 600 * time.Millisecond
	// weightsChangeLifetime is how long each message repeats an announced weights
	// change. The calls made after an announcement reach every router that responds.
	weightsChangeLifetime = 2 * time.Second
	// publishTimeLifetime is how long after its publication the age of a weights
	// version is sent to other routers. The engines have loaded the version long
	// before that.
	publishTimeLifetime = time.Minute
	// cachedPartsLifetime is how long each message repeats new cached parts, which is
	// several rounds.
	cachedPartsLifetime = 500 * time.Millisecond
	// maxPullBytes is the maximum size of a response with changes of replicas: several times
	// the largest configuration with the endpoints of the size to design for.
	maxPullBytes = 4 << 20
	// maxAskedAtOnce is the number of routers that a router which starts asks in a round.
	// In the second for which it waits it can ask over sixty.
	maxAskedAtOnce = 8
	// coverTime is the time in which a router that does not reach the store calls each of the
	// others. Their promises last a little longer.
	coverTime = 2 * time.Second
	// maxLimitsPerMessage is the maximum number of endpoint limits in a message.
	maxLimitsPerMessage = 256
	// recordHolders is the number of routers that hold the records of streams of each other one,
	// so that two can die with it.
	recordHolders = 3
	// maxCrashReportsPerMessage is the maximum number of crash reports in a message.
	maxCrashReportsPerMessage = 64
)

func init() {
	arbutusline.Register(func() arbutusline.Module {
		return &Exchange{Interval: settings.Duration(120 * time.Millisecond), Fanout: 3}
	})
}

// Exchange implements the gRPC service Router and calls it on other routers.
type Exchange struct {
	arbutuspb.UnimplementedRouterServer `json:"-"`

	// Interval is the time between two rounds. Default 120ms: a change reaches
	// several hundred routers within a second.
	Interval settings.Duration `json:"interval"`
	// Fanout is the number of routers called in each round. Default 3.
	Fanout int `json:"fanout"`
	// Seeds are the addresses of routers to call even before the registered routers
	// are read from the store.
	Seeds []string `json:"seeds"`

	log        *logrus.Entry
	node       *node.Node
	directory  *directory.Directory
	relay      *relay.Relay
	versions   *streamversions.StreamVersions
	memory     *bytebudget.Pool
	ownAddress string
	startTime  time.Time
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// callAllNow starts a round that calls all routers.
	callAllNow chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// announcedWeightsChanges and cachedParts are repeated in messages for their
	// lifetimes.
	announcedWeightsChanges []*announcedWeightsChange
	cachedParts             []*cachedParts
	round                   int
	// pulls limits the calls that ask for changes of replicas.
	pulls *peering.Pulls

	calls *prometheus.CounterVec
}

// peer is another router and the state of the calls to it.
type peer struct {
	address string
	// zone is the availability zone that the router registered, or empty.
	zone                string
	conn                *grpc.ClientConn
	consecutiveFailures int
	// lastResponseAt is when the peer last responded or, if it never has, when it was
	// added.
	lastResponseAt time.Time
	callInProgress bool
	// unreachable is set after failuresBeforeRedial failed calls until the next
	// response.
	unreachable bool
	// asked means that a call to the peer has ended, with a response or not.
	asked bool
	// storeUnreachable means that the peer reported that it does not reach the store.
	storeUnreachable bool
}

// announcedWeightsChange is a stage of an endpoint's weights change that this router
// announced.
type announcedWeightsChange struct {
	message     *arbutuspb.WeightsChange
	announcedAt time.Time
}

// cachedParts are prompt parts that endpoints computed or began to compute for this
// router.
type cachedParts struct {
	message *arbutuspb.HeldParts
	addedAt time.Time
}

// ModuleName returns "exchange".
func (x *Exchange) ModuleName() string { return Name }

// Provision looks up the modules that Exchange uses and registers the gRPC service.
func (x *Exchange) Provision(k *arbutusline.Kernel) error {
	x.log = k.Log.WithField("module", Name)
	x.peers, x.callAllNow, x.pulls = map[string]*peer{}, make(chan struct{}, 1), peering.NewPulls()
	x.startTime = time.Now()
	server, err := arbutusline.Lookup[*grpcserver.Server](k, grpcserver.Name)
	if err != nil {
		return err
	}
	x.ownAddress = server.Address()
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
	m, err := arbutusline.Lookup[*memory.Memory](k, memory.Name)
	if err != nil {
		return err
	}
	x.memory = m.Control()
	if x.versions, err = arbutusline.Lookup[*streamversions.StreamVersions](k, streamversions.Name); err != nil {
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

// Reload applies the new seeds and fanout.
func (x *Exchange) Reload(next arbutusline.Module) {
	n := next.(*Exchange)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Seeds, x.Fanout = n.Seeds, n.Fanout
}

// Start starts the rounds of calls.
func (x *Exchange) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	x.callAllNow <- struct{}{}
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

// runRounds calls some other routers once per interval until ctx is done.
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

// AnnounceWeightsChange sends the stage of an endpoint's weights change to all routers
// immediately and applies it to this one.
func (x *Exchange) AnnounceWeightsChange(endpoint, model string, version uint64, stage arbutuspb.ChangeStage) {
	message := &arbutuspb.WeightsChange{Endpoint: endpoint, Model: model, Version: version, Stage: stage}
	x.mu.Lock()
	kept := x.announcedWeightsChanges[:0]
	for _, c := range x.announcedWeightsChanges {
		if c.message.Endpoint != endpoint {
			kept = append(kept, c)
		}
	}
	x.announcedWeightsChanges = append(kept, &announcedWeightsChange{message, time.Now()})
	x.mu.Unlock()
	x.applyWeightsChange(message)
	select {
	case x.callAllNow <- struct{}{}:
	default:
	}
}

// choosePeers adds newly registered routers and removes those that no longer respond.
// It returns the routers to call in this round: all, or Fanout of them, most of these in
// this router's availability zone.
func (x *Exchange) choosePeers(all bool) []*peer {
	routers := x.directory.OtherRouters()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.round++
	registered := map[string]bool{}
	for _, r := range routers {
		registered[r.Address] = true
		x.addPeerLocked(r.Address)
		if p := x.peers[r.Address]; p != nil {
			p.zone = r.Zone
		}
	}
	if x.round%roundsPerSeedRetry == 1 {
		for _, address := range x.Seeds {
			x.addPeerLocked(address)
		}
	}
	var ready []peering.Candidate
	for address, p := range x.peers {
		if time.Since(p.lastResponseAt) > peerForgetTimeout && !registered[address] {
			p.close()
			delete(x.peers, address)
			continue
		}
		if !p.callInProgress {
			ready = append(ready, peering.Candidate{Address: address, SameZone: p.zone == x.node.Zone})
		}
	}
	x.directory.SetWatchRank(x.watchRankLocked())
	switch {
	case all:
	case !x.directory.StoreTrusted():
		ready = x.unaskedLocked(ready)
	case x.directory.StoreUnreachable():
		ready = x.longestSilentLocked(ready)
	default:
		ready = peering.Choose(ready, x.Fanout, rand.Shuffle)
	}
	chosen := make([]*peer, 0, len(ready))
	for _, c := range ready {
		p := x.peers[c.Address]
		p.callInProgress = true
		chosen = append(chosen, p)
	}
	return chosen
}

// unaskedLocked returns some of the routers that were not asked yet, or of all if there are none,
// for a router that needs to know their configurations. The caller holds mu.
func (x *Exchange) unaskedLocked(ready []peering.Candidate) []peering.Candidate {
	unasked := slices.DeleteFunc(slices.Clone(ready), func(c peering.Candidate) bool { return x.peers[c.Address].asked })
	if len(unasked) == 0 {
		unasked = ready
	}
	rand.Shuffle(len(unasked), func(i, j int) { unasked[i], unasked[j] = unasked[j], unasked[i] })
	return unasked[:min(len(unasked), maxAskedAtOnce)]
}

// longestSilentLocked returns the routers that have not responded for longest, for a router
// without the store that needs to know what all others know. The caller holds mu.
func (x *Exchange) longestSilentLocked(ready []peering.Candidate) []peering.Candidate {
	slices.SortFunc(ready, func(a, b peering.Candidate) int {
		return x.peers[a.Address].lastResponseAt.Compare(x.peers[b.Address].lastResponseAt)
	})
	perRound := int(math.Ceil(float64(len(x.peers)) * x.Interval.AsDuration().Seconds() / coverTime.Seconds()))
	return ready[:min(len(ready), max(x.Fanout, perRound))]
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

// watchRankLocked returns the rank of this router, by address, among the routers that
// respond and reach the store, and the number of these routers. The caller holds mu.
func (x *Exchange) watchRankLocked() (rank, routers int) {
	routers = 1
	for address, p := range x.peers {
		if p.unreachable || p.consecutiveFailures > 0 || p.storeUnreachable {
			continue
		}
		routers++
		if address < x.ownAddress {
			rank++
		}
	}
	return rank, routers
}

// addPeerLocked adds the router at an address unless it is already known or is this
// router. The caller holds mu.
func (x *Exchange) addPeerLocked(address string) {
	if address == "" || address == x.ownAddress || x.peers[address] != nil {
		return
	}
	x.peers[address] = &peer{address: address, lastResponseAt: time.Now()}
	x.log.WithField("address", address).Info("router added")
}

// callPeer exchanges states with a peer.
func (x *Exchange) callPeer(ctx context.Context, p *peer) {
	conn, err := x.connect(p)
	var response *arbutuspb.RouterState
	var begin time.Duration
	if err == nil {
		kinds, endPulls := x.beginPulls()
		defer endPulls()
		timeout := callTimeout
		if len(kinds) > 0 {
			timeout = pullTimeout
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		begin = bootclock.Now()
		state := x.buildState(nil, kinds)
		if x.holdsRecordsOf(p) {
			state.StreamRecords = encodeCursor(x.versions.HeldRecords(p.address))
		}
		response, err = arbutuspb.NewRouterClient(conn).Exchange(ctx, state)
	}
	if x.recordCall(p, err) {
		x.versions.TakeOverRecords(p.address)
	}
	if err == nil {
		x.applyState(response)
		x.confirmReplicas(begin, response.GetPositions())
		// Contact stands for knowledge, so that it begins when the state has been taken over.
		x.directory.ObserveContact()
		x.versions.ObservePromises(response.GetName(), begin, decodePromises(response.GetTablePromises()))
		if r := response.GetStreamRecords(); r != nil {
			x.versions.HoldRecords(p.address, r.GetRecords(), decodeCursor(r))
		}
	}
}

// beginPulls returns the positions of the replicas for which the next call asks, and a
// function to call after the changes have been applied. It returns none while there is too
// little memory for them.
func (x *Exchange) beginPulls() ([]directory.ReplicaPosition, func()) {
	now := time.Since(x.startTime)
	var pulled []directory.ReplicaPosition
	x.mu.Lock()
	for _, r := range x.directory.ReplicaPositions() {
		if x.pulls.Begin(now, r.Kind) {
			pulled = append(pulled, r)
		}
	}
	x.mu.Unlock()
	lease := x.memory.NewLease(nil)
	end := func() {
		lease.Release()
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, r := range pulled {
			x.pulls.End(r.Kind, now)
		}
	}
	if len(pulled) > 0 && lease.Reserve(maxPullBytes) != nil {
		end()
		return nil, func() {}
	}
	return pulled, end
}

// connect returns the connection to a peer and creates it if there is none.
func (x *Exchange) connect(p *peer) (*grpc.ClientConn, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p.conn != nil {
		return p.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+p.address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPullBytes)), grpc.WithNoProxy(), grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: baseConnectBackoff, Multiplier: 1.5, Jitter: 0.2, MaxDelay: maxConnectBackoff},
			MinConnectTimeout: minConnectTimeout,
		}))
	if err != nil {
		return nil, errors.Wrapf(err, "create gRPC client for router %s", p.address)
	}
	p.conn = conn
	return conn, nil
}

// recordCall records the result of a call to a peer. After failuresBeforeRedial
// consecutive failures it marks the peer as unreachable and closes the connection. It reports
// whether the peer has become unreachable.
func (x *Exchange) recordCall(p *peer, err error) (lost bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p.callInProgress, p.asked = false, true
	if err == nil {
		x.calls.WithLabelValues("ok").Inc()
		if p.unreachable {
			x.log.WithField("address", p.address).Info("router reachable again")
		}
		p.consecutiveFailures, p.lastResponseAt, p.unreachable = 0, time.Now(), false
		return false
	}
	x.calls.WithLabelValues("failed").Inc()
	p.consecutiveFailures++
	if p.consecutiveFailures%failuresBeforeRedial != 0 {
		return false
	}
	if lost = !p.unreachable; lost {
		x.log.WithError(err).WithField("address", p.address).Warn("router unreachable")
	}
	p.unreachable = true
	p.close()
	return lost
}

func (p *peer) close() {
	if p.conn != nil {
		_ = p.conn.Close() // The connection is discarded, so the error does not matter.
		p.conn = nil
	}
}
