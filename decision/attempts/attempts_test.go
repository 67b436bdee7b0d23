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

func atMostOnceSpec(id string) Spec { return Spec{ID: id, AtMostOnce: true, Router: "r1"} }

// TestForgottenAttempts guards against a false "not run" for an attempt whose record
// was dropped because the run history was full.
func TestForgottenAttempts(t *testing.T) {
	table := New(Config{AgentIncarnation: 7, MaxHistory: 10})
	for i := range 40 {
		id := fmt.Sprintf("5-%d/1", i)
		assert.Equal(t, table.Begin(0, atMostOnceSpec(id)), VerdictNew)
		table.RecordCompletion(0, id, "stop", nil)
	}
	table.Tick(time.Hour)
	assert.Equal(t, table.Len(), 0)
	assert.Equal(t, table.Resolve(0, "5-3/1", 7).Outcome, OutcomeUnknown)
	assert.Equal(t, table.Begin(0, atMostOnceSpec("5-3/1")), VerdictMayHaveRun)
	assert.Equal(t, table.Resolve(0, "6-3/1", 7).Outcome, OutcomeNotRun)
	assert.Equal(t, table.Begin(0, atMostOnceSpec("6-3/1")), VerdictFenced)
	assert.Equal(t, table.Resolve(0, "6-4/1", 8).Outcome, OutcomeUnknown)
}

// TestResultBounds guards against unbounded memory: results are dropped after
// ResultTTL and when they exceed MaxResultBytes.
func TestResultBounds(t *testing.T) {
	table := New(Config{AgentIncarnation: 7, MaxResultBytes: 10_000})
	for i := range 100 {
		id := fmt.Sprintf("5-%d/1", i)
		table.Begin(0, atMostOnceSpec(id))
		table.RecordCompletion(time.Duration(i)*time.Second, id, "stop", []byte(strings.Repeat("x", 1000)))
		assert.Assert(t, table.ResultBytes() <= 10_000)
	}
	assert.Equal(t, table.Resolve(0, "5-99/1", 7).Outcome, OutcomeDone)
	table.Tick(99*time.Second + 59*time.Second)
	assert.Equal(t, table.Len(), 1)
	table.Tick(99*time.Second + 60*time.Second)
	assert.Equal(t, table.Len(), 0)
	assert.Equal(t, table.ResultBytes(), 0)
}

// TestStream guards against errors in backpressure, in resuming a stream within the
// grace period and in ending a stream that has no reader.
func TestStream(t *testing.T) {
	table := New(Config{MaxStreamBytes: 1000})
	const id = "5-1/1"
	table.Begin(0, Spec{ID: id, Team: "t", Router: "r1"})
	next := 0
	for !table.Paused(id) {
		assert.NilError(t, table.Append(0, id, next, []string{"tok"}))
		next++
	}
	offset, tokens, _ := table.ReadNext(id, 1<<20)
	assert.Assert(t, offset == 0 && len(tokens) == next && !table.Paused(id))
	table.Detach(time.Second, id, "r1")
	assert.Equal(t, len(table.Tick(30*time.Second)), 0)
	assert.Assert(t, errors.Is(table.Attach(0, id, "other", "r2", 5), ErrOtherTeam))
	assert.NilError(t, table.Attach(30*time.Second, id, "t", "r2", 5))
	offset, tokens, _ = table.ReadNext(id, 1<<20)
	assert.Assert(t, offset == 5 && len(tokens) == next-5)
	assert.Assert(t, !table.MayCancel(0, id, "r1"), "a replaced reader must not cancel")
	assert.NilError(t, table.Append(0, id, next, []string{"tok"}))
	assert.Assert(t, errors.Is(table.Attach(0, id, "t", "r2", 0), stream.ErrNotBuffered))
	assert.Assert(t, errors.Is(table.Append(0, id, next+2, []string{"tok"}), stream.ErrGap))
	table.Detach(40*time.Second, id, "r2")
	assert.DeepEqual(t, table.Tick(70*time.Second), []string{id})
}
