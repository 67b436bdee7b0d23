package outcomes

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/objectstore"
)

// Time after which a router writes a forwarded operation itself.
const (
	forwardTimeout       = 400 * time.Millisecond
	forwardFinishTimeout = 3 * time.Second
)

// submit sends an operation to the partition's owner, or carries it out here
// when this router is the owner or the owner does not answer.
func (r *router) submit(op ledger.Op, answer func(ledger.Reply)) {
	part := op.Key.Partition(r.w.cfg.Partitions)
	owner := ledger.Owner(part, r.w.aliveRouters())
	if owner == r.name || owner == "" || r.w.cfg.NoForwarding {
		r.local(part, op, answer)
		return
	}
	done := false
	to := r.w.routers[owner]
	r.w.net.send(&r.proc, &to.proc, func() {
		to.local(part, op, func(reply ledger.Reply) {
			r.w.net.send(&to.proc, &r.proc, func() {
				if !done {
					done = true
					answer(reply)
				}
			})
		})
	})
	wait := forwardTimeout
	if op.Kind == ledger.OpFinish {
		// The owner holds a finish back for up to 500 ms, and nobody waits.
		wait = forwardFinishTimeout
	}
	r.after(wait, func() {
		if !done {
			done = true
			r.local(part, op, answer)
		}
	})
}

func (r *router) local(part int, op ledger.Op, answer func(ledger.Reply)) {
	r.ops++
	op.ID = r.ops
	r.replies[op.ID] = answer
	r.feed(part, ledger.Submitted{Op: op})
}

func (r *router) feed(part int, in ledger.Input) {
	p := r.partitions[part]
	if p == nil {
		p = ledger.New(r.w.cfg.Ledger, part, r.name, r.incarnation, rand.New(rand.NewPCG(r.incarnation, uint64(part))))
		r.partitions[part] = p
	}
	for _, a := range p.Step(r.sim.now, r.clock(), in) {
		r.ledgerAct(part, a)
	}
	if at, ok := p.NextTick(); ok && r.wakes[part] != at {
		r.wakes[part] = at
		r.after(max(time.Millisecond, at-r.sim.now), func() {
			if r.wakes[part] == at {
				r.wakes[part] = 0
				r.feed(part, ledger.Tick{})
			}
		})
	}
}

func (r *router) ledgerAct(part int, a ledger.Action) {
	s := r.w.store
	switch a := a.(type) {
	case ledger.ListSegments:
		s.list(&r.proc, a.Prefix, func(keys []string, err error) { r.feed(part, ledger.ListResult{ObjectKeys: keys, Err: err}) })
	case ledger.GetSegment:
		s.get(&r.proc, a.ObjectKey, func(o objectstore.Object, err error) {
			r.feed(part, ledger.GetResult{ObjectKey: a.ObjectKey, Object: o, Err: err})
		})
	case ledger.PutSegment:
		s.put(&r.proc, a.ObjectKey, a.Value, a.ExpectedVersion, func(v uint64, err error) {
			if err == objectstore.ErrAmbiguous && r.w.cfg.Fault == FaultAmbiguousBlind {
				r.overwrite(part, a)
				return
			}
			r.feed(part, ledger.PutResult{Version: v, Err: err})
		})
	case ledger.PutAnswer:
		s.put(&r.proc, a.ObjectKey, a.Value, 0, func(_ uint64, err error) { r.feed(part, ledger.PutAnswerResult{OpID: a.OpID, Err: err}) })
	case ledger.DeleteSegment:
		s.drop(&r.proc, a.ObjectKey, a.ExpectedVersion)
	case ledger.Reply:
		if answer := r.replies[a.ID]; answer != nil {
			delete(r.replies, a.ID)
			answer(a)
		}
	}
}

// overwrite is a deliberate fault: an ambiguous write is repeated over whatever
// version is there.
func (r *router) overwrite(part int, a ledger.PutSegment) {
	s := r.w.store
	s.get(&r.proc, a.ObjectKey, func(o objectstore.Object, _ error) {
		s.put(&r.proc, a.ObjectKey, a.Value, o.Version, func(v uint64, err error) {
			if err != nil {
				r.overwrite(part, a)
				return
			}
			r.feed(part, ledger.PutResult{Version: v})
		})
	})
}
