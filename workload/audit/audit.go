// Package audit records what each stand-in ran, so that a load tool can tell
// doubled and lost work from what the callers were told.
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
	Aborted   Outcome = "cut"
)

// Run is one piece of work that a stand-in started.
type Run struct {
	Endpoint string `json:"endpoint"`
	// RequestID is the id that the sender gave, usually an attempt id.
	RequestID      string `json:"request_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Team           string `json:"team,omitempty"`
	// ContentHash is answer.Hash of the prompt or body.
	ContentHash string `json:"content_hash"`
	Method      string `json:"method,omitempty"`
	Path        string `json:"path,omitempty"`
	// StartMS and EndMS are Unix times in milliseconds; EndMS is 0 while the
	// work runs.
	StartMS int64 `json:"start_ms"`
	EndMS   int64 `json:"end_ms,omitempty"`
	// Incarnation is that of the engine.
	Incarnation  uint64 `json:"incarnation,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	// RecomputedTokens were computed although another engine cached them.
	RecomputedTokens int `json:"recomputed_tokens,omitempty"`
	ResumeTokens     int `json:"resume_tokens,omitempty"`
	OutputTokens     int `json:"output_tokens,omitempty"`
	// WrongHits is the number of cached blocks that matched by hash but were
	// stored for other text or by another team. It must be 0.
	InvalidCacheHits int     `json:"wrong_hits,omitempty"`
	Outcome          Outcome `json:"outcome"`
	// Reason says why a run was cut: crash, cancelled or disconnected.
	Reason string `json:"reason,omitempty"`
}

// Page is the answer of GET /admin/runs.
type Snapshot struct {
	Runs []Run `json:"runs"`
	// Dropped is the number of old runs that no longer fit the log.
	Dropped int `json:"dropped"`
}

// DefaultLimit is the number of runs that a log keeps.
const DefaultMaxRuns = 200_000

// Log keeps the newest runs. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	maxRuns int
	runs    []*Run
	dropped int
}

// New returns a log that keeps limit runs. A limit of 0 means DefaultLimit.
func New(maxRuns int) *Log {
	if maxRuns == 0 {
		maxRuns = DefaultMaxRuns
	}
	return &Log{maxRuns: maxRuns}
}

// Entry is a run that has begun.
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

// Update changes the recorded run under the lock of the log.
func (e *Entry) Update(change func(*Run)) {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	change(e.run)
}

// End records the outcome. Only the first call has an effect.
func (e *Entry) End(outcome Outcome, reason string) {
	e.Update(func(r *Run) {
		if r.Outcome != Running {
			return
		}
		r.Outcome, r.Reason, r.EndMS = outcome, reason, time.Now().UnixMilli()
	})
}

// Page returns a copy of the log.
func (l *Log) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := Snapshot{Runs: make([]Run, len(l.runs)), Dropped: l.dropped}
	for i, r := range l.runs {
		p.Runs[i] = *r
	}
	return p
}
