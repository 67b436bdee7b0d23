// Package ledger is the module "ledger": it drives the partitions of claims
// against the object store and forwards operations to the router that owns
// their partition.
package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/modules/admin"
	"github.com/arbutusline/arbutusline/modules/agentclient"
	"github.com/arbutusline/arbutusline/modules/node"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "ledger"

// Defaults of the settings.
const (
	defaultPartitions     = 32
	defaultForwardTimeout = 400 * time.Millisecond
	defaultSegmentBytes   = 128 << 10
	defaultMinInterval    = 150 * time.Millisecond
	defaultRetention      = 24 * time.Hour
	defaultCallTimeout    = time.Second
	defaultConfirmations  = 2
)

// finishForwardTimeout is longer than an owner holds back a finish; a shorter
// one would write the end of each request twice.
const finishForwardTimeout = 3 * time.Second

func init() { arbutusline.Register(func() arbutusline.Module { return New() }) }

// New returns the module with its default settings.
func New() *Ledger {
	return &Ledger{
		Partitions: defaultPartitions, ForwardTimeout: settings.Duration(defaultForwardTimeout),
		SegmentBytes: defaultSegmentBytes, MinInterval: settings.Duration(defaultMinInterval),
		Retention: settings.Duration(defaultRetention), CallTimeout: settings.Duration(defaultCallTimeout),
		Confirmations: defaultConfirmations,
	}
}

// Directory is the module "gossip".
type Gossip interface {
	// AliveRouterNames returns the names of the other routers that are alive.
	AliveRouterNames() []string
	Member(name string) (membership.Member, bool)
}

// Ledger carries out operations on claims.
type Ledger struct {
	// Partitions is the number of partitions. It must be the same at all
	// routers and must not change while claims are remembered. Default 32.
	Partitions int `json:"partitions"`
	// ForwardTimeout bounds a forwarded operation before this router carries it
	// out itself. Default "400ms".
	ForwardTimeout settings.Duration `json:"forward_timeout"`
	// SegmentBytes is the size at which a segment is sealed, at most 349525.
	// Default 131072.
	SegmentBytes int `json:"segment_bytes"`
	// MinInterval is the least time between two writes of a partition. Default
	// "150ms".
	MinInterval settings.Duration `json:"min_interval"`
	// Retention is how long keys are remembered. Default "24h".
	Retention settings.Duration `json:"retention"`
	// CallTimeout bounds one store call. Default "1s".
	CallTimeout settings.Duration `json:"call_timeout"`
	// Confirmations is the number of routers whose clocks must agree before a
	// segment is dropped. Default 2; a single router needs 1.
	Confirmations int `json:"confirmations"`

	log        *logrus.Entry
	routerName string
	store      objectstore.Store
	gossip     Gossip
	client     *agentclient.Client
	startTime  time.Time
	lastOpID   atomic.Uint64
	partitions []*partition
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	metrics    metrics
}

// ModuleName returns "ledger".
func (l *Ledger) ModuleName() string { return Name }

// Provision looks up the store, the directory and the connections.
func (l *Ledger) Provision(k *arbutusline.Kernel) error {
	var err error
	if l.store, err = arbutusline.Lookup[objectstore.Store](k, "objectstore"); err != nil {
		return err
	}
	if l.gossip, err = arbutusline.Lookup[Gossip](k, "gossip"); err != nil {
		return err
	}
	if l.client, err = arbutusline.Lookup[*agentclient.Client](k, agentclient.Name); err != nil {
		return err
	}
	self, err := arbutusline.Lookup[*node.Node](k, node.Name)
	if err != nil {
		return err
	}
	adm, err := arbutusline.Lookup[*admin.Admin](k, admin.Name)
	if err != nil {
		return err
	}
	l.configure(self.ID, self.Incarnation(), adm.Registry(), k.Log)
	return nil
}

// configure creates the partitions for the named router.
func (l *Ledger) configure(router string, incarnation uint64, registry prometheus.Registerer, log *logrus.Entry) {
	l.routerName = router
	l.metrics = newMetrics(registry)
	l.log = log.WithField("module", Name)
	l.startTime = time.Now()
	l.ctx, l.cancel = context.WithCancel(context.Background())
	cfg := ledger.Config{
		SegmentBytes: l.SegmentBytes, MinWriteInterval: l.MinInterval.AsDuration(),
		Retention: l.Retention.AsDuration(), ExpiryConfirmations: l.Confirmations,
	}
	for id := range l.Partitions {
		rng := rand.New(rand.NewPCG(incarnation, uint64(id)))
		l.partitions = append(l.partitions, newPartition(l, ledger.New(cfg, id, router, incarnation, rng)))
	}
}

