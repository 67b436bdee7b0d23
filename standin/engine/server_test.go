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

func start(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	cfg := Defaults()
	cfg.Name, cfg.Address, cfg.Model = "llm-01", "127.0.0.1:0", "ledger-llm"
	cfg.Step = settings.Duration(time.Millisecond)
	cfg.EventDelay, cfg.LoadLag, cfg.LoadTime = 0, 0, 0
	cfg.Restart = settings.Duration(10 * time.Millisecond)
	if change != nil {
		change(&cfg)
	}
	s := New(cfg, NewDirectory())
	assert.NilError(t, s.Start())
	t.Cleanup(s.Stop)
	return s
}

func post(t *testing.T, url string, body any) (int, string) {
	t.Helper()
	text, err := json.Marshal(body)
	assert.NilError(t, err)
	a, err := http.Post(url, "application/json", strings.NewReader(string(text)))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	all, err := io.ReadAll(a.Body)
	if err != nil {
		return a.StatusCode, "cut: " + string(all)
	}
	return a.StatusCode, string(all)
}

func get[T any](t *testing.T, url string) (v T) {
	t.Helper()
	a, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = a.Body.Close() }()
	assert.NilError(t, json.NewDecoder(a.Body).Decode(&v))
	return v
}

func request(id, prompt string, maxTokens int) CompletionRequest {
	return CompletionRequest{
		RequestID: id, Model: "ledger-llm", Prompt: prompt, MaxTokens: maxTokens, Stream: true,
		BlockHashes: prefix.AppendBlockHashes(nil, 1, prompt),
	}
}

