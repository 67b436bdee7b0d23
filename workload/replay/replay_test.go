package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/workload"
	"github.com/arbutusline/arbutusline/workload/answer"
	"github.com/arbutusline/arbutusline/workload/audit"
)

// fakeRouter responds like a router whose endpoints never fail, and keeps an audit
// log. It can inject one fault into each request.
type fakeRouter struct {
	mu       sync.Mutex
	auditLog *audit.Log
	fault    func(n int) string
	requests int
	streams  map[string]completionRequest
	// answeredKeys holds the idempotency keys that have a recorded response; a request
	// with such a key does not run again.
	answeredKeys map[string]bool
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/requests/"); ok {
		from, _ := strconv.Atoi(strings.TrimPrefix(r.Header.Get("Last-Event-ID"), "llm:"))
		f.stream(w, f.streams[strings.TrimSuffix(id, "/stream")], from, "")
		return
	}
	f.requests++
	fault := f.fault(f.requests)
	body, _ := io.ReadAll(r.Body)
	content := string(body)
	var completion completionRequest
	if strings.HasSuffix(r.URL.Path, "/completions") {
		_ = json.Unmarshal(body, &completion)
		if len(completion.Messages) > 0 {
			completion.Prompt = chatPrompt(completion.Messages[0].Content)
		}
		content = completion.Prompt
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" && f.answeredKeys[key] {
		fault = "recorded response"
	} else {
		f.answeredKeys[key] = true
	}
	switch fault {
	case "refuse":
		http.Error(w, `{"error":{"code":"queue_full","outcome":"not_run"}}`, http.StatusTooManyRequests)
		return
	case "skip run", "recorded response":
	case "run twice", "refuse after run":
		f.run(r, content)
		fallthrough
	default:
		f.run(r, content)
	}
	if fault == "refuse after run" {
		http.Error(w, `{"error":{"code":"deadline","outcome":"not_run"}}`, http.StatusServiceUnavailable)
		return
	}
	if completion.Prompt == "" {
		path := strings.TrimPrefix(r.URL.Path, "/services/records-app")
		fmt.Fprintf(w, `{"content_hash":%q,"path":%q}`, answer.ContentHash(content), path)
		return
	}
	id := strconv.Itoa(f.requests)
	f.streams[id] = completion
	w.Header().Set("X-Request-Id", id)
	f.stream(w, completion, 0, fault)
}

func (f *fakeRouter) run(r *http.Request, content string) {
	e := f.auditLog.Begin(audit.Run{
		ContentHash: answer.ContentHash(content), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		PromptTokens: 100, CachedTokens: 75, RecomputedTokens: 5,
	})
	e.End(audit.Completed, "")
}

