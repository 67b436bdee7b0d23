package throttle

import (
	"cmp"
	"slices"
	"time"
)

// reportEnded is how long reports repeat that a limit has ended.
const reportEnded = 30 * time.Second

// Report is what a router knows of an endpoint's limit, as it is sent to other routers.
// Reports may be lost, late, repeated and out of order.
type Report struct {
	Endpoint string
	// Version counts the changes of the limit.
	Version uint32
	// Rate is the limit in requests a second, 0 if it has ended.
	Rate float64
	// Confirmations counts the responses with this limit. A count tells, unlike an age, what
	// is news after any number of hops.
	Confirmations uint32
}

// Pending returns at most limit reports for the next message, ordered by endpoint.
func (t *Table) Pending(now time.Duration, limit int) []Report {
	if len(t.endpoints) == 0 {
		return nil
	}
	var out []Report
	for id, e := range t.endpoints {
		if e.version == 0 || e.rate == 0 && now-e.changedAt > reportEnded {
			continue
		}
		out = append(out, Report{Endpoint: id, Version: e.version, Rate: e.rate, Confirmations: e.confirmations})
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out[:min(limit, len(out))]
}

// Merge adds the reports of another router and returns the endpoints whose limit changed.
func (t *Table) Merge(now time.Duration, reports []Report) map[string]Change {
	var changes map[string]Change
	for _, r := range reports {
		if r.Version == 0 || !(r.Rate >= 0 && r.Rate <= maxRate) {
			continue
		}
		e := t.endpoints[r.Endpoint]
		if e == nil {
			if r.Rate == 0 {
				continue
			}
			e = t.entry(r.Endpoint)
		}
		if r.Version > e.version || r.Version == e.version && looser(e.rate, r.Rate) {
			if e.rate != r.Rate {
				if changes == nil {
					changes = map[string]Change{}
				}
				changes[r.Endpoint] = Change{e.rate, r.Rate}
			}
			e.set(now, r.Rate, r.Version)
		}
		if r.Version == e.version && r.Confirmations > e.confirmations {
			e.confirmations, e.confirmedAt = r.Confirmations, now
		}
	}
	return changes
}
