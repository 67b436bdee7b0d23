package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/decision/prefix"
	"github.com/arbutusline/arbutusline/settings"
	"github.com/arbutusline/arbutusline/workload/answer"
	"github.com/arbutusline/arbutusline/workload/audit"
)

func startEngine(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	cfg := Defaults()
	cfg.Name, cfg.Address, cfg.Model = "llm-01", "127.0.0.1:0", "ledger-llm"
	cfg.StepOverhead = settings.Duration(time.Millisecond)
	cfg.CacheEventDelay, cfg.LoadReportLag, cfg.WeightsLoadTime = 0, 0, 0
	cfg.RestartDelay = settings.Duration(10 * time.Millisecond)
	if change != nil {
		change(&cfg)
	}
	s := New(cfg, NewFleetCacheIndex())
	assert.NilError(t, s.Start())
	t.Cleanup(s.Stop)
	return s
}

func postJSON(t *testing.T, url string, body any) (int, string) {
	t.Helper()
	encoded, err := json.Marshal(body)
	assert.NilError(t, err)
	response, err := http.Post(url, "application/json", strings.NewReader(string(encoded)))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, "truncated: " + string(received)
	}
	return response.StatusCode, string(received)
}

func getJSON[T any](t *testing.T, url string) (v T) {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&v))
	return v
}

func newRequest(id, prompt string, maxTokens int) CompletionRequest {
	return CompletionRequest{
		RequestID: id, Model: "ledger-llm", Prompt: prompt, MaxTokens: maxTokens, Stream: true,
		BlockHashes: prefix.AppendBlockHashes(nil, 1, prompt),
	}
}

// Guards against streams with missing or repeated tokens or without [DONE], against
// output that differs from what a checker computes, and against a cache keyed by
// prompt text instead of block hashes.
func TestStreamIsCompleteAndCached(t *testing.T) {
	s := startEngine(t, nil)
	prompt := strings.Repeat("guidance ", 100)
	req := newRequest("r/1", prompt, 5)
	req.ResumeTokens = 2
	status, text := postJSON(t, s.URL()+"/v1/completions", req)
	assert.Equal(t, status, 200)
	want := answer.OutputFor(prompt)
	scanner := bufio.NewScanner(strings.NewReader(text))
	var events []string
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			events = append(events, data)
		}
	}
	assert.Equal(t, len(events), 5)
	for i, e := range events[:3] {
		var token TokenEvent
		assert.NilError(t, json.Unmarshal([]byte(e), &token))
		assert.Equal(t, token, TokenEvent{2 + i, want.Token(2 + i)})
	}
	assert.Equal(t, events[3], `{"done":true,"finish_reason":"length","usage":{"prompt_tokens":225,"cached_tokens":0,"completion_tokens":5}}`)
	assert.Equal(t, events[4], "[DONE]")

	req = newRequest("r/2", prompt, 1)
	_, text = postJSON(t, s.URL()+"/v1/completions", req)
	assert.Assert(t, strings.Contains(text, `"cached_tokens":192`), text)
	req.RequestID, req.BlockHashes = "r/3", nil
	_, text = postJSON(t, s.URL()+"/v1/completions", req)
	assert.Assert(t, strings.Contains(text, `"cached_tokens":0`), text)
	req.BlockHashes = prefix.AppendBlockHashes(nil, 2, prompt)
	req.RequestID = "r/4"
	_, text = postJSON(t, s.URL()+"/v1/completions", req)
	assert.Assert(t, strings.Contains(text, `"cached_tokens":0`), text)

	runs := getJSON[audit.Snapshot](t, s.URL()+"/admin/runs").Runs
	assert.Equal(t, len(runs), 4)
	assert.Equal(t, runs[0].Outcome, audit.Completed)
	assert.Equal(t, runs[0].OutputTokens, 3)
	assert.Equal(t, runs[1].CachedTokens, 192)
	assert.Equal(t, runs[1].ContentHash, answer.ContentHash(prompt))
}

// Guards against a crash that keeps the cache or the incarnation, or that ends a
// stream as if it were complete.
func TestMarkerCrashesEngine(t *testing.T) {
	s := startEngine(t, nil)
	postJSON(t, s.URL()+"/v1/completions", newRequest("r/1", strings.Repeat("guidance ", 100), 1))
	before := getJSON[CacheSnapshot](t, s.URL()+"/v1/cache/blocks")
	assert.Equal(t, len(before.Blocks), 3)
	_, text := postJSON(t, s.URL()+"/v1/completions", newRequest("r/2", answer.CrashMarker, 50))
	assert.Assert(t, !strings.Contains(text, "[DONE]"), text)
	var after CacheSnapshot
	for after.Incarnation == 0 {
		response, err := http.Get(s.URL() + "/v1/cache/blocks")
		if err == nil {
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&after))
			_ = response.Body.Close()
		}
	}
	assert.Assert(t, after.Incarnation > before.Incarnation)
	assert.Equal(t, len(after.Blocks), 0)
	runs := s.AuditLog.Snapshot().Runs
	assert.Equal(t, runs[1].Outcome, audit.Aborted)
	assert.Equal(t, runs[1].Reason, "crash")
	_, text = postJSON(t, s.URL()+"/v1/completions", newRequest("r/3", "again", 1))
	assert.Assert(t, strings.Contains(text, "[DONE]"), text)
}

