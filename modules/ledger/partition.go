package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/objectstore"
)

// partition drives one state machine. Its calls to the store run in goroutines
// that feed the results back.
type partition struct {
	ledger  *Ledger
	mu      sync.Mutex
	machine *ledger.Partition
	replies map[uint64]chan ledger.Reply
	timer   *time.Timer
	idle    *sync.Cond
}

func newPartition(l *Ledger, machine *ledger.Partition) *partition {
	p := &partition{ledger: l, machine: machine, replies: map[uint64]chan ledger.Reply{}}
	p.idle = sync.NewCond(&p.mu)
	return p
}

// drain waits until no operation is left or ctx ends.
func (p *partition) drain(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.idle.Broadcast)
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.machine.PendingOps() > 0 {
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "%d operations are left", p.machine.PendingOps())
		}
		p.idle.Wait()
	}
	return nil
}

// submit hands an operation to the machine and waits for its reply. An
// operation whose waiter gives up still runs.
func (p *partition) submit(ctx context.Context, op ledger.Op) ledger.Reply {
	reply := make(chan ledger.Reply, 1)
	p.mu.Lock()
	p.replies[op.ID] = reply
	p.step(ledger.Submitted{Op: op})
	p.mu.Unlock()
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return ledger.Reply{Err: errors.Mark(ctx.Err(), ledger.ErrUnavailable)}
	}
}

// feed applies the result of a store call.
func (p *partition) feed(in ledger.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(in)
}

// step applies an input and carries out the actions. The caller holds the lock.
func (p *partition) step(in ledger.Input) {
	now := time.Since(p.ledger.started)
	clock := time.Duration(time.Now().UnixNano())
	for _, action := range p.machine.Step(now, clock, in) {
		p.do(action)
	}
	p.arm(now)
}

// arm sets the timer for the machine's next tick.
func (p *partition) arm(now time.Duration) {
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	at, ok := p.machine.NextTick()
	if !ok {
		p.idle.Broadcast()
		return
	}
	if p.ledger.ctx.Err() == nil {
		p.timer = time.AfterFunc(max(at-now, minWake), func() { p.feed(ledger.Tick{}) })
	}
}

// minWake keeps a machine whose time has come, but which waits for a store
// call, from being ticked without a pause.
const minWake = 5 * time.Millisecond

func (p *partition) do(action ledger.Action) {
	l := p.ledger
	switch a := action.(type) {
	case ledger.Reply:
		if waiter, ok := p.replies[a.ID]; ok {
			delete(p.replies, a.ID)
			waiter <- a
		}
	case ledger.ListSegments:
		l.call(func(ctx context.Context) { p.feed(l.list(ctx, a)) })
	case ledger.GetSegment:
		l.call(func(ctx context.Context) {
			object, err := l.store.Get(ctx, a.ObjectKey)
			p.feed(ledger.GetResult{ObjectKey: a.ObjectKey, Object: object, Err: readError(err)})
		})
	case ledger.PutSegment:
		l.call(func(ctx context.Context) {
			version, err := l.store.Put(ctx, a.ObjectKey, a.Value, a.ExpectedVersion)
			l.metrics.writes.WithLabelValues(errorName(err)).Inc()
			p.feed(ledger.PutResult{Version: version, Err: writeError(err)})
		})
	case ledger.PutAnswer:
		l.call(func(ctx context.Context) {
			_, err := l.store.Put(ctx, a.ObjectKey, a.Value, objectstore.MustNotExist)
			p.feed(ledger.PutAnswerResult{OpID: a.OpID, Err: writeError(err)})
		})
	case ledger.DeleteSegment:
		l.call(func(ctx context.Context) { l.drop(ctx, a) })
	}
}

// call runs a store call in a goroutine that Stop waits for.
func (l *Ledger) call(f func(ctx context.Context)) {
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		ctx, cancel := context.WithTimeout(l.ctx, l.CallTimeout.AsDuration())
		defer cancel()
		f(ctx)
	}()
}

func (l *Ledger) list(ctx context.Context, a ledger.ListSegments) ledger.ListResult {
	entries, err := l.store.List(ctx, a.Prefix)
	keys := make([]string, 0, len(entries))
	for _, e := range entries {
		keys = append(keys, e.Key)
	}
	return ledger.ListResult{ObjectKeys: keys, Err: readError(err)}
}

// drop deletes a segment that is past its retention, and its answers. Another
// router may have done so before.
func (l *Ledger) drop(ctx context.Context, a ledger.DeleteSegment) {
	if err := l.store.Delete(ctx, a.ObjectKey, a.ExpectedVersion); err != nil {
		return
	}
	answers, err := l.store.List(ctx, a.AnswerPrefix)
	if err != nil {
		return
	}
	for _, answer := range answers {
		if err := l.store.Delete(ctx, answer.Key, answer.Version); err != nil {
			l.log.WithError(err).WithField("object", answer.Key).Info("old answer was not deleted")
		}
	}
}

// readError keeps ErrNotFound and takes anything else for an outage.
func readError(err error) error {
	if err == nil || errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	return errors.Mark(err, objectstore.ErrUnavailable)
}

// writeError takes an error that does not say that the write had no effect for
// an ambiguous one.
func writeError(err error) error {
	for _, known := range []error{
		objectstore.ErrConflict, objectstore.ErrUnavailable, objectstore.ErrRateLimited, objectstore.ErrTooLarge,
	} {
		if err == nil || errors.Is(err, known) {
			return err
		}
	}
	return errors.Mark(err, objectstore.ErrAmbiguous)
}

// errorName is the label of an error in metrics.
func errorName(err error) string {
	for _, known := range []struct {
		err  error
		name string
	}{
		{ledger.ErrKeyReused, "key_reused"},
		{ledger.ErrKeyTooLong, "key_too_long"},
		{ledger.ErrOverloaded, "overloaded"},
		{ledger.ErrCorrupt, "corrupt"},
		{ledger.ErrUnavailable, "unavailable"},
		{objectstore.ErrConflict, "conflict"},
		{objectstore.ErrAmbiguous, "ambiguous"},
		{objectstore.ErrRateLimited, "rate_limited"},
		{objectstore.ErrUnavailable, "unavailable"},
	} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	if err != nil {
		return "other"
	}
	return "none"
}
