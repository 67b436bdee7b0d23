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

// ErrAuditIncomplete means that an audit log no longer has all runs.
var ErrAuditIncomplete = errors.New("audit log is incomplete")

// Findings compare what the callers were told with what ran.
type Findings struct {
	// Doubled is the number of surplus runs of non-idempotent requests,
	// including those that ran although the caller was told "not run".
	DuplicateRuns int `json:"Doubled"`
	// Lost is the number of requests that were reported as done, or without
	// any outcome, and never ran.
	LostRequests int `json:"Lost"`
	// FalseNotRun is the number of requests of any kind that ran although the
	// caller was told "not run".
	FalseNotRun int
	// Repeated is the number of completions that ran to their end more than
	// once for one try. They waste work but do no harm.
	RepeatedCompletions int `json:"Repeated"`
	// MostCrashes is the highest number of engines that one request crashed.
	MaxEngineCrashes int `json:"MostCrashes"`
	// WrongHits counts cached blocks that were stored for other text or by
	// another team.
	InvalidCacheHits int `json:"WrongHits"`
	// PromptTokens, CachedTokens and RecomputedTokens are sums over all runs.
	PromptTokens, CachedTokens, RecomputedTokens int
	// Examples describe the first requests behind Doubled, Lost and
	// FalseNotRun.
	Examples []string
}

const maxExamples = 10

// Check compares records with the runs of the audit logs. Runs of other
// requests are ignored.
func CompareWithAudit(records []Record, runs []audit.Run) Findings {
	byHash := map[string][]audit.Run{}
	for _, r := range runs {
		byHash[r.ContentHash] = append(byHash[r.ContentHash], r)
	}
	var f Findings
	for i := range records {
		// Reads have no content of their own, so their runs can't be found.
		if rec := &records[i]; rec.ContentHash != "" {
			f.checkRecord(rec, byHash[rec.ContentHash])
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
	case rec.Kind == workload.KindCompletion && completedRuns > rec.Tries:
		f.RepeatedCompletions += completedRuns - rec.Tries
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
		Tries    int
		Runs     []audit.Run
	}{finding, rec.Sequence, rec.Team, rec.Outcome, rec.Code, rec.Tries, runs})
	if err == nil {
		f.Examples = append(f.Examples, string(text))
	}
}

// Bounds of reading audit logs.
const (
	auditReadTimeout  = 10 * time.Second
	auditPollInterval = 200 * time.Millisecond
)

// ReadAudit reads the audit logs at the given base URLs. It waits up to
// auditTimeout for a log that can't be read and for runs that have not ended.
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

func readAuditLogs(ctx context.Context, urls []string) (runs []audit.Run, running int, err error) {
	for _, u := range urls {
		page, err := readAuditLog(ctx, u)
		if err != nil {
			return nil, 0, errors.Wrapf(err, "audit log of %s", u)
		}
		if page.Dropped > 0 {
			return nil, 0, errors.Wrapf(ErrAuditIncomplete, "%s dropped %d runs", u, page.Dropped)
		}
		runs = append(runs, page.Runs...)
	}
	for _, r := range runs {
		if r.Outcome == audit.Running {
			running++
		}
	}
	return runs, running, nil
}

func readAuditLog(ctx context.Context, base string) (page audit.Snapshot, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+"/admin/runs", nil)
	if err != nil {
		return page, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return page, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return page, errors.Newf("status %s", resp.Status)
	}
	return page, json.NewDecoder(resp.Body).Decode(&page)
}