// Guards against streams with missing or repeated tokens or without their end,
// against output that differs from the checker's, and against caching by text.
func TestStreamIsCompleteAndCached(t *testing.T) {
	s := start(t, nil)
	prompt := strings.Repeat("guidance ", 100)
	q := request("r/1", prompt, 5)
	q.ResumeTokens = 2
	status, text := post(t, s.URL()+"/v1/completions", q)
	assert.Equal(t, status, 200)
	want := answer.OutputFor(prompt)
	sc := bufio.NewScanner(strings.NewReader(text))
	var events []string
	for sc.Scan() {
		if data, ok := strings.CutPrefix(sc.Text(), "data: "); ok {
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

	q = request("r/2", prompt, 1)
	_, text = post(t, s.URL()+"/v1/completions", q)
	assert.Assert(t, strings.Contains(text, `"cached_tokens":192`), text)
	q.RequestID, q.BlockHashes = "r/3", nil
	_, text = post(t, s.URL()+"/v1/completions", q)
	assert.Assert(t, strings.Contains(text, `"cached_tokens":0`), text)
	q.BlockHashes = prefix.AppendBlockHashes(nil, 2, prompt)
	q.RequestID = "r/4"
	_, text = post(t, s.URL()+"/v1/completions", q)
	assert.Assert(t, strings.Contains(text, `"cached_tokens":0`), text)

	runs := get[audit.Snapshot](t, s.URL()+"/admin/runs").Runs
	assert.Equal(t, len(runs), 4)
	assert.Equal(t, runs[0].Outcome, audit.Completed)
	assert.Equal(t, runs[0].OutputTokens, 3)
	assert.Equal(t, runs[1].CachedTokens, 192)
	assert.Equal(t, runs[1].ContentHash, answer.ContentHash(prompt))
}

// Guards against a crash that keeps its cache or its incarnation, or that ends
// a stream as if it were complete.
func TestMarkerCrashesEngine(t *testing.T) {
	s := start(t, nil)
	post(t, s.URL()+"/v1/completions", request("r/1", strings.Repeat("guidance ", 100), 1))
	before := get[CacheBlocks](t, s.URL()+"/v1/cache/blocks")
	assert.Equal(t, len(before.Blocks), 3)
	_, text := post(t, s.URL()+"/v1/completions", request("r/2", answer.CrashMarker, 50))
	assert.Assert(t, !strings.Contains(text, "[DONE]"), text)
	var after CacheBlocks
	for after.Incarnation == 0 {
		a, err := http.Get(s.URL() + "/v1/cache/blocks")
		if err == nil {
			assert.NilError(t, json.NewDecoder(a.Body).Decode(&after))
			_ = a.Body.Close()
		}
	}
	assert.Assert(t, after.Incarnation > before.Incarnation)
	assert.Equal(t, len(after.Blocks), 0)
	runs := s.Log.Snapshot().Runs
	assert.Equal(t, runs[1].Outcome, audit.Aborted)
	assert.Equal(t, runs[1].Reason, "crash")
	_, text = post(t, s.URL()+"/v1/completions", request("r/3", "again", 1))
	assert.Assert(t, strings.Contains(text, "[DONE]"), text)
}

// Guards against cache events that do not add up to the snapshot.
func TestCacheEventsMatchSnapshot(t *testing.T) {
	s := start(t, func(c *Config) { c.CacheBlocks = 8 })
	for i := range 5 {
		prompt := strings.Repeat(string(rune('a'+i)), 1000)
		post(t, s.URL()+"/v1/completions", request(prompt[:1], prompt, 1))
	}
	held := map[uint64]bool{}
	page := CacheEvents{}
	for {
		page = get[CacheEvents](t, s.URL()+"/v1/cache/events?timeout_ms=1&since="+itoa(page.Next))
		if len(page.Events) == 0 {
			break
		}
		for _, e := range page.Events {
			for _, b := range e.Blocks {
				held[b] = e.Op == OpStored
			}
		}
	}
	snapshot := get[CacheBlocks](t, s.URL()+"/v1/cache/blocks")
	assert.Equal(t, snapshot.Next, page.Next)
	for _, b := range snapshot.Blocks {
		assert.Assert(t, held[b])
		delete(held, b)
	}
	for b, in := range held {
		assert.Assert(t, !in, "block %x was never reported as removed", b)
	}
}

// Guards against orders with outdated tokens being accepted by an engine that
// honours them, or refused by one that does not, and against old cache entries
// surviving a change of weights.
func TestOrders(t *testing.T) {
	s := start(t, nil)
	prompt := strings.Repeat("guidance ", 100)
	post(t, s.URL()+"/v1/completions", request("r/1", prompt, 1))
	status, text := post(t, s.URL()+"/v1/orders", Order{Fencing: 5, Kind: OrderLoadWeights, WeightsVersion: "v2"})
	assert.Equal(t, status, 202, text)
	for get[Info](t, s.URL()+"/v1/info").Loading {
		time.Sleep(time.Millisecond)
	}
	info := get[Info](t, s.URL()+"/v1/info")
	assert.Equal(t, info.WeightsVersion, "v2")
	assert.Equal(t, info.LastOrder.State, OrderDone)
	assert.Equal(t, len(get[CacheBlocks](t, s.URL()+"/v1/cache/blocks").Blocks), 0)
	q := request("r/2", prompt, 1)
	q.WeightsVersion = "v1"
	status, text = post(t, s.URL()+"/v1/completions", q)
	assert.Equal(t, status, 409, text)
	status, text = post(t, s.URL()+"/v1/orders", Order{Fencing: 4, Kind: OrderLoadWeights, WeightsVersion: "v1"})
	assert.Equal(t, status, 409, text)

	old := start(t, func(c *Config) { c.Fencing = FencingIgnored })
	for _, fencing := range []uint64{5, 4} {
		status, text = post(t, old.URL()+"/v1/orders", Order{Fencing: fencing, Kind: OrderLoadAdapter, Adapter: "a"})
		assert.Equal(t, status, 202, text)
	}
}

// Guards against KV transfers that lose blocks or mix weights versions.
func TestKVTransfer(t *testing.T) {
	a, b := start(t, nil), start(t, nil)
	prompt := strings.Repeat("guidance ", 100)
	post(t, a.URL()+"/v1/completions", request("r/1", prompt, 1))
	status, text := post(t, a.URL()+"/v1/kv/export", map[string][]uint64{"blocks": request("", prompt, 1).BlockHashes})
	assert.Equal(t, status, 200)
	status, _ = post(t, b.URL()+"/v1/kv/import", json.RawMessage(text))
	assert.Equal(t, status, 200)
	_, answered := post(t, b.URL()+"/v1/completions", request("r/2", prompt, 1))
	assert.Assert(t, strings.Contains(answered, `"cached_tokens":192`), answered)
	other := start(t, func(c *Config) { c.WeightsVersion = "v9" })
	status, _ = post(t, other.URL()+"/v1/kv/import", json.RawMessage(text))
	assert.Equal(t, status, 409)
}

// Guards against cancelled work that runs on.
func TestCancel(t *testing.T) {
	s := start(t, func(c *Config) { c.Step = settings.Duration(time.Minute) })
	ended := make(chan string)
	go func() {
		_, text := post(t, s.URL()+"/v1/completions", request("r/1", "x", 100))
		ended <- text
	}()
	for len(s.Log.Snapshot().Runs) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, text := post(t, s.URL()+"/v1/cancel", map[string]string{"request_id": "r/1"})
	assert.Equal(t, strings.TrimSpace(text), `{"found":true}`)
	assert.Assert(t, !strings.Contains(<-ended, "[DONE]"))
	assert.Equal(t, s.Log.Snapshot().Runs[0].Reason, "cancelled")
}

func itoa(v uint64) string {
	text, _ := json.Marshal(v)
	return string(text)
}
