package attempts

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/stream"
)

func once(id string) Spec { return Spec{ID: id, Once: true, Reader: "r1"} }

// TestForgottenMarks guards against a false "not run" after the table has
// forgotten an attempt for lack of room.
func TestForgottenMarks(t *testing.T) {
	x := New(Config{Incarnation: 7, MaxMarks: 10})
	for i := range 40 {
		id := fmt.Sprintf("5-%d/1", i)
		assert.Equal(t, x.Begin(0, once(id)), VerdictFresh)
		x.Done(0, id, "stop", nil)
	}
	x.Tick(time.Hour)
	assert.Equal(t, x.Len(), 0)
	assert.Equal(t, x.Resolve(0, "5-3/1", 7).Outcome, OutcomeUnknown)
	assert.Equal(t, x.Begin(0, once("5-3/1")), VerdictForgotten)
	assert.Equal(t, x.Resolve(0, "6-3/1", 7).Outcome, OutcomeNotRun)
	assert.Equal(t, x.Begin(0, once("6-3/1")), VerdictFenced)
	assert.Equal(t, x.Resolve(0, "6-4/1", 8).Outcome, OutcomeUnknown)
}

// TestResultBounds guards the agent's memory: results end after their time and
// when they exceed the bound.
func TestResultBounds(t *testing.T) {
	x := New(Config{Incarnation: 7, ResultBytes: 10_000})
	for i := range 100 {
		id := fmt.Sprintf("5-%d/1", i)
		x.Begin(0, once(id))
		x.Done(time.Duration(i)*time.Second, id, "stop", []byte(strings.Repeat("x", 1000)))
		assert.Assert(t, x.ResultBytes() <= 10_000)
	}
	assert.Equal(t, x.Resolve(0, "5-99/1", 7).Outcome, OutcomeDone)
	x.Tick(99*time.Second + 59*time.Second)
	assert.Equal(t, x.Len(), 1)
	x.Tick(99*time.Second + 60*time.Second)
	assert.Equal(t, x.Len(), 0)
	assert.Equal(t, x.ResultBytes(), 0)
}

// TestStream guards backpressure, resumption within the grace period and the
// end of a stream that nobody reads.
func TestStream(t *testing.T) {
	x := New(Config{StreamBytes: 1000})
	const id = "5-1/1"
	x.Begin(0, Spec{ID: id, Team: "t", Reader: "r1"})
	next := 0
	for !x.Paused(id) {
		assert.NilError(t, x.Append(0, id, next, []string{"tok"}))
		next++
	}
	offset, tokens, _ := x.Next(id, 1<<20)
	assert.Assert(t, offset == 0 && len(tokens) == next && !x.Paused(id))
	x.Detach(time.Second, id, "r1")
	assert.Equal(t, len(x.Tick(30*time.Second)), 0)
	assert.Assert(t, errors.Is(x.Attach(0, id, "other", "r2", 5), ErrOtherTeam))
	assert.NilError(t, x.Attach(30*time.Second, id, "t", "r2", 5))
	offset, tokens, _ = x.Next(id, 1<<20)
	assert.Assert(t, offset == 5 && len(tokens) == next-5)
	assert.Assert(t, !x.Cancel(0, id, "r1"), "a replaced reader must not cancel")
	assert.NilError(t, x.Append(0, id, next, []string{"tok"}))
	assert.Assert(t, errors.Is(x.Attach(0, id, "t", "r2", 0), stream.ErrNotBuffered))
	assert.Assert(t, errors.Is(x.Append(0, id, next+2, []string{"tok"}), stream.ErrGap))
	x.Detach(40*time.Second, id, "r2")
	assert.DeepEqual(t, x.Tick(70*time.Second), []string{id})
}