// Validate checks the settings.
func (l *Ledger) Validate() error {
	switch {
	case l.Partitions < 1 || l.Partitions > 4096:
		return errors.Wrapf(settings.ErrInvalid, "partitions is %d, expected 1 to 4096", l.Partitions)
	case l.Confirmations < 1:
		return errors.Wrapf(settings.ErrInvalid, "confirmations is %d, expected at least 1", l.Confirmations)
	case l.MinInterval < 0 || l.Retention <= 0 || l.CallTimeout <= 0 || l.ForwardTimeout <= 0:
		return errors.Wrap(settings.ErrInvalid, "min_interval, retention, call_timeout and forward_timeout must be positive")
	}
	return nil
}

// Submit carries out an operation, at the partition's owner if that answers in
// time. The ID of the operation is ignored.
func (l *Ledger) Submit(ctx context.Context, op ledger.Op) ledger.Reply {
	part := op.Key.Partition(l.Partitions)
	if reply, ok := l.forward(ctx, part, op); ok {
		return reply
	}
	return l.SubmitLocal(ctx, op)
}

// Local carries out an operation at this router. The conditional write decides,
// so that it does not matter whether this router owns the partition.
func (l *Ledger) SubmitLocal(ctx context.Context, op ledger.Op) ledger.Reply {
	op.ID = l.lastOpID.Add(1)
	reply := l.partitions[op.Key.Partition(l.Partitions)].submit(ctx, op)
	if reply.Err == nil && op.Kind != ledger.OpFinish {
		reply.Err = l.loadAnswer(ctx, &reply.Record)
	}
	l.metrics.operations.WithLabelValues(opKindLabel(op.Kind), errorLabel(reply.Err)).Inc()
	return reply
}

// fetchAnswer reads an answer that is stored as its own object.
func (l *Ledger) loadAnswer(ctx context.Context, r *ledger.Record) error {
	if r.State != ledger.StateDone || r.AnswerObjectKey == "" || len(r.Answer) > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.CallTimeout.AsDuration())
	defer cancel()
	object, err := l.store.Get(ctx, r.AnswerObjectKey)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		r.AnswerDropped = true
		return nil
	case err != nil:
		return errors.Mark(errors.Wrap(err, "read a recorded answer"), ledger.ErrUnavailable)
	}
	r.Answer = object.Value
	return nil
}

// forward sends the operation to the owner of the partition. It returns false
// when this router should carry the operation out itself.
func (l *Ledger) forward(ctx context.Context, part int, op ledger.Op) (ledger.Reply, bool) {
	if l.gossip == nil {
		return ledger.Reply{}, false
	}
	owner := l.partitionOwner(part)
	if owner == l.routerName {
		return ledger.Reply{}, false
	}
	member, ok := l.gossip.Member(owner)
	if !ok {
		return ledger.Reply{}, false
	}
	conn, err := l.client.Conn(member.GRPCAddress)
	if err != nil {
		return ledger.Reply{}, false
	}
	wait := l.ForwardTimeout.AsDuration()
	if op.Kind == ledger.OpFinish {
		wait = finishForwardTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	resp, err := arbutuspb.NewPeerClient(conn).Claim(ctx, encodeOp(op))
	if err != nil {
		l.metrics.forwards.WithLabelValues("failed").Inc()
		return ledger.Reply{}, false
	}
	l.metrics.forwards.WithLabelValues("answered").Inc()
	reply := decodeReply(op, resp)
	return reply, !errors.Is(reply.Err, ledger.ErrUnavailable)
}

// owner returns the router that should carry out operations of a partition, so
// that concurrent claims share its writes.
func (l *Ledger) partitionOwner(part int) string {
	return ledger.Owner(part, append([]string{l.routerName}, l.gossip.AliveRouterNames()...))
}

// drainTimeout bounds the wait for ends that can't be recorded because the store
// is down. Another router asks the agent for them.
const drainTimeout = 10 * time.Second

// Stop waits until all operations have ended or ctx ends, then ends the calls to
// the store that still run.
func (l *Ledger) Stop(ctx context.Context) error {
	defer func() {
		l.cancel()
		l.goroutines.Wait()
	}()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for id, p := range l.partitions {
		if err := p.drain(ctx); err != nil {
			return errors.Wrapf(err, "partition %d", id)
		}
	}
	return nil
}

type metrics struct {
	operations *prometheus.CounterVec
	forwards   *prometheus.CounterVec
	writes     *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) metrics {
	m := metrics{
		operations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_ledger_operations_total", Help: "Ledger operations carried out here, by kind and error."}, []string{"kind", "error"}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_ledger_forwards_total", Help: "Ledger operations sent to the owner of their partition, by result."}, []string{"result"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutus_ledger_writes_total", Help: "Segment writes, by result."}, []string{"result"}),
	}
	registry.MustRegister(m.operations, m.forwards, m.writes)
	return m
}

func opKindLabel(k ledger.OpKind) string {
	switch k {
	case ledger.OpClaim:
		return "claim"
	case ledger.OpFinish:
		return "finish"
	}
	return "lookup"
}
