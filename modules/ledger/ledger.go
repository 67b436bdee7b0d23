// Package ledger is the module "ledger": it runs the state machines of the claim
// partitions against the object store and forwards operations to the router that
// owns their partition.
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
	defaultPartitions          = 32
	defaultForwardTimeout      = 400 * time.Millisecond
	defaultSegmentBytes        = 128 << 10
	defaultMinWriteInterval    = 150 * time.Millisecond
	defaultRetention           = 24 * time.Hour
	defaultCallTimeout         = time.Second
	defaultExpiryConfirmations = 2
)

// finishForwardTimeout must exceed the time for which the owner delays a finish so
// that it shares a write with a claim. With a shorter timeout this router would write
// each finish a second time.
const finishForwardTimeout = 3 * time.Second

func init() { arbutusline.Register(func() arbutusline.Module { return New() }) }

// New returns the module with its default settings.
func New() *Ledger {
	return &Ledger{
		Partitions: defaultPartitions, ForwardTimeout: settings.Duration(defaultForwardTimeout),
		SegmentBytes: defaultSegmentBytes, MinWriteInterval: settings.Duration(defaultMinWriteInterval),
		Retention: settings.Duration(defaultRetention), CallTimeout: settings.Duration(defaultCallTimeout),
		ExpiryConfirmations: defaultExpiryConfirmations,
	}
}

// Gossip is the part of the module "gossip" that the ledger uses.
type Gossip interface {
	// AliveRouterNames returns the names of the other routers in state Alive.
	AliveRouterNames() []string
	Member(name string) (membership.Member, bool)
}

// Ledger runs operations on claims.
type Ledger struct {
	// Partitions is the number of partitions. It must be the same at all
	// routers and must not change while claims are stored. Default 32.
	Partitions int `json:"partitions"`
	// ForwardTimeout is how long a forwarded operation may take before this
	// router runs it itself. Default "400ms".
	ForwardTimeout settings.Duration `json:"forward_timeout"`
	// SegmentBytes is the size at which a segment is sealed, at most 349525, a third
	// of the largest object that the store accepts. Default 131072.
	SegmentBytes int `json:"segment_bytes"`
	// MinWriteInterval is the minimum time between two writes of a partition. Default
	// "150ms".
	MinWriteInterval settings.Duration `json:"min_interval"`
	// Retention is the minimum time that a key is kept. Default "24h".
	Retention settings.Duration `json:"retention"`
	// CallTimeout bounds one store call. Default "1s".
	CallTimeout settings.Duration `json:"call_timeout"`
	// ExpiryConfirmations is the number of routers whose clocks must show that a
	// segment is past its retention before it is deleted. Default 2; a single
	// router needs 1.
	ExpiryConfirmations int `json:"confirmations"`

	log        *logrus.Entry
	routerName string
	store      objectstore.Store
	gossip     Gossip
	connPool   *agentclient.ConnPool
	// startTime is the origin of the monotonic time of the partitions.
	startTime time.Time
	// lastOpID is the last operation ID assigned.
	lastOpID   atomic.Uint64
	partitions []*partition
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	metrics    metrics
}

// ModuleName returns "ledger".
func (l *Ledger) ModuleName() string { return Name }

// Provision looks up the modules that the ledger uses.
func (l *Ledger) Provision(k *arbutusline.Kernel) error {
	var err error
	if l.store, err = arbutusline.Lookup[objectstore.Store](k, "objectstore"); err != nil {
		return err
	}
	if l.gossip, err = arbutusline.Lookup[Gossip](k, "gossip"); err != nil {
		return err
	}
	if l.connPool, err = arbutusline.Lookup[*agentclient.ConnPool](k, agentclient.Name); err != nil {
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
		SegmentBytes: l.SegmentBytes, MinWriteInterval: l.MinWriteInterval.AsDuration(),
		Retention: l.Retention.AsDuration(), ExpiryConfirmations: l.ExpiryConfirmations,
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
	case l.ExpiryConfirmations < 1:
		return errors.Wrapf(settings.ErrInvalid, "confirmations is %d, expected at least 1", l.ExpiryConfirmations)
	case l.MinWriteInterval < 0 || l.Retention <= 0 || l.CallTimeout <= 0 || l.ForwardTimeout <= 0:
		return errors.Wrap(settings.ErrInvalid, "min_interval, retention, call_timeout and forward_timeout must be positive")
	}
	return nil
}

// Submit runs an operation, at the owner of its partition if the owner answers in
// time, otherwise at this router. The ID of the operation is ignored.
func (l *Ledger) Submit(ctx context.Context, op ledger.Op) ledger.Reply {
	partitionID := op.Key.Partition(l.Partitions)
	if reply, ok := l.forward(ctx, partitionID, op); ok {
		return reply
	}
	return l.SubmitLocal(ctx, op)
}

// SubmitLocal runs an operation at this router. The conditional write of the
// segment decides the result, so it does not matter whether this router owns the
// partition.
func (l *Ledger) SubmitLocal(ctx context.Context, op ledger.Op) ledger.Reply {
	op.ID = l.lastOpID.Add(1)
	reply := l.partitions[op.Key.Partition(l.Partitions)].submit(ctx, op)
	if reply.Err == nil && op.Kind != ledger.OpFinish {
		reply.Err = l.loadAnswer(ctx, &reply.Record)
	}
	l.metrics.operations.WithLabelValues(opKindLabel(op.Kind), errorLabel(reply.Err)).Inc()
	return reply
}

// loadAnswer reads the answer of a record if it is stored as a separate object.
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

// forward sends the operation to the owner of the partition. It returns false if
// this router must run the operation itself.
func (l *Ledger) forward(ctx context.Context, partitionID int, op ledger.Op) (ledger.Reply, bool) {
	if l.gossip == nil {
		return ledger.Reply{}, false
	}
	owner := l.partitionOwner(partitionID)
	if owner == l.routerName {
		return ledger.Reply{}, false
	}
	member, ok := l.gossip.Member(owner)
	if !ok {
		return ledger.Reply{}, false
	}
	conn, err := l.connPool.Conn(member.GRPCAddress)
	if err != nil {
		return ledger.Reply{}, false
	}
	timeout := l.ForwardTimeout.AsDuration()
	if op.Kind == ledger.OpFinish {
		timeout = finishForwardTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// partitionOwner returns the name of the router that runs the operations of a
// partition, so that concurrent claims share its writes.
func (l *Ledger) partitionOwner(partitionID int) string {
	return ledger.Owner(partitionID, append([]string{l.routerName}, l.gossip.AliveRouterNames()...))
}

// drainTimeout bounds how long Stop waits for finishes that cannot be recorded
// because the store is down. For a claim without a recorded finish, another router
// asks the agent for the outcome.
const drainTimeout = 10 * time.Second

// Stop waits until no operation is pending, at most drainTimeout or until ctx ends.
// It then cancels the store calls in progress.
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
