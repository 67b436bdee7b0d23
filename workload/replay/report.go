package replay

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/arbutusline/arbutusline/workload"
)

// Summary holds the totals of a replay.
type Summary struct {
	// Requests is the sum of Completed, RefusedNotRun and Unknown.
	Requests      int `json:"requests"`
	Completed     int `json:"completed"`
	RefusedNotRun int `json:"refused_not_run"`
	// Unknown includes requests with a bad response or without a response.
	Unknown int `json:"unknown"`
	// DuplicateRuns and LostRequests are those of Findings, null without audit logs.
	DuplicateRuns *int `json:"doubled"`
	LostRequests  *int `json:"lost"`
	// BadResponses is the number of records with BadResponse set.
	BadResponses int `json:"cut_streams"`
	// HitRate is the fraction of prompt tokens that were cached: with audit logs over
	// all runs, otherwise over the usage that routers reported. It is null when no
	// prompt tokens were counted.
	HitRate *float64 `json:"hit_rate"`
	// RecomputeRatio is the fraction of prompt tokens that an engine computed although
	// another engine had them cached. It is null without audit logs.
	RecomputeRatio *float64 `json:"recompute_ratio"`
	// TTFTP50MS and TTFTP99MS are percentiles of Record.TTFT.
	TTFTP50MS float64 `json:"ttft_p50_ms"`
	TTFTP99MS float64 `json:"ttft_p99_ms"`
}

// Report holds a summary and the details that WriteText prints.
type Report struct {
	Summary  Summary
	Findings *Findings
	records  []Record
}

// NewReport summarises records; findings is nil without audit logs.
func NewReport(records []Record, findings *Findings) Report {
	r := Report{Findings: findings, records: records}
	s := &r.Summary
	s.Requests = len(records)
	ttft := NewHistogram()
	promptTokens, cachedTokens := 0, 0
	for _, rec := range records {
		switch rec.Outcome {
		case Completed:
			s.Completed++
		case NotRun:
			s.RefusedNotRun++
		default:
			s.Unknown++
		}
		if rec.BadResponse {
			s.BadResponses++
		}
		if rec.TTFT > 0 {
			ttft.Record(rec.TTFT)
		}
		promptTokens += rec.PromptTokens
		cachedTokens += rec.CachedTokens
	}
	s.TTFTP50MS, s.TTFTP99MS = ttft.PercentileMS(50), ttft.PercentileMS(99)
	if findings != nil {
		s.DuplicateRuns, s.LostRequests = &findings.DuplicateRuns, &findings.LostRequests
		s.RecomputeRatio = ratio(findings.RecomputedTokens, findings.PromptTokens)
		promptTokens, cachedTokens = findings.PromptTokens, findings.CachedTokens
	}
	s.HitRate = ratio(cachedTokens, promptTokens)
	return r
}

func ratio(part, whole int) *float64 {
	if whole == 0 {
		return nil
	}
	r := float64(part) / float64(whole)
	return &r
}

// FaultCount returns the sum of duplicate runs, lost requests and bad responses.
func (r Report) FaultCount() int {
	n := r.Summary.BadResponses
	if r.Findings != nil {
		n += r.Findings.DuplicateRuns + r.Findings.LostRequests
	}
	return n
}

// WriteText writes the report as human-readable text.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	s := r.Summary
	fmt.Fprintf(t, "requests\t%d\n", s.Requests)
	fmt.Fprintf(t, "completed\t%d\n", s.Completed)
	fmt.Fprintf(t, "refused, not run\t%d\n", s.RefusedNotRun)
	fmt.Fprintf(t, "unknown\t%d\n", s.Unknown)
	fmt.Fprintf(t, "cut streams\t%d\n", s.BadResponses)
	if f := r.Findings; f != nil {
		fmt.Fprintf(t, "doubled\t%d\n", f.DuplicateRuns)
		fmt.Fprintf(t, "lost\t%d\n", f.LostRequests)
		fmt.Fprintf(t, "ran in spite of \"not run\"\t%d\n", f.FalseNotRun)
		fmt.Fprintf(t, "repeated completions\t%d\n", f.RepeatedCompletions)
		fmt.Fprintf(t, "most engine crashes by one request\t%d\n", f.MaxEngineCrashes)
		fmt.Fprintf(t, "invalid cache hits\t%d\n", f.InvalidCacheHits)
	}
	if s.HitRate != nil {
		fmt.Fprintf(t, "hit rate\t%.4f\n", *s.HitRate)
	}
	if s.RecomputeRatio != nil {
		fmt.Fprintf(t, "recompute ratio\t%.4f\n", *s.RecomputeRatio)
	}
	retries, resumed := 0, 0
	for _, rec := range r.records {
		retries += max(rec.Attempts-1, 0)
		resumed += rec.Resumes
	}
	fmt.Fprintf(t, "retries\t%d\n", retries)
	fmt.Fprintf(t, "streams resumed\t%d\n", resumed)
	fmt.Fprintf(t, "ttft p50\t%.1f ms\n", s.TTFTP50MS)
	fmt.Fprintf(t, "ttft p99\t%.1f ms\n", s.TTFTP99MS)
	r.writeCodes(t)
	r.writeLatencies(t)
	if r.Findings != nil {
		for _, e := range r.Findings.Examples {
			fmt.Fprintln(t, e)
		}
	}
	return t.Flush()
}

// writeCodes writes the number of requests for each pair of outcome and code.
func (r Report) writeCodes(w io.Writer) {
	counts := map[string]int{}
	for _, rec := range r.records {
		if rec.Code != "" {
			counts[string(rec.Outcome)+" "+rec.Code]++
		}
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%d\n", name, counts[name])
	}
}

// writeLatencies writes the time to first token of each team and the latency of
// service calls.
func (r Report) writeLatencies(w io.Writer) {
	byName := map[string]Histogram{}
	add := func(name string, d time.Duration) {
		if d == 0 {
			return
		}
		if _, ok := byName[name]; !ok {
			byName[name] = NewHistogram()
		}
		byName[name].Record(d)
	}
	for _, rec := range r.records {
		switch {
		case rec.Kind == workload.KindCompletion:
			add("ttft of "+rec.Team, rec.TTFT)
		case rec.Outcome == Completed:
			add("service calls", rec.TotalLatency)
		}
	}
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		h := byName[name]
		fmt.Fprintf(w, "%s\tp50 %.1f ms\tp99 %.1f ms\tof %d\n", name, h.PercentileMS(50), h.PercentileMS(99), h.Count())
	}
}
