package agent

import (
	"time"

	"github.com/arbutusline/arbutusline/decision/attempts"
)

// Crashes returns the suspicion to report with the failure of an attempt.
func (c *Core) Crashes(id string) int { return c.crashes[id] }

// Attach makes a router the reader of the newest attempt of a request, from
// offset on; a negative offset means the first token that is still kept. It
// returns the attempt and the reader for Read. It fails with attempts.ErrNotFound,
// attempts.ErrOtherTeam or stream.ErrDiscarded.
func (c *Core) Attach(now time.Duration, requestID, team, router string, offset int) (id string, reader int, err error) {
	id, ok := c.table.FindByRequest(requestID)
	if !ok {
		return "", 0, attempts.ErrNotFound
	}
	if offset < 0 {
		result, _ := c.table.Result(id)
		offset = result.FirstOffset
	}
	if err := c.table.Attach(now, id, team, router, offset); err != nil {
		return "", 0, err
	}
	reader = c.newReader(id)
	// The replaced reader must notice that its stream is over.
	c.emit(Changed{id})
	return id, reader, nil
}

// Read returns at most limit tokens that the reader was not given yet. Ended is
// true when the output is complete after them. It fails with ErrReplaced when
// another reader has attached.
func (c *Core) Read(id string, reader, limit int) (offset int, tokens []string, ended bool, err error) {
	if c.readers[id] != reader {
		return 0, nil, false, ErrReplaced
	}
	paused := c.table.Paused(id)
	offset, tokens, ended = c.table.Next(id, limit)
	if paused && !c.table.Paused(id) {
		c.emit(Changed{id})
	}
	return offset, tokens, ended, nil
}

// Detach records that a reader went away without a cancellation.
func (c *Core) Detach(now time.Duration, id, router string, reader int) {
	if c.readers[id] == reader {
		c.table.Detach(now, id, router)
	}
}

// Result returns the state of an attempt, and false when it is not kept.
func (c *Core) Result(id string) (attempts.Result, bool) { return c.table.Result(id) }

// Kept reports whether the attempt runs or its result is kept. Unlike Result it
// copies nothing, so that it can be called for all attempts at each tick.
func (c *Core) Kept(id string) bool {
	_, kept := c.table.Spec(id)
	return kept
}

// Cancel ends an attempt whose caller went away. An attempt that must not be
// repeated goes on once it has started: its effect can't be taken back, and its
// answer may still be asked for.
func (c *Core) Cancel(now time.Duration, id, router string) bool {
	j := c.jobs[id]
	if j == nil || !c.table.MayCancel(now, id, router) || (j.once && j.started) {
		return false
	}
	c.stop(now, id, ReasonCancelled)
	c.pump(now)
	return true
}

// Resolve says what became of an attempt that must not be repeated. One that
// was never seen is fenced, so that "not run" stays true.
func (c *Core) Resolve(now time.Duration, id string, incarnation uint64) attempts.Result {
	return c.table.Resolve(now, id, incarnation)
}