// Guards against cache events that do not match the snapshot of cached blocks.
func TestCacheEventsMatchSnapshot(t *testing.T) {
	s := startEngine(t, func(c *Config) { c.CacheBlocks = 8 })
	for i := range 5 {
		prompt := strings.Repeat(string(rune('a'+i)), 1000)
		postJSON(t, s.URL()+"/v1/completions", newRequest(prompt[:1], prompt, 1))
	}
	cached := map[uint64]bool{}
	page := CacheEventPage{}
	for {
		page = getJSON[CacheEventPage](t, s.URL()+"/v1/cache/events?timeout_ms=1&since="+itoa(page.LastSeq))
		if len(page.Events) == 0 {
			break
		}
		for _, e := range page.Events {
			for _, b := range e.Blocks {
				cached[b] = e.Op == OpStored
			}
		}
	}
	snapshot := getJSON[CacheSnapshot](t, s.URL()+"/v1/cache/blocks")
	assert.Equal(t, snapshot.LastSeq, page.LastSeq)
	for _, b := range snapshot.Blocks {
		assert.Assert(t, cached[b])
		delete(cached, b)
	}
	for b, in := range cached {
		assert.Assert(t, !in, "block %x was never reported as removed", b)
	}
}

// Guards against orders with outdated fencing tokens being accepted by an engine that
// honours fencing or refused by one that ignores it, and against cached blocks that
// outlast a change of weights.
func TestOrders(t *testing.T) {
	s := startEngine(t, nil)
	prompt := strings.Repeat("guidance ", 100)
	postJSON(t, s.URL()+"/v1/completions", newRequest("r/1", prompt, 1))
	status, text := postJSON(t, s.URL()+"/v1/orders", Order{FencingToken: 5, Kind: OrderLoadWeights, WeightsVersion: "v2"})
	assert.Equal(t, status, 202, text)
	for getJSON[Info](t, s.URL()+"/v1/info").LoadingWeights {
		time.Sleep(time.Millisecond)
	}
	info := getJSON[Info](t, s.URL()+"/v1/info")
	assert.Equal(t, info.WeightsVersion, "v2")
	assert.Equal(t, info.LastOrder.State, OrderStateDone)
	assert.Equal(t, len(getJSON[CacheSnapshot](t, s.URL()+"/v1/cache/blocks").Blocks), 0)
	req := newRequest("r/2", prompt, 1)
	req.WeightsVersion = "v1"
	status, text = postJSON(t, s.URL()+"/v1/completions", req)
	assert.Equal(t, status, 409, text)
	status, text = postJSON(t, s.URL()+"/v1/orders", Order{FencingToken: 4, Kind: OrderLoadWeights, WeightsVersion: "v1"})
	assert.Equal(t, status, 409, text)

	unfenced := startEngine(t, func(c *Config) { c.FencingMode = FencingIgnored })
	for _, token := range []uint64{5, 4} {
		status, text = postJSON(t, unfenced.URL()+"/v1/orders", Order{FencingToken: token, Kind: OrderLoadAdapter, Adapter: "a"})
		assert.Equal(t, status, 202, text)
	}
}

// Guards against KV transfers that lose blocks or mix weights versions.
func TestKVTransfer(t *testing.T) {
	source, target := startEngine(t, nil), startEngine(t, nil)
	prompt := strings.Repeat("guidance ", 100)
	postJSON(t, source.URL()+"/v1/completions", newRequest("r/1", prompt, 1))
	status, text := postJSON(t, source.URL()+"/v1/kv/export", map[string][]uint64{"blocks": newRequest("", prompt, 1).BlockHashes})
	assert.Equal(t, status, 200)
	status, _ = postJSON(t, target.URL()+"/v1/kv/import", json.RawMessage(text))
	assert.Equal(t, status, 200)
	_, answered := postJSON(t, target.URL()+"/v1/completions", newRequest("r/2", prompt, 1))
	assert.Assert(t, strings.Contains(answered, `"cached_tokens":192`), answered)
	other := startEngine(t, func(c *Config) { c.WeightsVersion = "v9" })
	status, _ = postJSON(t, other.URL()+"/v1/kv/import", json.RawMessage(text))
	assert.Equal(t, status, 409)
}

// Guards against cancelled sequences that keep running.
func TestCancel(t *testing.T) {
	s := startEngine(t, func(c *Config) { c.StepOverhead = settings.Duration(time.Minute) })
	ended := make(chan string)
	go func() {
		_, text := postJSON(t, s.URL()+"/v1/completions", newRequest("r/1", "x", 100))
		ended <- text
	}()
	for len(s.AuditLog.Snapshot().Runs) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, text := postJSON(t, s.URL()+"/v1/cancel", map[string]string{"request_id": "r/1"})
	assert.Equal(t, strings.TrimSpace(text), `{"found":true}`)
	assert.Assert(t, !strings.Contains(<-ended, "[DONE]"))
	assert.Equal(t, s.AuditLog.Snapshot().Runs[0].Reason, "cancelled")
}

func itoa(v uint64) string {
	text, _ := json.Marshal(v)
	return string(text)
}
