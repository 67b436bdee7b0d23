package outcomes

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/objectstore"
)

// forwardTimeout and, for finish operations, forwardFinishTimeout are the times after
// which a router writes a forwarded operation itself because the owner of the partition
// has not replied.
const (
	forwardTimeout       = 400 * time.Millisecond
	forwardFinishTimeout = 3 * time.Second
)

// submitOp forwards an operation to the owner of its partition. The router writes it
// itself if it is the owner, if forwarding is off or if the owner does not reply.
func (r *router) submitOp(op ledger.Op, onReply func(ledger.Reply)) {
	partition := op.Key.Partition(r.cluster.cfg.Partitions)
	owner := ledger.Owner(partition, r.cluster.runningRouters())
	if owner == r.name || owner == "" || r.cluster.cfg.NoForwarding {
		r.submitLocally(partition, op, onReply)
		return
	}
	done := false
	ownerRouter := r.cluster.routers[owner]
	r.cluster.network.sendDatagram(&r.process, &ownerRouter.process, func() {
		ownerRouter.submitLocally(partition, op, func(reply ledger.Reply) {
			r.cluster.network.sendDatagram(&ownerRouter.process, &r.process, func() {
				if !done {
					done = true
					onReply(reply)
				}
			})
		})
	})
	wait := forwardTimeout
	if op.Kind == ledger.OpFinish {
		// The owner may delay a finish by up to 500 ms, and no caller waits for it.
		wait = forwardFinishTimeout
	}
	r.runAfter(wait, func() {
		if !done {
			done = true
			r.submitLocally(partition, op, onReply)
		}
	})
}

// submitLocally adds an operation to this router's own view of the partition.
func (r *router) submitLocally(partition int, op ledger.Op, onReply func(ledger.Reply)) {
	r.lastOpID++
	op.ID = r.lastOpID
	r.replyHandlers[op.ID] = onReply
	r.stepPartition(partition, ledger.Submitted{Op: op})
}

// stepPartition applies an input to a partition, performs the resulting actions and
// schedules its next tick.
func (r *router) stepPartition(id int, in ledger.Input) {
	partition := r.partitions[id]
	if partition == nil {
		partition = ledger.New(r.cluster.cfg.Ledger, id, r.name, r.incarnation, rand.New(rand.NewPCG(r.incarnation, uint64(id))))
		r.partitions[id] = partition
	}
	for _, a := range partition.Step(r.sim.now, r.wallClock(), in) {
		r.performLedgerAction(id, a)
	}
	if tickAt, ok := partition.NextTick(); ok && r.partitionTicks[id] != tickAt {
		r.partitionTicks[id] = tickAt
		r.runAfter(max(time.Millisecond, tickAt-r.sim.now), func() {
			if r.partitionTicks[id] == tickAt {
				r.partitionTicks[id] = 0
				r.stepPartition(id, ledger.Tick{})
			}
		})
	}
}

func (r *router) performLedgerAction(partition int, a ledger.Action) {
	store := r.cluster.store
	switch a := a.(type) {
	case ledger.ListSegments:
		store.list(&r.process, a.Prefix, func(keys []string, err error) {
			r.stepPartition(partition, ledger.ListResult{ObjectKeys: keys, Err: err})
		})
	case ledger.GetSegment:
		store.get(&r.process, a.ObjectKey, func(o objectstore.Object, err error) {
			r.stepPartition(partition, ledger.GetResult{ObjectKey: a.ObjectKey, Object: o, Err: err})
		})
	case ledger.PutSegment:
		store.put(&r.process, a.ObjectKey, a.Value, a.ExpectedVersion, func(v uint64, err error) {
			if err == objectstore.ErrAmbiguous && r.cluster.cfg.Bug == BugOverwriteAfterAmbiguousWrite {
				r.overwriteSegment(partition, a)
				return
			}
			r.stepPartition(partition, ledger.PutResult{Version: v, Err: err})
		})
	case ledger.PutAnswer:
		store.put(&r.process, a.ObjectKey, a.Value, 0, func(_ uint64, err error) { r.stepPartition(partition, ledger.PutAnswerResult{OpID: a.OpID, Err: err}) })
	case ledger.DeleteSegment:
		store.remove(&r.process, a.ObjectKey, a.ExpectedVersion)
	case ledger.Reply:
		if answer := r.replyHandlers[a.ID]; answer != nil {
			delete(r.replyHandlers, a.ID)
			answer(a)
		}
	}
}

// overwriteSegment implements BugOverwriteAfterAmbiguousWrite: it repeats the write
// over whatever version the segment has.
func (r *router) overwriteSegment(partition int, a ledger.PutSegment) {
	store := r.cluster.store
	store.get(&r.process, a.ObjectKey, func(o objectstore.Object, _ error) {
		store.put(&r.process, a.ObjectKey, a.Value, o.Version, func(v uint64, err error) {
			if err != nil {
				r.overwriteSegment(partition, a)
				return
			}
			r.stepPartition(partition, ledger.PutResult{Version: v})
		})
	})
}
