package replay

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// savedReport is the content of a file that Save writes.
type savedReport struct {
	Records  []Record
	Findings *Findings
}

// Save writes the records and findings to a file for LoadSavedReports.
func (r Report) Save(path string) error {
	data, err := json.Marshal(savedReport{r.records, r.Findings})
	if err != nil {
		return errors.Wrap(err, "encode saved report")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o644), "write saved report")
}

// LoadSavedReports reads saved reports and combines them into one. Its findings are
// nil when a saved report has none.
func LoadSavedReports(paths ...string) (Report, error) {
	var records []Record
	total := &Findings{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return Report{}, errors.Wrap(err, "read saved report")
		}
		var s savedReport
		if err := json.Unmarshal(data, &s); err != nil {
			return Report{}, errors.Wrapf(err, "decode saved report %s", path)
		}
		records = append(records, s.Records...)
		if s.Findings == nil {
			total = nil
		}
		if total != nil {
			total.add(*s.Findings)
		}
	}
	return NewReport(records, total), nil
}

func (f *Findings) add(other Findings) {
	f.DuplicateRuns += other.DuplicateRuns
	f.LostRequests += other.LostRequests
	f.FalseNotRun += other.FalseNotRun
	f.RepeatedCompletions += other.RepeatedCompletions
	f.MaxEngineCrashes = max(f.MaxEngineCrashes, other.MaxEngineCrashes)
	f.InvalidCacheHits += other.InvalidCacheHits
	f.PromptTokens += other.PromptTokens
	f.CachedTokens += other.CachedTokens
	f.RecomputedTokens += other.RecomputedTokens
	f.Examples = append(f.Examples, other.Examples...)
}
