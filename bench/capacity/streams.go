package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/attempts"
	"github.com/arbutusline/arbutusline/modules/trace"
)

// tokenText has the typical length of a token, 4 bytes.
const tokenText = "word"

// newAttemptTable returns an agent's table of n attempts with the given number of output
// tokens each, all ended or all running.
func newAttemptTable(n, tokens int, ended bool) (*attempts.Table, error) {
	t := attempts.New(attempts.Config{MaxResultBytes: 1 << 30})
	for i := range n {
		id := fmt.Sprintf("dfkz3gq0w1a8-%x@llm-0042/1", i)
		t.Begin(0, attempts.Spec{ID: id, Team: "team-042", Router: "router-zone-1-0007"})
		t.Admit(0, id)
		for k := range tokens {
			if err := t.Append(0, id, k, []string{strings.Clone(tokenText)}); err != nil {
				return nil, err
			}
		}
		t.ReadNext(id, tokens)
		if ended {
			t.RecordCompletion(time.Second, id, "stop", nil)
		}
	}
	return t, nil
}

func measureAttempts(s *Slopes) error {
	var buildErr error
	tableHeapBytes := func(n, tokens int, ended bool) float64 {
		return addedHeapBytes(func() any {
			t, err := newAttemptTable(n, tokens, ended)
			if err != nil {
				buildErr = err
			}
			return t
		})
	}
	const few, many, shortOutput, longOutput = 100, 2000, 1, 257
	bytesPerAttempt := func(tokens int, ended bool) float64 {
		return (tableHeapBytes(many, tokens, ended) - tableHeapBytes(few, tokens, ended)) / (many - few)
	}
	conditions := fmt.Sprintf("slope from %d to %d attempts of %d token", few, many, shortOutput)
	s.addMeasured("attempts.stream", bytesPerAttempt(shortOutput, false), "B", conditions+", running")
	s.addMeasured("attempts.result", bytesPerAttempt(shortOutput, true), "B", conditions+", ended")
	s.addMeasured("attempts.token", (bytesPerAttempt(longOutput, true)-bytesPerAttempt(shortOutput, true))/(longOutput-shortOutput), "B",
		fmt.Sprintf("slope from %d to %d tokens of 4 bytes", shortOutput, longOutput))
	if buildErr != nil {
		return buildErr
	}
	table, err := newAttemptTable(many, shortOutput, true)
	if err != nil {
		return err
	}
	s.addMeasured("attempts.tick", cpuMicrosPerCall(200, func(int) { table.Tick(2 * time.Second) })/many, "µs", fmt.Sprintf("per attempt of a table of %d, one tick", many))
	return measureTrace(s)
}

// measureTrace measures a router's trace of requests that were placed, admitted and
// completed without retries.
func measureTrace(s *Slopes) error {
	newTrace := func(n int) *trace.Trace {
		t := &trace.Trace{MaxRequests: n}
		_ = t.Provision((*arbutusline.Kernel)(nil))
		for i := range n {
			r := t.Begin(fmt.Sprintf("dfkz3gq0w1a8-%x", i), "team-042")
			r.AddStep(&arbutuspb.ExplainStep{What: "placed", Endpoint: endpointName(i), Reason: "learned", CostMs: 12.5, CachedTokens: 1280})
			r.AddStep(&arbutuspb.ExplainStep{What: "admitted", Endpoint: endpointName(i), CachedTokens: 1280})
			r.SetOutcome("done")
		}
		return t
	}
	small := addedHeapBytes(func() any { return newTrace(1000) })
	large := addedHeapBytes(func() any { return newTrace(20000) })
	s.addMeasured("trace.request", (large-small)/19000, "B", "slope from 1000 to 20000 requests of two steps")
	return nil
}