func (f *fakeRouter) stream(w http.ResponseWriter, completion completionRequest, from int, fault string) {
	if completion.Prompt == "" {
		http.Error(w, `{"error":{"code":"stream_gone","outcome":"unknown"}}`, http.StatusGone)
		return
	}
	output := answer.OutputFor(completion.Prompt)
	for i := from; i < completion.MaxTokens; i++ {
		switch {
		case fault == "drop connection" && i == completion.MaxTokens/2:
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case fault == "skip second token" && i == 1, fault == "skip last token" && i == completion.MaxTokens-1:
			continue
		case fault == "delete streams" && i == completion.MaxTokens/2:
			clear(f.streams)
			return
		}
		fmt.Fprintf(w, "id: llm:%d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", i+1, output.Token(i))
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func replayWithFault(t *testing.T, fault func(n int) string) (Report, []Record) {
	t.Helper()
	return replayWithDuplicates(t, 30, fault)
}

func replayWithDuplicates(t *testing.T, duplicatePercent int, fault func(n int) string) (Report, []Record) {
	t.Helper()
	f := &fakeRouter{auditLog: audit.New(0), fault: fault, streams: map[string]completionRequest{}, answeredKeys: map[string]bool{}}
	server := httptest.NewServer(f)
	defer server.Close()
	generator := workload.New(workload.Config{
		Deployment: workload.Kaayal(), Seed: 3, RequestsPerSecond: 2000, MaxRequests: 120, NonIdempotentPercent: 20,
	})
	records := Run(context.Background(), Config{
		RouterURLs: []string{server.URL}, Workload: generator, RetryDelay: time.Millisecond,
		DuplicatePercent: duplicatePercent, ChatPercent: 30,
	})
	findings := CompareWithAudit(records, f.auditLog.Snapshot().Runs)
	return NewReport(records, &findings), records
}

// Guards against a report that shows faults when there are none: without injected
// faults, and when all streams are interrupted and resumed.
func TestCleanRun(t *testing.T) {
	for _, fault := range []string{"", "drop connection"} {
		report, _ := replayWithFault(t, func(int) string { return fault })
		s := report.Summary
		assert.Equal(t, s.Requests, 120)
		assert.Equal(t, s.Completed, 120)
		assert.Equal(t, report.FaultCount(), 0)
		assert.Equal(t, *s.HitRate, 0.75)
		assert.Equal(t, *s.RecomputeRatio, 0.05)
		assert.Assert(t, s.TTFTP50MS > 0 && s.TTFTP99MS >= s.TTFTP50MS)
	}
}

// Guards against faults that are not detected or are counted wrongly.
func TestFaultsAreCounted(t *testing.T) {
	duringFirstHalf := func(fault string) func(int) string {
		return func(n int) string {
			if n <= 60 {
				return fault
			}
			return ""
		}
	}
	count := func(records []Record, match func(Record) bool) (n int) {
		for _, r := range records {
			if match(r) {
				n++
			}
		}
		return n
	}
	notRun := func(r Record) bool { return r.Outcome == NotRun }

	// Without duplicate sends, so that each refusal is the only response.
	report, records := replayWithDuplicates(t, 0, duringFirstHalf("refuse"))
	assert.Equal(t, report.Summary.RefusedNotRun, 60)
	assert.Equal(t, count(records, notRun), 60)
	assert.Equal(t, report.FaultCount(), 0)

	report, _ = replayWithFault(t, func(int) string { return "run twice" })
	nonIdempotentRequests := *report.Summary.DuplicateRuns
	assert.Assert(t, nonIdempotentRequests > 10)
	assert.Equal(t, report.Summary.Completed, 120)

	report, records = replayWithDuplicates(t, 0, func(int) string { return "refuse after run" })
	reads := count(records, func(r Record) bool { return r.ContentHash == "" })
	assert.Equal(t, *report.Summary.DuplicateRuns, nonIdempotentRequests)
	assert.Equal(t, report.Findings.FalseNotRun, 120-reads)

	report, _ = replayWithFault(t, func(int) string { return "skip run" })
	assert.Equal(t, *report.Summary.LostRequests, 120-reads)

	completions := count(records, func(r Record) bool { return r.Kind == workload.KindCompletion })
	for _, fault := range []string{"skip second token", "skip last token", "delete streams"} {
		report, _ = replayWithFault(t, func(int) string { return fault })
		assert.Equal(t, report.Summary.BadResponses, completions, fault)
		assert.Equal(t, report.Summary.Completed, 120-completions, fault)
	}
}

// Guards against a merged record of two sends that reports NotRun although one of
// them may have run, or reports an uncertain outcome although one completed.
func TestMergeOfTwoSends(t *testing.T) {
	for _, c := range []struct{ a, b, want Outcome }{
		{Completed, Unknown, Completed}, {NotRun, Completed, Completed}, {NotRun, Unknown, Unknown},
		{NoResponse, NotRun, NoResponse}, {NotRun, NotRun, NotRun},
	} {
		got := mergeDuplicates(Record{Outcome: c.a, Attempts: 1}, Record{Outcome: c.b, Attempts: 2})
		assert.Equal(t, got.Outcome, c.want)
		assert.Equal(t, got.Attempts, 3)
	}
}

// Guards against a caller that stops retrying a request that crashes engines, and
// against counting crashes under other requests.
func TestCrashesAreCountedPerRequest(t *testing.T) {
	crashing := Record{ContentHash: "a", CrashesEngine: true, Outcome: Unknown, Kind: workload.KindCompletion}
	other := Record{ContentHash: "b", Outcome: Completed, Kind: workload.KindCompletion, Attempts: 1}
	runs := []audit.Run{
		{ContentHash: "a", Outcome: audit.Aborted, Reason: "crash"}, {ContentHash: "a", Outcome: audit.Aborted, Reason: "crash"},
		{ContentHash: "b", Outcome: audit.Aborted, Reason: "crash"}, {ContentHash: "b", Outcome: audit.Completed},
	}
	assert.Equal(t, CompareWithAudit([]Record{crashing, other}, runs).MaxEngineCrashes, 2)
	assert.Equal(t, CompareWithAudit([]Record{other}, runs).MaxEngineCrashes, 0)

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, `{"error":{"code":"quarantined","outcome":"not_run"}}`, http.StatusUnprocessableEntity)
	}))
	defer server.Close()
	c := caller{
		req: &workload.Request{Kind: workload.KindCompletion, CrashesEngine: true}, client: server.Client(),
		cfg: &Config{RouterURLs: []string{server.URL}, MaxAttempts: 4, RetryDelay: 1, RequestTimeout: 5 * time.Second},
	}
	assert.Equal(t, c.run(context.Background()).Attempts, 4)
}

// Guards against reporting a request as not run when an earlier attempt may have run it.
func TestRefusalAfterUnansweredAttemptIsUnknown(t *testing.T) {
	c := caller{req: &workload.Request{Kind: workload.KindNonIdempotentCall}, cfg: &Config{MaxAttempts: 2, RetryDelay: 1, RequestTimeout: time.Second}}
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n++; n == 1 {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, `{"error":{"code":"store_unavailable","outcome":"not_run"}}`, http.StatusServiceUnavailable)
	}))
	defer server.Close()
	c.cfg.RouterURLs, c.client = []string{server.URL}, server.Client()
	rec := c.run(context.Background())
	assert.Equal(t, rec.Attempts, 2)
	assert.Equal(t, rec.Outcome, Unknown)
	assert.Equal(t, rec.Code, "store_unavailable")
}

// Guards against changed fields in the JSON summary, which tools read.
func TestSummaryFields(t *testing.T) {
	text, err := json.Marshal(NewReport(nil, nil).Summary)
	assert.NilError(t, err)
	assert.Equal(t, string(text), `{"requests":0,"completed":0,"refused_not_run":0,"unknown":0,"doubled":null,`+
		`"lost":null,"cut_streams":0,"hit_rate":null,"recompute_ratio":null,"ttft_p50_ms":0,"ttft_p99_ms":0}`)
}
