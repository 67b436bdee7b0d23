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

// tokenText is of the usual length of a token, 4 bytes.
const tokenText = "word"

// tableOf returns an agent's table with attempts of the given output.
func tableOf(n, tokens int, ended bool) (*attempts.Table, error) {
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

func measureStreams(s *Slopes) error {
	var failed error
	size := func(n, tokens int, ended bool) float64 {
		return heapOf(func() any {
			t, err := tableOf(n, tokens, ended)
			if err != nil {
				failed = err
			}
			return t
		})
	}
	const few, many, short, long = 100, 2000, 1, 257
	perStream := func(tokens int, ended bool) float64 {
		return (size(many, tokens, ended) - size(few, tokens, ended)) / (many - few)
	}
	at := fmt.Sprintf("slope from %d to %d attempts of %d token", few, many, short)
	s.measured("attempts.stream", perStream(short, false), "B", at+", running")
	s.measured("attempts.result", perStream(short, true), "B", at+", ended")
	s.measured("attempts.token", (perStream(long, true)-perStream(short, true))/(long-short), "B",
		fmt.Sprintf("slope from %d to %d tokens of 4 bytes", short, long))
	if failed != nil {
		return failed
	}
	kept, err := tableOf(many, short, true)
	if err != nil {
		return err
	}
	s.measured("attempts.tick", microsOf(200, func(int) { kept.Tick(2 * time.Second) })/many, "µs", fmt.Sprintf("per attempt of a table of %d, one tick", many))
	return measureTrace(s)
}

// measureTrace fills a router's trace with requests of a usual course.
func measureTrace(s *Slopes) error {
	fill := func(n int) *trace.Trace {
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
	small := heapOf(func() any { return fill(1000) })
	large := heapOf(func() any { return fill(20000) })
	s.measured("trace.request", (large-small)/19000, "B", "slope from 1000 to 20000 requests of two steps")
	return nil
}
