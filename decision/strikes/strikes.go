// Package strikes recognises requests that crash the endpoints that run them.
// A request earns a strike for each endpoint whose connection broke while it
// ran there; after three endpoints it is refused for some time. Routers exchange
// their strikes. It is a pure state machine and not safe for concurrent use.
package strikes

import "time"

const (
	// limit is the number of endpoints after which a request is refused. With two,
	// up to 29 of 8,000 requests were refused on days on which a third of the
	// endpoints crashes every few seconds.
	crashLimit = 3
	// life is how long strikes count. A crashed endpoint is back after some
	// seconds, and callers who repeat such a request do it within a minute.
	reportTTL = 60 * time.Second
	// maxEntries bounds the table.
	maxEntries = 4096
	// repeats is the number of exchanges that carry a new strike.
	sendsPerChange = 8
)

// Strike says that an endpoint's connection broke under a request.
type CrashReport struct {
	// Fingerprint identifies the request by path, caller and body.
	Fingerprint uint64
	Endpoint    string
	Age         time.Duration
}

type entry struct {
	crashTimes map[string]time.Duration
	sendsLeft  int
}

// Table holds the strikes that are known.
type Table struct {
	entries map[uint64]*entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[uint64]*entry{}} }

// Add records a strike and reports whether it is new.
func (t *Table) Add(now time.Duration, r CrashReport) bool {
	at := now - r.Age
	if r.Age < 0 || r.Age >= reportTTL {
		return false
	}
	e := t.entries[r.Fingerprint]
	if e == nil {
		if len(t.entries) >= maxEntries {
			t.removeExpired(now)
		}
		if len(t.entries) >= maxEntries {
			return false
		}
		e = &entry{crashTimes: map[string]time.Duration{}}
		t.entries[r.Fingerprint] = e
	}
	if previous, ok := e.crashTimes[r.Endpoint]; ok {
		e.crashTimes[r.Endpoint] = max(previous, at)
		return false
	}
	e.crashTimes[r.Endpoint] = at
	e.sendsLeft = sendsPerChange
	return true
}

// Refused reports whether a request has crashed too many endpoints.
func (t *Table) Refused(now time.Duration, fingerprint uint64) bool {
	e := t.entries[fingerprint]
	if e == nil {
		return false
	}
	crashed := 0
	for _, at := range e.crashTimes {
		if now-at < reportTTL {
			crashed++
		}
	}
	return crashed >= crashLimit
}

// Completed forgets a request that ran to its end.
func (t *Table) Completed(fingerprint uint64) { delete(t.entries, fingerprint) }

// Outgoing returns at most most strikes that other routers may not know yet.
func (t *Table) PendingReports(now time.Duration, limit int) []CrashReport {
	var reports []CrashReport
	for f, e := range t.entries {
		if e.sendsLeft == 0 {
			continue
		}
		if len(reports)+len(e.crashTimes) > limit {
			break
		}
		e.sendsLeft--
		for endpoint, at := range e.crashTimes {
			reports = append(reports, CrashReport{f, endpoint, now - at})
		}
	}
	return reports
}

func (t *Table) removeExpired(now time.Duration) {
	for f, e := range t.entries {
		for endpoint, at := range e.crashTimes {
			if now-at >= reportTTL {
				delete(e.crashTimes, endpoint)
			}
		}
		if len(e.crashTimes) == 0 {
			delete(t.entries, f)
		}
	}
}
