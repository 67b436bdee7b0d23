// Package strikes detects requests that crash the endpoints that run them. Each
// endpoint whose connection was lost before it sent output of a request counts as one
// strike against the request; after three strikes the request is refused for some time.
// Connections that are lost soon after output count less, as they also hit streams that have
// just begun when an endpoint crashes for another reason. Routers exchange their reports. Table is a pure state machine and not safe for concurrent
// use.
package strikes

import "time"

const (
	// crashedEndpointsToRefuse is the number of crashed endpoints after which a
	// request is refused. With two, up to 29 of 8,000 requests were refused on days
	// on which a third of the endpoints crashes every few seconds.
	crashedEndpointsToRefuse = 3
	// crashedAfterOutputToRefuse is the same if some crashed after output. It leaves a request
	// two runs after the third crash.
	crashedAfterOutputToRefuse = 5
	// reportTTL is how long a report counts. A crashed endpoint restarts within
	// seconds, and callers that repeat such a request do so within a minute.
	reportTTL = 60 * time.Second
	// maxEntries bounds the number of requests in a table.
	maxEntries = 4096
	// sendsPerChange is the number of exchanges that carry a new report.
	sendsPerChange = 8
)

// CrashReport reports that the connection to an endpoint was lost after a request was
// sent and before its output showed that the request does not crash endpoints.
type CrashReport struct {
	// Fingerprint identifies the request by path, caller and body.
	Fingerprint uint64
	Endpoint    string
	// Age is the time since the connection was lost.
	Age time.Duration
	// AfterOutput means that the endpoint had sent output.
	AfterOutput bool
}

type entry struct {
	crashes   map[string]crash
	sendsLeft int
}

type crash struct {
	at          time.Duration
	afterOutput bool
}

// Table holds the crash reports of all routers.
type Table struct {
	entries map[uint64]*entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[uint64]*entry{}} }

// Add records r and returns whether it names a new endpoint for the request, or one that was not
// known to have crashed before output.
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
		e = &entry{crashes: map[string]crash{}}
		t.entries[r.Fingerprint] = e
	}
	previous, known := e.crashes[r.Endpoint]
	if known {
		e.crashes[r.Endpoint] = crash{max(previous.at, at), previous.afterOutput && r.AfterOutput}
		if !previous.afterOutput || r.AfterOutput {
			return false
		}
	} else {
		e.crashes[r.Endpoint] = crash{at, r.AfterOutput}
	}
	e.sendsLeft = sendsPerChange
	return true
}

// MustRefuse reports whether a request crashed so many endpoints that it must be
// refused.
func (t *Table) MustRefuse(now time.Duration, fingerprint uint64) bool {
	e := t.entries[fingerprint]
	if e == nil {
		return false
	}
	crashed, afterOutput := 0, 0
	for _, c := range e.crashes {
		switch {
		case now-c.at >= reportTTL:
		case c.afterOutput:
			afterOutput++
		default:
			crashed++
		}
	}
	return crashed >= crashedEndpointsToRefuse || crashed+afterOutput >= crashedAfterOutputToRefuse
}

// RecordCompletion removes the reports about a request that completed.
func (t *Table) RecordCompletion(fingerprint uint64) { delete(t.entries, fingerprint) }

// PendingReports returns at most limit reports that other routers may not know yet.
func (t *Table) PendingReports(now time.Duration, limit int) []CrashReport {
	var reports []CrashReport
	for f, e := range t.entries {
		if e.sendsLeft == 0 {
			continue
		}
		if len(reports)+len(e.crashes) > limit {
			break
		}
		e.sendsLeft--
		for endpoint, c := range e.crashes {
			reports = append(reports, CrashReport{f, endpoint, now - c.at, c.afterOutput})
		}
	}
	return reports
}

func (t *Table) removeExpired(now time.Duration) {
	for f, e := range t.entries {
		for endpoint, c := range e.crashes {
			if now-c.at >= reportTTL {
				delete(e.crashes, endpoint)
			}
		}
		if len(e.crashes) == 0 {
			delete(t.entries, f)
		}
	}
}
