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
	ledger        *Ledger
	mu            sync.Mutex
	stateMachine  *ledger.Partition
	replyChannels map[uint64]chan ledger.Reply
	tickTimer     *time.Timer
	idleCond      *sync.Cond
}

func newPartition(l *Ledger, machine *ledger.Partition) *partition {
	p := &partition{ledger: l, stateMachine: machine, replyChannels: map[uint64]chan ledger.Reply{}}
	p.idleCond = sync.NewCond(&p.mu)
	return p
}

// drain waits until no operation is left or ctx ends.
func (p *partition) drain(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.idleCond.Broadcast)
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.stateMachine.PendingOps() > 0 {
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "%d operations are left", p.stateMachine.PendingOps())
		}
		p.idleCond.Wait()
	}
	return nil
}

// submit hands an operation to the machine and waits for its reply. An
// operation whose waiter gives up still runs.
func (p *partition) submit(ctx context.Context, op ledger.Op) ledger.Reply {
	reply := make(chan ledger.Reply, 1)
	p.mu.Lock()
	p.replyChannels[op.ID] = reply
	p.applyInputLocked(ledger.Submitted{Op: op})
	p.mu.Unlock()
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return ledger.Reply{Err: errors.Mark(ctx.Err(), ledger.ErrUnavailable)}
	}
}

// feed applies the result of a store call.
func (p *partition) applyInput(in ledger.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyInputLocked(in)
}

// step applies an input and carries out the actions. The caller holds the lock.
func (p *partition) applyInputLocked(in ledger.Input) {
	now := time.Since(p.ledger.startTime)
	clock := time.Duration(time.Now().UnixNano())
	for _, action := range p.stateMachine.Step(now, clock, in) {
		p.runAction(action)
	}
	p.scheduleTick(now)
}

// arm sets the timer for the machine's next tick.
func (p *partition) scheduleTick(now time.Duration) {
	if p.tickTimer != nil {
		p.tickTimer.Stop()
		p.tickTimer = nil
	}
	at, ok := p.stateMachine.NextTick()
	if !ok {
		p.idleCond.Broadcast()
		return
	}
	if p.ledger.ctx.Err() == nil {
		p.tickTimer = time.AfterFunc(max(at-now, minTickDelay), func() { p.applyInput(ledger.Tick{}) })
	}
}

// minWake keeps a machine whose time has come, but which waits for a store
// call, from being ticked without a pause.
const minTickDelay = 5 * time.Millisecond

func (p *partition) runAction(action ledger.Action) {
	l := p.ledger
	switch a := action.(type) {
	case ledger.Reply:
		if waiter, ok := p.replyChannels[a.ID]; ok {
			delete(p.replyChannels, a.ID)
			waiter <- a
		}
	case ledger.ListSegments:
		l.startStoreCall(func(ctx context.Context) { p.applyInput(l.listSegments(ctx, a)) })
	case ledger.GetSegment:
		l.startStoreCall(func(ctx context.Context) {
			object, err := l.store.Get(ctx, a.ObjectKey)
			p.applyInput(ledger.GetResult{ObjectKey: a.ObjectKey, Object: object, Err: classifyReadError(err)})
		})
	case ledger.PutSegment:
		l.startStoreCall(func(ctx context.Context) {
			version, err := l.store.Put(ctx, a.ObjectKey, a.Value, a.ExpectedVersion)
			l.metrics.writes.WithLabelValues(errorLabel(err)).Inc()
			p.applyInput(ledger.PutResult{Version: version, Err: classifyWriteError(err)})
		})
	case ledger.PutAnswer:
		l.startStoreCall(func(ctx context.Context) {
			_, err := l.store.Put(ctx, a.ObjectKey, a.Value, objectstore.MustNotExist)
			p.applyInput(ledger.PutAnswerResult{OpID: a.OpID, Err: classifyWriteError(err)})
		})
	case ledger.DeleteSegment:
		l.startStoreCall(func(ctx context.Context) { l.deleteSegment(ctx, a) })
	}
}

// call runs a store call in a goroutine that Stop waits for.
func (l *Ledger) startStoreCall(f func(ctx context.Context)) {
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		ctx, cancel := context.WithTimeout(l.ctx, l.CallTimeout.AsDuration())
		defer cancel()
		f(ctx)
	}()
}

func (l *Ledger) listSegments(ctx context.Context, a ledger.ListSegments) ledger.ListResult {
	entries, err := l.store.List(ctx, a.Prefix)
	keys := make([]string, 0, len(entries))
	for _, e := range entries {
		keys = append(keys, e.Key)
	}
	return ledger.ListResult{ObjectKeys: keys, Err: classifyReadError(err)}
}

// drop deletes a segment that is past its retention, and its answers. Another
// router may have done so before.
func (l *Ledger) deleteSegment(ctx context.Context, a ledger.DeleteSegment) {
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
func classifyReadError(err error) error {
	if err == nil || errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	return errors.Mark(err, objectstore.ErrUnavailable)
}

// writeError takes an error that does not say that the write had no effect for
// an ambiguous one.
func classifyWriteError(err error) error {
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
func errorLabel(err error) string {
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
