package replay

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/workload"
	"github.com/arbutusline/arbutusline/workload/audit"
)

// ErrAuditIncomplete is returned when an audit log has dropped runs.
var ErrAuditIncomplete = errors.New("audit log is incomplete")

// Findings holds the differences between the outcomes reported to callers and the
// audit logs, and totals of the runs.
type Findings struct {
	// DuplicateRuns is the number of runs of non-idempotent requests beyond the first.
	// The first run counts, too, when the request was reported as not run.
	DuplicateRuns int `json:"Doubled"`
	// LostRequests is the number of requests that never ran although they were
	// reported as completed or had no response.
	LostRequests int `json:"Lost"`
	// FalseNotRun is the number of requests of any kind that were reported as not run
	// although they ran.
	FalseNotRun int
	// RepeatedCompletions is the number of completed runs of completions beyond one
	// per attempt. They waste engine time but are harmless.
	RepeatedCompletions int `json:"Repeated"`
	// MaxEngineCrashes is the highest number of engine crashes by one request.
	MaxEngineCrashes int `json:"MostCrashes"`
	// InvalidCacheHits is the number of cached blocks used in a run that were stored
	// for different text or by another team.
	InvalidCacheHits int `json:"WrongHits"`
	// PromptTokens, CachedTokens and RecomputedTokens are sums over all compared runs.
	PromptTokens, CachedTokens, RecomputedTokens int
	// Examples describes, as JSON, the first requests counted in DuplicateRuns,
	// LostRequests and FalseNotRun.
	Examples []string
}

const maxExamples = 10

// CompareWithAudit compares records with the runs of the audit logs. Runs of other
// requests are ignored.
func CompareWithAudit(records []Record, runs []audit.Run) Findings {
	runsByContentHash := map[string][]audit.Run{}
	for _, r := range runs {
		runsByContentHash[r.ContentHash] = append(runsByContentHash[r.ContentHash], r)
	}
	var f Findings
	for i := range records {
		// Reads have no content hash, so their runs can't be identified.
		if rec := &records[i]; rec.ContentHash != "" {
			f.checkRecord(rec, runsByContentHash[rec.ContentHash])
		}
	}
	return f
}

func (f *Findings) checkRecord(rec *Record, runs []audit.Run) {
	completedRuns, crashes := 0, 0
	for _, r := range runs {
		f.PromptTokens += r.PromptTokens
		f.CachedTokens += r.CachedTokens
		f.RecomputedTokens += r.RecomputedTokens
		f.InvalidCacheHits += r.InvalidCacheHits
		if r.Outcome == audit.Completed {
			completedRuns++
		}
		if rec.CrashesEngine && r.Reason == "crash" {
			crashes++
		}
	}
	f.MaxEngineCrashes = max(f.MaxEngineCrashes, crashes)
	if len(runs) == 0 && (rec.Outcome == Completed || rec.Outcome == NoResponse) {
		f.LostRequests++
		f.addExample("lost", rec, runs)
	}
	if len(runs) > 0 && rec.Outcome == NotRun {
		f.FalseNotRun++
		f.addExample("ran in spite of \"not run\"", rec, runs)
	}
	switch {
	case rec.Kind == workload.KindNonIdempotentCall && len(runs) > 1:
		f.DuplicateRuns += len(runs) - 1
		f.addExample("doubled", rec, runs)
	case rec.Kind == workload.KindNonIdempotentCall && len(runs) == 1 && rec.Outcome == NotRun:
		f.DuplicateRuns++
	case rec.Kind == workload.KindCompletion && completedRuns > rec.Attempts:
		f.RepeatedCompletions += completedRuns - rec.Attempts
	}
}

func (f *Findings) addExample(finding string, rec *Record, runs []audit.Run) {
	if len(f.Examples) >= maxExamples {
		return
	}
	text, err := json.Marshal(struct {
		Finding  string
		Sequence int
		Team     string
		Outcome  Outcome
		Code     string
		Attempts int `json:"Tries"`
		Runs     []audit.Run
	}{finding, rec.Sequence, rec.Team, rec.Outcome, rec.Code, rec.Attempts, runs})
	if err == nil {
		f.Examples = append(f.Examples, string(text))
	}
}

// Timing of reading audit logs.
const (
	auditReadTimeout  = 10 * time.Second
	auditPollInterval = 200 * time.Millisecond
)

// ReadAuditLogs reads the audit logs at the given base URLs. It retries for up to
// auditReadTimeout while a log can't be read or a run has not ended.
func ReadAuditLogs(ctx context.Context, urls []string) ([]audit.Run, error) {
	ctx, cancel := context.WithTimeout(ctx, auditReadTimeout)
	defer cancel()
	for {
		runs, running, err := readAuditLogs(ctx, urls)
		if err == nil && running == 0 {
			return runs, nil
		}
		select {
		case <-time.After(auditPollInterval):
		case <-ctx.Done():
			return runs, err
		}
	}
}

// readAuditLogs reads all logs once and counts the runs that have not ended.
func readAuditLogs(ctx context.Context, urls []string) (runs []audit.Run, running int, err error) {
	for _, u := range urls {
		snapshot, err := readAuditLog(ctx, u)
		if err != nil {
			return nil, 0, errors.Wrapf(err, "read audit log of %s", u)
		}
		if snapshot.Dropped > 0 {
			return nil, 0, errors.Wrapf(ErrAuditIncomplete, "%s dropped %d runs", u, snapshot.Dropped)
		}
		runs = append(runs, snapshot.Runs...)
	}
	for _, r := range runs {
		if r.Outcome == audit.Running {
			running++
		}
	}
	return runs, running, nil
}

func readAuditLog(ctx context.Context, base string) (snapshot audit.Snapshot, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+"/admin/runs", nil)
	if err != nil {
		return snapshot, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return snapshot, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return snapshot, errors.Newf("unexpected status %s", resp.Status)
	}
	return snapshot, json.NewDecoder(resp.Body).Decode(&snapshot)
}
