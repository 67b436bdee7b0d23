// Package audit records what each stand-in (simulated engine or service) ran, so
// that a load generator can detect duplicate and lost requests by comparing the
// records with the responses that callers received.
package audit

import (
	"sync"
	"time"
)

// Outcome is the state of a recorded run.
type Outcome string

// Outcomes of a run.
const (
	Running   Outcome = "running"
	Completed Outcome = "completed"
	// Aborted means that the run ended before it completed; Run.Reason says why.
	Aborted Outcome = "cut"
)

// Run is one execution of a request by a stand-in.
type Run struct {
	Endpoint string `json:"endpoint"`
	// RequestID is the id that the sender set, usually an attempt id.
	RequestID      string `json:"request_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Team           string `json:"team,omitempty"`
	// ContentHash is answer.ContentHash of the prompt or request body.
	ContentHash string `json:"content_hash"`
	Method      string `json:"method,omitempty"`
	Path        string `json:"path,omitempty"`
	// StartMS and EndMS are Unix times in milliseconds; EndMS is 0 until the run
	// ends.
	StartMS int64 `json:"start_ms"`
	EndMS   int64 `json:"end_ms,omitempty"`
	// Incarnation is the incarnation of the engine that executed the run.
	Incarnation  uint64 `json:"incarnation,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	// RecomputedTokens is the number of prompt tokens that the engine computed
	// although another engine had them cached.
	RecomputedTokens int `json:"recomputed_tokens,omitempty"`
	// ResumeTokens is the index of the first output token to send; it is above 0
	// when a stream is resumed.
	ResumeTokens int `json:"resume_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// InvalidCacheHits is the number of cached blocks that matched by hash but were
	// stored for different text or by another team. It must be 0.
	InvalidCacheHits int     `json:"wrong_hits,omitempty"`
	Outcome          Outcome `json:"outcome"`
	// Reason says why a run was aborted, such as "crash", "cancelled" or
	// "disconnected".
	Reason string `json:"reason,omitempty"`
}

// Snapshot is the response body of GET /admin/runs.
type Snapshot struct {
	Runs []Run `json:"runs"`
	// Dropped is the number of runs that the log discarded because it was full.
	Dropped int `json:"dropped"`
}

// DefaultMaxRuns is the number of runs that a log keeps by default.
const DefaultMaxRuns = 200_000

// Log keeps the most recent runs. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	maxRuns int
	runs    []*Run
	dropped int
}

// New returns a log that keeps up to maxRuns runs; 0 means DefaultMaxRuns.
func New(maxRuns int) *Log {
	if maxRuns == 0 {
		maxRuns = DefaultMaxRuns
	}
	return &Log{maxRuns: maxRuns}
}

// Entry is a log's record of one run. It stays usable after the log has dropped
// the run.
type Entry struct {
	log *Log
	run *Run
}

// Begin records the start of a run.
func (l *Log) Begin(r Run) *Entry {
	r.Outcome = Running
	r.StartMS = time.Now().UnixMilli()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) == l.maxRuns {
		l.runs[0] = nil
		l.runs = l.runs[1:]
		l.dropped++
	}
	l.runs = append(l.runs, &r)
	return &Entry{log: l, run: &r}
}

// Update calls change with the recorded run while holding the log's lock.
func (e *Entry) Update(change func(*Run)) {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	change(e.run)
}

// End records the outcome and end time. Only the first call has an effect.
func (e *Entry) End(outcome Outcome, reason string) {
	e.Update(func(r *Run) {
		if r.Outcome != Running {
			return
		}
		r.Outcome, r.Reason, r.EndMS = outcome, reason, time.Now().UnixMilli()
	})
}

// Snapshot returns a copy of the log.
func (l *Log) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := Snapshot{Runs: make([]Run, len(l.runs)), Dropped: l.dropped}
	for i, r := range l.runs {
		snapshot.Runs[i] = *r
	}
	return snapshot
}
