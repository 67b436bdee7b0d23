package ledger

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/decision/ledger"
	"github.com/arbutusline/arbutusline/objectstore"
)

// partition runs the state machine of one partition. Store calls run in goroutines
// that pass their results back to the state machine.
type partition struct {
	ledger       *Ledger
	mu           sync.Mutex
	stateMachine *ledger.Partition
	// replyChannels maps the ID of each pending operation to the channel of the
	// submit call that waits for its reply.
	replyChannels map[uint64]chan ledger.Reply
	tickTimer     *time.Timer
	// idleCond wakes drain when the state machine needs no more ticks.
	idleCond *sync.Cond
}

func newPartition(l *Ledger, stateMachine *ledger.Partition) *partition {
	p := &partition{ledger: l, stateMachine: stateMachine, replyChannels: map[uint64]chan ledger.Reply{}}
	p.idleCond = sync.NewCond(&p.mu)
	return p
}

// drain waits until no operation is pending or ctx ends.
func (p *partition) drain(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.idleCond.Broadcast)
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.stateMachine.PendingOps() > 0 {
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "%d operations are still pending", p.stateMachine.PendingOps())
		}
		p.idleCond.Wait()
	}
	return nil
}

// submit passes an operation to the state machine and waits for its reply. The
// operation continues if ctx ends before the reply.
func (p *partition) submit(ctx context.Context, op ledger.Op) ledger.Reply {
	replyChannel := make(chan ledger.Reply, 1)
	p.mu.Lock()
	p.replyChannels[op.ID] = replyChannel
	p.applyInputLocked(ledger.Submitted{Op: op})
	p.mu.Unlock()
	select {
	case reply := <-replyChannel:
		return reply
	case <-ctx.Done():
		return ledger.Reply{Err: errors.Mark(ctx.Err(), ledger.ErrUnavailable)}
	}
}

// applyInput applies an input, such as the result of a store call.
func (p *partition) applyInput(in ledger.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyInputLocked(in)
}

// applyInputLocked applies an input and runs the resulting actions. The caller
// holds the lock.
func (p *partition) applyInputLocked(in ledger.Input) {
	now := time.Since(p.ledger.startTime)
	wallClock := time.Duration(time.Now().UnixNano())
	for _, action := range p.stateMachine.Step(now, wallClock, in) {
		p.performAction(action)
	}
	p.scheduleTick(now)
}

// scheduleTick sets the timer for the next tick that the state machine needs.
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

// minTickDelay prevents a busy loop of ticks while a state machine whose tick is
// due waits for a store call.
const minTickDelay = 5 * time.Millisecond

func (p *partition) performAction(action ledger.Action) {
	l := p.ledger
	switch a := action.(type) {
	case ledger.Reply:
		if replyChannel, ok := p.replyChannels[a.ID]; ok {
			delete(p.replyChannels, a.ID)
			replyChannel <- a
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

// startStoreCall runs a store call in a goroutine that Stop waits for.
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

// deleteSegment deletes a segment and the answer objects that belong to it. Another
// router may have deleted them already. A prefix outside the answers lists nothing,
// because an empty one would match every object of the store.
func (l *Ledger) deleteSegment(ctx context.Context, a ledger.DeleteSegment) {
	if err := l.store.Delete(ctx, a.ObjectKey, a.ExpectedVersion); err != nil {
		return
	}
	if !strings.HasPrefix(a.AnswerPrefix, ledger.AnswerObjectRoot) {
		return
	}
	answers, err := l.store.List(ctx, a.AnswerPrefix)
	if err != nil {
		return
	}
	for _, answer := range answers {
		if err := l.store.Delete(ctx, answer.Key, answer.Version); err != nil {
			l.log.WithError(err).WithField("object", answer.Key).Info("failed to delete expired answer object")
		}
	}
}

// classifyReadError marks all errors except ErrNotFound as ErrUnavailable.
func classifyReadError(err error) error {
	if err == nil || errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	return errors.Mark(err, objectstore.ErrUnavailable)
}

// classifyWriteError marks an error as ErrAmbiguous unless it is known to mean that
// the write had no effect.
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

// errorLabel returns the metric label of an error.
func errorLabel(err error) string {
	for _, known := range []struct {
		err   error
		label string
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
			return known.label
		}
	}
	if err != nil {
		return "other"
	}
	return "none"
}
